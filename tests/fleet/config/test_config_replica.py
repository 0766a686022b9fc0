"""One replica: what it believes, fetches, keeps and puts in force, whatever comes in whatever order."""

from collections.abc import Callable
from itertools import pairwise
from typing import Any

import msgspec
import pytest
from hypothesis import given
from hypothesis import strategies as st

from cherrygrade.fleet.config import replica as module
from cherrygrade.fleet.config import stage_seats, witnesses
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
    *(ReachableMember(f"v{at}", f"z{at}", at) for at in range(3)),
    *(ReachableMember(f"d{at}", f"z{at % 3}", 3 + at) for at in range(9)),
]


def chain(*texts: str, parts: dict[int, QuotaDivisors] | None = None) -> list[ConfigVersion]:
    """Versions 1, 2, 3 ... of one log; parts by number where they move."""
    log, now, found = VersionLog(), NINE, list[ConfigVersion]()
    for number, text in enumerate(texts):
        now = (parts or {}).get(number + 1, now)
        told = log.apply(
            number, encode(PutVersion(1.0, str(number), number, text, (), text_digest(text), "a", now, NINE))
        )
        assert told.number == number + 1
        if log.moving_number:
            log.apply(number, encode(SettleVersion(1.0, log.moving_number)))
        assert log.newest is not None
        found.append(log.newest)
    return found


CHAIN = chain("one\n", "two\n", "three\n", "four\n")


class One:
    """A replica with a host that carries out what it does, and members that hold what they are told to."""

    def __init__(
        self, kept: StoredConfig | None = None, sure: bool = True, name: str = "me", now: float = 0.0
    ) -> None:
        self.replica = ConfigReplica(name, "z0", 11, 12, VOTERS, 5, now, kept)
        self.now = now
        self.disk = kept
        self.force: list[tuple[int, int]] = []
        self.which: list[tuple[str, int]] = []
        self.push: list[str] = []
        self.fetch: list[tuple[str, FetchRequest]] = []
        self.refuses: dict[int, str] = {}
        if kept is not None:
            self._forced(kept.version, kept.stage)
        elif sure:
            self.do(self.replica.learn_committed(None, 0, now, leader_confirmed=True))

    def do(self, does: ReplicaEffects) -> None:
        if does.store is not None:
            self.disk = does.store
        if does.apply is not None:
            self._forced(*does.apply)
        self.which += does.questions
        self.push += does.push_to
        if does.fetch is not None:
            self.fetch.append(does.fetch)

    def _forced(self, version: ConfigVersion, stage: int) -> None:
        why = self.refuses.get(version.number, "")
        if not why:
            self.force.append((version.number, stage))
        self.do(self.replica.apply_finished(stage, why, self.now))

    def beat(self, after: float = 1.0, living: list[ReachableMember] = LIVING) -> None:
        self.now += after
        self.do(self.replica.tick(living, self.now))

    def hint(self, by: str, stage: int, mark: int) -> None:
        self.do(self.replica.receive_advert(by, stage, mark, self.now))

    def says(self, by: str, stage: int, mark: int) -> None:
        """First-hand, to a probe of this one's."""
        self.do(self.replica.receive_statement(by, stage, mark, self.now))

    def gets(self, gave: FetchResponse) -> None:
        by, _ = self.fetch.pop()
        self.do(self.replica.fetch_finished(by, gave, self.now))

    def gets_version(self, version: ConfigVersion) -> None:
        self.gets(FetchResponse(content_for(version, self.replica.version)))

    def takes(self, version: ConfigVersion, stage: int, by: tuple[str, ...] = ("d1", "d2")) -> None:
        for name in by:
            self.says(name, stage, version.digest_prefix)
        self.beat()
        if self.fetch:
            self.gets_version(version)


