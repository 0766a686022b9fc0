"""What a voter of the council asks its caller to do, and what it is given with a change of configuration."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import NamedTuple

from cherrygrade.fleet.config.text_diff import DiffHunk
from cherrygrade.fleet.config.versions import QuotaDivisors
from cherrygrade.fleet.consensus.council_messages import AnyReply
from cherrygrade.fleet.consensus.raft_messages import OutgoingMessage, RaftEffects


@dataclass(frozen=True, slots=True)
class ConfigVerdict:
    """The result of judging the text of a `PutConfig`.

    Attributes:
        refusal: Why it is refused; "" if it is not.
        divisors: The quota divisors of the new text; None where it is refused.
        old_divisors: The quota divisors of the text before it.
        hunks: The difference from the text it is based on; None where the whole text is shorter.
    """

    refusal: str
    divisors: QuotaDivisors | None = None
    old_divisors: QuotaDivisors | None = None
    hunks: tuple[DiffHunk, ...] | None = None


class OutgoingReply(NamedTuple):
    """A reply, and the client that it is for as it was given with the request."""

    client: object
    reply: AnyReply


@dataclass(slots=True)
class VoterEffects:
    """What a call to `Voter` asks its caller to do.

    Order: first write all of `raft_effects` to disk, in order. Only then send `messages` and `replies`.

    Attributes:
        raft_effects: Only their writes matter here: the rest is in the other fields or carried out already.
        messages: For other voters.
        replies: For clients.
    """

    raft_effects: list[RaftEffects] = field(default_factory=list)
    messages: list[OutgoingMessage] = field(default_factory=list)
    replies: list[OutgoingReply] = field(default_factory=list)

    def reply(self, client: object, reply: AnyReply) -> None:
        """Add a reply."""
        self.replies.append(OutgoingReply(client, reply))
