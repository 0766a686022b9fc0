"""Errors that operators see."""

from __future__ import annotations


class OperatorError(Exception):
    """Root of the program's own errors; `str` gives all three parts in one text.

    Attributes:
        what: what happened.
        means: what this means for stored data.
        do: what the operator can do; may be empty.
    """

    means = "No data is touched."
    do = ""

    def __init__(self, what: str, means: str = "", do: str = "") -> None:
        """Empty arguments take the value of the class."""
        self.what = what
        self.means = means or self.means
        self.do = do or self.do
        super().__init__(" ".join(part for part in (f"{self.what}.", self.means, self.do) if part))
