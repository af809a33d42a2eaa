"""Tests of `drain`: requests that arrive in time are served even if they are read late."""

from unittest import mock

import msgspec
import pytest
from helpers.configuration import endpoint_event
from helpers.fake_endpoint_log import FakeEndpointLog
from helpers.fake_worker import FakeWorker
from helpers.sockets import wait_readable

from function_router.decisions.actions import SendRequest
from function_router.net import clock, drain
from function_router.net.reload import ConfigurationReload


def drain_past_late_arrivals(harness):
    """Start to drain, and run the check that follows the end of LATE_ARRIVALS_MS."""
    process_drain = harness.router_process.drain
    process_drain.start()
    process_drain._started_ms -= drain.LATE_ARRIVALS_MS + 1
    process_drain._stop_if_complete()


def expect_answered(harness, worker, client):
    """Assert that the request runs and is answered, and that the loop stops only after that."""
    loop = harness.router_process.loop
    assert loop.is_running
    harness.run_until(lambda: worker.requests, "the request runs")
    worker.answer(worker.requests[0], body=b"late")
    harness.run_until(
        lambda: client.answers and not loop.is_running, "the request is answered, and the loop stops"
    )
    assert client.answers[-1][1:] == ("answer", {1: b"late", 2: {}, 3: True})


def test_unread_request_is_served_in_a_drain(harness, worker, client):
    [client_connection] = harness.router_process.listener.connections
    client.send_request()
    assert wait_readable(client_connection.connection._sock)

    drain_past_late_arrivals(harness)

    expect_answered(harness, worker, client)


@pytest.mark.usefixtures("client")
@pytest.mark.parametrize("is_paused", [False, True], ids=["accepting", "accepting paused"])
def test_request_on_a_connection_not_accepted_yet_is_served_in_a_drain(harness, worker, is_paused):
    late_client = harness.connect_client()
    late_client.send_request()
    assert wait_readable(harness.router_process.listener._acceptor._listener)
    if is_paused:
        harness.router_process.listener._acceptor._pause()

    drain_past_late_arrivals(harness)

    expect_answered(harness, worker, late_client)


def test_partially_read_request_is_served_in_a_drain(harness, worker, client):
    [client_connection] = harness.router_process.listener.connections
    client.send_request(unsent_size=9)
    harness.run_until(
        lambda: client_connection.messages.has_partial_message, "the first part of the request is read"
    )

    drain_past_late_arrivals(harness)
    client.send_unsent()

    expect_answered(harness, worker, client)


@pytest.mark.usefixtures("client")
def test_connection_without_a_request_does_not_delay_a_drain(harness):
    harness.connect_client()

    drain_past_late_arrivals(harness)

    assert not harness.router_process.loop.is_running


def test_requests_that_would_be_pending_when_the_process_is_killed_are_answered_before(
    harness, worker, client
):
    for seqid, class_name in enumerate(("view", "settle"), 1):
        client.send_request(class_name, seqid=seqid, row=f"{seqid:016x}")
        harness.run_until(lambda count=seqid: len(worker.requests) == count, "the request runs")
    started_ms = clock.monotonic_ms()

    with mock.patch.object(drain, "MAX_TIMEOUT_BEFORE_KILL_MS", 0.0):  # 0.5 s are left instead of 3.5 s
        harness.router_process.drain.start()
    client.send_request("view", seqid=3, row="ff" * 8)
    harness.run_until(lambda: len(client.answer_kinds()) == 4, "all requests are answered")

    assert clock.monotonic_ms() - started_ms < 2000.0  # the limit that is replaced would allow 3.5 s
    kinds = {seqid: kind for seqid, kind in client.answer_kinds().items() if seqid < 10}
    assert kinds == {1: "throttled", 2: "broken", 3: "throttled"}
    harness.run_until(lambda: not harness.router_process.loop.is_running, "the loop stops")


def test_pending_request_is_answered_before_the_kill_even_if_the_decision_module_fails(
    harness, worker, client
):
    client.send_request()
    harness.run_until(lambda: worker.requests, "the request runs")
    started_ms = clock.monotonic_ms()

    with (
        mock.patch.object(drain, "MAX_TIMEOUT_BEFORE_KILL_MS", 0.0),  # 0.5 s are left instead of 3.5 s
        mock.patch.object(harness.router_process.router, "handle", side_effect=KeyError),
    ):
        harness.router_process.drain.start()
        harness.run_until(lambda: 1 in client.answer_kinds(), "the request is answered")

    assert clock.monotonic_ms() - started_ms < 2000.0


def test_reload_in_a_drain_moves_the_endpoint_log_and_draining_workers_get_nothing(start_router):
    worker = FakeWorker("s-1", instances=None)
    other = FakeWorker("s-2", instances=None)
    moved = FakeEndpointLog()
    harness = start_router(worker, other)
    harness.add_listener(moved)
    process = harness.router_process
    new_config = msgspec.structs.replace(process.config, endpoint_log=moved.address)
    reload = ConfigurationReload(
        process.config, lambda: new_config, process.loop, process.endpoint_watch, process.log
    )
    client = harness.connect_accepted_client()
    client.send_request()
    harness.run_until(lambda: harness.table.pending, "the request is admitted")

    drain_past_late_arrivals(harness)
    reload.run()
    harness.run_until(moved.requests, "the new endpoint log receives a request")
    moved.send_line(endpoint_event(2, worker.record("terminating"), other.record("terminating")))
    harness.run_until(lambda: process.endpoint_watch.last_sequence == 2, "the event is applied")
    [key] = harness.table.pending
    harness.table.send(SendRequest(key, worker.worker_id))
    harness.round_trip(client)

    assert worker.requests + other.requests == []
    assert process.loop.is_running
    client.cancel(1)
    harness.run_until(lambda: not process.loop.is_running, "the loop stops")
