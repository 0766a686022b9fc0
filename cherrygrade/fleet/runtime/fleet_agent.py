"""The fleet's sockets: datagrams for pages, streams for whole rolls and for people who ask, one timer.

Nothing is decided here; `core.py` says what goes where. A datagram that can't be sent is lost, as on any way.
"""

from __future__ import annotations

import asyncio
import json
import select
from collections.abc import Callable
from dataclasses import asdict
from typing import TYPE_CHECKING, Any
from zlib import crc32

import msgspec

from cherrygrade.fleet.membership.effects import Effects
from cherrygrade.fleet.membership.inbound_budget import InboundBudget
from cherrygrade.fleet.membership.membership import Membership
from cherrygrade.fleet.membership.membership_state import MembershipSettings
from cherrygrade.fleet.membership.messages import (
    MAX_DATAGRAM_BYTES,
    AnyMessage,
    MessageCodec,
    Probe,
    message_tag,
)
from cherrygrade.fleet.membership.partition import RULES_BY_STATE, PartitionState
from cherrygrade.fleet.membership.table import MemberInfo, MemberRecord
from cherrygrade.fleet.runtime.addresses import address
from cherrygrade.scheduling.model import Attempt, Outcome
from cherrygrade.settings import CouncilSettings, FleetSettings, StartReference
from cherrygrade.transport.connection import Connection
from cherrygrade.transport.listening import listen
from cherrygrade.wire.messages import VERSION, Bye, Hello, Members, Welcome

if TYPE_CHECKING:
    from cherrygrade.fleet.runtime.config_exchange import ConfigExchange, ConfigServer, InForce
    from cherrygrade.fleet.runtime.council_server import CouncilClientConnection, CouncilServer, Judge
    from cherrygrade.fleet.runtime.lease_tasks import LeaseTaskRunner
    from cherrygrade.fleet.runtime.operator_commands import AdminServer

EXCHANGE_S = 2.0
MOST_STREAMS = 16  # that came in and have not ended
AT_ONCE = 64  # claims in one frame
MOST_FRAMES = 64
GRAIN_S = 0.005  # a beat may come so late; what is due within it goes with it

MET = {
    Outcome.OK: "answered",
    Outcome.REJECTED: "answered",
    Outcome.FAILED: "errored",
    Outcome.RESET: "errored",
    Outcome.CONNECT_FAILED: "silent",
    Outcome.TIMED_OUT: "silent",
}

