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
    def __init__(
        self, limit: DisruptionLimit, resources: tuple[Resource, ...] = SIX, seen: bool = True
    ) -> None:
        self.permits, self.index, self.now = DrainPermits(), 0, 0.0
        self.do(SetResources(0.0, resources, {"node": limit}))
        for resource in resources if seen else ():
            self.do(ObserveResource(0.0, resource.name, ResourceState.IN_USE.value))

    def do(self, op: AnyDrainCommand) -> PermitOutcome:
        self.index += 1
        return self.permits.apply(self.index, msgspec.msgpack.encode(op))

    def ask(self, name: str, id_: str = "", at: float = 0.0) -> PermitOutcome:
        return self.do(RequestPermit(at, id_ or f"ask {self.index}", name, "op", 1000.0))


def test_request_beyond_the_limit_is_refused_with_the_names_of_those_out():
    log = Log(DisruptionLimit(max_count=2))
    assert log.ask("n0").number and log.ask("n1").number
    told = log.ask("n2")
    assert not told.number and "2 of 2 nodes are out: n0 (granted), n1 (granted)" in told.refusals[0]


def test_failed_resource_counts_against_the_limit():
    log = Log(DisruptionLimit(max_count=2))
    log.do(ObserveResource(0.0, "n4", ResourceState.FAILED.value))
    assert log.ask("n0").number
    assert "n4 (failed)" in log.ask("n1").refusals[0]


def test_unknown_resource_counts_as_out():
    log = Log(DisruptionLimit(max_count=3), seen=False)
    assert "nobody knows" in log.ask("n0").refusals[0]


def test_last_holder_of_a_shard_gets_no_permit():
    log = Log(DisruptionLimit(max_count=6))
    assert log.ask("n0").number  # n3 holds s0 too
    assert log.ask("n3").refusals[0].startswith("shard s0 would keep 0 of 1 holders: n0 (granted)")
    alone = Log(DisruptionLimit(max_count=6), (Resource("n9", "node", "", ("s9",)),))
    assert "no other holds it" in alone.ask("n9").refusals[0]


def test_zone_limit_and_minimum_interval_are_kept():
    log = Log(DisruptionLimit(max_count=6, max_per_zone=1, min_interval_ms=500.0))
    assert log.ask("n0").number
    assert "300 ms ago, 500 apart" in log.ask("n1", at=300.0).refusals[0]
    assert any("in zone z0" in told for told in log.ask("n2", at=600.0).refusals)
    assert log.ask("n1", at=700.0).number


def test_late_permit_frees_nothing_until_it_is_returned_by_its_number():
    log = Log(DisruptionLimit(max_count=1))
    number = log.ask("n0").number
    assert log.ask("n1", at=1e6).refusals and [one.number for one in log.permits.late_permits()] == [number]
    log.do(ObserveResource(1e6, "n0", ResourceState.IN_USE.value))  # somebody says so
    assert log.ask("n1").refusals
    assert log.do(ReturnPermit(1e6, "n0", number - 1)).refusals  # an earlier life's proof
    assert log.ask("n1").refusals
    assert log.do(ReturnPermit(1e6, "n0", number)).number == number
    assert log.ask("n1").number


def test_resource_removed_from_the_fleet_of_record_frees_its_place():
    log = Log(DisruptionLimit(max_count=1))
    log.ask("n0")
    log.do(SetResources(1.0, SIX[1:], {"node": DisruptionLimit(max_count=1)}))
    assert log.ask("n1").number and "not of the fleet of record" in log.ask("n0").refusals[-1]


def test_halt_refuses_permits_and_a_resource_has_one_permit_at_most():
    log = Log(DisruptionLimit(max_count=6))
    first = log.ask("n0", "mine").number
    assert log.ask("n0", "mine").number == first  # asked again: its answer was lost
    assert "out by permit" in log.ask("n0").refusals[0]
    log.do(HaltDrains(1.0, "op"))
    assert log.ask("n1").refusals == ("halted by op",)
    log.do(HaltDrains(2.0, "op", False))
    assert log.ask("n1").number > first


def test_order_with_a_lower_number_is_refused():
    orders = FencingGuard()
    assert (
        orders.accept("n0", 7)
        and orders.accept("n0", 7)
        and not orders.accept("n0", 6)
        and orders.accept("n1", 3)
    )


def test_unreadable_entry_changes_nothing():
    log = Log(DisruptionLimit(max_count=1))
    before = log.permits.snapshot()
    assert log.permits.apply(99, b"\xc1 junk").refusals and log.permits.snapshot() == before


NAMES = st.sampled_from([resource.name for resource in SIX])
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
def test_every_grant_is_within_the_limits_for_any_order_of_commands(
    ops: list[AnyDrainCommand], cut: int
) -> None:
    limit = DisruptionLimit(max_count=3, max_share=0.5, max_per_zone=2)
    log = Log(limit)
    other = DrainPermits()
    other.restore(log.permits.snapshot())
    for at, op in enumerate(ops):
        permits = log.permits
        held, again = (
            dict(permits.permits),
            isinstance(op, RequestPermit) and op.id in permits.answered_requests,
        )
        told = log.do(op)
        if isinstance(op, RequestPermit) and told.number and not again:
            out = permits.budget.names_out("node")
            assert op.name in out and len(out) <= 3 and op.name not in held and not permits.halted_by
            zone = permits.budget.resources[op.name].zone
            assert sum(permits.budget.resources[one].zone == zone for one in out) <= 2
            shard = permits.budget.resources[op.name].shards[0]
            assert any(shard in resource.shards and resource.name not in out for resource in SIX)
        if at == cut:  # a voter that got a snapshot goes on as the others do
            other.restore(permits.snapshot())
        elif at > cut:
            assert other.apply(log.index, msgspec.msgpack.encode(op)) == told
    if len(ops) > cut:
        assert other.snapshot() == log.permits.snapshot()
