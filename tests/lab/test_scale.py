"""The scale run: its plan, what it counts and judges, and small runs of it with and without breakages."""

from __future__ import annotations

import json
import os
import signal
import subprocess
import sys
from dataclasses import replace
from pathlib import Path
from typing import Any

import psutil
import pytest

from cherrygrade.fleet.membership.messages import GossipPush, MessageCodec, Probe
from cherrygrade.fleet.membership.table import MemberInfo, MemberRecord, MemberState
from cherrygrade.lab.scale import judge, plan, report, run, sums
from cherrygrade.lab.scale.errors import TooLarge
from cherrygrade.lab.scale.plan import Bounds, Lots, Need, Scale, Ways
from cherrygrade.lab.scale.sums import HostResult, Phase, Sample, Seen
from cherrygrade.lab.scale.watch import AGAIN_MS, Watch

ROOT = Path(__file__).parents[2]
FILE = ROOT / "scenarios" / "scale.rec"
SHORT = (
    "spans: {settle: 30000, calm: 0, rest: 2000, loaded: 0, one_dead: 0, few_dead: 0, zone_dead: 0, back: 0"
)
# Of the hollow alone: no process of the program, no council.
HOLLOW = ["real: 0", "voters: 0", "drills: 0", "nodes: 1", "loaded: 0"]


def scale(*more: str) -> Scale:
    return run.read_scale(FILE, "\n".join(more))


# The plan.


def test_regions_are_halves_and_real_members_sit_in_the_first():
    for size, real in ((40, 20), (120, 24), (580, 24)):
        made = plan.seats(scale(f"dispatchers: {size}", f"real: {real}"))
        assert [one.number for one in made] == [*range(size)]
        assert sum(one.region == 0 for one in made) == size // 2
        assert all(one.region == 0 for one in made if one.real)
        assert sum(one.real for one in made) == real
        zones = [sum(one.zone == zone for one in made) for zone in range(6)]
        assert max(zones) - min(zones) <= 1


def test_each_hollow_member_has_one_host_and_none_more_than_it_may():
    made = scale("dispatchers: 580", "real: 24")
    dealt = plan.hosts(made)
    assert sorted(number for some in dealt for number in some) == [*range(24, 580)]
    assert max(map(len, dealt)) <= made.a_host


def test_addresses_tell_their_numbers():
    assert [plan.number_of(plan.address_of(number)) for number in (0, 249, 250, 1159)] == [0, 249, 250, 1159]
    assert plan.number_of("127.0.0.1") == -1
    assert len({plan.node_address(number) for number in range(1200)}) == 1200


def test_words_are_lost_and_late_as_the_plan_has_it_and_the_same_for_a_seed():
    made = scale("dispatchers: 40")
    ways, again, other = Ways(made, "host 1"), Ways(made, "host 1"), Ways(made, "host 2")
    assert all(0.01 <= part <= 0.05 for some in ways.lost for part in some)
    fates = [ways.fate(0, 39) for _ in range(4000)]
    assert fates == [again.fate(0, 39) for _ in range(4000)] != [other.fate(0, 39) for _ in range(4000)]
    here, there = plan.seats(made)[0], plan.seats(made)[39]
    lost = sum(fate < 0.0 for fate in fates) / 4000.0
    assert abs(lost - ways.lost[here.zone][there.zone]) < 0.01
    assert all(40.0 <= fate <= 42.0 for fate in fates if fate >= 0.0)
    near = [ways.delay(0, one.number) for one in plan.seats(made) if one.region == 0]
    assert {*near} == {0.0, made.zone_ms}


def test_a_cut_parts_those_on_it_from_all_others_until_it_heals():
    ways = Ways(scale("dispatchers: 40"), "x")
    ways.cuts["half"] = frozenset({1, 2})
    assert ways.fate(1, 3) < 0.0 and ways.fate(3, 1) < 0.0
    assert not ways.shut(1, 2) and not ways.shut(3, 4)
    assert any(ways.fate(1, 2) >= 0.0 for _ in range(50))
    del ways.cuts["half"]
    assert any(ways.fate(1, 3) >= 0.0 for _ in range(50))


