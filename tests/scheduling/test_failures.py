"""A story for each failure met."""

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
    for send in [send for send in host.sent if send.outcome is None]:
        host.answer(send)


def test_a_lost_send_gives_its_slot_back_before_the_client_gives_up():
    host = FakeHost()
    host.take(host.rpc(), host.rpc())
    assert len(host.sent) == 2
    host.pass_time(400.0)
    host.take(host.rpc())
    assert len(host.sent) == 3


def test_a_silent_node_gets_single_trials_and_new_objects_go_elsewhere():
    host = FakeHost(nodes=2)
    for _ in range(200):
        host.take(host.rpc(), host.rpc(shard=-1))
        for send in [send for send in host.sent if send.outcome is None and send.node is host.nodes[1]]:
            host.answer(send)
        host.pass_time(20.0)
    silent = [send for send in host.sent if send.node is host.nodes[0]]
    assert 3 <= len(silent) <= 12
    assert sum(1 for send in host.sent if send.request.shard == -1) > 190


def test_a_node_back_from_the_dead_is_taken_for_cold_before_the_list_says_so():
    cold = SlowStartSettings(
        base_units=4.0, cold_capacity=0.25, overload_multiple=2.0, window_ms=1000.0, warm_up_ms=10000.0
    )
    host = FakeHost(dispatchers=4, cold=cold)
    for _ in range(40):
        host.take(host.rpc(EXPORT))
        for send in [send for send in host.sent if send.outcome is None]:
            host.answer(send, Outcome.CONNECT_FAILED)
        host.pass_time(100.0)
    before = len(host.sent)
    for _ in range(500):
        host.take(host.rpc())
        answer_all(host)
        host.pass_time(10.0)
    assert 1 <= len(host.sent) - before <= 30


@pytest.mark.parametrize("dispatchers", [1, 3, 200, 1000])
def test_all_dispatchers_together_keep_to_what_a_cold_node_bears(dispatchers):
    cold = SlowStartSettings(
        base_units=12.0, cold_capacity=0.25, overload_multiple=2.0, window_ms=1000.0, warm_up_ms=10000.0
    )
    sent = []
    for number in range(dispatchers):
        host = FakeHost(dispatchers=dispatchers, number=number, cold=cold)
        host.nodes[0].started_ms = host.now - 1.0
        for _ in range(20):
            host.take(host.rpc())
            answer_all(host)
            host.now += 100.0
        sent += [send.sent_ms for send in host.sent]
    most = max(sum(1 for at in sent if first <= at < first + 1000.0) for first in sent)
    assert 6 <= most <= 12.0 * 2.0


def test_a_node_that_started_in_this_dispatchers_life_gets_its_part_at_once():
    # Nobody before this one can have sent to it; for a span it got nothing, from any of two hundred.
    cold = SlowStartSettings(
        base_units=12.0, cold_capacity=0.25, overload_multiple=3.0, window_ms=3000.0, warm_up_ms=13000.0
    )
    host = FakeHost(cold=cold)
    host.pass_time(500.0)
    younger = Node("10.0.0.8:1", zone="z", shard=8, started_ms=host.now - 100.0)
    older = Node("10.0.0.9:1", zone="z", shard=9, started_ms=host.now - 600.0)
    host.round(endpoint_changes=[younger, older])
    host.take(host.rpc(shard=8), host.rpc(shard=9))
    assert [send.node for send in host.sent] == [younger]


def test_a_new_object_that_moves_to_a_node_and_cannot_go_is_answered_in_time():
    host = FakeHost()
    lane = host.dispatcher.node_queues[host.nodes[0]]
    lane.limit.window = 1.0
    host.take(host.rpc(gives_up=5000.0))
    host.pass_time(290.0)
    export = host.rpc(EXPORT, shard=-1, gives_up=400.0)
    host.take(export)
    lane.latency.waiting_ms = 500.0
    host.answer(host.sent[0])
    assert export in [job.request for job in lane.batch]
    host.pass_time(390.0)
    assert export.finished and not export.attempts


