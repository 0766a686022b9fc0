"""What is wrong with reports, the record of targets, or the page."""

from __future__ import annotations

from cherrygrade.errors import Trouble


class ReportWrong(Trouble):
    """A report that cannot be read, or that says what no run gave."""

    means = "The page is as it was."
    do = "Run the command that makes the report anew; reports are not written by hand."


class TargetWrong(Trouble):
    """The record of targets and budgets does not hold together."""

    means = "The page is as it was."
    do = "Mend docs/capacity/target.json at the place named."


class PageWrong(Trouble):
    """The page's markers do not fit the tables."""

    means = "The page is as it was."
    do = "Each table stands once between `<!-- drawn: NAME -->` and `<!-- end -->`; put the markers back."


class TooFew(Trouble):
    """No line goes through fewer than two sizes."""

    means = "There is no slope."
    do = "Run more sizes."
