"""The plan of a run, drawn from a seed: its sizes, and which faults are injected when and where.

The same seed and options give the same plan in every version, so that recorded seeds remain useful: neither
the draws nor their order may change.
"""

import random
from collections.abc import Sequence
from enum import StrEnum

from msgspec import Struct

WARM_UP_S = 3.0
COOL_DOWN_S = 2.0
INJECTION_INTERVAL_S = 3.0
INJECTION_JITTER_S = 0.5  # faults that are injected together start within this
MAX_SIMULTANEOUS_FAULTS = 3  # injected together; earlier ones may still last
MIN_FAULT_DURATION_S = 1.0
MAX_FAULT_DURATION_S = 3.0
MAX_ROUTER_SHARE = 0.5  # of all routers, as targets of one fault
MAX_WORKER_SHARE = 0.34
MANY_CONNECTIONS_SHARE = 0.3  # of the runs, in which clients hold many connections
MANY_CONNECTIONS = 40  # to each router
MIN_FUNCTIONS = 8
MAX_FUNCTIONS = 24


class FaultKind(StrEnum):
    """The kinds of faults; `soak/faults.py` implements them."""

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
    ENDPOINT_LOGS_OUT = "endpoint-logs-out"
    SIGNAL_SERIES = "signal-series"


class Fault(Struct, frozen=True):
    """One fault that is to be injected.

    Attributes:
        kind: what happens.
        start_s: when it begins, in seconds from the start of the traffic.
        duration_s: for how long a fault lasts that doesn't end by itself.
        routers: the routers that a fault of routers hits.
        workers: the worker slots that a fault of workers hits.
        intensity: from 0 to 1; what it means is the fault's own.
    """

    kind: FaultKind
    start_s: float
    duration_s: float
    routers: list[int]
    workers: list[int]
    intensity: float


class Plan(Struct, frozen=True):
    """A whole run; `duration_s` is the length of the traffic, `faults` are in the order of their starts.

    A long outage of the endpoint logs lasts for `log_outage_s` or, where that is 0, for several times the
    duration of its fault.
    """

    seed: int
    router_count: int
    worker_count: int
    duration_s: float
    requests_per_s: float
    function_count: int
    faults: list[Fault]
    connections_per_router: int  # that clients open at least, where a router gets requests
    log_outage_s: float = 0.0


def draw_plan(
    seed: int,
    router_count: int,
    worker_count: int,
    *,
    duration_s: float,
    requests_per_s: float,
    kinds: Sequence[FaultKind],
) -> Plan:
    """Draw a run in which up to three faults of these kinds are injected together every few seconds."""
    rng = random.Random(seed)
    faults: list[Fault] = []
    injection_s = WARM_UP_S
    while kinds and injection_s < duration_s - COOL_DOWN_S:
        count = rng.randint(1, min(MAX_SIMULTANEOUS_FAULTS, len(kinds)))
        for kind in rng.sample(kinds, count):
            faults.append(_draw_fault(rng, kind, injection_s, router_count, worker_count))
        injection_s += INJECTION_INTERVAL_S
    return Plan(
        seed=seed,
        router_count=router_count,
        worker_count=worker_count,
        duration_s=duration_s,
        requests_per_s=requests_per_s,
        function_count=rng.randint(MIN_FUNCTIONS, MAX_FUNCTIONS),
        faults=sorted(faults, key=lambda fault: fault.start_s),
        connections_per_router=MANY_CONNECTIONS if rng.random() < MANY_CONNECTIONS_SHARE else 1,
    )


def _draw_fault(
    rng: random.Random, kind: FaultKind, injection_s: float, router_count: int, worker_count: int
) -> Fault:
    return Fault(
        kind=kind,
        start_s=injection_s + rng.uniform(0.0, INJECTION_JITTER_S),
        duration_s=rng.uniform(MIN_FAULT_DURATION_S, MAX_FAULT_DURATION_S),
        routers=_draw_targets(rng, router_count, MAX_ROUTER_SHARE),
        workers=_draw_targets(rng, worker_count, MAX_WORKER_SHARE),
        intensity=rng.random(),
    )


def _draw_targets(rng: random.Random, count: int, max_share: float) -> list[int]:
    """Draw at least one of `count` targets, and at most a share of them; sorted."""
    return sorted(rng.sample(range(count), rng.randint(1, max(1, int(max_share * count)))))
