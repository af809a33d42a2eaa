"""The settings of a router's decisions, which are fixed at its start. Nothing is decided here.

Some are read from the configuration, but no decision uses them: `priority_weight`, `late_value_share`, `zone`
and `starts_on_request`. `RequestClass.timeout_ms` is used by the network only.

Times are milliseconds. `function_router.config` maps them to the keys of the configuration.
"""

from msgspec import Struct

from function_router.decisions.types import DeduplicationScope, RetrySafety


class RequestClass(Struct, frozen=True):
    """The settings of a class of requests."""

    name: str
    latency_objective_ms: float = 1000.0  # an answer within it is of full value
    timeout_ms: float = 2500.0  # how long a client waits, over all its own retries
    retry_safety: RetrySafety = RetrySafety.AT_MOST_ONCE
    deduplication_scope: DeduplicationScope = DeduplicationScope.ALL
    idempotency_window_ms: float = 0.0  # from the first attempt that may have run
    priority_weight: float = 1.0
    late_value_share: float = 0.0  # value of an answer after the objective, as a fraction


class Settings(Struct, frozen=True):
    """Limits, rules and classes of the deployment."""

    classes: dict[str, RequestClass] = {}
    tenant_quotas_rps: dict[str, float] = {}  # for all routers together
    router_count: int = 1
    zone: str = ""  # of this router
    tick_ms: float = 1.0  # least interval between two batches of events
    worker_sizes_known: bool = False  # endpoints' sizes are those of their machines, and never change
    can_order_starts: bool = True
    can_cancel: bool = True
    can_hedge: bool = True  # two attempts of a request may be in flight at once
    max_attempts: int = 1
    max_retry_after_ms: float = 0.0  # longest advice on when to retry; 0: clients don't take any
    keep_alive_ms: float = 10000.0  # an idle instance is kept for at least this long
    starts_on_request: bool = False  # a worker starts an instance for a request that finds none
    start_order_window_ms: float = 0.0  # window of the rate limit on start orders; 0: there is none
    start_order_burst: float = 0.0  # start orders that the rate limit allows in any window
    start_orders_per_request: float = 0.0  # and how many more for each request in it
    drain_grace_ms: float = 1000.0  # how long new work may still go to a worker after the notice of its drain
    slow_start_ms: float = 10000.0  # how long after its start a worker is at full capacity, at the latest
    slow_start_initial: float = 0.2  # fraction of its capacity that it has at its start, at least
    overload_window_ms: float = 1000.0  # a worker in slow start fails if it gets within this window
    overload_multiple: float = 2.0  # more than this multiple of what it can work on

    @property
    def quota_per_ms(self) -> float:
        """Requests a millisecond that the quotas of all tenants allow at all routers; 0 without quotas."""
        return sum(self.tenant_quotas_rps.values()) / 1000

    @property
    def shortest_objective_ms(self) -> float:
        """The shortest latency objective of any class."""
        objectives_ms = (request_class.latency_objective_ms for request_class in self.classes.values())
        return min(objectives_ms, default=1000.0)
