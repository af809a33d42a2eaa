"""Tests of the limits on start orders: their rate per request, and the number of pending ones."""

from helpers.decision_harness import DecisionHarness, actions_of, start_orders

from function_router.decisions.actions import EnsureInstances
from function_router.decisions.arrivals import MAX_START_ORDER_DELAY_MS, Arrivals
from function_router.decisions.events import Endpoint, RequestCancelled
from function_router.decisions.records import Function, Worker
from function_router.decisions.settings import Settings
from function_router.decisions.start_order_limits import (
    INITIAL_PENDING_ORDERS,
    LONG_START_FACTOR,
    StartOrderLimits,
)

FUNCTION = Function("f", "idempotent", 1, None, 0)
WORKER = Worker(1, Endpoint(1), 0)


def test_start_orders_are_limited_by_the_number_of_requests():
    harness = DecisionHarness(
        start_order_window_ms=5000.0, start_order_burst=2.0, start_orders_per_request=0.2
    )

    for number in range(9):
        harness.answer_probes(harness.request(f"r{number}", function=f"f{number}"))
    assert len(start_orders(harness.all_actions())) == 3  # 2 + 0.2 x 9

    harness.answer_probes(harness.request("r9", function="f9"))
    harness.run_timer_until(40)
    assert len(start_orders(harness.all_actions())) == 4


def test_cancelled_requests_allow_no_start_orders():
    harness = DecisionHarness(
        workers=8, start_order_window_ms=5000.0, start_order_burst=2.0, start_orders_per_request=0.3
    )
    for number in range(200):
        harness.request(f"gone{number}", function="gone")
    harness.feed(*(RequestCancelled(f"gone{number}") for number in range(200)))
    harness.now_ms += 100.0
    actions_before = len(harness.all_actions())

    for number in range(10):
        harness.request(f"r{number}", function=f"f{number}")
        harness.run_timer_until(harness.now_ms + 60)

    starts = start_orders(harness.all_actions()[actions_before:])
    assert 0 < len(starts) <= 2 + 0.3 * 10


def test_slow_starts_lower_the_limit_of_start_orders_and_timely_ones_raise_it():
    harness = DecisionHarness()
    initial_limit = harness.router.start_order_limits.pending_limit.value

    orders = actions_of(
        harness.answer_probes(harness.request("r1", expected_start_ms=100.0)), EnsureInstances
    )
    harness.now_ms += 1000
    harness.report_instances(orders[0].worker_id, 1)
    lowered_limit = harness.router.start_order_limits.pending_limit.value

    orders = actions_of(harness.answer_probes(harness.request("r2", function="g")), EnsureInstances)
    harness.now_ms += 200
    harness.report_instances(orders[0].worker_id, 1, "g")
    raised_limit = harness.router.start_order_limits.pending_limit.value

    assert lowered_limit < initial_limit
    assert raised_limit > lowered_limit


# --- start orders that are sent later than they were decided ---------------------------------------

LATE_MS = MAX_START_ORDER_DELAY_MS + 1.0


def limits_with_orders(*decided_ms):
    """Return a limit of two start orders in any 5 s, with orders that were decided at the given times."""
    settings = Settings(start_order_window_ms=5000.0, start_order_burst=2.0)
    limits = StartOrderLimits(settings, Arrivals(settings))
    for time_ms in decided_ms:
        limits.record_order(FUNCTION, WORKER, 500.0, time_ms)
    return limits


def test_order_that_is_sent_soon_stays_counted_as_of_its_decision():
    limits = limits_with_orders(100.0)

    counted_ms = limits.revalidate(100.0, now_ms=100.0 + MAX_START_ORDER_DELAY_MS)

    assert counted_ms == 100.0
    assert list(limits.counted) == [100.0]


def test_order_that_is_sent_late_counts_as_of_then():
    limits = limits_with_orders(100.0)

    counted_ms = limits.revalidate(100.0, now_ms=100.0 + LATE_MS)

    assert counted_ms == 100.0 + LATE_MS
    assert list(limits.counted) == [100.0 + LATE_MS]


def test_order_that_is_sent_late_is_not_allowed_if_later_ones_have_used_up_the_limit():
    limits = limits_with_orders(100.0, 5000.0, 5100.0)

    counted_ms = limits.revalidate(100.0, now_ms=5200.0)

    assert counted_ms is None
    assert list(limits.counted) == [5000.0, 5100.0]


def test_no_order_is_allowed_while_the_limit_is_used_up():
    limits = limits_with_orders(100.0, 200.0)

    assert not limits.allows_order(5000.0)
    assert limits.allows_order(5200.0)


def order_and_withdraw(harness, number):
    """Request a new function, start an instance of it, and withdraw the request."""
    harness.answer_probes(harness.request(f"gone{number}", f"gone{number}"))
    harness.feed(RequestCancelled(f"gone{number}"))


# Guards against start orders of requests that were withdrawn, which kept usual functions from starting.
def test_overdue_orders_for_which_nobody_waits_do_not_count_as_pending():
    harness = DecisionHarness(workers=8)
    for number in range(round(INITIAL_PENDING_ORDERS)):
        order_and_withdraw(harness, number)
    blocked = start_orders(harness.answer_probes(harness.request("r1", "usual")))

    harness.run_timer_until(harness.now_ms + LONG_START_FACTOR * 500.0 + 100.0)
    later = start_orders(harness.answer_probes(harness.request("r2", "other")))

    assert (len(blocked), len(later)) == (0, 1)


def test_overdue_orders_for_which_requests_wait_count_as_pending():
    harness = DecisionHarness(workers=8)
    for number in range(round(INITIAL_PENDING_ORDERS)):
        harness.answer_probes(harness.request(f"r{number}", f"f{number}", timeout_ms=60_000.0))

    harness.run_timer_until(harness.now_ms + LONG_START_FACTOR * 500.0 + 100.0)
    later = start_orders(harness.answer_probes(harness.request("r", "other", timeout_ms=60_000.0)))

    assert later == []


def test_late_report_of_an_abandoned_order_does_not_count_twice():
    harness = DecisionHarness(workers=8)
    order_and_withdraw(harness, 0)
    [order] = start_orders(harness.all_actions())
    harness.run_timer_until(harness.now_ms + LONG_START_FACTOR * 500.0 + 100.0)

    harness.report_instances(order.worker_id, 1, order.function)
    for number in range(1, 20):
        harness.answer_probes(harness.request(f"r{number}", f"f{number}"))

    assert len(start_orders(harness.all_actions())) <= 1 + INITIAL_PENDING_ORDERS + 1
