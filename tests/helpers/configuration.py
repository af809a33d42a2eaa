"""Configurations of routers, and the events of the endpoint log that they and the tests contain.

The keys are those of the configuration file; `function_router.config.schema` explains them.
"""

CLASSES = [
    {"name": "view", "effect": "idempotent", "give_up": 9000.0, "promise": 8000.0},
    {"name": "save", "effect": "deduplicated", "give_up": 9000.0, "promise": 8000.0, "dedup_window": 1500.0},
    {"name": "settle", "effect": "at_most_once", "give_up": 9000.0, "promise": 8000.0},
]
# Tests in which no heartbeat confirms the endpoint list have it believed for this long all the same.
LONG_DRAIN_GRACE_MS = 60_000.0
SETTINGS = {
    "classes": CLASSES,
    "invariants": {"drain_grace": LONG_DRAIN_GRACE_MS},
    "tenants": [{"name": "acme"}],
    "bounds": {"max_attempts": 3, "cancel": True, "second_copies": True, "dial_timeout": 5000.0},
    "family_info": {"may_order": True, "not_loaded": "load", "notes_peers_in_hand": True},
}


def endpoint_event(sequence, *records, complete=False):
    """An event of the endpoint log; a complete one replaces the whole list of endpoints."""
    return {"seq": sequence, "fleet": {"complete": complete, "members": list(records)}}


def router_config(endpoint_log, *records, **fields):
    """The configuration of a router that follows this endpoint log and knows these endpoints from the start.

    Args:
        endpoint_log: The fake endpoint log that the router connects to.
        records: Records of endpoints, such as `FakeWorker.record()`.
        fields: Top-level keys that are added or replaced.
    """
    return {
        "listen": "127.0.0.1:0",
        "changelog": endpoint_log.host_port,
        "seed": "1",
        "known": {"seq": 1, "results": [endpoint_event(1, *records, complete=True)]},
        "settings": SETTINGS,
        **fields,
    }
