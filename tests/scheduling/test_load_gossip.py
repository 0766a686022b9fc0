"""Words between dispatchers on fakes: what all of them know of a node, and what is done with it."""

from __future__ import annotations

from struct import pack

import pytest
from support.fake_host import EXPORT, MARKED, READ, FakeHost

from cherrygrade.scheduling.load_gossip import ANSWERED, REPORT_FORMAT, SENT, WAITING, LoadAggregator
from cherrygrade.scheduling.model import (
    Node,
    Outcome,
    PeerDirectory,
    Request,
    ServicePlan,
    SitePolicy,
    SlowStartSettings,
    UtilityModel,
)

PEERS = SitePolicy(max_attempts=4, allows_cancel=True, max_retry_after_ms=500.0, allows_gossip=True)
MARKS = SitePolicy(max_attempts=4, max_retry_after_ms=500.0, clients_mark_retries=True)


class Room:
    """Dispatchers that hear each other at once, before the same nodes."""

    def __init__(self, dispatchers: int, nodes: int = 1) -> None:
        self.hosts = [
            FakeHost(nodes, number=number, dispatchers=dispatchers, seed=number, permits=PEERS)
            for number in range(dispatchers)
        ]
        self.words = 0
        self.dead: set[int] = set()
        for number, host in enumerate(self.hosts):
            host.send_gossip = lambda peer, word, number=number: self.tell(number, peer, word)

    def tell(self, number: int, peer: int | None, word: bytes) -> None:
        assert len(word) <= 256
        self.words += 1
        for other, host in enumerate(self.hosts):
            if other not in (number, *self.dead) and peer in (None, other):
                host.dispatcher.decide(host.now, host, gossip=[(number, word)])

    def pass_time(self, ms: float) -> None:
        for _ in range(int(ms / 10.0)):
            for host in self.hosts:
                host.now += 10.0
                host.round()

    def load(self, number: int, rounds: int, took_ms: float) -> None:
        """One dispatcher's exports at the first node, each answered after so long."""
        host = self.hosts[number]
        for _ in range(rounds):
            host.take(*[host.rpc(EXPORT, units=4.0) for _ in range(3)])
            self.pass_time(took_ms)
            for send in [send for send in host.sent if send.outcome is None]:
                host.answer(send)


def test_what_one_dispatcher_has_out_is_known_to_another_that_never_sent_there():
    room = Room(3)
    keeper = next(iter(room.hosts[0].dispatcher.node_queues.values())).node_hash % 3
    sender, other = (number for number in range(3) if number != keeper)
    for host in room.hosts:
        host.dispatcher.node_queues[host.nodes[0]].limit.window = 40.0
    sending = room.hosts[sender]
    for _ in range(20):
        sending.take(*[sending.rpc(EXPORT, units=4.0) for _ in range(2)])
        room.pass_time(50.0)
        late = [send for send in sending.sent if send.outcome is None and sending.now - send.sent_ms > 300.0]
        for send in late:
            sending.answer(send)
    lane = room.hosts[other].dispatcher.node_queues[room.hosts[other].nodes[0]]
    assert not lane.attempts and lane.latency.waiting_ms > 200.0
    # So a read that could not be in time does not press: it goes at its late value, if at all.
    read = room.hosts[other].rpc(READ)
    room.hosts[other].take(read)
    assert not room.hosts[other].dispatcher.requests[read].pressed


def test_a_dead_keeper_costs_words_only_and_the_lane_goes_by_what_it_sees():
    room = Room(2)
    keeper = next(iter(room.hosts[0].dispatcher.node_queues.values())).node_hash % 2
    room.dead.add(keeper)
    room.load(1 - keeper, 5, 100.0)
    host = room.hosts[1 - keeper]
    assert sum(1 for send in host.sent if send.outcome is Outcome.OK) >= 5
    assert not host.dispatcher.node_queues[host.nodes[0]].latency.is_reported(host.now)


def test_a_keeper_forgets_what_a_dispatcher_that_died_never_ended():
    room = Room(2)
    keeper = next(iter(room.hosts[0].dispatcher.node_queues.values())).node_hash % 2
    host, keeping = room.hosts[1 - keeper], room.hosts[keeper]
    host.take(*[host.rpc(EXPORT, units=4.0) for _ in range(2)])
    kept = next(iter(keeping.dispatcher.load_gossip.aggregators.values()))
    assert sum(units for _, units in kept.sends) == 8.0
    for _ in range(1100):
        keeping.now += 10.0
        keeping.round()
    assert not kept.sends and not keeping.dispatcher.load_gossip.aggregators


def test_what_was_passed_over_counts_no_more_and_what_only_waits_long_does():
    # Counted out by the sender's patience, a full node looked empty: incident i5cc5d4.
    keeper = LoadAggregator(0.0, 4.0)
    for index in range(40):
        keeper.receive(SENT, 2.0, 0.0, index * 50.0)
    keeper.receive(ANSWERED, 2.0, 1950.0, 1950.0)  # the first only
    assert len(keeper.sends) == 39
    keeper.receive(
        ANSWERED, 2.0, 450.0, 1950.0
    )  # sent at 1,500: before 1,000 all ended or lost their answers
    assert min(at for at, _ in keeper.sends) > 1000.0
    assert len(keeper.sends) == 18


