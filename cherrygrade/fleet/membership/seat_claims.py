"""Decides which of several members that claim one seat has it.

A seat is a dispatcher's number in the fleet, from 0. It entitles the dispatcher to a share of each quota and
of the load that nodes in slow start may get. Of the living members that claim one seat, the member with the
latest incarnation has it, as with two processes of one name, because a replacement starts later than the
process that it replaces. The other members yield as soon as they learn of the claim: they announce themselves
without a seat and use no share from then on. Until then both use the share. Preventing that would require a
dispatcher to wait for a message before it serves a request, and requests wait for none. `docs/fleet.md`
states how much harm this can do at most.

The module does no I/O, reads no clock and has no random source.
"""

from __future__ import annotations

from cherrygrade.fleet.membership.table import Member, MembershipTable


def precedence(member: Member) -> tuple[int, str]:
    """Return the sort key of members that claim one seat; the member with the highest key has it."""
    return (member.incarnation, member.name)


def holder(table: MembershipTable, seat: int) -> Member | None:
    """Return the living member that has the seat; None where no living member claims it."""
    claimants = [
        member for member in table if member.living and member.info is not None and member.seat == seat
    ]
    return max(claimants, key=precedence, default=None)


def yields_to(table: MembershipTable) -> str:
    """Return the name of the member to which this dispatcher has to yield its seat; empty where none."""
    own = table.own
    if own.seat < 0:
        return ""
    winner = holder(table, own.seat)
    return "" if winner is None or winner is own else winner.name


def contested(table: MembershipTable) -> dict[int, list[str]]:
    """Return the seats that more than one living member claims, with the claimants' names."""
    claimants: dict[int, list[str]] = {}
    for member in table.living():
        if member.seat >= 0:
            claimants.setdefault(member.seat, []).append(member.name)
    return {seat: names for seat, names in claimants.items() if len(names) > 1}
