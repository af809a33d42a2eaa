"""The event loop of the router.

Each turn, which is one iteration of the loop, polls the sockets, calls the callbacks of those that are ready,
handles messages that were read, fires due timers, passes a batch of events to the decision module, and
flushes queued writes. The bytes that a turn reads and the messages that it handles are limited, so that it
stays short whatever the clients send.
"""

import contextlib
import selectors
import socket
import traceback
from collections.abc import Callable
from typing import Protocol

from function_router.decisions.events import Event
from function_router.net.clock import Clock, monotonic_ms, unix_ms
from function_router.net.input_scheduler import InputScheduler
from function_router.net.signal_wakeup import SignalWakeup
from function_router.net.timer_wheel import TimerWheel
from function_router.net.turn_times import TurnPart, TurnTimes

# A turn that takes longer than this after its first poll is logged, as answers may miss their deadlines.
SLOW_TURN_MS = 80.0
# Number of bytes that all connections together may read in one turn; each ready socket gets an equal share.
MAX_READ_BYTES_PER_TURN = 256 * 1024
# Minimum share of a connection, which holds the requests of a usual client.
MIN_READ_SHARE_BYTES = 4 * 1024
# A turn that takes longer than this after its poll polls the sockets again before it writes: the client of a
# request may have disconnected, and an attempt must not start more than 100 ms after a disconnect.
MAX_POLL_AGE_MS = 40.0
# If a poll takes longer than this, the time at which it examined the sockets is too uncertain.
MAX_POLL_UNCERTAINTY_MS = 5.0
# Maximum number of non-blocking polls after an uncertain or empty poll; they end with the first that finds a
# ready socket. There is more than one because each may be interrupted as well.
MAX_CONFIRMING_POLLS = 2
# Number of innermost stack frames of an unhandled exception that are logged.
TRACEBACK_FRAMES = 3

READ = selectors.EVENT_READ
WRITE = selectors.EVENT_WRITE

ReadySockets = list[tuple[selectors.SelectorKey, int]]
"""The result of a poll: the ready sockets, each with the mask of operations that it is ready for."""


class Flushable(Protocol):
    """An object that queues writes during a turn and sends them at its end."""

    def on_delayed(self) -> None:
        """Handle a delay of the queued writes, some of which may be obsolete by now."""

    def flush(self) -> None:
        """Send the queued writes."""


