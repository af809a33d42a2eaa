"""The settings of one router's decisions, handed in once at the start. No logic lives here.

Times are milliseconds. The names that the configuration has for them stand in `function_router.config`.
"""

from dataclasses import dataclass, field

from function_router.decisions.types import DeduplicationScope, RetrySafety


@dataclass(slots=True)
class RequestClass:
    """What the settings say of a class of requests."""

    name: str
    latency_objective_ms: float = 1000.0  # an answer within it earns the full worth
    timeout_ms: float = 2500.0  # a client waits no longer, over all its tries
    retry_safety: RetrySafety = RetrySafety.AT_MOST_ONCE
    deduplication_scope: DeduplicationScope = DeduplicationScope.ALL
    idempotency_window_ms: float = 0.0  # from the first attempt that may have run
    priority_weight: float = 1.0
    late_value_share: float = 0.0  # of the worth, for an answer after the objective


@dataclass(slots=True)
class Settings:
    """Limits, rules and classes of the deployment."""

    classes: dict[str, RequestClass] = field(default_factory=dict)
    tenant_quotas_rps: dict[str, float] = field(default_factory=dict)  # of all routers together
    router_count: int = 1
    zone: str = ""  # of this router
    tick_ms: float = 1.0  # between two batches of events at the least
    worker_sizes_known: bool = False  # an endpoint's size is that of its machine, and stays
    can_order_starts: bool = True
    can_cancel: bool = True
    can_hedge: bool = True  # two attempts of a request may be in flight at once
    max_attempts: int = 1
    max_retry_after_ms: float = 0.0  # 0: clients take no advice
    keep_alive_ms: float = 10000.0  # an idle instance stays at least this long
    starts_on_request: bool = False  # a request that finds no instance starts one by itself
    start_order_window_ms: float = 0.0  # of the ration of start orders; 0: they are not rationed
    start_order_burst: float = 0.0  # start orders that the ration allows in any window
    start_orders_per_request: float = 0.0  # and so many more for each request of the window
    slow_start_ms: float = 10000.0  # a worker that starts is at full capacity no later than this
    slow_start_initial: float = 0.2  # and begins at this part of it or more
    overload_window_ms: float = 1000.0  # one in slow start fails when sent, for this long,
    overload_multiple: float = 2.0  # more than this multiple of what it can do
