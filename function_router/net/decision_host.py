"""Runs the decision module in the event loop: passes it batches of events and performs its actions."""

from collections.abc import Callable
from typing import assert_never

from function_router.decisions import actions
from function_router.decisions.events import Event, TimerFired
from function_router.decisions.router import Router
from function_router.net.event_loop import EventLoop
from function_router.net.request_table import RequestTable

# Delay and token of the recovery timer, which is set after an exception of the decision module. It replaces
# the decision module's own timer, which the exception may have lost.
RECOVERY_TIMER_MS = 40.0
RECOVERY_TIMER_TOKEN = 0


class DecisionHost:
    """Passes events to the decision module and performs its actions in order.

    An exception in the decision module or in an action is logged, and does not affect other actions.
    """

    def __init__(
        self, router: Router, loop: EventLoop, table: RequestTable, log: Callable[[str], None]
    ) -> None:
        """Create a host that performs the actions of `router` on the request table and the loop's timers."""
        self._router = router
        self._loop = loop
        self._table = table
        self._log = log

    def handle(self, now_ms: float, events: list[Event]) -> None:
        """Pass a batch of events to the decision module; `now_ms` is the time on its clock."""
        self._table.begin_batch(now_ms)
        try:
            decided = self._router.handle(now_ms, events)
        except Exception:  # noqa: BLE001 - the deadline timer still answers each pending request
            self._loop.report_exception("the decision module")
            self._loop.timers.call_later(RECOVERY_TIMER_MS, self._fire_recovery_timer)
            # The state of the decision module already includes the actions decided before the exception.
            decided = self._router.take_actions()
        for action in decided:
            self._loop.call_safely(self._handler_of(action), action)

    def _handler_of(self, action: actions.Action) -> Callable[..., None]:  # noqa: PLR0911 (one for each action)
        """Return the method that performs an action; mypy reports an action without one."""
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