def test_without_peers_nobody_is_told_anything():
    host = FakeHost()  # a word would have nowhere to go: this writer has no `tell`
    for _ in range(20):
        host.take(host.rpc())
        host.pass_time(20.0)
        for send in [send for send in host.sent if send.outcome is None]:
            host.answer(send)
    assert len(host.sent) == 20


@pytest.mark.parametrize("word", [b"", b"\x03", b"\xff" * 256, b"\x00" * 6, b"\x03" + b"\xff" * 5])
def test_a_word_of_nonsense_changes_nothing_that_matters(word):
    host = FakeHost(permits=PEERS, dispatchers=2)
    host.send_gossip = lambda peer, told: None
    host.round(gossip=[(1, word)])
    host.take(host.rpc())
    assert len(host.sent) == 1 and len(host.dispatcher.load_gossip.aggregators) <= 1


def test_only_a_nodes_keeper_tells_its_waiting_and_only_it_takes_reports():
    # Else any peer's slip could make a node look full, and its reads rejected.
    for peer in (0, 1, 2):
        host = FakeHost(permits=PEERS, dispatchers=3, number=1)
        host.send_gossip = lambda peer, told: None
        lane = host.dispatcher.node_queues[host.nodes[0]]
        keeper = lane.node_hash % 3
        host.round(gossip=[(peer, pack(REPORT_FORMAT, WAITING, lane.node_hash, 10, 900))])
        assert (lane.latency.waiting_ms == 900.0) == (peer == keeper)
        host.round(gossip=[(peer, pack(REPORT_FORMAT, SENT, lane.node_hash, 10, 0)), (peer, b"cut")])
        assert bool(host.dispatcher.load_gossip.aggregators) == (keeper == 1)
        assert host.dispatcher.load_gossip.malformed == 1 + (peer != keeper) + (keeper != 1)


def test_of_words_that_lay_while_the_dispatcher_stood_still_the_last_stands():
    place = next(iter(FakeHost().dispatcher.node_queues.values())).node_hash
    host = FakeHost(permits=PEERS, dispatchers=2, number=1 - place % 2)
    host.send_gossip = lambda peer, told: None
    host.now += 1300.0
    host.round(gossip=[(place % 2, pack(REPORT_FORMAT, WAITING, place, 10, wait)) for wait in (900, 400, 0)])
    assert host.dispatcher.node_queues[host.nodes[0]].latency.waiting_ms == 0.0


def test_silence_strikes_nobody_while_the_keeper_sees_answers():
    # Answers get lost on their way: the node lives, and others are answered by it.
    strikes = []
    for heard in (False, True):
        place = next(iter(FakeHost().dispatcher.node_queues.values())).node_hash
        host = FakeHost(permits=PEERS, dispatchers=2, number=1 - place % 2)
        host.send_gossip = lambda peer, told: None
        lane = host.dispatcher.node_queues[host.nodes[0]]
        host.pass_time(20.0)
        host.take(host.rpc())
        for _ in range(100):
            host.pass_time(10.0)
            if heard:
                lane.latency.receive_report(host.now, 0.0, 20.0)
        strikes.append(lane.health.consecutive_failures)
    assert strikes[0] >= 1 and strikes[1] == 0


class Others(PeerDirectory):
    """Whoever is told to keeps all nodes."""

    keeps, told = 1, True

    def aggregator(self, node):
        return self.keeps

    def publishes(self, node, now):
        return self.told


def test_words_go_to_whoever_keeps_the_node_now():
    company = Others(3)
    host = FakeHost(dispatchers=3, permits=PEERS, company=company)
    told = []
    host.send_gossip = lambda peer, payload: told.append(peer)
    host.take(host.rpc())
    company.keeps = 2  # the one before died
    host.take(host.rpc())
    assert told == [1, 2]


def test_a_new_keeper_listens_before_it_tells():
    company = Others(3)
    company.keeps, company.told = 0, False
    host = FakeHost(dispatchers=3, permits=PEERS, company=company)
    told = []
    host.send_gossip = lambda peer, payload: told.append(peer)
    for _ in range(30):
        host.take(host.rpc())
        host.pass_time(100.0)
    assert None not in told
    company.told = True
    for _ in range(30):
        host.take(host.rpc())
        host.pass_time(100.0)
    assert None in told


def test_one_that_yielded_its_seat_uses_no_part_of_limits_and_cold_nodes():
    company = Others(3)
    cold = SlowStartSettings(
        base_units=12.0, cold_capacity=0.25, overload_multiple=3.0, window_ms=1000.0, warm_up_ms=4000.0
    )
    limited = ServicePlan("limited", usual_rate=100.0, limit_rate=100.0, limit_burst=50.0)
    host = FakeHost(nodes=2, dispatchers=3, company=company, cold=cold)
    host.pass_time(1000.0)
    company.forfeits_quota = True
    host.nodes[1].started_ms = host.now - 1500.0
    host.take(host.rpc(plan=limited, volume="w"), host.rpc(shard=1), host.rpc())
    assert [send.node for send in host.sent] == [host.nodes[0]] and host.sent[0].request.volume == "v"
    company.forfeits_quota = False
    host.pass_time(50.0)
    assert {send.request.volume for send in host.sent} == {"v", "w"} and len(host.sent) == 3


