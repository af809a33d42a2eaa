"""Where two events cross, on real connections: each test brings the bad order about by explicit steps."""

import math
import resource
import socket
from unittest import mock

from fakes import (
    ROW,
    SETTINGS,
    FakeClient,
    FakeEndpointLog,
    FakeWorker,
    ProgramTestCase,
    RouterTestCase,
    attempt,
    order,
    ready,
)

from function_router.decisions.actions import CancelAttempt, EnsureInstances, SendRequest
from function_router.decisions.types import Outcome, WorkerState
from function_router.net import (
    client_connection,
    connection,
    endpoint_watch,
    router_process,
    timer_wheel,
    worker_pool,
)
from function_router.net.close_reason import CloseReason
from function_router.net.codecs import worker_frames
from function_router.net.event_loop import READ, WRITE

NO_CANCEL = {"bounds": {**SETTINGS["bounds"], "cancel": False}}
LONG_WINDOW = {"name": "save", "effect": "deduplicated", "give_up": 9000.0, "dedup_window": 60_000.0}
PLACE = 9  # a scorer that the decisions don't know, so that the test alone sends there


def address_of(peer):
    return "127.0.0.1", int(peer.host_port.split(":")[1])


class GoneClients(RouterTestCase):
    """A client that has left: no attempt begins for it, wherever its request waits."""

    def call_at_a_new_scorer(self, settings, linked=False):
        """A call that is to go to a scorer of its own; `linked`: to which a connection stands."""
        rig, peer = self.rig(FakeWorker(copies=None), settings=settings), FakeWorker("s-9")
        rig.workers.append(peer)
        rig.front.pool.update_endpoint(PLACE, address_of(peer), WorkerState.READY, 0.0)
        if linked:
            rig.front.table.ensure_instances(EnsureInstances(PLACE, ROW, 0))
            rig.until(lambda: peer.frames, "a connection stands")
        client = rig.client()
        client.call()
        rig.until(lambda: rig.front.table.pending, "it is taken")
        [served] = rig.front.listener.connections
        return rig, peer, client, served

    def send(self, rig):
        [key] = rig.front.table.pending
        rig.front.table.send(SendRequest(key, PLACE))
        return rig.front.pool.workers[PLACE].connections

    def drain(self, client, served):
        client.sock.close()
        client.ended = True
        self.assertTrue(ready(served.connection._sock))

    def expect_nothing_sent(self, rig, peer, link):
        rig.until(lambda: link.is_connected, "the dial comes up")
        rig.front.table.ensure_instances(EnsureInstances(PLACE, ROW, 0))
        asked = len(peer.frames)
        rig.until(lambda: len(peer.frames) > asked, "what is sent after it arrives")
        self.assertEqual((peer.runs, rig.front.table.pending, rig.front.table._attempts), ([], {}, {}))

    def test_what_waits_for_a_dial_is_taken_back_though_nothing_may_be_cancelled(self):
        rig, peer, client, served = self.call_at_a_new_scorer(NO_CANCEL)
        [link] = self.send(rig)
        self.drain(client, served)
        served.connection._ready(READ)
        self.expect_nothing_sent(rig, peer, link)

    def test_a_dial_that_comes_up_before_the_clients_end_is_read_carries_nothing(self):
        for settings in (NO_CANCEL, {}):
            with self.subTest(settings):
                rig, peer, client, served = self.call_at_a_new_scorer(settings)
                [link] = self.send(rig)
                self.drain(client, served)
                link.connection._ready(WRITE)
                rig.front.loop._run_turn([], rig.front.loop.clock.now_ms())  # the end is still unread
                self.expect_nothing_sent(rig, peer, link)

    def test_what_is_placed_again_after_its_link_ended_is_taken_back(self):
        for settings in (NO_CANCEL, {}):
            with self.subTest(settings):
                rig, peer, client, served = self.call_at_a_new_scorer(settings, linked=True)
                [link, *_] = self.send(rig)
                link = next(link for link in rig.front.pool.workers[PLACE].connections if link.exchanges)
                for other in [
                    other for other in rig.front.pool.workers[PLACE].connections if other is not link
                ]:
                    other.connection.close(CloseReason.IDLE)
                link.connection.close(CloseReason.RESET_BY_PEER)  # before a byte of it was written
                [link] = rig.front.pool.workers[PLACE].connections
                self.drain(client, served)
                served.connection._ready(READ)
                self.expect_nothing_sent(rig, peer, link)

    def test_what_is_unwritten_when_another_attempt_is_served_never_begins(self):
        rig, peer, client, _ = self.call_at_a_new_scorer(NO_CANCEL, linked=True)
        other = FakeWorker("s-10")
        rig.workers.append(other)
        rig.front.pool.update_endpoint(10, address_of(other), WorkerState.READY, 0.0)
        self.send(rig)
        rig.until(lambda: peer.runs, "the first one runs")
        [key] = rig.front.table.pending
        rig.front.table.send(SendRequest(key, 10))
        [link] = rig.front.pool.workers[10].connections
        peer.answer(peer.runs[0], body=b"served")
        running = next(link for link in rig.front.pool.workers[PLACE].connections if link.exchanges)
        self.assertTrue(ready(running.connection._sock))
        running.connection._ready(READ)
        rig.until(lambda: client.answers and link.is_connected, "it is served, and the other dial comes up")
        rig.front.table.ensure_instances(EnsureInstances(10, ROW, 0))
        rig.until(lambda: other.frames, "what is sent after it arrives")
        self.assertEqual((other.runs, rig.front.table._attempts), ([], {}))


