"""The simulator's wire: JSON messages to events, and actions to JSON messages.

Translation only. A message is an object with one key, the message's name, whose value is its body. Names of
messages and fields are those of the operator's page on the wire. Absent and null fields have their defaults.
Times are milliseconds.
"""

from collections.abc import Callable
from typing import Any

from function_router.decisions.actions import (
    Action,
    CancelAttempt,
    EnsureInstances,
    FailRequest,
    LogMessage,
    RejectRequest,
    SendRequest,
    SetTimer,
)
from function_router.decisions.events import (
    AttemptEnded,
    Endpoint,
    EndpointsChanged,
    Event,
    InstancesReported,
    RequestArrived,
    RequestCancelled,
    TimerFired,
)
from function_router.decisions.types import Outcome, StartKind, WorkerState

JsonObject = dict[str, Any]

# Names of messages that come in.
INSTANCE_STARTED = "ATTACH"
INSTANCE_KILLED = "POWER_OFF"
ENDPOINTS = "TARGETS"
REQUEST = "NEW_REQUEST"
REQUEST_CANCELLED = "HANGUP"
ATTEMPT_ENDED = "RESOLVED"
INSTANCES_REPORT = "RESIDENT"
TIMER_FIRED = "DEADLINE_HIT"

# Names of messages that go out.
SEND = "ATTEMPT"
CANCEL = "STOP_ATTEMPT"
REJECT = "SAY_NO"
FAIL = "ERROR"
ENSURE_INSTANCES = "MOUNT"
SET_TIMER = "NOTIFY_ME"
LOG = "LOG"
EXCEPTION = "EXCEPTION"

# Fields of several messages.
REQUEST_ID = "tid"
ATTEMPT_NUMBER = "try"
WORKER_ID = "worker"
FUNCTION = "fn"
INSTANCES = "how_many"
OUTCOME = "ending"
DURATION = "took"
TIMER_TOKEN = "handle"  # a number that the router selects
TEXT = "body_text"

# Fields of INSTANCE_STARTED.
SEED = "init_seed"
SETTINGS = "config"

# Fields of ENDPOINTS, and of each of its entries.
LIST_KIND = "kind"
LIST_ENTRIES = "entries"
ENDPOINT_STATE = "state"
ENDPOINT_MACHINE_KIND = "family_type"
ENDPOINT_ZONE = "hall"
ENDPOINT_CELL = "stripe"
ENDPOINT_SIZE = "units"
ENDPOINT_STARTED_AT = "up_since"

# Values of LIST_KIND; any other one is a list of what changed.
CHANGES_ONLY = 0
COMPLETE_LISTS = (1, 2)  # as it is now, and as the instance last held it
LIST_UNAVAILABLE = 3

# Fields of REQUEST.
REQUEST_CLASS = "service"
REQUEST_TENANT = "billing"
REQUEST_TIMEOUT = "time_budget"
REQUEST_CONCURRENCY = "per_copy"
REQUEST_MEMORY_MB = "mem_mb"
REQUEST_START_TIME = "load_ms"
REQUEST_HINT = "hint"
REQUEST_FLAGS = "bitmap"
HINT_IS_VALID = 1  # a bit of REQUEST_FLAGS

# Fields of ATTEMPT_ENDED.
IS_ANSWERED = "ended"
LOAD_REPORT = "health_info"
REMARK = "remark"

# REMARK holds the start kind in its lowest three bits, and above them the requests in flight at the worker.
START_KIND_MASK = 7
IN_FLIGHT_SHIFT = 3

# Other fields of what goes out.
RETRY_AFTER = "hold_off"
TIMER_DELAY = "sleep_for"

OUTCOMES = {outcome.value: outcome for outcome in Outcome}


def read_endpoint(entry: JsonObject) -> Endpoint:
    """An entry of the endpoint list."""
    size = entry.get(ENDPOINT_SIZE)
    return Endpoint(
        worker_id=entry[WORKER_ID],
        state=WorkerState(entry.get(ENDPOINT_STATE) or WorkerState.READY),
        machine_kind=entry.get(ENDPOINT_MACHINE_KIND) or "",
        zone=entry.get(ENDPOINT_ZONE) or "",
        cell=entry.get(ENDPOINT_CELL) or 0,
        size=1.0 if size is None else size,
        started_at_ms=entry.get(ENDPOINT_STARTED_AT) or None,
    )


def read_endpoints(body: JsonObject) -> EndpointsChanged | None:
    """The endpoint list or what changed in it; None where it is unavailable and the one before stays."""
    kind = body.get(LIST_KIND) or CHANGES_ONLY
    if kind == LIST_UNAVAILABLE:
        return None
    endpoints = [read_endpoint(entry) for entry in body.get(LIST_ENTRIES) or []]
    return EndpointsChanged(endpoints, is_complete=kind in COMPLETE_LISTS)


