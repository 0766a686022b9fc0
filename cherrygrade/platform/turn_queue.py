"""Divides the event loop's time among clients that have sent more than is read or served at once."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import Protocol

MAX_TURNS_MS = 5.0
"""Time of an event-loop iteration that turns may take, before other connections are read and answered."""


class TurnTaker(Protocol):
    """A connection that waits for its turn."""

    def take_turn(self) -> None:
        """Read and serve a limited part of what waits; may ask for a further turn."""


class TurnQueue:
    """Connections that wait for their turns, in the order in which they asked."""

    def __init__(self, clock: Callable[[], float]) -> None:
        """Create an empty queue.

        Args:
            clock: Returns the time in ms as it is read, not that of the event-loop iteration.
        """
        self._clock = clock
        self._waiting: dict[TurnTaker, None] = {}
        self._is_scheduled = False

    def add(self, taker: TurnTaker) -> None:
        """Let a connection wait for one turn, in a later event-loop iteration at the soonest."""
        self._waiting[taker] = None
        self._schedule()

    def remove(self, taker: TurnTaker) -> None:
        """Forget a connection, whether or not it waits."""
        self._waiting.pop(taker, None)

    def __contains__(self, taker: TurnTaker) -> bool:
        return taker in self._waiting

    def _schedule(self) -> None:
        if not self._is_scheduled:
            self._is_scheduled = True
            asyncio.get_running_loop().call_soon(self._run)

    def _run(self) -> None:
        """Give turns until none waits, or the time is up."""
        self._is_scheduled = False
        ends_ms = self._clock() + MAX_TURNS_MS
        for taker in [*self._waiting]:  # those that ask again wait for the next iteration
            if taker not in self._waiting:  # an earlier turn has closed it
                continue
            del self._waiting[taker]
            taker.take_turn()
            if self._clock() >= ends_ms:
                break
        if self._waiting:
            self._schedule()
