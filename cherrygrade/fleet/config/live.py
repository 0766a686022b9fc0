"""Which settings come into force while a dispatcher runs, which need a restart, which deal out parts.

Free of I/O and clock.
"""

from __future__ import annotations

from dataclasses import dataclass

from cherrygrade.fleet.config.versions import Divisors
from cherrygrade.site import Site


@dataclass(frozen=True, slots=True)
class Changes:
    """Keys, as the record has them (`plans.gold.limit_rate`), sorted. `restart`: any there refuses the
    version. `divisors`: of the old site, where the new one's differ; then parts move."""

    live: list[str]
    restart: list[str]
    divisors: Divisors | None = None


def divisors(site: Site) -> Divisors:
    raise NotImplementedError


def changes(old: Site, new: Site) -> Changes:
    """What differs, by what has to be done about it."""
    raise NotImplementedError
