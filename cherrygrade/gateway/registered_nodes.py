"""The endpoint list as the register last sent it: which messages to apply, and when a full list is needed.

Free of I/O and clock. An older message never replaces a newer one, in whatever order they arrive.
"""

from __future__ import annotations

from cherrygrade.scheduling.model import Node, NodeState
from cherrygrade.scheduling.round_inputs import NodeTable
from cherrygrade.wire.messages import Roster

# The register's words for the states of a node; any other word counts as gone.
NODE_STATES = {"live": NodeState.LIVE, "draining": NodeState.DRAINING, "gone": NodeState.GONE}


class RegisteredNodes:
    """Applies the register's lists and changes to a table of nodes.

    Versions are compared within one epoch of the register. A restarted register begins a later epoch, which
    replaces the earlier one only by a full list.

    Attributes:
        nodes: the nodes by address.
        epoch, version: of the last message applied; -1 before the first.
        gap: a change was missed, so a full list must be requested.
    """

    def __init__(self, nodes: NodeTable) -> None:
        """`nodes`: the table to update."""
        self.nodes = nodes
        self.epoch = self.version = -1
        self.gap = False
        self._starts: dict[str, int] = {}  # newest start count by address; as many as there are nodes

    def apply(self, roster: Roster, now: float) -> list[Node] | None:
        """Apply a list or a change from the register.

        Args:
            roster: the message.
            now: when it was received, ms.

        Returns:
            The nodes that the message names or removes. None if it is older than the known state, or if
            `gap` is set since a change before it was missed; then nothing has changed.
        """
        if roster.epoch < self.epoch or (roster.epoch == self.epoch and roster.version <= self.version):
            if roster.full and roster.epoch == self.epoch and roster.version == self.version:
                self.gap = False  # the full list confirms that nothing changed since
                return []
            return None
        if not roster.full and (roster.epoch != self.epoch or roster.base > self.version):
            self.gap = True
            return None
        named = []
        for entry in roster.entries:
            node = self.nodes.node(entry.address)
            known_start = self._starts.get(entry.address, -1)
            if entry.start < known_start:
                continue
            if entry.start > known_start:
                # The age is as of the message. The start time is computed from the first message of a start
                # only: later messages may have been delayed more.
                self._starts[entry.address] = entry.start
                node.started_ms = now - entry.age_ms
            node.zone, node.kind, node.shard, node.size = entry.zone, entry.kind, entry.shard, entry.size
            node.state = NODE_STATES.get(entry.standing, NodeState.GONE)
            named.append(node)
        self.epoch, self.version, self.gap = roster.epoch, roster.version, False
        return self.nodes.apply_list(named, roster.full)
