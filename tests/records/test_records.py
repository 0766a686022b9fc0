"""Records: what is right becomes frozen types, what is wrong is told with its place, all at once."""

from __future__ import annotations

from pathlib import Path

import pytest
from hypothesis import given
from hypothesis import strategies as st

from cherrygrade.records.grammar import RecordSyntaxError, parse
from cherrygrade.records.lattice import unify
from cherrygrade.records.load import RecordError, checked_value, read_site, read_vertex
from cherrygrade.scheduling.model import Idempotency


def value(*texts: str):
    vertex = unify([parse(text, f"f{i}") for i, text in enumerate(texts)])
    faults = list(vertex.all_faults())
    plain, lacking = vertex.export()
    return plain, [str(fault) for fault in [*faults, *lacking]]


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
def test_what_is_said_of_a_path_becomes_one_value(text, expected):
    assert value(text) == (expected, [])


@pytest.mark.parametrize(
    ("texts", "words"),
    [
        (("a: >5", "a: 3"), ["f1:1:4", "a:", "3", ">5 (f0:1:4)"]),
        (("#D: {x: int}\nd: #D & {y: 2}",), ["f0:2:10", "d:", "'y'", "x"]),
        (("#D: {x: {y: int}}\nd: #D & {x: z: 2}",), ["'z'"]),
        (('f: *"a" | "b"', 'f: "c"'), ['"a" | "b"', '"c" (f1:1:4)']),
        (("g: h\nh: g",), ["refers to itself"]),
        (("e: zz",), ["'zz'"]),
        (("h: int & >3",), ["needs a value", ">3"]),
        (("l: [1, 2] & [1]",), ["a list of 1", "of 2"]),
        (("a: {b: 1}\na: 3",), ["a scalar here, a struct elsewhere"]),
        (("a: 1 / 0",), ["division by zero"]),
        (('a: 1 + "x"',), ["'+' between 1"]),
        (("a: int\na: true",), ["conflict: true"]),
    ],
)
def test_what_cannot_be_is_told_with_both_sides_and_their_places(texts, words):
    _, faults = value(*texts)
    assert all(any(word in fault for fault in faults) for word in words), faults


@pytest.mark.parametrize(
    ("text", "place"), [("a: {", "ends within"), ("a: 1\nb: ]", "f:2:4"), ("a: @", "f:1:4")]
)
def test_text_that_is_no_record_is_told_by_line_and_column(text, place):
    with pytest.raises(RecordSyntaxError, match=place):
        parse(text, "f")


@given(st.dictionaries(st.sampled_from("abcd"), st.integers(-9, 9)), st.permutations(["x", "y", "z"]))
def test_the_order_of_texts_changes_no_value(fields, order):
    texts = {
        "x": "\n".join(f"{name}: {number}" for name, number in fields.items()),
        "y": "a: *3 | int\nb: *4 | number",
        "z": "s: a\nt: {u: b}",
    }
    plain, faults = value(*(texts[name] for name in order))
    assert not faults and plain["s"] == fields.get("a", 3) and plain["t"]["u"] == fields.get("b", 4)


MINIMAL = """
place: {name: "d", register: "127.0.0.1:1"}
workloads: w: {soft_ms: 10, deadline_ms: 20, effect: "tokened", token_ms: 5}
plans: p: weight: 2
volumes: v: plan: plans.p
"""


def test_a_site_is_read_into_frozen_types(tmp_path: Path):
    (tmp_path / "s.rec").write_text(MINIMAL)
    site = read_site(tmp_path / "s.rec", "place: dispatchers: 3")
    assert site.trade.workloads["w"].idempotency is Idempotency.IDEMPOTENT_WITH_KEY
    assert site.trade.volumes["v"].plan.weight == 2.0 and site.trade.volumes["v"].hosts == 3
    assert site.bearings.budget is None and site.lines.streams == 32


def test_what_is_given_goes_before_a_file_in_braces_too(tmp_path):
    text = '{"place": {"name": "d", "listen": "127.0.0.1:1", "register": "127.0.0.1:2"}}'
    (tmp_path / "s.rec").write_text(text)
    for given_ in ('place: name: "other"', '{"place": {"name": "other"}}', '{place: {name: "other"}}'):
        site = read_site(tmp_path / "s.rec", given_)
        assert (site.place.name, site.place.listen) == ("other", "127.0.0.1:1")
    (tmp_path / "s.rec").write_text("a: 1\n{b: 2}\n...\n")
    with pytest.raises(RecordError):
        read_site(tmp_path / "s.rec", "c: 3")


def test_every_error_in_settings_is_told_at_once(tmp_path: Path):
    (tmp_path / "s.rec").write_text(MINIMAL)
    with pytest.raises(RecordError) as caught:
        read_site(
            tmp_path / "s.rec", 'bogus: 1\nplace: number: 5\nplans: p: price: "much"\nbounds: most_held: 0'
        )
    text = str(caught.value)
    assert all(word in text for word in ("'bogus'", "place.number", "plans.p.price", "bounds.most_held"))


def test_what_is_given_on_the_command_line_goes_before_the_file():
    # A scenario for seven dispatchers, asked for twelve, ended with a conflict of records.
    scenario = Path("scenarios/fleet-small.rec")
    more = "dispatchers: 12\nsite: bounds: answer_ms: 90\nsite: cold: warm_ms: 9000"
    told = checked_value(read_vertex(scenario, "scenario.rec", more))
    assert told["dispatchers"] == 12 and told["seed"] == 1
    assert told["site"]["bounds"]["answer_ms"] == 90 and told["site"]["cold"]["warm_ms"] == 9000
    assert told["site"]["cold"]["units"] == 60  # what stands beside it stays
    with pytest.raises(RecordError):
        checked_value(read_vertex(scenario, "scenario.rec", 'dispatchers: "many"'))