class UnreadEnds(RouterTestCase):
    def warm(self, **more):
        """A front end that knows a warm copy, so that a request leaves in the turn that reads it."""
        worker = FakeWorker(copies=8)
        rig = self.rig(worker, **more)
        first = rig.client()
        first.call()
        rig.until(lambda: worker.runs, "the first one runs")
        worker.answer(worker.runs[0])
        rig.until(lambda: first.answers, "it is answered")
        return rig, worker

    def newcomer(self, rig):
        known = set(rig.front.listener.connections)
        client = rig.client()
        rig.until(lambda: len(rig.front.listener.connections) > len(known), "it is accepted")
        [served] = set(rig.front.listener.connections) - known
        return client, served

    def one_turn(self, rig, served):
        self.assertTrue(ready(served.connection._sock))
        served.connection._ready(READ)
        rig.front.loop._run_turn([], rig.front.loop.clock.now_ms())

    def test_a_request_whose_client_has_closed_behind_it_is_not_sent(self):
        for settings in (NO_CANCEL, {}):
            for more in (b"", b"x" * 500):  # nothing or something unread between the two
                with self.subTest(settings=settings, more=len(more)):
                    rig, worker = self.warm(settings=settings)
                    client, served = self.newcomer(rig)
                    client.call()
                    size = len(client.last_frame)
                    client.sock.sendall(more)
                    client.sock.close()
                    client.ended = True
                    with (
                        mock.patch.object(connection, "MAX_READ_BYTES", size),
                        mock.patch.object(connection, "MAX_READS_PER_TURN", 1),
                    ):
                        self.one_turn(rig, served)
                    rig.settle(rig.client())
                    self.assertEqual((len(worker.runs), rig.front.table.pending), (1, {}))

    def test_a_withdrawal_far_behind_its_request_is_read_before_anything_is_sent(self):
        rig, worker = self.warm(settings=NO_CANCEL)
        client, served = self.newcomer(rig)
        for seqid in range(1, 11):
            client.call(seqid=seqid, body=b"x" * 12_000)
        for seqid in range(1, 11):
            client.withdraw(seqid)
        self.one_turn(rig, served)
        rig.settle(rig.client())
        self.assertEqual((len(worker.runs), rig.front.table.pending), (1, {}))

    def test_one_that_reads_no_answers_is_still_heard_when_it_withdraws_or_ends(self):
        for ends in (False, True):
            with self.subTest(ends=ends):
                rig = self.rig(FakeWorker(copies=None))
                client, served = self.newcomer(rig)
                seqid = client.call()
                rig.until(lambda rig=rig: rig.front.table.pending, "it is taken")
                client.pump = lambda: None  # it reads no more
                with mock.patch.object(client_connection, "MAX_UNREAD_BYTES", 16 * 1024 * 1024):
                    served._write(b"x" * 12_000_000)
                    rig.front.loop.run_once(0)
                    self.assertGreater(served.connection.pending_bytes, client_connection.STOP_READING_BYTES)
                    if ends:
                        client.sock.shutdown(socket.SHUT_WR)
                    else:
                        client.withdraw(seqid)
                    self.assertTrue(ready(served.connection._sock))
                    rig.front.loop.run_once(0)
                    self.assertFalse(rig.front.table.pending)


