"""Errors of the council, its leases and the shared configuration that are shown to operators.

Each error states what happened (`what`, given when it is raised), what this means for data and service
(`means`), and what an operator can do (`do`).
"""

from __future__ import annotations

from cherrygrade.errors import OperatorError


class VoterStoppedError(OperatorError):
    """A voter stopped voting because its store can no longer be written."""

    means = (
        "This dispatcher continues to serve requests but no longer votes; "
        "entries that it accepted before are on the other voters' disks."
    )
    do = "Free space in fleet.council.folder or repair the disk, then restart this dispatcher."


class VoterStoreExistsError(OperatorError):
    """A voter's store can't be created because the folder already contains one."""

    means = "The existing store was not changed."
    do = "To replace a voter that lost its store, start it with an empty folder; the council then admits it."


class NotAVoterError(OperatorError):
    """A voter's store can't be created for a dispatcher that the settings do not name as a voter."""

    means = "No store was created."
    do = (
        "Add it to fleet.council.voters of all dispatchers, or run this command with the settings of a voter."
    )


class CouncilUnreachableError(OperatorError):
    """No voter answered in time, or none of the voters that answered is the leader.

    The request may have been carried out nevertheless.
    """

    means = (
        "Granted leases remain valid until they expire; no new ones are granted. Client requests do not wait."
    )
    do = "Check in `cherrygrade fleet status` that more than half of the voters are living."


class ConfigUnreachableError(OperatorError):
    """The shared configuration can't be read or changed now: no dispatcher or no majority answers."""

    means = "Nothing was changed; all dispatchers continue with their present configuration."
    do = "Check in `cherrygrade fleet status` that more than half of the voters are living."


class ConfigRefusedError(OperatorError):
    """A change of the shared configuration was refused, or did not take effect on all dispatchers in time."""

    means = "No version was created; all dispatchers continue with their present configuration."
    do = "Correct the reported fault, then repeat `cherrygrade fleet config put`."


class ConfigNotFoundError(OperatorError):
    """An argument of a configuration command is invalid: the file, the address or the version number."""

    means = "Nothing was changed."
    do = "See `cherrygrade fleet config show` for the stored versions."
