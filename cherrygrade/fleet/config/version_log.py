"""The configuration's versions, in the order in which the council's log commits them.

The same entries lead to the same state on every voter, even if voters run different versions of the program.
So texts are validated before they are proposed, never here, and the wording of refusals stays: the outcomes
of requests are part of the state.

Free of I/O, clock and random sources. Times are those of the council's leaders, in ms.
"""

from __future__ import annotations

from collections import OrderedDict

import msgspec

from cherrygrade.fleet.config.errors import ConfigContentError
from cherrygrade.fleet.config.text_diff import apply_hunks
from cherrygrade.fleet.config.versions import (
    MAX_TEXT_BYTES,
    NO_DIGEST,
    ConfigVersion,
    PutOutcome,
    PutVersion,
    QuotaDivisors,
    SettleVersion,
    decode,
    replaced_divisors,
    text_digest,
)

MAX_STORED_VERSIONS = 32
"""Versions that are stored with their full text."""
MAX_STORED_BYTES = 2_097_152
"""Bytes of all stored texts in UTF-8. The newest version is always stored."""
MAX_REMOVED_VOLUMES = 4096
"""Removed volumes whose quota parts may still be in use by members that are partitioned away."""
MAX_ANSWERED_REQUESTS = 256
"""Outcomes that are stored to answer repeated requests."""


class VersionLogState(msgspec.Struct, array_like=True):
    """The full state for a snapshot. Fields are positional, and described at `VersionLog`."""

    now: float
    versions: list[ConfigVersion]
    settled_number: int
    divisors: QuotaDivisors | None
    removed_volumes: dict[str, int]
    answered_requests: list[tuple[str, PutOutcome]]


