"""Tests of `request_table`."""

import math
from pathlib import Path
from unittest import mock

from fakes import (
    ROW,
    SETTINGS,
    FakeWorker,
    attempt,
    ready,
)

from function_router.decisions.actions import CancelAttempt, EnsureInstances, SendRequest
from function_router.decisions.types import WorkerState
from function_router.net import (
    clock,
    connection,
    endpoint_registry,
    event_loop,
    request_table,
)
from function_router.net.close_reason import CloseReason
from function_router.net.codecs import worker_frames
from function_router.net.event_loop import READ, WRITE

ROOT = Path(__file__).parent.parent


NO_CANCEL = {"bounds": {**SETTINGS["bounds"], "cancel": False}}


LONG_WINDOW = {"name": "save", "effect": "deduplicated", "give_up": 9000.0, "dedup_window": 60_000.0}


PLACE = 9  # a scorer that the decisions don't know, so that the test alone sends there


def address_of(peer):
    return "127.0.0.1", int(peer.host_port.split(":")[1])


RATION = {"family_info": {**SETTINGS["family_info"], "load_window": 5000.0, "free_loads": 2.0}}


def test_answers_in_any_order_reach_the_request_that_they_are_for(start_router):
    worker = FakeWorker(instances=4)
    harness = start_router(worker)
    client = harness.connect_client()
    for n in range(4):
        client.call(body=b"ask%d" % n)
    harness.run_until(lambda: len(worker.requests) == 4, "all four run")
    assert {frame.fields["obj"] for _, frame in worker.requests} == {ROW}
    for n, item in enumerate(reversed(worker.requests)):
        worker.answer(item, body=b"for " + item[1].body)
        harness.run_until(lambda n=n: len(client.answers) > n, "each is answered in its turn")
        assert client.answers[n][0] == int.from_bytes(item[1].id, "big")
    bodies = {seqid: content[1] for seqid, _, content in client.answers}
    assert bodies == {n + 1: b"for ask%d" % n for n in range(4)}


def test_id_class_key_body_and_token_are_passed_on_unchanged(start_router):
    worker = FakeWorker()
    harness = start_router(worker)
    body = bytes(range(256)) * 64
    harness.connect_client().call(
        "save", body, call="9B1f03aa5c7e2d41", dedupe="5c0f6e1a2b3d4c59a8b7c6d5e4f30211"
    )
    harness.run_until(lambda: worker.requests, "it runs")
    [(_, frame)] = worker.requests
    fields = {name: frame.fields[name] for name in ("kind", "obj", "token")}
    assert fields == {"kind": "save", "obj": ROW, "token": "5c0f6e1a2b3d4c59a8b7c6d5e4f30211"}
    assert (frame.id.hex(), frame.body) == ("9b1f03aa5c7e2d41", body)
    assert 0 < int(frame.fields["ms"]) <= 8000


def test_a_withdrawn_request_gets_no_answer_and_a_late_one_is_dropped(start_router):
    worker = FakeWorker()
    harness = start_router(worker)
    client = harness.connect_client()
    seqid = client.call()
    harness.run_until(lambda: worker.requests, "it runs")
    client.cancel(seqid)
    harness.run_until(lambda: worker.received(worker_frames.GIVE_UP), "it is given up")
    worker.answer(worker.requests[0], body=b"late")
    second = client.call()
    harness.run_until(lambda: len(worker.requests) == 2, "the next one runs")
    worker.answer(worker.requests[1], body=b"in time")
    harness.run_until(lambda: client.answers, "the next one is answered")
    assert [answer[0] for answer in client.answers] == [second]
    assert not harness.process.table.pending


def test_a_second_answer_of_a_scorer_is_dropped(start_router):
    worker = FakeWorker()
    harness = start_router(worker)
    client = harness.connect_client()
    client.call()
    harness.run_until(lambda: worker.requests, "it runs")
    worker.answer(worker.requests[0], body=b"one")
    worker.answer(worker.requests[0], body=b"two")
    harness.run_until(lambda: client.answers, "it is answered")
    harness.round_trip(client)
    assert [content[1] for _, _, content in client.answers] == [b"one", b""]


def test_a_closed_client_connection_gives_up_what_is_open_on_it(start_router):
    worker = FakeWorker()
    harness = start_router(worker)
    client = harness.connect_client()
    client.call()
    harness.run_until(lambda: worker.requests, "it runs")
    client.sock.close()
    client.ended = True
    harness.run_until(lambda: worker.received(worker_frames.GIVE_UP), "it is given up")
    assert not (harness.process.table.pending or harness.process.listener.connections)


