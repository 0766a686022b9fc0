"""The replicated state machine: drain permits, leases and versions of the configuration.

The same committed entries lead to the same state on every voter. This module does no I/O and reads no clock.
"""

from __future__ import annotations

import msgspec

from cherrygrade.fleet.config import version_log, versions
from cherrygrade.fleet.consensus import drain_permits
from cherrygrade.fleet.leases import lease_table

DRAIN_PREFIX = b"p"
"""The first byte of an entry's payload for commands about drain permits."""
LEASE_PREFIX = b"l"
"""The first byte of an entry's payload for commands about leases."""
CONFIG_PREFIX = b"c"
"""The first byte of an entry's payload for commands about the configuration."""

CommandOutcome = drain_permits.PermitOutcome | lease_table.LeaseOutcome | versions.PutOutcome
"""The result of a command."""

_lease_decoder = msgspec.msgpack.Decoder(lease_table.AnyLeaseCommand)


class StateMachineSnapshot(msgspec.Struct, array_like=True):
    """The full state; positional on the wire and on disk.

    Attributes:
        permits: The encoded `DrainPermitsState`.
        leases: The table of leases.
        versions: The configuration; None in a snapshot that an earlier version of the program wrote.
    """

    permits: bytes
    leases: lease_table.LeaseTableState
    versions: version_log.VersionLogState | None = None


def encode_drain_command(command: drain_permits.AnyDrainCommand) -> bytes:
    """Return the payload of a log entry for a command about drain permits."""
    return DRAIN_PREFIX + msgspec.msgpack.encode(command)


def encode_lease_command(command: lease_table.AnyLeaseCommand) -> bytes:
    """Return the payload of a log entry for a command about leases."""
    return LEASE_PREFIX + msgspec.msgpack.encode(command)


def encode_config_command(command: versions.AnyConfigCommand) -> bytes:
    """Return the payload of a log entry for a command about the configuration."""
    return CONFIG_PREFIX + versions.encode(command)


class StateMachine:
    """The state after all applied entries.

    Attributes:
        permits: The permits to drain dispatchers and nodes.
        leases: The table of leases.
        versions: The versions of the configuration.
    """

    def __init__(self) -> None:
        self.permits = drain_permits.DrainPermits()
        self.leases = lease_table.LeaseTable()
        self.versions = version_log.VersionLog()

    @property
    def now(self) -> float:
        """The leader's time in ms, as of the newest entry; it never goes back."""
        return max(self.permits.now, self.leases.now, self.versions.now)

    def apply(self, index: int, payload: bytes) -> CommandOutcome | None:
        """Apply one committed entry.

        Returns:
            The result of the command; None for an entry without one. An entry that can't be decoded changes
            nothing, on every voter alike.
        """
        prefix = payload[:1]
        body = payload[1:]
        if prefix == DRAIN_PREFIX:
            return self.permits.apply(index, body)
        if prefix == CONFIG_PREFIX:
            return self.versions.apply(index, body)
        if prefix != LEASE_PREFIX:
            return None
        try:
            command = _lease_decoder.decode(body)
        except (msgspec.MsgspecError, UnicodeDecodeError):
            return lease_table.LeaseOutcome(refusal="an entry that can't be read")
        return self.leases.apply(index, command)

    def snapshot(self) -> bytes:
        """Return the full state, encoded."""
        state = StateMachineSnapshot(self.permits.snapshot(), self.leases.state(), self.versions.state())
        return msgspec.msgpack.encode(state)

    def restore(self, data: bytes) -> None:
        """Replace the state by an encoded one.

        Raises:
            msgspec.ValidationError: The data is not an encoded state.
        """
        state = msgspec.msgpack.decode(data, type=StateMachineSnapshot)
        self.permits.restore(state.permits)
        self.leases.restore(state.leases)
        self.versions = version_log.VersionLog()
        if state.versions is not None:
            self.versions.restore(state.versions)
