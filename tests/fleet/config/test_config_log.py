"""Versions of the configuration in the council's log.

The tests guard against voters whose versions differ, a request that creates two versions, and versions that
are lost in a snapshot, in a restart or with an earlier version of the program.
"""

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
    """A council that receives versions as the council's server passes them on: validated first, then put."""

    def put(self, text: str, based_on: int, id: str, name: str = "", divisors: QuotaDivisors = SEATS):
        self.answers.clear()
        name = name or self.leader()
        before = self.voters[name].state_machine.versions.newest
        hunks = difference(before.text, text) if before is not None and before.number == based_on else None
        verdict = ConfigVerdict("", divisors, SEATS, hunks)
        request = PutConfig(id, text, based_on, "operator")
        self.do(name, self.voters[name].put_config(request, verdict, "asker", self.now))
        self.pass_ms(300.0)
        return self.answers[0] if self.answers else None

    def show(self, number: int = 0) -> ConfigStatus:
        status = self.ask(ShowConfig("show", number))
        assert isinstance(status, ConfigStatus)
        return status

    def versions_at(self, name: str) -> list[tuple[int, str, str]]:
        """Return the number, text and digest of each version that a voter stores."""
        stored = self.voters[name].state_machine.versions.versions.values()
        return [(version.number, version.text, version.digest.hex()) for version in stored]


def number(answer: object) -> int:
    assert isinstance(answer, ConfigPut), answer
    assert not answer.outcome.refusal, answer.outcome.refusal
    return answer.outcome.number


def refusal(answer: object) -> str:
    assert isinstance(answer, ConfigPut), answer
    assert answer.outcome.number == 0 and answer.outcome.refusal
    return answer.outcome.refusal


def test_a_change_becomes_the_next_version_on_every_voter():
    council = Voters()
    assert number(council.put("a: 1\n", 0, "one")) == 1
    assert number(council.put("a: 2\n", 1, "two")) == 2
    assert council.versions_at("a") == council.versions_at("b") == council.versions_at("c")
    status = council.show(1)
    assert [version.number for version in status.versions] == [1, 2] and status.text == "a: 1\n"
    assert (status.stage, status.settled, status.moving) == (5, 2, 0)
    assert status.versions[-1].by == "operator" and council.show(9).text is None


def test_the_second_of_two_concurrent_changes_is_refused():
    council = Voters()
    assert number(council.put("a: 1\n", 0, "one")) == 1
    assert "1 is the newest, not 0" in refusal(council.put("b: 1\n", 0, "other"))
    assert len(council.versions_at("a")) == 1


def test_a_repeated_request_creates_one_version_even_at_another_leader():
    council = Voters()
    assert number(council.put("a: 1\n", 0, "one")) == 1
    assert number(council.put("a: 2\n", 1, "two")) == 2
    council.cut = {council.leader()}
    council.pass_ms(4000.0)
    assert number(council.put("a: 1\n", 0, "one")) == 1  # the client lost its answer with the leader
    assert [version[0] for version in council.versions_at(council.leader())] == [1, 2]


def test_a_single_voter_answers_at_once():
    single = Voter("d0/0", PersistentState(snapshot=founding_snapshot(["d0"])), ["d0"], 1, 0.0, 0.005)
    single.tick(single.next_deadline())
    assert single.is_ready_leader
    effects = single.put_config(
        PutConfig("a", "x", 0, "operator"), ConfigVerdict("", SEATS, SEATS), "asker", 2000.0
    )
    (answer,) = effects.replies
    assert answer[0] == "asker" and number(answer[1]) == 1
    ((_, lease),) = single.request(AcquireLease("b", "task", "d0", 1, 5000.0), "asker", 2000.0).replies
    assert isinstance(lease, LeaseAcquired) and lease.outcome.number
    assert not single.proposals


def test_a_follower_names_the_leader_and_a_text_without_verdict_is_never_proposed():
    council = Voters()
    leader = council.leader()
    other = next(name for name in NAMES if name != leader)
    answer = council.put("a: 1\n", 0, "one", other)
    assert isinstance(answer, NotLeader) and answer.leader == leader
    answer = council.ask(PutConfig("one", "a: 1\n", 0, "operator"))
    assert isinstance(answer, NotLeader) and "not judged" in answer.reason
    verdict = ConfigVerdict("needs a restart: bounds.most_body")
    council.answers.clear()
    request = PutConfig("one", "a: 1\n", 0, "operator")
    council.do(leader, council.voters[leader].put_config(request, verdict, "asker", council.now))
    assert refusal(council.answers[0]) == "needs a restart: bounds.most_body"
    council.pass_ms(500.0)
    assert not council.versions_at(leader)


