"""Failures of nodes, dispatchers and estimates that the scheduler has to cope with, one per test."""

from __future__ import annotations

import pytest
from support.fake_host import EXPORT, READ, FakeHost

from cherrygrade.gateway.lateness import Lateness
from cherrygrade.scheduling.model import (
    Node,
    NodeState,
    Outcome,
    ServicePlan,
    SitePolicy,
    SlowStartSettings,
    UtilityModel,
)


def answer_all(host):
    """Answer all attempts in flight with success."""
    for attempt in [attempt for attempt in host.sent if attempt.outcome is None]:
        host.answer(attempt)


def test_lost_attempt_releases_its_slot_before_the_deadline():
    """A message is lost on its way; without this the slot would stay occupied until the deadline."""
    host = FakeHost()
    host.submit(host.make_request(), host.make_request())
    assert len(host.sent) == 2
    host.pass_time(400.0)
    host.submit(host.make_request())
    assert len(host.sent) == 3


def test_silent_node_gets_health_checks_only_and_new_objects_go_to_another():
    """A node stops answering; without ejection requests would keep waiting at it until they fail."""
    host = FakeHost(nodes=2)
    for _ in range(200):
        host.submit(host.make_request(), host.make_request(shard=-1))
        for attempt in [
            attempt for attempt in host.sent if attempt.outcome is None and attempt.node is host.nodes[1]
        ]:
            host.answer(attempt)
        host.pass_time(20.0)
    silent = [attempt for attempt in host.sent if attempt.node is host.nodes[0]]
    assert 3 <= len(silent) <= 12
    assert sum(1 for attempt in host.sent if attempt.request.shard == -1) > 190


def test_node_that_was_down_counts_as_cold_before_the_list_shows_its_restart():
    """A node restarts faster than the endpoint list is updated, and would be overloaded while it is cold."""
    slow_start = SlowStartSettings(
        base_units=4.0, cold_capacity=0.25, overload_multiple=2.0, window_ms=1000.0, warm_up_ms=10000.0
    )
    host = FakeHost(dispatchers=4, slow_start=slow_start)
    for _ in range(40):
        host.submit(host.make_request(EXPORT))
        for attempt in [attempt for attempt in host.sent if attempt.outcome is None]:
            host.answer(attempt, Outcome.CONNECT_FAILED)
        host.pass_time(100.0)
    before = len(host.sent)
    for _ in range(500):
        host.submit(host.make_request())
        answer_all(host)
        host.pass_time(10.0)
    assert 1 <= len(host.sent) - before <= 30


@pytest.mark.parametrize("dispatchers", [1, 3, 200, 1000])
def test_all_dispatchers_together_stay_within_the_limit_of_a_cold_node(dispatchers):
    """Dispatchers do not coordinate, so the sum of their quotas has to stay within what the node can take."""
    slow_start = SlowStartSettings(
        base_units=12.0, cold_capacity=0.25, overload_multiple=2.0, window_ms=1000.0, warm_up_ms=10000.0
    )
    sent_ms = []
    for number in range(dispatchers):
        host = FakeHost(dispatchers=dispatchers, number=number, slow_start=slow_start)
        host.nodes[0].started_ms = host.now - 1.0
        for _ in range(20):
            host.submit(host.make_request())
            answer_all(host)
            host.now += 100.0
        sent_ms += [attempt.sent_ms for attempt in host.sent]
    max_in_window = max(sum(1 for at in sent_ms if first <= at < first + 1000.0) for first in sent_ms)
    assert 6 <= max_in_window <= 12.0 * 2.0


def test_node_that_started_after_this_dispatcher_gets_its_quota_at_once():
    # The seat's previous owner cannot have sent to such a node. If the quota counted as used, none of the
    # dispatchers would send to the node for a window, even if there are 200 of them.
    slow_start = SlowStartSettings(
        base_units=12.0, cold_capacity=0.25, overload_multiple=3.0, window_ms=3000.0, warm_up_ms=13000.0
    )
    host = FakeHost(slow_start=slow_start)
    host.pass_time(500.0)
    newer_node = Node("10.0.0.8:1", zone="z", shard=8, started_ms=host.now - 100.0)
    older_node = Node("10.0.0.9:1", zone="z", shard=9, started_ms=host.now - 600.0)
    host.round(endpoint_changes=[newer_node, older_node])
    host.submit(host.make_request(shard=8), host.make_request(shard=9))
    assert [attempt.node for attempt in host.sent] == [newer_node]


