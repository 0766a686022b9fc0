"""Judges the text of a proposed configuration before it is appended to the council's log."""

from __future__ import annotations

from collections.abc import Callable

from cherrygrade.fleet.config.text_diff import difference
from cherrygrade.fleet.config.versions import QuotaDivisors
from cherrygrade.fleet.consensus.voter_effects import ConfigVerdict

MAX_REASON_CHARACTERS = 500  # of the reason why a text is refused

Judge = Callable[[str, str], tuple[str, QuotaDivisors | None, QuotaDivisors | None]]
"""Judges a change, given the texts before and after it.

Returns the reason why the change is refused, or "" with the quota divisors of the settings after and before
the change. A judge blocks and is called in a thread: it must not touch the dispatcher's state.
"""


def judge_text(judge: Judge | None, before: str, text: str) -> ConfigVerdict:
    """Judge the change from one configuration text to another.

    Parsing a text takes long: call this in a thread, so that client requests are served meanwhile.

    Args:
        judge: Parses and compares the texts; None where this dispatcher takes no shared configuration, in
            which case all texts are refused.
        before: The text of the newest version; "" where there is none.
        text: The proposed text.

    Returns:
        The refusal; or the quota divisors, and the difference of the texts where that is shorter than `text`.
    """
    if judge is None:
        return ConfigVerdict("this dispatcher takes no shared configuration")
    try:
        refusal, divisors, old_divisors = judge(before, text)
    except Exception as error:  # a text that makes the parser fail is refused; the voter must not stop
        reason = f"reading the text failed: {type(error).__name__}: {error}"
        return ConfigVerdict(reason[:MAX_REASON_CHARACTERS])
    if refusal or divisors is None:
        return ConfigVerdict(refusal or "the text gives no complete settings")
    hunks = difference(before, text)
    hunks_are_shorter = sum(len(line) for hunk in hunks for line in hunk.lines) < len(text)
    return ConfigVerdict("", divisors, old_divisors, hunks if hunks_are_shorter and before else None)
