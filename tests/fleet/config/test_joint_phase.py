"""Parts that move: no mix of stages lets the sum pass the larger of two versions' limits, and nothing grows
before all of record have said that they use the smaller ones."""

from collections.abc import Iterable

from hypothesis import given
from hypothesis import strategies as st

from cherrygrade.fleet.config.joint_phase import (
    MAX_QUESTIONS_PER_SECOND,
    REPEAT_MS,
    JointPhase,
    QuotaParts,
    SeatedMember,
    quota_parts,
    seat_count,
)
from cherrygrade.fleet.config.versions import QuotaDivisors, replaced_divisors

OLD, JOINT, NEW = "old", "joint", "new"


def limit(own: QuotaParts, rate: float) -> float:
    """What one dispatcher lets through of a volume's limit (rule 4)."""
    return rate / own.hosts["v"] if own.has_parts else 0.0


def cold(own: QuotaParts, seat: int, mark: int, borne: float, least: float) -> float:
    """What one dispatcher sends to a cold node (rule 7, as the gate reckons it for each count)."""

    def room(count: int) -> float:
        part = max(borne / count, least)
        place = (seat + mark) % count
        return part if (place + 1) * part < borne + 1e-6 else 0.0

    return min(room(count) for count in own.dispatcher_counts) if own.has_parts else 0.0


def use(seat: int, on: str, old: QuotaDivisors, now: QuotaDivisors) -> QuotaParts:
    away = replaced_divisors(old, now)
    if on == OLD:
        return quota_parts(seat, old)
    return quota_parts(seat, now, away if on == JOINT else None)


move = st.sampled_from([(9, 12), (12, 9), (1, 2), (3, 2), (2, 3), (5, 5), (9, 10), (7, 3)])
figures = st.tuples(st.floats(0.1, 100.0), st.floats(0.1, 100.0))


@given(move, st.booleans(), st.lists(st.booleans(), min_size=12, max_size=12), figures, figures,
       st.integers(0, 50), st.floats(0.1, 9.0))  # fmt: skip
def test_no_mix_of_stages_passes_the_larger_limit(
    counts: tuple[int, int],
    settled: bool,
    ahead: list[bool],
    rates: tuple[float, float],
    borne: tuple[float, float],
    mark: int,
    least: float,
) -> None:
    """Before it is settled some are on the old version and some joint; after, some joint and some settled."""
    old, now = (QuotaDivisors(count, (("v", count),)) for count in counts)
    behind, front = (JOINT, NEW) if settled else (OLD, JOINT)
    through = units = 0.0
    for seat in range(max(counts)):
        on = front if ahead[seat] else behind
        own = use(seat, on, old, now)
        at = 0 if on == OLD else 1
        through += limit(own, rates[at])
        units += cold(own, seat, mark, borne[at], least)
    if settled:  # nobody is on the old version's figures any more
        assert through <= rates[1] * (1 + 1e-9) and units <= borne[1] + 1e-5
    else:
        assert through <= max(rates) * (1 + 1e-9) and units <= max(borne) + 1e-5


@given(st.sampled_from([(3, 2), (2, 3), (4, 1), (1, 4)]), st.booleans(), st.lists(st.booleans(), min_size=4,
       max_size=4), st.integers(0, 3))  # fmt: skip
def test_hosts_of_a_volume_as_it_is_carried(
    counts: tuple[int, int], settled: bool, ahead: list[bool], first: int
) -> None:
    """It comes through as many as the old version says until it is settled, then as the new one."""
    old, now = (QuotaDivisors(9, (("v", count),)) for count in counts)
    behind, front = (JOINT, NEW) if settled else (OLD, JOINT)
    carriers = counts[1] if settled else counts[0]
    sum_ = 0.0
    for at in range(carriers):
        sum_ += limit(use(first + at, front if ahead[at] else behind, old, now), 1.0)
    assert sum_ <= 1.0 + 1e-9


def test_without_joint_use_the_sum_would_pass() -> None:
    """The rule is needed: twelve, of which half grew to ninths before the others gave up their twelfths."""
    old, now = QuotaDivisors(12, (("v", 12),)), QuotaDivisors(9, (("v", 9),))
    mixed = [use(seat, NEW if seat < 6 else OLD, old, now) for seat in range(12)]
    assert sum(limit(own, 1.0) for own in mixed) > 1.16


def test_joint_parts_are_the_smaller_and_new_seats_have_none() -> None:
    old, now = QuotaDivisors(9, (("v", 9), ("w", 2))), QuotaDivisors(12, (("v", 12), ("w", 2), ("x", 4)))
    away = replaced_divisors(old, now)
    assert quota_parts(8, now, away) == QuotaParts((9, 12), {"v": 12, "w": 2, "x": 4}, True)
    assert not quota_parts(9, now, away).has_parts and quota_parts(9, now).has_parts
    assert not quota_parts(12, now).has_parts and not quota_parts(-1, now).has_parts
    back = replaced_divisors(now, old)
    assert quota_parts(8, old, back) == QuotaParts((9, 12), {"v": 12, "w": 2}, True)
    assert not quota_parts(9, old, back).has_parts
    assert not quota_parts(3, now, is_certain=False).has_parts
    assert seat_count(old, now) == seat_count(now, old) == 12


