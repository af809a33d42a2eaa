"""The event loop: a turn takes all sockets that are ready, then timers, one batch of events, then writes."""

import selectors
import signal
import socket
import traceback
from collections.abc import Callable
from typing import Protocol

from function_router.decisions.events import Event
from function_router.net.clock import Clock, monotonic_ms, unix_ms
from function_router.net.timer_wheel import TimerWheel
from function_router.net.transient_errors import is_transient

SLOW_TURN_MS = 80.0  # a turn that takes longer is logged: it puts replies that are due at risk
# A turn that has taken longer looks at the sockets again before it writes: the client of a request may have
# left meanwhile, and an attempt must not begin more than 100 ms after that.
MAX_LOOK_AGE_MS = 40.0
# A call that took longer leaves too much open when it looked.
MAX_LOOK_UNCERTAINTY_MS = 5.0
# Looks without a wait, until one finds something; each of them may be interrupted, too.
MAX_CONFIRMATIONS = 2
MAX_SIGNALS_PER_READ = 64  # bytes of the wakeup socket, one a signal
TRACEBACK_FRAMES = 3  # innermost frames of an unhandled exception that are logged

READ = selectors.EVENT_READ
WRITE = selectors.EVENT_WRITE


class Flushable(Protocol):
    """Something that gathers writes during a turn and writes them out at its end."""

    def on_delayed(self) -> None:
        """What was gathered is written later than it was meant to be: some of it may be obsolete."""

    def flush(self) -> None:
        """Write out what was gathered."""


