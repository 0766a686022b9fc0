"""What the register's words mean: which replace what is known, and when the whole list must be asked for.

Free of I/O and clock. An older word never replaces a newer one, whichever way it came.
"""

from __future__ import annotations

from cherrygrade.scheduling.model import Node, NodeState
from cherrygrade.scheduling.round_inputs import NodeTable
from cherrygrade.wire.messages import Roster

NODE_STATES = {"live": NodeState.LIVE, "draining": NodeState.DRAINING, "gone": NodeState.GONE}


class RegisteredNodes:
    """The node list as last told. Versions are compared within one epoch of the register; a later epoch
    (the register began anew) replaces an earlier one only by a whole list."""

    def __init__(self, nodes: NodeTable) -> None:
        self.nodes = nodes
        self.epoch = self.version = -1
        self.gap = False  # a change was missed: only the whole list helps
        self._starts: dict[str, int] = {}  # by address; one a machine, as the nodes

    def apply(self, roster: Roster, now: float) -> list[Node] | None:
        """Nodes of which something was learned; None where the word is old or leaves a gap (see `gap`)."""
        if roster.epoch < self.epoch or (roster.epoch == self.epoch and roster.version <= self.version):
            if roster.full and roster.epoch == self.epoch and roster.version == self.version:
                self.gap = False  # nothing changed since
                return []
            return None
        if not roster.full and (roster.epoch != self.epoch or roster.base > self.version):
            self.gap = True
            return None
        named = []
        for entry in roster.entries:
            node = self.nodes.node(entry.address)
            known = self._starts.get(entry.address, -1)
            if entry.start < known:
                continue
            if entry.start > known:
                # Its age is told as of the word, so its birth is taken once: later words come later still.
                self._starts[entry.address] = entry.start
                node.started_ms = now - entry.age_ms
            node.zone, node.kind, node.shard, node.size = entry.zone, entry.kind, entry.shard, entry.size
            node.state = NODE_STATES.get(entry.standing, NodeState.GONE)
            named.append(node)
        self.epoch, self.version, self.gap = roster.epoch, roster.version, False
        return self.nodes.apply_list(named, roster.full)
