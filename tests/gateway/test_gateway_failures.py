"""A story for each failure that the dispatcher meets on its sockets."""

from __future__ import annotations

import asyncio
import time

import pytest
from support.gateway_site import GatewaySite, run

from cherrygrade.client import Client, Errored, Ok, Rejected
from cherrygrade.gateway.lifecycle import EXIT_BROKEN, EXIT_CLEAN, EXIT_FORCED
from cherrygrade.scheduling.model import Outcome, SitePolicy
from cherrygrade.scheduling.scheduler import Scheduler
from cherrygrade.settings import LimitSettings, NodeConnectionSettings
from cherrygrade.standin.node import Build


async def put(client: Client, key: str, body: bytes, workload: str = "write") -> None:
    assert isinstance(await client.write(workload, "v", key, body, deadline_ms=1500), Ok)


def test_an_answer_cut_in_half_never_reaches_the_client_and_a_read_goes_again():
    async def story(house: GatewaySite) -> None:
        node = await house.node()
        client = house.client(await house.gateway())
        await put(client, "k", b"seat" * 4096)
        node.resets = 1
        read = await client.read("read", "v", "k", shard=0, length=16384, deadline_ms=1500)
        assert isinstance(read, Ok) and bytes(read.body) == b"seat" * 4096
        assert node.resets == 0

    run(story)


def test_a_non_idempotent_write_whose_answer_was_cut_is_errored_and_stands_once():
    async def story(house: GatewaySite) -> None:
        node = await house.node()
        client = house.client(await house.gateway())
        node.resets = 1
        answer = await client.write("once", "v", "k", b"!", append=True, deadline_ms=1000)
        assert isinstance(answer, Errored)
        await asyncio.sleep(0.1)
        assert bytes(node.bytes[("v", "k")]) == b"!"

    run(story)


def test_a_tokened_write_goes_again_to_its_node_and_stands_once():
    async def story(house: GatewaySite) -> None:
        node = await house.node()
        client = house.client(await house.gateway())
        node.resets = 1
        answer = await client.write("marked", "v", "k", b"!", append=True, token=b"t1", deadline_ms=1400)
        assert isinstance(answer, Ok) and bytes(node.bytes[("v", "k")]) == b"!"

    run(story)


def test_after_a_reset_the_next_of_an_ordered_key_waits_its_rest():
    async def story(house: GatewaySite) -> None:
        node = await house.node(build=Build(unit_ms=20.0, put_off=0.0))
        gateway = await house.gateway()
        client = house.client(gateway)
        await put(client, "k", b"", "write")
        node.resets = 1
        writes = [client.write("ordered", "v", "k", bytes([n]), shard=0, deadline_ms=1400) for n in (1, 2)]
        answers = await asyncio.gather(*writes)
        assert all(isinstance(answer, Ok) for answer in answers)
        came = [(line[0], line[3]) for line in node.record.lines if line[1] == "recv"][1:]
        reset = next(line[0] for line in node.record.lines if line[1] == "reset")
        after = [at for at, _ in came if at > reset]
        assert after and after[0] >= reset + 100.0
        assert bytes(node.bytes[("v", "k")]) == b"\x02"

    run(story)


def test_a_rack_that_restarts_at_once_while_the_list_lags_loses_no_rpc():
    async def story(house: GatewaySite) -> None:
        nodes = [await house.node(shard=n) for n in range(3)]
        house.register.lag_ms = 1e9
        client = house.client(await house.gateway())
        for shard in range(3):
            answers = [client.write("write", "v", f"k{shard}{n}", b"x", deadline_ms=1500) for n in range(5)]
            assert all(isinstance(answer, Ok) for answer in await asyncio.gather(*answers))
        reads = []
        for n in range(60):
            reads.append(
                asyncio.create_task(
                    client.read("read", "v", f"k{n % 3}0", shard=n % 3, length=1, deadline_ms=1500)
                )
            )
            if n == 10:
                for node in nodes:
                    node.crash()
            if n == 40:
                for node in nodes:
                    await node.open()
            await asyncio.sleep(0.01)
        answers = await asyncio.gather(*reads)
        assert len(answers) == 60 and any(isinstance(answer, Ok) for answer in answers[:10])
        for _ in range(200):
            if isinstance(await client.read("read", "v", "k00", shard=0, length=1, deadline_ms=1500), Ok):
                return
            await asyncio.sleep(0.03)
        raise AssertionError("no read came through after the rack was back")

    run(story)


