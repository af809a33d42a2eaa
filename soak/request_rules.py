"""Rules on single requests: answers, attempts, and the retries that a class allows."""

import math
from collections.abc import Iterator, Sequence

from function_router.decisions.types import RetrySafety
from soak import site
from soak.history import RequestHistory
from soak.records import AnswerKind, AttemptSeen, RequestSent
from soak.rules import MEASUREMENT_SLACK_S, Rule, Violation
from soak.run_record import RouterIncarnation, RunRecord, WorkerIncarnation

MAX_ANSWER_LATENESS_S = 0.5  # from the request's timeout to the answer
MAX_AFTER_CLIENT_GONE_S = 0.1  # from a client's cancellation or close to the last attempt for it
TIMEOUT_SLACK_S = 0.15  # by which the timeout sent to a worker may exceed the client's remaining time
# Maximum time from a router's exit until clients stop sending requests to it. It has to be above
# KILL_DETECTION_S of soak/router_changes.py, after which the clients stop.
MAX_KILL_DETECTION_S = 1.0
KILL_MARGIN_S = 0.01  # tolerance between the recorded kill and the deadline of a request


def check_request(request: RequestHistory, record: RunRecord) -> Iterator[Violation]:
    """Check a request that was sent; a lost one is no violation if its router was killed as planned."""
    yield from _check_answers(request, record.router_incarnations)
    for attempt in request.attempts:
        yield from _check_attempt(request, attempt)
    yield from _check_retries(request)
    yield from _check_scope(request, record.worker_incarnations)


def _check_answers(request: RequestHistory, routers: Sequence[RouterIncarnation]) -> Iterator[Violation]:
    """Check that a request gets one genuine answer in time, unless its client cancels or closes."""
    if request.client_gone:
        return
    sent = request.sent[-1]
    context = f"{request.request_id} {sent.class_name} at router {sent.router}, sent at {sent.at:.3f}"
    if any(not answer.is_genuine for answer in request.answers) or len(request.answers) > 1:
        kinds = [answer.kind.value for answer in request.answers]
        yield Violation(Rule.DUPLICATE, f"{context}: {kinds}")
    if not request.answers:
        if not _was_router_killed(sent, routers):
            causes = [f"{lost.cause} at +{lost.at - sent.at:.3f}" for lost in request.lost_connections]
            text = f"{context}, timeout {sent.timeout_s:.2f}: {causes or 'no answer'}"
            yield Violation(Rule.LOST, text)
        return
    answer = request.answers[0]
    late_s = answer.at - sent.at - sent.timeout_s
    if late_s > MAX_ANSWER_LATENESS_S + MEASUREMENT_SLACK_S:
        yield Violation(Rule.LOST, f"{context}: {answer.kind} {late_s:.3f} s late")
    yield from _check_rejection(context, request)


def _check_rejection(context: str, request: RequestHistory) -> Iterator[Violation]:
    """Check that no request that may have run is rejected, unless it is idempotent: clients may retry it.

    The idempotency keys don't make a client's retry safe, as it may reach another cell.
    """
    retry_safety = site.RETRY_SAFETY_BY_CLASS[request.sent[0].class_name]
    is_rejected = request.answers[0].kind is AnswerKind.THROTTLED
    may_have_run = request.attempts_that_may_have_run
    if is_rejected and retry_safety is not RetrySafety.IDEMPOTENT and may_have_run:
        yield Violation(Rule.REJECTED_AFTER_RUN, f"{context}: attempt at {may_have_run[0].at:.3f}")


def _was_router_killed(sent: RequestSent, routers: Sequence[RouterIncarnation]) -> bool:
    """Return whether the request was pending at a planned SIGKILL of its router, or sent soon after it."""
    return any(
        router.router == sent.router
        and router.killed_at is not None
        and router.killed_at - KILL_MARGIN_S <= sent.at + sent.timeout_s
        and (router.exited_at or math.inf) + MAX_KILL_DETECTION_S >= sent.at
        for router in routers
    )


