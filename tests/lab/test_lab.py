"""Tests of the laboratory: day files of the bench become scenarios, and the audit finds breaches of rules.

A conversion must neither drop faults silently nor produce a scenario that can't be read. The audit must
report exactly the rule that a recorded run breaks, and nothing for a correct run.
"""

from __future__ import annotations

import json
from pathlib import Path

import pytest

from cherrygrade.lab.audits.audit import judge
from cherrygrade.lab.rig.fromday import CARRIED, convert_day, text_of
from cherrygrade.lab.rig.scenario import read_scenario, write_site


def day_file(*troubles):
    """Returns a day file with the keys that the conversion reads, and these faults."""
    work = {"aim": 250_000, "deadline": 2_000_000, "late_worth": 0.2, "window": 0}
    return {
        "site": "s",
        "kind": "k",
        "noise": 7,
        "length": 48_000_000,
        "zones": ["a"],
        "servers": [{}] * 12,
        "balancers": [{}] * 60,
        "drain_grace": 250_000,
        "traffic": {"load": 0.5},
        "discovery": {"add": 600_000},
        "clients": {"retries": 0.5, "honour": 0.6, "max_retry_after": 1_000_000},
        "allow": {"max_attempts": 4},
        "classes": [
            {"name": "r", "share": 0.6, "work": 30_000, "worth": 3, "effect": "safe", "write": False, **work},
            {
                "name": "w",
                "share": 0.4,
                "work": 90_000,
                "worth": 1,
                "effect": "unsafe",
                "write": True,
                **work,
            },
        ],
        "tenants": [{"name": "one", "share": 0.5}, {"name": "two", "share": 0.5}],
        "fam": {
            "plans": [
                {"rate": 5, "reserve": 0, "limit": 0, "limit_burst": 0, "slack": 0, "weight": 1, "price": 1}
            ]
            * 2
        },
        "troubles": [
            {
                "tier": 0,
                "size": 0.5,
                "extra": 3.0,
                "on": [3, 4, 5],
                "which": 1,
                "steps": [{"at": 9_000_000, "stop": [3]}],
                "len": 6_000_000,
                "at": 8_000_000,
                **one,
            }
            for one in troubles
        ],
    }


@pytest.mark.parametrize("kind", sorted(CARRIED))
def test_each_fault_of_a_day_file_becomes_a_fault_of_the_scenario(kind, tmp_path: Path):
    """Each kind gives a valid scenario whose faults are within the run and hit existing streams."""
    record, lacking = convert_day(day_file({"kind": kind}))
    (tmp_path / "day.rec").write_text(text_of(record, lacking))
    scenario = read_scenario(tmp_path / "day.rec")
    assert scenario.troubles and all(0.0 <= one.at_ms < scenario.length_ms for one in scenario.troubles)
    assert all(
        index < len(scenario.traffic)
        for one in scenario.troubles
        if one.kind in ("surge", "heavy", "hot")
        for index in one.on
    )
    write_site(scenario, tmp_path, 0, 1, "127.0.0.1:1", "127.0.0.1:2")


def test_unconvertible_faults_are_listed_and_other_files_refused():
    """A fault of an unknown kind is listed, not dropped silently; a file that is no day file is an error."""
    record, lacking = convert_day(day_file({"kind": "meteor"}))
    assert not record["troubles"] and any("'meteor'" in one for one in lacking)
    with pytest.raises(ValueError, match="not a day file"):
        convert_day({"troubles": []})


SCENARIO = """
name: "t"
dispatchers: 1
nodes: [{build: {fall_span_ms: 1000}}, {build: {}}]
traffic: []
site: {
	workloads: {
		read: {soft_ms: 100, deadline_ms: 1000}
		once: {soft_ms: 100, deadline_ms: 1000, effect: "non-idempotent"}
		turn: {soft_ms: 100, deadline_ms: 1000, in_order: true}
	}
	volumes: v: {plan: {name: "p", limit_rate: 5, limit_depth: 3}, hosts: 1}
	budget: {spare: 1, share: 0, span_ms: 5000}
	key_rest_ms: 200
}
"""


class RecordedRun:
    """Writes record files as the processes of a run write them."""

    def __init__(self, folder: Path) -> None:
        self.folder, self.count = folder, 0
        self.lines: dict[str, list] = {
            "load-0": [],
            "node-0": [[0.0, "start", 1, "a:1"]],
            "node-1": [[0.0, "start", 1, "b:1"]],
            "register": [],
            "day": [],
        }

    def note(self, where: str, at: float, event: str, *facts) -> None:
        """Adds an entry to the record file `where`; `at` in ms."""
        self.lines[where].append([at, event, *facts])

    def add_request(
        self,
        workload: str,
        at: float,
        *,
        answer: str | None = "ok",
        answered: float = 50.0,
        key: str = "k",
        sends=((0, 10.0, 40.0, "answer", 0),),
    ) -> None:
        """Adds one client request with its attempts and its answer.

        Each of `sends` is node, time received, time ended (both in ms after `at`), outcome and result code.
        """
        self.count += 1
        op = f"0.{self.count}"
        self.note("load-0", at, "sent", "load0-0", self.count, op, workload, "v", "read", key, at + 1000.0, 0)
        for number, (node, received, ended, how, code) in enumerate(sends):
            origin = f"load0-0:{self.count}"
            self.note(
                f"node-{node}",
                at + received,
                "recv",
                "d0.1",
                origin,
                number,
                "read",
                "v",
                key,
                0.1,
                900.0,
                1.0,
            )
            end = [at + ended, how, "d0.1", origin, number, *([code] if how == "answer" else [])]
            self.lines[f"node-{node}"].append(end)
        if answer is not None:
            self.note("load-0", at + answered, "answer", "load0-0", self.count, answer, 0)

    def broken(self) -> set[int]:
        """Writes the record files and returns the rules that the audit finds broken."""
        for name, lines in self.lines.items():
            lines.sort(key=lambda line: line[0])
            (self.folder / f"{name}.jsonl").write_text("".join(json.dumps(line) + "\n" for line in lines))
        (self.folder / "s.rec").write_text(SCENARIO)
        scenario = read_scenario(self.folder / "s.rec")
        write_site(scenario, self.folder, 0, 1, "127.0.0.1:1", "127.0.0.1:2")
        verdicts, _ = judge(scenario, self.folder)
        return {one.rule for one in verdicts if one.broken}


