"""The shared configuration at one dispatcher: connections, the timer, and putting versions in force.

`config/replica.py` decides which version is believed, fetched, stored and put in force, and
`config/joint_phase.py` decides when all dispatchers use the new quotas. This module carries out their
effects. A version is written to disk before it is put in force. The replica is certain once it knows the
fleet's version; until then this dispatcher uses no quotas.

A stage is 2N while version N is being introduced, and 2N+1 once it is settled. A seat is a dispatcher's
number in the fleet, from 0, by which quotas are divided.
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

PutInForce = Callable[[ConfigVersion, int], str | Awaitable[str]]
"""Puts a version in force at a stage.

Returns "", or the reason why the version is refused; a refused version changes nothing. An awaitable result
is awaited: parsing a text takes tens of ms, and client requests are served meanwhile.
"""

UNCERTAIN_INTERVAL_MS = 500.0  # between queries of members, while the replica is not certain
MAX_SERVER_CONNECTIONS = 16  # members that fetch from this dispatcher at the same time
MAX_REASON_CHARACTERS = 500  # of the reason why a version is refused
MAX_STATUS_CHARACTERS = 120  # of the configuration's fault in messages to members
MIN_TIMER_CHANGE_MS = 1.0  # the timer is set anew only for a deadline that is earlier by more than this
NEVER_MS = 1e15


class ConfigExchange:
    """Keeps one dispatcher on the fleet's configuration.

    Attributes:
        fleet: The fleet's name.
        membership: This dispatcher's membership.
        council: The council's settings.
        clock: Returns the time in ms.
        log: Writes a log line with an event and facts.
        storage: Stores the configuration on disk.
        coverage: The last report of each member about its own configuration.
        replica: Makes the decisions; None before `start`.
        council_server: The council's part at this dispatcher; None before `council_ready`.
        fetches: Fetches in progress; each ends with content, with an error or by its timeout.
        server_connections: Connections of members that fetch from this dispatcher; each ends likewise.
        joint_phase: The joint phase that this dispatcher is to settle as the council's leader; None where it
            does not lead, or no joint phase is in progress.
        fetched_bytes: Bytes of content received, in total.
        sent_bytes: Bytes of content served, in total.
        in_force_since_ms: The time at which the version in force was put in force, ms.
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
        put_in_force: PutInForce,
        post: Callable[[Effects], None],
        log: Callable[..., None],
    ) -> None:
        """Take the settings and callbacks; `start` loads the stored configuration.

        Args:
            fleet: The fleet's name.
            membership: This dispatcher's membership.
            council: The council's settings.
            file: Path of the file that stores the configuration; "" keeps it in memory only.
            source: The IP address that connections are made from.
            seed: Seeds all random choices.
            clock: Returns the time in ms.
            put_in_force: Puts a version in force.
            post: Sends the membership's effects.
            log: Writes a log line with an event and facts.
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
        self.in_force_since_ms = 0.0
        self._source = source
        self._seed = seed
        self._put_in_force_callback = put_in_force
        self._post = post
        # Whether this dispatcher left the fleet on purpose before this start, and has not been certain of the
        # fleet's version since.
        self._has_left = False
        self._joint_phase_key = (0, 0)  # Raft's term, and the version that began the joint phase
        self._last_learned = (-1, False)  # the stage in the voter's log, and whether the voter leads
        self._unapplied: deque[ReplicaEffects] = deque()
        self._applying: asyncio.Task[None] | None = None
        self._timer: asyncio.TimerHandle | None = None
        self._timer_at_ms = NEVER_MS

    async def start(self) -> None:
        """Put the stored configuration in force; called before any request is served."""
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
            # The fleet may have divided the quotas anew after this dispatcher left on purpose. The stored
            # version is used, but is certain only once other members have confirmed it.
            effects = replica.learn_committed(stored.version, stored.stage, self.clock())
        while effects.apply is not None:  # a refused version is followed by the one before it
            version, stage = effects.apply
            refusal = await self._put_in_force(version, stage)
            effects = replica.apply_finished(stage, refusal, self.clock())
        self._apply_effects(effects)
        self._advertise()

    def council_ready(self, council_server: CouncilServer) -> None:
        """Use the council's server from now on; called once it has started."""
        self.council_server = council_server
        self.log_advanced()
        self._set_timer()

    def leave(self) -> None:
        """Record on disk that this dispatcher leaves the fleet.

        Called before members are notified: once they know, they settle joint phases without this dispatcher.
        """
        self.storage.record_leaving()

    def close(self) -> None:
        """Cancel the timer and unfinished effects, and close all connections."""
        if self._timer is not None:
            self._timer.cancel()
        if self._applying is not None:
            self._applying.cancel()
        for fetch in [*self.fetches]:
            fetch.close()
        for connection in [*self.server_connections]:
            connection.conn.close("dispatcher leaves")
        self.storage.close()

    def reports_received(self, reports: list[MemberConfigReport]) -> None:
        """Pass members' reports on their configuration to the replica and the joint phase."""
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
                continue  # the member has the same version as this dispatcher: the report adds nothing
            else:
                effects = replica.receive_advert(
                    report.name, advert.stage, advert.digest_prefix, now, advert.seat_bitmap
                )
            self._apply_effects(effects)
        self._set_timer()

    def log_advanced(self) -> None:
        """Pass the newest version in the voter's log to the replica; the log is already on disk."""
        voter = self.council_server.voter if self.council_server is not None else None
        replica = self.replica
        if voter is None or replica is None:
            return
        log = voter.state_machine.versions
        newest = log.newest
        learned = (log.stage, voter.is_ready_leader)
        if learned != self._last_learned:
            if newest is not None and log.stage > self._last_learned[0]:
                self.log("configuration agreed", number=newest.number, stage=log.stage, by=newest.author)
            self._last_learned = learned
            self._apply_effects(
                replica.learn_committed(
                    newest, log.stage, self.clock(), leader_confirmed=voter.is_ready_leader
                )
            )
            self._set_timer()
        self._update_joint_phase(voter)

    def _update_joint_phase(self, voter: Voter) -> None:
        """Begin a joint phase once this dispatcher's voter leads, and drop it once the voter does not."""
        log = voter.state_machine.versions
        phase_key = (
            (voter.raft.term, log.moving_number) if voter.raft.is_leader and log.moving_number else (0, 0)
        )
        if phase_key == self._joint_phase_key:
            return
        self._joint_phase_key = phase_key
        self.joint_phase = None
        newest = log.newest
        if (
            phase_key[1]
            and log.divisors is not None
            and newest is not None
            and newest.old_divisors is not None
        ):
            count = seat_count(log.divisors, newest.old_divisors)
            self.joint_phase = JointPhase(2 * phase_key[1], count, self._seed, self.clock())
        self._set_timer()

    def accept(self, conn: Connection) -> ConfigServer | None:
        """Serve the connection of a member that fetches.

        Returns:
            None before `start`, and where MAX_SERVER_CONNECTIONS are open.
        """
        if self.replica is None or len(self.server_connections) >= MAX_SERVER_CONNECTIONS:
            return None
        connection = ConfigServer(self, conn)
        self.server_connections[connection] = None
        return connection

    def fetch_succeeded(self, member: str, response: FetchResponse, length: int) -> None:
        """Pass the content that a member served to the replica; it took `length` bytes on the wire."""
        self.fetched_bytes += length
        if self.replica is not None:
            self._apply_effects(self.replica.fetch_finished(member, response, self.clock()))
            self._set_timer()

    def fetch_failed(self, member: str, reason: str) -> None:
        """Notify the replica that a fetch ended without content."""
        if self.replica is not None:
            self._apply_effects(self.replica.fetch_failed(member, reason, self.clock()))
            self._set_timer()

    def _timer_fired(self) -> None:
        self._timer = None
        self._timer_at_ms = NEVER_MS
        replica, now = self.replica, self.clock()
        if replica is None or self.membership.silent:
            return
        if now >= replica.next_deadline() or not replica.is_certain:
            self._apply_effects(replica.tick(reachable_members(self.membership.table), now))
        if self.joint_phase is not None and now >= self.joint_phase.next_deadline():
            for name, nonce in self.joint_phase.tick(seated_members(self.membership.table), now):
                if name == self.membership.name:  # this dispatcher's own answer needs no message
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
        number = self._joint_phase_key[1]
        self.log("configuration settled", number=number)
        self.council_server.settle(number)

    def _set_timer(self) -> None:
        if self.replica is None or self.council_server is None:
            return
        deadline_ms = self.replica.next_deadline()
        if not self.replica.is_certain:
            # At the start no member is known yet, and members that join later may send no report.
            deadline_ms = min(deadline_ms, self.clock() + UNCERTAIN_INTERVAL_MS)
        if self.joint_phase is not None:
            deadline_ms = min(deadline_ms, self.joint_phase.next_deadline())
        if deadline_ms < self._timer_at_ms - MIN_TIMER_CHANGE_MS and deadline_ms < NEVER_MS / 2.0:
            if self._timer is not None:
                self._timer.cancel()
            self._timer_at_ms = deadline_ms
            at_s = max(deadline_ms, self.clock() + 1.0) / 1000.0
            self._timer = asyncio.get_running_loop().call_at(at_s, self._timer_fired)

    def _apply_effects(self, effects: ReplicaEffects) -> None:
        """Carry out effects.

        Effects that write to disk or put a version in force are carried out one after the other, and later
        effects wait for them. Without such effects in progress, effects are carried out at once.
        """
        if self._unapplied or effects.store is not None or effects.apply is not None:
            self._unapplied.append(effects)
            if self._applying is None:
                self._applying = asyncio.get_running_loop().create_task(self._apply_in_order())
        else:
            self._advertise()  # the replica may have become certain, or know of more seats with the version
            self._send_effects(effects)

    async def _apply_in_order(self) -> None:
        """Carry out effects one after the other: write to disk, put in force, then send to members."""
        try:
            while self._unapplied:
                effects = self._unapplied[0]
                refusal = await self.storage.save(effects.store) if effects.store is not None else ""
                following = None
                if effects.apply is not None and self.replica is not None:
                    version, stage = effects.apply
                    refusal = refusal or await self._put_in_force(version, stage)
                    following = self.replica.apply_finished(stage, refusal, self.clock())
                self._unapplied.popleft()
                self._advertise()
                self._send_effects(effects)
                if following is not None:
                    self._unapplied.appendleft(following)
        finally:
            self._applying = None
            self._set_timer()

    async def _put_in_force(self, version: ConfigVersion, stage: int) -> str:
        """Put a version in force.

        Returns:
            The reason why the version is refused; "" where it is in force.
        """
        try:
            result = self._put_in_force_callback(version, stage)
            refusal = result if isinstance(result, str) else await result
        except Exception as error:  # a text that makes the parser fail is refused like any other wrong text
            refusal = f"reading the text failed: {type(error).__name__}: {error}"[:MAX_REASON_CHARACTERS]
        if not refusal:
            self.in_force_since_ms = self.clock()
        if self.replica is not None:  # the version may have changed the configured fleet size
            self.replica.seats.count = max(self.membership.fleet_size, self.membership.table.own.seat + 1)
        facts = {"number": version.number, "stage": stage, "digest": version.digest.hex()[:16]}
        if refusal:
            means = "This dispatcher stays on the configuration that it has in force."
            self.log("configuration refused", what=refusal, means=means, by=version.author, **facts)
        else:
            self.log("configuration in force", by=version.author, since=self.in_force_since_ms, **facts)
        return refusal

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
        """Put this dispatcher's stage, and what is wrong with its configuration, into messages to members."""
        replica = self.replica
        if replica is None:
            return
        own = replica.own_advert()
        self.membership.config.advert = ConfigAdvert(own.stage, own.digest_prefix, own.bits)
        self.membership.config.refusal = replica.status()[:MAX_STATUS_CHARACTERS]
        if self._has_left and replica.is_certain and self.storage.file is not None:
            self._has_left = False
            self.storage.forget_leaving()

    def status(self) -> dict[str, Any]:
        """Return the configuration's part of `cherrygrade fleet status`, as this dispatcher knows it."""
        return config_status(self)

    async def missing(self, number: int) -> list[MissingMember]:
        """Return the members that are not known to have version `number` or a later one in force."""
        if self.replica is None:
            return []
        return await self.coverage.missing(number, self.replica)
