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
from difflib import SequenceMatcher
from functools import cached_property

import msgspec

MOST_TEXT = 262_144  # bytes of a version's text, UTF-8
MOST_KEPT, MOST_KEPT_BYTES = 32, 2_097_152  # versions that a snapshot keeps whole; the newest stays always
MOST_GONE = 4096  # volumes that went and may be in use yet by who was cut off
MOST_ASKS = 256  # answers kept for who asks again
MOST_LINES = 2000  # lines between common ends that are compared one by one; of more a difference is one piece
NO_DIGEST = bytes(32)  # before the first


class ConfigContentError(ValueError):
    """What came is not the version that was asked for; nothing of it is taken."""


class QuotaDivisors(msgspec.Struct, array_like=True, frozen=True):
    """Among how many parts are dealt out: seats of the fleet of record; for each volume (sorted by name) the
    dispatchers that it comes through."""

    dispatchers: int
    hosts: tuple[tuple[str, int], ...] = ()

    def of(self, volume: str) -> int:
        """0 where this one knows no such volume."""
        return dict(self.hosts).get(volume, 0)


def moves(old: QuotaDivisors, now: QuotaDivisors) -> QuotaDivisors | None:
    """What parts move away from: of `old` the seats, and the volumes that both know and deal out otherwise;
    None where nothing moves. A volume that comes has no parts yet, one that goes has none any more."""
    told = dict(now.hosts)
    hosts = tuple((volume, count) for volume, count in old.hosts if told.get(volume, count) != count)
    return QuotaDivisors(old.dispatchers, hosts) if hosts or old.dispatchers != now.dispatchers else None


class DiffHunk(msgspec.Struct, array_like=True, frozen=True):
    """From line `at` (0 the first, of the text before) `drop` lines are replaced by these (ends kept)."""

    at: int
    drop: int
    lines: tuple[str, ...] = ()


class ConfigCommand(msgspec.Struct, array_like=True, frozen=True, tag_field="op", tag="Op"):
    """An entry's payload behind its prefix. `at`: ms by the clock of whoever led."""

    at: float


class PutVersion(ConfigCommand, frozen=True, tag="v"):
    """A new version, behind `based_on` (number of the newest that its asker saw; 0 for the first).

    `id`: the asker's own, so that asking again does nothing twice. `text` whole, or None and `hunks` against
    the text of `based_on`. `digest`: sha256 of the whole text. `now`: divisors of the site that comes of
    it, `old`: of the site before, which counts for the first version only (own files).
    """

    id: str
    based_on: int
    text: str | None
    hunks: tuple[DiffHunk, ...]
    digest: bytes
    by: str
    now: QuotaDivisors
    old: QuotaDivisors | None = None


class SettleVersion(ConfigCommand, frozen=True, tag="s"):
    """The move of parts that began with version `number` is over: all of record use the smaller parts."""

    number: int


AnyConfigCommand = PutVersion | SettleVersion


class ConfigVersion(msgspec.Struct, array_like=True, frozen=True, dict=True):
    """One version. `before`: digest of the one before it. `old`: what parts move away from (`moves`), None
    where none move; `moved`: the version with which that move began (0: none moves)."""

    number: int
    before: bytes
    text: str
    by: str
    at: float
    old: QuotaDivisors | None = None
    moved: int = 0

    @cached_property
    def digest(self) -> bytes:
        """32 bytes, over all of it and the digest before."""
        told = (self.number, self.text, self.by, self.at, self.old, self.moved)
        return hashlib.sha256(self.before + msgspec.msgpack.encode(told)).digest()

    @property
    def mark(self) -> int:
        return int.from_bytes(self.digest[:8], "big")

    def stage(self, settled: bool) -> int:
        return 2 * self.number + (settled or self.old is None)


class PutOutcome(msgspec.Struct, array_like=True, frozen=True):
    """What an entry came to: the version's number, stage and mark; or why it did nothing."""

    number: int = 0
    stage: int = 0
    mark: int = 0
    waits: str = ""


class VersionLogState(msgspec.Struct, array_like=True):
    """All of it, for a snapshot."""

    now: float
    kept: list[ConfigVersion]
    settled: int
    parts: QuotaDivisors | None
    gone: dict[str, int]
    asks: list[tuple[str, PutOutcome]]


