"""The router process: creates and connects its components, and starts, checks and stops them."""

import signal
from collections.abc import Callable

from function_router.config import Address, RouterConfig
from function_router.decisions.endpoint_polling import make_poll_schedule
from function_router.decisions.events import Event
from function_router.decisions.router import Router
from function_router.net.client_listener import ClientListener
from function_router.net.decision_host import DecisionHost
from function_router.net.drain import Drain
from function_router.net.endpoint_list_status import EndpointListStatus
from function_router.net.endpoint_registry import EndpointRegistry
from function_router.net.endpoint_watch import EndpointWatch
from function_router.net.event_loop import EventLoop
from function_router.net.log import RateLimitedLog
from function_router.net.memory_budget import MemoryBudget
from function_router.net.memory_report import MemoryReport
from function_router.net.reload import ConfigurationReload
from function_router.net.request_table import RequestTable
from function_router.net.start_times import StartTimes
from function_router.net.telemetry import Telemetry
from function_router.net.transient_errors import retry_at_startup
from function_router.net.worker_pool import WorkerPool

DEFAULT_LOG_NAME = "function_router"

# Interval between log lines with the counters.
COUNTERS_INTERVAL_MS = 5_000.0
# The longest turn of the event loop is logged with the counters if it took longer than this.
MIN_LOGGED_TURN_MS = 20.0
# Interval between checks for connections that are idle or have timed out.
TIMEOUT_CHECK_INTERVAL_MS = 250.0

# Share of the file descriptors for connections of clients.
CLIENT_SHARE = 0.4
# Share of the file descriptors for connections to workers.
WORKER_SHARE = 0.4
# Minimum of both connection limits, even if there are very few file descriptors.
MIN_CONNECTIONS = 4


def _max_connections(max_sockets: int, share: float) -> int:
    return max(MIN_CONNECTIONS, int(max_sockets * share))


