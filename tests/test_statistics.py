"""Tests of `statistics`."""

import math

import pytest

from function_router.statistics import (
    DecayingCounter,
    SlidingMedian,
    TokenBucket,
    hash64,
    mix64,
    rendezvous_rank,
)

MAX_64_BITS = 2**64 - 1


@pytest.mark.parametrize(
    ("bits", "mixed"),
    [
        (0, 0),
        (1, 0x5692161D100B05E5),
        (0x9E3779B97F4A7C15, 0xE220A8397B1DCDAF),  # splitmix64's first output for the seed 0
        (MAX_64_BITS, 0xB4D055FCF2CBBD7B),
    ],
)
def test_mix64_is_the_finalizer_of_splitmix64(bits, mixed):
    assert mix64(bits) == mixed


@pytest.mark.parametrize(
    ("name", "expected"),
    [("", 0xE4A6A0577479B2B4), ("view", 0x2C622AF1D043F3AF), ("s-00c41f7a", 0xE11642F087C84F23)],
)
def test_hash64_is_the_same_in_every_process(name, expected):
    assert hash64(name) == expected


def first_node(key, weights):
    """The node that comes first for a key, of nodes with weights."""
    return min(weights, key=lambda node: rendezvous_rank(key, node, weights[node]))


@pytest.fixture(scope="module")
def keys():
    return [hash64(f"key-{number}") for number in range(4000)]


@pytest.fixture(scope="module")
def weights():
    return {hash64(f"node-{number}"): weight for number, weight in enumerate([1.0, 1.0, 2.0, 4.0])}


def test_rendezvous_rank_gives_each_node_its_share_by_weight(keys, weights):
    first = [first_node(key, weights) for key in keys]

    shares = [first.count(node) / len(keys) for node in weights]
    assert shares == pytest.approx([0.125, 0.125, 0.25, 0.5], abs=0.03)


def test_removing_a_node_moves_only_its_own_keys(keys, weights):
    removed, *_ = weights
    remaining = {node: weight for node, weight in weights.items() if node != removed}

    before = [first_node(key, weights) for key in keys]
    after = [first_node(key, remaining) for key in keys]

    assert removed in before
    assert [node for node in after if node == removed] == []
    assert [new for old, new in zip(before, after, strict=True) if old != removed] == [
        old for old in before if old != removed
    ]


def test_raising_a_weight_takes_keys_from_others_only(keys, weights):
    [raised, *_] = weights
    before = [first_node(key, weights) for key in keys]
    after = [first_node(key, weights | {raised: 3.0}) for key in keys]

    moved = [(old, new) for old, new in zip(before, after, strict=True) if old != new]
    assert moved
    assert {new for _, new in moved} == {raised}


def test_rendezvous_rank_is_in_inverse_proportion_to_weight():
    rank = rendezvous_rank(1, 2, 1.0)

    assert rank == pytest.approx(2.133182986417702)
    assert rendezvous_rank(1, 2, 2.0) == rank / 2


@pytest.mark.parametrize(
    ("values", "median"),
    [([], None), ([5.0], 5.0), ([3.0, 1.0], 3.0), ([9.0, 1.0, 5.0], 5.0), ([4.0, 1.0, 3.0, 2.0], 3.0)],
)
def test_median_is_the_upper_one(values, median):
    samples = SlidingMedian(window_ms=1000.0, max_samples=10, refresh_ms=0.0)
    for value in values:
        samples.add(0.0, value)

    assert samples.median(0.0) == median
    assert bool(samples) == bool(values)


def test_median_forgets_samples_older_than_the_window():
    samples = SlidingMedian(window_ms=1000.0, max_samples=10, refresh_ms=0.0)
    samples.add(0.0, 100.0)
    samples.add(600.0, 1.0)

    assert samples.median(1000.0) == 100.0
    assert samples.median(1001.0) == 1.0
    assert samples.median(1601.0) is None
    assert not samples


def test_median_keeps_the_newest_samples_only():
    samples = SlidingMedian(window_ms=1000.0, max_samples=3, refresh_ms=0.0)
    for value in (100.0, 200.0, 1.0, 2.0, 3.0):
        samples.add(0.0, value)

    assert samples.median(0.0) == 2.0


def test_median_stands_until_it_is_refreshed():
    samples = SlidingMedian(window_ms=1000.0, max_samples=10, refresh_ms=50.0)
    samples.add(0.0, 1.0)
    samples.median(0.0)
    samples.add(10.0, 5.0)

    assert samples.median(49.0) == 1.0
    assert samples.median(50.0) == 5.0


def test_cleared_median_starts_anew_at_once():
    samples = SlidingMedian(window_ms=1000.0, max_samples=10, refresh_ms=50.0)
    samples.add(0.0, 1.0)
    samples.median(0.0)

    samples.clear()

    assert not samples
    assert samples.median(1.0) is None


def test_counter_decays_to_1_over_e_in_a_window():
    counter = DecayingCounter(window_ms=1000.0)
    counter.reset(0.0, 10.0)

    assert counter.value(0.0) == 10.0
    assert counter.value(1000.0) == pytest.approx(10.0 / math.e)
    assert counter.value(2000.0) == pytest.approx(10.0 / math.e**2)


def test_counter_adds_to_what_is_left():
    counter = DecayingCounter(window_ms=1000.0)
    counter.add(0.0)
    counter.add(1000.0)

    assert counter.value(1000.0) == pytest.approx(1.0 + 1.0 / math.e)


def test_counter_can_be_reset():
    counter = DecayingCounter(window_ms=1000.0)
    counter.add(0.0)

    counter.reset(500.0)

    assert counter.value(500.0) == 0.0


def test_token_bucket_gives_what_it_holds_and_refills_at_the_rate():
    bucket = TokenBucket(now_ms=0.0, tokens=2.0)

    taken_at_once = [bucket.try_take(0.0, rate_per_s=10.0, capacity=5.0) for _ in range(3)]
    taken_later = [bucket.try_take(now_ms, rate_per_s=10.0, capacity=5.0) for now_ms in (99.0, 101.0, 102.0)]

    assert taken_at_once == [True, True, False]
    assert taken_later == [False, True, False]


def test_token_bucket_holds_its_capacity_at_most():
    bucket = TokenBucket(now_ms=0.0, tokens=0.0)

    taken = [bucket.try_take(60_000.0, rate_per_s=10.0, capacity=3.0) for _ in range(4)]

    assert taken == [True, True, True, False]
