"""Records of workers, functions, instances, requests and attempts.

The records refer to one another, so they share this module. It contains no decision logic. The tables that
own the records are in `workers`, `functions` and `requests`.
"""

import math

from msgspec import Struct, field

from function_router.decisions.events import Endpoint, InstancesReported
from function_router.decisions.request_queue import RequestQueue
from function_router.decisions.settings import RequestClass
from function_router.decisions.types import Outcome, WorkerState
from function_router.limits import CircuitBreaker
from function_router.statistics import ArrivalRate, DecayingCounter, SlidingMedian, SlidingWindow

# Window of the statistics. Older samples and counts are dropped. The window is 10 s here and 15 minutes in
# CIDRE (see `speculation`).
STATISTICS_WINDOW_MS = 10_000.0

# Maximum number of samples for one median. More samples would hardly change it, and each takes 100 bytes.
MAX_MEDIAN_SAMPLES = 64

# How long a median is cached. This is well below the duration of a run.
MEDIAN_REFRESH_MS = 40.0

# Time constant of the decaying count of a function's arrivals.
ARRIVAL_DECAY_MS = 30_000.0

# Number of most recent arrivals whose rate is also measured separately, so that a burst takes effect at once.
ARRIVAL_BURST = 3

# Initial interval between health checks of a worker that doesn't answer or is draining.
RECHECK_INTERVAL_MS = 1_000.0


def new_median() -> SlidingMedian:
    """Create a median over the statistics window."""
    return SlidingMedian(STATISTICS_WINDOW_MS, MAX_MEDIAN_SAMPLES, MEDIAN_REFRESH_MS)


class ReadinessLease(Struct, eq=False):
    """Results of a worker's health checks; see `endpoint_leases`."""

    ready_as_of_ms: float = -math.inf  # send time of the last health check that was answered with ready
    process_seen_ms: float = -math.inf  # latest time at which its current process is known to have run
    revoked_ms: float = -math.inf  # when its lease was last revoked
    drain_reported_ms: float | None = None  # when the worker last reported a drain; None if ready since
    drain_first_reported_ms: float | None = None  # when it first did since it was ready
    pending_check_ms: float | None = None  # when the pending health check was decided; None if there is none
    next_check_ms: float = -math.inf  # earliest time of the next health check
    recheck_interval_ms: float = RECHECK_INTERVAL_MS  # time to the next check of a silent or draining worker


class WorkerIdentity(Struct, eq=False):
    """Evidence of which connections lead to a worker; see `process_identity`."""

    listed_ms: float = -math.inf  # since when the list has named the worker at its address, zone and cell
    replied_ms: float = -math.inf  # when the worker last had its address, as a reply or a removal has shown
    last_connected_ms: float | None = None  # when the connection of its last reply was established


class Worker(Struct, eq=False):
    """A worker of the endpoint list. After its removal from the list, the record is kept for a while."""

    id: int
    endpoint: Endpoint
    hash: int  # hash of its id, for rendezvous hashing
    removed_since_ms: float | None = None

    # Capacity and load.
    machine_size: float = 1.0  # relative capacity of its machine; always 1 if sizes are not known
    in_flight: int = 0  # attempts of this router
    max_in_flight: float = math.inf  # limit on attempts of this router, as of the last refresh of limits
    sends: DecayingCounter = field(default_factory=lambda: DecayingCounter(STATISTICS_WINDOW_MS))

    # Readiness, and which process answers.
    lease: ReadinessLease = field(default_factory=ReadinessLease)
    identity: WorkerIdentity = field(default_factory=WorkerIdentity)

    # Slow start.
    # Start of its process: announced by the endpoint list, or inferred when it returned without instances.
    # None if that is too long ago to matter.
    started_ms: float | None = None
    recent_sends: SlidingWindow = field(default_factory=SlidingWindow)  # sends within the overload window
    slow_start_sends: SlidingWindow = field(default_factory=SlidingWindow)  # recent sends since its start

    # Replies and pings.
    awaiting_reply_since_ms: float | None = None  # start of its silence; None if no reply is pending
    pinged_ms: float | None = None  # when it was last pinged; None once it has replied
    unresponsive_since_ms: float | None = None
    last_function: "Function | None" = None  # the last function used at the worker
    answered_function: "Function | None" = None  # the last function for which the worker has replied

    # Slow runs and failures.
    slowdown: float = 1.0  # moving average of its run times as a multiple of the usual ones
    slow_until_ms: float = -math.inf  # end of the time for which it counts as slow and is not preferred
    breakers: dict[str, CircuitBreaker] = {}  # by request class

    @property
    def is_ready(self) -> bool:
        """Whether the endpoint list shows the worker as ready and the worker has not reported a drain."""
        return self.endpoint.state is WorkerState.READY and self.lease.drain_reported_ms is None

    def recount_slow_start_sends(self) -> None:
        """Recompute the sends since the worker's start, which may be announced after those sends."""
        started_ms = self.started_ms
        self.slow_start_sends.clear()
        for sent_ms in self.recent_sends:
            if started_ms is not None and sent_ms >= started_ms:
                self.slow_start_sends.add(sent_ms)


