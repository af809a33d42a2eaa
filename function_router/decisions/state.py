"""Workers, functions, requests and attempts, as the decision module knows them; nothing is decided here."""

import math

from msgspec import Struct, field

from function_router.decisions.events import Endpoint
from function_router.decisions.settings import RequestClass
from function_router.limits import CircuitBreaker
from function_router.statistics import ArrivalRate, DecayingCounter, SlidingMedian, SlidingWindow

WINDOW_MS = 10_000.0  # samples and counts older than this are forgotten (the design's window)
SWEEP_MS = 40.0  # interval of the timer for deadlines, waits and silent workers; well under a run
MAX_SAMPLES = 64  # kept for one median: more would not move it, and cost 100 bytes each
FADE_MS, BURST = 30_000.0, 3  # a function's arrivals fade over this; so many at once count more


def new_median() -> SlidingMedian:
    """A median of what came in the window."""
    return SlidingMedian(WINDOW_MS, MAX_SAMPLES, SWEEP_MS)


class Worker(Struct, eq=False):
    """A worker of the endpoint list; one that was removed stays for a while."""

    id: int
    endpoint: Endpoint
    hash: int  # of its id, for rendezvous hashing
    in_flight: int = 0  # own attempts
    sends: DecayingCounter = field(default_factory=lambda: DecayingCounter(WINDOW_MS))
    started_ms: float | None = None  # notified, or guessed when an unresponsive worker came back empty
    awaiting_since_ms: float | None = None  # since when a reply is owed with nothing heard
    slowdown: float = 1.0  # its runs, as a multiple of what the function's take elsewhere
    slow_until_ms: float = -math.inf  # passed over until then
    pinged_ms: float | None = None  # when the last sign of life was asked for
    unresponsive_since_ms: float | None = None
    max_in_flight: float = math.inf  # own requests that it can work on well, as of the last refresh
    slow_start_sends: SlidingWindow = field(default_factory=SlidingWindow)
    recent_sends: SlidingWindow = field(default_factory=SlidingWindow)  # in the window of an overload
    last_function: "Function | None" = None  # that was seen there
    removed_since_ms: float | None = None
    breakers: dict[str, CircuitBreaker] = {}  # by class

    def count_sends_since_start(self) -> None:
        """Count what was sent to it since its start, of which the notification has just come."""
        self.slow_start_sends.clear()
        for sent_ms in self.recent_sends:
            if self.started_ms is not None and sent_ms >= self.started_ms:
                self.slow_start_sends.add(sent_ms)


class InstancePool(Struct, eq=False):
    """What is believed of the instances of one function at one worker."""

    count: int = 0
    seen_ms: float = -math.inf  # last sign that one stands
    counted_ms: float = -math.inf  # when the worker last reported how many stand
    in_flight: int = 0  # own attempts
    probes: int = 0  # that are not answered yet
    probed_ms: float = -math.inf
    ordered_ms: float | None = None  # when the start order that is in flight was given
    ordered_count: int = 0
    is_speculative: bool = False  # that order races a busy warm instance
    blocked_until_ms: float = -math.inf  # takes nothing until then
    unused_since_ms: float | None = None  # a speculative instance stands since then and was not needed
    slots_before: int = 0  # that were there when it came


class Attempt(Struct, eq=False):
    """One send of a request to a worker."""

    request_id: str
    worker_id: int
    function: "Function"
    class_name: str
    sent_ms: float
    is_uncrowded: bool  # the worker had little in flight when it left
    candidates: int  # warm workers that it was drawn from
    in_flight: bool = True
    is_lost: bool = False
    may_have_run: bool = True


class Request(Struct, eq=False):
    """An admitted request without its final answer."""

    id: str
    function: "Function"
    request_class: RequestClass
    arrived_ms: float
    deadline_ms: float
    over_quota: bool
    queued_ms: float
    random_bits: int  # where among a wide function's first workers it starts
    concurrency: int
    attempts: list[Attempt] = []

    def has_attempt_in_flight(self) -> bool:
        """Whether an attempt has not ended yet."""
        return any(attempt.in_flight for attempt in self.attempts)

    def first_run(self) -> Attempt | None:
        """The first attempt that may have run."""
        return next((attempt for attempt in self.attempts if attempt.may_have_run), None)


class Function(Struct, eq=False):
    """A function, its queue, and where its instances are believed to stand."""

    name: str
    class_name: str  # of its newest request
    concurrency: int  # as that one tells: a new version may have another
    hinted_start_ms: float | None
    hash: int  # of its name, for rendezvous hashing
    queue: list[Request] = []
    pools: dict[int, InstancePool] = {}  # by worker
    order: list[Worker] = []  # by rendezvous hashing, of these workers:
    order_members: dict[int, float] | None = None
    known_workers: list[Worker] | None = None  # those with a pool, in that order
    run_times: SlidingMedian = field(default_factory=new_median)  # the design's Te is their median,
    start_times: SlidingMedian = field(default_factory=new_median)  # Tp
    queue_waits: SlidingMedian = field(default_factory=new_median)  # and Td
    idle_ms: float = 0.0  # Ti: of the last speculative instance that was used, before its use
    speculates: bool = True  # the design's switch
    probed_ms: float = -math.inf
    arrivals: ArrivalRate = field(default_factory=lambda: ArrivalRate(FADE_MS, BURST))  # own
    width: int = 1  # first workers in order that the requests of all routers need
    in_flight: float = 0.0  # requests of all routers, as answers tell; fading
