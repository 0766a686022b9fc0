"""The rig: a day of processes with faults between them, and an audit that convicts who breaks a promise."""

from __future__ import annotations

import json
import subprocess
import sys
from pathlib import Path

import pytest

from cherrygrade.fleet.membership.messages import GossipPush, MessageCodec, Probe, SchedulerMessage
from cherrygrade.fleet.membership.table import Member, MemberInfo, MemberRecord, MemberState
from cherrygrade.lab.audits import fleetaudit
from cherrygrade.standin.emulated_network import ENTRY_HEADER, FLEET

ROOT = Path(__file__).parents[2]
FACTS = [MemberInfo(f"127.64.0.{n + 1}:7", f"z{n}", "1", "s", n) for n in range(4)]
ALIVE = [MemberRecord(f"d{n}", 100 + n, 0, MemberState.ALIVE, FACTS[n]) for n in range(4)]


def mark(number: int, turn: int = 0) -> int:
    return Member(
        MemberRecord(f"d{number}", 100 + number, turn, MemberState.ALIVE, FACTS[number]), 0.0, ""
    ).digest()


WHOLE = mark(0) ^ mark(1) ^ mark(2) ^ mark(3)


class Day:
    """A made-up day of four: what the ways and the process table would have noted."""

    def __init__(self, folder: Path) -> None:
        self.folder, self.book, self.entries = folder, MessageCodec(FLEET), list[tuple[float, bytes]]()
        self.notes: list[tuple[float, list[object]]] = [(0.0, ["day", 0.0])]
        self.notes += [(1.0, ["life", number, 1]) for number in range(4)]
        for number in range(4):
            first = GossipPush(f"d{number}", 100 + number, [ALIVE[number]])
            self.say(10.0 + number, number, (number + 1) % 4, first)

    def say(self, at: float, source: int, to: int, page: object) -> None:
        data = self.book.write(page)  # type: ignore[arg-type]
        self.entries.append((at, ENTRY_HEADER.pack(at, source, to, False, len(data)) + data))

    def probe(self, at: float, source: int, to: int, digest: int, *news: MemberRecord) -> None:
        self.say(at, source, to, Probe(f"d{source}", 100 + source, 1, digest, [*news]))

    def rest(self, first: float, last: float, digest: int, among: tuple[int, ...] = (0, 1, 2, 3)) -> None:
        """All probe in turn and hold this roll."""
        at = first
        while at < last:
            for index, number in enumerate(among):
                self.probe(at, number, among[(index + 1) % len(among)], digest)
            at += 400.0

    def note(self, at: float, *what: object) -> None:
        self.notes.append((at, [*what]))

    def convicted(self, end: float = 30000.0) -> set[int]:
        self.note(end, "ended")
        notes = [json.dumps([at, *what]) for at, what in sorted(self.notes, key=lambda note: note[0])]
        (self.folder / "day.jsonl").write_text("\n".join(notes) + "\n")
        (self.folder / "ways.log").write_bytes(b"".join(data for _, data in sorted(self.entries)))
        return {verdict.rule for verdict in fleetaudit.judge(self.folder) if verdict.broken}


def test_a_day_in_which_all_is_kept_convicts_nobody(tmp_path):
    day = Day(tmp_path)
    day.rest(100.0, 8000.0, WHOLE)
    day.note(8000.0, "killed", 3, 1)
    day.rest(8000.0, 10000.0, WHOLE, (0, 1, 2))
    day.rest(10000.0, 30000.0, WHOLE ^ mark(3), (0, 1, 2))
    assert day.convicted() == set()


def test_who_does_not_know_a_death_in_time_is_convicted(tmp_path):
    day = Day(tmp_path)
    day.rest(100.0, 8000.0, WHOLE)
    day.note(8000.0, "killed", 3, 1)
    day.rest(8000.0, 30000.0, WHOLE ^ mark(3), (0, 1))
    day.rest(8000.0, 30000.0, WHOLE, (2,))
    assert day.convicted() == {11, 13}


def test_a_living_one_called_dead_convicts_but_not_one_that_was_cut_off_for_long(tmp_path):
    dead = MemberRecord("d3", 103, 0, MemberState.FAILED)
    for cut in (False, True):
        folder = tmp_path / str(cut)
        folder.mkdir()
        day = Day(folder)
        day.rest(100.0, 30000.0, WHOLE)
        if cut:
            day.note(9000.0, "cut", [3])
            day.note(14000.0, "healed", [3])
        day.probe(13000.0, 1, 2, WHOLE, dead)
        assert (12 in day.convicted()) is not cut


def test_a_turn_raised_for_the_dead_an_accusation_without_a_probe_and_words_to_the_dead_convict(tmp_path):
    day = Day(tmp_path)
    day.rest(100.0, 8000.0, WHOLE)
    day.note(8000.0, "killed", 3, 1)
    day.rest(8000.0, 30000.0, WHOLE ^ mark(3), (0, 1, 2))
    day.probe(12000.0, 1, 2, 0, MemberRecord("d3", 103, 1, MemberState.ALIVE, FACTS[3]))
    day.probe(13000.0, 0, 1, 0, MemberRecord("d2", 102, 0, MemberState.SUSPECT, accuser="d0"))
    day.say(20000.0, 0, 3, SchedulerMessage("d0", 100, 0, b"word"))
    assert day.convicted() >= {14, 15, 16}


def test_who_talks_too_much_at_rest_is_convicted(tmp_path):
    day = Day(tmp_path)
    day.rest(100.0, 30000.0, WHOLE)
    at = 20000.0
    while at < 30000.0:
        day.say(
            at, 2, 1, GossipPush("d2", 102, [MemberRecord(f"d{n}", 1, 1, 1, FACTS[0]) for n in range(24)])
        )
        at += 100.0
    assert 17 in day.convicted()


@pytest.mark.alone
@pytest.mark.parametrize("seed", [1])
def test_a_day_of_processes_with_faults_between_them_keeps_every_rule_and_promise(tmp_path, seed):
    line = [sys.executable, "-m", "cherrygrade", "lab", "fleet", "scenarios/fleet-selfcheck.rec"]
    played = subprocess.run(
        [*line, "--seed", str(seed), "--report", str(tmp_path / "day")],
        cwd=ROOT, capture_output=True, text=True, timeout=90.0,
    )  # fmt: skip
    assert played.returncode == 0, played.stdout[-4000:] + played.stderr[-1000:]
    assert "the dead are known dead" in played.stdout
