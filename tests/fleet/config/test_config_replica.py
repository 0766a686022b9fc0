"""One replica of the configuration.

The tests guard against a member that follows a false or outdated report, that goes back to an earlier stage,
or that does not reach the fleet's version, however messages are lost, repeated or reordered.
"""

from collections.abc import Callable
from itertools import pairwise
from typing import Any

import msgspec
import pytest
from hypothesis import given
from hypothesis import strategies as st

from cherrygrade.fleet.config import replica, stage_seats, witnesses
from cherrygrade.fleet.config.replica import ConfigReplica
from cherrygrade.fleet.config.replica_messages import (
    UNCERTAIN_DIGEST_PREFIX,
    FetchRequest,
    FetchResponse,
    OwnAdvert,
    ReachableMember,
    ReplicaEffects,
    StoredConfig,
)
from cherrygrade.fleet.config.version_content import VersionContent, content_for
from cherrygrade.fleet.config.version_log import VersionLog
from cherrygrade.fleet.config.version_store import MAX_CONCURRENT_RESPONSES
from cherrygrade.fleet.config.versions import (
    ConfigVersion,
    PutVersion,
    QuotaDivisors,
    SettleVersion,
    encode,
    text_digest,
)
from cherrygrade.fleet.config.witness_questions import ANSWER_TIMEOUT_MS, SECOND_ADVERT_MS

NINE, TWELVE = QuotaDivisors(9), QuotaDivisors(12)
VOTERS = ["v0", "v1", "v2"]
LIVING = [
    *(ReachableMember(f"v{index}", f"z{index}", index) for index in range(3)),
    *(ReachableMember(f"d{index}", f"z{index % 3}", 3 + index) for index in range(9)),
]


def chain(*texts: str, divisors: dict[int, QuotaDivisors] | None = None) -> list[ConfigVersion]:
    """Return versions 1, 2, 3 ... of one log.

    Args:
        texts: The text of each version.
        divisors: By version number, the quota divisors where they change.
    """
    log, current, versions = VersionLog(), NINE, list[ConfigVersion]()
    for number, text in enumerate(texts):
        current = (divisors or {}).get(number + 1, current)
        outcome = log.apply(
            number,
            encode(PutVersion(1.0, str(number), number, text, (), text_digest(text), "a", current, NINE)),
        )
        assert outcome.number == number + 1
        if log.moving_number:
            log.apply(number, encode(SettleVersion(1.0, log.moving_number)))
        assert log.newest is not None
        versions.append(log.newest)
    return versions


CHAIN = chain("one\n", "two\n", "three\n", "four\n")


