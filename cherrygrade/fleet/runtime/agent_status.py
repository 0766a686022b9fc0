"""The answer to `cherrygrade fleet status`, in JSON's terms, and the agent's counters."""

from __future__ import annotations

from dataclasses import asdict
from typing import TYPE_CHECKING, Any

from cherrygrade.fleet.membership.partition import RULES_BY_STATE
from cherrygrade.fleet.membership.table import Member, MemberInfo

if TYPE_CHECKING:
    from cherrygrade.fleet.runtime.fleet_agent import FleetAgent


def agent_status(agent: FleetAgent) -> dict[str, Any]:
    """Return the fleet as one dispatcher knows it; times are ms before now."""
    membership, now = agent.membership, agent.clock()
    members = sorted(membership.table, key=lambda member: member.name)
    return {
        "name": membership.name,
        "fleet": agent.fleet.name,
        "side": membership.side.value,
        "does": asdict(RULES_BY_STATE[membership.side]),
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
        "for_ms": round(now - member.since),
        "by": member.by,
        "heard_ms_ago": round(now - member.last_received_ms) if member.last_received_ms > 0.0 else None,
        "birth": member.incarnation,
        "turn": member.refutations,
        "place": facts.address,
        "zone": facts.zone,
        "version": facts.version,
        "settings": facts.settings,
        "seat": facts.seat,
    }


def _node_faults(agent: FleetAgent, now: float) -> list[dict[str, Any]]:
    """Return the storage nodes that any member can't use, as the fleet sees them."""
    reachability, found = agent.membership.reachability, []
    for mark in reachability.troubled(now):
        view, bad, tried, zones = reachability.view(mark, now)
        own = reachability.own.get(mark)
        found.append(
            {
                "node": agent.node_addresses.get(mark, f"mark {mark}"),
                "view": view.value,
                "trouble_at": bad,
                "tried_by": tried,
                "zones": zones,
                "ours_ms": round(now - own.bad_from) if own and own.bad_from >= 0.0 else None,
            }
        )
    return found


def agent_counts(agent: FleetAgent) -> dict[str, int]:
    """Return the counters of one dispatcher's part in the fleet, for its status and its log."""
    membership = agent.membership
    dropped = sorted(agent.codec.wrong.items())
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
        "nodes_troubled": len(membership.reachability.troubled(agent.clock())),
        **{f"dropped_{why.replace(' ', '_')}": count for why, count in dropped},
    }
