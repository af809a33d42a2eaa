"""The configuration file of a router, with the keys that `function_router.config.schema` defines."""

from dataclasses import dataclass, field
from typing import Any

import msgspec

from function_router.decisions.types import DeduplicationScope, RetrySafety
from soak import site

CLASSES = [
    {
        "name": name,
        "effect": retry_safety.value,
        "promise": site.LATENCY_OBJECTIVE_MS,
        "give_up": site.MAX_TIMEOUT_MS,
        "dedup_window": (site.IDEMPOTENCY_WINDOW_MS if retry_safety is RetrySafety.IDEMPOTENCY_KEY else 0.0),
        "group": DeduplicationScope.CELL.value,
    }
    for name, retry_safety in site.RETRY_SAFETY_BY_CLASS.items()
]
BOUNDS = {
    "max_attempts": site.MAX_ATTEMPTS,
    "cancel": True,
    "second_copies": True,
    "retry_after": True,
    "max_retry_after": 1_000.0,
    "dial_timeout": 250.0,
    "keepalive": 4_000.0,
}
FUNCTION_STARTS = {
    "may_order": True,
    "not_loaded": "load",
    "notes_peers_in_hand": True,
    "idle_life": 8_000.0,
    "load_window": site.START_ORDER_WINDOW_S * 1_000,
    "free_loads": site.START_ORDER_BURST,
    "load_part": site.START_ORDERS_PER_REQUEST,
    "load_wait": 4_000.0,
}
SLOW_START = {
    "cold": site.SLOW_START_S * 1_000,
    "cold_share": site.SLOW_START_INITIAL_SHARE,
    "fall": site.OVERLOAD_WINDOW_S * 1_000,
    "fall_multiple": site.OVERLOAD_MULTIPLE,
}


@dataclass
class RouterConfig:
    """The content of a router's configuration file, in which times are milliseconds.

    Attributes:
        name: The router's name in its log.
        port: The port on which the router listens for clients.
        seed: The seed of the router's random generator.
        settings: The settings that all routers share.
        memory_mb: The memory limit.
        max_sockets: The limit on file descriptors.
        endpoint_log_port: The port on which the router's endpoint log listens.
        known_sequence: The sequence number of the last event that the router knows at its start.
        known_events: The events up to that number, in the form in which the endpoint log sends them.
    """

    name: str
    port: int
    seed: str
    settings: dict[str, Any]
    memory_mb: int
    max_sockets: int
    endpoint_log_port: int = 0
    known_sequence: int = 0
    known_events: list[dict[str, Any]] = field(default_factory=list)

    def encode(self) -> bytes:
        """Return the content of the file as JSON."""
        return msgspec.json.encode(
            {
                "name": self.name,
                "listen": f"127.0.0.1:{self.port}",
                "seed": self.seed,
                "limits": {"cores": 1.0, "memory_mb": self.memory_mb, "sockets": self.max_sockets},
                "settings": self.settings,
                "changelog": f"127.0.0.1:{self.endpoint_log_port}",
                "known": {"seq": self.known_sequence, "results": self.known_events},
            }
        )


def make_settings(router_count: int, worker_count: int) -> dict[str, Any]:
    """Return the settings that all routers of a run share."""
    quota_rps = worker_count * site.WORKER_CAPACITY_RPS / len(site.TENANTS)
    return {
        "classes": CLASSES,
        "tenants": [{"name": name, "quota_rps": quota_rps} for name in site.TENANTS],
        "bounds": BOUNDS,
        "family_info": FUNCTION_STARTS,
        "invariants": SLOW_START,
        "costs": {"handshake": 0.01},
        "fleet_size": router_count,
        "tick": 1.0,
    }
