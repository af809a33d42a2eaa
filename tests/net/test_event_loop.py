"""Tests of `event_loop`: batches, flushes, exceptions, signals, and the times of polls."""

import errno
import os
import signal
import socket
import time
from unittest import mock

import pytest

from function_router.decisions.events import TimerFired
from function_router.net import clock, event_loop
from function_router.net.event_loop import READ, EventLoop
from function_router.net.input_scheduler import InputScheduler


class BoomError(Exception):
    """The exception of a failing callback."""


class Recorder:
    """Records the batches and the log lines of an event loop."""

    def __init__(self):
        self.batches = []
        self.log_lines = []

    def decide(self, _now_ms, events):
        """Record a batch, in place of the decision module."""
        self.batches.append(events)


class FakeFlushable:
    """Counts its flushes and delays."""

    def __init__(self):
        self.flushes = 0
        self.delays = 0

    def on_delayed(self):
        """Count a delay."""
        self.delays += 1

    def flush(self):
        """Count a flush."""
        self.flushes += 1


class FailingFlushable(FakeFlushable):
    """Raises an exception at each flush."""

    def flush(self):
        """Count a flush and fail."""
        super().flush()
        raise BoomError


@pytest.fixture
def recorder():
    return Recorder()


@pytest.fixture
def loop(recorder, exit_stack):
    loop = EventLoop(recorder.decide, recorder.log_lines.append)
    exit_stack.callback(loop.close)
    return loop


@pytest.fixture
def readable_socket(exit_stack):
    """Create sockets with one byte to read."""

    def make():
        read_end, write_end = socket.socketpair()
        exit_stack.callback(read_end.close)
        exit_stack.callback(write_end.close)
        write_end.send(b"x")
        return read_end

    return make


def test_events_of_a_turn_are_handed_over_in_one_batch(loop, recorder):
    loop.submit(TimerFired(1))
    loop.submit(TimerFired(2))

    loop.run_once(0)

    assert recorder.batches == [[TimerFired(1), TimerFired(2)]]


def test_event_submitted_by_a_batch_is_in_the_next_one(recorder, exit_stack):
    def decide(now_ms, events):
        recorder.decide(now_ms, events)
        if events == [TimerFired(1)]:
            loop.submit(TimerFired(2))

    loop = EventLoop(decide, recorder.log_lines.append)
    exit_stack.callback(loop.close)
    loop.submit(TimerFired(1))

    loop.run_once(0)
    batches_after_first_turn = list(recorder.batches)
    loop.run_once()

    assert batches_after_first_turn == [[TimerFired(1)]]
    assert recorder.batches == [[TimerFired(1)], [TimerFired(2)]]


def test_flushable_is_flushed_once_per_turn(loop):
    flushable = FakeFlushable()
    loop.flush_later(flushable)
    loop.flush_later(flushable)

    loop.run_once(0)
    loop.run_once(0)

    assert flushable.flushes == 1


def test_exception_in_a_socket_callback_does_not_affect_other_callbacks(loop, recorder, readable_socket):
    called = []

    def fail(_mask):
        called.append("fail")
        raise BoomError

    loop.register(readable_socket(), READ, fail)
    loop.register(readable_socket(), READ, lambda _mask: called.append("other"))

    loop.run_once(0)

    assert sorted(called) == ["fail", "other"]
    [line] = recorder.log_lines
    assert "BoomError" in line
    assert "\n" not in line


def test_exception_in_a_flush_does_not_affect_other_flushes(loop, recorder):
    flushables = [FailingFlushable(), FakeFlushable()]
    for flushable in flushables:
        loop.flush_later(flushable)

    loop.run_once(0)

    assert [flushable.flushes for flushable in flushables] == [1, 1]
    assert ["BoomError" in line for line in recorder.log_lines] == [True]


def test_exception_in_a_timer_is_logged(loop, recorder):
    loop.timers.call_later(0.0, lambda: 1 / 0)

    while not recorder.log_lines:
        loop.run_once()

    assert "ZeroDivisionError" in recorder.log_lines[0]


def test_socket_that_an_earlier_callback_unregistered_is_not_called(loop, readable_socket):
    called = []
    socks = [readable_socket(), readable_socket()]

    def unregister_the_other(sock):
        called.append(sock)
        loop.unregister(socks[1 - socks.index(sock)])

    for sock in socks:
        loop.register(sock, READ, lambda _mask, sock=sock: unregister_the_other(sock))

    loop.run_once(0)

    assert len(called) == 1


def test_run_goes_on_until_the_loop_is_stopped(loop):
    turns = []

    def stop():
        turns.append(loop.turn_started_ms)
        loop.stop()

    loop.timers.call_later(1.0, stop)

    loop.run()

    assert len(turns) == 1


def test_slow_turn_is_logged(loop, recorder):
    with mock.patch.object(event_loop, "SLOW_TURN_MS", -1.0):
        loop.run_once(0)

    [line] = recorder.log_lines
    assert line.startswith("slow turn: ")


