"""The one order of versions, as the council's log deals it out: the same entries come to the same on every
voter, whatever program it runs: texts are judged before they are proposed, never here.

A version's digest is a chain: over the digest before it, its number, its text and the parts that it moves. A
page tells a version by (stage, mark): the stage is twice the number while parts still move (joint), and one
more once they are settled; a version that moves none is settled at once. The mark is the digest's first 8
bytes. Free of I/O, clock and chance; times are the leaders', ms.
"""

from __future__ import annotations

import hashlib
from collections import OrderedDict

import msgspec

MOST_TEXT = 262_144  # bytes of a version's text, UTF-8
MOST_KEPT, MOST_KEPT_BYTES = 32, 2_097_152  # versions that a snapshot keeps whole; the newest stays always
MOST_ASKS = 256  # answers kept for who asks again
MOST_LINES = 2000  # lines between common ends that are compared one by one; of more a difference is one piece
NO_DIGEST = bytes(32)  # before the first


class WrongContent(ValueError):
    """What came is not the version that was asked for; nothing of it is taken."""


class Divisors(msgspec.Struct, array_like=True, frozen=True):
    """Among how many parts are dealt out: seats of the fleet of record; for each volume (sorted by name) the
    dispatchers that it comes through."""

    dispatchers: int
    hosts: tuple[tuple[str, int], ...] = ()

    def of(self, volume: str) -> int:
        """0 where this one knows no such volume."""
        return dict(self.hosts).get(volume, 0)


class Hunk(msgspec.Struct, array_like=True, frozen=True):
    """From line `at` (0 the first, of the text before) `drop` lines are replaced by these (ends kept)."""

    at: int
    drop: int
    lines: tuple[str, ...] = ()


class Op(msgspec.Struct, array_like=True, frozen=True, tag_field="op"):
    """An entry's payload behind its prefix. `at`: ms by the clock of whoever led."""

    at: float


class Put(Op, frozen=True, tag="v"):
    """A new version, behind `based_on` (number of the newest that its asker saw; 0 for the first).

    `id`: the asker's own, so that asking again does nothing twice. `text` whole, or None and `hunks` against
    the text of `based_on`. `digest`: sha256 of the whole text. `now`: divisors of the site that comes of
    it, `old`: of the site before, which counts for the first version only (own files).
    """

    id: str
    based_on: int
    text: str | None
    hunks: tuple[Hunk, ...]
    digest: bytes
    by: str
    now: Divisors
    old: Divisors | None = None


class Settle(Op, frozen=True, tag="s"):
    """The move of parts that began with version `number` is over: all of record use the smaller parts."""

    number: int


Any_ = Put | Settle


class Version(msgspec.Struct, array_like=True, frozen=True):
    """One version. `before`: digest of the one before it. `old`: the divisors that parts move away from, None
    where none move; `moved`: the version with which that move began (0: none moves)."""

    number: int
    before: bytes
    text: str
    by: str
    at: float
    now: Divisors
    old: Divisors | None = None
    moved: int = 0

    @property
    def digest(self) -> bytes:
        """32 bytes, over all of it."""
        raise NotImplementedError

    @property
    def mark(self) -> int:
        return int.from_bytes(self.digest[:8], "big")

    def stage(self, settled: bool) -> int:
        return 2 * self.number + (settled or self.old is None)


class Told(msgspec.Struct, array_like=True, frozen=True):
    """What an entry came to: the version's number, stage and mark; or why it did nothing."""

    number: int = 0
    stage: int = 0
    mark: int = 0
    waits: str = ""


class State(msgspec.Struct, array_like=True):
    """All of it, for a snapshot."""

    now: float
    kept: list[Version]
    settled: int
    asks: list[tuple[str, Told]]


class Content(msgspec.Struct, array_like=True, frozen=True):
    """A version on its way: `version` with its text, or with text "" and `hunks` against version `base`."""

    version: Version
    base: int = 0
    hunks: tuple[Hunk, ...] = ()


def text_digest(text: str) -> bytes:
    """For `Put.digest`."""
    return hashlib.sha256(text.encode()).digest()


def difference(old: str, new: str) -> tuple[Hunk, ...]:
    """By lines, in order."""
    raise NotImplementedError


def patched(old: str, hunks: tuple[Hunk, ...]) -> str:
    """ValueError where the hunks do not fit."""
    raise NotImplementedError


def content(version: Version, base: Version | None) -> Content:
    """What is sent to who holds `base` (None: nothing): the difference where it is smaller, else whole."""
    raise NotImplementedError


def taken(came: Content, stage: int, mark: int, base: Version | None) -> Version:
    """The whole version, checked by its digest against what witnesses said; WrongContent else."""
    raise NotImplementedError


def encode(op: Any_) -> bytes:
    """Without the log's prefix."""
    return msgspec.msgpack.encode(op)


_decoder = msgspec.msgpack.Decoder(Any_)


def decode(payload: bytes) -> Any_:
    """MsgspecError, UnicodeDecodeError where it can't be read."""
    found: Any_ = _decoder.decode(payload)
    return found


class Versions:
    """`kept`: by number, the newest MOST_KEPT as far as MOST_KEPT_BYTES hold them; `settled`: the newest
    version whose parts are settled, with all before it; `asks`: the last MOST_ASKS answers."""

    def __init__(self) -> None:
        self.now = 0.0
        self.kept: OrderedDict[int, Version] = OrderedDict()
        self.settled = 0
        self.asks: OrderedDict[str, Told] = OrderedDict()

    @property
    def newest(self) -> Version | None:
        return next(reversed(self.kept.values()), None)

    @property
    def stage(self) -> int:
        """0: no configuration."""
        newest = self.newest
        return newest.stage(newest.number <= self.settled) if newest is not None else 0

    @property
    def moving(self) -> int:
        """The version with which a move of parts began that is not settled; 0: none moves."""
        newest = self.newest
        return newest.moved if newest is not None and newest.number > self.settled else 0

    def apply(self, index: int, payload: bytes) -> Told:
        """One agreed entry, without the log's prefix. One that can't be read does nothing, on every voter
        alike."""
        raise NotImplementedError

    def state(self) -> State:
        raise NotImplementedError

    def restore(self, state: State) -> None:
        raise NotImplementedError

    def snapshot(self) -> bytes:
        return msgspec.msgpack.encode(self.state())

    def restore_bytes(self, data: bytes) -> None:
        """ValidationError where it is no snapshot."""
        self.restore(msgspec.msgpack.decode(data, type=State))
