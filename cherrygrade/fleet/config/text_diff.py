"""Line differences between two texts of the configuration. Free of I/O."""

from __future__ import annotations

from difflib import SequenceMatcher

import msgspec

from cherrygrade.fleet.config.errors import ConfigContentError

MAX_COMPARED_LINES = 2000
"""Lines of both texts, without those common at their beginnings and ends, that are compared one by one. A
larger change becomes a single hunk."""


class DiffHunk(msgspec.Struct, array_like=True, frozen=True):
    """Some lines of a text replaced by others; fields are positional on the wire and on disk.

    Attributes:
        first_line: The index in the old text of the first line replaced, from 0.
        dropped: The number of lines replaced.
        lines: The new lines, with their line ends.
    """

    first_line: int
    dropped: int
    lines: tuple[str, ...] = ()


def difference(old: str, new: str) -> tuple[DiffHunk, ...]:
    """Return the hunks that turn the old text into the new one, in the order of the old text."""
    old_lines = old.splitlines(keepends=True)
    new_lines = new.splitlines(keepends=True)
    head = _common_head(old_lines, new_lines)
    old_lines = old_lines[head:]
    new_lines = new_lines[head:]
    tail = _common_head(old_lines[::-1], new_lines[::-1])
    old_lines = old_lines[: len(old_lines) - tail]
    new_lines = new_lines[: len(new_lines) - tail]
    if len(old_lines) + len(new_lines) > MAX_COMPARED_LINES:
        return (DiffHunk(head, len(old_lines), tuple(new_lines)),)
    codes = SequenceMatcher(None, old_lines, new_lines, autojunk=False).get_opcodes()
    return tuple(
        DiffHunk(head + old_from, old_to - old_from, tuple(new_lines[new_from:new_to]))
        for kind, old_from, old_to, new_from, new_to in codes
        if kind != "equal"
    )


def apply_hunks(old: str, hunks: tuple[DiffHunk, ...]) -> str:
    """Return the new text.

    Raises:
        ConfigContentError: The hunks overlap, are not in order, or reach beyond the end of the old text.
    """
    old_lines = old.splitlines(keepends=True)
    next_line = 0
    lines: list[str] = []
    for hunk in hunks:
        end = hunk.first_line + hunk.dropped
        if hunk.first_line < next_line or hunk.dropped < 0 or end > len(old_lines):
            # The council's log stores this text as the reason of a refusal, so it is the same on every voter.
            raise ConfigContentError("a difference that does not fit what it is against")
        lines += old_lines[next_line : hunk.first_line]
        lines += hunk.lines
        next_line = end
    return "".join([*lines, *old_lines[next_line:]])


def _common_head(old_lines: list[str], new_lines: list[str]) -> int:
    """Return how many lines at the beginning are the same."""
    count = 0
    for old_line, new_line in zip(old_lines, new_lines, strict=False):
        if old_line != new_line:
            break
        count += 1
    return count
