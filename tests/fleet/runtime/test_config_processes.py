"""The shared configuration between dispatcher processes.

Processes are killed, cut off, paused, have their files damaged or are sent false adverts. All of them must
come to have the same version in force. The tests judge that from the version and digest in force at each, and
from logs. test_quota_parts_processes.py tests limits while a version is introduced.
"""

from __future__ import annotations

import asyncio
import signal
import subprocess
import sys
import time

import pytest
from support.configured_fleet import MAX_SPREAD_S, ROOT, Fleet, limit_text, run_scenario

from cherrygrade.fleet.errors import ConfigRefusedError, ConfigUnreachableError
from cherrygrade.fleet.membership.messages import ConfigAdvert
from cherrygrade.fleet.runtime.admin_client import REQUEST_TIMEOUT_S, send_admin_request
from cherrygrade.fleet.runtime.admin_messages import PutRequest
from cherrygrade.fleet.runtime.status_query import query_status

pytestmark = pytest.mark.few

CONTINUES = "all dispatchers continue with their present configuration"

# Code that runs before the command: an earlier version of the program, whose parser fails on a newer text.
EARLIER_VERSION = """
from cherrygrade.gateway.overlay import Overlay
original = Overlay.site
def site(self, text):
    if "30303" in text:
        raise RecursionError("a form that this version of the program does not know")
    return original(self, text)
Overlay.site = site
"""
# A program that takes long to parse a text.
SLOW_PARSER = """
import time
from cherrygrade.gateway.overlay import Overlay
original = Overlay.site
def site(self, text):
    if "20202" in text:
        time.sleep(2.0)
    return original(self, text)
Overlay.site = site
"""


def run_command(*arguments: str) -> tuple[int, str, float]:
    """Run `cherrygrade fleet config`; return its exit code, its output, and the seconds that it took."""
    started = time.monotonic()
    command = [sys.executable, "-m", "cherrygrade", "fleet", "config", *arguments]
    result = subprocess.run(command, cwd=ROOT, capture_output=True, text=True, timeout=30.0)
    return result.returncode, result.stdout + result.stderr, time.monotonic() - started


async def run_command_in_thread(*arguments: str) -> tuple[int, str, float]:
    """Run `run_command` in a thread, so that the test's network goes on."""
    return await asyncio.to_thread(run_command, *arguments)


def test_version_survives_a_leader_killed_before_its_first_datagram_about_it(tmp_path):
    async def scenario(fleet: Fleet) -> None:
        assert await fleet.put(limit_text(900)) == 1
        await fleet.wait_for_version(1)
        number = 1
        while True:  # until the same voter led from before the change to after it
            leader = await fleet.wait_for_leader()
            fleet.ways.datagrams_lost_from.add(leader)  # its datagrams are lost; the voters' streams go on
            number += 1
            assert await fleet.put(limit_text(800 + number), via=leader) == number
            if await fleet.wait_for_leader() == leader:
                break
            fleet.ways.datagrams_lost_from.clear()
        await fleet.kill(leader)
        await fleet.wait_for_version(number)
        await fleet.start(leader)
        fleet.ways.datagrams_lost_from.clear()
        await fleet.wait_for_version(number)

    run_scenario(scenario, tmp_path)


def test_of_two_concurrent_changes_one_is_refused_as_based_on_an_older_version(tmp_path):
    async def scenario(fleet: Fleet) -> None:
        changes = [fleet.put(limit_text(900 + number), via=number, based_on=0) for number in (3, 4)]
        results = await asyncio.gather(*changes, return_exceptions=True)
        assert sorted(type(result) for result in results if not isinstance(result, int)) == [
            ConfigRefusedError
        ]
        assert [result for result in results if isinstance(result, int)] == [1]
        assert "1 is the newest, not 0" in next(
            str(result) for result in results if not isinstance(result, int)
        )
        await fleet.wait_for_version(1)
        texts = {(await fleet.show(1, number))["text"] for number in range(fleet.count)}
        assert len(texts) == 1 and texts < {limit_text(903), limit_text(904)}

    run_scenario(scenario, tmp_path)


