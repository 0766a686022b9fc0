"""The council's sockets, disk and timer at one dispatcher, which may be a voter or not.

`consensus/voter.py` makes the decisions; this module carries out their effects. The writes of a step are on
disk before any message of that step or a later one is sent. A separate thread writes, so that client requests
do not wait for the disk. Where the disk can't be written, this dispatcher stops voting.
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

from cherrygrade.fleet.consensus import raft_messages
from cherrygrade.fleet.consensus.council_messages import AnyReply, AnyRequest, NotLeader, PutConfig
from cherrygrade.fleet.consensus.raft_messages import PersistentState
from cherrygrade.fleet.consensus.voter import Voter
from cherrygrade.fleet.consensus.voter_effects import ConfigVerdict, OutgoingReply, VoterEffects
from cherrygrade.fleet.errors import VoterStoppedError
from cherrygrade.fleet.runtime.addresses import parse_address
from cherrygrade.fleet.runtime.config_judge import Judge, judge_text
from cherrygrade.fleet.runtime.council_client import CouncilClient
from cherrygrade.fleet.runtime.council_connections import (
    JOIN_REQUEST,
    RAFT_MESSAGE,
    REPLY,
    REQUEST,
    CouncilClientConnection,
    CouncilConnection,
)
from cherrygrade.fleet.runtime.voter_status import voter_status
from cherrygrade.fleet.runtime.voter_store import VoterStore, open_store
from cherrygrade.settings import CouncilSettings
from cherrygrade.transport.connection import Connection

MAX_CLIENT_CONNECTIONS = 512  # open connections that members and voters opened to this dispatcher
MAX_JUDGING = 16  # configuration changes whose texts are being judged at the same time
JOIN_INTERVAL_MS = 1000.0  # between two requests to be admitted as a voter

_raft_decoder = msgspec.msgpack.Decoder(raft_messages.AnyRaftMessage)
_request_decoder = msgspec.msgpack.Decoder(AnyRequest)
_reply_decoder = msgspec.msgpack.Decoder(AnyReply)


class CouncilServer:
    """Connects one dispatcher to the council, and runs its voter where the settings name it as one.

    Attributes:
        council: The council's settings.
        fleet: The fleet's name.
        name: This dispatcher's name.
        incarnation: The time at which this dispatcher started, Unix ms.
        source: The IP address that connections are made from.
        clock: Returns the time in ms.
        voter: This dispatcher's voter; None where it does not vote, or stopped voting.
        store: The voter's store; None where this dispatcher does not vote.
        client: Sends this dispatcher's own requests to the leader.
        voter_connections: Connections to other voters, by name; removed when they end.
        client_connections: Connections that others opened to this dispatcher; removed when they end.
        judging: Configuration changes whose text is being judged, by request id.
        sent_bytes: Bytes of messages sent, in total.
        store_writes: Steps that wrote to the store, in total.
    """

    def __init__(
        self,
        council: CouncilSettings,
        fleet: str,
        name: str,
        incarnation: int,
        seed: int,
        source: str,
        clock: Callable[[], float],
        find_address: Callable[[str], str | None],
        log: Callable[..., None],
        judge: Judge | None = None,
        log_advanced: Callable[[], None] = lambda: None,
    ) -> None:
        """Take the settings and callbacks; `start` opens the store.

        Args:
            council: The council's settings.
            fleet: The fleet's name.
            name: This dispatcher's name.
            incarnation: The time at which this dispatcher started, Unix ms.
            seed: Seeds the voter's random choices.
            source: The IP address that connections are made from.
            clock: Returns the time in ms.
            find_address: Returns the `IP:PORT` of the dispatcher with a name; None where it is not known.
            log: Writes a log line with an event and facts.
            judge: Judges the texts of proposed configurations; None refuses all.
            log_advanced: Called whenever the council's log may have advanced; the log is on disk by then.
        """
        self.council = council
        self.fleet = fleet
        self.name = name
        self.incarnation = incarnation
        self.source = source
        self.clock = clock
        self.voter: Voter | None = None
        self.store: VoterStore | None = None
        self.client = CouncilClient(council.voters, self._send_request)
        self.voter_connections: dict[str, CouncilConnection] = {}
        self.client_connections: dict[CouncilClientConnection, None] = {}
        self.judging: dict[str, asyncio.Task[None]] = {}
        self.sent_bytes = 0
        self.store_writes = 0
        self._seed = seed
        self._find_address = find_address
        self._log = log
        self._judge = judge
        self._log_advanced = log_advanced
        self._judge_thread = ThreadPoolExecutor(1, "configuration judge")
        self._disk_thread = ThreadPoolExecutor(1, "council disk")
        self._unwritten: deque[tuple[VoterEffects, int]] = deque()  # with the log's last index after the step
        self._writing: asyncio.Task[None] | None = None
        self._timer: asyncio.TimerHandle | None = None
        self._next_join_ms = 0.0
        self._logged_leader = ""

    async def start(self) -> None:
        """Open the store and start the voter, where the settings name this dispatcher as a voter.

        An untrusted store is quarantined and replaced by an empty one.
        """
        if self.name not in self.council.voters:
            return
        folder = Path(self.council.folder)
        loop = asyncio.get_running_loop()
        try:
            opened = await loop.run_in_executor(
                self._disk_thread, open_store, folder, self.fleet, self.name, self.incarnation
            )
        except (OSError, lmdb.Error) as error:
            self._stop_voting(error)
            return
        self.store = opened.store
        if opened.quarantine_reason:
            self._log("council store quarantined", why=opened.quarantine_reason)
        self._start_voting(opened.store, opened.state)

    def _start_voting(self, store: VoterStore, stored: PersistentState) -> None:
        self.voter = Voter(
            store.voter_id, stored, self.council.voters, self._seed, self.clock(), self.council.drift
        )
        votes = store.voter_id in self.voter.raft.voters
        self._log(
            "voter started",
            me=store.voter_id,
            term=stored.term,
            last=self.voter.raft.log.last_index,
            votes=votes,
        )
        self._set_timer()

    def close(self) -> None:
        """Close all connections, cancel the timer and all tasks, and close the store after its last write."""
        if self._timer is not None:
            self._timer.cancel()
        for connection in [*self.voter_connections.values(), *self.client_connections]:
            if connection.task is not None:
                connection.task.cancel()
            connection.conn.close("dispatcher leaves")
        self.client.close()
        for task in [*self.judging.values()]:
            task.cancel()
        self._judge_thread.shutdown(wait=False, cancel_futures=True)
        if self._writing is not None:
            self._writing.cancel()
        self._close_store()

    def _close_store(self) -> None:
        store, self.store = self.store, None
        if store is not None:
            self._disk_thread.submit(store.close)  # runs after the write in progress
        self._disk_thread.shutdown(wait=False)

    def status(self) -> dict[str, Any]:
        """Return the council's part of `cherrygrade fleet status`.

        It may be outdated where this dispatcher's voter does not lead.
        """
        status: dict[str, Any] = {"leader": self.client.leader, "votes": False, "leases": []}
        status |= {"said_bytes": self.sent_bytes, "writes": self.store_writes}
        if self.voter is not None and self.store is not None:
            status |= voter_status(self.voter, self.store.voter_id, self.clock())
        return status

    def address_of(self, name: str) -> tuple[str, int] | None:
        """Return a dispatcher's IP address and port; None where they are not known."""
        address = self._find_address(name)
        return parse_address(address) if address is not None else None

    async def request(self, request: AnyRequest, timeout_s: float) -> AnyReply:
        """Send a request to the leader and return the reply.

        Args:
            request: The request.
            timeout_s: For the request at all voters together.

        Raises:
            CouncilUnreachableError: No leader replied in time; the request may still have been carried out.
        """
        return await self.client.request(request, timeout_s)

    def _send_request(self, request: AnyRequest, name: str) -> None:
        if name == self.name and self.voter is not None:
            self._request_received(self.voter, request, None)
        else:
            self._connection_to(name).send(REQUEST, request)

    def accept(self, conn: Connection, name: str) -> CouncilClientConnection | None:
        """Serve a connection that the dispatcher `name` opened to this one.

        Returns:
            None where MAX_CLIENT_CONNECTIONS are open.
        """
        if len(self.client_connections) >= MAX_CLIENT_CONNECTIONS:
            return None
        connection = CouncilClientConnection(self, conn, name)
        self.client_connections[connection] = None
        return connection

    def connection_lost(self, connection: CouncilConnection) -> None:
        """Remove a connection that ended, or could not be opened."""
        if isinstance(connection, CouncilClientConnection):
            self.client_connections.pop(connection, None)
        elif self.voter_connections.get(connection.name) is connection:
            del self.voter_connections[connection.name]

    def _connection_to(self, name: str) -> CouncilConnection:
        connection = self.voter_connections.get(name)
        if connection is None:
            connection = self.voter_connections[name] = CouncilConnection(self, name)
        return connection

    def message_received(self, connection: CouncilConnection, message: bytes) -> None:
        """Handle one received message.

        Raises:
            msgspec.MsgspecError: The message's kind is unknown, or its body can't be decoded.
            UnicodeDecodeError: The body can't be decoded.
        """
        kind, body = message[:1], message[1:]
        if kind == REPLY:
            self.client.reply_received(_reply_decoder.decode(body))
            return
        if kind not in (RAFT_MESSAGE, REQUEST, JOIN_REQUEST):
            raise msgspec.DecodeError(f"unknown kind of council message: {kind!r}")
        voter, now = self.voter, self.clock()
        if voter is None:
            if kind == REQUEST:
                request_id = _request_decoder.decode(body).id
                connection.send(REPLY, NotLeader(request_id, "", "this dispatcher is not a voter"))
        elif kind == RAFT_MESSAGE:
            self._apply_effects(voter.receive(_raft_decoder.decode(body), now))
        elif kind == REQUEST:
            self._request_received(voter, _request_decoder.decode(body), connection)
        else:
            self._apply_effects(voter.admit(msgspec.msgpack.decode(body, type=str), now))

    def _request_received(
        self, voter: Voter, request: AnyRequest, connection: CouncilConnection | None
    ) -> None:
        """Pass a request to the voter; `connection` is None for a request of this dispatcher itself."""
        if not (isinstance(request, PutConfig) and voter.raft.is_leader):
            self._apply_effects(voter.request(request, connection, self.clock()))
            return
        if request.id in self.judging:
            return  # a retry: the first attempt is being judged, and its reply answers both
        if len(self.judging) >= MAX_JUDGING:
            refusal = NotLeader(request.id, "", f"{MAX_JUDGING} configuration changes are being judged")
            self._apply_effects(VoterEffects(replies=[OutgoingReply(connection, refusal)]))
            return
        put = self._judge_and_put(request, connection)
        self.judging[request.id] = asyncio.get_running_loop().create_task(put)

    async def _judge_and_put(self, request: PutConfig, connection: CouncilConnection | None) -> None:
        voter = self.voter
        try:
            assert voter is not None
            newest = voter.state_machine.versions.newest
            before = newest.text if newest is not None else ""
            loop = asyncio.get_running_loop()
            verdict = await loop.run_in_executor(
                self._judge_thread, judge_text, self._judge, before, request.text
            )
            if newest is not None and newest.number != request.based_on:
                # The difference is against another text than the change is based on, and is left out. The log
                # refuses such a change.
                verdict = ConfigVerdict(verdict.refusal, verdict.divisors, verdict.old_divisors)
            if self.voter is voter:
                self._apply_effects(voter.put_config(request, verdict, connection, self.clock()))
        finally:
            self.judging.pop(request.id, None)

    def settle(self, number: int) -> None:
        """Notify the council that all dispatchers use the quotas of version `number`'s joint phase."""
        if self.voter is not None:
            self._apply_effects(self.voter.settle_config(number, self.clock()))

    def _timer_fired(self) -> None:
        self._timer = None
        if self.voter is None:
            return
        now = self.clock()
        if now >= self._next_join_ms and self._must_join:
            self._next_join_ms = now + JOIN_INTERVAL_MS
            for name in self.council.voters:
                if name != self.name:
                    self._connection_to(name).send(JOIN_REQUEST, self.voter.raft.name)
        self._apply_effects(self.voter.tick(now))

    @property
    def _must_join(self) -> bool:
        """Whether this dispatcher has a voter whose store the council has not admitted."""
        return self.voter is not None and self.voter.raft.name not in self.voter.raft.voters

    def _set_timer(self) -> None:
        if self.voter is None:
            return
        if self._timer is not None:
            self._timer.cancel()
        deadline_ms = (
            min(self.voter.next_deadline(), self._next_join_ms)
            if self._must_join
            else self.voter.next_deadline()
        )
        at_s = max(deadline_ms, self.clock()) / 1000.0
        self._timer = asyncio.get_running_loop().call_at(at_s, self._timer_fired)

    def _apply_effects(self, effects: VoterEffects) -> None:
        """Carry out one step's effects, after the effects of all steps before it."""
        voter = self.voter
        assert voter is not None
        self._unwritten.append((effects, voter.raft.log.last_index))
        if self._writing is None:
            if any(step.has_writes for step in effects.raft_effects):
                self._writing = asyncio.get_running_loop().create_task(self._write_and_send())
            else:
                self._unwritten.clear()
                self._send_effects(effects)
        self._set_timer()

    async def _write_and_send(self) -> None:
        """Carry out steps one after the other.

        A step that writes nothing also waits for the steps before it.
        """
        loop = asyncio.get_running_loop()
        try:
            while self._unwritten and self.store is not None:
                effects, last_index = self._unwritten[0]
                if any(step.has_writes for step in effects.raft_effects):
                    await loop.run_in_executor(
                        self._disk_thread, self._write, self.store, effects, last_index
                    )
                self._unwritten.popleft()
                self._send_effects(effects)
        except (OSError, lmdb.Error) as error:
            self._stop_voting(error)  # no message that depends on the write may be sent
        finally:
            self._writing = None

    def _write(self, store: VoterStore, effects: VoterEffects, last_index: int) -> None:
        for step in effects.raft_effects:
            store.write(step, last_index)
            self.store_writes += step.has_writes

    def _send_effects(self, effects: VoterEffects) -> None:
        """Send the messages and replies of a step; the step's writes are on disk."""
        voter = self.voter
        if voter is None:
            return
        for voter_id, message in effects.messages:
            self._connection_to(voter_id.partition("/")[0]).send(RAFT_MESSAGE, message)
        for connection, reply in effects.replies:
            if isinstance(connection, CouncilConnection):
                connection.send(REPLY, reply)
            else:
                self.client.reply_received(reply)
        if voter.leader != self._logged_leader:
            self._logged_leader = self.client.leader = voter.leader
            self._log("council leader", leader=voter.leader, term=voter.raft.term)
        self._log_advanced()

    def _stop_voting(self, cause: Exception) -> None:
        self.voter = None
        self._unwritten.clear()
        self._close_store()
        error = VoterStoppedError(f"can't write the council's store in {self.council.folder}: {cause}")
        self._log("voter stopped", what=error.what, means=error.means, do=error.do)
