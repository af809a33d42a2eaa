"""The validated configuration with all defaults, under the program's own names. Times are milliseconds."""

from typing import Any

from msgspec import Struct

from function_router.config.memory import MemoryPlan
from function_router.decisions.settings import Settings

Address = tuple[str, int]
"""A numeric IP address and a port."""


class TransportSettings(Struct, frozen=True):
    """Settings of the network code."""

    connect_timeout_ms: float = 250.0
    connection_keepalive_ms: float = 15_000.0  # how long workers keep an idle connection open
    max_exchanges_per_connection: int = 32
    max_pending_requests: int = 20_000
    max_retry_after_ms: float = 0.0  # maximum retry-after delay sent to a client; 0: none may be sent
    start_order_timeout_ms: float = 10_000.0
    workers_report_in_flight: bool = False  # whether workers report their number of requests in flight
    may_preconnect: bool = True  # whether connections may be opened before requests need them
    tenants: frozenset[str] = frozenset()  # names of the tenants; empty: the deployment has none


class RouterConfig(Struct, frozen=True):
    """The whole configuration of one router process."""

    name: str  # for log lines; may be empty
    listen: Address  # address for clients; with port 0, the system chooses a port
    endpoint_log: Address
    seed: int  # seed of the random choices of the decision module and of the exchange ids
    memory_mb: int
    max_sockets: int  # maximum number of file descriptors for sockets
    initial_sequence: int  # sequence number of the last known event of the endpoint log
    initial_events: list[dict[str, Any]]  # events of the endpoint log known at startup, as decoded JSON
    settings: Settings
    transport: TransportSettings

    @property
    def memory(self) -> MemoryPlan:
        """The division of the memory among the stores that peers can fill."""
        return MemoryPlan.for_limits(self.memory_mb, self.max_sockets)
