"""What the council's log comes to: permits, leases and versions of the configuration, the same on every
voter. Free of I/O and clock."""

from __future__ import annotations

import msgspec

from cherrygrade.fleet.config import versions
from cherrygrade.fleet.consensus import drain_permits
from cherrygrade.fleet.leases import lease_table

PERMIT, LEASE, CONFIG = b"p", b"l", b"c"  # what an entry begins with
Told = drain_permits.PermitOutcome | lease_table.LeaseOutcome | versions.PutOutcome
_lease = msgspec.msgpack.Decoder(lease_table.AnyLeaseCommand)


class StateMachineSnapshot(msgspec.Struct, array_like=True):
    permits: bytes
    leases: lease_table.LeaseTableState
    versions: versions.VersionLogState | None = None
    """Left out by a program of before the configuration."""


def permit(op: drain_permits.AnyDrainCommand) -> bytes:
    return PERMIT + msgspec.msgpack.encode(op)


def lease(op: lease_table.AnyLeaseCommand) -> bytes:
    return LEASE + msgspec.msgpack.encode(op)


def config(op: versions.AnyConfigCommand) -> bytes:
    return CONFIG + versions.encode(op)


class StateMachine:
    def __init__(self) -> None:
        self.permits, self.leases, self.versions = (
            drain_permits.DrainPermits(),
            lease_table.LeaseTable(),
            versions.VersionLog(),
        )

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
            return lease_table.LeaseOutcome(waits="an entry that can't be read")
        return self.leases.apply(index, op)

    def snapshot(self) -> bytes:
        return msgspec.msgpack.encode(
            StateMachineSnapshot(self.permits.snapshot(), self.leases.state(), self.versions.state())
        )

    def restore(self, data: bytes) -> None:
        """ValidationError where it is no snapshot."""
        state = msgspec.msgpack.decode(data, type=StateMachineSnapshot)
        self.permits.restore(state.permits)
        self.leases.restore(state.leases)
        self.versions = versions.VersionLog()
        if state.versions is not None:
            self.versions.restore(state.versions)
