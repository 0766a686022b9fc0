"""Every message and record of the program, held against bytes recorded before the renames.

MESSAGES maps the name that a message had then to the type that it has now.
"""

from __future__ import annotations

from typing import Any

import msgspec
import pytest
from support import golden

from cherrygrade.fleet.carriers import disk, operator
from cherrygrade.fleet.config import replica, versions
from cherrygrade.fleet.council import books, outs, permits, raft, voter
from cherrygrade.fleet.leases import grants
from cherrygrade.fleet.members import pages, roll, seen
from cherrygrade.wire import messages

MESSAGES: dict[str, Any] = {
    "wire.messages.Message": messages.Message,
    "wire.messages.Hello": messages.Hello,
    "wire.messages.Welcome": messages.Welcome,
    "wire.messages.Bye": messages.Bye,
    "wire.messages.Leaving": messages.Leaving,
    "wire.messages.Word": messages.Word,
    "wire.messages.Members": messages.Members,
    "wire.messages.ReadRpc": messages.ReadRpc,
    "wire.messages.WriteRpc": messages.WriteRpc,
    "wire.messages.Leave": messages.Leave,
    "wire.messages.Ok": messages.Ok,
    "wire.messages.Part": messages.Part,
    "wire.messages.Rejected": messages.Rejected,
    "wire.messages.Errored": messages.Errored,
    "wire.messages.ReadSend": messages.ReadSend,
    "wire.messages.WriteSend": messages.WriteSend,
    "wire.messages.Withdraw": messages.Withdraw,
    "wire.messages.Answer": messages.Answer,
    "wire.messages.Entry": messages.Entry,
    "wire.messages.Follow": messages.Follow,
    "wire.messages.Roster": messages.Roster,
    "wire.messages.AskMap": messages.AskMap,
    "wire.messages.MapPart": messages.MapPart,
    "wire.messages.Control": messages.Control,
    "wire.messages.Done": messages.Done,
    "fleet.carriers.disk.Owner": disk.Owner,
    "fleet.carriers.disk.Hard": disk.Hard,
    "fleet.carriers.operator.Request": operator.Request,
    "fleet.carriers.operator.Put": operator.Put,
    "fleet.carriers.operator.Show": operator.Show,
    "fleet.carriers.operator.Missing": operator.Missing,
    "fleet.config.replica.Kept": replica.Kept,
    "fleet.config.replica.Near": replica.Near,
    "fleet.config.replica.Here": replica.Here,
    "fleet.config.replica.Wanted": replica.Wanted,
    "fleet.config.replica.Gave": replica.Gave,
    "fleet.config.versions.Divisors": versions.Divisors,
    "fleet.config.versions.Hunk": versions.Hunk,
    "fleet.config.versions.Op": versions.Op,
    "fleet.config.versions.Put": versions.Put,
    "fleet.config.versions.Settle": versions.Settle,
    "fleet.config.versions.Version": versions.Version,
    "fleet.config.versions.Told": versions.Told,
    "fleet.config.versions.State": versions.State,
    "fleet.config.versions.Content": versions.Content,
    "fleet.council.books.State": books.State,
    "fleet.council.outs.Thing": outs.Thing,
    "fleet.council.outs.Limit": outs.Limit,
    "fleet.council.permits.Op": permits.Op,
    "fleet.council.permits.Record": permits.Record,
    "fleet.council.permits.Ask": permits.Ask,
    "fleet.council.permits.Saw": permits.Saw,
    "fleet.council.permits.Back": permits.Back,
    "fleet.council.permits.Halt": permits.Halt,
    "fleet.council.permits.Permit": permits.Permit,
    "fleet.council.permits.Told": permits.Told,
    "fleet.council.permits.State": permits.State,
    "fleet.council.raft.Entry": raft.Entry,
    "fleet.council.raft.Base": raft.Base,
    "fleet.council.raft.Stored": raft.Stored,
    "fleet.council.raft.Word": raft.Word,
    "fleet.council.raft.AskVote": raft.AskVote,
    "fleet.council.raft.Vote": raft.Vote,
    "fleet.council.raft.Append": raft.Append,
    "fleet.council.raft.Appended": raft.Appended,
    "fleet.council.raft.Install": raft.Install,
    "fleet.council.voter.Ask": voter.Ask,
    "fleet.council.voter.AskTake": voter.AskTake,
    "fleet.council.voter.AskGive": voter.AskGive,
    "fleet.council.voter.AskRenew": voter.AskRenew,
    "fleet.council.voter.AskFree": voter.AskFree,
    "fleet.council.voter.AskShow": voter.AskShow,
    "fleet.council.voter.AskPut": voter.AskPut,
    "fleet.council.voter.AskConfig": voter.AskConfig,
    "fleet.council.voter.Answer": voter.Answer,
    "fleet.council.voter.Elsewhere": voter.Elsewhere,
    "fleet.council.voter.Took": voter.Took,
    "fleet.council.voter.Renewed": voter.Renewed,
    "fleet.council.voter.Freed": voter.Freed,
    "fleet.council.voter.Shown": voter.Shown,
    "fleet.council.voter.Configured": voter.Configured,
    "fleet.council.voter.Line": voter.Line,
    "fleet.council.voter.ConfigShown": voter.ConfigShown,
    "fleet.leases.grants.Op": grants.Op,
    "fleet.leases.grants.Take": grants.Take,
    "fleet.leases.grants.Give": grants.Give,
    "fleet.leases.grants.Free": grants.Free,
    "fleet.leases.grants.Lease": grants.Lease,
    "fleet.leases.grants.Failed": grants.Failed,
    "fleet.leases.grants.Told": grants.Told,
    "fleet.leases.grants.State": grants.State,
    "fleet.members.pages.Hint": pages.Hint,
    "fleet.members.pages.Page": pages.Page,
    "fleet.members.pages.Probe": pages.Probe,
    "fleet.members.pages.Answer": pages.Answer,
    "fleet.members.pages.Ask": pages.Ask,
    "fleet.members.pages.Carried": pages.Carried,
    "fleet.members.pages.Push": pages.Push,
    "fleet.members.pages.Spoken": pages.Spoken,
    "fleet.members.pages.Which": pages.Which,
    "fleet.members.pages.Here": pages.Here,
    "fleet.members.roll.Facts": roll.Facts,
    "fleet.members.roll.Claim": roll.Claim,
    "fleet.members.seen.Met": seen.Met,
}
RECORDED = golden.load("messages")
CASES = [pytest.param(one, id=f"{one['message']}-{one['case']}") for one in RECORDED]