class InstancePool(Struct, eq=False):
    """The presumed state of the instances of one function at one worker."""

    count: int = 0
    last_seen_ms: float = -math.inf  # when an answer or a report last showed the state of the instances
    last_counted_ms: float = -math.inf  # when the worker last reported the count
    in_flight: int = 0  # attempts of this router
    blocked_until_ms: float = -math.inf  # the pool gets neither attempts nor start orders before this time

    # Probes and start orders.
    pending_probes: int = 0
    last_probed_ms: float = -math.inf
    start_ordered_ms: float | None = None  # when the pending start order was decided
    ordered_count: int = 0  # number of instances that the last start order asked for
    is_speculative: bool = False  # the last start order was placed while a warm instance was busy
    unused_since_ms: float | None = None  # when a still unused speculative instance was reported
    slots_before_start: int = 0  # number of slots before the speculative instance was added

    def is_start_report(self, event: InstancesReported) -> bool:
        """Return whether a report answers the pending start order and not a probe.

        If a probe is pending, a report of fewer instances than were ordered counts as its answer.
        """
        is_short = event.outcome is Outcome.OK and event.instances < self.ordered_count
        return self.start_ordered_ms is not None and not (self.pending_probes and is_short)


class Attempt(Struct, eq=False):
    """One send of a request to a worker."""

    request_id: str
    worker: Worker
    endpoint: Endpoint  # the worker's record when the attempt was sent
    function: "Function"
    class_name: str
    sent_ms: float
    is_unloaded: bool  # its worker had few requests in flight when the attempt was sent
    preferred_pool_count: int  # workers with a pool among the first `fanout` in hash order, at least 1
    in_flight: bool = True
    is_lost: bool = False  # presumed lost, and counted as a failure of its worker
    may_have_run: bool = True  # False once the outcome proves that the request did not run
    is_unsent: bool = False  # True once it has ended without a byte sent
    connected_at_ms: float | None = None  # when its connection was established; None while unknown


class Request(Struct, eq=False):
    """An open request, which has no final answer yet."""

    id: str
    function: "Function"
    request_class: RequestClass
    arrived_ms: float
    deadline_ms: float
    over_quota: bool
    queued_ms: float  # when it was last added to the queue
    number: int  # counts the requests of the router in the order of their arrival
    random_bits: int  # select the preferred worker that is tried first
    concurrency: int  # slots of an instance, according to this request
    attempts: list[Attempt] = []
    withheld_from: list[int] = []  # ids of workers to which it was not sent for want of a valid lease

    def has_attempt_in_flight(self) -> bool:
        """Return whether any attempt has not ended yet."""
        return any(attempt.in_flight for attempt in self.attempts)

    def first_possible_run(self) -> Attempt | None:
        """Return the first attempt that may have run; None if there is none."""
        return next((attempt for attempt in self.attempts if attempt.may_have_run), None)


class Function(Struct, eq=False):
    """A function, its queue and its presumed instances.

    Te, Tp, Ti and Td are the symbols of the CIDRE paper for the times by which it decides between waiting for
    a busy instance and starting a new one (see `speculation`).
    """

    name: str
    class_name: str  # class of its newest request
    concurrency: int  # slots of an instance, according to its newest request
    hinted_start_ms: float | None  # typical start time, according to its requests
    hash: int  # hash of its name, for rendezvous hashing
    queue: RequestQueue[Request] = field(default_factory=RequestQueue)
    pools: dict[int, InstancePool] = {}  # by worker id
    last_probed_ms: float = -math.inf  # time of the last probe at any worker
    probe_refused_ms: float = -math.inf  # when the limits on pending probes last did not allow one
    was_served: bool = False  # whether a worker has served a request
    awaits_check: bool = False  # the health check of a worker with a free slot is pending

    # Load and placement.
    arrivals: ArrivalRate = field(default_factory=lambda: ArrivalRate(ARRIVAL_DECAY_MS, ARRIVAL_BURST))
    estimated_in_flight: float = 0.0  # requests of all routers in flight, estimated from answers
    fanout: int = 1  # number of preferred workers
    hash_order: list[Worker] = []  # cached; see `Placement.hash_order`
    hash_order_sizes: dict[int, float] | None = None  # workers and sizes for which `hash_order` is cached
    workers_with_pool: list[Worker] | None = None  # cached; see `Placement.workers_with_pool`

    # Statistics for the choice between waiting for a busy instance and starting a new one.
    run_times: SlidingMedian = field(default_factory=new_median)  # the median is Te
    start_times: SlidingMedian = field(default_factory=new_median)  # the median is Tp
    queue_waits: SlidingMedian = field(default_factory=new_median)  # the median is Td
    idle_before_use_ms: float = 0.0  # Ti: idle time of the last speculative instance before its first use
    speculates: bool = True  # whether cold starts are allowed while warm instances are busy

    def pool_at(self, worker: Worker) -> InstancePool:
        """Return the pool at a worker, adding it if missing, and make this the worker's last function."""
        worker.last_function = self
        pool = self.pools.get(worker.id)
        if pool is None:
            pool = InstancePool()
            self.pools[worker.id] = pool
            self.workers_with_pool = None
        return pool
