"""What is wrong with reports, the record of targets, or the page."""

from __future__ import annotations

from cherrygrade.errors import OperatorError


class ReportWrong(OperatorError):
    """A report that cannot be read, or that says what no run gave."""

    means = "The page is as it was."
    do = "Run the command that makes the report anew; reports are not written by hand."


class TargetWrong(OperatorError):
    """The record of targets and budgets does not hold together."""

    means = "The page is as it was."
    do = "Mend docs/capacity/target.json at the place named."


class PageWrong(OperatorError):
    """The page's markers do not fit the tables."""

    means = "The page is as it was."
    do = "Each table stands once between `<!-- drawn: NAME -->` and `<!-- end -->`; put the markers back."


class TooFew(OperatorError):
    """No line goes through fewer than two sizes."""

    means = "There is no slope."
    do = "Run more sizes."