class SameIds(RouterTestCase):
    def test_an_id_that_is_open_is_not_taken_a_second_time_whoever_sends_it(self):
        worker = FakeWorker(copies=None)
        rig = self.rig(worker)
        first, second = rig.client(), rig.client()
        first.call(call="ab" * 8)
        rig.until(lambda: rig.front.table.pending, "the first one is taken")
        for seqid in range(2, 32):
            first.call(call="ab" * 8, seqid=seqid)
        second.call(call="ab" * 8, body=b"another")
        rig.until(lambda: len(first.answers) == 30 and second.answers, "all others are answered")
        self.assertEqual(set(first.kinds().values()) | set(second.kinds().values()), {"exception"})
        self.assertEqual((len(rig.front.table.pending), len(rig.front.router.taken)), (1, 1))

    def test_an_id_is_free_again_once_its_request_is_over_or_its_client_has_gone(self):
        rig = self.rig(FakeWorker(copies=None))
        first, second, third = rig.client(), rig.client(), rig.client()
        seqid = first.call(call="ab" * 8)
        rig.until(lambda: rig.front.table.pending, "the first one is taken")
        first.withdraw(seqid)
        rig.until(lambda: not rig.front.table.pending, "it is withdrawn")
        second.call(call="ab" * 8)
        rig.until(lambda: rig.front.table.pending, "the second one is taken")
        [served] = [served for served in rig.front.listener.connections if served.pending]
        second.sock.close()
        second.ended = True
        self.assertTrue(ready(served.connection._sock))
        [other] = [other for other in rig.front.listener.connections if not other.spoke]
        third.call(call="ab" * 8)
        self.assertTrue(ready(other.connection._sock))
        other.connection._ready(READ)  # before the end of the second one is read
        self.assertTrue(served.connection.is_closed)
        self.assertEqual(list(other.pending), [1])

    def test_one_that_sent_an_id_twice_and_closed_leaves_nothing_open(self):
        rig = self.rig(FakeWorker(copies=None))
        client = rig.client()
        rig.settle(client)
        [served] = rig.front.listener.connections
        client.call(call="ab" * 8, seqid=1)
        client.call(call="ab" * 8, seqid=2)
        client.sock.close()
        client.ended = True
        self.assertTrue(ready(served.connection._sock))
        with mock.patch.object(connection, "MAX_READS_PER_TURN", 1):
            served.connection._ready(READ)
        self.assertEqual((rig.front.table.pending, rig.front.table._keys), ({}, {}))


class Stuttering(FakeEndpointLog):
    """A change log that says the same lines on every connection, as soon as it is asked."""

    def __init__(self, *lines):
        super().__init__()
        self.lines, self.told = lines, set()

    def pump(self):
        super().pump()
        for n, link in enumerate(self.connections):
            if link.data.endswith(b"\n") and n not in self.told and not link.ended:
                self.told.add(n)
                for line in self.lines:
                    self.say(line, n)


class Lists(RouterTestCase):
    def event(self, seq, *members, complete=False):
        return {"seq": seq, "fleet": {"complete": complete, "members": list(members)}}

    def state(self, rig, worker):
        known = rig.front.pool.workers.get(router_process.worker_id_of(worker.id))
        return known and known.state

    def test_a_complete_list_past_a_gap_is_taken_as_it_stands_for_all_before(self):
        worker, new = FakeWorker("s-1"), FakeWorker("s-2")
        rig = self.rig(worker)
        rig.log.say(self.event(40, new.member(), complete=True))
        rig.log.say(self.event(41, new.member("terminating")))
        rig.until(lambda: self.state(rig, new) is WorkerState.DRAINING, "both are told")
        rig.log.say(b"41")
        rig.settle(rig.client())
        self.assertEqual((len(rig.log.asked()), rig.front.endpoint_watch.last_sequence), (1, 41))
        self.assertIsNone(self.state(rig, worker))

    def test_a_complete_list_under_a_number_that_the_log_has_not_reached_hides_no_event(self):
        worker = FakeWorker()
        rig = self.rig(worker)
        rig.log.say(self.event(99_999_999, worker.member(), complete=True))
        rig.log.say(self.event(2, worker.member("terminating")))
        rig.log.say(b"2")
        rig.until(lambda: len(rig.log.asked()) == 2, "it is asked again")
        self.assertEqual(rig.log.asked()[1], ["since", "1"])
        rig.log.say(self.event(2, worker.member("terminating")))
        rig.until(lambda: self.state(rig, worker) is WorkerState.DRAINING, "the event is told")

    def test_noise_told_twice_while_no_event_is_due_hides_not_the_next_one(self):
        for number in (True, False):  # whether the log says in between where it stands
            with self.subTest(number=number):
                worker = FakeWorker()
                rig = self.rig(worker)
                rig.log.say(b"noise")
                rig.until(lambda rig=rig: len(rig.log.asked()) == 2, "it is asked again")
                rig.log.say(b"noise")
                if number:
                    rig.log.say(b"1")
                rig.log.say(self.event(2, worker.member("terminating")))
                done = lambda rig=rig, worker=worker: self.state(rig, worker) is WorkerState.DRAINING  # noqa: E731
                rig.until(done, "the event is told")

    def test_a_gap_that_stays_is_passed_over_at_once_however_wide_it_is(self):
        worker = FakeWorker()
        rig = self.rig(worker)
        for asked in (2, 2):
            rig.log.say(self.event(500, worker.member("terminating")))
            rig.until(lambda asked=asked: len(rig.log.asked()) >= asked, "it is asked again")
        rig.until(lambda: self.state(rig, worker) is WorkerState.DRAINING, "the event is told")
        rig.log.say(self.event(501, worker.member("in_service")))
        rig.until(lambda: self.state(rig, worker) is WorkerState.READY, "the one behind it too")
        self.assertEqual((len(rig.log.asked()), rig.front.endpoint_watch.last_sequence), (2, 501))

    def test_a_log_that_says_nothing_of_use_is_not_asked_in_a_busy_loop(self):
        for line in (b"9", b"noise", b'{"seq":9,"fleet":5}'):
            with self.subTest(line):
                rig, log = self.rig(FakeWorker()), Stuttering(line, line, line)
                self.addCleanup(log.close)
                rig.workers.append(log)
                over, begun = [], timer_wheel.monotonic_ms()
                rig.front.endpoint_watch.move_to(address_of(log))
                rig.front.loop.timers.call_later(
                    4 * endpoint_watch.PAUSE_MS, lambda over=over: over.append(1)
                )
                rig.until(lambda over=over, log=log: over and len(log.connections) > 1, "some time passes")
                pauses = (timer_wheel.monotonic_ms() - begun) / endpoint_watch.PAUSE_MS
                self.assertLessEqual(len(log.connections), 1 + pauses)
                log.lines = (b'{"seq":2,"fleet":{"members":[]}}', b"2")
                rig.until(
                    lambda rig=rig: rig.front.endpoint_watch.last_sequence == 2, "an event gets through"
                )

    def test_a_log_whose_dial_took_long_has_its_whole_time_to_speak(self):
        rig = self.rig(FakeWorker())
        log = rig.front.endpoint_watch
        log._line_ms -= endpoint_watch.SILENCE_MS + 1  # the dial took that long
        before = log._connection
        log.on_connected()
        log.check_timeouts()
        self.assertIs(log._connection, before)

    def test_a_move_while_a_dial_is_out_or_a_line_is_half_read_leaves_one_connection(self):
        for half in (False, True):
            with self.subTest(half=half):
                rig, moved = self.rig(FakeWorker(), start=half), FakeEndpointLog()
                self.addCleanup(moved.close)
                rig.workers.append(moved)
                if half:
                    rig.log.connections[0].sock.sendall(b'{"seq":2,"fl')
                    log = rig.front.endpoint_watch
                    rig.until(lambda log=log: log._unread, "half a line is read")
                self.assertEqual(rig.front.endpoint_watch._connection.is_connected, half)
                rig.front.endpoint_watch.move_to(address_of(moved))
                rig.until(lambda moved=moved: moved.asked(), "the new one is asked")
                moved.say(self.event(2))
                rig.until(lambda rig=rig: rig.front.endpoint_watch.last_sequence == 2, "its event is told")
                self.assertEqual((moved.asked(), len(moved.connections)), ([["since", "1"]], 1))


