"""Requests of the sites' workloads, and the work that they are for a storage server."""

from __future__ import annotations

import itertools
import random

from standins.clients import Call
from standins.http_text import HttpText
from standins.servers import ANY_SHARD, key_of

WORK_MS = {
    "seat-read": 36.0,
    "booking-write": 44.0,
    "bulk-export": 98.0,
    "member-read": 39.0,
    "visit-write": 68.0,
    "club-export": 97.0,
    "session-write": 60.0,
}
"""Mean work of a request by workload, from the middle of the ranges in the site files."""
VOLUMES_OF_A_SERVER = 8
"""Volumes of kosice-main with data on one server."""
SPREAD = 0.5
"""Standard deviation of the logarithm of the work; the site files give coefficients of variation near it."""

_numbers = itertools.count(1)
_chance = random.Random(48)


def work_ms(request: HttpText) -> float:
    """Return the work of a request, drawn around the mean of its workload."""
    mean_ms = WORK_MS[request.fields["x-call-class"]]
    return mean_ms * _chance.lognormvariate(-SPREAD * SPREAD / 2.0, SPREAD)


def seat_read(shard: int) -> Call:
    """Return a seat-read of macon-main, which its client gives 2 s."""
    return Call("seat-read", "premier", 0xB0 + shard, key_of(shard, next(_numbers)), 2000, shard)


def booking_write(shard: int) -> Call:
    """Return a booking-write of macon-main, which its client gives 1.5 s."""
    key = key_of(shard, next(_numbers))
    return Call("booking-write", "premier", 0xB0 + shard, key, 1500, shard, writes=True, body=b"seat 12A")


def bulk_export(shard: int) -> Call:
    """Return a bulk-export of macon-main, which its client gives 5 s."""
    return Call("bulk-export", "standard", 0xA0 + shard, key_of(shard, next(_numbers)), 5000, shard, units=4)


def member_read(shard: int) -> Call:
    """Return a member-read of kosice-main (its client gives it 2 s) of the shard's volumes in turn."""
    number = next(_numbers)
    volume = 0xC00 + VOLUMES_OF_A_SERVER * shard + number % VOLUMES_OF_A_SERVER
    return Call("member-read", "premium", volume, key_of(shard, number), 2000, shard, units=2, hosts=4)


def session_write(number: int, body: bytes) -> Call:
    """Return a session-write of montevideo-campus, which its client gives 3 s; equal numbers share a key."""
    key = key_of(ANY_SHARD, number)
    return Call("session-write", "preferente", 0xD0, key, 3000, ANY_SHARD, writes=True, body=body)
