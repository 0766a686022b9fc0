"""Instants and the grid that wake-ups are asked for on. All times are milliseconds of the host's clock."""

from __future__ import annotations

GRID_MS = 10.0
"""Wake-ups are asked for on multiples of this, so that they never pile up."""

NEVER_MS = 1e15
"""Later than any instant that is reached."""


def next_mark(after_ms: float, grid_ms: float = GRID_MS) -> float:
    """The first multiple of the grid behind an instant."""
    return (after_ms // grid_ms + 1.0) * grid_ms
