"""One configuration between processes of the program: killed, cut off, stopped, torn, lied to; judged by what
each has in force, by its digest, and by its log. Limits under a cut: test_config_in_force.py."""

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

# A program of before: what it does not know breaks its reader.
OLDER = """
from cherrygrade.gateway.overlay import Overlay
held = Overlay.site
def site(self, text):
    if "30303" in text:
        raise RecursionError("a form that this program never met")
    return held(self, text)
Overlay.site = site
"""
# One whose reader is slow with a text.
SLOW = """
import time
from cherrygrade.gateway.overlay import Overlay
held = Overlay.site
def site(self, text):
    if "20202" in text:
        time.sleep(2.0)
    return held(self, text)
Overlay.site = site
"""


def command(*parts: str) -> tuple[int, str, float]:
    """Exit code, what it told, seconds."""
    begun = time.monotonic()
    line = [sys.executable, "-m", "cherrygrade", "fleet", "config", *parts]
    done = subprocess.run(line, cwd=ROOT, capture_output=True, text=True, timeout=30.0)
    return done.returncode, done.stdout + done.stderr, time.monotonic() - begun


async def commanded(*parts: str) -> tuple[int, str, float]:
    return await asyncio.to_thread(command, *parts)


def test_a_leader_killed_between_agreement_and_its_first_word_loses_no_version(tmp_path):
    async def story(fleet: Fleet) -> None:
        assert await fleet.put(limit_text(900)) == 1
        await fleet.wait_for_version(1)
        number = 1
        while True:  # until it was the leader all the while
            leader = await fleet.wait_for_leader()
            fleet.ways.datagrams_lost_from.add(leader)  # the voters' streams go on, its pages are lost
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

    run_scenario(story, tmp_path)


def test_two_operators_at_once_one_is_told_that_another_came_first(tmp_path):
    async def story(fleet: Fleet) -> None:
        both = [fleet.put(limit_text(900 + at), via=at, based_on=0) for at in (3, 4)]
        told = await asyncio.gather(*both, return_exceptions=True)
        assert sorted(type(one) for one in told if not isinstance(one, int)) == [ConfigRefusedError]
        assert [one for one in told if isinstance(one, int)] == [1]
        assert "1 is the newest, not 0" in next(str(one) for one in told if not isinstance(one, int))
        await fleet.wait_for_version(1)
        texts = {(await fleet.show(1, at))["text"] for at in range(fleet.count)}
        assert len(texts) == 1 and texts < {limit_text(903), limit_text(904)}

    run_scenario(story, tmp_path)


