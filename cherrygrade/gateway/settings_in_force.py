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
from cherrygrade.scheduling.endpoint_polling import poll_spread_ms
from cherrygrade.scheduling.latency_estimate import SharedLatency
from cherrygrade.scheduling.model import Workload
from cherrygrade.scheduling.quota import USUAL_RATE_FRACTION, VolumeQuota
from cherrygrade.scheduling.scheduler import Scheduler
from cherrygrade.scheduling.slow_start import sends_exhausting_quota
from cherrygrade.settings import SchedulingSettings, SiteSettings, TrafficSettings


@dataclass(frozen=True, slots=True)
class DerivedSettings:
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


def derive_settings(
    site: SiteSettings, parts: QuotaParts, old: QuotaDivisors | None = None
) -> DerivedSettings:
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
    return DerivedSettings(
        trade, site.bearings, parts.dispatcher_counts, fewest, parts.has_parts, float(top), float(tight)
    )


def apply_settings(
    scheduler: Scheduler, company: FleetPeerDirectory, into: DerivedSettings, now: float
) -> None:
    """`company`: the scheduler's; it is told of counts and part here, with all else."""
    bearings, settings = into.bearings, scheduler.settings
    slow_start, retry_budget = scheduler.admission.slow_start, scheduler.admission.retry_budget
    forfeited = company.forfeits_quota
    grows = forfeited or not {*company.dispatcher_counts} <= {*into.counts}
    blank = grows or slow_start.settings.window_ms != bearings.cold.window_ms
    old_utility, old_objective_ms = settings.utility, settings.tightest_objective_ms
    company.dispatcher_counts, company.dispatchers, company.has_quota = into.counts, into.counts[-1], into.has
    settings.utility, settings.policy = bearings.earnings, bearings.permits
    settings.highest_weight, settings.tightest_objective_ms = into.top, into.tight
    scheduler.polling.spread_ms = poll_spread_ms(into.counts[-1])
    if retry_budget.settings is None or bearings.budget is None:
        retry_budget.forget_all()
    retry_budget.settings = bearings.budget
    slow_start.settings = bearings.cold
    slow_start.mean_units = bearings.earnings.mean_units
    scheduler.admission.order.cool_down_ms = bearings.key_rest_ms
    for name, quota in _quotas(scheduler):
        _deal(quota, name, into, now, forfeited, old_utility != bearings.earnings)
    if blank:
        slow_start.owned_since_ms = now
    _restart_unanswered(scheduler.shared_latency, old_objective_ms, into.tight)
    for queue in [*scheduler.node_queues.values(), scheduler.unplaced]:
        queue.tightest_objective_ms = into.tight
        if blank:
            queue.warm_up_sends = sends_exhausting_quota(now)


def _restart_unanswered(shared: SharedLatency, old_objective_ms: float, objective_ms: float) -> None:
    """Estimates that stand at the old objective, since nothing was answered yet, begin at the new one."""
    if shared.mean_answer_ms == old_objective_ms:
        shared.mean_answer_ms = objective_ms
    if shared.min_mean_answer_ms == old_objective_ms:
        quietest_ms = min(objective_ms, shared.mean_answer_ms)
        shared.min_mean_answer_ms = max(shared.min_mean_answer_ms, quietest_ms)


def _quotas(scheduler: Scheduler) -> Iterator[tuple[str, VolumeQuota]]:
    """Each volume that lives once; one that its requests alone still hold too."""
    seen = set()
    for name, quota in [
        *scheduler.volumes.items(),
        *((queued.request.volume, queued.volume) for queued in scheduler.requests.values()),
    ]:
        if id(quota) not in seen:
            seen.add(id(quota))
            yield name, quota


def _deal(
    quota: VolumeQuota, name: str, into: DerivedSettings, now: float, forfeited: bool, earns: bool
) -> None:
    dealt = into.trade.volumes.get(name)
    quota.refill(now)
    if forfeited:
        quota.limit_tokens = 0.0
    if dealt is None:  # requests of it that are held end as they were taken
        return
    was, plan, dispatchers = quota.plan, dealt.plan, dealt.hosts
    if was == plan and quota.dispatchers == dispatchers and not earns:
        return
    if not was.limit_rate:
        quota.limit_tokens = 0.0
    elif plan.limit_rate > was.limit_rate and plan.limit_burst < was.limit_burst:
        falls = (was.limit_burst - plan.limit_burst) / min(into.fewest[name], quota.dispatchers)
        quota.limit_tokens = max(quota.limit_tokens - falls, -was.limit_burst / quota.dispatchers)
    earnings = into.bearings.earnings
    quota.plan, quota.dispatchers = plan, dispatchers
    quota.limit_tokens = min(quota.limit_tokens, plan.limit_burst / dispatchers)
    quota.reserve_fraction = 1.0 if earnings.reports_use_elsewhere else 1.0 / dispatchers
    quota.reserve_capacity = plan.reserve_rate * quota.reserve_fraction + earnings.largest_units
    quota.reserve_tokens = min(quota.reserve_tokens, quota.reserve_capacity)
    quota.usual_capacity = plan.usual_rate * USUAL_RATE_FRACTION
    quota.usual_tokens = min(quota.usual_tokens, quota.usual_capacity)
