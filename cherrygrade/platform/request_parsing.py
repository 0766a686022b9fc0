"""Parses a client's HTTP message into a request; errors have the status code of the answer to the client.

The names of the HTTP fields and the form of the target belong to the platform's protocol; no other module
uses them.
"""

from __future__ import annotations

import re
from dataclasses import dataclass
from typing import Protocol

from cherrygrade.http.reader import HttpError, Message, connection_options
from cherrygrade.inflight import InflightRequest
from cherrygrade.scheduling.model import ServicePlan, Workload

TARGET = re.compile(rb"/api/([0-9a-f]{16})/([0-9a-f]{16})(?:\?[!-~]{0,1000})?")
CALL_ID = re.compile(rb"[0-9a-f]{16}")
MILLISECONDS = re.compile(rb"[0-9]{1,9}")
UNITS = re.compile(rb"[0-9]{1,6}(\.[0-9]{1,6})?")
SHARD = re.compile(rb"-1|[0-9]{1,6}")
DISPATCHERS = re.compile(rb"[0-9]{1,6}")
# Fields of a client's message that concern only this connection, or that the dispatcher writes anew. All
# others are forwarded to the node, above all Idempotency-Key, by which a node recognizes a repeated request.
NOT_FORWARDED = frozenset(
    b"host connection keep-alive proxy-connection proxy-authorization te trailer transfer-encoding upgrade "
    b"content-length expect x-call-id x-call-class x-storage-class x-budget-ms x-extent x-again".split()
)


class RequestClient(Protocol):
    """The client's connection, to which the answer to a request is written."""

    @property
    def request(self) -> PendingRequest | None:
        """The client's open request."""

    def check_request(self) -> bool:
        """Return whether the open request may be sent: the client has not closed, and it is whole.

        Called right before each attempt; bytes and the close that only the kernel has so far count.
        """

    def answer(self, status: int, body: bytes = b"", fields: bytes = b"", close: bool = False) -> None:
        """Write the final answer."""


@dataclass(slots=True, eq=False)
class PendingRequest(InflightRequest):
    """A client's request, with the parts of its message that are forwarded to a node."""

    client: RequestClient | None = None
    """The client; None after its answer or its close."""
    call_id: bytes = b""
    """The client's id of the request, 16 hex digits; unique among open requests."""
    method: bytes = b""
    target: bytes = b""
    fields: tuple[tuple[bytes, bytes], ...] = ()
    """Names and values of the forwarded header fields."""


@dataclass(frozen=True, slots=True)
class _Extent:
    """Values of the field X-Extent."""

    units: float
    """Size of the request in units; above 0."""
    shard: int
    """The shard that the request needs; -1 for any."""
    dispatchers: int
    """Number of dispatchers that share the client's requests; at least 1."""


def parse_request(
    message: Message,
    workloads: dict[str, Workload],
    plans: dict[str, ServicePlan],
    received_ms: float,
    answer_margin_ms: float,
) -> PendingRequest:
    """Parse the request in a client's message.

    Args:
        message: The client's message.
        workloads: The known workloads by name.
        plans: The known service plans by name.
        received_ms: When the last byte of the message arrived; the deadline counts from then.
        answer_margin_ms: The part of the deadline that is reserved for writing the answer.

    Raises:
        HttpError: The message contains no valid request; the text names the field that is wrong.
    """
    volume, key = _volume_and_key(message)
    call_id = _call_id(message)
    workload, plan = _workload_and_plan(message, workloads, plans)
    budget_ms = _budget_ms(message)
    extent = _extent(message)
    return PendingRequest(
        workload=workload,
        plan=plan,
        volume=volume,
        dispatchers=extent.dispatchers,
        key=key,
        shard=extent.shard,
        units=extent.units,
        deadline_ms=received_ms + min(budget_ms, workload.deadline_ms) - answer_margin_ms,
        is_write=workload.is_write,
        is_retry=message.fields.get(b"x-again") == b"1",
        id=call_id.decode(),
        body=memoryview(message.body) if workload.is_write else None,
        call_id=call_id,
        method=message.method,
        target=message.target,
        fields=_forwarded_fields(message.fields),
    )


def _volume_and_key(message: Message) -> tuple[str, str]:
    """Return volume and key from the target, after a check of the method."""
    target = TARGET.fullmatch(message.target)
    if target is None:
        raise HttpError(404, "no such path")
    if message.method not in (b"GET", b"PUT"):
        raise HttpError(405, "only GET and PUT")
    return target[1].decode(), target[2].decode()


def _call_id(message: Message) -> bytes:
    call_id = message.fields.get(b"x-call-id", b"")
    if not CALL_ID.fullmatch(call_id):
        raise HttpError(400, "X-Call-Id: 16 hex digits wanted")
    return call_id


def _workload_and_plan(
    message: Message, workloads: dict[str, Workload], plans: dict[str, ServicePlan]
) -> tuple[Workload, ServicePlan]:
    """Return workload and service plan, after a check that the workload fits the method and the body."""
    workload = workloads.get(message.fields.get(b"x-call-class", b"").decode("latin-1"))
    if workload is None:
        raise HttpError(400, "X-Call-Class: unknown")
    plan = plans.get(message.fields.get(b"x-storage-class", b"").decode("latin-1"))
    if plan is None:
        raise HttpError(400, "X-Storage-Class: unknown")
    is_put = message.method == b"PUT"
    if is_put is not workload.is_write:
        raise HttpError(405, f"{workload.name} is not asked for by this method")
    if message.body and not is_put:
        raise HttpError(400, "a read has no body")
    return workload, plan


def _budget_ms(message: Message) -> float:
    """Return the time for which the client waits for its answer, in ms."""
    budget = message.fields.get(b"x-budget-ms", b"")
    if not MILLISECONDS.fullmatch(budget):
        raise HttpError(400, "X-Budget-Ms: whole milliseconds wanted")
    return float(budget)


def _extent(message: Message) -> _Extent:
    items = message.fields.get(b"x-extent", b"").split(b",")
    values = dict(item.strip().partition(b"=")[::2] for item in items)
    if len(values) < len(items):  # the field came twice: a proxy might take the other one
        raise HttpError(400, "X-Extent: each value once wanted")
    units = values.get(b"units", b"")
    shard = values.get(b"shard", b"")
    dispatchers = values.get(b"hosts", b"")
    well_formed = UNITS.fullmatch(units) and SHARD.fullmatch(shard) and DISPATCHERS.fullmatch(dispatchers)
    if not well_formed or not float(units):
        raise HttpError(400, "X-Extent: units, shard and hosts wanted")
    return _Extent(units=float(units), shard=int(shard), dispatchers=max(1, int(dispatchers)))


def _forwarded_fields(fields: dict[bytes, bytes]) -> tuple[tuple[bytes, bytes], ...]:
    hop_by_hop = connection_options(fields)
    return tuple(
        field for field in fields.items() if field[0] not in NOT_FORWARDED and field[0] not in hop_by_hop
    )
