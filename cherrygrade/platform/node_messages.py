"""Encodes requests to storage nodes, and reads outcome and load from their responses.

The names of the HTTP fields belong to the platform's protocol; no other module uses them.
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
PERCENT = 100.0
REJECTING_STATUSES = (503, 504)


def encode_attempt(pending: PendingRequest, address: EndpointAddress, remaining_ms: int) -> bytes:
    """Encode the request of an attempt.

    Args:
        pending: The client's request.
        address: The node's address, for the field `Host`.
        remaining_ms: The time after which the response is no longer of use; sent as at least 1 ms.
    """
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
    """Return the outcome of an attempt from its response."""
    if response.status == 200 and response.framing is not Framing.NO_BODY:
        return Outcome.OK
    # Only a rejection with the field X-Rejected guarantees that the request did not run.
    if response.status in REJECTING_STATUSES and response.fields.get(b"x-rejected") == b"1":
        return Outcome.REJECTED
    return Outcome.FAILED


def record_load(attempt: InflightAttempt, fields: dict[bytes, bytes]) -> None:
    """Copy the node's load from the fields of a response to the attempt; malformed fields are ignored."""
    plan_use = fields.get(b"x-meter", b"")
    if NUMBER.fullmatch(plan_use):
        attempt.plan_use = float(plan_use) / PERCENT
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
