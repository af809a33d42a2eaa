"""Tests of the limit on start orders, which counts them by when they leave and by the requests that stay."""

from unittest import mock

import pytest
from fakes import ROW, SETTINGS, FakeWorker

from function_router.decisions.actions import EnsureInstances
from function_router.decisions.types import WorkerState
from function_router.net import worker_connection
from function_router.net.close_reason import CloseReason
from function_router.net.codecs import worker_frames

UNLISTED_ID = 9  # of a worker that the decisions don't know, so that the test alone sends to it
LIMITED = {"family_info": {**SETTINGS["family_info"], "load_window": 5000.0, "free_loads": 2.0}}
CLIENT_ID = "ab" * 8


def address_of(worker):
    host, port = worker.host_port.split(":")
    return host, int(port)


def shift_clock(harness, shift_ms):
    """Let so much time pass on the clock that the decisions are shown."""
    clock = harness.process.loop.clock
    now_ms = clock.now_ms
    clock.now_ms = lambda: now_ms() + shift_ms


def count_orders(harness, count):
    """Have the decisions count so many orders that leave now."""
    now_ms = harness.process.loop.clock.now_ms()
    for _ in range(count):
        harness.process.router.start_order_times.add(now_ms)


def order_now(harness, instances):
    """Carry out a start order that was decided on now."""
    now_ms = harness.process.loop.clock.now_ms()
    harness.process.table.begin_batch(now_ms)
    harness.process.router.start_order_times.add(now_ms)
    harness.process.table.ensure_instances(EnsureInstances(UNLISTED_ID, ROW, instances))


def order_at_unconnected(harness, worker):
    """Carry out a start order to a worker to which no connection is established yet."""
    harness.workers.append(worker)
    harness.process.pool.update_endpoint(UNLISTED_ID, address_of(worker), WorkerState.READY, 0.0)
    order_now(harness, instances=1)


def probe(harness):
    harness.process.table.ensure_instances(EnsureInstances(UNLISTED_ID, ROW, 0))


def ordered_instances(worker):
    """The numbers of instances in the start orders and probes that the worker got."""
    return [frame.fields["slots_up"] for _, frame in worker.received(worker_frames.ENSURE_INSTANCES)]


def fill_socket(connection):
    """Write until the worker, which must not read, takes no more; the last piece that was written."""
    filler = connection.connection.write(b"")
    while not connection.connection._blocked:
        filler = connection.connection.write(worker_frames.encode_cancel(b"nobody00") * 50_000)
        connection.connection.flush()
    return filler


def test_requests_that_clients_cancel_do_not_raise_the_limit(start_router):
    harness = start_router(FakeWorker(instances=None), settings=LIMITED)
    client = harness.connect_client()

    for seqid in range(1, 41):
        client.call(call=CLIENT_ID, seqid=seqid, ttl="52")
        client.cancel(seqid)
    harness.round_trip(client)

    assert harness.process.router.recent_arrivals == {}


def test_id_that_is_sent_again_after_each_rejection_counts_once(start_router):
    harness = start_router(FakeWorker(instances=None), settings=LIMITED)
    client = harness.connect_client()

    for seqid in range(1, 11):
        client.call(call=CLIENT_ID, seqid=seqid, ttl="52")
        harness.run_until(lambda seqid=seqid: seqid in client.answer_kinds(), "it is rejected")

    assert set(client.answer_kinds().values()) == {"throttled"}
    assert list(harness.process.router.recent_arrivals) == [CLIENT_ID]


@pytest.mark.parametrize(("others", "is_sent"), [(1, True), (2, False)], ids=["room", "no-room"])
def test_order_whose_connection_is_late_keeps_to_the_limit_of_when_it_leaves(start_router, others, is_sent):
    harness = start_router(settings=LIMITED)
    worker = FakeWorker("s-9", instances=None)
    order_at_unconnected(harness, worker)
    shift_clock(harness, 4500.0)
    count_orders(harness, others)
    [connection] = harness.process.pool.workers[UNLISTED_ID].connections

    harness.run_until(lambda: connection.is_connected, "it is established")
    probe(harness)
    harness.run_until(lambda: worker.frames, "what is sent after it arrives")

    assert ("1" in ordered_instances(worker)) == is_sent
    ordered = list(harness.process.router.start_order_times)
    assert len(ordered) == 2
    one_second_ago_ms = harness.process.loop.clock.now_ms() - 1000.0
    assert min(ordered) > one_second_ago_ms


def test_order_behind_bytes_that_the_worker_does_not_read_is_checked_again(start_router):
    harness = start_router(settings=LIMITED)
    worker = FakeWorker("s-9", instances=None)
    order_at_unconnected(harness, worker)
    harness.run_until(lambda: worker.frames, "a connection is established")
    [connection, *_] = harness.process.pool.workers[UNLISTED_ID].connections
    harness.process.router.start_order_times.clear()
    read_again = worker.pump
    worker.pump = lambda: None
    filler = fill_socket(connection)
    with mock.patch.object(worker_connection, "MAX_PENDING_BYTES", 1 << 30):
        for other in harness.process.pool.workers[UNLISTED_ID].connections[1:]:
            other.connection.close(CloseReason.IDLE)
        order_now(harness, instances=2)
    assert [exchange.instances for exchange in connection.unwritten()] == [2]

    shift_clock(harness, 4500.0)
    count_orders(harness, 2)
    worker.pump = read_again
    harness.run_until(lambda: not connection.connection.pending_bytes, "all is written")
    harness.run_until(lambda: filler.written == len(filler.data), "the filler too")
    probe(harness)
    harness.run_until(lambda: "0" in ordered_instances(worker), "what is sent after it arrives")

    assert "2" not in ordered_instances(worker)
