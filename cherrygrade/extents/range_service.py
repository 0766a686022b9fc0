"""Ranges between sessions and rounds: maps and splits them, holds small ones for company, joins answers.

Asks the decisions of this package and carries them out; the module still decides on each piece.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from itertools import pairwise
from typing import Any, Protocol

from cherrygrade.extents.coalescing_predictor import Company
from cherrygrade.extents.extent_map import NOWHERE, ExtentMap, Stretch
from cherrygrade.extents.piece_tracker import End, Parent, Piece
from cherrygrade.inflight import Body, ClientSession, InflightRequest, RangeRequest
from cherrygrade.peers.memory_admission import MemoryAdmission
from cherrygrade.peers.memory_budget import Reservation, is_waiting
from cherrygrade.peers.slow_peer_escalation import Step
from cherrygrade.scheduling.model import Idempotency, Workload
from cherrygrade.settings import ExtentSettings, TrafficSettings, VolumeSettings
from cherrygrade.wire.messages import Errored, MapPart, Ok, Part, ReadRpc, Rejected, WriteRpc

ASK_AGAIN_MS = 250.0
PARTS = "parts"  # the feature of clients that take a read's bytes as they come


class RequestHost(Protocol):
    """The dispatcher, as ranges need it."""

    @property
    def trade(self) -> TrafficSettings: ...

    @property
    def rooms(self) -> MemoryAdmission: ...

    @property
    def come_back_ms(self) -> float: ...

    @property
    def log(self) -> Callable[..., None]: ...

    def clock(self) -> float: ...

    def answer_deadline_ms(self, session: ClientSession, ask: ReadRpc | WriteRpc) -> float:
        """When the RPC's answer must be on its way. To be asked once an RPC."""

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
    ) -> InflightRequest: ...

    def submit_direct(self, session: ClientSession, ask: ReadRpc | WriteRpc, body: Body) -> InflightRequest:
        """An RPC that no map is asked for."""

    def admit(self, held: InflightRequest) -> None:
        """To the module, once there is room for its bytes."""

    def abandon(self, held: InflightRequest) -> None:
        """The module is to go on with it no more."""

    def detach_claim(self, one: InflightRequest | RangeRequest) -> Reservation | None: ...

    def pin_attempts(self, held: InflightRequest, claim: Reservation) -> None: ...

    def discard_memory(self, one: InflightRequest | RangeRequest) -> None: ...

    def is_open(self, one: RangeRequest) -> bool:
        """Whether it is taken and not over."""

    def send_final_answer(
        self, one: InflightRequest | RangeRequest, message: Ok | Rejected | Errored, body: Body = None
    ) -> None: ...

    def extents_located(self) -> None:
        """RPCs that waited for their place have one now."""


