"""One dispatcher's replica of the configuration: what is in force, what is believed, what is fetched.

A version comes into force only once its stage is believed (`witnesses.py`) and its content fits the digest
that witnesses said, and only if the stage is higher than the one in force.

Free of I/O, clock and chance: calls in, a `ReplicaEffects` out. Times are milliseconds of any one clock;
chance follows from the seed.
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
from cherrygrade.fleet.config.seeded_chance import SeededChance
from cherrygrade.fleet.config.stage_seats import StageSeats
from cherrygrade.fleet.config.version_content import verified_version
from cherrygrade.fleet.config.version_fetch import VersionFetch
from cherrygrade.fleet.config.version_store import VersionStore
from cherrygrade.fleet.config.versions import ConfigVersion
from cherrygrade.fleet.config.witness_questions import WitnessQuestions
from cherrygrade.fleet.config.witnesses import Witnesses

MAX_PUSHES = 3
"""Members that a new stage is pushed to, once: one at least of another zone."""
NEVER = 1e15
"""A time in ms that is never reached."""


class ConfigReplica:
    """The replica of one dispatcher.

    Attributes:
        name: This dispatcher.
        zone: Its zone.
        stage: The stage in force here; 0 for the own file; never decreases.
        version: The version in force here; None for the own file.
        refusal: Why a newer version was refused here, as a text for people; "" for none.
        witnesses: What other members said.
        questions: Whom this member asks.
        fetch: The fetch of what is believed.
        store: The versions held in memory.
        seats: Which seats are known to be on the stage in force here; for people.
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
            name: This dispatcher.
            zone: Its zone.
            seat: Its seat; negative for none.
            seats: The seats of the fleet of record.
            voters: The names of the council's voters.
            seed: Of all chance.
            now: In ms; tells this life's nonces from another's.
            stored: What is on disk: the caller brings it into force, and says so with `apply_finished`
                before anything else. None: nothing usable was there, and the own file is in force.
        """
        self.name = name
        self.zone = zone
        self.stage = 0
        self.version: ConfigVersion | None = None
        self.refusal = ""
        self.witnesses = Witnesses([voter for voter in voters if voter != name])
        self.store = VersionStore()
        self.seats = StageSeats(seat, seats)
        self._chance = SeededChance(seed, crc32(f"{seed}:{name}:{now!r}".encode()))
        self.questions = WitnessQuestions(zone, self.witnesses, self._chance, now)
        self.fetch = VersionFetch(zone, self._chance)
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
        """Of the version in force here; 0 for the own file."""
        return self.version.digest_prefix if self.version is not None else 0

    @property
    def is_certain(self) -> bool:
        """Whether it knows, or knew in this life, the fleet's version.

        That is so once what it stored is in force, or it came to what witnesses said. Until then it serves on
        its own file and has no quota parts (`joint_phase.quota_parts`): the fleet may have divided them anew.
        A voter's own log does not make it certain, it may lag.
        """
        return self._is_certain

    @property
    def believed(self) -> StageDigest:
        """The highest stage with witnesses; in force or not yet."""
        return self.witnesses.believed

    def status(self) -> str:
        """For people: "" where all is well, else "refused: KEY", "can't fetch: WHY" or "late"."""
        if self.refusal and self._refused_number >= self.believed.number:
            return f"refused: {self.refusal}"
        if self.believed.stage <= self.stage:
            return "" if self.is_certain else "not sure what the fleet is on"
        return f"can't fetch: {self.fetch.error}" if self.fetch.error else "late"

    def own_advert(self) -> OwnAdvert:
        """What this member says of itself."""
        if not self.is_certain:
            return OwnAdvert(*UNCERTAIN)
        bits = self.seats.to_send() if self.stage else b""
        return OwnAdvert(self.stage, self.digest_prefix, bits)

    def next_deadline(self) -> float:
        """The time in ms at which `tick` is to be called."""
        if self._tick_now:
            return 0.0
        deadline = NEVER
        if self.wants_version and self.fetch.current is None and self._applying is None:
            deadline = self.fetch.begin_at
        if self.fetch.current is not None:
            deadline = min(deadline, self.fetch.next_deadline())
        has_members = bool(self._members)
        deadline = min(deadline, self.questions.next_deadline(self.is_certain, has_members))
        return min(deadline, self.seats.next_deadline())

    @property
    def wants_version(self) -> bool:
        """Whether a later version is believed, and was not refused here."""
        return self.believed.stage > self.stage and self.believed.number > self._refused_number

    def receive_advert(
        self, name: str, stage: int, digest_prefix: int, now: float, bits: bytes = b""
    ) -> ReplicaEffects:
        """Handle what any message of a living member told of its stage."""
        self._merge_seats(stage, digest_prefix, bits, now)
        is_newer = stage > self.stage and name != self.name
        if is_newer and self.witnesses.add_advert(name, StageDigest(stage, digest_prefix)):
            self._tick_now = True
        return ReplicaEffects()

    def receive_statement(
        self, name: str, stage: int, digest_prefix: int, now: float, nonce: int = 0, bits: bytes = b""
    ) -> ReplicaEffects:
        """Handle what a member said first-hand, from the address that the membership table has for it.

        Args:
            name: The member.
            stage: The stage that it says it is on.
            digest_prefix: Of its version.
            now: In ms.
            nonce: Of the question that it answers; 0 for the answer to this member's own probe, as the
                caller has checked.
            bits: The seats that it knows to be on its stage.
        """
        if nonce and not self.questions.is_asked(name, nonce):
            return self.receive_advert(name, stage, digest_prefix, now, bits)
        statement = StageDigest(stage, digest_prefix)
        if nonce:
            self.questions.answered(name, nonce, statement, now)
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
        """Handle what this voter's own log has committed.

        Args:
            version: The newest version; None where there is none.
            stage: Its stage.
            now: In ms.
            leader_confirmed: This voter leads and has applied all that was committed before its term: it is
                certain of the fleet's version. To be told once at least, also where there is no version: all
                others become certain by its word. A follower's own log may lag.
        """
        if version is not None and stage > self.believed.stage:
            self.store.add(version)
            self.witnesses.believed = StageDigest(stage, version.digest_prefix)
        if leader_confirmed:
            self.witnesses.has_confirmation = True
            self._update_certainty()
        return self._apply_believed()

    def respond_to_fetch(self, request: FetchRequest) -> FetchResponse:
        """Serve another member; where content is given, `response_ended` has to follow."""
        return self.store.respond(request)

    def response_ended(self) -> None:
        """A fetch that was given content has ended."""
        self.store.response_ended()

    def fetch_finished(self, name: str, response: FetchResponse, now: float) -> ReplicaEffects:
        """Handle the response of a member; one to a fetch that was given up is ignored."""
        fetch = self.fetch.end(name)
        if fetch is None:
            return ReplicaEffects()
        if response.content is None:
            self.fetch.tried.add(name)
            if response.reason != "busy":
                # It does not have the version (any more), though it told of the stage.
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
        # Even if a later one is believed by now: a member that is always behind would never apply any.
        effects = self.apply(version, wanted.stage)
        return effects if effects.apply is not None else self._apply_believed()

    def fetch_failed(self, name: str, reason: str, now: float) -> ReplicaEffects:
        """Handle that there is no connection to a member, or that it broke."""
        if self.fetch.end(name) is not None:
            self.fetch.fail(name, f"{name}: {reason}", now)
        return ReplicaEffects()

    def apply_finished(self, stage: int, refusal: str, now: float) -> ReplicaEffects:
        """Handle how `ReplicaEffects.apply` ended: in force (""), or why it is refused here."""
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
        """Do what is due; `living`: the members that can be reached now."""
        self._tick_now = False
        self._members = {member.name: member for member in living if member.name != self.name}
        self.witnesses.keep_only({*self._members})
        self.questions.expire(now)
        self.seats.expire(now)
        effects = self._apply_believed()
        self.fetch.give_up_late(now)
        if self._push_pending and self.is_certain and self._members:
            self._push_pending = False
            effects.push_to = self._draw_push_targets()
        effects.questions += self.questions.ask(self.stage, self.is_certain, self._members, now)
        self._begin_fetch(effects, now)
        return effects

    def apply(self, version: ConfigVersion, stage: int) -> ReplicaEffects:
        """Bring a version into force, if it is above what is and nothing else is being applied."""
        stage = version.stage(settled=bool(stage & 1))
        refused = version.number <= self._refused_number
        if self._applying is not None or stage <= self.stage or refused:
            return ReplicaEffects()
        self._applying = ApplyVersion(version, stage)
        stored = StoredConfig(stage, version, self.stage, self.version)
        return ReplicaEffects(store=stored, apply=self._applying)

    def _apply_believed(self) -> ReplicaEffects:
        version = self.store.find(self.believed.number, self.believed.digest_prefix)
        return self.apply(version, self.believed.stage) if version is not None else ReplicaEffects()

    def _apply_refused(
        self, version: ConfigVersion, refusal: str, started_with: StoredConfig | None
    ) -> ReplicaEffects:
        self.refusal = refusal
        self._refused_number = version.number
        if started_with is not None and started_with.previous is not None:
            # What was stored may not have been in force before the restart: what it replaced was.
            self._applying = ApplyVersion(started_with.previous, started_with.previous_stage)
            return ReplicaEffects(apply=self._applying)
        effects = self._apply_believed()
        if effects.store is None and started_with is None and self.version is not None:
            effects.store = StoredConfig(self.stage, self.version)
        return effects

    def _update_belief(self, statement: StageDigest) -> None:
        """Believe the stage that was just said, if it now has its witnesses.

        A member that says a later stage of a version confirms the earlier one too, not the other way round.
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
        if not self._is_certain and self.witnesses.has_confirmation and self.stage >= self.believed.stage:
            self._is_certain = True
            self._tick_now = True
            self.witnesses.drop_statements(self.stage)

    def _begin_fetch(self, effects: ReplicaEffects, now: float) -> None:
        if not self.wants_version or self.fetch.current is not None or self._applying is not None:
            return
        if now < self.fetch.begin_at:
            return
        believed = self.believed
        if self.store.find(believed.number, believed.digest_prefix) is not None:
            return
        effects.fetch = self.fetch.begin(believed, self.version, self._members, self.witnesses, now)

    def _merge_seats(self, stage: int, digest_prefix: int, bits: bytes, now: float) -> None:
        if self.stage and (stage, digest_prefix) == (self.stage, self.digest_prefix):
            self.seats.merge(bits, now)

    def _draw_push_targets(self) -> list[str]:
        """MAX_PUSHES of the living: most of the own zone, one of another."""
        in_zone = [name for name, member in self._members.items() if member.zone == self.zone]
        elsewhere = [name for name, member in self._members.items() if member.zone != self.zone]
        drawn: list[str] = []
        for names, limit in (
            (elsewhere, 1 if in_zone else MAX_PUSHES),
            (in_zone, MAX_PUSHES),
            (elsewhere, MAX_PUSHES),
        ):
            left = [name for name in names if name not in drawn]
            for _ in range(min(limit, MAX_PUSHES - len(drawn), len(left))):
                drawn.append(left.pop(self._chance.index(len(left))))
        return drawn
