"""Messages and stored records have the recorded bytes, fields and defaults.

This guards against renames and other changes that peers, clients or stored files would notice.
"""

from __future__ import annotations

from typing import Any

import msgspec
import pytest
from support import golden

from cherrygrade.fleet.config import replica_messages, text_diff, version_content, version_log, versions
from cherrygrade.fleet.consensus import (
    council_messages,
    disruption_budget,
    drain_permits,
    raft_messages,
    state_machine,
)
from cherrygrade.fleet.leases import lease_table
from cherrygrade.fleet.membership import messages as membership_messages
from cherrygrade.fleet.membership import reachability, table
from cherrygrade.fleet.runtime import admin_messages, voter_store
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
    "fleet.carriers.disk.Owner": voter_store.StoreOwner,
    "fleet.carriers.disk.Hard": voter_store.HardState,
    "fleet.carriers.operator.Request": admin_messages.AdminRequest,
    "fleet.carriers.operator.Put": admin_messages.PutRequest,
    "fleet.carriers.operator.Show": admin_messages.ShowRequest,
    "fleet.carriers.operator.Missing": admin_messages.MissingRequest,
    "fleet.config.replica.Kept": replica_messages.StoredConfig,
    "fleet.config.replica.Near": replica_messages.ReachableMember,
    "fleet.config.replica.Here": replica_messages.OwnAdvert,
    "fleet.config.replica.Wanted": replica_messages.FetchRequest,
    "fleet.config.replica.Gave": replica_messages.FetchResponse,
    "fleet.config.versions.Divisors": versions.QuotaDivisors,
    "fleet.config.versions.Hunk": text_diff.DiffHunk,
    "fleet.config.versions.Op": versions.ConfigCommand,
    "fleet.config.versions.Put": versions.PutVersion,
    "fleet.config.versions.Settle": versions.SettleVersion,
    "fleet.config.versions.Version": versions.ConfigVersion,
    "fleet.config.versions.Told": versions.PutOutcome,
    "fleet.config.versions.State": version_log.VersionLogState,
    "fleet.config.versions.Content": version_content.VersionContent,
    "fleet.council.books.State": state_machine.StateMachineSnapshot,
    "fleet.council.outs.Thing": disruption_budget.Resource,
    "fleet.council.outs.Limit": disruption_budget.DisruptionLimit,
    "fleet.council.permits.Op": drain_permits.DrainCommand,
    "fleet.council.permits.Record": drain_permits.SetResources,
    "fleet.council.permits.Ask": drain_permits.RequestPermit,
    "fleet.council.permits.Saw": drain_permits.ObserveResource,
    "fleet.council.permits.Back": drain_permits.ReturnPermit,
    "fleet.council.permits.Halt": drain_permits.HaltDrains,
    "fleet.council.permits.Permit": drain_permits.DrainPermit,
    "fleet.council.permits.Told": drain_permits.PermitOutcome,
    "fleet.council.permits.State": drain_permits.DrainPermitsState,
    "fleet.council.raft.Entry": raft_messages.LogEntry,
    "fleet.council.raft.Base": raft_messages.Snapshot,
    "fleet.council.raft.Stored": raft_messages.PersistentState,
    "fleet.council.raft.Word": raft_messages.RaftMessage,
    "fleet.council.raft.AskVote": raft_messages.RequestVote,
    "fleet.council.raft.Vote": raft_messages.VoteReply,
    "fleet.council.raft.Append": raft_messages.AppendEntries,
    "fleet.council.raft.Appended": raft_messages.AppendReply,
    "fleet.council.raft.Install": raft_messages.InstallSnapshot,
    "fleet.council.voter.Ask": council_messages.CouncilRequest,
    "fleet.council.voter.AskTake": council_messages.AcquireLease,
    "fleet.council.voter.AskGive": council_messages.ReleaseLease,
    "fleet.council.voter.AskRenew": council_messages.RenewLeases,
    "fleet.council.voter.AskFree": council_messages.ListFreeTasks,
    "fleet.council.voter.AskShow": council_messages.ShowCouncil,
    "fleet.council.voter.AskPut": council_messages.PutConfig,
    "fleet.council.voter.AskConfig": council_messages.ShowConfig,
    "fleet.council.voter.Answer": council_messages.CouncilReply,
    "fleet.council.voter.Elsewhere": council_messages.NotLeader,
    "fleet.council.voter.Took": council_messages.LeaseAcquired,
    "fleet.council.voter.Renewed": council_messages.LeasesRenewed,
    "fleet.council.voter.Freed": council_messages.FreeTasks,
    "fleet.council.voter.Shown": council_messages.CouncilStatus,
    "fleet.council.voter.Configured": council_messages.ConfigPut,
    "fleet.council.voter.Line": council_messages.VersionSummary,
    "fleet.council.voter.ConfigShown": council_messages.ConfigStatus,
    "fleet.leases.grants.Op": lease_table.LeaseCommand,
    "fleet.leases.grants.Take": lease_table.Acquire,
    "fleet.leases.grants.Give": lease_table.Release,
    "fleet.leases.grants.Free": lease_table.Expire,
    "fleet.leases.grants.Lease": lease_table.Lease,
    "fleet.leases.grants.Failed": lease_table.FailedTask,
    "fleet.leases.grants.Told": lease_table.LeaseOutcome,
    "fleet.leases.grants.State": lease_table.LeaseTableState,
    "fleet.members.pages.Hint": membership_messages.ConfigAdvert,
    "fleet.members.pages.Page": membership_messages.MembershipMessage,
    "fleet.members.pages.Probe": membership_messages.Probe,
    "fleet.members.pages.Answer": membership_messages.ProbeAck,
    "fleet.members.pages.Ask": membership_messages.IndirectProbeRequest,
    "fleet.members.pages.Carried": membership_messages.IndirectProbeResult,
    "fleet.members.pages.Push": membership_messages.GossipPush,
    "fleet.members.pages.Spoken": membership_messages.SchedulerMessage,
    "fleet.members.pages.Which": membership_messages.ConfigQuery,
    "fleet.members.pages.Here": membership_messages.ConfigReply,
    "fleet.members.roll.Facts": table.MemberInfo,
    "fleet.members.roll.Claim": table.MemberRecord,
    "fleet.members.seen.Met": reachability.NodeContact,
}
"""Type of each message by the name under which it was recorded."""

