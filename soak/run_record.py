"""What a run records about its processes: when they started and ended, and why.

All times are seconds of the machine's monotonic clock.
"""

from dataclasses import dataclass, field

from soak.plan import Plan
from soak.run_folder import RunFolder


@dataclass
class RouterIncarnation:
    """One process of a router, from start to end; a time is None if that didn't happen."""

    router: int
    started_at: float
    ready_at: float | None = None
    sigterm_at: float | None = None  # SIGTERM was sent
    killed_at: float | None = None  # by a planned SIGKILL
    forced_kill_at: float | None = None  # by a SIGKILL, as it had not ended by itself after SIGTERM
    exited_at: float | None = None
    exit_code: int | None = None


@dataclass
class WorkerIncarnation:
    """One process of a worker slot.

    Attributes:
        worker: the worker slot.
        name: the worker's name in the endpoint events.
        started_at: when it began to listen.
        is_in_slow_start: whether it started during the run, so that routers owe it a slow start.
        ready_notified_at: by router, from when on the router counts as notified that it is READY.
        drain_notified_at: the same for its drain; empty if it was not drained.
    """

    worker: int
    name: str
    started_at: float
    is_in_slow_start: bool = field(kw_only=True)
    ready_notified_at: dict[int, float] = field(default_factory=dict)
    drain_notified_at: dict[int, float] = field(default_factory=dict)


@dataclass(frozen=True)
class LogOutage:
    """A time in which the endpoint logs of all routers were out of reach."""

    failure: str
    began_at: float
    ended_at: float


@dataclass(frozen=True)
class RunRecord:
    """The input of the checker, along with the records in the folder.

    Attributes:
        plan: what was to happen.
        folder: has the observations of clients and proxy, and the logs.
        router_incarnations: in the order of routers, and of the starts of each.
        worker_incarnations: in the order of their starts.
        log_outages: in the order of their ends.
    """

    plan: Plan
    folder: RunFolder
    router_incarnations: list[RouterIncarnation]
    worker_incarnations: list[WorkerIncarnation]
    log_outages: list[LogOutage] = field(default_factory=list)
