"""What a host or a log notes of the configuration that a member is on."""

from __future__ import annotations

import msgspec


class Row(msgspec.Struct, array_like=True, frozen=True):
    """This life of this member is on this stage (0: its own file) from then on. `mark`: of the digest."""

    at: float
    member: int
    life: int
    stage: int
    mark: str
