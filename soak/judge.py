"""Judges a run by the operator's rules, from what clients, proxy and run have recorded.

All times are of the machine's monotonic clock, which the processes share. Each rule allows the slack that the
operator's pages give it, and `MEASURING_SLACK_S` for the time that the observers themselves take.
"""

import math
from bisect import bisect_left, bisect_right
from collections import Counter, defaultdict
from collections.abc import Iterator
from dataclasses import dataclass, field
from enum import StrEnum

from function_router.decisions.types import RetrySafety
from soak import site
from soak.records import (
    AnswerKind,
    AttemptSeen,
    BadClientSeen,
    ClientGone,
    ConnectionLost,
    RequestAnswered,
    RequestSent,
    StartOrderSeen,
    WorkerAnswerSeen,
    read_records,
)
from soak.run_record import RouterIncarnation, RunRecord, WorkerIncarnation

MEASURING_SLACK_S = 0.05
LATE_ANSWER_S = 0.5
CLIENT_GONE_S = 0.1
TIMEOUT_SLACK_S = 0.15
DRAIN_GRACE_S = 1.0 + 0.05
READY_S = 10.0
BAD_CLIENT_S = 3.0
START_ORDER_TOLERANCE = 1.15
SMALL_BUDGET = 30.0  # below it, sampling noise gets a wider margin
NOTIFIED_PART = 2 / 3  # a slow-start rule is broken where more came from routers that had been notified
NEVER_RAN_CODES = (2, 3, 5)  # of workers' answers
ERROR_TEXTS = ("invariant violated", "unhandled exception", "Traceback")
MAX_EXAMPLES = 3  # of each rule in a report


class Rule(StrEnum):
    """What may not happen."""

    LOST = "request without its one answer in time"
    DUPLICATE = "second answer, or a body that no worker made"
    CLIENT_GONE = "attempt for a client that has gone"
    TIMEOUT = "worker sent more time than the client has left"
    REPEAT = "attempt that the class does not allow"
    REJECTED_AFTER_RUN = "rejection of what may have run"
    DRAIN = "new work to a draining or removed worker"
    SLOW_START = "overload of a worker in slow start"
    START_ORDER_RATE = "more start orders than the rate limit allows"
    CRASH = "router that ended by itself"
    NOT_READY = "router that was not ready in time"
    BAD_CLIENT = "bad client without rejection, error or close"
    ERROR_LOGGED = "error in a router's log"


@dataclass
class Verdict:
    """What was broken, with examples, and what was seen."""

    violations: Counter[Rule] = field(default_factory=Counter)
    examples: dict[Rule, list[str]] = field(default_factory=lambda: defaultdict(list))
    figures: Counter[str] = field(default_factory=Counter)

    def add(self, rule: Rule, example: str) -> None:
        """Count a violation."""
        self.violations[rule] += 1
        if len(self.examples[rule]) < MAX_EXAMPLES:
            self.examples[rule].append(example)


@dataclass
class RequestHistory:
    """All that was recorded of one request."""

    sent: list[RequestSent] = field(default_factory=list)
    answers: list[RequestAnswered] = field(default_factory=list)
    gone: ClientGone | None = None
    lost: list[ConnectionLost] = field(default_factory=list)
    attempts: list[AttemptSeen] = field(default_factory=list)
    worker_answers: list[WorkerAnswerSeen] = field(default_factory=list)

    def add(
        self,
        item: RequestSent | RequestAnswered | ClientGone | ConnectionLost | AttemptSeen | WorkerAnswerSeen,
    ) -> None:
        """Add what was recorded."""
        match item:
            case RequestSent():
                self.sent.append(item)
            case RequestAnswered():
                self.answers.append(item)
            case ClientGone():
                self.gone = item
            case ConnectionLost():
                self.lost.append(item)
            case AttemptSeen():
                self.attempts.append(item)
            case WorkerAnswerSeen():
                self.worker_answers.append(item)