_claims = msgspec.msgpack.Decoder(list[MemberRecord])


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
            MembershipSettings(
                name,
                origin.birth,
                own,
                record,
                fleet.contacts,
                seed,
                fleet.period_ms,
                fleet.keep_ms,
            ),
            clock(),
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
            core.incarnation,
            self._seed,
            host,
            self.clock,
            self._where,
            self._log,
            self._judge,
            lambda: self.config.agreed() if self.config is not None else None,
        )
        await self.council_server.start()
        if self.config is not None:
            self.config.ready(self.council_server)
        self.tasks = LeaseTaskRunner(
            self.council_server,
            council,
            self._seed,
            self.clock,
            lambda: [one.name for one in core.table.living()] if core.side is PartitionState.MOST else [],
            self._log,
        )
        self.tasks.start()

    def _where(self, name: str) -> str | None:
        member = self.core.table.members.get(name)
        return member.info.address if member is not None and member.info is not None else None

    # What the dispatcher calls.

    def tell(self, peer: int | None, payload: bytes) -> None:
        self._post(self.core.send_payload(peer, payload))

    def met(self, send: Attempt) -> None:
        """How a send ended, for what the fleet makes of its node. What never left tells nothing."""
        how = MET.get(send.outcome) if send.outcome is not None else None
        if how is not None:
            mark = crc32(send.node.address.encode()) & 0xFFFF
            self.addresses[mark] = send.node.address
            self.core.attempt_ended(mark, how, self.clock())

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
        for one in sorted(core.table, key=lambda one: one.name):
            facts = one.info or MemberInfo("")
            members.append(
                {
                    "name": one.name,
                    "standing": one.state.name.lower(),
                    "for_ms": round(now - one.since),
                    "by": one.by,
                    "heard_ms_ago": round(now - one.last_received_ms) if one.last_received_ms > 0.0 else None,
                    "birth": one.incarnation,
                    "turn": one.refutations,
                    "place": facts.address,
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
            "does": asdict(RULES_BY_STATE[core.side]),
            "record": core.fleet_size,
            "living": len(core.table.living()),
            "digest": f"{core.table.digest:016x}",
            "doubt": core.failure_detector.self_doubt,
            "yields": core.superseded_by or core.seat_yielded_to,
            "counts": self.counts(),
            "members": members,
            "nodes": self._nodes(now),
            "council": self.council_server.status() if self.council_server is not None else None,
            "leases": self.tasks.status() if self.tasks is not None else None,
            "config": self.config.status() if self.config is not None else None,
        }

    def _nodes(self, now: float) -> list[dict[str, Any]]:
        """Those that anybody has trouble with, as the fleet sees them."""
        seen, found = self.core.reachability, []
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
            "overheard": core.ignored_messages,
            "accusations": core.failure_detector.accusations,
            "deaths": core.failure_detector.deaths,
            "refuted": core.refuted_accusations,
            "stalls": core.failure_detector.stalls,
            "nodes_troubled": len(core.reachability.troubled(self.clock())),
            **{f"dropped_{why.replace(' ', '_')}": count for why, count in sorted(self.book.wrong.items())},
        }

    # What sockets bring.

    def came(self, data: bytes, source: tuple[str, int]) -> None:
        self.got, self.got_bytes = self.got + 1, self.got_bytes + len(data)
        self.ration.arrived(message_tag(data), len(data), (data, source), self.clock())
        if self._work_timer is None:
            self._work()

    def _unread(self) -> bool:
        """Whether pages wait, here or with the system. Guards against accusing somebody whose answer came
        while this process did not run: the event loop reads one datagram a turn, and timers ring between."""
        if self.ration.waiting:
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
                mail = self.core.receive(page, f"{source[0]}:{source[1]}", now)
                self._post(mail, source, len(data))
        due = self.ration.due(now)
        if due is not None and self._work_timer is None:
            self._work_timer = asyncio.get_running_loop().call_at(due / 1000.0, self._work)

    def _beat(self) -> None:
        self._timer, self.core.over_budget = None, self.ration.over_budget
        self.core.has_unread = self._unread()
        self._post(self.core.beat(self.clock() + GRAIN_S * 1000.0))

    def _post(
        self, mail: Effects, source: tuple[str, int] | None = None, length: int = MAX_DATAGRAM_BYTES
    ) -> None:
        for place, page in mail.messages:
            self._send(page, address(place), MAX_DATAGRAM_BYTES)
        for page in mail.replies:
            self._send(page, source, length)
        for name, place in mail.table_exchanges:
            self._exchange(name, place)
        for seat, payload in mail.scheduler_messages:
            self._heard(seat, payload)
        if mail.config_reports and self.config is not None:
            self.config.heard(mail.config_reports)
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
        data = self.book.write(page, most if not isinstance(page, Probe) else MAX_DATAGRAM_BYTES)
        if len(data) > most:
            self.unsent += 1
            return
        self._transport.sendto(data, to)
        self.ration.sent(message_tag(data), len(data), self.clock())
        self.sent, self.sent_bytes = self.sent + 1, self.sent_bytes + len(data)

    def _exchange(self, name: str, place: str) -> None:
        to = address(place)
        if to is not None and len(self.streams) < MOST_STREAMS:
            stream = PeerStream(self, name)
            stream.task = asyncio.get_running_loop().create_task(stream.connect(to))

    def _show(self) -> None:
        """A line where what this dispatcher takes itself for changed."""
        core = self.core
        shown = (core.side, core.superseded_by, core.seat_yielded_to)
        if shown != self._shown:
            self._shown = shown
            facts: dict[str, Any] = {"living": len(core.table.living()), "record": core.fleet_size}
            if core.superseded_by or core.seat_yielded_to:
                facts["seat_is_of"] = core.superseded_by or core.seat_yielded_to
            self._log("fleet side", side=core.side.value, **facts)


class DatagramReceiver(asyncio.DatagramProtocol):
    def __init__(self, agent: FleetAgent) -> None:
        self.agent = agent

    def datagram_received(self, data: bytes, addr: Any) -> None:
        self.agent.came(data, (addr[0], addr[1]))

    def error_received(self, exc: Exception) -> None:
        pass  # a place where nobody listens: found out by silence, as everywhere