def test_an_answer_in_the_round_in_which_time_is_up_gives_one_answer():
    async def story(house: GatewaySite) -> None:
        node = await house.node(build=Build(unit_ms=60.0, put_off=0.0))
        gateway = await house.gateway()
        answers: list[int] = []
        client = Client(
            gateway.address,
            "c",
            told=lambda event, id_, **_: answers.append(id_) if event == "answer" else None,
        )
        house.clients.append(client)
        task = asyncio.create_task(client.read("read", "v", "k", shard=0, length=1, deadline_ms=150))
        await asyncio.sleep(0.05)
        assert node.running == 1
        time.sleep(0.3)  # everybody stands still past the answer and the deadline
        await task
        await asyncio.sleep(0.1)
        assert (
            len(answers) <= 1
            and not gateway.open_requests
            and not gateway.node_clients[next(iter(gateway.node_clients))].waiting
        )

    run(story)


def test_a_burst_beyond_the_most_held_is_rejected_before_it_is_taken():
    async def story(house: GatewaySite) -> None:
        await house.node(build=Build(cores=1, unit_ms=50.0, put_off=0.0))
        gateway = await house.gateway(bounds=LimitSettings(most_held=10))
        client = house.client(gateway)
        burst = [client.write("write", "v", f"k{n}", bytes(4096), deadline_ms=1400) for n in range(60)]
        tasks = [asyncio.create_task(each) for each in burst]
        await asyncio.sleep(0.03)
        assert len(gateway.open_requests) == 10
        answers = await asyncio.gather(*tasks)
        told = [
            answer for answer in answers if isinstance(answer, Rejected) and "too many open" in answer.reason
        ]
        assert len(told) == 50 and all(answer.come_back_ms == 500.0 for answer in told)

    run(story)


def test_a_drain_heard_while_connects_are_pending_keeps_what_waits_here():
    async def story(house: GatewaySite) -> None:
        node = await house.node()
        gateway = await house.gateway()
        client = house.client(gateway)
        node.silent = True  # connects stand, no welcome comes
        task = asyncio.create_task(client.read("read", "v", "k", shard=0, length=1, deadline_ms=1000))
        await asyncio.sleep(0.05)
        assert sum(len(link.waiting) for link in gateway.node_clients.values()) == 1
        house.list(node, "draining")
        await asyncio.sleep(0.02)
        assert not any(link.waiting for link in gateway.node_clients.values())
        node.silent = False
        assert isinstance(await task, Rejected)
        assert not [line for line in node.record.lines if line[1] == "recv"]

    run(story)


def test_the_register_gone_from_the_start_is_followed_once_it_is_there():
    async def story(house: GatewaySite) -> None:
        node = await house.node()
        port = await house.register.start()
        house.register._server.close()
        gateway = await house.gateway(register=f"127.0.0.1:{port}", listed=False)
        client = house.client(gateway)
        before = await client.read("read", "v", "k", shard=0, length=1, deadline_ms=300)
        assert isinstance(before, Rejected) and not gateway.nodes.by_address
        house.register.address = f"127.0.0.1:{port}"
        await house.register.start()
        while not gateway.nodes.by_address:
            await asyncio.sleep(0.01)
        assert isinstance(await client.read("read", "v", "k", shard=0, length=1, deadline_ms=1000), Ok)
        assert node.address in gateway.nodes.by_address

    run(story)


def test_losing_the_register_leaves_the_last_list_standing():
    async def story(house: GatewaySite) -> None:
        await house.node()
        client = house.client(await house.gateway())
        house.register.close()
        await asyncio.sleep(0.05)
        assert isinstance(await client.read("read", "v", "k", shard=0, length=1, deadline_ms=1000), Ok)

    run(story)


def test_a_client_lives_through_the_restart_of_its_dispatcher():
    async def story(house: GatewaySite) -> None:
        node = await house.node(build=Build(unit_ms=30.0, put_off=0.0))
        gateway = await house.gateway()
        client = house.client(gateway)
        await put(client, "k", b"x")
        flying = [
            asyncio.create_task(client.read("read", "v", "k", shard=0, length=1, deadline_ms=1000))
            for _ in range(4)
        ]
        await asyncio.sleep(0.02)
        gateway._server.close()
        for session in [*gateway.sessions]:
            session.conn.abort("killed")
        for node_client in gateway.node_clients.values():
            for connection in [*node_client.connections.values()]:
                connection.conn.abort("killed")
        gateway.rounds.stop()
        assert all(isinstance(answer, Errored) for answer in await asyncio.gather(*flying))
        port = int(gateway.address.rpartition(":")[2])
        again = await house.gateway()
        client.address = again.address
        assert port and isinstance(
            await client.read("read", "v", "k", shard=0, length=1, deadline_ms=1500), Ok
        )
        assert node.starts == 1

    run(story)


