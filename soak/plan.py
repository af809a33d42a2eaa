"""The plan of a run, drawn from a seed: the size of the cluster, and the time and targets of each fault.

The same seed and options give the same faults in every version, so that recorded seeds remain useful. Neither
the random draws nor their order may change. The loads are drawn from a random generator of their own.
"""

import random
from collections.abc import Sequence
from enum import StrEnum

from msgspec import Struct

WARM_UP_S = 3.0  # from the start of the traffic to the first injection
COOL_DOWN_S = 2.0  # without injections, at the end of the traffic
INJECTION_INTERVAL_S = 3.0
INJECTION_JITTER_S = 0.5  # maximum delay of a fault after the start of its injection
MAX_SIMULTANEOUS_FAULTS = 3  # per injection; faults of earlier injections may still be active
MIN_FAULT_DURATION_S = 1.0
MAX_FAULT_DURATION_S = 3.0
MAX_ROUTER_SHARE = 0.5  # maximum share of the routers that one fault hits
MAX_WORKER_SHARE = 0.34  # maximum share of the worker slots that one fault hits
MANY_CONNECTIONS_SHARE = 0.3  # share of the runs in which clients hold many connections
MANY_CONNECTIONS = 40  # minimum per router in such a run
MIN_LOAD_INTERVAL_S = 3.0  # from the start of a load to the next one
MAX_LOAD_INTERVAL_S = 7.0
MIN_FUNCTIONS = 8
MAX_FUNCTIONS = 24


class FaultKind(StrEnum):
    """The kinds of faults, which `soak/faults.py` implements; a plan depends on their order."""

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
    BULK_WITHDRAWALS = "bulk-withdrawals"
    OVERLOAD = "overload"
    NEW_FUNCTIONS = "new-functions"
    LARGE_REQUESTS = "large-requests"
    HALF_REQUESTS = "half-requests"
    RECONNECTS = "reconnects"
    REPEATED_IDS = "repeated-ids"
    ENDPOINT_LOGS_LATE = "endpoint-logs-late"
    ENDPOINT_LOG_JUMPS = "endpoint-log-jumps"


LOAD_KINDS = (FaultKind.BULK_WITHDRAWALS, FaultKind.OVERLOAD)
"""The kinds that are loads: they hit single routers, and are drawn separately from the other kinds."""
FLOOD_KINDS = (
    FaultKind.NEW_FUNCTIONS,
    FaultKind.LARGE_REQUESTS,
    FaultKind.HALF_REQUESTS,
    FaultKind.RECONNECTS,
    FaultKind.REPEATED_IDS,
)
"""The kinds of `soak/floods.py`, which hit single routers and are drawn separately from all others."""
SEPARATE_KINDS = (
    *LOAD_KINDS,
    *FLOOD_KINDS,
    FaultKind.ENDPOINT_LOGS_LATE,
    FaultKind.ENDPOINT_LOG_JUMPS,
)
"""The kinds that are drawn from random generators of their own, in addition to all others."""
MIN_LATE_LOGS_INTERVAL_S = 20.0  # from the start of a course of late lines to the next one
MAX_LATE_LOGS_INTERVAL_S = 40.0
MAX_JUMP_START_S = 1.0  # from the start of the traffic to that of the course of late lines of one log
MEMORY_LIMITS_MB = (32, 48, 64, 96, 192)
DESCRIPTOR_LIMITS = (256, 1024)  # with 256, the usual clients alone come near the limit on connections


class Fault(Struct, frozen=True):
    """A scheduled fault.

    Attributes:
        kind: The kind of the fault.
        start_s: Seconds from the start of the traffic to the start of the fault.
        duration_s: Duration of the fault; `soak/faults.py` states which kinds ignore or multiply it.
        routers: Numbers of the routers that a router fault hits.
        workers: Numbers of the worker slots that a worker fault or an outage of the endpoint logs hits.
        intensity: A number from 0 to 1, which each kind of fault interprets in its own way.
    """

    kind: FaultKind
    start_s: float
    duration_s: float
    routers: list[int]
    workers: list[int]
    intensity: float


class Plan(Struct, frozen=True):
    """The plan of a run.

    Attributes:
        seed: The seed that the plan was drawn from.
        router_count: Number of routers.
        worker_count: Number of worker slots.
        duration_s: Duration of the traffic.
        requests_per_s: Request rate of all clients together.
        function_count: Number of functions that clients call.
        faults: The faults without the loads, ordered by start time.
        loads: The loads and floods, ordered by start time.
        late_logs: The courses of late lines of all endpoint logs, ordered by start time.
        log_jumps: The course of late lines of one endpoint log, which begins with the traffic.
        memory_mb: The memory limit of each router.
        max_sockets: The limit on file descriptors of each router.
        connections_per_router: Minimum number of connections that clients open to each router in use.
        log_outage_s: Duration of an outage of all endpoint logs; if 0, a multiple of its fault's duration.
    """

    seed: int
    router_count: int
    worker_count: int
    duration_s: float
    requests_per_s: float
    function_count: int
    faults: list[Fault]
    connections_per_router: int
    log_outage_s: float = 0.0
    loads: list[Fault] = []
    late_logs: list[Fault] = []
    log_jumps: list[Fault] = []
    memory_mb: int = MEMORY_LIMITS_MB[-1]
    max_sockets: int = DESCRIPTOR_LIMITS[-1]

    @property
    def faults_and_loads(self) -> list[Fault]:
        """All faults and loads, ordered by start time."""
        faults = [*self.faults, *self.loads, *self.late_logs, *self.log_jumps]
        return sorted(faults, key=lambda fault: fault.start_s)