def test_torn_files_of_a_voter_and_of_a_member_are_put_aside_and_all_is_had_again(tmp_path):
    async def story(fleet: Fleet) -> None:
        for at in range(3):
            assert await fleet.put(limit_text(900 - at)) == at + 1
        await fleet.wait_for_version(3)
        leader = await fleet.wait_for_leader()
        voter = (leader + 1) % 3
        for number in (voter, 4):
            await fleet.kill(number)
        store, kept = tmp_path / f"d{voter}" / "council.mdb", tmp_path / f"d{voter}" / "kept"
        data = bytearray(store.read_bytes())
        data[len(data) // 2 :][:64] = bytes(64)
        store.write_bytes(data[:-9])
        kept.write_bytes(kept.read_bytes()[:-9])
        other = tmp_path / "d4" / "kept"  # a disk that gave back other bytes: all else of it is sound
        assert other.read_bytes().count(b"limit_rate: 898") == 1
        other.write_bytes(other.read_bytes().replace(b"limit_rate: 898", b"limit_rate: 897"))
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
        await fleet.kill(other)  # the one that was let in has to count now
        assert await fleet.put(limit_text(700), via=leader) == 4
        await fleet.wait_for_version(4)

    run_scenario(story, tmp_path)


def test_half_against_half_a_change_here_and_a_restart_there(tmp_path):
    async def story(fleet: Fleet) -> None:
        assert await fleet.put(limit_text(900)) == 1
        await fleet.wait_for_version(1)
        half = {3, 4, 5}
        fleet.ways.act("cut", {"on": "3 4 5"})
        assert await fleet.put(limit_text(800)) == 2
        await fleet.wait_for_version(2, excluding=(3, 4, 5))
        with pytest.raises(ConfigUnreachableError):
            await fleet.put(limit_text(700), via=3, within_s=0.0)
        await fleet.kill(4)
        await fleet.start(4)
        assert await fleet.version_numbers(0, 1, 2) == dict.fromkeys(
            half, 1
        )  # kept, and nothing newer is known
        assert fleet.stages_in_force(4) == [3, 3]
        fleet.ways.act("heal", {"on": "3 4 5"})
        await fleet.wait_for_version(2)

    run_scenario(story, tmp_path, 6)


def test_forty_changes_missed_by_one_cut_off_and_by_one_that_stood_still(tmp_path):
    async def story(fleet: Fleet) -> None:
        assert await fleet.put(limit_text(900)) == 1
        await fleet.wait_for_version(1)
        fleet.ways.act("cut", {"on": "4"})
        fleet.signal(3, signal.SIGSTOP)
        stopped = time.monotonic()
        for at in range(40):
            assert await fleet.put(limit_text(901 + at)) == 2 + at
        await fleet.wait_for_version(41, excluding=(3, 4))
        assert await fleet.version_numbers(0, 1, 2, 3) == {4: 1}
        fleet.ways.act("heal", {"on": "4"})
        await fleet.wait_for_version(41, excluding=(3,))
        await asyncio.sleep(max(0.0, 10.0 - (time.monotonic() - stopped)))
        fleet.signal(3, signal.SIGCONT)
        await fleet.wait_for_version(41)
        for number in (3, 4):  # passed over to the newest, not one by one
            assert len(fleet.stages_in_force(number)) <= 5

    run_scenario(story, tmp_path)


def test_one_that_starts_with_what_it_kept_last_week_serves_on_that_and_goes_on_from_there(tmp_path):
    async def story(fleet: Fleet) -> None:
        assert await fleet.put(limit_text(900)) == 1
        await fleet.wait_for_version(1)
        old = (tmp_path / "d4" / "kept").read_bytes()
        await fleet.kill(4)
        for at in range(3):
            assert await fleet.put(limit_text(800 + at)) == 2 + at
        assert (tmp_path / "d4" / "kept").read_bytes() == old
        await fleet.start(4)
        assert fleet.stages_in_force(4)[:2] == [3, 3]  # before it listened
        await fleet.wait_for_version(4)

    run_scenario(story, tmp_path)


def test_one_whose_streams_are_refused_says_that_it_cant_fetch_and_has_it_once_they_are_not(tmp_path):
    async def story(fleet: Fleet) -> None:
        assert await fleet.put(limit_text(900)) == 1
        await fleet.wait_for_version(1)
        fleet.ways.streams_refused_from.add(4)
        assert await fleet.put(limit_text(800)) == 2
        await fleet.wait_for_version(2, excluding=(4,))

        async def told() -> bool:
            return "can't fetch" in (await fleet.missing(2)).get("d4", "")

        await fleet.wait_until(told, MAX_SPREAD_S)
        assert await fleet.version_numbers(0, 1, 2, 3) == {4: 1}
        assert "can't fetch" in (await fleet.status(4))["trouble"]
        fleet.ways.streams_refused_from.clear()
        await fleet.wait_for_version(2)
        assert not (await fleet.status(4))["trouble"]

    run_scenario(story, tmp_path)


def test_a_change_that_breaks_the_reader_of_an_older_program_leaves_that_one_on_what_it_has(tmp_path):
    async def story(fleet: Fleet) -> None:
        assert await fleet.put(limit_text(900)) == 1
        await fleet.wait_for_version(1)
        leader = await fleet.wait_for_leader()
        voter = (leader + 1) % 3
        for number in (voter, 4):
            await fleet.kill(number)
            fleet.code_before_start[number] = OLDER
            await fleet.start(number)
        await fleet.wait_for_version(1)
        assert await fleet.put(limit_text(30303), via=leader) == 2
        await fleet.wait_for_version(2, excluding=(voter, 4))

        async def told() -> bool:
            missing = await fleet.missing(2, leader)
            return all("refused" in missing.get(f"d{number}", "") for number in (voter, 4))

        await fleet.wait_until(told, MAX_SPREAD_S)
        assert {fleet.log_lines(number, "configuration refused")[-1]["number"] for number in (voter, 4)} == {
            2
        }
        assert await fleet.version_numbers(leader) == {
            number: 1 if number in (voter, 4) else 2 for number in fleet.running if number != leader
        }
        assert await fleet.put(limit_text(700), via=leader) == 3  # its log goes on with the others'
        await fleet.wait_for_version(3)
        assert {(await fleet.show(2, at))["text"] for at in fleet.running} == {limit_text(30303)}

    run_scenario(story, tmp_path)


def test_a_member_that_lies_about_its_number_moves_nobody(tmp_path):
    async def story(fleet: Fleet) -> None:
        assert await fleet.put(limit_text(900)) == 1
        await fleet.wait_for_version(1)
        fleet.ways.advert_rewriters[4] = lambda advert: ConfigAdvert(
            advert.stage + 200, advert.digest_prefix ^ 1, advert.seat_bitmap
        )
        await asyncio.sleep(3.0)
        assert await fleet.version_numbers() == dict.fromkeys(range(5), 1)
        fleet.ways.advert_rewriters[4] = lambda advert: ConfigAdvert(
            advert.stage + 2, advert.digest_prefix ^ 1, advert.seat_bitmap
        )  # of the next version
        assert await fleet.put(limit_text(800)) == 2
        await fleet.wait_for_version(2)
        assert {(await fleet.status(at))["trouble"] for at in range(4)} == {""}

    run_scenario(story, tmp_path)


def changes(fleet: Fleet, count: int, every_s: float):
    """So many changes, one about every `every_s`, asked of whoever answers; the leader dies a third in."""

    async def doing() -> int:
        newest, killed = 1, -1
        for at in range(count):
            begun = time.monotonic()
            while True:
                through = next(number for number in (3, 4) if number in fleet.running)
                try:
                    newest = await fleet.put(limit_text(1000 + at), via=through)
                    break
                except (
                    ConfigUnreachableError,
                    ConfigRefusedError,
                ):  # it may have come to be: then nothing is lost by it
                    await asyncio.sleep(0.1)
            if at == count // 3:
                killed = await fleet.wait_for_leader()
                await fleet.kill(killed)
            if at == 2 * count // 3:
                await fleet.start(killed)
            await asyncio.sleep(max(0.0, every_s - (time.monotonic() - begun)))
        return newest

    return doing()


def test_twenty_changes_in_five_seconds_beside_a_killed_leader(tmp_path):
    async def story(fleet: Fleet) -> None:
        assert await fleet.put(limit_text(900)) == 1
        newest = await changes(fleet, 20, 0.25)
        assert newest >= 21
        await fleet.wait_for_version(newest)

    run_scenario(story, tmp_path)


@pytest.mark.long
def test_a_hundred_changes_in_a_minute_beside_a_killed_leader(tmp_path):
    async def story(fleet: Fleet) -> None:
        assert await fleet.put(limit_text(900)) == 1
        newest = await changes(fleet, 100, 0.6)
        assert newest >= 101
        await fleet.wait_for_version(newest)

    run_scenario(story, tmp_path)


def test_the_commands_tell_an_operator_what_came_of_it_and_what_to_do(tmp_path):
    async def story(fleet: Fleet) -> None:
        file = tmp_path / "change.rec"
        file.write_text(limit_text(800))
        at = ("--at", fleet.admin_address(3))
        code, told, _ = await commanded("put", str(file), *at)
        assert code == 0 and told.startswith("version 1 "), told
        code, told, _ = await commanded("wait", "1", *at)
        assert code == 0 and "in force at all living members" in told, told
        file.write_text("bounds: most_body: 1000000\n")
        code, told, _ = await commanded("put", str(file), *at)
        assert code == 1 and "bounds.most_body" in told and "serve on" in told, told
        file.write_text("plans: plan: {limit_rate: \n")
        code, told, _ = await commanded("put", str(file), *at)
        assert code == 2 and str(file) in told, told
        file.write_text(limit_text(700))
        assert (await commanded("put", str(file), *at))[0] == 0
        await fleet.wait_for_version(2)
        code, told, _ = await commanded("show", *at)
        assert code == 0 and len(told.splitlines()) == 3 and "version 2" in told, told
        code, told, _ = await commanded("show", "1", *at)
        assert (code, told) == (0, limit_text(800))
        code, told, _ = await commanded("back", "1", *at)
        assert code == 0 and told.startswith("version 3 "), told
        assert (await fleet.show(3))["text"] == limit_text(800)
        assert (await commanded("show", "9", *at))[0] == 1
        await fleet.wait_for_version(3)
        await fleet.kill(4)
        for number in (1, 2):  # no majority is left
            await fleet.kill(number)
        code, told, took = await commanded("put", str(file), *at)
        assert code == 3 and "serve on" in told and "voters" in told, told
        assert took < 2.0, took
        code, told, _ = await commanded("show", *at)
        assert code == 3 and "in force" in told and "version 3" in told, told
        assert await fleet.version_numbers() == {0: 3, 3: 3}
        code, told, _ = await commanded("wait", "4", *at, "--within-s", "0.5")
        assert code == 1 and "d3" in told and "on version 3" in told and "d4" in told, told
        await fleet.start(1)
        code, told, took = await commanded("put", str(file), "--at", fleet.admin_address(1))
        while code == 3 and took < 10.0:
            code, told, _ = await commanded("put", str(file), "--at", fleet.admin_address(1))
        assert code == 0 and told.startswith("version 4 "), told
        code, told, _ = await commanded("wait", "4", *at, "--within-s", "6")
        assert code == 0 and "not there: d4" in told, told

    run_scenario(story, tmp_path)


def test_a_text_that_takes_long_to_judge_is_waited_for_while_a_majority_answers(tmp_path):
    async def story(fleet: Fleet) -> None:
        begun = time.monotonic()
        told = await send_admin_request(
            fleet.admin_address(3), PutRequest("one", limit_text(20202), "a story")
        )
        assert told["number"] == 1 and time.monotonic() - begun > REQUEST_TIMEOUT_S
        await fleet.wait_for_version(1, 10.0)
        leader = await fleet.wait_for_leader()
        asked = asyncio.create_task(
            send_admin_request(fleet.admin_address(3), PutRequest("two", limit_text(20202) + "\n", "a story"))
        )
        await asyncio.sleep(0.5)
        begun = time.monotonic()
        for number in {0, 1, 2} - {leader}:
            await fleet.kill(number)
        with pytest.raises(ConfigUnreachableError, match="may yet have become a version"):
            await asked
        assert time.monotonic() - begun < 3.0

    run_scenario(story, tmp_path, code_before_start=dict.fromkeys((0, 1, 2), SLOW))


def test_parts_that_move_settle_once_all_of_record_have_said_so_and_not_before(tmp_path):
    async def story(fleet: Fleet) -> None:
        assert await fleet.put(limit_text(900)) == 1
        await fleet.wait_for_version(1)
        fewer, more = (limit_text(900) + f"volumes: v: hosts: {count}\n" for count in (4, 5))
        assert await fleet.put(fewer) == 2

        async def settled() -> bool:
            told = [await fleet.status(number) for number in fleet.running]
            return all(one["settled"] and one["number"] == 2 for one in told)

        await fleet.wait_until(settled, MAX_SPREAD_S)
        await fleet.kill(4)
        assert await fleet.put(more) == 3
        await fleet.wait_for_version(3)
        await asyncio.sleep(2.0)
        assert not any([(await fleet.status(number))["settled"] for number in fleet.running])
        with pytest.raises(ConfigRefusedError, match="parts still move"):
            await fleet.put(fewer)
        assert await fleet.put(more + "cold: warm_ms: 9000\n") == 4  # what moves none passes
        assert "dead" in (await fleet.missing(4))["d4"] or "cut off" in (await fleet.missing(4))["d4"]
        await fleet.start(4)
        await fleet.wait_for_version(4)

        async def settled_at_last() -> bool:
            told = [await fleet.status(number) for number in fleet.running]
            return all(one["settled"] and one["number"] == 4 for one in told)

        await fleet.wait_until(settled_at_last, MAX_SPREAD_S)

    run_scenario(story, tmp_path)


def test_all_become_sure_where_there_is_no_version_yet_and_nobody_tells_anything(tmp_path):
    async def story(fleet: Fleet) -> None:
        async def sure() -> bool:
            return all([(await fleet.status(number))["sure"] for number in fleet.running])

        await fleet.wait_until(sure, MAX_SPREAD_S)
        assert await fleet.version_numbers() == dict.fromkeys(range(5), 0)

    run_scenario(story, tmp_path)


def test_one_that_left_is_not_sure_of_what_it_kept_until_others_say_so(tmp_path):
    async def story(fleet: Fleet) -> None:
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
        await fleet.wait_until(settled, MAX_SPREAD_S)  # it is passed over: it left by its own word
        fleet.ways.act("cut", {"on": "4"})
        fleet.ways.streams_refused_from.add(4)
        await fleet.start(4)
        told = await fleet.status(4)
        assert (told["number"], told["sure"]) == (1, False)  # else it used a part that others have now
        fleet.ways.streams_refused_from.clear()
        fleet.ways.act("heal", {"on": "4"})
        await fleet.wait_for_version(2)
        assert (await fleet.status(4))["sure"]
        await fleet.kill(4)  # that is no leaving
        await fleet.start(4)
        assert (await fleet.status(4))["sure"]

    run_scenario(story, tmp_path)


def test_nobody_at_the_place_is_told_so():
    code, told, took = command("show", "--at", "127.0.0.1:9")
    assert code == 3 and "does not answer" in told and took < 3.0
    code, told, _ = command("show", "--at", "nowhere")
    assert code == 2
