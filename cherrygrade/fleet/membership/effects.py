"""What a call to `Membership` asks its caller to do."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import NamedTuple

from cherrygrade.fleet.membership.messages import AnyMessage, ConfigAdvert
from cherrygrade.fleet.membership.table import Member


@dataclass(slots=True)
class MemberConfigReport:
    """What a living member reports of its configuration.

    Attributes:
        name: The member.
        incarnation: Its incarnation.
        seat: Its seat; -1 where it has none.
        config: What it holds.
        direct: It answers a probe or a query that this dispatcher sent to the member's address.
        nonce: Nonce of the `ConfigQuery` that it answers; else 0.
        refusal: Why it refuses what is newer; empty where it does not.
    """

    name: str
    incarnation: int
    seat: int
    config: ConfigAdvert
    direct: bool
    nonce: int = 0
    refusal: str = ""


class OutgoingMessage(NamedTuple):
    """A datagram to send, and its host:port."""

    address: str
    message: AnyMessage


class TableExchange(NamedTuple):
    """A member to exchange whole tables with, over a stream to its host:port."""

    name: str
    address: str


class ReceivedPayload(NamedTuple):
    """A message from the scheduler of the dispatcher that holds the seat."""

    seat: int
    payload: bytes


@dataclass(slots=True)
class Effects:
    """All that a call asks for.

    The caller carries the lists out in the order of these attributes, each list from first to last.

    Attributes:
        messages: Datagrams to send.
        replies: Datagrams that go back to the source of the datagram that was received.
        table_exchanges: Streams to open.
        scheduler_messages: What to hand to the scheduler.
        config_reports: What to hand to the configuration exchange.
    """

    messages: list[OutgoingMessage] = field(default_factory=list)
    replies: list[AnyMessage] = field(default_factory=list)
    table_exchanges: list[TableExchange] = field(default_factory=list)
    scheduler_messages: list[ReceivedPayload] = field(default_factory=list)
    config_reports: list[MemberConfigReport] = field(default_factory=list)

    def send(self, address: str, message: AnyMessage) -> None:
        """Send a datagram to an address."""
        self.messages.append(OutgoingMessage(address, message))

    def send_to(self, member: Member, message: AnyMessage) -> None:
        """Send a datagram to a member; nothing where its address is not known yet."""
        if member.info is not None:
            self.send(member.info.address, message)
