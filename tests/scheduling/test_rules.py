"""A story for each of the seven rules."""

from __future__ import annotations

import pytest
from support.fake_host import EXPORT, MARKED, ONCE, ORDERED, READ, FakeHost

from cherrygrade.scheduling.model import (
    Idempotency,
    NodeState,
    Outcome,
    RetryBudgetSettings,
    ServicePlan,
    SlowStartSettings,
)


@pytest.mark.parametrize("workload", [READ, EXPORT, ORDERED, ONCE, MARKED])
def test_an_rpc_that_nobody_can_serve_is_answered_once_and_in_time(workload):
    host = FakeHost(nodes=0)
    rpc = host.rpc(workload)
    host.take(rpc)
    host.pass_time(workload.deadline_ms)
    assert host.rejected == [rpc] and not host.sent


def test_an_rpc_whose_time_is_up_is_answered_at_once():
    host = FakeHost()
    host.take(host.rpc(gives_up=0.0))
    assert len(host.rejected) == 1 and not host.sent


@pytest.mark.parametrize("outcome", list(Outcome)[1:])
def test_a_non_idempotent_rpc_goes_again_only_if_it_never_ran(outcome):
    host = FakeHost()
    rpc = host.rpc(ONCE)
    host.take(rpc)
    host.answer(host.sent[0], outcome)
    host.pass_time(800.0)
    assert (len(host.sent) > 1) == outcome.never_ran
    assert host.errored == ([] if outcome.never_ran else [rpc])


def test_a_tokened_rpc_that_may_have_run_stays_in_its_group_and_window():
    host = FakeHost(nodes=2)
    host.nodes[1].zone = "other"
    host.take(host.rpc(MARKED, shard=-1))
    gate, lanes = host.dispatcher.admission, host.dispatcher.node_queues
    rpc, node = host.sent[0].request, host.sent[0].node
    other = host.nodes[1 - host.nodes.index(node)]
    assert rpc.workload.idempotency is Idempotency.IDEMPOTENT_WITH_KEY and lanes
    host.sent[0].outcome = Outcome.FAILED
    assert gate.may_run_again(rpc, node, host.now) and not gate.may_run_again(rpc, other, host.now)
    assert not gate.may_run_again(
        rpc, node, host.now + MARKED.deduplication_window_ms
    ) and not gate.may_reject(rpc)
    job = host.dispatcher.requests[rpc]
    assert gate.earliest_start_ms(job, lanes[node], host.now) == host.now
    assert (
        gate.earliest_start_ms(job, lanes[node], host.now + MARKED.deduplication_window_ms)
        > host.now + MARKED.deduplication_window_ms
    )


@pytest.mark.parametrize("standing", [NodeState.DRAINING, NodeState.GONE])
def test_nothing_new_goes_to_a_node_that_drains_or_is_gone(standing):
    host = FakeHost()
    dispatcher, lane = host.dispatcher, host.dispatcher.node_queues[host.nodes[0]]
    host.nodes[0].state = standing
    host.round(endpoint_changes=host.nodes)
    rpc = host.rpc()
    host.take(rpc)
    assert dispatcher.admission.earliest_start_ms(dispatcher.requests[rpc], lane, host.now) > host.now
    host.pass_time(500.0)
    assert not host.sent and len(host.rejected) == 1


def test_a_cold_node_gets_an_even_part_of_what_it_always_bears():
    cold = SlowStartSettings(
        base_units=12.0, cold_capacity=0.25, overload_multiple=2.0, window_ms=1000.0, warm_up_ms=10000.0
    )
    host = FakeHost(dispatchers=4, cold=cold)
    host.nodes[0].started_ms = host.now
    host.take(host.rpc())
    host.pass_time(1001.0)
    assert not host.sent  # a dispatcher before this one may have spent its part
    for _ in range(80):
        host.take(host.rpc())
        for send in [send for send in host.sent if send.outcome is None]:
            host.answer(send)
        host.pass_time(10.0)
    assert 1 <= len(host.sent) <= 12.0 * 1.4 / 4  # warmer by then


def test_rpcs_of_one_key_run_in_turn_and_rest_after_a_reset():
    host = FakeHost()
    first, second = host.rpc(ORDERED, key="k"), host.rpc(ORDERED, key="k")
    host.take(first, second)
    assert [send.request for send in host.sent] == [first]
    host.now = first.deadline_ms - 10.0
    host.answer(host.sent[0], Outcome.RESET)
    assert first.finished
    third = host.rpc(ORDERED, key="k")
    host.take(third)
    sent_at = host.now
    host.pass_time(400.0)
    later = [send for send in host.sent if send.request is not first]
    assert later and later[0].sent_ms >= sent_at + 100.0


def test_further_sends_stay_within_the_budget():
    host = FakeHost(budget=RetryBudgetSettings(min_retries=2.0, retry_ratio=0.5, window_ms=5000.0))
    for _ in range(4):
        host.take(host.rpc())
        while host.sent[-1].outcome is None:
            host.answer(host.sent[-1], Outcome.FAILED)
        host.pass_time(300.0)
    further = sum(1 for send in host.sent if send.number > 0)
    assert further == 4


def test_a_limits_store_fills_while_nothing_of_its_volume_comes_or_goes():
    # The only RPC of its volume waited for units that were there, until it was given up.
    host = FakeHost()
    host.take(host.rpc(plan=ServicePlan("limited", usual_rate=100.0, limit_rate=100.0, limit_burst=50.0)))
    assert not host.sent
    host.pass_time(40.0)
    assert len(host.sent) == 1 and not host.rejected


def test_a_plan_limit_is_shared_evenly_by_the_volumes_dispatchers():
    host = FakeHost()
    plan = ServicePlan("limited", usual_rate=1000.0, limit_rate=20.0, limit_burst=8.0)
    for _ in range(100):
        host.take(host.rpc(plan=plan, dispatchers=2))
        for send in [send for send in host.sent if send.outcome is None]:
            host.answer(send)
        host.pass_time(10.0)
    assert 8 <= len(host.sent) <= 10 + 4
