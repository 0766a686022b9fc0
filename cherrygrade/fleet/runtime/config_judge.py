"""Judges the text of a proposed configuration before the council's log takes it."""

from __future__ import annotations

from collections.abc import Callable

from cherrygrade.fleet.config.text_diff import difference
from cherrygrade.fleet.config.versions import QuotaDivisors
from cherrygrade.fleet.consensus.voter_effects import ConfigVerdict

MAX_REASON_CHARACTERS = 500

Judge = Callable[[str, str], tuple[str, QuotaDivisors | None, QuotaDivisors | None]]
"""Given the texts before and after a change: why it is refused, or "" and the quota divisors of the settings
after and before it. It blocks and runs in a thread: it may touch nothing of the dispatcher's."""


def judge_text(judge: Judge | None, before: str, text: str) -> ConfigVerdict:
    """Judge the change from one configuration text to another.

    Reading a text takes long: run this in a thread, so that RPCs need not wait.

    Args:
        judge: What reads the texts; None where this dispatcher takes no configuration, and refuses all.
        before: The text of the newest version, "" where there is none.
        text: The proposed text.
    """
    if judge is None:
        return ConfigVerdict("this dispatcher takes no configuration")
    try:
        why, parts, old = judge(before, text)
    except Exception as error:  # a text that breaks the reader is refused; the voter must go on
        reason = f"reading it failed: {type(error).__name__}: {error}"
        return ConfigVerdict(reason[:MAX_REASON_CHARACTERS])
    if why or parts is None:
        return ConfigVerdict(why or "no site comes of it")
    hunks = difference(before, text)
    hunks_are_shorter = sum(len(line) for hunk in hunks for line in hunk.lines) < len(text)
    return ConfigVerdict("", parts, old, hunks if hunks_are_shorter and before else None)
