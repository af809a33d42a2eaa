"""Where two events cross, on real connections: each test brings the bad order about by explicit steps."""

import math
import resource
import socket
from unittest import mock

from peers import (
    ROW,
    SETTINGS,
    Case,
    ClientPeer,
    LogPeer,
    ProgramCase,
    ScorerPeer,
    attempt,
    order,
    ready,
)

from fawnwharf import interface as io
from fawnwharf.net import changelog, clients, connection, front_end, scorer_frames, scorers, wheel
from fawnwharf.net.endings import End
from fawnwharf.net.loop import READ, WRITE

NO_CANCEL = {"bounds": {**SETTINGS["bounds"], "cancel": False}}
LONG_WINDOW = {"name": "save", "effect": "deduplicated", "give_up": 9000.0, "dedup_window": 60_000.0}
PLACE = 9  # a scorer that the decisions don't know, so that the test alone sends there


def address_of(peer):
    return "127.0.0.1", int(peer.host_port.split(":")[1])


class GoneClients(Case):
    """A client that has left: no attempt begins for it, wherever its request waits."""

    def call_at_a_new_scorer(self, settings, linked=False):
        """A call that is to go to a scorer of its own; `linked`: to which a connection stands."""
        rig, peer = self.rig(ScorerPeer(copies=None), settings=settings), ScorerPeer("s-9")
        rig.scorers.append(peer)
        rig.front.pool.update(PLACE, address_of(peer), io.State.READY, 0.0)
        if linked:
            rig.front.table.order(io.Hold(PLACE, ROW, 0))
            rig.until(lambda: peer.frames, "a connection stands")
        client = rig.client()
        client.call()
        rig.until(lambda: rig.front.table.open, "it is taken")
        [served] = rig.front.port.clients
        return rig, peer, client, served

    def send(self, rig):
        [key] = rig.front.table.open
        rig.front.table.send(io.Send(key, PLACE))
        return rig.front.pool.scorers[PLACE].links

    def leave(self, client, served):
        client.sock.close()
        client.ended = True
        self.assertTrue(ready(served.connection._sock))

    def expect_nothing_sent(self, rig, peer, link):
        rig.until(lambda: link.up, "the dial comes up")
        rig.front.table.order(io.Hold(PLACE, ROW, 0))
        asked = len(peer.frames)
        rig.until(lambda: len(peer.frames) > asked, "what is sent after it arrives")
        self.assertEqual((peer.runs, rig.front.table.open, rig.front.table._out), ([], {}, {}))

    def test_what_waits_for_a_dial_is_taken_back_though_nothing_may_be_cancelled(self):
        rig, peer, client, served = self.call_at_a_new_scorer(NO_CANCEL)
        [link] = self.send(rig)
        self.leave(client, served)
        served.connection._ready(READ)
        self.expect_nothing_sent(rig, peer, link)

    def test_a_dial_that_comes_up_before_the_clients_end_is_read_carries_nothing(self):
        for settings in (NO_CANCEL, {}):
            with self.subTest(settings):
                rig, peer, client, served = self.call_at_a_new_scorer(settings)
                [link] = self.send(rig)
                self.leave(client, served)
                link.connection._ready(WRITE)
                rig.front.loop._serve([], rig.front.loop.clock.now_ms())  # the end is still unread
                self.expect_nothing_sent(rig, peer, link)

    def test_what_is_placed_again_after_its_link_ended_is_taken_back(self):
        for settings in (NO_CANCEL, {}):
            with self.subTest(settings):
                rig, peer, client, served = self.call_at_a_new_scorer(settings, linked=True)
                [link, *_] = self.send(rig)
                link = next(link for link in rig.front.pool.scorers[PLACE].links if link.streams)
                for other in [other for other in rig.front.pool.scorers[PLACE].links if other is not link]:
                    other.connection.close(End.IDLE)
                link.connection.close(End.RESET_BY_PEER)  # before a byte of it was written
                [link] = rig.front.pool.scorers[PLACE].links
                self.leave(client, served)
                served.connection._ready(READ)
                self.expect_nothing_sent(rig, peer, link)

    def test_what_is_unwritten_when_another_attempt_is_served_never_begins(self):
        rig, peer, client, _ = self.call_at_a_new_scorer(NO_CANCEL, linked=True)
        other = ScorerPeer("s-10")
        rig.scorers.append(other)
        rig.front.pool.update(10, address_of(other), io.State.READY, 0.0)
        self.send(rig)
        rig.until(lambda: peer.runs, "the first one runs")
        [key] = rig.front.table.open
        rig.front.table.send(io.Send(key, 10))
        [link] = rig.front.pool.scorers[10].links
        peer.answer(peer.runs[0], body=b"served")
        running = next(link for link in rig.front.pool.scorers[PLACE].links if link.streams)
        self.assertTrue(ready(running.connection._sock))
        running.connection._ready(READ)
        rig.until(lambda: client.answers and link.up, "it is served, and the other dial comes up")
        rig.front.table.order(io.Hold(10, ROW, 0))
        rig.until(lambda: other.frames, "what is sent after it arrives")
        self.assertEqual((other.runs, rig.front.table._out), ([], {}))