def test_one_byte_at_a_time_from_a_node_is_an_answer_all_the_same():
    async def story(house: GatewaySite) -> None:
        node = await house.node()
        client = house.client(await house.gateway())
        await put(client, "k", b"abcdefgh")
        node.trickle = 1
        read = await client.read("export", "v", "k", shard=0, length=8, deadline_ms=3000)
        assert isinstance(read, Ok) and bytes(read.body) == b"abcdefgh"

    run(story)


def test_a_late_answer_is_read_off_and_the_next_one_is_not_mistaken():
    async def story(house: GatewaySite) -> None:
        node = await house.node(build=Build(cores=1, unit_ms=5.0, put_off=0.0))
        client = house.client(await house.gateway(lines=NodeConnectionSettings(most=1)))
        await put(client, "a", b"A" * 200_000)
        await put(client, "b", b"B" * 1000)
        node.trickle = 20_000  # the answer takes 50 ms on its way
        late = await client.read("read", "v", "a", shard=0, length=200_000, deadline_ms=290)
        assert isinstance(late, Rejected | Errored)
        node.trickle = 0
        read = await client.read("read", "v", "b", shard=0, length=1000, deadline_ms=1000)
        assert isinstance(read, Ok) and bytes(read.body) == b"B" * 1000

    run(story)


def test_a_node_that_refuses_connects_is_told_apart_from_one_that_may_have_run():
    async def story(house: GatewaySite) -> None:
        node = await house.node()
        gateway = await house.gateway()
        client = house.client(gateway)
        node.crash()
        answer = await client.write("once", "v", "k", b"!", shard=0, append=True, deadline_ms=600)
        assert isinstance(answer, Rejected)  # it never ran: trying again is harmless

    run(story)


def test_rpcs_that_lay_in_the_socket_are_known_to_be_old():
    """A process that stood still reads RPCs whose clients have long given up."""

    async def story(house: GatewaySite) -> None:
        from cherrygrade.wire.frames import encode
        from cherrygrade.wire.messages import VERSION, Hello, ReadRpc

        node = await house.node()
        gateway = await house.gateway()
        _, writer = await asyncio.open_connection(*gateway.address.split(":"))
        writer.write(encode(Hello(VERSION, "client", "raw")))
        writer.write(encode(ReadRpc(1, "read", "v", "k", 0, 0, 1, 400.0, False, 1.0)))
        await asyncio.sleep(0.45)
        writer.write(encode(ReadRpc(2, "read", "v", "k", 0, 0, 1, 400.0, False, 20.0)))  # written 430 ms ago
        await asyncio.sleep(0.05)
        received = [line[3] for line in node.record.lines if line[1] == "recv"]
        assert received == ["raw:1"]
        writer.close()

    run(story)


def test_told_to_leave_it_finishes_what_it_holds_and_takes_nothing_new():
    async def story(house: GatewaySite) -> None:
        await house.node(build=Build(unit_ms=100.0, put_off=0.0))
        gateway = await house.gateway()
        client = house.client(gateway)
        held = asyncio.create_task(client.read("read", "v", "k", shard=0, length=1, deadline_ms=1000))
        await asyncio.sleep(0.04)
        gateway.leave()
        assert isinstance(await held, Ok)
        assert await gateway.done == EXIT_CLEAN
        after = await client.read("read", "v", "k", shard=0, length=1, deadline_ms=200)
        assert isinstance(after, Rejected) and "no connection" in after.reason

    run(story)


def test_told_to_leave_twice_it_answers_all_and_ends_at_once():
    async def story(house: GatewaySite) -> None:
        await house.node(build=Build(unit_ms=500.0, put_off=0.0))
        gateway = await house.gateway()
        client = house.client(gateway)
        held = asyncio.create_task(client.read("read", "v", "k", shard=0, length=1, deadline_ms=1400))
        await asyncio.sleep(0.04)
        gateway.leave()
        gateway.leave()
        assert isinstance(await held, Errored) and await gateway.done == EXIT_FORCED

    run(story)