class Asked:
    """Members that answer as they are told to, asked by a leader."""

    def __init__(self, claims: list[SeatedMember], seats: int, stage: int = 6) -> None:
        self.claims, self.now = claims, 0.0
        self.settling = JointPhase(stage, seats, 7, 0.0)
        self.times: list[float] = []

    def run(self, on: dict[str, int], ms: float, claims: Iterable[SeatedMember] | None = None) -> bool:
        claims = self.claims if claims is None else [*claims]
        births = {one.name: one.incarnation for one in claims if one.is_living}
        ends = self.now + ms
        while self.now < ends:
            for name, nonce in self.settling.tick(claims, self.now):
                self.times.append(self.now)
                if name in on:
                    self.settling.receive_answer(name, births[name], on[name], nonce)
            if self.settling.is_complete(claims):
                return True
            self.now = max(self.now + 1.0, self.settling.next_deadline())
        return False


def fleet(count: int) -> list[SeatedMember]:
    return [SeatedMember(seat, f"d{seat}", 1, True) for seat in range(count)]


def test_settled_once_every_seat_said_so_twice() -> None:
    asked = Asked(fleet(3), 3)
    assert not asked.run({"d0": 6, "d1": 6}, 5000.0)
    assert asked.settling.missing(asked.claims) == {2: "d2 has not answered"}
    assert not asked.run({"d0": 6, "d1": 6, "d2": 5}, 5000.0)
    assert asked.settling.missing(asked.claims) == {2: "d2 is on stage 5"}
    assert asked.run({"d0": 6, "d1": 6, "d2": 9}, 5000.0)


def test_the_first_round_alone_settles_nothing() -> None:
    """d2 said it, was started anew without its file, and was told the old stage by one that lagged."""
    asked = Asked(fleet(3), 3)
    assert not asked.run({"d2": 6}, 3000.0)
    gone = [*fleet(2), SeatedMember(2, "d2", 1, False)]
    assert not asked.run({"d0": 6, "d1": 6}, 20_000.0, gone)
    assert asked.settling.completed_rounds == 1
    assert asked.settling.missing(gone) == {2: "d2 failed without leaving the fleet"}


def test_silence_and_failure_are_no_proof_but_leaving_is() -> None:
    failed = [*fleet(2), SeatedMember(2, "d2", 1, False)]
    asked = Asked(failed, 3)
    assert not asked.run({"d0": 6, "d1": 6}, 30_000.0)
    left = [*fleet(2), SeatedMember(2, "d2", 1, False, True)]
    assert asked.run({"d0": 6, "d1": 6}, 5000.0, left)


def test_a_later_life_has_to_say_it_itself() -> None:
    claims = [*fleet(2), SeatedMember(2, "d2", 1, False, True), SeatedMember(2, "e2", 5, True)]
    asked = Asked(claims, 3)
    assert not asked.run({"d0": 6, "d1": 6}, 9000.0)
    assert asked.settling.missing(claims) == {2: "e2 has not answered"}
    assert asked.run({"d0": 6, "d1": 6, "e2": 6}, 9000.0)


def test_of_two_that_claim_a_seat_both_have_to() -> None:
    claims = [*fleet(3), SeatedMember(2, "e2", 0, True)]
    asked = Asked(claims, 3)
    assert not asked.run({"d0": 6, "d1": 6, "d2": 6}, 9000.0)


def test_a_seat_that_nobody_held_is_missing() -> None:
    asked = Asked(fleet(2), 3)
    assert not asked.run({"d0": 6, "d1": 6}, 9000.0)
    assert asked.settling.missing(asked.claims) == {2: "no member is known to have claimed this seat"}


def test_seats_beyond_both_counts_are_not_asked() -> None:
    asked = Asked([*fleet(3), SeatedMember(7, "d7", 1, True), SeatedMember(-1, "yielded", 1, True)], 3)
    assert asked.run({"d0": 6, "d1": 6, "d2": 6}, 9000.0)


def test_only_the_nonce_that_is_out_counts_and_once() -> None:
    settling = JointPhase(6, 1, 7, 0.0)
    claims = fleet(1)
    ((name, nonce),) = settling.tick(claims, 0.0)
    settling.receive_answer(name, 1, 6, nonce + 1)
    settling.receive_answer(name, 1, 6, 0)
    assert not settling.stages
    ((_, later),) = settling.tick(claims, REPEAT_MS)
    settling.receive_answer(name, 1, 6, nonce)  # to the ask before
    assert not settling.stages
    settling.receive_answer(name, 1, 6, later)
    assert settling.stages == {("d0", 1): 6}
    settling.receive_answer(name, 2, 6, later)
    assert settling.stages == {("d0", 1): 6}


def test_580_are_asked_at_a_bounded_pace() -> None:
    asked = Asked(fleet(580), 580)
    on = {f"d{seat}": 6 for seat in range(580) if seat != 77}
    assert not asked.run(on, 40_000.0)
    assert asked.settling.missing(asked.claims) == {77: "d77 has not answered"}
    for at in range(0, 40_000, 1000):
        assert sum(at <= time < at + 1000.0 for time in asked.times) <= MAX_QUESTIONS_PER_SECOND
    on["d77"] = 6
    assert asked.run(on, 15_000.0)
