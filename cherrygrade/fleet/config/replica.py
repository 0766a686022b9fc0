"""A dispatcher's part in the spread of versions: what it holds, whom it believes, whom it asks.

A page that tells a higher stage is a hint and nothing more. (stage, mark) is believed once a voter of the
council said it, or two different living members did, each first-hand: in an answer with a number that this
one drew, from the place that the roll holds for that name. The content is fetched from who told it, whole or
as a difference, and taken only if its digest is the one believed and its stage higher than the one in force.

Free of I/O, clock and chance: calls in, a `Does` out; times in ms of any one clock; chance by crc32.
"""

from __future__ import annotations

from dataclasses import dataclass, field

import msgspec

from cherrygrade.fleet.config.versions import Content, Version

MOST_IN = 8  # fetches served at once; who comes more is told "busy"
FAN = 3  # members that a new stage is pushed to, once
WITNESSES = 2  # members that said it; a voter alone suffices
TRIES = 3  # members asked by chance, before a voter is
NEVER = 1e15


class Kept(msgspec.Struct, array_like=True, frozen=True):
    """What is on disk. `before`: what was in force before `version`, should that one be refused here."""

    stage: int
    version: Version
    before_stage: int = 0
    before: Version | None = None


class Near(msgspec.Struct, frozen=True):
    """A living member that can be reached, as the roll has it."""

    name: str
    zone: str
    seat: int


class Here(msgspec.Struct, frozen=True):
    """What this one says of itself, on `Here` and (without bits) on any page. Bits: by seat, little end
    first; b"" where they are full or nothing is in force."""

    stage: int
    mark: int
    bits: bytes = b""


class Wanted(msgspec.Struct, array_like=True, frozen=True):
    """A fetch, as the stream carries it: this version; `base` and `base_mark`: what the asker holds (0, 0:
    nothing)."""

    number: int
    mark: int
    base: int = 0
    base_mark: int = 0


class Gave(msgspec.Struct, array_like=True, frozen=True):
    """The answer to it: content, or why not ("busy": another may do; "gone": no longer, or not yet, held)."""

    content: Content | None = None
    why: str = ""


@dataclass(slots=True)
class Does:
    """What a call comes to, carried out in this order: `keep` on disk and synced (where nothing can be kept,
    it says so), then `force`; then pages; `fetch` opens a stream to that member."""

    keep: Kept | None = None
    force: tuple[Version, int] | None = None
    """Answer with `forced`."""
    which: list[tuple[str, int]] = field(default_factory=list)
    """Name and nonce: page Which."""
    push: list[str] = field(default_factory=list)
    """Whom to send a Push with this one's stage and mark."""
    fetch: tuple[str, Wanted] | None = None
    """Answer with `fetched` or `unfetched`."""


class Replica:
    """One dispatcher's. `seats`: of the fleet of record, for the bits. `voters`: names. `kept`: as read from
    disk; the host has put it in force already, and says so with `forced` before anything else; None: nothing
    whole was there, and the own file is in force (stage 0)."""

    def __init__(
        self,
        name: str,
        zone: str,
        seat: int,
        seats: int,
        voters: list[str],
        seed: int,
        now: float,
        kept: Kept | None = None,
    ) -> None:
        self.name, self.zone, self.seat, self.seats = name, zone, seat, seats
        self.voters = voters
        self.stage = 0
        self.version: Version | None = None
        self.refused = ""
        self.cant = ""

    @property
    def mark(self) -> int:
        return self.version.mark if self.version is not None else 0

    @property
    def sure(self) -> bool:
        """Whether it knows what the fleet is on: something was kept, or witnesses said a stage. One that is
        not serves on its own file and has no part (parts.parts): the fleet may have dealt them out anew."""
        raise NotImplementedError

    @property
    def believed(self) -> tuple[int, int]:
        """The highest (stage, mark) with witnesses; in force or not yet."""
        raise NotImplementedError

    def status(self) -> str:
        """For people: "" where all is well, else "refused: KEY", "can't fetch: WHY" or "late"."""
        raise NotImplementedError

    def here(self) -> Here:
        """The stage in force here, its mark, and who else is on it."""
        raise NotImplementedError

    # What comes in.

    def hint(self, by: str, stage: int, mark: int, now: float) -> Does:
        """Any page of this living member told that."""
        raise NotImplementedError

    def answered(self, by: str, stage: int, mark: int, now: float, nonce: int = 0, bits: bytes = b"") -> Does:
        """First-hand, from the place that the roll holds for the name: a `Here` with this one's nonce, or
        (`nonce` 0) an Answer to this one's own probe, as the caller has checked."""
        raise NotImplementedError

    def learned(self, version: Version, stage: int, now: float) -> Does:
        """A voter's own log agreed on it."""
        raise NotImplementedError

    def wanted(self, wanted: Wanted) -> Gave:
        """Somebody fetches; where content is given, `served` has to follow once the stream ends."""
        raise NotImplementedError

    def served(self) -> None:
        raise NotImplementedError

    def fetched(self, by: str, gave: Gave, now: float) -> Does:
        raise NotImplementedError

    def unfetched(self, by: str, why: str, now: float) -> Does:
        """No stream to it, or it broke."""
        raise NotImplementedError

    def forced(self, stage: int, why: str, now: float) -> Does:
        """How `force` ended: in force (""), or why it is refused here."""
        raise NotImplementedError

    # Time.

    def due(self) -> float:
        raise NotImplementedError

    def beat(self, living: list[Near], now: float) -> Does:
        """What is due."""
        raise NotImplementedError
