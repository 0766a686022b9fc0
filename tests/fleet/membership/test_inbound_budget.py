"""The inbound budget, and the failure detector of a member that is short of processing time.

Guards against a fleet that is kept overloaded by its own messages, and against a slow or overloaded member
that accuses other members or declares them failed because it processes their acks late.
"""

from __future__ import annotations

import pytest

from cherrygrade.fleet.membership.failure_detector import (
    DIRECT_TIMEOUT_MS,
    MAX_LATENCY_MS,
    MIN_SUSPICION_MS,
    PROBE_PERIOD_MS,
    FailureDetector,
)
from cherrygrade.fleet.membership.inbound_budget import (
    BURST_UNITS,
    MAX_WAIT_MS,
    MAX_WAITING_MESSAGES,
    UNITS_PER_SECOND,
    InboundBudget,
)
from cherrygrade.fleet.membership.table import MemberInfo, MemberRecord, MembershipTable, MemberState


def process_all(budget: InboundBudget[str], now: float) -> list[str]:
    """Process messages until none may be processed any more."""
    processed = []
    while (message := budget.next(now)) is not None:
        processed.append(message)
    return processed


def test_processing_keeps_to_the_budget_however_many_messages_arrive():
    budget: InboundBudget[str] = InboundBudget(0.0)
    processed_units, now = 0.0, 0.0
    while now < 10_000.0:
        for _ in range(20):  # 2000 messages a second
            budget.arrived(b"n", 1400, "news", now)
        processed_units += len(process_all(budget, now)) * (0.5 + 1400 / 1024)
        now += 10.0
    assert (
        processed_units <= BURST_UNITS + 10.0 * UNITS_PER_SECOND + 2.0
        and processed_units >= 10.0 * UNITS_PER_SECOND
    )
    assert budget.waiting <= MAX_WAITING_MESSAGES and budget.dropped > 10_000
    assert budget.over_budget


def test_acks_and_probes_go_first_and_may_overdraw_the_budget():
    budget: InboundBudget[str] = InboundBudget(0.0)
    for number in range(90):
        budget.arrived(b"n", 1400, f"n{number}", 0.0)
    process_all(budget, 0.0)
    assert budget.next(0.0) is None  # the budget is used up
    for tag in (b"q", b"p", b"a"):
        budget.arrived(tag, 300, tag.decode(), 0.0)
    assert process_all(budget, 0.0) == ["a", "p"]


def test_messages_that_waited_too_long_are_dropped_in_favour_of_later_ones():
    budget: InboundBudget[str] = InboundBudget(0.0)
    for number in range(90):
        budget.arrived(b"n", 1400, f"n{number}", 0.0)
    process_all(budget, 0.0)
    ready_ms = budget.next_ready_ms(0.0)
    assert ready_ms is not None and 0.0 < ready_ms < 1000.0
    budget.arrived(b"n", 1400, "late", MAX_WAIT_MS + 1.0)
    assert (
        process_all(budget, MAX_WAIT_MS + 1.0) == ["late"] and budget.next_ready_ms(MAX_WAIT_MS + 1.0) is None
    )


def test_load_aggregator_that_sends_to_all_members_still_answers_probes():
    # If scheduler messages were charged to the budget, the aggregator would not answer probes for two seconds
    # and other members would declare it failed.
    budget: InboundBudget[str] = InboundBudget(0.0)
    for _ in range(200):
        budget.sent(b"w", 50, 0.0)
    budget.arrived(b"p", 300, "probe", 0.0)
    assert budget.next(0.0) == "probe" and not budget.over_budget


def alive_record(name: str, seat: int) -> MemberRecord:
    return MemberRecord(name, 1000, 0, MemberState.ALIVE, MemberInfo(f"10.0.0.{seat}:1", seat=seat))


def detector_among(member_count: int = 4) -> FailureDetector:
    """A failure detector of one of several members, past its grace time after the start."""
    table = MembershipTable(alive_record("me", 0), 0.0, 64, 1e9)
    for seat in range(1, member_count):
        table.merge(alive_record(f"m{seat}", seat), 0.0, "me")
    detector = FailureDetector(table, 1, 0.0)
    detector.started_ms = -1e9
    return detector