def test_a_pressed_rpc_that_cannot_be_in_time_any_more_is_rejected_at_once():
    host = FakeHost()
    host.take(*[host.rpc() for _ in range(10)])
    host.pass_time(READ.latency_objective_ms + 30.0)
    assert len(host.rejected) == 8


def test_what_others_got_at_a_node_is_charged_to_the_volume_here():
    host = FakeHost(earnings=UtilityModel(within_quota=0.5, beyond_quota=0.1, reports_use_elsewhere=True))
    host.take(host.rpc(volume="a"), host.rpc(volume="b"))
    host.answer(host.sent[0], units_elsewhere=500.0)
    host.take(*[host.rpc(volume=name) for name in "aaaba"])
    assert host.sent[2].request.volume == "b"


def test_what_is_beyond_a_volumes_due_waits_behind_another_volumes_dues():
    host = FakeHost()
    plan = ServicePlan("plan", usual_rate=4.0)
    host.take(*[host.rpc(plan=plan, volume="loud") for _ in range(20)])
    quiet = host.rpc(plan=plan, volume="quiet")
    host.take(quiet)
    host.answer(host.sent[0])
    host.answer(host.sent[1])
    assert quiet in [send.request for send in host.sent]


def test_the_window_does_not_grow_unused_and_shrinks_when_answers_wait_at_the_node():
    host = FakeHost()
    lane = host.dispatcher.node_queues[host.nodes[0]]
    for took in [10.0] * 40 + [190.0] * 40:
        host.take(host.rpc())
        host.pass_time(took)
        answer_all(host)
        host.pass_time(40.0)
        assert lane.limit.window <= 2.0
    assert lane.limit.window == 1.0


def test_share_moves_to_the_pressed_side_while_it_misses_and_batch_waits():
    host = FakeHost()
    lane = host.dispatcher.node_queues[host.nodes[0]]
    for _ in range(60):
        host.take(*[host.rpc() for _ in range(4)], host.rpc(EXPORT))
        host.pass_time(50.0)
        answer_all(host)
    assert lane.controller.share > 0.9 or lane.controller.reserved_slots == 1


def test_batch_waits_while_other_hosts_crowd_the_node():
    host = FakeHost()
    lane = host.dispatcher.node_queues[host.nodes[0]]
    for took in [10.0] * 10 + [180.0] * 30:
        host.take(host.rpc())
        host.pass_time(took)
        answer_all(host)
    export = host.rpc(EXPORT)
    host.take(export)
    assert lane.limit.window == 1.0 and not export.attempts
    host.pass_time(1500.0)
    assert export.attempts


def test_the_next_rpc_on_a_key_rides_on_the_first_beyond_the_window():
    host = FakeHost()
    run = [host.rpc(key="k") for _ in range(4)]
    host.take(host.rpc(key="other"), *run)
    assert [send.request for send in host.sent[1:]] == run[:2]


def test_resets_alone_do_not_shut_a_node():
    cold = SlowStartSettings(
        base_units=4.0, cold_capacity=0.2, overload_multiple=2.0, window_ms=1000.0, warm_up_ms=17000.0
    )
    host = FakeHost(dispatchers=8, cold=cold)
    for i in range(100):
        host.take(host.rpc())
        host.pass_time(10.0)
        for send in [send for send in host.sent if send.outcome is None]:
            host.answer(send, Outcome.RESET if i % 10 < 2 else Outcome.OK)
    assert sum(1 for send in host.sent if send.outcome is Outcome.OK) >= 80


def test_a_clients_retry_that_comes_too_late_stands_behind_those_in_time():
    host = FakeHost()
    host.take(host.rpc(key="k", shard=9))
    host.pass_time(500.0)
    assert len(host.rejected) == 1
    host.take(host.rpc(), host.rpc())
    late, fresh = host.rpc(key="k", gives_up=1500.0), host.rpc()
    host.take(late, fresh)
    host.answer(host.sent[0])
    assert host.sent[-1].request is fresh and not late.attempts


