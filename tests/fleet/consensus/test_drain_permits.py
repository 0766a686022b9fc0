"""Drain permits: the council's log never grants more drains than the limits allow.

Failed, unknown and drained resources count against the same limits. A permit that is late, repeated or
returned under the wrong number frees no place for another drain.
"""

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
    """The permits after a sequence of committed commands; each `do` appends one and returns its outcome."""

    def __init__(
        self, limit: DisruptionLimit, resources: tuple[Resource, ...] = SIX, in_use: bool = True
    ) -> None:
        self.permits, self.index, self.now = DrainPermits(), 0, 0.0
        self.do(SetResources(0.0, resources, {"node": limit}))
        for resource in resources if in_use else ():
            self.do(ObserveResource(0.0, resource.name, ResourceState.IN_USE.value))

    def do(self, command: AnyDrainCommand) -> PermitOutcome:
        self.index += 1
        return self.permits.apply(self.index, msgspec.msgpack.encode(command))

    def request(self, name: str, request_id: str = "", at: float = 0.0) -> PermitOutcome:
        return self.do(RequestPermit(at, request_id or f"ask {self.index}", name, "op", 1000.0))


def test_request_beyond_the_limit_is_refused_with_the_names_of_resources_that_are_out():
    log = Log(DisruptionLimit(max_count=2))
    assert log.request("n0").number and log.request("n1").number
    outcome = log.request("n2")
    assert not outcome.number and "2 of 2 nodes are out: n0 (granted), n1 (granted)" in outcome.refusals[0]


def test_failed_resource_counts_against_the_limit():
    log = Log(DisruptionLimit(max_count=2))
    log.do(ObserveResource(0.0, "n4", ResourceState.FAILED.value))
    assert log.request("n0").number
    assert "n4 (failed)" in log.request("n1").refusals[0]


def test_unknown_resource_counts_as_out():
    log = Log(DisruptionLimit(max_count=3), in_use=False)
    assert "nobody knows" in log.request("n0").refusals[0]


def test_last_holder_of_a_shard_gets_no_permit():
    log = Log(DisruptionLimit(max_count=6))
    assert log.request("n0").number  # n3 holds s0 too
    assert log.request("n3").refusals[0].startswith("shard s0 would keep 0 of 1 holders: n0 (granted)")
    single = Log(DisruptionLimit(max_count=6), (Resource("n9", "node", "", ("s9",)),))
    assert "no other holds it" in single.request("n9").refusals[0]


def test_zone_limit_and_minimum_interval_are_kept():
    log = Log(DisruptionLimit(max_count=6, max_per_zone=1, min_interval_ms=500.0))
    assert log.request("n0").number
    assert "300 ms ago, 500 apart" in log.request("n1", at=300.0).refusals[0]
    assert any("in zone z0" in refusal for refusal in log.request("n2", at=600.0).refusals)
    assert log.request("n1", at=700.0).number


def test_late_permit_frees_nothing_until_it_is_returned_by_its_number():
    log = Log(DisruptionLimit(max_count=1))
    number = log.request("n0").number
    assert log.request("n1", at=1e6).refusals and [
        permit.number for permit in log.permits.late_permits()
    ] == [number]
    log.do(ObserveResource(1e6, "n0", ResourceState.IN_USE.value))  # a report without the permit's number
    assert log.request("n1").refusals
    assert log.do(ReturnPermit(1e6, "n0", number - 1)).refusals  # the number of an earlier permit
    assert log.request("n1").refusals
    assert log.do(ReturnPermit(1e6, "n0", number)).number == number
    assert log.request("n1").number


def test_resource_removed_from_the_fleet_of_record_no_longer_counts_against_the_limit():
    log = Log(DisruptionLimit(max_count=1))
    log.request("n0")
    log.do(SetResources(1.0, SIX[1:], {"node": DisruptionLimit(max_count=1)}))
    assert log.request("n1").number and "not of the fleet of record" in log.request("n0").refusals[-1]


def test_halt_refuses_permits_and_a_resource_has_one_permit_at_most():
    log = Log(DisruptionLimit(max_count=6))
    first = log.request("n0", "mine").number
    assert log.request("n0", "mine").number == first  # repeated, because its reply was lost
    assert "out by permit" in log.request("n0").refusals[0]
    log.do(HaltDrains(1.0, "op"))
    assert log.request("n1").refusals == ("halted by op",)
    log.do(HaltDrains(2.0, "op", False))
    assert log.request("n1").number > first


def test_order_with_a_lower_number_is_refused():
    guard = FencingGuard()
    assert (
        guard.accept("n0", 7)
        and guard.accept("n0", 7)
        and not guard.accept("n0", 6)
        and guard.accept("n1", 3)
    )


def test_unreadable_entry_changes_nothing():
    log = Log(DisruptionLimit(max_count=1))
    before = log.permits.snapshot()
    assert log.permits.apply(99, b"\xc1 junk").refusals and log.permits.snapshot() == before


NAMES = st.sampled_from([resource.name for resource in SIX])
TIMES_MS = st.floats(0.0, 1e5)
COMMANDS = st.one_of(
    st.builds(
        RequestPermit, TIMES_MS, st.text("abc", min_size=1, max_size=2), NAMES, st.just("op"), st.just(100.0)
    ),
    st.builds(ObserveResource, TIMES_MS, NAMES, st.sampled_from([state.value for state in ResourceState])),
    st.builds(ReturnPermit, TIMES_MS, NAMES, st.integers(0, 60)),
    st.builds(HaltDrains, TIMES_MS, st.just("op"), st.booleans()),
)


@settings(max_examples=300, deadline=None)
@given(st.lists(COMMANDS, max_size=40), st.integers(0, 39))
def test_every_grant_is_within_the_limits_for_any_order_of_commands(
    commands: list[AnyDrainCommand], snapshot_index: int
) -> None:
    limit = DisruptionLimit(max_count=3, max_share=0.5, max_per_zone=2)
    log = Log(limit)
    restored = DrainPermits()
    restored.restore(log.permits.snapshot())
    for index, command in enumerate(commands):
        permits = log.permits
        granted, is_repeated = (
            dict(permits.permits),
            isinstance(command, RequestPermit) and command.id in permits.answered_requests,
        )
        outcome = log.do(command)
        if isinstance(command, RequestPermit) and outcome.number and not is_repeated:
            out = permits.budget.names_out("node")
            assert (
                command.name in out
                and len(out) <= 3
                and command.name not in granted
                and not permits.halted_by
            )
            zone = permits.budget.resources[command.name].zone
            assert sum(permits.budget.resources[name].zone == zone for name in out) <= 2
            shard = permits.budget.resources[command.name].shards[0]
            assert any(shard in resource.shards and resource.name not in out for resource in SIX)
        if index == snapshot_index:
            # A voter restored from a snapshot must apply later entries as the others do.
            restored.restore(permits.snapshot())
        elif index > snapshot_index:
            assert restored.apply(log.index, msgspec.msgpack.encode(command)) == outcome
    if len(commands) > snapshot_index:
        assert restored.snapshot() == log.permits.snapshot()
