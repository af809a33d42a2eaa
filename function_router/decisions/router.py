"""All decisions of one router: conditional speculative scaling after CIDRE. `fn` stands for a `Function`.

A request takes a free warm slot; without one, a busy warm instance races one cold start for it.
"""

import math
from collections import OrderedDict, deque
from collections.abc import Callable
from itertools import islice

from msgspec import structs

from function_router.decisions import actions, events, state
from function_router.decisions.settings import RequestClass, Settings
from function_router.decisions.state import Attempt, Function, InstancePool, Request, Worker
from function_router.decisions.types import DeduplicationScope, Outcome, RetrySafety, StartKind, WorkerState
from function_router.hashing import hash64, mix64, rendezvous_rank
from function_router.limits import AdaptiveLimit, CircuitBreaker, TokenBucket
from function_router.statistics import DecayingCounter, SlidingWindow

DEFAULT_RUN_MS, DEFAULT_START_MS = 200.0, 1_000.0  # while none was seen, and none hinted
LATE_RUNS, MAX_LATE_PART = 2.0, 0.5  # late: less time left than so many runs, and this part of the objective
START_ORDERS = (8.0, 2.0, 24.0, 0.2)  # own ones in flight: at first, least, most; decrease by a slow one
REFRESH_MS, FRESH_MS = 1_000.0, 1_000.0  # interval of limits; an older sign of an instance is doubtful
RATE_MS = 5_000.0  # stretch over which arrivals are counted where start orders are not rationed
BOUND_FACTOR, MIN_BOUND = 1.5, 2.0  # own requests for a worker: so many times its fair share, and these
SHARE_FACTOR, MIN_SHARE = 1.3, 0.5  # and a multiple of its share of own sends over the window
FAR_FACTOR = 2.0  # past this multiple another worker is probed: past the other one, chance alone takes many
SILENT_MS = 300.0  # a worker that owes a reply and says nothing for less is not silent
SLOW_START_SAFETY = 0.75  # part of a slow-start budget that is used: capacity and other routers are guesses
SLOW_START_TRICKLE = 1.0  # requests of all routers in a window at any rate: chance allows for three
CROWD_SPREAD = 1.5  # room for chance in a worker's limit, in square roots of its mean requests
LATE_START_MS = 20.0  # a start order that leaves this long after its decision is looked at once more
SLOTS_PART, CAPACITY_PART = 1.2, 0.6  # of an instance's slots, and a worker's capacity, for a wide function
OVERDUE_RUNS, LOST_RUNS = 3.0, 8.0  # out for so many runs, an attempt may be hedged, and is held lost
PING_TIMEOUT_MS, PING_INTERVAL_MS = 80.0, 1_000.0  # without a sign, a worker is unresponsive; pings of such
RUN_GAIN, ANSWER_GAIN = 0.02, 0.4  # weight of one uncrowded run in their mean; of one answer on others' load
SLOW_FACTOR, SLOW_START_FACTOR = 1.8, 2.5  # runs, and starts, so many times the usual are slow
FAILURES_TO_OPEN, FAILURES_KEPT = 2.0, 0.7  # of a class at a worker; after each answer of it
OPEN_MS, MAX_OPEN_MS = 2_000.0, 8_000.0  # for so long a circuit breaker opens: at first, and at the most
PROBE_WAIT_MS, BLOCK_MS = 12.0, 1_000.0  # a cold start waits so long for probes, and after a failed one
ANSWER_LEAD_MS = 20.0  # a final answer leaves so long before its client: room for a starved process
IDEMPOTENCY_MARGIN_MS = 100.0  # a retry must arrive inside the idempotency window, not just leave inside it
MAX_FUNCTIONS, FORGET_MS = 2_000, 60_000.0  # kept in mind, and without a request; a removed worker too
MAX_INSTANCES, SURVEY_WIDTH, CROWD = 16, 4, 2  # ordered at a worker; probed at once; attempts that crowd it
HEDGES_PER_REQUEST, MAX_HEDGES = 0.1, 3.0  # hedged attempts a request, and saved up
YIELD_PART, HELD_PART = 0.35, 0.5  # of a limit, for late requests; of the time of one that is given up
QUOTA_BURST_S = 1.0  # seconds of its quota that a tenant may use at once
COLD_STARTS = (StartKind.COLD_START, StartKind.JOINED_COLD_START)  # of answers that found no free slot


