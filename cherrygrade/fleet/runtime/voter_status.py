"""A voter's part of the answer to `cherrygrade fleet status`."""

from __future__ import annotations

from typing import Any

from cherrygrade.fleet.consensus.voter import Voter


def voter_status(voter: Voter, voter_id: str, now: float) -> dict[str, Any]:
    """Return the council as this voter knows it, in JSON's terms.

    Args:
        voter: It may be behind the others where it does not lead.
        voter_id: Its identity in the council.
        now: The time in ms; how long leases last yet is known to the leader alone.
    """
    known = voter.raft
    return {
        "leader": voter.leader,
        "me": voter_id,
        "votes": voter_id in known.voters,
        "voters": [*known.voters],
        "term": known.term,
        "agreed": known.commit_index,
        "leases": [
            {
                "task": lease.task,
                "holder": lease.holder,
                "number": lease.number,
                "left_ms": round(voter.renewals.expiry_of(lease) - now) if known.is_leader else None,
            }
            for lease in voter.state_machine.leases.leases.values()
        ],
        "failed": {
            task: [one.failure_count, one.reason]
            for task, one in voter.state_machine.leases.failed_tasks.items()
        },
    }
