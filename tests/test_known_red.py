"""What KNOWN-RED.txt does to a run, played on a folder with two tests of its own."""

from __future__ import annotations

import os
import subprocess
import sys
from pathlib import Path

import pytest

HERE = Path(__file__).parent
TESTS = "def test_red():\n    assert False\n\ndef test_green():\n    pass\n"
RED = "test_it.py::test_red | a fault | 36\n"


def run(folder: Path, listed: str | None, *more: str) -> subprocess.CompletedProcess[str]:
    (folder / "test_it.py").write_text(TESTS)
    (folder / "pytest.ini").write_text("[pytest]\n")
    if listed is not None:
        (folder / "KNOWN-RED.txt").write_text(listed)
    return subprocess.run(
        [sys.executable, "-m", "pytest", "-p", "known_red", "-p", "no:cacheprovider", "--known-red", *more],
        cwd=folder,
        env={**os.environ, "PYTHONPATH": str(HERE)},
        capture_output=True,
        text=True,
        check=False,
    )


def test_a_listed_test_is_passed_over_and_told(tmp_path):
    done = run(tmp_path, RED)
    assert done.returncode == 0 and "1 passed, 1 xfailed" in done.stdout
    assert "known red: test_it.py::test_red: a fault (issue 36)" in done.stdout


@pytest.mark.parametrize("listed", [None, "", "\n"])
def test_without_a_line_a_test_that_fails_is_red(tmp_path, listed):
    done = run(tmp_path, listed)
    assert done.returncode == 1 and "1 failed, 1 passed" in done.stdout and "known red" not in done.stdout


def test_a_listed_test_that_passes_is_red(tmp_path):
    done = run(tmp_path, RED + "test_it.py::test_green | a fault | 36\n")
    assert done.returncode == 1 and "1 failed, 1 xfailed" in done.stdout


@pytest.mark.parametrize(
    "listed, why",
    [
        (RED + "test_it.py::test_gone | a fault | 36\n", "no test here: test_it.py::test_gone"),
        (RED + "".join(f"test_it.py::test_{n} | a fault | 36\n" for n in range(3)), "more than 3"),
        ("test_it.py::test_red | a fault\n", "line 1"),
        ("test_it.py::test_red | | 36\n", "line 1"),
    ],
)
def test_one_that_is_not_found_a_fourth_line_and_a_line_without_its_cause_are_red(tmp_path, listed, why):
    done = run(tmp_path, listed)
    assert done.returncode not in (0, 1) and why in done.stdout + done.stderr
