"""Tests of `endpoint_watch`."""

from pathlib import Path
from unittest import mock

from fakes import (
    SETTINGS,
    FakeEndpointLog,
    FakeWorker,
)

from function_router.decisions.types import WorkerState
from function_router.net import (
    clock,
    endpoint_registry,
    endpoint_watch,
)

ROOT = Path(__file__).parent.parent


NO_CANCEL = {"bounds": {**SETTINGS["bounds"], "cancel": False}}


LONG_WINDOW = {"name": "save", "effect": "deduplicated", "give_up": 9000.0, "dedup_window": 60_000.0}


PLACE = 9  # a scorer that the decisions don't know, so that the test alone sends there


def address_of(peer):
    return "127.0.0.1", int(peer.host_port.split(":")[1])


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
                    self.send_line(line, n)


RATION = {"family_info": {**SETTINGS["family_info"], "load_window": 5000.0, "free_loads": 2.0}}


def event(seq, *members, complete=False):
    return {"seq": seq, "fleet": {"complete": complete, "members": list(members)}}


def test_events_told_twice_or_out_of_date_are_passed_over(start_router):
    harness = start_router(FakeWorker())
    with mock.patch.object(harness.process.endpoint_watch, "_told") as told:
        for seq in (2, 2, 1, 3):
            harness.endpoint_log.send_line(event(seq))
        harness.run_until(lambda: harness.process.endpoint_watch.last_sequence == 3, "the last one is told")
    assert told.call_count == 2


def test_a_silent_log_is_asked_again_from_where_it_stopped(start_router):
    harness = start_router(FakeWorker())
    harness.endpoint_log.send_line(event(2))
    harness.run_until(lambda: harness.process.endpoint_watch.last_sequence == 2, "an event is told")
    with mock.patch.object(endpoint_watch, "SILENCE_MS", -1.0):
        harness.run_until(lambda: len(harness.endpoint_log.queries()) == 2, "it is asked again")
    assert harness.endpoint_log.queries() == [["since", "1"], ["since", "2"]]


def test_events_that_went_missing_are_asked_for(start_router):
    for line in (b"4", b'{"seq":4,"fleet":{"members":[]}}'):
        harness = start_router(FakeWorker())
        harness.endpoint_log.send_line(line)
        harness.run_until(
            lambda harness=harness: len(harness.endpoint_log.queries()) == 2, "it is asked again"
        )
        assert harness.endpoint_log.queries()[1] == ["since", "1"]


def test_a_bad_line_is_asked_for_again_and_then_passed_over(start_router):
    bad = [b"{", b"\xff\xfe", b"[" * 100_000, b'"text"', b"[1]", b'{"seq":"x"}', b"true"]
    bad += [b'{"seq":2,"fleet":{"members":5}}', b'{"seq":99999999999,"fleet":{"members":[]}}']
    for line in bad:
        worker = FakeWorker()
        harness = start_router(worker)
        harness.endpoint_log.send_line(line)
        harness.run_until(
            lambda harness=harness: len(harness.endpoint_log.queries()) == 2, "it is asked again"
        )
        harness.endpoint_log.send_line(line)
        harness.endpoint_log.send_line(event(3, worker.record("terminating")))
        harness.run_until(
            lambda harness=harness: harness.process.endpoint_watch.last_sequence == 3,
            "the next event is told",
        )
        state = harness.process.pool.workers[endpoint_registry.worker_id_of(worker.id)].state
        assert state == WorkerState.DRAINING


def test_a_stumble_after_all_was_well_is_a_new_one(start_router):
    harness = start_router(FakeWorker())
    for asked in (2, 3):
        harness.endpoint_log.send_line(b"{")
        harness.run_until(
            lambda asked=asked: len(harness.endpoint_log.queries()) == asked, "it is asked again"
        )
        harness.endpoint_log.send_line(b"1")
        harness.run_until(lambda: harness.process.endpoint_watch._stumbled_at is None, "all is well again")


def test_a_move_leaves_one_connection_to_the_new_address_and_no_late_dial(cleanups, start_router):
    for broken in (False, True):
        harness, moved = start_router(FakeWorker()), FakeEndpointLog()
        cleanups.callback(moved.close)
        with mock.patch.object(endpoint_watch, "PAUSE_MS", 30.0):
            harness.endpoint_log.send_line(event(2))
            harness.run_until(
                lambda harness=harness: harness.process.endpoint_watch.last_sequence == 2, "an event is told"
            )
            if broken:  # the next dial to the old address is planned already
                harness.endpoint_log.connections[0].sock.close()
                harness.endpoint_log.connections[0].ended = True
                harness.run_until(
                    lambda harness=harness: harness.process.endpoint_watch._connection is None,
                    "it breaks off",
                )
            harness.process.endpoint_watch.move_to(("127.0.0.1", int(moved.host_port.split(":")[1])))
        later = []
        harness.process.loop.timers.call_later(60.0, lambda later=later: later.append(1))
        harness.workers.append(moved)
        harness.run_until(lambda later=later, moved=moved: later and moved.queries(), "the new one is asked")
        assert (moved.queries(), len(moved.connections)) == ([["since", "2"]], 1)
        assert [link.ended for link in harness.endpoint_log.connections] == [True]


def test_whoever_a_complete_list_leaves_out_is_gone(start_router):
    old, new = FakeWorker("s-1"), FakeWorker("s-2")
    harness = start_router(old)
    harness.endpoint_log.send_line(event(2, new.record(), complete=True))
    harness.run_until(lambda: harness.process.endpoint_watch.last_sequence == 2, "the list is told")
    assert list(harness.process.pool.workers) == [endpoint_registry.worker_id_of("s-2")]


