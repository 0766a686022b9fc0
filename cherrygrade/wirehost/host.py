"""Reads the bench's lines, keeps ids and objects apart, and hosts one dispatcher an instance.

Ids are known here only: `Instance.rpcs` loses an RPC once it is over and no send of it is out;
`Instance.nodes` lasts as long as the instance, a node a machine; both go with the instance.
"""

from __future__ import annotations

import base64
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import TextIO

from cherrygrade.scheduling.model import Attempt, Node, Request
from cherrygrade.scheduling.round_inputs import NodeTable, RoundInputs
from cherrygrade.scheduling.scheduler import Scheduler
from cherrygrade.scheduling.start_settings import StartSettings, flag
from cherrygrade.wirehost.codec import (
    OUTCOMES,
    STANDINGS,
    load_report,
    ms,
    number,
    seconds,
)


class MalformedLineError(Exception):
    """A line that the protocol does not allow."""


class InstanceWriter:
    """Writes one instance's decisions as lines, in the order they are made."""

    def __init__(self, who: str, lines: list[str]) -> None:
        self.who = who
        self.now = 0.0
        self.ended: set[str] = set()
        self._lines = lines

    def _write(self, *parts: str) -> None:
        self._lines.append("\t".join((parts[0], self.who, *parts[1:])))

    def send(self, rpc: Request, node: Node, limit_ms: float) -> Attempt:
        send = Attempt(request=rpc, node=node, number=len(rpc.attempts), sent_ms=self.now)
        rpc.attempts.append(send)
        self._write("ROUTE", rpc.id, seconds(limit_ms), node.address)
        return send

    def cancel(self, send: Attempt) -> None:
        self._write("RECALL", send.request.id, str(send.number))

    def reject(self, rpc: Request, come_back_ms: float) -> None:
        rpc.finished = True
        self.ended.add(rpc.id)
        self._write("DENY", rpc.id, seconds(come_back_ms))

    def fail(self, rpc: Request) -> None:
        rpc.finished = True
        self.ended.add(rpc.id)
        self._write("ABORT", rpc.id)

    def wake(self, after_ms: float) -> None:
        self._write("SCHEDULE", seconds(after_ms), "0")

    def probe(self, node: Node) -> None:
        self._write("POLL", node.address)

    def release(self, node: Node) -> None:
        self._write("RELEASE", node.address)

    def subscribe(self) -> None:
        self._write("KEEP_INFORMED", "1")

    def fetch(self) -> None:
        self._write("PULL")

    def send_gossip(self, peer: int | None, payload: bytes) -> None:
        self._write("BROADCAST_TO", "all" if peer is None else str(peer), base64.b64encode(payload).decode())

    def log(self, text: str) -> None:
        self._write("JOURNAL_LINE", " ".join(text.split()))


@dataclass
class Instance:
    writer: InstanceWriter
    dispatcher: Scheduler
    pairs: StartSettings
    rpcs: dict[str, Request] = field(default_factory=dict)
    nodes: NodeTable = field(default_factory=NodeTable)
    inputs: RoundInputs = field(default_factory=RoundInputs)
    touched: set[str] = field(default_factory=set)
    stirred: bool = False
    """Something came in for it in the open batch."""

    def __post_init__(self) -> None:
        self.workloads = self.pairs.workloads()
        self.plans = self.pairs.plans()

    def forget(self) -> None:
        """Empty the id table of what can no longer be named."""
        for xid in self.touched | self.writer.ended:
            rpc = self.rpcs.get(xid)
            if rpc is not None and rpc.finished and all(send.outcome for send in rpc.attempts):
                del self.rpcs[xid]
        self.writer.ended.clear()

    def decide(self, now: float) -> None:
        self.inputs.decide(self.dispatcher, now, self.writer)
        self.forget()
        self.touched.clear()
        self.stirred = False


