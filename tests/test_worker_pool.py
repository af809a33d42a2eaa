"""Tests of `worker_pool`."""

import socket
from pathlib import Path
from unittest import mock

import msgspec
from fakes import (
    ROW,
    SETTINGS,
    FakeWorker,
    attempt,
    ready,
    start_order,
)

from function_router.decisions.actions import EnsureInstances
from function_router.decisions.types import Outcome, WorkerState
from function_router.net import (
    endpoint_registry,
    router_process,
    pooled_worker,
    worker_connection,
)
from function_router.net.close_reason import CloseReason
from function_router.net.codecs import worker_frames

ROOT = Path(__file__).parent.parent


NO_CANCEL = {"bounds": {**SETTINGS["bounds"], "cancel": False}}


LONG_WINDOW = {"name": "save", "effect": "deduplicated", "give_up": 9000.0, "dedup_window": 60_000.0}


PLACE = 9  # a scorer that the decisions don't know, so that the test alone sends there


def address_of(peer):
    return "127.0.0.1", int(peer.host_port.split(":")[1])


RATION = {"family_info": {**SETTINGS["family_info"], "load_window": 5000.0, "free_loads": 2.0}}


def router_and_pool(start_router, worker):
    harness = start_router(worker)
    return harness, harness.process.pool, endpoint_registry.worker_id_of(worker.id)


def test_what_waits_for_a_dial_or_is_unwritten_is_pulled_back(start_router):
    for state in (WorkerState.DRAINING, WorkerState.REMOVED):
        for linked in (False, True):
            worker = FakeWorker(instances=None)
            harness, pool, id = router_and_pool(start_router, worker)
            if linked:
                pool.ensure_instances(start_order(id, []))
                harness.run_until(lambda worker=worker: worker.frames, "a link is up")
            ended, before = [], len(worker.frames)
            pool.send(attempt(id, ended))
            pool.ensure_instances(start_order(id, ended))
            pool.update_endpoint(id, None, state, 0.0)
            assert ended == [(CloseReason.DRAINING, False)] * 2
            harness.round_trip(harness.connect_client())
            assert len(worker.frames) == before


def test_nothing_new_goes_to_one_that_drains_but_questions_do(start_router):
    worker, ended = FakeWorker(), []
    harness, pool, id = router_and_pool(start_router, worker)
    pool.update_endpoint(id, None, WorkerState.DRAINING, 0.0)
    pool.send(attempt(id, ended))
    pool.ensure_instances(start_order(id, ended))
    assert ended == [(CloseReason.NOT_SENT, False)] * 2
    pool.ensure_instances(start_order(id, ended, instances=0))
    harness.run_until(lambda: len(ended) == 3, "the question is answered")
    assert ended[2] == (Outcome.OK, True)


def test_a_drain_told_by_the_change_log_leaves_what_runs_alone(start_router):
    worker = FakeWorker()
    harness = start_router(worker)
    client = harness.connect_client()
    client.call()
    harness.run_until(lambda: worker.requests, "it runs")
    harness.endpoint_log.send_line(
        {"seq": 2, "fleet": {"complete": False, "members": [worker.record("terminating")]}}
    )
    harness.run_until(lambda: harness.process.endpoint_watch.last_sequence == 2, "the drain is told")
    worker.answer(worker.requests[0], body=b"done")
    harness.run_until(lambda: client.answers, "it is answered")
    assert client.answer_kinds() == {1: "answer"}


def test_a_new_scorer_at_a_gone_ones_address_gets_links_of_its_own(start_router):
    worker, ended = FakeWorker(instances=None), []
    harness, pool, id = router_and_pool(start_router, worker)
    pool.send(attempt(id, ended))
    harness.run_until(lambda: worker.requests, "the old one runs it")
    address = pool.workers[id].address
    pool.update_endpoint(id, None, WorkerState.REMOVED, 0.0)
    pool.update_endpoint(77, address, WorkerState.READY, 0.0)
    pool.send(attempt(77, ended, exchange_id=b"abcdefgh"))
    harness.run_until(lambda: len(worker.requests) == 2, "the new one runs it")
    assert worker.requests[0][0] is not worker.requests[1][0]
    assert ended == []


