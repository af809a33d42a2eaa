"""Tests of `memory_budget`: the size of shares, and the fair use of a share."""

from itertools import pairwise

import pytest

from function_router.config import MEBIBYTE, MemoryPlan
from function_router.config.memory import BASE_BYTES, RESIDENT_PER_COUNTED_BYTE
from function_router.net.memory_budget import MemoryAccount, MemoryBudget, MemoryOwner, MemoryShare

CAPACITY_BYTES = 1_000
MAX_HOLDERS = 25
GUARANTEED_BYTES = 20  # half of the capacity, in equal parts
POOL_BYTES = 500


@pytest.fixture
def share():
    return MemoryShare(MemoryOwner.REQUESTS, CAPACITY_BYTES, MAX_HOLDERS)


def fill(account, entry_bytes):
    """Add entries to an account until it allows no further one."""
    while account.allows(entry_bytes):
        account.charge(entry_bytes)


@pytest.mark.parametrize("sockets", [256, 1024])
@pytest.mark.parametrize("memory_mb", [32, 64, 96, 192])
def test_full_stores_fit_into_the_configured_limit(memory_mb, sockets):
    plan = MemoryPlan.for_limits(memory_mb, sockets)

    counted_bytes = sum(share.capacity_bytes for share in MemoryBudget(plan, 1, 1).shares)
    counted_bytes += plan.functions_bytes + plan.probes_bytes

    assert BASE_BYTES + RESIDENT_PER_COUNTED_BYTE * counted_bytes <= memory_mb * MEBIBYTE


def test_larger_limit_gives_each_store_no_less():
    plans = [MemoryPlan.for_limits(memory_mb, 1024) for memory_mb in (32, 64, 96, 192)]

    for smaller, larger in pairwise(plans):
        for name in MemoryPlan.__struct_fields__:
            assert getattr(smaller, name) <= getattr(larger, name)


def test_single_holder_gets_its_guarantee_and_a_small_part_of_the_pool(share):
    fill(MemoryAccount(share), 1)

    assert share.used_bytes == GUARANTEED_BYTES + POOL_BYTES // 9  # an eighth of the rest


def test_many_greedy_holders_leave_a_part_of_the_pool(share):
    for _ in range(10):
        fill(MemoryAccount(share), 1)

    modest = MemoryAccount(share)

    assert modest.allows(GUARANTEED_BYTES + 10)


def test_greedy_holders_leave_its_guarantee_to_one_that_has_nothing(share):
    for _ in range(MAX_HOLDERS - 1):
        fill(MemoryAccount(share), 1)

    modest = MemoryAccount(share)
    fill(modest, 1)

    assert modest.used_bytes >= GUARANTEED_BYTES
    assert not share.is_exceeded


def test_closed_account_frees_what_it_used(share):
    account = MemoryAccount(share)
    account.resize(300)
    account.resize(200)
    used_before = share.used_bytes

    account.close()

    assert (used_before, share.used_bytes, share.peak_bytes) == (200, 0, 300)


def test_holder_is_over_its_threshold_when_others_have_taken_the_rest(share):
    account = MemoryAccount(share)
    account.resize(GUARANTEED_BYTES + 50)
    was_over = account.is_over_threshold()

    MemoryAccount(share).resize(GUARANTEED_BYTES + 150)

    assert (was_over, account.is_over_threshold()) == (False, True)
