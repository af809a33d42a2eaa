"""What the configuration is to the rest of the program. Times are milliseconds."""

from typing import Any, Self

from msgspec import Struct

from function_router.decisions.settings import Settings
from function_router.errors import FunctionRouterError

Address = tuple[str, int]
"""A numeric IP address and a port."""


class ConfigurationError(FunctionRouterError, ValueError):
    """An invalid configuration; the text starts with the key."""

    @classmethod
    def at(cls, key: str, problem: str) -> Self:
        """The error that names the key and what is wrong with its value."""
        return cls(f"{key}: {problem}")


class UnreadableFileError(ConfigurationError):
    """The file could not be read: the system call failed, which may pass."""

    def __init__(self, text: str, error_number: int | None) -> None:
        """Keep the error number of the call, under the name that it has in an OSError."""
        super().__init__(text)
        self.errno = error_number


class TransportSettings(Struct, frozen=True):
    """The settings that sockets need and decisions do not."""

    connect_timeout_ms: float = 250.0
    keepalive_ms: float = 15_000.0
    max_exchanges_per_connection: int = 32
    max_pending_requests: int = 20_000
    max_retry_after_ms: float = 0.0  # the longest advice to a client; 0: none is allowed
    start_order_timeout_ms: float = 10_000.0
    reports_in_flight: bool = False
    may_preconnect: bool = True  # a connection may be opened before a request needs it
    tenants: frozenset[str] = frozenset()  # empty: a site without tenants


class RouterConfig(Struct, frozen=True):
    """The whole configuration of one router process."""

    name: str
    listen: Address
    endpoint_log: Address
    seed: int
    memory_mb: int
    max_sockets: int
    known_seq: int
    known_events: list[dict[str, Any]]
    settings: Settings
    wire: TransportSettings