def test_two_members_that_said_it_are_believed_and_one_is_not() -> None:
    one = One()
    one.says("d1", 3, CHAIN[0].digest_prefix)
    one.says("d1", 3, CHAIN[0].digest_prefix)
    one.beat()
    assert one.replica.believed == (0, 0) and not one.fetch
    one.says("d2", 3, CHAIN[0].digest_prefix)
    one.beat()
    assert one.replica.believed == (3, CHAIN[0].digest_prefix)
    assert one.fetch[0][0] in ("d1", "d2") and one.fetch[0][1] == FetchRequest(1, CHAIN[0].digest_prefix)
    one.gets_version(CHAIN[0])
    assert one.force == [(1, 3)] and one.replica.stage == 3 and one.replica.status() == ""


def test_a_voter_alone_is_believed() -> None:
    one = One()
    one.says("v1", 3, CHAIN[0].digest_prefix)
    one.beat()
    assert one.fetch[0][0] == "v1"


def test_hints_however_many_are_not_believed() -> None:
    one = One()
    for by in ("v0", "v1", "d1", "d2", "d3"):
        for _ in range(3):
            one.hint(by, 3, CHAIN[0].digest_prefix)
            one.beat()
    assert one.replica.believed == (0, 0) and not one.fetch


def test_an_answer_without_the_nonce_that_was_drawn_is_a_hint() -> None:
    one = One()
    one.hint("d1", 3, 77)
    one.beat()
    ((name, nonce),) = one.which
    assert name == "d1"
    for by, drawn in (("d1", nonce + 1), ("v0", nonce), ("v0", 9)):
        one.do(one.replica.receive_statement(by, 3, 77, one.now, drawn))
    assert one.replica.believed == (0, 0)
    one.do(one.replica.receive_statement("d1", 3, 77, one.now, nonce))
    one.do(one.replica.receive_statement("d1", 3, 77, one.now, nonce))
    assert one.replica.believed == (0, 0) and one.replica.witnesses.statements == {"d1": [(3, 77)]}


def test_an_old_answer_is_none_to_a_later_life() -> None:
    """Numbers that were drawn in one life are no numbers of the next."""
    one, two = One(), One(now=70.0)
    for life in (one, two):
        life.hint("v0", 3, 77)
        life.beat()
    (first, second) = one.which[0][1], two.which[0][1]
    assert first != second
    two.do(two.replica.receive_statement("v0", 3, 77, two.now, first))
    assert two.replica.believed == (0, 0)


def test_one_that_told_one_drawn_by_chance_two_more_then_a_voter_are_asked() -> None:
    one = One()
    one.hint("d1", 9, 77)
    one.beat()
    assert [name for name, _ in one.which] == ["d1"]
    asked: list[str] = []
    for _ in range(40):
        for name, nonce in one.which:
            asked.append(name)
            told = (9, 77) if name == "d1" else (0, 0)
            one.do(one.replica.receive_statement(name, *told, one.now, nonce))
        one.which = []
        if len(asked) >= 5:
            break
        one.beat(SECOND_ADVERT_MS)
    assert asked[0] == "d1" and len({*asked[:4]}) == 4 and not {*asked[:4]} & {*VOTERS}
    assert asked[4] in VOTERS


def test_a_lying_member_is_asked_about_and_then_doubted() -> None:
    """It makes up a number, and says so to whoever asks: nobody follows, and it costs less each time."""
    one = One()

    def played(ms: float) -> int:
        begun, before = one.now, one.replica.questions.sent_to_members + one.replica.questions.sent_to_voters
        while one.now < begun + ms:
            one.hint("d1", 99, 66)
            one.beat(50.0)
            for name, nonce in one.which:
                told = (99, 66) if name == "d1" else (0, 0)
                one.do(one.replica.receive_statement(name, *told, one.now, nonce))
            one.which = []
        return one.replica.questions.sent_to_members + one.replica.questions.sent_to_voters - before

    first, later = played(10_000.0), 0
    played(60_000.0)
    later = played(60_000.0)
    assert one.replica.believed == (0, 0) and not one.force and not one.fetch
    assert first <= 40 and later <= 16
    one.takes(CHAIN[0], 3, ("d2", "d3"))
    assert one.replica.stage == 3


