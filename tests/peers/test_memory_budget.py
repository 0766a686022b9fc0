"""The memory budget for bodies: limits hold, no memory leaks, and waiting work is granted by value.

A counting error here would either stop the process from accepting bodies, once lost memory adds up,
or let bodies take more memory than there is. Admission of connections that never identify
themselves is tested here too.
"""

from __future__ import annotations

from hypothesis import given
from hypothesis import strategies as st

from cherrygrade.peers.connection_admission import ConnectionAdmission
from cherrygrade.peers.memory_budget import (
    Account,
    MemoryBudget,
    PrepaidCredit,
    Reservation,
    ReservationState,
    VolumeUsage,
)
from cherrygrade.peers.slow_peer_escalation import Step


def new_budget(**more) -> MemoryBudget:
    return MemoryBudget(
        **{
            "capacity_bytes": 100,
            "batch_capacity_bytes": 60,
            "max_peer_bytes": 50,
            "max_slow_bytes": 20,
            "value_within_quota": 0.5,
            "value_beyond_quota": 0.1,
        }
        | more
    )


def reservation(length: int, *, account=None, usage=None, pressed=False, value=1.0) -> Reservation:
    return Reservation(account or Account(), usage or VolumeUsage(1.0), length, pressed, value, None)


def grant_waiting(budget: MemoryBudget) -> list[Reservation]:
    granted: list[Reservation] = []
    budget.grant_waiting(granted)
    return granted


def test_batch_work_cannot_take_memory_reserved_for_pressed_work():
    budget = new_budget()
    assert (
        budget.try_reserve(reservation(40))
        and budget.try_reserve(reservation(20))
        and not budget.try_reserve(reservation(1))
    )
    assert budget.try_reserve(reservation(30, pressed=True)) and not budget.try_reserve(
        reservation(11, pressed=True)
    )


def test_higher_value_is_granted_first_and_new_work_does_not_overtake_waiting_work():
    budget = new_budget()
    full = reservation(60)
    assert budget.try_reserve(full)
    low, high = reservation(50, value=1.0), reservation(30, value=3.0)
    for one in (low, high):
        assert not budget.try_reserve(one)
        budget.enqueue(one)
    assert not grant_waiting(budget)
    budget.unpin(full)
    assert grant_waiting(budget) == [high]  # the other one does not fit beside it
    small = reservation(1, value=0.1)
    assert not budget.try_reserve(small)  # it would fit, but another reservation waits already
    budget.cancel(low)
    budget.enqueue(small)
    assert grant_waiting(budget) == [small]


def test_volume_beyond_its_share_waits_behind_volume_within_its_share():
    budget = new_budget(batch_capacity_bytes=100, max_peer_bytes=100)
    greedy, modest = VolumeUsage(1.0), VolumeUsage(1.0)
    full, own = reservation(90, usage=greedy), reservation(10, usage=modest)
    assert budget.try_reserve(full) and budget.try_reserve(own)
    first, second = reservation(20, usage=greedy, value=2.0), reservation(20, usage=modest, value=1.0)
    budget.enqueue(first)
    budget.enqueue(second)
    budget.unpin(own)
    budget.unpin(full)
    assert grant_waiting(budget) == [second, first]


def test_limit_of_a_peer_keeps_out_only_its_own_reservations():
    budget, hog = new_budget(), Account()
    first = reservation(45, account=hog)
    assert budget.try_reserve(first)
    waiting = [reservation(10, account=hog) for _ in range(3)]
    for one in waiting:
        assert not budget.try_reserve(one)
        budget.enqueue(one)
    assert grant_waiting(budget) == [] and budget.try_reserve(reservation(15))
    budget.unpin(first)
    assert grant_waiting(budget) == waiting  # one release grants all that now fit


def test_slow_peers_share_a_limit_and_a_narrowed_peer_has_an_eighth_of_its_own():
    budget, slow, other = new_budget(), Account(), Account()
    budget.set_step(slow, Step.HELD)
    budget.set_step(other, Step.NARROW)
    assert budget.try_reserve(reservation(15, account=slow)) and not budget.try_reserve(
        reservation(10, account=other)
    )
    blocked = reservation(10, account=other)
    budget.enqueue(blocked)
    assert not grant_waiting(budget) and budget.try_reserve(reservation(20))
    budget.set_step(other, Step.FREE)
    assert grant_waiting(budget) == [blocked]
    budget.set_step(other, Step.NARROW)
    assert not budget.try_reserve(reservation(1, account=other))  # it uses 10 of 50 / 8 already


