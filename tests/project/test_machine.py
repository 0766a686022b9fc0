"""The program, its laboratory and the scripts change no priorities or limits of any process.

Guards against runs that look better than they are because they take time from other processes. A busy machine
is given fewer things to run at once instead.
"""

from __future__ import annotations

import ast
import re
from pathlib import Path

import pytest

ROOT = Path(__file__).parents[2]
# Functions of os, resource and psutil. The last three are psutil's; without arguments they only read.
CALLS = frozenset(
    "setpriority nice sched_setaffinity sched_setscheduler sched_setparam setrlimit prlimit"
    " ionice cpu_affinity rlimit".split()
)
COMMANDS = frozenset("nice renice ionice taskset chrt ulimit prlimit cgexec numactl cpulimit".split())
ALLOWED: dict[tuple[str, str], str] = {}  # reasons by file and word


def forbidden_in_python(text: str) -> set[str]:
    """Return names, attributes, imports and strings in CALLS, and words of strings in COMMANDS."""
    found = set()
    for node in ast.walk(ast.parse(text)):
        if isinstance(node, ast.Attribute):
            found |= {node.attr} & CALLS
        elif isinstance(node, ast.Name):
            found |= {node.id} & CALLS
        elif isinstance(node, ast.alias):
            found |= {node.name.rpartition(".")[2]} & CALLS
        elif isinstance(node, ast.Constant) and isinstance(node.value, str):
            found |= {node.value} & CALLS | {*re.split(r"[^\w]+", node.value)} & COMMANDS
    return found


def forbidden_in_shell(text: str) -> set[str]:
    return {*re.split(r"[^\w]+", text)} & COMMANDS


def files() -> list[Path]:
    found = [*(ROOT / "cherrygrade").rglob("*.py"), *(ROOT / "script").iterdir(), *(ROOT / ".ci").iterdir()]
    return [file for file in found if file.is_file()]


def forbidden_in(file: Path) -> set[str]:
    text = file.read_text()
    return (
        forbidden_in_python(text)
        if file.suffix == ".py" or "python" in text.partition("\n")[0]
        else forbidden_in_shell(text)
    )


def test_no_priority_or_limit_is_changed():
    found = {(str(file.relative_to(ROOT)), word) for file in files() for word in forbidden_in(file)}
    assert found == ALLOWED.keys()
    assert len(files()) > 100


@pytest.mark.parametrize(
    "text",
    [
        "import os\nos.setpriority(os.PRIO_PROCESS, 0, -15)",
        "from os import nice\nnice(-5)",
        "import os as o\no.sched_setaffinity(0, {1})",
        "import resource\nresource.setrlimit(resource.RLIMIT_NOFILE, (1, 1))",
        "import psutil\npsutil.Process().cpu_affinity([0])",
        "import os\ngetattr(os, 'setpriority')(0, 0, 1)",
        "run(['taskset', '-c', '0', 'x'])",
        "run('/usr/bin/nice -n -5 x', shell=True)",
    ],
)
def test_each_way_to_change_one_is_detected(text):
    assert forbidden_in_python(text)


def test_script_that_changes_one_is_detected():
    assert forbidden_in_shell("#!/bin/sh\nexec nice -n 5 .venv/bin/python x\n") == {"nice"}
    assert forbidden_in_shell("ulimit -n 4096\n") == {"ulimit"}
