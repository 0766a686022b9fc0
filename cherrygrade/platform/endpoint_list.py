"""The storage nodes that discovery knows: how its messages are read, and which replace what is known.

Free of I/O and clock. An older message never replaces a newer one. The keys of discovery's JSON ("hosts",
"dial", "seq", "whole" and so on) are the platform's protocol; nothing else spells them.
"""

from __future__ import annotations

import math
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

from cherrygrade.scheduling.model import Node, NodeState
from cherrygrade.scheduling.round_inputs import NodeTable

STATE_OF_HEALTH = {
    "in_service": NodeState.LIVE,
    "terminating": NodeState.DRAINING,
    "terminated": NodeState.GONE,
}
NO_VERSION = -1  # older than any
MAX_QUOTED_CHARS = 80
MAX_QUOTED_NAME_CHARS = 40
EMPTY_LIST: dict[str, Any] = {"seq": NO_VERSION, "whole": True, "hosts": []}


@dataclass(frozen=True, slots=True)
class EndpointAddress:
    """Where connections are made to."""

    host: str
    port: int


@dataclass(frozen=True, slots=True)
class _Endpoint:
    """One node, as discovery describes it."""

    name: str
    address: EndpointAddress
    zone: str
    kind: str
    shard: int
    """-1: none."""
    state: NodeState
    size: float
    started_unix_ms: float
    """0: not known."""


def parse_address(text: str) -> EndpointAddress:
    """Read "host:port".

    Raises:
        ValueError: It is none; the text quotes it.
    """
    host, _, port = text.rpartition(":")
    if not host or not port.isascii() or not port.isdigit() or not 0 <= int(port) < 65536:
        raise ValueError(f"'{text[:MAX_QUOTED_CHARS]}' is no host:port")
    return EndpointAddress(host, int(port))


def list_version(message: dict[str, Any]) -> Any:
    """The version that a message of discovery carries, for a log."""
    return message.get("seq")


class EndpointList:
    """The known nodes and their addresses; a node that is gone stays until `forget`."""

    def __init__(self, nodes: NodeTable, from_unix_ms: Callable[[float], float]) -> None:
        """Args: `from_unix_ms`: gives Unix time in ms on the scheduler's clock."""
        self.nodes = nodes
        self.version = NO_VERSION
        self.addresses: dict[Node, EndpointAddress] = {}
        self._from_unix_ms = from_unix_ms

    def apply(self, message: Any) -> list[Node] | None:
        """Take a message of discovery: the whole list, or what has changed.

        Returns:
            The nodes of which something changed; None where the message is older than what is known.

        Raises:
            ValueError: The message makes no sense; nothing of it is taken then.
        """
        if not isinstance(message, dict) or not isinstance(message.get("hosts"), list):
            raise ValueError("no list of hosts")
        version = message.get("seq")
        is_whole_list = message.get("whole")
        if not isinstance(version, int) or not isinstance(is_whole_list, bool):
            raise ValueError("no version, or not told whether it is whole")
        endpoints = [_parse_endpoint(entry) for entry in message["hosts"]]
        if version < self.version or (version == self.version and not is_whole_list):
            return None
        named = [node for node in map(self._update, endpoints) if node is not None]
        self.version = version
        return self.nodes.apply_list(named, is_whole_list)

    def _update(self, endpoint: _Endpoint) -> Node | None:
        """The node, up to date; None for one that was never known and is gone."""
        node = self.nodes.by_address.get(endpoint.name)
        if node is None:
            if endpoint.state is NodeState.GONE:
                return None
            node = self.nodes.node(endpoint.name)
        node.zone = endpoint.zone
        node.kind = endpoint.kind
        node.shard = endpoint.shard
        node.size = endpoint.size
        node.state = endpoint.state
        started = endpoint.started_unix_ms
        node.started_ms = self._from_unix_ms(started) if started else 0.0
        self.addresses[node] = endpoint.address
        return node

    def forget(self, node: Node) -> None:
        """Drop a node that is gone and carries nothing: should it come back, it is a new one."""
        self.nodes.forget(node)
        self.addresses.pop(node, None)


def _parse_endpoint(entry: Any) -> _Endpoint:
    if not isinstance(entry, dict):
        raise ValueError("an entry that is no object")
    name = entry.get("host")
    address = entry.get("dial")
    shard = entry.get("block", -1)
    if not isinstance(name, str) or not isinstance(address, str) or not isinstance(shard, int):
        raise ValueError("an entry without host, dial or block")
    size = entry.get("share", 1.0)
    started = entry.get("born_ms", 0)
    if not (_is_amount(size) and _is_amount(started)) or entry.get("health") not in STATE_OF_HEALTH:
        short_name = name[:MAX_QUOTED_NAME_CHARS]
        raise ValueError(f"an entry of {short_name} with a wrong health, share or born_ms")
    return _Endpoint(
        name=name,
        address=parse_address(address),
        zone=str(entry.get("site", "")),
        kind=str(entry.get("class", "")),
        shard=shard,
        state=STATE_OF_HEALTH[entry["health"]],
        size=float(size),
        started_unix_ms=float(started),
    )


def _is_amount(value: Any) -> bool:
    """Whether it is a finite number from 0 on."""
    return isinstance(value, int | float) and math.isfinite(value) and value >= 0
