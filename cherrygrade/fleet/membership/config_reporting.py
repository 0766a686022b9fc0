"""What this dispatcher says of its own configuration, and what it takes from others of theirs.

Free of I/O, clock and chance.
"""

from __future__ import annotations

from cherrygrade.fleet.membership.effects import MemberConfigReport
from cherrygrade.fleet.membership.messages import ConfigAdvert, ConfigReply, GossipPush, Probe, ProbeAck
from cherrygrade.fleet.membership.table import Member


class ConfigReporting:
    """The configuration as messages carry it.

    Attributes:
        advert: What this dispatcher holds; None where it has no part in the distribution of configurations.
        refusal: Why it stays on that; empty where it does not refuse a newer one. At most 120 characters.
    """

    def __init__(self) -> None:
        self.advert: ConfigAdvert | None = None
        self.refusal = ""

    def short_advert(self) -> ConfigAdvert | None:
        """The advert without the bitmap of seats; None where there is no version yet."""
        held = self.full_advert()
        return None if held is None else ConfigAdvert(held.stage, held.digest_prefix)

    def full_advert(self) -> ConfigAdvert | None:
        """The advert with the bitmap of seats, for messages that are padded anyway; None as above."""
        return self.advert if self.advert is not None and self.advert.stage else None

    def report(
        self, message: Probe | ProbeAck | GossipPush | ConfigReply, sender: Member | None, direct: bool
    ) -> MemberConfigReport | None:
        """What a message reports of its sender's configuration.

        None where it has no advert, or where the sender is not known as living in that incarnation.
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