class UnreadEnds(Case):
    def warm(self, **more):
        """A front end that knows a warm copy, so that a request leaves in the turn that reads it."""
        scorer = ScorerPeer(copies=8)
        rig = self.rig(scorer, **more)
        first = rig.client()
        first.call()
        rig.until(lambda: scorer.runs, "the first one runs")
        scorer.answer(scorer.runs[0])
        rig.until(lambda: first.answers, "it is answered")
        return rig, scorer

    def newcomer(self, rig):
        known = set(rig.front.port.clients)
        client = rig.client()
        rig.until(lambda: len(rig.front.port.clients) > len(known), "it is accepted")
        [served] = set(rig.front.port.clients) - known
        return client, served

    def one_turn(self, rig, served):
        self.assertTrue(ready(served.connection._sock))
        served.connection._ready(READ)
        rig.front.loop._serve([], rig.front.loop.clock.now_ms())

    def test_a_request_whose_client_has_closed_behind_it_is_not_sent(self):
        for settings in (NO_CANCEL, {}):
            for more in (b"", b"x" * 500):  # nothing or something unread between the two
                with self.subTest(settings=settings, more=len(more)):
                    rig, scorer = self.warm(settings=settings)
                    client, served = self.newcomer(rig)
                    client.call()
                    size = len(client.last_frame)
                    client.sock.sendall(more)
                    client.sock.close()
                    client.ended = True
                    with (
                        mock.patch.object(connection, "READ_MOST", size),
                        mock.patch.object(connection, "READS_MOST", 1),
                    ):
                        self.one_turn(rig, served)
                    rig.settle(rig.client())
                    self.assertEqual((len(scorer.runs), rig.front.table.open), (1, {}))

    def test_a_withdrawal_far_behind_its_request_is_read_before_anything_is_sent(self):
        rig, scorer = self.warm(settings=NO_CANCEL)
        client, served = self.newcomer(rig)
        for seqid in range(1, 11):
            client.call(seqid=seqid, body=b"x" * 12_000)
        for seqid in range(1, 11):
            client.withdraw(seqid)
        self.one_turn(rig, served)
        rig.settle(rig.client())
        self.assertEqual((len(scorer.runs), rig.front.table.open), (1, {}))

    def test_one_that_reads_no_answers_is_still_heard_when_it_withdraws_or_ends(self):
        for ends in (False, True):
            with self.subTest(ends=ends):
                rig = self.rig(ScorerPeer(copies=None))
                client, served = self.newcomer(rig)
                seqid = client.call()
                rig.until(lambda rig=rig: rig.front.table.open, "it is taken")
                client.pump = lambda: None  # it reads no more
                with mock.patch.object(clients, "UNREAD_MOST", 16 * 1024 * 1024):
                    served._write(b"x" * 12_000_000)
                    rig.front.loop.turn(0)
                    self.assertGreater(served.connection.waiting_bytes, clients.UNREAD_STOP)
                    if ends:
                        client.sock.shutdown(socket.SHUT_WR)
                    else:
                        client.withdraw(seqid)
                    self.assertTrue(ready(served.connection._sock))
                    rig.front.loop.turn(0)
                    self.assertFalse(rig.front.table.open)


