"""Admission: tenant quotas, the limit on attempts in flight, request priorities, and giving up requests."""

import itertools
import math
from bisect import bisect_left
from collections.abc import Iterable, Iterator

from function_router.decisions.capacity import FINAL_OBJECTIVE_FRACTION
from function_router.decisions.fleet import Fleet
from function_router.decisions.records import STATISTICS_WINDOW_MS, Function, Request
from function_router.decisions.request_queue import QueueGroup, arrival_order, iterate_in_arrival_order
from function_router.decisions.requests import OpenRequests
from function_router.decisions.settings import Settings
from function_router.limits import TokenBucket

# Interval of the timer that checks deadlines, queues and silent workers. It is well below a typical run time.
TIMER_INTERVAL_MS = 40.0

# How long before the client's timeout the router gives its own final answer, so that the answer arrives in
# time even if the process is short of CPU time.
ANSWER_LEAD_MS = 20.0

# A queued request with less time left than this many median run times is expected to miss its objective. If
# runs are long, this applies only in the final fraction of the objective (`FINAL_OBJECTIVE_FRACTION`).
RUNS_BEFORE_OBJECTIVE = 2.0

# Maximum burst of a tenant, in seconds of its quota.
QUOTA_BURST_S = 1.0

# With many routers, each one receives few requests of a tenant, at irregular intervals. The burst is
# therefore larger by this many square roots of the mean number of requests in the statistics window.
QUOTA_NOISE_ALLOWANCE = 2.0

# Fraction of each limit that is available to hedges and to requests that are over quota or will miss their
# objective. The rest is reserved for the other requests.
LOW_PRIORITY_LIMIT_FRACTION = 0.35

# Fraction of its timeout after which a request that will miss its objective is given up.
GIVE_UP_FRACTION = 0.5

# A request is checked this long before it reaches that fraction, as the exact condition rounds differently.
OVERDUE_ROUNDING_MS = 1.0


# Sort key of a queued request: whether over quota, whether missing its objective, arrival time, id.
Urgency = tuple[bool, bool, float, str]