class Leaving(RouterTestCase):
    """SIGTERM: what has come by the end of the late arrivals is taken, however late the process looks."""

    def drain(self, *peers):
        """A front end that leaves, and whose time for late arrivals has passed."""
        rig = self.rig(*(peers or [FakeWorker()]))
        client = rig.client()
        rig.settle(client)
        return rig, client

    def look(self, rig):
        """The look that would end it."""
        rig.front.drain()
        rig.front._drain_started_ms -= router_process.LATE_ARRIVALS_MS + 1
        rig.front._stop_when_drained()

    def expect_answered(self, rig, worker, client):
        self.assertTrue(rig.front.loop.running)
        rig.until(lambda: worker.runs, "it runs")
        worker.answer(worker.runs[0], body=b"late")
        rig.until(lambda: client.answers and not rig.front.loop.running, "it is answered, and all ends")
        self.assertEqual(client.answers[-1][1:], ("answer", {1: b"late", 2: {}, 3: True}))

    def test_a_request_that_lies_unread_is_taken(self):
        worker = FakeWorker()
        rig, client = self.drain(worker)
        [served] = rig.front.listener.connections
        client.call()
        self.assertTrue(ready(served.connection._sock))
        self.look(rig)
        self.expect_answered(rig, worker, client)

    def test_a_request_on_a_connection_that_is_not_accepted_yet_is_taken(self):
        worker = FakeWorker()
        rig, _ = self.drain(worker)
        client = rig.client()
        client.call()
        self.assertTrue(ready(rig.front.listener._listener))
        self.look(rig)
        self.expect_answered(rig, worker, client)

    def test_a_request_that_is_half_read_is_taken(self):
        worker = FakeWorker()
        rig, client = self.drain(worker)
        [served] = rig.front.listener.connections
        client.call(withhold=9)
        rig.until(lambda: served._reader.waits, "half of it is read")
        self.look(rig)
        client.send_rest()
        self.expect_answered(rig, worker, client)

    def test_a_connection_that_waits_while_accepting_pauses_is_taken(self):
        worker = FakeWorker()
        rig, _ = self.drain(worker)
        client = rig.client()
        client.call()
        self.assertTrue(ready(rig.front.listener._listener))
        rig.front.listener._pause()
        self.look(rig)
        self.expect_answered(rig, worker, client)

    def test_one_that_has_nothing_on_its_way_keeps_nothing_from_ending(self):
        rig, _ = self.drain()
        rig.client()
        self.look(rig)
        self.assertFalse(rig.front.loop.running)

    def test_what_would_be_open_when_the_end_is_forced_is_answered_before(self):
        worker = FakeWorker()
        rig, client = self.drain(worker)
        for seqid, op in enumerate(("view", "settle"), 1):
            client.call(op, seqid=seqid, row=f"{seqid:016x}")
            rig.until(lambda seqid=seqid: len(worker.runs) == seqid, "it runs")
        begun = timer_wheel.monotonic_ms()
        with mock.patch.object(router_process, "KILL_WAIT_MS", 0.0):  # 0.5 s are left of what would be 9 s
            rig.front.drain()
        client.call("view", seqid=3, row="ff" * 8)
        rig.until(lambda: len(client.kinds()) == 4, "all are answered")
        self.assertLess(timer_wheel.monotonic_ms() - begun, 4000.0)  # their clients would wait for twice that
        kinds = {seqid: kind for seqid, kind in client.kinds().items() if seqid < 10}
        self.assertEqual(kinds, {1: "throttled", 2: "broken", 3: "throttled"})
        rig.until(lambda: not rig.front.loop.running, "it ends")

    def test_a_drain_told_while_leaving_is_kept_and_a_reload_moves_the_list(self):
        worker, other, moved = (
            FakeWorker("s-1", copies=None),
            FakeWorker("s-2", copies=None),
            FakeEndpointLog(),
        )
        self.addCleanup(moved.close)
        rig, client = self.drain(worker, other)
        config = rig.front.config
        rig.front._reread = lambda: type(config)(
            **{name: getattr(config, name) for name in config.__struct_fields__ if name != "endpoint_log"},
            endpoint_log=address_of(moved),
        )
        rig.workers.append(moved)
        client.call()
        rig.until(lambda: rig.front.table.pending, "it is taken")
        self.look(rig)
        rig.front.reload()
        rig.until(lambda: moved.asked(), "the new log is asked")
        moved.say({"seq": 2, "fleet": {"members": [peer.member("terminating") for peer in (worker, other)]}})
        rig.until(lambda: rig.front.endpoint_watch.last_sequence == 2, "the drain is told")
        [key] = rig.front.table.pending
        rig.front.table.send(SendRequest(key, router_process.worker_id_of("s-1")))
        rig.settle(client)
        self.assertEqual(worker.runs + other.runs, [])
        self.assertTrue(rig.front.loop.running)
        client.withdraw(1)
        rig.until(lambda: not rig.front.loop.running, "it ends")