class Range:
    """A client's RPC that goes as pieces. `helds` is emptied as they end, and by its own end. Workload and
    volume are those that it was taken with: settings that come into force meanwhile may know neither."""

    def __init__(
        self,
        carrier: RangeService,
        session: ClientSession,
        ask: ReadRpc | WriteRpc,
        body: Any,
        until: float,
        workload: Workload,
        volume: VolumeSettings,
    ) -> None:
        self.carrier, self.session, self.rpc, self.until = carrier, session, ask, until
        self.workload, self.volume = workload, volume
        self.writes = isinstance(ask, WriteRpc)
        self.length = ask.length if isinstance(ask, ReadRpc) else len(body or b"")
        self.streams = not self.writes and PARTS in session.features
        self.whole = memoryview(body or b"") if self.writes else None  # a read's bytes, put together
        self.claim: Reservation | None = None  # room of the whole; pieces that stream have their own
        self.cramped_piece: InflightRequest | None = None  # one that waited for room when last looked at
        self.helds: dict[Piece, InflightRequest] = {}
        self.parent = Parent([Stretch(-1, 0, self.length, 0)], self.length, self.writes, 1, 1)

    def enter(self) -> None:
        """Find room for the whole, if it is put together here, and then the map."""
        session, ask, rooms = self.session, self.rpc, self.carrier.host.rooms
        if not (self.writes or self.streams) and self.length:
            self.claim = rooms.reserve(
                session.account, ask.workload, ask.volume, self.length, self, ask.left_ms
            )
            if is_waiting(self.claim):
                return
        self.carrier.find(self)

    def reservation_granted(self, claim: Reservation) -> None:
        self.carrier.find(self)

    def reservation_timed_out(self, claim: Reservation) -> None:
        self.drop()
        host = self.carrier.host
        host.send_final_answer(self, Rejected(self.rpc.id, host.come_back_ms, "no room for its bytes"))

    def plan(self) -> None:
        """Begin anew by the map, which is known now; nothing has been sent before it was."""
        self.drop()
        cuts, ask = self.carrier.cuts, self.rpc
        if not self.streams and self.whole is None:
            self.whole = memoryview(bytearray(self.length))
        stretches = self.carrier.map.stretches(ask.volume, ask.offset, self.length, cuts.most_piece)
        self.parent = Parent(stretches, self.length, self.writes, cuts.pieces, cuts.pieces_a_shard)
        self.start_pieces()

    @property
    def pieces(self) -> list[InflightRequest]:
        return [*self.helds.values()]

    def start_pieces(self) -> None:
        """Take more pieces while the client takes what comes: what is out and what waits count alike."""
        session = self.session
        narrow = session.slow >= Step.NARROW and bool(session.conn.waiting or session.bytes_in_flight)
        if narrow or session.conn.waiting + session.bytes_in_flight >= session.conn.high:
            session.waiting_ranges[self] = None
            return
        session.waiting_ranges.pop(self, None)
        if self.cramped_piece is not None and is_waiting(self.cramped_piece.claim):
            return  # one that waits for room is enough: the next goes behind it
        carrier, self.cramped_piece = self.carrier, None
        most = 1 if carrier.host.rooms.budget.waiting_count else carrier.cuts.pieces
        for piece in self.parent.more(lambda extent: carrier.map.home(self.rpc.volume, extent), most):
            held = carrier.hold_piece(self, piece)
            self.helds[piece] = held
            session.bytes_in_flight += piece.stretch.length
            carrier.host.admit(held)
            if is_waiting(held.claim):
                self.cramped_piece = held

    def ok(self, held: InflightRequest) -> None:
        piece, body = held.piece, held.body
        assert isinstance(piece, Piece)
        stretch = piece.stretch
        if self.streams and body is not None:
            self.session.send_message(
                Part(self.rpc.id, stretch.at), body, self.carrier.host.detach_claim(held)
            )
        elif self.whole is not None and not self.writes and body is not None and body is not held.destination:
            self.whole[stretch.at : stretch.at + stretch.length] = body
        self._landed(piece)
        held.body = held.destination = None  # what is in a circle of references would keep its bytes for long
        self.parent.ok(piece, held.version)
        self._on()

    def rejected(self, held: InflightRequest, come_back_ms: float) -> None:
        assert isinstance(held.piece, Piece)
        self._landed(held.piece)
        if any(send.outcome is None or not send.outcome.never_ran for send in held.attempts):
            self.parent.begun = True
        self.parent.rejected(held.piece, come_back_ms)
        self._on()

    def errored(self, held: InflightRequest) -> None:
        assert isinstance(held.piece, Piece)
        self._landed(held.piece)
        self.parent.errored(held.piece)
        self._on()

    def _landed(self, piece: Piece) -> None:
        held = self.helds.pop(piece, None)
        if held is not None:
            self._let_go(held)

    def _on(self) -> None:
        end, parent = self.parent.end, self.parent
        session = self.session
        if end is None:
            self.start_pieces()
        for range_ in [*session.waiting_ranges][:4]:
            range_.start_pieces()
        if end is None:
            return
        self.drop()
        ask, host = self.rpc, self.carrier.host
        if end is End.OK:
            body = None if self.streams or self.writes else self.whole
            host.send_final_answer(self, Ok(ask.id, -1), body)
        elif end is End.REJECTED:
            host.send_final_answer(self, Rejected(ask.id, parent.come_back_ms, "a piece of it was rejected"))
        else:
            what = "a piece failed: its ranges may hold new bytes or old" if self.writes else "a piece failed"
            host.send_final_answer(self, Errored(ask.id, what))

    def drop(self) -> None:
        """Pieces that are still held are of no use any more."""
        self.session.waiting_ranges.pop(self, None)
        helds, self.helds = self.helds, {}
        for held in helds.values():
            self.carrier.host.abandon(held)
            self._let_go(held)

    def _let_go(self, held: InflightRequest) -> None:
        host = self.carrier.host
        self.session.bytes_in_flight -= held.length
        if self.claim is not None:
            host.pin_attempts(held, self.claim)
        host.discard_memory(held)


