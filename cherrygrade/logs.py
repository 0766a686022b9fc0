"""Structured logs on standard error: JSON lines, or a console's form where a person reads.

`plain_log` writes the same JSON lines without the library, for processes that must be small.
"""

from __future__ import annotations

import json
import sys
import time
from collections.abc import Callable


def make_log(form: str, **bound: str) -> Callable[..., None]:
    """`log(event, **facts)`; form is 'json', 'console' or 'none'."""
    if form == "none":
        return lambda event, **facts: None
    import structlog

    renderer = structlog.processors.JSONRenderer() if form == "json" else structlog.dev.ConsoleRenderer()
    structlog.configure(
        processors=[
            structlog.processors.add_log_level,
            structlog.processors.TimeStamper(fmt="iso", utc=True),
            renderer,
        ],
        logger_factory=structlog.PrintLoggerFactory(file=sys.stderr),
        cache_logger_on_first_use=True,
    )
    logger = structlog.get_logger().bind(**bound)

    def log(event: str, **facts: object) -> None:
        (logger.error if event in ("module broke",) else logger.info)(event, **facts)

    return log


def plain_log(**bound: str) -> Callable[..., None]:
    def log(event: str, **facts: object) -> None:
        at = time.strftime("%Y-%m-%dT%H:%M:%SZ", time.gmtime())
        line = json.dumps({"event": event, **bound, **facts, "timestamp": at}, default=str)
        print(line, file=sys.stderr, flush=True)

    return log
