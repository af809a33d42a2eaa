"""Admission: tenant quotas, the limit of attempts in flight, who is served first, who is given up."""

import math

from function_router.decisions.capacity import FINAL_OBJECTIVE_FRACTION
from function_router.decisions.fleet import Fleet
from function_router.decisions.records import STATISTICS_WINDOW_MS, Request
from function_router.decisions.requests import OpenRequests
from function_router.decisions.settings import Settings
from function_router.limits import TokenBucket

# The router checks deadlines, queues and silent workers at this interval: well under a typical run.
TIMER_INTERVAL_MS = 40.0

# The router gives its own final answer this long before the client times out, so that it arrives in time even
# if the process is short of processor time.
ANSWER_LEAD_MS = 20.0

# A queued request with less time left than this many median runs is expected to miss its objective. Long runs
# don't count before the final fraction of the objective.
RUNS_BEFORE_OBJECTIVE = 2.0

# A tenant may use this many seconds of its quota at once.
QUOTA_BURST_S = 1.0

# With many routers, each sees few requests of a tenant, and those come unevenly: the burst grows by this many
# square roots of the mean number in the statistics window.
QUOTA_NOISE_ALLOWANCE = 2.0

# Hedges, and requests that are over quota or will miss their objective, may use this fraction of each
# limit; the rest is kept for the others.
LOW_PRIORITY_LIMIT_FRACTION = 0.35

# A request that will miss its objective is given up after this fraction of its timeout.
GIVE_UP_FRACTION = 0.5


# Sort key of queued requests: over quota, will miss its objective, time of arrival, id.
Urgency = tuple[bool, bool, float, str]


class Admission:
    """Decides which requests are served first, and which are not worth serving any more."""

    def __init__(self, settings: Settings, fleet: Fleet, requests: OpenRequests) -> None:
        self._quotas_rps = settings.tenant_quotas_rps
        self._capacity = fleet.capacity
        self._durations = fleet.durations
        self._requests = requests
        self._buckets: dict[str, TokenBucket] = {}  # by tenant

    def charge_quota(self, tenant: str, now_ms: float) -> bool:
        """Count a request against its tenant's quota; whether it exceeds this router's share of it."""
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
        """Whether a queued request has too little time left to be answered within its latency objective."""
        runs_ms = RUNS_BEFORE_OBJECTIVE * self._durations.median_run_ms(request.function, now_ms)
        objective_ms = request.request_class.latency_objective_ms
        left_ms = request.arrived_ms + objective_ms - now_ms
        return left_ms < min(runs_ms, objective_ms * FINAL_OBJECTIVE_FRACTION)

    def is_due_on_arrival(self, request: Request, now_ms: float) -> bool:
        """Whether a new request is answered unsent, as its deadline is before the next check on the timer."""
        return request.deadline_ms - now_ms <= TIMER_INTERVAL_MS + ANSWER_LEAD_MS

    def is_due_on_timer(self, request: Request, now_ms: float) -> bool:
        """Whether a request gets the router's own final answer now: given up, or else it may be too late.

        The time left is not taken as a difference as on arrival: deadlines are often due at just this time,
        and sums and differences round differently.
        """
        if self._should_give_up(request, now_ms):
            return True
        return now_ms + TIMER_INTERVAL_MS + ANSWER_LEAD_MS >= request.deadline_ms

    def _should_give_up(self, request: Request, now_ms: float) -> bool:
        """Whether a request with nothing in flight that will miss its objective is given up.

        A request over quota is given up at once, any other after a fraction of its timeout. The client then
        has time left to try again.
        """
        if request.has_attempt_in_flight() or not self.will_miss_objective(request, now_ms):
            return False
        waited_ms = now_ms + TIMER_INTERVAL_MS + ANSWER_LEAD_MS - request.arrived_ms
        return request.over_quota or waited_ms >= GIVE_UP_FRACTION * (
            request.deadline_ms - request.arrived_ms
        )

    def urgency(self, request: Request, now_ms: float) -> Urgency:
        """Sort key of queued requests: the least one is served first."""
        will_miss = self.will_miss_objective(request, now_ms)
        return request.over_quota, will_miss, request.arrived_ms, request.id

    def limit_fraction(self, request: Request, now_ms: float) -> float:
        """The fraction of each limit that a request may use."""
        is_hedge = request.has_attempt_in_flight()
        if is_hedge or request.over_quota or self.will_miss_objective(request, now_ms):
            return LOW_PRIORITY_LIMIT_FRACTION
        return 1.0

    def is_at_limit(self, fraction: float = 1.0) -> bool:
        """Whether a fraction of the limit on own attempts in flight is reached."""
        return len(self._requests.recent_attempts) >= self._capacity.max_in_flight * fraction
