"""A configuration comes into force in one dispatcher: whole or not at all, between two rounds."""

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

OWN = """
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
ALL = """
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


def version(number: int, text: str, old: QuotaDivisors | None = None) -> ConfigVersion:
    return ConfigVersion(number, NO_DIGEST, text, "a test", 0.0, old, number if old else 0)


class One:
    """One dispatcher that votes alone, with a node and a client."""

    def __init__(self, house: GatewaySite, folder: Path) -> None:
        self.house, self.folder = house, folder

    async def open(self, number: int = 0, *, own: str = OWN, kept: StoredConfig | None = None) -> Gateway:
        if not self.house.nodes:
            await self.house.node(0)
            await self.house.register.start()
            create_founding_store(self.folder / "store", "one", "d0", ["d0"])
        self.file = self.folder / f"d{number}.rec"
        place = f"127.0.0.1:{free_ports(1)[0]}"
        more = {"number": number, "register": self.house.register.address, "place": place}
        self.file.write_text(own.format(folder=self.folder, **more))
        if kept is not None:
            SealedFile(self.folder / "kept").save(msgspec.msgpack.encode(kept))
        site = read_site(self.file)
        gateway = Gateway(
            site.place, site.trade, site.bearings, site.bounds, site.lines,
            lambda event, **facts: self.house.logs.append((event, facts)),
            cuts=site.cuts, pace=site.pace, fleet=site.fleet, origin=origin_of(site),
            overlay=Overlay(self.file, (), site),
        )  # fmt: skip
        gateway.address = f"127.0.0.1:{await gateway.start()}"  # type: ignore[attr-defined]
        self.house.gateways.append(gateway)
        while not gateway.nodes.by_address:
            await asyncio.sleep(0.005)
        return gateway

    async def sure(self, gateway: Gateway) -> None:
        while not gateway._sure():
            await asyncio.sleep(0.01)
        gateway.rounds.schedule_round()
        await asyncio.sleep(0.01)
        assert not gateway.peer_directory.forfeits_quota


def told(gateway: Gateway) -> dict[str, Any]:
    """All that hangs on a configuration."""
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
            name: (one.plan, one.dispatchers, one.usual_capacity, one.reserve_capacity)
            for name, one in scheduler.volumes.items()
        },
        "node queues": [
            queue.tightest_objective_ms for queue in [*scheduler.node_queues.values(), scheduler.unplaced]
        ],
        "rooms": (
            dict(rooms._workloads),
            {name: (one[0].weight, one[1]) for name, one in rooms._volumes.items()},
        ),
        "store": (rooms.budget.value_within_quota, rooms.budget.value_beyond_quota),
        "record": gateway.agent.membership.fleet_size,
        "stage": gateway._in_force[2],
    }


