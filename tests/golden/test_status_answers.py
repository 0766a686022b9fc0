"""Keys of status answers, counts and log lines, as running processes give them.

Operators' tools and alerts read these by name. A rename of an attribute that a status answer or a log line is
built from would change a key without any other test noticing it. The processes are driven by the command line
and by settings files alone; `status.json` holds the keys that they gave before.
"""

from __future__ import annotations

import asyncio
import json
import signal
import subprocess
import sys
import time
from collections.abc import Callable, Iterator
from pathlib import Path
from typing import Any

import pytest
from support import golden
from support.port_reservation import release, reserve

from cherrygrade.fleet.runtime.admin_client import send_admin_request
from cherrygrade.fleet.runtime.admin_messages import AdminRequest, MissingRequest, PutRequest, ShowRequest

pytestmark = pytest.mark.few

ROOT = Path(__file__).parents[2]
RECORDED = golden.load("status")
TIMEOUT_S = 30.0
POLL_S = 0.2
SITE = """
place: {{name: "d{number}", listen: "{listen}", register: "{register}", number: {number}, dispatchers: 2}}
workloads: read: {{soft_ms: 900, deadline_ms: 1500}}
plans: plan: {{usual_rate: 1000, limit_rate: 100, limit_depth: 10}}
volumes: v: plan: plans.plan
permits: peers: true
earnings: tells_elsewhere: false
fleet: {{
	name: "golden", place: "{place}", contacts: {contacts}, zone: "z{number}", period_ms: 100
	config_file: "{folder}/config-{number}"
	council: {{voters: ["d0"], folder: "{folder}/store", lease_ms: 1000, drills: ["task-a"]}}
}}
"""
EVENTS_BY_TIMING = frozenset(
    ("configuration settled", "lease held", "lease lost", "lease expired", "lease released")
)
"""Events that a run may be without, or may have more than once."""
CHANGE = "plans: plan: limit_rate: 50\n"


def keys(value: Any) -> Any:
    """The keys of nested maps; of a list's elements those that any of them has; other values become null."""
    if isinstance(value, dict):
        return {key: keys(value[key]) for key in sorted(value)}
    if not isinstance(value, list):
        return None
    merged: dict[str, Any] = {}
    for element in value:
        merged |= keys(element) if isinstance(element, dict) else {}
    return [dict(sorted(merged.items()))]


def log_keys(path: Path) -> dict[str, list[str]]:
    """Event: the keys of its lines."""
    found: dict[str, set[str]] = {}
    for text in path.read_text().splitlines():
        if text.startswith("{"):
            line = json.loads(text)
            found.setdefault(line["event"], set()).update(line)
    return {event: sorted(names) for event, names in sorted(found.items())}


def merged(*logs: dict[str, list[str]]) -> dict[str, list[str]]:
    found: dict[str, set[str]] = {}
    for log in logs:
        for event, names in log.items():
            found.setdefault(event, set()).update(names)
    return {event: sorted(names) for event, names in sorted(found.items())}


class Processes:
    """Processes of the program, each with a log file; ended by id."""

    def __init__(self, folder: Path) -> None:
        self.folder = folder
        self.addresses: list[str] = []
        self._running: list[subprocess.Popen[str]] = []

    def reserve(self, count: int) -> list[str]:
        found = reserve(count)
        self.addresses += found
        return found

    def start(self, name: str, *arguments: str, **env: str) -> subprocess.Popen[str]:
        with (self.folder / f"{name}.log").open("a") as log:
            process = subprocess.Popen(
                [sys.executable, "-m", "cherrygrade", *arguments],
                cwd=ROOT,
                env={"PATH": "", "PYTHONPATH": str(ROOT), **env} if env else None,
                stdout=subprocess.PIPE,
                stderr=log,
                text=True,
            )
        self._running.append(process)
        return process

    def log(self, name: str) -> dict[str, list[str]]:
        return log_keys(self.folder / f"{name}.log")

    def close(self) -> None:
        for process in self._running:
            process.kill()
            process.communicate()
        release(*self.addresses)


def command(*arguments: str) -> str:
    """What a command prints."""
    line = [sys.executable, "-m", "cherrygrade", *arguments]
    done = subprocess.run(line, cwd=ROOT, capture_output=True, text=True, timeout=TIMEOUT_S, check=False)
    return done.stdout