class IdleCloses(RouterTestCase):
    def test_a_request_that_crosses_the_close_of_an_idle_connection_is_taken(self):
        rig = self.rig(FakeWorker(copies=None))
        client = rig.client()
        rig.settle(client)
        [served] = rig.front.listener.connections
        client.call()
        self.assertTrue(ready(served.connection._sock))
        with mock.patch.object(client_connection, "IDLE_MS", -1.0):
            rig.front.listener.check_timeouts()  # before it is read
            rig.until(lambda: rig.front.table.pending, "it is taken")
        self.assertFalse(served.connection.is_closed)

    def test_a_request_in_pieces_is_a_good_one_as_long_as_it_keeps_coming(self):
        for spoke in (False, True):
            with self.subTest(spoke=spoke):
                rig = self.rig(FakeWorker(copies=None))
                client = rig.client()
                if spoke:
                    rig.settle(client)
                rig.until(lambda rig=rig: rig.front.listener.connections, "it is accepted")
                [served] = rig.front.listener.connections
                client.call(withhold=50)
                for _ in range(5):
                    rig.until(lambda served=served: served.connection.peek() is None, "a piece is read")
                    served._since_ms -= client_connection.MESSAGE_TIMEOUT_MS  # so long ago did it begin
                    rig.front.listener.check_timeouts()
                    client.send_rest(10)
                rig.until(lambda rig=rig: rig.front.table.pending, "it is taken")

    def test_one_that_has_come_in_several_pieces_may_pause_for_longer(self):
        rig = self.rig(FakeWorker(copies=None))
        client = rig.client()
        client.call(withhold=50)
        rig.until(lambda: rig.front.listener.connections, "it is accepted")
        [served] = rig.front.listener.connections
        overdue = []
        for _ in range(3):
            rig.until(lambda: served.connection.peek() is None, "a piece is read")
            overdue.append(
                served.overdue(served.connection.last_received_ms + client_connection.MESSAGE_TIMEOUT_MS)
            )
            served._since_ms = served.connection.last_received_ms - client_connection.MESSAGE_TIMEOUT_MS
            client.send_rest(10)
        self.assertEqual(overdue, [True, True, False])

    def test_half_a_request_that_goes_no_further_is_closed_in_time(self):
        rig = self.rig(FakeWorker(copies=None))
        client = rig.client()
        rig.until(lambda: rig.front.listener.connections, "it is accepted")
        [served] = rig.front.listener.connections
        client.call(withhold=50)
        rig.until(lambda: served._reader.waits, "half of it is read")
        now = timer_wheel.monotonic_ms()
        self.assertFalse(served.overdue(now))
        self.assertTrue(served.overdue(served._since_ms + 3000.0 - router_process.TIDY_MS))

    def test_one_whose_request_is_half_read_gives_way_after_those_that_say_nothing(self):
        rig = self.rig(FakeWorker(copies=None), limits={"sockets": 32})
        client = rig.client()
        client.call(withhold=9)
        rig.until(lambda: rig.front.listener.connections, "it is accepted")
        [served] = rig.front.listener.connections
        rig.until(lambda: served._reader.waits, "half of it is read")
        served.connection.last_used_ms -= 10 * client_connection.YOUNG_MS
        for _ in range(30):
            other = rig.client()
            other.status()
            rig.until(lambda other=other: other.answers, "each is answered")
        client.send_rest()
        rig.until(lambda: rig.front.table.pending, "it is taken")