class RouterProcess:
    """A router, which can also be embedded in another program; owns the event loop and all components.

    Args:
        config: The configuration.
        log: Writes the log lines; by default to standard error.
        read_config: Reads the configuration again on SIGHUP; without it, SIGHUP is ignored.

    Raises:
        ConfigurationError: An initial event of the configuration is invalid.
        OSError: The address for clients cannot be bound.

    Attributes:
        config: The configuration at the start.
        log: Writes the log lines.
        loop: The event loop that all components share.
        telemetry: The counters and the run-time checks.
        memory: The memory that peers can fill.
        router: The decision module.
        pool: The workers and the connections to them.
        table: The pending requests.
        endpoint_list_status: Whether the endpoint list is current.
        endpoint_watch: Follows the endpoint log.
        listener: The listening socket and the connections of clients.
        drain: The graceful shutdown, which SIGTERM and SIGINT start.
        reload: The reload on SIGHUP; None if the configuration cannot be read again.
    """

    def __init__(
        self,
        config: RouterConfig,
        log: RateLimitedLog | None = None,
        read_config: Callable[[], RouterConfig] | None = None,
    ) -> None:
        self.config = config
        self.log = log or RateLimitedLog(config.name or DEFAULT_LOG_NAME)
        self.loop = EventLoop(self._decide, self.log)
        self.telemetry = Telemetry(self.log)
        self._max_clients = _max_connections(config.max_sockets, CLIENT_SHARE)
        self._max_worker_connections = _max_connections(config.max_sockets, WORKER_SHARE)
        self.memory = MemoryBudget(config.memory, self._max_clients, self._max_worker_connections)
        self.router = Router(config.settings, config.seed)
        self._memory_report = MemoryReport(self.memory, self.router.fleet.functions.describe, self.log)
        self.pool = self._create_pool()
        self.table = self._create_table()
        self._decision_host = DecisionHost(self.router, self.loop, self.table, self.log)
        self._start_times = StartTimes(self.loop.clock)
        self.endpoint_list_status = self._create_endpoint_list_status()
        self.endpoint_watch = self._create_endpoint_watch()
        self.listener = self._create_listener()
        classes = config.settings.classes.values()
        self.drain = Drain(self.loop, self.listener, self.table, classes, self.log)
        self.reload = self._create_reload(read_config)

    def _create_pool(self) -> WorkerPool:
        return WorkerPool(
            self.loop,
            self.config.transport,
            self._max_worker_connections,
            self.config.seed,
            self.telemetry,
            self.router.connection_policy,
            self.memory,
        )

    def _create_table(self) -> RequestTable:
        return RequestTable(
            self.loop,
            self.pool,
            self.config.transport,
            self.config.settings.classes,
            self.router.revalidate_start_order,
            self.telemetry,
            self.memory,
        )

    def _create_endpoint_list_status(self) -> EndpointListStatus:
        """Create the status of the endpoint list; the endpoint watch that it refers to is created later."""
        return EndpointListStatus(
            self.router,
            self.loop,
            self._start_times,
            lambda: self.endpoint_watch.last_sequence,
            self.telemetry,
        )

    def _create_endpoint_watch(self) -> EndpointWatch:
        """Create the endpoint watch, and apply the initial events of the configuration."""
        registry = EndpointRegistry(self.pool, self.loop.submit, self._start_times, self.log)
        watch = EndpointWatch(
            self.loop,
            self.config.endpoint_log,
            registry.apply,
            self.endpoint_list_status,
            make_poll_schedule(self.config.settings.router_count),
            self.telemetry,
        )
        watch.apply_initial_events(self.config.initial_events, self.config.initial_sequence)
        return watch

    def _create_listener(self) -> ClientListener:
        return ClientListener(
            self.loop,
            self.config.listen,
            self.table,
            self.config.settings.classes,
            self.config.transport.tenants,
            self._max_clients,
            self.telemetry,
        )

    def _create_reload(self, read_config: Callable[[], RouterConfig] | None) -> ConfigurationReload | None:
        if read_config is None:
            return None
        return ConfigurationReload(self.config, read_config, self.loop, self.endpoint_watch, self.log)

    def _decide(self, now_ms: float, events: list[Event]) -> None:
        """Pass a batch of events to the decision host, which is created after the loop and refers to it."""
        self._decision_host.handle(now_ms, events)

    @property
    def address(self) -> Address:
        """The address for clients, with the port that the kernel chose if port 0 is configured."""
        return self.listener.address

    def start(self) -> None:
        """Connect to the endpoint log and report the router as ready; the caller runs the loop."""
        self.endpoint_watch.client.connect()
        self.loop.timers.call_later(TIMEOUT_CHECK_INTERVAL_MS, self._check_timeouts)
        self.loop.timers.call_later(COUNTERS_INTERVAL_MS, self._log_counters)
        self.listener.is_ready = True

    def serve(self) -> None:
        """Serve until SIGTERM or SIGINT, then drain and close."""
        handlers: dict[int, Callable[[], None]] = {
            signal.SIGTERM: self.drain.start,
            signal.SIGINT: self.drain.start,
            signal.SIGHUP: self._on_sighup,
        }
        retry_at_startup(lambda: self.loop.handle_signals(handlers))
        self.start()
        self.log(f"serving on {self.address[0]}:{self.address[1]}")
        try:
            self.loop.run()
        finally:
            self.close()

    def close(self) -> None:
        """Close all sockets at once, even with pending requests."""
        self.listener.close()
        self.endpoint_watch.client.close()
        self.pool.close()
        self.loop.close()

    def _on_sighup(self) -> None:
        if self.reload is not None:
            self.reload.run()

    # --- periodic tasks -------------------------------------------------------------------------

    def _check_timeouts(self) -> None:
        self.endpoint_list_status.check()
        self.pool.check_timeouts()
        self.listener.check_timeouts()
        self._memory_report.check_shares()
        self.loop.timers.call_later(TIMEOUT_CHECK_INTERVAL_MS, self._check_timeouts)

    def _log_counters(self) -> None:
        if counters := self.telemetry.take_counters():
            self.log(f"counters: {counters}")
        self._memory_report.log_usage()
        longest_turn = self.loop.times.take_longest()
        if longest_turn is not None and longest_turn.took_ms > MIN_LOGGED_TURN_MS:
            self.log(f"longest turn: {longest_turn.describe()}")
        self.loop.timers.call_later(COUNTERS_INTERVAL_MS, self._log_counters)
