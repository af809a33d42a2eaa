"""Log lines about an endpoint log whose heartbeats arrive late."""

from collections.abc import Callable

from function_router.net.heartbeat_timeline import HeartbeatTimeline

# A log whose heartbeats may be older than this when they arrive is reported as late. Deviations of its timer
# and of the router's turns are below that.
MIN_LATENESS_MS = 100.0
# How long all heartbeats have to be in time until the log is reported as in time again.
MIN_IN_TIME_MS = 3_000.0


class EndpointLogLateness:
    """Reports when the heartbeats of the endpoint log begin to be late, and when they are in time again."""

    def __init__(self, count_withheld: Callable[[], int], log: Callable[[str], None]) -> None:
        """Create a reporter for a log that counts as in time.

        Args:
            count_withheld: Returns how many requests were withheld from a worker since the start.
            log: Called with the text of a log line.
        """
        self._count_withheld = count_withheld
        self._log = log
        self._late_since_ms: float | None = None  # when the first late heartbeat arrived
        self._last_late_ms = 0.0
        self._max_lateness_ms = 0.0
        self._withheld_before = 0

    def record_heartbeat(self, timeline: HeartbeatTimeline, arrived_ms: float) -> None:
        """Log whether the log is late, or in time again, since the previous heartbeat.

        Args:
            timeline: What is known of the heartbeats of the connection.
            arrived_ms: When the last one arrived, or an earlier time: a heartbeat that was read late is not a
                late one.
        """
        if timeline.sent_ms is None:
            return
        lateness_ms = arrived_ms - timeline.sent_ms
        if lateness_ms >= MIN_LATENESS_MS:
            self._record_late(timeline, lateness_ms, arrived_ms)
        elif self._late_since_ms is not None and arrived_ms - self._last_late_ms >= MIN_IN_TIME_MS:
            self._report_in_time(arrived_ms - self._late_since_ms)
            self._late_since_ms = None

    def _report_in_time(self, duration_ms: float) -> None:
        withheld = self._count_withheld() - self._withheld_before
        self._log(
            f"endpoint log is in time again: was late for {duration_ms:.0f} ms, by up to "
            f"{self._max_lateness_ms:.0f} ms; {withheld} requests withheld"
        )

    def _record_late(self, timeline: HeartbeatTimeline, lateness_ms: float, arrived_ms: float) -> None:
        if self._late_since_ms is None:
            self._late_since_ms = arrived_ms
            self._max_lateness_ms = 0.0
            self._withheld_before = self._count_withheld()
            self._log(
                f"endpoint log is late: heartbeat {timeline.count} arrived "
                f"{arrived_ms - timeline.requested_ms:.0f} ms after the request and may be "
                f"{lateness_ms:.0f} ms old"
            )
        self._last_late_ms = arrived_ms
        self._max_lateness_ms = max(self._max_lateness_ms, lateness_ms)
