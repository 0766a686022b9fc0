"""The platform's HTTP fields between a dispatcher and a node, and what a node's response means.

The field names are the platform's protocol; nothing else spells them.
"""

from __future__ import annotations

import re

from cherrygrade.http.reader import Framing, Message
from cherrygrade.http.writer import encode_request
from cherrygrade.inflight import InflightAttempt
from cherrygrade.platform.endpoint_list import EndpointAddress
from cherrygrade.platform.request_parsing import PendingRequest
from cherrygrade.scheduling.model import Outcome

NUMBER = re.compile(rb"[0-9]{1,9}(\.[0-9]{1,9})?")
LOAD_NAME = re.compile(rb"[a-z_0-9]{1,32}")
LOAD_REPORT_FORMAT = b"TEXT "
MAX_LOAD_REPORT_BYTES = 500
METER_PERCENT = 100.0
REJECTING_STATUSES = (503, 504)


def encode_attempt(pending: PendingRequest, address: EndpointAddress, remaining_ms: int) -> bytes:
    """The request that a node gets for one attempt. `remaining_ms`: until its answer is of no use."""
    assert pending.workload is not None
    assert pending.plan is not None
    fields = (
        (b"X-Call-Id", pending.call_id),
        (b"X-Call-Class", pending.workload.name.encode("latin-1")),
        (b"X-Storage-Class", pending.plan.name.encode("latin-1")),
        (b"X-Budget-Ms", b"%d" % max(1, remaining_ms)),
        *pending.fields,
    )
    body = bytes(pending.body) if pending.is_write and pending.body else b""
    host = f"{address.host}:{address.port}".encode()
    return encode_request(pending.method, pending.target, host, fields, body)


def response_outcome(response: Message) -> Outcome:
    """How an attempt ended that got this response."""
    if response.status == 200 and response.framing is not Framing.NO_BODY:
        return Outcome.OK
    # Only a marked rejection says that the request did not run.
    if response.status in REJECTING_STATUSES and response.fields.get(b"x-rejected") == b"1":
        return Outcome.REJECTED
    return Outcome.FAILED


def record_load(attempt: InflightAttempt, fields: dict[bytes, bytes]) -> None:
    """Set on the attempt what the response's fields say of the node's load; malformed ones are ignored."""
    plan_use = fields.get(b"x-meter", b"")
    if NUMBER.fullmatch(plan_use):
        attempt.plan_use = float(plan_use) / METER_PERCENT
    units_elsewhere = fields.get(b"x-delta", b"")
    if NUMBER.fullmatch(units_elsewhere):
        attempt.units_elsewhere = float(units_elsewhere)
    report = fields.get(b"x-load-report", b"")
    if not report.startswith(LOAD_REPORT_FORMAT) or len(report) >= MAX_LOAD_REPORT_BYTES:
        return
    for item in report[len(LOAD_REPORT_FORMAT) :].split(b","):
        name, _, value = item.strip().partition(b"=")
        if LOAD_NAME.fullmatch(name) and NUMBER.fullmatch(value):
            attempt.load_report[name.decode()] = float(value)
