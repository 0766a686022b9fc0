"""The messages of the native protocol, one type for each kind of frame (docs/protocol.md).

Each header is a MessagePack array, so fields are identified by position. New fields are added at the
end with a default, and readers skip fields that they do not know. Times are durations in
milliseconds, never clock times.
"""

from __future__ import annotations

from typing import Annotated

from msgspec import Meta, Struct

VERSION = 1
"""Version of the protocol that this program speaks."""
MOST_WORD = 256
"""Maximum size of the payload of a `Word`, bytes."""

Id = Annotated[int, Meta(ge=0, le=2**63 - 1)]
Name = Annotated[str, Meta(max_length=200)]
Text = Annotated[str, Meta(max_length=1000)]
Ms = Annotated[float, Meta(ge=0.0, le=1e9)]
Bytes = Annotated[int, Meta(ge=0, le=2**48)]
Token = Annotated[bytes, Meta(max_length=64)]
Shard = Annotated[int, Meta(ge=-1, le=2**31)]


class Message(Struct, array_like=True, gc=False):
    """The header of a frame."""


class Hello(Message):
    """The first message of the side that connects.

    Attributes:
        version: Highest version of the protocol that the sender speaks.
        role: What the sender is, for example "client".
        name: Name of the sender.
        features: Optional features that the sender supports.
    """

    version: int
    role: Name
    name: Name
    features: list[Name] = []


class Welcome(Message):
    """The answer to a Hello.

    Attributes:
        version: Version of the protocol that both sides speak.
        name: Name of the sender.
        features: Optional features that both sides support.
        most_body: Maximum size of a body that may be sent, bytes.
        most_open: Maximum number of RPCs without an answer.
    """

    version: int
    name: Name
    features: list[Name] = []
    most_body: int = 0
    most_open: int = 0


class Bye(Message):
    """The last message of the side that closes the connection.

    Attributes:
        reason: Why the connection is closed.
        come_back_ms: Delay before connecting again, ms; 0 if none is given.
    """

    reason: Text
    come_back_ms: Ms = 0.0


class Leaving(Message):
    """The dispatcher is about to close the connection: it takes no more RPCs and still answers the open ones.

    The receiver closes the connection once no RPC is open, so that no answer is lost in between.

    Attributes:
        reason: Why the dispatcher leaves.
        come_back_ms: Delay before connecting again, ms; 0 if none is given.
    """

    reason: Text
    come_back_ms: Ms = 0.0


class Word(Message):
    """A message between the schedulers of two dispatchers.

    Attributes:
        payload: The message, as the scheduler encodes it.
    """

    payload: Annotated[bytes, Meta(max_length=MOST_WORD)]


class Members(Message):
    """A part of a message that is encoded by `fleet`, for example of a member table or an admin answer.

    Attributes:
        payload: The encoded bytes.
        last: No further part follows.
    """

    payload: Annotated[bytes, Meta(max_length=16000)]
    last: bool


class ReadRpc(Message):
    """A client's read.

    Attributes:
        id: Identifies the RPC within the connection.
        workload: Name of the workload.
        volume: Name of the volume.
        key: Key of the object; "" for a byte range of the volume.
        shard: Shard of the object; -1 if it is not given.
        offset: First byte to read.
        length: Number of bytes to read.
        left_ms: Time until the client's deadline, ms.
        repeat: The client has sent this RPC before.
        at_ms: Time since the connection's Hello by the client's clock, ms; 0 if it is not given.
    """

    id: Id
    workload: Name
    volume: Name
    key: Name
    shard: Shard
    offset: Bytes
    length: Bytes
    left_ms: float
    repeat: bool = False
    at_ms: float = 0.0


class WriteRpc(Message):
    """A client's write; the body of the frame has the bytes to write.

    Attributes:
        id: Identifies the RPC within the connection.
        workload: Name of the workload.
        volume: Name of the volume.
        key: Key of the object; "" for a byte range of the volume.
        shard: Shard of the object; -1 creates a new object.
        offset: Position of the first byte to write.
        left_ms: Time until the client's deadline, ms.
        repeat: The client has sent this RPC before.
        token: Idempotency key; b"" if there is none.
        append: Write at the end of the object.
        at_ms: Time since the connection's Hello by the client's clock, ms; 0 if it is not given.
    """

    id: Id
    workload: Name
    volume: Name
    key: Name
    shard: Shard
    offset: Bytes
    left_ms: float
    repeat: bool = False
    token: Token = b""
    append: bool = False
    at_ms: float = 0.0


class Leave(Message):
    """The client cancels an RPC: it does not need the answer.

    Attributes:
        id: The RPC.
    """

    id: Id


class Ok(Message):
    """The RPC succeeded; for a read that was not answered in parts, the body of the frame has its bytes.

    Attributes:
        id: The RPC.
        shard: The shard that stored or held the bytes; -1 if it is not given.
    """

    id: Id
    shard: Shard = -1


class Part(Message):
    """A part of the bytes of a read, sent before its answer.

    The same position may be sent again with other bytes. The bytes sent last before
    the Ok are the valid ones.

    Attributes:
        id: The RPC.
        at: Position of the body within the bytes that were asked for.
    """

    id: Id
    at: Bytes


class Rejected(Message):
    """The RPC was not carried out; a retry is safe, whether or not a part of a read has run.

    Attributes:
        id: The RPC.
        come_back_ms: Delay before a retry, ms; 0 if none is given.
        reason: Why the RPC was rejected.
    """

    id: Id
    come_back_ms: Ms = 0.0
    reason: Text = ""


class Errored(Message):
    """The RPC failed, and may have taken effect.

    Attributes:
        id: The RPC.
        reason: How the RPC failed.
    """

    id: Id
    reason: Text = ""


