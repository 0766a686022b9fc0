"""Reachability of storage nodes from the reports of all members.

Guards against taking a fault of a dispatcher's own link for a faulty node, and the reverse.
"""

from rich.console import Console

from cherrygrade.fleet.membership.reachability import (
    MAX_REPORT_AGE_MS,
    NodeContact,
    Reachability,
    ReachabilityView,
)
from cherrygrade.fleet.runtime.status_view import render_status


def receive_reports(view: ReachabilityView, now: float, *failing_by_member: bool, node_hash: int = 7) -> None:
    """Add a report of each member about one node, which is failing for the member or answers it."""
    for number, failing in enumerate(failing_by_member):
        contact = NodeContact(node_hash, 0 if failing else 9, 0, 9 if failing else 0, 100)
        view.report_received(f"d{number}", f"z{number % 2}", [contact], now)


def test_failures_are_due_to_the_own_link_where_the_node_answers_other_members():
    view = ReachabilityView()
    for _ in range(5):
        view.attempt_ended(7, "silent", 0.0)
    receive_reports(view, 0.0, False, False, True)
    assert view.view(7, 0.0) == (Reachability.OWN_LINK_FAULT, 1, 3, ["z0"])
    assert view.failing_nodes(0.0) == [7]


def test_node_is_faulty_where_it_fails_for_most_members():
    view = ReachabilityView()
    view.attempt_ended(7, "answered", 0.0)
    receive_reports(view, 0.0, True, True, False)
    assert view.view(7, 0.0) == (Reachability.NODE_FAULT, 2, 3, ["z0", "z1"])


def test_reachability_is_unknown_with_too_few_or_too_old_reports():
    view = ReachabilityView()
    receive_reports(view, 0.0, True)
    assert view.view(7, 0.0)[0] is Reachability.UNKNOWN
    receive_reports(view, 0.0, True, True, True)
    assert view.view(7, MAX_REPORT_AGE_MS + 1.0)[0] is Reachability.UNKNOWN and not view.failing_nodes(
        MAX_REPORT_AGE_MS + 1.0
    )
    view.forget(lambda name: name == "d0", 1.0)
    assert [*view.reported] == ["d0"]


def test_counts_of_attempts_decay_and_are_dropped():
    view = ReachabilityView()
    for now in range(100):
        view.attempt_ended(now, "errored", float(now))
    report = view.own_report(100.0)
    assert len(report) == 8 and all(contact.failing for contact in report)
    assert view.own_report(60_000.0) == [] and not view.own


def test_status_shows_failing_nodes_and_for_how_many_members_they_fail():
    member = {"name": "d0", "standing": "alive", "for_ms": 1, "by": "d0", "heard_ms_ago": None, "birth": 1}
    member |= {"turn": 0, "place": "p", "zone": "z", "version": "1", "settings": "s", "seat": 0}
    node = {
        "node": "10.0.0.9:7",
        "view": Reachability.OWN_LINK_FAULT.value,
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
