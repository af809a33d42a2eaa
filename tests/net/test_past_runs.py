"""Tests of requests whose ids come again after their clients have gone, and of the memory of past runs."""

import pytest
from helpers.client_messages import AnswerKind
from helpers.configuration import CLASSES, SETTINGS
from helpers.fake_worker import FakeWorker

from function_router.decisions.settings import RequestClass
from function_router.decisions.types import DeduplicationScope, RetrySafety
from function_router.net.memory_budget import MemoryOwner, MemoryShare
from function_router.net.past_runs import ENTRY_BYTES, KEPT_MS, PastRuns

AT_MOST_ONCE = RequestClass("settle")
ID = "ab" * 8
WINDOW_MS = 1_500.0


def keyed(scope):
    return RequestClass(
        "save",
        retry_safety=RetrySafety.IDEMPOTENCY_KEY,
        deduplication_scope=scope,
        idempotency_window_ms=WINDOW_MS,
    )


def repeat_after_close(harness, worker, class_name, **fields):
    """Send a request, close the connection once a worker has it, and send it again on a new connection."""
    first = harness.connect_client()
    first.send_request(class_name, call=ID, **fields)
    harness.run_until(lambda: worker.requests, "the worker has the request")
    first.close()
    harness.clients.remove(first)
    harness.run_until(lambda: not harness.table.pending, "the request is cancelled")
    again = harness.connect_client()
    seqid = again.send_request(class_name, call=ID, **fields)
    harness.round_trip(again)
    return again.answer_kinds().get(seqid)


# Guards against an id that runs twice when it comes again after its client has left.
def test_at_most_once_request_that_may_have_run_is_not_sent_again_under_the_same_id(harness, worker):
    kind = repeat_after_close(harness, worker, "settle")

    assert (kind, len(worker.requests)) == (AnswerKind.EXCEPTION, 1)


def test_idempotent_request_is_sent_again_under_the_same_id(harness, worker):
    repeat_after_close(harness, worker, "view")

    harness.run_until(lambda: len(worker.requests) == 2, "the worker has the request again")


def test_keyed_request_of_a_zone_is_not_sent_again_under_the_same_id(start_router, worker):
    classes = [section | {"group": "zone"} for section in CLASSES]
    harness = start_router(worker, settings=SETTINGS | {"classes": classes})

    kind = repeat_after_close(harness, worker, "save")

    assert (kind, len(worker.requests)) == (AnswerKind.EXCEPTION, 1)


def test_served_at_most_once_request_is_not_sent_again_under_the_same_id(harness, worker):
    client = harness.connect_client()
    client.send_request("settle", call=ID, seqid=1)
    harness.run_until(lambda: worker.requests, "the worker has the request")
    worker.answer(worker.requests[0])
    harness.run_until(lambda: client.answers, "the request is served")

    client.send_request("settle", call=ID, seqid=2)
    harness.run_until(lambda: len(client.answers) == 2, "the repeat is answered")

    assert client.answer_kinds() == {1: AnswerKind.ANSWER, 2: AnswerKind.EXCEPTION}
    assert len(worker.requests) == 1


def test_request_that_was_never_sent_may_come_again_under_the_same_id(start_router):
    harness = start_router(FakeWorker(instances=None))
    client = harness.connect_client()
    client.send_request("settle", call=ID, seqid=1)
    harness.run_until(lambda: harness.table.pending, "the request is pending")
    client.cancel(1)
    harness.run_until(lambda: not harness.table.pending, "the request is cancelled")

    client.send_request("settle", call=ID, seqid=2)

    harness.run_until(lambda: harness.table.pending, "the request is pending again")


@pytest.mark.parametrize(
    ("request_class", "after_ms", "is_allowed"),
    [
        pytest.param(AT_MOST_ONCE, 1.0, False, id="at most once"),
        pytest.param(AT_MOST_ONCE, KEPT_MS + 1.0, True, id="forgotten"),
        pytest.param(keyed(DeduplicationScope.ALL), WINDOW_MS / 2, True, id="key, in window"),
        pytest.param(keyed(DeduplicationScope.ALL), WINDOW_MS, False, id="key, after window"),
        pytest.param(keyed(DeduplicationScope.CELL), 1.0, False, id="key of a cell"),
        pytest.param(RequestClass("view", retry_safety=RetrySafety.IDEMPOTENT), 1.0, True, id="idempotent"),
    ],
)
def test_repeat_is_allowed_only_where_it_cannot_run_twice(request_class, after_ms, is_allowed):
    runs = PastRuns(MemoryShare(MemoryOwner.PAST_RUNS, 10_000, max_holders=1))
    runs.record(b"12345678", request_class, first_run_ms=100.0, now_ms=100.0)

    assert runs.allows_repeat(b"12345678", request_class, 100.0 + after_ms) is is_allowed
    assert runs.allows_repeat(b"other id", request_class, 100.0 + after_ms)


def test_memory_of_past_runs_is_limited_and_the_oldest_is_forgotten_first():
    share = MemoryShare(MemoryOwner.PAST_RUNS, 10 * ENTRY_BYTES, max_holders=1)
    runs = PastRuns(share)

    for number in range(50):
        runs.record(b"%08d" % number, AT_MOST_ONCE, first_run_ms=float(number), now_ms=float(number))

    assert not share.is_exceeded
    assert runs.allows_repeat(b"%08d" % 0, AT_MOST_ONCE, 50.0)
    assert not runs.allows_repeat(b"%08d" % 49, AT_MOST_ONCE, 50.0)


def test_old_runs_are_forgotten_without_further_requests_for_them():
    share = MemoryShare(MemoryOwner.PAST_RUNS, 100_000, max_holders=1)
    runs = PastRuns(share)
    for number in range(50):
        runs.record(b"%08d" % number, AT_MOST_ONCE, first_run_ms=0.0, now_ms=0.0)

    runs.record(b"the last", AT_MOST_ONCE, first_run_ms=KEPT_MS + 1.0, now_ms=KEPT_MS + 1.0)

    assert share.used_bytes == ENTRY_BYTES