class SameIds(Case):
    def test_an_id_that_is_open_is_not_taken_a_second_time_whoever_sends_it(self):
        scorer = ScorerPeer(copies=None)
        rig = self.rig(scorer)
        first, second = rig.client(), rig.client()
        first.call(call="ab" * 8)
        rig.until(lambda: rig.front.table.open, "the first one is taken")
        for seqid in range(2, 32):
            first.call(call="ab" * 8, seqid=seqid)
        second.call(call="ab" * 8, body=b"another")
        rig.until(lambda: len(first.answers) == 30 and second.answers, "all others are answered")
        self.assertEqual(set(first.kinds().values()) | set(second.kinds().values()), {"exception"})
        self.assertEqual((len(rig.front.table.open), len(rig.front.router.taken)), (1, 1))

    def test_an_id_is_free_again_once_its_request_is_over_or_its_client_has_gone(self):
        rig = self.rig(ScorerPeer(copies=None))
        first, second, third = rig.client(), rig.client(), rig.client()
        seqid = first.call(call="ab" * 8)
        rig.until(lambda: rig.front.table.open, "the first one is taken")
        first.withdraw(seqid)
        rig.until(lambda: not rig.front.table.open, "it is withdrawn")
        second.call(call="ab" * 8)
        rig.until(lambda: rig.front.table.open, "the second one is taken")
        [served] = [served for served in rig.front.port.clients if served.open]
        second.sock.close()
        second.ended = True
        self.assertTrue(ready(served.connection._sock))
        [other] = [other for other in rig.front.port.clients if not other.spoke]
        third.call(call="ab" * 8)
        self.assertTrue(ready(other.connection._sock))
        other.connection._ready(READ)  # before the end of the second one is read
        self.assertTrue(served.connection.closed)
        self.assertEqual(list(other.open), [1])


    def test_one_that_sent_an_id_twice_and_closed_leaves_nothing_open(self):
        rig = self.rig(ScorerPeer(copies=None))
        client = rig.client()
        rig.settle(client)
        [served] = rig.front.port.clients
        client.call(call="ab" * 8, seqid=1)
        client.call(call="ab" * 8, seqid=2)
        client.sock.close()
        client.ended = True
        self.assertTrue(ready(served.connection._sock))
        with mock.patch.object(connection, "READS_MOST", 1):
            served.connection._ready(READ)
        self.assertEqual((rig.front.table.open, rig.front.table._keys), ({}, {}))


class Stuttering(LogPeer):
    """A change log that says the same lines on every connection, as soon as it is asked."""

    def __init__(self, *lines):
        super().__init__()
        self.lines, self.told = lines, set()

    def pump(self):
        super().pump()
        for n, link in enumerate(self.links):
            if link.data.endswith(b"\n") and n not in self.told and not link.ended:
                self.told.add(n)
                for line in self.lines:
                    self.say(line, n)


class Lists(Case):
    def event(self, seq, *members, complete=False):
        return {"seq": seq, "fleet": {"complete": complete, "members": list(members)}}

    def state(self, rig, scorer):
        known = rig.front.pool.scorers.get(front_end.worker_number(scorer.id))
        return known and known.state

    def test_a_complete_list_past_a_gap_is_taken_as_it_stands_for_all_before(self):
        scorer, new = ScorerPeer("s-1"), ScorerPeer("s-2")
        rig = self.rig(scorer)
        rig.log.say(self.event(40, new.member(), complete=True))
        rig.log.say(self.event(41, new.member("terminating")))
        rig.until(lambda: self.state(rig, new) is io.State.DRAINING, "both are told")
        rig.log.say(b"41")
        rig.settle(rig.client())
        self.assertEqual((len(rig.log.asked()), rig.front.changelog.seq), (1, 41))
        self.assertIsNone(self.state(rig, scorer))

    def test_a_complete_list_under_a_number_that_the_log_has_not_reached_hides_no_event(self):
        scorer = ScorerPeer()
        rig = self.rig(scorer)
        rig.log.say(self.event(99_999_999, scorer.member(), complete=True))
        rig.log.say(self.event(2, scorer.member("terminating")))
        rig.log.say(b"2")
        rig.until(lambda: len(rig.log.asked()) == 2, "it is asked again")
        self.assertEqual(rig.log.asked()[1], ["since", "1"])
        rig.log.say(self.event(2, scorer.member("terminating")))
        rig.until(lambda: self.state(rig, scorer) is io.State.DRAINING, "the event is told")

    def test_noise_told_twice_while_no_event_is_due_hides_not_the_next_one(self):
        for number in (True, False):  # whether the log says in between where it stands
            with self.subTest(number=number):
                scorer = ScorerPeer()
                rig = self.rig(scorer)
                rig.log.say(b"noise")
                rig.until(lambda rig=rig: len(rig.log.asked()) == 2, "it is asked again")
                rig.log.say(b"noise")
                if number:
                    rig.log.say(b"1")
                rig.log.say(self.event(2, scorer.member("terminating")))
                done = lambda rig=rig, scorer=scorer: self.state(rig, scorer) is io.State.DRAINING  # noqa: E731
                rig.until(done, "the event is told")

    def test_a_gap_that_stays_is_passed_over_at_once_however_wide_it_is(self):
        scorer = ScorerPeer()
        rig = self.rig(scorer)
        for asked in (2, 2):
            rig.log.say(self.event(500, scorer.member("terminating")))
            rig.until(lambda asked=asked: len(rig.log.asked()) >= asked, "it is asked again")
        rig.until(lambda: self.state(rig, scorer) is io.State.DRAINING, "the event is told")
        rig.log.say(self.event(501, scorer.member("in_service")))
        rig.until(lambda: self.state(rig, scorer) is io.State.READY, "the one behind it too")
        self.assertEqual((len(rig.log.asked()), rig.front.changelog.seq), (2, 501))

    def test_a_log_that_says_nothing_of_use_is_not_asked_in_a_busy_loop(self):
        for line in (b"9", b"noise", b'{"seq":9,"fleet":5}'):
            with self.subTest(line):
                rig, log = self.rig(ScorerPeer()), Stuttering(line, line, line)
                self.addCleanup(log.close)
                rig.scorers.append(log)
                over, begun = [], wheel.monotonic_ms()
                rig.front.changelog.move(address_of(log))
                rig.front.loop.wheel.after(4 * changelog.PAUSE_MS, lambda over=over: over.append(1))
                rig.until(lambda over=over, log=log: over and len(log.links) > 1, "some time passes")
                pauses = (wheel.monotonic_ms() - begun) / changelog.PAUSE_MS
                self.assertLessEqual(len(log.links), 1 + pauses)
                log.lines = (b'{"seq":2,"fleet":{"members":[]}}', b"2")
                rig.until(lambda rig=rig: rig.front.changelog.seq == 2, "an event gets through")

    def test_a_log_whose_dial_took_long_has_its_whole_time_to_speak(self):
        rig = self.rig(ScorerPeer())
        log = rig.front.changelog
        log._line_ms -= changelog.SILENCE_MS + 1  # the dial took that long
        before = log._connection
        log.on_up()
        log.tidy()
        self.assertIs(log._connection, before)

    def test_a_move_while_a_dial_is_out_or_a_line_is_half_read_leaves_one_connection(self):
        for half in (False, True):
            with self.subTest(half=half):
                rig, moved = self.rig(ScorerPeer(), start=half), LogPeer()
                self.addCleanup(moved.close)
                rig.scorers.append(moved)
                if half:
                    rig.log.links[0].sock.sendall(b'{"seq":2,"fl')
                    log = rig.front.changelog
                    rig.until(lambda log=log: log._unread, "half a line is read")
                self.assertEqual(rig.front.changelog._connection.up, half)
                rig.front.changelog.move(address_of(moved))
                rig.until(lambda moved=moved: moved.asked(), "the new one is asked")
                moved.say(self.event(2))
                rig.until(lambda rig=rig: rig.front.changelog.seq == 2, "its event is told")
                self.assertEqual((moved.asked(), len(moved.links)), ([["since", "1"]], 1))


