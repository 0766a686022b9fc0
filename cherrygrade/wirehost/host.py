"""Reads the bench's lines, maps ids to objects, and hosts one scheduler an instance.

Ids are known here only. No decisions.
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
    """A line that the protocol does not allow."""


class InstanceWriter:
    """Writes one instance's decisions as lines, in the order they are made; see `DecisionSink`.

    Attributes:
        who: the instance's name.
        now: time of the round, ms.
        ended: ids of requests that got their final answer in this round.
    """

    def __init__(self, who: str, lines: list[str]) -> None:
        self.who = who
        self.now = 0.0
        self.ended: set[str] = set()
        self._lines = lines

    def _write(self, *parts: str) -> None:
        self._lines.append("\t".join((parts[0], self.who, *parts[1:])))

    def send(self, request: Request, node: Node, limit_ms: float) -> Attempt:
        """Start an attempt that may take so long."""
        attempt = Attempt(request=request, node=node, number=len(request.attempts), sent_ms=self.now)
        request.attempts.append(attempt)
        self._write("ROUTE", request.id, seconds(limit_ms), node.address)
        return attempt

    def cancel(self, attempt: Attempt) -> None:
        """No answer of this attempt is waited for any more."""
        self._write("RECALL", attempt.request.id, str(attempt.number))

    def reject(self, request: Request, retry_after_ms: float) -> None:
        """Final answer: trying again is harmless."""
        request.finished = True
        self.ended.add(request.id)
        self._write("DENY", request.id, seconds(retry_after_ms))

    def fail(self, request: Request) -> None:
        """Final answer: the request may have run."""
        request.finished = True
        self.ended.add(request.id)
        self._write("ABORT", request.id)

    def wake(self, after_ms: float) -> None:
        """Call again after so long."""
        self._write("SCHEDULE", seconds(after_ms), "0")

    def check_health(self, node: Node) -> None:
        """Send a health check."""
        self._write("POLL", node.address)

    def release(self, node: Node) -> None:
        """Close idle connections to the node."""
        self._write("RELEASE", node.address)

    def subscribe(self) -> None:
        """Poll for the list, with changes pushed from then on."""
        self._write("KEEP_INFORMED", "1")

    def fetch(self) -> None:
        """Poll for the list once."""
        self._write("PULL")

    def send_gossip(self, peer: int | None, payload: bytes) -> None:
        """Send a message to one dispatcher, or to all."""
        self._write("BROADCAST_TO", "all" if peer is None else str(peer), base64.b64encode(payload).decode())

    def log(self, text: str) -> None:
        """Write a line to the bench's journal."""
        self._write("JOURNAL_LINE", " ".join(text.split()))


@dataclass
class Instance:
    """One dispatcher that the bench started.

    Attributes:
        writer: writes its decisions.
        scheduler: its scheduler.
        settings: its start message.
        requests: requests by id; dropped once finished with no attempt in flight.
        nodes: its nodes, as long as it runs.
        inputs: what came in for its next round.
        ended_ids: ids that a line of this batch may have ended.
        has_input: a line of this batch was for it.
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
        """One round at this time, ms."""
        self.inputs.decide(self.scheduler, now, self.writer)
        self._forget_ended()
        self.ended_ids.clear()
        self.has_input = False

    def _forget_ended(self) -> None:
        """Drop ids that no further line can name."""
        for request_id in self.ended_ids | self.writer.ended:
            request = self.requests.get(request_id)
            if request is None or not request.finished:
                continue
            if all(attempt.outcome for attempt in request.attempts):
                del self.requests[request_id]
        self.writer.ended.clear()


Fields = list[str]
"""The tab-separated fields of a line, its name first."""

MAX_FIELDS = 14
SERVER_FIELDS = 8
MAX_QUOTED = 400
"""Characters of a malformed line that are shown."""


def _ignored(fields: Fields) -> None:
    """A line that tells nothing that is used here."""


class Host:
    """Reads lines of the bench, and answers each batch of them."""

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
        """One line without its end.

        Raises:
            MalformedLineError: the protocol does not allow it.
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
            raise ValueError("line outside a batch")
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
            raise ValueError("list cut short")
        self._list.append(fields[1:] + ["-"] * (SERVER_FIELDS - len(fields)))
        self._missing_servers -= 1

    def _read_event(self, fields: Fields) -> None:
        event = self._events[fields[0]]
        instance = self._instances.get(fields[1])
        if instance is not None:
            self._note_input(instance)
            event(fields + ["-"] * (MAX_FIELDS - len(fields)))

    def _reply(self, now: float) -> None:
        """End of a batch: a round of each instance that had input, then all decisions."""
        for instance in self._with_input:
            who = instance.writer.who
            if self._instances.get(who) is not instance:  # killed later in the same batch
                continue
            instance.writer.now = now
            try:
                instance.decide(now)
            except Exception as error:
                text = " ".join(f"{type(error).__name__}: {error}".split())
                self._lines.append(f"BAIL_OUT\t{who}\t{text}")
        self._with_input.clear()
        self._lines.append("OK\n")
        self._out.write("\n".join(self._lines))
        self._out.flush()
        self._lines.clear()
        self._now = None

    def _note_input(self, instance: Instance) -> None:
        if not instance.has_input:
            instance.has_input = True
            self._with_input.append(instance)

    def _on_born(self, fields: Fields) -> None:
        who = fields[1]
        settings = StartSettings(fields[3:])
        scheduler = settings.create_scheduler(Scheduler, int(number(fields[2])))
        writer = InstanceWriter(who, self._lines)
        instance = Instance(writer=writer, scheduler=scheduler, settings=settings)
        self._instances[who] = instance
        self._note_input(instance)

    def _on_incoming(self, fields: Fields) -> None:
        who, request_id, retry, workload, deadline, update, owner, plan, hosts, extent, shard, units = fields[
            1:13
        ]
        instance = self._instances[who]
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
        (_, who, request_id, _, latency, usage, elsewhere, terminal, attempt_number, code, load) = fields[:11]
        instance = self._instances[who]
        request = instance.requests[request_id]
        attempt = request.attempts[int(number(attempt_number))]
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
            raise ValueError(f"unknown list mode {mode}")
        if mode != LIST_COMPLETE:
            instance.inputs.endpoint_list_received = True
        named = [_listed_node(instance.nodes, entry) for entry in self._lists[fields[3]]]
        instance.inputs.endpoint_changes += instance.nodes.apply_list(named, is_complete=mode != LIST_CHANGES)

    def _on_note(self, fields: Fields) -> None:
        payload = b"" if fields[3] == "-" else base64.b64decode(fields[3])
        self._instances[fields[1]].inputs.gossip.append((int(number(fields[2])), payload))


LIST_CHANGES = "D"
LIST_FETCHED = "F"
LIST_COMPLETE = "C"
LIST_FAILED = "X"
"""Modes of an announced list: what changed, the answer to a poll, a complete list, a poll that failed."""


def _listed_node(nodes: NodeTable, entry: Fields) -> Node:
    """The node of one entry of a list, brought up to date."""
    address, zone, kind, shard, health, size, born = entry[:7]
    node = nodes.node(address)
    node.zone = zone
    node.kind = kind
    node.shard = int(number(shard))
    node.state = NODE_STATES[health]
    node.size = number(size)
    node.started_ms = ms(born)
    return node
