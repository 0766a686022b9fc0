"""The joint phase of a version that divides quotas anew.

The tests guard against dispatchers on different stages that together use more than the larger of the two
versions' limits. That happens if a quota part grows before each dispatcher of the fleet has reported that it
uses the smaller parts.
"""

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


def limit_part(parts: QuotaParts, rate: float) -> float:
    """Return the rate of a volume's limit that one dispatcher uses (rule 4)."""
    return rate / parts.hosts["v"] if parts.has_parts else 0.0


def cold_part(parts: QuotaParts, seat: int, node_hash: int, max_units: float, min_units: float) -> float:
    """Return the units that one dispatcher sends to a cold node (rule 7), computed for each count."""

    def units(count: int) -> float:
        part = max(max_units / count, min_units)
        position = (seat + node_hash) % count
        return part if (position + 1) * part < max_units + 1e-6 else 0.0

    return min(units(count) for count in parts.dispatcher_counts) if parts.has_parts else 0.0


def parts_at(seat: int, phase: str, old: QuotaDivisors, new: QuotaDivisors) -> QuotaParts:
    """Return the quota parts of a seat whose dispatcher is in this phase of the move."""
    replaced = replaced_divisors(old, new)
    if phase == OLD:
        return quota_parts(seat, old)
    return quota_parts(seat, new, replaced if phase == JOINT else None)


count_pairs = st.sampled_from([(9, 12), (12, 9), (1, 2), (3, 2), (2, 3), (5, 5), (9, 10), (7, 3)])
figures = st.tuples(st.floats(0.1, 100.0), st.floats(0.1, 100.0))


@given(count_pairs, st.booleans(), st.lists(st.booleans(), min_size=12, max_size=12), figures, figures,
       st.integers(0, 50), st.floats(0.1, 9.0))  # fmt: skip
def test_no_mix_of_stages_exceeds_the_larger_limit(
    counts: tuple[int, int],
    settled: bool,
    ahead: list[bool],
    rates: tuple[float, float],
    max_units: tuple[float, float],
    node_hash: int,
    min_units: float,
) -> None:
    """Until the move is settled, dispatchers are on the old version or in the joint phase; then, some are
    still in the joint phase."""
    old, new = (QuotaDivisors(count, (("v", count),)) for count in counts)
    earlier, later = (JOINT, NEW) if settled else (OLD, JOINT)
    total_rate = total_units = 0.0
    for seat in range(max(counts)):
        phase = later if ahead[seat] else earlier
        parts = parts_at(seat, phase, old, new)
        version = 0 if phase == OLD else 1
        total_rate += limit_part(parts, rates[version])
        total_units += cold_part(parts, seat, node_hash, max_units[version], min_units)
    if settled:  # no dispatcher uses the old version's limits any more
        assert total_rate <= rates[1] * (1 + 1e-9) and total_units <= max_units[1] + 1e-5
    else:
        assert total_rate <= max(rates) * (1 + 1e-9) and total_units <= max(max_units) + 1e-5


@given(st.sampled_from([(3, 2), (2, 3), (4, 1), (1, 4)]), st.booleans(), st.lists(st.booleans(), min_size=4,
       max_size=4), st.integers(0, 3))  # fmt: skip
def test_the_hosts_that_a_volume_is_used_through_stay_within_its_limit(
    counts: tuple[int, int], settled: bool, ahead: list[bool], first: int
) -> None:
    """A volume is used through as many dispatchers as the old version says until the move is settled, then
    through as many as the new one says."""
    old, new = (QuotaDivisors(9, (("v", count),)) for count in counts)
    earlier, later = (JOINT, NEW) if settled else (OLD, JOINT)
    hosts = counts[1] if settled else counts[0]
    total = 0.0
    for host in range(hosts):
        total += limit_part(parts_at(first + host, later if ahead[host] else earlier, old, new), 1.0)
    assert total <= 1.0 + 1e-9


def test_without_the_joint_phase_the_limit_would_be_exceeded() -> None:
    """Of twelve dispatchers, half use a ninth while the others still use a twelfth."""
    old, new = QuotaDivisors(12, (("v", 12),)), QuotaDivisors(9, (("v", 9),))
    mixed = [parts_at(seat, NEW if seat < 6 else OLD, old, new) for seat in range(12)]
    assert sum(limit_part(parts, 1.0) for parts in mixed) > 1.16


def test_in_the_joint_phase_parts_are_the_smaller_and_added_seats_have_none() -> None:
    old, new = QuotaDivisors(9, (("v", 9), ("w", 2))), QuotaDivisors(12, (("v", 12), ("w", 2), ("x", 4)))
    replaced = replaced_divisors(old, new)
    assert quota_parts(8, new, replaced) == QuotaParts((9, 12), {"v": 12, "w": 2, "x": 4}, True)
    assert not quota_parts(9, new, replaced).has_parts and quota_parts(9, new).has_parts
    assert not quota_parts(12, new).has_parts and not quota_parts(-1, new).has_parts
    reverted = replaced_divisors(new, old)
    assert quota_parts(8, old, reverted) == QuotaParts((9, 12), {"v": 12, "w": 2}, True)
    assert not quota_parts(9, old, reverted).has_parts
    assert not quota_parts(3, new, is_certain=False).has_parts
    assert seat_count(old, new) == seat_count(new, old) == 12


