"""What happens in a run: sizes, settings and faults, all drawn from a seed."""

import random
from enum import StrEnum

from msgspec import Struct

WARM_UP_S = 3.0
COOL_DOWN_S = 2.0
INJECTION_INTERVAL_S = 3.0  # between the times at which faults are injected together
MAX_SIMULTANEOUS_FAULTS = 3  # that are injected together


class FaultKind(StrEnum):
    """The faults, each of which hits some routers, workers or all."""

    ROUTER_ROLL = "router-roll"
    ROUTER_KILL = "router-kill"
    ROUTER_PAUSE = "router-pause"
    RELOAD = "reload"
    LOG_READER_STALLS = "log-reader-stalls"
    WORKER_RESTART = "worker-restart"
    WORKER_REPLACE = "worker-replace"
    WORKER_HANG = "worker-hang"
    ENDPOINT_LOG_SILENT = "endpoint-log-silent"
    ENDPOINT_LOG_BREAKS = "endpoint-log-breaks"
    CONNECTIONS_RESET = "connections-reset"
    ANSWERS_SPOILED = "answers-spoiled"
    WORKER_REFUSES = "worker-refuses"
    CLOCK_STEP = "clock-step"
    CALLS_FAIL = "calls-fail"
    BURST = "burst"
    BAD_CLIENTS = "bad-clients"


class Fault(Struct, frozen=True):
    """One fault: when it begins, in seconds from the start of the traffic, and whom it hits."""

    kind: FaultKind
    start_s: float
    duration_s: float
    routers: list[int]
    workers: list[int]
    intensity: float  # from 0 to 1


class Plan(Struct, frozen=True):
    """A whole run."""

    seed: int
    router_count: int
    worker_count: int
    duration_s: float
    requests_per_s: float
    function_count: int
    faults: list[Fault]


def draw_plan(
    seed: int,
    *,
    router_count: int,
    worker_count: int,
    duration_s: float,
    requests_per_s: float,
    kinds: list[FaultKind],
) -> Plan:
    """Draw a run in which up to three faults begin together every few seconds."""
    rng = random.Random(seed)
    faults: list[Fault] = []
    injection_s = WARM_UP_S
    while kinds and injection_s < duration_s - COOL_DOWN_S:
        count = rng.randint(1, min(MAX_SIMULTANEOUS_FAULTS, len(kinds)))
        for kind in rng.sample(kinds, count):
            faults.append(
                Fault(
                    kind=kind,
                    start_s=injection_s + rng.uniform(0.0, 0.5),
                    duration_s=rng.uniform(1.0, INJECTION_INTERVAL_S),
                    routers=_draw_targets(rng, router_count),
                    workers=_draw_targets(rng, worker_count, largest_part=0.34),
                    intensity=rng.random(),
                )
            )
        injection_s += INJECTION_INTERVAL_S
    return Plan(
        seed=seed,
        router_count=router_count,
        worker_count=worker_count,
        duration_s=duration_s,
        requests_per_s=requests_per_s,
        function_count=rng.randint(8, 24),
        faults=sorted(faults, key=lambda fault: fault.start_s),
    )


def _draw_targets(rng: random.Random, count: int, largest_part: float = 0.5) -> list[int]:
    return sorted(rng.sample(range(count), rng.randint(1, max(1, int(largest_part * count)))))