def test_faults_are_those_of_the_target_at_580_and_scaled_below_and_say_so():
    whole = {one.when: one for one in plan.steps(scale("dispatchers: 580", "real: 24"), False)}
    counts = {when: len(one.on) for when, one in whole.items()}
    assert counts["one dead"] == 1 and counts["20 dead"] == 20 and counts["half cut"] == 290
    assert counts["10 restarted"] == 10 and 96 <= counts["97 dead"] <= 97
    dead = [{*whole[when].on} for when in ("one dead", "20 dead", "97 dead")]
    assert len(dead[0] | dead[1] | dead[2]) == sum(map(len, dead))
    assert {*whole["back"].on} == dead[0] | dead[1] | dead[2]
    assert "60 s in place of 180 s" in whole["half cut"].note
    small = {one.when: one for one in plan.steps(scale("dispatchers: 40"), False)}
    assert len(small["20 dead"].on) == 2 and "2 in place of 20" in small["20 dead"].note
    assert len(small["half cut"].on) == 20 and "20 in place of 290" in small["half cut"].note
    voters = {*range(5)}
    killed = {number for one in small.values() if one.kind in ("kill", "restart") for number in one.on}
    assert not killed & voters


def test_faults_are_drawn_by_the_seed():
    def drawn(seed: int) -> list[tuple[int, ...]]:
        return [one.on for one in plan.steps(scale("dispatchers: 120", f"seed: {seed}"), False)]

    assert drawn(1) == drawn(1) != drawn(2)
    assert Lots(3).some(range(9), 9) == [*range(9)]


def test_what_is_too_large_is_refused_with_what_to_make_smaller():
    bounds = scale().bounds
    plan.admit(bounds, plan.need(scale("dispatchers: 580", "real: 24", "nodes: 1200")), 24_000.0)
    with pytest.raises(TooLarge, match=r"201 processes, 200 are allowed.*`real` smaller"):
        plan.admit(bounds, Need(201, 10.0), 24_000.0)
    with pytest.raises(TooLarge, match=r"12001 MiB, of 24000 it may take 12000.*--dispatchers smaller"):
        plan.admit(bounds, Need(20, 12_001.0), 24_000.0)
    with pytest.raises(TooLarge, match="processes"):
        plan.admit(bounds, plan.need(scale("dispatchers: 580", "real: 240")), 24_000.0)
    with pytest.raises(TooLarge, match="MiB"):
        plan.admit(bounds, plan.need(scale("dispatchers: 4000", "real: 24", "a_host: 200")), 24_000.0)


# What passes.


def test_the_watch_notes_changes_and_first_tellings_alone():
    book, watch = MessageCodec("lab"), Watch()
    alive = MemberRecord("d3", 9, 0, MemberState.ALIVE, MemberInfo("127.48.0.4:1", "z0", "", "", 3))
    dead = MemberRecord("d3", 9, 0, MemberState.FAILED)

    def passes(at: float, page: Any, source: int = 1) -> bool:
        return watch.passed(at, source, book.write(page))

    assert passes(0.0, Probe("d1", 5, 1, 77))
    assert not passes(10.0, Probe("d1", 5, 2, 77))
    assert passes(20.0, Probe("d1", 5, 3, 78)) and passes(30.0, Probe("d2", 5, 1, 78), source=2)
    assert passes(21.0 + AGAIN_MS, Probe("d1", 5, 4, 78))
    assert passes(600.0, GossipPush("d1", 5, [alive])) and not passes(601.0, GossipPush("d1", 5, [alive]))
    assert passes(602.0, GossipPush("d1", 5, [alive, dead])) and not passes(
        603.0, GossipPush("d1", 5, [dead])
    )
    assert not watch.passed(604.0, 1, b"noise") and not watch.passed(605.0, 1, bytes(16) + b"\x93\xa1p")


# What the samples come to.

BOUNDS = Bounds(50.0, 290.0, 500.0, 200, 0.5)


def sample(second: int, cpu_s: float, late: list[float], waited_ms: float = 0.0, sent: int = 0) -> Sample:
    counts = {
        7: [sent, 100 * sent, 0, 0, 0, 0, 2, 0, 0, 50 * second, 1],
        8: [0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0],
    }
    return Sample(1000.0 * second, cpu_s, 0.0, waited_ms, late, 5000 + second, 20, counts)


def late_by(*samples: Sample, bounds: Bounds = BOUNDS) -> dict[str, Any]:
    host = HostResult(0, 1000, [*samples])
    return sums.lateness([host], [Phase("rest", 0.0, 4000.0, 0.9, 0.2)], bounds)


