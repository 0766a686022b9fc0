"""Tests that are known to fail for a real fault: KNOWN-RED.txt at the root, a line each of
`test | cause | issue`, three at most. Just these are passed over, and told at the end; one that passes or is
not found (with --known-red, as script/test runs), or a line too many, is red.
"""

from __future__ import annotations

from pathlib import Path
from typing import Any

import pytest

MOST = 3


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


def pytest_addoption(parser: Any) -> None:
    parser.addoption("--known-red", action="store_true", help="each test of KNOWN-RED.txt has to be there")


def pytest_collection_modifyitems(config: Any, items: list[Any]) -> None:
    listed = config.known_red = read(Path(config.rootpath) / "KNOWN-RED.txt")
    for item in items:
        if item.nodeid in listed:
            item.add_marker(pytest.mark.xfail(strict=True, reason=listed[item.nodeid]))
    missing = listed.keys() - {item.nodeid for item in items}
    if missing and config.getoption("--known-red"):
        raise pytest.UsageError(f"KNOWN-RED.txt names what is no test here: {', '.join(sorted(missing))}")


def pytest_terminal_summary(terminalreporter: Any) -> None:
    for test, why in getattr(terminalreporter.config, "known_red", {}).items():
        terminalreporter.write_line(f"known red: {test}: {why}")