class EventLoop:
    """Owns the selector, the timers and the events gathered for the next batch.

    `turn_started_ms` (monotonic) and `turn_started_unix_ms` are the moment right after the current turn's
    look at the sockets; all that happens in a turn counts as of then, however long the process is held up in
    it. What the look before did not report came after `previous_look_ms`. `wall_clock_step_ms` is by how much
    the wall clock was set since then, and `look_count` counts the looks. `run` goes on while `running`.
    """

    def __init__(self, decide: Callable[[float, list[Event]], None], log: Callable[[str], None]) -> None:
        """Hand the events of a turn, with the time as of `clock`, to `decide` in one batch."""
        self.timers = TimerWheel()
        self.clock = Clock()
        self.running = True
        self.turn_started_ms = monotonic_ms()
        self.turn_started_unix_ms = unix_ms()
        self.previous_look_ms = self.turn_started_ms
        self._look_ms = self.turn_started_ms
        self.wall_clock_step_ms = 0.0
        self.look_count = 0
        self._decide = decide
        self._log = log
        self._selector = selectors.DefaultSelector()
        self.timers.on_exception = self.report_exception
        self._pending_events: list[Event] = []
        self._to_flush: dict[Flushable, None] = {}  # an ordered set
        self._wakeup_sockets: tuple[socket.socket, socket.socket] | None = None

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
        """Add an event to the next batch; one submitted while a batch is handled waits for the one after."""
        self._pending_events.append(event)

    def flush_later(self, part: Flushable) -> None:
        """Flush a part at the end of the turn, once however often it is asked for."""
        self._to_flush[part] = None

    # --- turns --------------------------------------------------------------------------------

    def run(self) -> None:
        """Run turns until `running` is False."""
        while self.running:
            self.run_once()

    def run_once(self, max_wait_s: float | None = None) -> None:
        """Run one turn, after a wait for the first socket or timer; `max_wait_s` bounds the wait."""
        ready = self._look(self._wait_s(max_wait_s))
        self._run_turn(ready, self.clock.now_ms())
        took_ms = monotonic_ms() - self.turn_started_ms
        if took_ms > SLOW_TURN_MS:
            self._log(f"slow turn: {took_ms:.0f} ms for {len(ready)} sockets")

    def _look(self, wait_s: float | None) -> list[tuple[selectors.SelectorKey, int]]:
        """Wait for a socket, and note when this look at them was.

        A look counts from before its call: SIGSTOP may come while the call returns. So a wait is followed by
        a look without one; also as a wait that SIGCONT interrupted may end without having looked.
        """
        looked_at_ms = monotonic_ms()
        ready = self._selector.select(wait_s)
        if not ready or monotonic_ms() - looked_at_ms > MAX_LOOK_UNCERTAINTY_MS:
            for _ in range(MAX_CONFIRMATIONS):
                looked_at_ms = monotonic_ms()
                ready = self._selector.select(0.0)
                if ready:
                    break
        self.previous_look_ms = self._look_ms
        self._look_ms = looked_at_ms
        previous_offset_ms = self.turn_started_unix_ms - self.turn_started_ms
        self.turn_started_ms = monotonic_ms()
        self.turn_started_unix_ms = unix_ms()
        offset_ms = self.turn_started_unix_ms - self.turn_started_ms
        self.wall_clock_step_ms = offset_ms - previous_offset_ms
        self.clock.note_wall_clock(offset_ms)
        self.look_count += 1
        return ready

    def _wait_s(self, max_wait_s: float | None) -> float | None:
        if self._pending_events or self._to_flush:
            return 0.0
        until_timer_s = self.timers.seconds_until_next()
        if until_timer_s is None:
            return max_wait_s
        if max_wait_s is None:
            return until_timer_s
        return min(until_timer_s, max_wait_s)

    def _run_turn(self, ready: list[tuple[selectors.SelectorKey, int]], now_ms: float) -> None:
        self._call_ready(ready)
        self.timers.advance(self.turn_started_ms)
        if self._pending_events:
            events = self._pending_events
            self._pending_events = []
            self.guard(self._decide, now_ms, events)
        if self._to_flush and monotonic_ms() - self.turn_started_ms > MAX_LOOK_AGE_MS:
            self._look_again()
        to_flush = self._to_flush
        self._to_flush = {}
        for part in to_flush:
            self.guard(part.flush)

    def _call_ready(self, ready: list[tuple[selectors.SelectorKey, int]]) -> None:
        for key, mask in ready:
            # An earlier callback of this turn may have closed the socket, whose number may be another one's
            # by now, or may have changed what it is watched for.
            current = self._selector.get_map().get(key.fd)
            if current is not None and current.fileobj is key.fileobj and mask & current.events:
                self.guard(current.data, mask & current.events)

    def _look_again(self) -> None:
        """Read what has come during a long turn, then notify what is to be written of the delay.

        A cancellation among it takes back what has not been written.
        """
        self._call_ready(self._look(0.0))
        for part in list(self._to_flush):
            self.guard(part.on_delayed)

    # --- exceptions ---------------------------------------------------------------------------

    def guard(self, callback: Callable[..., None], *arguments: object) -> None:
        """Call a callback; an exception of it is logged and goes no further."""
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
        """Call a handler for each signal, by its number, in a turn of the loop like any other callback.

        The signals write their numbers to a socket pair, which wakes the selector. A signal that was
        blocked and came during start-up is handled in the first turn.
        """
        near, far = socket.socketpair()
        near.setblocking(False)
        far.setblocking(False)
        self._wakeup_sockets = (near, far)
        signal.set_wakeup_fd(far.fileno(), warn_on_full_buffer=False)
        for number in handlers:
            signal.signal(number, lambda *_: None)
        signal.pthread_sigmask(signal.SIG_UNBLOCK, handlers)

        def on_signals(_mask: int) -> None:
            for number in _read_signals(near):
                handler = handlers.get(number)
                if handler:
                    handler()

        self.register(near, READ, on_signals)

    def close(self) -> None:
        """Release the selector and the signals' sockets. The owner of a registered socket closes it."""
        if self._wakeup_sockets:
            signal.set_wakeup_fd(-1)
            for sock in self._wakeup_sockets:
                sock.close()
        self._selector.close()


def _read_signals(sock: socket.socket) -> bytes:
    """The numbers of the signals that came; none where the read fails for a moment."""
    try:
        return sock.recv(MAX_SIGNALS_PER_READ)
    except OSError as error:
        if not is_transient(error):
            raise
        return b""