def test_a_dial_that_comes_up_after_its_scorer_has_gone_is_closed(start_router):
    worker = FakeWorker()
    harness, pool, id = router_and_pool(start_router, worker)
    pool.send(attempt(id, []))
    [link] = pool.workers[id].connections
    pool.update_endpoint(id, None, WorkerState.REMOVED, 0.0)
    harness.run_until(lambda: link.connection.is_connected, "the dial comes up")
    assert link.connection.is_closed
    assert not pool.workers


def test_a_restart_retires_the_links_to_the_process_before(start_router):
    worker, ended = FakeWorker(), []
    harness, pool, id = router_and_pool(start_router, worker)
    pool.send(attempt(id, ended))
    harness.run_until(lambda: worker.requests, "it runs")
    pool.update_endpoint(id, None, WorkerState.READY, 5.0)
    pool.send(attempt(id, ended, exchange_id=b"abcdefgh"))
    harness.run_until(lambda: len(worker.requests) == 2, "the next one runs")
    assert worker.requests[0][0] is not worker.requests[1][0]


def test_a_bad_frame_ends_its_connection_only(start_router):
    peers = FakeWorker("s-1"), FakeWorker("s-2")
    harness, ended = start_router(*peers), {"s-1": [], "s-2": []}
    for peer in peers:
        harness.process.pool.send(attempt(endpoint_registry.worker_id_of(peer.id), ended[peer.id]))
    harness.run_until(lambda: all(peer.requests for peer in peers), "both run")
    peers[0].requests[0][0].sock.sendall(b"HTTP/1.1 200 OK\r\n\r\n")
    harness.run_until(lambda: ended["s-1"], "the first one ends")
    peers[1].answer(peers[1].requests[0])
    harness.run_until(lambda: ended["s-2"], "the second one ends")
    assert ended == {"s-1": [(CloseReason.PROTOCOL_ERROR, True)], "s-2": [(Outcome.OK, True)]}


def test_what_spoils_a_link_leaves_the_calls_on_the_others_alone(start_router):
    worker, ended = FakeWorker(instances=None), []
    harness = start_router(worker)
    id = endpoint_registry.worker_id_of(worker.id)
    for n in range(3):
        harness.process.pool.send(attempt(id, ended, exchange_id=b"%08d" % n))
        links = harness.process.pool.workers[id].connections
        harness.run_until(
            lambda n=n, links=links: [link.is_connected for link in links] == [True] * (n + 2), "a spare"
        )
        harness.run_until(lambda n=n: len(worker.requests) > n, "it runs")
    worker.requests[1][0].sock.sendall(b"HTTP/1.1 200 OK\r\n\r\n")
    harness.run_until(lambda: ended, "one ends")
    for item in (worker.requests[0], worker.requests[2]):
        worker.answer(item)
    harness.run_until(lambda: len(ended) == 3, "the others are answered")
    assert ended == [(CloseReason.PROTOCOL_ERROR, True)] + [(Outcome.OK, True)] * 2


def test_no_spare_link_is_opened_where_new_ones_are_charged_until_calls_share_one(start_router):
    worker = FakeWorker(instances=None)
    harness = start_router(worker, settings={"costs": {"handshake": 0.08}})
    id = endpoint_registry.worker_id_of(worker.id)
    dials = []
    for n in range(3):
        harness.process.pool.send(attempt(id, [], exchange_id=b"%08d" % n))
        harness.run_until(lambda n=n: len(worker.requests) > n, "it runs")
        dials.append(harness.process.pool.counters["connects"])
    assert dials == [1, 2, 2]


def test_a_link_that_the_scorer_has_just_ended_is_not_used_again(start_router):
    worker, ended = FakeWorker(), []
    harness = start_router(worker)
    id = endpoint_registry.worker_id_of(worker.id)
    harness.process.pool.ensure_instances(start_order(id, ended))
    harness.run_until(lambda: ended and len(worker.connections) == 2, "a link and a spare are idle")
    for peer, link in zip(
        worker.connections, list(harness.process.pool.workers[id].connections), strict=True
    ):
        peer.sock.shutdown(socket.SHUT_WR)
        assert ready(link.connection._sock)
    harness.process.pool.send(attempt(id, ended))  # before the loop has read the ends
    for link in harness.process.pool.workers[id].connections:
        link.connection.flush()
    harness.run_until(lambda: worker.requests, "it runs")
    assert ended == [(Outcome.OK, True)]