def run(detector: FailureDetector, until_ms: float, ack_delay_ms: float | None, now: float = 0.0) -> float:
    """Call `tick` whenever its time has come, and ack each probe after the delay, or never where it is None.

    Returns:
        The time at which the run ended, ms.
    """
    acks: list[tuple[float, str, int]] = []
    while now < until_ms:
        now = max(now + 1.0, min([detector.next_tick_ms(), *(ack_ms for ack_ms, _, _ in acks)]))
        for ack_ms, name, number in [ack for ack in acks if ack[0] <= now]:
            acks.remove((ack_ms, name, number))
            detector.message_received(detector.table.members[name], now)
            detector.ack_received(name, number, now)
        effects = detector.tick(now)
        if ack_delay_ms is not None:
            acks += [(now + ack_delay_ms, member.name, number) for member, number in effects.probes]
    return now


@pytest.mark.parametrize("slow_ms", [300.0, 700.0])
def test_nobody_is_accused_once_the_detector_has_measured_that_all_acks_are_slow(slow_ms):
    detector = detector_among()
    run(detector, 3000.0, slow_ms)
    accusations_before = detector.accusations
    run(detector, 30_000.0, slow_ms, 3000.0)
    assert (
        detector.accusations == accusations_before
        and detector.direct_timeout_ms(30_000.0) >= 2.0 * slow_ms * 0.5
    )


def test_timeouts_shorten_again_once_acks_are_quick_again():
    detector = detector_among()
    run(detector, 3000.0, 700.0)
    now = run(detector, 12_000.0, 5.0, 3000.0)
    assert (
        detector.direct_timeout_ms(now) == DIRECT_TIMEOUT_MS
        and detector.period_end_ms - now <= PROBE_PERIOD_MS
    )


def test_suspect_is_not_declared_failed_before_its_refutation_can_pass_a_slow_fleet():
    detector = detector_among()
    detector._record_latency(MAX_LATENCY_MS, 0.0)
    suspicion = MemberRecord("m1", 1000, 0, MemberState.SUSPECT, accuser="m2")
    detector.table.merge(suspicion, 0.0, "m2")
    detector.record_merged(suspicion, 0.0)
    detector._record_latency(MAX_LATENCY_MS, 3000.0)
    detector.tick(MIN_SUSPICION_MS + 2000.0)
    assert detector.table.members["m1"].state is MemberState.SUSPECT


def test_detector_that_has_just_started_accuses_nobody():
    detector = detector_among()
    detector.started_ms = 0.0
    run(detector, 2900.0, None)
    assert not detector.accusations


def test_detector_over_budget_asks_no_helpers_and_declares_nobody_failed():
    detector = detector_among()
    detector.over_budget = True
    now, help_requests = 0.0, 0
    while now < 20_000.0:
        now = max(now + 1.0, detector.next_tick_ms())
        detector.last_received_ms = now  # messages of other members arrive
        help_requests += len(detector.tick(now).indirect)
    assert help_requests == 0 and detector.deaths == 0


def test_nobody_is_accused_or_declared_failed_while_messages_are_unread():
    # With two hundred members on three cores, a member was declared failed while its refutation was unread in
    # the socket of the member that declared it.
    detector = detector_among()
    suspicion = MemberRecord("m1", 1000, 0, MemberState.SUSPECT, accuser="m2")
    detector.table.merge(suspicion, 0.0, "m2")
    detector.record_merged(suspicion, 0.0)
    run(detector, 1000.0, None)
    detector.has_unread, accusations_before = True, detector.accusations
    for now in range(1000, 2400, 20):
        detector.period_end_ms = min(detector.period_end_ms, now)
        detector.tick(float(now))
    assert detector.accusations == accusations_before and detector.deaths == 0
    detector.has_unread = False
    run(detector, 12_000.0, None, 2400.0)
    assert detector.deaths