def test_new_object_taken_over_by_a_node_that_cannot_start_it_is_answered_in_time():
    """A node queue that takes over an unplaced request and cannot start it must still check it in time."""
    host = FakeHost()
    queue = host.dispatcher.node_queues[host.nodes[0]]
    queue.limit.window = 1.0
    host.submit(host.make_request(deadline_after_ms=5000.0))
    host.pass_time(290.0)
    export = host.make_request(EXPORT, shard=-1, deadline_after_ms=400.0)
    host.submit(export)
    queue.latency.waiting_ms = 500.0
    host.answer(host.sent[0])
    assert export in [queued.request for queued in queue.batch]
    host.pass_time(390.0)
    assert export.finished and not export.attempts


def test_pressed_request_that_misses_its_objective_is_rejected_early():
    """Late pressed requests earn little, and would take slots from those that can still be in time."""
    host = FakeHost()
    host.submit(*[host.make_request() for _ in range(10)])
    host.pass_time(READ.latency_objective_ms + 30.0)
    assert len(host.rejected) == 8


def test_use_through_other_dispatchers_is_charged_to_the_volume():
    """A volume could otherwise use its full quota through each of the dispatchers."""
    host = FakeHost(utility=UtilityModel(within_quota=0.5, beyond_quota=0.1, reports_use_elsewhere=True))
    host.submit(host.make_request(volume="a"), host.make_request(volume="b"))
    host.answer(host.sent[0], units_elsewhere=500.0)
    host.submit(*[host.make_request(volume=name) for name in "aaaba"])
    assert host.sent[2].request.volume == "b"


def test_requests_beyond_their_volumes_quota_wait_behind_those_within_theirs():
    """One busy volume could otherwise delay the requests of all others."""
    host = FakeHost()
    plan = ServicePlan("plan", usual_rate=4.0)
    host.submit(*[host.make_request(plan=plan, volume="loud") for _ in range(20)])
    quiet = host.make_request(plan=plan, volume="quiet")
    host.submit(quiet)
    host.answer(host.sent[0])
    host.answer(host.sent[1])
    assert quiet in [attempt.request for attempt in host.sent]


def test_window_does_not_grow_unused_and_shrinks_when_attempts_wait_at_the_node():
    """A window that grew while unused would let a later burst overload the node."""
    host = FakeHost()
    queue = host.dispatcher.node_queues[host.nodes[0]]
    for latency_ms in [10.0] * 40 + [190.0] * 40:
        host.submit(host.make_request())
        host.pass_time(latency_ms)
        answer_all(host)
        host.pass_time(40.0)
        assert queue.limit.window <= 2.0
    assert queue.limit.window == 1.0


def test_share_moves_to_the_pressed_queue_while_it_misses_its_objective_and_batch_waits():
    """Batch requests could otherwise keep pressed ones from meeting their latency objective."""
    host = FakeHost()
    queue = host.dispatcher.node_queues[host.nodes[0]]
    for _ in range(60):
        host.submit(*[host.make_request() for _ in range(4)], host.make_request(EXPORT))
        host.pass_time(50.0)
        answer_all(host)
    assert queue.controller.share > 0.9 or queue.controller.reserved_slots == 1


def test_batch_waits_while_other_dispatchers_crowd_the_node():
    """The pressed requests of other dispatchers are not visible here, and batch would delay them."""
    host = FakeHost()
    queue = host.dispatcher.node_queues[host.nodes[0]]
    for latency_ms in [10.0] * 10 + [180.0] * 30:
        host.submit(host.make_request())
        host.pass_time(latency_ms)
        answer_all(host)
    export = host.make_request(EXPORT)
    host.submit(export)
    assert queue.limit.window == 1.0 and not export.attempts
    host.pass_time(1500.0)
    assert export.attempts


def test_one_more_request_on_the_newest_key_starts_beyond_the_window():
    """A node needs little work for it, but only one may exceed the window, or a hot key would evade it."""
    host = FakeHost()
    same_key = [host.make_request(key="k") for _ in range(4)]
    host.submit(host.make_request(key="other"), *same_key)
    assert [attempt.request for attempt in host.sent[1:]] == same_key[:2]


def test_resets_alone_do_not_eject_a_node():
    """A reset may affect one connection only; ejecting the node for it would waste most of its capacity."""
    slow_start = SlowStartSettings(
        base_units=4.0, cold_capacity=0.2, overload_multiple=2.0, window_ms=1000.0, warm_up_ms=17000.0
    )
    host = FakeHost(dispatchers=8, slow_start=slow_start)
    for i in range(100):
        host.submit(host.make_request())
        host.pass_time(10.0)
        for attempt in [attempt for attempt in host.sent if attempt.outcome is None]:
            host.answer(attempt, Outcome.RESET if i % 10 < 2 else Outcome.OK)
    assert sum(1 for attempt in host.sent if attempt.outcome is Outcome.OK) >= 80


