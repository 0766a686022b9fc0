"""What an operator's command asks of a dispatcher."""

from __future__ import annotations

import msgspec


class AdminRequest(msgspec.Struct, frozen=True, tag_field="do", tag="Request"):
    """What a person asks."""


class PutRequest(AdminRequest, frozen=True, tag="put"):
    """`based_on` -1: whatever is the newest. `id`: the command's own; asked again, nothing is done twice."""

    id: str
    text: str
    by: str
    based_on: int = -1


class ShowRequest(AdminRequest, frozen=True, tag="show"):
    number: int = 0


class MissingRequest(AdminRequest, frozen=True, tag="missing"):
    number: int


_request = msgspec.json.Decoder(PutRequest | ShowRequest | MissingRequest)