class Leaving(Case):
    """SIGTERM: what has come by the end of the late arrivals is taken, however late the process looks."""

    def leave(self, *peers):
        """A front end that leaves, and whose time for late arrivals has passed."""
        rig = self.rig(*(peers or [ScorerPeer()]))
        client = rig.client()
        rig.settle(client)
        return rig, client

    def look(self, rig):
        """The look that would end it."""
        rig.front.leave()
        rig.front._leaving_ms -= front_end.LATE_ARRIVALS_MS + 1
        rig.front._look_to_leave()

    def expect_answered(self, rig, scorer, client):
        self.assertTrue(rig.front.loop.running)
        rig.until(lambda: scorer.runs, "it runs")
        scorer.answer(scorer.runs[0], body=b"late")
        rig.until(lambda: client.answers and not rig.front.loop.running, "it is answered, and all ends")
        self.assertEqual(client.answers[-1][1:], ("answer", {1: b"late", 2: {}, 3: True}))

    def test_a_request_that_lies_unread_is_taken(self):
        scorer = ScorerPeer()
        rig, client = self.leave(scorer)
        [served] = rig.front.port.clients
        client.call()
        self.assertTrue(ready(served.connection._sock))
        self.look(rig)
        self.expect_answered(rig, scorer, client)

    def test_a_request_on_a_connection_that_is_not_accepted_yet_is_taken(self):
        scorer = ScorerPeer()
        rig, _ = self.leave(scorer)
        client = rig.client()
        client.call()
        self.assertTrue(ready(rig.front.port._listener))
        self.look(rig)
        self.expect_answered(rig, scorer, client)

    def test_a_request_that_is_half_read_is_taken(self):
        scorer = ScorerPeer()
        rig, client = self.leave(scorer)
        [served] = rig.front.port.clients
        client.call(withhold=9)
        rig.until(lambda: served._reader.waits, "half of it is read")
        self.look(rig)
        client.send_rest()
        self.expect_answered(rig, scorer, client)

    def test_a_connection_that_waits_while_accepting_pauses_is_taken(self):
        scorer = ScorerPeer()
        rig, _ = self.leave(scorer)
        client = rig.client()
        client.call()
        self.assertTrue(ready(rig.front.port._listener))
        rig.front.port._pause()
        self.look(rig)
        self.expect_answered(rig, scorer, client)

    def test_one_that_has_nothing_on_its_way_keeps_nothing_from_ending(self):
        rig, _ = self.leave()
        rig.client()
        self.look(rig)
        self.assertFalse(rig.front.loop.running)

    def test_what_would_be_open_when_the_end_is_forced_is_answered_before(self):
        scorer = ScorerPeer()
        rig, client = self.leave(scorer)
        for seqid, op in enumerate(("view", "settle"), 1):
            client.call(op, seqid=seqid, row=f"{seqid:016x}")
            rig.until(lambda seqid=seqid: len(scorer.runs) == seqid, "it runs")
        begun = wheel.monotonic_ms()
        with mock.patch.object(front_end, "KILL_WAIT_MS", 0.0):  # 0.5 s are left of what would be 9 s
            rig.front.leave()
        client.call("view", seqid=3, row="ff" * 8)
        rig.until(lambda: len(client.kinds()) == 4, "all are answered")
        self.assertLess(wheel.monotonic_ms() - begun, 4000.0)  # their clients would wait for twice that
        kinds = {seqid: kind for seqid, kind in client.kinds().items() if seqid < 10}
        self.assertEqual(kinds, {1: "throttled", 2: "broken", 3: "throttled"})
        rig.until(lambda: not rig.front.loop.running, "it ends")

    def test_a_drain_told_while_leaving_is_kept_and_a_reload_moves_the_list(self):
        scorer, other, moved = ScorerPeer("s-1", copies=None), ScorerPeer("s-2", copies=None), LogPeer()
        self.addCleanup(moved.close)
        rig, client = self.leave(scorer, other)
        config = rig.front.deployment
        rig.front._reread = lambda: type(config)(
            **{name: getattr(config, name) for name in config.__struct_fields__ if name != "changelog"},
            changelog=address_of(moved),
        )
        rig.scorers.append(moved)
        client.call()
        rig.until(lambda: rig.front.table.open, "it is taken")
        self.look(rig)
        rig.front.reload()
        rig.until(lambda: moved.asked(), "the new log is asked")
        moved.say({"seq": 2, "fleet": {"members": [peer.member("terminating") for peer in (scorer, other)]}})
        rig.until(lambda: rig.front.changelog.seq == 2, "the drain is told")
        [key] = rig.front.table.open
        rig.front.table.send(io.Send(key, front_end.worker_number("s-1")))
        rig.settle(client)
        self.assertEqual(scorer.runs + other.runs, [])
        self.assertTrue(rig.front.loop.running)
        client.withdraw(1)
        rig.until(lambda: not rig.front.loop.running, "it ends")


