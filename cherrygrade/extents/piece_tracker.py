"""Decides which pieces of a split request to start, and the result of the request. Uses no I/O.

A read succeeds only with all of its bytes, and those of one extent all of the same version: if an extent
turns out to have moved during the read, its pieces are read again. A write that took effect in part is
errored, never rejected, because its ranges may hold new bytes or old ones. A read has no effect, so it may
always be rejected.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Callable, Iterable
from dataclasses import dataclass
from enum import Enum

from cherrygrade.extents.extent_map import UNKNOWN_SHARD, ExtentSlice


class Result(Enum):
    """The result of a request that was split."""

    OK = "ok"
    REJECTED = "rejected"
    ERRORED = "errored"


@dataclass(slots=True, eq=False)
class Piece:
    """A slice of the range, with the location that it was last sent to.

    Attributes:
        slice: The bytes.
        shard: Shard of the extent.
        version: Version of the extent.
        attempt: How often the piece was started again.
    """

    slice: ExtentSlice
    shard: int = UNKNOWN_SHARD
    version: int = -1
    attempt: int = 0


class PieceTracker:
    """The pieces of one request.

    A piece is created only when it is started, so that a large export that waits for memory
    occupies little. Once the request has a result, no further piece is started, and `in_flight` has
    those that are still running.

    Attributes:
        writes: The request is a write.
        max_in_flight: Maximum number of pieces in flight.
        max_per_shard: Maximum number of pieces in flight for one shard.
        waiting: Pieces to be started again, or that had to wait for the limit of their shard.
        in_flight: Pieces that were started and have no outcome, in the order of their start.
        completed: Pieces that succeeded, by extent.
        remaining_bytes: Bytes that did not succeed yet.
        result: The result of the request; None while it is open.
        come_back_ms: Retry delay for the client if the request is rejected, ms; 0 if none may be given.
        may_have_run: A piece may have taken effect.
    """

    def __init__(
        self,
        slices: Iterable[ExtentSlice],
        length: int,
        writes: bool,
        max_in_flight: int,
        max_per_shard: int,
    ) -> None:
        """Set up the pieces of a request.

        Args:
            slices: The slices of the range, in order; consumed as pieces are started.
            length: Length of the range, bytes.
            writes: The request is a write.
            max_in_flight: Maximum number of pieces in flight.
            max_per_shard: Maximum number of pieces in flight for one shard.
        """
        self.writes, self.max_in_flight, self.max_per_shard = writes, max_in_flight, max_per_shard
        self._slices = iter(slices)
        self.waiting: deque[Piece] = deque()
        self.in_flight: dict[Piece, None] = {}
        self.completed: dict[int, list[Piece]] = {}
        self.remaining_bytes = length
        self.result: Result | None = None if self.remaining_bytes else Result.OK
        self.come_back_ms = 0.0
        self.may_have_run = False

    def start(self, location: Callable[[int], tuple[int, int]], max_count: int = 1 << 30) -> list[Piece]:
        """Start further pieces.

        Args:
            location: Returns the shard and the version of an extent.
            max_count: Maximum number of pieces to start.

        Returns:
            The pieces that are in flight from now on.
        """
        if self.result is not None:
            return []
        by_shard: dict[int, int] = {}
        for running in self.in_flight:
            by_shard[running.shard] = by_shard.get(running.shard, 0) + 1
        started: list[Piece] = []
        skipped: list[Piece] = []
        max_count = min(max_count, self.max_in_flight - len(self.in_flight))
        while len(started) < max_count and len(skipped) < self.max_in_flight:
            piece = self._next()
            if piece is None:
                break
            shard, version = location(piece.slice.extent)
            if by_shard.get(shard, 0) >= self.max_per_shard:
                skipped.append(piece)  # pieces of other shards may be started before it
                continue
            piece.shard, piece.version = shard, version
            by_shard[shard] = by_shard.get(shard, 0) + 1
            started.append(piece)
        self.waiting.extendleft(reversed(skipped))
        for piece in started:
            self.in_flight[piece] = None
        return started

    def _next(self) -> Piece | None:
        if self.waiting:
            return self.waiting.popleft()
        next_slice = next(self._slices, None)
        return None if next_slice is None else Piece(next_slice)

    def ok(self, piece: Piece, version: int) -> None:
        """Note that the bytes of a piece were read, or written, at this version of the extent."""
        if self.in_flight.pop(piece, self) is not None or self.result is not None:
            return
        self.may_have_run = True
        others = self.completed.setdefault(piece.slice.extent, [])
        if others and others[0].version != version and not self.writes:
            # The extent moved during the read: the pieces of the older version have to be read again.
            is_newer = version > others[0].version
            for old in others if is_newer else [piece]:
                old.attempt += 1
                self.waiting.appendleft(old)
            self.remaining_bytes += sum(old.slice.length for old in others) if is_newer else 0
            if not is_newer:
                return
            others.clear()
        piece.version = version
        others.append(piece)
        self.remaining_bytes -= piece.slice.length
        if not self.remaining_bytes:
            self.result = Result.OK

    def errored(self, piece: Piece) -> None:
        """Note that a piece failed, and may have taken effect."""
        if self.in_flight.pop(piece, self) is None:
            self.result = self.result or Result.ERRORED

    def rejected(self, piece: Piece, come_back_ms: float) -> None:
        """Note that a piece did not run, or may be run again; the client may retry after `come_back_ms`."""
        if self.in_flight.pop(piece, self) is None and self.result is None:
            self.come_back_ms = come_back_ms
            has_partial_effect = self.writes and (self.may_have_run or bool(self.in_flight))
            self.result = Result.ERRORED if has_partial_effect else Result.REJECTED
