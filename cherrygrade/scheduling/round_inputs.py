"""Collects the inputs of a scheduler's next round, and keeps one node object per address.

All hosts of the scheduler use this module. It depends on the standard library only, since the bench's adapter
uses it too, and takes no decisions.
"""

from __future__ import annotations

from collections.abc import Iterable

from cherrygrade.scheduling.model import Attempt, DecisionSink, Node, NodeState, Request
from cherrygrade.scheduling.scheduler import Scheduler


class RoundInputs:
    """Collects everything that happened since the last round; a round empties it.

    Attributes:
        arrivals: requests that arrived.
        responses: attempts that their node has responded to, with an outcome to come.
        outcomes: attempts that ended.
        cancellations: requests that their client cancelled.
        endpoint_changes: nodes that the endpoint list describes anew.
        endpoint_list_received: True if a list was received, False if a poll failed, None if neither happened.
        gossip: load report messages, with the seats of their senders.
    """

    def __init__(self) -> None:
        self.clear()

    def clear(self) -> None:
        """Empty the inputs for the next round."""
        self.arrivals: list[Request] = []
        self.responses: list[Attempt] = []
        self.outcomes: list[Attempt] = []
        self.cancellations: list[Request] = []
        self.endpoint_changes: list[Node] = []
        self.endpoint_list_received: bool | None = None
        self.gossip: list[tuple[int, bytes]] = []

    def decide(self, scheduler: Scheduler, now: float, sink: DecisionSink) -> None:
        """Run a round of the scheduler with the collected inputs at `now` (ms), and empty them."""
        scheduler.decide(
            now,
            sink,
            arrivals=self.arrivals,
            responses=self.responses,
            outcomes=self.outcomes,
            cancellations=self.cancellations,
            endpoint_changes=self.endpoint_changes,
            endpoint_list_received=self.endpoint_list_received,
            gossip=self.gossip,
        )
        self.clear()


class NodeTable:
    """Keeps one object per node, from the first time that it is named until the host forgets it.

    Attributes:
        by_address: nodes by address.
    """

    def __init__(self) -> None:
        self.by_address: dict[str, Node] = {}
        self._listed: set[str] = set()

    def node(self, address: str) -> Node:
        """Return the node with this address; a new one if the address is not known."""
        return self.by_address.setdefault(address, Node(address))

    def forget(self, node: Node) -> None:
        """Forget a node that is gone. If its address is listed again, that is a new node."""
        if self.by_address.get(node.address) is node:
            del self.by_address[node.address]
        self._listed.discard(node.address)

    def apply_list(self, listed: Iterable[Node], is_complete: bool) -> list[Node]:
        """Apply an endpoint list that was received.

        Args:
            listed: the nodes that the list names, already updated from it.
            is_complete: whether the list names all nodes. A known node that is missing from it is then gone.

        Returns:
            The nodes whose state the list gives: those it names, and those that are gone.
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
