"""Records of the configuration's versions, and the log commands that create and settle them.

A version's digest chains to the one before it: it covers the previous digest, the version's number, text,
author and time, and the quota move that the version is part of. Members name a version by its stage and the
first bytes of its digest.

A quota part is a dispatcher's share of a volume's limit or of what a cold node may get. Quotas move when a
version divides them among another number of dispatchers. The stage is twice the version's number while such a
move is not settled (the joint phase), and one more once it is. A version without a move is settled at once.

Free of I/O, clock and random sources. Times are those of the council's leaders, in ms.
"""

from __future__ import annotations

import hashlib
from functools import cached_property

import msgspec

from cherrygrade.fleet.config.text_diff import DiffHunk

MAX_TEXT_BYTES = 262_144
"""The maximum length of a version's text in UTF-8."""
NO_DIGEST = bytes(32)
"""The previous digest of the first version."""
DIGEST_PREFIX_BYTES = 8


class QuotaDivisors(msgspec.Struct, array_like=True, frozen=True):
    """Among how many dispatchers quotas are divided; fields are positional on the wire and on disk.

    Attributes:
        dispatchers: The number of seats of the fleet of record; cold nodes' quotas are divided by it.
        hosts: For each volume, sorted by name, the number of dispatchers that its requests come through; the
            volume's limit is divided by it.
    """

    dispatchers: int
    hosts: tuple[tuple[str, int], ...] = ()

    def of(self, volume: str) -> int:
        """Return the number of dispatchers of a volume; 0 for an unknown one."""
        return dict(self.hosts).get(volume, 0)


def replaced_divisors(old: QuotaDivisors, new: QuotaDivisors) -> QuotaDivisors | None:
    """Return the old divisors that the new ones replace.

    Returns:
        The seats of `old`, and the volumes that both have with different counts; None if nothing changes. A
        volume that was added or removed is left out: an added one has no quota parts yet, and a removed one
        has none any longer.
    """
    new_counts = dict(new.hosts)
    hosts = tuple((volume, count) for volume, count in old.hosts if new_counts.get(volume, count) != count)
    return QuotaDivisors(old.dispatchers, hosts) if hosts or old.dispatchers != new.dispatchers else None


class ConfigCommand(msgspec.Struct, array_like=True, frozen=True, tag_field="op", tag="Op"):
    """Base of the commands in the log; fields are positional on the wire and on disk.

    Attributes:
        leader_time_ms: The time of the leader that proposed the command, in ms.
    """

    leader_time_ms: float


class PutVersion(ConfigCommand, frozen=True, tag="v"):
    """Creates a new version.

    Attributes:
        id: The request's id, chosen by the client, so that a repeated request creates a single version.
        based_on: The number of the newest version that the author saw; 0 if there was none.
        text: The full text; None if it is given as a difference.
        hunks: The difference from the text of version `based_on`.
        digest: The SHA-256 of the full text.
        author: Who requested the version.
        divisors: The quota divisors of the new text.
        old_divisors: The quota divisors before this version; used for the first version only.
    """

    id: str
    based_on: int
    text: str | None
    hunks: tuple[DiffHunk, ...]
    digest: bytes
    author: str
    divisors: QuotaDivisors
    old_divisors: QuotaDivisors | None = None


class SettleVersion(ConfigCommand, frozen=True, tag="s"):
    """Ends a quota move, because all members use the smaller of their old and new parts.

    Attributes:
        number: The number of the version with which the move began.
    """

    number: int


AnyConfigCommand = PutVersion | SettleVersion
"""Every configuration command of the log."""


class ConfigVersion(msgspec.Struct, array_like=True, frozen=True, dict=True):
    """One version of the configuration; fields are positional on the wire and on disk.

    Attributes:
        number: The version's number, from 1.
        previous_digest: The digest of the version before it.
        text: The full text.
        author: Who requested the version.
        created_at: When the version was created, by the leader's clock, in ms.
        old_divisors: The divisors that quotas move away from, as of `replaced_divisors`; None if
            no quotas move.
        move_started: The number of the version with which that move began; 0 if no quotas move.
    """

    number: int
    previous_digest: bytes
    text: str
    author: str
    created_at: float
    old_divisors: QuotaDivisors | None = None
    move_started: int = 0

    @cached_property
    def digest(self) -> bytes:
        """The SHA-256 of the previous digest and all other fields."""
        fields = (
            self.number,
            self.text,
            self.author,
            self.created_at,
            self.old_divisors,
            self.move_started,
        )
        return hashlib.sha256(self.previous_digest + msgspec.msgpack.encode(fields)).digest()

    @property
    def digest_prefix(self) -> int:
        """The first 8 bytes of the digest as an integer, as members exchange it."""
        return int.from_bytes(self.digest[:DIGEST_PREFIX_BYTES], "big")

    def stage(self, settled: bool) -> int:
        """Return the version's stage.

        Args:
            settled: Whether the quota move that the version is part of is settled. A version without a move
                is always settled.
        """
        return 2 * self.number + (settled or self.old_divisors is None)


class PutOutcome(msgspec.Struct, array_like=True, frozen=True):
    """The result of a command; fields are positional on the wire and on disk.

    Attributes:
        number: The number of the version that was created or settled; 0 for none.
        stage: The stage of the newest version.
        digest_prefix: The digest prefix of that version.
        refusal: For operators, why the command changed nothing; "" if it was carried out.
    """

    number: int = 0
    stage: int = 0
    digest_prefix: int = 0
    refusal: str = ""


def text_digest(text: str) -> bytes:
    """Return the SHA-256 of a text, as in `PutVersion.digest`."""
    return hashlib.sha256(text.encode()).digest()


def encode(command: AnyConfigCommand) -> bytes:
    """Return a command as the log stores it, without the prefix that tells kinds of entries apart."""
    return msgspec.msgpack.encode(command)


_decoder = msgspec.msgpack.Decoder(AnyConfigCommand)


def decode(payload: bytes) -> AnyConfigCommand:
    """Return the command of a log entry, given without the prefix that tells kinds of entries apart.

    Raises:
        msgspec.MsgspecError: The payload is no valid command.
        UnicodeDecodeError: A text in the payload is not valid UTF-8.
    """
    command: AnyConfigCommand = _decoder.decode(payload)
    return command
