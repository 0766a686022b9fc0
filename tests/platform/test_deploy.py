"""Tests that the deploy file meets the platform's terms for processes, system calls, modules and sockets."""

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

from cherrygrade.platform.process import READY_WITHOUT_ENDPOINTS_MS
from cherrygrade.standin.web import WebDiscovery, WebNode

ROOT = Path(__file__).parents[2]
DEPLOY = tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text())
# Source of a sitecustomize.py, which Python imports at its start; it records forbidden calls and all sockets.
AUDIT_HOOK = """
import atexit, json, os, sys
record = {"calls": [], "families": [], "bound": []}
FORBIDDEN = {
    "os.fork", "os.forkpty", "os.posix_spawn", "os.spawn", "os.system", "os.exec", "subprocess.Popen",
}
def hook(event, args):
    if event in FORBIDDEN:
        record["calls"].append(event)
    elif event == "socket.__new__":
        record["families"].append([int(args[1]), int(args[2])])
    elif event in ("socket.bind", "socket.connect"):
        record["bound"].append(list(args[1]) if isinstance(args[1], tuple) else [repr(args[1])])
sys.addaudithook(hook)
def forbidden_call(name):
    def call(*args):
        record["calls"].append(name)
        raise OSError(38, name)
    return call
for name in ("sendfile", "splice"):
    setattr(os, name, forbidden_call("os." + name))
def write():
    record["modules"] = sorted(name for name in sys.modules)
    with open(os.environ["AUDIT_PATH"], "w") as file:
        json.dump(record, file)
atexit.register(write)
"""
FORBIDDEN_MODULES = ("multiprocessing", "structlog", "cyclopts", "rich", "numpy", "msgspec", "lark")
FORBIDDEN_PACKAGES = ("fleet", "lab", "standin", "wire", "client", "extents", "records", "gateway.process")


class ProcessReport:
    """What /proc showed of a running process, what its audit hook recorded, and how the process ended."""

    audit: dict[str, Any]
    executable: str
    children: str
    maps: str
    sockets: list[str]
    code: int
    answers: list[int]


def sockets_by_inode() -> dict[str, str]:
    """Return the kind of each socket of the system by its inode.

    The kind of a Unix socket is "unix pair" if it has no path and does not listen, else "unix" and its path.
    """
    found = {}
    for kind in ("tcp", "udp", "tcp6", "udp6"):
        for line in Path(f"/proc/net/{kind}").read_text().splitlines()[1:]:
            found[line.split()[9]] = kind
    for line in Path("/proc/net/unix").read_text().splitlines()[1:]:
        parts = line.split()
        path = parts[7] if len(parts) > 7 else ""
        found[parts[6]] = f"unix {path}" if path or int(parts[3], 16) & 0x10000 else "unix pair"
    return found


async def run_process(folder: Path) -> ProcessReport:
    """Run the dispatcher by the deploy file, send requests and SIGHUPs, stop it, and report what it did."""
    node, discovery, report = WebNode("s-0", 0), WebDiscovery(), ProcessReport()
    await node.open()
    await discovery.open()
    discovery.publish(node.entry())
    address = reserve(1)[0]
    port = int(address.rpartition(":")[2])
    config = {"name": "n0", "listen": address, "discovery": discovery.address, "seed": "8c"}
    config |= {"settings": SETTINGS, "known": {"seq": 1, "whole": True, "hosts": [node.entry()]}}
    (folder / "config.json").write_text(json.dumps(config))
    (folder / "sitecustomize.py").write_text(AUDIT_HOOK)
    env = os.environ | {
        "BALANCER_CONFIG": str(folder / "config.json"),
        "AUDIT_PATH": str(folder / "audit.json"),
    }
    process = await asyncio.create_subprocess_exec(
        "/bin/sh", "-c", DEPLOY["run"], cwd=ROOT, env=env | {"PYTHONPATH": str(folder)},
        stderr=asyncio.subprocess.PIPE,
    )  # fmt: skip
    assert process.stderr is not None
    try:
        while b'"listening"' not in (line := await asyncio.wait_for(process.stderr.readline(), 10.0)):
            assert line, "the process ended before it listened"
        drain = asyncio.create_task(process.stderr.read())
        client = RawClient(*await asyncio.open_connection("127.0.0.1", port))
        report.answers = []
        for _ in range(3):
            answer = await client.exchange(client_request())
            report.answers.append(answer.status if answer else 0)
            process.send_signal(signal.SIGHUP)
        proc = Path(f"/proc/{process.pid}")
        report.executable, report.maps = os.readlink(proc / "exe"), (proc / "maps").read_text()
        report.children = "".join(task.read_text() for task in proc.glob("task/*/children"))
        links = [os.readlink(file) for file in (proc / "fd").iterdir()]
        kinds = sockets_by_inode()
        report.sockets = [kinds.get(link[8:-1], "other") for link in links if link.startswith("socket:")]
        client.writer.close()
        process.send_signal(signal.SIGTERM)
        report.code = await asyncio.wait_for(process.wait(), 8.0)
        await drain
        report.audit = json.loads((folder / "audit.json").read_text())
        return report
    finally:
        if process.returncode is None:
            process.kill()
            await process.wait()
        node.close()
        discovery.close()
        release(address)


def run_with_timeout(run: Coroutine[Any, Any, ProcessReport]) -> ProcessReport:
    return asyncio.run(asyncio.wait_for(run, 30.0))


