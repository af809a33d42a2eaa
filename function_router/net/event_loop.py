"""The event loop: each turn reads the ready sockets, fires timers, handles a batch of events, then writes."""

import selectors
import socket
import traceback
from collections.abc import Callable
from typing import Protocol

from function_router.decisions.events import Event
from function_router.net.clock import Clock, monotonic_ms, unix_ms
from function_router.net.signal_wakeup import SignalWakeup
from function_router.net.timer_wheel import TimerWheel

# A turn that takes longer, counted from its last poll, is logged, as replies may miss their deadlines.
SLOW_TURN_MS = 80.0
# A turn that has taken longer polls the sockets again before it writes: the client of a request may have
# disconnected meanwhile, and an attempt must not start more than 100 ms after that.
MAX_POLL_AGE_MS = 40.0
# After a poll that took longer, it is too uncertain when the sockets were examined.
MAX_POLL_UNCERTAINTY_MS = 5.0
# Polls without a wait that follow such a poll, until one finds something; each may be interrupted as well.
MAX_CONFIRMING_POLLS = 2
# Innermost frames of an unhandled exception that are logged.
TRACEBACK_FRAMES = 3

READ = selectors.EVENT_READ
WRITE = selectors.EVENT_WRITE

ReadySockets = list[tuple[selectors.SelectorKey, int]]
"""What a poll has found: registered sockets, each with the mask of what it is ready for."""


class Flushable(Protocol):
    """Something that queues writes during a turn and writes them at its end."""

    def on_delayed(self) -> None:
        """What is queued is written later than intended, so that some of it may be obsolete."""

    def flush(self) -> None:
        """Write what is queued."""