class IdleCloses(Case):
    def test_a_request_that_crosses_the_close_of_an_idle_connection_is_taken(self):
        rig = self.rig(ScorerPeer(copies=None))
        client = rig.client()
        rig.settle(client)
        [served] = rig.front.port.clients
        client.call()
        self.assertTrue(ready(served.connection._sock))
        with mock.patch.object(clients, "IDLE_MS", -1.0):
            rig.front.port.tidy()  # before it is read
            rig.until(lambda: rig.front.table.open, "it is taken")
        self.assertFalse(served.connection.closed)

    def test_a_request_in_pieces_is_a_good_one_as_long_as_it_keeps_coming(self):
        for spoke in (False, True):
            with self.subTest(spoke=spoke):
                rig = self.rig(ScorerPeer(copies=None))
                client = rig.client()
                if spoke:
                    rig.settle(client)
                rig.until(lambda rig=rig: rig.front.port.clients, "it is accepted")
                [served] = rig.front.port.clients
                client.call(withhold=50)
                for _ in range(5):
                    rig.until(lambda served=served: served.connection.unread() is None, "a piece is read")
                    served._since_ms -= clients.SPEAK_MS  # so long ago did it begin
                    rig.front.port.tidy()
                    client.send_rest(10)
                rig.until(lambda rig=rig: rig.front.table.open, "it is taken")

    def test_one_that_has_come_in_several_pieces_may_pause_for_longer(self):
        rig = self.rig(ScorerPeer(copies=None))
        client = rig.client()
        client.call(withhold=50)
        rig.until(lambda: rig.front.port.clients, "it is accepted")
        [served] = rig.front.port.clients
        overdue = []
        for _ in range(3):
            rig.until(lambda: served.connection.unread() is None, "a piece is read")
            overdue.append(served.overdue(served.connection.heard_ms + clients.SPEAK_MS))
            served._since_ms = served.connection.heard_ms - clients.SPEAK_MS
            client.send_rest(10)
        self.assertEqual(overdue, [True, True, False])

    def test_half_a_request_that_goes_no_further_is_closed_in_time(self):
        rig = self.rig(ScorerPeer(copies=None))
        client = rig.client()
        rig.until(lambda: rig.front.port.clients, "it is accepted")
        [served] = rig.front.port.clients
        client.call(withhold=50)
        rig.until(lambda: served._reader.waits, "half of it is read")
        now = wheel.monotonic_ms()
        self.assertFalse(served.overdue(now))
        self.assertTrue(served.overdue(served._since_ms + 3000.0 - front_end.TIDY_MS))

    def test_one_whose_request_is_half_read_gives_way_after_those_that_say_nothing(self):
        rig = self.rig(ScorerPeer(copies=None), limits={"sockets": 32})
        client = rig.client()
        client.call(withhold=9)
        rig.until(lambda: rig.front.port.clients, "it is accepted")
        [served] = rig.front.port.clients
        rig.until(lambda: served._reader.waits, "half of it is read")
        served.connection.used_ms -= 10 * clients.YOUNG_MS
        for _ in range(30):
            other = rig.client()
            other.status()
            rig.until(lambda other=other: other.answers, "each is answered")
        client.send_rest()
        rig.until(lambda: rig.front.table.open, "it is taken")


