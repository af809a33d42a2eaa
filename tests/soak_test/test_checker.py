"""Tests of the soak test's checker, which has to report each rule that synthetic records violate."""

from pathlib import Path

import pytest

from function_router.net.codecs import worker_frames as frames
from soak import site
from soak.checker import check_run
from soak.figures import SLOW_TURN_TEXT
from soak.plan import FaultKind, draw_plan
from soak.records import (
    AnswerKind,
    AttemptSeen,
    BadClientSeen,
    ClientGone,
    ConnectionLost,
    Recorder,
    RequestAnswered,
    RequestSent,
    StartOrderSeen,
    WorkerAnswerSeen,
)
from soak.router_rules import ERROR_TEXTS
from soak.rules import Rule
from soak.run_folder import RunFolder
from soak.run_record import RouterIncarnation, RunRecord, WorkerIncarnation
from soak.worker_rules import slow_start_limit

ROOT = Path(__file__).parents[2]
ROUTER = 0
WORKER = 0
ID = "ab" * 8
SENT = RequestSent(ID, ROUTER, "view", 100.0, 2.0)
SENT_SETTLE = RequestSent(ID, ROUTER, "settle", 100.0, 2.0)
SENT_SAVE = RequestSent(ID, ROUTER, "save", 100.0, 2.0)
SERVED = RequestAnswered(ID, 100.5, AnswerKind.SERVED)
START_ORDER = StartOrderSeen(ROUTER, WORKER, 100.0, 100.0, 1)
PROBE = StartOrderSeen(ROUTER, WORKER, 100.0, 100.0, 0)


def attempt_at(at, worker=WORKER, timeout_ms=1_500.0, class_name="view"):
    return AttemptSeen(ROUTER, worker, ID, at, at, timeout_ms, class_name)


def make_draining_worker(at):
    """Return a worker without a slow start; the router was notified of its drain at the given time."""
    return WorkerIncarnation(WORKER, "s-0", 90.0, is_in_slow_start=False, drain_notified_at={ROUTER: at})


def answer_at(at, code):
    return WorkerAnswerSeen(ROUTER, WORKER, ID, at, code)


@pytest.fixture
def check(tmp_path):
    """Return a function that checks records of one router and one worker, and returns the violated rules."""

    def run(*records, incarnation=None, worker_incarnations=(), log=""):
        folder = RunFolder(tmp_path)
        recorder = Recorder(folder.client_records)
        for record in records:
            recorder.add(record)
        recorder.close()
        folder.proxy_records.touch()
        folder.router_log(ROUTER).write_text(log)
        plan = draw_plan(1, 1, 1, duration_s=9.0, requests_per_s=1.0, kinds=list(FaultKind))
        routers = [incarnation or RouterIncarnation(ROUTER, 90.0, ready_at=91.0)]
        return set(check_run(RunRecord(plan, folder, routers, list(worker_incarnations))).violations)

    return run


@pytest.mark.parametrize(
    ("records", "rule"),
    [
        pytest.param([SENT], Rule.LOST, id="no answer"),
        pytest.param([SENT, RequestAnswered(ID, 102.7, AnswerKind.BROKEN)], Rule.LOST, id="too late"),
        pytest.param(
            [SENT, ConnectionLost(ID, 100.4, "reset", is_retried=False)], Rule.LOST, id="connection lost"
        ),
        pytest.param([SENT, SERVED, SERVED], Rule.DUPLICATE, id="two answers"),
        pytest.param(
            [SENT, RequestAnswered(ID, 100.5, AnswerKind.SERVED, is_genuine=False)],
            Rule.DUPLICATE,
            id="not genuine",
        ),
        pytest.param([SENT, ClientGone(ID, 100.2), attempt_at(100.4)], Rule.CLIENT_GONE, id="client gone"),
        pytest.param([SENT, SERVED, attempt_at(100.3, timeout_ms=1_950.0)], Rule.TIMEOUT, id="timeout"),
        pytest.param(
            [
                SENT_SETTLE,
                SERVED,
                attempt_at(100.1, class_name="settle"),
                attempt_at(100.2, class_name="settle"),
            ],
            Rule.RETRY,
            id="retry",
        ),
        pytest.param(
            [
                SENT_SETTLE,
                RequestAnswered(ID, 100.5, AnswerKind.THROTTLED),
                attempt_at(100.1, class_name="settle"),
            ],
            Rule.REJECTED_AFTER_RUN,
            id="rejected after run",
        ),
        pytest.param([START_ORDER] * 5, Rule.START_ORDER_RATE, id="start orders"),
        pytest.param(
            [BadClientSeen(ROUTER, "noise", 100.0, 3.5, is_settled=True)], Rule.BAD_CLIENT, id="bad client"
        ),
    ],
)
def test_records_that_break_a_rule_are_found(check, records, rule):
    assert check(*records) == {rule}


