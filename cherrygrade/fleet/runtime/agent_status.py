"""Builds the answer to `cherrygrade fleet status` as JSON values, and the agent's counters.

The keys are read by operators' tools and stay as they are.
"""

from __future__ import annotations

from collections.abc import Callable, Mapping
from dataclasses import asdict
from typing import Any, Protocol

from cherrygrade.fleet.membership.inbound_budget import InboundBudget
from cherrygrade.fleet.membership.membership import Membership
from cherrygrade.fleet.membership.messages import MessageCodec
from cherrygrade.fleet.membership.partition import RULES_BY_STATE
from cherrygrade.fleet.membership.table import Member, MemberInfo
from cherrygrade.settings import FleetSettings


class HasStatus(Protocol):
    """A part of the agent that has its own section in the status."""

    def status(self) -> Mapping[str, Any] | None:
        """Return the section as JSON values; None where there is none."""


class StatusSource(Protocol):
    """The part of `FleetAgent` that the status reads; the attributes are documented there."""

    membership: Membership
    clock: Callable[[], float]
    fleet: FleetSettings
    codec: MessageCodec
    inbound_budget: InboundBudget[tuple[bytes, tuple[str, int]]]
    node_addresses: dict[int, str]
    sent: int
    sent_bytes: int
    received: int
    received_bytes: int
    unsent: int

    @property
    def council_server(self) -> HasStatus | None:
        """The council's part; None where the settings name no council."""

    @property
    def lease_tasks(self) -> HasStatus | None:
        """The tasks under leases; None where the settings name no council."""

    @property
    def config(self) -> HasStatus | None:
        """The shared configuration; None where it is off."""

    def counts(self) -> dict[str, int]:
        """Return the counters for the status and the log."""


def agent_status(agent: StatusSource) -> dict[str, Any]:
    """Return the fleet as one dispatcher knows it, as JSON values; times are ms before now."""
    membership, now = agent.membership, agent.clock()
    members = sorted(membership.table, key=lambda member: member.name)
    return {
        "name": membership.name,
        "fleet": agent.fleet.name,
        "side": membership.partition_state.value,
        "does": asdict(RULES_BY_STATE[membership.partition_state]),
        "record": membership.fleet_size,
        "living": len(membership.table.living()),
        "digest": f"{membership.table.digest:016x}",
        "doubt": membership.failure_detector.self_doubt,
        "yields": membership.superseded_by or membership.seat_yielded_to,
        "counts": agent.counts(),
        "members": [_member_status(member, now) for member in members],
        "nodes": _node_faults(agent, now),
        "council": agent.council_server.status() if agent.council_server is not None else None,
        "leases": agent.lease_tasks.status() if agent.lease_tasks is not None else None,
        "config": agent.config.status() if agent.config is not None else None,
    }


def _member_status(member: Member, now: float) -> dict[str, Any]:
    info = member.info or MemberInfo("")
    return {
        "name": member.name,
        "standing": member.state.name.lower(),
        "for_ms": round(now - member.state_since_ms),
        "by": member.reported_by,
        "heard_ms_ago": round(now - member.last_received_ms) if member.last_received_ms > 0.0 else None,
        "birth": member.incarnation,
        "turn": member.refutations,
        "place": info.address,
        "zone": info.zone,
        "version": info.version,
        "settings": info.settings_digest,
        "seat": info.seat,
    }


def _node_faults(agent: StatusSource, now: float) -> list[dict[str, Any]]:
    """Return the storage nodes that some member can't reach, with the reports of all members on each."""
    reachability, faults = agent.membership.reachability, []
    for node_hash in reachability.failing_nodes(now):
        view, failing, tried, zones = reachability.view(node_hash, now)
        own = reachability.own.get(node_hash)
        faults.append(
            {
                "node": agent.node_addresses.get(node_hash, f"mark {node_hash}"),
                "view": view.value,
                "trouble_at": failing,
                "tried_by": tried,
                "zones": zones,
                "ours_ms": round(now - own.failing_since_ms) if own and own.failing_since_ms >= 0.0 else None,
            }
        )
    return faults


def agent_counts(agent: StatusSource) -> dict[str, int]:
    """Return the counters of one dispatcher's agent, for its status and its log."""
    membership = agent.membership
    rejected = sorted(agent.codec.rejected.items())
    return {
        "sent": agent.sent,
        "sent_bytes": agent.sent_bytes,
        "got": agent.received,
        "got_bytes": agent.received_bytes,
        "unsent": agent.unsent,
        "beyond_ration": agent.inbound_budget.dropped,
        "overheard": membership.ignored_messages,
        "accusations": membership.failure_detector.accusations,
        "deaths": membership.failure_detector.deaths,
        "refuted": membership.refuted_accusations,
        "stalls": membership.failure_detector.stalls,
        "nodes_troubled": len(membership.reachability.failing_nodes(agent.clock())),
        **{f"dropped_{reason.replace(' ', '_')}": count for reason, count in rejected},
    }
