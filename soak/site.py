"""The settings of the routers in a run, and the figures of them that workers and the judge need."""

from typing import Any

CLASS_EFFECTS = {"view": "idempotent", "save": "deduplicated", "settle": "at_most_once"}
CLASS_SHARES = {"view": 0.6, "save": 0.3, "settle": 0.1}
PROMISE_MS = 500.0
GIVE_UP_MS = 2_000.0
IDEMPOTENCY_WINDOW_MS = 1_500.0
TENANTS = ("north", "south")

WORKER_CONCURRENCY = 2  # requests that an instance serves at once
WORKER_CORES = 2
MEAN_RUN_S = 0.04
START_S = 0.25
WORKER_CAPACITY_RPS = WORKER_CORES / MEAN_RUN_S

SLOW_START_S = 5.0
SLOW_START_INITIAL = 0.1
OVERLOAD_WINDOW_S = 1.0
OVERLOAD_MULTIPLE = 1.5

START_WINDOW_S = 5.0
FREE_STARTS = 2
STARTS_PER_REQUEST = 0.3

KEEPALIVE_MS = 4_000.0
MAX_ATTEMPTS = 4


def settings(router_count: int, worker_count: int) -> dict[str, Any]:
    """The settings that the configuration of each router holds."""
    quota_rps = worker_count * WORKER_CAPACITY_RPS / len(TENANTS)
    return {
        "classes": [
            {
                "name": name,
                "effect": effect,
                "promise": PROMISE_MS,
                "give_up": GIVE_UP_MS,
                "dedup_window": IDEMPOTENCY_WINDOW_MS if effect == "deduplicated" else 0.0,
            }
            for name, effect in CLASS_EFFECTS.items()
        ],
        "tenants": [{"name": name, "quota_rps": quota_rps} for name in TENANTS],
        "bounds": {
            "max_attempts": MAX_ATTEMPTS,
            "cancel": True,
            "second_copies": True,
            "retry_after": True,
            "max_retry_after": 1_000.0,
            "dial_timeout": 250.0,
            "keepalive": KEEPALIVE_MS,
        },
        "family_info": {
            "may_order": True,
            "not_loaded": "load",
            "notes_peers_in_hand": True,
            "idle_life": 8_000.0,
            "load_window": START_WINDOW_S * 1_000,
            "free_loads": FREE_STARTS,
            "load_part": STARTS_PER_REQUEST,
            "load_wait": 4_000.0,
        },
        "invariants": {
            "cold": SLOW_START_S * 1_000,
            "cold_share": SLOW_START_INITIAL,
            "fall": OVERLOAD_WINDOW_S * 1_000,
            "fall_multiple": OVERLOAD_MULTIPLE,
        },
        "costs": {"handshake": 0.01},
        "fleet_size": router_count,
        "tick": 1.0,
    }