class HandOvers(RouterTestCase):
    """A scorer that moves or starts anew, and links where descriptors are few."""

    def test_what_waits_for_a_dial_to_the_old_address_goes_to_the_new_one(self):
        for moved in (True, False):  # or started anew where it was
            with self.subTest(moved=moved):
                worker, ended = FakeWorker("s-9", copies=None), []
                rig = self.rig()
                rig.workers.append(worker)
                self.addCleanup(worker.close)
                pool, old = rig.front.pool, self.dead_end() if moved else address_of(worker)
                pool.update_endpoint(PLACE, old, WorkerState.READY, 0.0)
                pool.send(attempt(PLACE, ended))
                [first] = pool.workers[PLACE].connections
                pool.update_endpoint(PLACE, address_of(worker), WorkerState.READY, 5.0)
                first.connection.close(CloseReason.CONNECT_TIMEOUT)  # the one to the process before
                rig.until(lambda worker=worker: worker.runs, "it runs")
                self.assertEqual(ended, [])

    def test_a_dial_to_the_process_before_that_comes_up_carries_nothing_new(self):
        worker, ended = FakeWorker("s-9", copies=None), []
        rig = self.rig(worker)
        pool = rig.front.pool
        pool.update_endpoint(PLACE, address_of(worker), WorkerState.READY, 0.0)
        pool.send(attempt(PLACE, ended))
        [first] = pool.workers[PLACE].connections
        pool.update_endpoint(PLACE, None, WorkerState.READY, 5.0)
        rig.until(lambda: worker.runs, "it runs")
        self.assertTrue(first.connection.is_closed)
        self.assertEqual((len(worker.runs), ended), (1, []))

    def test_calls_that_old_links_still_owe_keep_no_new_link_from_a_process(self):
        worker, ended = FakeWorker("s-9", copies=None), []
        rig = self.rig(worker, settings={"bounds": {"streams_per_conn": 1}})
        pool = rig.front.pool
        pool.update_endpoint(PLACE, address_of(worker), WorkerState.READY, 0.0)
        for n in range(worker_pool.MAX_CONNECTIONS):
            pool.send(attempt(PLACE, ended, id=b"%08d" % n))
            rig.until(lambda n=n: len(worker.runs) > n, "it runs")
        pool.update_endpoint(PLACE, None, WorkerState.READY, 5.0)
        pool.send(attempt(PLACE, ended, id=b"abcdefgh"))
        rig.until(lambda: len(worker.runs) > worker_pool.MAX_CONNECTIONS or ended, "the next one runs")
        self.assertEqual(ended, [])

    def test_a_new_scorer_at_an_address_whose_old_one_is_not_told_gone_yet_stands_there_alone(self):
        old, ids = FakeWorker("s-1"), [router_process.worker_id_of(name) for name in ("s-1", "s-2")]
        rig = self.rig(old)
        workers = rig.front.router.workers
        rig.until(lambda: ids[0] in workers, "the old one is known")
        member = old.member(up_since_ms=1000.0) | {"id": "s-2", "locality": "east"}
        rig.log.say({"seq": 2, "fleet": {"members": [member]}})
        rig.until(lambda: ids[1] in workers, "the new one is told")
        for seq, phase in ((3, "in_service"), (4, "terminated")):  # what is told late of the old one
            states = [workers[id].entry.state for id in ids]
            self.assertEqual(states, [WorkerState.REMOVED, WorkerState.READY])
            self.assertEqual(list(rig.front.pool.workers), [ids[1]])
            rig.log.say({"seq": seq, "fleet": {"members": [old.member(phase)]}})
            rig.until(lambda seq=seq: rig.front.endpoint_watch.last_sequence == seq, "it is told")
            rig.front.loop.run_once(0)
        rig.client().call()
        rig.until(lambda: old.runs, "a call runs")
        self.assertTrue(all(attempt.worker_id == ids[1] for attempt in rig.front.table._attempts.values()))
        self.assertEqual(workers[ids[1]].started_ms, 1000.0)

    def test_a_complete_list_with_two_at_one_address_keeps_the_one_started_last(self):
        for order_told in (1, -1):
            with self.subTest(order_told=order_told):
                worker = FakeWorker("s-2")
                rig = self.rig()
                self.addCleanup(worker.close)
                members = [worker.member() | {"id": "s-1"}, worker.member(up_since_ms=9.0)][::order_told]
                rig.log.say({"seq": 2, "fleet": {"complete": True, "members": members}})
                rig.until(lambda rig=rig: rig.front.router.ready, "it is told")
                ready_ones = [worker.id for worker in rig.front.router.ready]
                self.assertEqual(ready_ones, [router_process.worker_id_of("s-2")])
                self.assertEqual(list(rig.front.pool.workers), ready_ones)

    def test_idle_links_give_way_to_a_scorer_that_is_called(self):
        rig, ended = self.rig(limits={"sockets": 32}), []
        peers = [FakeWorker(f"s-{n}") for n in range(20)]
        rig.workers += peers
        for n, peer in enumerate(peers):
            self.addCleanup(peer.close)
            rig.front.pool.update_endpoint(n, address_of(peer), WorkerState.READY, 0.0)
            rig.front.pool.ensure_instances(order(n, ended, copies=0))
            rig.until(lambda n=n: len(ended) > n, "it is reached")
        self.assertEqual({end for end, _ in ended}, {Outcome.OK})
        self.assertLessEqual(rig.front.pool._links, 32 * router_process.SCORER_SHARE)