def test_run_that_keeps_the_rules_has_no_violation(check):
    never_ran = answer_at(100.15, frames.QUEUE_FULL)
    records = [SENT_SETTLE, SERVED, attempt_at(100.1, class_name="settle"), never_ran]

    violations = check(*records, attempt_at(100.3, class_name="settle", worker=1))

    assert violations == set()


@pytest.mark.parametrize("code", [frames.OK, frames.ERROR])
def test_attempt_after_one_that_may_have_run_is_found(check, code):
    records = [SENT_SETTLE, SERVED, attempt_at(100.1, class_name="settle"), answer_at(100.15, code)]

    violations = check(*records, attempt_at(100.3, class_name="settle"))

    assert violations == {Rule.RETRY}


@pytest.mark.parametrize(("at", "violations"), [(101.5, set()), (101.8, {Rule.RETRY})])
def test_retry_with_an_idempotency_key_is_allowed_only_in_the_window(check, at, violations):
    first = attempt_at(100.1, class_name="save")
    retry = attempt_at(at, timeout_ms=100.0, class_name="save")

    assert check(SENT_SAVE, SERVED, first, retry) == violations


def test_more_attempts_than_allowed_are_found(check):
    attempts = [attempt_at(100.1)] * (site.MAX_ATTEMPTS + 1)

    assert check(SENT, SERVED, *attempts) == {Rule.RETRY}


def test_no_answer_is_required_after_the_client_has_gone(check):
    assert check(SENT, ClientGone(ID, 100.2)) == set()


def test_request_lost_to_a_planned_kill_is_no_violation(check):
    killed = RouterIncarnation(ROUTER, 90.0, ready_at=91.0, killed_at=101.0, exited_at=101.1, exit_code=-9)

    assert check(SENT, incarnation=killed) == set()


def test_request_lost_after_a_planned_kill_is_a_violation(check):
    killed = RouterIncarnation(ROUTER, 90.0, ready_at=91.0, killed_at=98.0, exited_at=98.1, exit_code=-9)

    assert check(SENT, incarnation=killed) == {Rule.LOST}


@pytest.mark.parametrize(
    ("incarnation", "rule"),
    [
        (RouterIncarnation(ROUTER, 90.0, ready_at=91.0, exited_at=95.0, exit_code=1), Rule.CRASH),
        (
            RouterIncarnation(ROUTER, 90.0, ready_at=91.0, sigterm_at=94.0, exited_at=95.0, exit_code=1),
            Rule.CRASH,
        ),
        (RouterIncarnation(ROUTER, 90.0, ready_at=101.0), Rule.NOT_READY),
        (RouterIncarnation(ROUTER, 90.0), Rule.NOT_READY),
        (RouterIncarnation(ROUTER, 90.0, ready_at=91.0, peak_memory_mb=200.0), Rule.MEMORY),
    ],
    ids=["unrequested exit", "exit code", "late", "never ready", "memory"],
)
def test_failed_start_or_exit_of_a_router_is_found(check, incarnation, rule):
    assert check(incarnation=incarnation) == {rule}


@pytest.mark.parametrize(("class_name", "violations"), [("settle", {Rule.RETRY}), ("view", set())])
def test_id_of_a_flood_that_runs_again_is_found(check, class_name, violations):
    attempts = [attempt_at(at, class_name=class_name) for at in (100.1, 100.4)]

    assert check(*attempts) == violations


def test_exit_by_a_forced_kill_after_sigterm_is_no_crash(check):
    force_killed = RouterIncarnation(
        ROUTER, 90.0, ready_at=91.0, sigterm_at=94.0, forced_kill_at=97.0, exited_at=97.1, exit_code=-9
    )

    assert check(incarnation=force_killed) == set()


def test_bad_client_of_a_killed_router_is_no_violation(check):
    killed = RouterIncarnation(ROUTER, 90.0, ready_at=91.0, killed_at=98.0, exited_at=98.1, exit_code=-9)
    unsettled = BadClientSeen(ROUTER, "noise", 100.0, 4.0, is_settled=False)

    assert check(unsettled) == {Rule.BAD_CLIENT}
    assert check(unsettled, incarnation=killed) == set()


