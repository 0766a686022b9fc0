"""How KNOWN-RED.txt changes the result of a test run, in a folder with tests of its own.

Guards against a list that hides tests which are not listed, or that keeps entries of tests which pass, are
missing or never run. Checked in one process, with workers, and over all calls of script/pytest.
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


def run_in_folder(
    folder: Path, tests: str, listed: str | None, command: list[str]
) -> subprocess.CompletedProcess[str]:
    (folder / "test_it.py").write_text(tests)
    (folder / "pytest.ini").write_text("[pytest]\nmarkers =\n    long\n    few\n    alone\n")
    if listed is not None:
        (folder / "KNOWN-RED.txt").write_text(listed)
    return subprocess.run(
        command,
        cwd=folder,
        env={
            **os.environ,
            "PYTHONPATH": str(HERE),
            "PYTHON": sys.executable,
            "PYTEST_XDIST_AUTO_NUM_WORKERS": "2",
            "PYTEST_DISABLE_PLUGIN_AUTOLOAD": "1",  # each plugin adds to the start of each call
        },
        capture_output=True,
        text=True,
        check=False,
    )


def run(folder: Path, listed: str | None, *more: str) -> subprocess.CompletedProcess[str]:
    return run_in_folder(
        folder, TESTS, listed, [sys.executable, "-m", "pytest", *PLUGINS, "--known-red", *more]
    )


Done = subprocess.CompletedProcess[str]


def run_all_calls(folder: Path, listed: str | None, *tests: tuple[str, str, bool]) -> Done:
    """Run script/pytest over tests, each given by its name, its mark and whether it passes."""
    text = "import pytest\n"
    for name, mark, green in tests:
        text += f"\n@pytest.mark.{mark}\n" if mark else "\n"
        text += f"def test_{name}():\n    assert {green}\n"
    return run_in_folder(folder, text, listed, [str(HERE.parent / "script" / "pytest"), *PLUGINS])


def counts(done: subprocess.CompletedProcess[str]) -> list[dict[str, int]]:
    """Return the counts in the closing line of each call of pytest, without deselected tests."""
    lines = re.findall(r"^=+ (.*) in [0-9.]+s =+$", done.stdout, re.MULTILINE)
    found = [{kind: int(count) for count, kind in re.findall(r"(\d+) (\w+)", line)} for line in lines]
    return [{kind: count for kind, count in one.items() if kind != "deselected"} for one in found]


@pytest.mark.parametrize("workers", WORKERS)
def test_listed_test_that_fails_is_reported_and_does_not_fail_the_run(tmp_path, workers):
    done = run(tmp_path, RED, *workers)
    assert done.returncode == 0 and "1 passed, 1 xfailed" in done.stdout
    assert "known red: test_it.py::test_red: a fault (issue 36)" in done.stdout


@pytest.mark.parametrize("listed", [None, "", "\n"])
def test_failing_test_that_is_not_listed_fails_the_run(tmp_path, listed):
    done = run(tmp_path, listed)
    assert done.returncode == 1 and "1 failed, 1 passed" in done.stdout and "known red" not in done.stdout


@pytest.mark.parametrize("workers", WORKERS)
def test_listed_test_that_passes_fails_the_run(tmp_path, workers):
    done = run(tmp_path, RED + "test_it.py::test_green | a fault | 36\n", *workers)
    assert done.returncode == 1 and "1 failed, 1 xfailed" in done.stdout


@pytest.mark.parametrize("workers", WORKERS)
@pytest.mark.parametrize(
    "listed, message",
    [
        (RED + "test_it.py::test_gone | a fault | 36\n", "no test here: test_it.py::test_gone"),
        (RED + "".join(f"test_it.py::test_{n} | a fault | 36\n" for n in range(3)), "more than 3"),
        ("test_it.py::test_red | a fault\n", "line 1"),
        ("test_it.py::test_red | | 36\n", "line 1"),
    ],
)
def test_wrong_list_fails_the_run(tmp_path, listed, message, workers):
    done = run(tmp_path, listed, *workers)
    assert done.returncode not in (0, 1) and message in done.stdout + done.stderr


BESIDE, FEW, ALONE = CALLS = ("beside", "", True), ("few", "few", True), ("alone", "alone", True)


def test_each_call_runs_its_own_tests_and_no_long_ones(tmp_path):
    marks = "", "few\n@pytest.mark.", "alone\n@pytest.mark."
    long = [(f"late_{at}", f"{mark}long", False) for at, mark in enumerate(marks)]
    done = run_all_calls(tmp_path, None, *CALLS, *long)
    assert done.returncode == 0 and counts(done) == [{"passed": 1}] * 3


@pytest.mark.parametrize("red", range(3))
def test_one_failing_call_fails_the_run_and_the_others_still_run(tmp_path, red):
    tests = [(name, mark, at != red) for at, (name, mark, _) in enumerate(CALLS)]
    done = run_all_calls(tmp_path, None, *tests)
    assert done.returncode == 1
    assert counts(done) == [{"failed": 1} if at == red else {"passed": 1} for at in range(3)]
    endings = ["with 1" if at == red else "with 0" for at in range(3)]
    assert f"{endings[0]}, a few at a time {endings[1]}, in a row {endings[2]}" in done.stdout


@pytest.mark.parametrize("lacks", CALLS)
def test_call_without_tests_fails_the_run(tmp_path, lacks):
    done = run_all_calls(tmp_path, None, *(one for one in CALLS if one is not lacks))
    assert done.returncode == 1 and done.stdout.count("with 5") == 1


def test_listed_tests_of_all_calls_are_found_and_reported_once(tmp_path):
    reds = ("red", "", False), ("one", "alone", False), ("two", "few", False)
    listed = "".join(f"test_it.py::test_{name} | a fault | 36\n" for name, _, _ in reds)
    done = run_all_calls(tmp_path, listed, *CALLS, *reds)
    assert done.returncode == 0 and counts(done) == [{"passed": 1, "xfailed": 1}] * 3
    assert done.stdout.count("known red: ") == 3


@pytest.mark.parametrize("mark", ["long", "skip"])
def test_listed_test_that_no_call_runs_fails_the_run(tmp_path, mark):
    listed = "test_it.py::test_red | a fault | 36\n"
    done = run_all_calls(tmp_path, listed, *CALLS, ("red", mark, False))
    assert done.returncode == 1 and "test_it.py::test_red" in done.stdout
