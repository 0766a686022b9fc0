"""Advertises this dispatcher's configuration to other members, and extracts theirs from messages.

The module does no I/O, reads no clock and has no random source.
"""

from __future__ import annotations

from cherrygrade.fleet.membership.effects import MemberConfigReport
from cherrygrade.fleet.membership.messages import ConfigAdvert, ConfigReply, GossipPush, Probe, ProbeAck
from cherrygrade.fleet.membership.table import Member


class ConfigReporting:
    """The advert of this dispatcher's configuration, and the reports of other members.

    Attributes:
        advert: The configuration that this dispatcher has; None where it does not take part in the
            distribution of configurations.
        refusal: Why this dispatcher refuses a newer configuration, at most 120 characters; empty where it
            does not refuse one.
    """

    def __init__(self) -> None:
        self.advert: ConfigAdvert | None = None
        self.refusal = ""

    def advert_without_bitmap(self) -> ConfigAdvert | None:
        """Return the advert without the seat bitmap; None where there is no configuration version yet."""
        advert = self.advert_with_bitmap()
        return None if advert is None else ConfigAdvert(advert.stage, advert.digest_prefix)

    def advert_with_bitmap(self) -> ConfigAdvert | None:
        """Return the advert with the seat bitmap, for messages that are padded anyway.

        The result is None where there is no configuration version yet.
        """
        return self.advert if self.advert is not None and self.advert.stage else None

    def report(
        self, message: Probe | ProbeAck | GossipPush | ConfigReply, sender: Member | None, direct: bool
    ) -> MemberConfigReport | None:
        """Extract the report of the sender's configuration from a message.

        Args:
            message: The received message.
            sender: The member that sent it; None where it is not known.
            direct: Whether the message answers a probe or query of this dispatcher.

        Returns:
            The report; None where the message has no advert, or where the sender is not known to be living in
            the message's incarnation.
        """
        if message.config is None or sender is None or not sender.living:
            return None
        if sender.incarnation != message.incarnation:
            return None
        report = MemberConfigReport(message.name, message.incarnation, sender.seat, message.config, direct)
        if isinstance(message, ConfigReply):
            report.nonce = message.nonce
            report.refusal = message.refusal
        return report
