"""Pytest plugin for tests that are known to fail because of a real fault in the program.

They are listed in KNOWN-RED.txt at the root of the repository, one line `test | cause | issue` each, at most
three. A failure of a listed test does not fail the run; the test is reported at the end. The run fails if
there are more lines, or if a listed test passes or is skipped. With --known-red, which script/pytest passes,
it also fails if a listed test does not exist; each call of script/pytest searches the tests of all calls. The
plugin works with and without xdist workers.
"""

from __future__ import annotations

from pathlib import Path
from typing import Any

import pytest

MAX_LISTED = 3
"""Number of tests that may be listed."""
EXCLUDED_MARK = "long"
"""Mark of the tests that no call of script/pytest runs."""


def read(file: Path) -> dict[str, str]:
    """Read the list.

    Returns:
        Cause and issue for each test.

    Raises:
        pytest.UsageError: If a line is malformed, or there are too many.
    """
    if not file.exists():
        return {}
    listed: dict[str, str] = {}
    for number, line in enumerate(file.read_text().splitlines(), 1):
        if not line.strip():
            continue
        parts = [part.strip() for part in line.split("|")]
        if len(parts) != 3 or not all(parts):
            raise pytest.UsageError(
                f"{file.name}, line {number}: expected 'test | cause | issue', got: {line}"
            )
        listed[parts[0]] = f"{parts[1]} (issue {parts[2]})"
        if len(listed) > MAX_LISTED:
            raise pytest.UsageError(
                f"{file.name}: more than {MAX_LISTED} tests: fix one before another is listed"
            )
    return listed


class KnownRed:
    """The plugin; an instance exists in the main process and in each xdist worker.

    Workers report which listed tests they collected, and the main process decides whether the run fails.

    Attributes:
        listed: Cause and issue for each listed test.
        missing: Listed tests that no call of script/pytest runs; empty without --known-red.
        selected: Listed tests that this call selected.
        outcomes: Outcome of each listed test that had one.
    """

    def __init__(self, config: pytest.Config) -> None:
        self.config, self.listed = config, read(config.rootpath / "KNOWN-RED.txt")
        self.missing: set[str] = set()
        self.selected: set[str] = set()
        self.outcomes: dict[str, str] = {}

    # First, before the tests of the other calls are deselected, so that these are found too.
    @pytest.hookimpl(tryfirst=True)
    def pytest_collection_modifyitems(self, items: list[pytest.Item]) -> None:
        """Mark listed tests as expected to fail, and find listed tests that do not exist."""
        for item in items:
            if item.nodeid in self.listed:
                item.add_marker(pytest.mark.xfail(strict=True, reason=self.listed[item.nodeid]))
        found = {item.nodeid for item in items if item.get_closest_marker(EXCLUDED_MARK) is None}
        self.missing = self.listed.keys() - found if self.config.getoption("--known-red") else set()

    def pytest_collection_finish(self, session: pytest.Session) -> None:
        """Note the listed tests that this call selected; a worker reports them to the main process."""
        self.selected |= self.listed.keys() & {item.nodeid for item in session.items}
        if hasattr(self.config, "workeroutput"):
            self.config.workeroutput["known_red"] = [sorted(self.missing), sorted(self.selected)]

    @pytest.hookimpl(optionalhook=True)
    def pytest_testnodedown(self, node: Any) -> None:
        """Take over in the main process what a worker reported."""
        missing, selected = getattr(node, "workeroutput", {}).get("known_red", ([], []))
        self.missing.update(missing)
        self.selected.update(selected)

    def pytest_runtest_logreport(self, report: pytest.TestReport) -> None:
        """Note the outcome of a listed test."""
        if report.nodeid in self.listed and (report.when == "call" or report.outcome != "passed"):
            self.outcomes[report.nodeid] = "xfailed" if hasattr(report, "wasxfail") else report.outcome

    def errors(self) -> list[str]:
        """Return an error for each listed test that does not exist, or did not fail when it was selected."""
        errors = [f"KNOWN-RED.txt lists what is no test here: {test}" for test in sorted(self.missing)]
        for test in sorted(self.selected):
            if (outcome := self.outcomes.get(test, "not run")) not in ("xfailed", "failed"):
                errors.append(f"KNOWN-RED.txt lists a test that did not fail: {test} ({outcome})")
        return errors

    @pytest.hookimpl(trylast=True)
    def pytest_sessionfinish(self, session: pytest.Session) -> None:
        """Fail the run if the list has errors."""
        if not hasattr(self.config, "workeroutput") and self.errors():
            session.exitstatus = session.exitstatus or pytest.ExitCode.USAGE_ERROR

    def pytest_terminal_summary(self, terminalreporter: pytest.TerminalReporter) -> None:
        """Print the listed tests that were selected, and the errors of the list."""
        for test in sorted(self.selected):
            terminalreporter.write_line(f"known red: {test}: {self.listed[test]}")
        for error in self.errors():
            terminalreporter.write_line(error, red=True)


def pytest_addoption(parser: pytest.Parser) -> None:
    """Add the option --known-red."""
    parser.addoption(
        "--known-red", action="store_true", help="fail if a test in KNOWN-RED.txt does not exist"
    )


def pytest_configure(config: pytest.Config) -> None:
    """Register the plugin."""
    config.pluginmanager.register(KnownRed(config), "known red")