def test_a_connection_carries_so_many_streams_and_no_id_twice(start_router):
    worker, ended = FakeWorker(instances=None), []
    harness = start_router(worker)
    id = endpoint_registry.worker_id_of(worker.id)
    for n in range(33):
        harness.process.pool.send(attempt(id, ended, exchange_id=b"%08d" % n))
    harness.process.pool.send(attempt(id, ended, exchange_id=b"%08d" % 0))
    harness.run_until(lambda: len(worker.requests) == 34, "all run")
    for link in worker.connections:
        ids = [frame.exchange_id for at, frame in worker.requests if at is link]
        assert len(ids) <= 32
        assert len(ids) == len(set(ids))


def test_an_id_that_was_given_up_is_not_used_again_on_its_connection(start_router):
    worker, ended = FakeWorker(), []
    harness = start_router(worker)
    id, first = endpoint_registry.worker_id_of(worker.id), []
    harness.process.pool.send(given_up := attempt(id, first))
    harness.run_until(lambda: worker.requests, "it runs")
    harness.process.pool.cancel(given_up)
    harness.process.pool.send(attempt(id, ended))
    harness.run_until(lambda: len(worker.requests) == 2, "the second runs")
    worker.answer(worker.requests[0], body=b"of the first")
    assert worker.requests[0][0] is not worker.requests[1][0]
    worker.answer(worker.requests[1], 2, "")
    harness.run_until(lambda: ended, "the second ends")
    assert (first, ended) == ([(CloseReason.CANCELLED, True)], [(Outcome.NOT_LOADED, True)])


def test_silence_ends_in_time_for_attempts_orders_and_dials(start_router, unreachable_address):
    worker, ended = FakeWorker(instances=None), []
    harness = start_router(worker)
    id, pool = endpoint_registry.worker_id_of(worker.id), harness.process.pool
    pool.ensure_instances(start_order(id, [], instances=0))
    harness.run_until(lambda: worker.frames, "a link is up")
    pool.wire = msgspec.structs.replace(pool.wire, start_order_timeout_ms=500.0, connect_timeout_ms=60.0)
    harness.process.pool.update_endpoint(9, unreachable_address(), WorkerState.READY, 0.0)
    harness.process.pool.send(attempt(id, ended, within_ms=500.0))
    harness.run_until(lambda: ended, "the attempt ends")
    harness.process.pool.ensure_instances(start_order(id, ended))
    harness.run_until(lambda: len(ended) == 2, "the order ends")
    harness.process.pool.send(attempt(9, ended))
    harness.run_until(lambda: len(ended) == 3, "the dial ends")
    assert ended == [(CloseReason.DEADLINE_EXCEEDED, True)] * 2 + [(CloseReason.CONNECT_TIMEOUT, False)]


def test_a_link_forgotten_while_idle_makes_others_as_idle_unused(start_router):
    worker, ended = FakeWorker(), []
    harness = start_router(worker)
    id, pool = endpoint_registry.worker_id_of(worker.id), harness.process.pool
    pool.ensure_instances(start_order(id, ended))
    harness.run_until(lambda: ended and len(worker.connections) == 2, "a link and a spare are idle")
    used, spare = pool.workers[id].connections
    harness.run_until(lambda: min(used.idle_ms(), spare.idle_ms()) > 100.0, "both are idle for long")
    worker.instances = None
    pool.ensure_instances(start_order(id, ended))
    with mock.patch.object(worker_connection, "STALE_RESET_MS", 60_000.0):
        harness.run_until(lambda: len(worker.frames) == 2, "it is used again")
        worker.frames[1][0].sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, b"\1\0\0\0\0\0\0\0")
        worker.frames[1][0].sock.close()
        harness.run_until(lambda: len(ended) == 2, "it is reset")
    assert ended[1] == (CloseReason.RESET_BY_PEER, True)
    pool.send(attempt(id, ended))
    harness.run_until(lambda: worker.requests, "a call runs")
    assert worker.requests[0][0] not in worker.connections[:2]


def test_half_a_frame_that_goes_no_further_ends_its_link(start_router):
    worker, ended = FakeWorker(instances=None), []
    harness = start_router(worker)
    harness.process.pool.send(attempt(endpoint_registry.worker_id_of(worker.id), ended))
    harness.run_until(lambda: worker.requests, "it runs")
    link, frame = worker.requests[0]
    whole = worker_frames.encode(0, frame.exchange_id, body=b"x" * 50, direction=worker_frames.FROM_WORKER)
    link.sock.sendall(whole[:40])
    harness.run_until(lambda: ended, "it ends")
    assert ended == [(CloseReason.READ_TIMEOUT, True)]


