"""How long a node takes: the work of one unit, and the waiting in front of it.

A request's answer is expected after the waiting at the node plus its units times the work of one unit. Both
come from this dispatcher's own answers, or from the dispatcher that aggregates the reports of all of them.
"""

from __future__ import annotations

from cherrygrade.scheduling.timing import NEVER_MS

REPORT_VALID_MS = 3000.0
"""How long an aggregated report stands for what is observed here."""

RARE_ANSWERS_MS = 500.0
"""Answers further apart than this are rare: the newest then counts nearly alone."""

FADE_INTERVAL_MS = 200.0
FADE = 0.8
"""What is left of an observed waiting after one interval without any sign of it."""

USUAL_WEIGHT = 0.2
"""Weight of a new observation of waiting while answers are frequent."""

WAITING_GROWTH = 4.0
WAITING_GROWTH_MS = 50.0
"""Bounds on one observation: so many times the present estimate, and so much more."""

MUCH_QUICKER = 2.0
"""An answer this many times quicker than the estimate is followed in a large step."""

LARGE_STEP_DOWN = 0.7
STEP_DOWN = 0.98
STEP_UP = 1.002
"""Steps of the work of a unit: down quickly and up slowly, so that it tracks a low quantile of the
answers."""

MAX_STEPS = 5.0
"""Steps that one answer may stand for where answers are rare."""

MEAN_ANSWER_WEIGHT = 0.01
MIN_UNITS = 1e-6


class SharedLatency:
    """What the answers of all nodes tell of a unit of work.

    Attributes:
        unit_ms: work of one unit, 0 before the first answer; the start for a node without answers.
        mean_answer_ms: mean time to an answer a unit.
        quietest_answer_ms: the least that the mean was; it bounds what a node that warms up is known to bear.
    """

    def __init__(self, tightest_objective_ms: float) -> None:
        self.unit_ms = 0.0
        self.mean_answer_ms = tightest_objective_ms
        self.quietest_answer_ms = tightest_objective_ms

    def observe(self, ms_per_unit: float) -> None:
        """An attempt was answered after so long a unit."""
        self.mean_answer_ms += MEAN_ANSWER_WEIGHT * (ms_per_unit - self.mean_answer_ms)
        self.quietest_answer_ms = min(self.quietest_answer_ms, self.mean_answer_ms)
        self.unit_ms = _followed(self.unit_ms or ms_per_unit, ms_per_unit, 1.0)


class LatencyEstimate:
    """What one node takes.

    Attributes:
        unit_ms: work of one unit at this node, 0 before its first answer.
        waiting_ms: waiting at the node in front of a new attempt; never below 0.
        reported_at_ms: when the newest aggregated report was received.
    """

    def __init__(self, shared: SharedLatency) -> None:
        self.shared = shared
        self.unit_ms = 0.0
        self.waiting_ms = 0.0
        self.reported_at_ms = -NEVER_MS

    def is_reported(self, now: float) -> bool:
        """Whether an aggregated report stands for what is observed here."""
        return now < self.reported_at_ms + REPORT_VALID_MS

    def expected_ms(self, units: float) -> float:
        """Time to the answer of an attempt that starts now."""
        return self.waiting_ms + units * (self.unit_ms or self.shared.unit_ms)

    def receive_report(self, now: float, waiting_ms: float, unit_ms: float) -> None:
        """Take over what an aggregator reports; `unit_ms` 0 reports no work of a unit."""
        self.waiting_ms = waiting_ms
        self.reported_at_ms = now
        self.unit_ms = unit_ms or self.unit_ms

    def fade(self, intervals: int) -> None:
        """Nothing tells of the waiting any more: let it fade."""
        self.waiting_ms *= FADE**intervals

    def observe_unanswered(self, waited_ms: float, units: float) -> None:
        """An attempt has been out for so long without an answer."""
        self.waiting_ms = max(self.waiting_ms, waited_ms - units * self.unit_ms)

    def observe_work(self, ms_per_unit: float, silent_ms: float, now: float) -> None:
        """An attempt succeeded after so long a unit, `silent_ms` after the node's answer before it."""
        self.shared.observe(ms_per_unit)
        if self.is_reported(now):
            return
        # A node that answers rarely would take a first long wait for its work: it starts from all nodes'.
        unit_ms = self.unit_ms or self.shared.unit_ms or ms_per_unit
        steps = min(MAX_STEPS, 1.0 + silent_ms / FADE_INTERVAL_MS)
        self.unit_ms = _followed(unit_ms, ms_per_unit, steps)

    def observe_waiting(self, waited_ms: float, silent_ms: float, now: float) -> None:
        """An attempt waited so long at the node, `silent_ms` after the node's answer before it."""
        if self.is_reported(now):
            return
        if silent_ms < RARE_ANSWERS_MS:
            weight = USUAL_WEIGHT
        else:
            weight = 1.0 - FADE ** (1.0 + silent_ms / FADE_INTERVAL_MS)
        bounded = min(waited_ms, WAITING_GROWTH * self.waiting_ms + WAITING_GROWTH_MS + silent_ms)
        self.waiting_ms += weight * (bounded - self.waiting_ms)


def _followed(unit_ms: float, ms_per_unit: float, steps: float) -> float:
    """The estimate moved towards an answer."""
    if MUCH_QUICKER * ms_per_unit < unit_ms:
        return unit_ms * LARGE_STEP_DOWN
    if ms_per_unit <= unit_ms:
        down: float = STEP_DOWN**steps
        return unit_ms * down
    up: float = STEP_UP**steps
    return unit_ms * up
