"""Brings changed settings into force while the scheduler runs.

`derive_settings` computes everything that depends on the settings and may fail. `apply_settings` then only
assigns, between two rounds, so that settings are never partly in force. Free of I/O, clock and random source;
times in ms, units as the scheduler counts them.

Limits (rule 4: units on nodes in slow start; rule 7: a volume's plan) hold over all dispatchers also while
some go by the old settings and some by the new, and while a dispatcher changes over within a time span
(docs/config-in-force.md):

- Each dispatcher's part is a limit divided by a divisor. With equal divisors the parts of old and new
  settings together are never more than the larger of the two limits.
- If a divisor changes, each dispatcher first uses the smaller of its two parts (`old`). Parts grow only once
  all dispatchers do so. A part of slow start that may grow begins at 0 for one span, until the units that
  others sent under their old parts are out of the span.
- Limits of a plan are token buckets, so these parts may grow at once: the rate grows, but no tokens are
  added. If the burst falls while the rate rises, the tokens fall by the same amount; otherwise a dispatcher
  would have the burst of one limit and the rate of the other. A part that was 0 or had no limit begins with
  no tokens, as after a start.
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
    """Everything that the scheduler works with and that depends on the settings."""

    trade: TrafficSettings
    """Workloads and volumes; `hosts` of a volume is the divisor in use now."""
    bearings: SchedulingSettings
    """The scheduler's settings."""
    dispatcher_counts: tuple[int, ...]
    """Divisor of limits that all dispatchers share; the old and the new one while it changes."""
    min_hosts: dict[str, int]
    """By volume: its divisor, or the smallest of its divisors while it changes."""
    has_quota: bool
    """False if this dispatcher has no part of the limits."""
    highest_weight: float
    """The highest priority weight of a workload."""
    tightest_objective_ms: float
    """The shortest latency objective of a workload."""


def derive_settings(
    site: SiteSettings, parts: QuotaParts, old: QuotaDivisors | None = None
) -> DerivedSettings:
    """Compute what depends on the settings.

    Args:
        site: the settings.
        parts: this dispatcher's parts of the limits.
        old: the divisors before, while they change; None otherwise.

    Returns:
        All that `apply_settings` needs.

    Raises:
        ValueError: a limit would be divided among no dispatchers.
    """
    volumes, min_hosts = {}, {}
    for name, volume in site.trade.volumes.items():
        hosts = parts.hosts.get(name, volume.hosts)
        min_hosts[name] = min(hosts, volume.hosts, (old.of(name) if old is not None else 0) or hosts)
        if min_hosts[name] < 1:
            raise ValueError(
                f"volumes.{name}.hosts: 0, expected at least 1 dispatcher to divide its limits among"
            )
        volumes[name] = replace(volume, hosts=hosts)
    if not parts.dispatcher_counts or min(parts.dispatcher_counts) < 1:
        raise ValueError("place.dispatchers: expected at least 1 dispatcher to divide limits among")
    workloads: list[Workload] = list(site.trade.workloads.values())
    highest_weight = max((workload.priority_weight for workload in workloads), default=1.0)
    tightest_ms = min((workload.latency_objective_ms for workload in workloads), default=1000.0)
    trade = replace(site.trade, volumes=volumes)
    return DerivedSettings(
        trade,
        site.bearings,
        parts.dispatcher_counts,
        min_hosts,
        parts.has_parts,
        float(highest_weight),
        float(tightest_ms),
    )