def test_a_lying_member_that_forges_content_is_passed_over() -> None:
    one = One()
    for by in ("d1", "d2"):
        one.says(by, 3, CHAIN[0].digest_prefix)
    one.beat()
    by = one.fetch[0][0]
    forged = msgspec.structs.replace(CHAIN[0], text="forged\n")
    one.gets(FetchResponse(VersionContent(forged)))
    assert one.replica.stage == 0 and not one.force
    one.beat(1000.0)
    assert one.fetch[0][0] != by
    one.gets_version(CHAIN[0])
    assert one.force == [(1, 3)]


def test_two_that_say_different_marks_bear_each_other_not_out() -> None:
    one = One()
    one.says("d1", 3, 1)
    one.says("d2", 3, 2)
    assert one.replica.believed == (0, 0)


MOVED = chain("a\n", "n: 12\n", "n: 9\n", parts={2: TWELVE, 3: NINE})


def test_settled_needs_witnesses_of_its_own() -> None:
    one = One()
    one.takes(MOVED[0], 3)
    one.says("d1", 4, MOVED[1].digest_prefix)
    one.says("d2", 5, MOVED[1].digest_prefix)  # says more: it bears the joint stage out
    assert one.replica.believed == (4, MOVED[1].digest_prefix)
    one.beat()
    one.gets_version(MOVED[1])
    assert one.replica.stage == 4
    one.says("d1", 5, MOVED[1].digest_prefix)
    one.beat()
    assert one.force == [(1, 3), (2, 4), (2, 5)] and not one.fetch  # its content is held


def test_a_version_that_moves_nothing_is_settled_at_once() -> None:
    one = One()
    one.says("v0", 2, CHAIN[0].digest_prefix)
    one.beat()
    one.gets_version(CHAIN[0])
    assert one.force == [(1, 3)]


def test_twenty_may_be_passed_over_and_forty_missed() -> None:
    many = chain(*(f"x: {n}\n" for n in range(41)))
    one = One()
    one.takes(many[0], 3)
    one.takes(many[40], 2 * 41 + 1)
    assert one.force == [(1, 3), (41, 83)]


def test_raised_then_lowered_in_the_wrong_order() -> None:
    one = One()
    one.takes(CHAIN[2], 7)
    for by in ("d3", "v0", "v1"):
        one.says(by, 5, CHAIN[1].digest_prefix)
        one.hint(by, 5, CHAIN[1].digest_prefix)
    one.do(one.replica.learn_committed(CHAIN[1], 5, one.now))
    one.beat()
    assert one.force == [(3, 7)] and not one.fetch and one.replica.stage == 7


def test_who_is_always_behind_takes_what_it_fetched_all_the_same() -> None:
    one = One()
    one.says("v0", 3, CHAIN[0].digest_prefix)
    one.beat()
    one.says("v0", 5, CHAIN[1].digest_prefix)
    one.gets_version(CHAIN[0])
    assert one.force == [(1, 3)]
    one.beat()
    assert one.fetch[0][1].number == 2


def test_one_fetch_at_a_time_and_busy_ones_are_passed_over() -> None:
    one = One()
    for by in ("d1", "d2", "d3"):
        one.says(by, 3, CHAIN[0].digest_prefix)
    one.beat()
    one.beat()
    one.beat(500.0)
    assert len(one.fetch) == 1
    asked = [one.fetch[0][0]]
    for _ in range(2):
        one.gets(FetchResponse(None, "busy"))
        one.beat()
        asked.append(one.fetch[0][0])
    assert len({*asked}) == 3


def test_an_answer_to_a_fetch_that_was_given_up_does_nothing() -> None:
    one = One()
    one.says("v0", 3, CHAIN[0].digest_prefix)
    one.beat()
    one.do(one.replica.fetch_finished("v1", FetchResponse(VersionContent(CHAIN[0])), one.now))
    assert not one.force
    given_up = one.fetch[0][0]
    one.do(one.replica.fetch_failed(given_up, "broken", one.now))
    one.do(one.replica.fetch_finished(given_up, FetchResponse(VersionContent(CHAIN[0])), one.now))
    assert not one.force and one.replica.stage == 0


