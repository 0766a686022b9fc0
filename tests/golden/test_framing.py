"""Frames, datagrams and log entries have the recorded bytes, and the recorded bytes are read back.

This guards against a new version that does not understand the others of the fleet during an update.
"""

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


def value_of(case: dict[str, Any]) -> Any:
    """Return the message of a recorded case."""
    return msgspec.convert(case["value"], MESSAGES[case["message"]])


def names(cases: list[dict[str, Any]]) -> list[str]:
    """Return the names of recorded cases, as test ids."""
    return [f"{case['message']}-{case['case']}" for case in cases]


@pytest.mark.parametrize("case", FRAMES, ids=names(FRAMES))
def test_frame_is_written_as_recorded(case):
    assert encode(value_of(case), len(BODY), case["flags"]).hex() == case["head"]


@pytest.mark.parametrize("case", FRAMES, ids=names(FRAMES))
def test_frame_is_read_as_recorded(case):
    found: list[tuple[Any, bytes]] = []
    reader = FrameReader(
        lambda message, length: bytearray(length),
        lambda message, body: found.append((message, bytes(body or b""))),
        1024,
    )
    data = bytes.fromhex(case["head"]) + BODY
    while data:
        buffer = reader.get_buffer()
        count = min(len(buffer), len(data))
        buffer[:count] = data[:count]
        reader.buffer_updated(count)
        data = data[count:]
    assert found == [(value_of(case), BODY)]


@pytest.mark.parametrize("case", DATAGRAMS, ids=names(DATAGRAMS))
def test_datagram_is_written_and_read_as_recorded(case):
    codec = MessageCodec(FLEET)
    written = codec.write(value_of(case))
    assert written.hex() == case["datagram"]
    read = codec.read(bytes.fromhex(case["datagram"]))
    assert golden.plain(read) == case["read"] and not codec.rejected


def test_datagram_of_another_fleet_is_dropped():
    codec = MessageCodec("another")
    assert codec.read(bytes.fromhex(DATAGRAMS[0]["datagram"])) is None
    assert codec.rejected == {"another fleet": 1}


def write_entry(case: dict[str, Any]) -> bytes:
    """Encode the command of a recorded log entry."""
    write = {
        "permit": state_machine.encode_drain_command,
        "lease": state_machine.encode_lease_command,
        "config": state_machine.encode_config_command,
    }[case["kind"]]
    return write(value_of(case))


def test_log_entries_are_written_as_recorded():
    assert [write_entry(case).hex() for case in ENTRIES["entries"]] == [
        case["entry"] for case in ENTRIES["entries"]
    ]


def test_log_entries_give_the_recorded_state():
    state = state_machine.StateMachine()
    for index, case in enumerate(ENTRIES["entries"], 1):
        outcome = state.apply(index, bytes.fromhex(case["entry"]))
        assert golden.plain(outcome) == case["told"]
        assert state.snapshot().hex() == case["snapshot"]


def test_recorded_snapshots_are_restored():
    for case in ENTRIES["entries"]:
        state = state_machine.StateMachine()
        state.restore(bytes.fromhex(case["snapshot"]))
        assert state.snapshot().hex() == case["snapshot"]


def test_recorded_snapshot_from_before_the_configuration_is_restored():
    state = state_machine.StateMachine()
    state.restore(bytes.fromhex(ENTRIES["without_versions"]))
    assert state.snapshot().hex() == ENTRIES["without_versions_now"]
