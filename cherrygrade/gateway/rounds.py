"""Rounds: all that the event loop delivered in one turn becomes one call of the module, and what the module
wrote is carried out after that call, in order.

`Rounds` is the `Writer`. One clock reading a round; times are the event loop's, in ms.
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
    """Who carries out what was decided."""

    def send_attempt(self, out: InflightAttempt, limit_ms: float) -> None: ...

    def cancel_attempt(self, out: InflightAttempt) -> None: ...

    def answer_ok(self, held: InflightRequest, out: InflightAttempt) -> None: ...

    def answer_rejected(self, held: InflightRequest, come_back_ms: float) -> None: ...

    def answer_errored(self, held: InflightRequest) -> None: ...

    def request_endpoint_list(self, push: bool) -> None: ...

    def send_gossip(self, peer: int | None, payload: bytes) -> None: ...

    def before_round(self, now: float) -> None: ...


class Rounds:
    def __init__(
        self,
        dispatcher: Scheduler,
        carrier: Carrier,
        crashed: Callable[[Exception, str], None],
        log: Callable[[str], None],
    ) -> None:
        self.inputs = RoundInputs()
        self.now = 0.0
        self.count = 0
        self.scheduler, self._carrier, self._crashed, self._log = dispatcher, carrier, crashed, log
        self._loop = asyncio.get_running_loop()
        self._time = self._loop.time
        self._stirred = self._ended = self._deciding = False
        self._turn = 0.0
        self._todo: list[tuple[Callable[..., None], tuple[object, ...]]] = []  # emptied by each round
        self._oks: list[tuple[InflightRequest, InflightAttempt]] = []  # emptied by each round

    def clock(self) -> float:
        """Read once for all that one turn of the event loop brings, and once for its round."""
        return self._turn if self._stirred or self._deciding else self._time() * 1000.0

    def clock_now(self) -> float:
        """Read anew, ms: within a turn that was held up, `clock` is older than what leaves at its end."""
        return self._time() * 1000.0

    def schedule_round(self) -> None:
        """Something came in: a round runs once the event loop has delivered what else it holds."""
        if not (self._stirred or self._ended):
            self._turn = self.clock()
            self._stirred = True
            self._loop.call_soon(self._round)

    def stop(self) -> None:
        """No round runs any more; answers that came for the next one go out."""
        self._ended = True
        oks, self._oks = self._oks, []
        for held, out in oks:
            self._carrier.answer_ok(held, out)

    def submit(self, held: InflightRequest) -> None:
        self.inputs.arrivals.append(held)
        self.schedule_round()

    def abandon(self, held: InflightRequest) -> None:
        """The client does not want the answer any more."""
        if not held.finished:
            held.finished = True
            self.inputs.cancellations.append(held)
            self.schedule_round()

    def receive_gossip(self, peer: int, payload: bytes) -> None:
        """A word of another dispatcher came."""
        self.inputs.gossip.append((peer, payload))
        self.schedule_round()

    def record_outcome(
        self, out: InflightAttempt, outcome: Outcome, body: bytearray | memoryview | None = None
    ) -> None:
        """A send ended. The first word counts; the caller has let go of it everywhere else."""
        if out.outcome is not None:
            return
        held, now = out.request, self.clock()
        assert isinstance(held, InflightRequest)
        out.latency_ms = now - out.sent_ms
        if outcome is Outcome.OK and not held.finished:
            if now >= held.deadline_ms:  # it would come after the client's time is up
                outcome = Outcome.TIMED_OUT
            else:
                held.finished = True
                if body is not None:
                    held.body = body
                self._oks.append((held, out))
        out.outcome = outcome
        self.inputs.outcomes.append(out)
        self.schedule_round()

    def _round(self) -> None:
        self._stirred = False
        if self._ended:
            return
        self.now = self._turn = self.clock()
        self.count += 1
        self._deciding = True
        try:
            self._decide()
        finally:
            self._deciding = False

    def _decide(self) -> None:
        self._carrier.before_round(self.now)
        oks, self._oks = self._oks, []
        try:
            self.inputs.decide(self.scheduler, self.now, self)
        except Exception as trouble:  # the module's fault: nothing it wrote in this round can be trusted
            self._ended = True
            inputs = self.inputs
            told = (
                f"round {self.count} at {self.now:.3f} ms: {len(inputs.arrivals)} taken, "
                f"{len(inputs.outcomes)} answers, {len(inputs.cancellations)} left, "
                f"{len(inputs.endpoint_changes)} heard"
            )
            for held, out in oks:
                self._carrier.answer_ok(held, out)
            self._crashed(trouble, told)
            return
        for held, out in oks:
            self._carrier.answer_ok(held, out)
        todo, self._todo = self._todo, []
        for act, parts in todo:
            act(*parts)

    # The writer.

    def send(self, rpc: Request, node: Node, limit_ms: float) -> Attempt:
        out = InflightAttempt(request=rpc, node=node, number=len(rpc.attempts), sent_ms=self.now)
        rpc.attempts.append(out)
        self._todo.append((self._carrier.send_attempt, (out, limit_ms)))
        return out

    def cancel(self, send: Attempt) -> None:
        self._todo.append((self._carrier.cancel_attempt, (send,)))

    def reject(self, rpc: Request, come_back_ms: float) -> None:
        rpc.finished = True
        self._todo.append((self._carrier.answer_rejected, (rpc, come_back_ms)))

    def fail(self, request: Request) -> None:
        request.finished = True
        self._todo.append((self._carrier.answer_errored, (request,)))

    def wake(self, after_ms: float) -> None:
        self._loop.call_later(after_ms / 1000.0, self.schedule_round)

    def subscribe(self) -> None:
        self._todo.append((self._carrier.request_endpoint_list, (True,)))

    def fetch(self) -> None:
        self._todo.append((self._carrier.request_endpoint_list, (False,)))

    def check_health(self, node: Node) -> None:
        self._log(f"probe of {node.address} passed over: this gateway has none")

    def release(self, node: Node) -> None:
        self._log(f"release of {node.address} passed over: idle connections close by themselves")

    def send_gossip(self, peer: int | None, payload: bytes) -> None:
        self._todo.append((self._carrier.send_gossip, (peer, payload)))

    def log(self, text: str) -> None:
        self._log(text)
