"""Records of workers, functions, instances, requests and attempts, as the decisions know them.

The records refer to one another, so they share this module. Nothing is decided here: the tables that own the
records are in `workers`, `functions` and `requests`.
"""

import math

from msgspec import Struct, field

from function_router.decisions.events import Endpoint, InstancesReported
from function_router.decisions.settings import RequestClass
from function_router.decisions.types import Outcome, WorkerState
from function_router.limits import CircuitBreaker
from function_router.statistics import ArrivalRate, DecayingCounter, SlidingMedian, SlidingWindow

# Older samples and counts are dropped: the window of the design (the one of the CIDRE paper is 15 minutes).
STATISTICS_WINDOW_MS = 10_000.0

# Samples kept for one median: more would hardly move it, and each costs 100 bytes.
MAX_MEDIAN_SAMPLES = 64

# A median is cached for this long, which is well under a run.
MEDIAN_REFRESH_MS = 40.0

# Time constant with which the count of a function's arrivals decays.
ARRIVAL_DECAY_MS = 30_000.0

# This many of the last arrivals are also rated by themselves, so that a burst counts at once.
ARRIVAL_BURST = 3


def new_median() -> SlidingMedian:
    """A median over the statistics window."""
    return SlidingMedian(STATISTICS_WINDOW_MS, MAX_MEDIAN_SAMPLES, MEDIAN_REFRESH_MS)


class ReadinessLease(Struct, eq=False):
    """What a worker has said of itself in answer to health checks; see `endpoint_leases`."""

    ready_as_of_ms: float = -math.inf  # it was ready then: when the question was asked that it answered so
    process_seen_ms: float = -math.inf  # its present process ran then
    drain_reported_ms: float | None = None  # when it last said that it drains, unless it was ready since
    pending_check_ms: float | None = None  # when the pending health check was decided
    next_check_ms: float = -math.inf  # it is not asked again before
    recheck_interval_ms: float = 1_000.0  # until the next check, if it gives no answer or drains


class Worker(Struct, eq=False):
    """A worker of the endpoint list. A removed one is kept for a while."""

    id: int
    endpoint: Endpoint
    hash: int  # of its id, for rendezvous hashing
    removed_since_ms: float | None = None

    # Capacity and load.
    machine_size: float = 1.0  # relative capacity of its machine; 1 for all where sizes are not known
    in_flight: int = 0  # own attempts
    max_in_flight: float = math.inf  # own attempts that it can work on, as of the last refresh of limits
    sends: DecayingCounter = field(default_factory=lambda: DecayingCounter(STATISTICS_WINDOW_MS))

    # Readiness.
    lease: ReadinessLease = field(default_factory=ReadinessLease)

    # Slow start.
    started_ms: float | None = None  # as notified, or as inferred when it came back without instances
    assumed_started_ms: float | None = (
        None  # if it may have restarted while the endpoint list was out of date
    )
    recent_sends: SlidingWindow = field(default_factory=SlidingWindow)  # within the overload window
    slow_start_sends: SlidingWindow = field(default_factory=SlidingWindow)  # those since its start

    # Replies and pings.
    awaiting_reply_since_ms: float | None = None  # since when its silence counts, if it owes a reply
    pinged_ms: float | None = None  # when it was pinged, if it has not answered since
    unresponsive_since_ms: float | None = None
    last_function: "Function | None" = None  # the function that was last used there, which a ping probes

    # Slow runs and failures.
    slowdown: float = 1.0  # its run times as a multiple of the usual ones, a moving average
    slow_until_ms: float = -math.inf  # until then, it is slow and not preferred
    breakers: dict[str, CircuitBreaker] = {}  # by request class

    @property
    def is_ready(self) -> bool:
        """Whether the list has it as ready, and it has not said itself that it drains."""
        return self.endpoint.state is WorkerState.READY and self.lease.drain_reported_ms is None

    @property
    def latest_start_ms(self) -> float | None:
        """The latest time at which it may have started; None if that was long ago."""
        if self.assumed_started_ms is None:
            return self.started_ms
        return max(self.assumed_started_ms, self.started_ms or -math.inf)

    def recount_slow_start_sends(self) -> None:
        """Count the recent sends since its start, after a notification that comes later than they."""
        started_ms = self.latest_start_ms
        self.slow_start_sends.clear()
        for sent_ms in self.recent_sends:
            if started_ms is not None and sent_ms >= started_ms:
                self.slow_start_sends.add(sent_ms)