def test_run_is_one_process_without_forbidden_calls_modules_or_sockets(tmp_path):
    report = run_with_timeout(run_process(tmp_path))
    assert report.answers == [200, 200, 200] and report.code == 0
    # The shell was replaced by Python, which has no child. The library that the platform loads needs libc.
    assert "python" in report.executable and not report.children.strip()
    assert "libc.so" in report.maps or "libc-" in report.maps
    assert report.audit["calls"] == []
    # Only TCP over IPv4, and a pair of Unix sockets through which signals wake the event loop.
    assert sorted({*report.sockets}) == ["tcp", "unix pair"] and report.sockets.count("unix pair") == 2
    assert {family for family, _ in report.audit["families"]} == {1, 2}
    assert all(len(bound) == 2 for bound in report.audit["bound"])

    modules = report.audit["modules"]
    own_modules = {name for name in modules if name.split(".")[0] == "cherrygrade"}
    forbidden = [name for name in modules if name.startswith(FORBIDDEN_MODULES)]
    forbidden += [
        name for name in own_modules if name.removeprefix("cherrygrade.").startswith(FORBIDDEN_PACKAGES)
    ]
    assert forbidden == []
    # The deploy file lists exactly the paths from which the dispatcher runs.
    listed = [*DEPLOY["node"], *DEPLOY["policy"]]
    files = {"cherrygrade/__main__.py", *(path_of_module(name) for name in own_modules)}
    assert {file for file in files if not file.startswith(tuple(listed))} == set()
    assert {path for path in listed if not any(file.startswith(path) for file in files)} == set()


# Share of a core that a slow start may get. The platform's clock is processor time divided by this share.
CORE_SHARE = 0.25


async def start_without_discovery(folder: Path) -> tuple[float, float, list[int]]:
    """Start `run` with a silent discovery, and wait until GET /ready is answered with 200.

    Returns:
        Real time and processor time since the start, in s, and the status codes of all answers to GET /ready.
    """
    node, discovery = WebNode("s-0", 0), WebDiscovery()
    discovery.down = True
    await node.open()
    await discovery.open()
    discovery.publish(node.entry())
    port_holder = await asyncio.start_server(lambda *_: None, "127.0.0.1", 0)
    port = port_holder.sockets[0].getsockname()[1]
    port_holder.close()
    config = {"name": "n0", "listen": f"127.0.0.1:{port}", "discovery": discovery.address, "seed": "8c"}
    config |= {"settings": SETTINGS, "known": {"seq": 1, "whole": True, "hosts": [node.entry()]}}
    (folder / "config.json").write_text(json.dumps(config))
    loop, answers = asyncio.get_running_loop(), list[int]()
    started_s = loop.time()
    process = await asyncio.create_subprocess_exec(
        "/bin/sh", "-c", DEPLOY["run"], cwd=ROOT, stderr=asyncio.subprocess.DEVNULL,
        env=os.environ | {"BALANCER_CONFIG": str(folder / "config.json")},
    )  # fmt: skip
    try:
        while answers[-1:] != [200] and loop.time() - started_s < 15.0:
            await asyncio.sleep(0.1)
            try:
                client = RawClient(*await asyncio.open_connection("127.0.0.1", port))
            except ConnectionError:
                continue
            answer = await client.exchange(b"GET /ready HTTP/1.1\r\nHost: a\r\n\r\n")
            answers.append(answer.status if answer else 0)
            client.writer.close()
        real_s = loop.time() - started_s
        times = Path(f"/proc/{process.pid}/stat").read_text().rpartition(")")[2].split()[11:13]
        client = RawClient(*await asyncio.open_connection("127.0.0.1", port))
        rejection = await client.exchange(client_request())
        assert (
            rejection is not None
            and rejection.status == 503
            and rejection.fields[b"retry-after"]
            and not node.received
        )
        client.writer.close()
        return real_s, sum(map(int, times)) / os.sysconf("SC_CLK_TCK"), answers
    finally:
        if process.returncode is None:
            process.kill()
        await process.wait()
        node.close()
        discovery.close()


def test_a_restarted_process_is_ready_within_6_s_of_its_start_with_discovery_silent(tmp_path):
    # The 6 s include the start of the interpreter and the imports. By the platform's clock these take their
    # processor time divided by CORE_SHARE. READY_WITHOUT_ENDPOINTS_MS follows; nothing is sent to a node.
    real_s, processor_s, answers = asyncio.run(asyncio.wait_for(start_without_discovery(tmp_path), 30.0))
    assert answers[-1] == 200 and {*answers[:-1]} == {503}
    assert READY_WITHOUT_ENDPOINTS_MS / 1000.0 <= real_s
    assert READY_WITHOUT_ENDPOINTS_MS / 1000.0 + processor_s / CORE_SHARE <= 6.0, (real_s, processor_s)


def path_of_module(module: str) -> str:
    """Return the file of a module, relative to the root of the repository."""
    path = module.replace(".", "/")
    return f"{path}/__init__.py" if (ROOT / path).is_dir() else f"{path}.py"


def test_build_runs_as_an_ordinary_user_and_writes_only_below_its_folder():
    assert "sudo" not in DEPLOY["build"] and "apt" not in DEPLOY["build"] and DEPLOY["packages"] == []
    assert DEPLOY["run"].startswith("exec ") and DEPLOY["sim"].startswith("exec ")
    for key in ("node", "policy"):
        assert all((ROOT / path).exists() for path in DEPLOY[key])
