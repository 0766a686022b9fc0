"""A version of the configuration is put in force in one dispatcher.

It must be applied completely or not at all, between two rounds of the scheduler. The tests compare all
settings that depend on a configuration before and after a version is put in force.
"""

from __future__ import annotations

import asyncio
from pathlib import Path
from typing import Any

import msgspec
import pytest
from support.configured_fleet import free_ports
from support.gateway_site import GatewaySite, run

from cherrygrade.cli import origin_of
from cherrygrade.client import Ok, Rejected
from cherrygrade.fleet.config.replica_messages import StoredConfig
from cherrygrade.fleet.config.versions import NO_DIGEST, ConfigVersion, QuotaDivisors
from cherrygrade.fleet.runtime.sealed_file import SealedFile
from cherrygrade.fleet.runtime.voter_store import create_founding_store
from cherrygrade.gateway import settings_in_force
from cherrygrade.gateway.overlay import Overlay
from cherrygrade.gateway.process import Gateway
from cherrygrade.records.load import RecordError, read_site

OWN_FILE = """
place: {{name: "d{number}", listen: "127.0.0.1:0", register: "{register}", number: {number}, dispatchers: 3}}
workloads: {{
	read: {{soft_ms: 200, deadline_ms: 3000, value: 3}}
	write: {{soft_ms: 300, deadline_ms: 3000, value: 3, writes: true}}
	export: {{soft_ms: 1500, deadline_ms: 5000}}
}}
plans: gold: {{usual_rate: 1000, limit_rate: 300, limit_depth: 120}}
plans: plain: {{usual_rate: 1000}}
volumes: v: plan: plans.gold
volumes: w: {{plan: plans.plain, hosts: 2}}
earnings: {{in_share: 0.5, beyond: 0.1}}
permits: come_back_ms: 500
bounds: most_held: 100
fleet: {{
	name: "one", place: "{place}", config_file: "{folder}/kept"
	council: {{voters: ["d0"], folder: "{folder}/store"}}
}}
"""
VERSION_TEXT = """
plans: gold: {usual_rate: 500, limit_rate: 30, limit_depth: 12, weight: 5, price: 2}
workloads: read: {soft_ms: 100, deadline_ms: 2000, value: 4}
workloads: scan: {soft_ms: 1000, deadline_ms: 4000}
volumes: x: plan: plans.gold
earnings: {in_share: 0.25, beyond: 0.05}
cold: {units: 9, share: 0.5, multiple: 2, span_ms: 1000, warm_ms: 4000}
budget: {spare: 2, share: 0.5, span_ms: 2000}
permits: {most_sends: 2, come_back_ms: 700}
bounds: {most_held: 7, answer_ms: 30, leave_ms: 900}
"""


def version(number: int, text: str, old_divisors: QuotaDivisors | None = None) -> ConfigVersion:
    return ConfigVersion(number, NO_DIGEST, text, "a test", 0.0, old_divisors, number if old_divisors else 0)


class SingleDispatcher:
    """One dispatcher that is its council's only voter, with a storage node and a client."""

    def __init__(self, gateway_site: GatewaySite, folder: Path) -> None:
        self.gateway_site, self.folder = gateway_site, folder

    async def open(
        self, number: int = 0, *, own: str = OWN_FILE, stored: StoredConfig | None = None
    ) -> Gateway:
        """Start the dispatcher with seat `number` and its own settings file, or also a stored version."""
        if not self.gateway_site.nodes:
            await self.gateway_site.node(0)
            await self.gateway_site.register.start()
            create_founding_store(self.folder / "store", "one", "d0", ["d0"])
        self.file = self.folder / f"d{number}.rec"
        address = f"127.0.0.1:{free_ports(1)[0]}"
        fields = {"number": number, "register": self.gateway_site.register.address, "place": address}
        self.file.write_text(own.format(folder=self.folder, **fields))
        if stored is not None:
            SealedFile(self.folder / "kept").save(msgspec.msgpack.encode(stored))
        site = read_site(self.file)
        gateway = Gateway(
            site.place, site.trade, site.bearings, site.bounds, site.lines,
            lambda event, **facts: self.gateway_site.logs.append((event, facts)),
            cuts=site.cuts, pace=site.pace, fleet=site.fleet, origin=origin_of(site),
            overlay=Overlay(self.file, (), site),
        )  # fmt: skip
        gateway.address = f"127.0.0.1:{await gateway.start()}"  # type: ignore[attr-defined]
        self.gateway_site.gateways.append(gateway)
        while not gateway.nodes.by_address:
            await asyncio.sleep(0.005)
        return gateway

    async def wait_until_certain(self, gateway: Gateway) -> None:
        """Wait until the dispatcher knows the fleet's version for certain, and has its quotas."""
        while not gateway._sure():
            await asyncio.sleep(0.01)
        gateway.rounds.schedule_round()
        await asyncio.sleep(0.01)
        assert not gateway.peer_directory.forfeits_quota


