"""The configuration in the program's terms, checked and with all defaults. Times are milliseconds."""

from typing import Any

from msgspec import Struct

from function_router.decisions.settings import Settings

Address = tuple[str, int]
"""A numeric IP address and a port."""


class TransportSettings(Struct, frozen=True):
    """Settings that the network needs and the decisions do not."""

    connect_timeout_ms: float = 250.0
    keepalive_ms: float = 15_000.0
    max_exchanges_per_connection: int = 32
    max_pending_requests: int = 20_000
    max_retry_after_ms: float = 0.0  # longest retry-after sent to a client; 0: none may be sent
    start_order_timeout_ms: float = 10_000.0
    reports_in_flight: bool = False  # workers report how many requests they have in flight
    may_preconnect: bool = True  # a connection may be opened before a request needs it
    tenants: frozenset[str] = frozenset()  # names; empty: the deployment has no tenants


class RouterConfig(Struct, frozen=True):
    """The whole configuration of one router process."""

    name: str  # in log lines; may be empty
    listen: Address  # where clients connect; port 0 has the system choose one
    endpoint_log: Address
    seed: int  # of the decisions' random parts, and of exchange ids
    memory_mb: int
    max_sockets: int  # file descriptors that sockets may use
    initial_sequence: int  # the endpoint log is known up to this sequence number
    initial_events: list[dict[str, Any]]  # events of the endpoint log to start from, as decoded from JSON
    settings: Settings
    transport: TransportSettings