def test_late_client_retry_waits_behind_requests_that_are_in_time():
    """A retry that cannot be in time any more would otherwise delay requests that can."""
    host = FakeHost()
    host.submit(host.make_request(key="k", shard=9))
    host.pass_time(500.0)
    assert len(host.rejected) == 1
    host.submit(host.make_request(), host.make_request())
    late, fresh = host.make_request(key="k", deadline_after_ms=1500.0), host.make_request()
    host.submit(late, fresh)
    host.answer(host.sent[0])
    assert host.sent[-1].request is fresh and not late.attempts


def test_first_request_with_a_short_timeout_starts_at_once():
    # If such a request were taken for a retry, it would be late from the start and rejected although the node
    # is idle. One grid interval before the deadline is enough to be in time.
    host = FakeHost()
    host.dispatcher.node_queues[host.nodes[0]].latency.unit_ms = 2.0
    host.submit(host.make_request(key="a"))
    host.answer(host.sent[0])
    short = host.make_request(key="b", deadline_after_ms=17.0)
    host.submit(short)
    assert short.attempts and host.dispatcher.requests[short].pressed and not host.rejected


def test_retry_with_a_short_timeout_keeps_its_first_objective():
    # If the retry were recognized by its key alone, it would count as late by the difference between its
    # timeout and the usual one.
    host = FakeHost()
    host.submit(host.make_request(key="a"))
    host.answer(host.sent[0])
    host.pass_time(100.0)
    host.submit(host.make_request(key="k", shard=9, deadline_after_ms=60.0))
    host.pass_time(60.0)
    assert len(host.rejected) == 1
    retry = host.make_request(key="k", deadline_after_ms=60.0)
    host.submit(retry)
    assert retry.attempts and host.dispatcher.requests[retry].pressed


def test_early_rejections_are_forgotten_after_a_while():
    """The tables of rejected requests would otherwise grow without bound."""
    host = FakeHost()
    for n in range(50):
        host.submit(host.make_request(key=f"k{n}", shard=9))
        host.pass_time(300.0)
    retries = host.dispatcher.client_retries
    assert len(retries.recently_rejected) + len(retries.earlier_rejected) < 20


def test_reserved_slots_are_lent_to_batch_while_no_pressed_request_waits_or_is_in_flight():
    """Reserved slots would otherwise stay unused while only batch requests arrive."""
    host = FakeHost()
    queue = host.dispatcher.node_queues[host.nodes[0]]
    queue.limit.window, queue.controller.reserved_slots = 3.0, 2
    host.submit(*[host.make_request(EXPORT) for _ in range(4)])
    assert len(host.sent) == 3
    host.submit(host.make_request())
    host.answer(host.sent[0])
    host.answer(host.sent[1])
    assert [attempt.request.workload for attempt in host.sent[3:]] == [READ]


def test_node_that_is_removed_and_listed_again_serves_the_waiting_request():
    """A request that waits for a shard without a node must start once the node is listed again."""
    host = FakeHost()
    host.nodes[0].state = NodeState.GONE
    host.round(endpoint_changes=host.nodes)
    request = host.make_request()
    host.submit(request)
    host.nodes[0].state = NodeState.LIVE
    host.round(endpoint_changes=host.nodes)
    host.answer(host.sent[0])
    assert [attempt.request for attempt in host.sent] == [request] and request.finished


def test_unanswered_attempt_raises_the_estimated_wait():
    """A node that slows down does not answer for a while, and would still be treated as a fast one."""
    host = FakeHost()
    host.submit(host.make_request(units=1.0))
    host.now += 20.0
    host.answer(host.sent[0])
    host.pass_time(900.0)
    host.submit(host.make_request())
    host.pass_time(210.0)
    late = host.make_request()
    host.submit(late)
    assert not host.dispatcher.requests[late].pressed


def test_slow_first_answer_does_not_set_the_unit_time_of_a_rarely_used_node():
    """An answer that is slow because of waiting would make the node look too slow for larger requests."""
    host = FakeHost(nodes=2)
    for _ in range(5):
        host.submit(host.make_request(shard=1))
        host.now += 20.0
        host.answer(host.sent[-1])
    host.submit(host.make_request())
    host.now += 180.0
    host.answer(host.sent[-1])
    host.pass_time(1000.0)
    host.submit(host.make_request(units=2.0))
    assert host.sent[-1].request.units == 2.0


