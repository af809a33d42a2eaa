"""How often a router requests the events of the endpoint log, besides following its connection.

The answer to a request shows that the list was complete when the request was sent, whatever the heartbeats on
the open connection do. The answers renew the lease on the list (`list_lease`) while the heartbeats are late,
and they have events that the open connection does not show.
"""

from msgspec import Struct

from function_router.decisions.list_lease import HEARTBEAT_INTERVAL_MS

# Minimum interval of the requests of one router. Several of them fit into a lease on the list, so that the
# lease is renewed in time although each answer takes some tenths of a second.
MIN_POLL_INTERVAL_MS = 250.0

# Age of the list from which a router requests the events, if the fleet is so small that all its routers may
# do so all the time.
MAX_UNCONFIRMED_MS = 400.0

# Maximum rate of the requests of all routers together while heartbeats are in time. A larger fleet requests
# events only while a heartbeat is overdue.
MAX_REGULAR_POLLS_PER_S = 60.0

# The same while heartbeats are overdue, so that a large fleet does not overload a log that is late.
MAX_OVERDUE_POLLS_PER_S = 400.0

# Maximum number of requests of a router of a small fleet that wait for their answers.
MAX_OPEN_POLLS = 4

# How long a heartbeat is overdue when a router of a large fleet requests the events. An answer that comes
# within a few milliseconds still renews the lease on the list before its end.
OVERDUE_MS = 20.0


class PollSchedule(Struct, frozen=True):
    """When a router requests the events of the endpoint log.

    Attributes:
        after_ms: The age of the list from which the events are requested.
        interval_ms: The minimum time between two requests.
        max_open: The maximum number of requests that wait for their answers.
        waits_for_lines: Whether no request is sent while a line is still arriving, such as a large list.
    """

    after_ms: float
    interval_ms: float
    max_open: int
    waits_for_lines: bool


def make_poll_schedule(router_count: int) -> PollSchedule:
    """Return the schedule of each router in a fleet of this size."""
    regular_polls_per_s = 1_000.0 * router_count / MAX_UNCONFIRMED_MS
    if regular_polls_per_s <= MAX_REGULAR_POLLS_PER_S:
        return PollSchedule(
            after_ms=MAX_UNCONFIRMED_MS,
            interval_ms=MIN_POLL_INTERVAL_MS,
            max_open=MAX_OPEN_POLLS,
            waits_for_lines=False,
        )
    return PollSchedule(
        after_ms=HEARTBEAT_INTERVAL_MS + OVERDUE_MS,
        interval_ms=max(MIN_POLL_INTERVAL_MS, 1_000.0 * router_count / MAX_OVERDUE_POLLS_PER_S),
        max_open=1,
        waits_for_lines=True,
    )
