"""The shared configuration at one dispatcher: its connections, timer and steps into force.

The decisions are `config/replica.py`'s (what is believed, fetched, kept and put in force) and
`config/joint_phase.py`'s (when quotas have moved); here their effects are carried out. What goes into force
is on disk before it does.
"""

from __future__ import annotations

import asyncio
from collections import deque
from collections.abc import Awaitable, Callable
from typing import Any

from cherrygrade.fleet.config.joint_phase import JointPhase, seat_count
from cherrygrade.fleet.config.replica import ConfigReplica
from cherrygrade.fleet.config.replica_messages import (
    ApplyVersion,
    FetchRequest,
    FetchResponse,
    ReplicaEffects,
)
from cherrygrade.fleet.config.versions import ConfigVersion
from cherrygrade.fleet.consensus.voter import Voter
from cherrygrade.fleet.membership.effects import Effects, MemberConfigReport
from cherrygrade.fleet.membership.membership import Membership
from cherrygrade.fleet.membership.messages import ConfigAdvert
from cherrygrade.fleet.runtime.addresses import parse_address
from cherrygrade.fleet.runtime.config_connections import ConfigFetch, ConfigServer
from cherrygrade.fleet.runtime.config_coverage import ConfigCoverage, MissingMember
from cherrygrade.fleet.runtime.config_members import reachable_members, seated_members
from cherrygrade.fleet.runtime.config_status import config_status
from cherrygrade.fleet.runtime.config_storage import ConfigStorage
from cherrygrade.fleet.runtime.council_server import CouncilServer
from cherrygrade.settings import CouncilSettings
from cherrygrade.transport.connection import Connection

InForce = Callable[[ConfigVersion, int], str | Awaitable[str]]
"""Puts a version in force at a stage. Returns "", or why it is refused and all is as it was. The result is
awaited where it can be: reading a text takes tens of ms, and RPCs need not wait for it."""

UNSURE_INTERVAL_MS = 500.0  # between two looks for members to ask, while the replica is not sure
MAX_SERVER_CONNECTIONS = 16  # members that fetch here at once
MAX_REASON_CHARACTERS = 500
MAX_STATUS_CHARACTERS = 120  # of this dispatcher's trouble, in messages to members
MIN_TIMER_CHANGE_MS = 1.0
NEVER_MS = 1e15


