"""Which stage the fleet is on, as confirmed by witnesses.

An advert is the stage that any message of a member reports; an advert of a higher stage only starts queries.
A statement is a member's direct report: its answer to this member's own query or probe, matched by the nonce
drawn here, from the address that the membership table has for that member. A stage is believed once a voter
of the council has stated it, or two different living members have; these members are its witnesses.
"""

from __future__ import annotations

from collections import OrderedDict

from cherrygrade.fleet.config.replica_messages import StageDigest

REQUIRED_WITNESSES = 2
"""Members that have to state the same stage. A voter alone suffices."""
MAX_STATEMENTS_PER_MEMBER = 4
MAX_ADVERTS = 64
DOUBT_MS = 500.0
"""Time for which a member's adverts start no queries after an advert that no other member confirmed. It
doubles with each such advert."""
MAX_DOUBT_MS = 60_000.0
"""The longest time for which a member's adverts start no queries."""


class Witnesses:
    """The reports of living members, and the stage that they confirm.

    Attributes:
        voters: The names of the other voters of the council.
        statements: By member, its statements above the stage in force here, the newest last; at
            most MAX_STATEMENTS_PER_MEMBER each.
        adverts: By member, its highest advert above the stage in force here; at most MAX_ADVERTS.
        believed: The highest stage that witnesses confirmed, with its digest prefix; its
            stage never decreases.
        has_confirmation: Whether witnesses have confirmed any stage, stage 0 (no configuration) included.
    """

    def __init__(self, voters: list[str]) -> None:
        self.voters = voters
        self.statements: dict[str, list[StageDigest]] = {}
        self.adverts: OrderedDict[str, StageDigest] = OrderedDict()
        self.believed = StageDigest(0, 0)
        self.has_confirmation = False
        # By member, the number of unconfirmed adverts in a row, and the time in ms until which it is doubted.
        self._doubts: dict[str, tuple[int, float]] = {}

    def add_advert(self, name: str, advert: StageDigest) -> bool:
        """Store an advert; return whether its stage is higher than that of the member's earlier adverts."""
        known = self.adverts.get(name)
        if known is not None and known.stage >= advert.stage:
            return False
        if known is None and (advert.stage <= 0 or len(self.adverts) >= MAX_ADVERTS):
            return False
        self.adverts[name] = advert
        return True

    def add_statement(self, name: str, statement: StageDigest) -> None:
        """Store a statement."""
        statements = self.statements.setdefault(name, [])
        if statement not in statements:
            statements.append(statement)
            del statements[:-MAX_STATEMENTS_PER_MEMBER]

    def supporters(self, stage: int, digest_prefix: int) -> list[str]:
        """Return the members that stated this stage or a later one of the same version.

        The later stage confirms the earlier one, too.
        """
        return [
            name
            for name, statements in self.statements.items()
            if any(
                statement.digest_prefix == digest_prefix
                and statement.number == stage // 2
                and statement.stage >= stage
                for statement in statements
            )
        ]

    def suffice(self, names: list[str]) -> bool:
        """Return whether these members are enough witnesses."""
        return len(names) >= REQUIRED_WITNESSES or any(name in self.voters for name in names)

    def believe(self, stage: int, digest_prefix: int, names: list[str]) -> None:
        """Take a stage as confirmed by these members, and no longer doubt their adverts."""
        self.believed = StageDigest(stage, digest_prefix)
        for name in names:
            self._doubts.pop(name, None)

    def doubt(self, name: str, now: float) -> None:
        """Ignore a member's adverts for a while, because no other member confirmed its advert."""
        times, _ = self._doubts.get(name, (0, 0.0))
        self._doubts[name] = (times + 1, now + min(MAX_DOUBT_MS, DOUBT_MS * 2.0**times))

    def open_adverts(self, above: int, now: float) -> dict[str, StageDigest]:
        """Return, by member, the adverts above a stage; those of members doubted now are left out."""
        return {
            name: advert
            for name, advert in self.adverts.items()
            if advert.stage > above and now >= self._doubts.get(name, (0, 0.0))[1]
        }

    def sources(self, number: int) -> list[str]:
        """Return the members that reported this version or a later one, each once."""
        names = [name for name, advert in self.adverts.items() if advert.number >= number]
        names += [name for name, statements in self.statements.items() if statements[-1].number >= number]
        return list(dict.fromkeys(names))

    def drop_statements(self, stage: int) -> None:
        """Drop the statements that are not above a stage."""
        above = {
            name: [statement for statement in statements if statement.stage > stage]
            for name, statements in self.statements.items()
        }
        self.statements = {name: statements for name, statements in above.items() if statements}

    def drop_adverts(self, stage: int) -> None:
        """Drop the adverts that are not above a stage."""
        self.adverts = OrderedDict(
            (name, advert) for name, advert in self.adverts.items() if advert.stage > stage
        )

    def drop_departed(self, living: set[str]) -> None:
        """Drop everything about members that are not alive."""
        for name in [name for name in self.statements if name not in living]:
            del self.statements[name]
        for name in [name for name in self.adverts if name not in living]:
            del self.adverts[name]
        for name in [name for name in self._doubts if name not in living]:
            del self._doubts[name]
