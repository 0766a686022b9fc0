"""Load reports between dispatchers: their aggregation, what aggregates change, and who may send them.

Further tests cover client retries, quotas and placement.
"""

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

GOSSIP_POLICY = SitePolicy(max_attempts=4, allows_cancel=True, max_retry_after_ms=500.0, allows_gossip=True)
MARKED_RETRIES_POLICY = SitePolicy(max_attempts=4, max_retry_after_ms=500.0, clients_mark_retries=True)


class GossipingFleet:
    """Dispatchers of the same nodes whose load reports arrive without delay.

    Attributes:
        hosts: one fake host per dispatcher.
        messages: number of messages sent.
        dead: numbers of dispatchers that receive nothing.
    """

    def __init__(self, dispatchers: int, nodes: int = 1) -> None:
        self.hosts = [
            FakeHost(nodes, number=number, dispatchers=dispatchers, seed=number, policy=GOSSIP_POLICY)
            for number in range(dispatchers)
        ]
        self.messages = 0
        self.dead: set[int] = set()
        for number, host in enumerate(self.hosts):
            host.send_gossip = lambda peer, message, number=number: self.deliver(number, peer, message)

    def deliver(self, number: int, peer: int | None, message: bytes) -> None:
        """Deliver a message of dispatcher `number` to `peer`; None: to all living ones."""
        assert len(message) <= 256
        self.messages += 1
        for other, host in enumerate(self.hosts):
            if other not in (number, *self.dead) and peer in (None, other):
                host.dispatcher.decide(host.now, host, gossip=[(number, message)])

    def pass_time(self, ms: float) -> None:
        """Advance all clocks in steps of 10 ms, with a round after each."""
        for _ in range(int(ms / 10.0)):
            for host in self.hosts:
                host.now += 10.0
                host.round()

    def load(self, number: int, rounds: int, latency_ms: float) -> None:
        """Send exports from dispatcher `number` to the first node, each answered after `latency_ms`."""
        host = self.hosts[number]
        for _ in range(rounds):
            host.submit(*[host.make_request(EXPORT, units=4.0) for _ in range(3)])
            self.pass_time(latency_ms)
            for attempt in [attempt for attempt in host.sent if attempt.outcome is None]:
                host.answer(attempt)


def test_dispatcher_learns_of_waiting_at_a_node_that_only_another_one_uses():
    """Without reports a dispatcher would send to a full node because it has observed nothing there."""
    fleet = GossipingFleet(3)
    aggregator = next(iter(fleet.hosts[0].dispatcher.node_queues.values())).node_hash % 3
    sender, other = (number for number in range(3) if number != aggregator)
    for host in fleet.hosts:
        host.dispatcher.node_queues[host.nodes[0]].limit.window = 40.0
    sending = fleet.hosts[sender]
    for _ in range(20):
        sending.submit(*[sending.make_request(EXPORT, units=4.0) for _ in range(2)])
        fleet.pass_time(50.0)
        long_waiting = [
            attempt
            for attempt in sending.sent
            if attempt.outcome is None and sending.now - attempt.sent_ms > 300.0
        ]
        for attempt in long_waiting:
            sending.answer(attempt)
    queue = fleet.hosts[other].dispatcher.node_queues[fleet.hosts[other].nodes[0]]
    assert not queue.attempts and queue.latency.waiting_ms > 200.0
    # A read that cannot meet its latency objective is therefore not pressed, and is ranked by its late value.
    read = fleet.hosts[other].make_request(READ)
    fleet.hosts[other].submit(read)
    assert not fleet.hosts[other].dispatcher.requests[read].pressed


def test_without_a_living_aggregator_a_dispatcher_uses_its_own_observations():
    """The aggregator has died: messages to it are lost, and requests must go on being answered."""
    fleet = GossipingFleet(2)
    aggregator = next(iter(fleet.hosts[0].dispatcher.node_queues.values())).node_hash % 2
    fleet.dead.add(aggregator)
    fleet.load(1 - aggregator, 5, 100.0)
    host = fleet.hosts[1 - aggregator]
    assert sum(1 for attempt in host.sent if attempt.outcome is Outcome.OK) >= 5
    assert not host.dispatcher.node_queues[host.nodes[0]].latency.is_reported(host.now)