def apply_settings(
    scheduler: Scheduler, peer_directory: FleetPeerDirectory, derived: DerivedSettings, now: float
) -> None:
    """Bring settings into force between two rounds.

    Args:
        scheduler: goes by the settings from now on.
        peer_directory: the scheduler's; gets the numbers of dispatchers and whether this one has a part.
        derived: the settings.
        now: the time, ms.
    """
    bearings, settings = derived.bearings, scheduler.settings
    slow_start, retry_budget = scheduler.admission.slow_start, scheduler.admission.retry_budget
    forfeited = peer_directory.forfeits_quota
    may_grow = forfeited or not {*peer_directory.dispatcher_counts} <= {*derived.dispatcher_counts}
    restarts_span = may_grow or slow_start.settings.window_ms != bearings.cold.window_ms
    old_utility, old_objective_ms = settings.utility, settings.tightest_objective_ms
    peer_directory.dispatcher_counts, peer_directory.dispatchers, peer_directory.has_quota = (
        derived.dispatcher_counts,
        derived.dispatcher_counts[-1],
        derived.has_quota,
    )
    settings.utility, settings.policy = bearings.earnings, bearings.permits
    settings.highest_weight, settings.tightest_objective_ms = (
        derived.highest_weight,
        derived.tightest_objective_ms,
    )
    scheduler.polling.spread_ms = poll_spread_ms(derived.dispatcher_counts[-1])
    if retry_budget.settings is None or bearings.budget is None:
        retry_budget.forget_all()
    retry_budget.settings = bearings.budget
    slow_start.settings = bearings.cold
    slow_start.mean_units = bearings.earnings.mean_units
    scheduler.admission.order.cool_down_ms = bearings.key_rest_ms
    for name, quota in _quotas(scheduler):
        _apply_volume(quota, name, derived, now, forfeited, old_utility != bearings.earnings)
    if restarts_span:
        slow_start.owned_since_ms = now
    _restart_unanswered(scheduler.shared_latency, old_objective_ms, derived.tightest_objective_ms)
    for queue in [*scheduler.node_queues.values(), scheduler.unplaced]:
        queue.tightest_objective_ms = derived.tightest_objective_ms
        if restarts_span:
            queue.warm_up_sends = sends_exhausting_quota(now)


def _restart_unanswered(shared: SharedLatency, old_objective_ms: float, objective_ms: float) -> None:
    """Move estimates that are still at the old objective, for lack of answers, to the new one."""
    if shared.mean_answer_ms == old_objective_ms:
        shared.mean_answer_ms = objective_ms
    if shared.min_mean_answer_ms == old_objective_ms:
        lowest_ms = min(objective_ms, shared.mean_answer_ms)
        shared.min_mean_answer_ms = max(shared.min_mean_answer_ms, lowest_ms)


def _quotas(scheduler: Scheduler) -> Iterator[tuple[str, VolumeQuota]]:
    """Yield each volume's quota once, also of volumes that only open requests still refer to."""
    seen = set()
    for name, quota in [
        *scheduler.volumes.items(),
        *((queued.request.volume, queued.volume) for queued in scheduler.requests.values()),
    ]:
        if id(quota) not in seen:
            seen.add(id(quota))
            yield name, quota


def _apply_volume(
    quota: VolumeQuota,
    name: str,
    derived: DerivedSettings,
    now: float,
    forfeited: bool,
    utility_changed: bool,
) -> None:
    """Bring the plan and the divisor of one volume into force.

    Args:
        quota: this dispatcher's quota of the volume.
        name: the volume.
        derived: the settings.
        now: the time, ms.
        forfeited: this dispatcher had no part before.
        utility_changed: the settings of utility have changed.
    """
    volume = derived.trade.volumes.get(name)
    quota.refill(now)
    if forfeited:
        quota.limit_tokens = 0.0
    if volume is None:  # the volume was removed; its open requests end under the old plan
        return
    old_plan, plan, dispatchers = quota.plan, volume.plan, volume.hosts
    if old_plan == plan and quota.dispatchers == dispatchers and not utility_changed:
        return
    if not old_plan.limit_rate:
        quota.limit_tokens = 0.0
    elif plan.limit_rate > old_plan.limit_rate and plan.limit_burst < old_plan.limit_burst:
        removed = (old_plan.limit_burst - plan.limit_burst) / min(derived.min_hosts[name], quota.dispatchers)
        quota.limit_tokens = max(quota.limit_tokens - removed, -old_plan.limit_burst / quota.dispatchers)
    utility = derived.bearings.earnings
    quota.plan, quota.dispatchers = plan, dispatchers
    quota.limit_tokens = min(quota.limit_tokens, plan.limit_burst / dispatchers)
    quota.reserve_fraction = 1.0 if utility.reports_use_elsewhere else 1.0 / dispatchers
    quota.reserve_capacity = plan.reserve_rate * quota.reserve_fraction + utility.largest_units
    quota.reserve_tokens = min(quota.reserve_tokens, quota.reserve_capacity)
    quota.usual_capacity = plan.usual_rate * USUAL_RATE_FRACTION
    quota.usual_tokens = min(quota.usual_tokens, quota.usual_capacity)
