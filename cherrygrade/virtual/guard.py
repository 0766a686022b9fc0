"""Forbids real clocks, random numbers and sockets to simulated processes.

A simulated process that calls one of them fails the run at the place of the call, because the run would not
be reproducible.
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

FORBIDDEN_CALLS: tuple[tuple[Any, tuple[str, ...]], ...] = (
    (time, ("time", "time_ns", "monotonic", "monotonic_ns", "perf_counter", "perf_counter_ns", "sleep")),
    (os, ("urandom", "getpid")),
    (random, ("random", "randrange", "randint", "choice", "uniform", "expovariate", "shuffle", "sample")),
    (socket, ("socket", "create_connection", "create_server", "getaddrinfo")),
)
"""Pairs of a module and the functions of it that simulated processes must not call."""


class RealWorldError(BaseException):
    """A simulated process called a forbidden function.

    This is no `Exception`, so that no handler in the program takes it for an error that it can handle.
    """


@contextmanager
def guarded() -> Iterator[list[str]]:
    """Replace the forbidden functions: calls by a simulated process raise RealWorldError, others go through.

    Yields:
        A list to which each forbidden call is added, as the process and the function.
    """
    forbidden_calls: list[str] = []
    originals: list[tuple[Any, str, Any]] = []

    def guard(name: str, original: Callable[..., Any]) -> Callable[..., Any]:
        def guarded_call(*args: Any, **kwargs: Any) -> Any:
            process = CURRENT.get()
            if process is None:
                return original(*args, **kwargs)
            forbidden_calls.append(f"{process.name}: {name}")
            raise RealWorldError(f"{process.name} reached for {name} in virtual time")

        return guarded_call

    for module, names in FORBIDDEN_CALLS:
        for name in names:
            originals.append((module, name, getattr(module, name)))
            setattr(module, name, guard(f"{module.__name__}.{name}", getattr(module, name)))
    try:
        yield forbidden_calls
    finally:
        for module, name, original in originals:
            setattr(module, name, original)
