"""Reads the bench's lines, maps identifiers to objects, and hosts one scheduler per instance.

Identifiers of the protocol are used in this module only. It takes no decisions.
"""

from __future__ import annotations

import base64
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import TextIO

from cherrygrade.scheduling.model import ANY_SHARD, Attempt, Node, Request
from cherrygrade.scheduling.round_inputs import NodeTable, RoundInputs
from cherrygrade.scheduling.scheduler import Scheduler
from cherrygrade.scheduling.start_settings import StartSettings, flag
from cherrygrade.wirehost.codec import (
    NODE_STATES,
    OUTCOMES,
    load_report,
    ms,
    number,
    seconds,
)


class MalformedLineError(Exception):
    """A line that does not conform to the protocol."""


class InstanceWriter:
    """Writes the decisions of one instance as lines, in the order in which they are made.

    It implements `DecisionSink`.

    Attributes:
        name: name of the instance.
        now: time of the round, ms.
        finished_ids: ids of the requests that were given their final answer in this round.
    """

    def __init__(self, name: str, lines: list[str]) -> None:
        self.name = name
        self.now = 0.0
        self.finished_ids: set[str] = set()
        self._lines = lines

    def _write(self, *parts: str) -> None:
        self._lines.append("\t".join((parts[0], self.name, *parts[1:])))

    def send(self, request: Request, node: Node, limit_ms: float) -> Attempt:
        """Start an attempt that may take up to `limit_ms`."""
        attempt = Attempt(request=request, node=node, number=len(request.attempts), sent_ms=self.now)
        request.attempts.append(attempt)
        self._write("ROUTE", request.id, seconds(limit_ms), node.address)
        return attempt

    def cancel(self, attempt: Attempt) -> None:
        """Cancel an attempt."""
        self._write("RECALL", attempt.request.id, str(attempt.number))

    def reject(self, request: Request, retry_after_ms: float) -> None:
        """Give the final answer that the request was rejected and may be retried."""
        request.finished = True
        self.finished_ids.add(request.id)
        self._write("DENY", request.id, seconds(retry_after_ms))

    def fail(self, request: Request) -> None:
        """Give the final answer that the request failed, and may have taken effect."""
        request.finished = True
        self.finished_ids.add(request.id)
        self._write("ABORT", request.id)

    def wake(self, after_ms: float) -> None:
        """Request a round after `after_ms`."""
        self._write("SCHEDULE", seconds(after_ms), "0")

    def check_health(self, node: Node) -> None:
        """Send a health check to the node."""
        self._write("POLL", node.address)

    def release(self, node: Node) -> None:
        """Close idle connections to the node."""
        self._write("RELEASE", node.address)

    def subscribe(self) -> None:
        """Poll for the endpoint list and subscribe to its changes."""
        self._write("KEEP_INFORMED", "1")

    def fetch(self) -> None:
        """Poll for the endpoint list once."""
        self._write("PULL")

    def send_gossip(self, peer: int | None, payload: bytes) -> None:
        """Send a load report message to one dispatcher; None: to all."""
        self._write("BROADCAST_TO", "all" if peer is None else str(peer), base64.b64encode(payload).decode())

    def log(self, text: str) -> None:
        """Write a line to the bench's journal."""
        self._write("JOURNAL_LINE", " ".join(text.split()))


@dataclass
class Instance:
    """A dispatcher that the bench started.

    Attributes:
        writer: writes the decisions.
        scheduler: the scheduler of the dispatcher.
        settings: the settings of the start message.
        requests: requests by id; removed once they are finished and have no attempt in flight.
        nodes: the nodes that an endpoint list named to the instance.
        inputs: inputs of the next round.
        ended_ids: ids of the requests that an input of this batch may have ended.
        has_input: whether a line of this batch was addressed to the instance.
    """

    writer: InstanceWriter
    scheduler: Scheduler
    settings: StartSettings
    requests: dict[str, Request] = field(default_factory=dict)
    nodes: NodeTable = field(default_factory=NodeTable)
    inputs: RoundInputs = field(default_factory=RoundInputs)
    ended_ids: set[str] = field(default_factory=set)
    has_input: bool = False

    def __post_init__(self) -> None:
        self.workloads = self.settings.workloads()
        self.plans = self.settings.plans()

    def decide(self, now: float) -> None:
        """Run a round at `now` (ms)."""
        self.inputs.decide(self.scheduler, now, self.writer)
        self._forget_ended()
        self.ended_ids.clear()
        self.has_input = False

    def _forget_ended(self) -> None:
        """Remove the requests that no further line can name."""
        for request_id in self.ended_ids | self.writer.finished_ids:
            request = self.requests.get(request_id)
            if request is None or not request.finished:
                continue
            if all(attempt.outcome for attempt in request.attempts):
                del self.requests[request_id]
        self.writer.finished_ids.clear()