def test_lateness_over_the_bound_means_that_nothing_was_measured():
    well = late_by(sample(1, 0.1, [1.0] * 50), sample(2, 0.2, [1.0] * 50))
    assert sums.measured(well) is True and well["parts"]["rest"]["p99_ms"] == 1.0
    late = late_by(sample(1, 0.1, [1.0] * 50), sample(2, 0.2, [1.0] * 40 + [60.0] * 10))
    assert "late by 60 ms" in str(sums.measured(late))
    once = late_by(sample(1, 0.1, [1.0] * 500), sample(2, 0.2, [1.0] * 500 + [291.0]))
    assert "291 ms at most" in str(sums.measured(once))
    assert "no samples" in str(sums.measured(late_by()))


def test_a_machine_that_is_taken_is_told_from_a_host_that_is_full():
    first = sample(1, 0.1, [1.0])
    taken = late_by(first, sample(2, 0.2, [1.0, 300.0], waited_ms=400.0))
    assert "no core was free for 400 ms of that second, taken by others" in str(sums.measured(taken))
    full = late_by(first, sample(2, 1.09, [1.0, 300.0], waited_ms=5.0))
    assert "a host's one core was full" in str(sums.measured(full))
    neither = late_by(first, sample(2, 0.2, [1.0, 300.0], waited_ms=5.0))
    assert "ran 0.10 of a core and waited 5 ms" in str(sums.measured(neither))


def test_figures_are_means_over_members_their_worst_second_and_the_members_spread():
    rows = [sample(1, 0.1, [], sent=0), sample(2, 0.2, [], sent=10), sample(3, 0.5, [], sent=40)]
    found = {
        (one.role, one.what): one
        for one in sums.members([HostResult(0, 1000, rows)], Phase("rest", 1000.0, 3000.0))
    }
    sent = found["dispatcher control", "messages sent"]
    assert (sent.mean, sent.worst_second, sent.spread) == (10.0, 15.0, (0.0, 20.0))
    assert found["dispatcher control", "bytes sent"].worst_second == 1500.0
    cpu = found["dispatcher control", "cpu"]
    assert (round(cpu.mean), round(cpu.worst_second)) == (100, 150)  # two members: half of the host's each
    assert round(found["dispatcher control", "memory"].mean) == 2001  # KiB over the empty host's, each
    assert found["lease holder", "bytes sent"].mean == 50.0


def test_processes_are_counted_by_the_system_and_a_new_life_is_no_figure():
    rows = [Seen(1000.0, 1.0, 100, 5, 0), Seen(2000.0, 1.1, 120, 6, 10), Seen(3000.0, 0.0, 90, 4, 0)]
    found = {
        one.what: one for one in sums.processes("council voter", [rows], Phase("rest", 1000.0, 3000.0), True)
    }
    assert round(found["cpu"].mean) == 100 and found["disk bytes"].worst_second == 10.0


def test_hollow_is_held_against_real_within_a_ratio_and_the_rest_is_told_as_a_factor():
    rows = sums.against(
        sums.Part(6.0, 900.0, 6.0, 900.0, 4.0, 150.0),
        sums.Part(6.5, 1200.0, 6.0, 900.0, 12.0, 38_500.0),
        4.0,
        37_000.0,
    )
    told = {one["what"]: one for one in rows}
    assert told["messages sent"]["held"] and not told["bytes sent"]["held"]
    assert told["cpu"]["factor"] == 0.5 and told["memory"]["factor"] == 0.1
    assert "held" not in told["cpu"]


# What is judged.


def test_sides_are_judged_by_who_lives_on_them():
    made = scale("dispatchers: 40")
    regions = [one.region for one in plan.seats(made)]

    def broken(when: str, sides: dict[str, str]) -> list[str]:
        return [one.what for one in judge.sides(made, [[when, sides]]) if one.seen > one.bound]

    most, few = "among the most", "among the few"
    assert not broken("rest", {str(number): most for number in range(40)})
    assert broken("rest", {"3": most, "4": few}) == ["members on another side than theirs at its end"]
    assert not broken("half cut", {str(number): few for number in range(40)})
    both = broken("half cut", {str(number): most for number in range(40)})
    assert both == ["members on another side than theirs at its end", "sides among the most, beyond one"]
    odd = replace(made, dispatchers=41)
    larger = {str(one.number): most if one.region == 0 else few for one in plan.seats(odd)}
    assert not [one for one in judge.sides(odd, [["half cut", larger]]) if one.seen > one.bound]
    assert len({*regions}) == 2


