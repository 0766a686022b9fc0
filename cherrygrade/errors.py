"""Errors that an operator meets: what happened, what it means for data, what to do."""

from __future__ import annotations


class OperatorError(Exception):
    """Root of the program's own errors. `str` is all three, for a command line or a log."""

    means = "No data is touched."
    do = ""

    def __init__(self, what: str, means: str = "", do: str = "") -> None:
        self.what = what
        self.means = means or self.means
        self.do = do or self.do
        super().__init__(" ".join(part for part in (f"{self.what}.", self.means, self.do) if part))
