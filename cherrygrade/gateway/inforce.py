"""Settings that come into force while the module runs: all that hangs on them, changed between two rounds.

`terms` builds the whole of it and may fail; `put` only assigns, so nothing of it is ever half in force. Free
of I/O, clock and chance; times in ms, units as the module's.

Rules 4 and 7 hold over all dispatchers while some go by the settings before and some by these, and also where
one dispatcher goes over in the middle of a span (docs/config-in-force.md):

- Each part is a limit over a divisor. With equal divisors a mix of two sums to no more than the larger limit.
- Where divisors move, first each uses the smaller of its two parts (`old`), and parts grow only once all do
  so. A part of a cold node that may grow begins empty for a span: what others sent by theirs before is over.
- A store is a token bucket, so parts of a limit may grow at once: more is earned, nothing is given. Where the
  depth falls as the rate rises, the store falls by that much: else it had the depth of one limit, the rate of
  the other. What had no part, or was not limited, begins with an empty store, as after a start.
"""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import dataclass, replace

from cherrygrade.fleet.config.joint_phase import QuotaParts
from cherrygrade.fleet.config.versions import QuotaDivisors
from cherrygrade.fleet.runtime.peer_directory import FleetPeerDirectory
from cherrygrade.scheduling.model import Workload
from cherrygrade.scheduling.scheduler import NEVER, SHARE_PART, Scheduler
from cherrygrade.scheduling.scheduler import VolumeQuota as Due
from cherrygrade.settings import SchedulingSettings, SiteSettings, TrafficSettings


@dataclass(frozen=True, slots=True)
class Terms:
    """All that the module goes by. `trade`: with the hosts that parts are dealt out over now; `fewest`: the
    smaller number of hosts while that moves; `counts`: dispatchers likewise, one or two numbers; `has`: False
    where this dispatcher has no part."""

    trade: TrafficSettings
    bearings: SchedulingSettings
    counts: tuple[int, ...]
    fewest: dict[str, int]
    has: bool
    top: float
    tight: float


def terms(site: SiteSettings, parts: QuotaParts, old: QuotaDivisors | None = None) -> Terms:
    """`old`: what parts were dealt out over before, while they move. Raises ValueError where something would
    be dealt out over nobody."""
    volumes, fewest = {}, {}
    for name, volume in site.trade.volumes.items():
        hosts = parts.hosts.get(name, volume.hosts)
        fewest[name] = min(hosts, volume.hosts, (old.of(name) if old is not None else 0) or hosts)
        if fewest[name] < 1:
            raise ValueError(f"volumes.{name}.hosts: dealt out over nobody")
        volumes[name] = replace(volume, hosts=hosts)
    if not parts.dispatcher_counts or min(parts.dispatcher_counts) < 1:
        raise ValueError("place.dispatchers: parts dealt out over nobody")
    works: list[Workload] = list(site.trade.workloads.values())
    top = max((work.priority_weight for work in works), default=1.0)
    tight = min((work.latency_objective_ms for work in works), default=1000.0)
    trade = replace(site.trade, volumes=volumes)
    return Terms(
        trade, site.bearings, parts.dispatcher_counts, fewest, parts.has_parts, float(top), float(tight)
    )


def put(module: Scheduler, company: FleetPeerDirectory, into: Terms, now: float) -> None:
    """`company`: the module's; it is told of counts and part here, with all else."""
    gate, bearings = module.gate, into.bearings
    yielded = company.forfeits_quota
    grows = yielded or not {*company.dispatcher_counts} <= {*into.counts}
    blank = grows or gate.cold.window_ms != bearings.cold.window_ms
    before = module.earnings, module.tight
    company.dispatcher_counts, company.dispatchers, company.has = into.counts, into.counts[-1], into.has
    module.earnings, module.permits = bearings.earnings, bearings.permits
    module.top, module.tight = into.top, into.tight
    module.ask_spread = max(1000.0, 25.0 * into.counts[-1])
    if gate.budget is None or bearings.budget is None:  # nothing was counted, or nothing is any more
        gate.taken.clear()
        gate.further.clear()
    gate.cold, gate.budget, gate.permits = bearings.cold, bearings.budget, bearings.permits
    gate.part, gate.key_rest_ms = bearings.earnings.mean_units, bearings.key_rest_ms
    for name, due in _dues(module):
        _deal(due, name, into, now, yielded, before[0] != bearings.earnings)
    if blank:
        gate.begun = now
    for lane in [*module.lanes.values(), module.unplaced]:
        lane.tight = into.tight
        if lane.answer_ms == before[1]:  # nothing was answered yet
            lane.answer_ms = into.tight
        if lane.quiet_ms == before[1]:
            lane.quiet_ms = max(lane.quiet_ms, min(into.tight, lane.answer_ms))
        if blank:
            lane.cold = [(now, NEVER)]


def _dues(module: Scheduler) -> Iterator[tuple[str, Due]]:
    """Each volume that lives once; one that its RPCs alone still hold too."""
    seen = set()
    for name, due in [
        *module.volumes.items(),
        *((job.rpc.volume, job.volume) for job in module.jobs.values()),
    ]:
        if id(due) not in seen:
            seen.add(id(due))
            yield name, due


def _deal(due: Due, name: str, into: Terms, now: float, yielded: bool, earns: bool) -> None:
    dealt = into.trade.volumes.get(name)
    due.pass_time(now)
    if yielded:
        due.store = 0.0
    if dealt is None:  # RPCs of it that are held end as they were taken
        return
    was, plan, hosts = due.plan, dealt.plan, dealt.hosts
    if was == plan and due.hosts == hosts and not earns:
        return
    if not was.limit_rate:
        due.store = 0.0
    elif plan.limit_rate > was.limit_rate and plan.limit_burst < was.limit_burst:
        falls = (was.limit_burst - plan.limit_burst) / min(into.fewest[name], due.hosts)
        due.store = max(due.store - falls, -was.limit_burst / due.hosts)
    earnings = into.bearings.earnings
    due.plan, due.hosts = plan, hosts
    due.store = min(due.store, plan.limit_burst / hosts)
    due.part = 1.0 if earnings.reports_use_elsewhere else 1.0 / hosts
    due.depth = plan.reserve_rate * due.part + earnings.largest_units
    due.pot = min(due.pot, due.depth)
    due.most = plan.usual_rate * SHARE_PART
    due.open = min(due.open, due.most)