def test_a_second_copy_of_an_answer_ends_no_later_attempt(start_router):
    worker, ended = FakeWorker(instances=None), []
    harness = start_router(worker)
    id = endpoint_registry.worker_id_of(worker.id)
    with mock.patch.object(pooled_worker, "CONNECTIONS_BEFORE_SHARING", 1):
        harness.process.pool.send(attempt(id, ended))
        harness.run_until(lambda: worker.requests, "it runs")
        worker.answer(worker.requests[0], 3, "")
        harness.run_until(lambda: ended, "it is full")
        harness.process.pool.send(attempt(id, ended))
        worker.answer(worker.requests[0], 3, "")
        harness.run_until(lambda: len(worker.requests) == 2, "it runs again")
    worker.answer(worker.requests[1])
    harness.run_until(lambda: len(ended) == 2, "it is answered")
    assert [end for end, _ in ended] == [Outcome.QUEUE_FULL, Outcome.OK]


def test_a_link_that_owes_an_answer_in_silence_gets_nothing_new(start_router):
    worker, ended = FakeWorker(instances=None), []
    harness = start_router(worker)
    id = endpoint_registry.worker_id_of(worker.id)
    harness.process.pool.send(attempt(id, ended))
    harness.run_until(lambda: worker.requests, "it runs")
    with mock.patch.object(worker_connection, "UNRESPONSIVE_AFTER_MS", -1.0):
        harness.process.pool.send(attempt(id, ended, exchange_id=b"abcdefgh"))
        harness.run_until(lambda: len(worker.requests) == 2, "the second runs")
    assert worker.requests[0][0] is not worker.requests[1][0]


def test_idle_links_are_closed_and_what_is_open_keeps_one(start_router):
    busy, idle = FakeWorker("s-1", instances=None), FakeWorker("s-2")
    harness, ended = start_router(busy, idle, settings={"bounds": {"keepalive": 0.0}}), []
    for peer in (busy, idle):
        harness.process.pool.ensure_instances(start_order(endpoint_registry.worker_id_of(peer.id), ended))
    harness.run_until(lambda: ended and busy.frames, "one is answered")
    harness.run_until(lambda: idle.connections[0].ended, "the idle one is closed")
    assert not busy.connections[0].ended


def test_links_keep_to_their_share_of_descriptors(start_router):
    worker, ended = FakeWorker(instances=None), []
    harness = start_router(worker, limits={"sockets": 32}, settings={"bounds": {"streams_per_conn": 1}})
    id = endpoint_registry.worker_id_of(worker.id)
    for n in range(40):
        harness.process.pool.send(attempt(id, ended, exchange_id=b"%08d" % n))
    harness.run_until(lambda: len(worker.requests) + len(ended) == 40, "all run or end")
    assert set(ended) == {(CloseReason.NO_FILE_DESCRIPTOR, False)}
    assert len(worker.connections) <= 32 * router_process.SCORER_SHARE


# --- A scorer that moves or starts anew, and links where descriptors are few.


def test_what_waits_for_a_dial_to_the_old_address_goes_to_the_new_one(
    cleanups, start_router, unreachable_address
):
    for moved in (True, False):  # or started anew where it was
        worker, ended = FakeWorker("s-9", instances=None), []
        harness = start_router()
        harness.workers.append(worker)
        cleanups.callback(worker.close)
        pool, old = harness.process.pool, unreachable_address() if moved else address_of(worker)
        pool.update_endpoint(PLACE, old, WorkerState.READY, 0.0)
        pool.send(attempt(PLACE, ended))
        [first] = pool.workers[PLACE].connections
        pool.update_endpoint(PLACE, address_of(worker), WorkerState.READY, 5.0)
        first.connection.close(CloseReason.CONNECT_TIMEOUT)  # the one to the process before
        harness.run_until(lambda worker=worker: worker.requests, "it runs")
        assert ended == []


def test_a_dial_to_the_process_before_that_comes_up_carries_nothing_new(start_router):
    worker, ended = FakeWorker("s-9", instances=None), []
    harness = start_router(worker)
    pool = harness.process.pool
    pool.update_endpoint(PLACE, address_of(worker), WorkerState.READY, 0.0)
    pool.send(attempt(PLACE, ended))
    [first] = pool.workers[PLACE].connections
    pool.update_endpoint(PLACE, None, WorkerState.READY, 5.0)
    harness.run_until(lambda: worker.requests, "it runs")
    assert first.connection.is_closed
    assert (len(worker.requests), ended) == (1, [])


