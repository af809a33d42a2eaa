"""Rates of the requests that arrive at this router."""

import math
from collections import OrderedDict

from function_router.decisions.events import RequestArrived, RequestCancelled
from function_router.decisions.settings import Settings

# Window of the arrival rate, unless the rate limit on start orders defines a window.
ARRIVAL_WINDOW_MS = 5_000.0

# A start order that is sent more than this time after its decision is checked against the rate limit again.
# The arrival window is shorter by the same time, so that no order relies on arrivals that have left the rate
# limit's window when the order is sent.
MAX_START_ORDER_DELAY_MS = 20.0


# Maximum number of arrivals in the window, which bounds the memory. Above it, the oldest ones are dropped, so
# that the rate limit on starts allows fewer of them.
MAX_RECENT_ARRIVALS = 6_000


class Arrivals:
    """Recent and mean arrival rate.

    The recent rate counts a request and the client's retries of it once, and excludes cancelled requests.
    """

    def __init__(self, settings: Settings) -> None:
        window_ms = settings.start_order_window_ms or ARRIVAL_WINDOW_MS
        self._window_ms = max(MAX_START_ORDER_DELAY_MS, window_ms - MAX_START_ORDER_DELAY_MS)
        self.recent: OrderedDict[str, float] = OrderedDict()  # arrival times by the client's request id
        self.count = 0  # requests since the start, including clients' retries and cancelled requests
        self.observed_since_ms = math.inf  # time of the first event of any kind

    def record(self, event: RequestArrived, now_ms: float) -> None:
        """Count a request."""
        self.recent.setdefault(event.client_request_id or event.request_id, now_ms - event.age_ms)
        self.count += 1
        self.drop_old(now_ms)
        if len(self.recent) > MAX_RECENT_ARRIVALS:
            self.recent.popitem(last=False)

    def cancel(self, event: RequestCancelled) -> None:
        """Remove a cancelled request from the recent rate, as it must not raise the rate limit on starts."""
        self.recent.pop(event.client_request_id or event.request_id, None)

    def drop_old(self, now_ms: float) -> None:
        """Drop the arrivals that have left the window."""
        recent = self.recent
        while recent and next(iter(recent.values())) <= now_ms - self._window_ms:
            recent.popitem(last=False)

    def recent_rate(self, now_ms: float) -> float:
        """Return the arrivals per millisecond over the window."""
        self.drop_old(now_ms)
        return len(self.recent) / self._window_ms

    def mean_rate(self, now_ms: float) -> float:
        """Return the arrivals per millisecond since the start, averaged over at least the default window."""
        return self.count / max(ARRIVAL_WINDOW_MS, now_ms - self.observed_since_ms)