def test_a_fetch_that_fails_is_tried_elsewhere_later_each_time_and_said() -> None:
    one = One()
    for by in ("d1", "d2"):
        one.says(by, 3, CHAIN[0].digest_prefix)
    times: list[float] = []
    for _ in range(6000):
        one.beat(5.0)
        if one.fetch:
            by, _ = one.fetch.pop()
            times.append(one.now)
            one.do(one.replica.fetch_failed(by, "connection refused", one.now))
    assert one.replica.status().startswith("can't fetch: ") and "refused" in one.replica.status()
    gaps = [later - before for before, later in pairwise(times)]
    assert min(gaps) >= 70.0 and gaps[-1] >= 600.0 and max(gaps) <= 2600.0
    assert 10 <= len(times) <= 45
    one.beat(3000.0)
    one.gets_version(CHAIN[0])
    assert one.replica.status() == "" and one.replica.stage == 3


def test_a_fetch_that_its_carrier_forgot_is_given_up() -> None:
    one = One()
    one.says("v0", 3, CHAIN[0].digest_prefix)
    one.beat()
    for _ in range(30):
        one.beat(200.0)
    assert len(one.fetch) == 2


def test_it_fetches_in_its_own_zone_where_one_there_tells_it() -> None:
    for _ in range(9):
        one = One()
        for by in ("d1", "d2", "d3", "v1"):
            one.says(by, 3, CHAIN[0].digest_prefix)
        one.beat()
        assert one.fetch[0][0] == "d3"


def test_at_most_eight_are_served_at_once() -> None:
    one = One()
    one.takes(CHAIN[0], 3)
    wanted = FetchRequest(1, CHAIN[0].digest_prefix)
    for _ in range(MAX_CONCURRENT_RESPONSES):
        assert one.replica.respond_to_fetch(wanted).content is not None
    assert one.replica.respond_to_fetch(wanted) == FetchResponse(None, "busy")
    one.replica.response_ended()
    assert one.replica.respond_to_fetch(wanted).content is not None
    assert one.replica.respond_to_fetch(FetchRequest(1, 5)) == FetchResponse(None, "gone")
    assert one.replica.respond_to_fetch(FetchRequest(2, CHAIN[0].digest_prefix)) == FetchResponse(
        None, "gone"
    )


def test_a_difference_is_given_where_its_base_is_held() -> None:
    long = chain(
        "".join(f"k{n}: 1\n" for n in range(99)), "".join(f"k{n}: {n // 98 + 1}\n" for n in range(99))
    )
    one = One()
    one.takes(long[0], 3)
    one.takes(long[1], 5)
    given = one.replica.respond_to_fetch(FetchRequest(2, long[1].digest_prefix, 1, long[0].digest_prefix))
    assert given.content is not None and given.content.base_number == 1
    whole = one.replica.respond_to_fetch(FetchRequest(2, long[1].digest_prefix, 1, 99))
    assert whole.content is not None and whole.content.base_number == 0
    assert len(msgspec.msgpack.encode(given)) < 300 < len(msgspec.msgpack.encode(whole))


def test_it_is_on_disk_before_it_is_in_force_and_told() -> None:
    one = One()
    for by in ("d1", "d2"):
        one.says(by, 3, CHAIN[0].digest_prefix)
    one.beat()
    by, _ = one.fetch.pop()
    does = one.replica.fetch_finished(by, FetchResponse(VersionContent(CHAIN[0])), one.now)
    assert does.store == StoredConfig(3, CHAIN[0]) and does.apply == (CHAIN[0], 3)
    assert one.replica.own_advert() == OwnAdvert(0, 0) and not does.push_to
    one.do(one.replica.apply_finished(3, "", one.now))
    assert one.replica.own_advert().stage == 3
    one.beat()
    assert len(one.push) == module.MAX_PUSHES == len({*one.push})


