"""Records, messages and effects of a replica of the configuration.

A dispatcher's seat is its number in the fleet, from 0. The fleet of record is the set of seats that the
configuration divides quotas by. A version's stage is twice its number while it is being introduced (the
joint phase) and one more once it is settled. A digest prefix is the first 8 bytes of a version's digest,
as an integer.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import NamedTuple

import msgspec

from cherrygrade.fleet.config.version_content import VersionContent
from cherrygrade.fleet.config.versions import ConfigVersion

UNCERTAIN_DIGEST_PREFIX = 1
"""With stage 0: the sender does not know the fleet's version, so its message confirms nothing."""


class StageDigest(NamedTuple):
    """A version at a stage, as members name it; (0, 0) stands for no shared configuration."""

    stage: int
    digest_prefix: int

    @property
    def number(self) -> int:
        """The version's number."""
        return self.stage // 2


UNCERTAIN = StageDigest(0, UNCERTAIN_DIGEST_PREFIX)
"""What a member reports while it does not know the fleet's version."""


class StoredConfig(msgspec.Struct, array_like=True, frozen=True):
    """The configuration as one dispatcher stores it on disk, where fields are positional.

    Attributes:
        stage: The stage of `version`.
        version: The version in force, or one that was stored just before it would have come into force.
        previous_stage: The stage of `previous`.
        previous: The version in force before `version`, used if `version` is refused here; None if the
            dispatcher used only its own file before.
    """

    stage: int
    version: ConfigVersion
    previous_stage: int = 0
    previous: ConfigVersion | None = None


class ReachableMember(msgspec.Struct, frozen=True):
    """A living member whose address is in the membership table.

    Attributes:
        name: The member's name.
        zone: The member's zone.
        seat: The member's seat; negative for none.
    """

    name: str
    zone: str
    seat: int


class OwnAdvert(msgspec.Struct, frozen=True, rename={"digest_prefix": "mark"}):
    """What this member reports of its own configuration; `UNCERTAIN` until it knows the fleet's version.

    Attributes:
        stage: The stage in force here.
        digest_prefix: The digest prefix of the version in force here.
        bits: A bitmap of the seats known to be on that stage, little-endian. It is b"" once all seats have
            been known for a while, and while no stage is in force.
    """

    stage: int
    digest_prefix: int
    bits: bytes = b""


class FetchRequest(msgspec.Struct, array_like=True, frozen=True):
    """A request for a version's content; fields are positional on the wire.

    Attributes:
        number: The number of the requested version.
        digest_prefix: The digest prefix of the requested version.
        base_number: The number of the version in force at the requester, which the content may be a
            difference against; 0 for none.
        base_digest_prefix: The digest prefix of that version.
    """

    number: int
    digest_prefix: int
    base_number: int = 0
    base_digest_prefix: int = 0


class FetchResponse(msgspec.Struct, array_like=True, frozen=True):
    """The response to a `FetchRequest`; fields are positional on the wire.

    Attributes:
        content: The content; None if this member does not send it.
        reason: Why there is no content: "busy" (too many fetches are being served; another member may serve
            it) or "gone" (the version is not in memory here: not yet, or no longer).
    """

    content: VersionContent | None = None
    reason: str = ""


class ApplyVersion(NamedTuple):
    """A version that is to come into force, and the stage that it comes into force at."""

    version: ConfigVersion
    stage: int


class ConfigQuestion(NamedTuple):
    """A query to a member for its stage, and the nonce that the member's answer has to repeat."""

    name: str
    nonce: int


class FetchFrom(NamedTuple):
    """A member, and the request for content that is sent to it."""

    name: str
    request: FetchRequest


@dataclass(slots=True)
class ReplicaEffects:
    """What a call to `ConfigReplica` requires its caller to do, in the order of the attributes.

    `apply` waits until `store` is synced to disk. If `store` cannot be written, the version is applied all
    the same, unless an older version remains on disk that could be neither replaced nor removed.

    Attributes:
        store: The configuration that replaces the one on disk; None for no change.
        apply: The version to bring into force. The caller reports the result with
            `ConfigReplica.apply_finished`.
        questions: Queries to send to members for their stage.
        push_to: The names of the members to send this member's stage and digest prefix to.
        fetch: A fetch to begin. The caller reports its end with `fetch_finished` or `fetch_failed`.
    """

    store: StoredConfig | None = None
    apply: ApplyVersion | None = None
    questions: list[ConfigQuestion] = field(default_factory=list)
    push_to: list[str] = field(default_factory=list)
    fetch: FetchFrom | None = None