class PeerStream:
    """One exchange of whole rolls, begun here (`to`) or there; or a person's question."""

    def __init__(self, agent: FleetAgent, to: str = "") -> None:
        self.agent, self.to = agent, to
        self.task: asyncio.Task[None] | None = None
        self.conn = Connection(self, 0)
        self.peer = ""
        self.guest: CouncilClientConnection | ConfigServer | AdminServer | None = None
        self._claims: list[MemberRecord] = []
        self._frames = 0
        self._timer: asyncio.TimerHandle | None = None

    async def connect(self, to: tuple[str, int]) -> None:
        host = (self.agent.fleet.bind or self.agent.fleet.place).rpartition(":")[0]
        try:
            async with asyncio.timeout(EXCHANGE_S):
                loop = asyncio.get_running_loop()
                await loop.create_connection(lambda: self.conn, *to, local_addr=(host, 0))
        except OSError:
            self.agent.streams.pop(self, None)

    def connected(self, conn: Connection) -> None:
        if len(self.agent.streams) >= MOST_STREAMS:
            conn.close("too many at once")
            return
        self.agent.streams[self] = None
        self._timer = asyncio.get_running_loop().call_later(EXCHANGE_S, conn.abort, "no exchange in time")
        if self.to:
            conn.send(Hello(VERSION, "member", self.agent.name, [self.agent.fleet.name]))
            self._say()

    def _say(self) -> None:
        claims = self.agent.core.all_records()
        loads = [claims[at : at + AT_ONCE] for at in range(0, len(claims), AT_ONCE)]
        for index, load in enumerate(loads):
            self.conn.send(Members(msgspec.msgpack.encode(load), index == len(loads) - 1))

    def room(self, conn: Connection, message: Any, length: int) -> None:
        return None

    def frame(self, conn: Connection, message: Any, body: object) -> None:
        if isinstance(message, Hello) and not self.to and not self.peer:
            if message.role == "person":
                data = json.dumps(self.agent.status()).encode()
                conn.send(Welcome(VERSION, self.agent.name))
                for at in range(0, len(data), 8192):
                    conn.send(Members(data[at : at + 8192], at + 8192 >= len(data)))
            elif message.role == "member" and message.features[:1] == [self.agent.fleet.name]:
                self.peer = message.name
                conn.send(Welcome(VERSION, self.agent.name))
            elif message.role == "council" and message.features[:1] == [self.agent.fleet.name]:
                self._council(message.name)
            elif message.role == "config" and message.features[:1] == [self.agent.fleet.name]:
                config = self.agent.config
                self._stays(config.welcome(conn) if config is not None else None, message.name)
            elif message.role == "operator":
                self._stays(self._desk(), message.name)
            else:
                conn.close(f"not of this fleet: {message.role} {message.features[:1]}"[:200])
        elif isinstance(message, Welcome) and self.to and not self.peer:
            self.peer = message.name
        elif isinstance(message, Members) and self.guest is not None:
            self.guest.part(message)
        elif isinstance(message, Members) and self.peer:
            self._members(message)
        elif not isinstance(message, Bye):
            conn.close(f"unexpected {type(message).__name__} from a member")

    def _members(self, message: Members) -> None:
        self._frames += 1
        try:
            self._claims += _claims.decode(message.payload)
        except (msgspec.MsgspecError, UnicodeDecodeError):
            self.conn.close("claims that can't be read")
            return
        if self._frames > MOST_FRAMES:
            self.conn.close("too many claims")
        elif message.last:
            if not self.to:
                self._say()
            self.agent.core.exchanged(self._claims, self.peer, self.agent.clock())
            self.agent._post(Effects())
            self._claims = []
            if self.to:
                self.conn.close("exchanged")

    def _council(self, name: str) -> None:
        council_server = self.agent.council_server
        self._stays(council_server.welcome(self.conn, name) if council_server is not None else None, name)

    def _desk(self) -> AdminServer | None:
        from cherrygrade.fleet.runtime.operator_commands import MOST_OPERATORS, AdminServer

        agent = self.agent
        if agent.config is None or agent.council_server is None or len(agent.desks) >= MOST_OPERATORS:
            return None
        desk = AdminServer(agent.config, agent.council_server, self.conn, lambda: agent.desks.pop(desk, None))
        agent.desks[desk] = None
        return desk

    def _stays(self, guest: CouncilClientConnection | ConfigServer | AdminServer | None, name: str) -> None:
        """It is none of the exchanges, and has its own time or none."""
        self.guest = guest
        if guest is None:
            self.conn.close("nobody here for that, or too many at once")
            return
        self.peer = name
        if self._timer is not None:
            self._timer.cancel()
        self.agent.streams.pop(self, None)
        self.conn.send(Welcome(VERSION, self.agent.name))

    def writable(self, conn: Connection) -> None:
        pass

    def closed(self, conn: Connection, why: str) -> None:
        if self.guest is not None:
            self.guest.closed(conn, why)
        if self._timer is not None:
            self._timer.cancel()
        self.agent.streams.pop(self, None)
