"""Runs the decisions in the simulator: JSON lines on standard input, replies on standard output.

Run as ``python -m function_router.simulator_adapter``. Every decision is in `function_router.decisions`, and
the messages are translated by `function_router.simulator_codec`.
"""

import gc
import json
import sys
import traceback
from typing import Any, TextIO

from function_router.config import parse_settings
from function_router.decisions.events import Event
from function_router.decisions.router import Router
from function_router.errors import FunctionRouterError
from function_router.simulator_codec import (
    INSTANCE_KILLED,
    INSTANCE_STARTED,
    READERS,
    SEED,
    SETTINGS,
    WRITERS,
    JsonObject,
    write_exception,
)

# Fields of a batch, of its elements, and of the reply.
NOW = "wall"
INSTANCE_BATCHES = "ends"
INSTANCE_ID = "who"
MESSAGES = "inbox"
REPLY_MESSAGES = "steps"

COMPACT_SEPARATORS = (",", ":")
MAX_QUOTED_MESSAGE = 80

EXIT_OK = 0
EXIT_INVALID_BATCH = 2

# What a reader raises for a body that lacks a field or has one of a wrong type.
INVALID_BODY_ERRORS = (KeyError, TypeError, ValueError, AttributeError)


class InvalidBatchError(FunctionRouterError, ValueError):
    """A line that is no valid batch; the text names what is wrong."""


class SimulatorAdapter:
    """One `Router` for each instance; they share nothing."""

    def __init__(self) -> None:
        self.routers: dict[int, Router] = {}

    def answer(self, line: str) -> str:
        """The reply to one line of input.

        Raises:
            InvalidBatchError: The line is no valid batch.
        """
        batch = _decode_batch(line)
        now_ms = batch[NOW]
        replies = []
        for instance_batch in batch[INSTANCE_BATCHES]:
            _check_instance_batch(instance_batch)
            instance_id = instance_batch[INSTANCE_ID]
            messages = self._answer_instance(instance_id, now_ms, instance_batch[MESSAGES])
            if messages:
                replies.append({INSTANCE_ID: instance_id, REPLY_MESSAGES: messages})
        return json.dumps({INSTANCE_BATCHES: replies}, separators=COMPACT_SEPARATORS)

    def _answer_instance(self, instance_id: int, now_ms: float, messages: list[Any]) -> list[JsonObject]:
        """The messages in reply to those of one instance, whose events form one batch between restarts."""
        replies: list[JsonObject] = []
        events: list[Event] = []
        for message in messages:
            if not isinstance(message, dict) or len(message) != 1:
                quoted = json.dumps(message)[:MAX_QUOTED_MESSAGE]
                problem = f"an event is an object with one name: {quoted}"
                raise InvalidBatchError(problem)
            [(name, body)] = message.items()
            if name in (INSTANCE_STARTED, INSTANCE_KILLED):
                replies += self._handle(instance_id, now_ms, events)
                events = []
                self.routers.pop(instance_id, None)
            try:
                if name == INSTANCE_STARTED:
                    settings = parse_settings(body.get(SETTINGS) or {})
                    self.routers[instance_id] = Router(settings, body[SEED])
                elif name in READERS and (event := READERS[name](body)) is not None:
                    events.append(event)
            except INVALID_BODY_ERRORS as error:
                problem = f"{name}: {type(error).__name__}: {error}"
                raise InvalidBatchError(problem) from None
        return replies + self._handle(instance_id, now_ms, events)

    def _handle(self, instance_id: int, now_ms: float, events: list[Event]) -> list[JsonObject]:
        """The actions of the instance's router, as messages; a fault in it is reported as one."""
        if not events or instance_id not in self.routers:
            return []
        try:
            actions = self.routers[instance_id].handle(now_ms, events)
        except Exception as error:  # noqa: BLE001 (the wire has a message for any fault of the decisions)
            return [write_exception(_describe(error))]
        return [WRITERS[type(action)](action) for action in actions]


def _decode_batch(line: str) -> JsonObject:
    try:
        batch = json.loads(line)
    except ValueError as error:
        problem = f"not JSON: {error}"
        raise InvalidBatchError(problem) from None
    if not isinstance(batch, dict) or not isinstance(batch.get(NOW), int | float):
        problem = f"a batch is an object with a number {NOW!r}"
        raise InvalidBatchError(problem)
    if not isinstance(batch.get(INSTANCE_BATCHES), list):
        problem = f"a batch has an array {INSTANCE_BATCHES!r}"
        raise InvalidBatchError(problem)
    return batch


def _check_instance_batch(value: object) -> None:
    if not isinstance(value, dict) or INSTANCE_ID not in value or not isinstance(value.get(MESSAGES), list):
        problem = f"an element of {INSTANCE_BATCHES!r} has {INSTANCE_ID!r} and an array {MESSAGES!r}"
        raise InvalidBatchError(problem)


def _describe(error: Exception) -> str:
    """The type of the error, the innermost place it came from, and its text."""
    place = traceback.extract_tb(error.__traceback__)[-1]
    return f"{type(error).__name__} in {place.name}, line {place.lineno}: {error}"


def main(source: TextIO = sys.stdin, sink: TextIO = sys.stdout) -> int:
    """Answer batches until the input ends; 0, or 2 at a line that is no valid batch."""
    gc.freeze()  # what the start has made stays: no collection needs to walk it
    adapter = SimulatorAdapter()
    for line in source:
        try:
            reply = adapter.answer(line)
        except InvalidBatchError as error:
            print(f"simulator_adapter: {error}", file=sys.stderr)
            return EXIT_INVALID_BATCH
        sink.write(reply + "\n")
        sink.flush()
    return EXIT_OK


if __name__ == "__main__":
    sys.exit(main())