def applied_settings(gateway: Gateway) -> dict[str, Any]:
    """Return all values in a gateway that depend on the configuration in force."""
    scheduler, rooms = gateway.rounds.scheduler, gateway.rooms
    settings, admission = scheduler.settings, scheduler.admission
    return {
        "trade": gateway.trade,
        "bounds": gateway.bounds,
        "come_back_ms": (gateway.come_back_ms, gateway.watch.come_back_ms),
        "settings": (
            settings.utility,
            settings.policy,
            settings.highest_weight,
            settings.tightest_objective_ms,
            scheduler.polling.spread_ms,
        ),
        "admission": (
            admission.slow_start.settings,
            admission.retry_budget.settings,
            admission.settings.policy,
            admission.slow_start.mean_units,
            admission.order.cool_down_ms,
        ),
        "counts": (
            scheduler.peers.dispatcher_counts,
            scheduler.peers.dispatchers,
            scheduler.peers.forfeits_quota,
        ),
        "volumes": {
            name: (volume.plan, volume.dispatchers, volume.usual_capacity, volume.reserve_capacity)
            for name, volume in scheduler.volumes.items()
        },
        "node queues": [
            queue.tightest_objective_ms for queue in [*scheduler.node_queues.values(), scheduler.unplaced]
        ],
        "rooms": (
            dict(rooms._workloads),
            {name: (share[0].weight, share[1]) for name, share in rooms._volumes.items()},
        ),
        "store": (rooms.budget.value_within_quota, rooms.budget.value_beyond_quota),
        "record": gateway.agent.membership.fleet_size,
        "stage": gateway._in_force[2],
    }


def test_all_values_that_depend_on_a_version_are_replaced_together(tmp_path):
    async def scenario(gateway_site: GatewaySite) -> None:
        dispatcher = SingleDispatcher(gateway_site, tmp_path)
        gateway = await dispatcher.open()
        await dispatcher.wait_until_certain(gateway)
        client = gateway_site.client(gateway)
        assert isinstance(await client.write("write", "v", "k", b"x", shard=0, deadline_ms=2000), Ok)
        assert await gateway.in_force(version(1, VERSION_TEXT), 3) == ""
        site = gateway.overlay.site(VERSION_TEXT)
        expected = {
            "trade": site.trade,
            "bounds": site.bounds,
            "come_back_ms": (700.0, 700.0),
            "settings": (site.bearings.earnings, site.bearings.permits, 4.0, 100.0, 1000.0),
            "admission": (site.bearings.cold, site.bearings.budget, site.bearings.permits, 1.0, 0.0),
            "counts": ((3,), 3, False),
            "volumes": {"v": (site.trade.volumes["v"].plan, 3, 500.0 * 0.35, 1.0)},
            "node queues": [100.0, 100.0],
            "rooms": (
                {
                    "read": (True, 4.0, 25.0),
                    "write": (False, 3.0, 75.0),
                    "export": (False, 1.0, 375.0),
                    "scan": (False, 1.0, 250.0),
                },
                {"v": (5.0, 2.0), "w": (1.0, 1.0), "x": (5.0, 2.0)},
            ),
            "store": (0.25, 0.05),
            "record": 3,
            "stage": 3,
        }
        assert applied_settings(gateway) == expected
        assert isinstance(await client.write("scan", "x", "k", b"x", shard=0, deadline_ms=3000), Ok)
        assert await gateway.in_force(version(2, ""), 5) == ""  # back to the dispatcher's own file
        assert gateway.trade == gateway.overlay.own.trade
        assert gateway.rounds.scheduler.admission.retry_budget.settings is None

    run(scenario)


