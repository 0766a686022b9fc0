"""The token buckets of all volumes that requests have named; bounded, since clients choose the names."""

from __future__ import annotations

from cherrygrade.scheduling.effective_settings import EffectiveSettings
from cherrygrade.scheduling.model import Request, ServicePlan
from cherrygrade.scheduling.quota import VolumeQuota

FORGET_VOLUME_MS = 60_000.0
"""A volume's token buckets are dropped once the volume has been idle for this long."""

MAX_VOLUMES = 65_536
"""Limit on the number of volumes where the host sets none."""


class VolumeTable:
    """Keeps one `VolumeQuota` for each volume.

    Beyond the limit, volumes without an open request are dropped, those first whose last request is the
    longest ago. That is safe for the plans' limits (rule 7): the limit's bucket of a new volume is empty.

    Attributes:
        volumes: token buckets by volume; the volume of the newest request is the last one.
        max_volumes: limit on the number of volumes; those with open requests may exceed it.
    """

    def __init__(self, settings: EffectiveSettings) -> None:
        self.volumes: dict[str, VolumeQuota] = {}
        self.max_volumes = MAX_VOLUMES
        self._settings = settings

    def add_request(self, request: Request, plan: ServicePlan, now: float) -> VolumeQuota:
        """Return the refilled token buckets of an arriving request's volume, and count the request."""
        volume = self.volumes.pop(request.volume, None)
        if volume is None:
            volume = VolumeQuota(plan, request.dispatchers, now, self._settings.utility)
            self._make_room()
        self.volumes[request.volume] = volume
        volume.refill(now)
        volume.open_requests += 1
        return volume

    def _make_room(self) -> None:
        if len(self.volumes) < self.max_volumes:
            return
        unused = next((name for name, volume in self.volumes.items() if not volume.open_requests), None)
        if unused is not None:
            del self.volumes[unused]

    def forget_idle(self, now: float) -> None:
        """Drop the volumes that have been idle for FORGET_VOLUME_MS at `now`, in ms."""
        self.volumes = {
            name: volume
            for name, volume in self.volumes.items()
            if volume.open_requests or now - volume.refilled_ms < FORGET_VOLUME_MS
        }
