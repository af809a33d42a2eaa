"""Events, which `Router.handle` takes. Nothing is decided here.

Times are milliseconds of the caller's clock, and durations are milliseconds.
"""

from msgspec import Struct

from function_router.decisions.types import Outcome, Readiness, StartKind, WorkerState


class Endpoint(Struct, frozen=True):
    """A worker in the endpoint list."""

    worker_id: int
    state: WorkerState = WorkerState.READY
    machine_kind: str = ""
    zone: str = ""
    cell: int = 0
    size: float = 1.0
    started_at_ms: float | None = None  # when its process started; None: long ago


class EndpointsChanged(Struct, frozen=True):
    """The endpoint list was received: all of it, or only what has changed."""

    endpoints: list[Endpoint]
    is_complete: bool  # False: only the endpoints that have changed


class EndpointListConfirmed(Struct, frozen=True):
    """The endpoint log has announced that this router has all of its events."""

    as_of_ms: float  # the announcement came no earlier than this


class EndpointListInterrupted(Struct, frozen=True):
    """The endpoint log is not being followed: this is the start, or its connection broke or is replaced."""


class RequestArrived(Struct, frozen=True):
    """A client's request has arrived. It is owed one final answer."""

    request_id: str
    function: str
    class_name: str
    tenant: str
    timeout_ms: float  # how long its client waits from now
    concurrency: int = 1  # slots: requests that an instance serves at once
    memory_mb: float | None = None  # of an instance
    expected_start_ms: float | None = None  # typical duration of a cold start
    expected_run_ms: float | None = None  # typical duration of a run
    client_id: str = ""  # the client's own id of the request; a retry by the client has the same
    age_ms: float = 0.0  # how long ago it arrived


class RequestCancelled(Struct, frozen=True):
    """The client of a request no longer waits: no answer is owed."""

    request_id: str
    client_id: str = ""


class AttemptEnded(Struct, frozen=True):
    """An attempt of a request at a worker has ended."""

    request_id: str
    attempt_number: int  # from 0, in the order of the sends
    worker_id: int
    outcome: Outcome
    duration_ms: float
    is_answered: bool  # the request has its final answer, or needs none: from this attempt or otherwise
    start_kind: StartKind = StartKind.UNKNOWN
    in_flight: int | None = None  # requests of the function at the worker when this one arrived there
    load_report: dict[str, float] | None = None


class InstancesReported(Struct, frozen=True):
    """A start order or probe has ended: the worker's answer to an `EnsureInstances`, if it gave one."""

    worker_id: int
    function: str
    outcome: Outcome
    instances: int  # of the function that the worker has now
    duration_ms: float


class HealthChecked(Struct, frozen=True):
    """A health check has ended: the worker's answer to a `CheckHealth`, if it gave one."""

    worker_id: int
    outcome: Outcome  # OK if there was an answer
    readiness: Readiness
    asked_at_ms: float  # the worker got the question no earlier than this
    connected_at_ms: float  # the connection that carried it was established no later than this
    connection_lost_at_ms: float | None = (
        None  # when a connection to it last ended without this router's doing
    )


class TimerFired(Struct, frozen=True):
    """A timer is due that was set by `SetTimer`."""

    token: int


class DrainStarted(Struct, frozen=True):
    """This router shuts down: pending requests get their answers within this time, if not before."""

    within_ms: float


Event = (
    EndpointsChanged
    | EndpointListConfirmed
    | EndpointListInterrupted
    | RequestArrived
    | RequestCancelled
    | AttemptEnded
    | InstancesReported
    | HealthChecked
    | TimerFired
    | DrainStarted
)
