"""One router process: the parts, wired around one decision module, and their start, reload and drain."""

import signal
from collections.abc import Callable
from typing import Any

from function_router.config import Address, ConfigurationError, RouterConfig, UnreadableFileError
from function_router.decisions.actions import (
    Action,
    CancelAttempt,
    EnsureInstances,
    FailRequest,
    LogMessage,
    RejectRequest,
    SendRequest,
    SetTimer,
)
from function_router.decisions.events import Event, TimerFired
from function_router.decisions.router import Router
from function_router.net.client_listener import ClientListener
from function_router.net.clock import monotonic_ms
from function_router.net.endpoint_registry import EndpointRegistry
from function_router.net.endpoint_watch import EndpointWatch
from function_router.net.event_loop import EventLoop
from function_router.net.log import RateLimitedLog
from function_router.net.request_table import RequestTable
from function_router.net.start_times import StartTimes
from function_router.net.telemetry import Telemetry
from function_router.net.transient_errors import is_transient, retry_at_start
from function_router.net.worker_pool import WorkerPool

DEFAULT_LOG_NAME = "function_router"

# Between the lines that log the counters.
COUNTERS_INTERVAL_MS = 5_000.0
# Between the checks for idle and silent connections.
TIMEOUT_CHECK_INTERVAL_MS = 250.0

# After SIGTERM, new connections and requests keep coming for 0.6 s.
LATE_ARRIVALS_MS = 800.0
# The drain ends after this time, whatever is still pending.
MAX_DRAIN_MS = 20_000.0
# Between the checks whether the drain is complete.
DRAIN_CHECK_INTERVAL_MS = 20.0
# SIGKILL may follow SIGTERM after the longest timeout of a class, counted as 3 s where it is longer ...
MAX_KILL_TIMEOUT_MS = 3_000.0
# ... and this time on top.
KILL_GRACE_MS = 700.0
# The last answers are to be sent this long before that.
KILL_MARGIN_MS = 200.0

# A file that can't be read for want of descriptors or memory is tried again: what the endpoint log has to say
# counts as notified 4 s after SIGHUP.
RELOAD_RETRY_MS = 3_000.0
RELOAD_RETRY_INTERVAL_MS = 50.0

# Share of the file descriptors for connections of clients, which hold a third of them at most.
CLIENT_SHARE = 0.4
# Share of the file descriptors for connections to workers.
WORKER_SHARE = 0.4
# Connections of either kind, however few descriptors there are.
MIN_CONNECTIONS = 4

# The decision module's own timer may be lost in an exception; this one then takes its place.
RECOVERY_TIMER_MS = 40.0
RECOVERY_TIMER_TOKEN = 0

# Keys of the configuration that a reload leaves as they are.
RESTART_ONLY_KEYS = ("name", "listen", "memory_mb", "max_sockets", "settings", "transport")


def _max_connections(max_sockets: int, share: float) -> int:
    return max(MIN_CONNECTIONS, int(max_sockets * share))