class ReplicaHost:
    """Runs one replica: carries out its effects, and passes messages of other members to it.

    Attributes:
        replica: The replica.
        now: The time in ms.
        stored: The configuration on disk.
        applied: The versions that came into force, as number and stage, in order.
        questions: The queries that the replica sent, as member and nonce.
        pushes: The members that the replica pushed its stage to.
        fetches: The fetches that have not ended, as member and request.
        refusals: By version number, why the version is refused.
    """

    def __init__(
        self, stored: StoredConfig | None = None, certain: bool = True, name: str = "me", now: float = 0.0
    ) -> None:
        self.replica = ConfigReplica(name, "z0", 11, 12, VOTERS, 5, now, stored)
        self.now = now
        self.stored = stored
        self.applied: list[tuple[int, int]] = []
        self.questions: list[tuple[str, int]] = []
        self.pushes: list[str] = []
        self.fetches: list[tuple[str, FetchRequest]] = []
        self.refusals: dict[int, str] = {}
        if stored is not None:
            self._apply(stored.version, stored.stage)
        elif certain:
            self.carry_out(self.replica.learn_committed(None, 0, now, leader_confirmed=True))

    def carry_out(self, effects: ReplicaEffects) -> None:
        if effects.store is not None:
            self.stored = effects.store
        if effects.apply is not None:
            self._apply(*effects.apply)
        self.questions += effects.questions
        self.pushes += effects.push_to
        if effects.fetch is not None:
            self.fetches.append(effects.fetch)

    def _apply(self, version: ConfigVersion, stage: int) -> None:
        refusal = self.refusals.get(version.number, "")
        if not refusal:
            self.applied.append((version.number, stage))
        self.carry_out(self.replica.apply_finished(stage, refusal, self.now))

    def tick(self, after_ms: float = 1.0, living: list[ReachableMember] = LIVING) -> None:
        self.now += after_ms
        self.carry_out(self.replica.tick(living, self.now))

    def receive_advert(self, name: str, stage: int, digest_prefix: int) -> None:
        self.carry_out(self.replica.receive_advert(name, stage, digest_prefix, self.now))

    def receive_statement(self, name: str, stage: int, digest_prefix: int) -> None:
        """Pass a member's direct answer to a probe of the replica."""
        self.carry_out(self.replica.receive_statement(name, stage, digest_prefix, self.now))

    def finish_fetch(self, response: FetchResponse) -> None:
        name, _ = self.fetches.pop()
        self.carry_out(self.replica.fetch_finished(name, response, self.now))

    def receive_version(self, version: ConfigVersion) -> None:
        """End the fetch with the content of a version."""
        self.finish_fetch(FetchResponse(content_for(version, self.replica.version)))

    def take_version(self, version: ConfigVersion, stage: int, names: tuple[str, ...] = ("d1", "d2")) -> None:
        """Pass the statements of members for a stage, and serve the fetch that follows."""
        for name in names:
            self.receive_statement(name, stage, version.digest_prefix)
        self.tick()
        if self.fetches:
            self.receive_version(version)


def test_a_stage_is_believed_once_two_members_state_it() -> None:
    host = ReplicaHost()
    host.receive_statement("d1", 3, CHAIN[0].digest_prefix)
    host.receive_statement("d1", 3, CHAIN[0].digest_prefix)
    host.tick()
    assert host.replica.believed == (0, 0) and not host.fetches
    host.receive_statement("d2", 3, CHAIN[0].digest_prefix)
    host.tick()
    assert host.replica.believed == (3, CHAIN[0].digest_prefix)
    assert host.fetches[0][0] in ("d1", "d2") and host.fetches[0][1] == FetchRequest(
        1, CHAIN[0].digest_prefix
    )
    host.receive_version(CHAIN[0])
    assert host.applied == [(1, 3)] and host.replica.stage == 3 and host.replica.status() == ""


def test_the_statement_of_one_voter_suffices() -> None:
    host = ReplicaHost()
    host.receive_statement("v1", 3, CHAIN[0].digest_prefix)
    host.tick()
    assert host.fetches[0][0] == "v1"


def test_adverts_alone_are_never_believed() -> None:
    host = ReplicaHost()
    for name in ("v0", "v1", "d1", "d2", "d3"):
        for _ in range(3):
            host.receive_advert(name, 3, CHAIN[0].digest_prefix)
            host.tick()
    assert host.replica.believed == (0, 0) and not host.fetches


def test_an_answer_with_a_wrong_nonce_counts_as_an_advert() -> None:
    host = ReplicaHost()
    host.receive_advert("d1", 3, 77)
    host.tick()
    ((name, nonce),) = host.questions
    assert name == "d1"
    for sender, wrong_nonce in (("d1", nonce + 1), ("v0", nonce), ("v0", 9)):
        host.carry_out(host.replica.receive_statement(sender, 3, 77, host.now, wrong_nonce))
    assert host.replica.believed == (0, 0)
    host.carry_out(host.replica.receive_statement("d1", 3, 77, host.now, nonce))
    host.carry_out(host.replica.receive_statement("d1", 3, 77, host.now, nonce))
    assert host.replica.believed == (0, 0) and host.replica.witnesses.statements == {"d1": [(3, 77)]}


