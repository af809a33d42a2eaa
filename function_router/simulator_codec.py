"""Codec of the simulator's protocol: decodes JSON messages to events, and encodes actions as JSON messages.

A message is an object with one key, the name of the message, whose value is the body. The operator defines
the names of the messages and of their fields; what the operator calls an "instance of the front end" is a
router here. Optional fields that are absent or null take their defaults. Times are milliseconds.
"""

from collections.abc import Callable
from typing import Any, assert_never

from function_router.decisions import actions
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

# Names of the messages from the simulator.
ROUTER_STARTED = "ATTACH"
ROUTER_KILLED = "POWER_OFF"
ENDPOINTS = "TARGETS"
REQUEST = "NEW_REQUEST"
REQUEST_CANCELLED = "HANGUP"
ATTEMPT_ENDED = "RESOLVED"
INSTANCES_REPORT = "RESIDENT"
TIMER_FIRED = "DEADLINE_HIT"

# Names of the messages to the simulator.
SEND = "ATTEMPT"
CANCEL = "STOP_ATTEMPT"
REJECT = "SAY_NO"
FAIL = "ERROR"
ENSURE_INSTANCES = "MOUNT"
CHECK_HEALTH = "POLL"
SET_TIMER = "NOTIFY_ME"
LOG = "LOG"
EXCEPTION = "EXCEPTION"

# Fields that several messages have.
REQUEST_ID = "tid"
ATTEMPT_NUMBER = "try"
WORKER_ID = "worker"
FUNCTION = "fn"
INSTANCES = "how_many"
OUTCOME = "ending"
DURATION = "took"
TIMER_TOKEN = "handle"  # number that the router chooses to identify the timer
TEXT = "body_text"

# Fields of ROUTER_STARTED.
SEED = "init_seed"
SETTINGS = "config"

# Fields of ENDPOINTS (LIST_*) and of each of its entries (ENDPOINT_*).
LIST_KIND = "kind"
LIST_ENTRIES = "entries"
ENDPOINT_STATE = "state"
ENDPOINT_MACHINE_KIND = "family_type"
ENDPOINT_ZONE = "hall"
ENDPOINT_CELL = "stripe"
ENDPOINT_SIZE = "units"
ENDPOINT_STARTED_AT = "up_since"

# Values of LIST_KIND. A list with a value that is not named here is a list of changes, as with CHANGES_ONLY.
CHANGES_ONLY = 0
COMPLETE_LIST_KINDS = (1, 2)  # 1: the current list; 2: the list that the router received last
LIST_UNAVAILABLE = 3

# Fields of REQUEST.
REQUEST_CLASS = "service"
REQUEST_TENANT = "billing"
REQUEST_TIMEOUT = "time_budget"
REQUEST_CONCURRENCY = "per_copy"
REQUEST_MEMORY_MB = "mem_mb"
REQUEST_EXPECTED_START_MS = "load_ms"
REQUEST_EXPECTED_RUN_MS = "hint"
REQUEST_FLAGS = "bitmap"
EXPECTED_RUN_MS_IS_VALID = 1  # bit of REQUEST_FLAGS: REQUEST_EXPECTED_RUN_MS is valid

# Fields of ATTEMPT_ENDED.
IS_ANSWERED = "ended"
LOAD_REPORT = "health_info"
PACKED_STATUS = "remark"

# PACKED_STATUS holds the start kind in its lowest three bits, and the number of requests in flight in the
# higher bits.
START_KIND_MASK = 7
IN_FLIGHT_SHIFT = 3

# Other fields of messages to the simulator.
RETRY_AFTER = "hold_off"
TIMER_DELAY = "sleep_for"

OUTCOMES = {outcome.value: outcome for outcome in Outcome}


def decode_endpoint(entry: JsonObject) -> Endpoint:
    """Decode an entry of the endpoint list."""
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


def decode_endpoints(body: JsonObject) -> EndpointsChanged | None:
    """Decode the endpoint list or its changes.

    Returns:
        The event; None if the list is unavailable, in which case the previous list stays valid.
    """
    kind = body.get(LIST_KIND) or CHANGES_ONLY
    if kind == LIST_UNAVAILABLE:
        return None
    endpoints = [decode_endpoint(entry) for entry in body.get(LIST_ENTRIES) or []]
    return EndpointsChanged(endpoints, is_complete=kind in COMPLETE_LIST_KINDS)


