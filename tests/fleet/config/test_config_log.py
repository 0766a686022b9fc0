"""Versions of the configuration in the council's log: one order for all, however it was asked for, over
snapshots, restarts and logs of a program before it."""

from __future__ import annotations

import msgspec
import pytest
from fleet.leases.test_leases import NAMES, Council

from cherrygrade.fleet.config.text_diff import difference
from cherrygrade.fleet.config.versions import QuotaDivisors
from cherrygrade.fleet.consensus import state_machine, voter
from cherrygrade.fleet.consensus.council_messages import (
    AcquireLease,
    ConfigPut,
    ConfigStatus,
    LeaseAcquired,
    NotLeader,
    PutConfig,
    ShowConfig,
)
from cherrygrade.fleet.consensus.raft import Raft
from cherrygrade.fleet.consensus.raft_log import MAX_BYTES_PER_MESSAGE
from cherrygrade.fleet.consensus.raft_messages import AppendEntries, PersistentState
from cherrygrade.fleet.consensus.state_machine import StateMachine
from cherrygrade.fleet.consensus.voter import Voter, founding_snapshot
from cherrygrade.fleet.consensus.voter_effects import ConfigVerdict

SEATS = QuotaDivisors(3)


class Voters(Council):
    """With changes asked for as the council_server does: judged, then put."""

    def put(self, text: str, based_on: int, id: str, name: str = "", parts: QuotaDivisors = SEATS):
        self.answers.clear()
        name = name or self.leader()
        before = self.voters[name].state_machine.versions.newest
        hunks = difference(before.text, text) if before is not None and before.number == based_on else None
        judged = ConfigVerdict("", parts, SEATS, hunks)
        ask = PutConfig(id, text, based_on, "operator")
        self.do(name, self.voters[name].put_config(ask, judged, "asker", self.now))
        self.pass_ms(300.0)
        return self.answers[0] if self.answers else None

    def shown(self, number: int = 0) -> ConfigStatus:
        found = self.ask(ShowConfig("show", number))
        assert isinstance(found, ConfigStatus)
        return found

    def known(self, name: str) -> list[tuple[int, str, str]]:
        kept = self.voters[name].state_machine.versions.versions.values()
        return [(one.number, one.text, one.digest.hex()) for one in kept]


def number(answer: object) -> int:
    assert isinstance(answer, ConfigPut), answer
    assert not answer.outcome.refusal, answer.outcome.refusal
    return answer.outcome.number


def refusal(answer: object) -> str:
    assert isinstance(answer, ConfigPut), answer
    assert answer.outcome.number == 0 and answer.outcome.refusal
    return answer.outcome.refusal


def test_a_change_becomes_the_next_version_on_every_voter_and_shows():
    council = Voters()
    assert number(council.put("a: 1\n", 0, "one")) == 1
    assert number(council.put("a: 2\n", 1, "two")) == 2
    assert council.known("a") == council.known("b") == council.known("c")
    shown = council.shown(1)
    assert [one.number for one in shown.versions] == [1, 2] and shown.text == "a: 1\n"
    assert (shown.stage, shown.settled, shown.moving) == (5, 2, 0)
    assert shown.versions[-1].by == "operator" and council.shown(9).text is None


def test_of_two_at_once_the_log_takes_one_and_the_other_is_told_which_came_first():
    council = Voters()
    assert number(council.put("a: 1\n", 0, "one")) == 1
    assert "1 is the newest, not 0" in refusal(council.put("b: 1\n", 0, "other"))
    assert len(council.known("a")) == 1


def test_asked_again_under_its_id_it_is_put_once_also_behind_another_leader():
    council = Voters()
    assert number(council.put("a: 1\n", 0, "one")) == 1
    assert number(council.put("a: 2\n", 1, "two")) == 2
    council.cut = {council.leader()}
    council.pass_ms(4000.0)
    assert number(council.put("a: 1\n", 0, "one")) == 1  # its answer was lost with the leader
    assert [one[0] for one in council.known(council.leader())] == [1, 2]


def test_a_voter_alone_answers_what_it_agreed_with_itself_at_once():
    one = Voter("d0/0", PersistentState(snapshot=founding_snapshot(["d0"])), ["d0"], 1, 0.0, 0.005)
    one.tick(one.next_deadline())
    assert one.is_ready_leader
    put = one.put_config(PutConfig("a", "x", 0, "operator"), ConfigVerdict("", SEATS, SEATS), "asker", 2000.0)
    (answer,) = put.replies
    assert answer[0] == "asker" and number(answer[1]) == 1
    ((_, took),) = one.request(AcquireLease("b", "task", "d0", 1, 5000.0), "asker", 2000.0).replies
    assert isinstance(took, LeaseAcquired) and took.outcome.number
    assert not one.proposals


