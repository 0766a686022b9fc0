"""Requests of fleet members to the council, and its replies.

All structs here are positional on the wire: their field order, defaults and tags are fixed.
"""

from __future__ import annotations

from typing import NamedTuple

import msgspec

from cherrygrade.fleet.config.versions import PutOutcome
from cherrygrade.fleet.leases.lease_table import LeaseOutcome


class CouncilRequest(msgspec.Struct, array_like=True, frozen=True, tag_field="ask", tag="Ask"):
    """Base of the requests to the council.

    Attributes:
        id: Chosen by the client; a request that is repeated under its id has an effect once.
    """

    id: str


class AcquireLease(CouncilRequest, frozen=True, tag="take"):
    """A request for the lease of a task.

    Attributes:
        task: The task.
        holder: The name of the dispatcher that asks.
        incarnation: Identifies the life of the holder's process.
        duration_ms: How long the lease runs without renewal.
    """

    task: str
    holder: str
    incarnation: int
    duration_ms: float


class ReleaseLease(CouncilRequest, frozen=True, tag="give"):
    """Gives a lease back.

    Attributes:
        task: The task.
        number: The lease's number.
        failure: Why the holder could not do the task; "" if it did.
    """

    task: str
    number: int
    failure: str = ""


class RenewLeases(CouncilRequest, frozen=True, tag="renew"):
    """Renews all leases of one life of a holder.

    Attributes:
        holder: The name of the holder.
        incarnation: Identifies the life of the holder's process.
        held_digest: The digest of the leases that it holds, so that the reply need not list them.
    """

    holder: str
    incarnation: int
    held_digest: int = 0


class ListFreeTasks(CouncilRequest, frozen=True, tag="free"):
    """Asks which of these tasks are free and not resting after a failure."""

    tasks: list[str]


class ShowCouncil(CouncilRequest, frozen=True, tag="show"):
    """Asks for the council's voters, leader and leases, for people."""


class PutConfig(CouncilRequest, frozen=True, tag="put"):
    """A new version of the configuration; its text is judged before the voter gets it.

    Attributes:
        text: The whole text.
        based_on: The number of the newest version that the author saw; 0 for the first one.
        author: Who changes it.
    """

    text: str
    based_on: int
    author: str


class ShowConfig(CouncilRequest, frozen=True, tag="config"):
    """Asks for the versions of the configuration in the log.

    Attributes:
        number: The version whose text is wanted; 0 for none.
    """

    number: int = 0


class CouncilReply(msgspec.Struct, array_like=True, frozen=True, tag_field="answer", tag="Answer"):
    """Base of the council's replies.

    Attributes:
        id: The id of the request.
    """

    id: str


class NotLeader(CouncilReply, frozen=True, tag="elsewhere"):
    """The request was not carried out here; it may be repeated, at the leader if one is named.

    Attributes:
        leader: The leader's name; "" where none is known.
        reason: Why it was not carried out.
    """

    leader: str
    reason: str = ""


class LeaseAcquired(CouncilReply, frozen=True, tag="took"):
    """What became of an `AcquireLease` or a `ReleaseLease`: granted, done, or refused."""

    outcome: LeaseOutcome


class LeasesRenewed(CouncilReply, frozen=True, tag="renewed"):
    """Which leases are renewed.

    Attributes:
        numbers: The lease numbers by task; empty where `unchanged`.
        unchanged: Exactly the leases of the request's digest are renewed.
    """

    numbers: dict[str, int]
    unchanged: bool = False


class FreeTasks(CouncilReply, frozen=True, tag="freed"):
    """The tasks of a `ListFreeTasks` that are free."""

    tasks: list[str]


class LeaseSummary(NamedTuple):
    """A lease in a `CouncilStatus`; `remaining_ms` by the leader's count."""

    task: str
    holder: str
    number: int
    remaining_ms: float


class FailureSummary(NamedTuple):
    """A failed task in a `CouncilStatus`.

    Attributes:
        task: The task.
        failure_count: How often it has failed in a row.
        reason: The last failure.
        retry_after_ms: For how long it is not granted yet.
    """

    task: str
    failure_count: int
    reason: str
    retry_after_ms: float


class CouncilStatus(CouncilReply, frozen=True, tag="shown"):
    """The state of the council, as its leader has it.

    Attributes:
        leader: The leader's name.
        term: The leader's term.
        commit_index: The leader's commit index.
        voters: The voters, as `NAME/MARK`.
        leases: The leases that are held.
        failed: The tasks that failed and rest.
    """

    leader: str
    term: int
    commit_index: int
    voters: tuple[str, ...]
    leases: list[LeaseSummary]
    failed: list[FailureSummary]


class ConfigPut(CouncilReply, frozen=True, tag="put"):
    """The version that a `PutConfig` became, or why it did not."""

    outcome: PutOutcome


class VersionSummary(msgspec.Struct, array_like=True, frozen=True):
    """A version of the configuration without its text; the field names are keys of the operator's JSON.

    Attributes:
        number: The version's number.
        digest: Its digest, as hexadecimal.
        by: Its author.
        at: The leaders' time when it was put, in ms.
        length: Characters of its text.
    """

    number: int
    digest: str
    by: str
    at: float
    length: int


class ConfigStatus(CouncilReply, frozen=True, tag="config"):
    """The versions of the configuration in the log.

    Attributes:
        stage: The stage of the newest version; 0 for no configuration.
        settled: The newest version whose quota parts are settled.
        moving: The version whose quota parts still move; 0 for none.
        versions: Those that are stored, the newest last.
        text: The text that was asked for; None where it is not stored.
        leader: The leader's name.
    """

    stage: int
    settled: int
    moving: int
    versions: list[VersionSummary]
    text: str | None
    leader: str


AnyRequest = AcquireLease | ReleaseLease | RenewLeases | ListFreeTasks | ShowCouncil | PutConfig | ShowConfig
"""Every request to the council."""
AnyReply = NotLeader | LeaseAcquired | LeasesRenewed | FreeTasks | CouncilStatus | ConfigPut | ConfigStatus
"""Every reply of the council."""
