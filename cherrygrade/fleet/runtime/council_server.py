"""The council's sockets and disk: words between voters, asks of any member, one timer.

Nothing is decided here: `council/voter.py` and `leases/holding.py` do. A step's writes are on disk before
anything else of it, or of a later one, leaves; they are made by a thread of their own: RPCs do not wait
for a disk. Where it takes nothing this voter is none any more.
"""

from __future__ import annotations

import asyncio
from collections import deque
from collections.abc import Callable
from concurrent.futures import ThreadPoolExecutor
from pathlib import Path
from typing import Any

import lmdb
import msgspec

from cherrygrade.fleet.config.text_diff import difference
from cherrygrade.fleet.config.versions import QuotaDivisors
from cherrygrade.fleet.consensus.council_messages import AnyReply, AnyRequest, NotLeader, PutConfig
from cherrygrade.fleet.consensus.raft_messages import AnyRaftMessage, PersistentState
from cherrygrade.fleet.consensus.voter import Voter
from cherrygrade.fleet.consensus.voter_effects import ConfigVerdict, OutgoingReply, VoterEffects
from cherrygrade.fleet.errors import CouncilUnreachableError, VoterStoppedError
from cherrygrade.fleet.runtime.addresses import address
from cherrygrade.fleet.runtime.voter_store import VoterStore, open_store
from cherrygrade.settings import CouncilSettings
from cherrygrade.transport.connection import Connection
from cherrygrade.wire.messages import VERSION, Bye, Hello, Members, Welcome

PART = 8192  # of a word in one frame
MOST_WORD = 32 * 1024 * 1024  # a snapshot in frames
MOST_QUEUED = 256  # words to a peer that is not connected; the oldest go: Raft says them again
MOST_GUESTS = 512
CONNECT_S, AGAIN_S = 1.0, 0.1
ASK_S = 1.0  # for an answer of one voter, before another is asked
LET_IN_MS = 1000.0  # between two asks of a voter without a vote
MOST_JUDGING = 16  # changes of the configuration at once

Judge = Callable[[str, str], tuple[str, QuotaDivisors | None, QuotaDivisors | None]]
"""Of the texts before and after a change: why it is refused, or "" and the divisors of the site that comes of
it and of the one before. Blocking; it may touch nothing of the dispatcher's."""

_word = msgspec.msgpack.Decoder(AnyRaftMessage)
_ask = msgspec.msgpack.Decoder(AnyRequest)
_answer = msgspec.msgpack.Decoder(AnyReply)
_encode = msgspec.msgpack.Encoder().encode


class CouncilConnection:
    """One connection for the council's words, made here (`to`) or there. Words come in frames."""

    def __init__(self, council_server: CouncilServer, name: str = "") -> None:
        self.council_server, self.name = council_server, name
        self.conn = Connection(self, 0)
        self.queue: deque[bytes] = deque(maxlen=MOST_QUEUED)
        self.ready = self.connecting = False
        self._within = bytearray()
        self.task: asyncio.Task[None] | None = None

    # To a voter.

    def say(self, kind: bytes, word: Any) -> None:
        data = kind + _encode(word)
        if self.ready:
            self._send(data)
            return
        self.queue.append(data)
        if not self.connecting:
            self.connecting = True
            self.task = asyncio.get_running_loop().create_task(self._connect())

    async def _connect(self) -> None:
        try:
            to = self.council_server.place(self.name)
            if to is None:
                await asyncio.sleep(AGAIN_S)
                return
            async with asyncio.timeout(CONNECT_S):
                loop = asyncio.get_running_loop()
                host = self.council_server.source
                await loop.create_connection(lambda: self.conn, *to, local_addr=(host, 0))
        except OSError:
            await asyncio.sleep(AGAIN_S)
        finally:
            self.connecting = False
            if not self.conn.open:
                self.council_server.lost(self)

    def _send(self, data: bytes) -> None:
        self.council_server.said_bytes += len(data)
        for at in range(0, len(data), PART):
            self.conn.send(Members(data[at : at + PART], at + PART >= len(data)))

    # What the connection tells.

    def connected(self, conn: Connection) -> None:
        fleet = self.council_server.fleet
        conn.send(Hello(VERSION, "council", self.council_server.name, [fleet]))
        self.ready = True
        while self.queue:
            self._send(self.queue.popleft())

    def room(self, conn: Connection, message: Any, length: int) -> None:
        return None

    def frame(self, conn: Connection, message: Any, body: object) -> None:
        if isinstance(message, Members):
            self.part(message)
        elif not isinstance(message, Welcome | Bye):
            conn.close(f"unexpected {type(message).__name__} in council")

    def part(self, message: Members) -> None:
        self._within += message.payload
        if len(self._within) > MOST_WORD:
            self.conn.close("a word without end")
        elif message.last:
            data, self._within = bytes(self._within), bytearray()
            try:
                self.council_server.came(self, data)
            except (msgspec.MsgspecError, UnicodeDecodeError):
                self.conn.close("a word that can't be read")

    def writable(self, conn: Connection) -> None:
        pass

    def closed(self, conn: Connection, why: str) -> None:
        self.ready = False
        self.council_server.lost(self)


