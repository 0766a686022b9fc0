"""The parts of the gateway that are free of I/O, with many generated inputs.

Guards against endpoint lists that go back in time, time-outs that fire early or twice, connects without
backoff, and estimates of transit time that depend on the clocks of clients.
"""

from __future__ import annotations

from hypothesis import given
from hypothesis import strategies as st

from cherrygrade.gateway.backoff import Backoff
from cherrygrade.gateway.node_connection_pool import NodeConnectionPool
from cherrygrade.gateway.registered_nodes import RegisteredNodes
from cherrygrade.gateway.timer_wheel import TimerWheel
from cherrygrade.gateway.transit_time import TransitTime
from cherrygrade.scheduling.model import NodeState
from cherrygrade.scheduling.round_inputs import NodeTable
from cherrygrade.wire.messages import Entry, Roster


def entry(address: str, standing: str = "live", start: int = 1, age: float = 1e5) -> Entry:
    return Entry(address, "z", "k", 0, standing, 1.0, start, age)


def states(registered: RegisteredNodes) -> dict[str, NodeState]:
    return {address: node.state for address, node in registered.nodes.by_address.items()}


def test_missed_change_is_detected_and_a_full_list_repairs_it():
    registered = RegisteredNodes(NodeTable())
    registered.apply(Roster(1, 1, -1, [entry("a"), entry("b")]), 0.0)
    assert registered.apply(Roster(1, 3, 2, [entry("a", "draining")]), 1.0) is None and registered.gap
    assert states(registered)["a"] is NodeState.LIVE
    registered.apply(Roster(1, 3, -1, [entry("a", "draining")]), 2.0)
    assert not registered.gap and states(registered) == {"a": NodeState.DRAINING, "b": NodeState.GONE}


def test_older_list_is_ignored():
    registered = RegisteredNodes(NodeTable())
    registered.apply(Roster(1, 5, -1, [entry("a", "draining")]), 0.0)
    assert registered.apply(Roster(1, 2, -1, [entry("a")]), 1.0) is None
    assert not registered.gap and states(registered)["a"] is NodeState.DRAINING


def test_restarted_register_is_accepted_only_by_a_full_list():
    registered = RegisteredNodes(NodeTable())
    registered.apply(Roster(1, 50, -1, [entry("a")]), 0.0)
    assert registered.apply(Roster(2, 2, 1, [entry("a", "gone")]), 1.0) is None and registered.gap
    registered.apply(Roster(2, 2, -1, [entry("a", "draining")]), 2.0)
    assert states(registered)["a"] is NodeState.DRAINING
    assert registered.apply(Roster(1, 51, 50, [entry("a")]), 3.0) is None


def test_start_time_of_a_node_is_computed_once_for_each_start():
    registered = RegisteredNodes(NodeTable())
    registered.apply(Roster(1, 1, -1, [entry("a", age=300.0)]), 1000.0)
    registered.apply(Roster(1, 2, 1, [entry("a", age=5000.0)]), 1500.0)
    assert registered.nodes.by_address["a"].started_ms == 700.0
    registered.apply(Roster(1, 3, 2, [entry("a", start=2, age=50.0)]), 9000.0)
    assert registered.nodes.by_address["a"].started_ms == 8950.0
    registered.apply(Roster(1, 4, 3, [entry("a", "gone", start=1)]), 9001.0)
    assert states(registered)["a"] is NodeState.LIVE  # the message is of an earlier start


messages = st.tuples(
    st.integers(1, 2),
    st.integers(0, 6),
    st.booleans(),
    st.sampled_from(["live", "draining", "gone"]),
    st.integers(1, 3),
)


@given(st.lists(messages, max_size=20))
def test_versions_and_starts_never_decrease(sequence):
    registered, seen = RegisteredNodes(NodeTable()), (-1, -1)
    starts = 0
    for epoch, version, is_full, standing, start in sequence:
        base = -1 if is_full else version - 1
        changed = registered.apply(Roster(epoch, version, base, [entry("a", standing, start)]), 0.0)
        assert (registered.epoch, registered.version) >= seen
        if changed:
            assert is_full or (registered.epoch, version) > seen
        seen = (registered.epoch, registered.version)
        now = registered._starts.get("a", 0)
        assert now >= starts
        starts = now


