"""All decisions of function_router: conditional speculative scaling after CIDRE, for one front end.

A request goes to the first worker in its function's hash order with a free warm lane within the bound.
Without one it is held, and a busy warm instance races one new load for it; the first takes it (`_race`).
"""

import math
from collections import OrderedDict, deque
from dataclasses import dataclass, field
from itertools import islice

from function_router import statistics
from function_router.decisions import actions, events
from function_router.decisions.settings import RequestClass, Settings
from function_router.decisions.types import DeduplicationScope, Outcome, RetrySafety, StartKind, WorkerState
from function_router.statistics import DecayingCounter, SlidingMedian, TokenBucket, hash64, mix64

WINDOW_MS = 10_000.0  # samples of Te, Tp and Td older than this are forgotten (the design's window)
SWEEP_MS = 40.0  # pace of the timer for deadlines, waits and silent workers; well under a run
LEAD_MS = 20.0  # a final answer goes out this long before the client leaves: room for a starved process
MAX_FUNCTIONS, FORGET_MS = 2_000, 60_000.0  # kept in mind, and without a call; a worker gone too
MAX_SAMPLES = 64  # samples kept for one median: more would not move it, and cost 100 bytes each
REFRESH_MS = 1_000.0  # pace of what depends on the whole fleet; no rate is taken over less
ASK_FACTOR = 2.0  # past this multiple another place is asked: past the other one, chance alone takes many
STALE_MS = 1_000.0  # a copy with no sign for this long may have given way
RATE_MS = 5_000.0  # stretch over which arrivals are counted, and pause between questions for an empty place
BOUND_FACTOR, BOUND_FLOOR = 1.5, 2.0  # own requests for a worker: so many times its fair share, and these
SHARE_FACTOR, MIN_SHARE = 1.3, 0.5  # and a multiple of its share of own sends over the window
SURVEY_WIDTH, ASK_WAIT_MS = 4, 12.0  # workers asked at once in small fleets; for that long a load waits
SILENT_MS, SIGN_WAIT_MS = 300.0, 80.0  # a worker that owes and says nothing is asked for a sign, then suspect
TRIAL_MS, BLOCK_MS = 1_000.0, 1_000.0  # between questions to a suspect; after a load that failed
COLD_SAFETY = 0.75  # part of a cold worker's budget that is used: capacity and other front ends are guesses
LATE_LEAVE_MS = 20.0  # an order that leaves this long after it was decided is looked at once more
WINDOW_MARGIN_MS = 100.0  # a keyed repeat must arrive inside the window, not just leave inside it
INITIAL_START_ORDERS, MIN_START_ORDERS, MAX_START_ORDERS = 8.0, 2.0, 24.0  # own ones under way at once
LOAD_SLOW = 2.5  # a load this many times slower than told says that the store is crowded
RUN_GAIN, ANSWER_GAIN = 0.02, 0.4  # weight of one uncrowded run in their mean; of one answer on others' load
ROOM_SPREAD = 1.5  # room for chance in a worker's limit, in square roots of its mean requests
SPREAD_LANES, SPREAD_PART = 1.2, 0.6  # of a copy's lanes a wide function is to fill, and of a worker's room
FADE_MS, RUSH = 30_000.0, 3  # a function's width forgets over this; so many arrivals at once count more
OVERDUE_RUNS, LOST_RUNS = 3.0, 8.0  # out for so many runs, an attempt deserves a second, and is held lost
LOSSES, LOSS_KEPT = 2.0, 0.7  # so many lost rest a class at a worker; each answer takes part of them back
REST_MS, MAX_REST_MS = 2_000.0, 8_000.0  # then one call tries it, and after each try it rests for longer
HEDGE_SHARE, MAX_HEDGES = 0.1, 3.0  # second attempts a request, and saved up; first comers are free
STRAINED = 1.8  # runs this many times the usual: others load the worker; forgotten over the window
YIELD = 0.35  # part of a worker's limit open to requests beyond a share or past their time
LATE_RUNS, MAX_LATE_PART = 2.0, 0.5  # late: less time left than so many runs, and this part of the objective
HELD_PART = 0.5  # of a request's time: one that is late by then and was never sent is given up
LOADED = (StartKind.COLD_START, StartKind.JOINED_COLD_START)  # answers of calls that found no free lane
TENANT_BURST_S = 1.0  # seconds of its share that a tenant may use at once


def _samples() -> SlidingMedian:
    return SlidingMedian(WINDOW_MS, MAX_SAMPLES, SWEEP_MS)


@dataclass(slots=True, eq=False)
class Worker:
    id: int
    entry: events.Endpoint
    mark: int  # its number as 64 well-mixed bits, for the hash orders
    own: int = 0  # own attempts out
    sends: DecayingCounter = field(default_factory=lambda: DecayingCounter(WINDOW_MS))
    started_ms: float | None = None  # told, or guessed when a silent worker came back empty
    owed_ms: float | None = None  # since when an answer is owed with nothing heard
    strain: float = 1.0  # its runs, as a multiple of what the function's take elsewhere
    strained_ms: float = -math.inf  # passed over until then
    sign_ms: float | None = None  # when the last sign was asked for
    suspect_ms: float | None = None  # since when it is held silent
    limit: float = math.inf  # own requests that it can work on well, as of the last refresh
    sent: deque[float] = field(default_factory=deque)  # sends while cold
    last: "Function | None" = None  # the function last seen there
    gone_ms: float | None = None  # since when
    breakers: dict[str, "Breaker"] = field(default_factory=dict)  # by class


@dataclass(slots=True, eq=False)
class Breaker:  # answers of a class that a worker lost or turned to errors, though it answers others
    losses: float = 0.0
    rests_ms: float = -math.inf  # until then
    rest_ms: float = REST_MS


