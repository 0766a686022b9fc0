"""The mark of the settings that have to be the same in a whole fleet.

Members tell each other this mark, so it belongs to the wire: it is a checksum of the text form that settings
had when the protocol was frozen. The names in that text are written down here and nowhere else; renaming a
class or a field in the program does not change the mark.
"""

from __future__ import annotations

import zlib
from dataclasses import fields, is_dataclass
from enum import Enum
from typing import Any

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
    SchedulingSettings,
    SiteSettings,
    TrafficSettings,
    UnitSettings,
    VolumeSettings,
)

FROZEN_NAMES: dict[type, tuple[str, str]] = {
    TrafficSettings: ("Trade", "workloads volumes measure"),
    VolumeSettings: ("Volume", "plan hosts"),
    UnitSettings: ("Measure", "bytes_per_unit least_units"),
    SchedulingSettings: ("Bearings", "earnings cold budget permits key_rest_ms"),
    Workload: (
        "Workload",
        "name soft_ms deadline_ms value late_part effect group token_ms in_order streamed writes",
    ),
    ServicePlan: (
        "Plan",
        "name weight price usual_rate reserve_rate limit_rate limit_depth limit_slack",
    ),
    SlowStartSettings: ("ColdStart", "units share multiple span_ms warm_ms"),
    RetryBudgetSettings: ("ResendBudget", "spare share span_ms"),
    UtilityModel: ("Earnings", "in_share beyond mean_units largest_units meter_ms tells_elsewhere"),
    SitePolicy: (
        "Permits",
        "most_sends copies cancel probe come_back_ms peers marks_repeats must_ask ask_within_ms "
        "join_length join_most unit_length least_units",
    ),
}
"""Type: its name and its fields, in order, in the frozen text form."""

FROZEN_IDEMPOTENCY = {
    Idempotency.IDEMPOTENT: "IDEMPOTENT",
    Idempotency.TOKENED: "TOKENED",
    Idempotency.NON_IDEMPOTENT: "NON_IDEMPOTENT",
}


def settings_mark(site: SiteSettings) -> str:
    """Eight hexadecimal digits, equal for two dispatchers whose shared settings are equal.

    :param site: the settings of the dispatcher's own file, without the fleet's configuration.
    """
    shared = (site.trade, site.bearings, site.place.dispatchers)
    return f"{zlib.crc32(_frozen_text(shared).encode()):08x}"


def _frozen_text(value: Any) -> str:
    if isinstance(value, Enum):
        assert isinstance(value, Idempotency)
        return f"<Effect.{FROZEN_IDEMPOTENCY[value]}: {value.value!r}>"
    if is_dataclass(value):
        name, frozen = FROZEN_NAMES[type(value)]
        own = [one.name for one in fields(value)]
        parts = zip(frozen.split(), own, strict=True)
        return f"{name}({', '.join(f'{key}={_frozen_text(getattr(value, at))}' for key, at in parts)})"
    if isinstance(value, dict):
        return "{" + ", ".join(f"{key!r}: {_frozen_text(one)}" for key, one in value.items()) + "}"
    if isinstance(value, tuple):
        return f"({', '.join(map(_frozen_text, value))})"
    return repr(value)