def test_an_answer_to_an_earlier_incarnation_does_not_count() -> None:
    """A restarted process draws other nonces, so that a delayed answer to its predecessor does not count."""
    host, later_host = ReplicaHost(), ReplicaHost(now=70.0)
    for incarnation in (host, later_host):
        incarnation.receive_advert("v0", 3, 77)
        incarnation.tick()
    (first, second) = host.questions[0][1], later_host.questions[0][1]
    assert first != second
    later_host.carry_out(later_host.replica.receive_statement("v0", 3, 77, later_host.now, first))
    assert later_host.replica.believed == (0, 0)


def test_the_sender_of_an_advert_then_three_random_members_then_a_voter_are_queried() -> None:
    host = ReplicaHost()
    host.receive_advert("d1", 9, 77)
    host.tick()
    assert [name for name, _ in host.questions] == ["d1"]
    queried: list[str] = []
    for _ in range(40):
        for name, nonce in host.questions:
            queried.append(name)
            answer = (9, 77) if name == "d1" else (0, 0)
            host.carry_out(host.replica.receive_statement(name, *answer, host.now, nonce))
        host.questions = []
        if len(queried) >= 5:
            break
        host.tick(SECOND_ADVERT_MS)
    assert queried[0] == "d1" and len({*queried[:4]}) == 4 and not {*queried[:4]} & {*VOTERS}
    assert queried[4] in VOTERS


def test_a_member_with_false_adverts_is_doubted() -> None:
    """A member advertises a stage that does not exist, and confirms it when queried.

    No other member follows it, and the number of queries that its adverts cause decreases.
    """
    host = ReplicaHost()

    def queries_sent(duration_ms: float) -> int:
        started, before = (
            host.now,
            host.replica.questions.sent_to_members + host.replica.questions.sent_to_voters,
        )
        while host.now < started + duration_ms:
            host.receive_advert("d1", 99, 66)
            host.tick(50.0)
            for name, nonce in host.questions:
                answer = (99, 66) if name == "d1" else (0, 0)
                host.carry_out(host.replica.receive_statement(name, *answer, host.now, nonce))
            host.questions = []
        return host.replica.questions.sent_to_members + host.replica.questions.sent_to_voters - before

    first, later = queries_sent(10_000.0), 0
    queries_sent(60_000.0)
    later = queries_sent(60_000.0)
    assert host.replica.believed == (0, 0) and not host.applied and not host.fetches
    assert first <= 40 and later <= 16
    host.take_version(CHAIN[0], 3, ("d2", "d3"))
    assert host.replica.stage == 3


def test_after_forged_content_the_fetch_goes_to_another_member() -> None:
    host = ReplicaHost()
    for name in ("d1", "d2"):
        host.receive_statement(name, 3, CHAIN[0].digest_prefix)
    host.tick()
    forger = host.fetches[0][0]
    forged = msgspec.structs.replace(CHAIN[0], text="forged\n")
    host.finish_fetch(FetchResponse(VersionContent(forged)))
    assert host.replica.stage == 0 and not host.applied
    host.tick(1000.0)
    assert host.fetches[0][0] != forger
    host.receive_version(CHAIN[0])
    assert host.applied == [(1, 3)]


def test_statements_with_different_digests_do_not_confirm_each_other() -> None:
    host = ReplicaHost()
    host.receive_statement("d1", 3, 1)
    host.receive_statement("d2", 3, 2)
    assert host.replica.believed == (0, 0)


MOVED = chain("a\n", "n: 12\n", "n: 9\n", divisors={2: TWELVE, 3: NINE})


def test_the_settled_stage_needs_its_own_witnesses() -> None:
    host = ReplicaHost()
    host.take_version(MOVED[0], 3)
    host.receive_statement("d1", 4, MOVED[1].digest_prefix)
    host.receive_statement("d2", 5, MOVED[1].digest_prefix)  # the settled stage confirms the joint one
    assert host.replica.believed == (4, MOVED[1].digest_prefix)
    host.tick()
    host.receive_version(MOVED[1])
    assert host.replica.stage == 4
    host.receive_statement("d1", 5, MOVED[1].digest_prefix)
    host.tick()
    assert host.applied == [(1, 3), (2, 4), (2, 5)] and not host.fetches  # the content is in memory


