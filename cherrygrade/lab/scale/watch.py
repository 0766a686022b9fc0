"""Of what passes, what the audit needs: when a member's digest changed, and each claim's first telling.

Everything would be some megabytes a second in the worst of them. Free of I/O and clock.
"""

from __future__ import annotations

import msgspec

from cherrygrade.fleet.membership.messages import HEADER, GossipPush, Probe, ProbeAck
from cherrygrade.fleet.membership.table import MemberState

AGAIN_MS = 500.0  # a digest that did not change is noted again after this

_decoder = msgspec.msgpack.Decoder(Probe | ProbeAck | GossipPush)


class Watch:
    """`told` and `digests` by speaker; they grow with the members and their turns."""

    def __init__(self) -> None:
        self.digests: dict[int, tuple[int, float]] = {}
        self.told: dict[int, set[tuple[str, int, int, int]]] = {}

    def passed(self, at: float, source: int, data: bytes) -> bool:
        """Whether this datagram is to be noted."""
        kind = data[HEADER.size + 2 : HEADER.size + 3]
        if kind not in (b"p", b"a", b"n"):
            return False
        try:
            page = _decoder.decode(memoryview(data)[HEADER.size :])
        except (msgspec.MsgspecError, UnicodeDecodeError):
            return False
        worth = False
        if not isinstance(page, GossipPush):
            known = self.digests.get(source)
            if known is None or known[0] != page.digest or at - known[1] >= AGAIN_MS:
                self.digests[source] = (page.digest, at)
                worth = True
        if page.records:
            told = self.told.setdefault(source, set())
            for claim in page.records:
                # Suspicions come and go; the audit looks at who lives and who is called dead.
                if claim.state == MemberState.SUSPECT:
                    continue
                key = (claim.name, claim.incarnation, claim.refutations, claim.state)
                if key not in told:
                    told.add(key)
                    worth = True
        return worth
