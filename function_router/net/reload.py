"""Reload of the configuration on SIGHUP."""

from collections.abc import Callable

from function_router.config import ConfigurationError, RouterConfig, UnreadableFileError
from function_router.net.clock import monotonic_ms
from function_router.net.endpoint_watch import EndpointWatch
from function_router.net.event_loop import EventLoop
from function_router.net.transient_errors import is_transient

# How long reading the file is retried after a transient error, such as a lack of descriptors or memory. The
# router is expected to know the events of the new endpoint log 4 s after SIGHUP.
RETRY_MS = 3_000.0
RETRY_INTERVAL_MS = 50.0

# Attributes of the configuration that only take effect at startup, with their keys in the file.
RESTART_ONLY_KEYS = {
    "name": "name",
    "listen": "listen",
    "memory_mb": "limits.memory_mb",
    "max_sockets": "limits.sockets",
    "settings": "settings",
    "transport": "settings",
}


class ConfigurationReload:
    """Reads the configuration again and switches to its endpoint log. Requests and connections are kept.

    Other changes take effect at the next start; their keys are logged. An invalid configuration is ignored
    and logged.
    """

    def __init__(
        self,
        current: RouterConfig,
        read_config: Callable[[], RouterConfig],
        loop: EventLoop,
        endpoint_watch: EndpointWatch,
        log: Callable[[str], None],
    ) -> None:
        """Prepare to reload with `read_config`, in a process that was started with `current`."""
        self._current = current
        self._read_config = read_config
        self._loop = loop
        self._endpoint_watch = endpoint_watch
        self._log = log
        # When retries end, on the monotonic clock; None unless a read has failed and is being retried.
        self._retry_until_ms: float | None = None

    def run(self) -> None:
        """Reload the configuration; retry later if a transient error prevents reading the file."""
        try:
            config = self._read_config()
        except UnreadableFileError as error:
            self._retry_or_give_up(error)
            return
        except ConfigurationError as error:
            self._log(f"configuration not reloaded: {error}")
            return
        self._retry_until_ms = None
        host, port = config.endpoint_log
        changed = self._changed_restart_only_keys(config)
        ignored = f"; changes that need a restart: {', '.join(changed)}" if changed else ""
        self._log(f"configuration reloaded: endpoint log at {host}:{port}{ignored}")
        self._endpoint_watch.move_to(config.endpoint_log)

    def _changed_restart_only_keys(self, config: RouterConfig) -> list[str]:
        changed = [
            key
            for attribute, key in RESTART_ONLY_KEYS.items()
            if getattr(config, attribute) != getattr(self._current, attribute)
        ]
        return list(dict.fromkeys(changed))

    def _retry_or_give_up(self, error: UnreadableFileError) -> None:
        """Schedule a retry after a transient error, or log the error once the time for retries is over."""
        now_ms = monotonic_ms()
        if self._retry_until_ms is None:
            self._retry_until_ms = now_ms + RETRY_MS
        if is_transient(error) and now_ms < self._retry_until_ms:
            self._loop.timers.call_later(RETRY_INTERVAL_MS, self.run)
            return
        self._retry_until_ms = None
        self._log(f"configuration not reloaded: {error}")
