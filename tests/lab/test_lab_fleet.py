"""Tests of the fleet audit: recorded runs that break a promise, and a run of real processes that keeps all.

The recorded runs have four dispatchers. The audit must find a breach of the promise that a run breaks, and
none in a correct run.
"""

from __future__ import annotations

import json
import subprocess
import sys
from pathlib import Path

import pytest

from cherrygrade.fleet.membership.messages import GossipPush, MessageCodec, Probe, SchedulerMessage
from cherrygrade.fleet.membership.table import Member, MemberInfo, MemberRecord, MemberState
from cherrygrade.lab.audits import fleetaudit
from cherrygrade.standin.ways import ENTRY, FLEET

ROOT = Path(__file__).parents[2]
INFOS = [MemberInfo(f"127.64.0.{n + 1}:7", f"z{n}", "1", "s", n) for n in range(4)]
ALIVE = [MemberRecord(f"d{n}", 100 + n, 0, MemberState.ALIVE, INFOS[n]) for n in range(4)]


def digest_of(number: int, refutations: int = 0) -> int:
    """Returns the digest of a running member."""
    return Member(
        MemberRecord(f"d{number}", 100 + number, refutations, MemberState.ALIVE, INFOS[number]), 0.0, ""
    ).digest()


FULL_DIGEST = digest_of(0) ^ digest_of(1) ^ digest_of(2) ^ digest_of(3)


class RecordedRun:
    """Records of a run of four dispatchers, as the network between them and the laboratory write them."""

    def __init__(self, folder: Path) -> None:
        self.folder, self.codec, self.entries = folder, MessageCodec(FLEET), list[tuple[float, bytes]]()
        self.notes: list[tuple[float, list[object]]] = [(0.0, ["day", 0.0])]
        self.notes += [(1.0, ["life", number, 1]) for number in range(4)]
        for number in range(4):
            first = GossipPush(f"d{number}", 100 + number, [ALIVE[number]])
            self.send(10.0 + number, number, (number + 1) % 4, first)

    def send(self, at: float, source: int, to: int, message: object) -> None:
        """Adds a datagram; `at` in ms."""
        data = self.codec.write(message)  # type: ignore[arg-type]
        self.entries.append((at, ENTRY.pack(at, source, to, False, len(data)) + data))

    def probe(self, at: float, source: int, to: int, digest: int, *records: MemberRecord) -> None:
        """Adds a probe with the digest of the sender's table, and member records."""
        self.send(at, source, to, Probe(f"d{source}", 100 + source, 1, digest, [*records]))

    def rest(self, first: float, last: float, digest: int, among: tuple[int, ...] = (0, 1, 2, 3)) -> None:
        """Has the members of `among` probe each other every 400 ms, with this digest of their tables."""
        at = first
        while at < last:
            for index, number in enumerate(among):
                self.probe(at, number, among[(index + 1) % len(among)], digest)
            at += 400.0

    def note(self, at: float, *what: object) -> None:
        """Adds an event of the laboratory; `at` in ms."""
        self.notes.append((at, [*what]))

    def broken(self, end: float = 30000.0) -> set[int]:
        """Writes the records and returns the numbers of the promises that the audit finds broken."""
        self.note(end, "ended")
        notes = [json.dumps([at, *what]) for at, what in sorted(self.notes, key=lambda note: note[0])]
        (self.folder / "day.jsonl").write_text("\n".join(notes) + "\n")
        (self.folder / "ways.log").write_bytes(b"".join(data for _, data in sorted(self.entries)))
        return {verdict.rule for verdict in fleetaudit.judge(self.folder) if verdict.broken}


def test_a_correct_run_breaks_no_promise(tmp_path):
    """After a kill the others probe on with the old table for 2 s, which is within the bound."""
    run = RecordedRun(tmp_path)
    run.rest(100.0, 8000.0, FULL_DIGEST)
    run.note(8000.0, "killed", 3, 1)
    run.rest(8000.0, 10000.0, FULL_DIGEST, (0, 1, 2))
    run.rest(10000.0, 30000.0, FULL_DIGEST ^ digest_of(3), (0, 1, 2))
    assert run.broken() == set()


def test_a_member_that_does_not_record_a_failure_is_reported(tmp_path):
    """d2 keeps the killed d3 in its table: the failure is not recorded in time, and tables stay different."""
    run = RecordedRun(tmp_path)
    run.rest(100.0, 8000.0, FULL_DIGEST)
    run.note(8000.0, "killed", 3, 1)
    run.rest(8000.0, 30000.0, FULL_DIGEST ^ digest_of(3), (0, 1))
    run.rest(8000.0, 30000.0, FULL_DIGEST, (2,))
    assert run.broken() == {11, 13}


def test_a_false_failure_is_reported_unless_the_member_was_cut_off(tmp_path):
    """d1 declares the running d3 failed; that is excused while d3 is cut off (for 5 s)."""
    dead = MemberRecord("d3", 103, 0, MemberState.FAILED)
    for cut in (False, True):
        folder = tmp_path / str(cut)
        folder.mkdir()
        run = RecordedRun(folder)
        run.rest(100.0, 30000.0, FULL_DIGEST)
        if cut:
            run.note(9000.0, "cut", [3])
            run.note(14000.0, "healed", [3])
        run.probe(13000.0, 1, 2, FULL_DIGEST, dead)
        assert (12 in run.broken()) is not cut


def test_false_refutation_unprobed_suspicion_and_late_messages_are_reported(tmp_path):
    """d1 raises the refutation counter of the killed d3; d0 suspects d2 unprobed and sends d3 a message."""
    run = RecordedRun(tmp_path)
    run.rest(100.0, 8000.0, FULL_DIGEST)
    run.note(8000.0, "killed", 3, 1)
    run.rest(8000.0, 30000.0, FULL_DIGEST ^ digest_of(3), (0, 1, 2))
    run.probe(12000.0, 1, 2, 0, MemberRecord("d3", 103, 1, MemberState.ALIVE, INFOS[3]))
    run.probe(13000.0, 0, 1, 0, MemberRecord("d2", 102, 0, MemberState.SUSPECT, accuser="d0"))
    run.send(20000.0, 0, 3, SchedulerMessage("d0", 100, 0, b"word"))
    assert run.broken() >= {14, 15, 16}


def test_much_traffic_in_a_settled_fleet_is_reported(tmp_path):
    """d2 sends 24 member records every 100 ms although nothing changes."""
    run = RecordedRun(tmp_path)
    run.rest(100.0, 30000.0, FULL_DIGEST)
    at = 20000.0
    while at < 30000.0:
        run.send(
            at, 2, 1, GossipPush("d2", 102, [MemberRecord(f"d{n}", 1, 1, 1, INFOS[0]) for n in range(24)])
        )
        at += 100.0
    assert 17 in run.broken()


@pytest.mark.alone
@pytest.mark.parametrize("seed", [1])
def test_a_run_of_processes_with_injected_faults_keeps_every_rule_and_promise(tmp_path, seed):
    """Real dispatchers with network faults between them pass the audit of rules and promises."""
    command = [sys.executable, "-m", "cherrygrade", "lab", "fleet", "scenarios/fleet-selfcheck.rec"]
    completed = subprocess.run(
        [*command, "--seed", str(seed), "--report", str(tmp_path / "day")],
        cwd=ROOT, capture_output=True, text=True, timeout=90.0,
    )  # fmt: skip
    assert completed.returncode == 0, completed.stdout[-4000:] + completed.stderr[-1000:]
    assert "the dead are known dead" in completed.stdout
