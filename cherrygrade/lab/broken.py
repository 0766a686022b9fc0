"""Dispatchers deliberately broken, one way for each rule, so that the audit can be seen to convict.

`python -m cherrygrade.lab.broken WAY FILE` serves like `cherrygrade serve FILE`, but for the one breach.
"""

from __future__ import annotations

import asyncio
import sys
from collections.abc import Callable
from dataclasses import replace
from pathlib import Path
from typing import Any

from cherrygrade.gateway import roster
from cherrygrade.gateway.life import serve
from cherrygrade.gateway.process import Gateway
from cherrygrade.interface import Effect, Standing
from cherrygrade.logs import make_log
from cherrygrade.policy import NEVER, Gate
from cherrygrade.records.load import read_site
from cherrygrade.site import Site, Trade, Volume


def _loses(site: Site) -> Site:
    """One answer in twenty is never given."""
    usual: Callable[..., None] = Gateway.final
    count = [0]

    def final(self: Gateway, held: Any, message: Any, body: Any = None) -> None:
        count[0] += 1
        if count[0] % 20:
            usual(self, held, message, body)

    Gateway.final = final  # type: ignore[method-assign]
    return site


def _works(site: Site, **changes: Any) -> Site:
    workloads = {name: replace(work, **changes) for name, work in site.trade.workloads.items()}
    return replace(site, trade=Trade(workloads, site.trade.volumes, site.trade.measure))


def _twice(site: Site) -> Site:
    """Every workload is taken for idempotent."""
    return _works(site, effect=Effect.IDEMPOTENT)


def _drains(site: Site) -> Site:
    """The register's word of draining and gone nodes is passed over."""
    roster.STANDINGS.update(draining=Standing.LIVE, gone=Standing.LIVE)
    return site


def _cold(site: Site) -> Site:
    """A node that has just come up is taken for warm."""
    Gate.cold_room = lambda self, lane, now: NEVER  # type: ignore[method-assign]
    return site


def _order(site: Site) -> Site:
    """No workload keeps an order."""
    return _works(site, in_order=False)


def _budget(site: Site) -> Site:
    """There is no budget of further sends."""
    return replace(site, bearings=replace(site.bearings, budget=None))


def _limits(site: Site) -> Site:
    """No plan has a limit."""
    volumes = {
        name: Volume(replace(volume.plan, limit_rate=0.0), volume.hosts)
        for name, volume in site.trade.volumes.items()
    }
    return replace(site, trade=Trade(site.trade.workloads, volumes, site.trade.measure))


WAYS: dict[int, Callable[[Site], Site]] = {
    1: _loses,
    2: _twice,
    3: _drains,
    4: _cold,
    5: _order,
    6: _budget,
    7: _limits,
}


def main() -> int:
    site = WAYS[int(sys.argv[1])](read_site(Path(sys.argv[2])))

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
        )
        return await serve(gateway, lambda port: print(f"listening {port}", flush=True))

    return asyncio.run(run())


if __name__ == "__main__":
    sys.exit(main())