def draw_plan(
    seed: int,
    router_count: int,
    worker_count: int,
    *,
    duration_s: float,
    requests_per_s: float,
    kinds: Sequence[FaultKind],
) -> Plan:
    """Draw a plan that injects up to three faults of the given kinds together every few seconds.

    Loads among the kinds come in addition, one every few seconds.
    """
    rng = random.Random(seed)
    memory_mb, max_sockets = _draw_limits(seed)
    return Plan(
        seed=seed,
        router_count=router_count,
        worker_count=worker_count,
        duration_s=duration_s,
        requests_per_s=requests_per_s,
        faults=_draw_faults(rng, router_count, worker_count, duration_s, kinds),
        function_count=rng.randint(MIN_FUNCTIONS, MAX_FUNCTIONS),
        connections_per_router=MANY_CONNECTIONS if rng.random() < MANY_CONNECTIONS_SHARE else 1,
        loads=_draw_loads_and_floods(seed, router_count, worker_count, duration_s, kinds),
        late_logs=_draw_late_logs(seed, router_count, worker_count, duration_s, kinds),
        log_jumps=_draw_log_jumps(seed, router_count, worker_count, kinds),
        memory_mb=memory_mb,
        max_sockets=max_sockets,
    )


def _draw_limits(seed: int) -> tuple[int, int]:
    """Draw the memory limit and the descriptor limit of the routers."""
    rng = random.Random(f"limits of {seed}")
    return rng.choice(MEMORY_LIMITS_MB), rng.choice(DESCRIPTOR_LIMITS)


def _draw_faults(
    rng: random.Random, router_count: int, worker_count: int, duration_s: float, kinds: Sequence[FaultKind]
) -> list[Fault]:
    """Draw up to three faults together every few seconds, of the kinds that are not drawn separately."""
    kinds = [kind for kind in kinds if kind not in SEPARATE_KINDS]
    faults: list[Fault] = []
    injection_s = WARM_UP_S
    while kinds and injection_s < duration_s - COOL_DOWN_S:
        count = rng.randint(1, min(MAX_SIMULTANEOUS_FAULTS, len(kinds)))
        for kind in rng.sample(kinds, count):
            faults.append(_draw_fault(rng, kind, injection_s, router_count, worker_count))
        injection_s += INJECTION_INTERVAL_S
    return sorted(faults, key=lambda fault: fault.start_s)


def _draw_loads_and_floods(
    seed: int, router_count: int, worker_count: int, duration_s: float, kinds: Sequence[FaultKind]
) -> list[Fault]:
    """Draw loads and floods among the given kinds, separately, and order them by start time."""
    load_kinds = [kind for kind in kinds if kind in LOAD_KINDS]
    flood_kinds = [kind for kind in kinds if kind in FLOOD_KINDS]
    loads = _draw_loads(f"loads of {seed}", router_count, worker_count, duration_s, load_kinds)
    loads += _draw_loads(f"floods of {seed}", router_count, worker_count, duration_s, flood_kinds)
    return sorted(loads, key=lambda load: load.start_s)


def _draw_loads(
    seed: str, router_count: int, worker_count: int, duration_s: float, kinds: Sequence[FaultKind]
) -> list[Fault]:
    """Draw loads of the given kinds, one after the other."""
    rng = random.Random(seed)
    loads: list[Fault] = []
    start_s = WARM_UP_S
    while kinds and start_s < duration_s - COOL_DOWN_S:
        loads.append(_draw_fault(rng, rng.choice(kinds), start_s, router_count, worker_count))
        start_s += rng.uniform(MIN_LOAD_INTERVAL_S, MAX_LOAD_INTERVAL_S)
    return loads


def _draw_late_logs(
    seed: int, router_count: int, worker_count: int, duration_s: float, kinds: Sequence[FaultKind]
) -> list[Fault]:
    """Draw courses of late lines, if they are among the given kinds."""
    rng = random.Random(f"late logs of {seed}")
    kind = FaultKind.ENDPOINT_LOGS_LATE
    faults: list[Fault] = []
    start_s = WARM_UP_S + rng.uniform(0.0, MAX_LOAD_INTERVAL_S)
    while kind in kinds and start_s < duration_s - COOL_DOWN_S:
        faults.append(_draw_fault(rng, kind, start_s, router_count, worker_count))
        start_s += rng.uniform(MIN_LATE_LOGS_INTERVAL_S, MAX_LATE_LOGS_INTERVAL_S)
    return faults


def _draw_log_jumps(
    seed: int, router_count: int, worker_count: int, kinds: Sequence[FaultKind]
) -> list[Fault]:
    """Draw the course of late lines of one endpoint log, if it is among the given kinds."""
    kind = FaultKind.ENDPOINT_LOG_JUMPS
    if kind not in kinds:
        return []
    rng = random.Random(f"log jumps of {seed}")
    return [_draw_fault(rng, kind, rng.uniform(0.0, MAX_JUMP_START_S), router_count, worker_count)]


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
    """Draw at least one of `count` targets, and at most a share of them; return them sorted."""
    return sorted(rng.sample(range(count), rng.randint(1, max(1, int(max_share * count)))))
