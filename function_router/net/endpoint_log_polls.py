"""Requests for events on additional connections to the endpoint log, which are answered at once.

The first line of an answer shows what the log had when the request was sent, whatever the lines of other
connections do. Several requests may be under way, so that answers keep coming although each takes long.

If the first heartbeat comes long after a request, either the lines are late, or the log waits for so long. To
tell these apart, the last event is then requested once more, which the log sends at once.
"""

import math
from collections.abc import Iterator
from typing import Protocol

from function_router.decisions.endpoint_polling import PollSchedule
from function_router.decisions.list_lease import HEARTBEAT_INTERVAL_MS
from function_router.net.close_reason import CloseReason
from function_router.net.endpoint_log_connection import EndpointLogConnection
from function_router.net.heartbeat_timeline import MAX_FIRST_LINE_DELAY_MS, HeartbeatTimeline
from function_router.net.telemetry import ENDPOINT_LOG_REQUESTS, Telemetry

# Minimum interval between requests for a complete list that was received before.
REPEAT_LIST_INTERVAL_MS = 60_000.0
# Maximum wait for the first heartbeat. The lines of a log may be late by seconds, and the connection may have
# to replace one that is silent.
MAX_ANSWER_WAIT_MS = 10_000.0


class OpenConnection(Protocol):
    """Opens a connection on which the events are requested."""

    def __call__(self, *, repeats_event: bool) -> EndpointLogConnection | CloseReason:
        """Return the connection, or why connecting failed at once.

        Args:
            repeats_event: Whether the last event is requested once more.
        """


class EndpointLogPolls:
    """Owns the connections whose first heartbeat is awaited; the client owns the one that it follows.

    Attributes:
        next_poll_ms: The earliest time of the next request, on the monotonic clock.
    """

    def __init__(self, schedule: PollSchedule, open_connection: OpenConnection, telemetry: Telemetry) -> None:
        """Create an object without connections.

        Args:
            schedule: When to request the events.
            open_connection: Opens a connection on which the events are requested.
            telemetry: Counts the requests.
        """
        self.next_poll_ms = -math.inf
        self._schedule = schedule
        self._open_connection = open_connection
        self._telemetry = telemetry
        self._connections: list[EndpointLogConnection] = []  # in the order of their requests
        self._is_first_heartbeat_late = False  # whether that of the last answer was
        self._may_repeat_list_from_ms = -math.inf  # the earliest time of the next request for a known list

    def __iter__(self) -> Iterator[EndpointLogConnection]:
        """Iterate over the connections, in the order of their requests."""
        return iter(self._connections)

    def __contains__(self, connection: EndpointLogConnection) -> bool:
        """Return whether the first heartbeat of a connection is awaited."""
        return connection in self._connections

    def due_ms(self, followed: HeartbeatTimeline) -> float:
        """Return when to request the events, by the heartbeats of the connection that the client follows."""
        as_of_ms = followed.requested_ms if followed.sent_ms is None else followed.sent_ms
        return max(as_of_ms + self._schedule.after_ms, self.next_poll_ms)

    def poll(self, now_ms: float, followed: EndpointLogConnection, *, is_last_event_complete: bool) -> None:
        """Request the events, unless a line is to be waited for or too many requests are under way.

        Args:
            now_ms: The current time on the monotonic clock.
            followed: The connection that the client follows.
            is_last_event_complete: Whether the last event has a complete list, which may be large.
        """
        self.next_poll_ms = now_ms + self._schedule.interval_ms
        if self._schedule.waits_for_lines and followed.is_receiving_line(now_ms):
            return
        self._close_useless(now_ms, followed.timeline)
        if len(self._connections) >= self._schedule.max_open:
            return
        self._telemetry.count(ENDPOINT_LOG_REQUESTS)
        repeats_event = self._may_repeat_event(now_ms, is_last_event_complete=is_last_event_complete)
        connection = self._open_connection(repeats_event=repeats_event)
        if not isinstance(connection, CloseReason):
            self._connections.append(connection)

    def _may_repeat_event(self, now_ms: float, *, is_last_event_complete: bool) -> bool:
        """Return whether to request the last event once more, to learn whether lines are late."""
        if not self._is_first_heartbeat_late:
            return False
        if is_last_event_complete:
            if now_ms < self._may_repeat_list_from_ms:
                return False
            self._may_repeat_list_from_ms = now_ms + REPEAT_LIST_INTERVAL_MS
        return True

    def _close_useless(self, now_ms: float, followed: HeartbeatTimeline) -> None:
        """Close the connections whose answers take too long or can't be of use any more.

        If there is no room for another one, this includes those whose answers would be too old to renew the
        lease on the list, but for the first, which may have to replace a silent connection.
        """
        is_full = len(self._connections) >= self._schedule.max_open
        for number, connection in enumerate(list(self._connections)):
            timeline = connection.timeline
            is_outdated = followed.sent_ms is not None and followed.sent_ms >= timeline.next_due_ms
            max_wait_ms = HEARTBEAT_INTERVAL_MS if is_full and number else MAX_ANSWER_WAIT_MS
            if is_outdated or now_ms - timeline.requested_ms >= max_wait_ms:
                self.close(connection)

    def record_first_heartbeat(self, timeline: HeartbeatTimeline) -> None:
        """Record how long after its request the first heartbeat of a connection came."""
        if timeline.first_delay_ms is not None:
            self._is_first_heartbeat_late = timeline.first_delay_ms > MAX_FIRST_LINE_DELAY_MS

    def take(self, connection: EndpointLogConnection) -> None:
        """Hand over a connection, which the client follows from now on."""
        self._connections.remove(connection)

    def take_first(self) -> EndpointLogConnection | None:
        """Hand over the connection that has waited for its answer for longest; None if there is none."""
        return self._connections.pop(0) if self._connections else None

    def close(self, connection: EndpointLogConnection) -> None:
        """Close a connection whose answer is of no use, or that has ended."""
        self._connections.remove(connection)
        connection.close(CloseReason.IDLE)

    def close_all(self, reason: CloseReason) -> None:
        """Close all connections."""
        for connection in self._connections:
            connection.close(reason)
        self._connections = []
