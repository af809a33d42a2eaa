"""Tests of `client_connection`."""

import gc
import socket
import weakref
from pathlib import Path
from unittest import mock

from fakes import (
    SETTINGS,
    FakeWorker,
    handle_frame,
    ready,
)

from function_router.net import (
    client_connection,
    client_listener,
    clock,
    connection,
    router_process,
)
from function_router.net.event_loop import READ

ROOT = Path(__file__).parent.parent


NO_CANCEL = {"bounds": {**SETTINGS["bounds"], "cancel": False}}


LONG_WINDOW = {"name": "save", "effect": "deduplicated", "give_up": 9000.0, "dedup_window": 60_000.0}


PLACE = 9  # a scorer that the decisions don't know, so that the test alone sends there


def address_of(peer):
    return "127.0.0.1", int(peer.host_port.split(":")[1])


RATION = {"family_info": {**SETTINGS["family_info"], "load_window": 5000.0, "free_loads": 2.0}}


def test_what_no_scorer_could_be_passed_gets_an_exception(start_router):
    harness = start_router(FakeWorker())
    client = harness.connect_client()
    client.call(op="unheard", seqid=1)
    client.call(row="short", seqid=2)
    client.call(body=b"x" * 17_000, seqid=3)
    client.sock.sendall(handle_frame(4, {}, b"x" * 100_000))
    client.call(org="nobody", seqid=6)
    client.call(ttl="9999999", seqid=7)
    for seqid, lanes in enumerate(("0", "-1", "0.5", "5000", "x", ""), 8):
        client.call(props=f"memory_mb:512;lanes:{lanes}", seqid=seqid)
    client.call(seqid=5)
    harness.run_until(lambda: len(client.answers) >= 12 and harness.process.table.pending, "all are read")
    assert client.answer_kinds() == dict.fromkeys((1, 2, 3, 4, *range(6, 14)), "exception")
    assert len(harness.process.table.pending) == 1


def test_bytes_without_a_number_end_the_connection_only(start_router):
    worker = FakeWorker()
    harness = start_router(worker)
    bad, good = harness.connect_client(), harness.connect_client()
    good.call()
    bad.sock.sendall(b"GET / HTTP/1.1\r\nHost: x\r\n\r\n")
    harness.run_until(lambda: bad.ended and worker.requests, "one ends and one runs")
    assert not good.ended


def test_an_ended_connection_is_freed_at_once_without_a_collection(cleanups, start_router):
    harness = start_router(FakeWorker())
    client = harness.connect_client()
    harness.round_trip(client)
    [served] = harness.process.listener.connections
    gone = weakref.ref(served.connection)
    gc.disable()
    cleanups.callback(gc.enable)
    del served
    client.sock.close()
    client.ended = True
    harness.run_until(lambda: not harness.process.listener.connections, "it ends")
    assert gone() is None


def test_a_fault_in_a_handler_costs_the_connection_only(start_router):
    worker = FakeWorker()
    harness = start_router(worker)
    bad, good = harness.connect_client(), harness.connect_client()
    with mock.patch.object(client_connection.ClientConnection, "_handle", side_effect=KeyError("boom")):
        bad.call()
        harness.run_until(lambda: bad.ended, "the connection ends")
    good.call()
    harness.run_until(lambda: worker.requests, "the other one's request runs")
    assert "boom" in "".join(harness.log_lines)


def test_a_33rd_open_request_gets_an_exception(start_router):
    harness = start_router(FakeWorker(instances=None))
    client = harness.connect_client()
    for _ in range(33):
        client.call()
    harness.run_until(lambda: client.answers, "one is answered")
    assert client.answer_kinds() == {33: "exception"}
    assert len(harness.process.table.pending) == 32


def test_an_open_number_used_again_ends_the_connection(start_router):
    harness = start_router(FakeWorker(instances=None))
    client = harness.connect_client()
    client.call(seqid=5)
    client.call(seqid=5)
    harness.run_until(lambda: client.ended, "the connection ends")
    assert (client.answer_kinds(), harness.process.table.pending) == ({5: "broken"}, {})


def test_answers_queued_before_a_bad_message_reach_a_client_that_goes_on_sending(start_router):
    harness = start_router(FakeWorker())
    client = harness.connect_client()
    client.status(1)
    client.call(op="unheard", seqid=2)
    client.call(seqid=3)
    client.sock.setblocking(True)
    client.sock.sendall(b"GET / HTTP/1.1\r\n" + b"x" * 300_000)
    client.sock.setblocking(False)
    harness.run_until(lambda: client.ended, "the connection ends")
    assert client.answer_kinds() == {1: "answer", 2: "exception", 3: "broken"}


