"""The deploy file against the standing test's terms, without the bench: what `run` starts and imports."""

from __future__ import annotations

import asyncio
import json
import os
import signal
import tomllib
from collections.abc import Coroutine
from pathlib import Path
from typing import Any

from support.platform_site import SETTINGS, RawClient, client_request
from support.port_reservation import release, reserve

from cherrygrade.platform.process import READY_MS
from cherrygrade.standin.web import WebDiscovery, WebNode

ROOT = Path(__file__).parents[2]
DEPLOY = tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text())
# Python reads this file by itself at its start: every call that the page refuses, and every socket, is noted.
NOTES = """
import atexit, json, os, sys
noted = {"calls": [], "families": [], "bound": []}
REFUSED = {"os.fork", "os.forkpty", "os.posix_spawn", "os.spawn", "os.system", "os.exec", "subprocess.Popen"}
def hook(event, parts):
    if event in REFUSED:
        noted["calls"].append(event)
    elif event == "socket.__new__":
        noted["families"].append([int(parts[1]), int(parts[2])])
    elif event in ("socket.bind", "socket.connect"):
        noted["bound"].append(list(parts[1]) if isinstance(parts[1], tuple) else [repr(parts[1])])
sys.addaudithook(hook)
def stopped(name):
    def call(*parts):
        noted["calls"].append(name)
        raise OSError(38, name)
    return call
for name in ("sendfile", "splice"):
    setattr(os, name, stopped("os." + name))
def write():
    noted["modules"] = sorted(name for name in sys.modules)
    with open(os.environ["NOTED"], "w") as file:
        json.dump(noted, file)
atexit.register(write)
"""
OFF = ("multiprocessing", "structlog", "cyclopts", "rich", "numpy", "msgspec", "lark")
OFF_HERE = ("fleet", "lab", "standin", "wire", "client", "extents", "records", "gateway.process")


class Started:
    """What /proc showed while it ran, what it noted of itself, and how it ended."""

    noted: dict[str, Any]
    program: str
    children: str
    maps: str
    sockets: list[str]
    code: int
    answers: list[int]


def tables() -> dict[str, str]:
    """Inodes of all sockets of the system, by kind; of a Unix one its path and whether it listens too."""
    found = {}
    for kind in ("tcp", "udp", "tcp6", "udp6"):
        for line in Path(f"/proc/net/{kind}").read_text().splitlines()[1:]:
            found[line.split()[9]] = kind
    for line in Path("/proc/net/unix").read_text().splitlines()[1:]:
        parts = line.split()
        named = parts[7] if len(parts) > 7 else ""
        found[parts[6]] = f"unix {named}" if named or int(parts[3], 16) & 0x10000 else "unix pair"
    return found


async def one_life(folder: Path) -> Started:
    node, discovery, told = WebNode("s-0", 0), WebDiscovery(), Started()
    await node.open()
    await discovery.open()
    discovery.tell(node.entry())
    place = reserve(1)[0]
    port = int(place.rpartition(":")[2])
    config = {"name": "n0", "listen": place, "discovery": discovery.address, "seed": "8c"}
    config |= {"settings": SETTINGS, "known": {"seq": 1, "whole": True, "hosts": [node.entry()]}}
    (folder / "config.json").write_text(json.dumps(config))
    (folder / "sitecustomize.py").write_text(NOTES)
    env = os.environ | {"BALANCER_CONFIG": str(folder / "config.json"), "NOTED": str(folder / "noted.json")}
    process = await asyncio.create_subprocess_exec(
        "/bin/sh", "-c", DEPLOY["run"], cwd=ROOT, env=env | {"PYTHONPATH": str(folder)},
        stderr=asyncio.subprocess.PIPE,
    )  # fmt: skip
    assert process.stderr is not None
    try:
        while b'"listening"' not in (line := await asyncio.wait_for(process.stderr.readline(), 10.0)):
            assert line, "it ended before it listened"
        drain = asyncio.create_task(process.stderr.read())
        caller = RawClient(*await asyncio.open_connection("127.0.0.1", port))
        told.answers = []
        for _ in range(3):
            answer = await caller.exchange(client_request())
            told.answers.append(answer.status if answer else 0)
            process.send_signal(signal.SIGHUP)
        here = Path(f"/proc/{process.pid}")
        told.program, told.maps = os.readlink(here / "exe"), (here / "maps").read_text()
        told.children = "".join(task.read_text() for task in here.glob("task/*/children"))
        links = [os.readlink(file) for file in (here / "fd").iterdir()]
        known = tables()
        told.sockets = [known.get(link[8:-1], "other") for link in links if link.startswith("socket:")]
        caller.writer.close()
        process.send_signal(signal.SIGTERM)
        told.code = await asyncio.wait_for(process.wait(), 8.0)
        await drain
        told.noted = json.loads((folder / "noted.json").read_text())
        return told
    finally:
        if process.returncode is None:
            process.kill()
            await process.wait()
        node.close()
        discovery.close()
        release(place)


def run_case(life: Coroutine[Any, Any, Started]) -> Started:
    return asyncio.run(asyncio.wait_for(life, 30.0))


