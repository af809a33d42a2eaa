"""The change log: the numbered events of the list of scorers, read over one connection that is kept up."""

from collections.abc import Callable
from typing import Any

import msgspec

from function_router.config import Address, ConfigurationError, EndpointList, parse_endpoint_list
from function_router.net.clock import monotonic_ms
from function_router.net.close_reason import CloseReason
from function_router.net.connection import Connection
from function_router.net.event_loop import EventLoop
from function_router.net.log import RateLimitedLog
from function_router.net.timer_wheel import Timer

SILENCE_MS = 2_000.0  # it says its last number each second; what it holds back counts as told after 4 s
PAUSE_MS = 200.0  # before the next dial; what a broken one would have told counts as told after 2 s
MAX_PAUSE_MS = 1_000.0  # it doubles up to this where a log answers, but with nothing of use
DIAL_MS = 1_000.0
MAX_LINE_BYTES = 4 * 1024 * 1024  # a complete list of some ten thousand scorers


def _is_number(value: Any) -> bool:
    return isinstance(value, int) and not isinstance(value, bool) and value >= 0


def _number_of(event: Any) -> int | None:
    seq = event.get("seq") if isinstance(event, dict) else None
    return seq if _is_number(seq) else None


def _is_complete(event: dict[str, Any]) -> bool:
    fleet = event.get("fleet")
    return isinstance(fleet, dict) and fleet.get("complete") is True and bool(fleet.get("members"))