def state(harness, worker):
    known = harness.process.pool.workers.get(endpoint_registry.worker_id_of(worker.id))
    return known and known.state


def test_a_complete_list_past_a_gap_is_taken_as_it_stands_for_all_before(start_router):
    worker, new = FakeWorker("s-1"), FakeWorker("s-2")
    harness = start_router(worker)
    harness.endpoint_log.send_line(event(40, new.record(), complete=True))
    harness.endpoint_log.send_line(event(41, new.record("terminating")))
    harness.run_until(lambda: state(harness, new) is WorkerState.DRAINING, "both are told")
    harness.endpoint_log.send_line(b"41")
    harness.round_trip(harness.connect_client())
    assert (len(harness.endpoint_log.queries()), harness.process.endpoint_watch.last_sequence) == (1, 41)
    assert state(harness, worker) is None


def test_a_complete_list_under_a_number_that_the_log_has_not_reached_hides_no_event(start_router):
    worker = FakeWorker()
    harness = start_router(worker)
    harness.endpoint_log.send_line(event(99_999_999, worker.record(), complete=True))
    harness.endpoint_log.send_line(event(2, worker.record("terminating")))
    harness.endpoint_log.send_line(b"2")
    harness.run_until(lambda: len(harness.endpoint_log.queries()) == 2, "it is asked again")
    assert harness.endpoint_log.queries()[1] == ["since", "1"]
    harness.endpoint_log.send_line(event(2, worker.record("terminating")))
    harness.run_until(lambda: state(harness, worker) is WorkerState.DRAINING, "the event is told")


def test_noise_told_twice_while_no_event_is_due_hides_not_the_next_one(start_router):
    for number in (True, False):  # whether the log says in between where it stands
        worker = FakeWorker()
        harness = start_router(worker)
        harness.endpoint_log.send_line(b"noise")
        harness.run_until(
            lambda harness=harness: len(harness.endpoint_log.queries()) == 2, "it is asked again"
        )
        harness.endpoint_log.send_line(b"noise")
        if number:
            harness.endpoint_log.send_line(b"1")
        harness.endpoint_log.send_line(event(2, worker.record("terminating")))
        done = lambda harness=harness, worker=worker: state(harness, worker) is WorkerState.DRAINING  # noqa: E731
        harness.run_until(done, "the event is told")


def test_a_gap_that_stays_is_passed_over_at_once_however_wide_it_is(start_router):
    worker = FakeWorker()
    harness = start_router(worker)
    for asked in (2, 2):
        harness.endpoint_log.send_line(event(500, worker.record("terminating")))
        harness.run_until(
            lambda asked=asked: len(harness.endpoint_log.queries()) >= asked, "it is asked again"
        )
    harness.run_until(lambda: state(harness, worker) is WorkerState.DRAINING, "the event is told")
    harness.endpoint_log.send_line(event(501, worker.record("in_service")))
    harness.run_until(lambda: state(harness, worker) is WorkerState.READY, "the one behind it too")
    assert (len(harness.endpoint_log.queries()), harness.process.endpoint_watch.last_sequence) == (2, 501)


def test_a_log_that_says_nothing_of_use_is_not_asked_in_a_busy_loop(cleanups, start_router):
    for line in (b"9", b"noise", b'{"seq":9,"fleet":5}'):
        harness, log = start_router(FakeWorker()), Stuttering(line, line, line)
        cleanups.callback(log.close)
        harness.workers.append(log)
        over, begun = [], clock.monotonic_ms()
        harness.process.endpoint_watch.move_to(address_of(log))
        harness.process.loop.timers.call_later(4 * endpoint_watch.PAUSE_MS, lambda over=over: over.append(1))
        harness.run_until(lambda over=over, log=log: over and len(log.connections) > 1, "some time passes")
        pauses = (clock.monotonic_ms() - begun) / endpoint_watch.PAUSE_MS
        assert len(log.connections) <= 1 + pauses
        log.lines = (b'{"seq":2,"fleet":{"members":[]}}', b"2")
        harness.run_until(
            lambda harness=harness: harness.process.endpoint_watch.last_sequence == 2, "an event gets through"
        )


def test_a_log_whose_dial_took_long_has_its_whole_time_to_speak(start_router):
    harness = start_router(FakeWorker())
    log = harness.process.endpoint_watch
    log._line_ms -= endpoint_watch.SILENCE_MS + 1  # the dial took that long
    before = log._connection
    log.on_connected()
    log.check_timeouts()
    assert log._connection is before


def test_a_move_while_a_dial_is_out_or_a_line_is_half_read_leaves_one_connection(cleanups, start_router):
    for half in (False, True):
        harness, moved = start_router(FakeWorker(), start=half), FakeEndpointLog()
        cleanups.callback(moved.close)
        harness.workers.append(moved)
        if half:
            harness.endpoint_log.connections[0].sock.sendall(b'{"seq":2,"fl')
            log = harness.process.endpoint_watch
            harness.run_until(lambda log=log: log._unread, "half a line is read")
        assert harness.process.endpoint_watch._connection.is_connected == half
        harness.process.endpoint_watch.move_to(address_of(moved))
        harness.run_until(lambda moved=moved: moved.queries(), "the new one is asked")
        moved.send_line(event(2))
        harness.run_until(
            lambda harness=harness: harness.process.endpoint_watch.last_sequence == 2, "its event is told"
        )
        assert (moved.queries(), len(moved.connections)) == ([["since", "1"]], 1)
