"""Dispatchers deliberately broken, one way for each rule, so that the audit can be seen to convict.

`python -m cherrygrade.lab.audits.broken WAY FILE` serves like `cherrygrade serve FILE`, but for the one
breach.
"""

from __future__ import annotations

import asyncio
import sys
import time
from collections.abc import Callable
from dataclasses import replace
from pathlib import Path
from typing import Any

from cherrygrade.fleet.leases import lease_holder
from cherrygrade.fleet.membership import failure_detector, load_aggregators, record_merger, seat_claims, table
from cherrygrade.fleet.membership.table import Member, MembershipTable
from cherrygrade.gateway import registered_nodes
from cherrygrade.gateway.lifecycle import serve
from cherrygrade.gateway.process import Gateway
from cherrygrade.logs import make_log
from cherrygrade.records.load import read_site
from cherrygrade.scheduling import scheduler
from cherrygrade.scheduling.model import Idempotency, NodeState
from cherrygrade.scheduling.slow_start import UNLIMITED_UNITS, SlowStartLimit
from cherrygrade.settings import SiteSettings, StartReference, TrafficSettings, VolumeSettings


def _loses(site: SiteSettings) -> SiteSettings:
    """One answer in twenty is never given."""
    usual: Callable[..., None] = Gateway.send_final_answer
    count = [0]

    def send_final_answer(self: Gateway, request: Any, message: Any, body: Any = None) -> None:
        count[0] += 1
        if count[0] % 20:
            usual(self, request, message, body)

    Gateway.send_final_answer = send_final_answer  # type: ignore[method-assign]
    return site


def _works(site: SiteSettings, **changes: Any) -> SiteSettings:
    workloads = {name: replace(work, **changes) for name, work in site.trade.workloads.items()}
    return replace(site, trade=TrafficSettings(workloads, site.trade.volumes, site.trade.measure))


def _twice(site: SiteSettings) -> SiteSettings:
    """Every workload is taken for idempotent."""
    return _works(site, idempotency=Idempotency.IDEMPOTENT)


def _drains(site: SiteSettings) -> SiteSettings:
    """The register's word of draining and gone nodes is passed over."""
    registered_nodes.NODE_STATES.update(draining=NodeState.LIVE, gone=NodeState.LIVE)
    return site


def _cold(site: SiteSettings) -> SiteSettings:
    """A node that has just come up is taken for warm."""
    SlowStartLimit.units_left = lambda self, queue, now: UNLIMITED_UNITS  # type: ignore[method-assign]
    return site


def _order(site: SiteSettings) -> SiteSettings:
    """No workload keeps an order."""
    return _works(site, ordered=False)


def _budget(site: SiteSettings) -> SiteSettings:
    """There is no budget of further sends."""
    return replace(site, bearings=replace(site.bearings, budget=None))


def _limits(site: SiteSettings) -> SiteSettings:
    """No plan has a limit."""
    volumes = {
        name: VolumeSettings(replace(volume.plan, limit_rate=0.0), volume.hosts)
        for name, volume in site.trade.volumes.items()
    }
    return replace(site, trade=TrafficSettings(site.trade.workloads, volumes, site.trade.measure))


WAYS: dict[int, Callable[[SiteSettings], SiteSettings]] = {
    1: _loses,
    2: _twice,
    3: _drains,
    4: _cold,
    5: _order,
    6: _budget,
    7: _limits,
}


# Of a fleet.


def _older(site: SiteSettings) -> SiteSettings:
    """Any list of the register's is taken for newer than what is known."""
    usual = registered_nodes.RegisteredNodes.apply

    def apply(self: registered_nodes.RegisteredNodes, roster: Any, now: float) -> Any:
        self.version = -1
        return usual(self, roster, now)

    registered_nodes.RegisteredNodes.apply = apply  # type: ignore[method-assign]
    return site


def _grows(site: SiteSettings) -> SiteSettings:
    """Whoever is not on the roll any more leaves its part of a limit to those who are."""
    usual = scheduler.Scheduler.decide

    def decide(self: scheduler.Scheduler, now: float, writer: Any, **came: Any) -> None:
        membership = getattr(self.peers, "membership", None)
        if membership is not None:
            for volume in self.volumes.values():
                volume.dispatchers = max(1, len(membership.table.living()))
        usual(self, now, writer, **came)

    scheduler.Scheduler.decide = decide  # type: ignore[assignment, method-assign]
    return site


