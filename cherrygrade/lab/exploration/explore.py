"""Explicit-state exploration: every state that a small model can come to, breadth first, and the shortest
way to the first wrong one.

A model's states are plain values; its steps run the product's own decision code on objects made from them.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Hashable, Iterable, Iterator
from dataclasses import dataclass, field
from typing import Generic, Protocol, TypeVar

State = TypeVar("State", bound=Hashable)


class Model(Protocol[State]):
    def start(self) -> State: ...

    def steps(self, state: State) -> Iterable[tuple[str, State]]:
        """What may happen next, by name. Breach where a step itself shows what must not be."""

    def wrong(self, state: State) -> str:
        """What an invariant finds wrong with the state; empty where nothing."""


class Breach(Exception):
    """A step showed something that must not be."""


class Told(Generic[State]):
    """Words as bits, so that a state holds all that were ever sent in one number. Goes with the model."""

    def __init__(self) -> None:
        self._words: list[State] = []
        self._bits: dict[State, int] = {}

    def mask(self, words: Iterable[State]) -> int:
        mask = 0
        for word in words:
            if word not in self._bits:
                self._bits[word] = 1 << len(self._words)
                self._words.append(word)
            mask |= self._bits[word]
        return mask

    def of(self, mask: int) -> Iterator[State]:
        while mask:
            bit = mask & -mask
            mask ^= bit
            yield self._words[bit.bit_length() - 1]


@dataclass(slots=True)
class Found(Generic[State]):
    """`whole`: nothing was left out; else there were more states than `most`."""

    states: int = 0
    steps: int = 0
    depth: int = 0
    whole: bool = False
    breach: str = ""
    way: list[str] = field(default_factory=list)

    def __str__(self) -> str:
        told = f"{self.states} states, {self.steps} steps, {self.depth} deep"
        if self.breach:
            return f"{told}; wrong: {self.breach}\n  by: {' / '.join(self.way)}"
        return told + ("; nothing wrong" if self.whole else "; nothing wrong so far, more were left out")


def explore(model: Model[State], most: int) -> Found[State]:
    """Stops at the first breach, which has a shortest way, or at `most` states."""
    start = model.start()
    came: dict[State, tuple[State, str] | None] = {start: None}
    found: Found[State] = Found(states=1)
    rim: deque[tuple[State, int]] = deque([(start, 0)])

    def way(state: State) -> list[str]:
        names: list[str] = []
        while (step := came[state]) is not None:
            state, name = step
            names.append(name)
        return names[::-1]

    while rim:
        state, depth = rim.popleft()
        found.depth = depth
        if told := model.wrong(state):
            found.breach, found.way = told, way(state)
            return found
        try:
            for name, after in model.steps(state):
                found.steps += 1
                if after in came:
                    continue
                if len(came) >= most:
                    return found
                came[after] = (state, name)
                found.states += 1
                rim.append((after, depth + 1))
        except Breach as breach:
            found.breach, found.way = str(breach), [*way(state), "the step that shows it"]
            return found
    found.whole = True
    return found