@dataclass(slots=True, eq=False)
class Instance:
    instances: int = 0
    seen_ms: float = -math.inf  # last sign that one stands
    counted_ms: float = -math.inf
    own: int = 0
    asks: int = 0  # questions out
    asked_ms: float = -math.inf
    order_ms: float | None = None  # when the order under way was given
    order_count: int = 0
    raced: bool = False  # that order raced a warm instance
    blocked_ms: float = -math.inf  # takes nothing until then
    unused_ms: float | None = None  # a raced copy stands since then and has not been needed
    lanes_before: int = 0


@dataclass(slots=True, eq=False)
class Attempt:
    request_id: str
    worker_id: int
    function: "Function"
    kind: str  # class of its request
    sent_ms: float
    alone: bool  # the worker was not crowded when it left
    among: int  # warm workers that it was drawn from
    open: bool = True
    lost: bool = False
    may_have_run: bool = True


@dataclass(slots=True, eq=False)
class Request:
    id: str
    function: "Function"
    spec: RequestClass
    arrived_ms: float
    deadline_ms: float
    over_share: bool
    held_ms: float
    draw: int  # where in a wide function's first workers it starts
    concurrency: int
    attempts: list[Attempt] = field(default_factory=list)

    def first_run(self) -> Attempt | None:  # the first that may have run
        return next((attempt for attempt in self.attempts if attempt.may_have_run), None)


@dataclass(slots=True, eq=False)
class Function:
    name: str
    kind: str  # class of its newest call
    concurrency: int  # as that one tells: a new version may have others
    load_told_ms: float | None
    mark: int
    queue: list[Request] = field(default_factory=list)
    instances: dict[int, Instance] = field(default_factory=dict)
    order: list[Worker] = field(default_factory=list)  # workers in hash order
    order_members: dict[int, float] | None = None  # that it was made of
    known: list[Worker] | None = None  # those with an instance, in hash order
    runs: SlidingMedian = field(default_factory=_samples)  # for Te
    loads: SlidingMedian = field(default_factory=_samples)  # for Tp
    waits: SlidingMedian = field(default_factory=_samples)  # for Td
    idle_ms: float = 0.0  # Ti, of the last raced load that was used
    load_path: bool = True
    asked_ms: float = -math.inf
    arrived: float = 0.0  # own arrivals, fading
    last_ms: deque[float] = field(default_factory=lambda: deque(maxlen=RUSH))  # the last arrivals
    width: int = 1  # first workers in order that the whole fleet's calls need
    in_flight: float = 0.0  # calls of all front ends in flight, as answers tell


