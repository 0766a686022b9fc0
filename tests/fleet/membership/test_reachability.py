"""Nodes as the fleet sees them: one's own bad link told from a bad node."""

from rich.console import Console

from cherrygrade.fleet.membership.reachability import FRESH_MS, NodeContact, Reachability, ReachabilityView
from cherrygrade.fleet.runtime.status_view import render_status


def told(seen: ReachabilityView, now: float, *troubled: bool, node: int = 7) -> None:
    for at, trouble in enumerate(troubled):
        met = NodeContact(node, 0 if trouble else 9, 0, 9 if trouble else 0, 100)
        seen.report_received(f"d{at}", f"z{at % 2}", [met], now)


def test_where_others_are_answered_it_is_our_own_link():
    seen = ReachabilityView()
    for _ in range(5):
        seen.attempt_ended(7, "silent", 0.0)
    told(seen, 0.0, False, False, True)
    assert seen.view(7, 0.0) == (Reachability.LINK, 1, 3, ["z0"])
    assert seen.failing_nodes(0.0) == [7]


def test_where_most_meet_trouble_it_is_the_node():
    seen = ReachabilityView()
    seen.attempt_ended(7, "answered", 0.0)
    told(seen, 0.0, True, True, False)
    assert seen.view(7, 0.0) == (Reachability.BAD, 2, 3, ["z0", "z1"])


def test_too_few_that_tried_tell_nothing_and_old_words_count_for_nothing():
    seen = ReachabilityView()
    told(seen, 0.0, True)
    assert seen.view(7, 0.0)[0] is Reachability.UNKNOWN
    told(seen, 0.0, True, True, True)
    assert seen.view(7, FRESH_MS + 1.0)[0] is Reachability.UNKNOWN and not seen.failing_nodes(FRESH_MS + 1.0)
    seen.forget(lambda name: name == "d0", 1.0)
    assert [*seen.reported] == ["d0"]


def test_what_was_met_fades_and_goes():
    seen = ReachabilityView()
    for now in range(100):
        seen.attempt_ended(now, "errored", float(now))
    digest = seen.digest(100.0)
    assert len(digest) == 8 and all(met.trouble for met in digest)
    assert seen.digest(60_000.0) == [] and not seen.own


def test_nodes_in_trouble_are_shown_with_who_has_it():
    member = {"name": "d0", "standing": "alive", "for_ms": 1, "by": "d0", "heard_ms_ago": None, "birth": 1}
    member |= {"turn": 0, "place": "p", "zone": "z", "version": "1", "settings": "s", "seat": 0}
    node = {
        "node": "10.0.0.9:7",
        "view": Reachability.LINK.value,
        "trouble_at": 1,
        "tried_by": 4,
        "zones": ["z0"],
    }
    status = {"name": "d0", "fleet": "f", "side": "alone", "living": 1, "record": 1, "digest": "0"}
    status |= {"doubt": 0, "yields": "", "members": [member], "nodes": [node | {"ours_ms": 1500}]}
    console = Console(width=150, record=True)
    console.print(render_status(status))
    shown = console.export_text()
    assert "10.0.0.9:7" in shown and "answers others: our own link" in shown and "1 of 4" in shown
    assert "1.5 s" in shown