class RangeService:
    """All of a dispatcher's ranges. `astray` is emptied by the map's word and by the RPCs' ends, `unmapped`
    by the volume's map or its RPCs' ends, `company` by the hold's end."""

    def __init__(
        self, host: RequestHost, cuts: ExtentSettings, ask_map: Callable[[str, int, int], None]
    ) -> None:
        self.host, self.cuts, self.ask_map = host, cuts, ask_map
        self.map = ExtentMap()
        self.holds = Company(cuts.hold_part)
        self.astray: dict[tuple[str, int], list[InflightRequest]] = {}
        self.unmapped: dict[str, list[Range]] = {}
        self.company: dict[tuple[str, int], list[InflightRequest]] = {}
        # RPCs that went with others; those that went as pieces; holds that met nobody; old entries met.
        self.coalesced_count = self.split = self.held_vain = self.stales = 0
        self._again: asyncio.TimerHandle | None = None

    def take(
        self, session: ClientSession, ask: ReadRpc | WriteRpc, body: Any
    ) -> InflightRequest | Range | None:
        """A client's RPC on a range; None where it was answered at once."""
        host, volume = self.host, ask.volume
        length = ask.length if isinstance(ask, ReadRpc) else len(body or b"")
        workload, dealt = host.trade.workloads.get(ask.workload), host.trade.volumes.get(volume)
        if workload is None or dealt is None:
            return host.submit_direct(session, ask, body)  # the module rejects what it does not know
        if isinstance(ask, WriteRpc) and ask.append:
            session.conn.send(Errored(ask.id, "a range has no end to append to"))
            return None
        if not self.map.known(volume):
            range_ = Range(self, session, ask, body, host.answer_deadline_ms(session, ask), workload, dealt)
            range_.enter()
            return range_
        told = self._judge(ask, length, workload)
        if told is not None:
            session.conn.send(told)
            return None
        first = next(self.map.stretches(volume, ask.offset, length, self.cuts.most_piece))
        if first.length < length:
            range_ = Range(self, session, ask, body, host.answer_deadline_ms(session, ask), workload, dealt)
            self.split += 1
            range_.enter()
            return range_
        held = self._single(session, ask, body, first)
        wait = 0.0
        if held.coalescable:
            wait = self.holds.hold(
                volume,
                held.extent,
                held.offset,
                held.offset + held.length,
                host.clock(),
                workload.latency_objective_ms,
            )
        if wait <= 0.0:
            host.admit(held)
            return held
        key = (volume, held.extent)
        if key not in self.company:
            self.company[key] = []
            asyncio.get_running_loop().call_later(wait / 1000.0, self._together, key)
        self.company[key].append(held)
        return held

    def _together(self, key: tuple[str, int]) -> None:
        """A hold is over: all that came go to the module in one round."""
        helds = [held for held in self.company.pop(key) if not held.finished]
        spans = sorted((held.offset, held.offset + held.length) for held in helds)
        met = sum(later[0] <= earlier[1] for earlier, later in pairwise(spans))
        self.holds.met(*key, self.host.clock(), met + 1)
        self.held_vain += not met
        for held in helds:
            self.host.admit(held)

    def _single(
        self, session: ClientSession, ask: ReadRpc | WriteRpc, body: Any, stretch: Stretch
    ) -> InflightRequest:
        shard, version = self.map.home(ask.volume, stretch.extent)
        return self._held(
            session, ask, body, stretch, shard, version, self.host.answer_deadline_ms(session, ask)
        )

    def hold_piece(self, range_: Range, piece: Piece) -> InflightRequest:
        stretch, ask = piece.stretch, range_.rpc
        body = None
        if range_.writes and range_.whole is not None:
            body = range_.whole[stretch.at : stretch.at + stretch.length]
        held = self._held(
            range_.session, ask, body, stretch, piece.shard, piece.version, range_.until, range_.workload
        )
        if held.plan is None:
            held.plan, held.dispatchers = range_.volume.plan, range_.volume.hosts
        held.id = f"{held.id}/{stretch.at}.{piece.turn}"
        held.range, held.piece = range_, piece
        if not range_.writes and range_.whole is not None:
            held.destination = range_.whole[stretch.at : stretch.at + stretch.length]
        return held

    def _held(
        self,
        session: ClientSession,
        ask: ReadRpc | WriteRpc,
        body: Any,
        stretch: Stretch,
        shard: int,
        version: int,
        until: float,
        workload: Workload | None = None,
    ) -> InflightRequest:
        """The module's RPC on one stretch; it waits for the map's word where its place is not known.
        `workload`: of an RPC that was taken before."""
        held = self.host.new_request(
            session, ask, body, f"e{stretch.extent}", shard, stretch.start, stretch.length, until
        )
        held.extent, held.version = stretch.extent, max(0, version)
        work = held.workload = workload or held.workload
        assert work is not None
        held.coalescable = self.cuts.merge and work.idempotency is Idempotency.IDEMPOTENT and not work.ordered
        if held.shard == NOWHERE and stretch.extent >= 0:
            self._stray(held)
        return held

    def map_entry_stale(self, held: InflightRequest) -> None:
        """A node's answer told that the map is old: the RPC waits for the newer word, in the module."""
        self.stales += 1
        self.map.forget(held.volume, held.extent, held.version)
        shard, version = self.map.home(held.volume, held.extent)
        held.shard = shard
        if shard == NOWHERE:
            self._stray(held)
        else:
            held.version = version

    def _stray(self, held: InflightRequest) -> None:
        waiting = self.astray.setdefault((held.volume, held.extent), [])
        waiting[:] = [other for other in waiting if not other.finished]
        waiting.append(held)
        if len(waiting) == 1:  # others wait for the same answer
            self._ask(held.volume, held.extent, 1)

    def _ask(self, volume: str, first: int, count: int) -> None:
        self.ask_map(volume, first, count)
        if self._again is None:
            loop = asyncio.get_running_loop()
            self._again = loop.call_later(ASK_AGAIN_MS / 1000.0, self._ask_again)

    def _ask_again(self) -> None:
        """Words get lost with connections: what still waits asks again."""
        self._again = None
        for key, helds in [*self.astray.items()]:
            if all(held.finished for held in helds):
                del self.astray[key]
            else:
                self._ask(*key, 1)
        for volume, ranges in [*self.unmapped.items()]:
            ranges[:] = [one for one in ranges if self.host.is_open(one)]
            if ranges:
                self._ask(volume, 0, 2**31)
            else:
                del self.unmapped[volume]

    def map_received(self, word: MapPart) -> None:
        learned = self.map.hear(word.volume, word.epoch, word.size, word.extent_bytes, word.first, word.homes)
        found = False
        for extent in learned:
            shard, version = self.map.home(word.volume, extent)
            for held in self.astray.pop((word.volume, extent), []):
                if not held.finished:
                    held.shard, held.version, found = shard, version, True
        for range_ in self.unmapped.pop(word.volume, []):
            if self.host.is_open(range_):
                self.find(range_)
        if found:
            self.host.extents_located()

    def _judge(self, ask: ReadRpc | WriteRpc, length: int, workload: Workload) -> Ok | Errored | None:
        """What the map alone tells of a range: its final answer, or None where it goes on."""
        size = self.map.size(ask.volume)
        if ask.offset + length > size:
            return Errored(ask.id, f"beyond the volume's end at {size}")
        if not length:
            return Ok(ask.id, -1)
        if workload.ordered:
            stretches = list(self.map.stretches(ask.volume, ask.offset, length, length))
            if stretches[0].extent != stretches[-1].extent:
                return Errored(ask.id, "a range that keeps an order must lie within one extent")
        return None

    def find(self, range_: Range) -> None:
        """It has its room: it goes by the map, or waits for it."""
        ask = range_.rpc
        if not self.map.known(ask.volume):
            self.unmapped.setdefault(ask.volume, []).append(range_)
            self._ask(ask.volume, 0, 2**31)
            range_.start_pieces()
            return
        told = self._judge(ask, range_.length, range_.workload)
        if told is None:
            range_.plan()
        else:
            range_.drop()
            self.host.send_final_answer(range_, told)

    def close(self) -> None:
        if self._again is not None:
            self._again.cancel()

    def log_counts(self) -> None:
        """What merging and splitting did since the last line; silent where they did nothing."""
        if self.coalesced_count or self.split or self.held_vain or self.stales:
            self.host.log(
                "ranges",
                joined=self.coalesced_count,
                split=self.split,
                held_vain=self.held_vain,
                stale=self.stales,
                astray=len(self.astray),
                unmapped=len(self.unmapped),
            )
        self.coalesced_count = self.split = self.held_vain = self.stales = 0