class ConfigExchange:
    """Keeps one dispatcher on the fleet's configuration.

    Attributes:
        fleet: The fleet's name.
        membership: This dispatcher's membership.
        council: The council's settings.
        clock: The time in ms.
        log: Writes a line with an event and facts.
        storage: Where the configuration is kept.
        coverage: What members reported of themselves.
        replica: The decisions; None before `start`.
        council_server: None before `council_ready`.
        fetches: Fetches that have not ended; each ends by itself or by its timeout.
        server_connections: Members that fetch here; each ends likewise.
        joint_phase: The quotas' move that this dispatcher, as the council's leader, is to settle.
        fetched_bytes: Content received, in all.
        sent_bytes: Content served, in all.
        since: When the version in force came into force (ms).
    """

    def __init__(
        self,
        fleet: str,
        membership: Membership,
        council: CouncilSettings,
        file: str,
        source: str,
        seed: int,
        clock: Callable[[], float],
        in_force: InForce,
        post: Callable[[Effects], None],
        log: Callable[..., None],
    ) -> None:
        """Take the settings and callbacks; `start` loads what is kept.

        Args:
            fleet: The fleet's name.
            membership: This dispatcher's membership.
            council: The council's settings.
            file: Where the configuration is kept; "" for memory alone.
            source: The IP address that connections are made from.
            seed: Of random choices.
            clock: Returns the time in ms.
            in_force: Puts a version in force.
            post: Sends the membership's effects.
            log: Writes a line with an event and facts.
        """
        self.fleet = fleet
        self.membership = membership
        self.council = council
        self.clock = clock
        self.log = log
        self.storage = ConfigStorage(file, log)
        self.coverage = ConfigCoverage(membership, seed, clock, post)
        self.replica: ConfigReplica | None = None
        self.council_server: CouncilServer | None = None
        self.fetches: dict[ConfigFetch, None] = {}
        self.server_connections: dict[ConfigServer, None] = {}
        self.joint_phase: JointPhase | None = None
        self.fetched_bytes = 0
        self.sent_bytes = 0
        self.since = 0.0
        self._source = source
        self._seed = seed
        self._in_force = in_force
        self._post = post
        self._has_left = False  # it left on purpose before this start, and is not sure again
        self._joint_phase_of = (0, 0)  # the term, and the number of the version that began the move
        self._learned = (-1, False)  # the stage of the voter's log, and whether the voter leads
        self._unapplied: deque[ReplicaEffects] = deque()
        self._applying: asyncio.Task[None] | None = None
        self._timer: asyncio.TimerHandle | None = None
        self._timer_at_ms = NEVER_MS

    # Life cycle.

    async def start(self) -> None:
        """Put in force what was kept, before anything is served."""
        stored = await self.storage.load()
        membership, own = self.membership, self.membership.table.own
        has_left = self._has_left = self.storage.has_left
        replica = self.replica = ConfigReplica(
            membership.name,
            own.info.zone if own.info is not None else "",
            own.seat,
            membership.fleet_size,
            self.council.voters,
            self._seed,
            self.clock(),
            None if has_left else stored,
        )
        effects = ReplicaEffects()
        if stored is not None:
            effects = ReplicaEffects(apply=ApplyVersion(stored.version, stored.stage))
        if has_left and stored is not None:
            # The quotas may have been divided anew without a dispatcher that left on purpose: it uses what it
            # kept, and is sure of it only once others confirmed it.
            effects = replica.learn_committed(stored.version, stored.stage, self.clock())
        while effects.apply is not None:  # where it is refused, the version before it is next
            version, stage = effects.apply
            why = await self._put_in_force(version, stage)
            effects = replica.apply_finished(stage, why, self.clock())
        self._apply_effects(effects)
        self._advertise()

    def council_ready(self, council_server: CouncilServer) -> None:
        """Take the council's server, once it has started."""
        self.council_server = council_server
        self.log_advanced()
        self._set_timer()

    def leave(self) -> None:
        """Write down that this dispatcher leaves, before members are told: they settle moves without it."""
        self.storage.record_leaving()

    def close(self) -> None:
        """Cancel the timer, steps and connections."""
        if self._timer is not None:
            self._timer.cancel()
        if self._applying is not None:
            self._applying.cancel()
        for fetch in [*self.fetches]:
            fetch.close()
        for connection in [*self.server_connections]:
            connection.conn.close("dispatcher leaves")
        self.storage.close()

    # Events.

    def reports_received(self, reports: list[MemberConfigReport]) -> None:
        """Learn what members say of their configuration."""
        replica, now = self.replica, self.clock()
        if replica is None:
            return
        for report in reports:
            advert, own = report.config, self.membership.config.advert
            if report.direct:
                self.coverage.report_received(report, now)
                effects = replica.receive_statement(
                    report.name, advert.stage, advert.digest_prefix, now, report.nonce, advert.seat_bitmap
                )
                if report.nonce and self.joint_phase is not None:
                    self.joint_phase.receive_answer(
                        report.name, report.incarnation, advert.stage, report.nonce
                    )
                    self._settle_if_complete()
            elif (
                own is not None
                and (own.stage, own.digest_prefix) == (advert.stage, advert.digest_prefix)
                and not advert.seat_bitmap
            ):
                continue  # it has what this dispatcher has: nothing to learn
            else:
                effects = replica.receive_advert(
                    report.name, advert.stage, advert.digest_prefix, now, advert.seat_bitmap
                )
            self._apply_effects(effects)
        self._set_timer()

    def log_advanced(self) -> None:
        """Learn from this dispatcher's voter, whose log may have advanced and is on disk."""
        voter = self.council_server.voter if self.council_server is not None else None
        replica = self.replica
        if voter is None or replica is None:
            return
        log = voter.state_machine.versions
        newest = log.newest
        learned = (log.stage, voter.is_ready_leader)
        if learned != self._learned:
            if newest is not None and log.stage > self._learned[0]:
                self.log("configuration agreed", number=newest.number, stage=log.stage, by=newest.author)
            self._learned = learned
            self._apply_effects(
                replica.learn_committed(
                    newest, log.stage, self.clock(), leader_confirmed=voter.is_ready_leader
                )
            )
            self._set_timer()
        self._update_joint_phase(voter)

    def _update_joint_phase(self, voter: Voter) -> None:
        """Begin to settle a move as this dispatcher's voter leads, or drop it as it leads no more."""
        log = voter.state_machine.versions
        phase_of = (
            (voter.raft.term, log.moving_number) if voter.raft.is_leader and log.moving_number else (0, 0)
        )
        if phase_of == self._joint_phase_of:
            return
        self._joint_phase_of = phase_of
        self.joint_phase = None
        newest = log.newest
        if (
            phase_of[1]
            and log.divisors is not None
            and newest is not None
            and newest.old_divisors is not None
        ):
            count = seat_count(log.divisors, newest.old_divisors)
            self.joint_phase = JointPhase(2 * phase_of[1], count, self._seed, self.clock())
        self._set_timer()

    def accept(self, conn: Connection) -> ConfigServer | None:
        """Take the connection of a member that fetches; None where there are too many."""
        if self.replica is None or len(self.server_connections) >= MAX_SERVER_CONNECTIONS:
            return None
        connection = ConfigServer(self, conn)
        self.server_connections[connection] = None
        return connection

    def fetch_succeeded(self, member: str, response: FetchResponse, length: int) -> None:
        """Take what a member served, `length` bytes on the wire."""
        self.fetched_bytes += length
        if self.replica is not None:
            self._apply_effects(self.replica.fetch_finished(member, response, self.clock()))
            self._set_timer()

    def fetch_failed(self, member: str, why: str) -> None:
        """Learn that a fetch ended without content."""
        if self.replica is not None:
            self._apply_effects(self.replica.fetch_failed(member, why, self.clock()))
            self._set_timer()

    def _timer_due(self) -> None:
        self._timer = None
        self._timer_at_ms = NEVER_MS
        replica, now = self.replica, self.clock()
        if replica is None or self.membership.silent:
            return
        if now >= replica.next_deadline() or not replica.is_certain:
            self._apply_effects(replica.tick(reachable_members(self.membership.table), now))
        if self.joint_phase is not None and now >= self.joint_phase.next_deadline():
            for name, nonce in self.joint_phase.tick(seated_members(self.membership.table), now):
                if name == self.membership.name:  # no message is needed to ask this dispatcher itself
                    self.joint_phase.receive_answer(name, self.membership.incarnation, replica.stage, nonce)
                else:
                    self._post(self.membership.query_config(name, nonce))
            self._settle_if_complete()
        self._set_timer()

    def _settle_if_complete(self) -> None:
        phase = self.joint_phase
        if phase is None or self.council_server is None:
            return
        if not phase.is_complete(seated_members(self.membership.table)):
            return
        self.joint_phase = None
        number = self._joint_phase_of[1]
        self.log("configuration settled", number=number)
        self.council_server.settle(number)

    def _set_timer(self) -> None:
        if self.replica is None or self.council_server is None:
            return
        due = self.replica.next_deadline()
        if not self.replica.is_certain:
            # At the start no member is known yet, and those that join may have nothing to tell.
            due = min(due, self.clock() + UNSURE_INTERVAL_MS)
        if self.joint_phase is not None:
            due = min(due, self.joint_phase.next_deadline())
        if due < self._timer_at_ms - MIN_TIMER_CHANGE_MS and due < NEVER_MS / 2.0:
            if self._timer is not None:
                self._timer.cancel()
            self._timer_at_ms = due
            at_s = max(due, self.clock() + 1.0) / 1000.0
            self._timer = asyncio.get_running_loop().call_at(at_s, self._timer_due)

    # Effects.

    def _apply_effects(self, effects: ReplicaEffects) -> None:
        """Carry out effects: those that wait for disk or force one after the other, others at once."""
        if self._unapplied or effects.store is not None or effects.apply is not None:
            self._unapplied.append(effects)
            if self._applying is None:
                self._applying = asyncio.get_running_loop().create_task(self._apply_in_turn())
        else:
            self._advertise()  # the replica may have become sure, or learned who else has the version
            self._send_effects(effects)

    async def _apply_in_turn(self) -> None:
        """Carry out one after the other: on disk, then in force, then told to members."""
        try:
            while self._unapplied:
                effects = self._unapplied[0]
                why = await self.storage.save(effects.store) if effects.store is not None else ""
                following = None
                if effects.apply is not None and self.replica is not None:
                    version, stage = effects.apply
                    why = why or await self._put_in_force(version, stage)
                    following = self.replica.apply_finished(stage, why, self.clock())
                self._unapplied.popleft()
                self._advertise()
                self._send_effects(effects)
                if following is not None:
                    self._unapplied.appendleft(following)
        finally:
            self._applying = None
            self._set_timer()

    async def _put_in_force(self, version: ConfigVersion, stage: int) -> str:
        """Put a version in force; return why it is refused, or ""."""
        try:
            result = self._in_force(version, stage)
            why = result if isinstance(result, str) else await result
        except Exception as error:  # a text that breaks its reader is refused like any other
            why = f"reading it failed: {type(error).__name__}: {error}"[:MAX_REASON_CHARACTERS]
        if not why:
            self.since = self.clock()
        if self.replica is not None:  # the version may have changed the fleet of record
            self.replica.seats.count = max(self.membership.fleet_size, self.membership.table.own.seat + 1)
        facts = {"number": version.number, "stage": stage, "digest": version.digest.hex()[:16]}
        if why:
            means = "This dispatcher stays on what it has."
            self.log("configuration refused", what=why, means=means, by=version.author, **facts)
        else:
            self.log("configuration in force", by=version.author, since=self.since, **facts)
        return why

    def _send_effects(self, effects: ReplicaEffects) -> None:
        for name, nonce in effects.questions:
            self._post(self.membership.query_config(name, nonce))
        if effects.push_to:
            self._post(self.membership.advertise_config(effects.push_to))
        if effects.fetch is not None:
            self._fetch(*effects.fetch)

    def _fetch(self, name: str, request: FetchRequest) -> None:
        fetch = ConfigFetch(self, name, request)
        self.fetches[fetch] = None
        member = self.membership.table.members.get(name)
        to = parse_address(member.info.address) if member is not None and member.info is not None else None
        fetch.task = asyncio.get_running_loop().create_task(fetch.connect(to, self._source))

    def _advertise(self) -> None:
        """Put this dispatcher's stage and trouble into the messages to members."""
        replica = self.replica
        if replica is None:
            return
        own = replica.own_advert()
        self.membership.config.advert = ConfigAdvert(own.stage, own.digest_prefix, own.bits)
        self.membership.config.refusal = replica.status()[:MAX_STATUS_CHARACTERS]
        if self._has_left and replica.is_certain and self.storage.file is not None:
            self._has_left = False
            self.storage.forget_leaving()

    # For operators.

    def status(self) -> dict[str, Any]:
        """Return what `cherrygrade fleet status` shows, as this dispatcher knows it."""
        return config_status(self)

    async def missing(self, number: int) -> list[MissingMember]:
        """Return who of the fleet of record is not known to have a version or a later one in force."""
        if self.replica is None:
            return []
        return await self.coverage.missing(number, self.replica)
