"""Commands, options with their defaults, exit codes, and the form of a log line."""

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
    """Each command's arguments: names, whether it has to be given, its default."""
    found: dict[str, list[Any]] = {}
    for name in sorted(one for one in within if not one.startswith("-")):
        command = within[name]
        here = f"{path} {name}".strip()
        if command.default_command is not None:
            found[here] = [
                [list(one.names), one.required, str(one.field_info.default)]
                for one in command.assemble_argument_collection()
            ]
        found |= commands(command, here)
    return found


def exit_code(words: list[str], folder: Path) -> int:
    filled = [word.format(root=ROOT, folder=folder, golden=golden.FOLDER) for word in words]
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


@pytest.mark.parametrize("one", RECORDED["exit_codes"], ids=lambda one: " ".join(one["words"]))
def test_exit_code_is_the_recorded_one(one, tmp_path):
    (tmp_path / "wrong.rec").write_text("place: 3\n")
    assert exit_code(one["words"], tmp_path) == one["code"]


def test_exit_codes_of_a_dispatcher_are_the_recorded_ones():
    assert [lifecycle.EXIT_CLEAN, lifecycle.EXIT_BROKEN, lifecycle.EXIT_FORCED] == RECORDED["ends"]


def test_log_line_has_the_recorded_form(capsys):
    plain_log(dispatcher="d-1")("some event", count=3, part=0.5, why="text", nothing=None, names=["a"])
    line = capsys.readouterr().err
    assert re.sub(r"\d{4}-\d\d-\d\dT\d\d:\d\d:\d\dZ", "TIME", line) == RECORDED["log_line"]
    assert [*json.loads(line)] == RECORDED["log_keys"]
