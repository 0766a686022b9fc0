"""What keeps a scale run from being one."""

from __future__ import annotations

from cherrygrade.errors import OperatorError


class TooLarge(OperatorError):
    """The run would take, or takes, more of the machine than it may."""

    means = "The run ended itself; nothing of it is left running."


class NotWhole(OperatorError):
    """The fleet did not come together before anything was done to it."""

    means = "Nothing was measured."
    do = "Look whether the machine is busy with other things; try fewer dispatchers or a larger `settle_ms`."


class HostEnded(OperatorError):
    """One of the run's own processes ended, or did not answer."""

    means = "What came after it was not run."
    do = "Keep the records (--folder) and read that process's log there."