@given(st.lists(st.tuples(st.integers(0, 400), st.booleans()), max_size=40))
def test_timer_wheel_returns_each_item_once_and_never_early(items):
    wheel: TimerWheel[int] = TimerWheel(5.0)
    slots = {number: wheel.add(number, float(at)) for number, (at, _) in enumerate(items)}
    remaining = {number for number, (_, is_kept) in enumerate(items) if is_kept}
    for number in slots.keys() - remaining:
        wheel.remove(number, slots[number])
    found: dict[int, float] = {}
    now = 0.0
    while (at := wheel.next_expiry_ms()) is not None:
        assert at > now or now == 0.0
        now = at
        for number in wheel.take_expired(now):
            assert number not in found
            found[number] = now
    assert found.keys() == remaining
    assert all(items[number][0] <= at <= items[number][0] + 5.0 for number, at in found.items())


@given(st.integers(0, 1000), st.integers(1, 30))
def test_backoff_grows_is_bounded_and_differs_between_dispatchers(seed, failures):
    waits = []
    backoff, other = Backoff(f"a{seed}"), Backoff(f"b{seed}")
    differ = False
    for _ in range(failures):
        waits.append(backoff.record_failure(0.0))
        differ = differ or other.record_failure(0.0) != waits[-1]
    assert all(0.0 < wait <= 1000.0 for wait in waits) and differ
    assert all(wait >= min(1000.0, 20.0 * 2**n) * 0.25 for n, wait in enumerate(waits))


def test_peer_that_drops_each_connection_does_not_reset_the_backoff():
    backoff = Backoff("x")
    now = 0.0
    for _ in range(8):
        now = backoff.record_failure(now)
        backoff.record_connected(now)
    assert backoff.losses == 8
    now += 5000.0
    assert backoff.record_failure(now) <= now + 20.0 and backoff.losses == 1


def test_pool_opens_connections_for_waiting_frames_up_to_its_limit():
    pool = NodeConnectionPool("s", max_connections=3, max_in_flight=2, idle_timeout_ms=100.0)
    assert not pool.should_connect(0, 0.0)
    first = pool.add_connecting(0.0)
    assert not pool.should_connect(4, 0.0) and pool.should_connect(5, 0.0)
    second = pool.add_connecting(0.0)
    pool.add_connecting(0.0)
    assert not pool.should_connect(500, 0.0)
    pool.mark_ready(first, 1.0)
    pool.mark_ready(second, 1.0)
    chosen = []
    while (connection := pool.choose()) is not None:
        pool.frame_started(connection)
        chosen.append(connection)
    assert chosen.count(first) == chosen.count(second) == 2
    pool.frame_ended(second, 5.0)
    second.is_full = True
    assert pool.choose() is None
    pool.frame_ended(second, 5.0)
    assert pool.to_close(104.0) == [] and pool.to_close(105.0) == [second]


def test_failed_connect_delays_the_next_one():
    pool = NodeConnectionPool("s", max_connections=3, max_in_flight=2, idle_timeout_ms=100.0)
    connection = pool.add_connecting(10.0)
    pool.remove(connection, 10.0, is_failure=True)
    assert not pool.should_connect(50, 10.0) and pool.should_connect(50, 10.0 + 20.0)


@given(
    st.lists(st.tuples(st.floats(0.1, 500.0), st.floats(0.0, 300.0)), min_size=2, max_size=30),
    st.floats(-1e6, 1e6),
)
def test_transit_time_is_independent_of_the_clocks(messages, offset):
    transit, at, fastest_ms = TransitTime(), 1.0, None
    for gap, delay in messages:
        at += gap
        excess_ms = transit.excess_ms(at, at + delay + offset)
        fastest_ms = delay if fastest_ms is None else min(fastest_ms, delay)
        assert abs(excess_ms - (delay - fastest_ms)) < 1e-6 * max(1.0, abs(offset))


def test_compiled_scheduler_is_used_only_for_its_own_source(monkeypatch):
    import sys
    import types

    from cherrygrade import compiled
    from cherrygrade.scheduling import scheduler

    package, scheduler_module = (
        types.ModuleType(compiled.PACKAGE),
        types.ModuleType(f"{compiled.PACKAGE}.scheduler"),
    )
    scheduler_module.Scheduler, package.DIGEST = object, "of another source"
    monkeypatch.setitem(sys.modules, package.__name__, package)
    monkeypatch.setitem(sys.modules, scheduler_module.__name__, scheduler_module)
    assert compiled.scheduler_class() == (scheduler.Scheduler, False)
    package.DIGEST = compiled.source_digest()
    assert compiled.scheduler_class() == (object, True)