def test_calls_that_old_links_still_owe_keep_no_new_link_from_a_process(start_router):
    worker, ended = FakeWorker("s-9", instances=None), []
    harness = start_router(worker, settings={"bounds": {"streams_per_conn": 1}})
    pool = harness.process.pool
    pool.update_endpoint(PLACE, address_of(worker), WorkerState.READY, 0.0)
    for n in range(pooled_worker.MAX_CONNECTIONS):
        pool.send(attempt(PLACE, ended, exchange_id=b"%08d" % n))
        harness.run_until(lambda n=n: len(worker.requests) > n, "it runs")
    pool.update_endpoint(PLACE, None, WorkerState.READY, 5.0)
    pool.send(attempt(PLACE, ended, exchange_id=b"abcdefgh"))
    harness.run_until(
        lambda: len(worker.requests) > pooled_worker.MAX_CONNECTIONS or ended, "the next one runs"
    )
    assert ended == []


def test_a_new_scorer_at_an_address_whose_old_one_is_not_told_gone_yet_stands_there_alone(start_router):
    old, ids = FakeWorker("s-1"), [endpoint_registry.worker_id_of(name) for name in ("s-1", "s-2")]
    harness = start_router(old)
    workers = harness.process.router.workers
    harness.run_until(lambda: ids[0] in workers, "the old one is known")
    member = old.record(up_since_ms=1000.0) | {"id": "s-2", "locality": "east"}
    harness.endpoint_log.send_line({"seq": 2, "fleet": {"members": [member]}})
    harness.run_until(lambda: ids[1] in workers, "the new one is told")
    for seq, phase in ((3, "in_service"), (4, "terminated")):  # what is told late of the old one
        states = [workers[id].endpoint.state for id in ids]
        assert states == [WorkerState.REMOVED, WorkerState.READY]
        assert list(harness.process.pool.workers) == [ids[1]]
        harness.endpoint_log.send_line({"seq": seq, "fleet": {"members": [old.record(phase)]}})
        harness.run_until(lambda seq=seq: harness.process.endpoint_watch.last_sequence == seq, "it is told")
        harness.process.loop.run_once(0)
    harness.connect_client().call()
    harness.run_until(lambda: old.requests, "a call runs")
    assert all(attempt.worker_id == ids[1] for attempt in harness.process.table._attempts.values())
    assert workers[ids[1]].started_ms == 1000.0


def test_a_complete_list_with_two_at_one_address_keeps_the_one_started_last(cleanups, start_router):
    for order_told in (1, -1):
        worker = FakeWorker("s-2")
        harness = start_router()
        cleanups.callback(worker.close)
        members = [worker.record() | {"id": "s-1"}, worker.record(up_since_ms=9.0)][::order_told]
        harness.endpoint_log.send_line({"seq": 2, "fleet": {"complete": True, "members": members}})
        harness.run_until(lambda harness=harness: harness.process.router.ready, "it is told")
        ready_ones = [worker.id for worker in harness.process.router.ready]
        assert ready_ones == [endpoint_registry.worker_id_of("s-2")]
        assert list(harness.process.pool.workers) == ready_ones


def test_idle_links_give_way_to_a_scorer_that_is_called(cleanups, start_router):
    harness, ended = start_router(limits={"sockets": 32}), []
    peers = [FakeWorker(f"s-{n}") for n in range(20)]
    harness.workers += peers
    for n, peer in enumerate(peers):
        cleanups.callback(peer.close)
        harness.process.pool.update_endpoint(n, address_of(peer), WorkerState.READY, 0.0)
        harness.process.pool.ensure_instances(start_order(n, ended, instances=0))
        harness.run_until(lambda n=n: len(ended) > n, "it is reached")
    assert {end for end, _ in ended} == {Outcome.OK}
    assert harness.process.pool._connection_count <= 32 * router_process.SCORER_SHARE


# --- Orders to load are rationed by when they arrive, and by the calls that clients did not take back.


def shift(harness, ms):
    """So much time passes on the clock that the module is shown."""
    clock = harness.process.loop.clock
    now_ms = clock.now_ms
    clock.now_ms = lambda: now_ms() + ms


def fill(harness, count):
    """So many orders leave now."""
    now_ms = harness.process.loop.clock.now_ms()
    for _ in range(count):
        harness.process.router.start_order_times.add(now_ms)


