"""Collects the events of one event-loop iteration into one scheduler round and carries out its decisions.

`Rounds` implements the scheduler's `DecisionSink`: decisions are queued while the scheduler runs, and are
carried out in order after it has returned. Times are the event loop's clock in ms, read once a round.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import Protocol

from cherrygrade.inflight import InflightAttempt, InflightRequest
from cherrygrade.scheduling.model import Attempt, Node, Outcome, Request
from cherrygrade.scheduling.round_inputs import RoundInputs
from cherrygrade.scheduling.scheduler import Scheduler


class Carrier(Protocol):
    """Carries out the scheduler's decisions: network I/O and final answers."""

    def send_attempt(self, attempt: InflightAttempt, limit_ms: float) -> None:
        """Send an attempt to its node. `limit_ms`: time that the scheduler allows it."""

    def cancel_attempt(self, attempt: InflightAttempt) -> None:
        """Stop waiting for an attempt and tell its node so."""

    def answer_ok(self, request: InflightRequest, attempt: InflightAttempt) -> None:
        """Answer a request with the result of its successful attempt."""

    def answer_rejected(self, request: InflightRequest, retry_after_ms: float) -> None:
        """Answer that a request has not run and may be sent again after `retry_after_ms`."""

    def answer_errored(self, request: InflightRequest) -> None:
        """Answer that a request failed; it may have run on a node."""

    def request_endpoint_list(self, push: bool) -> None:
        """Request the complete endpoint list. `push`: subscribe to its changes too."""

    def send_gossip(self, peer: int | None, payload: bytes) -> None:
        """Send a gossip message to the dispatcher with the number `peer`, or to all if it is None."""

    def before_round(self, now: float) -> None:
        """Called at the start of each round, before its inputs are given to the scheduler."""