class EventLoop:
    """Owns the selector, the timers and the events for the next batch.

    Attributes:
        timers: The timer wheel, which each turn advances.
        input: Shares the messages that a turn handles among the clients.
        times: Measures the turns and their parts.
        clock: The decision module's clock.
        is_running: Whether `run` continues after the current turn.
        turn_started_ms: When the last poll returned, on the monotonic clock. Everything that the turn handles
            counts as of this time, even if the process stalls during the turn.
        turn_started_unix_ms: The same time on the wall clock.
        previous_poll_ms: When the poll before the last one began, on the monotonic clock. Data that this poll
            did not report arrived later.
        wall_clock_step_ms: By how much the wall clock was set between the last two polls.
        poll_count: Number of polls since the start.
        read_share_bytes: How many bytes each connection may read after the last poll.
    """

    def __init__(self, decide: Callable[[float, list[Event]], None], log: Callable[[str], None]) -> None:
        """Create a loop without sockets.

        Args:
            decide: Called with the time on `clock` and the events that were submitted since the last batch.
            log: Called with the text of each log line.
        """
        self.timers = TimerWheel()
        self.input = InputScheduler(self.report_exception)
        self.times = TurnTimes()
        self.clock = Clock()
        self.is_running = True
        self.turn_started_ms = monotonic_ms()
        self.turn_started_unix_ms = unix_ms()
        self.previous_poll_ms = self.turn_started_ms
        self._last_poll_ms = self.turn_started_ms
        self.wall_clock_step_ms = 0.0
        self.poll_count = 0
        self.read_share_bytes = MAX_READ_BYTES_PER_TURN
        self._decide = decide
        self._log = log
        self._selector = selectors.DefaultSelector()
        self.timers.on_exception = self.report_exception
        self._pending_events: list[Event] = []
        self._to_flush: dict[Flushable, None] = {}  # an ordered set
        self._signals: SignalWakeup | None = None

    # --- sockets and events -------------------------------------------------------------------

    def register(self, sock: socket.socket, mask: int, ready: Callable[[int], None]) -> None:
        """Watch a socket for the operations in `mask`, and call `ready` with those that it is ready for."""
        self._selector.register(sock, mask, ready)

    def modify(self, sock: socket.socket, mask: int, ready: Callable[[int], None]) -> None:
        """Change the mask and the callback of a registered socket."""
        self._selector.modify(sock, mask, ready)

    def unregister(self, sock: socket.socket) -> None:
        """Stop watching a socket; must be called before the socket is closed."""
        self._selector.unregister(sock)

    def submit(self, event: Event) -> None:
        """Add an event to the next batch; an event submitted during a batch goes to the one after it."""
        self._pending_events.append(event)

    def flush_later(self, flushable: Flushable) -> None:
        """Flush an object once at the end of the turn, even if this is called several times."""
        self._to_flush[flushable] = None

    # --- turns --------------------------------------------------------------------------------

    def run(self) -> None:
        """Run turns until `stop` is called; an exception in a turn ends that turn only."""
        while self.is_running:
            try:
                self.run_once()
            except Exception:  # noqa: BLE001 - the process must not end, as other connections depend on it
                self.report_exception("a turn")

    def stop(self) -> None:
        """Make `run` return at the end of the current turn."""
        self.is_running = False

    def run_once(self, max_wait_s: float | None = None) -> None:
        """Wait for a socket or a timer, for at most `max_wait_s`, and run one turn."""
        ready = self._poll(self._wait_s(max_wait_s))
        self.times.start_turn()
        self._run_turn(ready, self.clock.now_ms())
        turn = self.times.end_turn()
        if turn.took_ms > SLOW_TURN_MS:
            self.call_safely(self._log, f"slow turn: {turn.describe()}")

    def _poll(self, wait_s: float | None) -> ReadySockets:
        """Wait until a socket is ready or the wait is over, and record the time of the poll.

        The time of a poll is taken before its system call, as SIGSTOP may stop the process while the call
        returns. After a long wait, this time is too imprecise, so the sockets are polled again without
        waiting. The same is done after a poll that found nothing, as SIGCONT may interrupt a wait, which then
        returns without having examined the sockets.
        """
        polled_at_ms = monotonic_ms()
        ready = self._selector.select(wait_s)
        if not ready or monotonic_ms() - polled_at_ms > MAX_POLL_UNCERTAINTY_MS:
            for _ in range(MAX_CONFIRMING_POLLS):
                polled_at_ms = monotonic_ms()
                ready = self._selector.select(0.0)
                if ready:
                    break
        self.previous_poll_ms = self._last_poll_ms
        self._last_poll_ms = polled_at_ms
        self.poll_count += 1
        self.read_share_bytes = max(MIN_READ_SHARE_BYTES, MAX_READ_BYTES_PER_TURN // max(1, len(ready)))
        self._start_turn()
        return ready

    def _start_turn(self) -> None:
        """Set the turn's time from both clocks, and the step of the wall clock since the previous poll.

        This is called after each poll, so a second poll in a turn replaces the turn's time.
        """
        previous_offset_ms = self.turn_started_unix_ms - self.turn_started_ms
        self.turn_started_ms = monotonic_ms()
        self.turn_started_unix_ms = unix_ms()
        offset_ms = self.turn_started_unix_ms - self.turn_started_ms
        self.wall_clock_step_ms = offset_ms - previous_offset_ms
        self.clock.record_wall_clock_offset(offset_ms)

    def _wait_s(self, max_wait_s: float | None) -> float | None:
        """Return how long the next poll may wait for a socket; None without a limit."""
        if self._pending_events or self._to_flush or self.input.has_input():
            return 0.0
        until_timer_s = self.timers.seconds_until_next()
        if until_timer_s is None:
            return max_wait_s
        if max_wait_s is None:
            return until_timer_s
        return min(until_timer_s, max_wait_s)

    def _run_turn(self, ready: ReadySockets, now_ms: float) -> None:
        self._call_ready(ready)
        self.times.end_part(TurnPart.READ, len(ready))
        message_count = self.input.run_turn()
        self.times.end_part(TurnPart.MESSAGES, message_count)
        timer_count = self.timers.advance(self.turn_started_ms)
        self.times.end_part(TurnPart.TIMERS, timer_count)
        self._handle_pending_events(now_ms)
        if self._to_flush and monotonic_ms() - self.turn_started_ms > MAX_POLL_AGE_MS:
            self._poll_again()
        self._flush_all()

    def _handle_pending_events(self, now_ms: float) -> None:
        """Pass the events that were submitted since the previous batch to the decision module."""
        events = self._pending_events
        if events:
            self._pending_events = []
            self.call_safely(self._decide, now_ms, events)
            self.times.end_part(TurnPart.DECISIONS, len(events))

    def _flush_all(self) -> None:
        to_flush = self._to_flush
        self._to_flush = {}
        for flushable in to_flush:
            self.call_safely(flushable.flush)
        self.times.end_part(TurnPart.WRITE, len(to_flush))

    def _call_ready(self, ready: ReadySockets) -> None:
        for key, mask in ready:
            # An earlier callback of this turn may have changed the socket's mask, or may have closed the
            # socket, whose descriptor another socket may use by now.
            current = self._selector.get_map().get(key.fd)
            if current is not None and current.fileobj is key.fileobj and mask & current.events:
                self.call_safely(current.data, mask & current.events)

    def _poll_again(self) -> None:
        """Poll the sockets again after a long turn, then notify the objects with queued writes of the delay.

        A cancellation or disconnect that is read here still removes requests that are not written yet.
        """
        ready = self._poll(0.0)
        self._call_ready(ready)
        for flushable in list(self._to_flush):
            self.call_safely(flushable.on_delayed)
        self.times.end_part(TurnPart.SECOND_READ, len(ready))

    # --- exceptions ---------------------------------------------------------------------------

    def call_safely(self, callback: Callable[..., None], *arguments: object) -> bool:
        """Call a callback; log an exception that it raises instead of propagating it.

        Returns:
            Whether it has raised none.
        """
        try:
            callback(*arguments)
        except Exception:  # noqa: BLE001 - an error in one callback must not affect other connections
            self.report_exception(getattr(callback, "__qualname__", "a callback"))
            return False
        return True

    def report_exception(self, where: str) -> None:
        """Log the exception that is being handled, as one line that names its source.

        If that fails, for example for want of memory, the line is lost.
        """
        with contextlib.suppress(Exception):
            lines = traceback.format_exc(limit=-TRACEBACK_FRAMES)
            self._log(f"unhandled exception in {where}: " + lines.replace("\n", " | "))

    # --- signals and shutdown -----------------------------------------------------------------

    def handle_signals(self, handlers: dict[int, Callable[[], None]]) -> None:
        """Call a handler for each signal, given by signal number, from a turn of the loop."""
        self._signals = SignalWakeup(handlers)
        self.register(self._signals.sock, READ, self._signals.on_readable)

    def close(self) -> None:
        """Close the selector and the sockets for signals; the owners of registered sockets close those."""
        if self._signals:
            self._signals.close()
        self._selector.close()