class Judge:
    """Checks one run."""

    def __init__(self, record: RunRecord) -> None:
        self._record = record
        self._verdict = Verdict()
        self._requests: dict[str, RequestHistory] = defaultdict(RequestHistory)
        self._orders: list[StartOrderSeen] = []
        self._bad_clients: list[BadClientSeen] = []
        self._read()

    def judge(self) -> Verdict:
        """Check all rules."""
        for request_id, history in self._requests.items():
            if history.sent:
                self._check_answers(request_id, history)
                self._check_attempts(request_id, history)
                self._check_repeats(request_id, history)
        self._check_drains()
        self._check_slow_starts()
        self._check_start_order_rate()
        self._check_incarnations()
        self._check_bad_clients()
        self._check_logs()
        return self._verdict

    def _read(self) -> None:
        for path in (self._record.folder.client_records, self._record.folder.proxy_records):
            for item in read_records(path):
                if isinstance(item, StartOrderSeen):
                    self._orders.append(item)
                elif isinstance(item, BadClientSeen):
                    self._bad_clients.append(item)
                else:
                    self._requests[item.request_id].add(item)

    def _incarnations(self) -> Iterator[RouterIncarnation]:
        yield from self._record.router_incarnations

    # --- answers ------------------------------------------------------------------------------------

    def _check_answers(self, request_id: str, history: RequestHistory) -> None:
        sent = history.sent[-1]
        figures = self._verdict.figures
        figures["requests"] += 1
        figures["sent again after a close"] += sum(lost.is_retried for lost in history.lost)
        where = f"{request_id} {sent.class_name} at router {sent.router}, sent at {sent.at:.3f}"
        if history.gone:
            figures["clients that left"] += 1
            return
        if any(not answer.is_genuine for answer in history.answers) or len(history.answers) > 1:
            kinds = [answer.kind.value for answer in history.answers]
            self._verdict.add(Rule.DUPLICATE, f"{where}: {kinds}")
        if not history.answers:
            if not self._was_killed(sent):
                causes = [f"{lost.cause} at +{lost.at - sent.at:.3f}" for lost in history.lost]
                self._verdict.add(
                    Rule.LOST, f"{where}, timeout {sent.timeout_s:.2f}: {causes or 'no answer'}"
                )
            return
        answer = history.answers[0]
        figures[f"answered {answer.kind}"] += 1
        late_s = answer.at - sent.at - sent.timeout_s
        if late_s > LATE_ANSWER_S + MEASURING_SLACK_S:
            self._verdict.add(Rule.LOST, f"{where}: {answer.kind} {late_s:.3f} s late")
        self._check_rejection(where, history, answer)

    def _check_rejection(self, where: str, history: RequestHistory, answer: RequestAnswered) -> None:
        may_have_run = [each for each in history.attempts if not self._never_ran(each, history)]
        retry_safety = site.RETRY_SAFETY_BY_CLASS[history.sent[0].class_name]
        if answer.kind is AnswerKind.THROTTLED and retry_safety is RetrySafety.AT_MOST_ONCE and may_have_run:
            self._verdict.add(Rule.REJECTED_AFTER_RUN, f"{where}: attempt at {may_have_run[0].at:.3f}")

    def _was_killed(self, sent: RequestSent) -> bool:
        """Whether its router was killed outright while it was pending, as planned."""
        return any(
            incarnation.router == sent.router
            and incarnation.killed_at is not None
            and incarnation.killed_at - 0.01 <= sent.at + sent.timeout_s
            and (incarnation.exited_at or math.inf) + 1.0 >= sent.at
            for incarnation in self._incarnations()
        )

    # --- attempts -----------------------------------------------------------------------------------

    def _check_attempts(self, request_id: str, history: RequestHistory) -> None:
        for attempt in history.attempts:
            self._verdict.figures["attempts"] += 1
            sent = history.sent[-1]
            to_worker = f"router {attempt.router} to worker {attempt.worker}"
            where = f"{request_id}: {to_worker} at {attempt.first_byte_at:.3f}"
            if history.gone:
                late_s = attempt.first_byte_at - history.gone.at
                if late_s > CLIENT_GONE_S + MEASURING_SLACK_S:
                    self._verdict.add(Rule.CLIENT_GONE, f"{where}, {late_s:.3f} s after its client left")
            left_s = sent.at + sent.timeout_s - attempt.first_byte_at
            excess_s = attempt.timeout_ms / 1000 - left_s
            if excess_s > TIMEOUT_SLACK_S + MEASURING_SLACK_S:
                self._verdict.add(Rule.TIMEOUT, f"{where}: {excess_s:.3f} s too much")

    @staticmethod
    def _never_ran(attempt: AttemptSeen, history: RequestHistory) -> bool:
        return any(
            (answer.router, answer.worker) == (attempt.router, attempt.worker)
            and answer.at >= attempt.at
            and answer.code in NEVER_RAN_CODES
            for answer in history.worker_answers
        )

    def _check_repeats(self, request_id: str, history: RequestHistory) -> None:
        retry_safety = site.RETRY_SAFETY_BY_CLASS[history.sent[0].class_name]
        attempts = sorted(history.attempts, key=lambda attempt: attempt.at)
        if len(attempts) > site.MAX_ATTEMPTS * len(history.sent):
            self._verdict.add(Rule.REPEAT, f"{request_id}: {len(attempts)} attempts")
        first = next((each for each in attempts if not self._never_ran(each, history)), None)
        if first is None or retry_safety is RetrySafety.IDEMPOTENT:
            return
        for attempt in attempts[attempts.index(first) + 1 :]:
            after_s = attempt.at - first.at
            in_window = after_s <= site.IDEMPOTENCY_WINDOW_MS / 1000 + MEASURING_SLACK_S
            if retry_safety is RetrySafety.AT_MOST_ONCE or not in_window:
                self._verdict.add(
                    Rule.REPEAT, f"{request_id} {retry_safety.value}: again after {after_s:.3f} s"
                )

    # --- workers ------------------------------------------------------------------------------------

    def _new_work(self, worker: int) -> list[tuple[float, int]]:
        """When new work began to arrive at a worker slot, and from which router, in order."""
        attempts = (each for history in self._requests.values() for each in history.attempts)
        work = [(each.first_byte_at, each.router) for each in attempts if each.worker == worker]
        orders = (each for each in self._orders if each.worker == worker and each.instances)
        return sorted([*work, *((each.first_byte_at, each.router) for each in orders)])

    def _check_drains(self) -> None:
        incarnations = self._record.worker_incarnations
        for incarnation in incarnations:
            if not incarnation.drain_notified_at:
                continue
            next_incarnation = next(
                each
                for each in incarnations[incarnations.index(incarnation) + 1 :]
                if each.worker == incarnation.worker
            )
            for at, router in self._new_work(incarnation.worker):
                notified_at = incarnation.drain_notified_at[router]
                may_know_next = next_incarnation.started_at
                if notified_at + DRAIN_GRACE_S + MEASURING_SLACK_S < at < may_know_next:
                    late_s = at - notified_at
                    text = f"router {router} to {incarnation.name}, {late_s:.3f} s after it was notified"
                    self._verdict.add(Rule.DRAIN, text)

    def _check_slow_starts(self) -> None:
        for incarnation in self._record.worker_incarnations:
            if incarnation.is_in_slow_start:
                self._check_slow_start(incarnation)

    def _check_slow_start(self, incarnation: WorkerIncarnation) -> None:
        arrivals = [
            (each.at, each.router)
            for history in self._requests.values()
            for each in history.attempts
            if each.worker == incarnation.worker
            and 0.0 <= each.at - incarnation.started_at < site.SLOW_START_S
        ]
        arrivals.sort()
        times = [at for at, _ in arrivals]
        for last, at in enumerate(times):
            first = bisect_right(times, at - site.OVERLOAD_WINDOW_S)
            window = arrivals[first : last + 1]
            limit = slow_start_limit(at - incarnation.started_at)
            notified = sum(t > incarnation.ready_notified_at.get(router, math.inf) for t, router in window)
            if len(window) > limit and notified > NOTIFIED_PART * len(window):
                age_s = at - incarnation.started_at
                text = f"{incarnation.name}: {len(window)} in 1 s, {age_s:.2f} s after its start"
                self._verdict.add(Rule.SLOW_START, f"{text}, limit {limit:.1f}, {notified} notified")
                return

    def _check_start_order_rate(self) -> None:
        sent: dict[int, list[float]] = defaultdict(list)
        for history in self._requests.values():
            for request in history.sent:
                sent[request.router].append(request.at)
        for incarnation in self._incarnations():
            end = incarnation.exited_at or math.inf
            taken = sorted(at for at in sent[incarnation.router] if incarnation.started_at <= at <= end)
            orders = sorted(
                each.first_byte_at
                for each in self._orders
                if each.router == incarnation.router
                and each.instances
                and incarnation.started_at <= each.first_byte_at <= end
            )
            for last, at in enumerate(orders):
                since = at - site.START_ORDER_WINDOW_S
                count = last + 1 - bisect_right(orders, since)
                requests = bisect_right(taken, at) - bisect_left(taken, since)
                budget = site.START_ORDER_BURST + site.START_ORDERS_PER_REQUEST * requests
                if count > START_ORDER_TOLERANCE * budget + 1:
                    text = f"router {incarnation.router}: {count} orders, {requests} requests at {at:.3f}"
                    self._verdict.add(Rule.START_ORDER_RATE, text)

    # --- processes ----------------------------------------------------------------------------------

    def _check_incarnations(self) -> None:
        for incarnation in self._incarnations():
            self._verdict.figures["incarnations of routers"] += 1
            self._verdict.figures["ended by SIGKILL after SIGTERM"] += incarnation.overdue_at is not None
            name = f"router {incarnation.router}, incarnation of {incarnation.started_at:.1f}"
            was_asked = incarnation.term_at is not None or incarnation.killed_at is not None
            if incarnation.exited_at is not None and (not was_asked or self._ended_badly(incarnation)):
                self._verdict.add(Rule.CRASH, f"{name}: exit code {incarnation.exit_code}")
            elif incarnation.ready_at is None or incarnation.ready_at - incarnation.started_at > READY_S:
                self._verdict.add(Rule.NOT_READY, name)

    @staticmethod
    def _ended_badly(incarnation: RouterIncarnation) -> bool:
        return incarnation.killed_at is None and incarnation.overdue_at is None and incarnation.exit_code != 0

    def _check_bad_clients(self) -> None:
        for seen in self._bad_clients:
            self._verdict.figures["bad clients"] += 1
            is_late = seen.took_s > BAD_CLIENT_S + MEASURING_SLACK_S or not seen.is_settled
            if is_late and not any(
                incarnation.router == seen.router and incarnation.killed_at is not None
                for incarnation in self._incarnations()
            ):
                self._verdict.add(
                    Rule.BAD_CLIENT, f"{seen.kind} at router {seen.router}: {seen.took_s:.2f} s"
                )

    def _check_logs(self) -> None:
        for router in range(self._record.plan.router_count):
            path = self._record.folder.router_log(router)
            for line in path.read_text(errors="replace").splitlines() if path.exists() else ():
                if any(text in line for text in ERROR_TEXTS):
                    self._verdict.add(Rule.ERROR_LOGGED, line)
                self._verdict.figures["slow turns"] += "slow turn" in line


def slow_start_limit(age_s: float) -> float:
    """How many requests a worker of this age may get within the overload window, sampling noise included."""
    part = min(1.0, site.SLOW_START_INITIAL + (1 - site.SLOW_START_INITIAL) * age_s / site.SLOW_START_S)
    budget = site.OVERLOAD_MULTIPLE * part * site.WORKER_CAPACITY_RPS * site.OVERLOAD_WINDOW_S
    if budget < SMALL_BUDGET:
        return budget + 3 * math.sqrt(budget) + 3
    return budget + 2 * math.sqrt(budget) + 2
