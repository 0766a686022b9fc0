"""Decisions about carrying: lists, pools, waits, time-outs, ages. Free of I/O, so tried with many inputs."""

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


def standings(book: RegisteredNodes) -> dict[str, NodeState]:
    return {address: node.state for address, node in book.nodes.by_address.items()}


def test_a_missed_change_is_noticed_and_the_whole_list_mends_it():
    book = RegisteredNodes(NodeTable())
    book.apply(Roster(1, 1, -1, [entry("a"), entry("b")]), 0.0)
    assert book.apply(Roster(1, 3, 2, [entry("a", "draining")]), 1.0) is None and book.gap
    assert standings(book)["a"] is NodeState.LIVE
    book.apply(Roster(1, 3, -1, [entry("a", "draining")]), 2.0)
    assert not book.gap and standings(book) == {"a": NodeState.DRAINING, "b": NodeState.GONE}


def test_a_list_from_the_past_changes_nothing():
    book = RegisteredNodes(NodeTable())
    book.apply(Roster(1, 5, -1, [entry("a", "draining")]), 0.0)
    assert book.apply(Roster(1, 2, -1, [entry("a")]), 1.0) is None
    assert not book.gap and standings(book)["a"] is NodeState.DRAINING


def test_a_register_that_began_anew_is_believed_only_in_whole():
    book = RegisteredNodes(NodeTable())
    book.apply(Roster(1, 50, -1, [entry("a")]), 0.0)
    assert book.apply(Roster(2, 2, 1, [entry("a", "gone")]), 1.0) is None and book.gap
    book.apply(Roster(2, 2, -1, [entry("a", "draining")]), 2.0)
    assert standings(book)["a"] is NodeState.DRAINING
    assert book.apply(Roster(1, 51, 50, [entry("a")]), 3.0) is None


def test_a_nodes_birth_is_taken_from_the_first_word_of_its_start():
    book = RegisteredNodes(NodeTable())
    book.apply(Roster(1, 1, -1, [entry("a", age=300.0)]), 1000.0)
    book.apply(Roster(1, 2, 1, [entry("a", age=5000.0)]), 1500.0)
    assert book.nodes.by_address["a"].started_ms == 700.0
    book.apply(Roster(1, 3, 2, [entry("a", start=2, age=50.0)]), 9000.0)
    assert book.nodes.by_address["a"].started_ms == 8950.0
    book.apply(Roster(1, 4, 3, [entry("a", "gone", start=1)]), 9001.0)
    assert standings(book)["a"] is NodeState.LIVE  # a word of its life before


words = st.tuples(
    st.integers(1, 2),
    st.integers(0, 6),
    st.booleans(),
    st.sampled_from(["live", "draining", "gone"]),
    st.integers(1, 3),
)


@given(st.lists(words, max_size=20))
def test_versions_and_starts_never_run_backwards(heard):
    book, seen = RegisteredNodes(NodeTable()), (-1, -1)
    starts = 0
    for epoch, version, whole, standing, start in heard:
        base = -1 if whole else version - 1
        learned = book.apply(Roster(epoch, version, base, [entry("a", standing, start)]), 0.0)
        assert (book.epoch, book.version) >= seen
        if learned:
            assert whole or (book.epoch, version) > seen
        seen = (book.epoch, book.version)
        now = book._starts.get("a", 0)
        assert now >= starts
        starts = now


@given(st.lists(st.tuples(st.integers(0, 400), st.booleans()), max_size=40))
def test_the_wheel_gives_each_item_once_never_early_and_at_most_a_grain_late(items):
    wheel: TimerWheel[int] = TimerWheel(5.0)
    slots = {number: wheel.add(number, float(at)) for number, (at, _) in enumerate(items)}
    kept = {number for number, (_, keep) in enumerate(items) if keep}
    for number in slots.keys() - kept:
        wheel.remove(number, slots[number])
    found: dict[int, float] = {}
    now = 0.0
    while (at := wheel.next_expiry_ms()) is not None:
        assert at > now or now == 0.0
        now = at
        for number in wheel.take_expired(now):
            assert number not in found
            found[number] = now
    assert found.keys() == kept
    assert all(items[number][0] <= at <= items[number][0] + 5.0 for number, at in found.items())


