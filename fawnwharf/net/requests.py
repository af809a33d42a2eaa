"""The requests that are open here: from a client's call to its one final answer.

No protocol of clients is known here: a Call brings what is asked and where the outcome goes, so that
another protocol can stand before the same decisions.
"""

import itertools
import math
from collections.abc import Callable, Mapping
from dataclasses import dataclass, field

from fawnwharf import interface as io
from fawnwharf.config import Wire
from fawnwharf.net.endings import End, told
from fawnwharf.net.log import Log
from fawnwharf.net.loop import Loop
from fawnwharf.net.scorers import Answer, Attempt, Order, ScorerPool
from fawnwharf.net.wheel import Timer, monotonic_ms

BODIES_MOST = 32 * 1024 * 1024  # bytes of open requests' bodies: part of the memory limit
FULL_PUSHBACK_MS = 250.0  # advice where this front end can hold no more; the module never saw the request
CROWD_MOST = 30
REPEAT_MARGIN_MS = 50.0  # a keyed repeat must arrive inside the window, not just leave inside it
NEVER_RAN = (io.Ending.FULL, io.Ending.CONNECT_FAILED, io.Ending.NOT_SENT, io.Ending.MISS)
TRACE_MOST = 24  # steps told of one request


@dataclass(slots=True)
class Served:
    body: bytes


@dataclass(slots=True)
class Refused:
    hold_off_ms: float


@dataclass(slots=True)
class Failed:
    pass


Outcome = Served | Refused | Failed


@dataclass(slots=True)
class Call:
    """What a client asks, free of its protocol."""

    id: bytes
    class_name: str
    tenant: str
    function: str
    budget_ms: float
    body: bytes
    token: str
    lanes: int
    memory_mb: float | None
    load_ms: float | None
    reply: Callable[[Outcome], None]
    age_ms: float  # how long its last bytes had lain unread
    waits: Callable[[], bool]  # whether its client is still there; one that is not is taken off by the asking


@dataclass(slots=True, eq=False)
class OpenRequest:
    key: str
    call: Call
    deadline_ms: float  # of the monotonic clock
    backstop: Timer
    attempts: int = 0  # sent so far; the module numbers them in the same order
    ran_ms: float = math.inf  # when the first ended attempt that may have run began
    taken_ms: float = field(default_factory=monotonic_ms)
    trace: list[str] = field(default_factory=list)  # what happened to it, for the log

    def note(self, text: str) -> None:
        if len(self.trace) < TRACE_MOST:
            self.trace.append(f"+{monotonic_ms() - self.taken_ms:.0f} {text}")