def read_request(body: JsonObject) -> RequestArrived:
    """A request of a client."""
    flags = body.get(REQUEST_FLAGS) or 0
    return RequestArrived(
        request_id=body[REQUEST_ID],
        function=body.get(FUNCTION) or "",
        class_name=body.get(REQUEST_CLASS) or "",
        tenant=str(body.get(REQUEST_TENANT) or ""),
        timeout_ms=body.get(REQUEST_TIMEOUT) or 0.0,
        concurrency=body.get(REQUEST_CONCURRENCY) or 1,
        memory_mb=body.get(REQUEST_MEMORY_MB),
        expected_start_ms=body.get(REQUEST_START_TIME),
        expected_run_ms=body.get(REQUEST_HINT) if flags & HINT_IS_VALID else None,
    )


def read_request_cancelled(body: JsonObject) -> RequestCancelled:
    """The end of a client's wait."""
    return RequestCancelled(body[REQUEST_ID])


def read_attempt_ended(body: JsonObject) -> AttemptEnded:
    """The end of an attempt."""
    remark = body.get(REMARK)
    return AttemptEnded(
        request_id=body[REQUEST_ID],
        attempt_number=body.get(ATTEMPT_NUMBER) or 0,
        worker_id=body.get(WORKER_ID) or 0,
        outcome=OUTCOMES[body[OUTCOME]],
        duration_ms=body.get(DURATION) or 0.0,
        is_answered=bool(body.get(IS_ANSWERED)),
        start_kind=StartKind((remark or 0) & START_KIND_MASK),
        in_flight=None if remark is None else remark >> IN_FLIGHT_SHIFT,
        load_report=body.get(LOAD_REPORT),
    )


def read_instances_report(body: JsonObject) -> InstancesReported:
    """A worker's answer to a start order or a probe."""
    return InstancesReported(
        worker_id=body[WORKER_ID],
        function=body[FUNCTION],
        outcome=OUTCOMES[body[OUTCOME]],
        instances=body.get(INSTANCES) or 0,
        duration_ms=body.get(DURATION) or 0.0,
    )


def read_timer_fired(body: JsonObject) -> TimerFired:
    """A timer that is due."""
    return TimerFired(body[TIMER_TOKEN])


def write_send(action: SendRequest) -> JsonObject:
    """The message that sends an attempt of a request."""
    return {SEND: {REQUEST_ID: action.request_id, WORKER_ID: action.worker_id}}


def write_cancel(action: CancelAttempt) -> JsonObject:
    """The message that cancels an attempt."""
    return {CANCEL: {REQUEST_ID: action.request_id, ATTEMPT_NUMBER: action.attempt_number}}


def write_reject(action: RejectRequest) -> JsonObject:
    """The final answer that a retry is harmless."""
    return {REJECT: {REQUEST_ID: action.request_id, RETRY_AFTER: action.retry_after_ms}}


def write_fail(action: FailRequest) -> JsonObject:
    """The final answer that promises nothing."""
    return {FAIL: {REQUEST_ID: action.request_id}}


def write_ensure_instances(action: EnsureInstances) -> JsonObject:
    """A start order, or a probe."""
    body = {WORKER_ID: action.worker_id, FUNCTION: action.function, INSTANCES: action.instances}
    return {ENSURE_INSTANCES: body}


def write_set_timer(action: SetTimer) -> JsonObject:
    """The message that sets a timer."""
    return {SET_TIMER: {TIMER_DELAY: action.delay_ms, TIMER_TOKEN: action.token}}


def write_log(action: LogMessage) -> JsonObject:
    """A line for the log."""
    return {LOG: {TEXT: action.text}}


def write_exception(text: str) -> JsonObject:
    """The report that the decisions have failed."""
    return {EXCEPTION: {TEXT: text}}


READERS: dict[str, Callable[[JsonObject], Event | None]] = {
    ENDPOINTS: read_endpoints,
    REQUEST: read_request,
    REQUEST_CANCELLED: read_request_cancelled,
    ATTEMPT_ENDED: read_attempt_ended,
    INSTANCES_REPORT: read_instances_report,
    TIMER_FIRED: read_timer_fired,
}

WRITERS: dict[type[Action], Callable[[Any], JsonObject]] = {
    SendRequest: write_send,
    CancelAttempt: write_cancel,
    RejectRequest: write_reject,
    FailRequest: write_fail,
    EnsureInstances: write_ensure_instances,
    SetTimer: write_set_timer,
    LogMessage: write_log,
}