def test_a_client_in_haste_is_sent_at_once_however_little_time_it_left():
    # Unmarked and never given up here, it was taken for a repeat and rejected on idle nodes; so was what had
    # two beats left, though one is enough to answer in time.
    host = FakeHost()
    host.dispatcher.node_queues[host.nodes[0]].latency.unit_ms = 2.0
    host.take(host.rpc(key="a"))
    host.answer(host.sent[0])
    hasty = host.rpc(key="b", gives_up=17.0)
    host.take(hasty)
    assert hasty.attempts and host.dispatcher.requests[hasty].pressed and not host.rejected


def test_a_client_in_haste_that_comes_again_is_due_as_it_was():
    # Told from a repeat by its key alone, it was taken to be late by all that a usual client leaves more.
    host = FakeHost()
    host.take(host.rpc(key="a"))
    host.answer(host.sent[0])
    host.pass_time(100.0)
    host.take(host.rpc(key="k", shard=9, gives_up=60.0))
    host.pass_time(60.0)
    assert len(host.rejected) == 1
    again = host.rpc(key="k", gives_up=60.0)
    host.take(again)
    assert again.attempts and host.dispatcher.requests[again].pressed


def test_what_was_given_up_is_forgotten_in_time():
    host = FakeHost()
    for n in range(50):
        host.take(host.rpc(key=f"k{n}", shard=9))
        host.pass_time(300.0)
    retries = host.dispatcher.client_retries
    assert len(retries.recently_given_up) + len(retries.earlier_given_up) < 20


def test_reserved_slots_are_lent_while_nothing_pressed_waits_or_is_out():
    host = FakeHost()
    lane = host.dispatcher.node_queues[host.nodes[0]]
    lane.limit.window, lane.controller.reserved_slots = 3.0, 2
    host.take(*[host.rpc(EXPORT) for _ in range(4)])
    assert len(host.sent) == 3
    host.take(host.rpc())
    host.answer(host.sent[0])
    host.answer(host.sent[1])
    assert [send.request.workload for send in host.sent[3:]] == [READ]


def test_a_node_that_goes_and_comes_back_keeps_its_answers():
    host = FakeHost()
    host.nodes[0].state = NodeState.GONE
    host.round(endpoint_changes=host.nodes)
    rpc = host.rpc()
    host.take(rpc)
    host.nodes[0].state = NodeState.LIVE
    host.round(endpoint_changes=host.nodes)
    host.answer(host.sent[0])
    assert [send.request for send in host.sent] == [rpc] and rpc.finished


def test_a_send_that_stays_out_tells_of_waiting_before_it_is_answered():
    host = FakeHost()
    host.take(host.rpc(units=1.0))
    host.now += 20.0
    host.answer(host.sent[0])
    host.pass_time(900.0)
    host.take(host.rpc())
    host.pass_time(210.0)
    late = host.rpc()
    host.take(late)
    assert not host.dispatcher.requests[late].pressed


def test_one_long_first_answer_is_not_taken_for_the_work_of_a_seldom_used_node():
    host = FakeHost(nodes=2)
    for _ in range(5):
        host.take(host.rpc(shard=1))
        host.now += 20.0
        host.answer(host.sent[-1])
    host.take(host.rpc())
    host.now += 180.0
    host.answer(host.sent[-1])
    host.pass_time(1000.0)
    host.take(host.rpc(units=2.0))
    assert host.sent[-1].request.units == 2.0


@pytest.mark.parametrize("came_back", [True, False])
def test_a_node_that_answers_what_was_sent_before_its_strikes_was_slow_and_is_not_cold(came_back):
    cold = SlowStartSettings(
        base_units=4.0, cold_capacity=0.2, overload_multiple=2.0, window_ms=1000.0, warm_up_ms=17000.0
    )
    host = FakeHost(dispatchers=8, number=3, cold=cold)
    lane = host.dispatcher.node_queues[host.nodes[0]]
    for _ in range(3):
        host.pass_time(900.0)
        host.take(host.rpc(EXPORT))
    host.pass_time(900.0)
    assert lane.health.consecutive_failures > 1
    host.answer(host.sent[0] if came_back else host.sent[-1])
    assert (lane.health.restarted_ms < host.now) == came_back and not lane.health.consecutive_failures