Fields = list[str]
"""The tab-separated fields of a line; the first one is the name of the line."""

MAX_FIELDS = 14
"""Number of fields that the line of an event is filled up to."""

SERVER_FIELDS = 8
"""Number of fields that the line of a server in an endpoint list is filled up to."""

MAX_QUOTED = 400
"""Number of characters of a malformed line that an error shows."""


def _ignored(fields: Fields) -> None:
    """Ignore a line that carries nothing that the scheduler uses."""


class Host:
    """Reads the lines of the bench, and answers each batch of them with decisions."""

    def __init__(self, out: TextIO) -> None:
        self._out = out
        self._lines: list[str] = []
        self._instances: dict[str, Instance] = {}
        self._lists: dict[str, list[Fields]] = {}
        self._now: float | None = None
        self._list: list[Fields] = []
        self._missing_servers = 0
        self._with_input: list[Instance] = []
        self._events: dict[str, Callable[[Fields], None]] = {
            "INCOMING": self._on_incoming,
            "COMPLETED": self._on_completed,
            "HEADERS": _ignored,
            "CANCELLED_BY_CLIENT": self._on_cancelled,
            "DEADLINE_HIT": _ignored,
            "ANNOUNCE": self._on_announce,
            "SAMPLED": _ignored,
            "NOTE_FROM": self._on_note,
        }

    def read(self, line: str) -> None:
        """Read one line, given without its line end.

        Raises:
            MalformedLineError: The line does not conform to the protocol.
        """
        if not line:
            return
        try:
            self._read_fields(line.split("\t"))
        except (KeyError, IndexError, ValueError) as error:
            reason = str(error) if isinstance(error, MalformedLineError) else type(error).__name__
            raise MalformedLineError(f"malformed line ({reason}): {line[:MAX_QUOTED]}") from error

    def _read_fields(self, fields: Fields) -> None:
        name = fields[0]
        if name == "MARK":
            self._now = ms(fields[1])
            return
        if self._now is None:
            raise ValueError("expected MARK to begin a batch")
        if self._missing_servers:
            self._read_server(fields)
        elif name == "SHEET":
            self._list = self._lists[fields[1]] = []
            self._missing_servers = int(number(fields[2]))
        elif name == "YOUR_TURN":
            self._reply(self._now)
        elif name == "BORN":
            self._on_born(fields)
        elif name == "DETACH":
            self._instances.pop(fields[1], None)
        else:
            self._read_event(fields)

    def _read_server(self, fields: Fields) -> None:
        if fields[0] != "SERVER":
            raise ValueError("expected a SERVER line of an unfinished list")
        self._list.append(fields[1:] + ["-"] * (SERVER_FIELDS - len(fields)))
        self._missing_servers -= 1

    def _read_event(self, fields: Fields) -> None:
        event = self._events[fields[0]]
        instance = self._instances.get(fields[1])
        if instance is not None:
            self._mark_input(instance)
            event(fields + ["-"] * (MAX_FIELDS - len(fields)))

    def _reply(self, now: float) -> None:
        """End a batch: run a round of each instance that had input, and write all decisions."""
        for instance in self._with_input:
            name = instance.writer.name
            if self._instances.get(name) is not instance:  # detached later in the same batch
                continue
            instance.writer.now = now
            try:
                instance.decide(now)
            except Exception as error:
                text = " ".join(f"{type(error).__name__}: {error}".split())
                self._lines.append(f"BAIL_OUT\t{name}\t{text}")
        self._with_input.clear()
        self._lines.append("OK\n")
        self._out.write("\n".join(self._lines))
        self._out.flush()
        self._lines.clear()
        self._now = None

    def _mark_input(self, instance: Instance) -> None:
        if not instance.has_input:
            instance.has_input = True
            self._with_input.append(instance)

    def _on_born(self, fields: Fields) -> None:
        name = fields[1]
        settings = StartSettings(fields[3:])
        scheduler = settings.create_scheduler(Scheduler, int(number(fields[2])))
        writer = InstanceWriter(name, self._lines)
        instance = Instance(writer=writer, scheduler=scheduler, settings=settings)
        self._instances[name] = instance
        self._mark_input(instance)

    def _on_incoming(self, fields: Fields) -> None:
        name, request_id, retry, workload, deadline, update, owner, plan, hosts, extent, shard, units = (
            fields[1:13]
        )
        instance = self._instances[name]
        request = Request(
            workload=instance.workloads.get(workload),
            plan=instance.plans.get(plan),
            volume=owner,
            dispatchers=max(1, int(number(hosts))),
            key="" if extent == "-" else extent,
            shard=ANY_SHARD if shard == "-" else int(shard),
            units=number(units),
            deadline_ms=ms(deadline),
            is_write=flag(update),
            is_retry=flag(retry),
            id=request_id,
        )
        instance.requests[request_id] = request
        instance.inputs.arrivals.append(request)

    def _on_completed(self, fields: Fields) -> None:
        (_, name, request_id, _, latency, usage, elsewhere, terminal, index, code, load) = fields[:11]
        instance = self._instances[name]
        request = instance.requests[request_id]
        attempt = request.attempts[int(number(index))]
        attempt.outcome = OUTCOMES[code]
        attempt.latency_ms = ms(latency)
        attempt.plan_use = (number(usage) - 1.0) / 100.0 if number(usage) >= 1.0 else None
        attempt.units_elsewhere = number(elsewhere)
        attempt.load_report = load_report(load)
        request.finished = request.finished or flag(terminal)
        instance.inputs.outcomes.append(attempt)
        instance.ended_ids.add(request_id)

    def _on_cancelled(self, fields: Fields) -> None:
        instance = self._instances[fields[1]]
        request = instance.requests.get(fields[2])
        if request is not None and not request.finished:
            request.finished = True
            instance.inputs.cancellations.append(request)
            instance.ended_ids.add(request.id)

    def _on_announce(self, fields: Fields) -> None:
        instance = self._instances[fields[1]]
        mode = fields[2]
        if mode == LIST_FAILED:
            instance.inputs.endpoint_list_received = False
            return
        if mode not in (LIST_CHANGES, LIST_FETCHED, LIST_COMPLETE):
            raise ValueError(f"expected list mode D, F, C or X, got {mode}")
        if mode != LIST_COMPLETE:
            instance.inputs.endpoint_list_received = True
        listed = [_listed_node(instance.nodes, entry) for entry in self._lists[fields[3]]]
        instance.inputs.endpoint_changes += instance.nodes.apply_list(
            listed, is_complete=mode != LIST_CHANGES
        )

    def _on_note(self, fields: Fields) -> None:
        payload = b"" if fields[3] == "-" else base64.b64decode(fields[3])
        self._instances[fields[1]].inputs.gossip.append((int(number(fields[2])), payload))


LIST_CHANGES = "D"
"""Mode of an announced list that names only the nodes that changed."""

LIST_FETCHED = "F"
"""Mode of an announced list that answers a poll."""

LIST_COMPLETE = "C"
"""Mode of an announced list that is complete and answers no poll."""

LIST_FAILED = "X"
"""Mode that announces that a poll failed."""


def _listed_node(nodes: NodeTable, entry: Fields) -> Node:
    """Return the node of a list entry, updated from the entry."""
    address, zone, kind, shard, health, size, started = entry[:7]
    node = nodes.node(address)
    node.zone = zone
    node.kind = kind
    node.shard = int(number(shard))
    node.state = NODE_STATES[health]
    node.size = number(size)
    node.started_ms = ms(started)
    return node
