"""Dispatchers with one planted fault each, to show that the audit finds breaches of every rule.

`python -m cherrygrade.lab.audits.broken RULE FILE` serves like `cherrygrade serve FILE`, except that it
breaks the rule with that number (`audit.RULES`). Faults are planted by a change of the settings or by
replacing a method.
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
    """Rule 1: one final answer in twenty is never sent."""
    original: Callable[..., None] = Gateway.send_final_answer
    answers = [0]

    def send_final_answer(self: Gateway, request: Any, message: Any, body: Any = None) -> None:
        answers[0] += 1
        if answers[0] % 20:
            original(self, request, message, body)

    Gateway.send_final_answer = send_final_answer  # type: ignore[method-assign]
    return site


def _with_workload_settings(site: SiteSettings, **changes: Any) -> SiteSettings:
    workloads = {name: replace(work, **changes) for name, work in site.trade.workloads.items()}
    return replace(site, trade=TrafficSettings(workloads, site.trade.volumes, site.trade.measure))


def _twice(site: SiteSettings) -> SiteSettings:
    """Rule 2: every workload is treated as idempotent, so any request is retried."""
    return _with_workload_settings(site, idempotency=Idempotency.IDEMPOTENT)


def _drains(site: SiteSettings) -> SiteSettings:
    """Rule 3: nodes that the registry lists as draining or gone are treated as live."""
    registered_nodes.NODE_STATES.update(draining=NodeState.LIVE, gone=NodeState.LIVE)
    return site


def _cold(site: SiteSettings) -> SiteSettings:
    """Rule 4: there is no slow start: a node that has just started gets full load."""
    SlowStartLimit.units_left = lambda self, queue, now: UNLIMITED_UNITS  # type: ignore[method-assign]
    return site


def _order(site: SiteSettings) -> SiteSettings:
    """Rule 5: requests of ordered workloads are sent as if unordered."""
    return _with_workload_settings(site, ordered=False)


def _budget(site: SiteSettings) -> SiteSettings:
    """Rule 6: there is no retry budget."""
    return replace(site, bearings=replace(site.bearings, budget=None))


def _limits(site: SiteSettings) -> SiteSettings:
    """Rule 7: no service plan has a rate limit."""
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
"""Fault by the number of the rule that it breaks, for a single dispatcher."""


# Faults of dispatchers in a fleet.


def _older(site: SiteSettings) -> SiteSettings:
    """Rule 3: every endpoint list of the registry is applied, even one older than the list in force."""
    original = registered_nodes.RegisteredNodes.apply

    def apply(self: registered_nodes.RegisteredNodes, roster: Any, now: float) -> Any:
        self.version = -1
        return original(self, roster, now)

    registered_nodes.RegisteredNodes.apply = apply  # type: ignore[method-assign]
    return site


def _grows(site: SiteSettings) -> SiteSettings:
    """Rule 7: quotas are divided by the running members alone, so members in a partition exceed the limit."""
    original = scheduler.Scheduler.decide

    def decide(self: scheduler.Scheduler, now: float, writer: Any, **arguments: Any) -> None:
        membership = getattr(self.peers, "membership", None)
        if membership is not None:
            for volume in self.volumes.values():
                volume.dispatchers = max(1, len(membership.table.living()))
        original(self, now, writer, **arguments)

    scheduler.Scheduler.decide = decide  # type: ignore[assignment, method-assign]
    return site


def _buries_nobody(site: SiteSettings) -> SiteSettings:
    """Rule 11: a suspected member is never declared failed."""

    def clear(self: failure_detector.FailureDetector, now: float, effects: object) -> None:
        self.suspicion_end_ms.clear()

    failure_detector.FailureDetector._declare_failures = clear  # type: ignore[method-assign]
    return site


def _raises(site: SiteSettings) -> SiteSettings:
    """Rule 14: a received failure is refuted on behalf of the failed member."""
    original = record_merger.RecordMerger.merge

    def merge(
        self: record_merger.RecordMerger, records: list[table.MemberRecord], by: str, now: float
    ) -> list[str]:
        refuted = [
            table.MemberRecord(
                one.name, one.incarnation, one.refutations + 1, table.MemberState.ALIVE, one.info
            )
            if one.state == table.MemberState.FAILED
            else one
            for one in records
        ]
        return original(self, refuted, by, now)

    record_merger.RecordMerger.merge = merge  # type: ignore[method-assign]
    return site


def _accuses(site: SiteSettings) -> SiteSettings:
    """Rule 15: now and then a member that was not probed is suspected."""
    original = failure_detector.FailureDetector.tick

    def tick(self: failure_detector.FailureDetector, now: float) -> failure_detector.ProbeEffects:
        effects = original(self, now)
        others = [
            one for one in self.table.others() if one.name not in {out.name for out in self.outstanding}
        ]
        if others and self._counter % 5 == 0:
            one = min(others, key=lambda one: one.last_received_ms)
            record = table.MemberRecord(
                one.name, one.incarnation, one.refutations, table.MemberState.SUSPECT, accuser=self.table.me
            )
            self.table.merge(record, now, self.table.me)
            self.record_merged(record, now)
            effects.changed.append(one.name)
        return effects

    failure_detector.FailureDetector.tick = tick  # type: ignore[method-assign]
    return site


def _stuck(site: SiteSettings) -> SiteSettings:
    """Rule 16: nodes keep their load aggregators after those have failed."""

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
    """Rule 18: a lease never expires for its holder."""

    def fencing_number(self: lease_holder.LeaseHolder, task: str, now: float) -> int:
        lease = self.held.get(task)
        return lease.number if lease is not None else 0

    lease_holder.LeaseHolder.fencing_number = fencing_number  # type: ignore[method-assign]
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
"""Fault by the number of the rule that it breaks, for dispatchers of a fleet."""


def main() -> int:
    """Plants the fault of the rule in the first argument and serves with the settings in the second.

    Returns:
        The exit code of the dispatcher.
    """
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
