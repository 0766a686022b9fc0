"""Structured logs on standard error: JSON lines, or a console's form where a person reads.

`plain_log` writes the same JSON lines without the library, for processes that must be small.
"""

from __future__ import annotations

import json
import sys
import time
from collections.abc import Callable

ERRORS = ("module broke",)


def make_log(form: str, **bound: str) -> Callable[..., None]:
    """`log(event, **facts)`; form is 'json', 'console' or 'none'."""
    if form == "none":
        return lambda event, **facts: None
    if form == "json":  # the library takes a third of a dispatcher's start, which 140 at once feel
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
    def log(event: str, **facts: object) -> None:
        at = time.strftime("%Y-%m-%dT%H:%M:%SZ", time.gmtime())
        level = "error" if event in ERRORS else "info"
        told = {"event": event, "level": level, **bound, **facts, "timestamp": at}
        line = json.dumps(told, default=str)
        print(line, file=sys.stderr, flush=True)

    return log
