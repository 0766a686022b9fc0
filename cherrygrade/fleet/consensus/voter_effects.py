"""The effects that a voter of the council leaves to its caller, and the result of a configuration check."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import NamedTuple

from cherrygrade.fleet.config.text_diff import DiffHunk
from cherrygrade.fleet.config.versions import QuotaDivisors
from cherrygrade.fleet.consensus.council_messages import AnyReply
from cherrygrade.fleet.consensus.raft_messages import OutgoingMessage, RaftEffects


@dataclass(frozen=True, slots=True)
class ConfigVerdict:
    """The result of checking the text of a `PutConfig`.

    Attributes:
        refusal: Why the text is refused; "" if it is not.
        divisors: The quota divisors of the new text; None if it is refused.
        old_divisors: The quota divisors of the text before it.
        hunks: The difference from the text that it is based on; None if the complete text is shorter.
    """

    refusal: str
    divisors: QuotaDivisors | None = None
    old_divisors: QuotaDivisors | None = None
    hunks: tuple[DiffHunk, ...] | None = None


class OutgoingReply(NamedTuple):
    """A reply to be sent.

    Attributes:
        client: The client, as it was passed in with the request.
        reply: The reply.
    """

    client: object
    reply: AnyReply


@dataclass(slots=True)
class VoterEffects:
    """The work that a call to `Voter` leaves to its caller.

    The caller first writes all of `raft_effects` to disk, in order. Only then does it send
    `messages` and `replies`.

    Attributes:
        raft_effects: Effects of which the caller carries out the writes only; the other fields contain the
            messages, and the voter has applied committed entries already.
        messages: The messages to other voters.
        replies: The replies to clients.
    """

    raft_effects: list[RaftEffects] = field(default_factory=list)
    messages: list[OutgoingMessage] = field(default_factory=list)
    replies: list[OutgoingReply] = field(default_factory=list)

    def reply(self, client: object, reply: AnyReply) -> None:
        """Add a reply to a client."""
        self.replies.append(OutgoingReply(client, reply))
