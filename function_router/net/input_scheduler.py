"""Shares the work of a turn fairly among the clients whose messages have been read.

The scheduler is the one of FQ-CoDel (RFC 8290, section 4) without its queue management: each client is a
flow, new flows are served before those that had their share already, and a flow gets a small quantum each
time. A client with a few messages thus waits for hardly any of the messages of those that send hundreds.
"""

from collections import OrderedDict
from collections.abc import Callable
from typing import Protocol

# Maximum number of messages that one turn handles. It bounds the batch of events for the decision module, and
# thereby the time until timers fire and answers are written.
MAX_MESSAGES_PER_TURN = 64
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

    __slots__ = ("_new", "_report_exception", "_served")

    def __init__(self, report_exception: Callable[[str], None]) -> None:
        """Create a scheduler without sources.

        Args:
            report_exception: Called while an exception of a source is being handled, with a description of
                where it was raised.
        """
        self._report_exception = report_exception
        self._new: OrderedDict[InputSource, None] = OrderedDict()
        self._served: OrderedDict[InputSource, None] = OrderedDict()

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
        handled = 0
        while handled < MAX_MESSAGES_PER_TURN and (waiting := self._new or self._served):
            is_new = waiting is self._new
            source, _ = waiting.popitem(last=False)
            if not source.has_input():
                continue
            handled += self._serve(source, min(QUANTUM, MAX_MESSAGES_PER_TURN - handled))
            if is_new or source.has_input():
                self._served[source] = None
        return handled

    def _serve(self, source: InputSource, max_messages: int) -> int:
        """Let a source handle its next messages; return how many it handled, and 1 if it has failed."""
        try:
            return source.handle_input(max_messages)
        except Exception:  # noqa: BLE001 - an error in one source must not affect the others
            self._report_exception("an input source")
            return 1
