"""The front end as an object that others can embed: the parts, wired round one Router."""

import signal
from collections.abc import Callable
from typing import Any

from msgspec.structs import replace

from function_router.config import (
    Address,
    ConfigurationError,
    EndpointList,
    EndpointRecord,
    RouterConfig,
    parse_address,
)
from function_router.decisions.actions import (
    CancelAttempt,
    EnsureInstances,
    FailRequest,
    LogMessage,
    RejectRequest,
    SendRequest,
    SetTimer,
)
from function_router.decisions.events import Endpoint, EndpointsChanged, Event, TimerFired
from function_router.decisions.router import Router
from function_router.decisions.types import WorkerState
from function_router.net.client_listener import ClientListener
from function_router.net.clock import monotonic_ms
from function_router.net.endpoint_registry import worker_id_of
from function_router.net.endpoint_watch import EndpointWatch
from function_router.net.event_loop import EventLoop
from function_router.net.log import RateLimitedLog
from function_router.net.request_table import RequestTable
from function_router.net.worker_pool import WorkerPool

TALLY_MS = 5_000.0  # pace of the line that counts what was sent
TIDY_MS = 250.0  # pace of the look after idle and silent connections
LATE_ARRIVALS_MS = 800.0  # after SIGTERM, connections and requests keep coming for 0.6 s
LINGER_MS = 20_000.0  # and never longer than this, whatever is still open
LEAVE_LOOK_MS = 20.0
# SIGKILL may follow once the longest deadline, counted as 3 s where it is longer, and 0.7 s have passed.
KILL_WAIT_MS, KILL_AFTER_MS, KILL_MARGIN_MS = 3_000.0, 700.0, 200.0
CLIENT_SHARE = 0.4  # of the descriptors; clients hold a third at most
SCORER_SHARE = 0.4
AT_START = (
    "name",
    "listen",
    "memory_mb",
    "max_sockets",
    "settings",
    "wire",
)  # keys that a reload leaves alone
AFTER_FAULT_MS = 40.0  # the module's sweep, set again where a fault may have lost it

STATES = {
    "in_service": WorkerState.READY,
    "terminating": WorkerState.DRAINING,
    "terminated": WorkerState.REMOVED,
}