def test_pushed_once_to_the_own_zone_and_one_beyond() -> None:
    one = One()
    one.takes(CHAIN[0], 3)
    for _ in range(9):
        one.beat()
    assert len(one.push) == 3
    zones = [near.zone for near in LIVING if near.name in one.push]
    assert zones.count("z0") == 2


def test_a_refused_version_leaves_it_where_it_is_and_is_not_tried_again() -> None:
    one = One()
    one.takes(CHAIN[0], 3)
    one.refuses[2] = "lines.most needs a restart"
    one.takes(CHAIN[1], 5)
    assert one.replica.stage == 3 and one.force == [(1, 3)]
    assert one.replica.status() == "refused: lines.most needs a restart"
    assert one.disk == StoredConfig(3, CHAIN[0])  # what a start would find
    assert one.replica.own_advert().stage == 3
    one.beat(5000.0)
    assert not one.fetch
    one.takes(CHAIN[2], 7)
    assert one.replica.stage == 7 and one.replica.status() == ""


def test_what_was_kept_is_in_force_from_the_start() -> None:
    one = One(StoredConfig(5, CHAIN[1], 3, CHAIN[0]))
    assert one.replica.stage == 5 and one.replica.is_certain and one.force == [(2, 5)]


def test_kept_and_refused_at_the_start_what_was_before_is_in_doubt() -> None:
    one = One.__new__(One)
    refusing = {2: "not read by this program"}
    one.__dict__.update(now=0.0, force=[], which=[], push=[], fetch=[], refuses=refusing, disk=None)
    one.replica = ConfigReplica("me", "z0", 11, 12, VOTERS, 5, 0.0, StoredConfig(5, CHAIN[1], 3, CHAIN[0]))
    one._forced(CHAIN[1], 5)
    assert one.force == [(1, 3)] and one.replica.stage == 3 and not one.replica.is_certain
    assert one.replica.own_advert() == OwnAdvert(0, UNCERTAIN_DIGEST_PREFIX)
    one.says("v0", 5, CHAIN[1].digest_prefix)
    assert not one.replica.is_certain
    one.takes(CHAIN[2], 7, ("v0",))
    assert one.replica.stage == 7 and one.replica.is_certain


def test_one_with_nothing_kept_is_not_sure_until_witnesses_told_it() -> None:
    one = One(sure=False)
    assert not one.replica.is_certain and one.replica.own_advert() == OwnAdvert(0, UNCERTAIN_DIGEST_PREFIX)
    one.says("d1", 0, UNCERTAIN_DIGEST_PREFIX)  # who is not sure itself bears nothing out
    one.says("v0", 0, UNCERTAIN_DIGEST_PREFIX)
    one.says("d2", 0, 0)
    assert not one.replica.is_certain
    one.says("d3", 0, 0)
    assert one.replica.is_certain and one.replica.own_advert() == OwnAdvert(0, 0)


def test_one_that_is_not_sure_becomes_so_on_what_witnesses_told() -> None:
    one = One(sure=False)
    one.says("v0", 3, CHAIN[0].digest_prefix)
    assert not one.replica.is_certain
    one.beat()
    one.gets_version(CHAIN[0])
    assert one.replica.is_certain and one.replica.stage == 3
    one.says("v0", 5, CHAIN[1].digest_prefix)
    assert one.replica.is_certain  # it was, and stays so while it fetches


def test_a_voters_own_log_puts_in_force_and_makes_nothing_sure() -> None:
    one = One(sure=False, name="v0")
    one.do(one.replica.learn_committed(CHAIN[0], 3, 0.0))
    assert (
        one.replica.stage == 3
        and not one.replica.is_certain
        and one.replica.own_advert() == OwnAdvert(0, UNCERTAIN_DIGEST_PREFIX)
    )
    one.do(one.replica.learn_committed(CHAIN[0], 3, 0.0, leader_confirmed=True))
    assert one.replica.is_certain and one.replica.own_advert().stage == 3


def test_one_that_is_not_sure_asks_and_ever_less_often() -> None:
    one = One(sure=False)
    for _ in range(1200):
        one.beat(10.0)
    assert 10 <= len(one.which) <= 20 and {name for name, _ in one.which} & {*VOTERS}