def test_a_version_that_moves_nothing_is_settled_at_once() -> None:
    host = ReplicaHost()
    host.receive_statement("v0", 2, CHAIN[0].digest_prefix)
    host.tick()
    host.receive_version(CHAIN[0])
    assert host.applied == [(1, 3)]


def test_many_versions_may_be_skipped() -> None:
    many = chain(*(f"x: {n}\n" for n in range(41)))
    host = ReplicaHost()
    host.take_version(many[0], 3)
    host.take_version(many[40], 2 * 41 + 1)
    assert host.applied == [(1, 3), (41, 83)]


def test_reports_of_an_older_version_that_arrive_late_change_nothing() -> None:
    host = ReplicaHost()
    host.take_version(CHAIN[2], 7)
    for name in ("d3", "v0", "v1"):
        host.receive_statement(name, 5, CHAIN[1].digest_prefix)
        host.receive_advert(name, 5, CHAIN[1].digest_prefix)
    host.carry_out(host.replica.learn_committed(CHAIN[1], 5, host.now))
    host.tick()
    assert host.applied == [(3, 7)] and not host.fetches and host.replica.stage == 7


def test_a_fetched_version_is_applied_even_if_a_later_one_is_believed_by_then() -> None:
    host = ReplicaHost()
    host.receive_statement("v0", 3, CHAIN[0].digest_prefix)
    host.tick()
    host.receive_statement("v0", 5, CHAIN[1].digest_prefix)
    host.receive_version(CHAIN[0])
    assert host.applied == [(1, 3)]
    host.tick()
    assert host.fetches[0][1].number == 2


def test_there_is_one_fetch_at_a_time_and_busy_members_are_skipped() -> None:
    host = ReplicaHost()
    for name in ("d1", "d2", "d3"):
        host.receive_statement(name, 3, CHAIN[0].digest_prefix)
    host.tick()
    host.tick()
    host.tick(500.0)
    assert len(host.fetches) == 1
    sources = [host.fetches[0][0]]
    for _ in range(2):
        host.finish_fetch(FetchResponse(None, "busy"))
        host.tick()
        sources.append(host.fetches[0][0])
    assert len({*sources}) == 3


def test_a_response_to_an_ended_fetch_is_ignored() -> None:
    host = ReplicaHost()
    host.receive_statement("v0", 3, CHAIN[0].digest_prefix)
    host.tick()
    host.carry_out(host.replica.fetch_finished("v1", FetchResponse(VersionContent(CHAIN[0])), host.now))
    assert not host.applied
    source = host.fetches[0][0]
    host.carry_out(host.replica.fetch_failed(source, "broken", host.now))
    host.carry_out(host.replica.fetch_finished(source, FetchResponse(VersionContent(CHAIN[0])), host.now))
    assert not host.applied and host.replica.stage == 0


def test_failed_fetches_are_retried_with_backoff_and_reported() -> None:
    host = ReplicaHost()
    for name in ("d1", "d2"):
        host.receive_statement(name, 3, CHAIN[0].digest_prefix)
    times: list[float] = []
    for _ in range(6000):
        host.tick(5.0)
        if host.fetches:
            source, _ = host.fetches.pop()
            times.append(host.now)
            host.carry_out(host.replica.fetch_failed(source, "connection refused", host.now))
    assert host.replica.status().startswith("can't fetch: ") and "refused" in host.replica.status()
    gaps = [later - before for before, later in pairwise(times)]
    assert min(gaps) >= 70.0 and gaps[-1] >= 600.0 and max(gaps) <= 2600.0
    assert 10 <= len(times) <= 45
    host.tick(3000.0)
    host.receive_version(CHAIN[0])
    assert host.replica.status() == "" and host.replica.stage == 3


def test_a_fetch_whose_end_is_never_reported_times_out() -> None:
    host = ReplicaHost()
    host.receive_statement("v0", 3, CHAIN[0].digest_prefix)
    host.tick()
    for _ in range(30):
        host.tick(200.0)
    assert len(host.fetches) == 2