class EndpointWatch:
    """Follows the log: each event is told once and in order; what is missing or bad is asked for again."""

    def __init__(
        self,
        loop: EventLoop,
        address: Address,
        seq: int,
        told: Callable[[EndpointList], None],
        log: RateLimitedLog,
    ) -> None:
        self.last_sequence = seq  # of the last event that was told
        self._loop, self._address, self._told, self._log = loop, address, told, log
        self._connection: Connection | None = None
        self._planned: Timer | None = None
        self._line_ms = self._asked_ms = monotonic_ms()  # when the last whole line came; the last dial
        self._pause_ms = PAUSE_MS
        self._unread = b""  # the line that is not whole yet
        self._passed = 0  # up to this number, what is missing was asked for in vain: all that comes is taken
        self._stumbled_at: int | None = None  # a line of no use came here, and was asked for again
        self._missed_at: int | None = None  # more was said to be there than came, and was asked for again
        self._leapt_from: int | None = None  # a complete list came past a gap, its number not borne out yet

    # --- the connection -------------------------------------------------------------------------

    def connect(self) -> None:
        self._planned, self._unread = None, b""
        self._line_ms = self._asked_ms = monotonic_ms()
        made = Connection.connect(self._loop, self._address, self, DIAL_MS)
        if isinstance(made, CloseReason):
            self._connect_later()
        else:
            self._connection = made

    def _connect_later(self, pause_ms: float = PAUSE_MS) -> None:
        self._planned = self._loop.timers.call_later(pause_ms, self.connect)

    def _drop(self, end: CloseReason) -> None:
        """End what there is, without the next dial that a broken connection brings."""
        if self._planned:
            self._planned.cancel()
            self._planned = None
        connection, self._connection = self._connection, None
        if connection:
            connection.close(end)

    def _ask_again(self, why: str) -> None:
        self._log(f"change log: {why}; asked again from {self.last_sequence}")
        self._drop(CloseReason.PROTOCOL_ERROR)
        if monotonic_ms() - self._asked_ms >= self._pause_ms:
            self.connect()
        else:  # a log that says nothing else brings no busy loop
            self._connect_later(self._pause_ms)
            self._pause_ms = min(MAX_PAUSE_MS, 2 * self._pause_ms)

    def move_to(self, address: Address) -> None:
        """Go on at another address, with the same numbers."""
        self._address, self._pause_ms = address, PAUSE_MS
        self._stumbled_at = self._missed_at = None
        self._drop(CloseReason.ENDPOINT_REPLACED)
        self.connect()

    def check_timeouts(self) -> None:
        """Guards against a log that stops and stays open: a whole line is due each second."""
        up = self._connection is not None and self._connection.is_connected
        if up and monotonic_ms() - self._line_ms > SILENCE_MS:
            self._ask_again("silent")

    def close(self) -> None:
        self._drop(CloseReason.SHUTDOWN)

    # --- from the connection --------------------------------------------------------------------

    def on_connected(self) -> None:
        self._line_ms = monotonic_ms()
        self._connection.write(b"since %d\n" % self.last_sequence)

    def on_flushed(self) -> None:
        pass

    def on_writable(self) -> None:
        pass

    def on_closed(self, end: CloseReason) -> None:
        if self._connection is None:  # ended here
            return
        self._connection = None
        self._log(f"change log: {end.name}; dialled again from {self.last_sequence}")
        self._connect_later()

    def on_data(self, data: bytes) -> None:
        *lines, self._unread = (self._unread + data).split(b"\n")
        connection = self._connection
        for line in lines:
            self._line_ms = monotonic_ms()
            self._take(line)
            if self._connection is not connection:  # asked anew: the rest will come again
                return
        if len(self._unread) > MAX_LINE_BYTES:
            connection.close(CloseReason.PROTOCOL_ERROR)

    # --- the lines ------------------------------------------------------------------------------

    def _take(self, line: bytes) -> None:
        try:
            read = msgspec.json.decode(line)
        except (msgspec.DecodeError, RecursionError):
            read = None
        if _is_number(read):
            self._last_is(read)
        elif not self.apply_event(read):
            self._stumble(read, line)

    def _last_is(self, seq: int) -> None:
        self._pause_ms = PAUSE_MS
        if self._leapt_from is not None and seq < self.last_sequence:
            self.last_sequence, self._passed, self._leapt_from = self._leapt_from, 0, None
            self._ask_again(f"it stands at {seq}, before the complete list that it told")
        elif seq > self._reached():
            if self._missed_at != self.last_sequence or monotonic_ms() - self._asked_ms > SILENCE_MS:
                self._missed_at = self.last_sequence
                self._ask_again(f"it stands at {seq}")
        else:  # what was passed over beyond its last number was no event
            self._passed, self._stumbled_at, self._leapt_from = seq, None, None

    def _reached(self) -> int:
        return max(self.last_sequence, self._passed)

    def _stumble(self, event: Any, line: bytes) -> None:
        """A line of no use: ask once whether it comes better, then pass over what was due.
        Guards the events behind it, which one bad line must not keep away for good."""
        if self._stumbled_at != self._reached():
            self._stumbled_at = self._reached()
            self._ask_again(f"not the next event: {line[:80]!r}")
            return
        self._stumbled_at = None
        seq = _number_of(event)
        if seq is not None and seq > self._reached() and self._tell(event):
            self._passed = seq  # but what may still come from before it is taken too
        else:
            self._passed = self._reached() + 1
        self._log(f"change log: passed over up to {self._passed}")

    def apply_event(self, event: Any, of_start: bool = False) -> bool:
        """Take an event in; False where it is none, or not the next. Those of the start may leave gaps, and
        a complete list stands for all that came before it."""
        seq = _number_of(event)
        if seq is None:
            return False
        if seq <= self.last_sequence:  # told before
            return True
        gap = seq > self._reached() + 1 and not of_start
        if (gap and not _is_complete(event)) or not self._tell(event):
            return False
        self._leapt_from = self.last_sequence if gap else self._leapt_from
        self.last_sequence, self._stumbled_at, self._pause_ms = seq, None, PAUSE_MS
        return True

    def _tell(self, event: dict[str, Any]) -> bool:
        try:
            if "fleet" in event:
                self._told(parse_endpoint_list(event["fleet"]))
        except ConfigurationError:
            return False
        return True
