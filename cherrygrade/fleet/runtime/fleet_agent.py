"""The fleet's sockets: datagrams for pages, streams for whole rolls and for people who ask, one timer.

Nothing is decided here; `core.py` says what goes where. A datagram that can't be sent is lost, as on any way.
"""

from __future__ import annotations

import asyncio
import select
from collections.abc import Callable
from dataclasses import asdict
from typing import TYPE_CHECKING, Any
from zlib import crc32

from cherrygrade.fleet.membership.inbound_budget import InboundBudget
from cherrygrade.fleet.membership.membership import Effects, Membership
from cherrygrade.fleet.membership.messages import MOST_PAGE, AnyMessage, MessageCodec, Probe, letter
from cherrygrade.fleet.membership.partition import TABLE, PartitionState
from cherrygrade.fleet.membership.table import MemberInfo
from cherrygrade.fleet.runtime.addresses import parse_address
from cherrygrade.fleet.runtime.datagram_receiver import DatagramReceiver
from cherrygrade.fleet.runtime.peer_stream import MOST_STREAMS, PeerStream
from cherrygrade.scheduling.model import Attempt, Outcome
from cherrygrade.settings import CouncilSettings, FleetSettings, StartReference
from cherrygrade.transport.listening import listen

if TYPE_CHECKING:
    from cherrygrade.fleet.runtime.admin_server import AdminServer
    from cherrygrade.fleet.runtime.config_exchange import ConfigExchange, InForce
    from cherrygrade.fleet.runtime.config_judge import Judge
    from cherrygrade.fleet.runtime.council_server import CouncilServer
    from cherrygrade.fleet.runtime.lease_tasks import LeaseTaskRunner

GRAIN_S = 0.005  # a beat may come so late; what is due within it goes with it

MET = {
    Outcome.OK: "answered",
    Outcome.REJECTED: "answered",
    Outcome.FAILED: "errored",
    Outcome.RESET: "errored",
    Outcome.CONNECT_FAILED: "silent",
    Outcome.TIMED_OUT: "silent",
}