def test_a_fault_in_the_decisions_still_leaves_each_request_one_answer(start_router):
    worker = FakeWorker()
    harness = start_router(worker)
    client = harness.connect_client()
    with mock.patch.object(harness.process.router, "handle", side_effect=KeyError("boom")):
        seqid = client.call(ttl="60")
        harness.run_until(lambda: client.answers, "the backstop answers")
    assert client.answer_kinds() == {seqid: "broken"}
    assert "boom" in "".join(harness.log_lines)
    client.call()
    harness.run_until(lambda: worker.requests, "the next one runs")


def test_the_time_that_a_call_lay_unread_counts(start_router):
    harness = start_router(FakeWorker(instances=None))
    harness.connect_client().call(ttl="8000")
    with mock.patch.object(event_loop, "unix_ms", lambda: clock.unix_ms() + 3000.0):
        harness.run_until(lambda: harness.process.table.pending, "it is read")
    [request] = harness.process.table.pending.values()
    assert 0 <= request.deadline_ms - harness.process.loop.turn_started_ms <= 5000.0
    [known] = harness.process.router.requests.values()
    assert 0 <= known.deadline_ms - known.arrived_ms <= 5000.0


def test_a_refusal_is_given_at_once_and_tells_when_to_come_back(start_router):
    worker = FakeWorker()
    harness = start_router(worker)
    client = harness.connect_client()
    with mock.patch.object(request_table, "MAX_TOTAL_BODY_BYTES", 10):
        seqid = client.call(body=b"x" * 11)
        harness.run_until(lambda: client.answers, "it is refused")
    expected = {1: {"pushback": str(int(request_table.FULL_TABLE_RETRY_AFTER_MS)).encode()}}
    assert client.answers == [(seqid, "throttled", expected)]


def lose(start_router, op, **more):
    """A request whose first scorer resets the connection once it has arrived whole."""
    peers = FakeWorker("s-1"), FakeWorker("s-2")
    harness = start_router(*peers, **more)
    client = harness.connect_client()
    client.call(op)
    harness.run_until(lambda: any(peer.requests for peer in peers), "it runs")
    first = next(peer for peer in peers if peer.requests)
    for link in first.connections:
        link.sock.close()
        link.ended = True
    return harness, client, first, next(peer for peer in peers if peer is not first)


def test_what_must_not_run_twice_is_failed_not_refused_or_sent_again(start_router):
    harness, client, first, other = lose(start_router, "settle")
    harness.run_until(lambda: client.answers, "it is failed")
    harness.round_trip(client)
    assert client.answer_kinds()[1] == "broken"
    assert (len(first.requests), len(other.requests)) == (1, 0)


def test_what_may_be_repeated_is_sent_elsewhere(start_router):
    for op in ("view", "save"):
        harness, client, _, other = lose(start_router, op)
        harness.run_until(lambda other=other: other.requests, "it runs elsewhere")
        other.answer(other.requests[0], body=b"again")
        harness.run_until(lambda client=client: client.answers, "it is answered")
        assert client.answers[0][1:] == ("answer", {1: b"again", 2: {}, 3: True})


def test_a_refused_dial_proves_that_nothing_ran(start_router):
    ended = []
    gone = FakeWorker("s-9")
    gone.close()
    harness = start_router()
    harness.process.pool.update_endpoint(
        9, ("127.0.0.1", int(gone.host_port.split(":")[1])), WorkerState.READY, 0.0
    )
    harness.process.pool.send(attempt(9, ended))
    harness.run_until(lambda: ended, "it ends")
    assert ended == [(CloseReason.CONNECTION_REFUSED, False)]


def test_a_request_that_was_not_served_is_told_step_by_step_under_its_id(start_router):
    worker = FakeWorker(instances=None)
    harness = start_router(worker)
    client = harness.connect_client()
    client.call(call="9b1f03aa5c7e2d41", ttl="80")
    harness.run_until(lambda: client.answers, "it is given up")
    [line] = [line for line in harness.log_lines if "9b1f03aa5c7e2d41" in line]
    worker = endpoint_registry.worker_id_of(worker.id)
    assert f"view of {ROW} rejected after" in line
    assert f"ensure 0 instances at {worker}" in line


def test_a_request_served_in_time_is_not_told(start_router):
    worker = FakeWorker()
    harness = start_router(worker)
    client = harness.connect_client()
    client.call()
    harness.run_until(lambda: worker.requests, "it runs")
    worker.answer(worker.requests[0])
    harness.run_until(lambda: client.answers, "it is answered")
    assert not [line for line in harness.log_lines if ROW in line]