def test_every_recorded_message_has_its_type():
    assert {one["message"] for one in RECORDED} == set(MESSAGES)


@pytest.mark.parametrize("one", CASES)
def test_bytes_are_read_back_as_recorded(one):
    kind = MESSAGES[one["message"]]
    assert golden.plain(msgspec.msgpack.decode(bytes.fromhex(one["msgpack"]), type=kind)) == one["value"]
    assert golden.plain(msgspec.json.decode(one["json"], type=kind)) == one["value"]


@pytest.mark.parametrize("one", CASES)
def test_values_are_written_anew_as_recorded(one):
    value = msgspec.convert(one["value"], MESSAGES[one["message"]])
    assert msgspec.msgpack.encode(value).hex() == one["msgpack"]
    assert msgspec.json.encode(value).decode() == one["json"]


@pytest.mark.parametrize("one", [case for case in CASES if case.values[0]["case"] == "least"])
def test_fields_left_out_take_the_recorded_defaults(one):
    kind = MESSAGES[one["message"]]
    config = kind.__struct_config__
    required = [name for name, default in defaults(kind).items() if default is msgspec.NODEFAULT]
    value = one["value"]
    if isinstance(value, list):
        short: Any = value[: len(required) + (config.tag is not None)]
    else:
        short = {name: value[name] for name in [*required, *([config.tag_field] if config.tag else [])]}
    assert golden.plain(msgspec.convert(short, kind)) == value


def defaults(kind: Any) -> dict[str, Any]:
    """Field names, in order, with NODEFAULT where a field has to be given."""
    return {
        one.encode_name: msgspec.NODEFAULT if one.required else one.default
        for one in msgspec.structs.fields(kind)
    }