@given(st.integers(0, 1000), st.integers(1, 30))
def test_waits_grow_are_bounded_and_differ_between_dispatchers(seed, losses):
    waits = []
    backoff, other = Backoff(f"a{seed}"), Backoff(f"b{seed}")
    differ = False
    for _ in range(losses):
        waits.append(backoff.record_failure(0.0))
        differ = differ or other.record_failure(0.0) != waits[-1]
    assert all(0.0 < wait <= 1000.0 for wait in waits) and differ
    assert all(wait >= min(1000.0, 20.0 * 2**n) * 0.25 for n, wait in enumerate(waits))


def test_a_peer_that_greets_and_drops_does_not_bring_the_waits_down():
    backoff = Backoff("x")
    now = 0.0
    for _ in range(8):
        now = backoff.record_failure(now)
        backoff.record_connected(now)
    assert backoff.losses == 8
    now += 5000.0
    assert backoff.record_failure(now) <= now + 20.0 and backoff.losses == 1


def test_the_pool_opens_connects_for_what_waits_and_never_too_many():
    pool = NodeConnectionPool("s", max_connections=3, max_in_flight=2, idle_timeout_ms=100.0)
    assert not pool.should_connect(0, 0.0)
    first = pool.add_connecting(0.0)
    assert not pool.should_connect(4, 0.0) and pool.should_connect(5, 0.0)
    second = pool.add_connecting(0.0)
    pool.add_connecting(0.0)
    assert not pool.should_connect(500, 0.0)
    pool.mark_ready(first, 1.0)
    pool.mark_ready(second, 1.0)
    picks = []
    while (line := pool.choose()) is not None:
        pool.frame_started(line)
        picks.append(line)
    assert picks.count(first) == picks.count(second) == 2
    pool.frame_ended(second, 5.0)
    second.is_full = True
    assert pool.choose() is None
    pool.frame_ended(second, 5.0)
    assert pool.to_close(104.0) == [] and pool.to_close(105.0) == [second]


def test_after_a_failed_connect_the_next_waits_though_more_is_sent():
    pool = NodeConnectionPool("s", max_connections=3, max_in_flight=2, idle_timeout_ms=100.0)
    line = pool.add_connecting(10.0)
    pool.remove(line, 10.0, is_failure=True)
    assert not pool.should_connect(50, 10.0) and pool.should_connect(50, 10.0 + 20.0)


@given(
    st.lists(st.tuples(st.floats(0.1, 500.0), st.floats(0.0, 300.0)), min_size=2, max_size=30),
    st.floats(-1e6, 1e6),
)
def test_what_waited_on_the_way_is_told_whatever_the_clocks_say(words, offset):
    transit, at, quickest = TransitTime(), 1.0, None
    for gap, delay in words:
        at += gap
        waited = transit.excess_ms(at, at + delay + offset)
        quickest = delay if quickest is None else min(quickest, delay)
        assert abs(waited - (delay - quickest)) < 1e-6 * max(1.0, abs(offset))


def test_the_compiled_module_is_used_only_where_it_is_of_the_source_as_it_reads(monkeypatch):
    import sys
    import types

    from cherrygrade import compiled
    from cherrygrade.scheduling import scheduler

    package, module = (types.ModuleType(compiled.PACKAGE), types.ModuleType(f"{compiled.PACKAGE}.scheduler"))
    module.Scheduler, package.DIGEST = object, "of another source"
    monkeypatch.setitem(sys.modules, package.__name__, package)
    monkeypatch.setitem(sys.modules, module.__name__, module)
    assert compiled.scheduler_class() == (scheduler.Scheduler, False)
    package.DIGEST = compiled.source_digest()
    assert compiled.scheduler_class() == (object, True)
