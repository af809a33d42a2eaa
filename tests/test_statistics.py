"""Tests of `statistics`."""

import math

import pytest

from function_router.statistics import ArrivalRate, DecayingCounter, SlidingMedian, SlidingWindow


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


def test_median_drops_samples_older_than_the_window():
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


def test_median_is_cached_until_it_is_refreshed():
    samples = SlidingMedian(window_ms=1000.0, max_samples=10, refresh_ms=50.0)
    samples.add(0.0, 1.0)
    samples.median(0.0)
    samples.add(10.0, 5.0)

    assert samples.median(49.0) == 1.0
    assert samples.median(50.0) == 5.0


def test_cleared_median_starts_over_at_once():
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


def test_counter_adds_to_the_decayed_count():
    counter = DecayingCounter(window_ms=1000.0)
    counter.add(0.0)
    counter.add(1000.0)

    assert counter.value(1000.0) == pytest.approx(1.0 + 1.0 / math.e)


def test_counter_can_be_reset():
    counter = DecayingCounter(window_ms=1000.0)
    counter.add(0.0)

    counter.reset(500.0)

    assert counter.value(500.0) == 0.0


def window_of(*times_ms):
    window = SlidingWindow()
    for time_ms in times_ms:
        window.add(time_ms)
    return window


@pytest.mark.parametrize(("inclusive", "kept"), [(False, [2.0, 3.0]), (True, [3.0])])
def test_sliding_window_drops_older_entries(inclusive, kept):
    window = window_of(1.0, 2.0, 3.0)

    window.remove_before(2.0, inclusive=inclusive)

    assert list(window) == kept
    assert len(window) == len(kept)


def test_sliding_window_discards_one_of_equal_timestamps():
    window = window_of(1.0, 2.0, 2.0)

    window.discard(2.0)
    window.discard(9.0)

    assert list(window) == [1.0, 2.0]
    window.clear()
    assert len(window) == 0


def arrivals_at(*times_ms):
    arrivals = ArrivalRate(decay_ms=1000.0, burst=3)
    for time_ms in times_ms:
        arrivals.add(time_ms)
    return arrivals


def test_arrival_rate_decays():
    arrivals = arrivals_at(0.0)

    assert arrivals.rate(0.0, since_ms=0.0, min_interval_ms=100.0) == pytest.approx(1 / 100)
    assert arrivals.rate(1000.0, since_ms=0.0, min_interval_ms=100.0) == pytest.approx(1 / math.e / 1000)
    assert arrivals.decay_factor(1000.0) == pytest.approx(1 / math.e)


def test_arrivals_in_a_burst_are_rated_separately():
    arrivals = arrivals_at(0.0, 10.0, 20.0)

    assert arrivals.rate(20.0, since_ms=-9e9, min_interval_ms=5.0) == 3 / 20
    assert arrivals.rate(20.0, since_ms=-9e9, min_interval_ms=100.0) == 3 / 100


def test_last_arrival_is_minus_infinity_before_the_first():
    assert arrivals_at().last_ms == -math.inf
    assert arrivals_at().decay_factor(5.0) == 1.0
    assert arrivals_at(1.0, 7.0).last_ms == 7.0
