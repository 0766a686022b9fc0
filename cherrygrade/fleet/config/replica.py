"""One dispatcher's replica of the configuration: the version in force, the one believed, and its fetch.

A version comes into force only once its stage is believed, which means confirmed by witnesses
(`witnesses.py`); its content has to match the digest that the witnesses reported, and its stage has to be
higher than the one in force.

The replica has no I/O and no clock: each call returns the `ReplicaEffects` that the caller has to carry out.
Times are in ms of one monotonic clock. Random choices depend on the seed alone.
"""

from __future__ import annotations

from zlib import crc32

from cherrygrade.fleet.config.errors import ConfigContentError
from cherrygrade.fleet.config.replica_messages import (
    UNCERTAIN,
    ApplyVersion,
    FetchRequest,
    FetchResponse,
    OwnAdvert,
    ReachableMember,
    ReplicaEffects,
    StageDigest,
    StoredConfig,
)
from cherrygrade.fleet.config.seeded_random import SeededRandom
from cherrygrade.fleet.config.stage_seats import StageSeats
from cherrygrade.fleet.config.version_content import verified_version
from cherrygrade.fleet.config.version_fetch import VersionFetch
from cherrygrade.fleet.config.version_store import VersionStore
from cherrygrade.fleet.config.versions import ConfigVersion
from cherrygrade.fleet.config.witness_questions import WitnessQuestions
from cherrygrade.fleet.config.witnesses import Witnesses

MAX_PUSHES = 3
"""Members that a new stage is pushed to once; at least one of them is in another zone, if there is any."""
NEVER_MS = 1e15
"""A time that is never reached."""