def test_run_is_one_process_without_forbidden_calls_modules_or_sockets(tmp_path):
    told = run_case(one_life(tmp_path))
    assert told.answers == [200, 200, 200] and told.code == 0
    # The shell became the program, it has no child, and the library that the bench loads can be loaded.
    assert "python" in told.program and not told.children.strip()
    assert "libc.so" in told.maps or "libc-" in told.maps
    assert told.noted["calls"] == []
    # TCP over IPv4 alone; the one pair without a name is the event loop's, by which signals wake it.
    assert sorted({*told.sockets}) == ["tcp", "unix pair"] and told.sockets.count("unix pair") == 2
    assert {family for family, _ in told.noted["families"]} == {1, 2}
    assert all(len(place) == 2 for place in told.noted["bound"])

    modules = told.noted["modules"]
    ours = {name for name in modules if name.split(".")[0] == "cherrygrade"}
    off = [name for name in modules if name.startswith(OFF)]
    off += [name for name in ours if name.removeprefix("cherrygrade.").startswith(OFF_HERE)]
    assert off == []
    # What the operators hold for the dispatcher is all that it runs from, and nothing beside.
    named = [*DEPLOY["node"], *DEPLOY["policy"]]
    files = {"cherrygrade/__main__.py", *(file_of(name) for name in ours)}
    assert {file for file in files if not file.startswith(tuple(named))} == set()
    assert {path for path in named if not any(file.startswith(path) for file in files)} == set()


SHARE = 0.25  # of a core, which the bench's clock divides processor time by; what a slow start may get


async def silent_start(folder: Path) -> tuple[float, float, list[int]]:
    """When `run` answered GET /ready with 200 while discovery was silent from the start: s of real time and
    of processor time since the process began, and the answers of /ready before."""
    node, discovery = WebNode("s-0", 0), WebDiscovery()
    discovery.down = True
    await node.open()
    await discovery.open()
    discovery.tell(node.entry())
    hold = await asyncio.start_server(lambda *_: None, "127.0.0.1", 0)
    port = hold.sockets[0].getsockname()[1]
    hold.close()
    config = {"name": "n0", "listen": f"127.0.0.1:{port}", "discovery": discovery.address, "seed": "8c"}
    config |= {"settings": SETTINGS, "known": {"seq": 1, "whole": True, "hosts": [node.entry()]}}
    (folder / "config.json").write_text(json.dumps(config))
    loop, answers = asyncio.get_running_loop(), list[int]()
    began = loop.time()
    process = await asyncio.create_subprocess_exec(
        "/bin/sh", "-c", DEPLOY["run"], cwd=ROOT, stderr=asyncio.subprocess.DEVNULL,
        env=os.environ | {"BALANCER_CONFIG": str(folder / "config.json")},
    )  # fmt: skip
    try:
        while answers[-1:] != [200] and loop.time() - began < 15.0:
            await asyncio.sleep(0.1)
            try:
                caller = RawClient(*await asyncio.open_connection("127.0.0.1", port))
            except ConnectionError:
                continue
            answer = await caller.exchange(b"GET /ready HTTP/1.1\r\nHost: a\r\n\r\n")
            answers.append(answer.status if answer else 0)
            caller.writer.close()
        took = loop.time() - began
        times = Path(f"/proc/{process.pid}/stat").read_text().rpartition(")")[2].split()[11:13]
        caller = RawClient(*await asyncio.open_connection("127.0.0.1", port))
        told = await caller.exchange(client_request())
        assert told is not None and told.status == 503 and told.fields[b"retry-after"] and not node.came
        caller.writer.close()
        return took, sum(map(int, times)) / os.sysconf("SC_CLK_TCK"), answers
    finally:
        if process.returncode is None:
            process.kill()
        await process.wait()
        node.close()
        discovery.close()


def test_a_restarted_process_is_ready_within_6_s_of_its_start_with_discovery_silent(tmp_path):
    # Interpreter and imports count. By the bench's clock they take their processor time over the share of a
    # core; what is left of the 6 s is READY_MS, and nothing was sent meanwhile.
    took, used, answers = asyncio.run(asyncio.wait_for(silent_start(tmp_path), 30.0))
    assert answers[-1] == 200 and {*answers[:-1]} == {503}
    assert READY_MS / 1000.0 <= took
    assert READY_MS / 1000.0 + used / SHARE <= 6.0, (took, used)


def file_of(module: str) -> str:
    """Beneath the root."""
    path = module.replace(".", "/")
    return f"{path}/__init__.py" if (ROOT / path).is_dir() else f"{path}.py"


def test_build_runs_as_an_ordinary_user_and_writes_only_below_its_folder():
    assert "sudo" not in DEPLOY["build"] and "apt" not in DEPLOY["build"] and DEPLOY["packages"] == []
    assert DEPLOY["run"].startswith("exec ") and DEPLOY["sim"].startswith("exec ")
    for key in ("node", "policy"):
        assert all((ROOT / path).exists() for path in DEPLOY[key])