class HandOvers(Case):
    """A scorer that moves or starts anew, and links where descriptors are few."""

    def test_what_waits_for_a_dial_to_the_old_address_goes_to_the_new_one(self):
        for moved in (True, False):  # or started anew where it was
            with self.subTest(moved=moved):
                scorer, ended = ScorerPeer("s-9", copies=None), []
                rig = self.rig()
                rig.scorers.append(scorer)
                self.addCleanup(scorer.close)
                pool, old = rig.front.pool, self.dead_end() if moved else address_of(scorer)
                pool.update(PLACE, old, io.State.READY, 0.0)
                pool.send(attempt(PLACE, ended))
                [first] = pool.scorers[PLACE].links
                pool.update(PLACE, address_of(scorer), io.State.READY, 5.0)
                first.connection.close(End.DIAL_TIMED_OUT)  # the one to the process before
                rig.until(lambda scorer=scorer: scorer.runs, "it runs")
                self.assertEqual(ended, [])

    def test_a_dial_to_the_process_before_that_comes_up_carries_nothing_new(self):
        scorer, ended = ScorerPeer("s-9", copies=None), []
        rig = self.rig(scorer)
        pool = rig.front.pool
        pool.update(PLACE, address_of(scorer), io.State.READY, 0.0)
        pool.send(attempt(PLACE, ended))
        [first] = pool.scorers[PLACE].links
        pool.update(PLACE, None, io.State.READY, 5.0)
        rig.until(lambda: scorer.runs, "it runs")
        self.assertTrue(first.connection.closed)
        self.assertEqual((len(scorer.runs), ended), (1, []))

    def test_calls_that_old_links_still_owe_keep_no_new_link_from_a_process(self):
        scorer, ended = ScorerPeer("s-9", copies=None), []
        rig = self.rig(scorer, settings={"bounds": {"streams_per_conn": 1}})
        pool = rig.front.pool
        pool.update(PLACE, address_of(scorer), io.State.READY, 0.0)
        for n in range(scorers.LINKS_MOST):
            pool.send(attempt(PLACE, ended, id=b"%08d" % n))
            rig.until(lambda n=n: len(scorer.runs) > n, "it runs")
        pool.update(PLACE, None, io.State.READY, 5.0)
        pool.send(attempt(PLACE, ended, id=b"abcdefgh"))
        rig.until(lambda: len(scorer.runs) > scorers.LINKS_MOST or ended, "the next one runs")
        self.assertEqual(ended, [])

    def test_a_new_scorer_at_an_address_whose_old_one_is_not_told_gone_yet_stands_there_alone(self):
        old, ids = ScorerPeer("s-1"), [front_end.worker_number(name) for name in ("s-1", "s-2")]
        rig = self.rig(old)
        workers = rig.front.router.workers
        rig.until(lambda: ids[0] in workers, "the old one is known")
        member = old.member(up_since_ms=1000.0) | {"id": "s-2", "locality": "east"}
        rig.log.say({"seq": 2, "fleet": {"members": [member]}})
        rig.until(lambda: ids[1] in workers, "the new one is told")
        for seq, phase in ((3, "in_service"), (4, "terminated")):  # what is told late of the old one
            states = [workers[id].entry.state for id in ids]
            self.assertEqual(states, [io.State.GONE, io.State.READY])
            self.assertEqual(list(rig.front.pool.scorers), [ids[1]])
            rig.log.say({"seq": seq, "fleet": {"members": [old.member(phase)]}})
            rig.until(lambda seq=seq: rig.front.changelog.seq == seq, "it is told")
            rig.front.loop.turn(0)
        rig.client().call()
        rig.until(lambda: old.runs, "a call runs")
        self.assertTrue(all(attempt.worker == ids[1] for attempt in rig.front.table._out.values()))
        self.assertEqual(workers[ids[1]].started_ms, 1000.0)

    def test_a_complete_list_with_two_at_one_address_keeps_the_one_started_last(self):
        for order_told in (1, -1):
            with self.subTest(order_told=order_told):
                scorer = ScorerPeer("s-2")
                rig = self.rig()
                self.addCleanup(scorer.close)
                members = [scorer.member() | {"id": "s-1"}, scorer.member(up_since_ms=9.0)][::order_told]
                rig.log.say({"seq": 2, "fleet": {"complete": True, "members": members}})
                rig.until(lambda rig=rig: rig.front.router.ready, "it is told")
                ready_ones = [worker.id for worker in rig.front.router.ready]
                self.assertEqual(ready_ones, [front_end.worker_number("s-2")])
                self.assertEqual(list(rig.front.pool.scorers), ready_ones)

    def test_idle_links_give_way_to_a_scorer_that_is_called(self):
        rig, ended = self.rig(limits={"sockets": 32}), []
        peers = [ScorerPeer(f"s-{n}") for n in range(20)]
        rig.scorers += peers
        for n, peer in enumerate(peers):
            self.addCleanup(peer.close)
            rig.front.pool.update(n, address_of(peer), io.State.READY, 0.0)
            rig.front.pool.order(order(n, ended, copies=0))
            rig.until(lambda n=n: len(ended) > n, "it is reached")
        self.assertEqual({end for end, _ in ended}, {io.Ending.GOOD})
        self.assertLessEqual(rig.front.pool._links, 32 * front_end.SCORER_SHARE)


