"""Reports confirmations of the endpoint list to the decision module, and logs whether the list is current."""

import math
from collections.abc import Callable

from function_router.decisions.events import EndpointListConfirmed, EndpointListInterrupted
from function_router.decisions.router import Router
from function_router.net.endpoint_log_lateness import EndpointLogLateness
from function_router.net.event_loop import EventLoop
from function_router.net.heartbeat_timeline import HeartbeatTimeline
from function_router.net.start_times import StartTimes
from function_router.net.telemetry import WITHHELD, Telemetry

# How long the list has to be current until it is reported as current again.
MIN_CURRENT_MS = 1_500.0


class EndpointListStatus:
    """Reports confirmations of the endpoint list, and logs when it goes out of date or is current again."""

    def __init__(
        self,
        router: Router,
        loop: EventLoop,
        start_times: StartTimes,
        read_last_sequence: Callable[[], int],
        telemetry: Telemetry,
    ) -> None:
        """Create the status of a list that the log has not confirmed yet.

        Args:
            router: The decision module, which decides whether the list is current.
            loop: The event loop, to which events for the decision module are submitted.
            start_times: The converter of start times, which also has to know when the list was confirmed.
            read_last_sequence: Returns the sequence number of the last event that was applied.
            telemetry: Writes the log lines, and counts the requests that are withheld from workers.
        """
        self._router = router
        self._loop = loop
        self._start_times = start_times
        self._read_last_sequence = read_last_sequence
        self._log = telemetry.log
        self._lateness = EndpointLogLateness(lambda: telemetry.total(WITHHELD), telemetry.log)
        self._created_at_ms = loop.clock.now_ms()
        self._as_of_ms: float | None = None  # when the list was complete, as far as is known
        self._last_stale_ms = -math.inf  # when the list was last seen to be out of date
        self._is_reported_stale = False

    def on_heartbeat(self, timeline: HeartbeatTimeline) -> None:
        """Report a heartbeat of the log, whatever the number in it, with what is known of its send time."""
        self._lateness.record_heartbeat(timeline, self._loop.previous_poll_ms)

    def on_confirmed(self, sent_ms: float) -> None:
        """Report that all events have been received that the log had published when it sent its heartbeat.

        Args:
            sent_ms: When the heartbeat was sent, or an earlier time, on the monotonic clock.
        """
        clock = self._loop.clock
        as_of_ms = clock.from_monotonic_ms(sent_ms)
        if self._as_of_ms is not None:
            self._note_whether_stale()
        self._start_times.on_caught_up(as_of_ms)
        self._as_of_ms = as_of_ms
        arrived_ms = clock.from_monotonic_ms(self._loop.previous_poll_ms)
        self._loop.submit(EndpointListConfirmed(as_of_ms, arrived_ms))

    def on_interrupted(self) -> None:
        """Report that the router currently does not follow the log."""
        self._loop.submit(EndpointListInterrupted())

    def check(self) -> None:
        """Log whether the list has gone out of date, or has been current for some time, since the last check.

        Between two heartbeats that are late, the list may go out of date and become current each second.
        """
        now_ms = self._loop.clock.now_ms()
        self._note_whether_stale()
        is_stale = now_ms - self._last_stale_ms < MIN_CURRENT_MS
        if is_stale is self._is_reported_stale:
            return
        self._is_reported_stale = is_stale
        event = f"at event {self._read_last_sequence()}"
        if not is_stale:
            self._log(f"endpoint list is current again, {event}")
        elif self._as_of_ms is None:
            age_ms = now_ms - self._created_at_ms
            self._log(f"endpoint list is not confirmed yet: router started {age_ms:.0f} ms ago, {event}")
        else:
            age_ms = now_ms - self._as_of_ms
            self._log(f"endpoint list is out of date: last confirmed {age_ms:.0f} ms ago, {event}")

    def _note_whether_stale(self) -> None:
        now_ms = self._loop.clock.now_ms()
        if not self._router.is_endpoint_list_current(now_ms):
            self._last_stale_ms = now_ms