class VersionContent(msgspec.Struct, array_like=True, frozen=True):
    """A version on its way: `version` with its text, or with text "" and `hunks` against version `base`."""

    version: ConfigVersion
    base: int = 0
    hunks: tuple[DiffHunk, ...] = ()


def text_digest(text: str) -> bytes:
    """For `PutVersion.digest`."""
    return hashlib.sha256(text.encode()).digest()


def difference(old: str, new: str) -> tuple[DiffHunk, ...]:
    """By lines, in order."""
    was, told = old.splitlines(keepends=True), new.splitlines(keepends=True)
    most = min(len(was), len(told))
    head = next((at for at in range(most) if was[at] != told[at]), most)
    tail = next((at for at in range(most - head) if was[-1 - at] != told[-1 - at]), most - head)
    was, told = was[head : len(was) - tail], told[head : len(told) - tail]
    if len(was) + len(told) > MOST_LINES:
        return (DiffHunk(head, len(was), tuple(told)),)
    codes = SequenceMatcher(None, was, told, autojunk=False).get_opcodes()
    return tuple(DiffHunk(head + a, b - a, tuple(told[c:d])) for kind, a, b, c, d in codes if kind != "equal")


def patched(old: str, hunks: tuple[DiffHunk, ...]) -> str:
    """WrongContent where the hunks do not fit."""
    was, done = old.splitlines(keepends=True), 0
    lines: list[str] = []
    for hunk in hunks:
        if hunk.at < done or hunk.drop < 0 or hunk.at + hunk.drop > len(was):
            raise ConfigContentError("a difference that does not fit what it is against")
        lines += was[done : hunk.at]
        lines += hunk.lines
        done = hunk.at + hunk.drop
    return "".join([*lines, *was[done:]])


def content(version: ConfigVersion, base: ConfigVersion | None) -> VersionContent:
    """What is sent to who holds `base` (None: nothing): the difference where it is smaller, else whole."""
    if base is not None:
        hunks = difference(base.text, version.text)
        if len(msgspec.msgpack.encode(hunks)) < len(version.text.encode()):
            return VersionContent(msgspec.structs.replace(version, text=""), base.number, hunks)
    return VersionContent(version)


def taken(came: VersionContent, number: int, mark: int, base: ConfigVersion | None) -> ConfigVersion:
    """The whole version, checked by its digest against what witnesses said; WrongContent else."""
    version = came.version
    if came.base:
        if base is None:  # against another than what was told the digest would not fit
            raise ConfigContentError("a difference against what is not held")
        version = msgspec.structs.replace(version, text=patched(base.text, came.hunks))
    if len(version.text.encode()) > MOST_TEXT:
        raise ConfigContentError(f"more than {MOST_TEXT} bytes")
    if (version.number, version.mark) != (number, mark):
        raise ConfigContentError("its digest is not the one that witnesses told")
    return version


def encode(op: AnyConfigCommand) -> bytes:
    """Without the log's prefix."""
    return msgspec.msgpack.encode(op)


_decoder = msgspec.msgpack.Decoder(AnyConfigCommand)


def decode(payload: bytes) -> AnyConfigCommand:
    """MsgspecError, UnicodeDecodeError where it can't be read."""
    found: AnyConfigCommand = _decoder.decode(payload)
    return found