class EventLoop:
    """Owns the selector, the timers and the events gathered for the next batch.

    Attributes:
        timers: The timer wheel, which each turn advances.
        clock: The decision module's clock.
        is_running: Whether `run` goes on after the current turn.
        turn_started_ms: When the current turn's poll returned, on the monotonic clock. Whatever happens in a
            turn counts as of then, even if the process stalls during the turn.
        turn_started_unix_ms: The same moment on the wall clock.
        previous_poll_ms: When the poll before the last one began, on the monotonic clock. What that poll did
            not report arrived later.
        wall_clock_step_ms: By how much the wall clock was set between the last two polls.
        poll_count: How often the sockets were polled since the start.
    """

    def __init__(self, decide: Callable[[float, list[Event]], None], log: Callable[[str], None]) -> None:
        """Create a loop without sockets.

        Args:
            decide: Called with the time on `clock` and all events of a turn.
            log: Called with the text of a line.
        """
        self.timers = TimerWheel()
        self.clock = Clock()
        self.is_running = True
        self.turn_started_ms = monotonic_ms()
        self.turn_started_unix_ms = unix_ms()
        self.previous_poll_ms = self.turn_started_ms
        self._last_poll_ms = self.turn_started_ms
        self.wall_clock_step_ms = 0.0
        self.poll_count = 0
        self._decide = decide
        self._log = log
        self._selector = selectors.DefaultSelector()
        self.timers.on_exception = self.report_exception
        self._pending_events: list[Event] = []
        self._to_flush: dict[Flushable, None] = {}  # an ordered set
        self._signals: SignalWakeup | None = None

    # --- sockets and events -------------------------------------------------------------------

    def register(self, sock: socket.socket, mask: int, ready: Callable[[int], None]) -> None:
        """Call `ready` with the mask of what a socket is ready for: READ, WRITE or both."""
        self._selector.register(sock, mask, ready)

    def modify(self, sock: socket.socket, mask: int, ready: Callable[[int], None]) -> None:
        """Change the mask or the callback of a registered socket."""
        self._selector.modify(sock, mask, ready)

    def unregister(self, sock: socket.socket) -> None:
        """Stop watching a socket; call it before the socket is closed."""
        self._selector.unregister(sock)

    def submit(self, event: Event) -> None:
        """Add an event to the next batch; an event submitted while a batch is handled is in the one after."""
        self._pending_events.append(event)

    def flush_later(self, flushable: Flushable) -> None:
        """Flush a flushable at the end of the turn, once however often this is called."""
        self._to_flush[flushable] = None

    # --- turns --------------------------------------------------------------------------------

    def run(self) -> None:
        """Run turns until `stop` is called."""
        while self.is_running:
            self.run_once()

    def stop(self) -> None:
        """Have `run` return at the end of the current turn."""
        self.is_running = False

    def run_once(self, max_wait_s: float | None = None) -> None:
        """Wait for a socket or a timer, `max_wait_s` at the longest, and run one turn."""
        ready = self._poll(self._wait_s(max_wait_s))
        self._run_turn(ready, self.clock.now_ms())
        took_ms = monotonic_ms() - self.turn_started_ms
        if took_ms > SLOW_TURN_MS:
            self._log(f"slow turn: {took_ms:.0f} ms for {len(ready)} sockets")

    def _poll(self, wait_s: float | None) -> ReadySockets:
        """Wait until a socket is ready, and record the time of the poll.

        The time of a poll is taken before its system call, as SIGSTOP may stop the process while the call
        returns. After a long wait that time would say little, so the sockets are then polled again without
        waiting, as they are after a poll that found nothing. That also covers a wait that SIGCONT
        interrupted, which may return without having examined the sockets.
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
        self._start_turn()
        return ready

    def _start_turn(self) -> None:
        """Count the turn as of now: read both clocks, and note by how much the wall clock was set since.

        A turn that polls a second time counts as of that poll from then on.
        """
        previous_offset_ms = self.turn_started_unix_ms - self.turn_started_ms
        self.turn_started_ms = monotonic_ms()
        self.turn_started_unix_ms = unix_ms()
        offset_ms = self.turn_started_unix_ms - self.turn_started_ms
        self.wall_clock_step_ms = offset_ms - previous_offset_ms
        self.clock.record_wall_clock_offset(offset_ms)

    def _wait_s(self, max_wait_s: float | None) -> float | None:
        """How long the next poll may wait for a socket; None where there is no limit."""
        if self._pending_events or self._to_flush:
            return 0.0
        until_timer_s = self.timers.seconds_until_next()
        if until_timer_s is None:
            return max_wait_s
        if max_wait_s is None:
            return until_timer_s
        return min(until_timer_s, max_wait_s)

    def _run_turn(self, ready: ReadySockets, now_ms: float) -> None:
        self._call_ready(ready)
        self.timers.advance(self.turn_started_ms)
        if self._pending_events:
            events = self._pending_events
            self._pending_events = []
            self.call_safely(self._decide, now_ms, events)
        if self._to_flush and monotonic_ms() - self.turn_started_ms > MAX_POLL_AGE_MS:
            self._poll_again()
        to_flush = self._to_flush
        self._to_flush = {}
        for flushable in to_flush:
            self.call_safely(flushable.flush)

    def _call_ready(self, ready: ReadySockets) -> None:
        for key, mask in ready:
            # An earlier callback of this turn may have closed the socket, whose descriptor may belong to
            # another one by now, or may have changed what it is watched for.
            current = self._selector.get_map().get(key.fd)
            if current is not None and current.fileobj is key.fileobj and mask & current.events:
                self.call_safely(current.data, mask & current.events)

    def _poll_again(self) -> None:
        """Read what has arrived during a long turn, then notify the parts with queued writes of the delay.

        A cancellation or a disconnect that is read here still takes back what was not written yet.
        """
        self._call_ready(self._poll(0.0))
        for flushable in list(self._to_flush):
            self.call_safely(flushable.on_delayed)

    # --- exceptions ---------------------------------------------------------------------------

    def call_safely(self, callback: Callable[..., None], *arguments: object) -> None:
        """Call a callback; an exception that it raises is logged and goes no further."""
        try:
            callback(*arguments)
        except Exception:  # noqa: BLE001 - an error in one callback must not end all other connections
            self.report_exception(getattr(callback, "__qualname__", "a callback"))

    def report_exception(self, where: str) -> None:
        """Log the exception that is being handled, as one line."""
        lines = traceback.format_exc(limit=-TRACEBACK_FRAMES)
        self._log(f"unhandled exception in {where}: " + lines.replace("\n", " | "))

    # --- signals and the end ------------------------------------------------------------------

    def handle_signals(self, handlers: dict[int, Callable[[], None]]) -> None:
        """Call the handlers of signals, which are given by signal number, in turns of the loop."""
        self._signals = SignalWakeup(handlers)
        self.register(self._signals.sock, READ, self._signals.on_readable)

    def close(self) -> None:
        """Close the selector and the sockets for signals; registered sockets are closed by their owners."""
        if self._signals:
            self._signals.close()
        self._selector.close()
