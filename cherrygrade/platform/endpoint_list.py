"""The list of storage nodes and their addresses, updated by discovery's messages.

The module is free of I/O and clock. A message never replaces a newer one. The JSON keys of discovery
("hosts", "dial", "seq", "whole" and so on) belong to the platform's protocol; no other module uses them.
"""

from __future__ import annotations

import math
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

from cherrygrade.scheduling.model import Node, NodeState
from cherrygrade.scheduling.round_inputs import NodeTable

STATE_BY_HEALTH = {
    "in_service": NodeState.LIVE,
    "terminating": NodeState.DRAINING,
    "terminated": NodeState.GONE,
}
NO_VERSION = -1  # older than every version that discovery sends
MAX_QUOTED_CHARS = 80
MAX_QUOTED_NAME_CHARS = 40
MAX_NODES = (
    6400  # twice the largest fleet, as all nodes may be replaced at once; further new ones are ignored
)
MAX_TEXT_CHARS = 256
EMPTY_LIST: dict[str, Any] = {"seq": NO_VERSION, "whole": True, "hosts": []}


@dataclass(frozen=True, slots=True)
class EndpointAddress:
    """The network address of a storage node."""

    host: str
    port: int


@dataclass(frozen=True, slots=True)
class _Endpoint:
    """A storage node as discovery describes it."""

    name: str
    address: EndpointAddress
    zone: str
    kind: str
    shard: int
    """The shard that the node stores; -1 for none."""
    state: NodeState
    size: float
    """Capacity relative to other nodes; 1 if discovery sends none."""
    started_unix_ms: float
    """Unix time at which the node's process started, in ms; 0 if unknown."""


def parse_address(text: str) -> EndpointAddress:
    """Parse "host:port".

    Raises:
        ValueError: The text is not a host and a port from 0 to 65535; the message quotes it.
    """
    host, _, port = text.rpartition(":")
    if not host or not port.isascii() or not port.isdigit() or not 0 <= int(port) < 65536:
        raise ValueError(f"host:port wanted, not '{text[:MAX_QUOTED_CHARS]}'")
    return EndpointAddress(host, int(port))


def list_version(message: dict[str, Any]) -> Any:
    """Return the version in a discovery message, for a log line."""
    return message.get("seq")


class EndpointList:
    """The known storage nodes and their addresses; a removed node stays in the list until `forget`."""

    def __init__(self, nodes: NodeTable, from_unix_ms: Callable[[float], float]) -> None:
        """Create an empty list.

        Args:
            nodes: The scheduler's table of nodes, which this list fills.
            from_unix_ms: Converts Unix time in ms to the scheduler's clock.
        """
        self.nodes = nodes
        self.version = NO_VERSION
        """Version of the newest message that was applied."""
        self.addresses: dict[Node, EndpointAddress] = {}
        """Address of every node in the list."""
        self._from_unix_ms = from_unix_ms

    def apply(self, message: Any) -> list[Node] | None:
        """Apply a discovery message, which has either the full list or the changed nodes.

        Returns:
            The nodes with a change; None if the message is outdated.

        Raises:
            ValueError: The message is malformed; the list is unchanged then.
        """
        if not isinstance(message, dict) or not isinstance(message.get("hosts"), list):
            raise ValueError("hosts: a list wanted")
        version = message.get("seq")
        is_full_list = message.get("whole")
        if not isinstance(version, int) or not isinstance(is_full_list, bool):
            raise ValueError("seq: an integer wanted, and whole: true or false")
        endpoints = [_parse_endpoint(entry) for entry in message["hosts"]]
        if version < self.version or (version == self.version and not is_full_list):
            return None
        named = [node for node in map(self._update, endpoints) if node is not None]
        self.version = version
        return self.nodes.apply_list(named, is_full_list)

    def _update(self, endpoint: _Endpoint) -> Node | None:
        """Return the updated node.

        Returns:
            The node; None for one that discovery removed before it was ever known, or that is too many.
        """
        node = self.nodes.by_address.get(endpoint.name)
        if node is None:
            if endpoint.state is NodeState.GONE or len(self.addresses) >= MAX_NODES:
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
        """Drop a removed node without attempts in flight; if it returns, it is a new node."""
        self.nodes.forget(node)
        self.addresses.pop(node, None)


def _parse_endpoint(entry: Any) -> _Endpoint:
    if not isinstance(entry, dict):
        raise ValueError("hosts: an entry is not an object")
    name = entry.get("host")
    address = entry.get("dial")
    shard = entry.get("block", -1)
    if not isinstance(name, str) or not isinstance(address, str) or not isinstance(shard, int):
        raise ValueError("hosts: an entry needs the texts host and dial and the integer block")
    zone, kind = str(entry.get("site", "")), str(entry.get("class", ""))
    if max(map(len, (name, address, zone, kind))) > MAX_TEXT_CHARS:
        raise ValueError(f"hosts: a text of an entry is longer than {MAX_TEXT_CHARS} characters")
    size = entry.get("share", 1.0)
    started = entry.get("born_ms", 0)
    if not (_is_amount(size) and _is_amount(started)) or entry.get("health") not in STATE_BY_HEALTH:
        short_name = name[:MAX_QUOTED_NAME_CHARS]
        raise ValueError(f"hosts: the entry of {short_name} has an invalid health, share or born_ms")
    return _Endpoint(
        name=name,
        address=parse_address(address),
        zone=zone,
        kind=kind,
        shard=shard,
        state=STATE_BY_HEALTH[entry["health"]],
        size=float(size),
        started_unix_ms=float(started),
    )


def _is_amount(value: Any) -> bool:
    """Return whether the value is a finite number of at least 0."""
    return isinstance(value, int | float) and math.isfinite(value) and value >= 0
