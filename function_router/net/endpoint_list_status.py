"""Reports confirmations of the endpoint list to the decision module, and logs whether the list is current."""

from collections.abc import Callable

from function_router.decisions.events import EndpointListConfirmed, EndpointListInterrupted
from function_router.decisions.router import Router
from function_router.net.endpoint_log_lateness import EndpointLogLateness
from function_router.net.event_loop import EventLoop
from function_router.net.heartbeat_timeline import HeartbeatTimeline
from function_router.net.start_times import StartTimes
from function_router.net.telemetry import WITHHELD, Telemetry


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
        self._lateness = EndpointLogLateness(lambda: telemetry.totals[WITHHELD], telemetry.log)
        self._created_at_ms = loop.clock.now_ms()
        self._confirmed_at_ms: float | None = None
        self._is_stale = False

    def on_heartbeat(self, timeline: HeartbeatTimeline) -> None:
        """Report a heartbeat of the log, whatever the number in it, with what is known of its send time."""
        self._lateness.record_heartbeat(timeline, self._loop.previous_poll_ms)

    def on_confirmed(self) -> None:
        """Report that all events of the log have been received.

        The announcement arrived after the poll before the last one, but perhaps long before the last poll, as
        the process may have been suspended in between. The list therefore counts as confirmed as of the
        earlier poll.
        """
        self._start_times.on_caught_up()
        confirmed_at_ms = self._loop.clock.from_monotonic_ms(self._loop.previous_poll_ms)
        self._confirmed_at_ms = confirmed_at_ms
        self._loop.submit(EndpointListConfirmed(confirmed_at_ms))

    def on_interrupted(self) -> None:
        """Report that the router currently does not follow the log."""
        self._loop.submit(EndpointListInterrupted())

    def check(self) -> None:
        """Log whether the list has gone out of date, or is current, since the last check."""
        now_ms = self._loop.clock.now_ms()
        is_stale = not self._router.is_endpoint_list_current(now_ms)
        if is_stale is self._is_stale:
            return
        self._is_stale = is_stale
        event = f"at event {self._read_last_sequence()}"
        if not is_stale:
            self._log(f"endpoint list is current again, {event}")
        elif self._confirmed_at_ms is None:
            age_ms = now_ms - self._created_at_ms
            self._log(f"endpoint list is not confirmed yet: router started {age_ms:.0f} ms ago, {event}")
        else:
            age_ms = now_ms - self._confirmed_at_ms
            self._log(f"endpoint list is out of date: last confirmed {age_ms:.0f} ms ago, {event}")