def test_two_that_act_for_one_task_are_convicted_by_the_receivers_record(tmp_path):
    record = tmp_path / "receiver.jsonl"
    phases = {"rest": Phase("rest", 0.0, 5000.0)}

    def broken(*orders: list[Any]) -> list[str]:
        record.write_text("".join(json.dumps(order) + "\n" for order in orders))
        return [one.what for one in judge.leases(record, 1, phases) if one.seen > one.bound]

    one = [4000.0, "drill/0", 3, "d1", 100, 1, True]
    assert not broken(one, [4100.0, "drill/0", 4, "d2", 100, 1, True])
    assert broken(one, [4100.0, "drill/0", 3, "d2", 100, 1, True]) == [
        "orders that no single holder could have given"
    ]
    assert broken([1000.0, *one[1:]]) == ["tasks with leases not done at its end"]


def test_a_promise_is_judged_by_parts_that_were_measured_alone():
    known = sums.Promise("known to all that live", "one dead", 5500.0, 6000.0, "ms")
    dead = sums.Promise("living members called dead", "", 0, 3, "members")
    well = sums.Promise("old lives that came back", "", 0, 0, "members")
    tasks = sums.Promise("tasks with leases not done at its end", "one dead", 0, 2, sums.TASKS)
    rows = [known, dead, well, tasks]

    def late(measured: bool | str, disk_ms: float) -> dict[str, Any]:
        rest = {"measured": True, "disk_worst_ms": 1.0}
        part = {"measured": measured, "disk_worst_ms": disk_ms}
        return {"bound_disk_ms": 500.0, "parts": {"rest": rest, "one dead": part}}

    assert sums.judged(rows, late(True, 10.0)) == rows
    assert sums.judged(rows, late(True, 501.0)) == [known, dead, well]
    assert sums.judged(rows, late("late by 60 ms", 10.0)) == [well]
    assert not known.told()["held"] and well.told()["held"]
    assert sums.Promise("w", "", 1.0, sums.NEVER, "").told()["seen"] == "not within the part"


def test_what_was_not_measured_is_no_verdict_and_the_code_says_so(capsys):
    told: dict[str, Any] = {
        "size": {"dispatchers": 4, "real": 0, "nodes": 1, "processes": 3},
        "taken": {"memory_mb": 1},
        "lateness": {"parts": {}},
        "figures": [],
        "hollow_against_real": "not run",
        "promises": [{"what": "w", "bound": 0, "seen": 0, "unit": "", "held": True}],
        "promises_not_measured": [{"what": "w", "bound": 0, "seen": 1, "unit": "", "held": False}],
        "measured": True,
    }
    assert report.show(told) == 0
    assert report.show({**told, "measured": "rest: late by 60 ms"}) == 3
    assert report.show({**told, "promises": told["promises_not_measured"]}) == 1
    assert "not measured: w" in capsys.readouterr().out


def test_the_leader_is_whom_voters_name():
    told = {str(number): {"council": {"leader": "d2" if number < 5 else ""}} for number in range(24)}
    assert report.leader(told, 5) == "2"
    assert report.leader({"0": {"council": {"leader": ""}}, "7": {"council": {"leader": "d1"}}}, 5) == ""


# Runs, small.


def played(*more: str, breaks: str = "") -> dict[str, Any]:
    return run.play(scale("dispatchers: 40", *more), "test", breaks=breaks)


def seen(told: dict[str, Any], what: str) -> Any:
    """Whatever the machine's pace: a time is no verdict here, that it came at all within the part is."""
    rows = [*told["promises"], *told["promises_not_measured"]]
    return next(one["seen"] for one in rows if one["what"] == what)


NEVER = "not within the part"


@pytest.mark.alone
def test_forty_of_them_eight_real_know_a_death_and_a_heal_and_keep_their_promises():
    told = played(
        "real: 8", "bare: 1", "loaded: 1", "nodes: 3", "drills: 4", "lease_ms: 2000",
        SHORT.replace(" one_dead: 0", " one_dead: 8000").replace("loaded: 0", "loaded: 2000")
        + ", cut: 4000, heal: 6000, restarted: 0}",
    )  # fmt: skip
    assert seen(told, "one dead: known to all that live") != NEVER
    assert seen(told, "heal: all rolls equal") != NEVER
    for what in (
        "living members called dead",
        "old lives that came back",
        "orders that no single holder could have given",
    ):
        assert seen(told, what) == 0, what
    assert told["size"] == {"dispatchers": 40, "real": 8, "nodes": 3, "processes": told["size"]["processes"]}
    assert told["parts"]["20 dead"] == told["parts"]["10 restarted"] == "not run"
    assert "not run: 20 dead" in str(told["measured"])
    if told["lateness"]["parts"]["rest"]["measured"] is True:
        found = {(one["role"], one["what"]): one for one in told["figures"] if one["when"] == "rest"}
        assert 2.0 < found["dispatcher control", "messages sent"]["mean"] < 30.0
        assert found["dispatcher control", "state entries"]["mean"] == 40.0
        assert {role for role, _ in found} >= {
            "council leader",
            "council voter",
            "register",
            "dispatcher idle",
        }
        assert told["hollow_against_real"]["real"] == 3 and len(told["hollow_against_real"]["rows"]) == 6