def test_damaged_files_of_a_voter_and_a_member_are_quarantined_and_fetched_again(tmp_path):
    async def scenario(fleet: Fleet) -> None:
        for index in range(3):
            assert await fleet.put(limit_text(900 - index)) == index + 1
        await fleet.wait_for_version(3)
        leader = await fleet.wait_for_leader()
        voter = (leader + 1) % 3
        for number in (voter, 4):
            await fleet.kill(number)
        store, config_file = tmp_path / f"d{voter}" / "council.mdb", tmp_path / f"d{voter}" / "kept"
        data = bytearray(store.read_bytes())
        data[len(data) // 2 :][:64] = bytes(64)
        store.write_bytes(data[:-9])
        config_file.write_bytes(config_file.read_bytes()[:-9])
        # One byte of the text is changed, as by a faulty disk; all else of the file is sound.
        member_file = tmp_path / "d4" / "kept"
        assert member_file.read_bytes().count(b"limit_rate: 898") == 1
        member_file.write_bytes(member_file.read_bytes().replace(b"limit_rate: 898", b"limit_rate: 897"))
        for number in (voter, 4):
            await fleet.start(number)
        await fleet.wait_for_version(3)
        for number in (voter, 4):
            assert len(fleet.log_lines(number, "configuration file damaged")) == 1
            assert (tmp_path / f"d{number}" / "kept.aside-0").exists()

        async def votes() -> bool:
            return bool((await query_status(fleet.admin_address(voter)))["council"]["votes"])

        await fleet.wait_until(votes, 10.0)
        other = next(number for number in range(3) if number not in (leader, voter))
        await fleet.kill(other)  # the voter that was admitted again is now needed for a majority
        assert await fleet.put(limit_text(700), via=leader) == 4
        await fleet.wait_for_version(4)

    run_scenario(scenario, tmp_path)


def test_change_in_one_half_and_restart_in_the_other_half_of_a_partition(tmp_path):
    async def scenario(fleet: Fleet) -> None:
        assert await fleet.put(limit_text(900)) == 1
        await fleet.wait_for_version(1)
        without_voters = {3, 4, 5}
        fleet.ways.act("cut", {"on": "3 4 5"})
        assert await fleet.put(limit_text(800)) == 2
        await fleet.wait_for_version(2, excluding=(3, 4, 5))
        with pytest.raises(ConfigUnreachableError):
            await fleet.put(limit_text(700), via=3, within_s=0.0)
        await fleet.kill(4)
        await fleet.start(4)
        assert await fleet.version_numbers(0, 1, 2) == dict.fromkeys(
            without_voters, 1
        )  # d4 has its stored version in force, and none of them knows of a newer one
        assert fleet.stages_in_force(4) == [3, 3]
        fleet.ways.act("heal", {"on": "3 4 5"})
        await fleet.wait_for_version(2)

    run_scenario(scenario, tmp_path, 6)


def test_forty_changes_missed_by_a_cut_off_and_by_a_paused_member_are_caught_up(tmp_path):
    async def scenario(fleet: Fleet) -> None:
        assert await fleet.put(limit_text(900)) == 1
        await fleet.wait_for_version(1)
        fleet.ways.act("cut", {"on": "4"})
        fleet.signal(3, signal.SIGSTOP)
        paused = time.monotonic()
        for index in range(40):
            assert await fleet.put(limit_text(901 + index)) == 2 + index
        await fleet.wait_for_version(41, excluding=(3, 4))
        assert await fleet.version_numbers(0, 1, 2, 3) == {4: 1}
        fleet.ways.act("heal", {"on": "4"})
        await fleet.wait_for_version(41, excluding=(3,))
        await asyncio.sleep(max(0.0, 10.0 - (time.monotonic() - paused)))
        fleet.signal(3, signal.SIGCONT)
        await fleet.wait_for_version(41)
        for number in (3, 4):  # they skip to the newest version rather than apply each one
            assert len(fleet.stages_in_force(number)) <= 5

    run_scenario(scenario, tmp_path)


def test_member_restarted_on_an_old_stored_version_catches_up_to_the_newest(tmp_path):
    async def scenario(fleet: Fleet) -> None:
        assert await fleet.put(limit_text(900)) == 1
        await fleet.wait_for_version(1)
        stored = (tmp_path / "d4" / "kept").read_bytes()
        await fleet.kill(4)
        for index in range(3):
            assert await fleet.put(limit_text(800 + index)) == 2 + index
        assert (tmp_path / "d4" / "kept").read_bytes() == stored
        await fleet.start(4)
        assert fleet.stages_in_force(4)[:2] == [3, 3]  # the stored version was in force before it listened
        await fleet.wait_for_version(4)

    run_scenario(scenario, tmp_path)


def test_member_whose_streams_are_refused_reports_that_and_fetches_once_they_are_accepted(tmp_path):
    async def scenario(fleet: Fleet) -> None:
        assert await fleet.put(limit_text(900)) == 1
        await fleet.wait_for_version(1)
        fleet.ways.streams_refused_from.add(4)
        assert await fleet.put(limit_text(800)) == 2
        await fleet.wait_for_version(2, excluding=(4,))

        async def is_reported() -> bool:
            return "can't fetch" in (await fleet.missing(2)).get("d4", "")

        await fleet.wait_until(is_reported, MAX_SPREAD_S)
        assert await fleet.version_numbers(0, 1, 2, 3) == {4: 1}
        assert "can't fetch" in (await fleet.status(4))["trouble"]
        fleet.ways.streams_refused_from.clear()
        await fleet.wait_for_version(2)
        assert not (await fleet.status(4))["trouble"]

    run_scenario(scenario, tmp_path)


def test_earlier_program_version_that_cannot_parse_a_text_stays_on_its_version(tmp_path):
    async def scenario(fleet: Fleet) -> None:
        assert await fleet.put(limit_text(900)) == 1
        await fleet.wait_for_version(1)
        leader = await fleet.wait_for_leader()
        voter = (leader + 1) % 3
        for number in (voter, 4):
            await fleet.kill(number)
            fleet.code_before_start[number] = EARLIER_VERSION
            await fleet.start(number)
        await fleet.wait_for_version(1)
        assert await fleet.put(limit_text(30303), via=leader) == 2
        await fleet.wait_for_version(2, excluding=(voter, 4))

        async def is_reported() -> bool:
            missing = await fleet.missing(2, leader)
            return all("refused" in missing.get(f"d{number}", "") for number in (voter, 4))

        await fleet.wait_until(is_reported, MAX_SPREAD_S)
        assert {fleet.log_lines(number, "configuration refused")[-1]["number"] for number in (voter, 4)} == {
            2
        }
        assert await fleet.version_numbers(leader) == {
            number: 1 if number in (voter, 4) else 2 for number in fleet.running if number != leader
        }
        assert (
            await fleet.put(limit_text(700), via=leader) == 3
        )  # the voter of the earlier version goes on in the council
        await fleet.wait_for_version(3)
        assert {(await fleet.show(2, seat))["text"] for seat in fleet.running} == {limit_text(30303)}

    run_scenario(scenario, tmp_path)


def test_member_with_false_adverts_changes_no_other_member(tmp_path):
    async def scenario(fleet: Fleet) -> None:
        assert await fleet.put(limit_text(900)) == 1
        await fleet.wait_for_version(1)
        fleet.ways.advert_rewriters[4] = lambda advert: ConfigAdvert(
            advert.stage + 200, advert.digest_prefix ^ 1, advert.seat_bitmap
        )
        await asyncio.sleep(3.0)
        assert await fleet.version_numbers() == dict.fromkeys(range(5), 1)
        fleet.ways.advert_rewriters[4] = lambda advert: ConfigAdvert(
            advert.stage + 2, advert.digest_prefix ^ 1, advert.seat_bitmap
        )  # the stage of the next version
        assert await fleet.put(limit_text(800)) == 2
        await fleet.wait_for_version(2)
        assert {(await fleet.status(number))["trouble"] for number in range(4)} == {""}

    run_scenario(scenario, tmp_path)


def put_changes(fleet: Fleet, count: int, every_s: float):
    """Put `count` changes, about one every `every_s`, through d3 or d4; return the newest version's number.

    The leader is killed after a third of the changes, and restarted after two thirds.
    """

    async def put_all() -> int:
        newest, killed = 1, -1
        for index in range(count):
            started = time.monotonic()
            while True:
                via = next(number for number in (3, 4) if number in fleet.running)
                try:
                    newest = await fleet.put(limit_text(1000 + index), via=via)
                    break
                except (
                    ConfigUnreachableError,
                    ConfigRefusedError,
                ):  # the change may have become a version: putting it again does no harm
                    await asyncio.sleep(0.1)
            if index == count // 3:
                killed = await fleet.wait_for_leader()
                await fleet.kill(killed)
            if index == 2 * count // 3:
                await fleet.start(killed)
            await asyncio.sleep(max(0.0, every_s - (time.monotonic() - started)))
        return newest

    return put_all()


def test_twenty_changes_in_five_seconds_with_a_killed_leader(tmp_path):
    async def scenario(fleet: Fleet) -> None:
        assert await fleet.put(limit_text(900)) == 1
        newest = await put_changes(fleet, 20, 0.25)
        assert newest >= 21
        await fleet.wait_for_version(newest)

    run_scenario(scenario, tmp_path)


@pytest.mark.long
def test_hundred_changes_in_a_minute_with_a_killed_leader(tmp_path):
    async def scenario(fleet: Fleet) -> None:
        assert await fleet.put(limit_text(900)) == 1
        newest = await put_changes(fleet, 100, 0.6)
        assert newest >= 101
        await fleet.wait_for_version(newest)

    run_scenario(scenario, tmp_path)


def test_commands_print_their_result_and_advice_with_an_exit_code(tmp_path):
    async def scenario(fleet: Fleet) -> None:
        file = tmp_path / "change.rec"
        file.write_text(limit_text(800))
        at_d3 = ("--at", fleet.admin_address(3))
        code, output, _ = await run_command_in_thread("put", str(file), *at_d3)
        assert code == 0 and output.startswith("version 1 "), output
        code, output, _ = await run_command_in_thread("wait", "1", *at_d3)
        assert code == 0 and "in force at all living members" in output, output
        file.write_text("bounds: most_body: 1000000\n")
        code, output, _ = await run_command_in_thread("put", str(file), *at_d3)
        assert code == 1 and "bounds.most_body" in output and CONTINUES in output, output
        file.write_text("plans: plan: {limit_rate: \n")
        code, output, _ = await run_command_in_thread("put", str(file), *at_d3)
        assert code == 2 and str(file) in output, output
        file.write_text(limit_text(700))
        assert (await run_command_in_thread("put", str(file), *at_d3))[0] == 0
        await fleet.wait_for_version(2)
        code, output, _ = await run_command_in_thread("show", *at_d3)
        assert code == 0 and len(output.splitlines()) == 3 and "version 2" in output, output
        code, output, _ = await run_command_in_thread("show", "1", *at_d3)
        assert (code, output) == (0, limit_text(800))
        code, output, _ = await run_command_in_thread("back", "1", *at_d3)
        assert code == 0 and output.startswith("version 3 "), output
        assert (await fleet.show(3))["text"] == limit_text(800)
        assert (await run_command_in_thread("show", "9", *at_d3))[0] == 1
        await fleet.wait_for_version(3)
        await fleet.kill(4)
        for number in (1, 2):  # the majority of voters is lost
            await fleet.kill(number)
        code, output, duration_s = await run_command_in_thread("put", str(file), *at_d3)
        assert code == 3 and CONTINUES in output and "voters" in output, output
        assert duration_s < 2.0, duration_s
        code, output, _ = await run_command_in_thread("show", *at_d3)
        assert code == 3 and "in force" in output and "version 3" in output, output
        assert await fleet.version_numbers() == {0: 3, 3: 3}
        code, output, _ = await run_command_in_thread("wait", "4", *at_d3, "--within-s", "0.5")
        assert code == 1 and "d3" in output and "on version 3" in output and "d4" in output, output
        await fleet.start(1)
        code, output, duration_s = await run_command_in_thread(
            "put", str(file), "--at", fleet.admin_address(1)
        )
        while code == 3 and duration_s < 10.0:
            code, output, _ = await run_command_in_thread("put", str(file), "--at", fleet.admin_address(1))
        assert code == 0 and output.startswith("version 4 "), output
        code, output, _ = await run_command_in_thread("wait", "4", *at_d3, "--within-s", "6")
        assert code == 0 and "not there: d4" in output, output

    run_scenario(scenario, tmp_path)


def test_put_waits_for_a_slow_judge_while_a_majority_answers(tmp_path):
    async def scenario(fleet: Fleet) -> None:
        started = time.monotonic()
        answer = await send_admin_request(
            fleet.admin_address(3), PutRequest("one", limit_text(20202), "a test")
        )
        assert answer["number"] == 1 and time.monotonic() - started > REQUEST_TIMEOUT_S
        await fleet.wait_for_version(1, 10.0)
        leader = await fleet.wait_for_leader()
        request = asyncio.create_task(
            send_admin_request(fleet.admin_address(3), PutRequest("two", limit_text(20202) + "\n", "a test"))
        )
        await asyncio.sleep(0.5)
        killed = time.monotonic()
        for number in {0, 1, 2} - {leader}:
            await fleet.kill(number)
        with pytest.raises(ConfigUnreachableError, match="may yet have become a version"):
            await request
        assert time.monotonic() - killed < 3.0

    run_scenario(scenario, tmp_path, code_before_start=dict.fromkeys((0, 1, 2), SLOW_PARSER))


def test_joint_phase_settles_only_once_all_dispatchers_have_confirmed_it(tmp_path):
    async def scenario(fleet: Fleet) -> None:
        assert await fleet.put(limit_text(900)) == 1
        await fleet.wait_for_version(1)
        fewer, more = (limit_text(900) + f"volumes: v: hosts: {count}\n" for count in (4, 5))
        assert await fleet.put(fewer) == 2

        async def settled() -> bool:
            statuses = [await fleet.status(number) for number in fleet.running]
            return all(status["settled"] and status["number"] == 2 for status in statuses)

        await fleet.wait_until(settled, MAX_SPREAD_S)
        await fleet.kill(4)
        assert await fleet.put(more) == 3
        await fleet.wait_for_version(3)
        await asyncio.sleep(2.0)
        assert not any([(await fleet.status(number))["settled"] for number in fleet.running])
        with pytest.raises(ConfigRefusedError, match="parts still move"):
            await fleet.put(fewer)
        assert (
            await fleet.put(more + "cold: warm_ms: 9000\n") == 4
        )  # a change that changes no quotas is taken
        assert "dead" in (await fleet.missing(4))["d4"] or "cut off" in (await fleet.missing(4))["d4"]
        await fleet.start(4)
        await fleet.wait_for_version(4)

        async def version_4_settled() -> bool:
            statuses = [await fleet.status(number) for number in fleet.running]
            return all(status["settled"] and status["number"] == 4 for status in statuses)

        await fleet.wait_until(version_4_settled, MAX_SPREAD_S)

    run_scenario(scenario, tmp_path)


def test_all_members_become_certain_where_no_version_exists(tmp_path):
    async def scenario(fleet: Fleet) -> None:
        async def are_certain() -> bool:
            return all([(await fleet.status(number))["sure"] for number in fleet.running])

        await fleet.wait_until(are_certain, MAX_SPREAD_S)
        assert await fleet.version_numbers() == dict.fromkeys(range(5), 0)

    run_scenario(scenario, tmp_path)


def test_member_that_left_is_uncertain_of_its_stored_version_until_others_confirm_it(tmp_path):
    async def scenario(fleet: Fleet) -> None:
        more, fewer = (limit_text(900) + f"volumes: v: hosts: {count}\n" for count in (5, 4))
        assert await fleet.put(more) == 1
        await fleet.wait_for_version(1)
        process = fleet.running.pop(4)
        process.send_signal(signal.SIGTERM)
        await process.wait()
        assert await fleet.put(fewer) == 2

        async def settled() -> bool:
            return all([(await fleet.status(number))["settled"] for number in fleet.running])

        await fleet.wait_for_version(2)
        await fleet.wait_until(
            settled, MAX_SPREAD_S
        )  # d4 is not waited for: it notified the others that it leaves
        fleet.ways.act("cut", {"on": "4"})
        fleet.ways.streams_refused_from.add(4)
        await fleet.start(4)
        status = await fleet.status(4)
        # If it were certain, it would use quotas that the others have now.
        assert (status["number"], status["sure"]) == (1, False)
        fleet.ways.streams_refused_from.clear()
        fleet.ways.act("heal", {"on": "4"})
        await fleet.wait_for_version(2)
        assert (await fleet.status(4))["sure"]
        await fleet.kill(4)  # a killed dispatcher has not left the fleet on purpose
        await fleet.start(4)
        assert (await fleet.status(4))["sure"]

    run_scenario(scenario, tmp_path)


def test_command_reports_that_no_dispatcher_answers_at_the_address():
    code, output, duration_s = run_command("show", "--at", "127.0.0.1:9")
    assert code == 3 and "does not answer" in output and duration_s < 3.0
    code, output, _ = run_command("show", "--at", "nowhere")
    assert code == 2