@pytest.mark.parametrize("broken", ["terms", "rooms"])
def test_error_while_a_version_is_applied_leaves_everything_unchanged(tmp_path, monkeypatch, broken):
    async def scenario(gateway_site: GatewaySite) -> None:
        dispatcher = SingleDispatcher(gateway_site, tmp_path)
        gateway = await dispatcher.open()
        await dispatcher.wait_until_certain(gateway)
        client = gateway_site.client(gateway)
        await client.write("write", "v", "k", b"x", shard=0, deadline_ms=2000)
        before = applied_settings(gateway)
        if broken == "terms":
            text = "place: dispatchers: 3"
            monkeypatch.setattr(settings_in_force, "max", lambda *_, **__: 1 / 0, raising=False)
        else:
            text = "plans: gold: weight: 4"
            monkeypatch.setattr("cherrygrade.peers.memory_admission.VolumeUsage", lambda *_: 1 / 0)
        with pytest.raises(ZeroDivisionError):
            await gateway.in_force(version(1, f"{text}\nvolumes: x: plan: plans.gold"), 3)
        assert applied_settings(gateway) == before
        monkeypatch.undo()
        assert isinstance(await client.write("write", "v", "k", b"y", shard=0, deadline_ms=2000), Ok)

    run(scenario)


UNUSABLE_TEXTS = [
    ("lines: most: 9", "needs a restart: lines.most"),
    ('workloads: read: {deadline_ms: 3000, effect: "tokened"}', "needs a restart: workloads.read.effect"),
    ("earnings: mean_units: 3", "needs a restart: earnings.mean_units"),
    ("place: number: 0", "needs a restart: place.number"),
    ("plans: gold: limit_rate: -1", "plans.gold.limit_rate"),
    ("plans: gold: {limit_rate: 5, limit_depth: 0}", "plans.gold.limit_depth: 0, but limit_rate is set"),
    # What an earlier version of the program meets in a text for a newer one.
    ("plans: gold: limit_rat: 5", "plans.gold: no field 'limit_rat'"),
    ("forecast: window_ms: 5", "forecast"),
    ("plans: gold: {limit_rate", "configuration:"),
]


@pytest.mark.parametrize("text, reason", UNUSABLE_TEXTS)
def test_unusable_text_is_refused_with_its_key_by_the_judge_and_when_applied(tmp_path, text, reason):
    async def scenario(gateway_site: GatewaySite) -> None:
        dispatcher = SingleDispatcher(gateway_site, tmp_path)
        gateway = await dispatcher.open(1, own=OWN_FILE.replace('voters: ["d0"]', 'voters: ["d9"]'))
        before = applied_settings(gateway)
        judged = gateway.overlay.judge("", text)
        assert reason in judged[0] and judged[1:] == (None, None)
        assert await gateway.in_force(version(1, text), 3) == judged[0]
        assert applied_settings(gateway) == before

    run(scenario)