class Router:
    """Decides for one front end. Same events, same actions; chance comes from the seed alone."""

    def __init__(self, settings: Settings, seed: int) -> None:
        self.settings, self.now, self.started_at_ms = settings, 0.0, math.inf
        self.seed = self.chance = seed
        self.actions: list[actions.Action] = []
        self.workers, self.ready = dict[int, Worker](), list[Worker]()
        self.members: dict[int, float] = {}  # that the hash orders hold, and their sizes
        self.watched: dict[int, Worker] = {}  # those that owe an answer or are suspect
        self.suspects = 0  # ready workers that are suspect
        self.functions, self.waiting = dict[str, Function](), dict[str, Function]()
        self.requests, self.attempts = dict[str, Request](), dict[tuple[str, int], Attempt]()
        self.flying: deque[Attempt] = deque()  # attempts out for less than the promise
        self.hedges = MAX_HEDGES  # tokens for second attempts
        self.sends = DecayingCounter(WINDOW_MS)
        self.ordered = deque[float]()  # when orders left, in the ration's window
        self.taken = OrderedDict[str, float]()  # when requests came in it, by their clients' ids
        self.loads_limit, self.loading = INITIAL_START_ORDERS, 0  # own orders under way
        self.tenant_buckets: dict[str, TokenBucket] = {}
        self.total, self.fleet = 1.0, 0.01  # size of the ready fleet, cold workers in part; the largest seen
        self.wide = False  # this front end's part of what a worker can take is below one request
        self.limit, self.came = math.inf, 0  # own attempts in flight, in all; requests that came
        self.peers, self.sold = max(1, settings.router_count), sum(settings.tenant_quotas_rps.values()) / 1000
        self.worker_capacity = 0.0  # what a worker can take of all front ends, in flight
        objectives = [spec.latency_objective_ms for spec in settings.classes.values()]
        self.latency_objective_ms = min(objectives, default=1000.0)
        self.runs, self.run_ms, self.sweeping = _samples(), self.latency_objective_ms / 5, False
        self.refreshed_ms = self.forgot_ms = -math.inf
        self.handlers = {
            events.EndpointsChanged: self._on_roster,
            events.RequestArrived: self._on_request,
            events.RequestCancelled: self._on_left,
            events.AttemptEnded: self._on_attempt,
            events.DrainStarted: self._on_leaving,
            events.InstancesReported: self._on_order,
            events.TimerFired: self._on_timer,
        }

    def handle(self, now_ms: float, events: list[events.Event]) -> list[actions.Action]:
        """Take the events of one moment, in order; the actions take effect at that moment."""
        self.now, self.started_at_ms, self.actions = now_ms, min(self.started_at_ms, now_ms), []
        for event in events:
            self.handlers[type(event)](event)
        if not self.sweeping and (self.requests or self.attempts):
            self.sweeping = True
            self.actions.append(actions.SetTimer(SWEEP_MS, 0))
        return self.actions

    def _on_roster(self, event: events.EndpointsChanged) -> None:
        named = {entry.worker_id for entry in event.endpoints}
        if event.is_complete:
            for missing in self.workers.keys() - named:
                self.workers[missing].entry.state = WorkerState.REMOVED
        for entry in event.endpoints:
            if entry.worker_id not in self.workers:
                self.workers[entry.worker_id] = Worker(entry.worker_id, entry, hash64(str(entry.worker_id)))
            worker = self.workers[entry.worker_id]
            worker.entry, worker.gone_ms = entry, None
            if entry.started_at_ms is not None and entry.started_at_ms > (worker.started_ms or -math.inf):
                worker.started_ms = entry.started_at_ms
        self.ready = [worker for worker in self.workers.values() if worker.entry.state == WorkerState.READY]
        self.suspects = sum(worker.suspect_ms is not None for worker in self.ready)
        members = {worker.id: self._units(worker) for worker in self.ready}
        self.members = self.members if members == self.members else members
        self._refresh()
        self._dispatch_all()

    def _on_request(self, event: events.RequestArrived) -> None:
        self.taken.setdefault(event.client_id or event.request_id, self.now - event.age_ms)
        self.came, name = self.came + 1, event.function
        if name not in self.functions:
            if len(self.functions) >= MAX_FUNCTIONS:
                self._forget()
            self.functions[name] = Function(name, event.class_name, event.concurrency, None, hash64(name))
        fn = self.functions[name]
        fn.kind, fn.concurrency = event.class_name, max(1, event.concurrency)
        fn.load_told_ms = event.start_ms or fn.load_told_ms
        spec = self.settings.classes.get(event.class_name) or RequestClass(event.class_name)
        over = self._over_share(event.tenant)
        self.seed, draw, due = self.seed + 1, mix64(mix64(self.seed)), self.now + event.timeout_ms
        request = Request(event.request_id, fn, spec, self.now, due, over, self.now, draw, fn.concurrency)
        self._measure(fn)
        self.hedges = min(MAX_HEDGES, self.hedges + HEDGE_SHARE)
        self.requests[request.id] = request
        fn.queue.append(request)
        if request.deadline_ms - self.now <= SWEEP_MS + LEAD_MS:
            self._finish(request)  # the next sweep may be too late: a client's last try has little time
        elif not self._is_warm(fn, self.wide):
            for worker in self._turned(fn, request)[:1] if self.wide else self._ordered(fn)[:SURVEY_WIDTH]:
                self._spread(fn, worker)
        self._dispatch(fn)

    def _forget(self) -> None:  # guards the memory
        past, used = self.now - FORGET_MS, {worker.last for worker in self.workers.values()}
        half = MAX_FUNCTIONS // 2 * (len(self.functions) >= MAX_FUNCTIONS)
        for n, fn in enumerate(sorted(self.functions.values(), key=lambda fn: fn.last_ms[-1])):
            busy = any(i.own or i.asks or i.order_ms is not None for i in fn.instances.values())
            if not (busy or fn.queue or fn in used) and (n < half or fn.last_ms[-1] < past):
                del self.functions[fn.name]
        for worker in [w for w in self.workers.values() if w.entry.state is WorkerState.REMOVED]:
            worker.gone_ms = worker.gone_ms or self.now
            if worker.gone_ms < past and not worker.own:
                for fn in self.functions.values():
                    fn.instances.pop(worker.id, None)
                    fn.known = None
                self.watched.pop(worker.id, None)
                del self.workers[worker.id]

    def _on_left(self, event: events.RequestCancelled) -> None:
        self.taken.pop(event.client_id or event.request_id, None)  # allows no load, also if it was answered
        if request := self.requests.get(event.request_id):
            self._close(request)

    def _on_leaving(self, event: events.DrainStarted) -> None:
        for request in self.requests.values():
            request.deadline_ms = min(request.deadline_ms, self.now + event.within_ms)

    def _on_attempt(self, event: events.AttemptEnded) -> None:
        attempt = self.attempts.pop((event.request_id, event.attempt_number), None)
        if attempt is None:
            return
        if attempt in self.flying:
            self.flying.remove(attempt)
        fn, worker = attempt.function, self.workers[attempt.worker_id]
        instance = fn.instances[worker.id]
        attempt.open, instance.own, worker.own = False, instance.own - 1, worker.own - 1
        proven = (Outcome.QUEUE_FULL, Outcome.CONNECT_FAILED, Outcome.NOT_SENT, Outcome.NOT_LOADED)
        attempt.may_have_run = event.outcome not in proven
        if event.outcome in (Outcome.OK, Outcome.ERROR, Outcome.QUEUE_FULL, Outcome.NOT_LOADED):
            self._heard(worker)
        if event.outcome is Outcome.OK:
            none = event.in_flight is not None and event.in_flight < fn.concurrency  # stood
            none = none and event.start_kind in LOADED and instance.counted_ms < attempt.sent_ms
            instance.instances, instance.seen_ms = 1 if none else max(1, instance.instances), self.now
            if event.start_kind in (StartKind.UNKNOWN, StartKind.WARM):
                fn.runs.add(self.now, event.duration_ms)
                self.runs.add(self.now, event.duration_ms)
                self.run_ms += RUN_GAIN * (event.duration_ms - self.run_ms) * attempt.alone
                self._strain(worker, event.duration_ms / self._te(fn))
            self._found(worker, attempt)
        elif event.outcome is Outcome.NOT_LOADED or event.start_kind is StartKind.START_FAILED:
            instance.instances = 0
        elif event.outcome is Outcome.ERROR and fn.runs:  # else the call itself may be at fault
            self._lose(worker, attempt.kind)
        elif event.outcome is Outcome.QUEUE_FULL:
            instance.blocked_ms = self.now + self._te(fn)
            self._strain(worker, 2 * STRAINED)
        elif event.outcome is Outcome.CONNECT_FAILED:
            self._suspect(worker)
        elif event.outcome is Outcome.RESET:
            self._doubt(worker)
        if event.in_flight is not None and event.outcome in (Outcome.OK, Outcome.QUEUE_FULL):
            fn.in_flight += ANSWER_GAIN * (event.in_flight * attempt.among - fn.in_flight)
        request = self.requests.get(event.request_id)
        if request is not None and event.is_answered:
            self.hedges += attempt is not request.attempts[0] and request.attempts[0].open  # worth its token
            self._close(request)
        elif request is not None and request not in fn.queue:
            self._again(request)
        self._dispatch_all(worker)
        self._dispatch(fn)

    def _on_order(self, event: events.InstancesReported) -> None:
        fn, worker = self.functions.get(event.function), self.workers.get(event.worker_id)
        if fn is None or worker is None:
            return
        instance = self._instance(fn, worker)
        short = event.outcome is Outcome.OK and event.instances < instance.order_count
        is_load = instance.order_ms is not None and not (instance.asks and short)
        if event.outcome in (Outcome.OK, Outcome.QUEUE_FULL, Outcome.ERROR):
            if worker.suspect_ms is not None and instance.instances and not event.instances:
                worker.started_ms = self.now  # it came back empty: a restart that the roster has not told
            self._heard(worker, TRIAL_MS)  # a sign lasts for longer than a run
            if is_load and instance.raced and event.outcome is Outcome.OK:
                instance.unused_ms, instance.lanes_before = self.now, instance.instances * fn.concurrency
            instance.instances, instance.counted_ms, instance.seen_ms = event.instances, self.now, self.now
        elif event.outcome is Outcome.CONNECT_FAILED:
            self._suspect(worker)
        elif event.outcome is Outcome.RESET:
            self._doubt(worker)
        if is_load:
            self._load_answered(fn, instance, event)
        else:
            instance.asks = max(0, instance.asks - 1)
            if self.wide and event.outcome is Outcome.OK and worker in self._ordered(fn)[: fn.width]:
                self._spread(fn, worker)
        self._dispatch(fn)

    def _load_answered(self, fn: Function, instance: Instance, event: events.InstancesReported) -> None:
        took, told = self.now - instance.order_ms, fn.load_told_ms or self._tp(fn)
        instance.order_ms, self.loading = None, self.loading - 1
        if event.outcome is Outcome.OK:
            fn.loads.add(self.now, took)
        else:
            instance.blocked_ms = self.now + BLOCK_MS
        timely = event.outcome is Outcome.OK and took < LOAD_SLOW * told
        if event.outcome in (Outcome.OK, Outcome.ERROR):
            limit = self.loads_limit + (1 / self.loads_limit if timely else -0.2 * self.loads_limit)
            self.loads_limit = min(MAX_START_ORDERS, max(MIN_START_ORDERS, limit))

    def _on_timer(self, event: events.TimerFired) -> None:
        self.sweeping = False
        for request in list(self.requests.values()):
            if self._hopeless(request) or self.now + SWEEP_MS + LEAD_MS >= request.deadline_ms:
                self._finish(request)
            elif self.wide and request.attempts and request not in request.function.queue:
                self._hasten(request, request.attempts[-1])
        self._miss_answers()
        while self.flying and self.now - self.flying[0].sent_ms > self.latency_objective_ms:
            self.flying.popleft()  # lost, for all that is known: it stands in nobody's way
        for worker in list(self.watched.values()):
            self._watch(worker)
        if self.now - self.refreshed_ms >= REFRESH_MS:
            self._refresh()
        if self.waiting and len(self.flying) < self.limit:
            self._dispatch_all()

    def _hopeless(self, request: Request) -> bool:  # not out and hardly to be on time
        if any(attempt.open for attempt in request.attempts) or not self._late(request):
            return False
        held = self.now + SWEEP_MS + LEAD_MS - request.arrived_ms
        return request.over_share or held >= HELD_PART * (request.deadline_ms - request.arrived_ms)

    def _copies(self, instance: Instance, worker: Worker) -> int:  # none after a restart or a keep-alive
        kept_ms = FADE_MS if self.wide else self.settings.keep_alive_ms  # others' calls renew it too
        lapsed = instance.own == 0 and self.now - instance.seen_ms > kept_ms
        return 0 if lapsed or instance.seen_ms <= (worker.started_ms or -math.inf) else instance.instances

    def _te(self, fn: Function) -> float:  # te: the median run, of all functions while this one has none
        return fn.runs.median(self.now) or self.runs.median(self.now) or 200.0

    def _tp(self, fn: Function) -> float:  # tp: the median load, as told while none was seen
        return fn.loads.median(self.now) or fn.load_told_ms or 1000.0

    def _strain(self, worker: Worker, runs: float) -> None:  # long runs and full answers tell of others' load
        worker.strain += ANSWER_GAIN * (runs - worker.strain)
        if self.wide and worker.strain > STRAINED:
            worker.strained_ms = self.now + WINDOW_MS * math.log((worker.strain - 1) / (STRAINED - 1))

    def _heard(self, worker: Worker, after_ms: float = 0.0) -> None:
        worker.owed_ms = self.now + after_ms if worker.own else None
        worker.sign_ms = None
        if worker.suspect_ms is not None:
            self.suspects -= worker.entry.state == WorkerState.READY
            worker.suspect_ms = None
            self.actions.append(actions.LogMessage(f"worker {worker.id} answers again"))

    def _owe(self, worker: Worker, after_ms: float = 0.0) -> None:
        if worker.owed_ms is None:  # else it owes one already
            worker.owed_ms = self.now + after_ms
            self.watched[worker.id] = worker

    def _watch(self, worker: Worker) -> None:
        """Ask a silent worker for a sign; without one, send nothing there and take its requests back."""
        if worker.suspect_ms is not None:
            if self.now - (worker.sign_ms or worker.suspect_ms) >= TRIAL_MS:
                self._ask_sign(worker)
        elif worker.sign_ms is not None:
            if self.now - worker.sign_ms >= SIGN_WAIT_MS:
                self._suspect(worker)
        elif worker.owed_ms is None:
            del self.watched[worker.id]
        elif self._silent(worker, LOST_RUNS if self.wide else OVERDUE_RUNS):
            self._ask_sign(worker)

    def _silent(self, worker: Worker, runs: float) -> bool:  # for longer than so many runs
        due_ms = max(SILENT_MS, runs * (self.runs.median(self.now) or 0.0))
        return worker.owed_ms is not None and self.now - worker.owed_ms >= due_ms

    def _ask_sign(self, worker: Worker) -> None:
        worker.sign_ms = self.now
        if worker.last and self.settings.can_order_starts and worker.entry.state != WorkerState.REMOVED:
            self._ask(worker.last, worker)

    def _ask(self, fn: Function, worker: Worker) -> None:
        instance = self._instance(fn, worker)
        instance.asks, instance.asked_ms, fn.asked_ms = instance.asks + 1, self.now, self.now
        self._owe(worker)
        self.actions.append(actions.EnsureInstances(worker.id, fn.name, 0))

    def _doubt(self, worker: Worker) -> None:  # ask for a sign
        if worker.suspect_ms is None and worker.sign_ms is None:
            self._ask_sign(worker)

    def _suspect(self, worker: Worker) -> None:
        if worker.suspect_ms is not None:
            return
        worker.suspect_ms = worker.sign_ms = self.now
        self.watched[worker.id] = worker
        self.suspects += worker.entry.state == WorkerState.READY
        self.actions.append(actions.LogMessage(f"worker {worker.id} is silent: nothing new goes there"))
        for attempt in list(self.attempts.values()):
            request = self.requests.get(attempt.request_id)
            if attempt.worker_id == worker.id and request and request not in attempt.function.queue:
                self._again(request)
                self._dispatch(attempt.function)

    def _usable(self, worker: Worker, kind: str) -> bool:  # ready, and not suspect unless most are
        trusted = worker.suspect_ms is None or self.suspects * 2 > len(self.ready)
        ready = worker.entry.state == WorkerState.READY and trusted
        return ready and not (worker.breakers and self._rests(worker, kind))

    def _urgency(self, request: Request) -> tuple[bool, bool, float, str]:
        return request.over_share, self._late(request), request.arrived_ms, request.id

    def _dispatch_all(self, worker: Worker | None = None) -> None:  # most urgent first
        held = [fn for fn in self.waiting.values() if fn.queue and (not worker or worker.id in fn.instances)]
        for fn in sorted(held, key=lambda fn: min(map(self._urgency, fn.queue))):
            self._dispatch(fn)

    def _dispatch(self, fn: Function) -> None:
        self._fill(fn)
        self.waiting.pop(fn.name, None)
        if fn.queue:
            self.waiting[fn.name] = fn
            self._race(fn)

    def _fill(self, fn: Function) -> None:  # the only place that sends
        if len(fn.queue) > 1:
            fn.queue.sort(key=self._urgency)
        for request in list(fn.queue):
            if (worker := self._lane(fn, request)) is not None:
                self._send(request, worker)
            elif request.first_run() is None:
                break

    def _lane(self, fn: Function, request: Request) -> Worker | None:  # first within the bound, or idlest
        again = any(attempt.open for attempt in request.attempts)
        part = YIELD if again or request.over_share or self._late(request) else 1.0
        spare, held = [], len(self.flying) >= self.limit * (1.0 if again else part)
        if held or (self.wide and self._asking(fn)):
            return None  # one question at a time; the drawn place is to answer first
        for worker in self._places(fn, request):
            if self._free(request, worker) and self._may_send_here(request, worker, part):
                if worker.own < self._bound(worker):
                    return worker
                spare.append(worker)
        return min(spare, key=lambda worker: worker.own, default=None)

    def _free(self, request: Request, worker: Worker) -> bool:
        """A free warm lane; where calls come often, copies with no sign for a while are asked after first."""
        fn, lanes, instance = request.function, request.concurrency, request.function.instances[worker.id]
        if self.now < instance.blocked_ms or self._copies(instance, worker) * lanes <= instance.own:
            return False
        most = max(-(-instance.own // lanes), self.now - instance.seen_ms < STALE_MS) * lanes
        sure = most > instance.own or self.wide or self.now - instance.counted_ms < STALE_MS
        sure = sure or not self.settings.can_order_starts
        if not sure and not instance.asks and self._usable(worker, fn.kind):
            self._ask(fn, worker)
        return sure

    def _send(self, request: Request, worker: Worker) -> None:
        fn = request.function
        instance = self._instance(fn, worker)
        among = max(1, sum(w.id in fn.instances for w in fn.order[: fn.width]))
        attempt = Attempt(request.id, worker.id, fn, request.spec.name, self.now, worker.own < 2, among)
        self.attempts[request.id, len(request.attempts)] = attempt
        self.flying.append(attempt)
        request.attempts.append(attempt)
        fn.queue.remove(request)
        if self.now > request.held_ms:
            fn.waits.add(self.now, self.now - request.held_ms)
        instance.own, worker.own = instance.own + 1, worker.own + 1
        self.sends.add(self.now)
        worker.sends.add(self.now)
        if self._warmth(worker) < 1.0:
            worker.sent.append(self.now)
        self._owe(worker)
        if (breaker := worker.breakers.get(attempt.kind)) and breaker.losses >= LOSSES:
            breaker.rest_ms = min(MAX_REST_MS, 2 * breaker.rest_ms)  # this one tries it
            breaker.rests_ms = self.now + breaker.rest_ms
        if instance.unused_ms is not None and instance.own > instance.lanes_before:
            fn.idle_ms, instance.unused_ms = self.now - instance.unused_ms, None
        self.actions.append(actions.SendRequest(request.id, worker.id))

    def _miss_answers(self) -> None:
        """Hold overdue answers lost, try their calls elsewhere, and rest a class where several were lost."""
        for attempt in list(self.attempts.values()):
            fn, worker, kind = attempt.function, self.workers[attempt.worker_id], attempt.kind
            breaker = worker.breakers.get(kind)
            runs = OVERDUE_RUNS if breaker and breaker.losses >= LOSSES else LOST_RUNS
            due_ms = attempt.sent_ms + runs * max(self._te(fn), self.runs.median(self.now) or 0.0)
            if attempt.lost or worker.suspect_ms is not None or self.now < due_ms:
                continue
            attempt.lost, rests = True, self._lose(worker, kind)
            request = self.requests.get(attempt.request_id)
            if rests and request and request not in fn.queue and self._may_send_again(request):
                fn.queue.append(request)
                self._fill(fn)
                if request in fn.queue:  # no warm lane is free: not worth a wait or a load
                    fn.queue.remove(request)

    def _lose(self, worker: Worker, kind: str) -> bool:
        breaker = worker.breakers.setdefault(kind, Breaker())
        breaker.losses += 1
        if breaker.losses >= LOSSES:
            breaker.rests_ms = max(breaker.rests_ms, self.now + breaker.rest_ms)
        return breaker.losses >= LOSSES

    def _found(self, worker: Worker, attempt: Attempt) -> None:
        if breaker := worker.breakers.get(attempt.kind):
            breaker.losses = breaker.losses - 1 if attempt.lost else breaker.losses * LOSS_KEPT  # but slow
            if breaker.losses < 1:
                del worker.breakers[attempt.kind]

    def _rests(self, worker: Worker, kind: str) -> bool:  # unless most of the fleet would
        breaker = worker.breakers.get(kind)
        if breaker is None or breaker.losses < LOSSES or self.now >= breaker.rests_ms:
            return False
        resting = sum(kind in w.breakers and w.breakers[kind].rests_ms > self.now for w in self.ready)
        return resting * 2 <= len(self.ready)

    def _hasten(self, request: Request, attempt: Attempt) -> None:
        """A second attempt elsewhere for one out far longer than a run: lost, hung or slow. Few get it."""
        promise = request.spec.latency_objective_ms
        due = min(OVERDUE_RUNS * self._te(request.function), promise * MAX_LATE_PART)
        waits = attempt.open and self.now - attempt.sent_ms > due
        if waits and self.hedges >= 1 and self._may_send_again(request):
            self.hedges -= 1
            self._again(request)

    def _again(self, request: Request) -> None:  # hold it again, or end it
        if self._may_send_again(request):
            request.held_ms = self.now
            request.function.queue.append(request)
            self.waiting[request.function.name] = request.function
        elif not any(attempt.open for attempt in request.attempts):
            self._finish(request)

    def _may_send_here(self, request: Request, worker: Worker, part: float) -> bool:  # now?
        usable = self._usable(worker, request.spec.name)
        if worker.own >= worker.limit * part or not usable or not self._warm_enough(worker):
            return False
        if any(attempt.worker_id == worker.id and attempt.may_have_run for attempt in request.attempts):
            return False
        first = request.first_run()
        if first is None or request.spec.retry_safety is RetrySafety.IDEMPOTENT:
            return True
        if request.spec.retry_safety is RetrySafety.AT_MOST_ONCE or not self._may_send_again(request):
            return False
        origin, group = self.workers[first.worker_id].entry, request.spec.deduplication_scope
        if group is DeduplicationScope.ZONE:
            return origin.zone == worker.entry.zone
        return group is DeduplicationScope.ALL or origin.cell == worker.entry.cell

    def _may_send_again(self, request: Request) -> bool:  # may another attempt be made at all?
        twice, first = any(attempt.open for attempt in request.attempts), request.first_run()
        if len(request.attempts) >= self.settings.max_attempts or (twice and not self.settings.can_hedge):
            return False
        if first is None or request.spec.retry_safety is not RetrySafety.IDEMPOTENCY_KEY:
            return first is None or request.spec.retry_safety is RetrySafety.IDEMPOTENT
        return self.now - first.sent_ms < request.spec.idempotency_window_ms - WINDOW_MARGIN_MS

    def _may_refuse(self, request: Request) -> bool:
        safety, scope = request.spec.retry_safety, request.spec.deduplication_scope
        dropped = safety is RetrySafety.IDEMPOTENCY_KEY and scope is DeduplicationScope.ALL
        return not request.first_run() or safety is RetrySafety.IDEMPOTENT or dropped

    def _warm_enough(self, worker: Worker) -> bool:  # a budget that no burst or lost workers raise
        if (share := self._warmth(worker)) >= 1.0:
            return True
        multiple, window = self.settings.overload_multiple, self.settings.overload_window_ms
        while worker.sent and worker.sent[0] <= self.now - window:
            worker.sent.popleft()
        usual = max(self.sold / self.peers, self.came / max(RATE_MS, self.now - self.started_at_ms))
        rate = min(self._rate(), usual) * self._units(worker) / self.fleet
        budget = COLD_SAFETY * multiple * share * window * rate
        chance = mix64(mix64(self.chance ^ worker.mark)) / 2**64  # a part below one falls to so many routers
        return len(worker.sent) + 1 <= budget + chance

    def _warmth(self, worker: Worker) -> float:  # the part of its capacity that a worker has at the least
        if worker.started_ms is None:
            return 1.0
        age = max(0.0, self.now - worker.started_ms) / max(1.0, self.settings.slow_start_ms)
        return min(1.0, self.settings.slow_start_initial + (1 - self.settings.slow_start_initial) * age)

    def _rate(self) -> float:  # own arrivals a millisecond
        stretch = max(LATE_LEAVE_MS, (self.settings.start_window_ms or RATE_MS) - LATE_LEAVE_MS)
        while self.taken and next(iter(self.taken.values())) <= self.now - stretch:
            self.taken.popitem(last=False)
        return len(self.taken) / stretch

    def _bound(self, worker: Worker) -> float:  # own requests: a multiple of a fair share
        fair = (len(self.attempts) + 1) * self._size(worker) / self.total
        return max(BOUND_FLOOR * self._warmth(worker), BOUND_FACTOR * fair)

    def _fit(self, worker: Worker, factor: float = SHARE_FACTOR) -> bool:
        """Not strained, silent or past its share: functions meet there, and all front ends' calls add up."""
        fair = self.sends.value(self.now) * self._size(worker) / self.total
        past = worker.sends.value(self.now) > max(MIN_SHARE, factor * fair)
        return not past and worker.strained_ms <= self.now and not self._silent(worker, OVERDUE_RUNS)

    def _refresh(self) -> None:  # limits
        self.refreshed_ms = self.now
        if self.now - self.forgot_ms >= FORGET_MS / 4:
            self.forgot_ms = self.now
            self._forget()
        self.total, most = sum(self._size(worker) for worker in self.ready) or 1.0, 0.0
        self.fleet = max(self.fleet, sum(self._units(worker) for worker in self.ready))
        for worker in self.ready:
            mean = self.sold * self.run_ms * self._size(worker) / self.fleet  # of all front ends
            most += mean + ROOM_SPREAD * math.sqrt(mean)
            own = mean / self.peers + ROOM_SPREAD * math.sqrt(mean / self.peers)
            worker.limit = max(2.0 if self.wide else 1.0, own) if self.sold > 0 else math.inf
        self.worker_capacity = most / max(1, len(self.ready)) if self.sold > 0 else 2 * BOUND_FLOOR
        self.wide = self.worker_capacity < self.peers
        alive = sum(self._size(worker) for worker in self.ready if worker.suspect_ms is None) / self.fleet
        most = alive * self.sold * self.latency_objective_ms * MAX_LATE_PART / self.peers  # else all is late
        self.limit = most if self.wide and self.sold > 0 else math.inf

    def _late(self, request: Request) -> bool:  # hardly to be answered in time any more
        most, promise = LATE_RUNS * self._te(request.function), request.spec.latency_objective_ms
        return request.arrived_ms + promise - self.now < min(most, promise * MAX_LATE_PART)

    def _units(self, worker: Worker) -> float:
        return max(worker.entry.size, 0.01) if self.settings.worker_sizes_known else 1.0

    def _size(self, worker: Worker) -> float:
        return self._units(worker) * self._warmth(worker)

    def _ordered(self, fn: Function) -> list[Worker]:  # by rendezvous hashing, the same at every front end
        if fn.order_members is not self.members:
            ranks = {
                w: (statistics.rendezvous_rank(fn.mark, w.mark, self._units(w)), w.id) for w in self.ready
            }
            fn.order = sorted(self.ready, key=ranks.__getitem__)
            fn.order_members, fn.known = self.members, None
        return fn.order

    def _known(self, fn: Function) -> list[Worker]:  # in hash order, with some belief
        if self._ordered(fn) and fn.known is None:
            fn.known = [worker for worker in fn.order if worker.id in fn.instances]
        return fn.known or []

    def _instance(self, fn: Function, worker: Worker) -> Instance:
        worker.last = fn
        if worker.id not in fn.instances:
            fn.instances[worker.id], fn.known = Instance(), None
        return fn.instances[worker.id]

    def _places(self, fn: Function, request: Request) -> list[Worker]:  # believed warm, wide from a draw
        known = self._known(fn)
        if not self.wide:
            return known
        first = [w for w in self._turned(fn, request) if w.id in fn.instances]
        return list(dict.fromkeys(first + sorted(known, key=lambda w: not self._fit(w))))

    def _turned(self, fn: Function, request: Request) -> list[Worker]:  # as needed, from the drawn place on
        order = list(islice(filter(self._fit, self._ordered(fn)), fn.width)) or fn.order[: fn.width]
        turn = request.draw % max(1, len(order)) * self._is_warm(fn)
        return order[turn:] + order[:turn]

    def _measure(self, fn: Function) -> None:  # how many workers a function needs
        if fn.last_ms:
            faded = math.exp((fn.last_ms[-1] - self.now) / FADE_MS)
            fn.arrived, fn.in_flight = fn.arrived * faded, fn.in_flight * faded
        rate = fn.arrived / min(FADE_MS, self.now - self.started_at_ms + REFRESH_MS)
        if len(fn.last_ms) == RUSH:
            rate = max(rate, RUSH / max(self.now - fn.last_ms[0], REFRESH_MS))
        demand = max(rate * self.peers * self._te(fn), fn.in_flight)
        share = min(SPREAD_LANES * fn.concurrency, SPREAD_PART * self.worker_capacity)
        fn.width = min(max(1, math.ceil(demand / share)), max(1, len(self.ready)))
        fn.arrived += 1
        fn.last_ms.append(self.now)

    def _is_warm(self, fn: Function, fit: bool = False) -> bool:  # on a worker far from its share?
        able = (w for w in self._known(fn) if self._usable(w, fn.kind))
        warm = (w for w in able if self._copies(fn.instances[w.id], w))
        return any(not fit or self._fit(w, ASK_FACTOR) for w in warm)

    def _race(self, fn: Function) -> None:  # the loads that held requests need, one for the lanes of a copy
        if self._asking(fn):
            return
        warm = self._is_warm(fn)
        able = (fn.instances[w.id] for w in self._known(fn) if self._usable(w, fn.kind))
        pending = sum(instance.order_ms is not None for instance in able)
        held = sum(not (warm and (r.over_share or (self.wide and self._late(r)))) for r in fn.queue)
        if warm and (len(self.flying) >= self.limit or not self._load_path(fn)):
            return

        for _ in range(math.ceil(held / fn.concurrency) - pending):
            if not self._may_load(fn, warm, None):
                return
            order = self._turned(fn, fn.queue[0]) + self._ordered(fn)
            bare = (w for w in order if w.id not in fn.instances or not self._copies(fn.instances[w.id], w))
            able = (w for w in bare if w.own < self._bound(w) and self._may_load(fn, warm, w))
            worker = next(able, None) or next((w for w in order if self._may_load(fn, warm, w)), None)
            if worker is None:
                return
            self._load(fn, worker, warm)

    def _spread(self, fn: Function, worker: Worker) -> None:  # ask at a drawn place, load if empty
        instance = self._instance(fn, worker)
        usable = self._usable(worker, fn.kind) and self.settings.can_order_starts
        if not usable or self._copies(instance, worker):
            return
        warm = self._is_warm(fn)
        idle = self.wide and not instance.asks and (not warm or self._load_path(fn))
        if self.now - instance.asked_ms > RATE_MS:
            self._ask(fn, worker)
        elif idle and self._may_load(fn, warm, worker):
            self._load(fn, worker, warm)

    def _load(self, fn: Function, worker: Worker, warm: bool) -> None:
        instance = self._instance(fn, worker)
        instance.order_ms, instance.raced, self.loading = self.now, warm, self.loading + 1
        instance.order_count = min(16, self._copies(instance, worker) + 1)
        self.ordered.append(self.now)
        self._owe(worker, self._tp(fn))  # a load takes longer than a run, and says nothing until it stands
        self.actions.append(actions.EnsureInstances(worker.id, fn.name, instance.order_count))

    def _asking(self, fn: Function) -> bool:  # answers to questions are awaited, for a round trip at the most
        return self.now - fn.asked_ms < ASK_WAIT_MS and any(i.asks for i in fn.instances.values())

    def _load_path(self, fn: Function) -> bool:  # the switch: off at Ti > Te, on at Td > Tp
        if fn.load_path:
            unused = [i.unused_ms for i in fn.instances.values() if i.unused_ms is not None]
            idle = max([fn.idle_ms, *(self.now - since for since in unused)])
            flip = idle > self._te(fn)
        else:
            oldest = self.now - min((request.held_ms for request in fn.queue), default=self.now)
            flip = max(oldest, fn.waits.median(self.now) or 0.0) > self._tp(fn)
        if flip:
            fn.load_path, fn.idle_ms, fn.waits = not fn.load_path, 0.0, _samples()
            for instance in fn.instances.values():
                instance.unused_ms = None
        return fn.load_path

    def _may_load(self, fn: Function, warm: bool, worker: Worker | None) -> bool:  # or anywhere?
        instance = fn.instances.get(worker.id) if worker else None
        busy = instance and (instance.order_ms is not None or self.now < instance.blocked_ms)
        if busy or (worker and not self._usable(worker, fn.kind)):
            return False
        if worker and warm and (worker.own >= worker.limit or not self._warm_enough(worker)):
            return False
        return self.loading < self.loads_limit and self.settings.can_order_starts and not self._rationed()

    def _rationed(self) -> bool:  # would one more order that leaves now be too many?
        window = self.settings.start_window_ms
        while self.ordered and self.ordered[0] < self.now - window - self.settings.tick_ms - LATE_LEAVE_MS:
            self.ordered.popleft()
        self._rate()  # forgets old arrivals
        ration = self.settings.free_starts + self.settings.starts_per_request * len(self.taken)
        return window > 0 and len(self.ordered) + 1 > ration

    def recount_start_order(self, counted_ms: float, now_ms: float) -> float | None:
        """The moment that an order counts from, whose first byte may leave now; None where it must not."""
        if now_ms - counted_ms <= LATE_LEAVE_MS:
            return counted_ms
        self.now = max(self.now, now_ms)
        if counted_ms in self.ordered:
            self.ordered.remove(counted_ms)
        if self._rationed():
            return None
        self.ordered.append(self.now)
        return self.now

    def _over_share(self, tenant: str) -> bool:  # a token bucket of its share, in part
        quota = self.settings.tenant_quotas_rps.get(tenant)
        if quota is None:
            return False
        rate = quota / self.peers  # with room for chance, as few calls come unevenly
        most = rate * TENANT_BURST_S + self.wide * 2 * math.sqrt(rate * WINDOW_MS / 1000)
        bucket = self.tenant_buckets.setdefault(tenant, TokenBucket(self.now, most))
        return not bucket.try_take(self.now, rate, most)

    def _finish(self, request: Request) -> None:  # the one final answer that this front end gives itself
        no_room = request.over_share or not request.attempts  # and soon there will hardly be any
        advice = self.settings.max_retry_after_ms * no_room
        may_refuse = self._may_refuse(request)
        self._close(request)
        reject, fail = actions.RejectRequest(request.id, advice), actions.FailRequest(request.id)
        self.actions.append(reject if may_refuse else fail)

    def _close(self, request: Request) -> None:
        del self.requests[request.id]
        if request in request.function.queue:
            request.function.queue.remove(request)
        if self.settings.can_cancel:
            for number, attempt in enumerate(request.attempts):
                if attempt.open:
                    self.actions.append(actions.CancelAttempt(request.id, number))
