"""The router's state of workers, functions and instances, which is independent of open requests."""

from function_router.decisions.arrivals import Arrivals
from function_router.decisions.capacity import Capacity
from function_router.decisions.durations import Durations
from function_router.decisions.endpoint_leases import EndpointLeases
from function_router.decisions.events import EndpointsChanged
from function_router.decisions.functions import FunctionTable
from function_router.decisions.health import Health
from function_router.decisions.instances import Instances
from function_router.decisions.late_send_audit import LateSendAudit
from function_router.decisions.outbox import Outbox
from function_router.decisions.placement import Placement
from function_router.decisions.process_identity import ProcessIdentity
from function_router.decisions.settings import Settings
from function_router.decisions.slow_start import SlowStart
from function_router.decisions.workers import WorkerTable


class Fleet:
    """Owns the lower layers of the decision logic. The layers that handle requests build on them."""

    def __init__(self, settings: Settings, seed: int, outbox: Outbox) -> None:
        self.process_identity = ProcessIdentity()
        self.workers = WorkerTable(settings, self.process_identity)
        self.functions = FunctionTable(settings)
        self.arrivals = Arrivals(settings)
        self.durations = Durations(settings.shortest_objective_ms)
        self.slow_start = SlowStart(settings, self.workers, self.arrivals, seed)
        self.capacity = Capacity(settings, self.workers, self.slow_start, self.durations)
        self.leases = EndpointLeases(settings, self.workers, outbox)
        self.late_send_audit = LateSendAudit(settings, self.workers, outbox)
        self.health = Health(settings, self.workers, self.durations, self.capacity, outbox)
        self.instances = Instances(settings, self.capacity)
        self.placement = Placement(
            self.workers,
            self.arrivals,
            self.durations,
            self.slow_start,
            self.capacity,
            self.health,
            self.instances,
        )

    def update_endpoints(self, event: EndpointsChanged, now_ms: float) -> None:
        """Apply a complete endpoint list or the changes in it."""
        draining = self.workers.update(event, now_ms)
        self.late_send_audit.report_earlier_reports(draining, now_ms)
        self.late_send_audit.report_sends(now_ms)
        self.functions.set_worker_count(len(self.workers.by_id))
        self.health.recount_unresponsive()

    def evict_unused(self, now_ms: float) -> None:
        """Evict idle functions, and workers that were removed long ago."""
        self.functions.evict_idle(now_ms)
        for worker in self.workers.evict_removed(now_ms):
            self.functions.remove_worker(worker)
            self.health.remove_worker(worker)
            self.leases.remove_worker(worker)