class RequestTable:
    """Owns every open request, and sees to it that each gets exactly one outcome."""

    def __init__(
        self,
        loop: Loop,
        pool: ScorerPool,
        wire: Wire,
        classes: Mapping[str, io.ClassSpec],
        order_leaves: Callable[[float, float], float | None],
        log: Log,
    ) -> None:
        self.open: dict[str, OpenRequest] = {}
        self._classes, self._log = classes, log
        self._loop, self._pool, self._wire = loop, pool, wire
        self._order_leaves = order_leaves  # asks the module when the first byte of an order is to leave
        self._batch_ms = 0.0  # the moment of the batch that is being carried out
        self._bodies = 0
        self._ends_ms = math.inf  # when this front end may be ended from outside
        self._keys: dict[bytes, str] = {}  # by the id of an open request's call
        self._numbers = itertools.count(1)
        # Attempts that are out, also of requests that are over: the module may still call them off.
        self._out: dict[tuple[str, int], Attempt] = {}
        # Requests that ended while the module did not know it yet, of this batch and of the one before.
        self._ended: dict[str, OpenRequest] = {}
        self._ended_before: dict[str, OpenRequest] = {}

    # --- from clients -------------------------------------------------------------------------

    def take(self, call: Call) -> str | None:
        """The key of a new request; None where it was refused at once, untouched."""
        if len(self.open) >= self._wire.max_open or self._bodies + len(call.body) > BODIES_MOST:
            call.reply(Refused(FULL_PUSHBACK_MS))
            return None
        key = f"r{next(self._numbers)}"
        self._bodies += len(call.body)
        self._keys[call.id] = key
        budget_ms = max(0.0, min(call.budget_ms, self._ends_ms - self._loop.turn_ms))
        backstop = self._loop.wheel.after(budget_ms, lambda: self._overdue(key))
        self.open[key] = OpenRequest(key, call, self._loop.turn_ms + budget_ms, backstop)
        self._loop.tell(
            io.RequestArrived(
                key, call.function, call.class_name, call.tenant, budget_ms, call.lanes,
                call.memory_mb, call.load_ms, client_id=call.id.hex(), age_ms=call.age_ms,
            )
        )  # fmt: skip
        return key

    def leave(self, within_ms: float) -> None:
        """This front end may be ended from outside by then: what is open then would have no answer at all."""
        self._ends_ms = self._loop.turn_ms + within_ms
        for request in self.open.values():
            request.deadline_ms = min(request.deadline_ms, self._ends_ms)
        self._loop.tell(io.Leaving(within_ms))

    def is_open(self, id: bytes) -> bool:
        """Whether a request of this id is open, and its client still there."""
        key = self._keys.get(id)
        return key is not None and self.open[key].call.waits()

    def withdraw(self, key: str) -> None:
        """The client waits no more: no answer is owed."""
        if request := self._close(key):
            self._loop.tell(io.ClientLeft(key, request.call.id.hex()))

    def _overdue(self, key: str) -> None:
        """Guards the one final answer against any fault in the decisions; they end a request earlier."""
        request = self.open[key]
        self._finish(key, Failed())
        self._loop.tell(io.ClientLeft(key, request.call.id.hex()))

    def _close(self, key: str) -> OpenRequest | None:
        request = self.open.pop(key, None)
        if request:
            request.backstop.cancel()
            self._bodies -= len(request.call.body)
            self._keys.pop(request.call.id, None)
            self._ended[key] = request
            self._take_back(key, request)
        return request

    def _take_back(self, key: str, request: OpenRequest) -> None:
        """What no scorer has heard of yet must not begin for a request that is over. The module's cancels
        don't see to that: where the settings forbid them there are none."""
        for number in range(request.attempts):
            if attempt := self._out.get((key, number)):
                self._pool.take_back(attempt)

    def _may_begin(self, key: str) -> bool:
        """Asked when an attempt's first byte is to leave, which may be long after it was decided on."""
        request = self.open.get(key)
        return request is not None and self._in_window(key, request) and request.call.waits()

    def _in_window(self, key: str, request: OpenRequest) -> bool:
        """Whether scorers still know the first attempt of a keyed request, if any may have run."""
        spec = self._classes.get(request.call.class_name)
        if spec is None or spec.effect is not io.Effect.KEYED:
            return True
        out = (self._out.get((key, number)) for number in range(request.attempts))
        first_ms = min([request.ran_ms, *(attempt.began_ms for attempt in out if attempt and attempt.begun)])
        return monotonic_ms() - first_ms < spec.dedup_window_ms - REPEAT_MARGIN_MS

    def _finish(self, key: str, outcome: Outcome) -> None:
        if request := self._close(key):
            request.call.reply(outcome)
            self._log_trace(request, outcome)

    def _log_trace(self, request: OpenRequest, outcome: Outcome) -> None:
        """A line on each request that was not served in time: what it waited for, step by step."""
        call, took = request.call, monotonic_ms() - request.taken_ms
        spec = self._classes.get(call.class_name)
        if spec is None or (isinstance(outcome, Served) and took <= spec.promise_ms):
            return
        what = type(outcome).__name__.lower()
        steps = "; ".join(request.trace) or "never sent"
        line = f"{call.id.hex()} {call.class_name} of {call.function} {what} after {took:.0f} ms"
        self._log(f"{line} of {call.budget_ms:.0f}: {steps}", "requests")

    # --- from the module ----------------------------------------------------------------------

    def begin_batch(self, now_ms: float) -> None:
        self._batch_ms = now_ms
        self._ended_before, self._ended = self._ended, {}

    def send(self, action: io.Send) -> None:
        key, worker = action.request, action.worker
        request = self.open.get(key) or self._ended.get(key) or self._ended_before.get(key)
        if request is None:
            return
        number, request.attempts = request.attempts, request.attempts + 1
        if key not in self.open:  # it ended in the very batch that this answers
            self._loop.tell(io.AttemptEnded(key, number, worker, io.Ending.NOT_SENT, 0.0, closed=True))
            return
        call = request.call
        attempt = self._out[key, number] = Attempt(
            worker=worker,
            ended=lambda attempt, end, answer: self._attempt_ended(key, number, attempt, end, answer),
            may_begin=lambda: self._may_begin(key),
            id=call.id,
            kind=call.class_name,
            function=call.function,
            token=call.token,
            body=call.body,
            deadline_ms=request.deadline_ms,
        )
        request.note(f"sent to {worker}")
        self._pool.send(attempt)

    def cancel(self, action: io.Cancel) -> None:
        if attempt := self._out.get((action.request, action.attempt)):
            self._pool.cancel(attempt)

    def refuse(self, action: io.Refuse) -> None:
        self._finish(action.request, Refused(action.hold_off_ms))

    def fail(self, action: io.Fail) -> None:
        self._finish(action.request, Failed())

    # --- from scorers -------------------------------------------------------------------------

    def _attempt_ended(
        self, key: str, number: int, attempt: Attempt, end: End | None, answer: Answer | None
    ) -> None:
        del self._out[key, number]
        if answer is None:
            ending, warmth, crowd = told(end or End.NEVER_SENT, attempt.begun), io.Warmth.UNTOLD, None
        else:
            ending, warmth, crowd = answer.ending, answer.warmth, self._crowd(answer)
        if request := self.open.get(key):
            what = end.name if end else f"{ending.name} {warmth.name} crowd {crowd}"
            request.note(f"{attempt.worker}: {what} link {attempt.link_ms:.0f}")
            if attempt.begun and ending not in NEVER_RAN:
                request.ran_ms = min(request.ran_ms, attempt.began_ms)
        if answer is not None and ending is io.Ending.GOOD:
            self._finish(key, Served(answer.body))
        took = monotonic_ms() - attempt.began_ms
        closed = key not in self.open
        self._loop.tell(io.AttemptEnded(key, number, attempt.worker, ending, took, closed, warmth, crowd))

    def _crowd(self, answer: Answer) -> int | None:
        if not self._wire.tells_crowd or answer.ending not in (io.Ending.GOOD, io.Ending.FULL):
            return None
        return min(CROWD_MOST, answer.crowd)

    def order(self, action: io.Hold) -> None:
        self._note_order(action.function, f"order {action.copies} at {action.worker}")
        may_begin = self._asked_anew() if action.copies else lambda: True
        self._pool.order(Order(action.worker, self._order_ended, action.function, action.copies, may_begin))

    def _asked_anew(self) -> Callable[[], bool]:
        """Asks whether an order may leave, each time that its first byte could."""
        counted_ms: float | None = self._batch_ms

        def may_begin() -> bool:
            nonlocal counted_ms
            if counted_ms is not None:
                counted_ms = self._order_leaves(counted_ms, self._loop.clock.now_ms())
            return counted_ms is not None

        return may_begin

    def _note_order(self, function: str, text: str) -> None:
        for request in self.open.values():
            if request.call.function == function:
                request.note(text)

    def _order_ended(self, order: Order, end: End | None, answer: Answer | None) -> None:
        took = monotonic_ms() - order.began_ms
        ending = answer.ending if answer else told(end or End.NEVER_SENT, order.begun)
        copies = answer.copies if answer else 0
        self._note_order(order.function, f"{order.worker} holds {copies} {ending.name}")
        self._loop.tell(io.OrderAnswered(order.worker, order.function, ending, copies, took))
