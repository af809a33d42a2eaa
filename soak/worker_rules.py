"""Rules on the work that routers send to workers: drains, slow starts, and the rate of start orders."""

import math
from bisect import bisect_left, bisect_right
from collections.abc import Iterator

from soak import site
from soak.history import RunHistory
from soak.records import AttemptSeen, StartOrderSeen
from soak.rules import MEASUREMENT_SLACK_S, Rule, Violation
from soak.run_record import RouterIncarnation, WorkerIncarnation

# From the notification of a drain to the last new work, with the 50 ms that the protocol adds on sockets.
DRAIN_GRACE_S = 1.0 + 0.05
START_ORDER_TOLERANCE = 1.15  # factor on the rate limit, plus one start order

# An overload is a violation only if more than this share of the requests came from routers that had been
# notified of the worker's start.
NOTIFIED_SHARE = 2 / 3

# Allowance for sampling noise above the budget of a worker in slow start: a number of standard deviations,
# plus the same number of requests. A small budget gets a wider margin.
SMALL_BUDGET = 30.0  # requests in a window; a budget below this is small
SMALL_BUDGET_DEVIATIONS = 3
LARGE_BUDGET_DEVIATIONS = 2


def check_workers(history: RunHistory) -> Iterator[Violation]:
    """Check the rules on workers."""
    yield from _check_drains(history)
    for incarnation in history.record.worker_incarnations:
        if incarnation.is_in_slow_start:
            yield from _check_slow_start(history, incarnation)
    yield from _check_start_orders(history)


def _check_drains(history: RunHistory) -> Iterator[Violation]:
    """Check that a router notified of a drain sends no new work until the slot's next worker is published."""
    incarnations = history.record.worker_incarnations
    for incarnation in incarnations:
        if incarnation.drain_notified_at:
            successors = [
                each
                for each in incarnations
                if each.worker == incarnation.worker and each.started_at > incarnation.started_at
            ]
            yield from _check_drain(history, incarnation, successors)


def _check_drain(
    history: RunHistory, incarnation: WorkerIncarnation, successors: list[WorkerIncarnation]
) -> Iterator[Violation]:
    published = [each.ready_published_at for each in successors if each.ready_published_at is not None]
    replaced_at = min(published, default=math.inf)
    for at, router in _new_work(history, incarnation.worker):
        notified_at = incarnation.drain_notified_at[router]
        if notified_at + DRAIN_GRACE_S + MEASUREMENT_SLACK_S < at < replaced_at:
            late = f"{at - notified_at:.3f} s after it was notified"
            text = f"router {router} to {incarnation.name} at {at:.3f}, {late}"
            yield Violation(Rule.DRAIN, text)


def _new_work(history: RunHistory, worker: int) -> list[tuple[float, int]]:
    """Return the first byte's arrival time and the router of all new work at a slot, sorted by time."""
    work: list[AttemptSeen | StartOrderSeen] = [
        *history.attempts_at(worker),
        *history.start_orders_at(worker),
    ]
    return sorted((each.first_byte_at, each.router) for each in work)


def _check_slow_start(history: RunHistory, incarnation: WorkerIncarnation) -> Iterator[Violation]:
    """Check that notified routers do not overload a worker in slow start; report only the first overload."""
    started_at = incarnation.started_at
    arrivals = sorted(
        (each.at, each.router)
        for each in history.attempts_at(incarnation.worker)
        if 0.0 <= each.at - started_at < site.SLOW_START_S
    )
    times = [at for at, _ in arrivals]
    for last, at in enumerate(times):
        window = arrivals[bisect_right(times, at - site.OVERLOAD_WINDOW_S) : last + 1]
        limit = slow_start_limit(at - started_at)
        notified = sum(
            arrived_at > incarnation.ready_notified_at.get(router, math.inf) for arrived_at, router in window
        )
        if len(window) > limit and notified > NOTIFIED_SHARE * len(window):
            text = f"{incarnation.name}: {len(window)} in 1 s, {at - started_at:.2f} s after its start"
            yield Violation(Rule.SLOW_START, f"{text}, limit {limit:.1f}, {notified} notified")
            return


def slow_start_limit(age_s: float) -> float:
    """Return the maximum number of requests in a window for a worker of this age, with sampling noise."""
    share = min(
        1.0, site.SLOW_START_INITIAL_SHARE + (1 - site.SLOW_START_INITIAL_SHARE) * age_s / site.SLOW_START_S
    )
    budget = site.OVERLOAD_MULTIPLE * share * site.WORKER_CAPACITY_RPS * site.OVERLOAD_WINDOW_S
    deviations = SMALL_BUDGET_DEVIATIONS if budget < SMALL_BUDGET else LARGE_BUDGET_DEVIATIONS
    return budget + deviations * math.sqrt(budget) + deviations


def _check_start_orders(history: RunHistory) -> Iterator[Violation]:
    """Check that the start orders in a window stay within the burst plus a share of its requests."""
    sent_times = history.sent_times_by_router()
    for incarnation in history.record.router_incarnations:
        sent = sent_times.get(incarnation.router, [])
        yield from _check_start_orders_of(incarnation, sent, history)


def _check_start_orders_of(
    incarnation: RouterIncarnation, sent: list[float], history: RunHistory
) -> Iterator[Violation]:
    started_at = incarnation.started_at
    ended_at = incarnation.exited_at or math.inf
    requests = [at for at in sent if started_at <= at <= ended_at]
    orders = sorted(
        each.first_byte_at
        for each in history.start_orders
        if each.router == incarnation.router and each.instances
    )
    orders = [at for at in orders if started_at <= at <= ended_at]
    for last, at in enumerate(orders):
        since = at - site.START_ORDER_WINDOW_S
        order_count = last + 1 - bisect_right(orders, since)
        request_count = bisect_right(requests, at) - bisect_left(requests, since)
        limit = site.START_ORDER_BURST + site.START_ORDERS_PER_REQUEST * request_count
        if order_count > START_ORDER_TOLERANCE * limit + 1:
            text = f"router {incarnation.router}: {order_count} orders, {request_count} requests at {at:.3f}"
            yield Violation(Rule.START_ORDER_RATE, text)
