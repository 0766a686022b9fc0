"""Replies to requests that write no log entry: renewals of leases, and queries.

The leader replies only once its leadership is confirmed after the request (Raft's read index, Ongaro 2014,
section 6.4). A renewal is recorded in the leader's memory alone.
"""

from __future__ import annotations

from cherrygrade.fleet.consensus.council_messages import (
    AnyReply,
    AnyRequest,
    ConfigStatus,
    CouncilStatus,
    FailureSummary,
    FreeTasks,
    LeasesRenewed,
    LeaseSummary,
    ListFreeTasks,
    RenewLeases,
    ShowConfig,
    VersionSummary,
)
from cherrygrade.fleet.consensus.raft import Raft
from cherrygrade.fleet.consensus.state_machine import StateMachine
from cherrygrade.fleet.leases.lease_table import lease_digest
from cherrygrade.fleet.leases.renewal_tracker import RenewalTracker


def reply_to_read(
    request: AnyRequest,
    raft: Raft,
    state_machine: StateMachine,
    renewals: RenewalTracker,
    now: float,
    leader_time: float,
) -> AnyReply:
    """Carry out a request after which the leadership was confirmed, and return the reply.

    Args:
        request: A `RenewLeases`, `ListFreeTasks`, `ShowConfig` or `ShowCouncil`.
        raft: The leader's Raft state.
        state_machine: The leader's state machine.
        renewals: The leader's count of lease durations; a renewal is recorded there.
        now: The leader's clock, in ms.
        leader_time: The leader's time as it stands in log entries, in ms.
    """
    if isinstance(request, RenewLeases):
        return _renew(request, state_machine, renewals, now)
    if isinstance(request, ListFreeTasks):
        leases = state_machine.leases
        return FreeTasks(request.id, [task for task in request.tasks if leases.is_free(task, leader_time)])
    leader = raft.leader.partition("/")[0]
    if isinstance(request, ShowConfig):
        return _config_status(request, state_machine, leader)
    leases = state_machine.leases
    return CouncilStatus(
        request.id,
        leader,
        raft.term,
        raft.commit_index,
        raft.voters,
        [
            LeaseSummary(lease.task, lease.holder, lease.number, renewals.expiry_of(lease) - now)
            for lease in leases.leases.values()
        ],
        [
            FailureSummary(
                task, failure.failure_count, failure.reason, max(0.0, failure.retry_at - leases.now)
            )
            for task, failure in leases.failed_tasks.items()
        ],
    )


def _renew(
    request: RenewLeases, state_machine: StateMachine, renewals: RenewalTracker, now: float
) -> LeasesRenewed:
    numbers = renewals.renew(state_machine.leases, request.holder, request.incarnation, now)
    unchanged = bool(numbers) and lease_digest(numbers.items()) == request.held_digest
    return LeasesRenewed(request.id, {} if unchanged else numbers, unchanged)


def _config_status(request: ShowConfig, state_machine: StateMachine, leader: str) -> ConfigStatus:
    version_log = state_machine.versions
    summaries = [
        VersionSummary(
            version.number, version.digest.hex(), version.author, version.created_at, len(version.text)
        )
        for version in version_log.versions.values()
    ]
    wanted = version_log.versions.get(request.number)
    text = wanted.text if wanted is not None else None
    return ConfigStatus(
        request.id,
        version_log.stage,
        version_log.settled_number,
        version_log.moving_number,
        summaries,
        text,
        leader,
    )
