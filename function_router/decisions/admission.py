"""Admission: tenant quotas, the limit on attempts in flight, request priorities, and giving up requests."""

import math

from function_router.decisions.capacity import FINAL_OBJECTIVE_FRACTION
from function_router.decisions.fleet import Fleet
from function_router.decisions.records import STATISTICS_WINDOW_MS, Request
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


# Sort key of queued requests: whether over quota, whether missing its objective, arrival time, id.
Urgency = tuple[bool, bool, float, str]


class Admission:
    """Decides which requests are served first and which are given up."""

    def __init__(self, settings: Settings, fleet: Fleet, requests: OpenRequests) -> None:
        self._quotas_rps = settings.tenant_quotas_rps
        self._capacity = fleet.capacity
        self._durations = fleet.durations
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

    def will_miss_objective(self, request: Request, now_ms: float) -> bool:
        """Return whether a queued request has too little time left to meet its latency objective."""
        runs_ms = RUNS_BEFORE_OBJECTIVE * self._durations.median_run_ms(request.function, now_ms)
        objective_ms = request.request_class.latency_objective_ms
        left_ms = request.arrived_ms + objective_ms - now_ms
        return left_ms < min(runs_ms, objective_ms * FINAL_OBJECTIVE_FRACTION)

    def is_due_on_arrival(self, request: Request, now_ms: float) -> bool:
        """Return whether to answer a new request without sending it, as the next timer would be too late."""
        return request.deadline_ms - now_ms <= TIMER_INTERVAL_MS + ANSWER_LEAD_MS

    def is_due_on_timer(self, request: Request, now_ms: float) -> bool:
        """Return whether the router answers a request now: it is given up, or the next timer is too late.

        Unlike `is_due_on_arrival`, this compares sums and not differences, because deadlines often fall
        exactly on this time, and sums and differences round differently.
        """
        if self._should_give_up(request, now_ms):
            return True
        return now_ms + TIMER_INTERVAL_MS + ANSWER_LEAD_MS >= request.deadline_ms

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

    def urgency(self, request: Request, now_ms: float) -> Urgency:
        """Return the sort key of queued requests. The request with the smallest key is served first."""
        will_miss = self.will_miss_objective(request, now_ms)
        return request.over_quota, will_miss, request.arrived_ms, request.id

    def limit_fraction(self, request: Request, now_ms: float) -> float:
        """Return the fraction of each limit that a request may use."""
        is_hedge = request.has_attempt_in_flight()
        if is_hedge or request.over_quota or self.will_miss_objective(request, now_ms):
            return LOW_PRIORITY_LIMIT_FRACTION
        return 1.0

    def is_at_limit(self, fraction: float = 1.0) -> bool:
        """Return whether a fraction of the limit on this router's attempts in flight is reached."""
        return len(self._requests.recent_attempts) >= self._capacity.max_in_flight * fraction
