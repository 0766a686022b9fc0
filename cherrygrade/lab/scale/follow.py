"""What hollow members of one process have in force: noted as they come to it, and looked at each second."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

import msgspec

from cherrygrade.fleet.config.replica import ConfigReplica
from cherrygrade.fleet.config.replica_messages import ApplyVersion, FetchResponse, ReplicaEffects
from cherrygrade.fleet.config.versions import ConfigVersion
from cherrygrade.fleet.runtime.fleet_agent import FleetAgent
from cherrygrade.lab.scale.rows import Row

TAKES_ANY, GOES_BACK = "takes content without a digest", "goes back"


class Follow:
    """`rows` by time, one for each stage that a life came to; `last` by member, its life and stage."""

    def __init__(self, clock: Callable[[], float], breaks: str) -> None:
        self.clock, self.breaks = clock, breaks
        self.rows: list[Row] = []
        self._last: dict[int, tuple[int, int, str]] = {}

    def taker(self, member: int, life: int) -> Callable[[ConfigVersion, int], str]:
        """A hollow member's `in_force`: it has nothing to put anything into, and refuses none."""

        def in_force(version: ConfigVersion, stage: int) -> str:
            self._note(member, life, stage, f"{version.digest_prefix:016x}")
            return ""

        return in_force

    def look(self, member: int, life: int, agent: FleetAgent) -> None:
        """What it says by its pages, whatever came to `in_force`."""
        replica = agent.config.replica if agent.config is not None else None
        if replica is not None and (replica.stage or member in self._last):
            self._note(member, life, replica.stage, f"{replica.digest_prefix:016x}")

    def _note(self, member: int, life: int, stage: int, mark: str) -> None:
        now = (life, stage, mark)
        if self._last.get(member) != now:
            self._last[member] = now
            self.rows.append(Row(self.clock(), member, life, stage, mark))

    def broken(self, agent: FleetAgent) -> None:
        """A planted breakage, at this member."""
        replica = agent.config.replica if agent.config is not None else None
        if replica is not None and self.breaks == TAKES_ANY:
            _takes_any(replica)
        elif replica is not None and self.breaks == GOES_BACK:
            _goes_back(replica)


def state(agent: FleetAgent) -> dict[str, Any]:
    """What this member counts, and is on; -1 and zeros where it follows none."""
    config = agent.config
    if config is None or config.replica is None:
        return {"in_force": -1, "asked_voters": 0, "asked_members": 0, "fetched_bytes": 0, "given_bytes": 0}
    replica = config.replica
    return {
        "in_force": replica.stage // 2,
        "asked_voters": replica.questions.sent_to_voters,
        "asked_members": replica.questions.sent_to_members,
        "fetched_bytes": config.fetched_bytes,
        "given_bytes": config.sent_bytes,
    }


def _takes_any(replica: ConfigReplica) -> None:
    """What came is taken as it is, and not as its digest says: here it came with another text."""

    def fetched(name: str, response: FetchResponse, now: float) -> ReplicaEffects:
        replica.fetch.current = None
        if response.content is None:
            return ReplicaEffects()
        version = msgspec.structs.replace(response.content.version, text="// torn on its way\n")
        replica.store.add(version)
        return replica.apply(version, 2 * version.number + 1)

    replica.fetch_finished = fetched  # type: ignore[method-assign]


def _goes_back(replica: ConfigReplica) -> None:
    """Its second version is in force once; then it is on its first one again, and stays there."""
    forced, were = replica.apply_finished, list[tuple[ConfigVersion | None, int]]()

    def goes(stage: int, refusal: str, now: float) -> ReplicaEffects:
        does = forced(stage, refusal, now)
        were.append((replica.version, replica.stage))
        if len(were) == 2:
            replica.version, replica.stage = were[0]
            replica._applying = ApplyVersion(were[1][0] or ConfigVersion(0, b"", "", "", 0.0), NEVER_STAGE)
        return does

    replica.apply_finished = goes  # type: ignore[method-assign]


NEVER_STAGE = -1  # of a version that seems to be on its way into force, so that none other is