def test_lowered_limit_cuts_a_volumes_stored_tokens_at_once(tmp_path):
    async def scenario(gateway_site: GatewaySite) -> None:
        dispatcher = SingleDispatcher(gateway_site, tmp_path)
        gateway = await dispatcher.open()
        await dispatcher.wait_until_certain(gateway)
        client = gateway_site.client(gateway)
        await client.write("write", "v", "k", b"x", shard=0, deadline_ms=2000)
        await asyncio.sleep(0.5)
        volume = gateway.rounds.scheduler.volumes["v"]
        volume.refill(gateway.clock())
        assert volume.limit_tokens > 35.0  # a third of 120: there are three dispatchers
        lower = "plans: gold: {usual_rate: 1000, limit_rate: 30, limit_depth: 12}"
        assert await gateway.in_force(version(1, lower), 3) == ""
        assert volume.limit_tokens <= 4.0 and gateway.rounds.scheduler.volumes["v"] is volume
        writes = [
            client.write("write", "v", f"k{index}", b"x", shard=0, deadline_ms=400) for index in range(20)
        ]
        answers = await asyncio.gather(*writes)
        assert sum(isinstance(answer, Ok) for answer in answers) <= 4 + 10 * 0.45 + 1

    run(scenario)


def test_requests_in_flight_keep_their_workload_when_a_version_removes_it(tmp_path):
    async def scenario(gateway_site: GatewaySite) -> None:
        dispatcher = SingleDispatcher(gateway_site, tmp_path)
        own = OWN_FILE.replace("limit_rate: 300, limit_depth: 120", "limit_rate: 12, limit_depth: 6")
        gateway = await dispatcher.open(own=own)
        await dispatcher.wait_until_certain(gateway)
        client = gateway_site.client(gateway)
        writes = [
            asyncio.ensure_future(client.write("export", "v", f"k{index}", b"x", shard=0, deadline_ms=4500))
            for index in range(4)
        ]
        await asyncio.sleep(0.05)
        in_flight = [*gateway.open_requests]
        assert len(in_flight) >= 3  # the limit admits four a second
        overlay = Overlay(dispatcher.file, (), gateway.overlay.own)
        overlay._below = [("file", dispatcher.file.read_text().replace("export:", "other:"))]
        gateway.overlay = overlay
        faster = "plans: gold: {usual_rate: 1000, limit_rate: 300, limit_depth: 120}"
        assert await gateway.in_force(version(1, faster), 3) == ""
        assert "export" not in gateway.trade.workloads
        assert {request.workload.name for request in in_flight} == {"export"}
        assert {(request.plan.limit_rate, request.dispatchers) for request in in_flight} == {
            (300.0, 3)
        }  # their volume has the plan of the new version
        assert all(isinstance(answer, Ok) for answer in await asyncio.gather(*writes))
        rejected = await client.write("export", "v", "k", b"x", shard=0, deadline_ms=2000)
        assert isinstance(rejected, Rejected) and "unknown workload" in rejected.reason

    run(scenario)


def test_pieces_of_a_range_keep_its_workload_and_volume(tmp_path):
    async def scenario(gateway_site: GatewaySite) -> None:
        dispatcher = SingleDispatcher(gateway_site, tmp_path)
        gateway = await dispatcher.open()
        await dispatcher.wait_until_certain(gateway)
        gateway_site.volume("v", extents=8, extent_bytes=16384)
        client = gateway_site.client(gateway)
        body = bytes(range(256)) * 512  # eight extents, of which two pieces are in flight at a time
        gateway_site.nodes[0].build.unit_ms = 20.0
        write = asyncio.ensure_future(client.write("write", "v", "", body, offset=0, deadline_ms=2900))
        while not gateway.open_requests or not any(
            hasattr(request, "requests") and request.requests for request in gateway.open_requests
        ):
            await asyncio.sleep(0.001)
        overlay = Overlay(dispatcher.file, (), gateway.overlay.own)
        renamed = (
            dispatcher.file.read_text().replace("\twrite:", "\tother:").replace("volumes: v:", "volumes: u:")
        )
        overlay._below = [("file", renamed)]
        gateway.overlay = overlay
        assert await gateway.in_force(version(1, "earnings: in_share: 0.4"), 3) == ""
        assert "write" not in gateway.trade.workloads and "v" not in gateway.trade.volumes
        assert isinstance(await write, Ok)

    run(scenario)


