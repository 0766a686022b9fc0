"""What every host of a dispatcher shares at its door: what came in for the next round, and nodes by address.

Standard library only: the bench's adapter uses it too. Holds no decision.
"""

from __future__ import annotations

from collections.abc import Iterable

from cherrygrade.scheduling.model import Attempt, DecisionSink, Node, NodeState, Request
from cherrygrade.scheduling.scheduler import Scheduler


class RoundInputs:
    """All that came in since the last round; emptied by the round."""

    def __init__(self) -> None:
        self.clear()

    def clear(self) -> None:
        self.arrivals: list[Request] = []
        self.outcomes: list[Attempt] = []
        self.cancellations: list[Request] = []
        self.endpoint_changes: list[Node] = []
        self.endpoint_list_received: bool | None = None
        self.gossip: list[tuple[int, bytes]] = []

    def decide(self, dispatcher: Scheduler, now: float, writer: DecisionSink) -> None:
        """One round of the module with all that came in."""
        dispatcher.decide(
            now,
            writer,
            arrivals=self.arrivals,
            outcomes=self.outcomes,
            cancellations=self.cancellations,
            endpoint_changes=self.endpoint_changes,
            endpoint_list_received=self.endpoint_list_received,
            gossip=self.gossip,
        )
        self.clear()


class NodeTable:
    """Node objects by address; one a machine, as long as the host lives or until it forgets a gone one."""

    def __init__(self) -> None:
        self.by_address: dict[str, Node] = {}
        self._listed: set[str] = set()

    def node(self, address: str) -> Node:
        return self.by_address.setdefault(address, Node(address))

    def forget(self, node: Node) -> None:
        if self.by_address.get(node.address) is node:
            del self.by_address[node.address]
        self._listed.discard(node.address)

    def told(self, named: Iterable[Node], whole: bool) -> list[Node]:
        """A list came that names these: gives all nodes of which something was learned by it.

        A whole list that leaves a node out tells that it is gone.
        """
        heard = list(named)
        addresses = {node.address for node in heard}
        if not whole:
            self._listed |= addresses
            return heard
        for address in sorted(self._listed - addresses):
            node = self.by_address[address]
            node.state = NodeState.GONE
            heard.append(node)
        self._listed = addresses
        return heard
