"""What goes wrong with the council and its leases, as an operator meets it."""

from __future__ import annotations

from cherrygrade.errors import OperatorError


class VoterStoppedError(OperatorError):
    """A voter's disk takes nothing."""

    means = "This dispatcher serves on and votes no more; what it agreed to before is on the others' disks."
    do = "Make room in fleet.council.folder or mend the disk, then restart this dispatcher."


class AlreadyFoundedError(OperatorError):
    """A council is founded where one is."""

    means = "The store is as it was."
    do = "To replace a voter that lost its store, start it with an empty folder: the council lets it in."


class NotAVoterError(OperatorError):
    means = "Nothing was made."
    do = "Name it in fleet.council.voters of all dispatchers, or run this with another one's settings."


class CouncilUnreachableError(OperatorError):
    """No voter answered, or none leads."""

    means = "What holders have goes on until its end; nothing new is granted. RPCs do not wait for it."
    do = "See `cherrygrade fleet status` for which voters live: more than half of them have to."


class ConfigUnreachableError(OperatorError):
    """The configuration can't be asked for or changed now."""

    means = "Nothing was changed; all dispatchers serve on with what they have."
    do = "See `cherrygrade fleet status` for which voters live: more than half of them have to."


class ConfigRefusedError(OperatorError):
    means = "No version came of it; all dispatchers serve on with what they have."
    do = "Mend what is named there, then put again."


class ConfigNotFoundError(OperatorError):
    """The arguments are wrong."""

    means = "Nothing was changed."
    do = "See `cherrygrade fleet config show` for the versions that are kept."
