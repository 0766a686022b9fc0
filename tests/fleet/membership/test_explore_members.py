"""Exploration of the roll and of probing for three members: every state within the bounds, and planted
breakages that have to be found."""

from collections.abc import Callable
from typing import Any

import pytest

from cherrygrade.fleet.membership import failure_detector, record_merger, table
from cherrygrade.lab.exploration.explore import Breach, explore
from cherrygrade.lab.exploration.members import Bounds, Members


class Counter:
    """Counts to three, by ones and twos; five is wrong."""

    def __init__(self, top: int) -> None:
        self.top = top

    def start(self) -> int:
        return 0

    def steps(self, state: int) -> list[tuple[str, int]]:
        return [(f"+{more}", state + more) for more in (1, 2) if state + more <= self.top]

    def wrong(self, state: int) -> str:
        return "five" if state == 5 else ""


def test_all_states_are_seen_once_and_the_way_to_a_breach_is_a_shortest_one() -> None:
    found = explore(Counter(4), 100)
    assert (found.states, found.whole, found.breach) == (5, True, "")
    found = explore(Counter(9), 100)
    assert found.breach == "five" and len(found.way) == 3
    found = explore(Counter(4), 3)
    assert not found.whole and not found.breach


def test_a_step_that_shows_a_breach_ends_the_exploration() -> None:
    class Bad(Counter):
        def steps(self, state: int) -> list[tuple[str, int]]:
            raise Breach("no way on")

    assert explore(Bad(3), 10).breach == "no way on"


@pytest.mark.parametrize(
    ("bounds", "least"),
    [
        (Bounds(accusations=1, crashes=1, restarts=1, leaves=True), 10_000),
        (Bounds(accusations=2, crashes=1, restarts=0), 20_000),
    ],
)
def test_three_members_never_go_wrong(bounds: Bounds, least: int) -> None:
    found = explore(Members(bounds), 100_000)
    assert found.whole and not found.breach, str(found)
    assert found.states > least, "the model explores less than it did"


# Planted breakages.


def by_standing(self: Any) -> tuple[int, bool, int, int]:
    """An older word that is worse holds over a newer one."""
    return (self.incarnation, False, 0, int(self.state))


def any_birth(self: Any) -> tuple[int, bool, int, int]:
    return (0, self.state == table.MemberState.LEFT, self.refutations, int(self.state))


def older_words(patch: pytest.MonkeyPatch) -> None:
    for kind in (table.MemberRecord, table.Member):
        patch.setattr(kind, "key", property(by_standing))


def older_lives(patch: pytest.MonkeyPatch) -> None:
    for kind in (table.MemberRecord, table.Member):
        patch.setattr(kind, "key", property(any_birth))


def deaths_not_kept(patch: pytest.MonkeyPatch) -> None:
    usual = table.MembershipTable._drop

    def drop(self: table.MembershipTable, name: str) -> None:
        usual(self, name)
        self.forgotten.clear()

    patch.setattr(table.MembershipTable, "_drop", drop)


def no_way_back(patch: pytest.MonkeyPatch) -> None:
    """As it was before the exploration found it: who was forgotten is told nothing."""
    patch.setattr(table.MembershipTable, "forgotten_record", lambda self, name, birth: None)


def no_refuting(patch: pytest.MonkeyPatch) -> None:
    patch.setattr(table.MembershipTable, "refute", lambda self, above, now, seat=None: None)


def raised_by_others(patch: pytest.MonkeyPatch) -> None:
    usual = record_merger.RecordMerger.merge

    def join(
        self: record_merger.RecordMerger, claims: list[table.MemberRecord], by: str, now: float
    ) -> list[str]:
        raised = [
            table.MemberRecord(one.name, one.incarnation, one.refutations + 1, 0, one.info)
            if one.state == 2
            else one
            for one in claims
        ]
        return usual(self, raised, by, now)

    patch.setattr(record_merger.RecordMerger, "merge", join)


def died_of_its_own_will(patch: pytest.MonkeyPatch) -> None:
    usual = failure_detector.FailureDetector._declare_failures

    def bury(
        self: failure_detector.FailureDetector, now: float, effects: failure_detector.ProbeEffects
    ) -> None:
        usual(self, now, effects)
        for one in self.table:
            if one.state is table.MemberState.FAILED:
                one.state = table.MemberState.LEFT

    patch.setattr(failure_detector.FailureDetector, "_declare_failures", bury)


@pytest.mark.parametrize(
    "plant",
    [
        older_words,
        older_lives,
        deaths_not_kept,
        no_way_back,
        no_refuting,
        raised_by_others,
        died_of_its_own_will,
    ],
)
def test_planted_breakages_are_found(
    plant: Callable[[pytest.MonkeyPatch], None], monkeypatch: pytest.MonkeyPatch
) -> None:
    plant(monkeypatch)
    for bounds in (Bounds(1, 1, 0), Bounds(1, 1, 1), Bounds(2, 1, 0)):
        found = explore(Members(bounds), 30_000)
        if found.breach:
            return
    raise AssertionError(f"not found: {found}")
