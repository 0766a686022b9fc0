"""What a member takes up in a second has a bound, whatever happens; who starves accuses and buries nobody."""

from __future__ import annotations

import pytest

from cherrygrade.fleet.membership.failure_detector import (
    DIRECT_MS,
    LEAST_MS,
    PERIOD_MS,
    SLOWEST_MS,
    FailureDetector,
)
from cherrygrade.fleet.membership.inbound_budget import A_SECOND, BURST, MOST_WAITING, STALE_MS, InboundBudget
from cherrygrade.fleet.membership.table import MemberInfo, MemberRecord, MembershipTable, MemberState


def drain(ration: InboundBudget[str], now: float) -> list[str]:
    found = []
    while (page := ration.next(now)) is not None:
        found.append(page)
    return found


def test_in_any_second_no_more_is_taken_up_than_the_ration_however_much_comes():
    ration: InboundBudget[str] = InboundBudget(0.0)
    taken, now = 0.0, 0.0
    while now < 10_000.0:
        for _ in range(20):  # two thousand a second
            ration.came(b"n", 1400, "news", now)
        taken += len(drain(ration, now)) * (0.5 + 1400 / 1024)
        now += 10.0
    assert taken <= BURST + 10.0 * A_SECOND + 2.0 and taken >= 10.0 * A_SECOND
    assert sum(map(len, ration.waiting)) <= MOST_WAITING and ration.dropped > 10_000
    assert ration.short


def test_answers_and_probes_go_first_and_in_need_beyond_the_ration():
    ration: InboundBudget[str] = InboundBudget(0.0)
    for at in range(90):
        ration.came(b"n", 1400, f"n{at}", 0.0)
    drain(ration, 0.0)
    assert ration.next(0.0) is None  # used up
    for kind in (b"q", b"p", b"a"):
        ration.came(kind, 300, kind.decode(), 0.0)
    assert drain(ration, 0.0) == ["a", "p"]


def test_what_waited_for_long_is_dropped_and_the_rest_has_its_time():
    ration: InboundBudget[str] = InboundBudget(0.0)
    for at in range(90):
        ration.came(b"n", 1400, f"n{at}", 0.0)
    drain(ration, 0.0)
    due = ration.due(0.0)
    assert due is not None and 0.0 < due < 1000.0
    ration.came(b"n", 1400, "late", STALE_MS + 1.0)
    assert drain(ration, STALE_MS + 1.0) == ["late"] and ration.due(STALE_MS + 1.0) is None


def test_a_keeper_that_tells_all_still_answers():
    # Its words were taken for the fleet's talk, and it did not answer for two seconds: others called it dead.
    ration: InboundBudget[str] = InboundBudget(0.0)
    for _ in range(200):
        ration.spent(b"w", 50, 0.0)
    ration.came(b"p", 300, "probe", 0.0)
    assert ration.next(0.0) == "probe" and not ration.short


def member(name: str, at: int) -> MemberRecord:
    return MemberRecord(name, 1000, 0, MemberState.ALIVE, MemberInfo(f"10.0.0.{at}:1", seat=at))


def probing(count: int = 4) -> FailureDetector:
    roll = MembershipTable(member("me", 0), 0.0, 64, 1e9)
    for at in range(1, count):
        roll.hear(member(f"m{at}", at), 0.0, "me")
    found = FailureDetector(roll, 1, 0.0)
    found.begun = -1e9
    return found


def run(one: FailureDetector, until: float, answers_after: float | None, now: float = 0.0) -> float:
    """Beats as they are due; each probe is answered after so many ms, straight from its member."""
    out: list[tuple[float, str, int]] = []
    while now < until:
        now = max(now + 1.0, min([one.due(), *(at for at, _, _ in out)]))
        for at, name, number in [held for held in out if held[0] <= now]:
            out.remove((at, name, number))
            one.spoke(one.roll.members[name], now)
            one.answered(name, number, now)
        does = one.beat(now)
        if answers_after is not None:
            out += [(now + answers_after, m.name, number) for m, number in does.probe]
    return now


@pytest.mark.parametrize("slow_ms", [300.0, 700.0])
def test_where_all_answers_are_slow_nobody_is_accused_once_that_is_seen(slow_ms):
    one = probing()
    run(one, 3000.0, slow_ms)
    before = one.accusations
    run(one, 30_000.0, slow_ms, 3000.0)
    assert one.accusations == before and one.direct(30_000.0) >= 2.0 * slow_ms * 0.5


def test_patience_comes_back_once_answers_are_quick_again():
    one = probing()
    run(one, 3000.0, 700.0)
    now = run(one, 12_000.0, 5.0, 3000.0)
    assert one.direct(now) == DIRECT_MS and one.next_at - now <= PERIOD_MS


def test_a_suspect_is_not_buried_sooner_than_its_word_can_come_through_a_slow_fleet():
    one = probing()
    one._took(SLOWEST_MS, 0.0)
    claim = MemberRecord("m1", 1000, 0, MemberState.SUSPECT, by="m2")
    one.roll.hear(claim, 0.0, "m2")
    one.heard(claim, 0.0)
    one._took(SLOWEST_MS, 3000.0)
    one.beat(LEAST_MS + 2000.0)
    assert one.roll.members["m1"].standing is MemberState.SUSPECT


def test_one_that_has_just_begun_accuses_nobody():
    one = probing()
    one.begun = 0.0
    run(one, 2900.0, None)
    assert not one.accusations


def test_one_that_is_short_asks_no_helpers_and_buries_nobody():
    one = probing()
    one.short = True
    now, asked = 0.0, 0
    while now < 20_000.0:
        now = max(now + 1.0, one.due())
        one.heard_at = now  # others speak
        asked += len(one.beat(now).ask)
    assert asked == 0 and one.deaths == 0


def test_nobody_is_accused_or_buried_while_pages_lie_unread():
    # On three cores one of two hundred was buried while its own word lay in the socket of who buried it.
    one = probing()
    claim = MemberRecord("m1", 1000, 0, MemberState.SUSPECT, by="m2")
    one.roll.hear(claim, 0.0, "m2")
    one.heard(claim, 0.0)
    run(one, 1000.0, None)
    one.unread, before = True, one.accusations
    for now in range(1000, 2400, 20):
        one.next_at = min(one.next_at, now)
        one.beat(float(now))
    assert one.accusations == before and one.deaths == 0
    one.unread = False
    run(one, 12_000.0, None, 2400.0)
    assert one.deaths
