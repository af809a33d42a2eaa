"""The record of the processes of a run: when they started and ended, and why.

All times are seconds of the machine's monotonic clock.
"""

from dataclasses import dataclass, field

from soak.plan import Plan
from soak.run_folder import RunFolder


@dataclass
class RouterIncarnation:
    """One process of a router, from start to exit.

    Attributes:
        router: The number of the router.
        started_at: When the process was started.
        ready_at: When the router first answered a status request, or None.
        sigterm_at: When SIGTERM was sent, or None.
        killed_at: When a planned SIGKILL was sent, or None.
        forced_kill_at: When SIGKILL was sent to a process that had not exited in time after SIGTERM, or None.
        exited_at: When the exit was noticed, or None while the process runs.
        exit_code: The exit code, or the negative number of the signal that ended the process.
        peak_memory_mb: The maximum of its resident memory until it was terminated or killed, or None.
    """

    router: int
    started_at: float
    ready_at: float | None = None
    sigterm_at: float | None = None
    killed_at: float | None = None
    forced_kill_at: float | None = None
    exited_at: float | None = None
    exit_code: int | None = None
    peak_memory_mb: float | None = None


@dataclass
class WorkerIncarnation:
    """One process of a worker slot.

    Attributes:
        worker: The number of the worker slot.
        name: The worker's name in the endpoint events.
        started_at: When the process began to listen.
        is_in_slow_start: Whether it started during the run, so that routers have to give it a slow start.
        cell: The cell whose workers share the idempotency keys of this one.
        ready_notified_at: By router, the time from which it counts as notified that the worker is READY.
        ready_published_at: When the endpoint logs were given that the worker is READY, or None. A router may
            learn it from then on.
        drain_notified_at: By router, the time from which it counts as notified of the worker's drain; empty
            if the worker was not drained.
    """

    worker: int
    name: str
    started_at: float
    is_in_slow_start: bool = field(kw_only=True)
    cell: int = 0
    ready_notified_at: dict[int, float] = field(default_factory=dict)
    ready_published_at: float | None = None
    drain_notified_at: dict[int, float] = field(default_factory=dict)


@dataclass(frozen=True)
class EndpointLogOutage:
    """An outage of the endpoint logs of all routers, and the replacement of workers that accompanies it.

    Attributes:
        failure: The name of an `EndpointLogFailure`, or of a `LatenessShape` after the word LATE.
        began_at: When the logs began to fail.
        ended_at: When the logs worked again and the last replacement of a worker was over. The logs may have
            worked for a while by then.
    """

    failure: str
    began_at: float
    ended_at: float


@dataclass(frozen=True)
class RunRecord:
    """The input of the checker, together with the files in the folder.

    Attributes:
        plan: The plan that was executed.
        folder: The folder with the records of clients and proxy, and the routers' logs.
        router_incarnations: All processes of routers, ordered by router and then by start time.
        worker_incarnations: All processes of workers, ordered by start time.
        endpoint_log_outages: The outages of all endpoint logs, ordered by end time.
    """

    plan: Plan
    folder: RunFolder
    router_incarnations: list[RouterIncarnation]
    worker_incarnations: list[WorkerIncarnation]
    endpoint_log_outages: list[EndpointLogOutage] = field(default_factory=list)
