"""Looks at every connection now and then, asks the ladder, and carries out its steps."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Iterable
from typing import Protocol

from cherrygrade.peers.memory_admission import MemoryAdmission
from cherrygrade.peers.memory_budget import Account
from cherrygrade.peers.slow_peer_escalation import (
    BACK,
    RecentCuts,
    SlowPeerEscalation,
    Step,
    is_network_slow,
    keeps_connection,
    limit_scarcity_rise,
    min_rate,
    min_rate_for_occupancy,
    scarcity,
)
from cherrygrade.peers.transfer_rate import TransferRate
from cherrygrade.settings import FlowControlSettings
from cherrygrade.transport.connection import Connection

LOOK_MS, PARTS, EACH = 100.0, 8, 16  # at most so many parts, of so many connections where there are few
STALL_MS = 150.0  # a part's look later than this after the last: it was we who stood still


class Line(Protocol):
    """Whoever has a connection: a client or a node."""

    @property
    def conn(self) -> Connection: ...


class Client(Line, Protocol):
    """What is done to a client that is slow."""

    name: str

    @property
    def account(self) -> Account: ...

    def idle(self) -> None:
        """It is looked at, now and then."""

    def read_on(self) -> None: ...

    def feed_hungry(self) -> None: ...


class Watched:
    """One connection's record; goes with it. `client`: whose it is, where it is a client's."""

    def __init__(
        self, pace: FlowControlSettings, grace_ms: float, one: Line, client: Client | None, now: float
    ) -> None:
        self.rate, self.ladder = TransferRate(pace.short_ms, pace.long_ms), SlowPeerEscalation(grace_ms)
        self.client, self.conn, self.moved, self.seen = client, one.conn, one.conn.moved, now
        self.least = self.occupied = 0.0  # what is asked of it; bytes that waited for it, in the mean


class SlowPeerWatch:
    """Asks `sessions` and `lines` for what is there now; keeps nothing of a connection that is gone.

    Each connection is looked at once in LOOK_MS, a part of them at a time: with a thousand of them one long
    look would be a pause that everybody feels.
    """

    def __init__(
        self,
        pace: FlowControlSettings,
        rooms: MemoryAdmission,
        sessions: Callable[[], Iterable[Client]],
        lines: Callable[[], Iterable[Line]],
        come_back_ms: float,
        log: Callable[..., None],
        late: Callable[[float, float], None] = lambda late_ms, now: None,
    ) -> None:
        """`late` is told how late each look was, and when: it is the clockwork that always runs."""
        self.pace, self.rooms, self._sessions, self._lines = pace, rooms, sessions, lines
        self.come_back_ms, self._log, self._late = come_back_ms, log, late
        self.memory = RecentCuts(pace.remember_ms)
        self._records: dict[Line, Watched] = {}  # made anew each cycle from what is still there
        self._left: list[Line] = []  # of this cycle, not looked at yet
        self._share, self._parts, self._scarce = 1, PARTS, 0.0
        self._last = self._good_at = self._cut_at = self._stood_still = 0.0
        # Of this cycle so far, and of the last whole one, which is judged by: waited for, slow, heaviest.
        self._waited = self._slow = 0
        self._heaviest: Watched | None = None
        self._judged: tuple[bool, Watched | None] = (False, None)
        self._timer: asyncio.TimerHandle | None = None

    def start(self) -> None:
        loop = asyncio.get_running_loop()
        self._last = loop.time() * 1000.0
        self._timer = loop.call_later(LOOK_MS / PARTS / 1000.0, self._look)

    def close(self) -> None:
        if self._timer is not None:
            self._timer.cancel()

    def _look(self) -> None:
        loop = asyncio.get_running_loop()
        now = loop.time() * 1000.0
        took, self._last = now - self._last, now
        self._late(took - LOOK_MS / self._parts, now)
        if took > STALL_MS:
            self._stood_still = now
        if not self._left:
            self._begin(now)
        self._timer = loop.call_later(LOOK_MS / self._parts / 1000.0, self._look)
        some, self._left = self._left[: self._share], self._left[self._share :]
        pace, store = self.pace, self.rooms.budget
        self._scarce = limit_scarcity_rise(
            self._scarce, scarcity(store.used_bytes, store.capacity_bytes), took, pace.long_ms
        )
        scarce = self._scarce
        least = min_rate(pace.floor, pace.top, scarce)
        for one in some:
            record = self._records.get(one)
            if record is not None and record.conn.open:
                self._judge(record, scarce, least, now)

    def _begin(self, now: float) -> None:
        """A cycle: the last one's sums are judged by, and who is there now is listed."""
        everybody = is_network_slow(self._slow, self._waited, now - self._good_at, self.pace.long_ms)
        self._judged, self._heaviest = (everybody, self._heaviest), None
        self._waited = self._slow = 0
        old, self._records = self._records, {}
        grace = self.pace.grace_ms
        for client in self._sessions():
            record = old.get(client)
            if record is None:
                given = self.memory.grace(_who(client), now, grace)
                record = Watched(self.pace, given, client, client, now)
            self._records[client] = record
        for line in self._lines():
            self._records[line] = old.get(line) or Watched(self.pace, grace, line, None, now)
        self._left = [*self._records]
        # A look costs by itself: 80 a second were a dispatcher's most work while nobody came.
        self._parts = min(PARTS, max(2, -(-len(self._left) // EACH)))
        self._share = -(-len(self._left) // self._parts)

    def _judge(self, record: Watched, scarce: float, least: float, now: float) -> None:
        conn, client, pace = record.conn, record.client, self.pace
        if client is not None:
            client.idle()
        moved, record.moved = conn.moved - record.moved, conn.moved
        took, seen, record.seen = now - record.seen, record.seen, now
        if seen < self._stood_still or took <= 0.0:  # it was we who stood still since
            return
        part = min(1.0, took / pace.long_ms)
        if not conn.waits_for_peer:
            record.rate.reset_wait()
            record.occupied -= part * record.occupied
            # With nothing left waiting: what a slow network takes at last comes in lumps, and looks as fast.
            if 1000.0 * moved / took >= least * BACK and client is not None:
                self._good_at = now
            return
        record.rate.record(moved, took)
        record.occupied += part * (conn.waiting - record.occupied)
        record.least = min_rate_for_occupancy(least, pace.top, scarce, record.occupied, pace.hold_ms)
        per_s = record.rate.bytes_per_second()
        self._waited += 1
        self._slow += per_s < record.least
        if self._heaviest is None or record.occupied > self._heaviest.occupied:
            self._heaviest = record
        everybody, heaviest = self._judged
        before = record.ladder.step
        stays = keeps_connection(everybody, scarce, record is heaviest, now - self._cut_at, pace.grace_ms)
        step = record.ladder.update(per_s, record.least, took, stays)
        if step is not before:
            self._take_step(record, step, now)

    def _take_step(self, record: Watched, step: Step, now: float) -> None:
        client = record.client
        conn, per_s, least = record.conn, record.rate.bytes_per_second(), record.least
        self._log(
            "slow peer",
            peer=conn.peer,
            name=client.name if client is not None else "",
            step=step.name.lower(),
            bytes_per_s=round(per_s),
            least=round(least),
            waiting=conn.waiting,
            used=self.rooms.budget.used_bytes,
        )
        if client is not None:
            self.rooms.set_step(client.account, step)
            client.read_on()
            if step < Step.NARROW:
                client.feed_hungry()
            if step is Step.CUT:
                self._cut_at = now
                self.memory.cut(_who(client), now)
                conn.close(
                    f"too slow: {per_s:.0f} bytes a second, {least:.0f} are the least", self.come_back_ms
                )
        elif step is Step.CUT:
            conn.abort(f"too slow: {per_s:.0f} bytes a second, {least:.0f} are the least")


def _who(client: Client) -> tuple[str, str]:
    return client.conn.peer.rpartition(":")[0], client.name
