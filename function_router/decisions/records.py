"""Records of workers, functions, instances, requests and attempts, as the decisions know them.

The records refer to one another, so they share this module. Nothing is decided here: the tables that own the
records are in `workers`, `functions` and `requests`.
"""

import math

from msgspec import Struct, field

from function_router.decisions.events import Endpoint, InstancesReported
from function_router.decisions.settings import RequestClass
from function_router.decisions.types import Outcome
from function_router.limits import CircuitBreaker
from function_router.statistics import ArrivalRate, DecayingCounter, SlidingMedian, SlidingWindow

# Older samples and counts are forgotten: the window of the design (CIDRE's own is 15 minutes).
STATISTICS_WINDOW_MS = 10_000.0

# Samples kept for one median: more would hardly move it, and each costs 100 bytes.
MAX_MEDIAN_SAMPLES = 64

# A median is cached for this long, which is well under a run.
MEDIAN_REFRESH_MS = 40.0

# A function's arrivals decay with this time constant: long enough to rate functions with few requests.
ARRIVAL_DECAY_MS = 30_000.0

# So many of the last arrivals are rated by themselves as well, so that a burst counts at once.
ARRIVAL_BURST = 3


def new_median() -> SlidingMedian:
    """A median over the statistics window."""
    return SlidingMedian(STATISTICS_WINDOW_MS, MAX_MEDIAN_SAMPLES, MEDIAN_REFRESH_MS)


class Worker(Struct, eq=False):
    """A worker of the endpoint list; one that was removed is kept for a while."""

    id: int
    endpoint: Endpoint
    hash: int  # of its id, for rendezvous hashing
    machine_size: float = 1.0  # relative capacity of its machine; 1 for all where sizes are not known
    in_flight: int = 0  # own attempts
    max_in_flight: float = math.inf  # own attempts that it can work on, as of the last refresh of limits
    sends: DecayingCounter = field(default_factory=lambda: DecayingCounter(STATISTICS_WINDOW_MS))
    recent_sends: SlidingWindow = field(default_factory=SlidingWindow)  # within the overload window
    slow_start_sends: SlidingWindow = field(default_factory=SlidingWindow)  # the part of them since its start
    started_ms: float | None = None  # as notified, or as inferred when it came back without instances
    last_function: "Function | None" = None  # the function that was last used there, which a ping probes
    awaiting_reply_since_ms: float | None = None  # since when it owes a reply and sent nothing
    pinged_ms: float | None = None  # when the last ping, not answered yet, was due
    unresponsive_since_ms: float | None = None
    removed_since_ms: float | None = None
    slowdown: float = 1.0  # its run times, as a multiple of those of the same functions elsewhere
    slow_until_ms: float = -math.inf  # not preferred until then
    breakers: dict[str, CircuitBreaker] = {}  # by request class

    def recount_slow_start_sends(self) -> None:
        """Count the sends since its start, of which the notification may come after them."""
        self.slow_start_sends.clear()
        for sent_ms in self.recent_sends:
            if self.started_ms is not None and sent_ms >= self.started_ms:
                self.slow_start_sends.add(sent_ms)


class InstancePool(Struct, eq=False):
    """What is believed of the instances of one function at one worker."""

    count: int = 0
    last_seen_ms: float = -math.inf  # when an instance last showed that it exists
    last_counted_ms: float = -math.inf  # when the worker last reported the count
    in_flight: int = 0  # own attempts
    pending_probes: int = 0
    last_probed_ms: float = -math.inf
    start_ordered_ms: float | None = None  # when the pending start order was decided
    ordered_count: int = 0  # instances that the last start order asked for
    is_speculative: bool = False  # that order races a busy warm instance
    blocked_until_ms: float = -math.inf  # neither attempts nor start orders before
    unused_since_ms: float | None = None  # since when a speculative instance has been idle
    slots_before: int = 0  # slots that existed when it came

    def is_start_report(self, event: InstancesReported) -> bool:
        """Whether a report answers the pending start order, and not a probe.

        A report of fewer instances than were ordered answers a pending probe, if there is one.
        """
        is_short = event.outcome is Outcome.OK and event.instances < self.ordered_count
        return self.start_ordered_ms is not None and not (self.pending_probes and is_short)


class Attempt(Struct, eq=False):
    """One send of a request to a worker."""

    request_id: str
    worker: Worker
    function: "Function"
    class_name: str
    sent_ms: float
    is_unloaded: bool  # its worker had little in flight when it was sent
    candidate_count: int  # preferred workers with a pool that it was spread over
    in_flight: bool = True
    is_lost: bool = False  # presumed lost, and counted as a failure
    may_have_run: bool = True


class Request(Struct, eq=False):
    """An admitted request without its final answer."""

    id: str
    function: "Function"
    request_class: RequestClass
    arrived_ms: float
    deadline_ms: float
    over_quota: bool
    queued_ms: float  # when it was queued last
    random_bits: int  # pick the preferred worker from which its search starts
    concurrency: int  # requests that an instance serves at once, as this request says
    attempts: list[Attempt] = []

    def has_attempt_in_flight(self) -> bool:
        """Whether an attempt has not ended yet."""
        return any(attempt.in_flight for attempt in self.attempts)

    def first_run(self) -> Attempt | None:
        """The first attempt that may have run, if there is one."""
        return next((attempt for attempt in self.attempts if attempt.may_have_run), None)


class Function(Struct, eq=False):
    """A function, its queue, and what is believed of its instances.

    Te, Tp, Ti and Td are the times that CIDRE's switch between waiting and starting compares.
    """

    name: str
    class_name: str  # of its newest request
    concurrency: int  # as its newest request says: a new version may have another
    hinted_start_ms: float | None  # typical start time, as requests say
    hash: int  # of its name, for rendezvous hashing
    queue: list[Request] = []
    pools: dict[int, InstancePool] = {}  # by worker id
    hash_order: list[Worker] = []  # ready workers by rendezvous rank, cached for these sizes:
    hash_order_sizes: dict[int, float] | None = None
    known_workers: list[Worker] | None = None  # those of the hash order with a pool; None: not cached
    run_times: SlidingMedian = field(default_factory=new_median)  # the median is Te
    start_times: SlidingMedian = field(default_factory=new_median)  # the median is Tp
    queue_waits: SlidingMedian = field(default_factory=new_median)  # the median is Td
    idle_before_use_ms: float = 0.0  # Ti: of the last speculative instance that was used
    speculates: bool = True  # whether starts race busy warm instances
    last_probed_ms: float = -math.inf  # at any worker
    arrivals: ArrivalRate = field(default_factory=lambda: ArrivalRate(ARRIVAL_DECAY_MS, ARRIVAL_BURST))
    fanout: int = 1  # preferred workers that the requests of all routers need
    estimated_in_flight: float = 0.0  # requests of all routers, estimated from workers' answers

    def pool_at(self, worker: Worker) -> InstancePool:
        """The pool at a worker, made where there is none; notes the function as the worker's last one."""
        worker.last_function = self
        pool = self.pools.get(worker.id)
        if pool is None:
            pool = InstancePool()
            self.pools[worker.id] = pool
            self.known_workers = None
        return pool