@pytest.mark.parametrize(
    ("cell", "violated"), [(1, set()), (2, {Rule.SCOPE})], ids=["same cell", "other cell"]
)
def test_repeat_at_a_worker_that_took_over_an_address_counts_by_its_own_cell(check, cell, violated):
    replaced = WorkerIncarnation(WORKER, "s-0", 90.0, is_in_slow_start=False, cell=1)
    successor = WorkerIncarnation(WORKER, "s-0x", 100.2, is_in_slow_start=False, cell=cell)
    attempts = [attempt_at(100.1, class_name="save"), attempt_at(100.3, class_name="save")]

    violations = check(SENT_SAVE, SERVED, *attempts, worker_incarnations=[replaced, successor])

    assert violations == violated


def test_first_run_of_a_keyed_request_may_be_in_another_cell_than_an_attempt_that_never_ran(check):
    workers = [
        WorkerIncarnation(number, f"s-{number}", 90.0, is_in_slow_start=False, cell=number)
        for number in (0, 1)
    ]
    never_ran = answer_at(100.15, frames.QUEUE_FULL)
    attempts = [attempt_at(100.1, class_name="save"), attempt_at(100.3, worker=1, class_name="save")]

    assert check(SENT_SAVE, SERVED, never_ran, *attempts, worker_incarnations=workers) == set()


@pytest.mark.parametrize(
    "successors", [[WorkerIncarnation(WORKER, "s-0x", 110.0, is_in_slow_start=False)], []]
)
def test_new_work_to_a_draining_worker_is_found(check, successors):
    draining = make_draining_worker(98.0)

    violations = check(SENT, SERVED, attempt_at(100.1), worker_incarnations=[draining, *successors])

    assert violations == {Rule.DRAIN}


@pytest.mark.parametrize(
    ("order", "violations"),
    [
        pytest.param(START_ORDER, {Rule.DRAIN}, id="start order"),
        pytest.param(PROBE, set(), id="probe"),
    ],
)
def test_start_order_is_new_work_to_a_draining_worker_and_a_probe_is_not(check, order, violations):
    draining = make_draining_worker(98.0)

    assert check(order, worker_incarnations=[draining]) == violations


@pytest.mark.parametrize(
    ("ready_at", "violations"),
    [pytest.param(100.05, set(), id="published"), pytest.param(100.15, {Rule.DRAIN}, id="not published yet")],
)
def test_successor_of_a_drained_worker_gets_work_once_it_is_published(check, ready_at, violations):
    drained = make_draining_worker(98.0)
    successor = WorkerIncarnation(WORKER, "s-0x", 100.05, is_in_slow_start=False, ready_published_at=ready_at)

    assert check(SENT, SERVED, attempt_at(100.1), worker_incarnations=[drained, successor]) == violations


def make_burst_records(count):
    """Yield records of `count` requests, each with an attempt 0.2 s after the worker's start at 100.0."""
    for number in range(count):
        request_id = f"{number:016x}"
        yield RequestSent(request_id, ROUTER, "view", 100.05, 2.0)
        yield RequestAnswered(request_id, 100.5, AnswerKind.SERVED)
        yield AttemptSeen(ROUTER, WORKER, request_id, 100.2, 100.2, 1_500.0, "view")


@pytest.mark.parametrize(
    ("excess", "ready_notified_at", "violations"),
    [
        pytest.param(2, {ROUTER: 100.0}, {Rule.SLOW_START}, id="overload"),
        pytest.param(0, {ROUTER: 100.0}, set(), id="within the limit"),
        pytest.param(2, {}, set(), id="not notified"),
    ],
)
def test_overload_of_a_worker_in_slow_start_is_found(check, excess, ready_notified_at, violations):
    starting = WorkerIncarnation(
        WORKER, "s-0", 100.0, is_in_slow_start=True, ready_notified_at=ready_notified_at
    )
    records = make_burst_records(int(slow_start_limit(0.2)) + excess)

    assert check(*records, worker_incarnations=[starting]) == violations


def test_limit_of_a_slow_start_rises_to_its_end():
    limits = [slow_start_limit(age_s) for age_s in (0.0, 1.0, site.SLOW_START_S, 2 * site.SLOW_START_S)]

    assert limits[0] < limits[1] < limits[2] == limits[3]


@pytest.mark.parametrize(
    "line",
    ["n0: unhandled exception in x", "n0: invariant violated: y", "Traceback (most recent call last):"],
)
def test_error_in_a_log_is_found(check, line):
    assert check(log=f"{line}\n") == {Rule.LOGGED_ERROR}


@pytest.mark.parametrize("text", [*ERROR_TEXTS, SLOW_TURN_TEXT])
def test_text_that_the_checker_searches_for_is_one_that_routers_log(text):
    sources = [path.read_text() for path in (ROOT / "function_router" / "net").glob("*.py")]
    written_by_python = "Traceback"

    assert text == written_by_python or any(text in source for source in sources)
