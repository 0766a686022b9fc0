"""How many of the fleet's messages one dispatcher processes in a second, whatever happens to the fleet.

Messages cost by their length, since what they hold is what takes time. What comes beyond the budget waits,
the most useful first: acks of one's own probes, then what others need an answer to, then gossip, which comes
again anyhow. What waits for too long is of no use to anybody. Guards against a fleet whose processes starve
being kept there by its own messages: when most of a large fleet comes back at once, each member gets many
times the messages of a fleet at rest.

Free of I/O and clock.
"""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass
from typing import Generic, TypeVar

T = TypeVar("T")

UNITS_PER_SECOND = 60.0
"""Of the budget; at rest a member of two hundred uses some 8."""

BURST_UNITS = 120.0

UNIT_BYTES = 1024.0
"""Length of a message that costs one unit beyond `MIN_COST_UNITS`."""

MIN_COST_UNITS = 0.5
"""Of any message, however short."""

URGENT_OVERDRAFT_UNITS = 60.0
"""Beyond the budget, for acks, probes and scheduler messages: who does not answer is declared failed."""

OVER_BUDGET_SHARE = 0.25
"""With less of the burst left, the dispatcher counts as over budget."""

MAX_WAITING = 96
"""Messages that wait, of all priorities."""

STALE_MS = 1500.0
"""A prober has asked helpers, or probed again, by then."""

PRIORITIES = {b"a": 0, b"c": 0, b"h": 0, b"p": 1, b"w": 1, b"q": 2, b"v": 2, b"n": 3}
"""By the tag of a message, 0 the highest: acks, results and replies; probes and scheduler messages; requests
and queries; gossip."""

MAX_URGENT_PRIORITY = 1
"""Up to this priority the overdraft may be used."""

SCHEDULER_TAG = b"w"

UNCHARGED_TAGS = frozenset((b"a", b"c", b"h", b"w"))
"""Messages whose sending costs nothing: answers are paid for by what they answer, and scheduler messages by
the scheduler. Else an aggregator that sends to all would not answer probes for seconds."""


def cost(tag: bytes, length: int) -> float:
    """Units that a message of the tag and length in bytes costs; scheduler messages are short work."""
    return length / UNIT_BYTES if tag == SCHEDULER_TAG else MIN_COST_UNITS + length / UNIT_BYTES


@dataclass(slots=True)
class _Waiting(Generic[T]):
    """A message that waits: when it came, ms; what it costs, units; the message."""

    arrived_at: float
    units: float
    message: T


class InboundBudget(Generic[T]):
    """A token bucket over messages that wait by priority.

    Attributes:
        units_per_second: Rate at which the bucket fills.
        burst_units: Its size.
        dropped: Messages that found no room or waited for too long.
    """

    def __init__(
        self, now: float, units_per_second: float = UNITS_PER_SECOND, burst_units: float = BURST_UNITS
    ) -> None:
        self.units_per_second = units_per_second
        self.burst_units = burst_units
        self.dropped = 0
        self._queues: list[deque[_Waiting[T]]] = [deque() for _ in range(1 + max(PRIORITIES.values()))]
        self._units = burst_units  # down to -URGENT_OVERDRAFT_UNITS and one message more
        self._filled_at = now

    @property
    def over_budget(self) -> bool:
        """More came than can be processed: the dispatcher sends the least that keeps it known."""
        return self._units < OVER_BUDGET_SHARE * self.burst_units

    @property
    def waiting(self) -> int:
        """Messages that wait, at most `MAX_WAITING`."""
        return sum(map(len, self._queues))

    def arrived(self, tag: bytes, length: int, message: T, now: float) -> None:
        """A message came; an unknown tag has the lowest priority."""
        priority = PRIORITIES.get(tag, len(self._queues) - 1)
        self._queues[priority].append(_Waiting(now, cost(tag, length), message))
        if self.waiting > MAX_WAITING:
            lowest = next(queue for queue in reversed(self._queues) if queue)
            lowest.popleft()
            self.dropped += 1

    def sent(self, tag: bytes, length: int, now: float) -> None:
        """A message of this dispatcher was sent, which is work too."""
        if tag not in UNCHARGED_TAGS:
            self._fill(now)
            self._units = max(self._units - cost(tag, length), -URGENT_OVERDRAFT_UNITS)

    def next(self, now: float) -> T | None:
        """The message to process now; None where none waits or the budget is used up."""
        self._fill(now)
        for priority, queue in enumerate(self._queues):
            while queue:
                first = queue[0]
                if now - first.arrived_at > STALE_MS:
                    queue.popleft()
                    self.dropped += 1
                    continue
                if self._units < _min_units(priority):
                    return None
                queue.popleft()
                self._units -= first.units
                return first.message
        return None

    def next_ready_ms(self, now: float) -> float | None:
        """When the next message may be processed, ms; None where none waits."""
        priority = next((priority for priority, queue in enumerate(self._queues) if queue), None)
        if priority is None:
            return None
        self._fill(now)
        lacking = max(0.0, _min_units(priority) - self._units)
        return now + lacking / self.units_per_second * 1000.0

    def _fill(self, now: float) -> None:
        elapsed_s = max(0.0, now - self._filled_at) / 1000.0
        self._units = min(self.burst_units, self._units + elapsed_s * self.units_per_second)
        self._filled_at = now


def _min_units(priority: int) -> float:
    return -URGENT_OVERDRAFT_UNITS if priority <= MAX_URGENT_PRIORITY else 0.0
