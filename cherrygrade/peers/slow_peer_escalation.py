"""Escalation steps against slow peers and their minimum rate. Uses no I/O, clock or random source."""

from __future__ import annotations

from enum import IntEnum

RECOVERY_FACTOR = 1.5
"""A peer goes down a step at this multiple of its minimum rate, to avoid oscillation near the minimum."""
NEAR_MINIMUM_WEIGHT = 0.25
"""Weight of time spent between the minimum rate and the recovery rate, towards recovering a step."""
NETWORK_SLOW_FRACTION = 0.5
"""If more than this fraction of the peers that data waits for is slow, the network is to blame."""
MIN_PEERS_FOR_FRACTION = 8
"""With fewer peers that data waits for, the fraction of slow ones is not significant."""


class Step(IntEnum):
    """What is done to a slow peer; each step includes those before it."""

    FREE = 0
    """Nothing: the peer is not slow."""
    HELD = 1
    """No new requests are read from the peer."""
    NARROW = 2
    """No large transfer is started for the peer, and its memory limit is reduced."""
    CUT = 3
    """The connection to the peer is closed."""


def scarcity(used_bytes: float, capacity_bytes: float) -> float:
    """Return how scarce memory is: 0 while half of the capacity is free, 1 when all of it is in use."""
    return max(0.0, min(1.0, (used_bytes / max(capacity_bytes, 1.0) - 0.5) * 2.0))


def limit_scarcity_rise(previous: float, current: float, elapsed_ms: float, window_ms: float) -> float:
    """Return the scarcity by which minimum rates are set.

    It falls at once, but rises by at most 1 per `window_ms`, because a measured rate over this window can't
    follow any faster.
    """
    return min(current, previous + elapsed_ms / window_ms)


def min_rate(floor: float, top: float, scarce: float) -> float:
    """Return the minimum rate of a peer, bytes/s: `floor` if memory is plentiful, `top` if none is left."""
    return floor + (top - floor) * scarce


def min_rate_for_occupancy(
    least: float, top: float, scarce: float, occupied_bytes: float, hold_ms: float
) -> float:
    """Return the minimum rate of a peer whose unsent data occupies memory.

    The data has to be gone within `hold_ms` when memory is scarce, and later when it is plentiful.

    Args:
        least: Minimum rate regardless of what the peer occupies, bytes/s.
        top: Highest rate that is required for occupied memory, bytes/s.
        scarce: Scarcity of memory, 0 to 1.
        occupied_bytes: Average memory that the peer occupies.
        hold_ms: Time for which data may stay when no memory is left.

    Returns:
        The minimum rate, bytes/s.
    """
    return max(least, min(top, scarce * occupied_bytes * 1000.0 / hold_ms))


class SlowPeerEscalation:
    """The escalation state of one peer.

    A peer goes up a step for each grace period that it spends below its minimum rate. It goes down a step for
    each grace period at `RECOVERY_FACTOR` times the minimum rate or more, or for four at a rate in between.

    Attributes:
        grace_ms: The grace period, ms.
        step: The current step; `Step.CUT` is final.
    """

    def __init__(self, grace_ms: float) -> None:
        """Args: `grace_ms`: the grace period of each step."""
        self.grace_ms, self.step = grace_ms, Step.FREE
        self._below_ms = self._above_ms = 0.0

    def update(self, bytes_per_second: float, least: float, elapsed_ms: float, is_spared: bool) -> Step:
        """Account for an interval in which data waited for the peer.

        Args:
            bytes_per_second: The measured rate of the peer.
            least: The minimum rate required of the peer, bytes/s.
            elapsed_ms: Length of the interval, ms.
            is_spared: The peer is not to be cut now.

        Returns:
            The step that now applies.
        """
        if bytes_per_second < least:
            self._below_ms, self._above_ms = self._below_ms + elapsed_ms, 0.0
            if self._below_ms >= self.grace_ms:
                self._below_ms = 0.0
                highest = Step.NARROW if is_spared else Step.CUT
                self.step = max(self.step, min(highest, Step(min(self.step + 1, Step.CUT))))
        else:
            weight = 1.0 if bytes_per_second >= least * RECOVERY_FACTOR else NEAR_MINIMUM_WEIGHT
            self._above_ms, self._below_ms = self._above_ms + elapsed_ms * weight, 0.0
            if self._above_ms >= self.grace_ms and self.step is not Step.CUT:
                self._above_ms = 0.0
                self.step = Step(max(Step.FREE, self.step - 1))
        return self.step


def is_network_slow(slow: int, waited_for: int, since_good_ms: float, window_ms: float) -> bool:
    """Return whether the network or this process is slow, rather than the slow peers themselves.

    That is so if most of the peers that data waits for are slow, and no peer at all has transferred at a good
    rate for a window. Many slow peers beside a good one are only many slow peers.

    Args:
        slow: Number of slow peers.
        waited_for: Number of peers that data waits for.
        since_good_ms: Time since any peer transferred at a good rate, ms.
        window_ms: The window, ms.
    """
    return (
        waited_for >= MIN_PEERS_FOR_FRACTION
        and slow > waited_for * NETWORK_SLOW_FRACTION
        and since_good_ms >= window_ms
    )


def keeps_connection(
    network_slow: bool, scarce: float, is_heaviest: bool, since_cut_ms: float, grace_ms: float
) -> bool:
    """Return whether a slow peer keeps its connection because the network is slow.

    While the network is slow, no peer is cut unless memory is scarce. Then only the peer that
    occupies the most memory is cut, one in each grace period, so that the other peers get memory
    without all of them being cut.

    Args:
        network_slow: The network is slow, as `is_network_slow` decides.
        scarce: Scarcity of memory, 0 to 1.
        is_heaviest: No other peer occupies more memory.
        since_cut_ms: Time since a peer was last cut, ms.
        grace_ms: The grace period, ms.
    """
    return network_slow and not (scarce > 0.0 and is_heaviest and since_cut_ms >= grace_ms)


class RecentCuts:
    """Peers that were cut recently, by host and name, so that reconnecting does not reset their record.

    Attributes:
        retention_ms: Time for which a cut is remembered, ms.
        max_entries: Maximum number of remembered peers; beyond it the oldest are forgotten first.
    """

    def __init__(self, retention_ms: float, max_entries: int = 4096) -> None:
        """Args: `retention_ms`: how long a cut is remembered; `max_entries`: bound on memory."""
        self.retention_ms, self.max_entries = retention_ms, max_entries
        self._cut_at_ms: dict[tuple[str, str], float] = {}

    def cut(self, peer: tuple[str, str], now_ms: float) -> None:
        """Remember that the peer was cut now."""
        if len(self._cut_at_ms) >= self.max_entries:
            self._cut_at_ms = {
                one: at for one, at in self._cut_at_ms.items() if now_ms - at < self.retention_ms
            }
            for one in [*self._cut_at_ms][: max(0, len(self._cut_at_ms) - self.max_entries + 1)]:
                del self._cut_at_ms[one]
        self._cut_at_ms.pop(peer, None)
        self._cut_at_ms[peer] = now_ms

    def grace(self, peer: tuple[str, str], now_ms: float, usual_ms: float) -> float:
        """Return the grace period of a peer, ms: half of the usual one if the peer was cut recently."""
        at = self._cut_at_ms.get(peer)
        return usual_ms / 2.0 if at is not None and now_ms - at < self.retention_ms else usual_ms
