"""The requests of fleet members to the council, and its replies.

All structs in this module are positional on the wire: their field order, defaults and tags are fixed.
"""

from __future__ import annotations

from typing import NamedTuple

import msgspec

from cherrygrade.fleet.config.versions import PutOutcome
from cherrygrade.fleet.leases.lease_table import LeaseOutcome


class CouncilRequest(msgspec.Struct, array_like=True, frozen=True, tag_field="ask", tag="Ask"):
    """Base of the requests to the council.

    Attributes:
        id: The id that the client chose; a request that is repeated under its id has an effect once.
    """

    id: str


class AcquireLease(CouncilRequest, frozen=True, tag="take"):
    """Requests the lease of a task.

    Attributes:
        task: The name of the task.
        holder: The name of the dispatcher that requests the lease.
        incarnation: The incarnation of the holder's process.
        duration_ms: How long the lease runs without renewal.
    """

    task: str
    holder: str
    incarnation: int
    duration_ms: float


class ReleaseLease(CouncilRequest, frozen=True, tag="give"):
    """Releases a lease.

    Attributes:
        task: The name of the task.
        number: The number of the lease.
        failure: Why the holder could not do the task; "" if it did not fail.
    """

    task: str
    number: int
    failure: str = ""


class RenewLeases(CouncilRequest, frozen=True, tag="renew"):
    """Renews all leases of one incarnation of a holder.

    Attributes:
        holder: The name of the holder.
        incarnation: The incarnation of the holder's process.
        held_digest: The digest of the leases that the holder has; if it is right, the reply need
            not list them.
    """

    holder: str
    incarnation: int
    held_digest: int = 0


class ListFreeTasks(CouncilRequest, frozen=True, tag="free"):
    """Asks which of some tasks would be granted now.

    Attributes:
        tasks: The names of the tasks.
    """

    tasks: list[str]


class ShowCouncil(CouncilRequest, frozen=True, tag="show"):
    """Asks for the council's voters, leader and leases, for operators."""


class PutConfig(CouncilRequest, frozen=True, tag="put"):
    """Requests a new version of the configuration; its text is checked before the voter gets the request.

    Attributes:
        text: The complete text.
        based_on: The number of the newest version that the author saw; 0 for the first one.
        author: The author of the change.
    """

    text: str
    based_on: int
    author: str


class ShowConfig(CouncilRequest, frozen=True, tag="config"):
    """Asks for the versions of the configuration in the log.

    Attributes:
        number: The version whose text is requested; 0 for none.
    """

    number: int = 0


class CouncilReply(msgspec.Struct, array_like=True, frozen=True, tag_field="answer", tag="Answer"):
    """Base of the council's replies.

    Attributes:
        id: The id of the request.
    """

    id: str


class NotLeader(CouncilReply, frozen=True, tag="elsewhere"):
    """The request was not carried out by this voter; it may be repeated, at the leader if one is named.

    Attributes:
        leader: The name of the leader; "" if none is known.
        reason: Why the request was not carried out.
    """

    leader: str
    reason: str = ""


class LeaseAcquired(CouncilReply, frozen=True, tag="took"):
    """The result of an `AcquireLease` or a `ReleaseLease`.

    Attributes:
        outcome: Whether the lease was granted or ended, or why it was not.
    """

    outcome: LeaseOutcome


class LeasesRenewed(CouncilReply, frozen=True, tag="renewed"):
    """The leases that a `RenewLeases` has renewed.

    Attributes:
        numbers: The numbers of the renewed leases by task; empty if `unchanged`.
        unchanged: Exactly the leases of the request's digest are renewed.
    """

    numbers: dict[str, int]
    unchanged: bool = False


class FreeTasks(CouncilReply, frozen=True, tag="freed"):
    """The tasks of a `ListFreeTasks` that are free.

    Attributes:
        tasks: The names of the tasks.
    """

    tasks: list[str]


class LeaseSummary(NamedTuple):
    """A lease in a `CouncilStatus`.

    Attributes:
        task: The name of the task.
        holder: The name of the holder.
        number: The number of the lease.
        remaining_ms: How long the lease still runs, by the leader's clock.
    """

    task: str
    holder: str
    number: int
    remaining_ms: float


class FailureSummary(NamedTuple):
    """A failed task in a `CouncilStatus`.

    Attributes:
        task: The name of the task.
        failure_count: How often the task has failed in a row.
        reason: The reason of the last failure.
        retry_after_ms: For how long the task is not granted yet.
    """

    task: str
    failure_count: int
    reason: str
    retry_after_ms: float


class CouncilStatus(CouncilReply, frozen=True, tag="shown"):
    """The state of the council, as its leader knows it.

    Attributes:
        leader: The name of the leader.
        term: The leader's term.
        commit_index: The leader's commit index.
        voters: The voters, as `NAME/STORE_ID`.
        leases: The leases that are held.
        failed: The tasks whose last holder released them with a failure.
    """

    leader: str
    term: int
    commit_index: int
    voters: tuple[str, ...]
    leases: list[LeaseSummary]
    failed: list[FailureSummary]


class ConfigPut(CouncilReply, frozen=True, tag="put"):
    """The result of a `PutConfig`.

    Attributes:
        outcome: The number of the new version, or why there is none.
    """

    outcome: PutOutcome


class VersionSummary(msgspec.Struct, array_like=True, frozen=True):
    """A version of the configuration without its text.

    The field names are keys of the JSON that operators read, so they must not change.

    Attributes:
        number: The number of the version.
        digest: The digest of its text, in hexadecimal.
        by: The author.
        at: The leader's time when the version was made, in ms.
        length: The length of the text in characters.
    """

    number: int
    digest: str
    by: str
    at: float
    length: int


class ConfigStatus(CouncilReply, frozen=True, tag="config"):
    """The versions of the configuration in the log.

    Attributes:
        stage: The stage of the newest version; 0 if there is no configuration.
        settled: The newest version whose quota move is settled (`config/versions.py` explains quota moves).
        moving: The version with which the unsettled quota move began; 0 for none.
        versions: The versions that are stored, the newest last.
        text: The text that was requested; None if it is not stored.
        leader: The name of the leader.
    """

    stage: int
    settled: int
    moving: int
    versions: list[VersionSummary]
    text: str | None
    leader: str


AnyRequest = AcquireLease | ReleaseLease | RenewLeases | ListFreeTasks | ShowCouncil | PutConfig | ShowConfig
"""Any request to the council."""
AnyReply = NotLeader | LeaseAcquired | LeasesRenewed | FreeTasks | CouncilStatus | ConfigPut | ConfigStatus
"""Any reply of the council."""
