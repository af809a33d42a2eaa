"""The adapter: JSON lines on standard input to events, actions to JSON lines on standard output.

Translation only; every decision is in policy.py. Run as ``python -m function_router.simulator_adapter``.
"""

import gc
import json
import sys
import traceback
from typing import Any, TextIO

from function_router.config import parse_settings
from function_router.decisions.actions import (
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
from function_router.decisions.router import Router
from function_router.decisions.types import Outcome, StartKind, WorkerState
from function_router.errors import FunctionRouterError

ENDINGS = {ending.value: ending for ending in Outcome}


class InvalidBatchError(FunctionRouterError, ValueError):
    """A line that is no valid batch; the text names what is wrong."""


def entry_from(entry: dict[str, Any]) -> Endpoint:
    units = entry.get("units")
    return Endpoint(
        worker_id=entry["worker"],
        state=WorkerState(entry.get("state") or WorkerState.READY),
        machine_kind=entry.get("family_type") or "",
        zone=entry.get("hall") or "",
        cell=entry.get("stripe") or 0,
        size=1.0 if units is None else units,
        started_at_ms=entry.get("up_since") or None,
    )


def roster_from(body: dict[str, Any]) -> EndpointsChanged | None:
    kind = body.get("kind") or 0
    if kind == 3:  # the call failed: the prior list stays in effect
        return None
    entries = [entry_from(entry) for entry in body.get("entries") or []]
    return EndpointsChanged(entries, is_complete=kind in (1, 2))


def request_from(body: dict[str, Any]) -> RequestArrived:
    return RequestArrived(
        request_id=body["tid"],
        function=body.get("fn") or "",
        class_name=body.get("service") or "",
        tenant=str(body.get("billing") or ""),
        timeout_ms=body.get("time_budget") or 0.0,
        concurrency=body.get("per_copy") or 1,
        memory_mb=body.get("mem_mb"),
        start_ms=body.get("load_ms"),
        hint_ms=body.get("hint") if (body.get("bitmap") or 0) & 1 else None,
    )


def attempt_from(body: dict[str, Any]) -> AttemptEnded:
    remark = body.get("remark")
    return AttemptEnded(
        request_id=body["tid"],
        attempt_number=body.get("try") or 0,
        worker_id=body.get("worker") or 0,
        outcome=ENDINGS[body["ending"]],
        duration_ms=body.get("took") or 0.0,
        is_answered=bool(body.get("ended")),
        start_kind=StartKind((remark or 0) & 7),
        in_flight=None if remark is None else remark >> 3,
        load_report=body.get("health_info"),
    )


def order_from(body: dict[str, Any]) -> InstancesReported:
    return InstancesReported(
        worker_id=body["worker"],
        function=body["fn"],
        outcome=ENDINGS[body["ending"]],
        instances=body.get("how_many") or 0,
        duration_ms=body.get("took") or 0.0,
    )


READERS = {
    "TARGETS": roster_from,
    "NEW_REQUEST": request_from,
    "HANGUP": lambda body: RequestCancelled(body["tid"]),
    "RESOLVED": attempt_from,
    "RESIDENT": order_from,
    "DEADLINE_HIT": lambda body: TimerFired(body["handle"]),
}

WRITERS = {
    SendRequest: lambda a: {"ATTEMPT": {"tid": a.request_id, "worker": a.worker_id}},
    CancelAttempt: lambda a: {"STOP_ATTEMPT": {"tid": a.request_id, "try": a.attempt_number}},
    RejectRequest: lambda a: {"SAY_NO": {"tid": a.request_id, "hold_off": a.retry_after_ms}},
    FailRequest: lambda a: {"ERROR": {"tid": a.request_id}},
    EnsureInstances: lambda a: {"MOUNT": {"worker": a.worker_id, "fn": a.function, "how_many": a.instances}},
    SetTimer: lambda a: {"NOTIFY_ME": {"sleep_for": a.delay_ms, "handle": a.token}},
    LogMessage: lambda a: {"LOG": {"body_text": a.text}},
}


class SimulatorAdapter:
    """One Router for each instance; they share nothing."""

    def __init__(self) -> None:
        self.routers: dict[int, Router] = {}

    def answer(self, line: str) -> str:
        """The reply to one line of input."""
        try:
            batch = json.loads(line)
        except ValueError as error:
            raise InvalidBatchError(f"not JSON: {error}") from None
        if not isinstance(batch, dict) or not isinstance(batch.get("wall"), int | float):
            raise InvalidBatchError("a batch is an object with a number 'wall'")
        if not isinstance(batch.get("ends"), list):
            raise InvalidBatchError("a batch has an array 'ends'")
        ends = []
        for end in batch["ends"]:
            if not isinstance(end, dict) or "who" not in end or not isinstance(end.get("inbox"), list):
                raise InvalidBatchError("an element of 'ends' has 'who' and an array 'inbox'")
            steps = self._serve(end["who"], batch["wall"], end["inbox"])
            if steps:
                ends.append({"who": end["who"], "steps": steps})
        return json.dumps({"ends": ends}, separators=(",", ":"))

    def _serve(self, who: int, now_ms: float, inbox: list[Any]) -> list[dict[str, Any]]:
        steps: list[dict[str, Any]] = []
        events: list[Event] = []
        for message in inbox:
            if not isinstance(message, dict) or len(message) != 1:
                raise InvalidBatchError(f"an event is an object with one name: {json.dumps(message)[:80]}")
            [(name, body)] = message.items()
            if name in ("ATTACH", "POWER_OFF"):
                steps += self._handle(who, now_ms, events)
                events = []
                self.routers.pop(who, None)
            try:
                if name == "ATTACH":
                    self.routers[who] = Router(parse_settings(body.get("config") or {}), body["init_seed"])
                elif name in READERS and (event := READERS[name](body)) is not None:
                    events.append(event)
            except (KeyError, TypeError, ValueError, AttributeError) as error:
                raise InvalidBatchError(f"{name}: {type(error).__name__}: {error}") from None
        return steps + self._handle(who, now_ms, events)

    def _handle(self, who: int, now_ms: float, events: list[Event]) -> list[dict[str, Any]]:
        if not events or who not in self.routers:
            return []
        try:
            actions = self.routers[who].handle(now_ms, events)
        except Exception as error:  # reported for this instance as the wire provides
            place = traceback.extract_tb(error.__traceback__)[-1]
            text = f"{type(error).__name__} in {place.name}, line {place.lineno}: {error}"
            return [{"EXCEPTION": {"body_text": text}}]
        return [WRITERS[type(action)](action) for action in actions]


def main(source: TextIO = sys.stdin, sink: TextIO = sys.stdout) -> int:
    gc.freeze()
    host = SimulatorAdapter()
    for line in source:
        try:
            reply = host.answer(line)
        except InvalidBatchError as error:
            print(f"wirehost: {error}", file=sys.stderr)
            return 2
        sink.write(reply + "\n")
        sink.flush()
    return 0


if __name__ == "__main__":
    sys.exit(main())
