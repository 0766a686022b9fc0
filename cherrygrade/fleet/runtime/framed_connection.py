"""A connection whose messages may be longer than one frame.

A message is split into `Members` frames. The last frame of a message is flagged, and the receiver joins the
frames again.
"""

from __future__ import annotations

from typing import Any, ClassVar

import msgspec

from cherrygrade.transport.connection import Connection
from cherrygrade.wire.messages import Bye, Members, Welcome

FRAME_BYTES = 8192  # of a message, at most, in one frame


def send_in_frames(conn: Connection, message: bytes) -> None:
    """Send one message, split into frames; an empty message is sent as one empty frame."""
    for start in range(0, max(1, len(message)), FRAME_BYTES):
        end = start + FRAME_BYTES
        conn.send(Members(message[start:end], end >= len(message)))


class FramedConnection:
    """Sends and receives complete messages over one connection.

    Implements the owner's side of `Connection`; subclasses handle messages in `message_received`.

    Attributes:
        conn: The connection. It is the object's own, or that of a `PeerStream` that passes received frames to
            `frame_received`.
        max_message_bytes: The connection is closed when a received message is longer.
        purpose: The end of the reason that is sent to a peer whose message is not a `Members` frame.
    """

    max_message_bytes: ClassVar[int] = 1024 * 1024
    purpose: ClassVar[str] = "on a configuration connection"

    def __init__(self, conn: Connection | None = None) -> None:
        self.conn = Connection(self, 0) if conn is None else conn
        self._received = bytearray()

    def send_message(self, message: bytes) -> None:
        """Send one message to the peer."""
        send_in_frames(self.conn, message)

    def frame_received(self, frame: Members) -> None:
        """Append one frame; the last frame of a message passes the message to `message_received`.

        The connection is closed where the message is too long or can't be decoded.
        """
        self._received += frame.payload
        if len(self._received) > self.max_message_bytes:
            self.conn.close(f"message is longer than {self.max_message_bytes} bytes")
        elif frame.last:
            message = bytes(self._received)
            self._received = bytearray()
            try:
                self.message_received(message)
            except (msgspec.MsgspecError, UnicodeDecodeError):
                self.conn.close("message can't be decoded")

    def message_received(self, message: bytes) -> None:
        """Handle one received message.

        Raises:
            msgspec.MsgspecError: The message can't be decoded; the connection is then closed.
            UnicodeDecodeError: Likewise; a string in it is not UTF-8.
        """
        raise NotImplementedError

    def connected(self, conn: Connection) -> None:
        """Called by the connection once it is open; subclasses may send their first messages here."""

    def body_buffer(self, conn: Connection, message: Any, length: int) -> None:
        """Called by the connection for memory for a frame's body: `Members` frames have none."""
        return

    def on_frame(self, conn: Connection, message: Any, body: object) -> None:
        """Called by the connection with each frame."""
        if isinstance(message, Members):
            self.frame_received(message)
        elif not isinstance(message, Welcome | Bye):
            conn.close(f"unexpected {type(message).__name__} {self.purpose}")

    def writable(self, conn: Connection) -> None:
        """Called by the connection when its send buffer has space again; no sender here waits for that."""

    def closed(self, conn: Connection, why: str) -> None:
        """Called once when the connection has ended."""
