"""Tests of `router_process`."""

from unittest import mock

from fakes import (
    SETTINGS,
    FakeEndpointLog,
    FakeWorker,
    ready,
)

from function_router.decisions.actions import SendRequest
from function_router.net import (
    clock,
    endpoint_registry,
    router_process,
)

NO_CANCEL = {"bounds": {**SETTINGS["bounds"], "cancel": False}}


LONG_WINDOW = {"name": "save", "effect": "deduplicated", "give_up": 9000.0, "dedup_window": 60_000.0}


PLACE = 9  # a scorer that the decisions don't know, so that the test alone sends there


def address_of(peer):
    return "127.0.0.1", int(peer.host_port.split(":")[1])


RATION = {"family_info": {**SETTINGS["family_info"], "load_window": 5000.0, "free_loads": 2.0}}


# --- SIGTERM: what has come by the end of the late arrivals is taken, however late the process looks.


def drain(start_router, *peers):
    """A front end that leaves, and whose time for late arrivals has passed."""
    harness = start_router(*(peers or [FakeWorker()]))
    client = harness.connect_client()
    harness.round_trip(client)
    return harness, client


def look(harness):
    """The look that would end it."""
    harness.process.drain()
    harness.process._drain_started_ms -= router_process.LATE_ARRIVALS_MS + 1
    harness.process._stop_when_drained()


def expect_answered(harness, worker, client):
    assert harness.process.loop.running
    harness.run_until(lambda: worker.requests, "it runs")
    worker.answer(worker.requests[0], body=b"late")
    harness.run_until(
        lambda: client.answers and not harness.process.loop.running, "it is answered, and all ends"
    )
    assert client.answers[-1][1:] == ("answer", {1: b"late", 2: {}, 3: True})


def test_a_request_that_lies_unread_is_taken(start_router):
    worker = FakeWorker()
    harness, client = drain(start_router, worker)
    [served] = harness.process.listener.connections
    client.call()
    assert ready(served.connection._sock)
    look(harness)
    expect_answered(harness, worker, client)


def test_a_request_on_a_connection_that_is_not_accepted_yet_is_taken(start_router):
    worker = FakeWorker()
    harness, _ = drain(start_router, worker)
    client = harness.connect_client()
    client.call()
    assert ready(harness.process.listener._listener)
    look(harness)
    expect_answered(harness, worker, client)


def test_a_request_that_is_half_read_is_taken(start_router):
    worker = FakeWorker()
    harness, client = drain(start_router, worker)
    [served] = harness.process.listener.connections
    client.call(withhold=9)
    harness.run_until(lambda: served._reader.waits, "half of it is read")
    look(harness)
    client.send_rest()
    expect_answered(harness, worker, client)


def test_a_connection_that_waits_while_accepting_pauses_is_taken(start_router):
    worker = FakeWorker()
    harness, _ = drain(start_router, worker)
    client = harness.connect_client()
    client.call()
    assert ready(harness.process.listener._listener)
    harness.process.listener._pause()
    look(harness)
    expect_answered(harness, worker, client)


def test_one_that_has_nothing_on_its_way_keeps_nothing_from_ending(start_router):
    harness, _ = drain(start_router)
    harness.connect_client()
    look(harness)
    assert not harness.process.loop.running


def test_what_would_be_open_when_the_end_is_forced_is_answered_before(start_router):
    worker = FakeWorker()
    harness, client = drain(start_router, worker)
    for seqid, op in enumerate(("view", "settle"), 1):
        client.call(op, seqid=seqid, row=f"{seqid:016x}")
        harness.run_until(lambda seqid=seqid: len(worker.requests) == seqid, "it runs")
    begun = clock.monotonic_ms()
    with mock.patch.object(router_process, "KILL_WAIT_MS", 0.0):  # 0.5 s are left of what would be 9 s
        harness.process.drain()
    client.call("view", seqid=3, row="ff" * 8)
    harness.run_until(lambda: len(client.answer_kinds()) == 4, "all are answered")
    assert clock.monotonic_ms() - begun < 4000.0  # their clients would wait for twice that
    kinds = {seqid: kind for seqid, kind in client.answer_kinds().items() if seqid < 10}
    assert kinds == {1: "throttled", 2: "broken", 3: "throttled"}
    harness.run_until(lambda: not harness.process.loop.running, "it ends")


def test_a_drain_told_while_leaving_is_kept_and_a_reload_moves_the_list(cleanups, start_router):
    worker, other, moved = (
        FakeWorker("s-1", instances=None),
        FakeWorker("s-2", instances=None),
        FakeEndpointLog(),
    )
    cleanups.callback(moved.close)
    harness, client = drain(start_router, worker, other)
    config = harness.process.config
    harness.process._reread = lambda: type(config)(
        **{name: getattr(config, name) for name in config.__struct_fields__ if name != "endpoint_log"},
        endpoint_log=address_of(moved),
    )
    harness.workers.append(moved)
    client.call()
    harness.run_until(lambda: harness.process.table.pending, "it is taken")
    look(harness)
    harness.process.reload()
    harness.run_until(lambda: moved.queries(), "the new log is asked")
    moved.send_line(
        {"seq": 2, "fleet": {"members": [peer.record("terminating") for peer in (worker, other)]}}
    )
    harness.run_until(lambda: harness.process.endpoint_watch.last_sequence == 2, "the drain is told")
    [key] = harness.process.table.pending
    harness.process.table.send(SendRequest(key, endpoint_registry.worker_id_of("s-1")))
    harness.round_trip(client)
    assert worker.requests + other.requests == []
    assert harness.process.loop.running
    client.cancel(1)
    harness.run_until(lambda: not harness.process.loop.running, "it ends")