@pytest.mark.parametrize("is_pending", [False, True], ids=["while_serving", "while_starting"])
def test_signal_is_handled_in_a_turn(loop, exit_stack, is_pending):
    handled = []
    exit_stack.callback(signal.signal, signal.SIGUSR1, signal.getsignal(signal.SIGUSR1))
    if is_pending:
        exit_stack.callback(signal.pthread_sigmask, signal.SIG_SETMASK, signal.pthread_sigmask(0, []))
        signal.pthread_sigmask(signal.SIG_BLOCK, [signal.SIGUSR1])
        os.kill(os.getpid(), signal.SIGUSR1)
    loop.handle_signals({signal.SIGUSR1: lambda: handled.append(signal.SIGUSR1)})
    if not is_pending:
        os.kill(os.getpid(), signal.SIGUSR1)
    handled_before_turn = list(handled)

    loop.run_once()

    assert handled_before_turn == []
    assert handled == [signal.SIGUSR1]


def test_long_turn_polls_the_sockets_again_before_it_flushes(loop, readable_socket):
    flushable = FakeFlushable()
    flushes_at_read = []
    sock = readable_socket()

    def block_the_turn():
        loop.flush_later(flushable)
        loop.register(sock, READ, lambda _mask: flushes_at_read.append(flushable.flushes))
        time.sleep(2 * event_loop.MAX_POLL_AGE_MS / 1000)

    loop.timers.call_later(0.0, block_the_turn)
    time.sleep(0.01)
    loop.run_once(0)

    assert (flushes_at_read, flushable.delays, flushable.flushes) == ([0], 1, 1)


def test_interrupted_wait_is_followed_by_a_poll(loop, readable_socket):
    called = []
    loop.register(readable_socket(), READ, called.append)
    select = loop._selector.select

    def interrupted(timeout):
        """Return like a wait that SIGCONT interrupts (EINTR) until its timeout: no socket was examined."""
        return [] if timeout else select(timeout)

    with mock.patch.object(loop._selector, "select", interrupted):
        loop.run_once(0.01)

    assert called == [READ]


def test_poll_time_is_taken_before_the_system_call(loop):
    select = loop._selector.select
    polled_at_ms = []

    def stopped_on_return(timeout):
        """Return late, like an epoll_wait that SIGSTOP stops on its return: the result is outdated."""
        polled_at_ms.append(clock.monotonic_ms())
        ready = select(timeout)
        time.sleep(0.03)
        return ready

    with mock.patch.object(loop._selector, "select", stopped_on_return):
        loop.run_once(0.001)
    loop.run_once(0)

    assert loop.previous_poll_ms <= polled_at_ms[-1]


class FailingOnceSocket(socket.socket):
    """A socket whose first read fails for lack of memory."""

    has_failed = False

    def recv(self, *arguments):
        """Fail on the first call; read after that."""
        if not self.has_failed:
            self.has_failed = True
            raise OSError(errno.ENOMEM, "recv")
        return super().recv(*arguments)


def test_signal_is_handled_in_a_later_turn_after_a_transient_read_error(loop, recorder, exit_stack):
    exit_stack.callback(signal.signal, signal.SIGUSR1, signal.getsignal(signal.SIGUSR1))
    handled = []
    read_end, write_end = socket.socketpair()
    failing = FailingOnceSocket(fileno=read_end.detach())

    with mock.patch.object(event_loop.socket, "socketpair", return_value=(failing, write_end)):
        loop.handle_signals({signal.SIGUSR1: lambda: handled.append(True)})
    os.kill(os.getpid(), signal.SIGUSR1)
    for _ in range(3):
        loop.run_once(0.01)

    assert failing.has_failed
    assert handled == [True]
    assert recorder.log_lines == []


# --- exceptions in the loop's own code --------------------------------------------------------------


def raise_memory_error(*_arguments):
    raise MemoryError


# Guards against a process that ends by itself as the log line about an exception cannot be made.
def test_loop_survives_an_exception_while_it_logs_another_one(exit_stack):
    loop = EventLoop(raise_memory_error, raise_memory_error)
    exit_stack.callback(loop.close)
    loop.timers.call_later(0.0, raise_memory_error)
    loop.submit(object())

    loop.run_once(0.02)

    assert not loop.call_safely(raise_memory_error)


# Guards against a process that ends by itself when memory is short in the loop's own code.
def test_loop_continues_after_an_exception_of_its_own(loop, recorder):
    fired = []
    loop.timers.call_later(20.0, lambda: (fired.append("timer"), loop.stop()))

    with mock.patch.object(InputScheduler, "run_turn", side_effect=[MemoryError, KeyError, *[0] * 1_000]):
        loop.run()

    assert fired == ["timer"]
    assert len([line for line in recorder.log_lines if "unhandled exception in a turn" in line]) == 2
