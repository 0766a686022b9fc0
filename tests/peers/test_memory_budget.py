"""The store of bytes: never below nothing, nothing leaks, kept room holds, value and due before turn."""

from __future__ import annotations

from hypothesis import given
from hypothesis import strategies as st

from cherrygrade.peers.connection_admission import ConnectionAdmission
from cherrygrade.peers.memory_budget import (
    Account,
    MemoryBudget,
    PrepaidCredit,
    Reservation,
    State,
    VolumeUsage,
)
from cherrygrade.peers.slow_peer_escalation import Step


def store(**more) -> MemoryBudget:
    return MemoryBudget(
        **{"room": 100, "batch_room": 60, "peer": 50, "slow": 20, "in_share": 0.5, "beyond": 0.1} | more
    )


def claim(length: int, *, account=None, share=None, pressed=False, value=1.0) -> Reservation:
    return Reservation(account or Account(), share or VolumeUsage(1.0), length, pressed, value, None)


def admitted(kept: MemoryBudget) -> list[Reservation]:
    into: list[Reservation] = []
    kept.admit(into)
    return into


def test_batch_never_takes_the_room_kept_for_pressed_work():
    kept = store()
    assert kept.take(claim(40)) and kept.take(claim(20)) and not kept.take(claim(1))
    assert kept.take(claim(30, pressed=True)) and not kept.take(claim(11, pressed=True))


def test_value_goes_in_before_who_came_first_and_what_waits_is_not_passed():
    kept = store()
    full = claim(60)
    assert kept.take(full)
    cheap, dear = claim(50, value=1.0), claim(30, value=3.0)
    for one in (cheap, dear):
        assert not kept.take(one)
        kept.wait(one)
    assert not admitted(kept)
    kept.unpin(full)
    assert admitted(kept) == [dear]  # the cheap one does not fit beside it
    small = claim(1, value=0.1)
    assert not kept.take(small)  # there is room, but not past the one that waits
    kept.drop(cheap)
    kept.wait(small)
    assert admitted(kept) == [small]


def test_what_is_beyond_its_volumes_share_of_the_store_waits_behind_what_is_due():
    kept = store(batch_room=100, peer=100)
    greedy, modest = VolumeUsage(1.0), VolumeUsage(1.0)
    full, own = claim(90, share=greedy), claim(10, share=modest)
    assert kept.take(full) and kept.take(own)
    first, second = claim(20, share=greedy, value=2.0), claim(20, share=modest, value=1.0)
    kept.wait(first)
    kept.wait(second)
    kept.unpin(own)
    kept.unpin(full)
    assert admitted(kept) == [second, first]


def test_a_peers_own_most_keeps_out_its_own_claims_only():
    kept, hog = store(), Account()
    first = claim(45, account=hog)
    assert kept.take(first)
    waits = [claim(10, account=hog) for _ in range(3)]
    for one in waits:
        assert not kept.take(one)
        kept.wait(one)
    assert admitted(kept) == [] and kept.take(claim(15))
    kept.unpin(first)
    assert admitted(kept) == waits  # one release lets in all that now fit


def test_slow_peers_share_a_most_and_a_narrowed_one_has_an_eighth():
    kept, slow, other = store(), Account(), Account()
    kept.mark(slow, Step.HELD)
    kept.mark(other, Step.NARROW)
    assert kept.take(claim(15, account=slow)) and not kept.take(claim(10, account=other))
    blocked = claim(10, account=other)
    kept.wait(blocked)
    assert not admitted(kept) and kept.take(claim(20))
    kept.mark(other, Step.FREE)
    assert admitted(kept) == [blocked]
    kept.mark(other, Step.NARROW)
    assert not kept.take(claim(1, account=other))  # 10 in already, of 50 / 8


def test_a_body_larger_than_its_peers_most_comes_in_alone():
    kept = store(peer=10)
    assert kept.take(claim(60)) and not kept.take(claim(1))


