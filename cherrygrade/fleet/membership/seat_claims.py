"""Two members that claim one seat: which of them yields.

A seat is a share of every cold node and of every limit, as the settings divide them. Of the living that
claim one, the member with the latest incarnation holds it, as with two processes under one name: a
replacement is younger than what it replaces. The others yield as soon as they learn of it, by announcing
themselves without a seat, and use no share from then on. Until then both use it. That can't be prevented
without waiting for a message, and requests wait for none; `docs/fleet.md` gives the bound of the harm.

Free of I/O, clock and chance.
"""

from __future__ import annotations

from cherrygrade.fleet.membership.table import Member, MembershipTable


def precedence(member: Member) -> tuple[int, str]:
    """Order of members that claim one seat: the highest holds it."""
    return (member.incarnation, member.name)


def holder(table: MembershipTable, seat: int) -> Member | None:
    """Of the living that claim the seat, the one that holds it."""
    claimants = [
        member for member in table if member.living and member.info is not None and member.seat == seat
    ]
    return max(claimants, key=precedence, default=None)


def yields_to(table: MembershipTable) -> str:
    """The name of the member to which this dispatcher has to yield its seat; empty where it keeps it."""
    own = table.own
    if own.seat < 0:
        return ""
    found = holder(table, own.seat)
    return "" if found is None or found is own else found.name


def contested(table: MembershipTable) -> dict[int, list[str]]:
    """Seats that more than one of the living claim, with the claimants' names."""
    claimants: dict[int, list[str]] = {}
    for member in table.living():
        if member.seat >= 0:
            claimants.setdefault(member.seat, []).append(member.name)
    return {seat: names for seat, names in claimants.items() if len(names) > 1}
