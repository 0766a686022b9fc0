"""What every host of the scheduler shares: the inputs of the next round, and nodes by address.

Standard library only: the bench's adapter uses it too. No decisions.
"""

from __future__ import annotations

from collections.abc import Iterable

from cherrygrade.scheduling.model import Attempt, DecisionSink, Node, NodeState, Request
from cherrygrade.scheduling.scheduler import Scheduler


class RoundInputs:
    """All that happened since the last round; emptied by the round.

    Attributes: those of `Scheduler.decide`, under the same names.
    """

    def __init__(self) -> None:
        self.clear()

    def clear(self) -> None:
        """Begin the next round."""
        self.arrivals: list[Request] = []
        self.outcomes: list[Attempt] = []
        self.cancellations: list[Request] = []
        self.endpoint_changes: list[Node] = []
        self.endpoint_list_received: bool | None = None
        self.gossip: list[tuple[int, bytes]] = []

    def decide(self, scheduler: Scheduler, now: float, sink: DecisionSink) -> None:
        """One round of the scheduler with all of it."""
        scheduler.decide(
            now,
            sink,
            arrivals=self.arrivals,
            outcomes=self.outcomes,
            cancellations=self.cancellations,
            endpoint_changes=self.endpoint_changes,
            endpoint_list_received=self.endpoint_list_received,
            gossip=self.gossip,
        )
        self.clear()


class NodeTable:
    """Node objects, one a machine, as long as the host lives or until it forgets one that is gone.

    Attributes:
        by_address: nodes by address.
    """

    def __init__(self) -> None:
        self.by_address: dict[str, Node] = {}
        self._listed: set[str] = set()

    def node(self, address: str) -> Node:
        """The node of this address, made where it is not known."""
        return self.by_address.setdefault(address, Node(address))

    def forget(self, node: Node) -> None:
        """The node is gone; should its address be listed again, it is another."""
        if self.by_address.get(node.address) is node:
            del self.by_address[node.address]
        self._listed.discard(node.address)

    def apply_list(self, listed: Iterable[Node], is_complete: bool) -> list[Node]:
        """A list was received.

        Args:
            listed: the nodes that it names, already up to date.
            is_complete: it names all nodes, so that one it leaves out is gone.

        Returns:
            All nodes of which the list says something.
        """
        changed = list(listed)
        addresses = {node.address for node in changed}
        if not is_complete:
            self._listed |= addresses
            return changed
        for address in sorted(self._listed - addresses):
            node = self.by_address[address]
            node.state = NodeState.GONE
            changed.append(node)
        self._listed = addresses
        return changed
