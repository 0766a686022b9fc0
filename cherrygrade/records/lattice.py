"""Evaluation of records, as in CUE: unification, defaults, references and closed structs.

A `Vertex` is one path of a record, such as `place.name`. Its conjuncts are all expressions that constrain the
value at this path, each with the scope that it was written in. A reference adds the conjuncts of its target
to the vertex that refers to it. All errors are collected, not only the first. This module does no I/O.
"""

from __future__ import annotations

import itertools
import re
from collections.abc import Iterator
from dataclasses import dataclass, field
from typing import Any

from cherrygrade.records.grammar import Field, Position, Tree

MAX_ALTERNATIVES = 256
"""Number of combinations of alternatives that are tried for one vertex; further ones are ignored."""
MAX_DEPTH = 60
"""Nesting of vertices beyond which a record is taken to refer to itself."""
TYPES: dict[str, Any] = {"string": str, "bool": bool, "int": int, "number": (int, float)}
"""Python type for each type name of the records language."""


@dataclass(frozen=True, slots=True)
class Fault:
    """One error in a record.

    Attributes:
        position: Where the wrong expression is written; None if no expression belongs to the path.
        path: The path that the error is about; "" for the record itself.
        text: What was expected and what was found.
    """

    position: Position | None
    path: str
    text: str

    def __str__(self) -> str:
        return f"{self.position or '?'}: {self.path or 'the record'}: {self.text}"


@dataclass(eq=False, slots=True)
class Scope:
    """The scope of one struct literal; a name is looked up here first, then in the outer scopes.

    Attributes:
        vertex: The vertex that the struct belongs to.
        outer: The scope around the struct; None for the outermost struct of a text.
        names: Names of the fields that the struct gives.
        aliases: Matched field name for each alias of a pattern field.
    """

    vertex: Vertex
    outer: Scope | None
    names: frozenset[str] = frozenset()
    aliases: dict[str, str] = field(default_factory=dict)


@dataclass(frozen=True, slots=True, eq=False)
class Conjunct:
    """One expression that constrains a vertex, with the scope that its names are looked up in.

    Attributes:
        tree: The expression.
        scope: The scope that the expression was written in.
        closed_group: Key that is equal for all conjuncts that came from the same use of a definition; None
            for conjuncts of open structs. Fields that no struct of the group names are not allowed.
    """

    tree: Tree
    scope: Scope
    closed_group: Any = None


@dataclass(slots=True)
class _ClosedGroup:
    """Fields that one use of a definition allows: by name, by pattern, or all of them if it is open."""

    labels: set[str] = field(default_factory=set)
    patterns: list[Conjunct] = field(default_factory=list)
    open: bool = False


@dataclass(frozen=True, slots=True)
class ScalarConstraint:
    """A constraint on a scalar value.

    Attributes:
        kind: "literal", "type" or "bound".
        value: The literal, the name of the type, or the operator and operand of the bound.
        position: Where the constraint is written.
    """

    kind: str
    value: Any
    position: Position

    def __str__(self) -> str:
        return f"{self.value if self.kind == 'type' else _bound_or_literal_text(self)} ({self.position})"

    def allows(self, value: Any) -> bool:
        """Return whether the value satisfies this constraint."""
        if self.kind == "literal":
            return _is_same(value, self.value)
        if self.kind == "type":
            expected = TYPES.get(self.value, object)
            return isinstance(value, expected) and not (
                isinstance(value, bool) and self.value in ("int", "number")
            )
        operator, bound = self.value
        if operator == "!=":
            return not _is_same(value, bound)
        if operator == "=~":
            return isinstance(value, str) and re.search(str(bound), value) is not None
        if isinstance(value, bool) or isinstance(value, str) != isinstance(bound, str) or value is None:
            return False
        return bool(
            {">": value > bound, "<": value < bound, ">=": value >= bound, "<=": value <= bound}[operator]
        )


def _bound_or_literal_text(constraint: ScalarConstraint) -> str:
    if constraint.kind == "bound":
        return f"{constraint.value[0]}{constraint.value[1]!r}"
    return _value_text(constraint.value)


def _value_text(value: Any) -> str:
    if isinstance(value, str):
        return f'"{value}"'
    keywords = {True: "true", False: "false", None: "null"}
    return keywords[value] if value is None or isinstance(value, bool) else repr(value)


def _is_same(one: Any, other: Any) -> bool:
    return bool(one == other) and isinstance(one, bool) == isinstance(other, bool)