class KeyedRepeats(Case):
    def test_one_that_was_called_off_before_its_first_byte_starts_no_window(self):
        rig = self.rig(ScorerPeer(copies=None))
        rig.client().call("save")
        rig.until(lambda: rig.front.table.open, "it is taken")
        [(key, request)] = rig.front.table.open.items()
        rig.front.pool.update(PLACE, self.dead_end(), io.State.READY, 0.0)
        rig.front.table.send(io.Send(key, PLACE))
        rig.front.table.cancel(io.Cancel(key, 0))
        self.assertEqual(request.ran_ms, math.inf)

    def test_a_repeat_that_waited_for_a_dial_past_the_window_is_not_sent(self):
        for late in (False, True):
            with self.subTest(late=late):
                first, second = ScorerPeer("s-9", copies=None), ScorerPeer("s-10", copies=None)
                rig = self.rig(ScorerPeer(copies=None), settings={"classes": [LONG_WINDOW]})
                rig.scorers += [first, second]
                for place, peer in ((PLACE, first), (10, second)):
                    self.addCleanup(peer.close)
                    rig.front.pool.update(place, address_of(peer), io.State.READY, 0.0)
                rig.client().call("save")
                rig.until(lambda rig=rig: rig.front.table.open, "it is taken")
                [key] = rig.front.table.open
                rig.front.table.send(io.Send(key, PLACE))
                rig.until(lambda first=first: first.runs, "the first one runs")
                rig.front.table.send(io.Send(key, 10))
                [link] = rig.front.pool.scorers[10].links
                self.assertFalse(link.up)
                [sent] = [attempt for attempt in rig.front.table._out.values() if attempt.begun]
                sent.began_ms -= LONG_WINDOW["dedup_window"] * late  # the dial takes that long
                rig.until(lambda link=link: link.up, "the dial comes up")
                rig.front.table.order(io.Hold(10, ROW, 0))
                asked = lambda second=second: second.of(scorer_frames.ENSURE)  # noqa: E731
                rig.until(asked, "what is sent after it arrives")
                self.assertEqual(len(second.runs), not late)


RATION = {"family_info": {**SETTINGS["family_info"], "load_window": 5000.0, "free_loads": 2.0}}


