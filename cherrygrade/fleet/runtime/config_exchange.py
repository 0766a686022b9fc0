"""The configuration's sockets, timer and disk, of one dispatcher.

Nothing is decided here: `config/replica.py` says what is believed, fetched, kept and put in force,
`config/parts.py` when parts have moved. What goes into force is on disk before it does; a file that is torn
is put aside, and the dispatcher serves on its own file and asks.
"""

from __future__ import annotations

import asyncio
from collections import deque
from collections.abc import Awaitable, Callable
from concurrent.futures import ThreadPoolExecutor
from pathlib import Path
from typing import Any
from zlib import crc32

import msgspec

from cherrygrade.fleet.config.joint_phase import JointPhase, SeatedMember, seats
from cherrygrade.fleet.config.replica import (
    ConfigReplica,
    FetchRequest,
    FetchResponse,
    ReachableMember,
    ReplicaEffects,
    StoredConfig,
)
from cherrygrade.fleet.config.versions import ConfigVersion
from cherrygrade.fleet.membership.effects import Effects, MemberConfigReport
from cherrygrade.fleet.membership.membership import Membership
from cherrygrade.fleet.membership.messages import ConfigAdvert
from cherrygrade.fleet.membership.table import MemberState
from cherrygrade.fleet.runtime.addresses import address
from cherrygrade.fleet.runtime.council_server import CouncilServer
from cherrygrade.fleet.runtime.sealed_file import SealedFile, SealedFileError
from cherrygrade.settings import CouncilSettings
from cherrygrade.transport.connection import Connection
from cherrygrade.wire.messages import VERSION, Bye, Hello, Members, Welcome

InForce = Callable[[ConfigVersion, int], str | Awaitable[str]]
"""Put a version in force at this stage: "", or why it is refused and all is as it was. Awaited where it is to
be: reading a text takes tens of ms, for which RPCs need not wait."""

PART = 8192  # of a word in one frame
MOST_WORD = 1024 * 1024  # a version in frames
FETCH_S = 1.5  # for a connection, and again for all that comes by it
LEAVE_S = 0.5  # for the disk, as this dispatcher leaves
UNSURE_MS = 500.0  # who is not sure looks this often whom it may ask
MOST_GIVERS = 16  # streams that ask for content, before any of them is told anything
MOST_SAID = 4096  # members whose last word is remembered for people
ASK_S = 0.35  # for the words of those that are missing, where a person asks
MOST_ASKED = 50  # of them at once
NEVER = 1e15


class FramedConnection:
    """Words in frames over one connection, each way at most MOST_WORD."""

    def __init__(self, conn: Connection | None = None) -> None:
        self.conn = Connection(self, 0) if conn is None else conn
        self._within = bytearray()

    def say(self, word: bytes) -> None:
        for at in range(0, max(1, len(word)), PART):
            self.conn.send(Members(word[at : at + PART], at + PART >= len(word)))

    def part(self, message: Members) -> None:
        self._within += message.payload
        if len(self._within) > MOST_WORD:
            self.conn.close("a word without end")
        elif message.last:
            data, self._within = bytes(self._within), bytearray()
            try:
                self.word(data)
            except (msgspec.MsgspecError, UnicodeDecodeError):
                self.conn.close("a word that can't be read")

    def word(self, data: bytes) -> None:
        raise NotImplementedError

    # What a connection of its own tells.

    def connected(self, conn: Connection) -> None: ...

    def room(self, conn: Connection, message: Any, length: int) -> None:
        return None

    def frame(self, conn: Connection, message: Any, body: object) -> None:
        if isinstance(message, Members):
            self.part(message)
        elif not isinstance(message, Welcome | Bye):
            conn.close(f"unexpected {type(message).__name__} of a configuration")

    def writable(self, conn: Connection) -> None: ...

    def closed(self, conn: Connection, why: str) -> None: ...