def test_a_first_try_in_haste_is_no_repeat_where_repeats_are_marked():
    # Its client left itself little time; taken for a repeat it was late, and rejected at once. Where none is
    # marked, one whose key was given up here is a repeat.
    sent = []
    for permits in (SitePolicy(max_attempts=4, max_retry_after_ms=500.0), MARKS):
        host = FakeHost(permits=permits)
        host.take(host.rpc(shard=9))
        host.pass_time(500.0)
        host.dispatcher.node_queues[host.nodes[0]].latency.unit_ms = 10.0
        host.take(host.rpc(key="a"))
        host.answer(host.sent[0])
        host.pass_time(1000.0)
        hasty = host.rpc(gives_up=90.0)
        host.take(hasty)
        sent.append(
            [hasty.attempts != [], host.dispatcher.requests[hasty].pressed if hasty.attempts else None]
        )
    assert sent == [[True, False], [True, True]]


def test_what_lay_while_the_dispatcher_stood_still_is_late_though_unmarked():
    host = FakeHost(permits=MARKS)
    host.take(host.rpc(EXPORT), host.rpc(key="b"))
    for send in [*host.sent]:
        host.answer(send)
    host.now += 900.0
    old = host.rpc(gives_up=READ.deadline_ms - 900.0)
    host.take(old)
    assert old in host.rejected or not host.dispatcher.requests[old].pressed


def test_a_tokened_new_object_that_may_have_run_goes_back_to_its_node():
    # Only there is a repeat dropped; it used to wait at a node that the gate never opens for it.
    host = FakeHost(nodes=12)
    for node in host.nodes:
        node.zone = node.address
    tokened = host.rpc(MARKED, shard=-1, gives_up=1500.0)
    host.take(tokened)
    first = host.sent[0]
    host.now += 5.0
    host.answer(first, Outcome.RESET)
    host.pass_time(50.0)
    assert [send.node for send in host.sent] == [first.node, first.node]


def test_a_second_rpc_of_a_quiet_volume_is_still_inside_its_share():
    # Fair-queueing time stood still where no other volume came through, so the second was beyond.
    host = FakeHost(earnings=UtilityModel(within_quota=1.0, beyond_quota=0.1))
    plan = ServicePlan("quiet", usual_rate=10.0, weight=1.0)
    levels = []
    for volume in ("v", "v", "w"):
        rpc = Request(READ, plan, volume, 4, "", 0, 1.0, host.now + 2000.0)
        host.take(rpc)
        levels.append(host.dispatcher.requests[rpc].utility_level)
        host.pass_time(400.0)
    assert levels == [1.0, 1.0, 1.0]


def test_a_volume_far_over_its_usual_rate_is_beyond_its_share():
    host = FakeHost(earnings=UtilityModel(within_quota=1.0, beyond_quota=0.1))
    plan = ServicePlan("loud", usual_rate=10.0)
    rpcs = [Request(EXPORT, plan, "v", 4, "", 0, 2.0, host.now + 5000.0) for _ in range(6)]
    host.take(*rpcs)
    assert [host.dispatcher.requests[rpc].utility_level for rpc in rpcs][-1] == 0.1


def test_an_rpc_that_its_volumes_share_does_not_hold_whole_is_beyond_it():
    # So a small volume's large exports give way, and are not kept once late: what a full house needs.
    host = FakeHost(earnings=UtilityModel(within_quota=1.0, beyond_quota=0.1))
    plan = ServicePlan("small", usual_rate=10.0)
    sizes = (("a", 3.0), ("b", 4.0))
    rpcs = [Request(EXPORT, plan, volume, 4, "", 0, units, host.now + 5000.0) for volume, units in sizes]
    host.take(*rpcs)
    assert [host.dispatcher.requests[rpc].utility_level for rpc in rpcs] == [1.0, 0.1]


def test_new_objects_go_where_an_answer_comes_sooner():
    host = FakeHost(nodes=2)
    slow, quick = (host.dispatcher.node_queues[node] for node in host.nodes)
    slow.latency.unit_ms, quick.latency.unit_ms = 200.0, 10.0
    for _ in range(20):
        host.take(host.rpc(shard=-1))
        for send in [send for send in host.sent if send.outcome is None]:
            host.answer(send)
        slow.latency.unit_ms, quick.latency.unit_ms = 200.0, 10.0
        host.pass_time(50.0)
    assert {send.node for send in host.sent} == {quick.node}


def test_the_table_of_places_follows_the_list():
    host = FakeHost(permits=PEERS, dispatchers=2)
    host.send_gossip = lambda peer, told: None
    host.round(endpoint_changes=[Node("10.0.9.9:1", shard=3)])
    assert {lane.node.address for lane in host.dispatcher.load_gossip.queues_by_hash.values()} >= {
        "10.0.9.9:1",
        "10.0.0.0:1",
    }
