"""Builds a voter's section of the answer to `cherrygrade fleet status`."""

from __future__ import annotations

from typing import Any

from cherrygrade.fleet.consensus.voter import Voter


def voter_status(voter: Voter, voter_id: str, now: float) -> dict[str, Any]:
    """Return the council as this voter knows it, as JSON values.

    Args:
        voter: The voter; its state may be behind the leader's.
        voter_id: The voter's identity in the council.
        now: The time in ms. The remaining time of a lease is given by the leader only: others do not know it.
    """
    raft = voter.raft
    return {
        "leader": voter.leader,
        "me": voter_id,
        "votes": voter_id in raft.voters,
        "voters": [*raft.voters],
        "term": raft.term,
        "agreed": raft.commit_index,
        "leases": [
            {
                "task": lease.task,
                "holder": lease.holder,
                "number": lease.number,
                "left_ms": round(voter.renewals.expiry_of(lease) - now) if raft.is_leader else None,
            }
            for lease in voter.state_machine.leases.leases.values()
        ],
        "failed": {
            task: [failed.failure_count, failed.reason]
            for task, failed in voter.state_machine.leases.failed_tasks.items()
        },
    }