def test_aggregator_forgets_attempts_whose_end_a_dead_dispatcher_never_reported():
    """The attempts of a dispatcher that died would otherwise count as in flight for ever."""
    fleet = GossipingFleet(2)
    aggregator = next(iter(fleet.hosts[0].dispatcher.node_queues.values())).node_hash % 2
    host, aggregating = fleet.hosts[1 - aggregator], fleet.hosts[aggregator]
    host.submit(*[host.make_request(EXPORT, units=4.0) for _ in range(2)])
    aggregate = next(iter(aggregating.dispatcher.load_gossip.aggregators.values()))
    assert sum(units for _, units in aggregate.sends) == 8.0
    for _ in range(1100):
        aggregating.now += 10.0
        aggregating.round()
    assert not aggregate.sends and not aggregating.dispatcher.load_gossip.aggregators


def test_overtaken_attempts_no_longer_count_and_long_waiting_ones_do():
    # If attempts were dropped after the time that their sender waits for them, a full node would look empty
    # (incident i5cc5d4).
    aggregator = LoadAggregator(0.0, 4.0)
    for index in range(40):
        aggregator.receive(SENT, 2.0, 0.0, index * 50.0)
    aggregator.receive(ANSWERED, 2.0, 1950.0, 1950.0)  # the first attempt; no other was overtaken
    assert len(aggregator.sends) == 39
    # This attempt was sent at 1,500 ms, so those sent up to 1,000 ms have ended, or their reports are lost.
    aggregator.receive(ANSWERED, 2.0, 450.0, 1950.0)
    assert min(sent_ms for sent_ms, _ in aggregator.sends) > 1000.0
    assert len(aggregator.sends) == 18


def test_without_gossip_no_load_report_is_sent():
    """A site that does not allow gossip must not receive any message."""
    host = FakeHost()  # sending would fail, since this host has no `send_gossip`
    for _ in range(20):
        host.submit(host.make_request())
        host.pass_time(20.0)
        for attempt in [attempt for attempt in host.sent if attempt.outcome is None]:
            host.answer(attempt)
    assert len(host.sent) == 20


@pytest.mark.parametrize("message", [b"", b"\x03", b"\xff" * 256, b"\x00" * 6, b"\x03" + b"\xff" * 5])
def test_malformed_message_changes_no_decision(message):
    """A defective or newer dispatcher may send messages that cannot be read."""
    host = FakeHost(policy=GOSSIP_POLICY, dispatchers=2)
    host.send_gossip = lambda peer, payload: None
    host.round(gossip=[(1, message)])
    host.submit(host.make_request())
    assert len(host.sent) == 1 and len(host.dispatcher.load_gossip.aggregators) <= 1


def test_only_the_aggregator_of_a_node_publishes_its_wait_and_accepts_reports():
    # Otherwise an error of any dispatcher could make a node look full, and its reads would be rejected.
    for peer in (0, 1, 2):
        host = FakeHost(policy=GOSSIP_POLICY, dispatchers=3, number=1)
        host.send_gossip = lambda peer, payload: None
        queue = host.dispatcher.node_queues[host.nodes[0]]
        aggregator = queue.node_hash % 3
        host.round(gossip=[(peer, pack(REPORT_FORMAT, WAITING, queue.node_hash, 10, 900))])
        assert (queue.latency.waiting_ms == 900.0) == (peer == aggregator)
        host.round(gossip=[(peer, pack(REPORT_FORMAT, SENT, queue.node_hash, 10, 0)), (peer, b"cut")])
        assert bool(host.dispatcher.load_gossip.aggregators) == (aggregator == 1)
        assert host.dispatcher.load_gossip.malformed == 1 + (peer != aggregator) + (aggregator != 1)


def test_last_of_the_reports_received_after_a_pause_counts():
    """Reports that queued up while the process paused are read in one round; only the last is current."""
    node_hash = next(iter(FakeHost().dispatcher.node_queues.values())).node_hash
    host = FakeHost(policy=GOSSIP_POLICY, dispatchers=2, number=1 - node_hash % 2)
    host.send_gossip = lambda peer, payload: None
    host.now += 1300.0
    host.round(
        gossip=[(node_hash % 2, pack(REPORT_FORMAT, WAITING, node_hash, 10, wait)) for wait in (900, 400, 0)]
    )
    assert host.dispatcher.node_queues[host.nodes[0]].latency.waiting_ms == 0.0


