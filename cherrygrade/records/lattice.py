"""Records as values: unification of all that is said of a path, defaults, references, closedness.

A `Vertex` is one path; its conjuncts are the expressions that speak of it, each with the scope it was
written in. A reference takes over its target's conjuncts, so that names within them mean the fields of the
place they are taken to. Free of I/O. Every error found is kept, not only the first.
"""

from __future__ import annotations

import itertools
import re
from collections.abc import Iterator
from dataclasses import dataclass, field
from typing import Any

from cherrygrade.records.grammar import Field, Position, Tree

MOST_CHOICES = 256
MOST_DEPTH = 60
TYPES: dict[str, Any] = {"string": str, "bool": bool, "int": int, "number": (int, float)}


@dataclass(frozen=True, slots=True)
class Fault:
    """One thing wrong: where it stands, the path it concerns, and what."""

    at: Position | None
    path: str
    text: str

    def __str__(self) -> str:
        return f"{self.at or '?'}: {self.path or 'the record'}: {self.text}"


@dataclass(eq=False, slots=True)
class Scope:
    """One struct literal as it stands at one vertex; names are looked up from here outward."""

    vertex: Vertex
    outer: Scope | None
    names: frozenset[str] = frozenset()
    aliases: dict[str, str] = field(default_factory=dict)


@dataclass(frozen=True, slots=True, eq=False)
class Conjunct:
    tree: Tree
    scope: Scope
    group: Any = None
    """The definition it came by: what a group does not name, its struct does not allow."""


@dataclass(slots=True)
class _Group:
    labels: set[str] = field(default_factory=set)
    patterns: list[Conjunct] = field(default_factory=list)
    open: bool = False


@dataclass(frozen=True, slots=True)
class ScalarConstraint:
    """A scalar constraint: a literal, a type or a bound, and where it was said."""

    kind: str
    value: Any
    at: Position

    def __str__(self) -> str:
        return f"{self.value if self.kind == 'type' else _show(self)} ({self.at})"

    def allows(self, value: Any) -> bool:
        if self.kind == "literal":
            return _same(value, self.value)
        if self.kind == "type":
            wanted = TYPES.get(self.value, object)
            return isinstance(value, wanted) and not (
                isinstance(value, bool) and self.value in ("int", "number")
            )
        sign, bound = self.value
        if sign == "!=":
            return not _same(value, bound)
        if sign == "=~":
            return isinstance(value, str) and re.search(str(bound), value) is not None
        if isinstance(value, bool) or isinstance(value, str) != isinstance(bound, str) or value is None:
            return False
        return bool(
            {">": value > bound, "<": value < bound, ">=": value >= bound, "<=": value <= bound}[sign]
        )


def _show(word: ScalarConstraint) -> str:
    if word.kind == "bound":
        return f"{word.value[0]}{word.value[1]!r}"
    return _plain(word.value)


def _plain(value: Any) -> str:
    if isinstance(value, str):
        return f'"{value}"'
    words = {True: "true", False: "false", None: "null"}
    return words[value] if value is None or isinstance(value, bool) else repr(value)


def _same(one: Any, other: Any) -> bool:
    return bool(one == other) and isinstance(one, bool) == isinstance(other, bool)


