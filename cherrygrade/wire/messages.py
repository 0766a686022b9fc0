"""The messages of our native protocol, one type a kind (docs/protocol.md).

Every header is a MessagePack array: fields are told by their place, new ones come at the end with a default,
and a reader passes over what it does not know. Times are durations in milliseconds, never clock times.
"""

from __future__ import annotations

from typing import Annotated

from msgspec import Meta, Struct

VERSION = 1
MOST_WORD = 256

Id = Annotated[int, Meta(ge=0, le=2**63 - 1)]
Name = Annotated[str, Meta(max_length=200)]
Text = Annotated[str, Meta(max_length=1000)]
Ms = Annotated[float, Meta(ge=0.0, le=1e9)]
Bytes = Annotated[int, Meta(ge=0, le=2**48)]
Token = Annotated[bytes, Meta(max_length=64)]
Shard = Annotated[int, Meta(ge=-1, le=2**31)]


class Message(Struct, array_like=True, gc=False):
    """Any header."""


class Hello(Message):
    """First of whoever connects."""

    version: int
    role: Name
    name: Name
    features: list[Name] = []


class Welcome(Message):
    """The answer to a hello: the version both speak, the features both have, and what may be sent."""

    version: int
    name: Name
    features: list[Name] = []
    most_body: int = 0
    most_open: int = 0


class Bye(Message):
    """Last of whoever closes, with the reason and when to come back."""

    reason: Text
    come_back_ms: Ms = 0.0


class Leaving(Message):
    """The dispatcher is about to close: no more RPCs on this connection; what is open is answered.

    Whoever hears it closes the connection itself once nothing is open, so that nothing is lost in between.
    """

    reason: Text
    come_back_ms: Ms = 0.0


class Word(Message):
    """A word of one dispatcher's module to another's."""

    payload: Annotated[bytes, Meta(max_length=MOST_WORD)]


class Members(Message):
    """Part of a member's roll, as `fleet/` writes it, or of what a person asked for; `last`: nothing
    follows."""

    payload: Annotated[bytes, Meta(max_length=16000)]
    last: bool


class ReadRpc(Message):
    """A client's read."""

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
    """Since this connection's hello, by the client's clock; 0: not told."""


class WriteRpc(Message):
    """A client's write; the body is what to write. Shard -1: a new object; append: behind what is there."""

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
    """The client does not want this RPC's answer any more."""

    id: Id


class Ok(Message):
    id: Id
    shard: Shard = -1


class Part(Message):
    """Bytes of a read whose answer is to come: the body stands at this place of what was asked for.

    A place may come again, with other bytes: the last before the Ok hold.
    """

    id: Id
    at: Bytes


class Rejected(Message):
    """Trying again is harmless; 0 where no come-back time may be given."""

    id: Id
    come_back_ms: Ms = 0.0
    reason: Text = ""


class Errored(Message):
    """Promises nothing: the RPC may have run."""

    id: Id
    reason: Text = ""


class ReadSend(Message):
    """A dispatcher's send of a read to a storage node. Origin tells the client's RPC, for records only."""

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
    """Of the extent that the dispatcher believes in; -1: no extent."""
    others: list[tuple[Name, int]] = []
    """Origin and number of the sends that this one carries too, for records only."""


class WriteSend(Message):
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
    """The dispatcher has no use for this send's answer any more; it may run all the same."""

    id: Id


class Answer(Message):
    """A node's answer to a send. Code: 0 ok, 1 errored; of those that never ran 2 full, 3 not here, and
    4 held at a newer version. Failed: ranges, start and length, that an ok answer does not vouch for."""

    id: Id
    code: int = 0
    load: dict[str, float] = {}
    used: float = -1.0
    elsewhere: float = 0.0
    failed: list[tuple[int, int]] = []
    version: int = -1


class Entry(Message):
    """One node as the register lists it. Start counts its starts; its age is told as of this message."""

    address: Name
    zone: Name
    kind: Name
    shard: Shard
    standing: Name
    size: float
    start: int
    age_ms: float


class Follow(Message):
    """Ask the register: for changes pushed from now on, and for the full list where `full`."""

    push: bool
    full: bool = True


class Roster(Message):
    """The list, whole (base -1), or what changed after version `base`; an epoch is a register's life."""

    epoch: int
    version: int
    base: int
    entries: list[Entry]

    @property
    def full(self) -> bool:
        return self.base < 0


class AskMap(Message):
    """Ask the register for a volume's extents from `first` on; changes are pushed to followers."""

    volume: Name
    first: int = 0
    count: int = 2**31


class MapPart(Message):
    """Where extents from `first` on lie: shard and version each."""

    volume: Name
    epoch: int
    size: Bytes
    extent_bytes: int
    first: int
    homes: list[tuple[int, int]]


class Control(Message):
    """The laboratory's word to a stand-in."""

    command: Name
    values: dict[str, float | str]


class Done(Message):
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
