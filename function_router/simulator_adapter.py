"""Hosts the decisions of simulated routers: batches of events on standard input, replies on standard output.

Run as ``python -m function_router.simulator_adapter``. A batch is a line of JSON and has one reply, a line of
JSON too. `function_router.simulator_codec` translates the messages in them.
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
    EVENT_READERS,
    ROUTER_KILLED,
    ROUTER_STARTED,
    SEED,
    SETTINGS,
    JsonObject,
    write_action,
    write_exception,
)

# Fields of a batch and of its reply.
BATCH_TIME = "wall"
ROUTER_BATCHES = "ends"

# Fields of an element of ROUTER_BATCHES.
ROUTER_ID = "who"
MESSAGES = "inbox"
REPLY_MESSAGES = "steps"

COMPACT_SEPARATORS = (",", ":")
MAX_QUOTED_MESSAGE_LENGTH = 80

EXIT_OK = 0
EXIT_INVALID_BATCH = 2

# Raised by a reader for a body that lacks a field or has one of the wrong type.
INVALID_BODY_ERRORS = (KeyError, TypeError, ValueError, AttributeError)


class InvalidBatchError(FunctionRouterError, ValueError):
    """A line that is no valid batch; the text names what is wrong."""


class SimulatorAdapter:
    """Hosts one `Router` for each router of the simulation; they share nothing.

    Attributes:
        routers: the running ones by their number.
    """

    def __init__(self) -> None:
        self.routers: dict[int, Router] = {}

    def answer(self, line: str) -> str:
        """The reply to one line of input.

        Raises:
            InvalidBatchError: The line is no valid batch.
        """
        batch = _decode_batch(line)
        now_ms = batch[BATCH_TIME]
        replies = []
        for router_batch in batch[ROUTER_BATCHES]:
            _check_router_batch(router_batch)
            router_id = router_batch[ROUTER_ID]
            messages = self._answer_router(router_id, now_ms, router_batch[MESSAGES])
            if messages:
                replies.append({ROUTER_ID: router_id, REPLY_MESSAGES: messages})
        return json.dumps({ROUTER_BATCHES: replies}, separators=COMPACT_SEPARATORS)

    def _answer_router(self, router_id: int, now_ms: float, messages: list[Any]) -> list[JsonObject]:
        """The replies to the messages of one router, whose events between restarts are handled together."""
        replies: list[JsonObject] = []
        events: list[Event] = []
        for message in messages:
            name, body = _split_message(message)
            if name in (ROUTER_STARTED, ROUTER_KILLED):
                replies += self._handle(router_id, now_ms, events)
                events = []
                self.routers.pop(router_id, None)
            try:
                if name == ROUTER_STARTED:
                    settings = parse_settings(body.get(SETTINGS) or {})
                    self.routers[router_id] = Router(settings, body[SEED])
                elif name in EVENT_READERS and (event := EVENT_READERS[name](body)) is not None:
                    events.append(event)
            except INVALID_BODY_ERRORS as error:
                problem = f"{name}: {type(error).__name__}: {error}"
                raise InvalidBatchError(problem) from None
        return replies + self._handle(router_id, now_ms, events)

    def _handle(self, router_id: int, now_ms: float, events: list[Event]) -> list[JsonObject]:
        """The router's actions as messages, or one message that reports its exception."""
        if not events or router_id not in self.routers:
            return []
        try:
            actions = self.routers[router_id].handle(now_ms, events)
        except Exception as error:  # noqa: BLE001 (the wire has a message for any exception of the decisions)
            return [write_exception(_describe_exception(error))]
        return [write_action(action) for action in actions]


def _decode_batch(line: str) -> JsonObject:
    try:
        batch = json.loads(line)
    except ValueError as error:
        problem = f"not JSON: {error}"
        raise InvalidBatchError(problem) from None
    if not isinstance(batch, dict) or not isinstance(batch.get(BATCH_TIME), int | float):
        problem = f"a batch is an object with a number {BATCH_TIME!r}"
        raise InvalidBatchError(problem)
    if not isinstance(batch.get(ROUTER_BATCHES), list):
        problem = f"a batch has an array {ROUTER_BATCHES!r}"
        raise InvalidBatchError(problem)
    return batch


def _check_router_batch(value: object) -> None:
    if not isinstance(value, dict) or ROUTER_ID not in value or not isinstance(value.get(MESSAGES), list):
        problem = f"an element of {ROUTER_BATCHES!r} has {ROUTER_ID!r} and an array {MESSAGES!r}"
        raise InvalidBatchError(problem)


def _split_message(message: object) -> tuple[str, Any]:
    if not isinstance(message, dict) or len(message) != 1:
        quoted = json.dumps(message)[:MAX_QUOTED_MESSAGE_LENGTH]
        problem = f"an event is an object with one name: {quoted}"
        raise InvalidBatchError(problem)
    [(name, body)] = message.items()
    return name, body


def _describe_exception(error: Exception) -> str:
    """The type of an error, the function and line that raised it, and its text."""
    frame = traceback.extract_tb(error.__traceback__)[-1]
    return f"{type(error).__name__} in {frame.name}, line {frame.lineno}: {error}"


def main(source: TextIO = sys.stdin, sink: TextIO = sys.stdout) -> int:
    """Answer batches until the input ends.

    Returns:
        The exit status: 0, or 2 at a line that is no valid batch.
    """
    gc.freeze()  # the objects made so far are never freed, so the garbage collector need not visit them
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