class RouterProcess:
    """One router, also for embedding: owns the event loop and the parts, and carries out the actions.

    Args:
        config: The whole configuration.
        log: Where lines go; standard error without it.
        reread: Reads the configuration again at each SIGHUP; without it, SIGHUP changes nothing.

    Raises:
        ConfigurationError: A known event of the configuration is invalid.
        OSError: The address for clients can't be bound.
    """

    def __init__(
        self,
        config: RouterConfig,
        log: RateLimitedLog | None = None,
        reread: Callable[[], RouterConfig] | None = None,
    ) -> None:
        wire = config.transport
        classes = config.settings.classes
        self.config = config
        self.log = log or RateLimitedLog(config.name or DEFAULT_LOG_NAME)
        self.loop = EventLoop(self._decide, self.log)
        self.router = Router(config.settings, config.seed)
        max_workers = _max_connections(config.max_sockets, WORKER_SHARE)
        self.telemetry = Telemetry(self.log)
        self.pool = WorkerPool(self.loop, wire, max_workers, config.seed, self.telemetry)
        self.table = RequestTable(
            self.loop, self.pool, wire, classes, self.router.revalidate_start_order, self.telemetry
        )
        start_times = StartTimes(self.loop.clock)
        self._registry = EndpointRegistry(self.pool, self.loop.submit, start_times, self.log)
        self.endpoint_watch = EndpointWatch(
            self.loop, config.endpoint_log, self._registry.apply, start_times.on_caught_up, self.log
        )
        self.endpoint_watch.apply_initial_events(config.initial_events, config.initial_sequence)
        max_clients = _max_connections(config.max_sockets, CLIENT_SHARE)
        self.listener = ClientListener(
            self.loop, config.listen, self.table, classes, wire.tenants, max_clients, self.telemetry
        )
        self._action_handlers = self._make_action_handlers()
        self._reread = reread
        self._drain_started_ms: float | None = None
        self._reload_give_up_ms: float | None = None  # while the file can't be read for want of descriptors

    def _make_action_handlers(self) -> dict[type[Action], Callable[[Any], None]]:
        return {
            SendRequest: self.table.send,
            CancelAttempt: self.table.cancel_attempt,
            RejectRequest: self.table.reject,
            FailRequest: self.table.fail,
            EnsureInstances: self.table.ensure_instances,
            SetTimer: self._set_timer,
            LogMessage: self._log_message,
        }

    @property
    def address(self) -> Address:
        """The address for clients, with the port that the system chose where 0 was configured."""
        return self.listener.address

    # --- start and end --------------------------------------------------------------------------

    def start(self) -> None:
        """Connect to the endpoint log and report readiness; the caller runs the loop."""
        self.endpoint_watch.client.connect()
        self.loop.timers.call_later(TIMEOUT_CHECK_INTERVAL_MS, self._check_timeouts)
        self.loop.timers.call_later(COUNTERS_INTERVAL_MS, self._log_counters)
        self.listener.is_ready = True

    def serve(self) -> None:
        """Serve until SIGTERM or SIGINT, then until all admitted requests are answered."""
        handlers: dict[int, Callable[[], None]] = {
            signal.SIGTERM: self.drain,
            signal.SIGINT: self.drain,
            signal.SIGHUP: self.reload,
        }
        retry_at_start(lambda: self.loop.handle_signals(handlers))
        self.start()
        self.log(f"serving on {self.address[0]}:{self.address[1]}")
        try:
            self.loop.run()
        finally:
            self.close()

    def close(self) -> None:
        """Close all sockets at once, answered or not."""
        self.listener.close()
        self.endpoint_watch.client.close()
        self.pool.close()
        self.loop.close()

    def reload(self) -> None:
        """Read the configuration again and move to its endpoint log; requests and connections stay."""
        if self._reread is None:
            return
        try:
            config = self._reread()
        except UnreadableFileError as error:
            self._reload_again_after(error)
            return
        except ConfigurationError as error:
            self.log(f"configuration not taken over: {error}")
            return
        self._reload_give_up_ms = None
        host, port = config.endpoint_log
        changed = [key for key in RESTART_ONLY_KEYS if getattr(config, key) != getattr(self.config, key)]
        ignored = f"; changed, but read only at the start: {', '.join(changed)}" if changed else ""
        self.log(f"configuration read again: endpoint log at {host}:{port}{ignored}")
        self.endpoint_watch.move_to(config.endpoint_log)

    def _reload_again_after(self, error: UnreadableFileError) -> None:
        """Read the file once more a moment later, unless it has been unreadable for too long."""
        now_ms = monotonic_ms()
        if self._reload_give_up_ms is None:
            self._reload_give_up_ms = now_ms + RELOAD_RETRY_MS
        if is_transient(error) and now_ms < self._reload_give_up_ms:
            self.loop.timers.call_later(RELOAD_RETRY_INTERVAL_MS, self.reload)
            return
        self._reload_give_up_ms = None
        self.log(f"configuration not taken over: {error}")

    # --- drain ----------------------------------------------------------------------------------

    def drain(self) -> None:
        """Report unready, serve on until late arrivals are in and all is answered, then stop the loop."""
        if self._drain_started_ms is not None:
            return
        self.log("draining before leaving")
        self._drain_started_ms = monotonic_ms()
        self.listener.is_ready = False
        timeouts_ms = [spec.timeout_ms for spec in self.config.settings.classes.values()]
        killed_after_ms = min(max(timeouts_ms, default=0.0), MAX_KILL_TIMEOUT_MS) + KILL_GRACE_MS
        self.table.drain(killed_after_ms - KILL_MARGIN_MS)
        self._stop_when_drained()

    def _stop_when_drained(self) -> None:
        if self._drain_started_ms is None:
            return
        drained_for_ms = monotonic_ms() - self._drain_started_ms
        is_late = drained_for_ms > MAX_DRAIN_MS
        if is_late or (drained_for_ms > LATE_ARRIVALS_MS and not self._has_pending_work()):
            self.loop.running = False
        else:
            self.loop.timers.call_later(DRAIN_CHECK_INTERVAL_MS, self._stop_when_drained)

    def _has_pending_work(self) -> bool:
        """Whether a request is pending, its answer unwritten, or its bytes have come but are unread.

        A client counts a request as accepted once its connection was, even before it is read here.
        """
        return bool(self.table.pending) or self.listener.has_unwritten() or self.listener.has_arriving()

    # --- periodic -------------------------------------------------------------------------------

    def _check_timeouts(self) -> None:
        self.endpoint_watch.client.check_timeouts()
        self.pool.check_timeouts()
        self.listener.check_timeouts()
        self.loop.timers.call_later(TIMEOUT_CHECK_INTERVAL_MS, self._check_timeouts)

    def _log_counters(self) -> None:
        if counters := self.telemetry.take_counters():
            self.log(f"sent: {counters}")
        self.loop.timers.call_later(COUNTERS_INTERVAL_MS, self._log_counters)

    # --- decisions ------------------------------------------------------------------------------

    def _decide(self, now_ms: float, events: list[Event]) -> None:
        """Hand a batch of events to the decision module and carry out its actions in their order."""
        self.table.begin_batch(now_ms)
        try:
            actions = self.router.handle(now_ms, events)
        except Exception:  # noqa: BLE001 - it is reported; each pending request has a deadline timer
            self.loop.report_exception("the decisions")
            self.loop.timers.call_later(RECOVERY_TIMER_MS, self._fire_recovery_timer)
            actions = self.router.take_actions()  # decided before it, as the router's state says
        for action in actions:
            self.loop.guard(self._action_handlers[type(action)], action)

    def _fire_recovery_timer(self) -> None:
        self.loop.submit(TimerFired(RECOVERY_TIMER_TOKEN))

    def _set_timer(self, action: SetTimer) -> None:
        self.loop.timers.call_later(action.delay_ms, lambda: self.loop.submit(TimerFired(action.token)))

    def _log_message(self, action: LogMessage) -> None:
        self.log(action.text)