def test_body_above_the_peer_limit_is_granted_if_it_is_the_only_one_of_the_peer():
    budget = new_budget(max_peer_bytes=10)
    assert budget.try_reserve(reservation(60)) and not budget.try_reserve(reservation(1))


def test_prepaid_credit_covers_bodies_of_one_workload_and_volume_up_to_its_size():
    credit = PrepaidCredit(reservation(100, pressed=True), "read", "v")
    assert credit.spend("read", "v", 40, 0) and credit.spend("read", "v", 40, 0)
    assert not credit.spend("read", "v", 40, 0) and not credit.spend("read", "w", 1, 0)
    credit.spent -= 40  # the body was handed to the connection, and counts as unsent bytes now
    assert not credit.spend("read", "v", 40, 41) and credit.spend("read", "v", 40, 20)


def test_memory_is_not_plentiful_beyond_half_of_it_or_while_work_waits():
    budget = new_budget()
    assert budget.is_plentiful(50) and not budget.is_plentiful(51)
    budget.try_reserve(reservation(60))
    budget.enqueue(reservation(60))
    assert not budget.is_plentiful(0)


lengths = st.integers(1, 60)
operations = st.lists(
    st.one_of(
        st.tuples(st.just("come"), st.integers(0, 3), lengths, st.booleans(), st.sampled_from([1.0, 3.0])),
        st.tuples(st.just("end"), st.integers(0, 50)),
        st.tuples(st.just("pin"), st.integers(0, 50)),
        st.tuples(st.just("leave"), st.integers(0, 50)),
        st.tuples(st.just("mark"), st.integers(0, 3), st.sampled_from(list(Step))),
    ),
    max_size=120,
)


@given(operations)
def test_no_order_of_operations_exceeds_a_limit_or_leaks_memory(operations):
    budget, accounts, usages = (
        new_budget(),
        [Account() for _ in range(4)],
        [VolumeUsage(1.0), VolumeUsage(3.0)],
    )
    granted: list[Reservation] = []
    waiting: list[Reservation] = []

    def settle() -> None:
        for one in grant_waiting(budget):
            waiting.remove(one)
            granted.append(one)

    for operation, *parts in operations:
        if operation == "come":
            peer, length, pressed, value = parts
            one = reservation(
                length, account=accounts[peer], usage=usages[peer % 2], pressed=pressed, value=value
            )
            if budget.try_reserve(one):
                granted.append(one)
            else:
                budget.enqueue(one)
                waiting.append(one)
        elif operation == "mark":
            budget.set_step(accounts[parts[0]], parts[1])
        elif operation == "leave" and waiting:
            budget.cancel(waiting.pop(parts[0] % len(waiting)))
        elif operation in ("end", "pin") and granted:
            one = granted[parts[0] % len(granted)]
            if operation == "pin":
                one.pin()
            else:
                budget.unpin(one)
                if one.state is ReservationState.RELEASED:
                    granted.remove(one)
        settle()
        assert budget.used_bytes == sum(one.length for one in granted) <= budget.capacity_bytes
        assert (
            budget.batch_bytes
            == sum(one.length for one in granted if not one.is_pressed)
            <= budget.batch_capacity_bytes
        )
        assert budget.slow_bytes == sum(one.length for one in granted if one.account.step)
        assert budget.waiting_count == len(waiting)
        assert all(account.used_bytes >= 0 for account in accounts)
    # Once the granted reservations are released, each waiting one is granted, and nothing is left.
    while granted:
        one = granted.pop(0)
        while one.state is not ReservationState.RELEASED:
            budget.unpin(one)
        settle()
    assert not waiting and not budget.waiting_count
    assert (
        budget.used_bytes == budget.batch_bytes == budget.slow_bytes == 0
        and abs(budget._active_weight) < 1e-9
    )
    assert all(not account.used_bytes and not account.waiting for account in accounts)


def test_clients_that_never_identify_themselves_do_not_lock_out_others():
    admission: ConnectionAdmission[int] = ConnectionAdmission(max_connections=8, max_unidentified=2)
    assert admission.admit(1, 0) == (True, None) and admission.admit(2, 1) == (True, None)
    assert admission.admit(3, 2) == (True, 1)  # the oldest unidentified connection is closed
    admission.mark_identified(2)
    assert admission.admit(4, 2) == (True, None)
    assert admission.admit(5, 8) == (True, 3)  # every place is taken, one by an unidentified connection
    admission.mark_identified(4)
    admission.mark_identified(5)
    assert admission.admit(6, 8) == (False, None)