class InstancePool(Struct, eq=False):
    """What is believed about the instances of one function at one worker."""

    count: int = 0
    last_seen_ms: float = -math.inf  # when an instance last showed that it exists
    last_counted_ms: float = -math.inf  # when the worker last reported the count
    in_flight: int = 0  # own attempts
    blocked_until_ms: float = -math.inf  # it gets neither attempts nor start orders before

    # Probes and start orders.
    pending_probes: int = 0
    last_probed_ms: float = -math.inf
    start_ordered_ms: float | None = None  # when the pending start order was decided
    ordered_count: int = 0  # instances that the last start order asked for
    is_speculative: bool = False  # that order races a busy warm instance
    unused_since_ms: float | None = None  # since when a speculative instance has been idle
    slots_before_start: int = 0  # slots that there were before that instance came

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
    candidate_count: int  # workers with a pool among the first `fanout` in hash order, at least 1
    in_flight: bool = True
    is_lost: bool = False  # presumed lost, and counted as a failure of its worker
    may_have_run: bool = True  # until its outcome proves that it did not


class Request(Struct, eq=False):
    """An open request, which has no final answer yet."""

    id: str
    function: "Function"
    request_class: RequestClass
    arrived_ms: float
    deadline_ms: float
    over_quota: bool
    queued_ms: float  # when it was last put into the queue
    random_bits: int  # choose the preferred worker that it tries first
    concurrency: int  # slots of an instance, according to this request
    attempts: list[Attempt] = []
    withheld_from: list[int] = []  # ids of workers that were not sent it, as nothing proved them to be ready

    def has_attempt_in_flight(self) -> bool:
        """Whether an attempt has not ended yet."""
        return any(attempt.in_flight for attempt in self.attempts)

    def first_possible_run(self) -> Attempt | None:
        """The first attempt that may have run, if there is one."""
        return next((attempt for attempt in self.attempts if attempt.may_have_run), None)


class Function(Struct, eq=False):
    """A function, its queue, and what is believed about its instances.

    Te, Tp, Ti and Td are the times by which CIDRE decides between waiting and starting (see `speculation`).
    """

    name: str
    class_name: str  # of its newest request
    concurrency: int  # slots of an instance, according to its newest request
    hinted_start_ms: float | None  # typical start time, according to requests
    hash: int  # of its name, for rendezvous hashing
    queue: list[Request] = []
    pools: dict[int, InstancePool] = {}  # by worker id
    last_probed_ms: float = -math.inf  # at any worker
    awaits_check: bool = False  # a worker with a free slot has just been asked whether it is ready

    # Load and placement.
    arrivals: ArrivalRate = field(default_factory=lambda: ArrivalRate(ARRIVAL_DECAY_MS, ARRIVAL_BURST))
    estimated_in_flight: float = 0.0  # requests of all routers, estimated from answers
    fanout: int = 1  # number of preferred workers
    hash_order: list[Worker] = []  # cached; see `Placement.hash_order`
    hash_order_sizes: dict[int, float] | None = None  # the workers and sizes for which it is cached
    workers_with_pool: list[Worker] | None = None  # cached; see `Placement.workers_with_pool`

    # Waiting or starting.
    run_times: SlidingMedian = field(default_factory=new_median)  # the median is Te
    start_times: SlidingMedian = field(default_factory=new_median)  # the median is Tp
    queue_waits: SlidingMedian = field(default_factory=new_median)  # the median is Td
    idle_before_use_ms: float = 0.0  # Ti: of the last speculative instance that came into use
    speculates: bool = True  # whether cold starts may race busy warm instances

    def pool_at(self, worker: Worker) -> InstancePool:
        """The pool at a worker, added if missing. The function becomes the worker's last one."""
        worker.last_function = self
        pool = self.pools.get(worker.id)
        if pool is None:
            pool = InstancePool()
            self.pools[worker.id] = pool
            self.workers_with_pool = None
        return pool
