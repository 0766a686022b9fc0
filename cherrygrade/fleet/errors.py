"""Errors of the council, its leases and the shared configuration, as an operator meets them.

Each says what went wrong (`what`, given when it is raised), what that means for data and service (`means`)
and what an operator can do (`do`).
"""

from __future__ import annotations

from cherrygrade.errors import OperatorError


class VoterStoppedError(OperatorError):
    """A voter stopped voting because its store can no longer be written."""

    means = "This dispatcher serves on and votes no more; what it agreed to before is on the others' disks."
    do = "Make room in fleet.council.folder or mend the disk, then restart this dispatcher."


class VoterStoreExistsError(OperatorError):
    """A voter's store was to be created where one exists already."""

    means = "The store is as it was."
    do = "To replace a voter that lost its store, start it with an empty folder: the council lets it in."


class NotAVoterError(OperatorError):
    """A voter's store was to be created for a dispatcher that the settings do not name as a voter."""

    means = "Nothing was made."
    do = "Name it in fleet.council.voters of all dispatchers, or run this with another one's settings."


class CouncilUnreachableError(OperatorError):
    """No voter answered in time, or none of those that did is the leader.

    The request may have been carried out all the same.
    """

    means = "What holders have goes on until its end; nothing new is granted. RPCs do not wait for it."
    do = "See `cherrygrade fleet status` for which voters live: more than half of them have to."


class ConfigUnreachableError(OperatorError):
    """The shared configuration can't be read or changed now: no dispatcher or no majority answers."""

    means = "Nothing was changed; all dispatchers serve on with what they have."
    do = "See `cherrygrade fleet status` for which voters live: more than half of them have to."


class ConfigRefusedError(OperatorError):
    """A change of the shared configuration was refused, or is not in force everywhere in time."""

    means = "No version came of it; all dispatchers serve on with what they have."
    do = "Mend what is named there, then put again."


class ConfigNotFoundError(OperatorError):
    """An argument of a configuration command is wrong: its file, its address or its version number."""

    means = "Nothing was changed."
    do = "See `cherrygrade fleet config show` for the versions that are kept."
