"""A register, storage nodes, dispatchers and clients on loopback, in one event loop."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Coroutine
from typing import Any

from support.port_reservation import release, reserve

from cherrygrade.client import Client
from cherrygrade.gateway.process import Gateway
from cherrygrade.scheduling.model import (
    Idempotency,
    RetryBudgetSettings,
    ServicePlan,
    SitePolicy,
    SlowStartSettings,
    UtilityModel,
    Workload,
)
from cherrygrade.settings import (
    DispatcherIdentity,
    LimitSettings,
    NodeConnectionSettings,
    SchedulingSettings,
    TrafficSettings,
    UnitSettings,
    VolumeSettings,
)
from cherrygrade.standin.node import Build, Node
from cherrygrade.standin.register import Register

READ = Workload("read", 200.0, 1500.0, 3.0)
WRITE = Workload("write", 300.0, 1500.0, 3.0, is_write=True)
EXPORT = Workload("export", 1500.0, 5000.0, 1.0)
ONCE = Workload("once", 900.0, 1500.0, 3.0, idempotency=Idempotency.NON_IDEMPOTENT, is_write=True)
MARKED = Workload(
    "marked",
    900.0,
    1500.0,
    3.0,
    idempotency=Idempotency.IDEMPOTENT_WITH_KEY,
    deduplication_window_ms=5000.0,
    is_write=True,
)
ORDERED = Workload("ordered", 900.0, 1500.0, 3.0, ordered=True, is_write=True)
PLAN = ServicePlan("plan", usual_rate=1000.0)
TRADE = TrafficSettings(
    {w.name: w for w in (READ, WRITE, EXPORT, ONCE, MARKED, ORDERED)},
    {"v": VolumeSettings(PLAN, 1)},
    UnitSettings(4096.0, 1.0),
)
PERMITS = SitePolicy(
    max_attempts=4,
    allows_cancel=True,
    max_retry_after_ms=500.0,
    max_coalesced_bytes=65536,
    bytes_per_unit=4096.0,
    min_units=1.0,
)


class GatewaySite:
    """The parts of one test case; `close` ends them all.

    Attributes:
        logs: events and facts that the dispatchers logged.
    """

    def __init__(self) -> None:
        self.nodes: list[Node] = []
        self.places: list[str] = []
        self.register = Register(self.reserve(1)[0])
        self.gateways: list[Gateway] = []
        self.clients: list[Client] = []
        self.logs: list[tuple[str, dict[str, Any]]] = []

    def reserve(self, count: int) -> list[str]:
        """Reserve addresses until the site is closed."""
        self.places += (addresses := reserve(count))
        return addresses

    async def node(
        self, shard: int = 0, build: Build | None = None, zone: str = "z", *, listed: bool = True
    ) -> Node:
        node = Node(self.reserve(1)[0], build or Build(unit_ms=1.0, put_off=0.0))
        await node.start()
        self.nodes.append(node)
        if listed:
            self.register.set(node.address, zone, shard, "live", 1, 1e6)
        return node

    def volume(self, name: str = "v", extents: int = 8, extent_bytes: int = 16384) -> None:
        """Register a volume whose extents are spread over the nodes in turn."""
        shards = [index % len(self.nodes) for index in range(extents)]
        self.register.volume(name, extents * extent_bytes, extent_bytes, shards)
        for index, shard in enumerate(shards):
            self.nodes[shard].versions[(name, f"e{index}")] = 1

    def move(self, extent: int, to: int, name: str = "v", *, told: bool = True) -> None:
        """Move an extent with its bytes to another node; `told`: the register announces it."""
        key = (name, f"e{extent}")
        source = next(node for node in self.nodes if key in node.versions)
        del source.versions[key]
        self.nodes[to].bytes[key] = source.bytes.pop(key, bytearray())
        self.nodes[to].versions[key] = self.register.move(name, extent, to, notify=told)

    def list(self, node: Node, standing: str) -> None:
        self.register.set(node.address, "", -1, standing, node.starts, 0.0)

    async def gateway(
        self, *, bounds: LimitSettings | None = None, lines: NodeConnectionSettings | None = None, **more: Any
    ) -> Gateway:
        if self.register._server is None:
            await self.register.start()
        number, dispatchers = more.get("number", 0), more.get("dispatchers", 1)
        budget: RetryBudgetSettings | None = more.get("budget")
        gateway = Gateway(
            DispatcherIdentity(
                f"d{number}",
                "127.0.0.1:0",
                more.get("register", self.register.address),
                number,
                dispatchers,
                7 + number,
            ),
            more.get("trade", TRADE),
            SchedulingSettings(
                UtilityModel(within_quota=0.5, beyond_quota=0.1, largest_units=4.0),
                more.get("cold", SlowStartSettings()),
                budget,
                more.get("permits", PERMITS),
                100.0,
            ),
            bounds or LimitSettings(),
            lines or NodeConnectionSettings(),
            lambda event, **facts: self.logs.append((event, facts)),
            **{name: more[name] for name in ("make", "cuts", "pace", "places") if name in more},
        )
        port = await gateway.start()
        gateway.address = f"127.0.0.1:{port}"  # type: ignore[attr-defined]
        self.gateways.append(gateway)
        if more.get("listed", True):
            while self.nodes and not gateway.nodes.by_address:
                await asyncio.sleep(0.005)
        return gateway

    def client(self, gateway: Gateway, name: str = "c") -> Client:
        client = Client(gateway.address, name)  # type: ignore[attr-defined]
        self.clients.append(client)
        return client

    async def close(self) -> None:
        for client in self.clients:
            client.close()
        for gateway in self.gateways:
            gateway._end(0)
        for node in self.nodes:
            node.close()
        self.register.close()
        release(*self.places)
        await asyncio.sleep(0.01)
        for gateway in self.gateways:  # no memory for bodies may be lost, whatever the case did
            pool = gateway.rooms.budget
            assert (pool.used_bytes, pool.batch_bytes, pool.slow_bytes, pool.waiting_count) == (0, 0, 0, 0)


def run(case: Callable[[GatewaySite], Coroutine[Any, Any, None]], seconds: float = 10.0) -> None:
    """Run a case on a site of its own; it fails after `seconds`."""

    async def run_and_close() -> None:
        site = GatewaySite()
        try:
            await asyncio.wait_for(case(site), seconds)
        finally:
            await site.close()

    asyncio.run(run_and_close())