def test_what_was_sent_is_counted_once(start_router):
    worker = FakeWorker()
    harness = start_router(worker)
    harness.connect_client().call()
    harness.run_until(lambda: worker.requests, "it runs")
    for _ in range(2):
        harness.process._log_counters()
    told = [line for line in harness.log_lines if line.startswith("sent: ")]
    assert told == ["sent: calls 1, dials 2, questions 1"]


# --- A client that has left: no attempt begins for it, wherever its request waits.


def call_at_a_new_scorer(start_router, settings, linked=False):
    """A call that is to go to a scorer of its own; `linked`: to which a connection stands."""
    harness, peer = start_router(FakeWorker(instances=None), settings=settings), FakeWorker("s-9")
    harness.workers.append(peer)
    harness.process.pool.update_endpoint(PLACE, address_of(peer), WorkerState.READY, 0.0)
    if linked:
        harness.process.table.ensure_instances(EnsureInstances(PLACE, ROW, 0))
        harness.run_until(lambda: peer.frames, "a connection stands")
    client = harness.connect_client()
    client.call()
    harness.run_until(lambda: harness.process.table.pending, "it is taken")
    [served] = harness.process.listener.connections
    return harness, peer, client, served


def send(harness):
    [key] = harness.process.table.pending
    harness.process.table.send(SendRequest(key, PLACE))
    return harness.process.pool.workers[PLACE].connections


def drain(client, served):
    client.sock.close()
    client.ended = True
    assert ready(served.connection._sock)


def expect_nothing_sent(harness, peer, link):
    harness.run_until(lambda: link.is_connected, "the dial comes up")
    harness.process.table.ensure_instances(EnsureInstances(PLACE, ROW, 0))
    asked = len(peer.frames)
    harness.run_until(lambda: len(peer.frames) > asked, "what is sent after it arrives")
    assert (peer.requests, harness.process.table.pending, harness.process.table._attempts) == ([], {}, {})


def test_what_waits_for_a_dial_is_taken_back_though_nothing_may_be_cancelled(start_router):
    harness, peer, client, served = call_at_a_new_scorer(start_router, NO_CANCEL)
    [link] = send(harness)
    drain(client, served)
    served.connection._ready(READ)
    expect_nothing_sent(harness, peer, link)


def test_a_dial_that_comes_up_before_the_clients_end_is_read_carries_nothing(start_router):
    for settings in (NO_CANCEL, {}):
        harness, peer, client, served = call_at_a_new_scorer(start_router, settings)
        [link] = send(harness)
        drain(client, served)
        link.connection._ready(WRITE)
        harness.process.loop._run_turn([], harness.process.loop.clock.now_ms())  # the end is still unread
        expect_nothing_sent(harness, peer, link)


def test_what_is_placed_again_after_its_link_ended_is_taken_back(start_router):
    for settings in (NO_CANCEL, {}):
        harness, peer, client, served = call_at_a_new_scorer(start_router, settings, linked=True)
        [link, *_] = send(harness)
        link = next(link for link in harness.process.pool.workers[PLACE].connections if link.exchanges)
        for other in [
            other for other in harness.process.pool.workers[PLACE].connections if other is not link
        ]:
            other.connection.close(CloseReason.IDLE)
        link.connection.close(CloseReason.RESET_BY_PEER)  # before a byte of it was written
        [link] = harness.process.pool.workers[PLACE].connections
        drain(client, served)
        served.connection._ready(READ)
        expect_nothing_sent(harness, peer, link)


def test_what_is_unwritten_when_another_attempt_is_served_never_begins(start_router):
    harness, peer, client, _ = call_at_a_new_scorer(start_router, NO_CANCEL, linked=True)
    other = FakeWorker("s-10")
    harness.workers.append(other)
    harness.process.pool.update_endpoint(10, address_of(other), WorkerState.READY, 0.0)
    send(harness)
    harness.run_until(lambda: peer.requests, "the first one runs")
    [key] = harness.process.table.pending
    harness.process.table.send(SendRequest(key, 10))
    [link] = harness.process.pool.workers[10].connections
    peer.answer(peer.requests[0], body=b"served")
    running = next(link for link in harness.process.pool.workers[PLACE].connections if link.exchanges)
    assert ready(running.connection._sock)
    running.connection._ready(READ)
    harness.run_until(
        lambda: client.answers and link.is_connected, "it is served, and the other dial comes up"
    )
    harness.process.table.ensure_instances(EnsureInstances(10, ROW, 0))
    harness.run_until(lambda: other.frames, "what is sent after it arrives")
    assert (other.requests, harness.process.table._attempts) == ([], {})


