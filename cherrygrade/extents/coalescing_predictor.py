"""Whether a small RPC may wait a moment for company that recent traffic promises. Free of I/O and clock.

Two things are learned of an extent: how often a neighbour followed within the hold, seen whether or not one
was held, and what holding earned. Others of the same extent are no company: they cannot share a send.
The hold is a stated part of the slack to the soft deadline, never more.
"""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass

LEARN = 0.2  # of each new sight
SELDOM = 0.1  # where neighbours are rarer, they are looked for in 32 of each 512 ms only
COMES = 0.5  # company is expected where it followed more often than this
EARNS = 0.3  # holding goes on while at least this part of holds met company
RECENT = 8  # RPCs of an extent that are compared
REST_MS = 1000.0  # after which holding may be tried again, doubled each time it earned nothing
MOST_REST_MS = 60_000.0


@dataclass(slots=True)
class _Sight:
    recent: deque[tuple[float, int, int]]  # when, start and end of the last few
    follows: float = 0.0  # part of RPCs that came within the hold of a neighbour
    earned: float = 1.0  # part of holds that met company
    rest: float = REST_MS
    until: float = 0.0  # no hold before


class Company:
    """At most `most` extents are remembered; when they are too many, the half unseen for longest goes."""

    def __init__(self, part: float, most: int = 4096) -> None:
        self.part, self.most = part, most
        self._sights: dict[tuple[str, int], _Sight] = {}
        self._often: set[tuple[str, int]] = set()  # those of them where neighbours are not rare

    def hold(self, volume: str, extent: int, start: int, end: int, now: float, slack_ms: float) -> float:
        """How long this RPC on bytes from start to end may wait, ms; 0 where nobody is expected."""
        looks = not int(now) & 480
        if not (looks or self._often) and self._sights:
            return 0.0  # the short way: nobody has company anywhere
        key = (volume, extent)
        sight = self._sights.get(key)
        if sight is not None and not (looks or key in self._often):
            return 0.0
        longest = max(0.0, slack_ms * self.part)
        if sight is None:
            if len(self._sights) >= self.most:
                seen = sorted(self._sights, key=lambda old: self._sights[old].recent[-1][0])
                for old in seen[: max(1, self.most // 2)]:
                    del self._sights[old]
                    self._often.discard(old)
            self._sights[key] = _Sight(deque([(now, start, end)], RECENT))
            return 0.0
        followed, since = False, now - longest
        for at, first, last in reversed(sight.recent):
            if at < since:
                break
            if first <= end and start <= last:
                followed = True
                break
        sight.follows += LEARN * (followed - sight.follows)
        (self._often.add if sight.follows >= SELDOM else self._often.discard)(key)
        sight.recent.append((now, start, end))
        return longest if sight.follows > COMES and now >= sight.until else 0.0

    def met(self, volume: str, extent: int, now: float, together: int) -> None:
        """A hold is over; so many RPCs had a neighbour among them."""
        sight = self._sights.get((volume, extent))
        if sight is None:
            return
        sight.earned += LEARN * ((together > 1) - sight.earned)
        if sight.earned < EARNS:
            sight.until, sight.rest = now + sight.rest, min(MOST_REST_MS, sight.rest * 2.0)
            sight.earned = COMES  # a second trial is a short one
        elif sight.earned > 0.9:
            sight.rest = REST_MS
