"""Runs the decision module for simulated routers, over standard input and standard output.

Run as ``python -m function_router.simulator_adapter``. Each line of standard input is a batch: the time, and
the messages for each router. The adapter answers a batch with a reply, one line of standard output with the
messages of each router. Batches and replies are JSON; `function_router.simulator_codec` decodes and encodes
their messages.
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
    EVENT_DECODERS,
    ROUTER_KILLED,
    ROUTER_STARTED,
    SEED,
    SETTINGS,
    JsonObject,
    encode_action,
    encode_exception,
)

# Fields of a batch. A reply has only ROUTER_BATCHES.
BATCH_TIME = "wall"
ROUTER_BATCHES = "ends"

# Fields of an element of ROUTER_BATCHES: MESSAGES in a batch, REPLY_MESSAGES in a reply, ROUTER_ID in both.
ROUTER_ID = "who"
MESSAGES = "inbox"
REPLY_MESSAGES = "steps"

COMPACT_SEPARATORS = (",", ":")
MAX_QUOTED_MESSAGE_LENGTH = 80

EXIT_OK = 0
EXIT_INVALID_BATCH = 2

# Exceptions raised if the body of a message lacks a field, or has one with a wrong type or an invalid value.
INVALID_BODY_ERRORS = (KeyError, TypeError, ValueError, AttributeError)


class InvalidBatchError(FunctionRouterError, ValueError):
    """An input line is not a valid batch. The message says why."""


class SimulatorAdapter:
    """Hosts one `Router` for each simulated router. The routers share no state.

    Attributes:
        routers: The running routers by their id.
    """

    def __init__(self) -> None:
        self.routers: dict[int, Router] = {}

    def answer(self, line: str) -> str:
        """Process a batch and return the reply, both as lines of JSON.

        Raises:
            InvalidBatchError: The line is not a valid batch.
        """
        batch = _decode_batch(line)
        now_ms = batch[BATCH_TIME]
        router_replies = []
        for router_batch in batch[ROUTER_BATCHES]:
            _check_router_batch(router_batch)
            router_id = router_batch[ROUTER_ID]
            messages = self._handle_messages(router_id, now_ms, router_batch[MESSAGES])
            if messages:
                router_replies.append({ROUTER_ID: router_id, REPLY_MESSAGES: messages})
        return json.dumps({ROUTER_BATCHES: router_replies}, separators=COMPACT_SEPARATORS)

    def _handle_messages(self, router_id: int, now_ms: float, messages: list[Any]) -> list[JsonObject]:
        """Process the messages for one router, and return the messages of its reply.

        The router gets all events in one call. If a message starts or kills the router, the events before
        this message are passed to the old router, and those after it to the new one.
        """
        reply_messages: list[JsonObject] = []
        events: list[Event] = []
        for message in messages:
            name, body = _split_message(message)
            if name in (ROUTER_STARTED, ROUTER_KILLED):
                reply_messages += self._handle(router_id, now_ms, events)
                events = []
                self.routers.pop(router_id, None)
            try:
                if name == ROUTER_STARTED:
                    settings = parse_settings(body.get(SETTINGS) or {})
                    self.routers[router_id] = Router(settings, body[SEED])
                elif name in EVENT_DECODERS and (event := EVENT_DECODERS[name](body)) is not None:
                    events.append(event)
            except INVALID_BODY_ERRORS as error:
                problem = f"{name}: {type(error).__name__}: {error}"
                raise InvalidBatchError(problem) from None
        return reply_messages + self._handle(router_id, now_ms, events)

    def _handle(self, router_id: int, now_ms: float, events: list[Event]) -> list[JsonObject]:
        """Pass events to a router, and return its actions, or the exception that it raises, as messages.

        Events for a router that is not running are ignored.
        """
        if not events or router_id not in self.routers:
            return []
        try:
            actions = self.routers[router_id].handle(now_ms, events)
        except Exception as error:  # noqa: BLE001 (a message reports any exception to the simulator)
            return [encode_exception(_describe_exception(error))]
        return [encode_action(action) for action in actions]


def _decode_batch(line: str) -> JsonObject:
    try:
        batch = json.loads(line)
    except ValueError as error:
        problem = f"not JSON: {error}"
        raise InvalidBatchError(problem) from None
    if not isinstance(batch, dict) or not isinstance(batch.get(BATCH_TIME), int | float):
        problem = f"expected an object with a number {BATCH_TIME!r}"
        raise InvalidBatchError(problem)
    if not isinstance(batch.get(ROUTER_BATCHES), list):
        problem = f"expected an object with an array {ROUTER_BATCHES!r}"
        raise InvalidBatchError(problem)
    return batch


def _check_router_batch(value: object) -> None:
    if not isinstance(value, dict) or ROUTER_ID not in value or not isinstance(value.get(MESSAGES), list):
        problem = f"each element of {ROUTER_BATCHES!r} requires {ROUTER_ID!r} and an array {MESSAGES!r}"
        raise InvalidBatchError(problem)


def _split_message(message: object) -> tuple[str, Any]:
    if not isinstance(message, dict) or len(message) != 1:
        quoted = json.dumps(message)[:MAX_QUOTED_MESSAGE_LENGTH]
        problem = f"expected an event, an object with exactly one key, got {quoted}"
        raise InvalidBatchError(problem)
    [(name, body)] = message.items()
    return name, body


def _describe_exception(error: Exception) -> str:
    """Format the type of an exception, the function and line that raised it, and its message."""
    frame = traceback.extract_tb(error.__traceback__)[-1]
    return f"{type(error).__name__} in {frame.name}, line {frame.lineno}: {error}"


def main(source: TextIO = sys.stdin, sink: TextIO = sys.stdout) -> int:
    """Answer batches until the end of the input.

    Returns:
        The exit status: 0, or 2 if a line is not a valid batch.
    """
    gc.freeze()  # startup objects live until exit; exclude them from garbage collection
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
