"""Actions that a call to `Membership` requests from its caller."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import NamedTuple

from cherrygrade.fleet.membership.messages import AnyMessage, ConfigAdvert
from cherrygrade.fleet.membership.table import Member


@dataclass(slots=True)
class MemberConfigReport:
    """The configuration that a living member reports to have.

    Attributes:
        name: Name of the member.
        incarnation: The member's incarnation.
        seat: The member's seat; -1 where it has none.
        config: The member's configuration.
        direct: Whether the report answers a probe or query that this dispatcher sent to the member's address.
        nonce: Nonce of the `ConfigQuery` that the report answers; 0 where it answers none.
        refusal: Why the member refuses a newer configuration; empty where it does not.
    """

    name: str
    incarnation: int
    seat: int
    config: ConfigAdvert
    direct: bool
    nonce: int = 0
    refusal: str = ""


class OutgoingMessage(NamedTuple):
    """A message to send as a datagram, and the receiver's host:port."""

    address: str
    message: AnyMessage


class TableExchange(NamedTuple):
    """A member to exchange full membership tables with, over a stream to its host:port."""

    name: str
    address: str


class ReceivedPayload(NamedTuple):
    """A message from the scheduler of the dispatcher that has the seat."""

    seat: int
    payload: bytes


@dataclass(slots=True)
class Effects:
    """All actions that a call requests.

    The caller carries the lists out in the order of these attributes, each list from first to last.

    Attributes:
        messages: Messages to send as datagrams.
        replies: Messages to send to the source of the datagram that was received.
        table_exchanges: Exchanges of membership tables to begin.
        scheduler_messages: Received messages to pass to the scheduler.
        config_reports: Reports to pass to the configuration exchange.
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
        """Send a datagram to a member; do nothing where its address is not known yet."""
        if member.info is not None:
            self.send(member.info.address, message)