def test_bits_are_joined_of_the_same_stage_alone_and_ride_on_for_a_while() -> None:
    one = One()
    one.takes(CHAIN[0], 3)
    mark = CHAIN[0].digest_prefix
    own = 1 << 11
    assert one.replica.own_advert().bits == own.to_bytes(2, "little")
    one.do(one.replica.receive_advert("d1", 3, mark, one.now, b"\x03\x00"))
    one.do(one.replica.receive_advert("d1", 3, mark + 1, one.now, b"\x04\x00"))
    one.do(one.replica.receive_advert("d1", 1, mark, one.now, b"\x04\x00"))
    one.do(one.replica.receive_advert("d1", 99, mark, one.now, b"\x04\x00"))
    one.do(one.replica.receive_statement("d1", 3, mark, one.now, 0, b"\x08\xf0"))  # beyond the seats too
    assert one.replica.own_advert().bits == (own | 0b1011).to_bytes(2, "little")
    assert one.replica.seats.has(3) and not one.replica.seats.has(2) and not one.replica.seats.has(-1)
    one.do(one.replica.receive_advert("d1", 3, mark, one.now, b"\xff\xff"))
    assert one.replica.own_advert().bits == b"\xff\x0f"
    one.beat(stage_seats.FULL_LINGER_MS + 1.0)
    assert one.replica.own_advert().bits == b""
    one.takes(CHAIN[1], 5)
    assert one.replica.own_advert().bits == own.to_bytes(2, "little")


def test_one_that_is_alone_waits() -> None:
    one = One(sure=False)
    beats = 0
    while one.now < 10_000.0 and beats < 1000 and (due := one.replica.next_deadline()) < 1e14:
        one.beat(max(1.0, due - one.now), [])
        beats += 1
    assert beats < 50 and not one.which


def test_words_of_the_dead_go_with_them() -> None:
    one = One()
    one.says("d1", 3, CHAIN[0].digest_prefix)
    one.beat(living=[near for near in LIVING if near.name != "d1"])
    one.says("d2", 3, CHAIN[0].digest_prefix)
    assert one.replica.believed == (0, 0)


def test_nothing_grows_without_bound() -> None:
    one = One()
    for at in range(3000):
        one.hint(f"x{at}", 2 * at + 3, at)
        one.says("d1", 2 * at + 3, at)
    replica = one.replica
    assert (
        len(replica.witnesses.adverts) <= witnesses.MAX_ADVERTS
        and len(replica.witnesses.statements["d1"]) <= witnesses.MAX_STATEMENTS_PER_MEMBER
    )
    one.beat()
    assert not {*replica.witnesses.adverts} - {near.name for near in LIVING}
    for _ in range(400):
        one.beat(ANSWER_TIMEOUT_MS / 8.0)
    assert len(replica.questions.pending) <= 4


def test_due_is_in_time_and_not_forever_now() -> None:
    """A host that beats as it is told to is not kept busy, whatever is open."""
    states: list[Callable[[One], Any]] = [
        lambda one: None,
        lambda one: one.hint("d1", 9, 5),
        lambda one: (one.hint("d1", 9, 5), one.hint("v0", 9, 5)),
        lambda one: (one.says("v0", 3, CHAIN[0].digest_prefix),),
        lambda one: one.takes(CHAIN[0], 3),
    ]
    for sure in (True, False):
        for change in states:
            one = One(sure=sure)
            change(one)
            beats = 0
            while one.now < 10_000.0 and beats < 1000:
                due = max(one.now + 1.0, one.replica.next_deadline())
                if due > 1e14:
                    break
                one.beat(due - one.now)
                beats += 1
            assert beats < 140, (sure, change)


