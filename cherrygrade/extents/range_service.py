"""Requests on byte ranges, between client sessions and the scheduler.

Locates ranges by the extent map, splits large ones into pieces, lets small ones wait to be coalesced, and
joins the results of pieces into one answer. The decisions are made by the other modules of this package; how
each piece is dispatched is up to the scheduler.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from itertools import pairwise
from typing import Any, Protocol

from cherrygrade.extents.coalescing_predictor import CoalescingPredictor
from cherrygrade.extents.extent_map import UNKNOWN_SHARD, ExtentMap, ExtentSlice
from cherrygrade.extents.piece_tracker import Piece, PieceTracker, Result
from cherrygrade.inflight import Body, ClientSession, InflightRequest, RangeRequest
from cherrygrade.peers.memory_admission import MemoryAdmission
from cherrygrade.peers.memory_budget import Reservation, is_waiting
from cherrygrade.peers.slow_peer_escalation import Step
from cherrygrade.scheduling.model import Idempotency, Workload
from cherrygrade.settings import ExtentSettings, TrafficSettings, VolumeSettings
from cherrygrade.wire.messages import Errored, MapPart, Ok, Part, ReadRpc, Rejected, WriteRpc

QUERY_RETRY_MS = 250.0
"""A query for a part of the map is repeated after this time, while requests still wait for the answer."""
STREAMING_FEATURE = "parts"
"""Clients with this feature receive the bytes of a read piece by piece."""


class RequestHost(Protocol):
    """What range requests need of the dispatcher."""

    @property
    def trade(self) -> TrafficSettings:
        """The workloads and volumes in force."""

    @property
    def rooms(self) -> MemoryAdmission:
        """Reservations of memory for bodies."""

    @property
    def come_back_ms(self) -> float:
        """Retry delay for rejected clients, ms."""

    @property
    def log(self) -> Callable[..., None]:
        """Writes a log event."""

    def clock(self) -> float:
        """Return the time, ms."""

    def answer_deadline_ms(self, session: ClientSession, ask: ReadRpc | WriteRpc) -> float:
        """Return the time by which the answer must be sent, ms; to be called once for a request."""

    def new_request(
        self,
        session: ClientSession,
        ask: ReadRpc | WriteRpc,
        body: Body,
        key: str,
        shard: int,
        start: int,
        length: int,
        until: float,
    ) -> InflightRequest:
        """Make a request for the scheduler on a part of the object `key`."""

    def submit_direct(self, session: ClientSession, ask: ReadRpc | WriteRpc, body: Body) -> InflightRequest:
        """Submit a request that needs no extent map."""

    def admit(self, held: InflightRequest) -> None:
        """Submit a request to the scheduler as soon as there is memory for its bytes."""

    def abandon(self, held: InflightRequest) -> None:
        """Make the scheduler stop working on a request."""

    def detach_claim(self, one: InflightRequest | RangeRequest) -> Reservation | None:
        """Take over the reservation of a request that is finished."""

    def pin_attempts(self, held: InflightRequest, claim: Reservation) -> None:
        """Keep the reservation while attempts of the request are in flight."""

    def discard_memory(self, one: InflightRequest | RangeRequest) -> None:
        """Release the reservation of a request whose bytes nobody gets."""

    def is_open(self, one: RangeRequest) -> bool:
        """Return whether the request was taken and has no final answer."""

    def send_final_answer(
        self, one: InflightRequest | RangeRequest, message: Ok | Rejected | Errored, body: Body = None
    ) -> None:
        """Send the final answer of a request to its client."""

    def extents_located(self) -> None:
        """Make the scheduler reconsider requests whose extent is located now."""


class SplitRequest:
    """A client request that runs as several pieces, or that waits for the map.

    Attributes:
        service: The range service.
        session: The client.
        rpc: The message of the client.
        deadline_ms: Time by which the answer must be sent, ms.
        workload, volume: As they were when the request was taken; settings that come into force later may
            lack them.
        writes: The request is a write.
        length: Length of the range, bytes.
        streams: The client receives the bytes of the read piece by piece.
        buffer: The bytes to write, or the bytes of a read that is not streamed; None if there are none yet.
        claim: Memory for the buffer of a read; the pieces of a streamed read have reservations of their own.
        waiting_piece: The piece that waited for memory when pieces were last started.
        requests: The requests of the pieces in flight; emptied as they finish, and by the end of the request.
        tracker: Decides which pieces to start.
    """

    def __init__(
        self,
        service: RangeService,
        session: ClientSession,
        rpc: ReadRpc | WriteRpc,
        body: Any,
        deadline_ms: float,
        workload: Workload,
        volume: VolumeSettings,
    ) -> None:
        self.service, self.session, self.rpc, self.deadline_ms = service, session, rpc, deadline_ms
        self.workload, self.volume = workload, volume
        self.writes = isinstance(rpc, WriteRpc)
        self.length = rpc.length if isinstance(rpc, ReadRpc) else len(body or b"")
        self.streams = not self.writes and STREAMING_FEATURE in session.features
        self.buffer = memoryview(body or b"") if self.writes else None
        self.claim: Reservation | None = None
        self.waiting_piece: InflightRequest | None = None
        self.requests: dict[Piece, InflightRequest] = {}
        self.tracker = PieceTracker([ExtentSlice(-1, 0, self.length, 0)], self.length, self.writes, 1, 1)

    def begin(self) -> None:
        """Reserve memory for the buffer of a read that is not streamed, then locate the range."""
        session, rpc, rooms = self.session, self.rpc, self.service.host.rooms
        if not (self.writes or self.streams) and self.length:
            self.claim = rooms.reserve(
                session.account, rpc.workload, rpc.volume, self.length, self, rpc.left_ms
            )
            if is_waiting(self.claim):
                return
        self.service.locate(self)

    def reservation_granted(self, reservation: Reservation) -> None:
        """Go on: there is memory for the buffer."""
        self.service.locate(self)

    def reservation_timed_out(self, reservation: Reservation) -> None:
        """Reject the request: no memory for the buffer became available in time."""
        self.drop()
        host = self.service.host
        host.send_final_answer(self, Rejected(self.rpc.id, host.come_back_ms, "no room for its bytes"))

    def split(self) -> None:
        """Split the range by the map, which is known now; no piece was sent to a node before."""
        self.drop()
        settings, rpc = self.service.settings, self.rpc
        if not self.streams and self.buffer is None:
            self.buffer = memoryview(bytearray(self.length))
        slices = self.service.map.slices(rpc.volume, rpc.offset, self.length, settings.most_piece)
        self.tracker = PieceTracker(
            slices, self.length, self.writes, settings.pieces, settings.pieces_a_shard
        )
        self.start_pieces()

    @property
    def pieces(self) -> list[InflightRequest]:
        """The requests of the pieces in flight."""
        return [*self.requests.values()]

    def start_pieces(self) -> None:
        """Start further pieces, unless the client is slow to take the bytes of earlier ones.

        Bytes of pieces in flight count like bytes that wait to be sent.
        """
        session = self.session
        is_narrowed = session.slow >= Step.NARROW and bool(session.conn.waiting or session.bytes_in_flight)
        if is_narrowed or session.conn.waiting + session.bytes_in_flight >= session.conn.high:
            session.waiting_ranges[self] = None
            return
        session.waiting_ranges.pop(self, None)
        if self.waiting_piece is not None and is_waiting(self.waiting_piece.claim):
            return  # one piece that waits for memory is enough: others would wait behind it
        service, self.waiting_piece = self.service, None
        max_count = 1 if service.host.rooms.budget.waiting_count else service.settings.pieces
        for piece in self.tracker.start(
            lambda extent: service.map.location(self.rpc.volume, extent), max_count
        ):
            request = service.new_piece_request(self, piece)
            self.requests[piece] = request
            session.bytes_in_flight += piece.slice.length
            service.host.admit(request)
            if is_waiting(request.claim):
                self.waiting_piece = request

    def ok(self, held: InflightRequest) -> None:
        """Take in that a piece succeeded: pass its bytes on and start further pieces."""
        piece, body = held.piece, held.body
        assert isinstance(piece, Piece)
        part = piece.slice
        if self.streams and body is not None:
            self.session.send_message(
                Part(self.rpc.id, part.range_offset), body, self.service.host.detach_claim(held)
            )
        elif (
            self.buffer is not None and not self.writes and body is not None and body is not held.destination
        ):
            self.buffer[part.range_offset : part.range_offset + part.length] = body
        self._finish_piece(piece)
        held.body = held.destination = (
            None  # in a reference cycle the bytes would stay until the next collection
        )
        self.tracker.ok(piece, held.version)
        self._advance()

    def rejected(self, held: InflightRequest, come_back_ms: float) -> None:
        """Take in that a piece was rejected; the client may retry after `come_back_ms`."""
        assert isinstance(held.piece, Piece)
        self._finish_piece(held.piece)
        if any(attempt.outcome is None or not attempt.outcome.never_ran for attempt in held.attempts):
            self.tracker.may_have_run = True
        self.tracker.rejected(held.piece, come_back_ms)
        self._advance()

    def errored(self, held: InflightRequest) -> None:
        """Take in that a piece failed, and may have taken effect."""
        assert isinstance(held.piece, Piece)
        self._finish_piece(held.piece)
        self.tracker.errored(held.piece)
        self._advance()

    def _finish_piece(self, piece: Piece) -> None:
        request = self.requests.pop(piece, None)
        if request is not None:
            self._discard(request)

    def _advance(self) -> None:
        """Send the answer if there is a result, and start further pieces.

        Other ranges of the client that waited for it to take bytes may go on as well.
        """
        result, tracker = self.tracker.result, self.tracker
        session = self.session
        if result is None:
            self.start_pieces()
        for waiting_range in [*session.waiting_ranges][:4]:
            waiting_range.start_pieces()
        if result is None:
            return
        self.drop()
        rpc, host = self.rpc, self.service.host
        if result is Result.OK:
            body = None if self.streams or self.writes else self.buffer
            host.send_final_answer(self, Ok(rpc.id, -1), body)
        elif result is Result.REJECTED:
            host.send_final_answer(self, Rejected(rpc.id, tracker.come_back_ms, "a piece of it was rejected"))
        else:
            reason = (
                "a piece failed: its ranges may hold new bytes or old" if self.writes else "a piece failed"
            )
            host.send_final_answer(self, Errored(rpc.id, reason))

    def drop(self) -> None:
        """Abandon all pieces in flight."""
        self.session.waiting_ranges.pop(self, None)
        requests, self.requests = self.requests, {}
        for request in requests.values():
            self.service.host.abandon(request)
            self._discard(request)

    def _discard(self, request: InflightRequest) -> None:
        host = self.service.host
        self.session.bytes_in_flight -= request.length
        if self.claim is not None:
            host.pin_attempts(request, self.claim)
        host.discard_memory(request)


class RangeService:
    """All range requests of a dispatcher.

    Attributes:
        host: The dispatcher.
        settings: How ranges are split and coalesced.
        query_map: Queries the register for extents; called with the volume, the number of the first extent
            and the maximum number of extents.
        map: The extent map.
        predictor: Predicts whether requests can be coalesced.
        unlocated: By volume and extent, requests that wait until the extent is located; entries are removed
            when it is, and when the requests are finished.
        unmapped: By volume, requests that wait for the volume's map; entries are removed when it is received,
            and when the requests are finished.
        coalescing: By volume and extent, requests that wait to be coalesced; an entry is removed when the
            waiting time is over.
        coalesced_count, split_count, vain_wait_count, stale_entry_count: Since the last log line, attempts
            that shared a frame with another one, requests that were split, waits without another request to
            coalesce with, and outdated map entries.
    """

    def __init__(
        self, host: RequestHost, settings: ExtentSettings, query_map: Callable[[str, int, int], None]
    ) -> None:
        self.host, self.settings, self.query_map = host, settings, query_map
        self.map = ExtentMap()
        self.predictor = CoalescingPredictor(settings.hold_part)
        self.unlocated: dict[tuple[str, int], list[InflightRequest]] = {}
        self.unmapped: dict[str, list[SplitRequest]] = {}
        self.coalescing: dict[tuple[str, int], list[InflightRequest]] = {}
        self.coalesced_count = self.split_count = self.vain_wait_count = self.stale_entry_count = 0
        self._retry_timer: asyncio.TimerHandle | None = None

    def take(
        self, session: ClientSession, rpc: ReadRpc | WriteRpc, body: Any
    ) -> InflightRequest | SplitRequest | None:
        """Take a client's request on a range.

        Args:
            session: The client.
            rpc: The message of the client.
            body: The bytes to write.

        Returns:
            The request; None if the request was answered at once.
        """
        host, volume = self.host, rpc.volume
        length = rpc.length if isinstance(rpc, ReadRpc) else len(body or b"")
        workload, volume_settings = host.trade.workloads.get(rpc.workload), host.trade.volumes.get(volume)
        if workload is None or volume_settings is None:
            return host.submit_direct(session, rpc, body)  # the scheduler rejects it
        if isinstance(rpc, WriteRpc) and rpc.append:
            session.conn.send(Errored(rpc.id, "a range has no end to append to"))
            return None
        if not self.map.known(volume):
            split_request = SplitRequest(
                self,
                session,
                rpc,
                body,
                host.answer_deadline_ms(session, rpc),
                workload,
                volume_settings,
            )
            split_request.begin()
            return split_request
        answer = self._immediate_answer(rpc, length, workload)
        if answer is not None:
            session.conn.send(answer)
            return None
        first = next(self.map.slices(volume, rpc.offset, length, self.settings.most_piece))
        if first.length < length:
            split_request = SplitRequest(
                self,
                session,
                rpc,
                body,
                host.answer_deadline_ms(session, rpc),
                workload,
                volume_settings,
            )
            self.split_count += 1
            split_request.begin()
            return split_request
        request = self._new_single_request(session, rpc, body, first)
        wait_ms = 0.0
        if request.coalescable:
            wait_ms = self.predictor.wait_ms(
                volume,
                request.extent,
                request.offset,
                request.offset + request.length,
                host.clock(),
                workload.latency_objective_ms,
            )
        if wait_ms <= 0.0:
            host.admit(request)
            return request
        key = (volume, request.extent)
        if key not in self.coalescing:
            self.coalescing[key] = []
            asyncio.get_running_loop().call_later(wait_ms / 1000.0, self._end_wait, key)
        self.coalescing[key].append(request)
        return request

    def _end_wait(self, key: tuple[str, int]) -> None:
        """Submit the requests that waited for each other, all for the same round of the scheduler."""
        requests = [request for request in self.coalescing.pop(key) if not request.finished]
        spans = sorted((request.offset, request.offset + request.length) for request in requests)
        adjacent_pairs = sum(later[0] <= earlier[1] for earlier, later in pairwise(spans))
        self.predictor.record_wait(*key, self.host.clock(), adjacent_pairs + 1)
        self.vain_wait_count += not adjacent_pairs
        for request in requests:
            self.host.admit(request)

    def _new_single_request(
        self, session: ClientSession, rpc: ReadRpc | WriteRpc, body: Any, part: ExtentSlice
    ) -> InflightRequest:
        shard, version = self.map.location(rpc.volume, part.extent)
        return self._new_request(
            session, rpc, body, part, shard, version, self.host.answer_deadline_ms(session, rpc)
        )

    def new_piece_request(self, split_request: SplitRequest, piece: Piece) -> InflightRequest:
        """Make the scheduler's request for a piece."""
        part, rpc = piece.slice, split_request.rpc
        body = None
        if split_request.writes and split_request.buffer is not None:
            body = split_request.buffer[part.range_offset : part.range_offset + part.length]
        request = self._new_request(
            split_request.session,
            rpc,
            body,
            part,
            piece.shard,
            piece.version,
            split_request.deadline_ms,
            split_request.workload,
        )
        if request.plan is None:
            request.plan, request.dispatchers = split_request.volume.plan, split_request.volume.hosts
        request.id = f"{request.id}/{part.range_offset}.{piece.attempt}"
        request.range, request.piece = split_request, piece
        if not split_request.writes and split_request.buffer is not None:
            request.destination = split_request.buffer[part.range_offset : part.range_offset + part.length]
        return request

    def _new_request(
        self,
        session: ClientSession,
        rpc: ReadRpc | WriteRpc,
        body: Any,
        part: ExtentSlice,
        shard: int,
        version: int,
        deadline_ms: float,
        workload: Workload | None = None,
    ) -> InflightRequest:
        """Make the scheduler's request for one slice; it waits if the extent is not located.

        `workload` is given if the request was taken earlier, perhaps with other settings in force.
        """
        request = self.host.new_request(
            session, rpc, body, f"e{part.extent}", shard, part.start, part.length, deadline_ms
        )
        request.extent, request.version = part.extent, max(0, version)
        known_workload = request.workload = workload or request.workload
        assert known_workload is not None
        request.coalescable = (
            self.settings.merge
            and known_workload.idempotency is Idempotency.IDEMPOTENT
            and not known_workload.ordered
        )
        if request.shard == UNKNOWN_SHARD and part.extent >= 0:
            self._await_location(request)
        return request

    def map_entry_stale(self, request: InflightRequest) -> None:
        """Take in that a node reported the map entry of a request as outdated.

        The request stays with the scheduler, and is sent again once a newer entry is received.
        """
        self.stale_entry_count += 1
        self.map.forget(request.volume, request.extent, request.version)
        shard, version = self.map.location(request.volume, request.extent)
        request.shard = shard
        if shard == UNKNOWN_SHARD:
            self._await_location(request)
        else:
            request.version = version

    def _await_location(self, request: InflightRequest) -> None:
        waiting = self.unlocated.setdefault((request.volume, request.extent), [])
        waiting[:] = [other for other in waiting if not other.finished]
        waiting.append(request)
        if len(waiting) == 1:  # otherwise the query was sent already
            self._query(request.volume, request.extent, 1)

    def _query(self, volume: str, first: int, count: int) -> None:
        self.query_map(volume, first, count)
        if self._retry_timer is None:
            loop = asyncio.get_running_loop()
            self._retry_timer = loop.call_later(QUERY_RETRY_MS / 1000.0, self._repeat_queries)

    def _repeat_queries(self) -> None:
        """Repeat the queries that requests still wait for.

        Queries and answers are lost if the connection to the register is.
        """
        self._retry_timer = None
        for key, requests in [*self.unlocated.items()]:
            if all(request.finished for request in requests):
                del self.unlocated[key]
            else:
                self._query(*key, 1)
        for volume, split_requests in [*self.unmapped.items()]:
            split_requests[:] = [one for one in split_requests if self.host.is_open(one)]
            if split_requests:
                self._query(volume, 0, 2**31)
            else:
                del self.unmapped[volume]

    def map_received(self, message: MapPart) -> None:
        """Take in a part of a volume's map, and go on with the requests that waited for it."""
        updated = self.map.update(
            message.volume, message.epoch, message.size, message.extent_bytes, message.first, message.homes
        )
        has_located = False
        for extent in updated:
            shard, version = self.map.location(message.volume, extent)
            for request in self.unlocated.pop((message.volume, extent), []):
                if not request.finished:
                    request.shard, request.version, has_located = shard, version, True
        for split_request in self.unmapped.pop(message.volume, []):
            if self.host.is_open(split_request):
                self.locate(split_request)
        if has_located:
            self.host.extents_located()

    def _immediate_answer(
        self, rpc: ReadRpc | WriteRpc, length: int, workload: Workload
    ) -> Ok | Errored | None:
        """Return the final answer of a request that no node is needed for; None if nodes are needed."""
        size = self.map.size(rpc.volume)
        if rpc.offset + length > size:
            return Errored(rpc.id, f"beyond the volume's end at {size}")
        if not length:
            return Ok(rpc.id, -1)
        if workload.ordered:
            slices = list(self.map.slices(rpc.volume, rpc.offset, length, length))
            if slices[0].extent != slices[-1].extent:
                return Errored(rpc.id, "a range that keeps an order must lie within one extent")
        return None

    def locate(self, split_request: SplitRequest) -> None:
        """Split a request by the map, or let it wait for the map; its memory is reserved."""
        rpc = split_request.rpc
        if not self.map.known(rpc.volume):
            self.unmapped.setdefault(rpc.volume, []).append(split_request)
            self._query(rpc.volume, 0, 2**31)
            split_request.start_pieces()
            return
        answer = self._immediate_answer(rpc, split_request.length, split_request.workload)
        if answer is None:
            split_request.split()
        else:
            split_request.drop()
            self.host.send_final_answer(split_request, answer)

    def close(self) -> None:
        """Stop repeating queries."""
        if self._retry_timer is not None:
            self._retry_timer.cancel()

    def log_counts(self) -> None:
        """Log what was done to ranges since the last call, if anything was."""
        if self.coalesced_count or self.split_count or self.vain_wait_count or self.stale_entry_count:
            self.host.log(
                "ranges coalesced, split or relocated",
                joined=self.coalesced_count,
                split=self.split_count,
                held_vain=self.vain_wait_count,
                stale=self.stale_entry_count,
                astray=len(self.unlocated),
                unmapped=len(self.unmapped),
            )
        self.coalesced_count = self.split_count = self.vain_wait_count = self.stale_entry_count = 0
