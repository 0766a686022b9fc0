"""Two that claim one seat: which of them yields.

A seat is a part of every cold node and of every limit, dealt out by the settings. Of the living that claim
one, who was born last holds it, as under one name: what replaces something is younger than it. The others
yield as soon as they hear, by a word of their own with no seat, and use no part from then on. Until they
hear both use it; that cannot be prevented without a word from somebody, and RPCs wait for no word:
`docs/fleet.md` says what it may cost.

Free of I/O, clock and chance.
"""

from __future__ import annotations

from cherrygrade.fleet.membership.table import Member, MembershipTable


def rank(member: Member) -> tuple[int, str]:
    return (member.birth, member.name)


def holder(roll: MembershipTable, seat: int) -> Member | None:
    """Of the living that claim the seat, who holds it."""
    claims = [one for one in roll if one.living and one.facts is not None and one.seat == seat]
    return max(claims, key=rank, default=None)


def yields(roll: MembershipTable) -> str:
    """Whether this dispatcher has to give up its seat: the name of who holds it, or nothing."""
    own = roll.own
    if own.seat < 0:
        return ""
    found = holder(roll, own.seat)
    return "" if found is None or found is own else found.name


def doubled(roll: MembershipTable) -> dict[int, list[str]]:
    """Seats that more than one of the living claim, with their names, for people."""
    claims: dict[int, list[str]] = {}
    for one in roll.living():
        if one.seat >= 0:
            claims.setdefault(one.seat, []).append(one.name)
    return {seat: names for seat, names in claims.items() if len(names) > 1}