class Vertex:
    """One path of the record. `expand` finds what is said of it; children are expanded when asked."""

    def __init__(self, path: str, conjuncts: list[Conjunct] | None = None, depth: int = 0) -> None:
        self.path, self.depth = path, depth
        self.conjuncts = conjuncts or []
        self.arcs: dict[str, Vertex] = {}
        self.kind = "any"  # any, struct, list, scalar
        self.words: list[ScalarConstraint] = []
        self.faults: list[Fault] = []
        self.default = False  # it was a default that chose
        self._optional: dict[str, list[Conjunct]] = {}
        self._patterns: list[tuple[Conjunct, str, Conjunct]] = []
        self._groups: dict[Any, _Group] = {}
        self._lists: list[tuple[int, Conjunct | None, Position]] = []
        self._named: dict[str, Position] = {}  # fields said to be there, and where first
        self._done = self._busy = False

    def child(self, label: str) -> Vertex:
        path = f"{self.path}.{label}" if self.path else label
        return self.arcs.setdefault(label, Vertex(path, depth=self.depth + 1))

    def fault(self, at: Position | None, text: str) -> None:
        if len(self.faults) < 100:
            self.faults.append(Fault(at, self.path, text))

    def expand(self) -> Vertex:
        if self._done:
            return self
        if self._busy or self.depth > MOST_DEPTH:
            self.fault(self.conjuncts[0].tree.at if self.conjuncts else None, "refers to itself")
            return self
        self._busy = True
        choices: list[Conjunct] = []
        seen: set[tuple[int, int]] = set()
        work = list(self.conjuncts)
        while work:
            conjunct = work.pop(0)
            key = (id(conjunct.tree), id(conjunct.scope))
            if key not in seen:
                seen.add(key)
                work = self._say(conjunct, choices) + work
        if choices:
            self._choose(choices)
        else:
            self._finish()
        self._busy, self._done = False, True
        return self

    def _say(self, conjunct: Conjunct, choices: list[Conjunct]) -> list[Conjunct]:
        """Take in one conjunct; gives what it stands for where that is others."""
        tree, scope, group = conjunct.tree, conjunct.scope, conjunct.group
        if tree.kind == "both":
            return [Conjunct(part, scope, group) for part in tree.parts]
        if tree.kind == "either":
            choices.append(conjunct)
        elif tree.kind == "ref":
            return self._refer(conjunct)
        elif tree.kind == "struct":
            return self._struct(conjunct)
        elif tree.kind == "many":
            self._list(conjunct)
        elif tree.kind == "literal":
            self._word(ScalarConstraint("literal", tree.parts[0], tree.at))
        elif tree.kind == "type":
            if tree.parts[0] != "_":
                self._word(ScalarConstraint("type", tree.parts[0], tree.at))
        elif tree.kind == "bound":
            value = self._value(tree.parts[1], scope)
            if value is not None:
                self._word(ScalarConstraint("bound", (tree.parts[0], value), tree.at))
        elif tree.kind == "arith":
            value = self._arith(tree, scope)
            if value is not None:
                self._word(ScalarConstraint("literal", value, tree.at))
        return []

    def _kind(self, kind: str, at: Position) -> None:
        if self.kind not in ("any", kind):
            self.fault(at, f"a {kind} here, a {self.kind} elsewhere")
        else:
            self.kind = kind

    def _word(self, word: ScalarConstraint) -> None:
        self._kind("scalar", word.at)
        self.words.append(word)

    def _refer(self, conjunct: Conjunct) -> list[Conjunct]:
        parts = conjunct.tree.parts
        scope: Scope | None = conjunct.scope
        while scope is not None:
            if parts[0] in scope.aliases and len(parts) == 1:
                self._word(ScalarConstraint("literal", scope.aliases[parts[0]], conjunct.tree.at))
                return []
            if parts[0] in scope.names or (scope.outer is None and parts[0] in scope.vertex.arcs):
                break
            scope = scope.outer
        if scope is None:
            self.fault(conjunct.tree.at, f"nothing named '{parts[0]}' is in reach")
            return []
        target = scope.vertex.child(parts[0])
        for part in parts[1:]:
            if part not in target.expand().arcs:
                self.fault(conjunct.tree.at, f"'{'.'.join(parts)}': no '{part}' there")
                return []
            target = target.arcs[part]
        if target is self:
            self.fault(conjunct.tree.at, "refers to itself")
            return []
        group: Any = conjunct.group
        if any(part.startswith("#") for part in parts) and group is None:
            group = object()
        return [Conjunct(one.tree, one.scope, group or one.group) for one in target.conjuncts]

    def _struct(self, conjunct: Conjunct) -> list[Conjunct]:
        tree = conjunct.tree
        group: Any = conjunct.group
        self._kind("struct", tree.at)
        names = frozenset(p.label for p in tree.parts if isinstance(p, Field) and p.kind != "pattern")
        scope = Scope(self, conjunct.scope, names)
        said = self._groups.setdefault(group, _Group()) if group is not None else None
        embedded: list[Conjunct] = []
        for part in tree.parts:
            if part == "...":
                if said is not None:
                    said.open = True
            elif isinstance(part, Tree):
                embedded.append(Conjunct(part, scope, group))
            elif part.kind == "pattern":
                # The pattern is asked of a label, the value is taken where it matches.
                pattern = Conjunct(part.label, scope)
                self._patterns.append((pattern, part.alias, Conjunct(part.value, scope, (group, "[]"))))
                if said is not None:
                    said.patterns.append(pattern)
            else:
                inner: Any = None if group is None else (group, part.label)
                if part.label.startswith("#"):
                    inner = object()
                value = Conjunct(part.value, scope, inner)
                if said is not None:
                    said.labels.add(part.label)
                if part.kind == "optional":
                    self._optional.setdefault(part.label, []).append(value)
                else:
                    self._named.setdefault(part.label, part.at)
                    self.child(part.label).conjuncts.append(value)
        return embedded

    def _list(self, conjunct: Conjunct) -> None:
        tree = conjunct.tree
        self._kind("list", tree.at)
        rest: Conjunct | None = None
        count = 0
        for part in tree.parts:
            if part.kind == "rest":
                rest = Conjunct(part.parts[0], conjunct.scope, conjunct.group)
            else:
                self.child(str(count)).conjuncts.append(Conjunct(part, conjunct.scope, conjunct.group))
                count += 1
        self._lists.append((count, rest, tree.at))

    def _finish(self) -> None:
        """What all conjuncts say together: optional and pattern fields, closedness, lists, scalars."""
        if self.kind == "struct":
            for label, child in self.arcs.items():
                child.conjuncts += self._optional.get(label, [])
                for pattern, alias, value in self._patterns:
                    if label[:1] not in "#_" and _matches(pattern, label):
                        scope = (
                            Scope(self, value.scope, frozenset(), {alias: label}) if alias else value.scope
                        )
                        child.conjuncts.append(
                            Conjunct(value.tree, scope, _pattern_group(value.group, label))
                        )
            for group in self._groups.values():
                for label, at in self._named.items():
                    if not (
                        group.open
                        or label in group.labels
                        or label[:1] in "#_"
                        or any(_matches(pattern, label) for pattern in group.patterns)
                    ):
                        known = (
                            ", ".join(sorted(name for name in group.labels if name[:1] not in "#_")) or "none"
                        )
                        self.fault(at, f"no field '{label}' is allowed here; there are: {known}")
        elif self.kind == "list":
            most, _, longest = max(self._lists, key=lambda one: one[0])
            for count, rest, at in self._lists:
                if count < most and rest is None:
                    self.fault(at, f"a list of {count} here, of {most} at {longest}")
                for index in range(count, most):
                    if rest is not None:
                        self.child(str(index)).conjuncts.append(rest)
        elif self.kind == "scalar":
            literals = [word for word in self.words if word.kind == "literal"]
            if literals:
                for word in self.words:
                    if not word.allows(literals[0].value):
                        self.fault(literals[0].at, f"conflict: {literals[0]} and {word}")
                        return

    def _choose(self, choices: list[Conjunct]) -> None:
        """Try each way through the disjunctions; what holds and is a default goes first."""
        base = [conjunct for conjunct in self._flat() if conjunct.tree.kind != "either"]
        ways = itertools.product(*(choice.tree.parts for choice in choices))
        held: list[tuple[bool, Vertex, Any]] = []
        faults: list[list[Fault]] = []
        for way in itertools.islice(ways, MOST_CHOICES):
            chosen = [
                Conjunct(tree, choice.scope, choice.group)
                for (_, tree), choice in zip(way, choices, strict=True)
            ]
            trial = Vertex(self.path, base + chosen, self.depth + 1).expand()
            found = list(trial.all_faults())
            marked = all(
                mark or not any(other for other, _ in choice.tree.parts)
                for (mark, _), choice in zip(way, choices, strict=True)
            )
            if found:
                faults.append(found)
            else:
                value, _ = trial.export()
                if not any(known == value and trial.concrete and one.concrete for _, one, known in held):
                    held.append((marked, trial, value))
        best = [one for one in held if one[0]] or held
        if not held:
            nearest = min(faults, key=len) if faults else []
            alternatives = " | ".join(_tree_text(tree) for _, tree in choices[0].tree.parts)
            words = [str(word) for word in self.words] or [str(fault.text) for fault in nearest[:2]]
            self.fault(
                self.words[0].at if self.words else (nearest[0].at if nearest else choices[0].tree.at),
                f"none of {alternatives} ({choices[0].tree.at}) holds with {'; '.join(words) or 'the rest'}",
            )
            return
        chosen_one = best[0][1]
        if len(best) > 1:
            concrete = [one for _, one, _ in best if one.concrete]
            if concrete and len(concrete) < len(best) and self.words:
                chosen_one = concrete[0]
            else:
                self.words = []
                self.kind = "any"
                self._open_choice = [str(one.words[0]) if one.words else one.kind for _, one, _ in best]
                return
        self.default = len(held) > 1 and best[0][0]
        for name in (
            "arcs",
            "kind",
            "words",
            "faults",
            "_optional",
            "_patterns",
            "_groups",
            "_lists",
            "_named",
        ):
            setattr(self, name, getattr(chosen_one, name))

    def _flat(self) -> list[Conjunct]:
        """The conjuncts with references and conjunctions taken apart."""
        flat: list[Conjunct] = []
        work, seen = list(self.conjuncts), set()
        while work:
            conjunct = work.pop(0)
            key = (id(conjunct.tree), id(conjunct.scope))
            if key in seen:
                continue
            seen.add(key)
            if conjunct.tree.kind == "both":
                work = [Conjunct(part, conjunct.scope, conjunct.group) for part in conjunct.tree.parts] + work
            elif conjunct.tree.kind == "ref" and not _is_alias(conjunct):
                work = Vertex(self.path, depth=self.depth + 1)._refer(conjunct) + work
            else:
                flat.append(conjunct)
        return flat

    @property
    def concrete(self) -> bool:
        return self.kind != "scalar" or any(word.kind == "literal" for word in self.words)

    def all_faults(self) -> Iterator[Fault]:
        """Its own and those of all below; definitions are only judged where they are used."""
        self.expand()
        yield from self.faults
        for label, child in self.arcs.items():
            if not label.startswith("#"):
                yield from child.all_faults()

    def export(self) -> tuple[Any, list[Fault]]:
        """The plain value, and what stands in the way of one: paths that still need a value."""
        self.expand()
        lacking: list[Fault] = []
        if self.kind == "scalar":
            for word in self.words:
                if word.kind == "literal":
                    return word.value, lacking
            said = " & ".join(str(word) for word in self.words)
            return None, [Fault(self.words[0].at, self.path, f"needs a value: {said}")]
        if self.kind == "any":
            if self.faults:
                return None, lacking
            at = self.conjuncts[0].tree.at if self.conjuncts else None
            among = getattr(self, "_open_choice", None)
            text = f"needs a value, one of: {', '.join(among)}" if among else "needs a value"
            return None, [Fault(at, self.path, text)]
        values = {}
        for label, child in self.arcs.items():
            if label[:1] not in "#_":
                values[label], more = child.export()
                lacking += more
        return (list(values.values()) if self.kind == "list" else values), lacking

    def leaves(self) -> Iterator[tuple[str, Any, Position, bool]]:
        """Path, value, where it was said, and whether it is a default."""
        self.expand()
        if self.kind == "scalar":
            for word in self.words:
                if word.kind == "literal":
                    yield self.path, word.value, word.at, self.default
                    return
        for label, child in self.arcs.items():
            if label[:1] not in "#_":
                yield from child.leaves()

    def _value(self, tree: Tree, scope: Scope) -> Any:
        """A concrete operand."""
        if tree.kind == "arith":
            return self._arith(tree, scope)
        inner = Vertex(self.path, [Conjunct(tree, scope)], self.depth + 1).expand()
        self.faults += inner.faults
        value, lacking = inner.export()
        self.faults += lacking
        return value

    def _arith(self, tree: Tree, scope: Scope) -> Any:
        total = self._value(tree.parts[0], scope)
        for sign, part in zip(tree.parts[1::2], tree.parts[2::2], strict=True):
            value = self._value(part, scope)
            if any(isinstance(one, bool) or not isinstance(one, int | float) for one in (total, value)):
                if not self.faults:
                    self.fault(tree.at, f"'{sign}' between {_plain(total)} and {_plain(value)}")
                return None
            if sign == "/" and not value:
                self.fault(tree.at, "division by zero")
                return None
            total = {"+": total + value, "-": total - value, "*": total * value}.get(
                sign, total / value if value else 0
            )
        return total


