"""Structured logs on standard error: JSON lines, or a console's form where a person reads."""

from __future__ import annotations

import sys
from collections.abc import Callable

import structlog


def make_log(form: str, **bound: str) -> Callable[..., None]:
    """`log(event, **facts)`; form is 'json', 'console' or 'none'."""
    if form == "none":
        return lambda event, **facts: None
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