class RouterProcess:
    """One front end: owns the loop and the parts, and carries the module's actions out."""

    def __init__(
        self,
        config: RouterConfig,
        log: RateLimitedLog | None = None,
        reread: Callable[[], RouterConfig] | None = None,
    ) -> None:
        """`reread` gives the configuration anew at each SIGHUP; without it, SIGHUP changes nothing."""
        self.config, self._reread = config, reread
        self.log = log or RateLimitedLog(config.name or "function_router")
        settings, wire, sockets = config.settings, config.wire, config.max_sockets
        self._entries: dict[int, Endpoint] = {}  # as told last of those that are not gone
        self.loop = EventLoop(self._decide, self.log)
        self.router = Router(settings, config.seed)
        max_connections = max(4, int(sockets * SCORER_SHARE))
        self.pool = WorkerPool(self.loop, wire, max_connections, config.seed, self.log)
        self.table = RequestTable(
            self.loop, self.pool, wire, settings.classes, self.router.recount_start_order, self.log
        )
        self.endpoint_watch = EndpointWatch(self.loop, config.endpoint_log, 0, self._on_fleet, self.log)
        self._known()
        max_clients = max(4, int(sockets * CLIENT_SHARE))
        self.listener = ClientListener(
            self.loop, config.listen, self.table, settings.classes, wire.tenants, max_clients, self.log
        )
        self._carriers = {
            SendRequest: self.table.send,
            CancelAttempt: self.table.cancel_attempt,
            RejectRequest: self.table.reject,
            FailRequest: self.table.fail,
            EnsureInstances: self.table.ensure_instances,
            SetTimer: self._set_timer,
            LogMessage: lambda action: self.log(action.text),
        }
        self._drain_started_ms: float | None = None

    @property
    def address(self) -> Address:
        return self.listener.address

    # --- life -----------------------------------------------------------------------------------

    def start(self) -> None:
        self.endpoint_watch.connect()
        self.loop.timers.call_later(TIDY_MS, self._check_timeouts)
        self.loop.timers.call_later(TALLY_MS, self._log_counters)
        self.listener.is_ready = True

    def serve(self) -> None:
        """Serve until SIGTERM or SIGINT, then until all that was taken has its answer."""
        handlers = {signal.SIGTERM: self.drain, signal.SIGINT: self.drain, signal.SIGHUP: self.reload}
        self.loop.handle_signals(handlers)
        self.start()
        self.log(f"serving on {self.address[0]}:{self.address[1]}")
        try:
            self.loop.run()
        finally:
            self.close()

    def reload(self) -> None:
        """Read the configuration again. The change log moves; requests and links stay as they are."""
        if self._reread is None:
            return
        try:
            read = self._reread()
        except ConfigurationError as error:
            self.log(f"configuration not taken over: {error}")
            return
        at_start = [key for key in AT_START if getattr(read, key) != getattr(self.config, key)]
        rest = f"; changed, but read at a start only: {', '.join(at_start)}" if at_start else ""
        self.log(
            f"configuration read again: change log at {read.endpoint_log[0]}:{read.endpoint_log[1]}{rest}"
        )
        self.endpoint_watch.move_to(read.endpoint_log)

    def drain(self) -> None:
        """Begin to end: keep accepting and serving until late arrivals are in and all is answered."""
        if self._drain_started_ms is None:
            self.log("leaving")
            self._drain_started_ms = monotonic_ms()
            self.listener.is_ready = False
            classes = self.config.settings.classes.values()
            longest = max((spec.timeout_ms for spec in classes), default=0.0)
            self.table.drain(min(longest, KILL_WAIT_MS) + KILL_AFTER_MS - KILL_MARGIN_MS)
            self._stop_when_drained()

    def _stop_when_drained(self) -> None:
        since = monotonic_ms() - self._drain_started_ms
        if since > LINGER_MS or (since > LATE_ARRIVALS_MS and not self._busy()):
            self.loop.running = False
        else:
            self.loop.timers.call_later(LEAVE_LOOK_MS, self._stop_when_drained)

    def _busy(self) -> bool:
        """Whether a request is open, unanswered on the wire, or has come and was not taken yet: to a client
        all of these were taken once its connection was."""
        return bool(self.table.pending) or self.listener.has_unwritten() or self.listener.has_arriving()

    def close(self) -> None:
        self.listener.close()
        self.endpoint_watch.close()
        self.pool.close()
        self.loop.close()

    def _check_timeouts(self) -> None:
        self.endpoint_watch.check_timeouts()
        self.pool.check_timeouts()
        self.listener.check_timeouts()
        self.loop.timers.call_later(TIDY_MS, self._check_timeouts)

    def _log_counters(self) -> None:
        if counts := self.pool.counters:
            self.log("sent: " + ", ".join(f"{name} {count}" for name, count in sorted(counts.items())))
            counts.clear()
        self.loop.timers.call_later(TALLY_MS, self._log_counters)

    # --- the roster -----------------------------------------------------------------------------

    def _known(self) -> None:
        for event in self.config.known_events:
            if not self.endpoint_watch.apply_event(event, of_start=True):
                raise ConfigurationError(f"known.results: not an event: {str(event)[:80]}")
        self.endpoint_watch.last_sequence = max(self.endpoint_watch.last_sequence, self.config.known_seq)

    def _on_fleet(self, fleet: EndpointList) -> None:
        entries, told = [self._entry(member) for member in fleet.members], []
        if fleet.complete:
            named = {entry.worker_id for entry, _ in entries}
            self.pool.remove_all_except(named)
            self._entries = {id: entry for id, entry in self._entries.items() if id in named}
        for entry, address in entries:
            told += [*self._displaced(entry, address), entry]
            self.pool.update_endpoint(entry.worker_id, address, entry.state, entry.started_at_ms or 0.0)
            self._entries[entry.worker_id] = entry
        self._entries = {
            id: entry for id, entry in self._entries.items() if entry.state is not WorkerState.REMOVED
        }
        self.loop.submit(EndpointsChanged(told, fleet.complete))

    def _displaced(self, entry: Endpoint, address: Address | None) -> list[Endpoint]:
        """Of scorers at one address the one started last stands there; the others are gone, though the list
        may tell so later. Guards a new process, cold as it is, against what is meant for the one before."""
        if entry.state is not WorkerState.READY or address is None:
            return []
        rivals = [id for id in self.pool.workers_at(address) if id != entry.worker_id and id in self._entries]
        started_ms = entry.started_at_ms or 0.0
        if any((self._entries[id].started_at_ms or 0.0) > started_ms for id in rivals):
            entry.state = WorkerState.REMOVED
            return []
        gone = [replace(self._entries[id], state=WorkerState.REMOVED) for id in rivals]
        for rival in gone:
            self.pool.update_endpoint(rival.worker_id, None, rival.state, 0.0)
            self._entries[rival.worker_id] = rival
        return gone

    def _entry(self, member: EndpointRecord) -> tuple[Endpoint, Address | None]:
        address = parse_address(member.host_port, "host_port") if member.host_port else None
        return Endpoint(
            worker_id=worker_id_of(member.id),
            state=STATES[member.phase],
            machine_kind=member.flavor,
            zone=member.locality,
            cell=member.cell,
            size=member.size,
            started_at_ms=member.up_since_ms or None,
        ), address

    # --- decisions ------------------------------------------------------------------------------

    def _decide(self, now_ms: float, events: list[Event]) -> None:
        self.table.begin_batch(now_ms)
        try:
            actions: list[Any] = self.router.handle(now_ms, events)
        except Exception:
            # A fault in the decisions must not take down what is open: each request has its backstop.
            self.loop.report_exception("the decisions")
            self.loop.timers.call_later(AFTER_FAULT_MS, lambda: self.loop.submit(TimerFired(0)))
            return
        for action in actions:
            self._carriers[type(action)](action)

    def _set_timer(self, action: SetTimer) -> None:
        self.loop.timers.call_later(action.delay_ms, lambda: self.loop.submit(TimerFired(action.token)))
