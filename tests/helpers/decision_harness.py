"""Passes events to the decision module, with a clock that only the test advances.

Times are milliseconds. Workers have the ids 1, 2, ..., and the default function is `f`.
"""

from typing import NamedTuple

from function_router.decisions.actions import Action, EnsureInstances, SendRequest
from function_router.decisions.events import (
    AttemptEnded,
    Endpoint,
    EndpointsChanged,
    InstancesReported,
    RequestArrived,
    TimerFired,
)
from function_router.decisions.router import Router
from function_router.decisions.settings import RequestClass, Settings
from function_router.decisions.types import DeduplicationScope, Outcome, RetrySafety, StartKind

IDEMPOTENT = RequestClass("idempotent", 1000.0, 2500.0, RetrySafety.IDEMPOTENT)
IDEMPOTENCY_KEY = RequestClass(
    "keyed", 1000.0, 4000.0, RetrySafety.IDEMPOTENCY_KEY, DeduplicationScope.ZONE, 2500.0
)
AT_MOST_ONCE = RequestClass("at-most-once", 1000.0, 4000.0, RetrySafety.AT_MOST_ONCE)

TIMER_STEP_MS = 20  # interval between timer events; shorter than the delays that the router requests
ATTEMPT_DURATION_MS = 100.0  # duration that is reported for each attempt

MANY_ROUTERS_WORKERS = 20  # number of workers that the routers of `many_routers` share
MANY_ROUTERS_TENANT = "t"  # the only tenant of these routers
MANY_ROUTERS_QUOTA_RPS = 100.0  # quota of the tenant, shared by these routers


class LoggedAction(NamedTuple):
    """An action of the router, and the time at which it was returned."""

    time_ms: float
    action: Action