class KeyedRepeats(RouterTestCase):
    def test_one_that_was_called_off_before_its_first_byte_starts_no_window(self):
        rig = self.rig(FakeWorker(copies=None))
        rig.client().call("save")
        rig.until(lambda: rig.front.table.pending, "it is taken")
        [(key, request)] = rig.front.table.pending.items()
        rig.front.pool.update_endpoint(PLACE, self.dead_end(), WorkerState.READY, 0.0)
        rig.front.table.send(SendRequest(key, PLACE))
        rig.front.table.cancel_attempt(CancelAttempt(key, 0))
        self.assertEqual(request.ran_ms, math.inf)

    def test_a_repeat_that_waited_for_a_dial_past_the_window_is_not_sent(self):
        for late in (False, True):
            with self.subTest(late=late):
                first, second = FakeWorker("s-9", copies=None), FakeWorker("s-10", copies=None)
                rig = self.rig(FakeWorker(copies=None), settings={"classes": [LONG_WINDOW]})
                rig.workers += [first, second]
                for place, peer in ((PLACE, first), (10, second)):
                    self.addCleanup(peer.close)
                    rig.front.pool.update_endpoint(place, address_of(peer), WorkerState.READY, 0.0)
                rig.client().call("save")
                rig.until(lambda rig=rig: rig.front.table.pending, "it is taken")
                [key] = rig.front.table.pending
                rig.front.table.send(SendRequest(key, PLACE))
                rig.until(lambda first=first: first.runs, "the first one runs")
                rig.front.table.send(SendRequest(key, 10))
                [link] = rig.front.pool.workers[10].connections
                self.assertFalse(link.is_connected)
                [sent] = [attempt for attempt in rig.front.table._attempts.values() if attempt.is_started]
                sent.started_at_ms -= LONG_WINDOW["dedup_window"] * late  # the dial takes that long
                rig.until(lambda link=link: link.is_connected, "the dial comes up")
                rig.front.table.ensure_instances(EnsureInstances(10, ROW, 0))
                asked = lambda second=second: second.of(worker_frames.ENSURE)  # noqa: E731
                rig.until(asked, "what is sent after it arrives")
                self.assertEqual(len(second.runs), not late)


RATION = {"family_info": {**SETTINGS["family_info"], "load_window": 5000.0, "free_loads": 2.0}}


