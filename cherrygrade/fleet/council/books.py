"""What the council's log comes to: permits, leases and versions of the configuration, the same on every
voter. Free of I/O and clock."""

from __future__ import annotations

import msgspec

from cherrygrade.fleet.config import versions
from cherrygrade.fleet.council import permits
from cherrygrade.fleet.leases import grants

PERMIT, LEASE, CONFIG = b"p", b"l", b"c"  # what an entry begins with
Told = permits.Told | grants.Told | versions.Told
_lease = msgspec.msgpack.Decoder(grants.Any_)


class State(msgspec.Struct, array_like=True):
    permits: bytes
    leases: grants.State
    versions: versions.State | None = None
    """Left out by a program of before the configuration."""


def permit(op: permits.Any_) -> bytes:
    return PERMIT + msgspec.msgpack.encode(op)


def lease(op: grants.Any_) -> bytes:
    return LEASE + msgspec.msgpack.encode(op)


def config(op: versions.Any_) -> bytes:
    return CONFIG + versions.encode(op)


class Books:
    def __init__(self) -> None:
        self.permits, self.leases, self.versions = permits.Permits(), grants.Grants(), versions.Versions()

    @property
    def now(self) -> float:
        """The leaders' time; it never goes back."""
        return max(self.permits.now, self.leases.now, self.versions.now)

    def apply(self, index: int, payload: bytes) -> Told | None:
        """One agreed entry; None where it says nothing. One that can't be read does nothing, on every voter
        alike."""
        if payload[:1] == PERMIT:
            return self.permits.apply(index, payload[1:])
        if payload[:1] == CONFIG:
            return self.versions.apply(index, payload[1:])
        if payload[:1] != LEASE:
            return None
        try:
            op = _lease.decode(payload[1:])
        except (msgspec.MsgspecError, UnicodeDecodeError):
            return grants.Told(waits="an entry that can't be read")
        return self.leases.apply(index, op)

    def snapshot(self) -> bytes:
        return msgspec.msgpack.encode(
            State(self.permits.snapshot(), self.leases.state(), self.versions.state())
        )

    def restore(self, data: bytes) -> None:
        """ValidationError where it is no snapshot."""
        state = msgspec.msgpack.decode(data, type=State)
        self.permits.restore(state.permits)
        self.leases.restore(state.leases)
        self.versions = versions.Versions()
        if state.versions is not None:
            self.versions.restore(state.versions)