def _check_attempt(request: RequestHistory, attempt: AttemptSeen) -> Iterator[Violation]:
    """Check that an attempt precedes a cancellation or close, and has at most the client's remaining time."""
    sent = request.sent[-1]
    context = (
        f"{request.request_id}: router {attempt.router} to worker {attempt.worker} at "
        f"{attempt.first_byte_at:.3f}"
    )
    if request.client_gone:
        late_s = attempt.first_byte_at - request.client_gone.at
        if late_s > MAX_AFTER_CLIENT_GONE_S + MEASUREMENT_SLACK_S:
            yield Violation(Rule.CLIENT_GONE, f"{context}, {late_s:.3f} s after its client left")
    left_s = sent.at + sent.timeout_s - attempt.first_byte_at
    excess_s = attempt.timeout_ms / 1000 - left_s
    if excess_s > TIMEOUT_SLACK_S + MEASUREMENT_SLACK_S:
        yield Violation(Rule.TIMEOUT, f"{context}: {excess_s:.3f} s too much")


def _check_retries(request: RequestHistory) -> Iterator[Violation]:
    """Check the number of attempts, and that the class allows those after the first that may have run."""
    retry_safety = site.RETRY_SAFETY_BY_CLASS[request.sent[0].class_name]
    if len(request.attempts) > site.MAX_ATTEMPTS * len(request.sent):
        yield Violation(Rule.RETRY, f"{request.request_id}: {len(request.attempts)} attempts")
    may_have_run = request.attempts_that_may_have_run
    if not may_have_run or retry_safety is RetrySafety.IDEMPOTENT:
        return
    first = may_have_run[0]
    attempts = sorted(request.attempts, key=lambda attempt: attempt.at)
    for attempt in attempts[attempts.index(first) + 1 :]:
        after_s = attempt.at - first.at
        is_in_window = after_s <= site.IDEMPOTENCY_WINDOW_MS / 1000 + MEASUREMENT_SLACK_S
        if retry_safety is RetrySafety.AT_MOST_ONCE or not is_in_window:
            text = f"{request.request_id} {retry_safety.value}: again after {after_s:.3f} s"
            yield Violation(Rule.RETRY, text)


def check_unrecorded_request(request: RequestHistory) -> Iterator[Violation]:
    """Check that a request of a flood, whose id may come again, runs at most once if its class demands that.

    Workers recognize repeats of other classes, or may run them again.
    """
    may_have_run = request.attempts_that_may_have_run
    if not may_have_run or _retry_safety(may_have_run[0]) is not RetrySafety.AT_MOST_ONCE:
        return
    for attempt in may_have_run[1:]:
        after_s = attempt.at - may_have_run[0].at
        yield Violation(Rule.RETRY, f"{request.request_id}: its id came again, run after {after_s:.3f} s")


def _retry_safety(attempt: AttemptSeen) -> RetrySafety:
    return site.RETRY_SAFETY_BY_CLASS[attempt.class_name]


def _check_scope(request: RequestHistory, workers: Sequence[WorkerIncarnation]) -> Iterator[Violation]:
    """Check that a request with an idempotency key is repeated only in the cell where it may have run."""
    retry_safety = site.RETRY_SAFETY_BY_CLASS[request.sent[0].class_name]
    may_have_run = request.attempts_that_may_have_run
    if retry_safety is not RetrySafety.IDEMPOTENCY_KEY or not may_have_run:
        return
    first = _incarnation_at(may_have_run[0], workers)
    repeats = [attempt for attempt in request.attempts if attempt.at > may_have_run[0].at]
    for repeat in repeats:
        worker = _incarnation_at(repeat, workers)
        if first is not None and worker is not None and worker.cell != first.cell:
            text = f"{first.name} of cell {first.cell}, then {worker.name} of cell {worker.cell}"
            yield Violation(Rule.SCOPE, f"{request.request_id}: {text}, at {repeat.at:.3f}")


def _incarnation_at(attempt: AttemptSeen, workers: Sequence[WorkerIncarnation]) -> WorkerIncarnation | None:
    """Return the process that an attempt reached; None if none had started in its slot."""
    started = [
        worker for worker in workers if worker.worker == attempt.worker and worker.started_at <= attempt.at
    ]
    return max(started, key=lambda worker: worker.started_at, default=None)
