"""Events, the input of `Router.handle`. This module contains no decision logic.

Times are milliseconds on the caller's clock. Durations are in milliseconds. No decision uses the fields
`machine_kind`, `memory_mb`, `expected_run_ms` and `load_report`.
"""

import math

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
    started_at_ms: float | None = None  # when its process started; None: too long ago to matter


class EndpointsChanged(Struct, frozen=True):
    """A complete endpoint list or a set of changed endpoints was received."""

    endpoints: list[Endpoint]
    is_complete: bool  # False: only the endpoints that have changed


class EndpointListConfirmed(Struct, frozen=True):
    """The endpoint log has announced that this router has received all of its events."""

    as_of_ms: float  # the announcement was sent at this time or later
    arrived_ms: float = -math.inf  # it arrived at this time or later


class EndpointListInterrupted(Struct, frozen=True):
    """The router has no connection to the endpoint log: at start, after a failure, or during a reconnect."""


class Transmission(Struct, frozen=True):
    """When a message was sent to a worker, and on which connection."""

    sent_at_ms: float  # the worker received the message at this time or later
    connected_at_ms: float  # the connection was established at this time or earlier


class RequestArrived(Struct, frozen=True):
    """A client's request has arrived. The router must give exactly one final answer."""

    request_id: str
    function: str
    class_name: str
    tenant: str
    timeout_ms: float  # how long the client waits from now on
    concurrency: int = 1  # slots of an instance: requests that it serves at the same time
    memory_mb: float | None = None  # memory of an instance
    expected_start_ms: float | None = None  # typical duration of a cold start
    expected_run_ms: float | None = None  # typical duration of a run
    client_request_id: str = ""  # the id that the client gave the request; an id that comes again counts once
    age_ms: float = 0.0  # how long the last bytes of the request were unread before this event


class RequestCancelled(Struct, frozen=True):
    """The client of a request no longer waits, so the router owes it no answer."""

    request_id: str
    client_request_id: str = ""  # the id that the client gave the request; an id that comes again counts once


class AttemptEnded(Struct, frozen=True):
    """An attempt of a request at a worker has ended."""

    request_id: str
    attempt_number: int  # counted from 0 in the order of the sends
    worker_id: int
    outcome: Outcome
    duration_ms: float
    # The request needs no further attempt: this or another attempt was answered, the router has answered, or
    # the client has cancelled the request.
    is_answered: bool
    start_kind: StartKind = StartKind.UNKNOWN
    in_flight: int | None = None  # requests of the function at the worker when this one arrived there
    load_report: dict[str, float] | None = None
    # None if the attempt was assigned to no connection, or if workers are addressed by their ids.
    transmission: Transmission | None = None


class InstancesReported(Struct, frozen=True):
    """A start order or probe (`EnsureInstances`) has ended, with or without an answer of the worker."""

    worker_id: int
    function: str
    outcome: Outcome
    instances: int  # instances of the function that the worker has now
    duration_ms: float
    # None if the message was assigned to no connection, or if workers are addressed by their ids.
    transmission: Transmission | None = None


class HealthChecked(Struct, frozen=True):
    """A health check (`CheckHealth`) has ended, with or without an answer of the worker."""

    worker_id: int
    outcome: Outcome  # OK if the worker answered
    readiness: Readiness
    sent_at_ms: float  # when the check was sent; the worker received it at this time or later
    connected_at_ms: float  # the connection that carried the check was established at this time or earlier
    # When a connection to the worker last ended without being closed by this router; None if none has.
    connection_lost_at_ms: float | None = None


class TimerFired(Struct, frozen=True):
    """A timer that was set by `SetTimer` has expired."""

    token: int


class DrainStarted(Struct, frozen=True):
    """This router is shutting down. Pending requests must be answered within the given time."""

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
