"""How long after its publication a drain is known to its worker, or shown by the endpoint logs, in a run."""

import random
from dataclasses import dataclass
from typing import Self

MAX_WORKER_LAG_S = 1.4
MIN_LOG_LAG_S = 2.5
MAX_LOG_LAG_S = 8.8
LATE_LOG_SHARE = 0.5  # share of the runs in which the logs lag


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
    def draw(cls, rng: random.Random) -> Self:
        """Draw the lags of a run. Either the workers or the logs lag, as nothing else shows a drain."""
        if rng.random() < LATE_LOG_SHARE:
            return cls(0.0, rng.uniform(MIN_LOG_LAG_S, MAX_LOG_LAG_S))
        return cls(MAX_WORKER_LAG_S, 0.0)