class LoadRation(Case):
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
        rig.scorers.append(peer)
        rig.front.pool.update(PLACE, address_of(peer), io.State.READY, 0.0)
        now_ms = rig.front.loop.clock.now_ms()
        rig.front.table.begin_batch(now_ms)
        rig.front.router.ordered.append(now_ms)
        rig.front.table.order(io.Hold(PLACE, ROW, 1))

    def test_calls_given_up_at_once_and_then_withdrawn_allow_no_loads(self):
        rig = self.rig(ScorerPeer(copies=None), settings=RATION)
        client = rig.client()
        for seqid in range(1, 41):
            client.call(call="ab" * 8, seqid=seqid, ttl="52")
            client.withdraw(seqid)
        rig.settle(client)
        self.assertEqual(rig.front.router.taken, {})

    def test_an_id_that_comes_again_each_time_that_it_is_turned_away_counts_once(self):
        rig = self.rig(ScorerPeer(copies=None), settings=RATION)
        client = rig.client()
        for seqid in range(1, 11):
            client.call(call="ab" * 8, seqid=seqid, ttl="52")
            rig.until(lambda seqid=seqid: seqid in client.kinds(), "it is turned away")
        self.assertEqual(set(client.kinds().values()), {"throttled"})
        self.assertEqual(list(rig.front.router.taken), ["ab" * 8])

    def test_an_order_whose_connection_comes_up_late_keeps_to_the_ration_of_then(self):
        for others in (1, 2):  # how many orders have left by then: one leaves room, two do not
            with self.subTest(others=others):
                rig, peer = self.rig(settings=RATION), ScorerPeer("s-9", copies=None)
                self.order_that_waits(rig, peer)
                self.shift(rig, 4500.0)
                self.fill(rig, others)
                [link] = rig.front.pool.scorers[PLACE].links
                rig.until(lambda link=link: link.up, "the dial comes up")
                rig.front.table.order(io.Hold(PLACE, ROW, 0))
                rig.until(lambda peer=peer: peer.frames, "what is sent after it arrives")
                counts = [frame.fields["slots_up"] for _, frame in peer.of(scorer_frames.ENSURE)]
                self.assertEqual("1" in counts, others == 1)
                ordered = list(rig.front.router.ordered)
                self.assertEqual(len(ordered), 2)
                then_ms = rig.front.loop.clock.now_ms() - 1000.0
                self.assertGreater(min(ordered), then_ms)

    def test_an_order_behind_bytes_that_the_scorer_does_not_read_is_looked_at_again(self):
        rig, peer = self.rig(settings=RATION), ScorerPeer("s-9", copies=None)
        self.order_that_waits(rig, peer)
        rig.until(lambda: peer.frames, "a connection stands")
        [link, *_] = rig.front.pool.scorers[PLACE].links
        rig.front.router.ordered.clear()
        pump, peer.pump = peer.pump, lambda: None  # it reads no more
        filler = link.connection.write(b"")
        while not link.connection._blocked:
            filler = link.connection.write(scorer_frames.give_up(b"nobody00") * 50_000)
            link.connection.flush()
        with mock.patch.object(scorers, "WAITING_BYTES_MOST", 1 << 30):
            now_ms = rig.front.loop.clock.now_ms()
            rig.front.table.begin_batch(now_ms)
            rig.front.router.ordered.append(now_ms)
            for other in rig.front.pool.scorers[PLACE].links[1:]:
                other.connection.close(End.IDLE)
            rig.front.table.order(io.Hold(PLACE, ROW, 2))
        self.assertEqual([stream.copies for stream in link.unwritten()], [2])
        self.shift(rig, 4500.0)
        self.fill(rig, 2)
        peer.pump = pump
        rig.until(lambda: not link.connection.waiting_bytes, "all is written")
        rig.until(lambda: filler.written == len(filler.data), "the filler too")
        rig.front.table.order(io.Hold(PLACE, ROW, 0))
        asked = lambda: [f for _, f in peer.of(scorer_frames.ENSURE) if f.fields["slots_up"] == "0"]  # noqa: E731
        rig.until(asked, "what is sent after it arrives")
        counts = [frame.fields["slots_up"] for _, frame in peer.of(scorer_frames.ENSURE)]
        self.assertNotIn("2", counts)


class Descriptors(ProgramCase):
    def test_idle_clients_that_fill_them_while_the_list_is_away_keep_nobody_out(self):
        scorer = ScorerPeer()
        self.addCleanup(scorer.close)
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
        self.log = LogPeer(log_port)
        self.addCleanup(self.log.close)
        self.pump(crowd[-1], self.log.asked, self.log)
        self.log.say({"seq": 2, "fleet": {"members": [scorer.member()]}})
        usual = self.client(host, port)
        usual.call()
        self.pump(usual, lambda: scorer.runs, scorer, self.log)
        scorer.answer(scorer.runs[0], body=b"served")
        self.pump(usual, lambda: usual.answers)
        self.assertEqual(usual.answers[0][1:], ("answer", {1: b"served", 2: {}, 3: True}))

    def client(self, host, port):
        client = ClientPeer((host, int(port)))
        self.addCleanup(client.sock.close)
        return client