class CouncilClientConnection(CouncilConnection):
    """One that came in: the agent's stream hands its frames on."""

    def __init__(self, council_server: CouncilServer, conn: Connection, name: str) -> None:
        super().__init__(council_server, name)
        self.conn, self.ready = conn, True

    def say(self, kind: bytes, word: Any) -> None:
        if self.ready:  # else it has gone, and asks again if it wants to know
            self._send(kind + _encode(word))


def judged(judge: Judge | None, before: str, text: str) -> ConfigVerdict:
    """In a thread of its own: RPCs do not wait for a text to be read."""
    if judge is None:
        return ConfigVerdict("this dispatcher takes no configuration")
    try:
        why, parts, old = judge(before, text)
    except Exception as broke:  # whatever reads it: a text that breaks it is refused, and nothing else is
        return ConfigVerdict(f"reading it failed: {type(broke).__name__}: {broke}"[:500])
    if why or parts is None:
        return ConfigVerdict(why or "no site comes of it")
    hunks = difference(before, text)
    short = sum(len(one) for hunk in hunks for one in hunk.lines) < len(text)
    return ConfigVerdict("", parts, old, hunks if short and before else None)


class CouncilServer:
    """`lines` by voter, `guests` while they stay, `asks` until they are answered or their time is up;
    `judging` by an ask's id, while its text is looked at."""

    def __init__(
        self,
        council: CouncilSettings,
        fleet: str,
        name: str,
        birth: int,
        seed: int,
        source: str,
        clock: Callable[[], float],
        whereabouts: Callable[[str], str | None],
        log: Callable[..., None],
        judge: Judge | None = None,
        agreed: Callable[[], None] = lambda: None,
    ) -> None:
        """`agreed` is told whenever the log may have come to more, after that is on disk."""
        self._judge, self._agreed = judge, agreed
        self.judging: dict[str, asyncio.Task[None]] = {}
        self._judges = ThreadPoolExecutor(1, "configuration judge")
        self.council, self.fleet, self.name, self.birth = council, fleet, name, birth
        self.source, self.clock, self._whereabouts, self._log = source, clock, whereabouts, log
        self._seed = seed
        self.voter: Voter | None = None
        self.store: VoterStore | None = None
        self.lines: dict[str, CouncilConnection] = {}
        self.guests: dict[CouncilClientConnection, None] = {}
        self.asks: dict[str, asyncio.Future[AnyReply]] = {}
        self.leader = ""
        self.said_bytes = self.writes = 0
        self._turn = 0
        self._timer: asyncio.TimerHandle | None = None
        self._let_in_at = 0.0
        self._led = ""
        self._disk = ThreadPoolExecutor(1, "council disk")
        self._steps: deque[tuple[VoterEffects, int]] = deque()  # not on disk yet; emptied as they are
        self._writing: asyncio.Task[None] | None = None

    async def start(self) -> None:
        """Opens the store, where this one votes; one that can't be trusted is put aside."""
        if self.name not in self.council.voters:
            return
        try:
            place = (Path(self.council.folder), self.fleet, self.name, self.birth)
            loop = asyncio.get_running_loop()
            self.store, stored, trouble = await loop.run_in_executor(self._disk, open_store, *place)
        except (OSError, lmdb.Error) as wrong:
            self._stop(wrong)
            return
        if trouble:
            self._log("council store put aside", why=trouble)
        self._begin(stored)

    def _begin(self, stored: PersistentState) -> None:
        assert self.store is not None
        self.voter = Voter(
            self.store.me, stored, self.council.voters, self._seed, self.clock(), self.council.drift
        )
        votes = self.store.me in self.voter.raft.voters
        self._log(
            "council", me=self.store.me, term=stored.term, last=self.voter.raft.log.last_index, votes=votes
        )
        self._set()

    def close(self) -> None:
        if self._timer is not None:
            self._timer.cancel()
        for line in [*self.lines.values(), *self.guests]:
            if line.task is not None:
                line.task.cancel()
            line.conn.close("dispatcher leaves")
        for held in self.asks.values():
            held.cancel()
        for task in [*self.judging.values()]:
            task.cancel()
        self._judges.shutdown(wait=False, cancel_futures=True)
        if self._writing is not None:
            self._writing.cancel()
        self._shut()

    def _shut(self) -> None:
        """The store, behind what is being written."""
        store, self.store = self.store, None
        if store is not None:
            self._disk.submit(store.close)
        self._disk.shutdown(wait=False)

    def status(self) -> dict[str, Any]:
        """What a person on call is shown; as this one knows it, which may be old where it does not lead."""
        voter = self.voter
        told: dict[str, Any] = {"leader": self.leader, "votes": False, "leases": []}
        told |= {"said_bytes": self.said_bytes, "writes": self.writes}
        if voter is not None and self.store is not None:
            known, now = voter.raft, self.clock()
            leads = known.is_leader
            told |= {
                "leader": voter.leader,
                "me": self.store.me,
                "votes": self.store.me in known.voters,
                "voters": [*known.voters],
                "term": known.term,
                "agreed": known.commit_index,
                "leases": [
                    {
                        "task": one.task,
                        "holder": one.holder,
                        "number": one.number,
                        "left_ms": round(voter.renewals.ends(one) - now) if leads else None,
                    }
                    for one in voter.state_machine.leases.leases.values()
                ],
                "failed": {
                    task: [one.times, one.why] for task, one in voter.state_machine.leases.failed.items()
                },
            }
        return told

    def place(self, name: str) -> tuple[str, int] | None:
        found = self._whereabouts(name)
        return address(found) if found is not None else None

    # What sockets bring.

    def welcome(self, conn: Connection, name: str) -> CouncilClientConnection | None:
        if len(self.guests) >= MOST_GUESTS:
            return None
        guest = CouncilClientConnection(self, conn, name)
        self.guests[guest] = None
        return guest

    def lost(self, line: CouncilConnection) -> None:
        if isinstance(line, CouncilClientConnection):
            self.guests.pop(line, None)
        elif self.lines.get(line.name) is line:
            del self.lines[line.name]

    def came(self, line: CouncilConnection, data: bytes) -> None:
        kind, body = data[:1], data[1:]
        if kind == b"n":
            self._answered(_answer.decode(body))
            return
        if kind not in (b"r", b"q", b"j"):
            raise msgspec.DecodeError("no such word")
        voter, now = self.voter, self.clock()
        if voter is None:
            if kind == b"q":
                line.say(b"n", NotLeader(_ask.decode(body).id, "", "this one does not vote"))
        elif kind == b"r":
            self._do(voter.receive(_word.decode(body), now))
        elif kind == b"q":
            self._asked(voter, _ask.decode(body), line)
        else:
            self._do(voter.admit(msgspec.msgpack.decode(body, type=str), now))

    def _asked(self, voter: Voter, ask: AnyRequest, by: CouncilConnection | None) -> None:
        if not (isinstance(ask, PutConfig) and voter.raft.is_leader):
            self._do(voter.request(ask, by, self.clock()))
        elif ask.id not in self.judging:  # else it is asked again, and the first answer is on its way
            if len(self.judging) >= MOST_JUDGING:
                does = VoterEffects(
                    replies=[OutgoingReply(by, NotLeader(ask.id, "", "too many changes at once"))]
                )
                self._do(does)
                return
            task = asyncio.get_running_loop().create_task(self._put_judged(ask, by))
            self.judging[ask.id] = task

    async def _put_judged(self, ask: PutConfig, by: CouncilConnection | None) -> None:
        voter = self.voter
        try:
            assert voter is not None
            newest = voter.state_machine.versions.newest
            before = newest.text if newest is not None else ""
            loop = asyncio.get_running_loop()
            found = await loop.run_in_executor(self._judges, judged, self._judge, before, ask.text)
            if newest is not None and newest.number != ask.based_on:
                found = ConfigVerdict(
                    found.refusal, found.divisors, found.old_divisors
                )  # refused by the log, whose word it is
            if self.voter is voter:
                self._do(voter.put_config(ask, found, by, self.clock()))
        finally:
            self.judging.pop(ask.id, None)

    def settle(self, number: int) -> None:
        """All of record use the smaller parts of the move that began with this version."""
        if self.voter is not None:
            self._do(self.voter.settle_config(number, self.clock()))

    def _beat(self) -> None:
        self._timer = None
        if self.voter is None:
            return
        now = self.clock()
        if now >= self._let_in_at and self._outside:
            self._let_in_at = now + LET_IN_MS
            for name in self.council.voters:
                if name != self.name:
                    self._line(name).say(b"j", self.voter.raft.name)
        self._do(self.voter.tick(now))

    @property
    def _outside(self) -> bool:
        """It would vote, and its store is no voter's."""
        return self.voter is not None and self.voter.raft.name not in self.voter.raft.voters

    def _do(self, does: VoterEffects) -> None:
        voter = self.voter
        assert voter is not None
        self._steps.append((does, voter.raft.log.last_index))
        if self._writing is None:
            if any(step.has_writes for step in does.raft_effects):
                self._writing = asyncio.get_running_loop().create_task(self._write())
            else:
                self._steps.clear()
                self._leave(does)
        self._set()

    async def _write(self) -> None:
        """One step after the other: what comes behind one waits for it, whether it writes or not."""
        loop = asyncio.get_running_loop()
        try:
            while self._steps and self.store is not None:
                does, last = self._steps[0]
                if any(step.has_writes for step in does.raft_effects):
                    await loop.run_in_executor(self._disk, self._put, self.store, does, last)
                self._steps.popleft()
                self._leave(does)
        except (OSError, lmdb.Error) as wrong:  # nothing that rests on it may leave
            self._stop(wrong)
        finally:
            self._writing = None

    def _put(self, store: VoterStore, does: VoterEffects, last: int) -> None:
        for step in does.raft_effects:
            store.write(step, last)
            self.writes += step.has_writes

    def _leave(self, does: VoterEffects) -> None:
        """What rests on what is on disk."""
        voter = self.voter
        if voter is None:
            return
        for to, word in does.messages:
            self._line(to.partition("/")[0]).say(b"r", word)
        for by, answer in does.replies:
            if isinstance(by, CouncilConnection):
                by.say(b"n", answer)
            else:
                self._answered(answer)
        if voter.leader != self._led:
            self._led = self.leader = voter.leader
            self._log("council leader", leader=voter.leader, term=voter.raft.term)
        self._agreed()

    def _stop(self, wrong: Exception) -> None:
        self.voter = None
        self._steps.clear()
        self._shut()
        trouble = VoterStoppedError(f"the council's store takes nothing: {wrong}")
        self._log("no voter", what=trouble.what, means=trouble.means, do=trouble.do)

    def _set(self) -> None:
        if self.voter is None:
            return
        if self._timer is not None:
            self._timer.cancel()
        due = (
            min(self.voter.next_deadline(), self._let_in_at) if self._outside else self.voter.next_deadline()
        )
        at = max(due, self.clock()) / 1000.0
        self._timer = asyncio.get_running_loop().call_at(at, self._beat)

    def _line(self, name: str) -> CouncilConnection:
        line = self.lines.get(name)
        if line is None:
            line = self.lines[name] = CouncilConnection(self, name)
        return line

    # What members ask.

    async def ask(self, ask: AnyRequest, within_s: float) -> AnyReply:
        """The answer of whoever leads. Unreached where none came in time: it may have been done."""
        loop = asyncio.get_running_loop()
        ends, why = loop.time() + within_s, "no voter answered"
        while (left := ends - loop.time()) > 0.0:
            name = self._whom()
            answer = await self._ask_one(ask, name, min(left, ASK_S))
            if answer is not None and not isinstance(answer, NotLeader):
                self.leader = name
                return answer
            if answer is None:
                self.leader = ""
                continue
            why = answer.reason
            self.leader = answer.leader if answer.leader != name else ""
            if not self.leader:
                await asyncio.sleep(AGAIN_S)
        raise CouncilUnreachableError(f"the council gave no answer: {why}")

    def _whom(self) -> str:
        voters = self.council.voters
        if self.leader in voters:
            return self.leader
        self._turn += 1
        return voters[self._turn % len(voters)]

    async def _ask_one(self, ask: AnyRequest, name: str, within_s: float) -> AnyReply | None:
        held = self.asks[ask.id] = asyncio.get_running_loop().create_future()
        try:
            if name == self.name and self.voter is not None:
                self._asked(self.voter, ask, None)
            else:
                self._line(name).say(b"q", ask)
            return await asyncio.wait_for(held, within_s)
        except TimeoutError:
            return None
        finally:
            self.asks.pop(ask.id, None)

    def _answered(self, answer: AnyReply) -> None:
        held = self.asks.get(answer.id)
        if held is not None and not held.done():
            held.set_result(answer)