class FleetAgent:
    """One dispatcher's part. `streams` end by themselves or by time; nothing else here grows."""

    def __init__(
        self,
        fleet: FleetSettings,
        name: str,
        seat: int,
        record: int,
        seed: int,
        origin: StartReference,
        clock: Callable[[], float],
        heard: Callable[[int, bytes], None],
        log: Callable[..., None],
        in_force: InForce | None = None,
        judge: Judge | None = None,
    ) -> None:
        """`in_force`, where there is a council: configuration is on, and put in force by this. `judge`: of a
        change that somebody asks for."""
        self._in_force, self._judge = in_force, judge
        self.config: ConfigExchange | None = None
        self.desks: dict[AdminServer, None] = {}
        self.fleet, self.name, self.clock = fleet, name, clock
        self._heard, self._log, self._seed = heard, log, seed
        self.book = MessageCodec(fleet.name)
        own = MemberInfo(fleet.place, fleet.zone, origin.version, origin.settings, seat)
        self.core = Membership(
            name, origin.birth, own, record, fleet.contacts, seed, clock(), fleet.period_ms, fleet.keep_ms
        )
        self.sent = self.sent_bytes = self.got = self.got_bytes = self.unsent = 0
        self.ration: InboundBudget[tuple[bytes, tuple[str, int]]] = InboundBudget(clock())
        self.streams: dict[PeerStream, None] = {}
        self.addresses: dict[int, str] = {}  # of nodes that sends went to, by mark: no more than marks
        self.council_server: CouncilServer | None = None
        self.tasks: LeaseTaskRunner | None = None
        self._transport: asyncio.DatagramTransport | None = None
        self._server: asyncio.Server | None = None
        self._timer: asyncio.TimerHandle | None = None
        self._timer_at = 0.0
        self._work_timer: asyncio.TimerHandle | None = None
        self._shown: tuple[object, ...] = ()

    async def start(self) -> None:
        host, _, port = (self.fleet.bind or self.fleet.place).rpartition(":")
        loop = asyncio.get_running_loop()
        if self.fleet.council is not None and self._in_force is not None:
            await self._configure(self.fleet.council, host, self._in_force)
        self._transport, _ = await loop.create_datagram_endpoint(
            lambda: DatagramReceiver(self), local_addr=(host, int(port))
        )
        self._server = await listen(lambda: PeerStream(self).conn, f"{host}:{port}", MOST_STREAMS)
        self._beat()
        if self.fleet.council is not None:
            await self._sit(self.fleet.council, host)

    async def _configure(self, council: CouncilSettings, host: str, in_force: InForce) -> None:
        from cherrygrade.fleet.runtime.config_exchange import ConfigExchange

        self.config = ConfigExchange(
            self.fleet.name,
            self.core,
            council,
            self.fleet.config_file,
            host,
            self._seed,
            self.clock,
            in_force,
            self._post,
            self._log,
        )
        await self.config.start()

    async def _sit(self, council: CouncilSettings, host: str) -> None:
        # Where no council is named, none of it is loaded.
        from cherrygrade.fleet.runtime.council_server import CouncilServer
        from cherrygrade.fleet.runtime.lease_tasks import LeaseTaskRunner

        core = self.core
        self.council_server = CouncilServer(
            council,
            self.fleet.name,
            self.name,
            core.birth,
            self._seed,
            host,
            self.clock,
            self._where,
            self._log,
            self._judge,
            lambda: self.config.log_advanced() if self.config is not None else None,
        )
        await self.council_server.start()
        if self.config is not None:
            self.config.council_ready(self.council_server)
        self.tasks = LeaseTaskRunner(
            self.council_server,
            council,
            self._seed,
            self.clock,
            lambda: [one.name for one in core.roll.living()] if core.side is PartitionState.MOST else [],
            self._log,
        )
        self.tasks.start()

    def _where(self, name: str) -> str | None:
        member = self.core.roll.members.get(name)
        return member.facts.place if member is not None and member.facts is not None else None

    # What the dispatcher calls.

    def tell(self, peer: int | None, payload: bytes) -> None:
        self._post(self.core.tell(peer, payload))

    def met(self, send: Attempt) -> None:
        """How a send ended, for what the fleet makes of its node. What never left tells nothing."""
        how = MET.get(send.outcome) if send.outcome is not None else None
        if how is not None:
            mark = crc32(send.node.address.encode()) & 0xFFFF
            self.addresses[mark] = send.node.address
            self.core.sent(mark, how, self.clock())

    def leave(self) -> None:
        if self.tasks is not None:
            self.tasks.leave()
        if self.config is not None:
            self.config.leave()
        self._post(self.core.leave(self.clock()))

    def close(self) -> None:
        for timer in (self._timer, self._work_timer):
            if timer is not None:
                timer.cancel()
        if self._transport is not None:
            self._transport.close()
        if self._server is not None:
            self._server.close()
        for stream in [*self.streams]:
            stream.conn.close("dispatcher leaves")
        if self.tasks is not None:
            self.tasks.close()
        if self.config is not None:
            self.config.close()
        for desk in [*self.desks]:
            desk.conn.close("dispatcher leaves")
        if self.council_server is not None:
            self.council_server.close()

    def status(self) -> dict[str, Any]:
        """What a person on call is shown."""
        core, now = self.core, self.clock()
        members = []
        for one in sorted(core.roll, key=lambda one: one.name):
            facts = one.facts or MemberInfo("")
            members.append(
                {
                    "name": one.name,
                    "standing": one.standing.name.lower(),
                    "for_ms": round(now - one.since),
                    "by": one.by,
                    "heard_ms_ago": round(now - one.heard) if one.heard > 0.0 else None,
                    "birth": one.birth,
                    "turn": one.turn,
                    "place": facts.place,
                    "zone": facts.zone,
                    "version": facts.version,
                    "settings": facts.settings,
                    "seat": facts.seat,
                }
            )
        return {
            "name": core.name,
            "fleet": self.fleet.name,
            "side": core.side.value,
            "does": asdict(TABLE[core.side]),
            "record": core.record,
            "living": len(core.roll.living()),
            "digest": f"{core.roll.digest:016x}",
            "doubt": core.probing.doubt,
            "yields": core.superseded or core.yielded_to,
            "counts": self.counts(),
            "members": members,
            "nodes": self._nodes(now),
            "council": self.council_server.status() if self.council_server is not None else None,
            "leases": self.tasks.status() if self.tasks is not None else None,
            "config": self.config.status() if self.config is not None else None,
        }

    def _nodes(self, now: float) -> list[dict[str, Any]]:
        """Those that anybody has trouble with, as the fleet sees them."""
        seen, found = self.core.seen, []
        for mark in seen.troubled(now):
            view, bad, tried, zones = seen.view(mark, now)
            own = seen.own.get(mark)
            found.append(
                {
                    "node": self.addresses.get(mark, f"mark {mark}"),
                    "view": view.value,
                    "trouble_at": bad,
                    "tried_by": tried,
                    "zones": zones,
                    "ours_ms": round(now - own.bad_from) if own and own.bad_from >= 0.0 else None,
                }
            )
        return found

    def counts(self) -> dict[str, int]:
        core = self.core
        return {
            "sent": self.sent,
            "sent_bytes": self.sent_bytes,
            "got": self.got,
            "got_bytes": self.got_bytes,
            "unsent": self.unsent,
            "beyond_ration": self.ration.dropped,
            "overheard": core.overheard,
            "accusations": core.probing.accusations,
            "deaths": core.probing.deaths,
            "refuted": core.refuted,
            "stalls": core.probing.stalls,
            "nodes_troubled": len(core.seen.troubled(self.clock())),
            **{f"dropped_{why.replace(' ', '_')}": count for why, count in sorted(self.book.wrong.items())},
        }

    # What sockets bring.

    def came(self, data: bytes, source: tuple[str, int]) -> None:
        self.got, self.got_bytes = self.got + 1, self.got_bytes + len(data)
        self.ration.came(letter(data), len(data), (data, source), self.clock())
        if self._work_timer is None:
            self._work()

    def _unread(self) -> bool:
        """Whether pages wait, here or with the system. Guards against accusing somebody whose answer came
        while this process did not run: the event loop reads one datagram a turn, and timers ring between."""
        if any(self.ration.waiting):
            return True
        sock = self._transport.get_extra_info("socket") if self._transport is not None else None
        if sock is None:
            return False
        look = select.poll()
        look.register(sock.fileno(), select.POLLIN)
        return bool(look.poll(0))

    def _work(self) -> None:
        """One page a turn of the event loop, so that RPCs go between them."""
        self._work_timer, now = None, self.clock()
        held = self.ration.next(now)
        if held is not None:
            data, source = held
            page = self.book.read(data)
            if page is not None:
                mail = self.core.hear(page, f"{source[0]}:{source[1]}", now)
                self._post(mail, source, len(data))
        due = self.ration.due(now)
        if due is not None and self._work_timer is None:
            self._work_timer = asyncio.get_running_loop().call_at(due / 1000.0, self._work)

    def _beat(self) -> None:
        self._timer, self.core.short = None, self.ration.short
        self.core.unread = self._unread()
        self._post(self.core.beat(self.clock() + GRAIN_S * 1000.0))

    def _post(self, mail: Effects, source: tuple[str, int] | None = None, length: int = MOST_PAGE) -> None:
        for place, page in mail.pages:
            self._send(page, parse_address(place), MOST_PAGE)
        for page in mail.answers:
            self._send(page, source, length)
        for name, place in mail.exchange:
            self._exchange(name, place)
        for seat, payload in mail.words:
            self._heard(seat, payload)
        if mail.hints and self.config is not None:
            self.config.reports_received(mail.hints)
        self._show()
        at = self.core.due()
        if at < 1e14 and (self._timer is None or at < self._timer_at - 1.0):
            if self._timer is not None:
                self._timer.cancel()
            self._timer_at = at
            self._timer = asyncio.get_running_loop().call_at(max(at, self.clock()) / 1000.0, self._beat)

    def _send(self, page: AnyMessage, to: tuple[str, int] | None, most: int) -> None:
        if to is None or self._transport is None or self._transport.is_closing():
            self.unsent += 1
            return
        data = self.book.write(page, most if not isinstance(page, Probe) else MOST_PAGE)
        if len(data) > most:
            self.unsent += 1
            return
        self._transport.sendto(data, to)
        self.ration.spent(letter(data), len(data), self.clock())
        self.sent, self.sent_bytes = self.sent + 1, self.sent_bytes + len(data)

    def _exchange(self, name: str, place: str) -> None:
        to = parse_address(place)
        if to is not None and len(self.streams) < MOST_STREAMS:
            stream = PeerStream(self, name)
            stream.task = asyncio.get_running_loop().create_task(stream.connect(to))

    def _show(self) -> None:
        """A line where what this dispatcher takes itself for changed."""
        core = self.core
        shown = (core.side, core.superseded, core.yielded_to)
        if shown != self._shown:
            self._shown = shown
            facts: dict[str, Any] = {"living": len(core.roll.living()), "record": core.record}
            if core.superseded or core.yielded_to:
                facts["seat_is_of"] = core.superseded or core.yielded_to
            self._log("fleet side", side=core.side.value, **facts)
