"""Hosts the decision module in the event loop: batches of events go in, its actions are carried out."""

from collections.abc import Callable
from typing import assert_never

from function_router.decisions import actions
from function_router.decisions.events import Event, TimerFired
from function_router.decisions.router import Router
from function_router.net.event_loop import EventLoop
from function_router.net.request_table import RequestTable

# After an exception, the decision module's own timer may be lost; this one then takes its place.
RECOVERY_TIMER_MS = 40.0
RECOVERY_TIMER_TOKEN = 0


class DecisionHost:
    """Hands events to the decision module and carries out its actions in their order.

    An exception of the decision module or of an action is logged and ends nothing else.
    """

    def __init__(
        self, router: Router, loop: EventLoop, table: RequestTable, log: Callable[[str], None]
    ) -> None:
        """Carry out the actions of `router` on the request table and the loop's timers."""
        self._router = router
        self._loop = loop
        self._table = table
        self._log = log

    def handle(self, now_ms: float, events: list[Event]) -> None:
        """Hand over a batch of events, whose time on the decisions' clock is `now_ms`."""
        self._table.begin_batch(now_ms)
        try:
            decided = self._router.handle(now_ms, events)
        except Exception:  # noqa: BLE001 - it is reported; each pending request has a deadline timer
            self._loop.report_exception("the decisions")
            self._loop.timers.call_later(RECOVERY_TIMER_MS, self._fire_recovery_timer)
            decided = self._router.take_actions()  # decided before the exception, as the state records
        for action in decided:
            self._loop.call_safely(self._handler_of(action), action)

    def _handler_of(self, action: actions.Action) -> Callable[..., None]:  # noqa: PLR0911 (one for each action)
        """The method that carries out an action; mypy reports an action that has none."""
        match action:
            case actions.SendRequest():
                return self._table.send
            case actions.CancelAttempt():
                return self._table.cancel_attempt
            case actions.RejectRequest():
                return self._table.reject
            case actions.FailRequest():
                return self._table.fail
            case actions.EnsureInstances():
                return self._table.ensure_instances
            case actions.CheckHealth():
                return self._table.check_health
            case actions.NoteWithheld():
                return self._table.note_withheld
            case actions.SetTimer():
                return self._set_timer
            case actions.LogMessage():
                return self._log_message
            case _:
                assert_never(action)

    def _set_timer(self, action: actions.SetTimer) -> None:
        self._loop.timers.call_later(action.delay_ms, lambda: self._loop.submit(TimerFired(action.token)))

    def _log_message(self, action: actions.LogMessage) -> None:
        self._log(action.text)

    def _fire_recovery_timer(self) -> None:
        self._loop.submit(TimerFired(RECOVERY_TIMER_TOKEN))
