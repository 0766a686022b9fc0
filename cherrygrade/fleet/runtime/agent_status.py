"""The answer to `cherrygrade fleet status`, in JSON's terms, and the agent's counters."""

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
    """A part of the agent that has a status of its own."""

    def status(self) -> Mapping[str, Any] | None:
        """Return it in JSON's terms."""


class StatusSource(Protocol):
    """The fleet agent, as its status needs it; see `FleetAgent`."""

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
        """The council's part, where there is one."""

    @property
    def lease_tasks(self) -> HasStatus | None:
        """The leases' part, where there is one."""

    @property
    def config(self) -> HasStatus | None:
        """The configuration's part, where there is one."""

    def counts(self) -> dict[str, int]:
        """Return the counters."""


def agent_status(agent: StatusSource) -> dict[str, Any]:
    """Return the fleet as one dispatcher knows it; times are ms before now."""
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
    facts = member.info or MemberInfo("")
    return {
        "name": member.name,
        "standing": member.state.name.lower(),
        "for_ms": round(now - member.state_since_ms),
        "by": member.reported_by,
        "heard_ms_ago": round(now - member.last_received_ms) if member.last_received_ms > 0.0 else None,
        "birth": member.incarnation,
        "turn": member.refutations,
        "place": facts.address,
        "zone": facts.zone,
        "version": facts.version,
        "settings": facts.settings_digest,
        "seat": facts.seat,
    }


def _node_faults(agent: StatusSource, now: float) -> list[dict[str, Any]]:
    """Return the storage nodes that any member can't use, as the fleet sees them."""
    reachability, found = agent.membership.reachability, []
    for mark in reachability.failing_nodes(now):
        view, bad, tried, zones = reachability.view(mark, now)
        own = reachability.own.get(mark)
        found.append(
            {
                "node": agent.node_addresses.get(mark, f"mark {mark}"),
                "view": view.value,
                "trouble_at": bad,
                "tried_by": tried,
                "zones": zones,
                "ours_ms": round(now - own.failing_since_ms) if own and own.failing_since_ms >= 0.0 else None,
            }
        )
    return found


def agent_counts(agent: StatusSource) -> dict[str, int]:
    """Return the counters of one dispatcher's part in the fleet, for its status and its log."""
    membership = agent.membership
    dropped = sorted(agent.codec.rejected.items())
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
        **{f"dropped_{why.replace(' ', '_')}": count for why, count in dropped},
    }
