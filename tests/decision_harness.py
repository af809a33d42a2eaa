"""Helpers to drive a Router by events, with a clock of their own."""

from function_router.decisions.actions import EnsureInstances, SendRequest
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

SAFE = RequestClass("safe", 1000.0, 2500.0, RetrySafety.IDEMPOTENT)
KEYED = RequestClass("keyed", 1000.0, 4000.0, RetrySafety.IDEMPOTENCY_KEY, DeduplicationScope.ZONE, 2500.0)
UNSAFE = RequestClass("unsafe", 1000.0, 4000.0, RetrySafety.AT_MOST_ONCE)


class DecisionHarness:
    """One Router, its clock, and everything it has done."""

    def __init__(self, workers=4, zones=("a",), seed=1, **settings):
        settings.setdefault("max_attempts", 4)
        specs = {spec.name: spec for spec in (SAFE, KEYED, UNSAFE)}
        self.router = Router(Settings(classes=specs, **settings), seed)
        self.now = 0.0
        self.log = []
        self.endpoints = [Endpoint(n, zone=zones[n % len(zones)]) for n in range(1, workers + 1)]
        self.feed(EndpointsChanged(self.endpoints, is_complete=True))

    def feed(self, *events):
        actions = self.router.handle(self.now, list(events))
        self.log += [(self.now, action) for action in actions]
        return actions

    def sweep(self, until):
        """Let the timer run up to a moment; the actions it brought."""
        done = []
        while self.now + 20 <= until:
            self.now += 20
            done += self.feed(TimerFired(0))
        self.now = until
        return done

    def ask(self, name, fn="f", spec="safe", budget=2500.0, lanes=1, load_ms=500.0, tenant=""):
        return self.feed(RequestArrived(name, fn, spec, tenant, budget, lanes, start_ms=load_ms))

    def count(self, worker, copies, fn="f", ending=Outcome.OK):
        return self.feed(InstancesReported(worker, fn, ending, copies, 1.0))

    def answer_asks(self, actions, standing=None):
        """Answer each question with what stands there; the loads among the actions and all that follows."""
        standing = standing or {}
        done = [action for action in actions if isinstance(action, EnsureInstances) and action.instances]
        for action in actions:
            if isinstance(action, EnsureInstances) and action.instances == 0:
                done += self.count(action.worker_id, standing.get(action.worker_id, 0), action.function)
        return done

    def end(self, send, ending=Outcome.OK, attempt=0, closed=None, warmth=StartKind.WARM, crowd=None):
        closed = ending is Outcome.OK if closed is None else closed
        return self.feed(
            AttemptEnded(send.request_id, attempt, send.worker_id, ending, 100.0, closed, warmth, crowd)
        )

    def warm(self, fn="f", lanes=1, spec="safe", load_ms=500):
        """A first request served, so that one worker holds a copy; that worker."""
        loads = of(self.answer_asks(self.ask("first-" + fn, fn, spec, lanes=lanes)), EnsureInstances)
        self.now += load_ms
        [send] = of(self.count(loads[0].worker_id, 1, fn), SendRequest)
        self.now += 100
        self.end(send)
        return send.worker_id


def of(actions, kind):
    return [action for action in actions if isinstance(action, kind)]