def _is_alias(conjunct: Conjunct) -> bool:
    scope: Scope | None = conjunct.scope
    while scope is not None:
        if conjunct.tree.parts[0] in scope.aliases:
            return True
        scope = scope.outer
    return False


def _pattern_group(group: Any, label: str) -> Any:
    """A pattern's value is closed where the pattern stands in a definition."""
    return None if group[0] is None else (group[0], label)


def _matches(pattern: Conjunct, label: str) -> bool:
    name = Tree("literal", pattern.tree.at, (label,))
    return not any(Vertex("", [pattern, Conjunct(name, pattern.scope)]).expand().all_faults())


def _tree_text(tree: Tree) -> str:
    if tree.kind == "literal":
        return _plain(tree.parts[0])
    if tree.kind in ("type", "ref"):
        return ".".join(tree.parts)
    if tree.kind == "bound":
        return f"{tree.parts[0]}{_tree_text(tree.parts[1])}"
    if tree.kind == "both":
        return " & ".join(_tree_text(part) for part in tree.parts)
    return f"a {'list' if tree.kind == 'many' else tree.kind}"


def unify(trees: list[Tree], closed: bool = False) -> Vertex:
    """All that the given texts say together; closed: the first of them names all that is allowed."""
    root = Vertex("")
    # One scope for the root of each text, all at the same vertex: they see each other's names.
    groups = [object() if closed and not index else None for index in range(len(trees))]
    root.conjuncts = [
        Conjunct(tree, Scope(root, None), group) for tree, group in zip(trees, groups, strict=True)
    ]
    return root.expand()
