"""Tests that are known to fail for a real fault: KNOWN-RED.txt at the root, a line each of
`test | cause | issue`, three at most. Just these are passed over, and told at the end. A line too many is
red, and so is a listed test that passes or is skipped; with --known-red, as script/pytest runs, one that is
not found too: each of its calls looks among the tests of all. It holds with and without workers.
"""

from __future__ import annotations

from pathlib import Path
from typing import Any

import pytest

MOST = 3
ELSEWHERE = "long"  # marks what none of script/pytest's calls runs


def read(file: Path) -> dict[str, str]:
    """Cause and issue by test. UsageError where the file is not as it has to be."""
    if not file.exists():
        return {}
    found: dict[str, str] = {}
    for number, line in enumerate(file.read_text().splitlines(), 1):
        if not line.strip():
            continue
        parts = [part.strip() for part in line.split("|")]
        if len(parts) != 3 or not all(parts):
            raise pytest.UsageError(f"{file.name}, line {number}: 'test | cause | issue' wanted: {line}")
        found[parts[0]] = f"{parts[1]} (issue {parts[2]})"
        if len(found) > MOST:
            raise pytest.UsageError(f"{file.name}: more than {MOST} tests: mend one before another is listed")
    return found


class KnownRed:
    """In the process that tells the verdict and in each worker, whose collection the former is told of."""

    def __init__(self, config: pytest.Config) -> None:
        self.config, self.listed = config, read(config.rootpath / "KNOWN-RED.txt")
        self.missing: set[str] = set()  # no test of script/pytest's calls
        self.here: set[str] = set()  # listed and selected in this call
        self.seen: dict[str, str] = {}  # its outcome, of each that had one

    @pytest.hookimpl(tryfirst=True)  # before this call's selection: the other call's are found too
    def pytest_collection_modifyitems(self, items: list[pytest.Item]) -> None:
        for item in items:
            if item.nodeid in self.listed:
                item.add_marker(pytest.mark.xfail(strict=True, reason=self.listed[item.nodeid]))
        found = {item.nodeid for item in items if item.get_closest_marker(ELSEWHERE) is None}
        self.missing = self.listed.keys() - found if self.config.getoption("--known-red") else set()

    def pytest_collection_finish(self, session: pytest.Session) -> None:
        self.here |= self.listed.keys() & {item.nodeid for item in session.items}
        if hasattr(self.config, "workeroutput"):
            self.config.workeroutput["known_red"] = [sorted(self.missing), sorted(self.here)]

    @pytest.hookimpl(optionalhook=True)
    def pytest_testnodedown(self, node: Any) -> None:
        missing, here = getattr(node, "workeroutput", {}).get("known_red", ([], []))
        self.missing.update(missing)
        self.here.update(here)

    def pytest_runtest_logreport(self, report: pytest.TestReport) -> None:
        if report.nodeid in self.listed and (report.when == "call" or report.outcome != "passed"):
            self.seen[report.nodeid] = "xfailed" if hasattr(report, "wasxfail") else report.outcome

    def faults(self) -> list[str]:
        """What of the list does not hold in this call, beside what pytest reports as failed itself."""
        wrong = [f"KNOWN-RED.txt names what is no test here: {test}" for test in sorted(self.missing)]
        for test in sorted(self.here):
            if (seen := self.seen.get(test, "not run")) not in ("xfailed", "failed"):
                wrong.append(f"KNOWN-RED.txt names a test that did not fail: {test} ({seen})")
        return wrong

    @pytest.hookimpl(trylast=True)
    def pytest_sessionfinish(self, session: pytest.Session) -> None:
        if not hasattr(self.config, "workeroutput") and self.faults():
            session.exitstatus = session.exitstatus or pytest.ExitCode.USAGE_ERROR

    def pytest_terminal_summary(self, terminalreporter: pytest.TerminalReporter) -> None:
        for test in sorted(self.here):
            terminalreporter.write_line(f"known red: {test}: {self.listed[test]}")
        for wrong in self.faults():
            terminalreporter.write_line(wrong, red=True)


def pytest_addoption(parser: pytest.Parser) -> None:
    parser.addoption("--known-red", action="store_true", help="each test of KNOWN-RED.txt has to be there")


def pytest_configure(config: pytest.Config) -> None:
    config.pluginmanager.register(KnownRed(config), "known red")
