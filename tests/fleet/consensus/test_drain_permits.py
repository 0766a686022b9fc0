"""What is out and what more may go: permits as the council's log deals them out."""

from __future__ import annotations

import msgspec
from hypothesis import given, settings
from hypothesis import strategies as st

from cherrygrade.fleet.consensus.disruption_budget import DisruptionLimit, Resource, ResourceState
from cherrygrade.fleet.consensus.drain_permits import (
    AnyDrainCommand,
    DrainPermits,
    HaltDrains,
    ObserveResource,
    PermitOutcome,
    RequestPermit,
    ReturnPermit,
    SetResources,
)
from cherrygrade.fleet.consensus.fencing import FencingGuard

SIX = tuple(Resource(f"n{at}", "node", f"z{at % 2}", (f"s{at % 3}",)) for at in range(6))


class Log:
    def __init__(self, limit: DisruptionLimit, things: tuple[Resource, ...] = SIX, seen: bool = True) -> None:
        self.permits, self.index, self.now = DrainPermits(), 0, 0.0
        self.do(SetResources(0.0, things, {"node": limit}))
        for thing in things if seen else ():
            self.do(ObserveResource(0.0, thing.name, ResourceState.IN.value))

    def do(self, op: AnyDrainCommand) -> PermitOutcome:
        self.index += 1
        return self.permits.apply(self.index, msgspec.msgpack.encode(op))

    def ask(self, name: str, id_: str = "", at: float = 0.0) -> PermitOutcome:
        return self.do(RequestPermit(at, id_ or f"ask {self.index}", name, "op", 1000.0))


def test_no_more_go_out_than_the_limit_and_a_waiting_ask_is_told_for_whom():
    log = Log(DisruptionLimit(most=2))
    assert log.ask("n0").number and log.ask("n1").number
    told = log.ask("n2")
    assert not told.number and "2 of 2 nodes are out: n0 (granted), n1 (granted)" in told.waits[0]


def test_what_failed_by_itself_takes_from_the_same_limit():
    log = Log(DisruptionLimit(most=2))
    log.do(ObserveResource(0.0, "n4", ResourceState.FAILED.value))
    assert log.ask("n0").number
    assert "n4 (failed)" in log.ask("n1").waits[0]


def test_what_nobody_knows_of_counts_as_out():
    log = Log(DisruptionLimit(most=3), seen=False)
    assert "nobody knows" in log.ask("n0").waits[0]


def test_the_last_holder_of_a_shard_never_goes():
    log = Log(DisruptionLimit(most=6))
    assert log.ask("n0").number  # n3 holds s0 too
    assert log.ask("n3").waits[0].startswith("shard s0 would keep 0 of 1 holders: n0 (granted)")
    alone = Log(DisruptionLimit(most=6), (Resource("n9", "node", "", ("s9",)),))
    assert "no other holds it" in alone.ask("n9").waits[0]


def test_zones_and_distances_are_kept():
    log = Log(DisruptionLimit(most=6, zone=1, apart_ms=500.0))
    assert log.ask("n0").number
    assert "300 ms ago, 500 apart" in log.ask("n1", at=300.0).waits[0]
    assert any("in zone z0" in told for told in log.ask("n2", at=600.0).waits)
    assert log.ask("n1", at=700.0).number


def test_the_end_of_a_permit_frees_nothing_and_proof_by_its_number_does():
    log = Log(DisruptionLimit(most=1))
    number = log.ask("n0").number
    assert log.ask("n1", at=1e6).waits and [one.number for one in log.permits.late()] == [number]
    log.do(ObserveResource(1e6, "n0", ResourceState.IN.value))  # somebody says so
    assert log.ask("n1").waits
    assert log.do(ReturnPermit(1e6, "n0", number - 1)).waits  # an earlier life's proof
    assert log.ask("n1").waits
    assert log.do(ReturnPermit(1e6, "n0", number)).number == number
    assert log.ask("n1").number


def test_one_that_is_gone_for_good_frees_its_place_by_the_fleet_of_record():
    log = Log(DisruptionLimit(most=1))
    log.ask("n0")
    log.do(SetResources(1.0, SIX[1:], {"node": DisruptionLimit(most=1)}))
    assert log.ask("n1").number and "not of the fleet of record" in log.ask("n0").waits[-1]


def test_nobody_goes_out_after_a_halt_and_one_place_has_one_permit():
    log = Log(DisruptionLimit(most=6))
    first = log.ask("n0", "mine").number
    assert log.ask("n0", "mine").number == first  # asked again: its answer was lost
    assert "out by permit" in log.ask("n0").waits[0]
    log.do(HaltDrains(1.0, "op"))
    assert log.ask("n1").waits == ("halted by op",)
    log.do(HaltDrains(2.0, "op", False))
    assert log.ask("n1").number > first


def test_an_old_leaders_orders_come_to_nothing():
    orders = FencingGuard()
    assert orders.take("n0", 7) and orders.take("n0", 7) and not orders.take("n0", 6) and orders.take("n1", 3)


def test_an_entry_that_cannot_be_read_does_nothing():
    log = Log(DisruptionLimit(most=1))
    before = log.permits.snapshot()
    assert log.permits.apply(99, b"\xc1 junk").waits and log.permits.snapshot() == before


NAMES = st.sampled_from([thing.name for thing in SIX])
TIMES = st.floats(0.0, 1e5)
OPS = st.one_of(
    st.builds(
        RequestPermit, TIMES, st.text("abc", min_size=1, max_size=2), NAMES, st.just("op"), st.just(100.0)
    ),
    st.builds(ObserveResource, TIMES, NAMES, st.sampled_from([why.value for why in ResourceState])),
    st.builds(ReturnPermit, TIMES, NAMES, st.integers(0, 60)),
    st.builds(HaltDrains, TIMES, st.just("op"), st.booleans()),
)


@settings(max_examples=300, deadline=None)
@given(st.lists(OPS, max_size=40), st.integers(0, 39))
def test_whatever_comes_in_whatever_order_each_grant_is_within_the_limits(
    ops: list[AnyDrainCommand], cut: int
) -> None:
    limit = DisruptionLimit(most=3, share=0.5, zone=2)
    log = Log(limit)
    other = DrainPermits()
    other.restore(log.permits.snapshot())
    for at, op in enumerate(ops):
        permits = log.permits
        held, again = dict(permits.permits), isinstance(op, RequestPermit) and op.id in permits.asks
        told = log.do(op)
        if isinstance(op, RequestPermit) and told.number and not again:
            out = permits.outs.out("node")
            assert op.name in out and len(out) <= 3 and op.name not in held and not permits.halted
            zone = permits.outs.things[op.name].zone
            assert sum(permits.outs.things[one].zone == zone for one in out) <= 2
            shard = permits.outs.things[op.name].shards[0]
            assert any(shard in thing.shards and thing.name not in out for thing in SIX)
        if at == cut:  # a voter that got a snapshot goes on as the others do
            other.restore(permits.snapshot())
        elif at > cut:
            assert other.apply(log.index, msgspec.msgpack.encode(op)) == told
    if len(ops) > cut:
        assert other.snapshot() == log.permits.snapshot()
