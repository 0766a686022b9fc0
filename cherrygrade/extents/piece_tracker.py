"""One client's RPC that goes as several pieces: which are taken when, and what their ends mean. Free of I/O.

A read is ok only with all its bytes, those of one extent all of one version: where an extent turns out to
have moved midway, its pieces go anew. A write that went in part is errored, never rejected: its ranges may
hold new bytes or old. A read may always be rejected, it has no effect.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Callable, Iterable
from dataclasses import dataclass
from enum import Enum

from cherrygrade.extents.extent_map import NOWHERE, Stretch


class End(Enum):
    OK = "ok"
    REJECTED = "rejected"
    ERRORED = "errored"


@dataclass(slots=True, eq=False)
class Piece:
    """A stretch with the home that it was last sent for. `turn` counts how often it went anew."""

    stretch: Stretch
    shard: int = NOWHERE
    version: int = -1
    turn: int = 0


class Parent:
    """`more` gives pieces to be taken now, at most `most_out` at once and `most_shard` of one shard.

    Pieces are made as they are taken: a large export that waits for room occupies little. Emptied by its end:
    pieces not yet taken are dropped at once then, `out` tells those that are.
    """

    def __init__(
        self, stretches: Iterable[Stretch], length: int, writes: bool, most_out: int, most_shard: int
    ) -> None:
        self.writes, self.most_out, self.most_shard = writes, most_out, most_shard
        self._to_come = iter(stretches)
        self.waiting: deque[Piece] = deque()  # those that go anew, or were passed over
        self.out: dict[Piece, None] = {}
        self.done: dict[int, list[Piece]] = {}  # by extent
        self.left = length  # bytes
        self.end: End | None = None if self.left else End.OK
        self.come_back_ms = 0.0
        self.begun = False  # something of it may have run

    def more(self, home: Callable[[int], tuple[int, int]], most: int = 1 << 30) -> list[Piece]:
        """Pieces to be taken now, so many at most; `home` tells an extent's shard and version."""
        if self.end is not None:
            return []
        by_shard: dict[int, int] = {}
        for flying in self.out:
            by_shard[flying.shard] = by_shard.get(flying.shard, 0) + 1
        taken: list[Piece] = []
        passed: list[Piece] = []
        most = min(most, self.most_out - len(self.out))
        while len(taken) < most and len(passed) < self.most_out:
            piece = self._next()
            if piece is None:
                break
            shard, version = home(piece.stretch.extent)
            if by_shard.get(shard, 0) >= self.most_shard:
                passed.append(piece)  # others of other shards may go before it
                continue
            piece.shard, piece.version = shard, version
            by_shard[shard] = by_shard.get(shard, 0) + 1
            taken.append(piece)
        self.waiting.extendleft(reversed(passed))
        for piece in taken:
            self.out[piece] = None
        return taken

    def _next(self) -> Piece | None:
        if self.waiting:
            return self.waiting.popleft()
        stretch = next(self._to_come, None)
        return None if stretch is None else Piece(stretch)

    def ok(self, piece: Piece, version: int) -> None:
        """Its bytes came, or were written, at this version of the extent."""
        if self.out.pop(piece, self) is not None or self.end is not None:
            return
        self.begun = True
        others = self.done.setdefault(piece.stretch.extent, [])
        if others and others[0].version != version and not self.writes:
            newer = version > others[0].version
            for old in others if newer else [piece]:
                old.turn += 1
                self.waiting.appendleft(old)
            self.left += sum(old.stretch.length for old in others) if newer else 0
            if not newer:
                return
            others.clear()
        piece.version = version
        others.append(piece)
        self.left -= piece.stretch.length
        if not self.left:
            self.end = End.OK

    def errored(self, piece: Piece) -> None:
        if self.out.pop(piece, self) is None:
            self.end = self.end or End.ERRORED

    def rejected(self, piece: Piece, come_back_ms: float) -> None:
        """The piece never ran, or may run again."""
        if self.out.pop(piece, self) is None and self.end is None:
            self.come_back_ms = come_back_ms
            partly = self.writes and (self.begun or bool(self.out))
            self.end = End.ERRORED if partly else End.REJECTED