class VersionLog:
    """`kept`: by number, the newest MOST_KEPT as far as MOST_KEPT_BYTES hold them; `settled`: the newest
    version whose parts are settled, with all before it; `asks`: the last MOST_ASKS answers. `parts`: how the
    newest deals out, with volumes that went (`gone`, since which number): who was cut off since may use its
    part yet, so that one that comes again moves from it. They go as a later move is settled, which proves
    that nobody is on such a version."""

    def __init__(self) -> None:
        self.now = 0.0
        self.kept: OrderedDict[int, ConfigVersion] = OrderedDict()
        self.settled = 0
        self.parts: QuotaDivisors | None = None
        self.gone: dict[str, int] = {}
        self.asks: OrderedDict[str, PutOutcome] = OrderedDict()

    @property
    def newest(self) -> ConfigVersion | None:
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

    def apply(self, index: int, payload: bytes) -> PutOutcome:
        """One agreed entry, without the log's prefix. One that can't be read does nothing, on every voter
        alike."""
        try:
            op = decode(payload)
        except (msgspec.MsgspecError, UnicodeDecodeError):
            return PutOutcome(waits="an entry that can't be read")
        self.now = max(self.now, op.at)
        if isinstance(op, SettleVersion):
            return self._settle(op)
        if op.id not in self.asks:
            self.asks[op.id] = self._put(op)
            while len(self.asks) > MOST_ASKS:
                self.asks.popitem(last=False)
        return self.asks[op.id]

    def _put(self, op: PutVersion) -> PutOutcome:
        newest, number = self.newest, self._number()
        if op.based_on != number:
            return PutOutcome(waits=f"{number} is the newest, not {op.based_on}: look at it, then put again")
        try:
            text = op.text if op.text is not None else patched(newest.text if newest else "", op.hunks)
        except ConfigContentError as wrong:
            return PutOutcome(waits=str(wrong))
        if text_digest(text) != op.digest:
            return PutOutcome(waits="its text is not the one that its digest is of")
        if len(text.encode()) > MOST_TEXT:
            return PutOutcome(waits=f"more than {MOST_TEXT} bytes")
        was = self.parts or op.old
        old, moved = moves(was, op.now) if was is not None else None, number + 1
        if old is not None and self.moving:
            return PutOutcome(waits=f"parts still move: wait {number}")
        if old is None:
            old, moved = (newest.old, newest.moved) if newest is not None and self.moving else (None, 0)
        told, gone = {name for name, _ in op.now.hosts}, [] if was is None else [*was.hosts]
        gone = [one for one in gone if one[0] not in told]
        if len(gone) > MOST_GONE:
            return PutOutcome(waits=f"more than {MOST_GONE} volumes went since parts were settled last")
        before = newest.digest if newest is not None else NO_DIGEST
        version = ConfigVersion(number + 1, before, text, op.by, self.now, old, moved)
        self.kept[version.number] = version
        self.gone = {name: self.gone.get(name, version.number) for name, _ in gone}
        self.parts = QuotaDivisors(op.now.dispatchers, tuple(sorted([*op.now.hosts, *gone])))
        if old is None:
            self.settled = version.number
        self._bound()
        return self._told(version)

    def _settle(self, op: SettleVersion) -> PutOutcome:
        newest = self.newest
        if newest is None or not self.moving or self.moving != op.number:
            return PutOutcome(waits=f"no parts move since {op.number}")
        self.settled = newest.number
        past = {name for name, since in self.gone.items() if since <= op.number}
        self.gone = {name: since for name, since in self.gone.items() if name not in past}
        assert self.parts is not None
        hosts = tuple(one for one in self.parts.hosts if one[0] not in past)
        self.parts = QuotaDivisors(self.parts.dispatchers, hosts)
        return self._told(newest)

    def _number(self) -> int:
        newest = self.newest
        return newest.number if newest is not None else 0

    def _told(self, version: ConfigVersion) -> PutOutcome:
        return PutOutcome(version.number, self.stage, version.mark)

    def _bound(self) -> None:
        length = sum(len(one.text.encode()) for one in self.kept.values())
        while len(self.kept) > 1 and (len(self.kept) > MOST_KEPT or length > MOST_KEPT_BYTES):
            length -= len(self.kept.popitem(last=False)[1].text.encode())

    def state(self) -> VersionLogState:
        kept, asks = [*self.kept.values()], [*self.asks.items()]
        return VersionLogState(self.now, kept, self.settled, self.parts, dict(self.gone), asks)

    def restore(self, state: VersionLogState) -> None:
        self.now, self.settled = state.now, state.settled
        self.parts, self.gone = state.parts, dict(state.gone)
        self.kept = OrderedDict((one.number, one) for one in state.kept)
        self.asks = OrderedDict(state.asks)

    def snapshot(self) -> bytes:
        return msgspec.msgpack.encode(self.state())

    def restore_bytes(self, data: bytes) -> None:
        """ValidationError where it is no snapshot."""
        self.restore(msgspec.msgpack.decode(data, type=VersionLogState))
