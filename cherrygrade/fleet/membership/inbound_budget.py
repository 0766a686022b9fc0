"""Limits how many of the fleet's messages one dispatcher processes in a second.

The cost of a message grows with its length, because processing time depends mostly on its contents. Messages
beyond the budget wait and are processed by priority: acks of the dispatcher's own probes first, then messages
that other members need an answer to, then gossip, which is repeated anyway. A message that has waited too
long is dropped. Without the limit, the messages of the fleet would keep members overloaded that are short of
CPU time: when most of a large fleet returns at once, each member receives many times its usual messages.

The module does no I/O and reads no clock.
"""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass
from typing import Generic, TypeVar

T = TypeVar("T")

UNITS_PER_SECOND = 60.0
"""Rate of the budget. In a fleet of two hundred without changes a member uses about 8 units a second."""

BURST_UNITS = 120.0
"""Units that the budget accumulates at most."""

UNIT_BYTES = 1024.0
"""Message length that costs one unit."""

MIN_COST_UNITS = 0.5
"""Cost of each message in addition to the cost of its length; scheduler messages are exempt."""

URGENT_OVERDRAFT_UNITS = 60.0
"""Units by which acks, probes and scheduler messages may exceed the budget, because a member that does not
answer is declared failed."""

OVER_BUDGET_FRACTION = 0.25
"""With less than this part of the burst available, the dispatcher counts as over budget."""

MAX_WAITING_MESSAGES = 96
"""Maximum number of messages that wait, of all priorities together."""

MAX_WAIT_MS = 1500.0
"""Time after which a waiting message is dropped; by then its sender has asked helpers or probed again."""

PRIORITY_BY_TAG = {b"a": 0, b"c": 0, b"h": 0, b"p": 1, b"w": 1, b"q": 2, b"v": 2, b"n": 3}
"""Priority of each message tag, 0 being the highest: 0 for acks, results of relayed probes and configuration
replies, 1 for probes and scheduler messages, 2 for requests to helpers and configuration queries, 3 for
gossip."""

MAX_URGENT_PRIORITY = 1
"""Lowest priority, that is the highest number, for which the overdraft may be used."""

SCHEDULER_TAG = b"w"
"""Tag of `SchedulerMessage`."""

UNCHARGED_TAGS = frozenset((b"a", b"c", b"h", b"w"))
"""Tags of messages that cost nothing to send.

The cost of an answer is covered by the message that it answers, and the scheduler limits its own messages. If
those were charged, a load aggregator that sends to all members would not answer probes for seconds.
"""


def cost_units(tag: bytes, length_bytes: int) -> float:
    """Return the units that a message costs; scheduler messages take little time and have no minimum cost."""
    return length_bytes / UNIT_BYTES if tag == SCHEDULER_TAG else MIN_COST_UNITS + length_bytes / UNIT_BYTES


@dataclass(slots=True)
class _Waiting(Generic[T]):
    """A message that waits.

    Attributes:
        arrived_ms: When the message arrived, ms.
        cost: Cost of the message, units.
        message: The message.
    """

    arrived_ms: float
    cost: float
    message: T


class InboundBudget(Generic[T]):
    """A token bucket with queues of waiting messages by priority.

    Attributes:
        units_per_second: Rate at which the bucket fills.
        burst_units: Capacity of the bucket.
        dropped: Messages that were dropped because too many waited or they waited too long, in total.
    """

    def __init__(
        self, now: float, units_per_second: float = UNITS_PER_SECOND, burst_units: float = BURST_UNITS
    ) -> None:
        self.units_per_second = units_per_second
        self.burst_units = burst_units
        self.dropped = 0
        self._queues: list[deque[_Waiting[T]]] = [deque() for _ in range(1 + max(PRIORITY_BY_TAG.values()))]
        self._units = burst_units  # may fall one message below -URGENT_OVERDRAFT_UNITS
        self._filled_ms = now

    @property
    def over_budget(self) -> bool:
        """Whether more messages arrive than can be processed.

        The dispatcher then sends only the messages that keep the other members from declaring it failed.
        """
        return self._units < OVER_BUDGET_FRACTION * self.burst_units

    @property
    def waiting(self) -> int:
        """Number of messages that wait, at most `MAX_WAITING_MESSAGES`."""
        return sum(map(len, self._queues))

    def arrived(self, tag: bytes, length_bytes: int, message: T, now: float) -> None:
        """Add a message that arrived; drop a waiting one of the lowest priority where too many wait.

        Args:
            tag: Tag of the message; an unknown tag has the lowest priority.
            length_bytes: Length of its datagram.
            message: The message.
            now: The current time, ms.
        """
        priority = PRIORITY_BY_TAG.get(tag, len(self._queues) - 1)
        self._queues[priority].append(_Waiting(now, cost_units(tag, length_bytes), message))
        if self.waiting > MAX_WAITING_MESSAGES:
            lowest = next(queue for queue in reversed(self._queues) if queue)
            lowest.popleft()
            self.dropped += 1

    def sent(self, tag: bytes, length_bytes: int, now: float) -> None:
        """Charge a message that this dispatcher sent, because sending takes processing time too."""
        if tag not in UNCHARGED_TAGS:
            self._fill(now)
            self._units = max(self._units - cost_units(tag, length_bytes), -URGENT_OVERDRAFT_UNITS)

    def next(self, now: float) -> T | None:
        """Take the message to process now; None where none waits or the budget is used up."""
        self._fill(now)
        for priority, queue in enumerate(self._queues):
            while queue:
                first = queue[0]
                if now - first.arrived_ms > MAX_WAIT_MS:
                    queue.popleft()
                    self.dropped += 1
                    continue
                if self._units < _min_units(priority):
                    return None
                queue.popleft()
                self._units -= first.cost
                return first.message
        return None

    def next_ready_ms(self, now: float) -> float | None:
        """Return when the next message may be processed, ms; None where none waits."""
        priority = next((priority for priority, queue in enumerate(self._queues) if queue), None)
        if priority is None:
            return None
        self._fill(now)
        missing_units = max(0.0, _min_units(priority) - self._units)
        return now + missing_units / self.units_per_second * 1000.0

    def _fill(self, now: float) -> None:
        elapsed_s = max(0.0, now - self._filled_ms) / 1000.0
        self._units = min(self.burst_units, self._units + elapsed_s * self.units_per_second)
        self._filled_ms = now


def _min_units(priority: int) -> float:
    """Return the units that have to be available before a message of the priority is processed."""
    return -URGENT_OVERDRAFT_UNITS if priority <= MAX_URGENT_PRIORITY else 0.0