def test_a_dispatchers_own_gap_is_neither_silence_nor_waiting_of_the_nodes():
    host = FakeHost(nodes=2)
    host.pass_time(10.0)
    host.take(host.rpc(), host.rpc(shard=1))
    first, other = host.sent
    host.now += 1300.0
    for send in (first, other):
        send.outcome, send.latency_ms, send.request.finished = Outcome.OK, 30.0, True
    late, fresh = host.rpc(gives_up=700.0), [host.rpc() for _ in range(9)]
    host.round(outcomes=[first, other], arrivals=[late, *fresh])
    lanes = [host.dispatcher.node_queues[node] for node in host.nodes]
    assert all(
        lane.latency.waiting_ms < 10.0 and not lane.health.consecutive_failures and lane.limit.window >= 2.0
        for lane in lanes
    )
    assert len(host.sent) == 4 and host.sent[2].request is fresh[0]


@pytest.mark.parametrize("dispatchers", [1, 1000])
@pytest.mark.parametrize("born_ms", [0.0, 1e9])
def test_odd_starts_and_gaps_of_seconds_lose_nothing(dispatchers, born_ms):
    cold = SlowStartSettings(
        base_units=12.0, cold_capacity=0.25, overload_multiple=2.0, window_ms=1000.0, warm_up_ms=10000.0
    )
    host = FakeHost(dispatchers=dispatchers, number=dispatchers - 1, cold=cold)
    host.nodes[0].started_ms = born_ms
    rpcs = [host.rpc(), host.rpc(EXPORT, shard=-1), host.rpc(shard=9)]
    host.take(*rpcs)
    host.now += 1900.0
    host.round()
    answer_all(host)
    host.pass_time(4000.0)
    assert all(rpc.finished for rpc in rpcs)


def test_a_unit_work_told_too_high_by_the_first_answers_comes_down_in_a_few():
    host = FakeHost()
    for took in [150.0, 20.0, 20.0, 20.0, 20.0, 20.0]:
        host.take(host.rpc())
        host.now += took
        host.answer(host.sent[-1])
    assert host.dispatcher.node_queues[host.nodes[0]].latency.unit_ms < 45.0


def test_dispatchers_that_must_ask_for_the_list_do_not_ask_all_at_once():
    asked = []
    for seed in range(20):
        host = FakeHost(
            dispatchers=200, seed=seed, permits=SitePolicy(polls_endpoints=True, max_poll_interval_ms=10000.0)
        )
        host.pass_time(6000.0)
        asked += host.asked
        host.round(endpoint_list_received=False)
        host.pass_time(10000.0)
        assert len(host.asked) == 2
    most = max(sum(1 for at in asked if 0.0 <= at - first < 500.0) for first in asked)
    assert len(asked) == 20 and most < 8


def test_an_rpc_is_answered_in_time_by_a_process_whose_clockwork_is_late():
    # On a machine whose cores are all taken five RPCs of a day were never answered in time.
    lateness = Lateness(0.0)
    assert lateness.margin_ms(2000.0, 0.0) == 0.0
    lateness.record(180.0, 100.0)
    lateness.record(3.0, 200.0)
    assert lateness.margin_ms(2000.0, 300.0) == 180.0
    assert lateness.margin_ms(100.0, 300.0) == 50.0  # it still has a chance
    assert lateness.margin_ms(2000.0, 6000.0) == 180.0 and lateness.margin_ms(2000.0, 11_000.0) == 0.0
    lateness.record(30_000.0, 12_000.0)
    assert lateness.margin_ms(5000.0, 12_000.0) == 1000.0