def test_a_source_in_the_own_zone_is_preferred() -> None:
    for _ in range(9):
        host = ReplicaHost()
        for name in ("d1", "d2", "d3", "v1"):
            host.receive_statement(name, 3, CHAIN[0].digest_prefix)
        host.tick()
        assert host.fetches[0][0] == "d3"


def test_the_number_of_concurrent_responses_is_limited() -> None:
    host = ReplicaHost()
    host.take_version(CHAIN[0], 3)
    request = FetchRequest(1, CHAIN[0].digest_prefix)
    for _ in range(MAX_CONCURRENT_RESPONSES):
        assert host.replica.respond_to_fetch(request).content is not None
    assert host.replica.respond_to_fetch(request) == FetchResponse(None, "busy")
    host.replica.response_ended()
    assert host.replica.respond_to_fetch(request).content is not None
    assert host.replica.respond_to_fetch(FetchRequest(1, 5)) == FetchResponse(None, "gone")
    assert host.replica.respond_to_fetch(FetchRequest(2, CHAIN[0].digest_prefix)) == FetchResponse(
        None, "gone"
    )


def test_a_difference_is_sent_if_its_base_is_in_memory() -> None:
    long = chain(
        "".join(f"k{n}: 1\n" for n in range(99)), "".join(f"k{n}: {n // 98 + 1}\n" for n in range(99))
    )
    host = ReplicaHost()
    host.take_version(long[0], 3)
    host.take_version(long[1], 5)
    difference = host.replica.respond_to_fetch(
        FetchRequest(2, long[1].digest_prefix, 1, long[0].digest_prefix)
    )
    assert difference.content is not None and difference.content.base_number == 1
    full = host.replica.respond_to_fetch(FetchRequest(2, long[1].digest_prefix, 1, 99))
    assert full.content is not None and full.content.base_number == 0
    assert len(msgspec.msgpack.encode(difference)) < 300 < len(msgspec.msgpack.encode(full))


def test_a_version_is_stored_before_it_is_in_force_and_advertised() -> None:
    host = ReplicaHost()
    for name in ("d1", "d2"):
        host.receive_statement(name, 3, CHAIN[0].digest_prefix)
    host.tick()
    source, _ = host.fetches.pop()
    effects = host.replica.fetch_finished(source, FetchResponse(VersionContent(CHAIN[0])), host.now)
    assert effects.store == StoredConfig(3, CHAIN[0]) and effects.apply == (CHAIN[0], 3)
    assert host.replica.own_advert() == OwnAdvert(0, 0) and not effects.push_to
    host.carry_out(host.replica.apply_finished(3, "", host.now))
    assert host.replica.own_advert().stage == 3
    host.tick()
    assert len(host.pushes) == replica.MAX_PUSHES == len({*host.pushes})


def test_a_new_stage_is_pushed_once_mostly_within_the_own_zone() -> None:
    host = ReplicaHost()
    host.take_version(CHAIN[0], 3)
    for _ in range(9):
        host.tick()
    assert len(host.pushes) == 3
    zones = [other.zone for other in LIVING if other.name in host.pushes]
    assert zones.count("z0") == 2


def test_a_refused_version_changes_nothing_and_is_not_fetched_again() -> None:
    host = ReplicaHost()
    host.take_version(CHAIN[0], 3)
    host.refusals[2] = "lines.most needs a restart"
    host.take_version(CHAIN[1], 5)
    assert host.replica.stage == 3 and host.applied == [(1, 3)]
    assert host.replica.status() == "refused: lines.most needs a restart"
    assert host.stored == StoredConfig(3, CHAIN[0])  # a restart begins with this
    assert host.replica.own_advert().stage == 3
    host.tick(5000.0)
    assert not host.fetches
    host.take_version(CHAIN[2], 7)
    assert host.replica.stage == 7 and host.replica.status() == ""