@pytest.mark.few
def test_a_member_that_answers_for_the_dead_one_is_convicted():
    spans = SHORT.replace("rest: 2000", "rest: 0").replace(" one_dead: 0", " one_dead: 7000")
    told = played(*HOLLOW, spans + ", cut: 0, heal: 0, restarted: 0}", breaks="answers for the dead")
    assert seen(told, "one dead: known to all that live") == NEVER


@pytest.mark.few
def test_a_heal_that_never_comes_is_convicted():
    spans = SHORT.replace("rest: 2000", "rest: 0") + ", cut: 5000, heal: 4000, restarted: 0}"
    assert seen(played(*HOLLOW, spans, breaks="heals never"), "heal: all rolls equal") == NEVER


@pytest.mark.few
def test_what_a_run_before_left_in_its_folder_is_no_part_of_this_one(tmp_path):
    (tmp_path / "council-d0").mkdir()
    for name in ("host-7.result", "host-7.ways", "council-d0/council.mdb"):
        (tmp_path / name).write_bytes(b"old")
    spans = SHORT.replace("rest: 2000", "rest: 1500") + ", cut: 0, heal: 0, restarted: 0}"
    run.play(scale("dispatchers: 4", *HOLLOW, spans), "test", keep=tmp_path)
    assert not [*tmp_path.glob("host-7.*")] and not (tmp_path / "council-d0").exists()
    assert (tmp_path / "host-0.result").exists()


def test_a_run_that_grows_over_its_bound_ends_itself_and_leaves_nothing(monkeypatch, tmp_path):
    monkeypatch.setattr(run, "need", lambda made: Need(1, 1.0))
    monkeypatch.setattr("tempfile.tempdir", str(tmp_path))
    spans = SHORT + ", cut: 0, heal: 0, restarted: 0}"
    with pytest.raises(TooLarge, match="MiB"):
        played(*HOLLOW, spans, "bounds: memory_part: 0.001")
    assert not [*tmp_path.iterdir()]
    assert not [
        one for one in psutil.Process().children(recursive=True) if "lab.scale" in " ".join(one.cmdline())
    ]


@pytest.mark.few
def test_a_signal_ends_the_run_and_leaves_nothing_and_the_rest_is_told_as_not_run(tmp_path):
    spans = SHORT.replace("rest: 2000", "rest: 60000") + ", cut: 0, heal: 0, restarted: 0}"
    given = [part for one in [*HOLLOW, spans] for part in ("--with", one)]
    file = tmp_path / "report.json"
    (tmp_path / "tmp").mkdir()
    process = subprocess.Popen(
        [sys.executable, "-m", "cherrygrade", "lab", "scale", str(FILE), "--report", str(file), *given],
        cwd=ROOT, env={**os.environ, "TMPDIR": str(tmp_path / "tmp")}, stderr=subprocess.PIPE, text=True,
    )  # fmt: skip
    try:
        assert process.stderr is not None
        for line in process.stderr:
            if line.strip() == "rest":
                break
        children = psutil.Process(process.pid).children(recursive=True)
        assert children
        process.send_signal(signal.SIGTERM)
        _, wrong = process.communicate(timeout=30.0)
        assert process.returncode == 3, wrong
    finally:
        process.kill()
    assert not [*Path("/dev/shm").glob(f"cherrygrade-scale-{process.pid}-*")]
    assert not psutil.wait_procs(children, timeout=5.0)[1]
    assert not [*(tmp_path / "tmp").iterdir()]
    told = json.loads(file.read_text())
    assert "not run: rest" in told["measured"] and "ended by SIGTERM" in told["measured"]


@pytest.mark.long
@pytest.mark.timeout(900)
def test_580_before_1200_nodes_keep_their_promises():
    told = run.play(scale("dispatchers: 580", "real: 24", "nodes: 1200"), "test")
    assert told["measured"] is True, told["measured"]
    assert all(one["held"] for one in told["promises"]), told["promises"]