def test_retry_budget_may_be_set_and_removed_while_requests_are_counted(tmp_path):
    async def scenario(gateway_site: GatewaySite) -> None:
        dispatcher = SingleDispatcher(gateway_site, tmp_path)
        gateway = await dispatcher.open()
        await dispatcher.wait_until_certain(gateway)
        client = gateway_site.client(gateway)
        budget = "budget: {spare: 5, share: 0.5, span_ms: 1000}"
        for number, text in enumerate((budget, "", budget, "earnings: in_share: 0.4"), 1):
            assert await gateway.in_force(version(number, text), 2 * number + 1) == ""
            for key in ("a", "b"):
                assert isinstance(await client.write("write", "w", key, b"x", shard=0, deadline_ms=2000), Ok)
            assert bool(gateway.rounds.scheduler.admission.retry_budget.arrivals_ms) == (text == budget)

    run(scenario)


def test_uncertain_dispatcher_has_no_quotas_and_serves_unlimited_volumes(tmp_path):
    async def scenario(gateway_site: GatewaySite) -> None:
        dispatcher = SingleDispatcher(gateway_site, tmp_path)
        # The council's only voter d9 does not run: the dispatcher can't learn the fleet's version.
        gateway = await dispatcher.open(1, own=OWN_FILE.replace('voters: ["d0"]', 'voters: ["d9"]'))
        client = gateway_site.client(gateway)
        assert gateway.peer_directory.forfeits_quota
        assert isinstance(await client.write("write", "w", "k", b"x", shard=0, deadline_ms=500), Ok)
        limited = await client.write("write", "v", "k", b"x", shard=0, deadline_ms=500)
        assert not isinstance(limited, Ok)
        gateway.agent.config.replica._is_certain = True  # as if witnesses had confirmed the version
        assert isinstance(await client.write("write", "v", "k", b"x", shard=0, deadline_ms=900), Ok)
        assert not gateway.peer_directory.forfeits_quota

    run(scenario)


def test_tokens_begin_empty_once_the_dispatcher_is_certain(tmp_path):
    async def scenario(gateway_site: GatewaySite) -> None:
        dispatcher = SingleDispatcher(gateway_site, tmp_path)
        gateway = await dispatcher.open(1, own=OWN_FILE.replace('voters: ["d0"]', 'voters: ["d9"]'))
        client = gateway_site.client(gateway)
        await client.write("write", "v", "k", b"x", shard=0, deadline_ms=500)
        volume = gateway.rounds.scheduler.volumes["v"]
        volume.refill(gateway.clock())
        assert volume.limit_tokens > 20.0  # gained at a quota that the dispatcher did not have
        gateway.agent.config.replica._is_certain = True
        gateway.rounds.schedule_round()
        await asyncio.sleep(0.01)
        assert volume.limit_tokens < 5.0

    run(scenario)


def test_stored_version_is_in_force_before_the_dispatcher_listens(tmp_path):
    async def scenario(gateway_site: GatewaySite) -> None:
        dispatcher = SingleDispatcher(gateway_site, tmp_path)
        gateway = await dispatcher.open(stored=StoredConfig(7, version(3, VERSION_TEXT)))
        assert gateway._in_force[2] == 7
        order = [event for event, _ in gateway_site.logs if event in ("configuration in force", "listening")]
        assert order == ["configuration in force", "listening"]
        assert gateway.trade == gateway.overlay.site(VERSION_TEXT).trade

    run(scenario)


