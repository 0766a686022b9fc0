"""The one limit on the memory that clients and nodes can make this process use; free of I/O and clock.

Each connection reports what it holds for its peer: parts of messages, bytes read ahead, open requests, unsent
bytes. While all of it exceeds the limit, the connection that holds most besides whole requests gives up what
it holds: its peer gets an error or the close. Tables whose keys peers choose (volumes, keys, call ids) have a
fixed part of the limit.
"""

from __future__ import annotations

from collections.abc import Callable, Collection
from dataclasses import dataclass
from typing import NamedTuple, Protocol

from cherrygrade.peers.socket_queues import SocketQueues

BYTES_PER_MB = 1024 * 1024
CONNECTION_BYTES = 6 * 1024
"""Memory of a connection that holds nothing else."""
REQUEST_BYTES = 4 * 1024
"""Memory of an open request with its attempts, besides that of its message."""
USABLE_FRACTION = 0.5
"""Part of the memory beyond that of the idle process that is counted out; the allocator needs the rest."""
MIN_LIMIT_BYTES = 2 * BYTES_PER_MB
TABLES_DIVISOR = 8
"""1/8 of the limit is for tables whose keys peers choose."""
TABLES = 4
"""Such tables: volumes, two generations of early rejections, and one part for call ids."""
CALL_ID_BYTES = 200
"""Memory of a remembered call id."""
TABLE_ENTRY_BYTES = 250
"""Memory of an entry of such a table, with its key."""
MIN_TABLE_ENTRIES = 256
LONG_BODIES_DIVISOR = 2
"""1/2 of the limit may be promised to long bodies of either direction, by their told lengths."""
DISCOVERY_DIVISOR = 4
"""1/4 of the limit is the size of the longest message of discovery, if that is enough for a list."""
MIN_DISCOVERY_MESSAGE_BYTES = 2 * BYTES_PER_MB
"""An indented list of the largest fleet, 3,200 nodes, fits."""
QUEUES_DIVISOR = 4
"""1/4 of the memory beyond that of the idle process is for the sockets' queues in the kernel."""
MIN_QUEUE_BYTES = 8 * 1024
"""With less, a queue has no place for the two segments after which a peer acknowledges at once."""
MAX_QUEUE_BYTES = 128 * 1024