@pytest.mark.parametrize("answers_earlier", [True, False])
def test_node_that_answers_an_attempt_from_before_its_failures_is_slow_not_restarted(answers_earlier):
    """A slow node would otherwise be limited by slow start as if it had restarted."""
    slow_start = SlowStartSettings(
        base_units=4.0, cold_capacity=0.2, overload_multiple=2.0, window_ms=1000.0, warm_up_ms=17000.0
    )
    host = FakeHost(dispatchers=8, number=3, slow_start=slow_start)
    queue = host.dispatcher.node_queues[host.nodes[0]]
    for _ in range(3):
        host.pass_time(900.0)
        host.submit(host.make_request(EXPORT))
    host.pass_time(900.0)
    assert queue.health.consecutive_failures > 1
    host.answer(host.sent[0] if answers_earlier else host.sent[-1])
    assert (queue.health.restarted_ms < host.now) == answers_earlier and not queue.health.consecutive_failures


def test_pause_of_the_dispatcher_is_neither_silence_nor_waiting_of_the_nodes():
    """After a pause of the process all attempts look overdue, although the nodes have answered in time."""
    host = FakeHost(nodes=2)
    host.pass_time(10.0)
    host.submit(host.make_request(), host.make_request(shard=1))
    first, other = host.sent
    host.now += 1300.0
    for attempt in (first, other):
        attempt.outcome, attempt.latency_ms, attempt.request.finished = Outcome.OK, 30.0, True
    late, fresh = host.make_request(deadline_after_ms=700.0), [host.make_request() for _ in range(9)]
    host.round(outcomes=[first, other], arrivals=[late, *fresh])
    queues = [host.dispatcher.node_queues[node] for node in host.nodes]
    assert all(
        queue.latency.waiting_ms < 10.0
        and not queue.health.consecutive_failures
        and queue.limit.window >= 2.0
        for queue in queues
    )
    assert len(host.sent) == 4 and host.sent[2].request is fresh[0]


@pytest.mark.parametrize("dispatchers", [1, 1000])
@pytest.mark.parametrize("started_ms", [0.0, 1e9])
def test_every_request_is_answered_despite_odd_node_starts_and_pauses_of_seconds(dispatchers, started_ms):
    """Start times of nodes may be unknown or in the future, and a process may pause for seconds."""
    slow_start = SlowStartSettings(
        base_units=12.0, cold_capacity=0.25, overload_multiple=2.0, window_ms=1000.0, warm_up_ms=10000.0
    )
    host = FakeHost(dispatchers=dispatchers, number=dispatchers - 1, slow_start=slow_start)
    host.nodes[0].started_ms = started_ms
    requests = [host.make_request(), host.make_request(EXPORT, shard=-1), host.make_request(shard=9)]
    host.submit(*requests)
    host.now += 1900.0
    host.round()
    answer_all(host)
    host.pass_time(4000.0)
    assert all(request.finished for request in requests)


def test_unit_time_set_too_high_by_the_first_answer_falls_within_a_few_answers():
    """Requests would otherwise be rejected early for long because the node looks slow."""
    host = FakeHost()
    for latency_ms in [150.0, 20.0, 20.0, 20.0, 20.0, 20.0]:
        host.submit(host.make_request())
        host.now += latency_ms
        host.answer(host.sent[-1])
    assert host.dispatcher.node_queues[host.nodes[0]].latency.unit_ms < 45.0


def test_polls_of_many_dispatchers_for_the_endpoint_list_are_spread():
    """Discovery would be overloaded if all dispatchers polled at the same time."""
    polls_ms = []
    for seed in range(20):
        host = FakeHost(
            dispatchers=200, seed=seed, policy=SitePolicy(polls_endpoints=True, max_poll_interval_ms=10000.0)
        )
        host.pass_time(6000.0)
        polls_ms += host.polls_ms
        host.round(endpoint_list_received=False)
        host.pass_time(10000.0)
        assert len(host.polls_ms) == 2
    max_together = max(sum(1 for at in polls_ms if 0.0 <= at - first < 500.0) for first in polls_ms)
    assert len(polls_ms) == 20 and max_together < 8


def test_margin_before_deadlines_covers_the_recent_lateness_of_timers():
    # On a machine whose cores are all in use timers fire late, and answers would miss their deadlines without
    # a margin.
    lateness = Lateness(0.0)
    assert lateness.margin_ms(2000.0, 0.0) == 0.0
    lateness.record(180.0, 100.0)
    lateness.record(3.0, 200.0)
    assert lateness.margin_ms(2000.0, 300.0) == 180.0
    assert lateness.margin_ms(100.0, 300.0) == 50.0  # the margin takes at most half of the remaining time
    assert lateness.margin_ms(2000.0, 6000.0) == 180.0 and lateness.margin_ms(2000.0, 11_000.0) == 0.0
    lateness.record(30_000.0, 12_000.0)
    assert lateness.margin_ms(5000.0, 12_000.0) == 1000.0
