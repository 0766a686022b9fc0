"""Records of the configuration's versions, and the commands of the log that make them.

A version's digest is a chain: over the digest before it, its number, its text and the quota parts that it
moves. Members name a version by its stage and digest prefix. The stage is twice the number while quota parts
still move (the joint phase), and one more once they are settled; a version that moves none is settled at
once. Free of I/O, clock and chance; times are the leaders', in ms.
"""

from __future__ import annotations

import hashlib
from functools import cached_property

import msgspec

from cherrygrade.fleet.config.text_diff import DiffHunk

MAX_TEXT_BYTES = 262_144
"""Of a version's text, UTF-8."""
NO_DIGEST = bytes(32)
"""What the first version has for the digest before it."""
DIGEST_PREFIX_BYTES = 8


class QuotaDivisors(msgspec.Struct, array_like=True, frozen=True):
    """Among how many dispatchers quotas are divided; positional on the wire and on disk.

    Attributes:
        dispatchers: The seats of the fleet of record.
        hosts: By volume, sorted by name, the dispatchers that its requests come through.
    """

    dispatchers: int
    hosts: tuple[tuple[str, int], ...] = ()

    def of(self, volume: str) -> int:
        """The dispatchers of a volume; 0 for an unknown one."""
        return dict(self.hosts).get(volume, 0)


def moves(old: QuotaDivisors, new: QuotaDivisors) -> QuotaDivisors | None:
    """The divisors that quota parts move away from.

    Returns:
        Of `old` the seats, and the volumes that both have with different counts; None where nothing moves. A
        volume that is new has no parts yet, one that is removed has none any more.
    """
    new_counts = dict(new.hosts)
    hosts = tuple((volume, count) for volume, count in old.hosts if new_counts.get(volume, count) != count)
    return QuotaDivisors(old.dispatchers, hosts) if hosts or old.dispatchers != new.dispatchers else None


class ConfigCommand(msgspec.Struct, array_like=True, frozen=True, tag_field="op", tag="Op"):
    """Base of the commands in the log; positional on the wire and on disk.

    Attributes:
        at: The clock of whoever led, in ms.
    """

    at: float


class PutVersion(ConfigCommand, frozen=True, tag="v"):
    """Makes a new version.

    Attributes:
        id: Chosen by the client, so that a repeated request makes one version.
        based_on: The number of the newest version that the author saw; 0 for the first one.
        text: The whole text; None where it comes as a difference.
        hunks: The difference from the text of `based_on`.
        digest: The SHA-256 of the whole text.
        author: Who made it.
        divisors: The quota divisors of the new text.
        old_divisors: Those of the site before it; counts for the first version only.
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
    """Ends the move of quota parts that began with this version: all members use the smaller parts."""

    number: int


AnyConfigCommand = PutVersion | SettleVersion
"""Every command of this part of the log."""


class ConfigVersion(msgspec.Struct, array_like=True, frozen=True, dict=True):
    """One version of the configuration; positional on the wire and on disk.

    Attributes:
        number: Counts from 1.
        previous_digest: The digest of the version before it.
        text: The whole text.
        author: Who made it.
        created_at: The leaders' time when it was made, in ms.
        old_divisors: What quota parts move away from, as of `moves`; None where none move.
        move_started: The version with which that move began; 0 where none move.
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
        """The SHA-256 over all of it and the digest before."""
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
        """The first 8 bytes of the digest, as members tell each other."""
        return int.from_bytes(self.digest[:DIGEST_PREFIX_BYTES], "big")

    def stage(self, settled: bool) -> int:
        """Its stage; `settled`: whether its quota parts, if it moves any, are settled."""
        return 2 * self.number + (settled or self.old_divisors is None)


class PutOutcome(msgspec.Struct, array_like=True, frozen=True):
    """What a command came to; positional on the wire.

    Attributes:
        number: The version's number; 0 where there is none.
        stage: The stage of the newest version.
        digest_prefix: The version's.
        refusal: Why nothing was changed, as a text for people; "" where it was.
    """

    number: int = 0
    stage: int = 0
    digest_prefix: int = 0
    refusal: str = ""


def text_digest(text: str) -> bytes:
    """The digest for `PutVersion.digest`."""
    return hashlib.sha256(text.encode()).digest()


def encode(command: AnyConfigCommand) -> bytes:
    """A command as the log has it, without the prefix."""
    return msgspec.msgpack.encode(command)


_decoder = msgspec.msgpack.Decoder(AnyConfigCommand)


def decode(payload: bytes) -> AnyConfigCommand:
    """A command of the log, without the prefix.

    Raises:
        msgspec.MsgspecError: It can't be read.
        UnicodeDecodeError: Likewise.
    """
    command: AnyConfigCommand = _decoder.decode(payload)
    return command
