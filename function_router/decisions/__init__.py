"""The decision logic of a router, which maps events to actions.

It is deterministic: it uses no clock, random source, socket or builtin `hash`.

`Router.handle` takes `events` and returns `actions`. All modules share `settings` and `types`. Each other
module is a component with a single concern, which owns its state and its constants. A component calls only
components that come after it in this table. It reports to the components before it by return values.

    router                              handles each kind of event, and calls the components in order
    connection_policy                   which connections may carry an exchange now
    endpoint_polling                    how often the endpoint log is asked
    retries                             retries, hedges, and attempts that are presumed lost
    dispatch                            queues of functions, and the only place that sends requests
    scaling                             probes and cold starts, some of them speculative
    start_orders, start_order_limits    which worker starts an instance, and how many may start at once
    probe_limits                        how many probes for unknown functions may be pending
    speculation                         CIDRE's choice between waiting for an instance and starting one
    admission                           quotas, priorities, and requests that are given up
    answers, retry_policy               final answers of the router itself, and which retries are allowed
    feedback                            updates estimates from the answers and reports of workers
    fleet                               combines the components below, which track workers and functions
    placement                           order of workers, fan-out and headroom
    instances                           instances that are presumed to exist
    health, circuit_breakers            which workers are usable
    late_send_audit                     new work that was sent although a drain was published already
    endpoint_leases                     which workers may get new work, by the list and by health checks
    worker_leases                       health checks of workers, and how long their answers stay valid
    list_lease                          how long the endpoint list stays valid
    capacity, slow_start                limits of workers, and send budgets of those in slow start
    arrivals, durations                 request rates, run times and start times
    workers, functions, requests        tables that own the records; the first two evict old ones
    process_identity                    which connections lead to the listed workers
    records                             workers, functions, instances, requests and attempts
    request_queue, timed_requests       requests in the order of service, and by the time of their next check
    outbox                              actions that are decided but not returned yet

Names with "own" refer to the requests, attempts, sends and rates of this router alone, as opposed to those of
all routers.
"""

from function_router.decisions.router import Router

__all__ = ["Router"]
