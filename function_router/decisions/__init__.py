"""The decisions of a router: events in, actions out; no clock, randomness, sockets or builtin `hash`.

`Router.handle` takes `events` and returns `actions`; `settings` and `types` are shared by all modules. Each
of the others is a part with one concern, which owns its state and its constants. A part calls only parts that
come after it in this table; what it notices for one before it, it returns.

    router                              a handler for each event, which orders the parts
    retries                             retries, hedges, attempts presumed lost
    dispatch                            the queues, and the one place that sends
    scaling                             probes, and cold starts that race busy instances
    start_orders, start_order_limits    where instances are started, and how many at once
    speculation                         CIDRE's switch between waiting and starting
    admission                           quotas, priorities, requests that are given up
    answers, retry_policy               final answers of the router's own, and which retries are allowed
    feedback                            what answers and reports teach
    fleet                               puts together the parts below, which know workers and functions
    placement                           order of workers, fan-out, headroom
    instances                           which instances are believed to exist
    health, circuit_breakers            which workers are usable
    endpoint_leases                     until when the endpoint list, and a worker's word, may be believed
    capacity, slow_start                limits and budgets of workers
    arrivals, durations                 rates of requests, run and start times
    workers, functions, requests        tables: who owns the records, and when they are forgotten
    records                             workers, functions, instances, requests and attempts
    outbox                              actions that are not returned yet

"Own" requests, attempts, sends and rates are those of this router, in contrast to those of all routers.
"""

from function_router.decisions.router import Router

__all__ = ["Router"]
