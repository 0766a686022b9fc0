"""A connection whose messages may be longer than one frame.

A message is cut into `Members` frames; the last one is marked, and the receiver joins them again.
"""

from __future__ import annotations

from typing import Any, ClassVar

import msgspec

from cherrygrade.transport.connection import Connection
from cherrygrade.wire.messages import Bye, Members, Welcome

FRAME_BYTES = 8192  # of a message in one frame


def send_in_frames(conn: Connection, message: bytes) -> None:
    """Send one message, cut into frames; an empty one is sent as one empty frame."""
    for start in range(0, max(1, len(message)), FRAME_BYTES):
        end = start + FRAME_BYTES
        conn.send(Members(message[start:end], end >= len(message)))


class FramedConnection:
    """Sends and receives whole messages over one connection.

    Implements the owner's side of `Connection`; subclasses say in `message_received` what a message does.

    Attributes:
        conn: The connection, of its own or of the stream that passes its frames on to `frame_received`.
        max_message_bytes: The connection is closed when a received message is longer.
        purpose: Ends the reason that a peer is given when it sends something else than frames.
    """

    max_message_bytes: ClassVar[int] = 1024 * 1024
    purpose: ClassVar[str] = "of a configuration"

    def __init__(self, conn: Connection | None = None) -> None:
        self.conn = Connection(self, 0) if conn is None else conn
        self._received = bytearray()

    def send_message(self, message: bytes) -> None:
        """Send one message to the peer."""
        send_in_frames(self.conn, message)

    def frame_received(self, frame: Members) -> None:
        """Take one frame; with the last one of a message, the message is handed to `message_received`."""
        self._received += frame.payload
        if len(self._received) > self.max_message_bytes:
            self.conn.close("a word without end")
        elif frame.last:
            message = bytes(self._received)
            self._received = bytearray()
            try:
                self.message_received(message)
            except (msgspec.MsgspecError, UnicodeDecodeError):
                self.conn.close("a word that can't be read")

    def message_received(self, message: bytes) -> None:
        """Act on one message.

        Raises:
            msgspec.MsgspecError: The message can't be decoded; the connection is then closed.
            UnicodeDecodeError: Likewise.
        """
        raise NotImplementedError

    def connected(self, conn: Connection) -> None:
        """Called by the connection once it is open."""

    def body_buffer(self, conn: Connection, message: Any, length: int) -> None:
        """Called by the connection for a frame's body: these messages have none."""
        return

    def on_frame(self, conn: Connection, message: Any, body: object) -> None:
        """Called by the connection with each frame."""
        if isinstance(message, Members):
            self.frame_received(message)
        elif not isinstance(message, Welcome | Bye):
            conn.close(f"unexpected {type(message).__name__} {self.purpose}")

    def writable(self, conn: Connection) -> None:
        """Called by the connection when its buffer has room again: nobody waits for that here."""

    def closed(self, conn: Connection, why: str) -> None:
        """Called once when the connection has ended."""
