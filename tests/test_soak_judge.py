"""Tests of the soak test's judge: each rule is seen to be broken by records that were made for it."""

import pytest

from soak import site
from soak.judge import Judge, Rule, slow_start_limit
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
from soak.run_folder import RunFolder
from soak.run_record import RouterIncarnation, RunRecord, WorkerIncarnation

ROUTER = 0
WORKER = 0
ID = "ab" * 8
SENT = RequestSent(ID, ROUTER, "view", 100.0, 2.0)
SENT_SETTLE = RequestSent(ID, ROUTER, "settle", 100.0, 2.0)
SERVED = RequestAnswered(ID, 100.5, AnswerKind.SERVED)


def attempt_at(at, worker=WORKER, timeout_ms=1_500.0, class_name="view"):
    return AttemptSeen(ROUTER, worker, ID, at, at, timeout_ms, class_name)


@pytest.fixture
def judge(tmp_path):
    """Judge records of one router and one worker."""

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
        record = RunRecord(plan, folder, routers, list(worker_incarnations))
        return set(Judge(record).judge().violations)

    return run


@pytest.mark.parametrize(
    ("records", "rule"),
    [
        pytest.param([SENT], Rule.LOST, id="no answer"),
        pytest.param([SENT, RequestAnswered(ID, 102.7, AnswerKind.BROKEN)], Rule.LOST, id="too late"),
        pytest.param([SENT, ConnectionLost(ID, 100.4, "reset", False)], Rule.LOST, id="connection lost"),
        pytest.param([SENT, SERVED, SERVED], Rule.DUPLICATE, id="two answers"),
        pytest.param(
            [SENT, RequestAnswered(ID, 100.5, AnswerKind.SERVED, False)], Rule.DUPLICATE, id="not genuine"
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
            Rule.REPEAT,
            id="repeat",
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
        pytest.param(
            [StartOrderSeen(ROUTER, WORKER, 100.0, 100.0, 1)] * 5, Rule.START_ORDER_RATE, id="start orders"
        ),
        pytest.param([BadClientSeen(ROUTER, "noise", 100.0, 3.5, True)], Rule.BAD_CLIENT, id="bad client"),
    ],
)
def test_records_that_break_a_rule_are_found(judge, records, rule):
    assert judge(*records) == {rule}


def test_run_by_the_rules_is_kept(judge):
    never_ran = WorkerAnswerSeen(ROUTER, WORKER, ID, 100.15, 3)
    records = [SENT_SETTLE, SERVED, attempt_at(100.1, class_name="settle"), never_ran]

    assert judge(*records, attempt_at(100.3, class_name="settle", worker=1)) == set()


def test_request_that_a_planned_kill_takes_is_excused(judge):
    incarnation = RouterIncarnation(
        ROUTER, 90.0, ready_at=91.0, killed_at=101.0, exited_at=101.1, exit_code=-9
    )

    assert judge(SENT, incarnation=incarnation) == set()


@pytest.mark.parametrize(
    ("incarnation", "rule"),
    [
        (RouterIncarnation(ROUTER, 90.0, ready_at=91.0, exited_at=95.0, exit_code=1), Rule.CRASH),
        (
            RouterIncarnation(ROUTER, 90.0, ready_at=91.0, term_at=94.0, exited_at=95.0, exit_code=1),
            Rule.CRASH,
        ),
        (RouterIncarnation(ROUTER, 90.0, ready_at=101.0), Rule.NOT_READY),
    ],
)
def test_life_that_ends_or_begins_badly_is_found(judge, incarnation, rule):
    assert judge(incarnation=incarnation) == {rule}


def test_new_work_to_a_draining_worker_is_found(judge):
    old = WorkerIncarnation(WORKER, "s-0", 90.0, False, drain_notified_at={ROUTER: 98.0})
    new = WorkerIncarnation(WORKER, "s-0x", 110.0, False)

    assert judge(SENT, SERVED, attempt_at(100.1), worker_incarnations=[old, new]) == {Rule.DRAIN}


def test_overload_of_a_worker_in_slow_start_is_found(judge):
    cold = WorkerIncarnation(WORKER, "s-0", 100.0, True, ready_notified_at={ROUTER: 100.0})
    count = int(slow_start_limit(0.2)) + 2
    records = []
    for number in range(count):
        request_id = f"{number:016x}"
        records.append(RequestSent(request_id, ROUTER, "view", 100.05, 2.0))
        records.append(RequestAnswered(request_id, 100.5, AnswerKind.SERVED))
        records.append(AttemptSeen(ROUTER, WORKER, request_id, 100.2, 100.2, 1_500.0, "view"))

    assert judge(*records, worker_incarnations=[cold]) == {Rule.SLOW_START}
    assert slow_start_limit(site.SLOW_START_S) > slow_start_limit(0.0)


def test_fault_in_a_log_is_found(judge):
    assert judge(log="n0: unhandled exception in x\n") == {Rule.ERROR_LOGGED}
