"""Steps against a slow peer, each with a way back, and the least rate. Free of I/O, clock and chance."""

from __future__ import annotations

from enum import IntEnum

BACK = 1.5  # a step is taken back at this much above the least rate: no peer flaps on the line
NEARLY = 0.25  # time between the least rate and that counts so much towards the way back
MANY = 0.5  # where more than this part of those waited for is slow, the network is, and nobody is cut
FEW = 8  # peers waited for, under which their part says nothing


class Step(IntEnum):
    FREE = 0
    HELD = 1  # no new RPCs are read from it
    NARROW = 2  # and nothing large is begun for it
    CUT = 3


def scarcity(used: float, room: float) -> float:
    """0 while half of the room is free, 1 at its end."""
    return max(0.0, min(1.0, (used / max(room, 1.0) - 0.5) * 2.0))


def limit_scarcity_rise(last: float, scarce: float, took_ms: float, span_ms: float) -> float:
    """Scarcity as it is asked by: it rises no faster than a rate over the span can follow."""
    return min(scarce, last + took_ms / span_ms)


def min_rate(floor: float, top: float, scarce: float) -> float:
    """Bytes a second that a peer must move: the floor in plenty, the top when nothing is left."""
    return floor + (top - floor) * scarce


def min_rate_for_occupancy(least: float, top: float, scarce: float, occupied: float, hold_ms: float) -> float:
    """The least rate of a peer that occupies so many bytes in the mean: it pays for bytes times time.

    What it occupies must be gone within `hold_ms` when room is short, later in plenty; nothing above the top
    is ever asked.
    """
    return max(least, min(top, scarce * occupied * 1000.0 / hold_ms))


class SlowPeerEscalation:
    """One peer's standing. Up a step each time the grace passes below the least rate, down one each time it
    passes above it by `BACK`, or four graces do above it by less."""

    def __init__(self, grace_ms: float) -> None:
        self.grace_ms, self.step = grace_ms, Step.FREE
        self._below = self._above = 0.0

    def update(self, per_s: float, least: float, took_ms: float, spared: bool) -> Step:
        """A look after `took_ms` in which the peer was waited for; one that is spared is not cut."""
        if per_s < least:
            self._below, self._above = self._below + took_ms, 0.0
            if self._below >= self.grace_ms:
                self._below = 0.0
                highest = Step.NARROW if spared else Step.CUT
                self.step = max(self.step, min(highest, Step(min(self.step + 1, Step.CUT))))
        else:
            part = 1.0 if per_s >= least * BACK else NEARLY
            self._above, self._below = self._above + took_ms * part, 0.0
            if self._above >= self.grace_ms and self.step is not Step.CUT:
                self._above = 0.0
                self.step = Step(max(Step.FREE, self.step - 1))
        return self.step


def is_network_slow(slow: int, waited_for: int, since_good_ms: float, span_ms: float) -> bool:
    """Whether it is the network, or ourselves, rather than these peers.

    Most of those waited for are slow, and for a span nobody at all moved bytes as a good peer does. Many
    slow ones beside a good one are just many.
    """
    return waited_for >= FEW and slow > waited_for * MANY and since_good_ms >= span_ms


def keeps_connection(
    everybody: bool, scarce: float, heaviest: bool, since_cut_ms: float, grace_ms: float
) -> bool:
    """Whether a slow peer keeps its connection for the network's sake.

    While the network is slow nobody is cut, unless room is short: then the one that occupies most, one in
    each grace, so that the rest have room again without all of them being sent away.
    """
    return everybody and not (scarce > 0.0 and heaviest and since_cut_ms >= grace_ms)


class RecentCuts:
    """Who was cut lately, by address and name: reconnecting wipes nothing. Emptied by time and by `most`."""

    def __init__(self, keep_ms: float, most: int = 4096) -> None:
        self.keep_ms, self.most = keep_ms, most
        self._cut: dict[tuple[str, str], float] = {}

    def cut(self, peer: tuple[str, str], now: float) -> None:
        if len(self._cut) >= self.most:
            self._cut = {one: at for one, at in self._cut.items() if now - at < self.keep_ms}
            for one in [*self._cut][: max(0, len(self._cut) - self.most + 1)]:
                del self._cut[one]
        self._cut.pop(peer, None)
        self._cut[peer] = now

    def grace(self, peer: tuple[str, str], now: float, usual_ms: float) -> float:
        """Half the usual for one that was cut lately: it knows."""
        at = self._cut.get(peer)
        return usual_ms / 2.0 if at is not None and now - at < self.keep_ms else usual_ms