def test_a_purse_pays_for_small_bodies_of_one_volume_up_to_what_it_holds():
    purse = PrepaidCredit(claim(100, pressed=True), "read", "v")
    assert purse.spend("read", "v", 40, 0) and purse.spend("read", "v", 40, 0)
    assert not purse.spend("read", "v", 40, 0) and not purse.spend("read", "w", 1, 0)
    purse.spent -= 40  # handed over, and it waits for the client: it counts as before
    assert not purse.spend("read", "v", 40, 41) and purse.spend("read", "v", 40, 20)


def test_purses_are_given_out_in_plenty_only():
    kept = store()
    assert kept.plenty(50) and not kept.plenty(51)
    kept.take(claim(60))
    kept.wait(claim(60))
    assert not kept.plenty(0)


lengths = st.integers(1, 60)
acts = st.lists(
    st.one_of(
        st.tuples(st.just("come"), st.integers(0, 3), lengths, st.booleans(), st.sampled_from([1.0, 3.0])),
        st.tuples(st.just("end"), st.integers(0, 50)),
        st.tuples(st.just("pin"), st.integers(0, 50)),
        st.tuples(st.just("leave"), st.integers(0, 50)),
        st.tuples(st.just("mark"), st.integers(0, 3), st.sampled_from(list(Step))),
    ),
    max_size=120,
)


@given(acts)
def test_no_interleaving_takes_it_below_nothing_over_its_bounds_or_leaks(acts):
    kept, accounts, shares = store(), [Account() for _ in range(4)], [VolumeUsage(1.0), VolumeUsage(3.0)]
    inside: list[Reservation] = []
    waiting: list[Reservation] = []

    def settle() -> None:
        for one in admitted(kept):
            waiting.remove(one)
            inside.append(one)

    for act, *parts in acts:
        if act == "come":
            who, length, pressed, value = parts
            one = claim(length, account=accounts[who], share=shares[who % 2], pressed=pressed, value=value)
            if kept.take(one):
                inside.append(one)
            else:
                kept.wait(one)
                waiting.append(one)
        elif act == "mark":
            kept.mark(accounts[parts[0]], parts[1])
        elif act == "leave" and waiting:
            kept.drop(waiting.pop(parts[0] % len(waiting)))
        elif act in ("end", "pin") and inside:
            one = inside[parts[0] % len(inside)]
            if act == "pin":
                one.pin()
            else:
                kept.unpin(one)
                if one.state is State.GONE:
                    inside.remove(one)
        settle()
        assert kept.used_bytes == sum(one.length for one in inside) <= kept.capacity_bytes
        assert (
            kept.batch_bytes
            == sum(one.length for one in inside if not one.pressed)
            <= kept.batch_capacity_bytes
        )
        assert kept.slow_bytes == sum(one.length for one in inside if one.account.step)
        assert kept.waiting_count == len(waiting)
        assert all(account.used_bytes >= 0 for account in accounts)
    while inside:  # once what is in has ended, all that waits comes in, and nothing is left
        one = inside.pop(0)
        while one.state is not State.GONE:
            kept.unpin(one)
        settle()
    assert not waiting and not kept.waiting_count
    assert kept.used_bytes == kept.batch_bytes == kept.slow_bytes == 0 and abs(kept._weights) < 1e-9
    assert all(not account.used_bytes and not account.waiting for account in accounts)


def test_a_crowd_that_never_speaks_shuts_nobody_out():
    arrivals: ConnectionAdmission[int] = ConnectionAdmission(max_connections=8, max_unidentified=2)
    assert arrivals.admit(1, 0) == (True, None) and arrivals.admit(2, 1) == (True, None)
    assert arrivals.admit(3, 2) == (True, 1)  # the oldest silent one goes
    arrivals.mark_identified(2)
    assert arrivals.admit(4, 2) == (True, None)
    assert arrivals.admit(5, 8) == (True, 3)  # every place is taken, one by a silent one
    arrivals.mark_identified(4)
    arrivals.mark_identified(5)
    assert arrivals.admit(6, 8) == (False, None)