class Host:
    def __init__(self, out: TextIO) -> None:
        self._out = out
        self._lines: list[str] = []
        self._instances: dict[str, Instance] = {}
        self._lists: dict[str, list[list[str]]] = {}
        self._now: float | None = None
        self._list: list[list[str]] = []
        self._awaited = 0
        self._stirred: list[Instance] = []  # something came in for them in the open batch
        self._events: dict[str, Callable[[list[str]], None]] = {
            "INCOMING": self._incoming,
            "COMPLETED": self._completed,
            "HEADERS": lambda parts: None,  # the ok that follows tells all that is read
            "CANCELLED_BY_CLIENT": self._left,
            "DEADLINE_HIT": lambda parts: None,
            "ANNOUNCE": self._announce,
            "SAMPLED": lambda parts: None,  # nothing is probed
            "NOTE_FROM": self._note,
        }

    def read(self, line: str) -> None:
        if not line:
            return
        parts = line.split("\t")
        try:
            self._take(parts)
        except (KeyError, IndexError, ValueError) as trouble:
            told = str(trouble) if isinstance(trouble, MalformedLineError) else type(trouble).__name__
            raise MalformedLineError(f"malformed line ({told}): {line[:400]}") from trouble

    def _take(self, parts: list[str]) -> None:
        name = parts[0]
        if name == "MARK":
            self._now = ms(parts[1])
            return
        if self._now is None:
            raise ValueError("line outside a batch")
        if self._awaited:
            if name != "SERVER":
                raise ValueError("list cut short")
            self._list.append(parts[1:] + ["-"] * (8 - len(parts)))
            self._awaited -= 1
        elif name == "SHEET":
            self._list = self._lists[parts[1]] = []
            self._awaited = int(number(parts[2]))
        elif name == "YOUR_TURN":
            self._reply()
        elif name == "BORN":
            self._born(parts)
        elif name == "DETACH":
            self._instances.pop(parts[1], None)
        else:
            event = self._events[name]
            instance = self._instances.get(parts[1])
            if instance is not None:
                self._stir(instance)
                event(parts + ["-"] * (14 - len(parts)))

    def _reply(self) -> None:
        assert self._now is not None
        for instance in self._stirred:
            who = instance.writer.who
            if self._instances.get(who) is not instance:  # killed later in the same batch
                continue
            instance.writer.now = self._now
            try:
                instance.decide(self._now)
            except Exception as trouble:
                text = " ".join(f"{type(trouble).__name__}: {trouble}".split())
                self._lines.append(f"BAIL_OUT\t{who}\t{text}")
        self._stirred.clear()
        self._lines.append("OK\n")
        self._out.write("\n".join(self._lines))
        self._out.flush()
        self._lines.clear()
        self._now = None

    def _stir(self, instance: Instance) -> None:
        if not instance.stirred:
            instance.stirred = True
            self._stirred.append(instance)

    def _born(self, parts: list[str]) -> None:
        who = parts[1]
        pairs = StartSettings(parts[3:])
        dispatcher = pairs.dispatcher(Scheduler, int(number(parts[2])))
        writer = InstanceWriter(who, self._lines)
        self._instances[who] = Instance(writer=writer, dispatcher=dispatcher, pairs=pairs)
        self._stir(self._instances[who])

    def _incoming(self, parts: list[str]) -> None:
        who, xid, repeat, workload, give_up, update, owner, policy, hosts, extent, shard, units = parts[1:13]
        instance = self._instances[who]
        rpc = instance.rpcs[xid] = Request(
            workload=instance.workloads.get(workload),
            plan=instance.plans.get(policy),
            volume=owner,
            dispatchers=max(1, int(number(hosts))),
            key="" if extent == "-" else extent,
            shard=-1 if shard == "-" else int(shard),
            units=number(units),
            deadline_ms=ms(give_up),
            is_write=flag(update),
            is_retry=flag(repeat),
            id=xid,
        )
        instance.inputs.arrivals.append(rpc)

    def _completed(self, parts: list[str]) -> None:
        (_, who, xid, _, took, usage, others, terminal, number_, code, telemetry) = parts[:11]
        instance = self._instances[who]
        rpc = instance.rpcs[xid]
        send = rpc.attempts[int(number(number_))]
        send.outcome = OUTCOMES[code]
        send.latency_ms = ms(took)
        send.plan_use = (number(usage) - 1.0) / 100.0 if number(usage) >= 1.0 else None
        send.units_elsewhere = number(others)
        send.load_report = load_report(telemetry)
        rpc.finished = rpc.finished or flag(terminal)
        instance.inputs.outcomes.append(send)
        instance.touched.add(xid)

    def _left(self, parts: list[str]) -> None:
        instance = self._instances[parts[1]]
        rpc = instance.rpcs.get(parts[2])
        if rpc is not None and not rpc.finished:
            rpc.finished = True
            instance.inputs.cancellations.append(rpc)
            instance.touched.add(rpc.id)

    def _announce(self, parts: list[str]) -> None:
        instance = self._instances[parts[1]]
        mode = parts[2]
        if mode == "X":
            instance.inputs.endpoint_list_received = False
            return
        if mode not in ("D", "F", "C"):
            raise ValueError(f"unknown list mode {mode}")
        if mode != "C":
            instance.inputs.endpoint_list_received = True
        named = []
        for address, zone, kind, shard, health, size, born in (entry[:7] for entry in self._lists[parts[3]]):
            node = instance.nodes.node(address)
            node.zone, node.kind, node.shard = zone, kind, int(number(shard))
            node.state, node.size, node.started_ms = STANDINGS[health], number(size), ms(born)
            named.append(node)
        instance.inputs.endpoint_changes += instance.nodes.told(named, whole=mode != "D")

    def _note(self, parts: list[str]) -> None:
        payload = b"" if parts[3] == "-" else base64.b64decode(parts[3])
        self._instances[parts[1]].inputs.gossip.append((int(number(parts[2])), payload))
