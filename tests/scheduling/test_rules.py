"""The scheduler keeps each of the seven rules of `cherrygrade.scheduling.admission`."""

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
def test_request_that_no_node_can_serve_is_rejected_once_by_its_deadline(workload):
    """Rule 1: no node is listed, and nothing but time can end the request."""
    host = FakeHost(nodes=0)
    request = host.make_request(workload)
    host.submit(request)
    host.pass_time(workload.deadline_ms)
    assert host.rejected == [request] and not host.sent


def test_request_past_its_deadline_is_rejected_at_once():
    """Rule 1: the deadline has passed when the request arrives."""
    host = FakeHost()
    host.submit(host.make_request(deadline_after_ms=0.0))
    assert len(host.rejected) == 1 and not host.sent


@pytest.mark.parametrize("outcome", list(Outcome)[1:])
def test_non_idempotent_request_is_retried_only_if_it_never_ran(outcome):
    """Rule 2: a retry after any other outcome could take effect a second time."""
    host = FakeHost()
    request = host.make_request(ONCE)
    host.submit(request)
    host.answer(host.sent[0], outcome)
    host.pass_time(800.0)
    assert (len(host.sent) > 1) == outcome.never_ran
    assert host.errored == ([] if outcome.never_ran else [request])


def test_request_with_idempotency_key_is_retried_only_within_scope_and_window():
    """Rule 2: outside of scope and window nodes do not recognize the repeat."""
    host = FakeHost(nodes=2)
    host.nodes[1].zone = "other"
    host.submit(host.make_request(MARKED, shard=-1))
    admission, queues = host.dispatcher.admission, host.dispatcher.node_queues
    request, node = host.sent[0].request, host.sent[0].node
    other = host.nodes[1 - host.nodes.index(node)]
    assert request.workload.idempotency is Idempotency.IDEMPOTENT_WITH_KEY and queues
    host.sent[0].outcome = Outcome.FAILED
    assert admission.may_run_again(request, node, host.now) and not admission.may_run_again(
        request, other, host.now
    )
    assert not admission.may_run_again(
        request, node, host.now + MARKED.deduplication_window_ms
    ) and not admission.may_reject(request)
    queued = host.dispatcher.requests[request]
    assert admission.earliest_start_ms(queued, queues[node], host.now) == host.now
    assert (
        admission.earliest_start_ms(queued, queues[node], host.now + MARKED.deduplication_window_ms)
        > host.now + MARKED.deduplication_window_ms
    )


@pytest.mark.parametrize("state", [NodeState.DRAINING, NodeState.GONE])
def test_no_attempt_goes_to_a_node_that_is_draining_or_gone(state):
    """Rule 3: the state changes while the dispatcher still knows the node."""
    host = FakeHost()
    dispatcher, queue = host.dispatcher, host.dispatcher.node_queues[host.nodes[0]]
    host.nodes[0].state = state
    host.round(endpoint_changes=host.nodes)
    request = host.make_request()
    host.submit(request)
    assert dispatcher.admission.earliest_start_ms(dispatcher.requests[request], queue, host.now) > host.now
    host.pass_time(500.0)
    assert not host.sent and len(host.rejected) == 1


def test_cold_node_gets_an_even_part_of_its_base_units():
    """Rule 4: each of four dispatchers may send only a quarter of what the node can take."""
    cold = SlowStartSettings(
        base_units=12.0, cold_capacity=0.25, overload_multiple=2.0, window_ms=1000.0, warm_up_ms=10000.0
    )
    host = FakeHost(dispatchers=4, slow_start=cold)
    host.nodes[0].started_ms = host.now
    host.submit(host.make_request())
    host.pass_time(1001.0)
    assert not host.sent  # the previous owner of the seat may have used its quota
    for _ in range(80):
        host.submit(host.make_request())
        for attempt in [attempt for attempt in host.sent if attempt.outcome is None]:
            host.answer(attempt)
        host.pass_time(10.0)
    assert 1 <= len(host.sent) <= 12.0 * 1.4 / 4  # the quota has grown by then


def test_ordered_requests_run_one_after_another_with_a_cool_down_after_a_reset():
    """Rule 5: after a reset the node may still run the first request."""
    host = FakeHost()
    first, second = host.make_request(ORDERED, key="k"), host.make_request(ORDERED, key="k")
    host.submit(first, second)
    assert [attempt.request for attempt in host.sent] == [first]
    host.now = first.deadline_ms - 10.0
    host.answer(host.sent[0], Outcome.RESET)
    assert first.finished
    third = host.make_request(ORDERED, key="k")
    host.submit(third)
    arrived_ms = host.now
    host.pass_time(400.0)
    later = [attempt for attempt in host.sent if attempt.request is not first]
    assert later and later[0].sent_ms >= arrived_ms + 100.0


def test_retries_stay_within_the_budget():
    """Rule 6: every attempt fails, and retries would multiply the load."""
    host = FakeHost(budget=RetryBudgetSettings(min_retries=2.0, retry_ratio=0.5, window_ms=5000.0))
    for _ in range(4):
        host.submit(host.make_request())
        while host.sent[-1].outcome is None:
            host.answer(host.sent[-1], Outcome.FAILED)
        host.pass_time(300.0)
    retries = sum(1 for attempt in host.sent if attempt.number > 0)
    assert retries == 4


def test_limit_is_refilled_while_no_request_of_the_volume_arrives_or_ends():
    """Rule 7: the limit is refilled by time."""
    # If only arrivals and outcomes refilled the limit, the only request of a volume would wait for units that
    # have been earned already, until it is rejected.
    host = FakeHost()
    host.submit(
        host.make_request(plan=ServicePlan("limited", usual_rate=100.0, limit_rate=100.0, limit_burst=50.0))
    )
    assert not host.sent
    host.pass_time(40.0)
    assert len(host.sent) == 1 and not host.rejected


def test_plan_limit_is_divided_evenly_among_the_dispatchers_of_a_volume():
    """Rule 7: dispatchers do not coordinate, so each must use only its part of the limit."""
    host = FakeHost()
    plan = ServicePlan("limited", usual_rate=1000.0, limit_rate=20.0, limit_burst=8.0)
    for _ in range(100):
        host.submit(host.make_request(plan=plan, dispatchers=2))
        for attempt in [attempt for attempt in host.sent if attempt.outcome is None]:
            host.answer(attempt)
        host.pass_time(10.0)
    assert 8 <= len(host.sent) <= 10 + 4