class Vertex:
    """One path of a record and the value that its conjuncts give it together.

    `expand` evaluates the conjuncts; the children are expanded only when they are read.

    Attributes:
        path: The labels from the root, joined by dots; "" for the root.
        depth: Number of vertices above this one, including those of alternatives that are being tried.
        conjuncts: The expressions that constrain this path.
        children: Vertex for each label of a struct, or for each index of a list.
        kind: "any" as long as nothing constrains the kind, else "struct", "list" or "scalar".
        constraints: The constraints on a scalar.
        faults: Errors at this path, 100 at most, without those of the children.
        from_default: Whether the value is the default of a disjunction.
    """

    def __init__(self, path: str, conjuncts: list[Conjunct] | None = None, depth: int = 0) -> None:
        self.path, self.depth = path, depth
        self.conjuncts = conjuncts or []
        self.children: dict[str, Vertex] = {}
        self.kind = "any"
        self.constraints: list[ScalarConstraint] = []
        self.faults: list[Fault] = []
        self.from_default = False
        self._optional: dict[str, list[Conjunct]] = {}
        self._patterns: list[tuple[Conjunct, str, Conjunct]] = []
        self._closed_groups: dict[Any, _ClosedGroup] = {}
        self._lists: list[tuple[int, Conjunct | None, Position]] = []
        self._field_positions: dict[
            str, Position
        ] = {}  # where each field that is not optional is first given
        self._expanded = self._expanding = False

    def child(self, label: str) -> Vertex:
        """Return the vertex for a label, which is created if there is none yet."""
        path = f"{self.path}.{label}" if self.path else label
        return self.children.setdefault(label, Vertex(path, depth=self.depth + 1))

    def fault(self, position: Position | None, text: str) -> None:
        """Record an error at this path, unless 100 are recorded already."""
        if len(self.faults) < 100:
            self.faults.append(Fault(position, self.path, text))

    def expand(self) -> Vertex:
        """Evaluate the conjuncts once, and return this vertex. Errors are added to `faults`."""
        if self._expanded:
            return self
        if self._expanding or self.depth > MAX_DEPTH:
            self.fault(self.conjuncts[0].tree.position if self.conjuncts else None, "refers to itself")
            return self
        self._expanding = True
        disjunctions: list[Conjunct] = []
        seen: set[tuple[int, int]] = set()
        work = list(self.conjuncts)
        while work:
            conjunct = work.pop(0)
            key = (id(conjunct.tree), id(conjunct.scope))
            if key not in seen:
                seen.add(key)
                work = self._apply(conjunct, disjunctions) + work
        if disjunctions:
            self._choose_alternatives(disjunctions)
        else:
            self._complete()
        self._expanding, self._expanded = False, True
        return self

    def _apply(self, conjunct: Conjunct, disjunctions: list[Conjunct]) -> list[Conjunct]:
        """Apply one conjunct to this vertex, and return the conjuncts that it consists of or refers to."""
        tree, scope, closed_group = conjunct.tree, conjunct.scope, conjunct.closed_group
        if tree.kind == "conjunction":
            return [Conjunct(part, scope, closed_group) for part in tree.parts]
        if tree.kind == "disjunction":
            disjunctions.append(conjunct)
        elif tree.kind == "reference":
            return self._resolve_reference(conjunct)
        elif tree.kind == "struct":
            return self._apply_struct(conjunct)
        elif tree.kind == "list_literal":
            self._apply_list(conjunct)
        elif tree.kind == "literal":
            self._add_constraint(ScalarConstraint("literal", tree.parts[0], tree.position))
        elif tree.kind == "type":
            if tree.parts[0] != "_":
                self._add_constraint(ScalarConstraint("type", tree.parts[0], tree.position))
        elif tree.kind == "bound":
            value = self._operand(tree.parts[1], scope)
            if value is not None:
                self._add_constraint(ScalarConstraint("bound", (tree.parts[0], value), tree.position))
        elif tree.kind == "calculation":
            value = self._calculate(tree, scope)
            if value is not None:
                self._add_constraint(ScalarConstraint("literal", value, tree.position))
        return []

    def _set_kind(self, kind: str, position: Position) -> None:
        if self.kind not in ("any", kind):
            self.fault(position, f"expected a {self.kind} as given elsewhere, got a {kind}")
        else:
            self.kind = kind

    def _add_constraint(self, constraint: ScalarConstraint) -> None:
        self._set_kind("scalar", constraint.position)
        self.constraints.append(constraint)

    def _resolve_reference(self, conjunct: Conjunct) -> list[Conjunct]:
        parts = conjunct.tree.parts
        scope: Scope | None = conjunct.scope
        while scope is not None:
            if parts[0] in scope.aliases and len(parts) == 1:
                self._add_constraint(
                    ScalarConstraint("literal", scope.aliases[parts[0]], conjunct.tree.position)
                )
                return []
            if parts[0] in scope.names or (scope.outer is None and parts[0] in scope.vertex.children):
                break
            scope = scope.outer
        if scope is None:
            self.fault(conjunct.tree.position, f"no field or alias named '{parts[0]}' is in scope")
            return []
        target = scope.vertex.child(parts[0])
        for part in parts[1:]:
            if part not in target.expand().children:
                self.fault(
                    conjunct.tree.position, f"reference '{'.'.join(parts)}': there is no field '{part}'"
                )
                return []
            target = target.children[part]
        if target is self:
            self.fault(conjunct.tree.position, "refers to itself")
            return []
        closed_group: Any = conjunct.closed_group
        if any(part.startswith("#") for part in parts) and closed_group is None:
            closed_group = object()
        return [Conjunct(one.tree, one.scope, closed_group or one.closed_group) for one in target.conjuncts]

    def _apply_struct(self, conjunct: Conjunct) -> list[Conjunct]:
        tree = conjunct.tree
        closed_group: Any = conjunct.closed_group
        self._set_kind("struct", tree.position)
        names = frozenset(p.label for p in tree.parts if isinstance(p, Field) and p.kind != "pattern")
        scope = Scope(self, conjunct.scope, names)
        allowed = (
            self._closed_groups.setdefault(closed_group, _ClosedGroup()) if closed_group is not None else None
        )
        embedded: list[Conjunct] = []
        for part in tree.parts:
            if part == "...":
                if allowed is not None:
                    allowed.open = True
            elif isinstance(part, Tree):
                embedded.append(Conjunct(part, scope, closed_group))
            elif part.kind == "pattern":
                # The value constrains each field whose label matches the pattern.
                pattern = Conjunct(part.label, scope)
                self._patterns.append(
                    (pattern, part.alias, Conjunct(part.value, scope, (closed_group, "[]")))
                )
                if allowed is not None:
                    allowed.patterns.append(pattern)
            else:
                inner: Any = None if closed_group is None else (closed_group, part.label)
                if part.label.startswith("#"):
                    inner = object()
                value = Conjunct(part.value, scope, inner)
                if allowed is not None:
                    allowed.labels.add(part.label)
                if part.kind == "optional":
                    self._optional.setdefault(part.label, []).append(value)
                else:
                    self._field_positions.setdefault(part.label, part.position)
                    self.child(part.label).conjuncts.append(value)
        return embedded

    def _apply_list(self, conjunct: Conjunct) -> None:
        tree = conjunct.tree
        self._set_kind("list", tree.position)
        ellipsis: Conjunct | None = None
        count = 0
        for part in tree.parts:
            if part.kind == "ellipsis":
                ellipsis = Conjunct(part.parts[0], conjunct.scope, conjunct.closed_group)
            else:
                self.child(str(count)).conjuncts.append(Conjunct(part, conjunct.scope, conjunct.closed_group))
                count += 1
        self._lists.append((count, ellipsis, tree.position))

    def _complete(self) -> None:
        """Check the conjuncts against each other, and apply optional and pattern fields to the children."""
        if self.kind == "struct":
            for label, child in self.children.items():
                child.conjuncts += self._optional.get(label, [])
                for pattern, alias, value in self._patterns:
                    if label[:1] not in "#_" and _matches(pattern, label):
                        scope = (
                            Scope(self, value.scope, frozenset(), {alias: label}) if alias else value.scope
                        )
                        child.conjuncts.append(
                            Conjunct(value.tree, scope, _pattern_group(value.closed_group, label))
                        )
            for closed_group in self._closed_groups.values():
                for label, position in self._field_positions.items():
                    if not (
                        closed_group.open
                        or label in closed_group.labels
                        or label[:1] in "#_"
                        or any(_matches(pattern, label) for pattern in closed_group.patterns)
                    ):
                        known = (
                            ", ".join(sorted(name for name in closed_group.labels if name[:1] not in "#_"))
                            or "none"
                        )
                        self.fault(position, f"no field '{label}' is allowed here; allowed fields: {known}")
        elif self.kind == "list":
            max_count, _, longest_position = max(self._lists, key=lambda one: one[0])
            for count, ellipsis, position in self._lists:
                if count < max_count and ellipsis is None:
                    self.fault(
                        position,
                        f"a list of {count} elements here, but one of {max_count} at {longest_position}",
                    )
                for index in range(count, max_count):
                    if ellipsis is not None:
                        self.child(str(index)).conjuncts.append(ellipsis)
        elif self.kind == "scalar":
            literals = [constraint for constraint in self.constraints if constraint.kind == "literal"]
            if literals:
                for constraint in self.constraints:
                    if not constraint.allows(literals[0].value):
                        self.fault(literals[0].position, f"conflict: {literals[0]} and {constraint}")
                        return

    def _choose_alternatives(self, disjunctions: list[Conjunct]) -> None:
        """Choose an alternative of each disjunction, and take over the value that results.

        Each combination of alternatives is tried. Among those without errors, combinations of defaults have
        precedence. If several different values remain, the vertex has none.
        """
        base = [conjunct for conjunct in self._flattened() if conjunct.tree.kind != "disjunction"]
        combinations = itertools.product(*(disjunction.tree.parts for disjunction in disjunctions))
        valid: list[tuple[bool, Vertex, Any]] = []
        faults: list[list[Fault]] = []
        for combination in itertools.islice(combinations, MAX_ALTERNATIVES):
            chosen = [
                Conjunct(tree, disjunction.scope, disjunction.closed_group)
                for (_, tree), disjunction in zip(combination, disjunctions, strict=True)
            ]
            trial = Vertex(self.path, base + chosen, self.depth + 1).expand()
            found = list(trial.all_faults())
            is_default = all(
                is_marked or not any(other for other, _ in disjunction.tree.parts)
                for (is_marked, _), disjunction in zip(combination, disjunctions, strict=True)
            )
            if found:
                faults.append(found)
            else:
                value, _ = trial.export()
                if not any(known == value and trial.concrete and one.concrete for _, one, known in valid):
                    valid.append((is_default, trial, value))
        best = [one for one in valid if one[0]] or valid
        if not valid:
            fewest_faults = min(faults, key=len) if faults else []
            alternatives = " | ".join(_tree_text(tree) for _, tree in disjunctions[0].tree.parts)
            conflicts = [str(constraint) for constraint in self.constraints] or [
                str(fault.text) for fault in fewest_faults[:2]
            ]
            self.fault(
                self.constraints[0].position
                if self.constraints
                else (fewest_faults[0].position if fewest_faults else disjunctions[0].tree.position),
                f"none of {alternatives} ({disjunctions[0].tree.position}) is compatible with "
                f"{'; '.join(conflicts) or 'the other constraints'}",
            )
            return
        selected = best[0][1]
        if len(best) > 1:
            concrete = [one for _, one, _ in best if one.concrete]
            if concrete and len(concrete) < len(best) and self.constraints:
                selected = concrete[0]
            else:
                self.constraints = []
                self.kind = "any"
                self._undecided = [
                    str(one.constraints[0]) if one.constraints else one.kind for _, one, _ in best
                ]
                return
        self.from_default = len(valid) > 1 and best[0][0]
        for name in (
            "children",
            "kind",
            "constraints",
            "faults",
            "_optional",
            "_patterns",
            "_closed_groups",
            "_lists",
            "_field_positions",
        ):
            setattr(self, name, getattr(selected, name))

    def _flattened(self) -> list[Conjunct]:
        """Return the conjuncts, with references and conjunctions replaced by the conjuncts they stand for."""
        flat: list[Conjunct] = []
        work, seen = list(self.conjuncts), set()
        while work:
            conjunct = work.pop(0)
            key = (id(conjunct.tree), id(conjunct.scope))
            if key in seen:
                continue
            seen.add(key)
            if conjunct.tree.kind == "conjunction":
                work = [
                    Conjunct(part, conjunct.scope, conjunct.closed_group) for part in conjunct.tree.parts
                ] + work
            elif conjunct.tree.kind == "reference" and not _is_alias(conjunct):
                work = Vertex(self.path, depth=self.depth + 1)._resolve_reference(conjunct) + work
            else:
                flat.append(conjunct)
        return flat

    @property
    def concrete(self) -> bool:
        """Whether the vertex is no scalar, or a scalar with a literal value."""
        return self.kind != "scalar" or any(constraint.kind == "literal" for constraint in self.constraints)

    def all_faults(self) -> Iterator[Fault]:
        """Yield the errors of this vertex and of all below it.

        Definitions are checked only where they are used.
        """
        self.expand()
        yield from self.faults
        for label, child in self.children.items():
            if not label.startswith("#"):
                yield from child.all_faults()

    def export(self) -> tuple[Any, list[Fault]]:
        """Return the plain value, and an error for each path that still needs a value.

        The value consists of dicts, lists and scalars; it is None, or lacks parts, if there are such errors.
        """
        self.expand()
        missing: list[Fault] = []
        if self.kind == "scalar":
            for constraint in self.constraints:
                if constraint.kind == "literal":
                    return constraint.value, missing
            allowed = " & ".join(str(constraint) for constraint in self.constraints)
            return None, [Fault(self.constraints[0].position, self.path, f"needs a value: {allowed}")]
        if self.kind == "any":
            if self.faults:
                return None, missing
            at = self.conjuncts[0].tree.position if self.conjuncts else None
            alternatives = getattr(self, "_undecided", None)
            text = f"needs a value, one of: {', '.join(alternatives)}" if alternatives else "needs a value"
            return None, [Fault(at, self.path, text)]
        values = {}
        for label, child in self.children.items():
            if label[:1] not in "#_":
                values[label], more = child.export()
                missing += more
        return (list(values.values()) if self.kind == "list" else values), missing

    def leaves(self) -> Iterator[tuple[str, Any, Position, bool]]:
        """Yield for each scalar its path, value, position, and whether the value is a default."""
        self.expand()
        if self.kind == "scalar":
            for constraint in self.constraints:
                if constraint.kind == "literal":
                    yield self.path, constraint.value, constraint.position, self.from_default
                    return
        for label, child in self.children.items():
            if label[:1] not in "#_":
                yield from child.leaves()

    def _operand(self, tree: Tree, scope: Scope) -> Any:
        """Return the value of an operand; None, with the errors recorded, if it has none."""
        if tree.kind == "calculation":
            return self._calculate(tree, scope)
        inner = Vertex(self.path, [Conjunct(tree, scope)], self.depth + 1).expand()
        self.faults += inner.faults
        value, missing = inner.export()
        self.faults += missing
        return value

    def _calculate(self, tree: Tree, scope: Scope) -> Any:
        """Return the result of a sum or product; None, with the error recorded, if there is none."""
        total = self._operand(tree.parts[0], scope)
        for operator, part in zip(tree.parts[1::2], tree.parts[2::2], strict=True):
            value = self._operand(part, scope)
            if any(isinstance(one, bool) or not isinstance(one, int | float) for one in (total, value)):
                if not self.faults:
                    self.fault(
                        tree.position,
                        f"operator '{operator}' needs two numbers, "
                        f"got {_value_text(total)} and {_value_text(value)}",
                    )
                return None
            if operator == "/" and not value:
                self.fault(tree.position, "division by zero")
                return None
            total = {"+": total + value, "-": total - value, "*": total * value}.get(
                operator, total / value if value else 0
            )
        return total