class VersionLog:
    """The versions of the configuration.

    Attributes:
        now: The leader's time of the newest entry, in ms; never decreases.
        versions: By number, the newest versions within the limits, the newest last.
        settled_number: The number of the newest version whose quota move is settled; so are all moves before.
        divisors: The divisors of the newest version and of the volumes in `removed_volumes`; None before
            the first version.
        removed_volumes: By volume, the number of the version that removed it. A member that has been
            partitioned away since may still use its quota part of the volume, so that a volume that is added
            again moves from its old divisor. An entry is dropped once a later move is settled, which proves
            that no member uses the removed volume any more.
        answered_requests: By request id, the last MAX_ANSWERED_REQUESTS outcomes, the oldest first.
    """

    def __init__(self) -> None:
        self.now = 0.0
        self.versions: OrderedDict[int, ConfigVersion] = OrderedDict()
        self.settled_number = 0
        self.divisors: QuotaDivisors | None = None
        self.removed_volumes: dict[str, int] = {}
        self.answered_requests: OrderedDict[str, PutOutcome] = OrderedDict()

    @property
    def newest(self) -> ConfigVersion | None:
        """The newest version; None if there is no configuration."""
        return next(reversed(self.versions.values()), None)

    @property
    def newest_number(self) -> int:
        """The number of the newest version; 0 if there is no configuration."""
        newest = self.newest
        return newest.number if newest is not None else 0

    @property
    def stage(self) -> int:
        """The stage of the newest version; 0 if there is no configuration."""
        newest = self.newest
        return newest.stage(newest.number <= self.settled_number) if newest is not None else 0

    @property
    def moving_number(self) -> int:
        """The number of the version with which the unsettled quota move began; 0 for none."""
        newest = self.newest
        if newest is None or newest.number <= self.settled_number:
            return 0
        return newest.move_started

    def apply(self, index: int, payload: bytes) -> PutOutcome:
        """Apply one committed entry.

        An entry that can't be decoded changes nothing, on every voter alike.

        Args:
            index: The entry's index in the council's log.
            payload: The encoded command, without the prefix that tells kinds of entries apart.

        Returns:
            The outcome; that of the first time, if the request was repeated.
        """
        try:
            command = decode(payload)
        except (msgspec.MsgspecError, UnicodeDecodeError):
            return PutOutcome(refusal="an entry that can't be read")
        self.now = max(self.now, command.leader_time_ms)
        if isinstance(command, SettleVersion):
            return self._settle(command)
        if command.id not in self.answered_requests:
            self.answered_requests[command.id] = self._put(command)
            while len(self.answered_requests) > MAX_ANSWERED_REQUESTS:
                self.answered_requests.popitem(last=False)
        return self.answered_requests[command.id]

    def state(self) -> VersionLogState:
        """Return the full state."""
        return VersionLogState(
            self.now,
            [*self.versions.values()],
            self.settled_number,
            self.divisors,
            dict(self.removed_volumes),
            [*self.answered_requests.items()],
        )

    def restore(self, state: VersionLogState) -> None:
        """Replace the full state."""
        self.now = state.now
        self.settled_number = state.settled_number
        self.divisors = state.divisors
        self.removed_volumes = dict(state.removed_volumes)
        self.versions = OrderedDict((version.number, version) for version in state.versions)
        self.answered_requests = OrderedDict(state.answered_requests)

    def snapshot(self) -> bytes:
        """Return the full state, encoded."""
        return msgspec.msgpack.encode(self.state())

    def restore_bytes(self, data: bytes) -> None:
        """Replace the full state by an encoded one.

        Raises:
            msgspec.ValidationError: The data is no snapshot.
        """
        self.restore(msgspec.msgpack.decode(data, type=VersionLogState))

    def _put(self, command: PutVersion) -> PutOutcome:
        """Append a version, or refuse it and change nothing."""
        newest_number = self.newest_number
        if command.based_on != newest_number:
            return PutOutcome(
                refusal=f"{newest_number} is the newest, not {command.based_on}: look at it, then put again"
            )
        try:
            text = self._full_text(command)
        except ConfigContentError as error:
            return PutOutcome(refusal=str(error))
        if text_digest(text) != command.digest:
            return PutOutcome(refusal="its text is not the one that its digest is of")
        if len(text.encode()) > MAX_TEXT_BYTES:
            return PutOutcome(refusal=f"more than {MAX_TEXT_BYTES} bytes")
        current = self.divisors or command.old_divisors
        old_divisors = replaced_divisors(current, command.divisors) if current is not None else None
        move_started = newest_number + 1
        if old_divisors is not None and self.moving_number:
            return PutOutcome(refusal=f"parts still move: wait {newest_number}")
        if old_divisors is None:
            # A version without a move of its own stays in the joint phase until an earlier move is settled.
            old_divisors, move_started = self._current_move()
        removed = self._removed_volumes(command, current)
        if len(removed) > MAX_REMOVED_VOLUMES:
            return PutOutcome(
                refusal=f"more than {MAX_REMOVED_VOLUMES} volumes went since parts were settled last"
            )
        return self._append(command, text, old_divisors, move_started, removed)

    def _full_text(self, command: PutVersion) -> str:
        if command.text is not None:
            return command.text
        newest = self.newest
        return apply_hunks(newest.text if newest else "", command.hunks)

    def _current_move(self) -> tuple[QuotaDivisors | None, int]:
        """Return the old divisors and the first version of the unsettled move; None and 0 without one."""
        newest = self.newest
        if newest is None or not self.moving_number:
            return None, 0
        return newest.old_divisors, newest.move_started

    def _removed_volumes(self, command: PutVersion, current: QuotaDivisors | None) -> list[tuple[str, int]]:
        """Return the current volumes that the new version does not have, with their divisors."""
        if current is None:
            return []
        present = {volume for volume, _ in command.divisors.hosts}
        return [(volume, count) for volume, count in current.hosts if volume not in present]

    def _append(
        self,
        command: PutVersion,
        text: str,
        old_divisors: QuotaDivisors | None,
        move_started: int,
        removed: list[tuple[str, int]],
    ) -> PutOutcome:
        newest = self.newest
        number = self.newest_number + 1
        previous_digest = newest.digest if newest is not None else NO_DIGEST
        version = ConfigVersion(
            number, previous_digest, text, command.author, self.now, old_divisors, move_started
        )
        self.versions[number] = version
        self.removed_volumes = {volume: self.removed_volumes.get(volume, number) for volume, _ in removed}
        hosts = tuple(sorted([*command.divisors.hosts, *removed]))
        self.divisors = QuotaDivisors(command.divisors.dispatchers, hosts)
        if old_divisors is None:
            self.settled_number = number
        self._drop_oldest()
        return self._outcome(version)

    def _settle(self, command: SettleVersion) -> PutOutcome:
        """Settle the quota move, and drop the volumes that were removed no later than the move began."""
        newest = self.newest
        if newest is None or not self.moving_number or self.moving_number != command.number:
            return PutOutcome(refusal=f"no parts move since {command.number}")
        self.settled_number = newest.number
        forgotten = {volume for volume, since in self.removed_volumes.items() if since <= command.number}
        self.removed_volumes = {
            volume: since for volume, since in self.removed_volumes.items() if volume not in forgotten
        }
        assert self.divisors is not None
        hosts = tuple((volume, count) for volume, count in self.divisors.hosts if volume not in forgotten)
        self.divisors = QuotaDivisors(self.divisors.dispatchers, hosts)
        return self._outcome(newest)

    def _outcome(self, version: ConfigVersion) -> PutOutcome:
        return PutOutcome(version.number, self.stage, version.digest_prefix)

    def _drop_oldest(self) -> None:
        length = sum(len(version.text.encode()) for version in self.versions.values())
        while len(self.versions) > 1 and (
            len(self.versions) > MAX_STORED_VERSIONS or length > MAX_STORED_BYTES
        ):
            _, dropped = self.versions.popitem(last=False)
            length -= len(dropped.text.encode())