def test_all_that_hangs_on_a_version_goes_over_at_once(tmp_path):
    async def story(house: GatewaySite) -> None:
        one = One(house, tmp_path)
        gateway = await one.open()
        await one.sure(gateway)
        client = house.client(gateway)
        assert isinstance(await client.write("write", "v", "k", b"x", shard=0, deadline_ms=2000), Ok)
        assert await gateway.in_force(version(1, ALL), 3) == ""
        site = gateway.overlay.site(ALL)
        fresh = {
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
        assert told(gateway) == fresh
        assert isinstance(await client.write("scan", "x", "k", b"x", shard=0, deadline_ms=3000), Ok)
        assert await gateway.in_force(version(2, ""), 5) == ""  # and back to its own file
        assert gateway.trade == gateway.overlay.own.trade
        assert gateway.rounds.scheduler.admission.retry_budget.settings is None

    run(story)


@pytest.mark.parametrize("broken", ["terms", "rooms"])
def test_a_fault_while_it_is_built_leaves_everything_as_it_was_and_tells_why(tmp_path, monkeypatch, broken):
    async def story(house: GatewaySite) -> None:
        one = One(house, tmp_path)
        gateway = await one.open()
        await one.sure(gateway)
        client = house.client(gateway)
        await client.write("write", "v", "k", b"x", shard=0, deadline_ms=2000)
        before = told(gateway)
        if broken == "terms":
            text = "place: dispatchers: 3"
            monkeypatch.setattr(settings_in_force, "max", lambda *_, **__: 1 / 0, raising=False)
        else:
            text = "plans: gold: weight: 4"
            monkeypatch.setattr("cherrygrade.peers.memory_admission.VolumeUsage", lambda *_: 1 / 0)
        with pytest.raises(ZeroDivisionError):
            await gateway.in_force(version(1, f"{text}\nvolumes: x: plan: plans.gold"), 3)
        assert told(gateway) == before
        monkeypatch.undo()
        assert isinstance(await client.write("write", "v", "k", b"y", shard=0, deadline_ms=2000), Ok)

    run(story)


WRONG = [
    ("lines: most: 9", "needs a restart: lines.most"),
    ('workloads: read: {deadline_ms: 3000, effect: "tokened"}', "needs a restart: workloads.read.effect"),
    ("earnings: mean_units: 3", "needs a restart: earnings.mean_units"),
    ("place: number: 0", "needs a restart: place.number"),
    ("plans: gold: limit_rate: -1", "plans.gold.limit_rate"),
    ("plans: gold: {limit_rate: 5, limit_depth: 0}", "plans.gold.limit_depth: 0, but limit_rate is set"),
    # As an older program reads what a newer one knows.
    ("plans: gold: limit_rat: 5", "plans.gold: no field 'limit_rat'"),
    ("forecast: window_ms: 5", "forecast"),
    ("plans: gold: {limit_rate", "configuration:"),
]


@pytest.mark.parametrize("text, why", WRONG)
def test_what_cannot_come_into_force_is_refused_with_its_key_before_and_where_it_comes(tmp_path, text, why):
    async def story(house: GatewaySite) -> None:
        one = One(house, tmp_path)
        gateway = await one.open(1, own=OWN.replace('voters: ["d0"]', 'voters: ["d9"]'))
        before = told(gateway)
        judged = gateway.overlay.judge("", text)
        assert why in judged[0] and judged[1:] == (None, None)
        assert await gateway.in_force(version(1, text), 3) == judged[0]
        assert told(gateway) == before

    run(story)


def test_a_limit_that_is_lowered_cuts_the_store_at_once(tmp_path):
    async def story(house: GatewaySite) -> None:
        one = One(house, tmp_path)
        gateway = await one.open()
        await one.sure(gateway)
        client = house.client(gateway)
        await client.write("write", "v", "k", b"x", shard=0, deadline_ms=2000)
        await asyncio.sleep(0.5)
        due = gateway.rounds.scheduler.volumes["v"]
        due.refill(gateway.clock())
        assert due.limit_tokens > 35.0  # of 120 over three
        lower = "plans: gold: {usual_rate: 1000, limit_rate: 30, limit_depth: 12}"
        assert await gateway.in_force(version(1, lower), 3) == ""
        assert due.limit_tokens <= 4.0 and gateway.rounds.scheduler.volumes["v"] is due
        goes = [client.write("write", "v", f"k{at}", b"x", shard=0, deadline_ms=400) for at in range(20)]
        answers = await asyncio.gather(*goes)
        assert sum(isinstance(answer, Ok) for answer in answers) <= 4 + 10 * 0.45 + 1

    run(story)


def test_what_is_held_goes_on_under_the_workload_that_it_was_taken_with(tmp_path):
    async def story(house: GatewaySite) -> None:
        one = One(house, tmp_path)
        own = OWN.replace("limit_rate: 300, limit_depth: 120", "limit_rate: 12, limit_depth: 6")
        gateway = await one.open(own=own)
        await one.sure(gateway)
        client = house.client(gateway)
        writes = [
            asyncio.ensure_future(client.write("export", "v", f"k{at}", b"x", shard=0, deadline_ms=4500))
            for at in range(4)
        ]
        await asyncio.sleep(0.05)
        held = [*gateway.open_requests]
        assert len(held) >= 3  # its limit lets four a second through
        other = Overlay(one.file, (), gateway.overlay.own)
        other._below = [("file", one.file.read_text().replace("export:", "other:"))]
        gateway.overlay = other
        faster = "plans: gold: {usual_rate: 1000, limit_rate: 300, limit_depth: 120}"
        assert await gateway.in_force(version(1, faster), 3) == ""
        assert "export" not in gateway.trade.workloads
        assert {one.workload.name for one in held} == {"export"}
        assert {(one.plan.limit_rate, one.dispatchers) for one in held} == {
            (300.0, 3)
        }  # its volume's plan is today's
        assert all(isinstance(answer, Ok) for answer in await asyncio.gather(*writes))
        late = await client.write("export", "v", "k", b"x", shard=0, deadline_ms=2000)
        assert isinstance(late, Rejected) and "unknown workload" in late.reason

    run(story)


def test_pieces_of_a_range_go_on_under_its_workload_and_volume(tmp_path):
    async def story(house: GatewaySite) -> None:
        one = One(house, tmp_path)
        gateway = await one.open()
        await one.sure(gateway)
        house.volume("v", extents=8, extent_bytes=16384)
        client = house.client(gateway)
        body = bytes(range(256)) * 512  # eight extents, two pieces of it out at once
        house.nodes[0].build.unit_ms = 20.0
        write = asyncio.ensure_future(client.write("write", "v", "", body, offset=0, deadline_ms=2900))
        while not gateway.open_requests or not any(
            hasattr(held, "helds") and held.helds for held in gateway.open_requests
        ):
            await asyncio.sleep(0.001)
        other = Overlay(one.file, (), gateway.overlay.own)
        gone = one.file.read_text().replace("\twrite:", "\tother:").replace("volumes: v:", "volumes: u:")
        other._below = [("file", gone)]
        gateway.overlay = other
        assert await gateway.in_force(version(1, "earnings: in_share: 0.4"), 3) == ""
        assert "write" not in gateway.trade.workloads and "v" not in gateway.trade.volumes
        assert isinstance(await write, Ok)

    run(story)


def test_a_budget_may_come_and_go_while_it_is_counted(tmp_path):
    async def story(house: GatewaySite) -> None:
        one = One(house, tmp_path)
        gateway = await one.open()
        await one.sure(gateway)
        client = house.client(gateway)
        budget = "budget: {spare: 5, share: 0.5, span_ms: 1000}"
        for number, text in enumerate((budget, "", budget, "earnings: in_share: 0.4"), 1):
            assert await gateway.in_force(version(number, text), 2 * number + 1) == ""
            for key in ("a", "b"):
                assert isinstance(await client.write("write", "w", key, b"x", shard=0, deadline_ms=2000), Ok)
            assert bool(gateway.rounds.scheduler.admission.retry_budget.arrivals_ms) == (text == budget)

    run(story)


def test_one_that_does_not_know_the_fleets_version_has_no_part_and_serves_the_rest(tmp_path):
    async def story(house: GatewaySite) -> None:
        one = One(house, tmp_path)
        # It votes in no council that anybody leads: nobody tells it.
        gateway = await one.open(1, own=OWN.replace('voters: ["d0"]', 'voters: ["d9"]'))
        client = house.client(gateway)
        assert gateway.peer_directory.forfeits_quota
        assert isinstance(await client.write("write", "w", "k", b"x", shard=0, deadline_ms=500), Ok)
        limited = await client.write("write", "v", "k", b"x", shard=0, deadline_ms=500)
        assert not isinstance(limited, Ok)
        gateway.agent.config.replica._is_certain = True  # witnesses told it
        assert isinstance(await client.write("write", "v", "k", b"x", shard=0, deadline_ms=900), Ok)
        assert not gateway.peer_directory.forfeits_quota

    run(story)


def test_its_store_begins_empty_once_it_knows(tmp_path):
    async def story(house: GatewaySite) -> None:
        one = One(house, tmp_path)
        gateway = await one.open(1, own=OWN.replace('voters: ["d0"]', 'voters: ["d9"]'))
        client = house.client(gateway)
        await client.write("write", "v", "k", b"x", shard=0, deadline_ms=500)
        due = gateway.rounds.scheduler.volumes["v"]
        due.refill(gateway.clock())
        assert due.limit_tokens > 20.0  # earned by a part that it did not have
        gateway.agent.config.replica._is_certain = True
        gateway.rounds.schedule_round()
        await asyncio.sleep(0.01)
        assert due.limit_tokens < 5.0

    run(story)


def test_a_version_that_was_kept_is_in_force_before_anybody_is_served(tmp_path):
    async def story(house: GatewaySite) -> None:
        one = One(house, tmp_path)
        gateway = await one.open(kept=StoredConfig(7, version(3, ALL)))
        assert gateway._in_force[2] == 7
        order = [event for event, _ in house.logs if event in ("configuration in force", "listening")]
        assert order == ["configuration in force", "listening"]
        assert gateway.trade == gateway.overlay.site(ALL).trade

    run(story)


def test_while_parts_move_the_smaller_and_outside_of_a_count_none(tmp_path):
    async def story(house: GatewaySite) -> None:
        one = One(house, tmp_path)
        gateway = await one.open(2, own=OWN.replace('voters: ["d0"]', 'voters: ["d9"]'))
        gateway.agent.config.replica._is_certain = True
        old = gateway.overlay.judge("", "")[1]
        assert old == QuotaDivisors(3, (("v", 3), ("w", 2)))
        more, fewer = "place: dispatchers: 5", "place: dispatchers: 2"
        assert await gateway.in_force(version(1, more, old), 2) == ""
        assert gateway.peer_directory.dispatcher_counts == (3, 5) and gateway.trade.volumes["v"].hosts == 5
        assert gateway.agent.membership.fleet_size == 5 and not gateway.peer_directory.forfeits_quota
        assert await gateway.in_force(version(1, more, old), 3) == ""
        assert gateway.peer_directory.dispatcher_counts == (5,)
        grown = gateway.overlay.judge("", more)[1]
        assert await gateway.in_force(version(2, fewer, grown), 4) == ""
        assert gateway.peer_directory.dispatcher_counts == (2, 5) and gateway.trade.volumes["v"].hosts == 5
        assert gateway.peer_directory.forfeits_quota and gateway.place.number == 2  # outside of the new count
        assert await gateway.in_force(version(2, fewer, grown), 5) == ""
        assert gateway.peer_directory.dispatcher_counts == (2,) and gateway.peer_directory.forfeits_quota
        assert gateway.agent.membership.fleet_size == 2
        client = house.client(gateway)
        assert isinstance(await client.write("write", "w", "k", b"x", shard=0, deadline_ms=900), Ok)

    run(story)


def test_the_mark_of_settings_is_the_own_files(tmp_path):
    async def story(house: GatewaySite) -> None:
        one = One(house, tmp_path)
        gateway = await one.open()
        await one.sure(gateway)
        mark = gateway.agent.membership.table.own.info.settings_digest
        assert await gateway.in_force(version(1, ALL), 3) == ""
        assert (
            gateway.agent.membership.table.own.info.settings_digest
            == mark
            == origin_of(gateway.overlay.own).settings
        )

    run(story)


def test_divisors_that_were_named_stay_named(tmp_path):
    async def story(house: GatewaySite) -> None:
        gateway = await One(house, tmp_path).open()
        judge = gateway.overlay.judge
        why, _, _ = judge("place: dispatchers: 5\nvolumes: w: hosts: 4", "earnings: in_share: 0.4")
        assert why.startswith("place.dispatchers, volumes.w.hosts: the version before names it")
        assert judge("place: dispatchers: 5", "place: dispatchers: 3")[0] == ""
        assert judge("volumes: x: {plan: plans.gold, hosts: 1}", "")[0] == ""  # it is gone

    run(story)


def test_the_own_file_is_that_of_the_start(tmp_path):
    async def story(house: GatewaySite) -> None:
        one = One(house, tmp_path)
        gateway = await one.open()
        before = gateway.overlay.site("")
        one.file.write_text("nonsense {")
        text = "earnings: in_share: 0.3"
        assert gateway.overlay.site("") == before
        assert gateway.overlay.site(text).bearings.earnings.within_quota == 0.3
        with pytest.raises(RecordError):
            read_site(one.file)

    run(story)


def test_an_older_stage_never_comes_into_force_behind_a_newer_one(tmp_path):
    async def story(house: GatewaySite) -> None:
        gateway = await One(house, tmp_path).open()
        raised, lowered = (f"plans: gold: {{limit_rate: {rate}, limit_depth: 9}}" for rate in (900, 60))
        assert await gateway.in_force(version(2, lowered), 5) == ""
        assert "a stage never goes back" in await gateway.in_force(version(1, raised), 3)
        assert gateway.trade.volumes["v"].plan.limit_rate == 60.0 and gateway._in_force[2] == 5

    run(story)
