"""Frames, datagrams and log entries around the messages, held against recorded bytes."""

from __future__ import annotations

from typing import Any

import msgspec
import pytest
from golden.test_messages import MESSAGES
from support import golden

from cherrygrade.fleet.consensus import state_machine
from cherrygrade.fleet.membership.messages import MessageCodec
from cherrygrade.wire.frames import FrameReader, encode

FRAMES = golden.load("frames")
DATAGRAMS = golden.load("datagrams")
ENTRIES = golden.load("log_entries")
FLEET = "golden fleet"
BODY = b"body bytes"


def value_of(one: dict[str, Any]) -> Any:
    return msgspec.convert(one["value"], MESSAGES[one["message"]])


def names(recorded: list[dict[str, Any]]) -> list[str]:
    return [f"{one['message']}-{one['case']}" for one in recorded]


@pytest.mark.parametrize("one", FRAMES, ids=names(FRAMES))
def test_frame_is_written_as_recorded(one):
    assert encode(value_of(one), len(BODY), one["flags"]).hex() == one["head"]


@pytest.mark.parametrize("one", FRAMES, ids=names(FRAMES))
def test_frame_is_read_as_recorded(one):
    found: list[tuple[Any, bytes]] = []
    reader = FrameReader(
        lambda message, length: bytearray(length),
        lambda message, body: found.append((message, bytes(body or b""))),
        1024,
    )
    data = bytes.fromhex(one["head"]) + BODY
    while data:
        place = reader.place()
        count = min(len(place), len(data))
        place[:count] = data[:count]
        reader.filled(count)
        data = data[count:]
    assert found == [(value_of(one), BODY)]


@pytest.mark.parametrize("one", DATAGRAMS, ids=names(DATAGRAMS))
def test_datagram_is_written_and_read_as_recorded(one):
    book = MessageCodec(FLEET)
    written = book.write(value_of(one))
    assert written.hex() == one["datagram"]
    read = book.read(bytes.fromhex(one["datagram"]))
    assert golden.plain(read) == one["read"] and not book.rejected


def test_datagram_of_another_fleet_is_dropped():
    book = MessageCodec("another")
    assert book.read(bytes.fromhex(DATAGRAMS[0]["datagram"])) is None
    assert book.rejected == {"another fleet": 1}


def write_entry(one: dict[str, Any]) -> bytes:
    write = {
        "permit": state_machine.encode_drain_command,
        "lease": state_machine.encode_lease_command,
        "config": state_machine.encode_config_command,
    }[one["kind"]]
    return write(value_of(one))


def test_log_entries_are_written_as_recorded():
    assert [write_entry(one).hex() for one in ENTRIES["entries"]] == [
        one["entry"] for one in ENTRIES["entries"]
    ]


def test_log_entries_come_to_the_recorded_state():
    state = state_machine.StateMachine()
    for index, one in enumerate(ENTRIES["entries"], 1):
        told = state.apply(index, bytes.fromhex(one["entry"]))
        assert golden.plain(told) == one["told"]
        assert state.snapshot().hex() == one["snapshot"]


def test_recorded_snapshots_are_restored():
    for one in ENTRIES["entries"]:
        state = state_machine.StateMachine()
        state.restore(bytes.fromhex(one["snapshot"]))
        assert state.snapshot().hex() == one["snapshot"]


def test_recorded_snapshot_from_before_the_configuration_is_restored():
    state = state_machine.StateMachine()
    state.restore(bytes.fromhex(ENTRIES["without_versions"]))
    assert state.snapshot().hex() == ENTRIES["without_versions_now"]