def test_who_does_not_lead_says_who_does_and_an_unjudged_text_is_never_proposed():
    council = Voters()
    leader = council.leader()
    other = next(name for name in NAMES if name != leader)
    answer = council.put("a: 1\n", 0, "one", other)
    assert isinstance(answer, NotLeader) and answer.leader == leader
    answer = council.ask(PutConfig("one", "a: 1\n", 0, "operator"))
    assert isinstance(answer, NotLeader) and "not judged" in answer.reason
    refused = ConfigVerdict("needs a restart: bounds.most_body")
    council.answers.clear()
    ask = PutConfig("one", "a: 1\n", 0, "operator")
    council.do(leader, council.voters[leader].put_config(ask, refused, "asker", council.now))
    assert refusal(council.answers[0]) == "needs a restart: bounds.most_body"
    council.pass_ms(500.0)
    assert not council.known(leader)


def test_parts_that_move_are_settled_by_the_leader_alone_and_once():
    council = Voters()
    leader = council.leader()
    assert number(council.put("a: 1\n", 0, "one", parts=QuotaDivisors(5))) == 1
    versions = council.voters[leader].state_machine.versions
    assert (versions.stage, versions.moving_number) == (2, 1)
    assert "parts still move" in refusal(council.put("a: 2\n", 1, "two", parts=QuotaDivisors(7)))
    for name in NAMES:
        if name != leader:
            council.do(name, council.voters[name].settle_config(1, council.now))
    council.pass_ms(300.0)
    assert versions.moving_number == 1
    for _ in range(2):
        council.do(leader, council.voters[leader].settle_config(1, council.now))
        council.pass_ms(300.0)
    assert (versions.stage, versions.moving_number) == (3, 0)
    assert {voter.state_machine.versions.stage for voter in council.voters.values()} == {3}


def test_a_restart_behind_a_snapshot_has_the_versions_again(monkeypatch: pytest.MonkeyPatch):
    monkeypatch.setattr(voter, "COMPACT_AFTER_ENTRIES", 5)
    council = Voters()
    for at in range(12):
        assert number(council.put(f"a: {at}\n", at, f"id {at}")) == at + 1
    name = council.leader()
    before = council.known(name)
    assert council.disks[name].snapshot.data
    for one in NAMES:
        council.restart(one)
    council.pass_ms(3000.0)
    assert council.known(council.leader()) == before
    assert number(council.put("a: 3\n", 3, "id 3")) == 4  # ids are kept over it too


def test_a_log_of_much_text_becomes_a_snapshot_too(monkeypatch: pytest.MonkeyPatch):
    monkeypatch.setattr(voter, "COMPACT_AFTER_BYTES", 100_000)
    council = Voters()
    for at in range(8):
        text = "".join(f"key{at}_{line}: {line}\n" for line in range(2000))
        assert number(council.put(text, at, f"id {at}")) == at + 1
        held = sum(len(entry.payload) for entry in council.voters[council.leader()].raft.log.entries)
        assert held < 100_000 + 50_000


class OldState(msgspec.Struct, array_like=True):
    """A snapshot's, of a program of before."""

    permits: bytes
    leases: state_machine.lease_table.LeaseTableState


def test_a_snapshot_of_before_restores_and_one_of_now_is_read_by_a_program_of_before():
    council = Voters()
    assert isinstance(council.ask(AcquireLease("t1", "task", "x", 1, 3000.0)), LeaseAcquired)
    known = council.voters[council.leader()].state_machine
    old = msgspec.msgpack.encode(OldState(known.permits.snapshot(), known.leases.state()))
    assert number(council.put("a: 1\n", 0, "one")) == 1
    again = StateMachine()
    again.restore(known.snapshot())
    assert again.versions.state() == known.versions.state() and "task" in again.leases.leases
    again.restore(old)
    assert again.versions.newest is None and "task" in again.leases.leases
    read = msgspec.msgpack.decode(known.snapshot(), type=OldState)
    assert read.leases == known.leases.state()


def test_an_entry_that_cant_be_read_does_nothing_on_any_voter():
    held = StateMachine()
    for payload in (b"c", b"c\x93junk", b"c" + msgspec.msgpack.encode(["v", 1.0]), b"x"):
        told = held.apply(1, payload)
        assert told is None or told.refusal
    assert held.versions.newest is None


def test_a_message_between_voters_holds_a_bounded_number_of_bytes_and_one_entry_at_least():
    raft = Raft("a/0", PersistentState(0, "", founding_snapshot(["a", "b", "c"]), []), 1, 0.0)
    raft.start_election(1000.0)
    raft.receive(voter_vote("b/0", raft.term), 1000.0)
    assert raft.is_leader
    sizes = [300_000] * 9 + [3 * MAX_BYTES_PER_MESSAGE]
    for size in sizes:
        _, does = raft.propose(bytes(size), 1000.0)
        said = [word for _, word in does.messages if isinstance(word, AppendEntries)]
        assert said
        for word in said:
            length = sum(len(entry.payload) for entry in word.entries)
            assert len(word.entries) == 1 or length <= MAX_BYTES_PER_MESSAGE


def voter_vote(name: str, term: int):
    from cherrygrade.fleet.consensus.raft_messages import VoteReply

    return VoteReply(name, term, True)
