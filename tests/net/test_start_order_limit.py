"""Tests of the rate limit of start orders, which depends on send times and ignores cancelled requests."""

from unittest import mock

import pytest
from helpers.client_messages import FUNCTION
from helpers.configuration import SETTINGS
from helpers.fake_worker import FakeWorker
from helpers.process_harness import UNLISTED_WORKER_ID

from function_router.decisions.actions import EnsureInstances
from function_router.net import worker_connection
from function_router.net.close_reason import CloseReason
from function_router.net.codecs import worker_frames

LIMITED_START_ORDERS = {"family_info": {**SETTINGS["family_info"], "load_window": 5000.0, "free_loads": 2.0}}
CLIENT_ID = "ab" * 8


def shift_clock(harness, shift_ms):
    """Advance the clock from which the decision module gets the time."""
    clock = harness.router_process.loop.clock
    now_ms = clock.now_ms
    clock.now_ms = lambda: now_ms() + shift_ms


def count_orders(harness, count):
    """Have the decision module count `count` orders as sent now."""
    now_ms = harness.router_process.loop.clock.now_ms()
    for _ in range(count):
        harness.router_process.router.start_order_limits.counted.add(now_ms)


def send_start_order(harness, instances):
    """Send a start order that is decided on and counted now."""
    now_ms = harness.router_process.loop.clock.now_ms()
    harness.table.begin_batch(now_ms)
    harness.router_process.router.start_order_limits.counted.add(now_ms)
    harness.table.ensure_instances(EnsureInstances(UNLISTED_WORKER_ID, FUNCTION, instances))


def send_start_order_before_connecting(harness, worker):
    """Send a start order to a worker to which no connection is established yet."""
    harness.add_unlisted_worker(worker)
    send_start_order(harness, instances=1)


def ordered_instances(worker):
    """Return the numbers of instances in the start orders and probes that the worker received."""
    return [frame.fields["slots_up"] for _, frame in worker.received(worker_frames.ENSURE_INSTANCES)]


def fill_socket(connection):
    """Write until the socket buffers are full, and return the last write; the worker must not read."""
    filler = connection.connection.write(b"")
    while not connection.connection.writer.is_blocked:
        filler = connection.connection.write(worker_frames.encode_cancel(b"nobody00") * 50_000)
        connection.connection.flush()
    return filler


@pytest.mark.parametrize(
    "ttl", [pytest.param("52", id="rejected at once"), pytest.param("1500", id="pending until cancelled")]
)
def test_requests_that_clients_cancel_do_not_raise_the_limit(start_router, ttl):
    harness = start_router(FakeWorker(instances=None), settings=LIMITED_START_ORDERS)
    client = harness.connect_client()

    for seqid in range(1, 41):
        client.send_cancelled_request(call=CLIENT_ID, seqid=seqid, ttl=ttl)
    harness.round_trip(client)

    assert harness.router_process.router.fleet.arrivals.recent == {}


def test_request_id_sent_again_after_each_rejection_counts_once(start_router):
    harness = start_router(FakeWorker(instances=None), settings=LIMITED_START_ORDERS)
    client = harness.connect_client()

    for seqid in range(1, 11):
        client.send_request(call=CLIENT_ID, seqid=seqid, ttl="52")
        harness.run_until(lambda seqid=seqid: seqid in client.answer_kinds(), "the request is rejected")

    assert set(client.answer_kinds().values()) == {"throttled"}
    assert list(harness.router_process.router.fleet.arrivals.recent) == [CLIENT_ID]


@pytest.mark.parametrize(("others", "is_sent"), [(1, True), (2, False)], ids=["room", "no-room"])
def test_order_delayed_by_its_connection_is_limited_as_of_when_it_is_sent(start_router, others, is_sent):
    harness = start_router(settings=LIMITED_START_ORDERS)
    worker = FakeWorker("s-9", instances=None)
    send_start_order_before_connecting(harness, worker)
    shift_clock(harness, 4500.0)
    count_orders(harness, others)
    [connection] = harness.connections_to()

    harness.run_until(lambda: connection.is_connected, "the connection is established")
    harness.probe()
    harness.run_until(lambda: worker.frames, "the probe, which is sent after the order, arrives")

    assert ("1" in ordered_instances(worker)) == is_sent
    ordered = list(harness.router_process.router.start_order_limits.counted)
    assert len(ordered) == 2
    one_second_ago_ms = harness.router_process.loop.clock.now_ms() - 1000.0
    assert min(ordered) > one_second_ago_ms


def test_order_behind_unread_bytes_is_checked_again(start_router):
    harness = start_router(settings=LIMITED_START_ORDERS)
    worker = FakeWorker("s-9", instances=None)
    send_start_order_before_connecting(harness, worker)
    harness.run_until(lambda: worker.frames, "a connection is established")
    [connection, *_] = harness.connections_to()
    harness.router_process.router.start_order_limits.counted.clear()
    receive = worker.receive
    worker.receive = lambda: None
    filler = fill_socket(connection)
    with mock.patch.object(worker_connection, "MAX_PENDING_BYTES", 1 << 30):
        for other in harness.connections_to()[1:]:
            other.connection.close(CloseReason.IDLE)
        send_start_order(harness, instances=2)
    assert [exchange.instances for exchange in connection.unwritten()] == [2]

    shift_clock(harness, 4500.0)
    count_orders(harness, 2)
    worker.receive = receive
    harness.run_until(lambda: not connection.connection.pending_bytes, "all bytes are written")
    harness.run_until(lambda: filler.written == len(filler.data), "the filler is written, too")
    harness.probe()
    harness.run_until(lambda: "0" in ordered_instances(worker), "the probe arrives")

    assert "2" not in ordered_instances(worker)


# Guards against start orders for clients that have gone, which use up the rate limit of those that wait.
def test_order_is_not_sent_if_the_client_of_its_request_has_gone(start_router):
    worker = FakeWorker(instances=0)
    harness = start_router(worker)
    client = harness.connect_accepted_client()
    client.send_request()
    harness.run_until(lambda: harness.table.pending, "the request is pending")
    client.close()
    harness.clients.remove(client)

    harness.table.begin_batch(harness.router_process.loop.clock.now_ms())
    harness.table.ensure_instances(EnsureInstances(worker.worker_id, FUNCTION, 1))
    harness.round_trip(harness.connect_client())

    assert harness.table.pending == {}
    assert "1" not in ordered_instances(worker)