def _is_alias(conjunct: Conjunct) -> bool:
    scope: Scope | None = conjunct.scope
    while scope is not None:
        if conjunct.tree.parts[0] in scope.aliases:
            return True
        scope = scope.outer
    return False


def _pattern_group(closed_group: Any, label: str) -> Any:
    """Return the closed group of a field that a pattern matched; None if the pattern's struct is open."""
    return None if closed_group[0] is None else (closed_group[0], label)


def _matches(pattern: Conjunct, label: str) -> bool:
    name = Tree("literal", pattern.tree.position, (label,))
    return not any(Vertex("", [pattern, Conjunct(name, pattern.scope)]).expand().all_faults())


def _tree_text(tree: Tree) -> str:
    if tree.kind == "literal":
        return _value_text(tree.parts[0])
    if tree.kind in ("type", "reference"):
        return ".".join(tree.parts)
    if tree.kind == "bound":
        return f"{tree.parts[0]}{_tree_text(tree.parts[1])}"
    if tree.kind == "conjunction":
        return " & ".join(_tree_text(part) for part in tree.parts)
    return f"a {'list' if tree.kind == 'list_literal' else tree.kind}"


def unify(trees: list[Tree], closed: bool = False) -> Vertex:
    """Unify texts into one record.

    Args:
        trees: Parsed texts.
        closed: Whether fields that the first text does not allow are errors.

    Returns:
        The root of the record, expanded.
    """
    root = Vertex("")
    # Each text has a scope of its own. All scopes belong to the same vertex, so a text can refer to the
    # fields of the others.
    closed_groups = [object() if closed and not index else None for index in range(len(trees))]
    root.conjuncts = [
        Conjunct(tree, Scope(root, None), closed_group)
        for tree, closed_group in zip(trees, closed_groups, strict=True)
    ]
    return root.expand()
