"""What happens in a run: sizes, settings and troubles, all drawn from a seed."""

import random
from enum import StrEnum

from msgspec import Struct

WARM_UP_S = 3.0
COOL_DOWN_S = 2.0
MOMENT_S = 3.0  # between the moments at which troubles begin together
MAX_TOGETHER = 3  # troubles that begin at one moment


class TroubleKind(StrEnum):
    """The troubles, each of which hits some routers, workers or all."""

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


class Trouble(Struct, frozen=True):
    """One trouble: when it begins, in seconds from the start of the traffic, and whom it hits."""

    kind: TroubleKind
    start_s: float
    length_s: float
    routers: list[int]
    workers: list[int]
    size: float  # from 0 to 1


class Plan(Struct, frozen=True):
    """A whole run."""

    seed: int
    router_count: int
    worker_count: int
    duration_s: float
    requests_per_s: float
    function_count: int
    troubles: list[Trouble]


def draw_plan(
    seed: int,
    *,
    router_count: int,
    worker_count: int,
    duration_s: float,
    requests_per_s: float,
    kinds: list[TroubleKind],
) -> Plan:
    """Draw a run in which up to three troubles begin together every few seconds."""
    chance = random.Random(seed)
    troubles: list[Trouble] = []
    moment_s = WARM_UP_S
    while kinds and moment_s < duration_s - COOL_DOWN_S:
        together = chance.randint(1, min(MAX_TOGETHER, len(kinds)))
        for kind in chance.sample(kinds, together):
            troubles.append(
                Trouble(
                    kind=kind,
                    start_s=moment_s + chance.uniform(0.0, 0.5),
                    length_s=chance.uniform(1.0, MOMENT_S),
                    routers=_some(chance, router_count),
                    workers=_some(chance, worker_count, largest_part=0.34),
                    size=chance.random(),
                )
            )
        moment_s += MOMENT_S
    return Plan(
        seed=seed,
        router_count=router_count,
        worker_count=worker_count,
        duration_s=duration_s,
        requests_per_s=requests_per_s,
        function_count=chance.randint(8, 24),
        troubles=sorted(troubles, key=lambda trouble: trouble.start_s),
    )


def _some(chance: random.Random, count: int, largest_part: float = 0.5) -> list[int]:
    return sorted(chance.sample(range(count), chance.randint(1, max(1, int(largest_part * count)))))
