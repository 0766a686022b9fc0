"""What a member takes up in a second has a bound, whatever happens; who starves accuses and buries nobody."""

from __future__ import annotations

import pytest

from cherrygrade.fleet.membership.failure_detector import (
    DIRECT_TIMEOUT_MS,
    MAX_LATENCY_MS,
    MIN_SUSPICION_MS,
    PERIOD_MS,
    FailureDetector,
)
from cherrygrade.fleet.membership.inbound_budget import (
    BURST_UNITS,
    MAX_WAITING,
    STALE_MS,
    UNITS_PER_SECOND,
    InboundBudget,
)
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
            ration.arrived(b"n", 1400, "news", now)
        taken += len(drain(ration, now)) * (0.5 + 1400 / 1024)
        now += 10.0
    assert taken <= BURST_UNITS + 10.0 * UNITS_PER_SECOND + 2.0 and taken >= 10.0 * UNITS_PER_SECOND
    assert ration.waiting <= MAX_WAITING and ration.dropped > 10_000
    assert ration.over_budget


def test_answers_and_probes_go_first_and_in_need_beyond_the_ration():
    ration: InboundBudget[str] = InboundBudget(0.0)
    for at in range(90):
        ration.arrived(b"n", 1400, f"n{at}", 0.0)
    drain(ration, 0.0)
    assert ration.next(0.0) is None  # used up
    for kind in (b"q", b"p", b"a"):
        ration.arrived(kind, 300, kind.decode(), 0.0)
    assert drain(ration, 0.0) == ["a", "p"]


def test_what_waited_for_long_is_dropped_and_the_rest_has_its_time():
    ration: InboundBudget[str] = InboundBudget(0.0)
    for at in range(90):
        ration.arrived(b"n", 1400, f"n{at}", 0.0)
    drain(ration, 0.0)
    due = ration.next_ready_ms(0.0)
    assert due is not None and 0.0 < due < 1000.0
    ration.arrived(b"n", 1400, "late", STALE_MS + 1.0)
    assert drain(ration, STALE_MS + 1.0) == ["late"] and ration.next_ready_ms(STALE_MS + 1.0) is None


def test_a_keeper_that_tells_all_still_answers():
    # Its words were taken for the fleet's talk, and it did not answer for two seconds: others called it dead.
    ration: InboundBudget[str] = InboundBudget(0.0)
    for _ in range(200):
        ration.sent(b"w", 50, 0.0)
    ration.arrived(b"p", 300, "probe", 0.0)
    assert ration.next(0.0) == "probe" and not ration.over_budget


def member(name: str, at: int) -> MemberRecord:
    return MemberRecord(name, 1000, 0, MemberState.ALIVE, MemberInfo(f"10.0.0.{at}:1", seat=at))


def probing(count: int = 4) -> FailureDetector:
    roll = MembershipTable(member("me", 0), 0.0, 64, 1e9)
    for at in range(1, count):
        roll.merge(member(f"m{at}", at), 0.0, "me")
    found = FailureDetector(roll, 1, 0.0)
    found.started_ms = -1e9
    return found


def run(one: FailureDetector, until: float, answers_after: float | None, now: float = 0.0) -> float:
    """Beats as they are due; each probe is answered after so many ms, straight from its member."""
    out: list[tuple[float, str, int]] = []
    while now < until:
        now = max(now + 1.0, min([one.next_tick_ms(), *(at for at, _, _ in out)]))
        for at, name, number in [held for held in out if held[0] <= now]:
            out.remove((at, name, number))
            one.message_received(one.table.members[name], now)
            one.ack_received(name, number, now)
        does = one.tick(now)
        if answers_after is not None:
            out += [(now + answers_after, m.name, number) for m, number in does.probes]
    return now


@pytest.mark.parametrize("slow_ms", [300.0, 700.0])
def test_where_all_answers_are_slow_nobody_is_accused_once_that_is_seen(slow_ms):
    one = probing()
    run(one, 3000.0, slow_ms)
    before = one.accusations
    run(one, 30_000.0, slow_ms, 3000.0)
    assert one.accusations == before and one.direct_timeout_ms(30_000.0) >= 2.0 * slow_ms * 0.5


def test_patience_comes_back_once_answers_are_quick_again():
    one = probing()
    run(one, 3000.0, 700.0)
    now = run(one, 12_000.0, 5.0, 3000.0)
    assert one.direct_timeout_ms(now) == DIRECT_TIMEOUT_MS and one.period_ends_at - now <= PERIOD_MS


def test_a_suspect_is_not_buried_sooner_than_its_word_can_come_through_a_slow_fleet():
    one = probing()
    one._record_latency(MAX_LATENCY_MS, 0.0)
    claim = MemberRecord("m1", 1000, 0, MemberState.SUSPECT, accuser="m2")
    one.table.merge(claim, 0.0, "m2")
    one.record_merged(claim, 0.0)
    one._record_latency(MAX_LATENCY_MS, 3000.0)
    one.tick(MIN_SUSPICION_MS + 2000.0)
    assert one.table.members["m1"].state is MemberState.SUSPECT


def test_one_that_has_just_begun_accuses_nobody():
    one = probing()
    one.started_ms = 0.0
    run(one, 2900.0, None)
    assert not one.accusations


def test_one_that_is_short_asks_no_helpers_and_buries_nobody():
    one = probing()
    one.over_budget = True
    now, asked = 0.0, 0
    while now < 20_000.0:
        now = max(now + 1.0, one.next_tick_ms())
        one.last_received_ms = now  # others speak
        asked += len(one.tick(now).indirect)
    assert asked == 0 and one.deaths == 0


def test_nobody_is_accused_or_buried_while_pages_lie_unread():
    # On three cores one of two hundred was buried while its own word lay in the socket of who buried it.
    one = probing()
    claim = MemberRecord("m1", 1000, 0, MemberState.SUSPECT, accuser="m2")
    one.table.merge(claim, 0.0, "m2")
    one.record_merged(claim, 0.0)
    run(one, 1000.0, None)
    one.has_unread, before = True, one.accusations
    for now in range(1000, 2400, 20):
        one.period_ends_at = min(one.period_ends_at, now)
        one.tick(float(now))
    assert one.accusations == before and one.deaths == 0
    one.has_unread = False
    run(one, 12_000.0, None, 2400.0)
    assert one.deaths