class LeaderWithMembers:
    """A leader's joint phase, and members that answer its queries.

    Attributes:
        claims: The claims to seats.
        now: The time in ms.
        joint_phase: The joint phase.
        query_times: When the leader sent a query, in ms.
    """

    def __init__(self, claims: list[SeatedMember], seats: int, stage: int = 6) -> None:
        self.claims, self.now = claims, 0.0
        self.joint_phase = JointPhase(stage, seats, 7, 0.0)
        self.query_times: list[float] = []

    def run(
        self, stages: dict[str, int], duration_ms: float, claims: Iterable[SeatedMember] | None = None
    ) -> bool:
        """Run for a time, and return whether the move may be settled by then.

        Args:
            stages: By name, the stage that a member answers; the other members do not answer.
            duration_ms: How long to run at most.
            claims: The claims to seats, if they are not those at the start.
        """
        claims = self.claims if claims is None else [*claims]
        incarnations = {one.name: one.incarnation for one in claims if one.is_living}
        ends = self.now + duration_ms
        while self.now < ends:
            for name, nonce in self.joint_phase.tick(claims, self.now):
                self.query_times.append(self.now)
                if name in stages:
                    self.joint_phase.receive_answer(name, incarnations[name], stages[name], nonce)
            if self.joint_phase.is_complete(claims):
                return True
            self.now = max(self.now + 1.0, self.joint_phase.next_deadline())
        return False


def fleet(count: int) -> list[SeatedMember]:
    return [SeatedMember(seat, f"d{seat}", 1, True) for seat in range(count)]


def test_a_move_is_settled_once_every_seat_is_proven_twice() -> None:
    leader = LeaderWithMembers(fleet(3), 3)
    assert not leader.run({"d0": 6, "d1": 6}, 5000.0)
    assert leader.joint_phase.missing(leader.claims) == {2: "d2 has not answered"}
    assert not leader.run({"d0": 6, "d1": 6, "d2": 5}, 5000.0)
    assert leader.joint_phase.missing(leader.claims) == {2: "d2 is on stage 5"}
    assert leader.run({"d0": 6, "d1": 6, "d2": 9}, 5000.0)


def test_one_round_of_answers_does_not_suffice() -> None:
    """d2 answers, loses its disk in a restart, and could learn the old stage from a member that lags."""
    leader = LeaderWithMembers(fleet(3), 3)
    assert not leader.run({"d2": 6}, 3000.0)
    failed = [*fleet(2), SeatedMember(2, "d2", 1, False)]
    assert not leader.run({"d0": 6, "d1": 6}, 20_000.0, failed)
    assert leader.joint_phase.completed_rounds == 1
    assert leader.joint_phase.missing(failed) == {2: "d2 failed, and has not left"}


def test_failure_is_no_proof_but_leaving_is() -> None:
    failed = [*fleet(2), SeatedMember(2, "d2", 1, False)]
    leader = LeaderWithMembers(failed, 3)
    assert not leader.run({"d0": 6, "d1": 6}, 30_000.0)
    left = [*fleet(2), SeatedMember(2, "d2", 1, False, True)]
    assert leader.run({"d0": 6, "d1": 6}, 5000.0, left)


def test_a_member_that_took_over_a_seat_has_to_answer_itself() -> None:
    claims = [*fleet(2), SeatedMember(2, "d2", 1, False, True), SeatedMember(2, "e2", 5, True)]
    leader = LeaderWithMembers(claims, 3)
    assert not leader.run({"d0": 6, "d1": 6}, 9000.0)
    assert leader.joint_phase.missing(claims) == {2: "e2 has not answered"}
    assert leader.run({"d0": 6, "d1": 6, "e2": 6}, 9000.0)


def test_all_members_that_claim_a_seat_have_to_answer() -> None:
    claims = [*fleet(3), SeatedMember(2, "e2", 0, True)]
    leader = LeaderWithMembers(claims, 3)
    assert not leader.run({"d0": 6, "d1": 6, "d2": 6}, 9000.0)


def test_a_seat_that_no_member_has_claimed_is_missing() -> None:
    leader = LeaderWithMembers(fleet(2), 3)
    assert not leader.run({"d0": 6, "d1": 6}, 9000.0)
    assert leader.joint_phase.missing(leader.claims) == {2: "nobody is known to have held it"}


def test_seats_beyond_the_larger_count_are_ignored() -> None:
    leader = LeaderWithMembers(
        [*fleet(3), SeatedMember(7, "d7", 1, True), SeatedMember(-1, "yielded", 1, True)], 3
    )
    assert leader.run({"d0": 6, "d1": 6, "d2": 6}, 9000.0)


def test_an_answer_counts_only_with_the_pending_nonce_and_once() -> None:
    joint_phase = JointPhase(6, 1, 7, 0.0)
    claims = fleet(1)
    ((name, nonce),) = joint_phase.tick(claims, 0.0)
    joint_phase.receive_answer(name, 1, 6, nonce + 1)
    joint_phase.receive_answer(name, 1, 6, 0)
    assert not joint_phase.stages
    ((_, later),) = joint_phase.tick(claims, REPEAT_MS)
    joint_phase.receive_answer(name, 1, 6, nonce)  # answers the query before
    assert not joint_phase.stages
    joint_phase.receive_answer(name, 1, 6, later)
    assert joint_phase.stages == {("d0", 1): 6}
    joint_phase.receive_answer(name, 2, 6, later)
    assert joint_phase.stages == {("d0", 1): 6}


def test_580_members_are_queried_at_a_bounded_rate() -> None:
    leader = LeaderWithMembers(fleet(580), 580)
    stages = {f"d{seat}": 6 for seat in range(580) if seat != 77}
    assert not leader.run(stages, 40_000.0)
    assert leader.joint_phase.missing(leader.claims) == {77: "d77 has not answered"}
    for since in range(0, 40_000, 1000):
        assert sum(since <= time < since + 1000.0 for time in leader.query_times) <= MAX_QUESTIONS_PER_SECOND
    stages["d77"] = 6
    assert leader.run(stages, 15_000.0)
