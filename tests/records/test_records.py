"""Settings in the records language: valid texts become frozen types, invalid ones list all errors.

Each error names the file, line and column, so that an operator can correct a file in one go.
"""

from __future__ import annotations

from pathlib import Path

import pytest
from hypothesis import given
from hypothesis import strategies as st

from cherrygrade.records.grammar import RecordSyntaxError, parse
from cherrygrade.records.lattice import unify
from cherrygrade.records.load import RecordError, checked_value, read_site, read_vertex
from cherrygrade.scheduling.model import Idempotency


def value_and_errors(*texts: str):
    """Unify texts, and return the value and all errors; the texts are called f0, f1 and so on in errors."""
    vertex = unify([parse(text, f"f{i}") for i, text in enumerate(texts)])
    faults = list(vertex.all_faults())
    value, missing = vertex.export()
    return value, [str(fault) for fault in [*faults, *missing]]


@pytest.mark.parametrize(
    ("text", "expected"),
    [
        ("a: 3\na: int & >2", {"a": 3}),
        ("a: *1 | int\na: 5", {"a": 5}),
        ("a: *1 | int", {"a": 1}),
        ('a: "x" | "y"\na: "y"', {"a": "y"}),
        ("a: b: c: 1\na: b: d: 2", {"a": {"b": {"c": 1, "d": 2}}}),
        ("a: b * 2 - 1\nb: 4", {"a": 7, "b": 4}),
        ("#D: {x: int, y: x + 1}\nd: #D & {x: 1}", {"d": {"x": 1, "y": 2}}),
        ("#D: {x?: int}\nd: #D", {"d": {}}),
        ("d: [Name=string]: {n: Name}\nd: q: {}", {"d": {"q": {"n": "q"}}}),
        ("l: [...{v: *0 | int}]\nl: [{v: 1}, {}]", {"l": [{"v": 1}, {"v": 0}]}),
        ('l: ["one"]\nm: []\nn: ["one", 2,]', {"l": ["one"], "m": [], "n": ["one", 2]}),
        ("a: [1, int]\na: [int, 2]", {"a": [1, 2]}),
        ("#D: {x: int, ...}\nd: #D & {x: 1, z: 2}", {"d": {"x": 1, "z": 2}}),
        ("a: -2.5e1 // the end", {"a": -25.0}),
    ],
)
def test_expressions_for_a_path_unify_to_one_value(text, expected):
    assert value_and_errors(text) == (expected, [])


@pytest.mark.parametrize(
    ("texts", "error_parts"),
    [
        (("a: >5", "a: 3"), ["f1:1:4", "a:", "3", ">5 (f0:1:4)"]),
        (("#D: {x: int}\nd: #D & {y: 2}",), ["f0:2:10", "d:", "'y'", "x"]),
        (("#D: {x: {y: int}}\nd: #D & {x: z: 2}",), ["'z'"]),
        (('f: *"a" | "b"', 'f: "c"'), ['"a" | "b"', '"c" (f1:1:4)']),
        (("g: h\nh: g",), ["refers to itself"]),
        (("e: zz",), ["'zz'"]),
        (("h: int & >3",), ["needs a value", ">3"]),
        (("l: [1, 2] & [1]",), ["a list of 1", "of 2"]),
        (("a: {b: 1}\na: 3",), ["expected a struct as given elsewhere, got a scalar"]),
        (("a: 1 / 0",), ["division by zero"]),
        (('a: 1 + "x"',), ["operator '+' needs two numbers, got 1"]),
        (("a: int\na: true",), ["conflict: true"]),
    ],
)
def test_conflicts_are_reported_with_both_expressions_and_their_positions(texts, error_parts):
    _, faults = value_and_errors(*texts)
    assert all(any(part in fault for fault in faults) for part in error_parts), faults


@pytest.mark.parametrize(
    ("text", "position"), [("a: {", "ends within"), ("a: 1\nb: ]", "f:2:4"), ("a: @", "f:1:4")]
)
def test_syntax_errors_are_reported_with_line_and_column(text, position):
    with pytest.raises(RecordSyntaxError, match=position):
        parse(text, "f")


@given(st.dictionaries(st.sampled_from("abcd"), st.integers(-9, 9)), st.permutations(["x", "y", "z"]))
def test_order_of_texts_does_not_change_the_value(fields, order):
    texts = {
        "x": "\n".join(f"{name}: {number}" for name, number in fields.items()),
        "y": "a: *3 | int\nb: *4 | number",
        "z": "s: a\nt: {u: b}",
    }
    value, faults = value_and_errors(*(texts[name] for name in order))
    assert not faults and value["s"] == fields.get("a", 3) and value["t"]["u"] == fields.get("b", 4)


MINIMAL = """
place: {name: "d", register: "127.0.0.1:1"}
workloads: w: {soft_ms: 10, deadline_ms: 20, effect: "tokened", token_ms: 5}
plans: p: weight: 2
volumes: v: plan: plans.p
"""


def test_settings_are_read_into_frozen_types(tmp_path: Path):
    (tmp_path / "s.rec").write_text(MINIMAL)
    site = read_site(tmp_path / "s.rec", "place: dispatchers: 3")
    assert site.trade.workloads["w"].idempotency is Idempotency.IDEMPOTENT_WITH_KEY
    assert site.trade.volumes["v"].plan.weight == 2.0 and site.trade.volumes["v"].hosts == 3
    assert site.bearings.budget is None and site.lines.streams == 32


def test_command_line_overrides_a_file_that_is_enclosed_in_braces(tmp_path):
    text = '{"place": {"name": "d", "listen": "127.0.0.1:1", "register": "127.0.0.1:2"}}'
    (tmp_path / "s.rec").write_text(text)
    for override in ('place: name: "other"', '{"place": {"name": "other"}}', '{place: {name: "other"}}'):
        site = read_site(tmp_path / "s.rec", override)
        assert (site.place.name, site.place.listen) == ("other", "127.0.0.1:1")
    (tmp_path / "s.rec").write_text("a: 1\n{b: 2}\n...\n")
    with pytest.raises(RecordError):
        read_site(tmp_path / "s.rec", "c: 3")


def test_all_errors_in_settings_are_reported_at_once(tmp_path: Path):
    (tmp_path / "s.rec").write_text(MINIMAL)
    with pytest.raises(RecordError) as caught:
        read_site(
            tmp_path / "s.rec", 'bogus: 1\nplace: number: 5\nplans: p: price: "much"\nbounds: most_held: 0'
        )
    message = str(caught.value)
    assert all(key in message for key in ("'bogus'", "place.number", "plans.p.price", "bounds.most_held"))


def test_command_line_overrides_the_file():
    """A command line that asks for twelve dispatchers conflicted with a scenario file that gives seven."""
    scenario = Path("scenarios/fleet-small.rec")
    override = "dispatchers: 12\nsite: bounds: answer_ms: 90\nsite: cold: warm_ms: 9000"
    value = checked_value(read_vertex(scenario, "scenario.rec", override))
    assert value["dispatchers"] == 12 and value["seed"] == 1
    assert value["site"]["bounds"]["answer_ms"] == 90 and value["site"]["cold"]["warm_ms"] == 9000
    assert value["site"]["cold"]["units"] == 60  # other keys of the same struct keep the value of the file
    with pytest.raises(RecordError):
        checked_value(read_vertex(scenario, "scenario.rec", 'dispatchers: "many"'))
