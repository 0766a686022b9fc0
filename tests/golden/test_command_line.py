"""Commands, options, defaults, exit codes and log lines that operators' tools depend on are as recorded."""

from __future__ import annotations

import json
import re
import subprocess
import sys
from pathlib import Path
from typing import Any

import pytest
from cyclopts import App
from support import golden

from cherrygrade.cli import app
from cherrygrade.gateway import lifecycle
from cherrygrade.logs import plain_log

ROOT = Path(__file__).parent.parent.parent
RECORDED = golden.load("command_line")


def commands(within: App = app, path: str = "") -> dict[str, list[Any]]:
    """Return the arguments of each command: names, whether the argument is required, and its default."""
    found: dict[str, list[Any]] = {}
    for name in sorted(entry for entry in within if not entry.startswith("-")):
        command = within[name]
        command_path = f"{path} {name}".strip()
        if command.default_command is not None:
            found[command_path] = [
                [list(argument.names), argument.required, str(argument.field_info.default)]
                for argument in command.assemble_argument_collection()
            ]
        found |= commands(command, command_path)
    return found


def exit_code(arguments: list[str], folder: Path) -> int:
    """Run the command line in a process of its own, and return the exit code."""
    filled = [argument.format(root=ROOT, folder=folder, golden=golden.FOLDER) for argument in arguments]
    done = subprocess.run(
        [sys.executable, "-m", "cherrygrade", *filled],
        cwd=ROOT,
        capture_output=True,
        timeout=60,
        env={"PATH": ""},
    )
    return done.returncode


def test_commands_and_options_are_the_recorded_ones():
    assert commands() == RECORDED["commands"]


@pytest.mark.parametrize("case", RECORDED["exit_codes"], ids=lambda case: " ".join(case["words"]))
def test_exit_code_is_the_recorded_one(case, tmp_path):
    (tmp_path / "wrong.rec").write_text("place: 3\n")
    assert exit_code(case["words"], tmp_path) == case["code"]


def test_exit_codes_of_a_dispatcher_are_the_recorded_ones():
    assert [lifecycle.EXIT_CLEAN, lifecycle.EXIT_BROKEN, lifecycle.EXIT_FORCED] == RECORDED["ends"]


def test_log_line_has_the_recorded_form(capsys):
    plain_log(dispatcher="d-1")("some event", count=3, part=0.5, why="text", nothing=None, names=["a"])
    line = capsys.readouterr().err
    assert re.sub(r"\d{4}-\d\d-\d\dT\d\d:\d\d:\d\dZ", "TIME", line) == RECORDED["log_line"]
    assert [*json.loads(line)] == RECORDED["log_keys"]