def test_joint_phase_uses_the_smaller_quota_and_a_seat_beyond_the_count_has_none(tmp_path):
    async def scenario(gateway_site: GatewaySite) -> None:
        dispatcher = SingleDispatcher(gateway_site, tmp_path)
        gateway = await dispatcher.open(2, own=OWN_FILE.replace('voters: ["d0"]', 'voters: ["d9"]'))
        gateway.agent.config.replica._is_certain = True
        old_divisors = gateway.overlay.judge("", "")[1]
        assert old_divisors == QuotaDivisors(3, (("v", 3), ("w", 2)))
        more, fewer = "place: dispatchers: 5", "place: dispatchers: 2"
        assert await gateway.in_force(version(1, more, old_divisors), 2) == ""
        assert gateway.peer_directory.dispatcher_counts == (3, 5) and gateway.trade.volumes["v"].hosts == 5
        assert gateway.agent.membership.fleet_size == 5 and not gateway.peer_directory.forfeits_quota
        assert await gateway.in_force(version(1, more, old_divisors), 3) == ""
        assert gateway.peer_directory.dispatcher_counts == (5,)
        grown_divisors = gateway.overlay.judge("", more)[1]
        assert await gateway.in_force(version(2, fewer, grown_divisors), 4) == ""
        assert gateway.peer_directory.dispatcher_counts == (2, 5) and gateway.trade.volumes["v"].hosts == 5
        assert (
            gateway.peer_directory.forfeits_quota and gateway.place.number == 2
        )  # seat 2 is outside of the new count
        assert await gateway.in_force(version(2, fewer, grown_divisors), 5) == ""
        assert gateway.peer_directory.dispatcher_counts == (2,) and gateway.peer_directory.forfeits_quota
        assert gateway.agent.membership.fleet_size == 2
        client = gateway_site.client(gateway)
        assert isinstance(await client.write("write", "w", "k", b"x", shard=0, deadline_ms=900), Ok)

    run(scenario)


def test_settings_digest_is_that_of_the_own_file(tmp_path):
    async def scenario(gateway_site: GatewaySite) -> None:
        dispatcher = SingleDispatcher(gateway_site, tmp_path)
        gateway = await dispatcher.open()
        await dispatcher.wait_until_certain(gateway)
        digest = gateway.agent.membership.table.own.info.settings_digest
        assert await gateway.in_force(version(1, VERSION_TEXT), 3) == ""
        assert (
            gateway.agent.membership.table.own.info.settings_digest
            == digest
            == origin_of(gateway.overlay.own).settings
        )

    run(scenario)


def test_divisors_once_named_by_a_version_must_be_named_by_the_next(tmp_path):
    async def scenario(gateway_site: GatewaySite) -> None:
        gateway = await SingleDispatcher(gateway_site, tmp_path).open()
        judge = gateway.overlay.judge
        reason, _, _ = judge("place: dispatchers: 5\nvolumes: w: hosts: 4", "earnings: in_share: 0.4")
        assert reason.startswith("place.dispatchers, volumes.w.hosts: the version before names it")
        assert judge("place: dispatchers: 5", "place: dispatchers: 3")[0] == ""
        assert judge("volumes: x: {plan: plans.gold, hosts: 1}", "")[0] == ""  # volume x is removed

    run(scenario)


def test_own_file_is_read_once_at_the_start(tmp_path):
    async def scenario(gateway_site: GatewaySite) -> None:
        dispatcher = SingleDispatcher(gateway_site, tmp_path)
        gateway = await dispatcher.open()
        before = gateway.overlay.site("")
        dispatcher.file.write_text("nonsense {")
        text = "earnings: in_share: 0.3"
        assert gateway.overlay.site("") == before
        assert gateway.overlay.site(text).bearings.earnings.within_quota == 0.3
        with pytest.raises(RecordError):
            read_site(dispatcher.file)

    run(scenario)


def test_older_stage_is_not_put_in_force_after_a_newer_one(tmp_path):
    async def scenario(gateway_site: GatewaySite) -> None:
        gateway = await SingleDispatcher(gateway_site, tmp_path).open()
        raised, lowered = (f"plans: gold: {{limit_rate: {rate}, limit_depth: 9}}" for rate in (900, 60))
        assert await gateway.in_force(version(2, lowered), 5) == ""
        assert "a stage never goes back" in await gateway.in_force(version(1, raised), 3)
        assert gateway.trade.volumes["v"].plan.limit_rate == 60.0 and gateway._in_force[2] == 5

    run(scenario)