def test_an_exception_in_the_module_errors_all_that_is_held_and_is_logged_with_its_round():
    class Breaks(Scheduler):
        def decide(self, now, writer, **came):
            super().decide(now, writer, **came)
            if any(rpc.key == "poison" for rpc in came["arrivals"]):
                raise RuntimeError("poisoned")

    async def story(house: GatewaySite) -> None:
        await house.node(build=Build(unit_ms=100.0, put_off=0.0))
        gateway = await house.gateway(make=Breaks)
        client = house.client(gateway)
        held = asyncio.create_task(client.read("read", "v", "k", shard=0, length=1, deadline_ms=1400))
        await asyncio.sleep(0.03)
        bad = await client.read("read", "v", "poison", shard=0, length=1, deadline_ms=1400)
        assert isinstance(bad, Errored) and isinstance(await held, Errored)
        assert await gateway.done == EXIT_BROKEN
        facts = next(facts for event, facts in house.logs if event == "scheduler crashed")
        assert "poisoned" in facts["traceback"] and "1 arrivals" in facts["round"]

    run(story)


def test_a_client_that_leaves_has_its_place_given_back():
    async def story(house: GatewaySite) -> None:
        await house.node(build=Build(cores=1, unit_ms=200.0, put_off=0.0))
        gateway = await house.gateway()
        client = house.client(gateway)
        tasks = [
            asyncio.create_task(client.read("read", "v", "k", shard=0, length=1, deadline_ms=1400))
            for _ in range(5)
        ]
        await asyncio.sleep(0.05)
        for task in tasks:
            task.cancel()
        await asyncio.sleep(0.05)
        assert not gateway.open_requests and not any(session.rpcs for session in gateway.sessions)
        await asyncio.sleep(0.8)
        assert not gateway.rounds.scheduler.requests  # sends that were out have ended there too

    run(story)


@pytest.mark.parametrize("outcome", [Outcome.OK, Outcome.RESET])
def test_a_second_word_on_a_send_changes_nothing(outcome):
    async def story(house: GatewaySite) -> None:
        await house.node()
        gateway = await house.gateway()
        client = house.client(gateway)
        assert isinstance(await client.read("read", "v", "k", shard=0, length=1, deadline_ms=1000), Ok)
        link = next(iter(gateway.node_clients.values()))
        lane = gateway.rounds.scheduler.node_queues[link.node]
        before = len(gateway.rounds.inputs.outcomes)
        out = lane.newest_attempt
        gateway.rounds.record_outcome(out, outcome)
        assert out.outcome is Outcome.OK and len(gateway.rounds.inputs.outcomes) == before

    run(story)


def test_one_byte_at_a_time_from_a_client_and_to_one():
    async def story(house: GatewaySite) -> None:
        from cherrygrade.wire.frames import encode
        from cherrygrade.wire.messages import VERSION, Hello, ReadRpc, WriteRpc

        await house.node()
        gateway = await house.gateway()
        reader, writer = await asyncio.open_connection(*gateway.address.split(":"))
        words = [
            encode(Hello(VERSION, "client", "raw")),
            encode(WriteRpc(1, "write", "v", "k", -1, 0, 1400.0), 5) + b"bytes",
            encode(ReadRpc(2, "read", "v", "k", 0, 0, 5, 1400.0)),
        ]
        got = b""
        for word in words:
            for at in range(len(word)):
                writer.write(word[at : at + 1])
                await asyncio.sleep(0)
            while not got.endswith(b"bytes") and len(got) < 10:
                got += await reader.read(1)
            await asyncio.sleep(0.03)
        while not got.endswith(b"bytes"):
            got += await asyncio.wait_for(reader.read(1), 1.0)
        assert not gateway.open_requests
        writer.close()

    run(story)


def test_where_the_list_must_be_asked_for_it_is_and_again_after_the_register_was_lost():
    async def story(house: GatewaySite) -> None:
        await house.node()
        permits = SitePolicy(
            max_attempts=4, max_retry_after_ms=500.0, polls_endpoints=True, max_poll_interval_ms=300.0
        )
        gateway = await house.gateway(permits=permits)
        assert not gateway.register_watch._is_list_requested
        asked = [line for line in house.register.record.lines if line[1] == "told"]
        for door in [*house.register.doors]:
            door.conn.abort("cut")
        for _ in range(300):
            await asyncio.sleep(0.01)
            if len([line for line in house.register.record.lines if line[1] == "told"]) > len(asked):
                return
        raise AssertionError("never asked again")

    run(story)