def test_silent_node_is_not_ejected_while_its_aggregator_reports_little_waiting():
    # The answers to this dispatcher are lost on their way, but the node answers other dispatchers.
    failures = []
    for is_reported in (False, True):
        node_hash = next(iter(FakeHost().dispatcher.node_queues.values())).node_hash
        host = FakeHost(policy=GOSSIP_POLICY, dispatchers=2, number=1 - node_hash % 2)
        host.send_gossip = lambda peer, payload: None
        queue = host.dispatcher.node_queues[host.nodes[0]]
        host.pass_time(20.0)
        host.submit(host.make_request())
        for _ in range(100):
            host.pass_time(10.0)
            if is_reported:
                queue.latency.receive_report(host.now, 0.0, 20.0)
        failures.append(queue.health.consecutive_failures)
    assert failures[0] >= 1 and failures[1] == 0


class FixedAggregator(PeerDirectory):
    """A directory in which one dispatcher aggregates all nodes.

    Attributes:
        aggregator_seat: seat of that dispatcher.
        may_publish: whether this dispatcher may publish aggregates.
    """

    aggregator_seat, may_publish = 1, True

    def aggregator(self, node_hash):
        return self.aggregator_seat

    def publishes(self, node_hash, now):
        return self.may_publish


def test_reports_go_to_the_present_aggregator():
    """Reports to an aggregator that died would be lost after another has taken over."""
    peers = FixedAggregator(3)
    host = FakeHost(dispatchers=3, policy=GOSSIP_POLICY, peers=peers)
    receivers = []
    host.send_gossip = lambda peer, payload: receivers.append(peer)
    host.submit(host.make_request())
    peers.aggregator_seat = 2  # the previous one died
    host.submit(host.make_request())
    assert receivers == [1, 2]


def test_new_aggregator_collects_reports_before_it_publishes():
    """A new aggregator knows of no attempts yet, and would report a full node as empty."""
    peers = FixedAggregator(3)
    peers.aggregator_seat, peers.may_publish = 0, False
    host = FakeHost(dispatchers=3, policy=GOSSIP_POLICY, peers=peers)
    receivers = []
    host.send_gossip = lambda peer, payload: receivers.append(peer)
    for _ in range(30):
        host.submit(host.make_request())
        host.pass_time(100.0)
    assert None not in receivers
    peers.may_publish = True
    for _ in range(30):
        host.submit(host.make_request())
        host.pass_time(100.0)
    assert None in receivers


def test_dispatcher_that_forfeits_its_quota_uses_neither_limits_nor_cold_nodes():
    """Its seat may belong to another dispatcher by now, and both would use the same quota."""
    peers = FixedAggregator(3)
    slow_start = SlowStartSettings(
        base_units=12.0, cold_capacity=0.25, overload_multiple=3.0, window_ms=1000.0, warm_up_ms=4000.0
    )
    limited = ServicePlan("limited", usual_rate=100.0, limit_rate=100.0, limit_burst=50.0)
    host = FakeHost(nodes=2, dispatchers=3, peers=peers, slow_start=slow_start)
    host.pass_time(1000.0)
    peers.forfeits_quota = True
    host.nodes[1].started_ms = host.now - 1500.0
    host.submit(host.make_request(plan=limited, volume="w"), host.make_request(shard=1), host.make_request())
    assert [attempt.node for attempt in host.sent] == [host.nodes[0]] and host.sent[0].request.volume == "v"
    peers.forfeits_quota = False
    host.pass_time(50.0)
    assert {attempt.request.volume for attempt in host.sent} == {"v", "w"} and len(host.sent) == 3


def test_unmarked_request_with_a_short_timeout_is_no_retry_where_clients_mark_retries():
    # If it were taken for a retry, it would be late from the start and rejected at once. Where clients do not
    # mark retries, a request on a key that was rejected early before is one.
    results = []
    for policy in (SitePolicy(max_attempts=4, max_retry_after_ms=500.0), MARKED_RETRIES_POLICY):
        host = FakeHost(policy=policy)
        host.submit(host.make_request(shard=9))
        host.pass_time(500.0)
        host.dispatcher.node_queues[host.nodes[0]].latency.unit_ms = 10.0
        host.submit(host.make_request(key="a"))
        host.answer(host.sent[0])
        host.pass_time(1000.0)
        short = host.make_request(deadline_after_ms=90.0)
        host.submit(short)
        results.append(
            [short.attempts != [], host.dispatcher.requests[short].pressed if short.attempts else None]
        )
    assert results == [[True, False], [True, True]]