@pytest.fixture
def run(tmp_path: Path) -> RecordedRun:
    """Returns an empty run with one dispatcher and two nodes."""
    return RecordedRun(tmp_path)


def test_a_correct_run_breaks_no_rule(run):
    """A retry of a request that was not executed (code 2) is allowed."""
    for index in range(5):
        run.add_request("read", 1000.0 * index)
    run.add_request("once", 6000.0, sends=((0, 10.0, 20.0, "answer", 2), (1, 30.0, 40.0, "answer", 0)))
    assert run.broken() == set()


@pytest.mark.parametrize(
    ("rule", "request_facts"),
    [
        (1, {"answer": None}),
        (1, {"answered": 1001.0}),
        (1, {"sends": ((0, 300.0, 310.0, "answer", 0),)}),
        (2, {"workload": "once", "sends": ((0, 10.0, 20.0, "lost", 0), (1, 30.0, 40.0, "answer", 0))}),
        (2, {"workload": "once", "answer": "rejected", "sends": ((0, 10.0, 20.0, "answer", 1),)}),
        (2, {"sends": ((0, 10.0, 400.0, "answer", 0), (1, 30.0, 40.0, "answer", 0)), "answered": 450.0}),
        (6, {"sends": tuple((0, 10.0 * n, 10.0 * n + 5, "answer", 1) for n in range(1, 5))}),
    ],
)
def test_one_request_that_breaks_a_rule_is_reported(run, rule, request_facts):
    """The cases: no answer, a late one, an attempt after it, forbidden retries, retries beyond the budget."""
    request_facts = dict(request_facts)
    run.add_request(request_facts.pop("workload", "read"), 1000.0, **request_facts)
    assert run.broken() == {rule}


def test_overlapping_attempts_of_an_ordered_key_are_reported(run):
    """The second request of the key is sent while the first is in flight."""
    run.add_request("turn", 1000.0, sends=((0, 10.0, 300.0, "answer", 0),), answered=310.0)
    run.add_request("turn", 1100.0)
    assert run.broken() == {5}


def test_an_early_attempt_after_a_lost_one_of_an_ordered_key_is_reported(run):
    """After a lost attempt, which may still run, an ordered key waits for `key_rest_ms` (200 ms)."""
    run.add_request("turn", 1000.0, sends=((0, 10.0, 100.0, "lost", 0),), answer="errored", answered=110.0)
    run.add_request("turn", 1130.0)
    assert run.broken() == {5}


@pytest.mark.parametrize(("received", "broken"), [(250.0, set()), (400.0, {3})])
def test_an_attempt_after_the_grace_time_of_a_drain_is_reported(run, received, broken):
    """Within the grace time (250 ms) an attempt is allowed; an older list of nodes must not extend it."""
    run.note("register", 0.0, "told", "d0.1", 1, -1, [["a:1", "live", 1, 1e6]])
    run.note("register", 1000.0, "told", "d0.1", 2, 1, [["a:1", "draining", 1, 1e6]])
    run.note("register", 1010.0, "told", "d0.1", 1, -1, [["a:1", "live", 1, 1e6]])  # an older list
    run.add_request(
        "read", 1000.0, sends=((0, received, received + 5.0, "answer", 0),), answered=received + 10.0
    )
    assert run.broken() == broken


@pytest.mark.parametrize(("informed_at_ms", "broken"), [(900.0, {4}), (1500.0, set())])
def test_a_node_failure_counts_if_the_start_of_the_node_was_known(run, informed_at_ms, broken):
    """A node fails under load after its start: a breach only if the dispatcher had been told of the start."""
    run.note("register", informed_at_ms, "told", "d0.1", 1, -1, [["a:1", "live", 1, 5.0]])
    run.add_request("read", 1000.0)
    run.note("node-0", 1200.0, "fell", 1)
    assert run.broken() == broken


def test_a_volume_beyond_its_rate_limit_is_reported(run):
    """60 requests of 0.1 units in 60 ms exceed a limit of 5 units/s with a burst of 3."""
    for index in range(60):
        run.add_request("read", 1000.0 + index)
    assert run.broken() == {7}
