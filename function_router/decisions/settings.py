"""Settings of the decision module, fixed when the router starts. This file contains no decision logic.

Some settings are read from the configuration although no decision uses them: `priority_weight`,
`late_value_share`, `zone` and `starts_on_request`. Only the network code uses `RequestClass.timeout_ms`.

Times are in milliseconds. `function_router.config` maps the settings to configuration keys.
"""

from msgspec import Struct

from function_router.decisions.types import DeduplicationScope, RetrySafety


class RequestClass(Struct, frozen=True):
    """Settings of a class of requests."""

    name: str
    latency_objective_ms: float = 1000.0  # an answer within this time has its full value
    timeout_ms: float = 2500.0  # how long a client waits, including its own retries
    retry_safety: RetrySafety = RetrySafety.AT_MOST_ONCE
    deduplication_scope: DeduplicationScope = DeduplicationScope.ALL
    idempotency_window_ms: float = 0.0  # starts at the first attempt that may have run
    priority_weight: float = 1.0
    late_value_share: float = 0.0  # fraction of its value that an answer has after the objective

    @property
    def is_key_scoped(self) -> bool:
        """Whether only the workers of one zone or cell share the idempotency keys of the class."""
        has_key = self.retry_safety is RetrySafety.IDEMPOTENCY_KEY
        return has_key and self.deduplication_scope is not DeduplicationScope.ALL


class Settings(Struct, frozen=True):
    """Limits, protocol features and request classes of the deployment."""

    classes: dict[str, RequestClass] = {}
    tenant_quotas_rps: dict[str, float] = {}  # quotas for all routers together, by tenant
    router_count: int = 1
    zone: str = ""  # zone of this router
    tick_ms: float = 1.0  # minimum interval between two batches of events
    worker_sizes_known: bool = False  # endpoints report the sizes of their machines, which never change
    can_order_starts: bool = True
    can_cancel: bool = True
    can_hedge: bool = True  # two attempts of a request may be in flight at the same time
    max_attempts: int = 1
    max_retry_after_ms: float = 0.0  # maximum retry-after sent to clients; 0: clients don't support it
    instance_keep_alive_ms: float = 10000.0  # minimum time for which a worker keeps an idle instance
    starts_on_request: bool = False  # a worker starts an instance for a request that finds none
    start_order_window_ms: float = 0.0  # window of the rate limit on start orders; 0: no rate limit
    start_order_burst: float = 0.0  # start orders that the rate limit allows in any window
    start_orders_per_request: float = 0.0  # additional start orders for each request in the window
    drain_grace_ms: float = 1000.0  # how long new work may still go to a worker after its drain is announced
    slow_start_ms: float = 10000.0  # maximum time from a worker's start until it has its full capacity
    slow_start_initial: float = 0.2  # minimum fraction of its capacity that a worker has at its start
    overload_window_ms: float = 1000.0  # window in which the sends to a worker in slow start are counted
    overload_multiple: float = 2.0  # multiple of its capacity above which a worker in slow start fails
    health_check_cost: float = 0.0  # fraction of the value of all requests that a check for each would cost

    max_functions: int = 2_000  # maximum number of functions that are known at the same time
    functions_bytes: int = 0  # maximum memory of these functions; 0: no such limit
    max_pending_probes: int = 4_000  # maximum number of pending probes for functions without known instances

    @property
    def quota_per_ms(self) -> float:
        """Requests per millisecond that the quotas of all tenants allow at all routers; 0 without quotas."""
        return sum(self.tenant_quotas_rps.values()) / 1000

    @property
    def shortest_objective_ms(self) -> float:
        """The shortest latency objective of all classes."""
        objectives_ms = (request_class.latency_objective_ms for request_class in self.classes.values())
        return min(objectives_ms, default=1000.0)