def test_an_id_that_is_open_is_not_taken_a_second_time_whoever_sends_it(start_router):
    worker = FakeWorker(instances=None)
    harness = start_router(worker)
    first, second = harness.connect_client(), harness.connect_client()
    first.call(call="ab" * 8)
    harness.run_until(lambda: harness.process.table.pending, "the first one is taken")
    for seqid in range(2, 32):
        first.call(call="ab" * 8, seqid=seqid)
    second.call(call="ab" * 8, body=b"another")
    harness.run_until(lambda: len(first.answers) == 30 and second.answers, "all others are answered")
    assert set(first.answer_kinds().values()) | set(second.answer_kinds().values()) == {"exception"}
    assert (len(harness.process.table.pending), len(harness.process.router.recent_arrivals)) == (1, 1)


def test_an_id_is_free_again_once_its_request_is_over_or_its_client_has_gone(start_router):
    harness = start_router(FakeWorker(instances=None))
    first, second, third = harness.connect_client(), harness.connect_client(), harness.connect_client()
    seqid = first.call(call="ab" * 8)
    harness.run_until(lambda: harness.process.table.pending, "the first one is taken")
    first.cancel(seqid)
    harness.run_until(lambda: not harness.process.table.pending, "it is withdrawn")
    second.call(call="ab" * 8)
    harness.run_until(lambda: harness.process.table.pending, "the second one is taken")
    [served] = [served for served in harness.process.listener.connections if served.pending]
    second.sock.close()
    second.ended = True
    assert ready(served.connection._sock)
    [other] = [other for other in harness.process.listener.connections if not other.spoke]
    third.call(call="ab" * 8)
    assert ready(other.connection._sock)
    other.connection._ready(READ)  # before the end of the second one is read
    assert served.connection.is_closed
    assert list(other.pending) == [1]


def test_one_that_sent_an_id_twice_and_closed_leaves_nothing_open(start_router):
    harness = start_router(FakeWorker(instances=None))
    client = harness.connect_client()
    harness.round_trip(client)
    [served] = harness.process.listener.connections
    client.call(call="ab" * 8, seqid=1)
    client.call(call="ab" * 8, seqid=2)
    client.sock.close()
    client.ended = True
    assert ready(served.connection._sock)
    with mock.patch.object(connection, "MAX_READS_PER_TURN", 1):
        served.connection._ready(READ)
    assert (harness.process.table.pending, harness.process.table._keys_by_client_id) == ({}, {})


def test_one_that_was_called_off_before_its_first_byte_starts_no_window(start_router, unreachable_address):
    harness = start_router(FakeWorker(instances=None))
    harness.connect_client().call("save")
    harness.run_until(lambda: harness.process.table.pending, "it is taken")
    [(key, request)] = harness.process.table.pending.items()
    harness.process.pool.update_endpoint(PLACE, unreachable_address(), WorkerState.READY, 0.0)
    harness.process.table.send(SendRequest(key, PLACE))
    harness.process.table.cancel_attempt(CancelAttempt(key, 0))
    assert request.first_run_at_ms == math.inf


def test_a_repeat_that_waited_for_a_dial_past_the_window_is_not_sent(cleanups, start_router):
    for late in (False, True):
        first, second = FakeWorker("s-9", instances=None), FakeWorker("s-10", instances=None)
        harness = start_router(FakeWorker(instances=None), settings={"classes": [LONG_WINDOW]})
        harness.workers += [first, second]
        for place, peer in ((PLACE, first), (10, second)):
            cleanups.callback(peer.close)
            harness.process.pool.update_endpoint(place, address_of(peer), WorkerState.READY, 0.0)
        harness.connect_client().call("save")
        harness.run_until(lambda harness=harness: harness.process.table.pending, "it is taken")
        [key] = harness.process.table.pending
        harness.process.table.send(SendRequest(key, PLACE))
        harness.run_until(lambda first=first: first.requests, "the first one runs")
        harness.process.table.send(SendRequest(key, 10))
        [link] = harness.process.pool.workers[10].connections
        assert not link.is_connected
        [sent] = [attempt for attempt in harness.process.table._attempts.values() if attempt.is_started]
        sent.created_at_ms -= LONG_WINDOW["dedup_window"] * late  # the dial takes that long
        harness.run_until(lambda link=link: link.is_connected, "the dial comes up")
        harness.process.table.ensure_instances(EnsureInstances(10, ROW, 0))
        asked = lambda second=second: second.received(worker_frames.ENSURE)  # noqa: E731
        harness.run_until(asked, "what is sent after it arrives")
        assert len(second.requests) == (not late)