def _buries_nobody(site: SiteSettings) -> SiteSettings:
    """Who is suspect stays so."""

    def clear(self: failure_detector.FailureDetector, now: float, effects: object) -> None:
        self.suspicion_end_ms.clear()

    failure_detector.FailureDetector._declare_failures = clear  # type: ignore[method-assign]
    return site


def _raises(site: SiteSettings) -> SiteSettings:
    """Word of a death is answered with a new turn of the dead."""
    usual = record_merger.RecordMerger.merge

    def join(
        self: record_merger.RecordMerger, records: list[table.MemberRecord], by: str, now: float
    ) -> list[str]:
        raised = [
            table.MemberRecord(
                one.name, one.incarnation, one.refutations + 1, table.MemberState.ALIVE, one.info
            )
            if one.state == table.MemberState.FAILED
            else one
            for one in records
        ]
        return usual(self, raised, by, now)

    record_merger.RecordMerger.merge = join  # type: ignore[method-assign]
    return site


def _accuses(site: SiteSettings) -> SiteSettings:
    """Now and then somebody is called suspect who was not probed."""
    usual = failure_detector.FailureDetector.tick

    def tick(self: failure_detector.FailureDetector, now: float) -> failure_detector.ProbeEffects:
        does = usual(self, now)
        others = [
            one for one in self.table.others() if one.name not in {out.name for out in self.outstanding}
        ]
        if others and self._counter % 5 == 0:
            one = min(others, key=lambda one: one.last_received_ms)
            claim = table.MemberRecord(
                one.name, one.incarnation, one.refutations, table.MemberState.SUSPECT, accuser=self.table.me
            )
            self.table.merge(claim, now, self.table.me)
            self.record_merged(claim, now)
            does.changed.append(one.name)
        return does

    failure_detector.FailureDetector.tick = tick  # type: ignore[method-assign]
    return site


def _stuck(site: SiteSettings) -> SiteSettings:
    """Nodes keep the keepers that they had when all were there."""

    def update_seats(self: load_aggregators.LoadAggregators, seats: Any, now: float) -> bool:
        seats = [*seats]
        if not {*seats} <= {*self.seats}:
            self.seats = tuple(sorted({*self.seats, *seats}))
            self._seat_by_node.clear()
        return False

    load_aggregators.LoadAggregators.update_seats = update_seats  # type: ignore[method-assign]

    def holder(table: MembershipTable, seat: int) -> Member | None:
        return next((one for one in table if one.seat == seat), None)

    seat_claims.holder = holder
    return site


def _holds_on(site: SiteSettings) -> SiteSettings:
    """A holder's time is never over, whatever its clock says."""

    def may(self: lease_holder.LeaseHolder, task: str, now: float) -> int:
        held = self.held.get(task)
        return held.number if held is not None else 0

    lease_holder.LeaseHolder.fencing_number = may  # type: ignore[method-assign]
    lease_holder.LeaseHolder.tick = lambda self, now: (False, [])  # type: ignore[method-assign]
    return site


FLEET_WAYS: dict[int, Callable[[SiteSettings], SiteSettings]] = {
    3: _older,
    7: _grows,
    11: _buries_nobody,
    14: _raises,
    15: _accuses,
    16: _stuck,
    18: _holds_on,
}


def main() -> int:
    site = read_site(Path(sys.argv[2]))
    site = (WAYS if site.fleet is None else FLEET_WAYS)[int(sys.argv[1])](site)

    async def run() -> int:
        gateway = Gateway(
            site.place,
            site.trade,
            site.bearings,
            site.bounds,
            site.lines,
            make_log("json"),
            cuts=site.cuts,
            pace=site.pace,
            fleet=site.fleet,
            origin=StartReference(int(time.time() * 1000.0)),
        )
        return await serve(gateway, lambda port: print(f"listening {port}", flush=True))

    return asyncio.run(run())


if __name__ == "__main__":
    sys.exit(main())