def test_one_that_says_nothing_or_half_a_message_is_closed_and_one_that_asked_is_not(start_router):
    harness = start_router(FakeWorker())
    silent, half, asked, late = (harness.connect_client() for _ in range(4))
    half.sock.sendall(handle_frame(1, {})[:9])
    asked.status(1)
    late.status(1)
    harness.run_until(lambda: asked.answers and late.answers, "two are answered")
    late.sock.sendall(handle_frame(2, {})[:9])
    with mock.patch.object(client_connection, "MESSAGE_TIMEOUT_MS", 0.0):
        harness.run_until(lambda: silent.ended and half.ended and late.ended, "three are closed")
    assert not asked.ended


def test_a_first_request_that_has_arrived_is_read_however_many_connect_after_it(start_router):
    worker = FakeWorker()
    harness = start_router(worker, limits={"sockets": 32})
    first = harness.connect_client()
    first.call()
    others = [harness.connect_client() for _ in range(40)]
    harness.run_until(lambda: worker.requests, "it runs")
    worker.answer(worker.requests[0])
    harness.run_until(lambda: first.answers, "it is answered")
    last = harness.connect_client()
    last.status()
    harness.run_until(lambda: last.answers, "a late one gets in past the silent ones")
    assert sum(other.ended for other in others) > 20


def test_a_client_that_does_not_read_is_not_read_and_then_dropped(start_router):
    harness = start_router(FakeWorker())
    client = harness.connect_client()
    harness.round_trip(client)
    [served] = harness.process.listener.connections
    with mock.patch.object(client_connection, "MAX_UNREAD_BYTES", 8 * 1024 * 1024):
        served._write(b"x" * 7_000_000)
        harness.process.loop.run_once(0)
        harness.process.loop.run_once(0)
        assert not served.connection._reading
    served._write(b"x" * 9_000_000)
    harness.process.loop.run_once(0)
    assert served.connection.is_closed


def test_connections_keep_to_their_share_of_descriptors(start_router):
    harness = start_router(FakeWorker(instances=None), limits={"sockets": 32})
    first = harness.connect_client()
    first.call()
    harness.run_until(lambda: harness.process.table.pending, "the first one asks")
    for _ in range(30):
        client = harness.connect_client()
        client.status()
        harness.run_until(lambda client=client: client.answers, "each is answered")
        assert len(harness.process.listener.connections) <= 32 * router_process.CLIENT_SHARE
    assert not first.ended


def warm(start_router, **more):
    """A front end that knows a warm copy, so that a request leaves in the turn that reads it."""
    worker = FakeWorker(instances=8)
    harness = start_router(worker, **more)
    first = harness.connect_client()
    first.call()
    harness.run_until(lambda: worker.requests, "the first one runs")
    worker.answer(worker.requests[0])
    harness.run_until(lambda: first.answers, "it is answered")
    return harness, worker


def newcomer(harness):
    known = set(harness.process.listener.connections)
    client = harness.connect_client()
    harness.run_until(lambda: len(harness.process.listener.connections) > len(known), "it is accepted")
    [served] = set(harness.process.listener.connections) - known
    return client, served


def one_turn(harness, served):
    assert ready(served.connection._sock)
    served.connection._ready(READ)
    harness.process.loop._run_turn([], harness.process.loop.clock.now_ms())


def test_a_request_whose_client_has_closed_behind_it_is_not_sent(start_router):
    for settings in (NO_CANCEL, {}):
        for more in (b"", b"x" * 500):  # nothing or something unread between the two
            harness, worker = warm(start_router, settings=settings)
            client, served = newcomer(harness)
            client.call()
            size = len(client.last_frame)
            client.sock.sendall(more)
            client.sock.close()
            client.ended = True
            with (
                mock.patch.object(connection, "MAX_READ_BYTES", size),
                mock.patch.object(connection, "MAX_READS_PER_TURN", 1),
            ):
                one_turn(harness, served)
            harness.round_trip(harness.connect_client())
            assert (len(worker.requests), harness.process.table.pending) == (1, {})


def test_a_withdrawal_far_behind_its_request_is_read_before_anything_is_sent(start_router):
    harness, worker = warm(start_router, settings=NO_CANCEL)
    client, served = newcomer(harness)
    for seqid in range(1, 11):
        client.call(seqid=seqid, body=b"x" * 12_000)
    for seqid in range(1, 11):
        client.cancel(seqid)
    one_turn(harness, served)
    harness.round_trip(harness.connect_client())
    assert (len(worker.requests), harness.process.table.pending) == (1, {})