class ConfigReplica:
    """The replica of one dispatcher.

    Attributes:
        name: This dispatcher's name.
        zone: This dispatcher's zone.
        stage: The stage in force here; 0 while only the dispatcher's own file is in force.
            It never decreases.
        version: The version in force here; None while only the dispatcher's own file is in force.
        refusal: For operators, why a newer version was refused here; "" for none.
        witnesses: What other members reported.
        questions: The queries to other members.
        fetch: The fetch of the believed version.
        store: The versions in memory.
        seats: Which seats are known to be on the stage in force here, for operators.
    """

    def __init__(
        self,
        name: str,
        zone: str,
        seat: int,
        seats: int,
        voters: list[str],
        seed: int,
        now: float,
        stored: StoredConfig | None = None,
    ) -> None:
        """Begin with what was read from disk.

        Args:
            name: This dispatcher's name.
            zone: This dispatcher's zone.
            seat: This dispatcher's seat; negative for none.
            seats: The number of seats of the fleet of record.
            voters: The names of the council's voters.
            seed: The seed of all random choices.
            now: The current time in ms. It is part of the seed of the nonces, so that an answer to a query of
                an earlier incarnation of this process is not taken for an answer to a query of this one.
            stored: The configuration on disk. The caller brings it into force and reports that with
                `apply_finished` before any other call. None if there was none that can be used; the
                dispatcher's own file is in force then.
        """
        self.name = name
        self.zone = zone
        self.stage = 0
        self.version: ConfigVersion | None = None
        self.refusal = ""
        self.witnesses = Witnesses([voter for voter in voters if voter != name])
        self.store = VersionStore()
        self.seats = StageSeats(seat, seats)
        self._rng = SeededRandom(seed, crc32(f"{seed}:{name}:{now!r}".encode()))
        self.questions = WitnessQuestions(zone, self.witnesses, self._rng, now)
        self.fetch = VersionFetch(zone, self._rng)
        self._is_certain = False
        self._refused_number = 0
        self._starting_with = stored
        self._applying: ApplyVersion | None = None
        if stored is not None:
            self._applying = ApplyVersion(stored.version, stored.stage)
        self._members: dict[str, ReachableMember] = {}
        self._push_pending = False
        self._tick_now = True

    @property
    def digest_prefix(self) -> int:
        """The digest prefix of the version in force here; 0 for none."""
        return self.version.digest_prefix if self.version is not None else 0

    @property
    def is_certain(self) -> bool:
        """Whether this process knows, or has known since its start, the fleet's version.

        The process knows it once the stored version, or the stage that witnesses confirmed, is in force.
        Until then the dispatcher serves on its own file and has no quota parts (`joint_phase.quota_parts`),
        because the fleet may have divided quotas anew. A voter's own log does not make the voter certain,
        because it may lag.
        """
        return self._is_certain

    @property
    def believed(self) -> StageDigest:
        """The highest stage that witnesses confirmed, whether it is in force here yet or not."""
        return self.witnesses.believed

    def status(self) -> str:
        """Return, for operators, why the fleet's version is not in force here; "" if it is.

        Returns:
            "", "refused: " or "can't fetch: " with the reason, or a text that says that the version is not
            yet confirmed or not yet in force.
        """
        if self.refusal and self._refused_number >= self.believed.number:
            return f"refused: {self.refusal}"
        if self.believed.stage <= self.stage:
            return "" if self.is_certain else "not sure what the fleet is on"
        return f"can't fetch: {self.fetch.error}" if self.fetch.error else "late"

    def own_advert(self) -> OwnAdvert:
        """Return what this member reports of its own configuration."""
        if not self.is_certain:
            return OwnAdvert(*UNCERTAIN)
        bits = self.seats.to_send() if self.stage else b""
        return OwnAdvert(self.stage, self.digest_prefix, bits)

    def next_deadline(self) -> float:
        """Return the time in ms at which `tick` is to be called."""
        if self._tick_now:
            return 0.0
        deadline = NEVER_MS
        if self.wants_version and self.fetch.current is None and self._applying is None:
            deadline = self.fetch.next_start_ms
        if self.fetch.current is not None:
            deadline = min(deadline, self.fetch.next_deadline())
        has_members = bool(self._members)
        deadline = min(deadline, self.questions.next_deadline(self.is_certain, has_members))
        return min(deadline, self.seats.next_deadline())

    @property
    def wants_version(self) -> bool:
        """Whether a later stage than the one in force is believed, and its version was not refused here."""
        return self.believed.stage > self.stage and self.believed.number > self._refused_number

    def receive_advert(
        self, name: str, stage: int, digest_prefix: int, now: float, bits: bytes = b""
    ) -> ReplicaEffects:
        """Process the stage that any message of a living member reports.

        Args:
            name: The member.
            stage: The stage that it reports.
            digest_prefix: The digest prefix of the member's version.
            now: The current time in ms.
            bits: The seats that the member knows to be on its stage; b"" for no bitmap.
        """
        self._merge_seats(stage, digest_prefix, bits, now)
        is_newer = stage > self.stage and name != self.name
        if is_newer and self.witnesses.add_advert(name, StageDigest(stage, digest_prefix)):
            self._tick_now = True
        return ReplicaEffects()

    def receive_statement(
        self, name: str, stage: int, digest_prefix: int, now: float, nonce: int = 0, bits: bytes = b""
    ) -> ReplicaEffects:
        """Process a member's direct report, sent from the address that the membership table has for it.

        Args:
            name: The member.
            stage: The stage that it reports.
            digest_prefix: The digest prefix of the member's version.
            now: The current time in ms.
            nonce: The nonce of the query that it answers; 0 if it answers this member's own probe, as the
                caller has checked.
            bits: The seats that the member knows to be on its stage; b"" for no bitmap.
        """
        if nonce and not self.questions.is_pending(name, nonce):
            return self.receive_advert(name, stage, digest_prefix, now, bits)
        statement = StageDigest(stage, digest_prefix)
        if nonce:
            self.questions.receive_answer(name, nonce, statement, now)
            self._tick_now = True
        self._merge_seats(stage, digest_prefix, bits, now)
        if statement == UNCERTAIN or (self.is_certain and stage <= self.stage):
            return ReplicaEffects()
        self.witnesses.add_statement(name, statement)
        self.receive_advert(name, stage, digest_prefix, now)
        self._update_belief(statement)
        return self._apply_believed()

    def learn_committed(
        self, version: ConfigVersion | None, stage: int, now: float, leader_confirmed: bool = False
    ) -> ReplicaEffects:
        """Process what this voter's own log has committed.

        Args:
            version: The newest committed version; None if there is none.
            stage: The stage of that version.
            now: The current time in ms.
            leader_confirmed: Whether this voter leads and has applied all entries committed before its term,
                which makes it certain of the fleet's version. A leader has to report it at least once, even
                if there is no version, because all other members become certain through the leader's
                statements. A follower's own log may lag.
        """
        if version is not None and stage > self.believed.stage:
            self.store.add(version)
            self.witnesses.believed = StageDigest(stage, version.digest_prefix)
        if leader_confirmed:
            self.witnesses.has_confirmation = True
            self._update_certainty()
        return self._apply_believed()

    def respond_to_fetch(self, request: FetchRequest) -> FetchResponse:
        """Serve another member. If the response has content, `response_ended` has to follow."""
        return self.store.respond(request)

    def response_ended(self) -> None:
        """Note that a fetch whose response had content has ended."""
        self.store.response_ended()

    def fetch_finished(self, name: str, response: FetchResponse, now: float) -> ReplicaEffects:
        """Process a member's response to a fetch; it is ignored if that fetch has already ended."""
        fetch = self.fetch.end(name)
        if fetch is None:
            return ReplicaEffects()
        if response.content is None:
            self.fetch.tried.add(name)
            if response.reason != "busy":
                # The member does not have the version in memory, though it sent an advert of the stage.
                self.witnesses.adverts.pop(name, None)
            return self._apply_believed()
        wanted = fetch.wanted
        try:
            version = verified_version(response.content, wanted.number, wanted.digest_prefix, self.version)
        except ConfigContentError as error:
            self.fetch.fail(name, f"{name}: {error}", now)
            return ReplicaEffects()
        self.store.add(version)
        self.fetch.succeed()
        # The version is applied even if a later one is believed by now: otherwise a member that is always
        # behind would never apply any.
        effects = self.apply(version, wanted.stage)
        return effects if effects.apply is not None else self._apply_believed()

    def fetch_failed(self, name: str, reason: str, now: float) -> ReplicaEffects:
        """Process the failure of a fetch: the connection to the member could not be made, or it broke."""
        if self.fetch.end(name) is not None:
            self.fetch.fail(name, f"{name}: {reason}", now)
        return ReplicaEffects()

    def apply_finished(self, stage: int, refusal: str, now: float) -> ReplicaEffects:
        """Process the result of `ReplicaEffects.apply`.

        Args:
            stage: The stage that was to come into force; a result for any other is ignored.
            refusal: Why the version is refused here; "" if it is in force.
            now: The current time in ms.
        """
        if self._applying is None or self._applying.stage != stage:
            return ReplicaEffects()
        version = self._applying.version
        self._applying = None
        started_with = self._starting_with
        self._starting_with = None
        if refusal:
            return self._apply_refused(version, refusal, started_with)
        if started_with is not None:
            self._is_certain = True
        if version.number > self._refused_number:
            self.refusal = ""
        self.version = version
        self.stage = stage
        self.store.add(version)
        self.seats.restart()
        self._merge_seats(stage, version.digest_prefix, b"", now)
        self._push_pending = True
        self.witnesses.drop_statements(stage)
        self.witnesses.drop_adverts(stage)
        if self.believed.stage < stage:
            self.witnesses.believed = StageDigest(stage, version.digest_prefix)
        self._update_certainty()
        self._tick_now = True
        return self._apply_believed()

    def tick(self, living: list[ReachableMember], now: float) -> ReplicaEffects:
        """Time out queries and the fetch, and return all effects that are due now.

        Args:
            living: The members that can be reached now; this one may be among them.
            now: The current time in ms.
        """
        self._tick_now = False
        self._members = {member.name: member for member in living if member.name != self.name}
        self.witnesses.drop_departed({*self._members})
        self.questions.expire(now)
        self.seats.expire(now)
        effects = self._apply_believed()
        self.fetch.expire(now)
        if self._push_pending and self.is_certain and self._members:
            self._push_pending = False
            effects.push_to = self._draw_push_targets()
        effects.questions += self.questions.due_questions(self.stage, self.is_certain, self._members, now)
        self._begin_fetch(effects, now)
        return effects

    def apply(self, version: ConfigVersion, stage: int) -> ReplicaEffects:
        """Return the effects that bring a version into force.

        There are none if the stage is not above the one in force, the version or a later one was refused
        here, or another version is being applied.
        """
        stage = version.stage(settled=bool(stage & 1))
        refused = version.number <= self._refused_number
        if self._applying is not None or stage <= self.stage or refused:
            return ReplicaEffects()
        self._applying = ApplyVersion(version, stage)
        stored = StoredConfig(stage, version, self.stage, self.version)
        return ReplicaEffects(store=stored, apply=self._applying)

    def _apply_believed(self) -> ReplicaEffects:
        """Return the effects that bring the believed version into force, if it is in memory."""
        version = self.store.find(self.believed.number, self.believed.digest_prefix)
        return self.apply(version, self.believed.stage) if version is not None else ReplicaEffects()

    def _apply_refused(
        self, version: ConfigVersion, refusal: str, started_with: StoredConfig | None
    ) -> ReplicaEffects:
        """Return the effects that follow the refusal of a version.

        Args:
            version: The refused version.
            refusal: Why it was refused.
            started_with: The stored configuration, if this was the first version applied after the start.
        """
        self.refusal = refusal
        self._refused_number = version.number
        if started_with is not None and started_with.previous is not None:
            # The stored version may not have come into force before the restart, but the one before it had.
            self._applying = ApplyVersion(started_with.previous, started_with.previous_stage)
            return ReplicaEffects(apply=self._applying)
        effects = self._apply_believed()
        # The refused version was stored before it was applied, so the one in force is stored again.
        if effects.store is None and started_with is None and self.version is not None:
            effects.store = StoredConfig(self.stage, self.version)
        return effects

    def _update_belief(self, statement: StageDigest) -> None:
        """Believe the stage that a member just stated, if it now has enough witnesses.

        A member that states the settled stage of a version also confirms the joint stage, but not the
        other way round.
        """
        digest_prefix = statement.digest_prefix
        joint_stage = statement.stage & ~1
        for stage in (statement.stage, joint_stage):
            if self.witnesses.has_confirmation and stage <= self.believed.stage:
                continue
            names = self.witnesses.supporters(stage, digest_prefix)
            if not self.witnesses.suffice(names):
                continue
            self.witnesses.has_confirmation = True
            if stage > self.believed.stage:
                self.witnesses.believe(stage, digest_prefix, names)
                self.fetch.restart()
                self._tick_now = True
            self._update_certainty()

    def _update_certainty(self) -> None:
        """Become certain once the stage in force is at least the one that witnesses confirmed."""
        if not self._is_certain and self.witnesses.has_confirmation and self.stage >= self.believed.stage:
            self._is_certain = True
            self._tick_now = True
            self.witnesses.drop_statements(self.stage)

    def _begin_fetch(self, effects: ReplicaEffects, now: float) -> None:
        """Add a fetch of the believed version to the effects, unless one is in progress or not needed."""
        if not self.wants_version or self.fetch.current is not None or self._applying is not None:
            return
        if now < self.fetch.next_start_ms:
            return
        believed = self.believed
        if self.store.find(believed.number, believed.digest_prefix) is not None:
            return
        effects.fetch = self.fetch.begin(believed, self.version, self._members, self.witnesses, now)

    def _merge_seats(self, stage: int, digest_prefix: int, bits: bytes, now: float) -> None:
        """Merge the bitmap of a member that is on the stage in force here; ignore that of any other."""
        if self.stage and (stage, digest_prefix) == (self.stage, self.digest_prefix):
            self.seats.merge(bits, now)

    def _draw_push_targets(self) -> list[str]:
        """Draw MAX_PUSHES living members at random: most from the own zone, one from another."""
        in_zone = [name for name, member in self._members.items() if member.zone == self.zone]
        elsewhere = [name for name, member in self._members.items() if member.zone != self.zone]
        drawn: list[str] = []
        for names, limit in (
            (elsewhere, 1 if in_zone else MAX_PUSHES),
            (in_zone, MAX_PUSHES),
            (elsewhere, MAX_PUSHES),
        ):
            remaining = [name for name in names if name not in drawn]
            for _ in range(min(limit, MAX_PUSHES - len(drawn), len(remaining))):
                drawn.append(remaining.pop(self._rng.index(len(remaining))))
        return drawn
