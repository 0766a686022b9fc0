"""Exhaustive exploration of a membership of three members, within bounds on the number of faults.

Guards against an order of messages, crashes, restarts and removals in which members accept an outdated
record, revive a dead member, or never agree again. The last test plants such faults in the product's code and
checks that the exploration finds each of them.
"""

from collections.abc import Callable
from typing import Any

import pytest

from cherrygrade.fleet.membership import failure_detector, record_merger, table
from cherrygrade.lab.exploration.explore import Breach, explore
from cherrygrade.lab.exploration.members import Bounds, Members


class Counter:
    """A model that counts up to `top` by ones and twos; the state five breaks its rule."""

    def __init__(self, top: int) -> None:
        self.top = top

    def start(self) -> int:
        return 0

    def steps(self, state: int) -> list[tuple[str, int]]:
        return [(f"+{more}", state + more) for more in (1, 2) if state + more <= self.top]

    def wrong(self, state: int) -> str:
        return "five" if state == 5 else ""


def test_exploration_visits_each_state_once_and_reports_a_shortest_path_to_a_breach() -> None:
    found = explore(Counter(4), 100)
    assert (found.states, found.whole, found.breach) == (5, True, "")
    found = explore(Counter(9), 100)
    assert found.breach == "five" and len(found.way) == 3
    found = explore(Counter(4), 3)
    assert not found.whole and not found.breach


def test_breach_raised_by_a_step_ends_the_exploration() -> None:
    class BreakingCounter(Counter):
        def steps(self, state: int) -> list[tuple[str, int]]:
            raise Breach("no way on")

    assert explore(BreakingCounter(3), 10).breach == "no way on"


@pytest.mark.parametrize(
    ("bounds", "min_states"),
    [
        (Bounds(accusations=1, crashes=1, restarts=1, leaves=True), 10_000),
        (Bounds(accusations=2, crashes=1, restarts=0), 20_000),
    ],
)
def test_no_state_of_three_members_breaks_a_rule(bounds: Bounds, min_states: int) -> None:
    found = explore(Members(bounds), 100_000)
    assert found.whole and not found.breach, str(found)
    assert found.states > min_states, "the model explores less than it did"


def key_by_state(self: Any) -> tuple[int, bool, int, int]:
    """Sort key that ignores refutations: a worse state wins over a newer record."""
    return (self.incarnation, False, 0, int(self.state))


def key_without_incarnation(self: Any) -> tuple[int, bool, int, int]:
    """Sort key that ignores the incarnation."""
    return (0, self.state == table.MemberState.LEFT, self.refutations, int(self.state))


def worse_state_wins_over_newer_record(patch: pytest.MonkeyPatch) -> None:
    for record_type in (table.MemberRecord, table.Member):
        patch.setattr(record_type, "key", property(key_by_state))


def earlier_incarnation_wins(patch: pytest.MonkeyPatch) -> None:
    for record_type in (table.MemberRecord, table.Member):
        patch.setattr(record_type, "key", property(key_without_incarnation))


def dropped_deaths_are_not_remembered(patch: pytest.MonkeyPatch) -> None:
    original_drop = table.MembershipTable._drop

    def drop(self: table.MembershipTable, name: str) -> None:
        original_drop(self, name)
        self.forgotten.clear()

    patch.setattr(table.MembershipTable, "_drop", drop)


def dropped_member_is_not_informed_of_its_death(patch: pytest.MonkeyPatch) -> None:
    """A running member that was dropped as dead never receives the record that it has to refute."""
    patch.setattr(table.MembershipTable, "forgotten_record", lambda self, name, incarnation: None)


def accusations_are_not_refuted(patch: pytest.MonkeyPatch) -> None:
    patch.setattr(table.MembershipTable, "refute", lambda self, above, now, seat=None: None)


def others_raise_the_refutation_counter(patch: pytest.MonkeyPatch) -> None:
    original_merge = record_merger.RecordMerger.merge

    def merge(
        self: record_merger.RecordMerger, records: list[table.MemberRecord], by: str, now: float
    ) -> list[str]:
        raised = [
            table.MemberRecord(record.name, record.incarnation, record.refutations + 1, 0, record.info)
            if record.state == 2
            else record
            for record in records
        ]
        return original_merge(self, raised, by, now)

    patch.setattr(record_merger.RecordMerger, "merge", merge)


def failures_are_recorded_as_graceful_leaves(patch: pytest.MonkeyPatch) -> None:
    original_declare_failures = failure_detector.FailureDetector._declare_failures

    def declare_failures(
        self: failure_detector.FailureDetector, now: float, effects: failure_detector.ProbeEffects
    ) -> None:
        original_declare_failures(self, now, effects)
        for member in self.table:
            if member.state is table.MemberState.FAILED:
                member.state = table.MemberState.LEFT

    patch.setattr(failure_detector.FailureDetector, "_declare_failures", declare_failures)


@pytest.mark.parametrize(
    "plant_fault",
    [
        worse_state_wins_over_newer_record,
        earlier_incarnation_wins,
        dropped_deaths_are_not_remembered,
        dropped_member_is_not_informed_of_its_death,
        accusations_are_not_refuted,
        others_raise_the_refutation_counter,
        failures_are_recorded_as_graceful_leaves,
    ],
)
def test_exploration_finds_planted_faults(
    plant_fault: Callable[[pytest.MonkeyPatch], None], monkeypatch: pytest.MonkeyPatch
) -> None:
    plant_fault(monkeypatch)
    for bounds in (Bounds(1, 1, 0), Bounds(1, 1, 1), Bounds(2, 1, 0)):
        found = explore(Members(bounds), 30_000)
        if found.breach:
            return
    raise AssertionError(f"not found: {found}")
