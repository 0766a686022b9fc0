"""Judges the text of a proposed configuration before the council takes it."""

from __future__ import annotations

from collections.abc import Callable

from cherrygrade.fleet.config.versions import QuotaDivisors, difference
from cherrygrade.fleet.consensus.voter import (
    ConfigVerdict,
)

Judge = Callable[[str, str], tuple[str, QuotaDivisors | None, QuotaDivisors | None]]
"""Of the texts before and after a change: why it is refused, or "" and the divisors of the site that comes of
it and of the one before. Blocking; it may touch nothing of the dispatcher's."""


def judged(judge: Judge | None, before: str, text: str) -> ConfigVerdict:
    """In a thread of its own: RPCs do not wait for a text to be read."""
    if judge is None:
        return ConfigVerdict("this dispatcher takes no configuration")
    try:
        why, parts, old = judge(before, text)
    except Exception as broke:  # whatever reads it: a text that breaks it is refused, and nothing else is
        return ConfigVerdict(f"reading it failed: {type(broke).__name__}: {broke}"[:500])
    if why or parts is None:
        return ConfigVerdict(why or "no site comes of it")
    hunks = difference(before, text)
    short = sum(len(one) for hunk in hunks for one in hunk.lines) < len(text)
    return ConfigVerdict("", parts, old, hunks if short and before else None)