class LoadRation(RouterTestCase):
    """Orders to load are rationed by when they arrive, and by the calls that clients did not take back."""

    def shift(self, rig, ms):
        """So much time passes on the clock that the module is shown."""
        clock = rig.front.loop.clock
        now_ms = clock.now_ms
        clock.now_ms = lambda: now_ms() + ms

    def fill(self, rig, count):
        """So many orders leave now."""
        now_ms = rig.front.loop.clock.now_ms()
        for _ in range(count):
            rig.front.router.ordered.append(now_ms)

    def order_that_waits(self, rig, peer):
        """An order to a scorer to which no connection is up yet, decided now."""
        rig.workers.append(peer)
        rig.front.pool.update_endpoint(PLACE, address_of(peer), WorkerState.READY, 0.0)
        now_ms = rig.front.loop.clock.now_ms()
        rig.front.table.begin_batch(now_ms)
        rig.front.router.ordered.append(now_ms)
        rig.front.table.ensure_instances(EnsureInstances(PLACE, ROW, 1))

    def test_calls_given_up_at_once_and_then_withdrawn_allow_no_loads(self):
        rig = self.rig(FakeWorker(copies=None), settings=RATION)
        client = rig.client()
        for seqid in range(1, 41):
            client.call(call="ab" * 8, seqid=seqid, ttl="52")
            client.withdraw(seqid)
        rig.settle(client)
        self.assertEqual(rig.front.router.taken, {})

    def test_an_id_that_comes_again_each_time_that_it_is_turned_away_counts_once(self):
        rig = self.rig(FakeWorker(copies=None), settings=RATION)
        client = rig.client()
        for seqid in range(1, 11):
            client.call(call="ab" * 8, seqid=seqid, ttl="52")
            rig.until(lambda seqid=seqid: seqid in client.kinds(), "it is turned away")
        self.assertEqual(set(client.kinds().values()), {"throttled"})
        self.assertEqual(list(rig.front.router.taken), ["ab" * 8])

    def test_an_order_whose_connection_comes_up_late_keeps_to_the_ration_of_then(self):
        for others in (1, 2):  # how many orders have left by then: one leaves room, two do not
            with self.subTest(others=others):
                rig, peer = self.rig(settings=RATION), FakeWorker("s-9", copies=None)
                self.order_that_waits(rig, peer)
                self.shift(rig, 4500.0)
                self.fill(rig, others)
                [link] = rig.front.pool.workers[PLACE].connections
                rig.until(lambda link=link: link.is_connected, "the dial comes up")
                rig.front.table.ensure_instances(EnsureInstances(PLACE, ROW, 0))
                rig.until(lambda peer=peer: peer.frames, "what is sent after it arrives")
                counts = [frame.fields["slots_up"] for _, frame in peer.of(worker_frames.ENSURE)]
                self.assertEqual("1" in counts, others == 1)
                ordered = list(rig.front.router.ordered)
                self.assertEqual(len(ordered), 2)
                then_ms = rig.front.loop.clock.now_ms() - 1000.0
                self.assertGreater(min(ordered), then_ms)

    def test_an_order_behind_bytes_that_the_scorer_does_not_read_is_looked_at_again(self):
        rig, peer = self.rig(settings=RATION), FakeWorker("s-9", copies=None)
        self.order_that_waits(rig, peer)
        rig.until(lambda: peer.frames, "a connection stands")
        [link, *_] = rig.front.pool.workers[PLACE].connections
        rig.front.router.ordered.clear()
        pump, peer.pump = peer.pump, lambda: None  # it reads no more
        filler = link.connection.write(b"")
        while not link.connection._blocked:
            filler = link.connection.write(worker_frames.give_up(b"nobody00") * 50_000)
            link.connection.flush()
        with mock.patch.object(worker_pool, "MAX_PENDING_BYTES", 1 << 30):
            now_ms = rig.front.loop.clock.now_ms()
            rig.front.table.begin_batch(now_ms)
            rig.front.router.ordered.append(now_ms)
            for other in rig.front.pool.workers[PLACE].connections[1:]:
                other.connection.close(CloseReason.IDLE)
            rig.front.table.ensure_instances(EnsureInstances(PLACE, ROW, 2))
        self.assertEqual([stream.instances for stream in link.unwritten()], [2])
        self.shift(rig, 4500.0)
        self.fill(rig, 2)
        peer.pump = pump
        rig.until(lambda: not link.connection.pending_bytes, "all is written")
        rig.until(lambda: filler.written == len(filler.data), "the filler too")
        rig.front.table.ensure_instances(EnsureInstances(PLACE, ROW, 0))
        asked = lambda: [f for _, f in peer.of(worker_frames.ENSURE) if f.fields["slots_up"] == "0"]  # noqa: E731
        rig.until(asked, "what is sent after it arrives")
        counts = [frame.fields["slots_up"] for _, frame in peer.of(worker_frames.ENSURE)]
        self.assertNotIn("2", counts)


class Descriptors(ProgramTestCase):
    def test_idle_clients_that_fill_them_while_the_list_is_away_keep_nobody_out(self):
        worker = FakeWorker()
        self.addCleanup(worker.close)
        program = self.launch(self.config(limits={"sockets": 64}))
        host, port = program.stderr.readline().rsplit(" ", 1)[1].strip().split(":")
        resource.prlimit(program.pid, resource.RLIMIT_NOFILE, (64, 64))
        crowd = [self.client(host, port) for _ in range(1)]
        self.pump(crowd[0], self.log.asked, self.log)
        log_port = int(self.log.host_port.split(":")[1])
        self.log.close()
        for n in range(80):
            crowd.append(self.client(host, port))
            if n % 2:  # it says something, gets its answer and stays
                crowd[-1].status()
                self.pump(crowd[-1], lambda: crowd[-1].answers)
        self.log = FakeEndpointLog(log_port)
        self.addCleanup(self.log.close)
        self.pump(crowd[-1], self.log.asked, self.log)
        self.log.say({"seq": 2, "fleet": {"members": [worker.member()]}})
        usual = self.client(host, port)
        usual.call()
        self.pump(usual, lambda: worker.runs, worker, self.log)
        worker.answer(worker.runs[0], body=b"served")
        self.pump(usual, lambda: usual.answers)
        self.assertEqual(usual.answers[0][1:], ("answer", {1: b"served", 2: {}, 3: True}))

    def client(self, host, port):
        client = FakeClient((host, int(port)))
        self.addCleanup(client.sock.close)
        return client
