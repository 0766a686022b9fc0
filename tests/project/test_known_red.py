"""What KNOWN-RED.txt does to a run, played on a folder with tests of its own: in one process, between
workers, and over all calls of script/pytest.
"""

from __future__ import annotations

import os
import re
import subprocess
import sys
from pathlib import Path

import pytest

HERE = Path(__file__).parents[1]
TESTS = "def test_red():\n    assert False\n\ndef test_green():\n    pass\n"
RED = "test_it.py::test_red | a fault | 36\n"


WORKERS = [[], ["-n", "2"]]
PLUGINS = ["-p", "xdist.plugin", "-p", "support.known_red", "-p", "no:cacheprovider"]


def lay(folder: Path, tests: str, listed: str | None, line: list[str]) -> subprocess.CompletedProcess[str]:
    (folder / "test_it.py").write_text(tests)
    (folder / "pytest.ini").write_text("[pytest]\nmarkers =\n    long\n    few\n    alone\n")
    if listed is not None:
        (folder / "KNOWN-RED.txt").write_text(listed)
    return subprocess.run(
        line,
        cwd=folder,
        env={
            **os.environ,
            "PYTHONPATH": str(HERE),
            "PYTHON": sys.executable,
            "PYTEST_XDIST_AUTO_NUM_WORKERS": "2",
            "PYTEST_DISABLE_PLUGIN_AUTOLOAD": "1",  # none but these: a start is most of what a call costs
        },
        capture_output=True,
        text=True,
        check=False,
    )


def run(folder: Path, listed: str | None, *more: str) -> subprocess.CompletedProcess[str]:
    return lay(folder, TESTS, listed, [sys.executable, "-m", "pytest", *PLUGINS, "--known-red", *more])


Done = subprocess.CompletedProcess[str]


def all_calls(folder: Path, listed: str | None, *tests: tuple[str, str, bool]) -> Done:
    """All calls over tests, each of a name, a mark and whether it is green."""
    text = "import pytest\n"
    for name, mark, green in tests:
        text += f"\n@pytest.mark.{mark}\n" if mark else "\n"
        text += f"def test_{name}():\n    assert {green}\n"
    return lay(folder, text, listed, [str(HERE.parent / "script" / "pytest"), *PLUGINS])


def counts(done: subprocess.CompletedProcess[str]) -> list[dict[str, int]]:
    """What each call's closing line says, but for what the other calls play."""
    lines = re.findall(r"^=+ (.*) in [0-9.]+s =+$", done.stdout, re.MULTILINE)
    found = [{kind: int(count) for count, kind in re.findall(r"(\d+) (\w+)", line)} for line in lines]
    return [{kind: count for kind, count in one.items() if kind != "deselected"} for one in found]


@pytest.mark.parametrize("workers", WORKERS)
def test_a_listed_test_is_passed_over_and_told(tmp_path, workers):
    done = run(tmp_path, RED, *workers)
    assert done.returncode == 0 and "1 passed, 1 xfailed" in done.stdout
    assert "known red: test_it.py::test_red: a fault (issue 36)" in done.stdout


@pytest.mark.parametrize("listed", [None, "", "\n"])
def test_without_a_line_a_test_that_fails_is_red(tmp_path, listed):
    done = run(tmp_path, listed)
    assert done.returncode == 1 and "1 failed, 1 passed" in done.stdout and "known red" not in done.stdout


@pytest.mark.parametrize("workers", WORKERS)
def test_a_listed_test_that_passes_is_red(tmp_path, workers):
    done = run(tmp_path, RED + "test_it.py::test_green | a fault | 36\n", *workers)
    assert done.returncode == 1 and "1 failed, 1 xfailed" in done.stdout


@pytest.mark.parametrize("workers", WORKERS)
@pytest.mark.parametrize(
    "listed, why",
    [
        (RED + "test_it.py::test_gone | a fault | 36\n", "no test here: test_it.py::test_gone"),
        (RED + "".join(f"test_it.py::test_{n} | a fault | 36\n" for n in range(3)), "more than 3"),
        ("test_it.py::test_red | a fault\n", "line 1"),
        ("test_it.py::test_red | | 36\n", "line 1"),
    ],
)
def test_one_that_is_not_found_a_fourth_line_and_a_line_without_its_cause_are_red(
    tmp_path, listed, why, workers
):
    done = run(tmp_path, listed, *workers)
    assert done.returncode not in (0, 1) and why in done.stdout + done.stderr


BESIDE, FEW, ALONE = CALLS = ("beside", "", True), ("few", "few", True), ("alone", "alone", True)


def test_each_call_runs_its_own_tests_once_and_nothing_that_is_long(tmp_path):
    marks = "", "few\n@pytest.mark.", "alone\n@pytest.mark."
    long = [(f"late_{at}", f"{mark}long", False) for at, mark in enumerate(marks)]
    done = all_calls(tmp_path, None, *CALLS, *long)
    assert done.returncode == 0 and counts(done) == [{"passed": 1}] * 3


@pytest.mark.parametrize("red", range(3))
def test_any_call_is_enough_to_be_red_and_the_others_are_played_all_the_same(tmp_path, red):
    tests = [(name, mark, at != red) for at, (name, mark, _) in enumerate(CALLS)]
    done = all_calls(tmp_path, None, *tests)
    assert done.returncode == 1
    assert counts(done) == [{"failed": 1} if at == red else {"passed": 1} for at in range(3)]
    told = ["with 1" if at == red else "with 0" for at in range(3)]
    assert f"{told[0]}, a few at a time {told[1]}, in a row {told[2]}" in done.stdout


@pytest.mark.parametrize("lacks", CALLS)
def test_a_call_that_finds_no_test_is_red(tmp_path, lacks):
    done = all_calls(tmp_path, None, *(one for one in CALLS if one is not lacks))
    assert done.returncode == 1 and done.stdout.count("with 5") == 1


def test_a_listed_test_is_found_in_any_call_and_told_once(tmp_path):
    reds = ("red", "", False), ("one", "alone", False), ("two", "few", False)
    listed = "".join(f"test_it.py::test_{name} | a fault | 36\n" for name, _, _ in reds)
    done = all_calls(tmp_path, listed, *CALLS, *reds)
    assert done.returncode == 0 and counts(done) == [{"passed": 1, "xfailed": 1}] * 3
    assert done.stdout.count("known red: ") == 3


@pytest.mark.parametrize("mark", ["long", "skip"])
def test_a_listed_test_that_no_call_plays_is_red(tmp_path, mark):
    listed = "test_it.py::test_red | a fault | 36\n"
    done = all_calls(tmp_path, listed, *CALLS, ("red", mark, False))
    assert done.returncode == 1 and "test_it.py::test_red" in done.stdout
