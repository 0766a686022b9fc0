"""Replies to requests that change nothing in the log: renewals of leases, and what people are shown.

Each is given only once the leadership is confirmed after the request (Raft's read index, Ongaro 2014, section
6.4). A renewal lives in the leader's memory alone.
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
    """Carry out a request whose leadership is confirmed.

    Args:
        request: A `RenewLeases`, `ListFreeTasks`, `ShowConfig` or `ShowCouncil`.
        raft: The leader's log.
        state_machine: The leader's state.
        renewals: The leader's count of leases; a renewal is recorded there.
        now: The leader's clock, in ms.
        leader_time: The time of the log, in ms.
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
    log = state_machine.versions
    summaries = [
        VersionSummary(
            version.number, version.digest.hex(), version.author, version.created_at, len(version.text)
        )
        for version in log.versions.values()
    ]
    wanted = log.versions.get(request.number)
    text = wanted.text if wanted is not None else None
    return ConfigStatus(request.id, log.stage, log.settled_number, log.moving_number, summaries, text, leader)