RECORDED = golden.load("messages")
CASES = [pytest.param(case, id=f"{case['message']}-{case['case']}") for case in RECORDED]


def test_every_recorded_message_has_its_type():
    assert {case["message"] for case in RECORDED} == set(MESSAGES)


@pytest.mark.parametrize("case", CASES)
def test_bytes_are_read_back_as_recorded(case):
    kind = MESSAGES[case["message"]]
    assert golden.plain(msgspec.msgpack.decode(bytes.fromhex(case["msgpack"]), type=kind)) == case["value"]
    assert golden.plain(msgspec.json.decode(case["json"], type=kind)) == case["value"]


@pytest.mark.parametrize("case", CASES)
def test_values_are_written_as_recorded(case):
    value = msgspec.convert(case["value"], MESSAGES[case["message"]])
    assert msgspec.msgpack.encode(value).hex() == case["msgpack"]
    assert msgspec.json.encode(value).decode() == case["json"]


@pytest.mark.parametrize("case", [param for param in CASES if param.values[0]["case"] == "least"])
def test_omitted_fields_take_the_recorded_defaults(case):
    kind = MESSAGES[case["message"]]
    config = kind.__struct_config__
    required = [name for name, default in defaults(kind).items() if default is msgspec.NODEFAULT]
    value = case["value"]
    if isinstance(value, list):
        shortened: Any = value[: len(required) + (config.tag is not None)]
    else:
        shortened = {name: value[name] for name in [*required, *([config.tag_field] if config.tag else [])]}
    assert golden.plain(msgspec.convert(shortened, kind)) == value


def defaults(kind: Any) -> dict[str, Any]:
    """Return the default of each field, in order; NODEFAULT for a required field."""
    return {
        field.encode_name: msgspec.NODEFAULT if field.required else field.default
        for field in msgspec.structs.fields(kind)
    }