def decode_request(body: JsonObject) -> RequestArrived:
    """Decode the arrival of a request."""
    flags = body.get(REQUEST_FLAGS) or 0
    return RequestArrived(
        request_id=body[REQUEST_ID],
        function=body.get(FUNCTION) or "",
        class_name=body.get(REQUEST_CLASS) or "",
        tenant=str(body.get(REQUEST_TENANT) or ""),
        timeout_ms=body.get(REQUEST_TIMEOUT) or 0.0,
        concurrency=body.get(REQUEST_CONCURRENCY) or 1,
        memory_mb=body.get(REQUEST_MEMORY_MB),
        expected_start_ms=body.get(REQUEST_EXPECTED_START_MS),
        expected_run_ms=body.get(REQUEST_EXPECTED_RUN_MS) if flags & EXPECTED_RUN_MS_IS_VALID else None,
    )


def decode_request_cancelled(body: JsonObject) -> RequestCancelled:
    """Decode the cancellation of a request by its client."""
    return RequestCancelled(body[REQUEST_ID])


def decode_attempt_ended(body: JsonObject) -> AttemptEnded:
    """Decode the end of an attempt."""
    packed_status = body.get(PACKED_STATUS)
    return AttemptEnded(
        request_id=body[REQUEST_ID],
        attempt_number=body.get(ATTEMPT_NUMBER) or 0,
        worker_id=body.get(WORKER_ID) or 0,
        outcome=OUTCOMES[body[OUTCOME]],
        duration_ms=body.get(DURATION) or 0.0,
        is_answered=bool(body.get(IS_ANSWERED)),
        start_kind=StartKind((packed_status or 0) & START_KIND_MASK),
        in_flight=None if packed_status is None else packed_status >> IN_FLIGHT_SHIFT,
        load_report=body.get(LOAD_REPORT),
    )


def decode_instances_report(body: JsonObject) -> InstancesReported:
    """Decode the answer of a worker to a start order or a probe."""
    return InstancesReported(
        worker_id=body[WORKER_ID],
        function=body[FUNCTION],
        outcome=OUTCOMES[body[OUTCOME]],
        instances=body.get(INSTANCES) or 0,
        duration_ms=body.get(DURATION) or 0.0,
    )


def decode_timer_fired(body: JsonObject) -> TimerFired:
    """Decode the expiry of a timer."""
    return TimerFired(body[TIMER_TOKEN])


def encode_action(action: actions.Action) -> JsonObject:  # noqa: PLR0911 (one return per action)
    """Encode an action as the message that requests it; mypy reports an action without a case."""
    match action:
        case actions.SendRequest():
            return {SEND: {REQUEST_ID: action.request_id, WORKER_ID: action.worker_id}}
        case actions.CancelAttempt():
            return {CANCEL: {REQUEST_ID: action.request_id, ATTEMPT_NUMBER: action.attempt_number}}
        case actions.RejectRequest():
            return {REJECT: {REQUEST_ID: action.request_id, RETRY_AFTER: action.retry_after_ms}}
        case actions.FailRequest():
            return {FAIL: {REQUEST_ID: action.request_id}}
        case actions.EnsureInstances():
            return {
                ENSURE_INSTANCES: {
                    WORKER_ID: action.worker_id,
                    FUNCTION: action.function,
                    INSTANCES: action.instances,
                }
            }
        case actions.CheckHealth():
            return {CHECK_HEALTH: {WORKER_ID: action.worker_id}}
        case actions.NoteWithheld():
            return {LOG: {TEXT: f"{action.request_id} withheld from {action.worker_id}"}}
        case actions.SetTimer():
            return {SET_TIMER: {TIMER_DELAY: action.delay_ms, TIMER_TOKEN: action.token}}
        case actions.LogMessage():
            return {LOG: {TEXT: action.text}}
        case _:
            assert_never(action)


def encode_exception(text: str) -> JsonObject:
    """Encode the description of an exception of the decision module as a message."""
    return {EXCEPTION: {TEXT: text}}


# Decoders by message name. The adapter ignores messages that have no decoder here, except ROUTER_STARTED and
# ROUTER_KILLED, which it handles itself.
EVENT_DECODERS: dict[str, Callable[[JsonObject], Event | None]] = {
    ENDPOINTS: decode_endpoints,
    REQUEST: decode_request,
    REQUEST_CANCELLED: decode_request_cancelled,
    ATTEMPT_ENDED: decode_attempt_ended,
    INSTANCES_REPORT: decode_instances_report,
    TIMER_FIRED: decode_timer_fired,
}