def test_a_stored_version_is_in_force_from_the_start() -> None:
    host = ReplicaHost(StoredConfig(5, CHAIN[1], 3, CHAIN[0]))
    assert host.replica.stage == 5 and host.replica.is_certain and host.applied == [(2, 5)]


def test_if_the_stored_version_is_refused_the_one_before_it_is_uncertain() -> None:
    host = ReplicaHost.__new__(ReplicaHost)
    refusals = {2: "not read by this program"}
    host.__dict__.update(
        now=0.0, applied=[], questions=[], pushes=[], fetches=[], refusals=refusals, stored=None
    )
    host.replica = ConfigReplica("me", "z0", 11, 12, VOTERS, 5, 0.0, StoredConfig(5, CHAIN[1], 3, CHAIN[0]))
    host._apply(CHAIN[1], 5)
    assert host.applied == [(1, 3)] and host.replica.stage == 3 and not host.replica.is_certain
    assert host.replica.own_advert() == OwnAdvert(0, UNCERTAIN_DIGEST_PREFIX)
    host.receive_statement("v0", 5, CHAIN[1].digest_prefix)
    assert not host.replica.is_certain
    host.take_version(CHAIN[2], 7, ("v0",))
    assert host.replica.stage == 7 and host.replica.is_certain


def test_without_a_stored_version_a_member_is_uncertain_until_witnesses_confirm() -> None:
    host = ReplicaHost(certain=False)
    assert not host.replica.is_certain and host.replica.own_advert() == OwnAdvert(0, UNCERTAIN_DIGEST_PREFIX)
    host.receive_statement("d1", 0, UNCERTAIN_DIGEST_PREFIX)  # an uncertain member confirms nothing
    host.receive_statement("v0", 0, UNCERTAIN_DIGEST_PREFIX)
    host.receive_statement("d2", 0, 0)
    assert not host.replica.is_certain
    host.receive_statement("d3", 0, 0)
    assert host.replica.is_certain and host.replica.own_advert() == OwnAdvert(0, 0)


def test_an_uncertain_member_becomes_certain_with_the_confirmed_version() -> None:
    host = ReplicaHost(certain=False)
    host.receive_statement("v0", 3, CHAIN[0].digest_prefix)
    assert not host.replica.is_certain
    host.tick()
    host.receive_version(CHAIN[0])
    assert host.replica.is_certain and host.replica.stage == 3
    host.receive_statement("v0", 5, CHAIN[1].digest_prefix)
    assert host.replica.is_certain  # it stays certain while it fetches


def test_a_voters_own_log_brings_a_version_into_force_without_certainty() -> None:
    host = ReplicaHost(certain=False, name="v0")
    host.carry_out(host.replica.learn_committed(CHAIN[0], 3, 0.0))
    assert (
        host.replica.stage == 3
        and not host.replica.is_certain
        and host.replica.own_advert() == OwnAdvert(0, UNCERTAIN_DIGEST_PREFIX)
    )
    host.carry_out(host.replica.learn_committed(CHAIN[0], 3, 0.0, leader_confirmed=True))
    assert host.replica.is_certain and host.replica.own_advert().stage == 3


def test_an_uncertain_member_sends_queries_with_backoff() -> None:
    host = ReplicaHost(certain=False)
    for _ in range(1200):
        host.tick(10.0)
    assert 10 <= len(host.questions) <= 20 and {name for name, _ in host.questions} & {*VOTERS}


