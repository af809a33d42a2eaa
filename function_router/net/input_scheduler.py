"""Shares the work of a turn fairly among the clients whose messages have been read.

The scheduler is the one of FQ-CoDel (RFC 8290, section 4) without its queue management: each client is a
flow, new flows are served before those that had their share already, and a flow gets a small quantum each
time. A client with a few messages thus waits for hardly any of the messages of those that send hundreds.

As a client can become a new flow at will by connecting again, a flow that has waited for some turns is served
before new ones, in a part of the turn.
"""

from collections import OrderedDict
from collections.abc import Callable
from typing import Protocol

# Maximum number of messages that one turn handles. It bounds the batch of events for the decision module, and
# thereby the time until timers fire and answers are written.
MAX_MESSAGES_PER_TURN = 64
# Number of turns after which a source is served before new ones, and the maximum number of messages that such
# sources handle in a turn before new ones are served.
MAX_TURNS_BEHIND_NEW = 4
MAX_MESSAGES_BEFORE_NEW = MAX_MESSAGES_PER_TURN // 2
# Maximum number of messages of a source before the next source has its turn.
QUANTUM = 2


class InputSource(Protocol):
    """A client with messages that were read and are not handled yet."""

    def has_input(self) -> bool:
        """Return whether any message is left."""

    def handle_input(self, max_messages: int) -> int:
        """Handle at most `max_messages` messages, and return how many were handled."""


class InputScheduler:
    """Decides which source handles its next messages, and limits the messages of a turn.

    A source that was served goes behind all others even if it has nothing left, so that a client can't be
    served first again and again by sending its messages in many small parts.
    """

    __slots__ = ("_new", "_report_exception", "_served", "_turn")

    def __init__(self, report_exception: Callable[[str], None]) -> None:
        """Create a scheduler without sources.

        Args:
            report_exception: Called while an exception of a source is being handled, with a description of
                where it was raised.
        """
        self._report_exception = report_exception
        self._new: OrderedDict[InputSource, None] = OrderedDict()
        self._served: OrderedDict[InputSource, int] = OrderedDict()  # with the turn of the last service
        self._turn = 0

    def add(self, source: InputSource) -> None:
        """Add a source that has input; do nothing if it waits already."""
        if source not in self._served:
            self._new[source] = None

    def discard(self, source: InputSource) -> None:
        """Remove a source, whose input is dropped."""
        self._new.pop(source, None)
        self._served.pop(source, None)

    def has_input(self) -> bool:
        """Return whether any source has input."""
        return bool(self._new) or any(source.has_input() for source in self._served)

    def run_turn(self) -> int:
        """Handle messages up to the limit of a turn, and return how many were handled."""
        self._turn += 1
        handled = 0
        while handled < MAX_MESSAGES_BEFORE_NEW and self._has_waited_long():
            handled += self._serve_next(self._served, MAX_MESSAGES_BEFORE_NEW - handled)
        while handled < MAX_MESSAGES_PER_TURN and (waiting := self._new or self._served):
            handled += self._serve_next(waiting, MAX_MESSAGES_PER_TURN - handled)
        return handled

    def _has_waited_long(self) -> bool:
        """Return whether the source that was served longest ago has waited behind new ones for some turns."""
        last_turn = next(iter(self._served.values()), self._turn)
        return self._turn - last_turn > MAX_TURNS_BEHIND_NEW

    def _serve_next(
        self, waiting: OrderedDict[InputSource, None] | OrderedDict[InputSource, int], max_messages: int
    ) -> int:
        """Serve the first source of a queue, and return how many messages it handled."""
        is_new = waiting is self._new
        source, _ = waiting.popitem(last=False)
        if not source.has_input():
            return 0
        handled = self._serve(source, min(QUANTUM, max_messages))
        if is_new or source.has_input():
            self._served[source] = self._turn
        return handled

    def _serve(self, source: InputSource, max_messages: int) -> int:
        """Let a source handle its next messages; return how many it handled, and 1 if it has failed."""
        try:
            return source.handle_input(max_messages)
        except Exception:  # noqa: BLE001 - an error in one source must not affect the others
            self._report_exception("an input source")
            return 1
