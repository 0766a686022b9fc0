"""What is real is out of bounds in virtual time: its clock, its chance, its sockets.

A simulated process that reaches for one of them fails the run, at the place where it did.
"""

from __future__ import annotations

import os
import random
import socket
import time
from collections.abc import Callable, Iterator
from contextlib import contextmanager
from typing import Any

from cherrygrade.virtual.loop import CURRENT

OUT_OF_BOUNDS: tuple[tuple[Any, tuple[str, ...]], ...] = (
    (time, ("time", "time_ns", "monotonic", "monotonic_ns", "perf_counter", "perf_counter_ns", "sleep")),
    (os, ("urandom", "getpid")),
    (random, ("random", "randrange", "randint", "choice", "uniform", "expovariate", "shuffle", "sample")),
    (socket, ("socket", "create_connection", "create_server", "getaddrinfo")),
)


class RealWorldError(BaseException):
    """Not an `Exception`: no handler of the program may take it for a trouble of its own."""


@contextmanager
def guarded() -> Iterator[list[str]]:
    """Within it, simulated processes have no way to what is real. Gives what was reached for."""
    reached: list[str] = []
    kept: list[tuple[Any, str, Any]] = []

    def fence(name: str, real: Callable[..., Any]) -> Callable[..., Any]:
        def fenced(*args: Any, **more: Any) -> Any:
            process = CURRENT.get()
            if process is None:
                return real(*args, **more)
            reached.append(f"{process.name}: {name}")
            raise RealWorldError(f"{process.name} reached for {name} in virtual time")

        return fenced

    for module, names in OUT_OF_BOUNDS:
        for name in names:
            kept.append((module, name, getattr(module, name)))
            setattr(module, name, fence(f"{module.__name__}.{name}", getattr(module, name)))
    try:
        yield reached
    finally:
        for module, name, real in kept:
            setattr(module, name, real)