def test_bitmaps_of_the_same_stage_are_merged_and_sent_for_a_while() -> None:
    host = ReplicaHost()
    host.take_version(CHAIN[0], 3)
    digest_prefix = CHAIN[0].digest_prefix
    own = 1 << 11
    assert host.replica.own_advert().bits == own.to_bytes(2, "little")
    host.carry_out(host.replica.receive_advert("d1", 3, digest_prefix, host.now, b"\x03\x00"))
    host.carry_out(host.replica.receive_advert("d1", 3, digest_prefix + 1, host.now, b"\x04\x00"))
    host.carry_out(host.replica.receive_advert("d1", 1, digest_prefix, host.now, b"\x04\x00"))
    host.carry_out(host.replica.receive_advert("d1", 99, digest_prefix, host.now, b"\x04\x00"))
    # The last four bits are beyond the 12 seats.
    host.carry_out(host.replica.receive_statement("d1", 3, digest_prefix, host.now, 0, b"\x08\xf0"))
    assert host.replica.own_advert().bits == (own | 0b1011).to_bytes(2, "little")
    assert host.replica.seats.has(3) and not host.replica.seats.has(2) and not host.replica.seats.has(-1)
    host.carry_out(host.replica.receive_advert("d1", 3, digest_prefix, host.now, b"\xff\xff"))
    assert host.replica.own_advert().bits == b"\xff\x0f"
    host.tick(stage_seats.FULL_LINGER_MS + 1.0)
    assert host.replica.own_advert().bits == b""
    host.take_version(CHAIN[1], 5)
    assert host.replica.own_advert().bits == own.to_bytes(2, "little")


def test_a_member_without_others_waits() -> None:
    host = ReplicaHost(certain=False)
    ticks = 0
    while host.now < 10_000.0 and ticks < 1000 and (due := host.replica.next_deadline()) < 1e14:
        host.tick(max(1.0, due - host.now), [])
        ticks += 1
    assert ticks < 50 and not host.questions


def test_statements_of_dead_members_are_dropped() -> None:
    host = ReplicaHost()
    host.receive_statement("d1", 3, CHAIN[0].digest_prefix)
    host.tick(living=[other for other in LIVING if other.name != "d1"])
    host.receive_statement("d2", 3, CHAIN[0].digest_prefix)
    assert host.replica.believed == (0, 0)


def test_memory_per_member_is_bounded() -> None:
    host = ReplicaHost()
    for index in range(3000):
        host.receive_advert(f"x{index}", 2 * index + 3, index)
        host.receive_statement("d1", 2 * index + 3, index)
    member = host.replica
    assert (
        len(member.witnesses.adverts) <= witnesses.MAX_ADVERTS
        and len(member.witnesses.statements["d1"]) <= witnesses.MAX_STATEMENTS_PER_MEMBER
    )
    host.tick()
    assert not {*member.witnesses.adverts} - {other.name for other in LIVING}
    for _ in range(400):
        host.tick(ANSWER_TIMEOUT_MS / 8.0)
    assert len(member.questions.pending) <= 4


def test_deadlines_do_not_keep_the_host_busy() -> None:
    """A host that calls `tick` at each deadline calls it at a bounded rate, in each state of the replica."""
    states: list[Callable[[ReplicaHost], Any]] = [
        lambda host: None,
        lambda host: host.receive_advert("d1", 9, 5),
        lambda host: (host.receive_advert("d1", 9, 5), host.receive_advert("v0", 9, 5)),
        lambda host: (host.receive_statement("v0", 3, CHAIN[0].digest_prefix),),
        lambda host: host.take_version(CHAIN[0], 3),
    ]
    for certain in (True, False):
        for enter_state in states:
            host = ReplicaHost(certain=certain)
            enter_state(host)
            ticks = 0
            while host.now < 10_000.0 and ticks < 1000:
                due = max(host.now + 1.0, host.replica.next_deadline())
                if due > 1e14:
                    break
                host.tick(due - host.now)
                ticks += 1
            assert ticks < 140, (certain, enter_state)


events = st.one_of(
    st.tuples(
        st.just("statement"), st.sampled_from(["d1", "d2", "d3", "v0"]), st.integers(0, 4), st.booleans()
    ),
    st.tuples(
        st.just("advert"), st.sampled_from(["d1", "d2", "v0", "liar"]), st.integers(0, 4), st.booleans()
    ),
    st.tuples(st.just("false report"), st.just("liar"), st.integers(0, 20), st.booleans()),
    st.tuples(st.just("response"), st.just(""), st.integers(0, 4), st.booleans()),
    st.tuples(st.just("failure"), st.just(""), st.integers(0, 1), st.booleans()),
    st.tuples(st.just("tick"), st.just(""), st.integers(1, 2000), st.booleans()),
    st.tuples(st.just("restart"), st.just(""), st.integers(0, 1), st.booleans()),
    st.tuples(st.just("log"), st.just(""), st.integers(0, 4), st.booleans()),
)
STAGES = {0: [0], 1: [3], 2: [4, 5], 3: [6, 7]}
LIVING_WITH_LIAR = [*LIVING, ReachableMember("liar", "z1", 8)]