class ReadSend(Message):
    """A dispatcher's read from a storage node.

    Attributes:
        id: Identifies the send within the connection.
        origin: Identifies the client's RPC; used only in records.
        volume: Name of the volume.
        key: Key of the object.
        offset: First byte to read.
        length: Number of bytes to read.
        units: Work of the send, by which quotas are charged.
        limit_ms: Time until the send is of no more use, ms.
        number: Number of this attempt of the RPC, from 0.
        hosts: Number of dispatchers that the volume's quota is divided among.
        version: Version of the extent by the dispatcher's map; -1 if the object is no extent.
        others: Origin and attempt number of the sends that are coalesced into this one; used only in records.
    """

    id: Id
    origin: Name
    volume: Name
    key: Name
    offset: Bytes
    length: Bytes
    units: float
    limit_ms: float
    number: int
    hosts: int = 1
    version: int = -1
    others: list[tuple[Name, int]] = []


class WriteSend(Message):
    """A dispatcher's write to a storage node; the body of the frame has the bytes to write.

    Attributes:
        id: Identifies the send within the connection.
        origin: Identifies the client's RPC; used only in records.
        volume: Name of the volume.
        key: Key of the object.
        offset: Position of the first byte to write.
        units: Work of the send, by which quotas are charged.
        limit_ms: Time until the send is of no more use, ms.
        number: Number of this attempt of the RPC, from 0.
        hosts: Number of dispatchers that the volume's quota is divided among.
        token: Idempotency key; b"" if there is none.
        token_ms: How long the node drops repeats with this key, ms.
        append: Write at the end of the object.
        version: Version of the extent by the dispatcher's map; -1 if the object is no extent.
        others: Origin and attempt number of the sends that are coalesced into this one; used only in records.
    """

    id: Id
    origin: Name
    volume: Name
    key: Name
    offset: Bytes
    units: float
    limit_ms: float
    number: int
    hosts: int = 1
    token: Token = b""
    token_ms: Ms = 0.0
    append: bool = False
    version: int = -1
    others: list[tuple[Name, int]] = []


class Withdraw(Message):
    """The dispatcher does not need the answer to a send, which may run nevertheless.

    Attributes:
        id: The send.
    """

    id: Id


class Answer(Message):
    """A storage node's answer to a send.

    Attributes:
        id: The send.
        code: 0: ok; 1: errored. The send did not run: 2: the node is full; 3: the node does not have the
            extent; 4: the node has a newer version of the extent.
        load: Load figures of the node, by name.
        used: Use of the volume over all nodes, as a fraction of its plan's usual rate; -1 if it is not given.
        elsewhere: Units that the node did for the volume through other dispatchers since its previous answer.
        failed: Start and length of the ranges that an ok answer does not cover.
        version: Version of the extent that the node has; -1 if it is not given.
    """

    id: Id
    code: int = 0
    load: dict[str, float] = {}
    used: float = -1.0
    elsewhere: float = 0.0
    failed: list[tuple[int, int]] = []
    version: int = -1


class Entry(Message):
    """A storage node in the register's list.

    Attributes:
        address: host:port of the node.
        zone: Zone of the node.
        kind: Hardware kind of the node.
        shard: Shard of the node.
        standing: State of the node, by the values of `NodeState`.
        size: Relative capacity of the node.
        start: Number of starts of the node, by which a restart is recognized.
        age_ms: Time since the last start, when the message was sent, ms.
    """

    address: Name
    zone: Name
    kind: Name
    shard: Shard
    standing: Name
    size: float
    start: int
    age_ms: float


class Follow(Message):
    """Query the register for the list of nodes.

    Attributes:
        push: Send changes from now on.
        full: Send the full list.
    """

    push: bool
    full: bool = True


class Roster(Message):
    """The list of nodes, or the changes of it.

    Attributes:
        epoch: Incarnation of the register.
        version: Version of the list that results.
        base: Version that the entries are changes of; -1 if they are the full list.
        entries: The nodes.
    """

    epoch: int
    version: int
    base: int
    entries: list[Entry]

    @property
    def full(self) -> bool:
        """The entries are the full list."""
        return self.base < 0


class AskMap(Message):
    """Query the register for the extents of a volume; changes of them are pushed to followers.

    Attributes:
        volume: Name of the volume.
        first: Number of the first extent.
        count: Maximum number of extents.
    """

    volume: Name
    first: int = 0
    count: int = 2**31


class MapPart(Message):
    """The locations of some extents of a volume.

    Attributes:
        volume: Name of the volume.
        epoch: Incarnation of the register.
        size: Size of the volume, bytes.
        extent_bytes: Size of an extent, bytes.
        first: Number of the first extent in `homes`.
        homes: Shard and version by extent.
    """

    volume: Name
    epoch: int
    size: Bytes
    extent_bytes: int
    first: int
    homes: list[tuple[int, int]]


class Control(Message):
    """A command of the laboratory to a stand-in.

    Attributes:
        command: Name of the command.
        values: Arguments by name.
    """

    command: Name
    values: dict[str, float | str]


class Done(Message):
    """A stand-in's answer to a Control.

    Attributes:
        text: The result; "" if there is none.
    """

    text: Text = ""


KINDS: dict[int, type[Message]] = {
    1: Hello,
    2: Welcome,
    3: Bye,
    4: Leaving,
    5: Word,
    6: Members,
    10: ReadRpc,
    11: WriteRpc,
    12: Leave,
    13: Ok,
    14: Rejected,
    15: Errored,
    16: Part,
    20: ReadSend,
    21: WriteSend,
    22: Withdraw,
    23: Answer,
    30: Follow,
    31: Roster,
    32: AskMap,
    33: MapPart,
    40: Control,
    41: Done,
}