class ConfigFetch(FramedConnection):
    """One fetch out."""

    def __init__(self, config: ConfigExchange, by: str, wanted: FetchRequest) -> None:
        super().__init__()
        self.config, self.by, self._wanted = config, by, wanted
        self._over = False
        self._timer: asyncio.TimerHandle | None = None
        self.task: asyncio.Task[None] | None = None

    async def connect(self, to: tuple[str, int] | None, source: str) -> None:
        loop = asyncio.get_running_loop()
        try:
            if to is None:
                raise OSError("it is not known where it is")
            async with asyncio.timeout(FETCH_S):
                await loop.create_connection(lambda: self.conn, *to, local_addr=(source, 0))
            self._timer = loop.call_later(FETCH_S, self.conn.abort, "no content in time")
        except OSError as refused:  # TimeoutError among them
            self.end(f"no stream: {refused.strerror or refused or 'no answer in time'}")

    def connected(self, conn: Connection) -> None:
        conn.send(Hello(VERSION, "config", self.config.core.name, [self.config.fleet]))
        self.say(msgspec.msgpack.encode(self._wanted))

    def word(self, data: bytes) -> None:
        gave = msgspec.msgpack.decode(data, type=FetchResponse)
        if not self._over:
            self._finish()
            self.config.fetched(self.by, gave, len(data))
        self.conn.close("fetched")

    def closed(self, conn: Connection, why: str) -> None:
        self.end(f"its stream ended: {why}")

    def end(self, why: str) -> None:
        """Nothing came of it."""
        if not self._over:
            self._finish()
            self.config.unfetched(self.by, why)

    def close(self) -> None:
        self._finish()
        if self.task is not None:
            self.task.cancel()
        self.conn.abort("dispatcher leaves")

    def _finish(self) -> None:
        self._over = True
        if self._timer is not None:
            self._timer.cancel()
        self.config.fetches.pop(self, None)


class ConfigServer(FramedConnection):
    """One that fetches from here; the agent's stream hands its frames on."""

    def __init__(self, config: ConfigExchange, conn: Connection) -> None:
        super().__init__(conn)
        self.config, self._serves = config, False
        self._timer = asyncio.get_running_loop().call_later(FETCH_S, conn.abort, "no fetch in time")

    def word(self, data: bytes) -> None:
        wanted = msgspec.msgpack.decode(data, type=FetchRequest)
        replica = self.config.replica
        if replica is None or self._serves:
            self.conn.close("nothing to fetch")
            return
        gave = replica.wanted(wanted)
        self._serves = gave.content is not None
        word = msgspec.msgpack.encode(gave)
        self.config.given_bytes += len(word)
        self.say(word)

    def closed(self, conn: Connection, why: str) -> None:
        self._timer.cancel()
        self.config.givers.pop(self, None)
        if self._serves and self.config.replica is not None:
            self._serves = False
            self.config.replica.served()


