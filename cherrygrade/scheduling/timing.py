"""Points in time, and the grid that wake-ups are requested on. Times are milliseconds of the host's clock."""

from __future__ import annotations

GRID_MS = 10.0
"""Wake-ups are requested at multiples of this, so that close ones share a round."""

NEVER_MS = 1e15
"""Later than any time that is reached: stands for an event that is not scheduled."""


def next_grid_ms(after_ms: float, grid_ms: float = GRID_MS) -> float:
    """Return the first multiple of `grid_ms` after a time, ms."""
    return (after_ms // grid_ms + 1.0) * grid_ms
