"""Converts the membership table to the types that `config/` decides by."""

from __future__ import annotations

from cherrygrade.fleet.config.joint_phase import SeatedMember
from cherrygrade.fleet.config.replica_messages import ReachableMember
from cherrygrade.fleet.membership.table import MembershipTable, MemberState


def reachable_members(table: MembershipTable) -> list[ReachableMember]:
    """Return the living members other than this dispatcher whose address is known."""
    return [
        ReachableMember(member.name, member.info.zone, member.seat)
        for member in table.others()
        if member.info
    ]


def seated_members(table: MembershipTable) -> list[SeatedMember]:
    """Return all members whose seat is known, including failed and departed ones."""
    return [
        SeatedMember(
            member.seat,
            member.name,
            member.incarnation,
            member.living,
            member.state is MemberState.LEFT,
        )
        for member in table
        if member.info is not None
    ]
