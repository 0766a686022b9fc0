"""Which version the fleet is on, by what witnesses said.

An advert of a higher stage only starts questions. A stage is believed once a voter of the council said it, or
two different living members did, each first-hand: in an answer with a nonce drawn here, from the address that
the membership table has for that name.
"""

from __future__ import annotations

from collections import OrderedDict

from cherrygrade.fleet.config.replica_messages import StageDigest

REQUIRED_WITNESSES = 2
"""Members that have to say the same; a voter alone suffices."""
MAX_STATEMENTS_PER_MEMBER = 4
MAX_ADVERTS = 64
DOUBT_MS = 500.0
"""After an advert that nobody confirmed its member's adverts start no question; doubled each time,"""
MAX_DOUBT_MS = 60_000.0
"""up to this."""


class Witnesses:
    """What living members said, and what is believed of it.

    Attributes:
        voters: The names of the other voters of the council.
        statements: By member, what it said first-hand that is above the stage in force here, the last
            MAX_STATEMENTS_PER_MEMBER, the newest last.
        adverts: By member, the highest that its adverts told above the stage in force here; MAX_ADVERTS at
            most.
        believed: The highest stage with witnesses; its stage never decreases.
        has_confirmation: Whether witnesses told any stage, be it that there is no configuration.
    """

    def __init__(self, voters: list[str]) -> None:
        self.voters = voters
        self.statements: dict[str, list[StageDigest]] = {}
        self.adverts: OrderedDict[str, StageDigest] = OrderedDict()
        self.believed = StageDigest(0, 0)
        self.has_confirmation = False
        self._doubts: dict[str, tuple[int, float]] = {}  # by member: times in a row, and until when

    def add_advert(self, name: str, advert: StageDigest) -> bool:
        """Note an advert; whether it tells more than those before it."""
        known = self.adverts.get(name)
        if known is not None and known.stage >= advert.stage:
            return False
        if known is None and (advert.stage <= 0 or len(self.adverts) >= MAX_ADVERTS):
            return False
        self.adverts[name] = advert
        return True

    def add_statement(self, name: str, statement: StageDigest) -> None:
        """Note what a member said first-hand."""
        statements = self.statements.setdefault(name, [])
        if statement not in statements:
            statements.append(statement)
            del statements[:-MAX_STATEMENTS_PER_MEMBER]

    def supporters(self, stage: int, digest_prefix: int) -> list[str]:
        """Who said this stage, or a later one of the same version: that confirms the earlier one too."""
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
        """Whether these members are witnesses enough."""
        return len(names) >= REQUIRED_WITNESSES or any(name in self.voters for name in names)

    def believe(self, stage: int, digest_prefix: int, names: list[str]) -> None:
        """These members were right."""
        self.believed = StageDigest(stage, digest_prefix)
        for name in names:
            self._doubts.pop(name, None)

    def doubt(self, name: str, now: float) -> None:
        """Nobody confirmed this member's advert."""
        times, _ = self._doubts.get(name, (0, 0.0))
        self._doubts[name] = (times + 1, now + min(MAX_DOUBT_MS, DOUBT_MS * 2.0**times))

    def open_adverts(self, above: int, now: float) -> dict[str, StageDigest]:
        """Adverts above a stage, of members that are not doubted now."""
        return {
            name: advert
            for name, advert in self.adverts.items()
            if advert.stage > above and now >= self._doubts.get(name, (0, 0.0))[1]
        }

    def sources(self, number: int) -> list[str]:
        """Who told of this version or a later one, each once."""
        names = [name for name, advert in self.adverts.items() if advert.number >= number]
        names += [name for name, statements in self.statements.items() if statements[-1].number >= number]
        return list(dict.fromkeys(names))

    def drop_statements(self, stage: int) -> None:
        """Forget what is not above the stage in force."""
        above = {
            name: [statement for statement in statements if statement.stage > stage]
            for name, statements in self.statements.items()
        }
        self.statements = {name: statements for name, statements in above.items() if statements}

    def drop_adverts(self, stage: int) -> None:
        """Forget adverts that are not above the stage in force."""
        self.adverts = OrderedDict(
            (name, advert) for name, advert in self.adverts.items() if advert.stage > stage
        )

    def keep_only(self, living: set[str]) -> None:
        """Forget members that are not alive."""
        for name in [name for name in self.statements if name not in living]:
            del self.statements[name]
        for name in [name for name in self.adverts if name not in living]:
            del self.adverts[name]
        for name in [name for name in self._doubts if name not in living]:
            del self._doubts[name]