@dataclass(frozen=True, slots=True)
class MemoryLimits:
    """What peers may make this process hold."""

    connections_bytes: int
    """Bytes of all connections together."""
    long_bodies_bytes: int
    """Bytes that may be promised to long bodies, for requests and for responses each."""
    table_entries: int
    """Entries of each table whose keys peers choose, except that of call ids."""
    call_ids: int
    """Number of call ids that are remembered."""
    discovery_message_bytes: int
    """Bytes of the longest message of discovery."""
    queues_bytes: int
    """Kernel memory of the queues of all sockets together."""
    queue_bytes: int
    """Kernel memory of each of the two queues of a socket."""

    @classmethod
    def for_process(cls, memory_bytes: int, idle_bytes: int, sockets: int) -> MemoryLimits:
        """Return the limits for a process.

        Args:
            memory_bytes: The memory that the process may use.
            idle_bytes: The memory of the process before any peer has connected.
            sockets: The number of sockets that the process may open.
        """
        queues_bytes = max(MIN_LIMIT_BYTES, memory_bytes - idle_bytes) // QUEUES_DIVISOR
        total = max(MIN_LIMIT_BYTES, int((memory_bytes - idle_bytes) * USABLE_FRACTION))
        tables_bytes = total // TABLES_DIVISOR
        return cls(
            connections_bytes=total - tables_bytes,
            long_bodies_bytes=total // LONG_BODIES_DIVISOR,
            table_entries=max(MIN_TABLE_ENTRIES, tables_bytes // (TABLES * TABLE_ENTRY_BYTES)),
            call_ids=max(MIN_TABLE_ENTRIES, tables_bytes // (TABLES * CALL_ID_BYTES)),
            discovery_message_bytes=max(MIN_DISCOVERY_MESSAGE_BYTES, total // DISCOVERY_DIVISOR),
            queues_bytes=queues_bytes,
            queue_bytes=min(MAX_QUEUE_BYTES, max(MIN_QUEUE_BYTES, queues_bytes // sockets)),
        )


class MemoryUse(NamedTuple):
    """Memory that a connection holds for its peer, in bytes; the greatest is the first to be given up."""

    idle_bytes: int
    """The part of `held_bytes` that no whole request needs."""
    held_bytes: int


class MemoryHolder(Protocol):
    """A connection that holds memory for its peer."""

    @property
    def memory_use(self) -> MemoryUse:
        """Memory that the connection holds now."""

    @property
    def socket_queues(self) -> SocketQueues:
        """Kernel memory of the connection's socket."""

    def give_up(self) -> None:
        """Drop as much as possible of what the connection holds; the peer gets an error or the close."""


class PeerMemory:
    """Sums up what connections hold, and makes those give it up that hold most."""

    def __init__(self, max_bytes: int) -> None:
        """Create the sum without connections.

        Args:
            max_bytes: The limit on the bytes of all connections together.
        """
        self.max_bytes = max_bytes
        self.total_bytes = 0
        """Sum of what connections hold, as last reported."""
        self.given_up_count = 0
        """Number of connections that gave up what they held, since `take_given_up_count`."""
        self.released_bytes = 0
        """Bytes that connections have released, until the owner resets it."""
        self._held: dict[MemoryHolder, int] = {}
        self._taken_bytes = 0  # since `_grown` was called
        self._step_bytes = 0  # 0 until `watch_growth`
        self._grown: Callable[[], None] = lambda: None
        self._is_reducing = False

    @property
    def holders(self) -> Collection[MemoryHolder]:
        """The connections that have reported and not ended."""
        return self._held.keys()

    def update(self, holder: MemoryHolder) -> None:
        """Take in what a connection holds now; called whenever it has grown, and before it is reused."""
        self._record(holder, holder.memory_use.held_bytes)
        if self._taken_bytes > self._step_bytes > 0:
            self._taken_bytes = 0
            self._grown()
        if self.total_bytes > self.max_bytes and not self._is_reducing:
            self._reduce()

    def _record(self, holder: MemoryHolder, held_bytes: int) -> None:
        growth_bytes = held_bytes - self._held.get(holder, 0)
        self.total_bytes += growth_bytes
        self._held[holder] = held_bytes
        if growth_bytes < 0:
            self.released_bytes -= growth_bytes
        else:
            self._taken_bytes += growth_bytes

    def watch_growth(self, step_bytes: int, grown: Callable[[], None]) -> None:
        """Call `grown` whenever connections have taken `step_bytes`, whatever they have released."""
        self._step_bytes = step_bytes
        self._grown = grown

    def set_limit(self, max_bytes: int) -> None:
        """Change the limit; connections give up what exceeds it."""
        self.max_bytes = max_bytes
        if self.total_bytes > max_bytes and not self._is_reducing:
            self._reduce()

    def take_given_up_count(self) -> int:
        """Return how many connections gave up what they held since the last call, and reset the count."""
        count, self.given_up_count = self.given_up_count, 0
        return count

    def remove(self, holder: MemoryHolder) -> None:
        """Forget a connection that has ended."""
        held_bytes = self._held.pop(holder, 0)
        self.total_bytes -= held_bytes
        self.released_bytes += held_bytes

    def _reduce(self) -> None:
        """Make connections give up what they hold, the hungriest first, until there is room for a step."""
        self._is_reducing = True
        try:
            uses = {holder: holder.memory_use for holder in self._held}
            for holder, use in uses.items():  # unsent bytes become fewer without a report
                self._record(holder, use.held_bytes)
            if self.total_bytes <= self.max_bytes:
                return
            for holder in sorted(uses, key=uses.__getitem__, reverse=True):
                if self.total_bytes <= self.max_bytes - self._step_bytes:
                    break
                self.given_up_count += 1
                holder.give_up()
                if holder in self._held:
                    self.update(holder)
        finally:
            self._is_reducing = False
