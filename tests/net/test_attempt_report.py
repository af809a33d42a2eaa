"""Tests of `attempt_report`: the conversion of an attempt's result for the decision module and the log."""

import pytest

from function_router.decisions.types import Outcome, StartKind
from function_router.net.attempt_report import MAX_REPORTED_IN_FLIGHT, AttemptReport
from function_router.net.close_reason import CloseReason
from function_router.net.not_sent_reason import NotSentReason
from function_router.net.worker_messages import Attempt, WorkerAnswer
from function_router.net.write_queue import PendingWrite


@pytest.fixture
def attempt():
    return Attempt(
        worker_id=7,
        on_done=lambda _attempt, _result: None,
        class_name="view",
        function="f",
        deadline_ms=0.0,
    )


def make_answer(outcome, in_flight):
    return WorkerAnswer(outcome, body=b"", start_kind=StartKind.WARM, in_flight=in_flight, instances=1)


@pytest.mark.parametrize(
    ("outcome", "in_flight", "reported"),
    [
        (Outcome.OK, 3, 3),
        (Outcome.QUEUE_FULL, 3, 3),
        (Outcome.OK, MAX_REPORTED_IN_FLIGHT + 1, MAX_REPORTED_IN_FLIGHT),
        (Outcome.NOT_LOADED, 3, None),
    ],
)
def test_in_flight_is_bounded_and_reported_for_some_outcomes(attempt, outcome, in_flight, reported):
    answer = make_answer(outcome, in_flight)

    report = AttemptReport.from_result(attempt, answer, workers_report_in_flight=True)

    assert (report.outcome, report.start_kind, report.in_flight) == (outcome, StartKind.WARM, reported)
    assert report.description == f"{outcome.name} WARM in flight {reported}"


def test_in_flight_is_left_out_where_workers_do_not_report_it(attempt):
    report = AttemptReport.from_result(attempt, make_answer(Outcome.OK, 3), workers_report_in_flight=False)

    assert report.in_flight is None


def test_attempt_that_was_not_sent_names_the_cause(attempt):
    attempt.not_sent_reason = NotSentReason.CLIENT_GONE

    report = AttemptReport.from_result(attempt, CloseReason.NOT_SENT, workers_report_in_flight=True)

    assert report == AttemptReport(Outcome.NOT_SENT, StartKind.UNKNOWN, None, "NOT_SENT (CLIENT_GONE)")


@pytest.mark.parametrize(("written", "outcome"), [(0, Outcome.CONNECT_FAILED), (1, Outcome.RESET)])
def test_reset_counts_as_a_run_only_after_the_first_byte(attempt, written, outcome):
    attempt.pending_write = PendingWrite(b"frame", written)

    report = AttemptReport.from_result(attempt, CloseReason.RESET_BY_PEER, workers_report_in_flight=True)

    assert (report.outcome, report.description) == (outcome, "RESET_BY_PEER")
