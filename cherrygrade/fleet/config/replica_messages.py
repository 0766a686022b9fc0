"""Records, messages and effects of a replica of the configuration."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import NamedTuple

import msgspec

from cherrygrade.fleet.config.version_content import VersionContent
from cherrygrade.fleet.config.versions import ConfigVersion

UNCERTAIN_DIGEST_PREFIX = 1
"""Beside stage 0: this member does not know the fleet's version, and is no witness of anything."""


class StageDigest(NamedTuple):
    """A version at a stage, as members name it; (0, 0) for no configuration."""

    stage: int
    digest_prefix: int

    @property
    def number(self) -> int:
        """The version's number."""
        return self.stage // 2


UNCERTAIN = StageDigest(0, UNCERTAIN_DIGEST_PREFIX)


class StoredConfig(msgspec.Struct, array_like=True, frozen=True):
    """What is on disk; positional there.

    Attributes:
        stage: The stage of `version`.
        version: What is in force, or was about to be.
        previous_stage: The stage of `previous`.
        previous: What was in force before, in case `version` is refused here; None for the own file.
    """

    stage: int
    version: ConfigVersion
    previous_stage: int = 0
    previous: ConfigVersion | None = None


class ReachableMember(msgspec.Struct, frozen=True):
    """A living member that can be reached, as the membership table has it."""

    name: str
    zone: str
    seat: int


class OwnAdvert(msgspec.Struct, frozen=True, rename={"digest_prefix": "mark"}):
    """What this member says of itself; `UNCERTAIN` while it does not know the fleet's version.

    Attributes:
        stage: The stage in force here.
        digest_prefix: Of the version in force here.
        bits: Which seats are known to be on that stage, little end first; b"" where all are, or none is.
    """

    stage: int
    digest_prefix: int
    bits: bytes = b""


class FetchRequest(msgspec.Struct, array_like=True, frozen=True):
    """A request for a version's content; positional on the wire.

    Attributes:
        number: The version.
        digest_prefix: The version's.
        base_number: The version in force at the requester, which a difference may be against; 0 for none.
        base_digest_prefix: That version's.
    """

    number: int
    digest_prefix: int
    base_number: int = 0
    base_digest_prefix: int = 0


class FetchResponse(msgspec.Struct, array_like=True, frozen=True):
    """The response to a `FetchRequest`; positional on the wire.

    Attributes:
        content: The content; None where it is not given.
        reason: Why not: "busy" (another member may), or "gone" (not stored here, any more or yet).
    """

    content: VersionContent | None = None
    reason: str = ""


class ApplyVersion(NamedTuple):
    """A version that is to come into force, at this stage."""

    version: ConfigVersion
    stage: int


class ConfigQuestion(NamedTuple):
    """A member that is asked for its version, and the nonce that its answer has to bring back."""

    name: str
    nonce: int


class FetchFrom(NamedTuple):
    """A member and the request for content that it gets."""

    name: str
    request: FetchRequest


@dataclass(slots=True)
class ReplicaEffects:
    """What a call to `ConfigReplica` asks its caller to do.

    Order: first write `store` to disk and sync it. Then bring `apply` into force, unless an older version
    could be neither replaced nor removed on disk. Then send `questions` and `push_to`, and begin `fetch`.

    Attributes:
        store: To be stored in place of what is on disk; None for no change.
        apply: To be brought into force; the caller answers with `ConfigReplica.apply_finished`.
        questions: Members that are asked for their version.
        push_to: Members that this one's stage and digest prefix are sent to.
        fetch: A fetch to begin; the caller answers with `fetch_finished` or `fetch_failed`.
    """

    store: StoredConfig | None = None
    apply: ApplyVersion | None = None
    questions: list[ConfigQuestion] = field(default_factory=list)
    push_to: list[str] = field(default_factory=list)
    fetch: FetchFrom | None = None