class ConfigExchange:
    """`fetches` and `givers` end by themselves or by time; `steps` are emptied as they are on disk and in
    force; `said`: the last first-hand words, for people, the oldest go."""

    def __init__(
        self,
        fleet: str,
        core: Membership,
        council: CouncilSettings,
        file: str,
        source: str,
        seed: int,
        clock: Callable[[], float],
        in_force: InForce,
        post: Callable[[Effects], None],
        log: Callable[..., None],
    ) -> None:
        """`file`: "" keeps it in memory alone. `source`: the address that streams go out from."""
        self.fleet, self.core, self.council, self.clock, self.log = fleet, core, council, clock, log
        self._source, self._seed, self._in_force, self._post = source, seed, in_force, post
        self.file = SealedFile(Path(file)) if file else None
        self.replica: ConfigReplica | None = None
        self.council_server: CouncilServer | None = None
        self.fetches: dict[ConfigFetch, None] = {}
        self.givers: dict[ConfigServer, None] = {}
        self.said: dict[str, tuple[int, int, str, float]] = {}
        self.settling: JointPhase | None = None
        self._left = False  # it left before, and is not sure again
        self.kept_why = "" if file else "kept in memory alone"
        self.fetched_bytes = self.given_bytes = self.saves = 0
        self.since = 0.0  # when the one in force came into force, by this machine's clock
        self._settling_of = (0, 0)  # the term and the move that `settling` is of
        self._learned = (-1, False)  # stage of the voter's log, and whether it leads with all of it
        self._asked = 0
        self._steps: deque[ReplicaEffects] = deque()
        self._disk = ThreadPoolExecutor(1, "configuration disk")
        self._work: asyncio.Task[None] | None = None
        self._timer: asyncio.TimerHandle | None = None
        self._timer_at = NEVER
        self._shown: tuple[int, str] = (0, "")

    # Life.

    async def start(self) -> None:
        """What was kept goes into force, before anything is served."""
        kept = await self._load()
        core, own = self.core, self.core.table.own
        zone = own.info.zone if own.info is not None else ""
        left = self._left = self.file is not None and self.file.left
        me = (core.name, zone, own.seat, core.fleet_size, self.council.voters, self._seed, self.clock())
        replica = self.replica = ConfigReplica(*me, None if left else kept)
        does = ReplicaEffects(force=(kept.version, kept.stage)) if kept is not None else ReplicaEffects()
        if left and kept is not None:
            # Parts may have been dealt out anew without one that left by its own word: it goes by what it
            # kept, and is sure of it only once others said so.
            does = replica.learned(kept.version, kept.stage, self.clock())
        while does.force is not None:  # what was before it, where it is refused
            version, stage = does.force
            does = replica.forced(stage, await self._force(version, stage), self.clock())
        self._do(does)
        self._show()

    async def _load(self) -> StoredConfig | None:
        if self.file is None:
            self.log("configuration is kept in memory alone", do="Name fleet.config_file to keep it.")
            return None
        loop = asyncio.get_running_loop()
        try:
            body = await loop.run_in_executor(self._disk, self.file.load)
            return msgspec.msgpack.decode(body, type=StoredConfig) if body else None
        except (SealedFileError, msgspec.MsgspecError, UnicodeDecodeError, OSError) as wrong:
            try:
                aside: object = await loop.run_in_executor(self._disk, self.file.put_aside)
            except OSError as held:
                aside = f"nowhere: {held}"
            self.log(
                "configuration torn",
                what=str(wrong),
                means="This dispatcher serves on its own file until it has the fleet's version again.",
                aside=str(aside),
            )
            return None

    def ready(self, council_server: CouncilServer) -> None:
        """The agent's sockets are there."""
        self.council_server = council_server
        self.agreed()
        self._set()

    def leave(self) -> None:
        """Before it is told to anybody: who left is passed over as parts settle."""
        if self.file is not None:
            try:
                self._disk.submit(self.file.leave).result(LEAVE_S)
            except (OSError, TimeoutError) as full:
                self.log("configuration not kept", what=f"that this one leaves: {full}")

    def close(self) -> None:
        if self._timer is not None:
            self._timer.cancel()
        if self._work is not None:
            self._work.cancel()
        for fetch in [*self.fetches]:
            fetch.close()
        for giver in [*self.givers]:
            giver.conn.close("dispatcher leaves")
        self._disk.shutdown(wait=False)

    # What comes in.

    def heard(self, hints: list[MemberConfigReport]) -> None:
        replica, now = self.replica, self.clock()
        if replica is None:
            return
        for one in hints:
            config, own = one.config, self.core.config.advert
            if one.first_hand:
                self._say(one, now)
                does = replica.answered(
                    one.name, config.stage, config.digest_prefix, now, one.nonce, config.seat_bitmap
                )
                if one.nonce and self.settling is not None:
                    self.settling.answered(one.name, one.incarnation, config.stage, one.nonce)
                    self._settle()
            elif (
                own is not None
                and (own.stage, own.digest_prefix)
                == (
                    config.stage,
                    config.digest_prefix,
                )
                and not config.seat_bitmap
            ):
                continue  # nothing new, and nothing to believe
            else:
                does = replica.hint(one.name, config.stage, config.digest_prefix, now, config.seat_bitmap)
            self._do(does)
        self._set()

    def agreed(self) -> None:
        """The voter's log may have come to more, and that is on its disk."""
        voter, replica = self.council_server.voter if self.council_server is not None else None, self.replica
        if voter is None or replica is None:
            return
        known = voter.books.versions
        newest, told = known.newest, (known.stage, voter.leads)
        if told != self._learned:
            if newest is not None and told[0] > self._learned[0]:
                self.log("configuration agreed", number=newest.number, stage=told[0], by=newest.by)
            self._learned = told
            self._do(replica.learned(newest, told[0], self.clock(), proven=voter.leads))
            self._set()
        of = (voter.raft.term, known.moving) if voter.raft.leads and known.moving else (0, 0)
        if of != self._settling_of:
            self._settling_of, self.settling = of, None
            if of[1] and known.parts is not None and newest is not None and newest.old is not None:
                count = seats(known.parts, newest.old)
                self.settling = JointPhase(2 * of[1], count, self._seed, self.clock())
            self._set()

    def welcome(self, conn: Connection) -> ConfigServer | None:
        if self.replica is None or len(self.givers) >= MOST_GIVERS:
            return None
        giver = ConfigServer(self, conn)
        self.givers[giver] = None
        return giver

    def fetched(self, by: str, gave: FetchResponse, length: int) -> None:
        self.fetched_bytes += length
        if self.replica is not None:
            self._do(self.replica.fetched(by, gave, self.clock()))
            self._set()

    def unfetched(self, by: str, why: str) -> None:
        if self.replica is not None:
            self._do(self.replica.unfetched(by, why, self.clock()))
            self._set()

    # Time.

    def _beat(self) -> None:
        self._timer, self._timer_at = None, NEVER
        replica, now = self.replica, self.clock()
        if replica is None or self.core.silent:
            return
        if now >= replica.due() or not replica.sure:
            self._do(replica.beat(self._near(), now))
        if self.settling is not None and now >= self.settling.due():
            for name, nonce in self.settling.beat(self._claims(), now):
                if name == self.core.name:  # it needs no page to ask itself
                    self.settling.answered(name, self.core.incarnation, replica.stage, nonce)
                else:
                    self._post(self.core.query_config(name, nonce))
            self._settle()
        self._set()

    def _settle(self) -> None:
        settling = self.settling
        if settling is not None and self.council_server is not None and settling.whole(self._claims()):
            self.settling = None
            self.log("configuration settled", number=self._settling_of[1])
            self.council_server.settle(self._settling_of[1])

    def _set(self) -> None:
        if self.replica is None or self.council_server is None:
            return
        due = self.replica.due()
        if not self.replica.sure:  # as it starts it knows nobody, and whoever comes may have nothing to tell
            due = min(due, self.clock() + UNSURE_MS)
        if self.settling is not None:
            due = min(due, self.settling.due())
        if due < self._timer_at - 1.0 and due < NEVER / 2.0:
            if self._timer is not None:
                self._timer.cancel()
            self._timer_at = due
            at = max(due, self.clock() + 1.0) / 1000.0
            self._timer = asyncio.get_running_loop().call_at(at, self._beat)

    # What comes of it.

    def _do(self, does: ReplicaEffects) -> None:
        if self._steps or does.keep is not None or does.force is not None:
            self._steps.append(does)
            if self._work is None:
                self._work = asyncio.get_running_loop().create_task(self._carry())
        else:
            self._show()  # it may have become sure, or heard who else is on it
            self._tell(does)

    async def _carry(self) -> None:
        """One after the other: on disk, then in force, then told."""
        try:
            while self._steps:
                does = self._steps[0]
                why = await self._keep(does.keep) if does.keep is not None else ""
                after = None
                if does.force is not None and self.replica is not None:
                    version, stage = does.force
                    why = why or await self._force(version, stage)
                    after = self.replica.forced(stage, why, self.clock())
                self._steps.popleft()
                self._show()
                self._tell(does)
                if after is not None:
                    self._steps.appendleft(after)
        finally:
            self._work = None
            self._set()

    async def _keep(self, kept: StoredConfig) -> str:
        """Why it may not go into force: an older one that can be neither replaced nor removed would come back
        with the next start."""
        file = self.file
        if file is None:
            return ""
        loop = asyncio.get_running_loop()
        try:
            await loop.run_in_executor(self._disk, file.save, msgspec.msgpack.encode(kept))
            self.saves += 1
            self.kept_why = ""
            return ""
        except OSError as full:
            self.kept_why = f"{file.file} takes nothing: {full.strerror or full}"
            means = "It goes into force here and is asked for again after a restart."
            self.log("configuration not kept", what=self.kept_why, means=means, do="Make room there.")
        try:
            await loop.run_in_executor(self._disk, file.remove)
        except OSError as held:
            return f"can't keep it: {held.strerror or held}"
        return ""

    async def _force(self, version: ConfigVersion, stage: int) -> str:
        try:
            told = self._in_force(version, stage)
            why = told if isinstance(told, str) else await told
        except Exception as broke:  # a text that breaks this program's reader is refused like any other
            why = f"reading it failed: {type(broke).__name__}: {broke}"[:500]
        if not why:
            self.since = self.clock()
        if self.replica is not None:  # the fleet of record may be another now; bits go by its seats
            self.replica.seats = max(self.core.fleet_size, self.core.table.own.seat + 1)
        facts = {"number": version.number, "stage": stage, "digest": version.digest.hex()[:16]}
        if why:
            means = "This dispatcher stays on what it has."
            self.log("configuration refused", what=why, means=means, by=version.by, **facts)
        else:
            self.log("configuration in force", by=version.by, since=self.since, **facts)
        return why

    def _tell(self, does: ReplicaEffects) -> None:
        core = self.core
        for name, nonce in does.which:
            self._post(core.query_config(name, nonce))
        if does.push:
            self._post(core.advertise_config(does.push))
        if does.fetch is not None:
            self._fetch(*does.fetch)

    def _fetch(self, by: str, wanted: FetchRequest) -> None:
        fetch = ConfigFetch(self, by, wanted)
        self.fetches[fetch] = None
        member = self.core.table.members.get(by)
        to = address(member.info.address) if member is not None and member.info is not None else None
        fetch.task = asyncio.get_running_loop().create_task(fetch.connect(to, self._source))

    def _show(self) -> None:
        """What pages say from now on."""
        replica = self.replica
        if replica is not None:
            here = replica.here()
            self.core.config.advert = ConfigAdvert(here.stage, here.mark, here.bits)
            self.core.config.refusal = replica.status()[:120]
            if self._left and replica.sure and self.file is not None:
                self._left = False
                self._disk.submit(self.file.leave, False)

    # What it is told and tells.

    def _near(self) -> list[ReachableMember]:
        return [
            ReachableMember(one.name, one.info.zone, one.seat) for one in self.core.table.others() if one.info
        ]

    def _claims(self) -> list[SeatedMember]:
        return [
            SeatedMember(one.seat, one.name, one.incarnation, one.living, one.state is MemberState.LEFT)
            for one in self.core.table
            if one.info is not None
        ]

    def _say(self, one: MemberConfigReport, now: float) -> None:
        self.said.pop(one.name, None)
        self.said[one.name] = (one.incarnation, one.config.stage, one.why, now)
        while len(self.said) > MOST_SAID:
            del self.said[next(iter(self.said))]

    def status(self) -> dict[str, Any]:
        """What a person on call is shown, as this one knows it."""
        replica = self.replica
        if replica is None:
            return {}
        version = replica.version
        return {
            "stage": replica.stage,
            "number": version.number if version is not None else 0,
            "digest": version.digest.hex() if version is not None else "",
            "by": version.by if version is not None else "",
            "settled": bool(replica.stage % 2),
            "since": self.since,
            "sure": replica.sure,
            "trouble": replica.status(),
            "kept": self.kept_why or str(self.file.file if self.file is not None else ""),
            "fetched_bytes": self.fetched_bytes,
            "given_bytes": self.given_bytes,
            "saves": self.saves,
        }

    async def missing(self, number: int) -> list[dict[str, Any]]:
        """Who of the fleet of record is not known to have this version or a later one in force, and why.
        Those
        that live are asked for it now."""
        replica = self.replica
        if replica is None:
            return []
        here, loop = replica.here(), asyncio.get_running_loop()
        bits = here.bits if here.stage >= 2 * number else b""
        full = here.stage >= 2 * number and not here.bits
        wanting = []
        for one in self.core.table.others():
            seat = one.seat
            on = full or (0 <= seat < 8 * len(bits) and bits[seat // 8] >> seat % 8 & 1)
            if not on and self._stage(one.name, one.incarnation) < 2 * number:
                wanting.append(one)
        for one in wanting[:MOST_ASKED]:
            self._asked += 1
            nonce = crc32(f"{self._seed}:person:{self._asked}".encode())
            self._post(self.core.query_config(one.name, nonce))
        asked = self.clock()
        if wanting:
            await asyncio.sleep(ASK_S)
        found = []
        if here.stage < 2 * number:
            found.append(self._lacks(self.core.name, replica.stage, replica.status(), number))
        for one in wanting:
            _, stage, why, at = self.said.get(one.name, (0, 0, "", -NEVER))
            if self._stage(one.name, one.incarnation) >= 2 * number:
                continue
            if one.state is MemberState.SUSPECT or (at < asked and one in wanting[:MOST_ASKED]):
                why = "cut off: it gave no answer"
            found.append(self._lacks(one.name, stage, why, number) | {"seat": one.seat})
        living = {one.seat for one in self.core.table.living()}
        for one in self.core.table.dead():
            if 0 <= one.seat < self.core.fleet_size and one.seat not in living:
                left = one.state is MemberState.LEFT
                since = round((loop.time() * 1000.0 - one.since) / 1000.0)
                why = "left" if left else "dead, or cut off from here"
                why = f"{why}, for {since} s"
                found.append({"name": one.name, "seat": one.seat, "why": why, "lives": False})
        known = living | {one.seat for one in self.core.table.dead()}
        for seat in range(self.core.fleet_size):
            if seat not in known:
                found.append({"name": "", "seat": seat, "why": "nobody of it is known here", "lives": False})
        return found

    def _stage(self, name: str, birth: int) -> int:
        known = self.said.get(name)
        return known[1] if known is not None and known[0] == birth else -1

    def _lacks(self, name: str, stage: int, why: str, number: int) -> dict[str, Any]:
        on = f"on version {stage // 2}" if stage > 1 else "on its own file"
        return {"name": name, "seat": -1, "why": f"{why or 'late'}; {on}", "lives": True}
