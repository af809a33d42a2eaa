"""What happens: the events that `Router.handle` takes. No logic lives here.

Times are milliseconds of the caller's clock, durations too.
"""

from msgspec import Struct

from function_router.decisions.types import Outcome, StartKind, WorkerState


class Endpoint(Struct, frozen=True):
    """A worker as the endpoint list has it."""

    worker_id: int
    state: WorkerState = WorkerState.READY
    machine_kind: str = ""
    zone: str = ""
    cell: int = 0
    size: float = 1.0
    started_at_ms: float | None = None  # None: long past


class EndpointsChanged(Struct, frozen=True):
    """The endpoint list, or what has changed in it."""

    endpoints: list[Endpoint]
    is_complete: bool  # False: changed ones only


class RequestArrived(Struct, frozen=True):
    """A request of a client was admitted; it is to get one final answer."""

    request_id: str
    function: str
    class_name: str
    tenant: str
    timeout_ms: float  # until its client stops waiting
    concurrency: int = 1  # requests that an instance of the function serves at once
    memory_mb: float | None = None  # of an instance
    expected_start_ms: float | None = None  # typical time that a cold start takes
    expected_run_ms: float | None = None  # typical time that a run takes
    client_id: str = ""  # the client's own id, where several requests may bring the same
    age_ms: float = 0.0  # how long ago it came


class RequestCancelled(Struct, frozen=True):
    """The client of a request waits no more: no answer is owed."""

    request_id: str
    client_id: str = ""


class AttemptEnded(Struct, frozen=True):
    """An attempt of a request at a worker has ended."""

    request_id: str
    attempt_number: int  # from 0, in the order of the sends
    worker_id: int
    outcome: Outcome
    duration_ms: float
    is_answered: bool  # the request has its final answer
    start_kind: StartKind = StartKind.UNKNOWN
    in_flight: int | None = None  # requests for the function that the worker held before this one
    load_report: dict[str, float] | None = None


class InstancesReported(Struct, frozen=True):
    """The answer to an `EnsureInstances`."""

    worker_id: int
    function: str
    outcome: Outcome
    instances: int  # that stand there now
    duration_ms: float


class TimerFired(Struct, frozen=True):
    """A timer that `SetTimer` set is due."""

    token: int


class DrainStarted(Struct, frozen=True):
    """This router ends: what is pending has its answer within so long, whatever its client would wait."""

    within_ms: float


Event = (
    EndpointsChanged
    | RequestArrived
    | RequestCancelled
    | AttemptEnded
    | InstancesReported
    | TimerFired
    | DrainStarted
)