def order_that_waits(harness, peer):
    """An order to a scorer to which no connection is up yet, decided now."""
    harness.workers.append(peer)
    harness.process.pool.update_endpoint(PLACE, address_of(peer), WorkerState.READY, 0.0)
    now_ms = harness.process.loop.clock.now_ms()
    harness.process.table.begin_batch(now_ms)
    harness.process.router.start_order_times.add(now_ms)
    harness.process.table.ensure_instances(EnsureInstances(PLACE, ROW, 1))


def test_calls_given_up_at_once_and_then_withdrawn_allow_no_loads(start_router):
    harness = start_router(FakeWorker(instances=None), settings=RATION)
    client = harness.connect_client()
    for seqid in range(1, 41):
        client.call(call="ab" * 8, seqid=seqid, ttl="52")
        client.cancel(seqid)
    harness.round_trip(client)
    assert harness.process.router.recent_arrivals == {}


def test_an_id_that_comes_again_each_time_that_it_is_turned_away_counts_once(start_router):
    harness = start_router(FakeWorker(instances=None), settings=RATION)
    client = harness.connect_client()
    for seqid in range(1, 11):
        client.call(call="ab" * 8, seqid=seqid, ttl="52")
        harness.run_until(lambda seqid=seqid: seqid in client.answer_kinds(), "it is turned away")
    assert set(client.answer_kinds().values()) == {"throttled"}
    assert list(harness.process.router.recent_arrivals) == ["ab" * 8]


def test_an_order_whose_connection_comes_up_late_keeps_to_the_ration_of_then(start_router):
    for others in (1, 2):  # how many orders have left by then: one leaves room, two do not
        harness, peer = start_router(settings=RATION), FakeWorker("s-9", instances=None)
        order_that_waits(harness, peer)
        shift(harness, 4500.0)
        fill(harness, others)
        [link] = harness.process.pool.workers[PLACE].connections
        harness.run_until(lambda link=link: link.is_connected, "the dial comes up")
        harness.process.table.ensure_instances(EnsureInstances(PLACE, ROW, 0))
        harness.run_until(lambda peer=peer: peer.frames, "what is sent after it arrives")
        counts = [frame.fields["slots_up"] for _, frame in peer.received(worker_frames.ENSURE_INSTANCES)]
        assert ("1" in counts) == (others == 1)
        ordered = list(harness.process.router.start_order_times)
        assert len(ordered) == 2
        then_ms = harness.process.loop.clock.now_ms() - 1000.0
        assert min(ordered) > then_ms


def test_an_order_behind_bytes_that_the_scorer_does_not_read_is_looked_at_again(start_router):
    harness, peer = start_router(settings=RATION), FakeWorker("s-9", instances=None)
    order_that_waits(harness, peer)
    harness.run_until(lambda: peer.frames, "a connection stands")
    [link, *_] = harness.process.pool.workers[PLACE].connections
    harness.process.router.start_order_times.clear()
    pump, peer.pump = peer.pump, lambda: None  # it reads no more
    filler = link.connection.write(b"")
    while not link.connection._blocked:
        filler = link.connection.write(worker_frames.encode_cancel(b"nobody00") * 50_000)
        link.connection.flush()
    with mock.patch.object(worker_connection, "MAX_PENDING_BYTES", 1 << 30):
        now_ms = harness.process.loop.clock.now_ms()
        harness.process.table.begin_batch(now_ms)
        harness.process.router.start_order_times.add(now_ms)
        for other in harness.process.pool.workers[PLACE].connections[1:]:
            other.connection.close(CloseReason.IDLE)
        harness.process.table.ensure_instances(EnsureInstances(PLACE, ROW, 2))
    assert [stream.instances for stream in link.unwritten()] == [2]
    shift(harness, 4500.0)
    fill(harness, 2)
    peer.pump = pump
    harness.run_until(lambda: not link.connection.pending_bytes, "all is written")
    harness.run_until(lambda: filler.written == len(filler.data), "the filler too")
    harness.process.table.ensure_instances(EnsureInstances(PLACE, ROW, 0))
    asked = lambda: [f for _, f in peer.received(worker_frames.ENSURE_INSTANCES) if f.fields["slots_up"] == "0"]  # noqa: E731
    harness.run_until(asked, "what is sent after it arrives")
    counts = [frame.fields["slots_up"] for _, frame in peer.received(worker_frames.ENSURE_INSTANCES)]
    assert "2" not in counts