def test_unmarked_request_that_waited_while_the_dispatcher_paused_is_late():
    """The request has lain in the socket during the pause, so its client has waited that long already."""
    host = FakeHost(policy=MARKED_RETRIES_POLICY)
    host.submit(host.make_request(EXPORT), host.make_request(key="b"))
    for attempt in [*host.sent]:
        host.answer(attempt)
    host.now += 900.0
    old = host.make_request(deadline_after_ms=READ.deadline_ms - 900.0)
    host.submit(old)
    assert old in host.rejected or not host.dispatcher.requests[old].pressed


def test_new_object_with_idempotency_key_is_retried_at_its_first_node():
    # A repeat is dropped only there. Placed on another node, the retry would never be admitted.
    host = FakeHost(nodes=12)
    for node in host.nodes:
        node.zone = node.address
    new_object = host.make_request(MARKED, shard=-1, deadline_after_ms=1500.0)
    host.submit(new_object)
    first = host.sent[0]
    host.now += 5.0
    host.answer(first, Outcome.RESET)
    host.pass_time(50.0)
    assert [attempt.node for attempt in host.sent] == [first.node, first.node]


def test_second_request_of_a_quiet_volume_is_within_its_usual_rate():
    # Quotas are refilled by time. With fair queueing, whose virtual time stands still while no other volume
    # sends, the second request would be beyond the rate.
    host = FakeHost(utility=UtilityModel(within_quota=1.0, beyond_quota=0.1))
    plan = ServicePlan("quiet", usual_rate=10.0, weight=1.0)
    levels = []
    for volume in ("v", "v", "w"):
        request = Request(READ, plan, volume, 4, "", 0, 1.0, host.now + 2000.0)
        host.submit(request)
        levels.append(host.dispatcher.requests[request].utility_level)
        host.pass_time(400.0)
    assert levels == [1.0, 1.0, 1.0]


def test_last_request_of_a_volume_far_over_its_usual_rate_is_beyond_it():
    """A volume that sends more than its plan is meant for must not earn the full value for all of it."""
    host = FakeHost(utility=UtilityModel(within_quota=1.0, beyond_quota=0.1))
    plan = ServicePlan("loud", usual_rate=10.0)
    requests = [Request(EXPORT, plan, "v", 4, "", 0, 2.0, host.now + 5000.0) for _ in range(6)]
    host.submit(*requests)
    assert [host.dispatcher.requests[request].utility_level for request in requests][-1] == 0.1


def test_request_that_does_not_fit_the_usual_rate_completely_is_beyond_it():
    # Under full load, large exports of a small volume then yield to others and are rejected early once late.
    host = FakeHost(utility=UtilityModel(within_quota=1.0, beyond_quota=0.1))
    plan = ServicePlan("small", usual_rate=10.0)
    sizes = (("a", 3.0), ("b", 4.0))
    requests = [Request(EXPORT, plan, volume, 4, "", 0, units, host.now + 5000.0) for volume, units in sizes]
    host.submit(*requests)
    assert [host.dispatcher.requests[request].utility_level for request in requests] == [1.0, 0.1]


def test_new_objects_go_to_the_node_with_the_lower_expected_latency():
    """New objects would otherwise wait at a slow node while a fast one is free."""
    host = FakeHost(nodes=2)
    slow, fast = (host.dispatcher.node_queues[node] for node in host.nodes)
    slow.latency.unit_ms, fast.latency.unit_ms = 200.0, 10.0
    for _ in range(20):
        host.submit(host.make_request(shard=-1))
        for attempt in [attempt for attempt in host.sent if attempt.outcome is None]:
            host.answer(attempt)
        slow.latency.unit_ms, fast.latency.unit_ms = 200.0, 10.0
        host.pass_time(50.0)
    assert {attempt.node for attempt in host.sent} == {fast.node}


def test_index_by_node_hash_follows_the_endpoint_list():
    """Reports on a node that was added later would otherwise be ignored."""
    host = FakeHost(policy=GOSSIP_POLICY, dispatchers=2)
    host.send_gossip = lambda peer, payload: None
    host.round(endpoint_changes=[Node("10.0.9.9:1", shard=3)])
    assert {queue.node.address for queue in host.dispatcher.load_gossip.queues_by_hash.values()} >= {
        "10.0.9.9:1",
        "10.0.0.0:1",
    }