def wait_until(holds: Callable[[], bool]) -> None:
    end = time.monotonic() + TIMEOUT_S
    while not holds():
        assert time.monotonic() < end
        time.sleep(POLL_S)


def stop(process: subprocess.Popen[str]) -> int:
    process.send_signal(signal.SIGTERM)
    return process.wait(TIMEOUT_S)


@pytest.fixture
def processes(tmp_path: Path) -> Iterator[Processes]:
    started = Processes(tmp_path)
    try:
        yield started
    finally:
        started.close()


def first_line(process: subprocess.Popen[str]) -> str:
    assert process.stdout is not None
    return process.stdout.readline()


def test_platform_logs_the_recorded_keys(processes, tmp_path):
    listen, discovery = processes.reserve(2)  # nobody answers as discovery
    config = json.loads((ROOT / "deploy/platform-example.json").read_text())
    config |= {"listen": listen, "discovery": discovery}
    path = tmp_path / "config.json"
    path.write_text(json.dumps(config))
    platform = processes.start("platform", "platform", BALANCER_CONFIG=str(path))
    wait_until(lambda: "listening" in processes.log("platform"))
    platform.send_signal(signal.SIGHUP)
    wait_until(lambda: "configuration reloaded" in processes.log("platform"))
    path.write_text("{")
    platform.send_signal(signal.SIGHUP)
    wait_until(lambda: "configuration reload refused" in processes.log("platform"))
    assert stop(platform) == 0
    assert processes.log("platform") == RECORDED["platform"]


def test_fleet_status_has_the_recorded_keys(processes, tmp_path):
    port = first_line(processes.start("register", "standin", "register")).split()[1]
    register = f"127.0.0.1:{port}"
    listens, places = (processes.reserve(2) for _ in range(2))
    files, dispatchers = [], []
    for number in range(2):
        file = tmp_path / f"d{number}.rec"
        file.write_text(
            SITE.format(
                number=number,
                listen=listens[number],
                register=register,
                place=places[number],
                contacts=json.dumps(places),
                folder=tmp_path,
            )
        )
        files.append(file)
    command("fleet", "found", str(files[0]))
    for number in range(2):
        dispatchers.append(processes.start(f"d{number}", "serve", str(files[number])))
        assert "listening" in first_line(dispatchers[number])

    def status(number: int) -> dict[str, Any]:
        return json.loads(command("fleet", "status", places[number], "--json") or "{}")

    wait_until(lambda: status(0).get("living") == 2 and bool(status(0)["council"]["leases"]))
    wait_until(lambda: bool(status(0)["leases"] or status(1)["leases"]))
    change = tmp_path / "change.rec"
    change.write_text(CHANGE)
    wait_until(lambda: "1" in command("fleet", "config", "put", str(change), "--at", places[1]))
    wait_until(lambda: all(status(number)["config"]["stage"] == 3 for number in range(2)))

    def admin(request: AdminRequest, number: int) -> Any:
        return keys(asyncio.run(send_admin_request(places[number], request, TIMEOUT_S)))

    assert admin(PutRequest("id-2", CHANGE, "a test", 1), 0) == RECORDED["admin"]["put"]
    assert admin(ShowRequest(1), 1) == RECORDED["admin"]["show"]
    assert stop(dispatchers.pop()) == 0
    assert admin(MissingRequest(3), 0) == RECORDED["admin"]["missing"]
    dispatchers.append(processes.start("d1", "serve", str(files[1])))
    assert "listening" in first_line(dispatchers[1])
    wait_until(lambda: status(0)["living"] == 2 and status(1).get("config", {}).get("number") == 2)
    wait_until(lambda: bool(status(1)["members"][0]["version"]))
    answers = [status(number) for number in range(2)]
    for answer in answers:  # either may hold the lease, none or both; dropped messages depend on timing
        answer["leases"] = {}
        answer["counts"] = {key: 0 for key in answer["counts"] if not key.startswith("dropped_")}
    assert [keys(answer) for answer in answers] == RECORDED["status"]
    assert [stop(one) for one in dispatchers] == [0, 0]
    logged = merged(processes.log("d0"), processes.log("d1"))
    assert EVENTS_BY_TIMING.issuperset(logged.keys() - RECORDED["logs"].keys())
    assert EVENTS_BY_TIMING.issuperset(RECORDED["logs"].keys() - logged.keys())
    assert {event: RECORDED["logs"].get(event, names) for event, names in logged.items()} == logged