class Admission:
    """Decides which requests are served first and which are given up."""

    def __init__(self, settings: Settings, fleet: Fleet, requests: OpenRequests) -> None:
        self._quotas_rps = settings.tenant_quotas_rps
        self._capacity = fleet.capacity
        self._durations = fleet.durations
        self._leases = fleet.leases
        self._requests = requests
        self._buckets: dict[str, TokenBucket] = {}  # by tenant

    def charge_quota(self, tenant: str, now_ms: float) -> bool:
        """Charge a request to its tenant's quota, and return whether this router's share is exceeded."""
        quota_rps = self._quotas_rps.get(tenant)
        if quota_rps is None:
            return False
        rate = quota_rps / self._capacity.router_count
        burst = rate * QUOTA_BURST_S
        if self._capacity.many_routers:
            burst += QUOTA_NOISE_ALLOWANCE * math.sqrt(rate * STATISTICS_WINDOW_MS / 1000)
        bucket = self._buckets.get(tenant)
        if bucket is None:
            bucket = TokenBucket(now_ms, burst)
            self._buckets[tenant] = bucket
        return not bucket.try_take(now_ms, rate, burst)

    # --- the latency objective ----------------------------------------------------------------

    def will_miss_objective(self, request: Request, now_ms: float) -> bool:
        """Return whether a queued request has too little time left to meet its latency objective."""
        objective_ms = request.request_class.latency_objective_ms
        left_ms = request.arrived_ms + objective_ms - now_ms
        return left_ms < self._needed_ms(request.function, objective_ms, now_ms)

    def count_missing(
        self, function: Function, group: QueueGroup[Request], requests: list[Request], now_ms: float
    ) -> int:
        """Return how many requests of a group will miss their objective: the first ones by arrival.

        `requests` are all requests of the group or its overdue ones.
        """
        objective_ms = group.objective_ms
        needed_ms = self._needed_ms(function, objective_ms, now_ms)
        if not requests or requests[0].arrived_ms + objective_ms - now_ms >= needed_ms:
            return 0
        return bisect_left(
            requests, True, key=lambda request: request.arrived_ms + objective_ms - now_ms >= needed_ms
        )

    def _needed_ms(self, function: Function, objective_ms: float, now_ms: float) -> float:
        """Return the time that a queued request needs until its objective to meet it."""
        runs_ms = RUNS_BEFORE_OBJECTIVE * self._durations.median_run_ms(function, now_ms)
        return min(runs_ms, objective_ms * FINAL_OBJECTIVE_FRACTION)

    # --- requests that are given up -----------------------------------------------------------

    def is_due_on_arrival(self, request: Request, now_ms: float) -> bool:
        """Return whether to answer a new request without sending it.

        This is so if no worker may get new work for want of a current endpoint list, or if the next timer
        would be too late for the request.
        """
        if self._leases.is_renewal_overdue(now_ms, now_ms):
            return True
        return request.deadline_ms - now_ms <= TIMER_INTERVAL_MS + ANSWER_LEAD_MS

    def take_due(self, waiting: Iterable[Function], now_ms: float) -> list[Request]:
        """Return the requests that the router answers now, in the order of their arrival.

        They are given up, or the next timer would be too late for them. Unlike `is_due_on_arrival`, this
        compares deadlines with a sum and not with a difference, because they often fall exactly on this time,
        and sums and differences round differently.

        Args:
            waiting: The functions with queued requests.
            now_ms: The current time.
        """
        due = self._requests.take_due(now_ms + TIMER_INTERVAL_MS + ANSWER_LEAD_MS)
        for function in waiting:
            due += self._given_up(function, now_ms)
        by_number = {request.number: request for request in due}
        return [by_number[number] for number in sorted(by_number)]

    def _given_up(self, function: Function, now_ms: float) -> list[Request]:
        """Return the queued requests of a function that are given up now.

        None is given up if each of them is queued for a hedge. Any other one is if no worker may get new work
        for want of a current endpoint list.
        """
        if all(request.has_attempt_in_flight() for request in function.queue):
            return []
        if not self._leases.is_list_current(now_ms):
            return [request for request in function.queue if self._waits_for_list_in_vain(request, now_ms)]
        given_up: list[Request] = []
        for group in function.queue.groups():
            overdue = group.overdue(now_ms)
            missing_count = self.count_missing(function, group, overdue, now_ms)
            given_up += [
                request for request in overdue[:missing_count] if self._should_give_up(request, now_ms)
            ]
        return given_up

    def _waits_for_list_in_vain(self, request: Request, now_ms: float) -> bool:
        """Return whether a request without an attempt in flight no longer waits for a current list."""
        if request.has_attempt_in_flight():
            return False
        return self._leases.is_renewal_overdue(request.queued_ms, now_ms)

    def overdue_at_ms(self, request: Request) -> float:
        """Return when a queued request within the quota that will miss its objective may be given up."""
        wait_ms = GIVE_UP_FRACTION * (request.deadline_ms - request.arrived_ms)
        lead_ms = TIMER_INTERVAL_MS + ANSWER_LEAD_MS + OVERDUE_ROUNDING_MS
        return request.arrived_ms + wait_ms - lead_ms

    def _should_give_up(self, request: Request, now_ms: float) -> bool:
        """Return whether to give up a request that will miss its objective and has no attempt in flight.

        A request over quota is given up at once, any other after a fraction of its timeout. This leaves the
        client time for a retry.
        """
        if request.has_attempt_in_flight() or not self.will_miss_objective(request, now_ms):
            return False
        waited_ms = now_ms + TIMER_INTERVAL_MS + ANSWER_LEAD_MS - request.arrived_ms
        return request.over_quota or waited_ms >= GIVE_UP_FRACTION * (
            request.deadline_ms - request.arrived_ms
        )

    # --- the order of queued requests -----------------------------------------------------------

    def first_in_queue(self, function: Function, now_ms: float) -> Request:
        """Return the queued request that is served first; the queue must not be empty.

        Requests within the quota come before those over it, and among both those that can meet their
        objective before the others; otherwise the order is that of their arrival.
        """
        queue = function.queue
        if len(queue) == 1:
            return next(iter(queue))
        groups = queue.groups(over_quota=False) or queue.groups(over_quota=True)
        in_time = []
        for group in groups:
            missing_count = self.count_missing(function, group, group.requests, now_ms)
            if missing_count < len(group.requests):
                in_time.append(group.requests[missing_count])
        return min(in_time or [group.requests[0] for group in groups], key=arrival_order)

    def in_order(self, function: Function, now_ms: float) -> Iterator[Request]:
        """Iterate over the queued requests of a function in the order in which they are served.

        The caller may remove the request that the iterator has returned last, and no other one.
        """
        queue = function.queue
        while queue:
            first = self.first_in_queue(function, now_ms)
            yield first
            if first in queue:
                yield from itertools.islice(self._all_in_order(function, now_ms), 1, None)
                return

    def _all_in_order(self, function: Function, now_ms: float) -> Iterator[Request]:
        """Iterate in the same order, without the shortcut for a caller that removes each request."""
        for over_quota in (False, True):
            groups = function.queue.groups(over_quota=over_quota)
            parts = [(group, self.count_missing(function, group, group.requests, now_ms)) for group in groups]
            yield from iterate_in_arrival_order(
                [(group, missing_count, len(group.requests)) for group, missing_count in parts]
            )
            yield from iterate_in_arrival_order([(group, 0, missing_count) for group, missing_count in parts])

    def urgency(self, function: Function, now_ms: float) -> Urgency:
        """Return the sort key of functions with queued requests, by the request that is served first."""
        request = self.first_in_queue(function, now_ms)
        will_miss = self.will_miss_objective(request, now_ms)
        return request.over_quota, will_miss, request.arrived_ms, request.id

    # --- limits ---------------------------------------------------------------------------------

    def limit_fraction(self, request: Request, now_ms: float) -> float:
        """Return the fraction of each limit that a request may use."""
        is_hedge = request.has_attempt_in_flight()
        if is_hedge or request.over_quota or self.will_miss_objective(request, now_ms):
            return LOW_PRIORITY_LIMIT_FRACTION
        return 1.0

    def is_at_limit(self, fraction: float = 1.0) -> bool:
        """Return whether a fraction of the limit on this router's attempts in flight is reached."""
        return len(self._requests.recent_attempts) >= self._capacity.max_in_flight * fraction
