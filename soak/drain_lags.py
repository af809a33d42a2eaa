"""How long after its publication a drain is known to its worker, or shown by the endpoint logs, in a run."""

import random
from dataclasses import dataclass
from typing import Self

MAX_WORKER_LAG_S = 0.45
MIN_LOG_LAG_S = 2.5
MAX_LOG_LAG_S = 8.8
LATE_LOG_SHARE = 0.5  # share of the runs with few routers in which the logs lag
# Maximum number of routers that have to notice a drain that the logs don't show. More routers may take a
# heartbeat with the number of the last event for the proof that the log has no later one.
MAX_ROUTERS_WITH_LATE_LOGS = 8


@dataclass(frozen=True, slots=True)
class DrainLags:
    """How long after its publication a drain is known in a run, in seconds.

    Attributes:
        max_worker_s: Maximum time for which a worker answers health checks as ready.
        log_s: How long neither events nor heartbeats of the endpoint logs show a change.
    """

    max_worker_s: float
    log_s: float

    @classmethod
    def draw(cls, rng: random.Random, router_count: int) -> Self:
        """Draw the lags of a run. Either the workers or the logs lag, as nothing else shows a drain."""
        if router_count <= MAX_ROUTERS_WITH_LATE_LOGS and rng.random() < LATE_LOG_SHARE:
            return cls(0.0, rng.uniform(MIN_LOG_LAG_S, MAX_LOG_LAG_S))
        return cls(MAX_WORKER_LAG_S, 0.0)