def test_only_the_leader_settles_a_quota_move():
    council = Voters()
    leader = council.leader()
    assert number(council.put("a: 1\n", 0, "one", divisors=QuotaDivisors(5))) == 1
    versions = council.voters[leader].state_machine.versions
    assert (versions.stage, versions.moving_number) == (2, 1)
    assert "parts still move" in refusal(council.put("a: 2\n", 1, "two", divisors=QuotaDivisors(7)))
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


def test_versions_survive_a_restart_from_a_snapshot(monkeypatch: pytest.MonkeyPatch):
    monkeypatch.setattr(voter, "COMPACT_AFTER_ENTRIES", 5)
    council = Voters()
    for index in range(12):
        assert number(council.put(f"a: {index}\n", index, f"id {index}")) == index + 1
    name = council.leader()
    before = council.versions_at(name)
    assert council.disks[name].snapshot.data
    for voter_name in NAMES:
        council.restart(voter_name)
    council.pass_ms(3000.0)
    assert council.versions_at(council.leader()) == before
    assert number(council.put("a: 3\n", 3, "id 3")) == 4  # the request ids are in the snapshot, too


def test_a_log_with_long_texts_is_compacted(monkeypatch: pytest.MonkeyPatch):
    monkeypatch.setattr(voter, "COMPACT_AFTER_BYTES", 100_000)
    council = Voters()
    for index in range(8):
        text = "".join(f"key{index}_{line}: {line}\n" for line in range(2000))
        assert number(council.put(text, index, f"id {index}")) == index + 1
        log_bytes = sum(len(entry.payload) for entry in council.voters[council.leader()].raft.log.entries)
        assert log_bytes < 100_000 + 50_000


class EarlierState(msgspec.Struct, array_like=True):
    """The state in a snapshot of an earlier version of the program, which had no configuration."""

    permits: bytes
    leases: state_machine.lease_table.LeaseTableState


def test_snapshots_are_compatible_with_an_earlier_version_in_both_directions():
    council = Voters()
    assert isinstance(council.ask(AcquireLease("t1", "task", "x", 1, 3000.0)), LeaseAcquired)
    machine = council.voters[council.leader()].state_machine
    earlier = msgspec.msgpack.encode(EarlierState(machine.permits.snapshot(), machine.leases.state()))
    assert number(council.put("a: 1\n", 0, "one")) == 1
    restored = StateMachine()
    restored.restore(machine.snapshot())
    assert restored.versions.state() == machine.versions.state() and "task" in restored.leases.leases
    restored.restore(earlier)
    assert restored.versions.newest is None and "task" in restored.leases.leases
    decoded = msgspec.msgpack.decode(machine.snapshot(), type=EarlierState)
    assert decoded.leases == machine.leases.state()


def test_an_entry_that_cannot_be_decoded_changes_nothing():
    machine = StateMachine()
    for payload in (b"c", b"c\x93junk", b"c" + msgspec.msgpack.encode(["v", 1.0]), b"x"):
        outcome = machine.apply(1, payload)
        assert outcome is None or outcome.refusal
    assert machine.versions.newest is None


def test_a_message_between_voters_has_bounded_bytes_but_at_least_one_entry():
    raft = Raft("a/0", PersistentState(0, "", founding_snapshot(["a", "b", "c"]), []), 1, 0.0)
    raft.start_election(1000.0)
    raft.receive(voter_vote("b/0", raft.term), 1000.0)
    assert raft.is_leader
    sizes = [300_000] * 9 + [3 * MAX_BYTES_PER_MESSAGE]
    for size in sizes:
        _, effects = raft.propose(bytes(size), 1000.0)
        messages = [message for _, message in effects.messages if isinstance(message, AppendEntries)]
        assert messages
        for message in messages:
            length = sum(len(entry.payload) for entry in message.entries)
            assert len(message.entries) == 1 or length <= MAX_BYTES_PER_MESSAGE


def voter_vote(name: str, term: int):
    from cherrygrade.fleet.consensus.raft_messages import VoteReply

    return VoteReply(name, term, True)
