"""Tests of `worker_messages`."""

from unittest import mock

import pytest
from helpers.exchanges import attempt, start_order

from function_router.decisions.types import Outcome, StartKind
from function_router.net.close_reason import CloseReason
from function_router.net.codecs import worker_frames
from function_router.net.not_sent_reason import NotSentReason
from function_router.net.worker_messages import MAX_COUNT_DIGITS
from function_router.net.write_queue import PendingWrite

UNKNOWN_CODE = 99


@pytest.fixture
def holder():
    return mock.Mock()


@pytest.fixture
def started_attempt(results, holder):
    """An attempt of which a byte was written on a connection."""
    started = attempt(7, results)
    started.holder = holder
    started.pending_write = PendingWrite(b"frame", written=1)
    return started


# --- the end of an exchange


def test_result_is_delivered_once(started_attempt, results):
    started_attempt.finish(CloseReason.RESET_BY_PEER)
    started_attempt.finish(CloseReason.IDLE)
    started_attempt.abort(CloseReason.CANCELLED)

    assert results == [(CloseReason.RESET_BY_PEER, True)]


def test_holder_is_notified_after_the_result_is_delivered(started_attempt, holder, results):
    holder.on_exchange_finished.side_effect = lambda: results.append("notified")

    started_attempt.finish(CloseReason.RESET_BY_PEER)

    assert results == [(CloseReason.RESET_BY_PEER, True), "notified"]
    assert started_attempt.holder is None


def test_aborted_exchange_is_removed_from_its_holder_first(started_attempt, holder, results):
    holder.remove.side_effect = results.append

    started_attempt.abort(CloseReason.CANCELLED)

    assert results == [started_attempt, (CloseReason.CANCELLED, True)]


def test_finished_exchange_has_no_timeout(started_attempt):
    started_attempt.timeout_timer = mock.Mock()

    started_attempt.finish(CloseReason.RESET_BY_PEER)

    started_attempt.timeout_timer.cancel.assert_called_once_with()


@pytest.mark.parametrize(
    ("written", "reason"), [(0, CloseReason.NOT_SENT), (1, CloseReason.DEADLINE_EXCEEDED)]
)
def test_reason_of_a_timeout_says_whether_the_worker_may_have_run_it(
    started_attempt, results, written, reason
):
    started_attempt.pending_write.written = written

    started_attempt.time_out()

    assert results == [(reason, written > 0)]


def test_reason_of_an_exchange_that_is_not_sent_is_kept_and_counted_once(results):
    telemetry = mock.Mock()
    unsent = attempt(7, results)

    unsent.finish_unsent(NotSentReason.CLIENT_GONE, telemetry)
    unsent.finish_unsent(NotSentReason.DEADLINE_PASSED, telemetry)

    assert results == [(CloseReason.NOT_SENT, False)]
    assert unsent.not_sent_reason is NotSentReason.CLIENT_GONE
    assert telemetry.count.call_args_list == [mock.call("not sent", "CLIENT_GONE")]


# --- answers


@pytest.mark.parametrize(
    ("code", "attempt_outcome", "order_outcome"),
    [
        (worker_frames.OK, Outcome.OK, Outcome.OK),
        (worker_frames.NOT_LOADED, Outcome.NOT_LOADED, Outcome.ERROR),
        (worker_frames.QUEUE_FULL, Outcome.QUEUE_FULL, Outcome.QUEUE_FULL),
        (worker_frames.ERROR, Outcome.ERROR, Outcome.ERROR),
        (worker_frames.EXPIRED, Outcome.NOT_SENT, Outcome.ERROR),
        (UNKNOWN_CODE, Outcome.ERROR, Outcome.ERROR),
    ],
)
def test_code_of_an_answer_has_an_outcome(code, attempt_outcome, order_outcome):
    assert attempt(7, []).outcome_of(code) is attempt_outcome
    assert start_order(7, []).outcome_of(code) is order_outcome


def test_fields_of_an_answer_are_parsed():
    fields = {"res": "shared_init", "company": "3", "slots_up": "2"}
    frame = worker_frames.Frame(worker_frames.OK, b"12345678", fields, b"done")

    answer = attempt(7, []).parse_answer(frame)

    assert (answer.outcome, answer.body) == (Outcome.OK, b"done")
    assert answer.start_kind is StartKind.JOINED_COLD_START
    assert (answer.in_flight, answer.instances) == (3, 2)


@pytest.mark.parametrize("text", ["", "-1", "1.5", "x", "\N{SUPERSCRIPT TWO}", "9" * (MAX_COUNT_DIGITS + 1)])
def test_absent_or_invalid_fields_of_an_answer_count_as_unknown_or_0(text):
    frame = worker_frames.Frame(worker_frames.OK, b"12345678", {"res": text, "company": text}, b"")

    answer = attempt(7, []).parse_answer(frame)

    assert (answer.start_kind, answer.in_flight, answer.instances) == (StartKind.UNKNOWN, 0, 0)
