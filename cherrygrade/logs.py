"""Structured logs on standard error: one JSON object for each line, or a form for the console."""

from __future__ import annotations

import json
import os
import select
import sys
import time
from collections.abc import Callable

ERRORS = ("scheduler crashed",)
"""Events that are logged at the level "error"; all others are "info"."""


def make_log(form: str, **bound: str) -> Callable[..., None]:
    """Create a log function, called as `log(event, **facts)`.

    Args:
        form: 'json', 'console' or 'none'.
        bound: facts that are added to every line.

    Returns:
        The function.
    """
    if form == "none":
        return lambda event, **facts: None
    if (
        form == "json"
    ):  # importing structlog takes a third of a dispatcher's start, which adds up if 140 start
        return plain_log(**bound)
    import structlog

    structlog.configure(
        processors=[
            structlog.processors.add_log_level,
            structlog.processors.TimeStamper(fmt="iso", utc=True),
            structlog.dev.ConsoleRenderer(),
        ],
        logger_factory=structlog.PrintLoggerFactory(file=sys.stderr),
        cache_logger_on_first_use=True,
    )
    logger = structlog.get_logger().bind(**bound)

    def log(event: str, **facts: object) -> None:
        (logger.error if event in ERRORS else logger.info)(event, **facts)

    return log


def plain_log(**bound: str) -> Callable[..., None]:
    """Create a log function that writes JSON lines without structlog, for processes that must be small.

    Args:
        bound: facts that are added to every line.

    Returns:
        The function, called as `log(event, **facts)`.
    """
    dropped_lines = 0

    def log(event: str, **facts: object) -> None:
        nonlocal dropped_lines
        timestamp = time.strftime("%Y-%m-%dT%H:%M:%SZ", time.gmtime())
        level = "error" if event in ERRORS else "info"
        record = {"event": event, "level": level, **bound, **facts, "timestamp": timestamp}
        if dropped_lines:
            record["dropped_lines"] = dropped_lines
        dropped_lines = 0 if write_line(json.dumps(record, default=str)) else dropped_lines + 1

    return log


def write_line(line: str) -> bool:
    """Write a line to standard error without ever waiting or failing.

    Returns:
        False if the line was dropped in whole or in part: nobody reads it, or its reader is too slow.
    """
    data = line.encode() + b"\n"
    try:
        descriptor = sys.stderr.fileno()
    except (AttributeError, OSError, ValueError):  # replaced by an object in memory, or closed
        print(line, file=sys.stderr)
        return True
    try:
        for start in range(0, len(data), select.PIPE_BUF):
            if not _is_writable(descriptor):
                return False
            os.write(descriptor, data[start : start + select.PIPE_BUF])
    except OSError:
        return False
    return True


def _is_writable(descriptor: int) -> bool:
    """Return whether a pipe takes PIPE_BUF bytes at once; other files always do."""
    poll = select.poll()
    poll.register(descriptor, select.POLLOUT)
    return any(events & select.POLLOUT for _, events in poll.poll(0))