words = st.one_of(
    st.tuples(st.just("says"), st.sampled_from(["d1", "d2", "d3", "v0"]), st.integers(0, 4), st.booleans()),
    st.tuples(st.just("hint"), st.sampled_from(["d1", "d2", "v0", "liar"]), st.integers(0, 4), st.booleans()),
    st.tuples(st.just("lies"), st.just("liar"), st.integers(0, 20), st.booleans()),
    st.tuples(st.just("gets"), st.just(""), st.integers(0, 4), st.booleans()),
    st.tuples(st.just("lost"), st.just(""), st.integers(0, 1), st.booleans()),
    st.tuples(st.just("beat"), st.just(""), st.integers(1, 2000), st.booleans()),
    st.tuples(st.just("dies"), st.just(""), st.integers(0, 1), st.booleans()),
    st.tuples(st.just("log"), st.just(""), st.integers(0, 4), st.booleans()),
)
STAGES = {0: [0], 1: [3], 2: [4, 5], 3: [6, 7]}
LIVING_TOO = [*LIVING, ReachableMember("liar", "z1", 8)]


@given(st.lists(words, max_size=40))
def test_the_stage_never_goes_back_and_only_true_versions_come_into_force(acts: list[Any]) -> None:
    """Words of any time in any order, doubled; a lying member; content of any kind; deaths at any moment,
    with what is on disk."""
    one = One()
    true = {version.number: version for version in MOVED}
    for kind, by, number, more in acts:
        stage = STAGES.get(number, [0])[-1 if more else 0]
        mark = true[number].digest_prefix if number in true else 0
        if kind == "says":
            one.says(by, stage, mark)
        elif kind == "hint":
            one.hint(by, stage, mark)
        elif kind == "lies":
            one.says("liar", number, 7)
            one.hint("liar", 2 * number + 1, true[1 + number % 3].digest_prefix)
            one.says("liar", 2 * number + 1, true[1 + number % 3].digest_prefix)
        elif kind == "gets" and one.fetch:
            version = true.get(number, MOVED[0])
            if more:
                version = msgspec.structs.replace(version, text="forged")
            one.gets(FetchResponse(VersionContent(version)))
        elif kind == "lost" and one.fetch:
            by_, _ = one.fetch.pop()
            one.do(one.replica.fetch_failed(by_, "broken", one.now))
        elif kind == "beat":
            one.beat(float(number), LIVING_TOO)
        elif kind == "dies" and one.disk is not None:
            stages = one.force
            one = One(one.disk, now=one.now + 1.0)
            one.force = [*stages, *one.force]
        elif kind == "log" and number in true:
            one.do(one.replica.learn_committed(true[number], stage, one.now))
        stages_ = [stage for _, stage in one.force]
        assert stages_ == sorted(stages_)
        told = one.replica.version
        assert told is None or told == true[told.number]
        assert one.replica.stage in (0, 3, 4, 5, 6, 7)


@given(st.permutations([(by, n) for by in ("d1", "d2") for n in (0, 1, 2, 3)]), st.data())
def test_order_and_doubling_of_words_do_not_matter(order: list[tuple[str, int]], data: st.DataObject) -> None:
    again = data.draw(st.lists(st.sampled_from(order), max_size=6))
    one = One()
    for by, at in [*order, *again]:
        one.says(by, 2 * at + 3, CHAIN[at].digest_prefix)
        if data.draw(st.booleans()):
            one.beat()
            if one.fetch:
                one.gets_version(CHAIN[one.fetch[-1][1].number - 1])
    for _ in range(4):
        one.beat()
        if one.fetch:
            one.gets_version(CHAIN[one.fetch[-1][1].number - 1])
    assert one.replica.stage == 9 and one.force[-1] == (4, 9)


@pytest.mark.parametrize("side", ["members", "voter"])
def test_cut_away_with_a_restart_it_stays_on_what_it_kept(side: str) -> None:
    one = One(StoredConfig(3, CHAIN[0]))
    for _ in range(50):
        one.says("d1", 3, CHAIN[0].digest_prefix)
        one.beat(200.0)
    assert one.replica.stage == 3 and one.replica.is_certain and not one.which
    one.takes(CHAIN[2], 7, ("d1", "d2") if side == "members" else ("v0",))
    assert one.replica.stage == 7