def test_one_that_reads_no_answers_is_still_heard_when_it_withdraws_or_ends(start_router):
    for ends in (False, True):
        harness = start_router(FakeWorker(instances=None))
        client, served = newcomer(harness)
        seqid = client.call()
        harness.run_until(lambda harness=harness: harness.process.table.pending, "it is taken")
        client.pump = lambda: None  # it reads no more
        with mock.patch.object(client_connection, "MAX_UNREAD_BYTES", 16 * 1024 * 1024):
            served._write(b"x" * 12_000_000)
            harness.process.loop.run_once(0)
            assert served.connection.pending_bytes > client_connection.STOP_READING_BYTES
            if ends:
                client.sock.shutdown(socket.SHUT_WR)
            else:
                client.cancel(seqid)
            assert ready(served.connection._sock)
            harness.process.loop.run_once(0)
            assert not harness.process.table.pending


def test_a_request_that_crosses_the_close_of_an_idle_connection_is_taken(start_router):
    harness = start_router(FakeWorker(instances=None))
    client = harness.connect_client()
    harness.round_trip(client)
    [served] = harness.process.listener.connections
    client.call()
    assert ready(served.connection._sock)
    with mock.patch.object(client_listener, "IDLE_MS", -1.0):
        harness.process.listener.check_timeouts()  # before it is read
        harness.run_until(lambda: harness.process.table.pending, "it is taken")
    assert not served.connection.is_closed


def test_a_request_in_pieces_is_a_good_one_as_long_as_it_keeps_coming(start_router):
    for spoke in (False, True):
        harness = start_router(FakeWorker(instances=None))
        client = harness.connect_client()
        if spoke:
            harness.round_trip(client)
        harness.run_until(lambda harness=harness: harness.process.listener.connections, "it is accepted")
        [served] = harness.process.listener.connections
        client.call(withhold=50)
        for _ in range(5):
            harness.run_until(lambda served=served: served.connection.peek() is None, "a piece is read")
            served._since_ms -= client_connection.MESSAGE_TIMEOUT_MS  # so long ago did it begin
            harness.process.listener.check_timeouts()
            client.send_rest(10)
        harness.run_until(lambda harness=harness: harness.process.table.pending, "it is taken")


def test_one_that_has_come_in_several_pieces_may_pause_for_longer(start_router):
    harness = start_router(FakeWorker(instances=None))
    client = harness.connect_client()
    client.call(withhold=50)
    harness.run_until(lambda: harness.process.listener.connections, "it is accepted")
    [served] = harness.process.listener.connections
    overdue = []
    for _ in range(3):
        harness.run_until(lambda: served.connection.peek() is None, "a piece is read")
        overdue.append(
            served.overdue(served.connection.last_received_ms + client_connection.MESSAGE_TIMEOUT_MS)
        )
        served._since_ms = served.connection.last_received_ms - client_connection.MESSAGE_TIMEOUT_MS
        client.send_rest(10)
    assert overdue == [True, True, False]


def test_half_a_request_that_goes_no_further_is_closed_in_time(start_router):
    harness = start_router(FakeWorker(instances=None))
    client = harness.connect_client()
    harness.run_until(lambda: harness.process.listener.connections, "it is accepted")
    [served] = harness.process.listener.connections
    client.call(withhold=50)
    harness.run_until(lambda: served._reader.has_partial_frame, "half of it is read")
    now = clock.monotonic_ms()
    assert not served.overdue(now)
    assert served.overdue(served._since_ms + 3000.0 - router_process.TIDY_MS)


def test_one_whose_request_is_half_read_gives_way_after_those_that_say_nothing(start_router):
    harness = start_router(FakeWorker(instances=None), limits={"sockets": 32})
    client = harness.connect_client()
    client.call(withhold=9)
    harness.run_until(lambda: harness.process.listener.connections, "it is accepted")
    [served] = harness.process.listener.connections
    harness.run_until(lambda: served._reader.has_partial_frame, "half of it is read")
    served.connection.last_used_ms -= 10 * client_listener.YOUNG_MS
    for _ in range(30):
        other = harness.connect_client()
        other.status()
        harness.run_until(lambda other=other: other.answers, "each is answered")
    client.send_rest()
    harness.run_until(lambda: harness.process.table.pending, "it is taken")
