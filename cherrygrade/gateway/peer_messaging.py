"""Gossip between dispatchers: each listens at an address of its own and connects to those of the others.

Messages may be lost: one is dropped if there is no connection or if the other dispatcher does not read, and
none is stored. A connection from anyone but another dispatcher of this fleet is closed. A seat is the number
of a dispatcher in the fleet, from 0.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Sequence
from typing import Any

from cherrygrade.gateway.backoff import Backoff
from cherrygrade.transport.connecting import connect
from cherrygrade.transport.connection import Connection
from cherrygrade.transport.listening import listen
from cherrygrade.transport.socket_memory import DEFAULT_BUFFERS
from cherrygrade.wire.messages import MOST_WORD, VERSION, Bye, Hello, Welcome, Word

MAX_MESSAGES_PER_SECOND = 400  # accepted from one dispatcher; the rest is dropped

CONNECT_TIMEOUT_S, HELLO_TIMEOUT_S = 2.0, 2.0
MAX_UNSENT_BYTES = 16 * 1024  # waiting for one dispatcher to read; messages beyond that are dropped


class GossipSender:
    """The connection to one other dispatcher, opened by the first message and again after a backoff.

    Attributes:
        address: host:port of the other dispatcher.
        name: this dispatcher's name.
        seat_label: this dispatcher's seat and the size of its fleet, as in "0/3".
    """

    def __init__(
        self,
        address: str,
        name: str,
        seat_label: str,
        clock: Callable[[], float],
        log: Callable[..., None],
    ) -> None:
        """`clock`: returns the time, ms. `log`: called with an event and its facts."""
        self.address, self.name, self.seat_label, self._clock, self._log = (
            address,
            name,
            seat_label,
            clock,
            log,
        )
        self._conn: Connection | None = None
        self._connect_task: asyncio.Task[None] | None = None
        self._backoff, self._next_connect_ms = Backoff(f"{name}>{address}"), 0.0

    def send(self, payload: bytes) -> bool:
        """Send a message; returns False if it was dropped."""
        conn = self._conn
        if conn is None:
            if self._connect_task is None and self._clock() >= self._next_connect_ms:
                self._connect_task = asyncio.get_running_loop().create_task(self._connect())
            return False
        if conn.waiting + len(payload) > MAX_UNSENT_BYTES:
            return False
        conn.send(Word(payload))
        return True

    def close(self) -> None:
        """Close the connection."""
        if self._connect_task is not None:
            self._connect_task.cancel()
        if self._conn is not None:
            self._conn.close("dispatcher leaves")

    async def _connect(self) -> None:
        host, _, port = self.address.rpartition(":")
        conn = Connection(self, 0)
        try:
            async with asyncio.timeout(CONNECT_TIMEOUT_S):
                await connect(lambda: conn, host, int(port), DEFAULT_BUFFERS)
        except OSError as error:
            self.closed(conn, f"connect: {error or type(error).__name__}")

    def connected(self, conn: Connection) -> None:
        """Greet the other dispatcher."""
        self._conn, self._connect_task = conn, None
        self._backoff.record_connected(self._clock())
        conn.send(Hello(VERSION, "peer", self.name, [self.seat_label]))

    def body_buffer(self, conn: Connection, message: Any, length: int) -> None:
        """Accept no bodies."""
        return None

    def on_frame(self, conn: Connection, message: Any, body: object) -> None:
        """Accept the answer to the greeting; messages come on the connection that the other one opens."""
        if not isinstance(message, Welcome | Bye):
            conn.close(f"unexpected {type(message).__name__} from a dispatcher")

    def writable(self, conn: Connection) -> None:
        """Do nothing: messages that found the buffer full were dropped."""

    def closed(self, conn: Connection, why: str) -> None:
        """Back off before the next connect."""
        self._conn = self._connect_task = None
        self._next_connect_ms = self._backoff.record_failure(self._clock())
        self._log("gossip connection lost", place=self.address, why=why)


class GossipReceiver:
    """A connection that was accepted: a greeting that names the other dispatcher, then its messages.

    Attributes:
        messaging: the owner of this connection.
        seat: the other dispatcher's seat; -1 before its greeting.
        conn: the socket.
    """

    def __init__(self, messaging: PeerMessaging) -> None:
        """Create the receiver of a connection that is about to be accepted."""
        self.messaging, self.seat = messaging, -1
        self._current_second, self._received_this_second = 0.0, 0
        self.conn = Connection(self, 0)
        self._hello_timer: asyncio.TimerHandle | None = None

    def connected(self, conn: Connection) -> None:
        """Wait for the greeting, or close the connection if there are too many."""
        # Twice as many as other dispatchers, since the end of old connections may not have been seen yet.
        if len(self.messaging.receivers) >= 2 * len(self.messaging.senders) + 2:
            conn.close("more dispatchers than there are")
            return
        self.messaging.receivers[self] = None
        self._hello_timer = asyncio.get_running_loop().call_later(
            HELLO_TIMEOUT_S, conn.close, "no hello in time"
        )

    def body_buffer(self, conn: Connection, message: Any, length: int) -> None:
        """Accept no bodies."""
        return None

    def on_frame(self, conn: Connection, message: Any, body: object) -> None:
        """Handle a message from the other dispatcher."""
        if isinstance(message, Word) and self.seat >= 0:
            second = self.messaging.clock() // 1000.0
            self._received_this_second = (
                self._received_this_second + 1 if second == self._current_second else 1
            )
            self._current_second = second
            if self._received_this_second > MAX_MESSAGES_PER_SECOND:
                self.messaging.dropped += 1
            else:
                self.messaging.received(self.seat, message.payload)
        elif isinstance(message, Hello) and self.seat < 0 and message.role == "peer":
            seat = self.messaging.seat_of(message.features)
            if seat is None:
                reason = (
                    f"dispatcher of another fleet: {message.features[:1]}, not {self.messaging.seat_labels}"
                )
                conn.close(reason[:900])
                return
            self.seat = seat
            assert self._hello_timer is not None
            self._hello_timer.cancel()
            conn.send(Welcome(min(VERSION, message.version), self.messaging.name))
        elif isinstance(message, Bye):
            conn.close("dispatcher left")
        else:
            conn.close(f"unexpected {type(message).__name__}; only dispatchers' words are heard here")

    def writable(self, conn: Connection) -> None:
        """Do nothing: only the greeting is answered."""

    def closed(self, conn: Connection, why: str) -> None:
        """Remove the closed connection."""
        if self._hello_timer is not None:
            self._hello_timer.cancel()
        self.messaging.receivers.pop(self, None)


class PeerMessaging:
    """The gossip connections of one dispatcher.

    Attributes:
        name: this dispatcher's name.
        received: called with the seat of a dispatcher and each message from it.
        clock: returns the time, ms.
        sent, lost: messages sent, and dropped, for each dispatcher that they were for.
        dropped: messages received beyond the rate limit.
        seat_labels: by seat: the seat and the size of the fleet, as in "0/3".
        senders: by seat, one for each other dispatcher.
        receivers: accepted connections that are open.
    """

    def __init__(
        self,
        addresses: Sequence[str],
        seat: int,
        name: str,
        clock: Callable[[], float],
        received: Callable[[int, bytes], None],
        log: Callable[..., None],
    ) -> None:
        """Create the connections of one dispatcher; `start` must follow.

        Args:
            addresses: host:port of all dispatchers by seat.
            seat: this dispatcher's.
            name: this dispatcher's.
            clock: returns the time, ms.
            received: called with the seat of a dispatcher and each message from it.
            log: called with an event and its facts.
        """
        self.name, self.received, self.clock = name, received, clock
        self.sent = self.lost = self.dropped = 0
        self.seat_labels = [f"{number}/{len(addresses)}" for number in range(len(addresses))]
        self.senders = {
            number: GossipSender(address, name, self.seat_labels[seat], clock, log)
            for number, address in enumerate(addresses)
            if number != seat
        }
        self.receivers: dict[GossipReceiver, None] = {}
        self._own_address = addresses[seat]
        self._server: asyncio.Server | None = None

    async def start(self) -> None:
        """Listen at this dispatcher's address.

        Raises:
            OSError: the address cannot be listened on.
        """
        self._server = await listen(
            lambda: GossipReceiver(self).conn,
            self._own_address,
            len(self.senders) + 2,
            buffers=DEFAULT_BUFFERS,
        )

    def seat_of(self, features: Sequence[str]) -> int | None:
        """Return the seat that a greeting names, or None if it is not one of the other dispatchers."""
        label = features[0] if features else ""
        seat = self.seat_labels.index(label) if label in self.seat_labels else -1
        return seat if seat in self.senders else None

    def send(self, seat: int | None, payload: bytes) -> None:
        """Send a message to one dispatcher, or to all others if `seat` is None.

        Raises:
            ValueError: the message is too long.
        """
        if len(payload) > MOST_WORD:
            raise ValueError(f"a gossip message of {len(payload)} bytes; at most {MOST_WORD}")
        for number, sender in self.senders.items():
            if seat is None or number == seat:
                is_sent = sender.send(payload)
                self.sent, self.lost = self.sent + is_sent, self.lost + (not is_sent)

    def close(self) -> None:
        """Stop listening and close all connections."""
        if self._server is not None:
            self._server.close()
        for sender in self.senders.values():
            sender.close()
        for receiver in [*self.receivers]:
            receiver.conn.close("dispatcher leaves")
