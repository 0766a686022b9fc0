"""Tests of the tables whose keys clients choose: they are bounded, and plans' limits hold all the same."""

from __future__ import annotations

from cherrygrade.scheduling.client_retries import ClientRetries
from cherrygrade.scheduling.effective_settings import EffectiveSettings
from cherrygrade.scheduling.model import Request, ServicePlan, SitePolicy, UtilityModel, Workload
from cherrygrade.scheduling.queued_request import QueuedRequest
from cherrygrade.scheduling.volume_table import VolumeTable

PLAN = ServicePlan("p", 1, 1, 50, limit_rate=10, limit_burst=10)
WORKLOAD = Workload("w", 200, 1500, 1.0)
SETTINGS = EffectiveSettings(SitePolicy(), UtilityModel(), [WORKLOAD])
MAX_ENTRIES = 8


def request(name: int | str) -> Request:
    return Request(WORKLOAD, PLAN, str(name), 1, str(name), -1, 1.0, 1500.0)


def table() -> VolumeTable:
    volumes = VolumeTable(SETTINGS)
    volumes.max_volumes = MAX_ENTRIES
    return volumes


# Guards against memory that grows with each new name of a volume.
def test_volumes_beyond_the_limit_are_dropped_those_first_that_are_idle_for_longest():
    volumes = table()
    for number in range(100):
        volumes.add_request(request(number), PLAN, float(number)).open_requests -= 1
        volumes.add_request(request("usual"), PLAN, float(number)).open_requests -= 1
        assert len(volumes.volumes) <= MAX_ENTRIES
    assert "usual" in volumes.volumes and "99" in volumes.volumes and "50" not in volumes.volumes


def test_volume_with_an_open_request_is_kept():
    volumes = table()
    kept = volumes.add_request(request("open"), PLAN, 0.0)
    for number in range(100):
        volumes.add_request(request(number), PLAN, 1.0).open_requests -= 1
    volumes.forget_idle(1e9)
    assert volumes.volumes["open"] is kept


# Guards against a plan's limit that holds no longer because its volume was dropped and comes again.
def test_volume_that_was_dropped_begins_with_an_empty_limit():
    volumes = table()
    first = volumes.add_request(request("limited"), PLAN, 0.0)
    first.refill(10_000.0)
    assert first.within_limit(10.0)
    first.spend_limit(10.0)
    first.open_requests -= 1
    for number in range(100):
        volumes.add_request(request(number), PLAN, 10_000.0).open_requests -= 1
    again = volumes.add_request(request("limited"), PLAN, 10_000.0)
    assert again is not first and not again.within_limit(1.0)


# Guards against memory that grows with each rejected request of a new volume or key.
def test_remembered_rejections_are_bounded():
    retries = ClientRetries(SETTINGS)
    retries.max_remembered = MAX_ENTRIES
    volume = table().add_request(request("v"), PLAN, 0.0)
    for number in range(100):
        queued = QueuedRequest(request(number), WORKLOAD, volume, 0.0, float(number))
        retries.record_early_rejection(queued)
    assert list(retries.recently_rejected.values()) == [float(number) for number in range(92, 100)]
