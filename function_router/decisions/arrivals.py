"""Arrivals of requests at this router, and their rates."""

import math
from collections import OrderedDict

from function_router.decisions.events import RequestArrived, RequestCancelled
from function_router.decisions.settings import Settings

# Window of the arrival rate, unless the rate limit of start orders sets one.
ARRIVAL_WINDOW_MS = 5_000.0

# A start order that is sent later than this after its decision is checked against its rate limit again. The
# window of arrivals is shorter by as much, so that an order never relies on arrivals that have left the
# window when it is sent.
MAX_START_ORDER_DELAY_MS = 20.0


class Arrivals:
    """Arrival rates.

    The recent one counts a request that its client retries once, and a cancelled request not at all.
    """

    def __init__(self, settings: Settings) -> None:
        window_ms = settings.start_order_window_ms or ARRIVAL_WINDOW_MS
        self._window_ms = max(MAX_START_ORDER_DELAY_MS, window_ms - MAX_START_ORDER_DELAY_MS)
        self.recent: OrderedDict[str, float] = OrderedDict()  # when each arrived, by client's id
        self.count = 0  # requests since the start, with clients' retries and cancelled ones
        self.observed_since_ms = math.inf  # time of the first event of any kind

    def record(self, event: RequestArrived, now_ms: float) -> None:
        """Count a request."""
        self.recent.setdefault(event.client_id or event.request_id, now_ms - event.age_ms)
        self.count += 1

    def cancel(self, event: RequestCancelled) -> None:
        """Uncount a cancelled request: it must not raise the rate limit of start orders."""
        self.recent.pop(event.client_id or event.request_id, None)

    def drop_old(self, now_ms: float) -> None:
        """Drop the arrivals that have left the window."""
        recent = self.recent
        while recent and next(iter(recent.values())) <= now_ms - self._window_ms:
            recent.popitem(last=False)

    def recent_rate(self, now_ms: float) -> float:
        """Arrivals a millisecond over the window."""
        self.drop_old(now_ms)
        return len(self.recent) / self._window_ms

    def mean_rate(self, now_ms: float) -> float:
        """Arrivals a millisecond since the start."""
        return self.count / max(ARRIVAL_WINDOW_MS, now_ms - self.observed_since_ms)