class Router:
    """Decides for one router. Same events, same actions; chance comes from the seed alone."""

    def __init__(self, settings: Settings, seed: int) -> None:
        self.settings, self.seed, self._next_seed = settings, seed, seed
        self.now_ms, self.first_event_ms = 0.0, math.inf
        self.actions: list[actions.Action] = []  # decided in this batch
        self.workers, self.ready = dict[int, Worker](), list[Worker]()
        self.members: dict[int, float] = {}  # sizes of the ready ones, by id, that hash orders are made of
        self.watched, self.unresponsive_count = dict[int, Worker](), 0  # that owe a reply; ready ones of them
        self.tenant_buckets: dict[str, TokenBucket] = {}
        self.functions, self.waiting = dict[str, Function](), dict[str, Function]()  # with queued requests
        self.requests, self.attempts = dict[str, Request](), dict[tuple[str, int], Attempt]()
        self.in_flight: deque[Attempt] = deque()  # out for less than the latency objective
        self.sends, self.run_times = DecayingCounter(state.WINDOW_MS), state.new_median()  # of all workers
        self.arrivals, self.recent_arrivals = 0, OrderedDict[str, float]()  # times of late, by client's id
        self.start_order_times = SlidingWindow()  # when they left
        self.start_order_limit, self.start_orders = AdaptiveLimit(*START_ORDERS), 0  # in flight
        self.total_size, self.largest_size = 1.0, 0.01  # of ready workers: slow ones in part; ever, in full
        self.many_routers, self.worker_capacity = False, 0.0  # this one's part of it is below one request
        self.max_in_flight, self.hedges = math.inf, MAX_HEDGES  # own attempts in all; tokens for more
        self.router_count = max(1, settings.router_count)
        self.quota_per_ms = sum(settings.tenant_quotas_rps.values()) / 1000
        objectives_ms = [request_class.latency_objective_ms for request_class in settings.classes.values()]
        self.latency_objective_ms = min(objectives_ms, default=1000.0)
        self.uncrowded_run_ms = self.latency_objective_ms / 5  # mean
        self.refreshed_ms, self.forgot_ms, self.is_timer_set = -math.inf, -math.inf, False
        self._handlers: dict[type[events.Event], Callable[..., None]] = {
            events.EndpointsChanged: self._on_endpoints_changed,
            events.RequestArrived: self._on_request_arrived,
            events.RequestCancelled: self._on_request_cancelled,
            events.AttemptEnded: self._on_attempt_ended,
            events.InstancesReported: self._on_instances_reported,
            events.TimerFired: self._on_timer_fired,
            events.DrainStarted: self._on_drain_started,
        }

    def handle(self, now_ms: float, batch: list[events.Event]) -> list[actions.Action]:
        """Take the events of one moment, in order; the actions take effect at that moment."""
        self.now_ms, self.first_event_ms = now_ms, min(self.first_event_ms, now_ms)
        for event in batch:
            self._handlers[type(event)](event)
        if not self.is_timer_set and (self.requests or self.attempts):
            self.is_timer_set = True
            self.actions.append(actions.SetTimer(state.SWEEP_MS, 0))
        return self.take_actions()

    def take_actions(self) -> list[actions.Action]:
        """What was decided and not returned yet: after an exception, by the events before it."""
        decided, self.actions = self.actions, []
        return decided

    def _on_endpoints_changed(self, event: events.EndpointsChanged) -> None:
        workers, named = self.workers, {endpoint.worker_id for endpoint in event.endpoints}
        for missing in workers.keys() - named if event.is_complete else ():
            workers[missing].endpoint = structs.replace(workers[missing].endpoint, state=WorkerState.REMOVED)
        for endpoint in event.endpoints:
            worker_id, started_ms = endpoint.worker_id, endpoint.started_at_ms
            if worker_id not in workers:
                workers[worker_id] = Worker(worker_id, endpoint, hash64(str(worker_id)))
            worker = workers[worker_id]
            worker.endpoint, worker.removed_since_ms = endpoint, None
            if started_ms is not None and started_ms > (worker.started_ms or -math.inf):
                worker.started_ms = started_ms
                worker.count_sends_since_start()
        self.ready = [w for w in self.workers.values() if w.endpoint.state == WorkerState.READY]
        self.unresponsive_count = sum(worker.unresponsive_since_ms is not None for worker in self.ready)
        members = {worker.id: self._machine_size(worker) for worker in self.ready}
        self.members = self.members if members == self.members else members
        self._refresh_limits()
        self._dispatch_all()

    def _on_request_arrived(self, event: events.RequestArrived) -> None:
        self.recent_arrivals.setdefault(event.client_id or event.request_id, self.now_ms - event.age_ms)
        fn, over_quota = self._function_of(event), self._is_over_quota(event.tenant)
        request_class = self.settings.classes.get(event.class_name) or RequestClass(event.class_name)
        deadline_ms, bits = self.now_ms + event.timeout_ms, mix64(mix64(self._next_seed))
        figures = (self.now_ms, deadline_ms, over_quota, self.now_ms, bits, fn.concurrency)
        request = Request(event.request_id, fn, request_class, *figures)
        self._next_seed, self.arrivals = self._next_seed + 1, self.arrivals + 1
        self._update_width(fn)
        self.hedges = min(MAX_HEDGES, self.hedges + HEDGES_PER_REQUEST)
        self.requests[request.id] = request
        fn.queue.append(request)
        if request.deadline_ms - self.now_ms <= state.SWEEP_MS + ANSWER_LEAD_MS:
            self._finish(request)  # the next sweep may be too late: a client's last try has little time
        elif not self._is_warm(fn, near_share=self.many_routers):
            survey = self._hash_order(fn)[:SURVEY_WIDTH]
            first = self._first_workers(fn, request)[:1] if self.many_routers else survey
            for worker in first:
                self._spread(fn, worker)
        self._dispatch(fn)

    def _function_of(self, event: events.RequestArrived) -> Function:
        functions, name = self.functions, event.function
        if name not in functions:
            if len(functions) >= MAX_FUNCTIONS:
                self._forget()
            functions[name] = Function(name, event.class_name, event.concurrency, None, hash64(name))
        fn = functions[name]
        fn.class_name, fn.concurrency = event.class_name, max(1, event.concurrency)
        fn.hinted_start_ms = event.expected_start_ms or fn.hinted_start_ms
        return fn

    def _on_request_cancelled(self, event: events.RequestCancelled) -> None:
        self.recent_arrivals.pop(event.client_id or event.request_id, None)  # allows no start
        if request := self.requests.get(event.request_id):
            self._close(request)

    def _on_drain_started(self, event: events.DrainStarted) -> None:
        for request in self.requests.values():
            request.deadline_ms = min(request.deadline_ms, self.now_ms + event.within_ms)

    def _on_attempt_ended(self, event: events.AttemptEnded) -> None:
        if (attempt := self.attempts.pop((event.request_id, event.attempt_number), None)) is None:
            return
        if attempt in self.in_flight:
            self.in_flight.remove(attempt)
        fn, worker = attempt.function, self.workers[attempt.worker_id]
        pool = fn.pools[worker.id]
        attempt.in_flight, attempt.may_have_run = False, event.outcome.may_have_run
        pool.in_flight, worker.in_flight = pool.in_flight - 1, worker.in_flight - 1
        self._learn(event, attempt, worker)
        request = self.requests.get(event.request_id)
        if request is not None and event.is_answered:
            self.hedges += attempt is not request.attempts[0] and request.attempts[0].in_flight  # its token
            self._close(request)
        elif request is not None and request not in fn.queue:
            self._retry_or_finish(request)
        self._dispatch_all(worker)
        self._dispatch(fn)

    def _learn(self, event: events.AttemptEnded, attempt: Attempt, worker: Worker) -> None:
        fn, pool = attempt.function, attempt.function.pools[worker.id]
        if event.outcome in (Outcome.OK, Outcome.ERROR, Outcome.QUEUE_FULL, Outcome.NOT_LOADED):
            self._record_reply(worker)
        if event.outcome is Outcome.OK:
            had_slot = event.in_flight is not None and event.in_flight < fn.concurrency
            found_none = had_slot and event.start_kind in COLD_STARTS and pool.counted_ms < attempt.sent_ms
            pool.count, pool.seen_ms = 1 if found_none else max(1, pool.count), self.now_ms
            if event.start_kind in (StartKind.UNKNOWN, StartKind.WARM):
                self._record_run(worker, attempt, event.duration_ms)
            self._record_success(worker, attempt)
        elif event.outcome is Outcome.NOT_LOADED or event.start_kind is StartKind.START_FAILED:
            pool.count = 0
        elif event.outcome is Outcome.ERROR and fn.run_times:  # else the request itself may be at fault
            self._record_failure(worker, attempt.class_name)
        elif event.outcome is Outcome.QUEUE_FULL:
            pool.blocked_until_ms = self.now_ms + self._median_run_ms(fn)
            self._record_slowdown(worker, 2 * SLOW_FACTOR)
        else:
            self._record_no_reply(worker, event.outcome)
        if event.in_flight is not None and event.outcome in (Outcome.OK, Outcome.QUEUE_FULL):
            fn.in_flight += ANSWER_GAIN * (event.in_flight * attempt.candidates - fn.in_flight)

    def _on_instances_reported(self, event: events.InstancesReported) -> None:
        fn, worker = self.functions.get(event.function), self.workers.get(event.worker_id)
        if fn is None or worker is None:
            return
        pool, ok = self._pool_at(fn, worker), event.outcome is Outcome.OK
        short = ok and event.instances < pool.ordered_count
        is_start = pool.ordered_ms is not None and not (pool.probes and short)
        if event.outcome in (Outcome.OK, Outcome.QUEUE_FULL, Outcome.ERROR):
            if worker.unresponsive_since_ms is not None and pool.count and not event.instances:
                worker.started_ms = self.now_ms  # it came back empty: a restart not notified yet
            self._record_reply(worker, PING_INTERVAL_MS)  # a sign lasts for longer than a run
            if is_start and pool.is_speculative and ok:
                pool.unused_since_ms, pool.slots_before = self.now_ms, pool.count * fn.concurrency
            pool.count, pool.counted_ms, pool.seen_ms = event.instances, self.now_ms, self.now_ms
        else:
            self._record_no_reply(worker, event.outcome)
        if is_start:
            self._record_start(fn, pool, event.outcome)
        else:
            pool.probes = max(0, pool.probes - 1)
            if self.many_routers and ok and worker in self._hash_order(fn)[: fn.width]:
                self._spread(fn, worker)
        self._dispatch(fn)

    def _on_timer_fired(self, _event: events.TimerFired) -> None:
        self.is_timer_set = False
        ahead_ms = self.now_ms + state.SWEEP_MS + ANSWER_LEAD_MS
        for request in list(self.requests.values()):
            if self._is_hopeless(request) or ahead_ms >= request.deadline_ms:
                self._finish(request)
            elif self.many_routers and request.attempts and request not in request.function.queue:
                self._hedge(request, request.attempts[-1])
        self._retry_lost()
        while self.in_flight and self.now_ms - self.in_flight[0].sent_ms > self.latency_objective_ms:
            self.in_flight.popleft()  # lost, for all that is known: it stands in nobody's way
        self._check_timeouts()
        if self.now_ms - self.refreshed_ms >= REFRESH_MS:
            self._refresh_limits()
        if self.waiting and len(self.in_flight) < self.max_in_flight:
            self._dispatch_all()

    def _forget(self) -> None:  # what is long past, and of too many functions the half not requested lately
        functions, workers, past_ms = self.functions, self.workers, self.now_ms - FORGET_MS
        used = {worker.last_function for worker in workers.values()}
        half = MAX_FUNCTIONS // 2 * (len(functions) >= MAX_FUNCTIONS)
        for n, fn in enumerate(sorted(functions.values(), key=lambda fn: fn.arrivals.last_ms)):
            busy = any(p.in_flight or p.probes or p.ordered_ms is not None for p in fn.pools.values())
            if not (busy or fn.queue or fn in used) and (n < half or fn.arrivals.last_ms < past_ms):
                del functions[fn.name]
        for worker in [w for w in workers.values() if w.endpoint.state is WorkerState.REMOVED]:
            worker.removed_since_ms = worker.removed_since_ms or self.now_ms
            if worker.removed_since_ms < past_ms and not worker.in_flight:
                for fn in functions.values():
                    fn.pools.pop(worker.id, None)
                    fn.known_workers = None
                self.watched.pop(worker.id, None)
                del workers[worker.id]

    def _is_over_quota(self, tenant: str) -> bool:
        if (quota_rps := self.settings.tenant_quotas_rps.get(tenant)) is None:
            return False
        rate = quota_rps / self.router_count  # with room for chance, as few requests come unevenly
        capacity = rate * QUOTA_BURST_S + self.many_routers * 2 * math.sqrt(rate * state.WINDOW_MS / 1000)
        bucket = self.tenant_buckets.setdefault(tenant, TokenBucket(self.now_ms, capacity))
        return not bucket.try_take(self.now_ms, rate, capacity)

    def _is_hopeless(self, request: Request) -> bool:  # given up: beyond a quota, else before half its time
        if request.has_attempt_in_flight() or not self._is_late(request):
            return False
        held_ms = self.now_ms + state.SWEEP_MS + ANSWER_LEAD_MS - request.arrived_ms
        return request.over_quota or held_ms >= HELD_PART * (request.deadline_ms - request.arrived_ms)

    def _urgency(self, request: Request) -> tuple[bool, bool, float, str]:
        return request.over_quota, self._is_late(request), request.arrived_ms, request.id

    def _dispatch_all(self, worker: Worker | None = None) -> None:  # or what a worker may serve; urgent first
        queued = [fn for fn in self.waiting.values() if fn.queue and (not worker or worker.id in fn.pools)]
        for fn in sorted(queued, key=lambda fn: min(map(self._urgency, fn.queue))):
            self._dispatch(fn)

    def _dispatch(self, fn: Function) -> None:
        self._serve_queue(fn)
        self.waiting.pop(fn.name, None)
        if fn.queue:
            self.waiting[fn.name] = fn
            self._race(fn)

    def _serve_queue(self, fn: Function) -> None:  # the only place that sends
        if len(fn.queue) > 1:
            fn.queue.sort(key=self._urgency)
        for request in list(fn.queue):
            if (worker := self._free_worker(fn, request)) is not None:
                self._send(fn, request, worker)
            elif request.first_run() is None:
                break

    def _free_worker(self, fn: Function, request: Request) -> Worker | None:  # first in the bound, or idlest
        hedge, beyond_bound = request.has_attempt_in_flight(), []
        part = YIELD_PART if hedge or request.over_quota or self._is_late(request) else 1.0
        full = len(self.in_flight) >= self.max_in_flight * (1.0 if hedge else part)
        if full or (self.many_routers and self._is_probing(fn)):
            return None  # one probe at a time; the preferred worker is to answer first
        for worker in self._candidates(fn, request):
            if self._has_free_slot(request, worker) and self._may_send_to(request, worker, part):
                if worker.in_flight < self._load_bound(worker):
                    return worker
                beyond_bound.append(worker)
        return min(beyond_bound, key=lambda worker: worker.in_flight, default=None)

    def _has_free_slot(self, request: Request, worker: Worker) -> bool:  # else, a doubtful one is probed
        fn, now_ms, slots = request.function, self.now_ms, request.concurrency
        pool = fn.pools[worker.id]
        if now_ms < pool.blocked_until_ms or self._instances(pool, worker) * slots <= pool.in_flight:
            return False
        proven = max(-(-pool.in_flight // slots), now_ms - pool.seen_ms < FRESH_MS) * slots
        sure = proven > pool.in_flight or self.many_routers or now_ms - pool.counted_ms < FRESH_MS
        sure = sure or not self.settings.can_order_starts
        if not sure and not pool.probes and self._is_usable(worker, fn.class_name):
            self._probe(fn, worker)
        return sure

    def _send(self, fn: Function, request: Request, worker: Worker) -> None:
        now_ms, pool = self.now_ms, self._pool_at(fn, worker)
        among = max(1, sum(other.id in fn.pools for other in fn.order[: fn.width]))
        name, uncrowded = request.request_class.name, worker.in_flight < CROWD
        attempt = Attempt(request.id, worker.id, fn, name, now_ms, uncrowded, among)
        self.attempts[request.id, len(request.attempts)] = attempt
        self.in_flight.append(attempt)
        request.attempts.append(attempt)
        fn.queue.remove(request)
        if now_ms > request.queued_ms:
            fn.queue_waits.add(now_ms, now_ms - request.queued_ms)
        pool.in_flight, worker.in_flight = pool.in_flight + 1, worker.in_flight + 1
        self.sends.add(now_ms)
        worker.sends.add(now_ms)
        worker.recent_sends.add(now_ms)
        worker.recent_sends.forget_before(now_ms - self.settings.overload_window_ms)
        if self._slow_start_share(worker) < 1.0:
            worker.slow_start_sends.add(now_ms)
        self._expect_reply(worker)
        if breaker := worker.breakers.get(name):
            breaker.record_trial(now_ms)
        if pool.unused_since_ms is not None and pool.in_flight > pool.slots_before:
            fn.idle_ms, pool.unused_since_ms = now_ms - pool.unused_since_ms, None
        self.actions.append(actions.SendRequest(request.id, worker.id))

    def _retry_lost(self) -> None:  # where it opens a circuit breaker, and a warm slot is free at once
        for attempt in list(self.attempts.values()):
            worker, fn = self.workers[attempt.worker_id], attempt.function
            breaker = worker.breakers.get(attempt.class_name)
            runs = OVERDUE_RUNS if breaker and breaker.is_tripped else LOST_RUNS
            run_ms = max(self._median_run_ms(fn), self.run_times.median(self.now_ms) or 0.0)
            in_time = self.now_ms < attempt.sent_ms + runs * run_ms
            if attempt.is_lost or in_time or worker.unresponsive_since_ms is not None:
                continue
            attempt.is_lost, request = True, self.requests.get(attempt.request_id)
            opens = self._record_failure(worker, attempt.class_name)
            if opens and request and request not in fn.queue and self._may_retry(request):
                fn.queue.append(request)
                self._serve_queue(fn)
                if request in fn.queue:  # not worth a wait or a start
                    fn.queue.remove(request)

    def _hedge(self, request: Request, attempt: Attempt) -> None:  # one out far longer than a run; few get it
        runs_ms = OVERDUE_RUNS * self._median_run_ms(request.function)
        due_ms = min(runs_ms, request.request_class.latency_objective_ms * MAX_LATE_PART)
        overdue = attempt.in_flight and self.now_ms - attempt.sent_ms > due_ms
        if overdue and self.hedges >= 1 and self._may_retry(request):
            self.hedges -= 1
            self._retry_or_finish(request)

    def _retry_or_finish(self, request: Request) -> None:  # queue it again, or answer it
        if self._may_retry(request):
            request.queued_ms = self.now_ms
            request.function.queue.append(request)
            self.waiting[request.function.name] = request.function
        elif not request.has_attempt_in_flight():
            self._finish(request)

    def _may_send_to(self, request: Request, worker: Worker, part: float) -> bool:
        request_class, first = request.request_class, request.first_run()
        free = worker.in_flight < worker.max_in_flight * part and self._is_usable(worker, request_class.name)
        if not (free and self._admits_in_slow_start(worker)):
            return False
        if any(attempt.worker_id == worker.id and attempt.may_have_run for attempt in request.attempts):
            return False
        if first is None or request_class.retry_safety is RetrySafety.IDEMPOTENT:
            return True
        if request_class.retry_safety is RetrySafety.AT_MOST_ONCE or not self._may_retry(request):
            return False
        scope, origin = request_class.deduplication_scope, self.workers[first.worker_id].endpoint
        if scope is DeduplicationScope.ZONE:
            return origin.zone == worker.endpoint.zone
        return scope is DeduplicationScope.ALL or origin.cell == worker.endpoint.cell

    def _may_retry(self, request: Request) -> bool:  # is another attempt allowed at all?
        settings, request_class, first = self.settings, request.request_class, request.first_run()
        hedge, safety = request.has_attempt_in_flight(), request_class.retry_safety
        if len(request.attempts) >= settings.max_attempts or (hedge and not settings.can_hedge):
            return False
        if first is None or safety is not RetrySafety.IDEMPOTENCY_KEY:
            return first is None or safety is RetrySafety.IDEMPOTENT
        return self.now_ms - first.sent_ms < request_class.idempotency_window_ms - IDEMPOTENCY_MARGIN_MS

    def _finish(self, request: Request) -> None:  # with the one final answer that this router gives itself
        safety, scope = request.request_class.retry_safety, request.request_class.deduplication_scope
        deduplicated = safety is RetrySafety.IDEMPOTENCY_KEY and scope is DeduplicationScope.ALL
        harmless = not request.first_run() or safety is RetrySafety.IDEMPOTENT or deduplicated
        no_room = request.over_quota or not request.attempts  # and soon there will hardly be any
        self._close(request)
        rejection = actions.RejectRequest(request.id, self.settings.max_retry_after_ms * no_room)
        self.actions.append(rejection if harmless else actions.FailRequest(request.id))

    def _close(self, request: Request) -> None:
        del self.requests[request.id]
        if request in request.function.queue:
            request.function.queue.remove(request)
        for number, attempt in enumerate(request.attempts if self.settings.can_cancel else ()):
            if attempt.in_flight:
                self.actions.append(actions.CancelAttempt(request.id, number))

    def _median_run_ms(self, fn: Function) -> float:  # Te: of all functions while this one has none
        return fn.run_times.median(self.now_ms) or self.run_times.median(self.now_ms) or DEFAULT_RUN_MS

    def _median_start_ms(self, fn: Function) -> float:  # Tp: as hinted while none was seen
        return fn.start_times.median(self.now_ms) or fn.hinted_start_ms or DEFAULT_START_MS

    def _is_late(self, request: Request) -> bool:  # hardly to be answered in time any more
        runs_ms = LATE_RUNS * self._median_run_ms(request.function)
        objective_ms = request.request_class.latency_objective_ms
        return request.arrived_ms + objective_ms - self.now_ms < min(runs_ms, objective_ms * MAX_LATE_PART)

    def _instances(self, pool: InstancePool, worker: Worker) -> int:  # none after a restart, or unused
        kept_ms = state.FADE_MS if self.many_routers else self.settings.keep_alive_ms  # others renew it too
        lapsed = pool.in_flight == 0 and self.now_ms - pool.seen_ms > kept_ms
        return 0 if lapsed or pool.seen_ms <= (worker.started_ms or -math.inf) else pool.count

    def _pool_at(self, fn: Function, worker: Worker) -> InstancePool:  # made where there is none
        worker.last_function = fn
        if worker.id not in fn.pools:
            fn.pools[worker.id], fn.known_workers = InstancePool(), None
        return fn.pools[worker.id]

    def _refresh_limits(self) -> None:  # quotas times an uncrowded run are what all work on (Little's law)
        if self.now_ms - self.forgot_ms >= FORGET_MS / 4:
            self.forgot_ms = self.now_ms
            self._forget()
        self.refreshed_ms, has_quotas, capacity = self.now_ms, self.quota_per_ms > 0, 0.0
        self.total_size = sum(self._size(worker) for worker in self.ready) or 1.0
        self.largest_size = max(self.largest_size, sum(self._machine_size(worker) for worker in self.ready))
        for worker in self.ready:
            mean = self.quota_per_ms * self.uncrowded_run_ms * self._size(worker) / self.largest_size
            capacity += mean + CROWD_SPREAD * math.sqrt(mean)
            own = mean / self.router_count + CROWD_SPREAD * math.sqrt(mean / self.router_count)
            worker.max_in_flight = max(2.0 if self.many_routers else 1.0, own) if has_quotas else math.inf
        self.worker_capacity = capacity / max(1, len(self.ready)) if has_quotas else 2 * MIN_BOUND
        self.many_routers = self.worker_capacity < self.router_count
        alive = sum(self._size(w) for w in self.ready if w.unresponsive_since_ms is None) / self.largest_size
        in_time = alive * self.quota_per_ms * self.latency_objective_ms * MAX_LATE_PART / self.router_count
        self.max_in_flight = in_time if self.many_routers and has_quotas else math.inf

    def _arrival_rate(self) -> float:  # own, a millisecond; older arrivals are forgotten
        stretch_ms = max(LATE_START_MS, (self.settings.start_order_window_ms or RATE_MS) - LATE_START_MS)
        while self.recent_arrivals and next(iter(self.recent_arrivals.values())) <= self.now_ms - stretch_ms:
            self.recent_arrivals.popitem(last=False)
        return len(self.recent_arrivals) / stretch_ms

    def _admits_in_slow_start(self, worker: Worker) -> bool:  # no burst or lost workers raise it
        if (share := self._slow_start_share(worker)) >= 1.0:
            return True
        window_ms, multiple = self.settings.overload_window_ms, self.settings.overload_multiple
        worker.slow_start_sends.forget_before(self.now_ms - window_ms, inclusive=True)
        own_usual = self.arrivals / max(RATE_MS, self.now_ms - self.first_event_ms)
        usual = max(self.quota_per_ms / self.router_count, own_usual)
        rate = min(self._arrival_rate(), usual) * self._machine_size(worker) / self.largest_size
        chance = mix64(mix64(self.seed ^ worker.hash)) / 2**64  # a part below one falls to so many routers
        budget = (
            SLOW_START_SAFETY * multiple * share * window_ms * rate + SLOW_START_TRICKLE / self.router_count
        )
        return len(worker.slow_start_sends) + 1 <= budget + chance

    def _load_bound(self, worker: Worker) -> float:  # own requests (hashing with bounded loads)
        fair = (len(self.attempts) + 1) * self._size(worker) / self.total_size
        return max(MIN_BOUND * self._slow_start_share(worker), BOUND_FACTOR * fair)

    def _is_fit(self, worker: Worker, factor: float = SHARE_FACTOR) -> bool:  # not past its share, or slow
        fair = self.sends.value(self.now_ms) * self._size(worker) / self.total_size
        past_share = worker.sends.value(self.now_ms) > max(MIN_SHARE, factor * fair)
        return not (past_share or worker.slow_until_ms > self.now_ms or self._is_silent(worker, OVERDUE_RUNS))

    def _is_silent(self, worker: Worker, runs: float) -> bool:  # with a reply owed for so long
        due_ms = max(SILENT_MS, runs * (self.run_times.median(self.now_ms) or 0.0))
        return worker.awaiting_since_ms is not None and self.now_ms - worker.awaiting_since_ms >= due_ms

    def _is_usable(self, worker: Worker, class_name: str) -> bool:  # responsive unless most are not
        trusted = worker.unresponsive_since_ms is None or self.unresponsive_count * 2 > len(self.ready)
        ready = worker.endpoint.state == WorkerState.READY and trusted
        return ready and not (worker.breakers and self._is_circuit_open(worker, class_name))

    def _is_circuit_open(self, worker: Worker, class_name: str) -> bool:  # unless most would be
        if (breaker := worker.breakers.get(class_name)) is None or not breaker.is_open(self.now_ms):
            return False
        others = (other.breakers[class_name] for other in self.ready if class_name in other.breakers)
        return sum(other.is_waiting(self.now_ms) for other in others) * 2 <= len(self.ready)

    def _slow_start_share(self, worker: Worker) -> float:  # of its capacity, at the least
        if worker.started_ms is None:
            return 1.0
        initial = self.settings.slow_start_initial
        age = max(0.0, self.now_ms - worker.started_ms) / max(1.0, self.settings.slow_start_ms)
        return min(1.0, initial + (1 - initial) * age)

    def _machine_size(self, worker: Worker) -> float:
        return max(worker.endpoint.size, 0.01) if self.settings.worker_sizes_known else 1.0

    def _size(self, worker: Worker) -> float:
        return self._machine_size(worker) * self._slow_start_share(worker)

    def _hash_order(self, fn: Function) -> list[Worker]:  # the same at every router
        if fn.order_members is not self.members:
            rank = {w: (rendezvous_rank(fn.hash, w.hash, self._machine_size(w)), w.id) for w in self.ready}
            fn.order, fn.order_members = sorted(rank, key=rank.__getitem__), self.members
            fn.known_workers = None
        return fn.order

    def _known_workers(self, fn: Function) -> list[Worker]:  # with a pool, in hash order
        if self._hash_order(fn) and fn.known_workers is None:
            fn.known_workers = [worker for worker in fn.order if worker.id in fn.pools]
        return fn.known_workers or []

    def _first_workers(self, fn: Function, request: Request) -> list[Worker]:  # from a drawn one on
        fit = (worker for worker in self._hash_order(fn) if self._is_fit(worker))
        first = list(islice(fit, fn.width)) or fn.order[: fn.width]
        turn = request.random_bits % max(1, len(first)) * self._is_warm(fn)
        return first[turn:] + first[:turn]

    def _candidates(self, fn: Function, request: Request) -> list[Worker]:  # that may be warm
        known = self._known_workers(fn)
        if not self.many_routers:
            return known
        preferred = [worker for worker in self._first_workers(fn, request) if worker.id in fn.pools]
        return list(dict.fromkeys(preferred + sorted(known, key=lambda worker: not self._is_fit(worker))))

    def _is_warm(self, fn: Function, *, near_share: bool = False) -> bool:  # at a usable worker
        usable = (worker for worker in self._known_workers(fn) if self._is_usable(worker, fn.class_name))
        warm = (worker for worker in usable if self._instances(fn.pools[worker.id], worker))
        return any(not near_share or self._is_fit(worker, FAR_FACTOR) for worker in warm)

    def _update_width(self, fn: Function) -> None:  # for one more arrival, or as answers tell
        fn.in_flight *= fn.arrivals.decay(self.now_ms)
        rate = fn.arrivals.rate(self.now_ms, self.first_event_ms, REFRESH_MS)
        demand = max(rate * self.router_count * self._median_run_ms(fn), fn.in_flight)
        share = min(SLOTS_PART * fn.concurrency, CAPACITY_PART * self.worker_capacity)
        fn.width = min(max(1, math.ceil(demand / share)), max(1, len(self.ready)))
        fn.arrivals.add(self.now_ms)

    def _record_run(self, worker: Worker, attempt: Attempt, run_ms: float) -> None:
        attempt.function.run_times.add(self.now_ms, run_ms)
        self.run_times.add(self.now_ms, run_ms)
        self.uncrowded_run_ms += RUN_GAIN * (run_ms - self.uncrowded_run_ms) * attempt.is_uncrowded
        self._record_slowdown(worker, run_ms / self._median_run_ms(attempt.function))

    def _record_slowdown(self, worker: Worker, factor: float) -> None:  # long runs tell of others' load
        worker.slowdown += ANSWER_GAIN * (factor - worker.slowdown)
        if self.many_routers and worker.slowdown > SLOW_FACTOR:
            fades = math.log((worker.slowdown - 1) / (SLOW_FACTOR - 1))
            worker.slow_until_ms = self.now_ms + state.WINDOW_MS * fades

    def _record_reply(self, worker: Worker, quiet_ms: float = 0.0) -> None:
        worker.awaiting_since_ms = self.now_ms + quiet_ms if worker.in_flight else None
        worker.pinged_ms = None
        if worker.unresponsive_since_ms is not None:
            self.unresponsive_count -= worker.endpoint.state == WorkerState.READY
            worker.unresponsive_since_ms = None
            self.actions.append(actions.LogMessage(f"worker {worker.id} answers again"))

    def _record_no_reply(self, worker: Worker, outcome: Outcome) -> None:
        if outcome is Outcome.CONNECT_FAILED:
            self._hold_unresponsive(worker)
        elif outcome is Outcome.RESET and worker.unresponsive_since_ms is None and worker.pinged_ms is None:
            self._ping(worker)  # a broken connection, or a bad answer, tells little of the process

    def _expect_reply(self, worker: Worker, quiet_ms: float = 0.0) -> None:
        if worker.awaiting_since_ms is None:  # else it owes a reply already
            worker.awaiting_since_ms = self.now_ms + quiet_ms
            self.watched[worker.id] = worker

    def _probe(self, fn: Function, worker: Worker) -> None:  # how many instances stand?
        pool = self._pool_at(fn, worker)
        pool.probes, pool.probed_ms, fn.probed_ms = pool.probes + 1, self.now_ms, self.now_ms
        self._expect_reply(worker)
        self.actions.append(actions.EnsureInstances(worker.id, fn.name, 0))

    def _check_timeouts(self) -> None:
        for worker in list(self.watched.values()):
            if worker.unresponsive_since_ms is not None:
                if self.now_ms - (worker.pinged_ms or worker.unresponsive_since_ms) >= PING_INTERVAL_MS:
                    self._ping(worker)
            elif worker.pinged_ms is not None:
                if self.now_ms - worker.pinged_ms >= PING_TIMEOUT_MS:
                    self._hold_unresponsive(worker)
            elif worker.awaiting_since_ms is None:
                del self.watched[worker.id]
            elif self._is_silent(worker, LOST_RUNS if self.many_routers else OVERDUE_RUNS):
                self._ping(worker)

    def _record_failure(self, worker: Worker, class_name: str) -> bool:  # whether it trips the breaker
        closed = CircuitBreaker(FAILURES_TO_OPEN, FAILURES_KEPT, OPEN_MS, MAX_OPEN_MS)
        breaker = worker.breakers.setdefault(class_name, closed)
        breaker.record_failure(self.now_ms)
        return breaker.is_tripped

    def _record_success(self, worker: Worker, attempt: Attempt) -> None:
        if breaker := worker.breakers.get(attempt.class_name):
            breaker.record_success(was_failure=attempt.is_lost)
            if breaker.is_clear:
                del worker.breakers[attempt.class_name]

    def _ping(self, worker: Worker) -> None:
        worker.pinged_ms, removed = self.now_ms, worker.endpoint.state == WorkerState.REMOVED
        if worker.last_function and self.settings.can_order_starts and not removed:
            self._probe(worker.last_function, worker)

    def _hold_unresponsive(self, worker: Worker) -> None:  # its requests are taken elsewhere, where they may
        if worker.unresponsive_since_ms is not None:
            return
        worker.unresponsive_since_ms = worker.pinged_ms = self.now_ms
        self.watched[worker.id] = worker
        self.unresponsive_count += worker.endpoint.state == WorkerState.READY
        self.actions.append(actions.LogMessage(f"worker {worker.id} is silent: nothing new goes there"))
        for attempt in list(self.attempts.values()):
            request = self.requests.get(attempt.request_id)
            if attempt.worker_id == worker.id and request and request not in attempt.function.queue:
                self._retry_or_finish(request)
                self._dispatch(attempt.function)

    def _race(self, fn: Function) -> None:  # a start for the queued requests that fill an instance
        if self._is_probing(fn):
            return
        warm = self._is_warm(fn)
        usable = (w for w in self._known_workers(fn) if self._is_usable(w, fn.class_name))
        pending = sum(fn.pools[worker.id].ordered_ms is not None for worker in usable)
        may_wait = [warm and (r.over_quota or (self.many_routers and self._is_late(r))) for r in fn.queue]
        if warm and (len(self.in_flight) >= self.max_in_flight or not self._speculates(fn)):
            return
        for _ in range(math.ceil(may_wait.count(False) / fn.concurrency) - pending):
            if not self._may_start() or (worker := self._worker_to_start_at(fn, warm=warm)) is None:
                return
            self._start(fn, worker, speculative=warm)

    def _spread(self, fn: Function, worker: Worker) -> None:  # probe there, or start if none stands
        pool = self._pool_at(fn, worker)
        usable = self._is_usable(worker, fn.class_name) and self.settings.can_order_starts
        if not usable or self._instances(pool, worker):
            return
        warm = self._is_warm(fn)
        may_start = self.many_routers and not pool.probes and (not warm or self._speculates(fn))
        if self.now_ms - pool.probed_ms > RATE_MS:
            self._probe(fn, worker)
        elif may_start and self._may_start_at(fn, worker, warm=warm):
            self._start(fn, worker, speculative=warm)

    def _is_probing(self, fn: Function) -> bool:  # for a round trip at the most
        return self.now_ms - fn.probed_ms < PROBE_WAIT_MS and any(pool.probes for pool in fn.pools.values())

    def revalidate_start_order(self, counted_ms: float, now_ms: float) -> float | None:
        """When an order counts from whose first byte may leave now; None where the ration forbids it."""
        if now_ms - counted_ms <= LATE_START_MS:
            return counted_ms
        self.now_ms = max(self.now_ms, now_ms)
        self.start_order_times.discard(counted_ms)
        if self._is_rationed():
            return None
        self.start_order_times.add(self.now_ms)
        return self.now_ms

    def _record_start(self, fn: Function, pool: InstancePool, outcome: Outcome) -> None:
        took_ms = self.now_ms - (pool.ordered_ms or 0.0)
        usual_ms = fn.hinted_start_ms or self._median_start_ms(fn)
        pool.ordered_ms, self.start_orders = None, self.start_orders - 1
        if outcome is Outcome.OK:
            fn.start_times.add(self.now_ms, took_ms)
        else:
            pool.blocked_until_ms = self.now_ms + BLOCK_MS
        if outcome in (Outcome.OK, Outcome.ERROR):
            timely = outcome is Outcome.OK and took_ms < SLOW_START_FACTOR * usual_ms
            self.start_order_limit.record(success=timely)

    def _worker_to_start_at(self, fn: Function, *, warm: bool) -> Worker | None:
        order = self._first_workers(fn, fn.queue[0]) + self._hash_order(fn)
        able = (worker for worker in order if self._may_start_at(fn, worker, warm=warm))
        bare = (w for w in order if w.id not in fn.pools or not self._instances(fn.pools[w.id], w))
        best = (w for w in bare if w.in_flight < self._load_bound(w) and self._may_start_at(fn, w, warm=warm))
        return next(best, None) or next(able, None)

    def _start(self, fn: Function, worker: Worker, *, speculative: bool) -> None:
        pool = self._pool_at(fn, worker)
        pool.ordered_ms, pool.is_speculative = self.now_ms, speculative
        self.start_orders += 1
        pool.ordered_count = min(MAX_INSTANCES, self._instances(pool, worker) + 1)
        self.start_order_times.add(self.now_ms)
        self._expect_reply(worker, self._median_start_ms(fn))  # silent until the instance stands
        self.actions.append(actions.EnsureInstances(worker.id, fn.name, pool.ordered_count))

    def _speculates(self, fn: Function) -> bool:  # the switch: off at Ti > Te, on at Td > Tp
        if fn.speculates:
            since = [pool.unused_since_ms for pool in fn.pools.values() if pool.unused_since_ms is not None]
            flips = max([fn.idle_ms, *(self.now_ms - ms for ms in since)]) > self._median_run_ms(fn)
        else:
            oldest_ms = self.now_ms - min((request.queued_ms for request in fn.queue), default=self.now_ms)
            wait_ms = max(oldest_ms, fn.queue_waits.median(self.now_ms) or 0.0)
            flips = wait_ms > self._median_start_ms(fn)
        if flips:
            fn.speculates, fn.idle_ms = not fn.speculates, 0.0
            fn.queue_waits.clear()
            for pool in fn.pools.values():
                pool.unused_since_ms = None
        return fn.speculates

    def _may_start(self) -> bool:
        has_room = self.start_orders < self.start_order_limit.value
        return has_room and self.settings.can_order_starts and not self._is_rationed()

    def _may_start_at(self, fn: Function, worker: Worker, *, warm: bool) -> bool:
        pool, has_room = fn.pools.get(worker.id), worker.in_flight < worker.max_in_flight
        busy = pool and (pool.ordered_ms is not None or self.now_ms < pool.blocked_until_ms)
        free = not busy and self._is_usable(worker, fn.class_name)
        free = free and (not warm or (has_room and self._admits_in_slow_start(worker)))
        return free and self._may_start()

    def _is_rationed(self) -> bool:  # would one more order that leaves now be too many?
        settings, window_ms = self.settings, self.settings.start_order_window_ms
        self.start_order_times.forget_before(self.now_ms - window_ms - settings.tick_ms - LATE_START_MS)
        self._arrival_rate()  # forgets old arrivals
        ration = settings.start_order_burst + settings.start_orders_per_request * len(self.recent_arrivals)
        return window_ms > 0 and len(self.start_order_times) + 1 > ration
