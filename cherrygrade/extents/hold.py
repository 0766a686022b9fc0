"""Whether a small RPC may wait a moment for company that recent traffic promises. Free of I/O and clock.

Two things are learned of an extent: how often another RPC followed within the hold, seen whether or not one
was held, and what holding earned. The hold is a stated part of the slack to the soft deadline, never more.
"""

from __future__ import annotations

from collections import OrderedDict
from dataclasses import dataclass

LEARN = 0.2  # of each new sight
COMES = 0.5  # company is expected where it followed more often than this
EARNS = 0.3  # holding goes on while at least this part of holds met company
REST_MS = 1000.0  # after which holding may be tried again, doubled each time it earned nothing
MOST_REST_MS = 60_000.0


@dataclass(slots=True)
class _Sight:
    last: float
    follows: float = 0.0  # part of RPCs that another followed within the hold
    earned: float = 1.0  # part of holds that met company
    rest: float = REST_MS
    until: float = 0.0  # no hold before


class Company:
    """At most `most` extents are remembered; the one unseen for longest goes first."""

    def __init__(self, part: float, most: int = 4096) -> None:
        self.part, self.most = part, most
        self._sights: OrderedDict[tuple[str, int], _Sight] = OrderedDict()

    def hold(self, volume: str, extent: int, now: float, slack_ms: float) -> float:
        """How long this RPC may wait, ms; 0 where nobody is expected."""
        longest = max(0.0, slack_ms * self.part)
        key = (volume, extent)
        sight = self._sights.get(key)
        if sight is None:
            self._sights[key] = _Sight(now)
            if len(self._sights) > self.most:
                self._sights.popitem(last=False)
            return 0.0
        self._sights.move_to_end(key)
        followed = now - sight.last <= longest
        sight.follows += LEARN * (followed - sight.follows)
        sight.last = now
        return longest if sight.follows > COMES and now >= sight.until else 0.0

    def met(self, volume: str, extent: int, now: float, together: int) -> None:
        """A hold is over; so many RPCs went together."""
        sight = self._sights.get((volume, extent))
        if sight is None:
            return
        sight.earned += LEARN * ((together > 1) - sight.earned)
        if sight.earned < EARNS:
            sight.until, sight.rest = now + sight.rest, min(MOST_REST_MS, sight.rest * 2.0)
            sight.earned = COMES  # a second trial is a short one
        elif sight.earned > 0.9:
            sight.rest = REST_MS
