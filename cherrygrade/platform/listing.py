"""What discovery's words mean: which replace what is known, where a node is, when it is forgotten.

Free of I/O and clock. An older word never replaces a newer one.
"""

from __future__ import annotations

import math
from collections.abc import Callable
from typing import Any

from cherrygrade.scheduling.model import Node, NodeState
from cherrygrade.scheduling.round_inputs import NodeTable

STANDINGS = {"in_service": NodeState.LIVE, "terminating": NodeState.DRAINING, "terminated": NodeState.GONE}


def place(text: str) -> tuple[str, int]:
    """Host and port of an address; ValueError where it is none."""
    host, _, port = text.rpartition(":")
    if not host or not port.isascii() or not port.isdigit() or not 0 <= int(port) < 65536:
        raise ValueError(f"'{text[:80]}' is no host:port")
    return host, int(port)


class Listing:
    """Nodes by `host`, and the `dial` of each; a node that is gone leaves both tables with `forget`."""

    def __init__(self, nodes: NodeTable, clock_of: Callable[[float], float]) -> None:
        self.nodes, self.version = nodes, -1
        self.dials: dict[Node, tuple[str, int]] = {}
        self._clock_of = clock_of
        """Unix time in ms as the module's clock."""

    def hear(self, word: Any) -> list[Node] | None:
        """Nodes of which something was learned; None where the word is older than what is known.

        ValueError where it makes no sense: nothing of it is taken then.
        """
        if not isinstance(word, dict) or not isinstance(word.get("hosts"), list):
            raise ValueError("no list of hosts")
        version, whole = word.get("seq"), word.get("whole")
        if not isinstance(version, int) or not isinstance(whole, bool):
            raise ValueError("no version, or not told whether it is whole")
        entries = [_entry(one) for one in word["hosts"]]
        if version < self.version or (version == self.version and not whole):
            return None
        named = []
        for host, dial, zone, kind, shard, standing, size, born in entries:
            node = self.nodes.by_address.get(host)
            if node is None:
                if standing is NodeState.GONE:
                    continue  # never heard of, and gone
                node = self.nodes.node(host)
            node.zone, node.kind, node.shard, node.size, node.state = zone, kind, shard, size, standing
            node.started_ms = self._clock_of(born) if born else 0.0
            self.dials[node] = dial
            named.append(node)
        self.version = version
        return self.nodes.told(named, whole)

    def forget(self, node: Node) -> None:
        """Gone, and nothing of it is out: should it come back, it is met anew."""
        self.nodes.forget(node)
        self.dials.pop(node, None)


def _entry(one: Any) -> tuple[str, tuple[str, int], str, str, int, NodeState, float, float]:
    if not isinstance(one, dict):
        raise ValueError("an entry that is no object")
    host, dial, shard = one.get("host"), one.get("dial"), one.get("block", -1)
    size, born = one.get("share", 1.0), one.get("born_ms", 0)
    if not isinstance(host, str) or not isinstance(dial, str) or not isinstance(shard, int):
        raise ValueError("an entry without host, dial or block")
    numbers = [x for x in (size, born) if isinstance(x, int | float) and math.isfinite(x) and x >= 0]
    if len(numbers) < 2 or one.get("health") not in STANDINGS:
        raise ValueError(f"an entry of {host[:40]} with a wrong health, share or born_ms")
    zone, kind = str(one.get("site", "")), str(one.get("class", ""))
    return host, place(dial), zone, kind, shard, STANDINGS[one["health"]], float(size), float(born)