class DecisionHarness:
    """A router, its clock, and a log of all actions that the router has returned.

    Each method that passes an event to the router returns the resulting actions.
    """

    def __init__(self, workers=4, zones=("a",), seed=1, tenant="", more_classes=(), **settings):
        settings.setdefault("max_attempts", 4)
        classes = {
            request_class.name: request_class
            for request_class in (IDEMPOTENT, IDEMPOTENCY_KEY, AT_MOST_ONCE, *more_classes)
        }
        self.router = Router(Settings(classes=classes, **settings), seed)
        self.now_ms = 0.0
        self.action_log = []
        self.tenant = tenant  # default tenant of requests
        self.endpoints = [
            Endpoint(worker_id, zone=zones[worker_id % len(zones)]) for worker_id in range(1, workers + 1)
        ]
        self.feed(EndpointsChanged(self.endpoints, is_complete=True))

    def feed(self, *events):
        """Pass a batch of events to the router at the current time."""
        actions = self.router.handle(self.now_ms, list(events))
        self.action_log += [LoggedAction(self.now_ms, action) for action in actions]
        return actions

    def run_timer_until(self, until_ms):
        """Advance the clock to this time, and fire the timer at intervals of `TIMER_STEP_MS`."""
        actions = []
        while self.now_ms + TIMER_STEP_MS <= until_ms:
            self.now_ms += TIMER_STEP_MS
            actions += self.feed(TimerFired(0))
        self.now_ms = until_ms
        return actions

    def request(
        self,
        request_id,
        function="f",
        class_name="idempotent",
        timeout_ms=2500.0,
        concurrency=1,
        expected_start_ms=500.0,
        tenant=None,
    ):
        """Report the arrival of a request."""
        tenant = self.tenant if tenant is None else tenant
        return self.feed(
            RequestArrived(
                request_id,
                function,
                class_name,
                tenant,
                timeout_ms,
                concurrency,
                expected_start_ms=expected_start_ms,
            )
        )

    def report_instances(self, worker_id, instances, function="f", outcome=Outcome.OK):
        """Report the answer of a worker to a probe or a start order: the number of its instances."""
        return self.feed(InstancesReported(worker_id, function, outcome, instances, 1.0))

    def answer_probes(self, actions, instances_by_worker=None):
        """Answer each probe among the actions; by default, no worker has an instance.

        Returns:
            The start orders among the actions, and all actions that result from the answers.
        """
        instances_by_worker = instances_by_worker or {}
        resulting_actions = start_orders(actions)
        for probe in probes(actions):
            instances = instances_by_worker.get(probe.worker_id, 0)
            resulting_actions += self.report_instances(probe.worker_id, instances, probe.function)
        return resulting_actions

    def complete_starts(self, actions):
        """Answer each probe and start order with one instance, including those that result from the answers.

        Returns:
            The sends among the actions, and those that result from the answers.
        """
        sends = actions_of(actions, SendRequest)
        for order in actions_of(actions, EnsureInstances):
            sends += self.complete_starts(self.report_instances(order.worker_id, 1, order.function))
        return sends

    def end_attempt(
        self,
        send,
        outcome=Outcome.OK,
        attempt_number=0,
        *,
        is_answered=None,
        start_kind=StartKind.WARM,
        in_flight=None,
        transmission=None,
    ):
        """Report the end of an attempt; by default, only an answer that is OK is passed to the client."""
        if is_answered is None:
            is_answered = outcome is Outcome.OK
        return self.feed(
            AttemptEnded(
                send.request_id,
                attempt_number,
                send.worker_id,
                outcome,
                ATTEMPT_DURATION_MS,
                is_answered,
                start_kind,
                in_flight,
                transmission=transmission,
            )
        )

    def warm_up(self, function="f", concurrency=1, class_name="idempotent", start_ms=500):
        """Serve the first request of a function, so that one worker has an instance.

        Returns:
            The id of that worker.
        """
        actions = self.request("first-" + function, function, class_name, concurrency=concurrency)
        order = start_orders(self.answer_probes(actions))[0]
        self.now_ms += start_ms
        [send] = actions_of(self.report_instances(order.worker_id, 1, function), SendRequest)
        self.now_ms += 100
        self.end_attempt(send)
        return send.worker_id

    @property
    def fleet(self):
        """The router's records of workers and functions."""
        return self.router.fleet

    def worker(self, worker_id):
        """Return the router's record of a worker."""
        return self.fleet.workers.by_id[worker_id]

    def function(self, name):
        """Return the router's record of a function."""
        return self.fleet.functions.by_name[name]

    def zone_of(self, worker_id):
        """Return the zone of a worker."""
        return self.endpoints[worker_id - 1].zone

    def logged(self, *kinds):
        """Return the log entries of all actions of these kinds."""
        return [entry for entry in self.action_log if isinstance(entry.action, kinds)]

    def all_actions(self):
        """Return all actions of the log, without their times."""
        return [entry.action for entry in self.action_log]


def actions_of(actions, kind):
    """Select the actions of one kind."""
    return [action for action in actions if isinstance(action, kind)]


def probes(actions):
    """Select the probes, which only ask for the number of instances."""
    return [order for order in actions_of(actions, EnsureInstances) if order.instances == 0]


def start_orders(actions):
    """Select the start orders, without the probes."""
    return [order for order in actions_of(actions, EnsureInstances) if order.instances]


def many_routers(count, **settings):
    """Create harnesses of `count` routers that share workers and a tenant, and differ only in their seeds."""
    return [_router_of_many(number, count, **settings) for number in range(count)]


def one_of_many_routers(count, **settings):
    """Create the harness of one of `count` routers; the other routers are not simulated."""
    return _router_of_many(0, count, **settings)


def _router_of_many(number, count, **settings):
    return DecisionHarness(
        workers=MANY_ROUTERS_WORKERS,
        seed=number * 7919 + 5,
        tenant=MANY_ROUTERS_TENANT,
        router_count=count,
        tenant_quotas_rps={MANY_ROUTERS_TENANT: MANY_ROUTERS_QUOTA_RPS},
        **settings,
    )