@given(st.lists(events, max_size=40))
def test_the_stage_never_decreases_and_only_genuine_versions_come_into_force(sequence: list[Any]) -> None:
    """The events are reports in any order and repeated, false reports of one member, forged content, failed
    fetches, and restarts with the stored configuration."""
    host = ReplicaHost()
    genuine = {version.number: version for version in MOVED}
    for kind, name, number, flag in sequence:
        stage = STAGES.get(number, [0])[-1 if flag else 0]
        digest_prefix = genuine[number].digest_prefix if number in genuine else 0
        if kind == "statement":
            host.receive_statement(name, stage, digest_prefix)
        elif kind == "advert":
            host.receive_advert(name, stage, digest_prefix)
        elif kind == "false report":
            host.receive_statement("liar", number, 7)
            host.receive_advert("liar", 2 * number + 1, genuine[1 + number % 3].digest_prefix)
            host.receive_statement("liar", 2 * number + 1, genuine[1 + number % 3].digest_prefix)
        elif kind == "response" and host.fetches:
            version = genuine.get(number, MOVED[0])
            if flag:
                version = msgspec.structs.replace(version, text="forged")
            host.finish_fetch(FetchResponse(VersionContent(version)))
        elif kind == "failure" and host.fetches:
            source, _ = host.fetches.pop()
            host.carry_out(host.replica.fetch_failed(source, "broken", host.now))
        elif kind == "tick":
            host.tick(float(number), LIVING_WITH_LIAR)
        elif kind == "restart" and host.stored is not None:
            applied = host.applied
            host = ReplicaHost(host.stored, now=host.now + 1.0)
            host.applied = [*applied, *host.applied]
        elif kind == "log" and number in genuine:
            host.carry_out(host.replica.learn_committed(genuine[number], stage, host.now))
        stages = [applied_stage for _, applied_stage in host.applied]
        assert stages == sorted(stages)
        in_force = host.replica.version
        assert in_force is None or in_force == genuine[in_force.number]
        assert host.replica.stage in (0, 3, 4, 5, 6, 7)


@given(st.permutations([(name, number) for name in ("d1", "d2") for number in (0, 1, 2, 3)]), st.data())
def test_order_and_duplication_of_statements_do_not_matter(
    order: list[tuple[str, int]], data: st.DataObject
) -> None:
    repeated = data.draw(st.lists(st.sampled_from(order), max_size=6))
    host = ReplicaHost()
    for name, index in [*order, *repeated]:
        host.receive_statement(name, 2 * index + 3, CHAIN[index].digest_prefix)
        if data.draw(st.booleans()):
            host.tick()
            if host.fetches:
                host.receive_version(CHAIN[host.fetches[-1][1].number - 1])
    for _ in range(4):
        host.tick()
        if host.fetches:
            host.receive_version(CHAIN[host.fetches[-1][1].number - 1])
    assert host.replica.stage == 9 and host.applied[-1] == (4, 9)


@pytest.mark.parametrize("witness", ["members", "voter"])
def test_a_member_restarted_in_a_partition_stays_on_its_stored_version(witness: str) -> None:
    host = ReplicaHost(StoredConfig(3, CHAIN[0]))
    for _ in range(50):
        host.receive_statement("d1", 3, CHAIN[0].digest_prefix)
        host.tick(200.0)
    assert host.replica.stage == 3 and host.replica.is_certain and not host.questions
    host.take_version(CHAIN[2], 7, ("d1", "d2") if witness == "members" else ("v0",))
    assert host.replica.stage == 7
