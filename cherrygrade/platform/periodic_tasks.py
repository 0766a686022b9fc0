"""Periodic tasks of the platform's dispatcher: it closes silent connections and logs counts."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from cherrygrade.platform.client_registry import ClientRegistry
from cherrygrade.platform.endpoint_list import EndpointList
from cherrygrade.platform.round_carrier import RoundCarrier
from cherrygrade.scheduling.model import Node, NodeState

MAX_SILENT_MS = 2000.0  # idle limit of a client that has sent no complete request, or a part of one
MAX_IDLE_CROWDED_MS = 2000.0  # idle limit of an answered client while over 3/4 of the places are taken
MAX_IDLE_MS = 60000.0  # idle limit of an answered client otherwise
MAX_LINGER_MS = 1000.0  # time in which a client has to close after this process has closed its side
SWEEP_INTERVAL_S = 0.25
COUNTS_INTERVAL_S = 10.0


class PeriodicTasks:
    """Two timers: one sweeps connections, nodes and memory, the other logs counts."""

    def __init__(
        self,
        clients: ClientRegistry,
        round_carrier: RoundCarrier,
        endpoint_list: EndpointList,
        log_counts: Callable[[], None],
        sweep_memory: Callable[[], None],
    ) -> None:
        self._sweep_memory = sweep_memory
        self._clients = clients
        self._round_carrier = round_carrier
        self._endpoint_list = endpoint_list
        self._log_counts = log_counts
        self._sweep_timer: asyncio.TimerHandle | None = None
        self._counts_timer: asyncio.TimerHandle | None = None

    def start(self) -> None:
        """Run both tasks now, and again at their intervals."""
        self.sweep()
        self._log_and_reschedule()

    def stop(self) -> None:
        """Cancel both timers."""
        for timer in (self._sweep_timer, self._counts_timer):
            if timer is not None:
                timer.cancel()

    def sweep(self) -> None:
        """Close connections that are silent for too long, and forget nodes that discovery has removed."""
        now = self._round_carrier.rounds.clock()
        is_crowded = len(self._clients.connections) > self._clients.max_connections * 3 // 4
        self._abort_lingering(now)
        self._close_silent_clients(now, is_crowded)
        for pool in [*self._round_carrier.pools.values()]:
            pool.close_idle(now)
        for node in [*self._endpoint_list.addresses]:
            if node.state is NodeState.GONE:
                self._forget(node)
        self._sweep_memory()
        self._sweep_timer = asyncio.get_running_loop().call_later(SWEEP_INTERVAL_S, self.sweep)

    def _abort_lingering(self, now: float) -> None:
        for client in [*self._clients.lingering]:
            limit_ms = MAX_SILENT_MS if client.unsent_bytes else MAX_LINGER_MS
            if now - client.idle_since_ms >= limit_ms:
                client.abort()

    def _close_silent_clients(self, now: float, is_crowded: bool) -> None:
        for client in [*self._clients.connections]:
            if not client.is_idle:
                continue
            if not client.has_requested or client.within_message:
                limit_ms = MAX_SILENT_MS
            else:
                limit_ms = MAX_IDLE_CROWDED_MS if is_crowded else MAX_IDLE_MS
            # Unread bytes may be a request, which has to be answered.
            if now - client.idle_since_ms >= limit_ms and not client.has_unread_bytes:
                client.close_idle()

    def _forget(self, node: Node) -> None:
        """Drop a node that discovery has removed, once it has no attempts in flight."""
        pool = self._round_carrier.pools.get(node)
        if pool is not None and not pool.is_unused:
            return
        if pool is not None:
            del self._round_carrier.pools[node]
            pool.close()
        self._endpoint_list.forget(node)

    def _log_and_reschedule(self) -> None:
        self._log_counts()
        loop = asyncio.get_running_loop()
        self._counts_timer = loop.call_later(COUNTS_INTERVAL_S, self._log_and_reschedule)