class Rounds:
    """Runs the scheduler's rounds for one dispatcher.

    Attributes:
        inputs: the events received since the last round.
        now: start of the current or last round, ms.
        count: rounds run so far.
        scheduler: makes the decisions.
    """

    def __init__(
        self,
        scheduler: Scheduler,
        carrier: Carrier,
        crashed: Callable[[Exception, str], None],
        log: Callable[[str], None],
    ) -> None:
        """Create the rounds; the event loop must be running.

        Args:
            scheduler: makes the decisions.
            carrier: carries them out.
            crashed: called with the exception and a summary of the round if the scheduler raises.
            log: receives the scheduler's log lines.
        """
        self.inputs = RoundInputs()
        self.now = 0.0
        self.count = 0
        self.scheduler, self._carrier, self._crashed, self._log = scheduler, carrier, crashed, log
        self._loop = asyncio.get_running_loop()
        self._time = self._loop.time
        self._is_scheduled = self._is_stopped = self._is_deciding = False
        self._iteration_ms = 0.0
        # Decisions of the current round; emptied when they are carried out.
        self._decisions: list[tuple[Callable[..., None], tuple[object, ...]]] = []
        # Requests that succeeded since the last round; emptied by each round.
        self._successes: list[tuple[InflightRequest, InflightAttempt]] = []

    def clock(self) -> float:
        """Return the current time in ms.

        It is read once for all events of one event-loop iteration, and once more for the round that follows.
        """
        return self._iteration_ms if self._is_scheduled or self._is_deciding else self._time() * 1000.0

    def clock_now(self) -> float:
        """Read the clock anew, in ms: in a long event-loop iteration `clock` is behind the real time."""
        return self._time() * 1000.0

    def schedule_round(self) -> None:
        """Run a round once the event loop has delivered the events that are pending; idempotent."""
        if not (self._is_scheduled or self._is_stopped):
            self._iteration_ms = self.clock()
            self._is_scheduled = True
            self._loop.call_soon(self._round)

    def stop(self) -> None:
        """Run no further round; requests that have succeeded already are answered now."""
        self._is_stopped = True
        successes, self._successes = self._successes, []
        for request, attempt in successes:
            self._carrier.answer_ok(request, attempt)

    def submit(self, request: InflightRequest) -> None:
        """Hand a request to the next round."""
        self.inputs.arrivals.append(request)
        self.schedule_round()

    def abandon(self, request: InflightRequest) -> None:
        """Withdraw a request whose client no longer wants the answer."""
        if not request.finished:
            request.finished = True
            self.inputs.cancellations.append(request)
            self.schedule_round()

    def receive_gossip(self, peer: int, payload: bytes) -> None:
        """Hand a gossip message from the dispatcher with the number `peer` to the next round."""
        self.inputs.gossip.append((peer, payload))
        self.schedule_round()

    def record_response(self, attempt: InflightAttempt) -> None:
        """Hand to the next round that the node is done with an attempt whose outcome is not certain yet.

        The node's slot is free from then on, and the latency of the attempt ends here. A round is run for it
        only if a request waits for the slot.
        """
        attempt.response_ms = self.clock()
        self.inputs.responses.append(attempt)
        if self.scheduler.placement.has_waiting(attempt.node):
            self.schedule_round()

    def record_outcome(
        self, attempt: InflightAttempt, outcome: Outcome, body: bytearray | memoryview | None = None
    ) -> None:
        """Hand the outcome of an attempt to the next round.

        Only the first outcome of an attempt counts. The caller has removed the attempt from its own tables.
        """
        if attempt.outcome is not None:
            return
        request, now = attempt.request, self.clock()
        assert isinstance(request, InflightRequest)
        attempt.latency_ms = (attempt.response_ms or now) - attempt.sent_ms
        if outcome is Outcome.OK and not request.finished:
            if now >= request.deadline_ms:  # the answer would reach the client after its deadline
                outcome = Outcome.TIMED_OUT
            else:
                request.finished = True
                if body is not None:
                    request.body = body
                self._successes.append((request, attempt))
        attempt.outcome = outcome
        self.inputs.outcomes.append(attempt)
        self.schedule_round()

    def _round(self) -> None:
        if self._is_stopped:
            return
        self.now = self._iteration_ms = self.clock_now()
        self.count += 1
        self._is_deciding = True
        try:
            self._carrier.before_round(self.now)  # its outcomes belong to this round and schedule no other
        finally:
            self._is_scheduled = False
        try:
            self._decide()
        finally:
            self._is_deciding = False

    def _decide(self) -> None:
        successes, self._successes = self._successes, []
        try:
            self.inputs.decide(self.scheduler, self.now, self)
        except Exception as error:  # a scheduler fault: none of this round's decisions is carried out
            self._is_stopped = True
            inputs = self.inputs
            summary = (
                f"round {self.count} at {self.now:.3f} ms: {len(inputs.arrivals)} arrivals, "
                f"{len(inputs.outcomes)} outcomes, {len(inputs.cancellations)} cancellations, "
                f"{len(inputs.endpoint_changes)} endpoint changes"
            )
            for request, attempt in successes:
                self._carrier.answer_ok(request, attempt)
            self._crashed(error, summary)
            return
        for request, attempt in successes:
            self._carrier.answer_ok(request, attempt)
        decisions, self._decisions = self._decisions, []
        for act, arguments in decisions:
            act(*arguments)

    # The scheduler's DecisionSink.

    def send(self, request: Request, node: Node, limit_ms: float) -> Attempt:
        """Queue a new attempt of a request to a node; it is sent when the round is over."""
        attempt = InflightAttempt(request=request, node=node, number=len(request.attempts), sent_ms=self.now)
        request.attempts.append(attempt)
        self._decisions.append((self._carrier.send_attempt, (attempt, limit_ms)))
        return attempt

    def cancel(self, attempt: Attempt) -> None:
        """Queue the cancellation of an attempt."""
        self._decisions.append((self._carrier.cancel_attempt, (attempt,)))

    def reject(self, request: Request, retry_after_ms: float) -> None:
        """Queue a rejection: the request has not run; its client may retry after `retry_after_ms`."""
        request.finished = True
        self._decisions.append((self._carrier.answer_rejected, (request, retry_after_ms)))

    def fail(self, request: Request) -> None:
        """Queue an error answer: the request may have run."""
        request.finished = True
        self._decisions.append((self._carrier.answer_errored, (request,)))

    def wake(self, after_ms: float) -> None:
        """Run a round after `after_ms` even if no event comes."""
        self._loop.call_later(after_ms / 1000.0, self.schedule_round)

    def subscribe(self) -> None:
        """Queue a request for the endpoint list and its changes."""
        self._decisions.append((self._carrier.request_endpoint_list, (True,)))

    def fetch(self) -> None:
        """Queue a request for the endpoint list as it is now."""
        self._decisions.append((self._carrier.request_endpoint_list, (False,)))

    def check_health(self, node: Node) -> None:
        """Log only: this process makes no health checks of storage nodes."""
        self._log(f"health check of {node.address} ignored: this dispatcher makes no health checks")

    def release(self, node: Node) -> None:
        """Log only: connections to a node are closed by their idle time-out."""
        self._log(f"release of {node.address} ignored: idle connections are closed by their time-out")

    def send_gossip(self, peer: int | None, payload: bytes) -> None:
        """Queue a gossip message to the dispatcher with the number `peer`, or to all if it is None."""
        self._decisions.append((self._carrier.send_gossip, (peer, payload)))

    def log(self, text: str) -> None:
        """Write a log line of the scheduler at once."""
        self._log(text)
