"""Where two events cross, on real connections: each test brings the bad order about by explicit steps."""

import socket
from unittest import mock

from peers import ROW, SETTINGS, Case, ScorerPeer, ready

from fawnwharf import interface as io
from fawnwharf.net import clients, connection
from fawnwharf.net.endings import End
from fawnwharf.net.loop import READ, WRITE

NO_CANCEL = {"bounds": {**SETTINGS["bounds"], "cancel": False}}
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
