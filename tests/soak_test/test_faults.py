"""Tests of the registry of faults, and of the mutual exclusion of faults."""

import asyncio

import pytest

from soak import injector as injector_module
from soak.faults import CALL_FAILURES, FAULTS, ClientFault, RouterFault, WorkerFault
from soak.injector import FaultInjector
from soak.plan import FLOOD_KINDS, LOAD_KINDS, Fault, FaultKind
from soak.shim import ShimControl

EXCLUSIVE = FaultKind.ROUTER_KILL
OTHER_EXCLUSIVE = FaultKind.ROUTER_ROLL
SHARED = FaultKind.CLOCK_STEP
ON_WORKERS = FaultKind.WORKER_HANG
OTHER_ON_WORKERS = FaultKind.WORKER_RESTART
ON_CLIENTS = FaultKind.BURST


class StubCluster:
    """A cluster whose targets are strings, for faults that only record them."""

    routers = ("router 0", "router 1", "router 2")
    workers = ("worker 0", "worker 1", "worker 2")


class RecordedFaults:
    """Faults that last until they are released.

    Attributes:
        injected: The kind and the target of each injected fault, in order.
        release: The event that ends all faults.
    """

    def __init__(self):
        self.injected = []
        self.release = asyncio.Event()

    async def on_target(self, _cluster, target, fault):
        """Record a fault of a router or a worker slot."""
        self.injected.append((fault.kind, target))
        await self.release.wait()

    async def on_clients(self, _cluster, fault):
        """Record a fault of the clients."""
        self.injected.append((fault.kind, "clients"))
        await self.release.wait()


@pytest.fixture
def inject(monkeypatch):
    """Return a function that starts faults one after the other while earlier ones last.

    The function returns the kind and the target of each injected fault.
    """

    async def run(*faults):
        recorded = RecordedFaults()
        for kind, registered in FAULTS.items():
            record = recorded.on_clients if isinstance(registered, ClientFault) else recorded.on_target
            stub = type(registered)(record)
            if isinstance(registered, RouterFault):
                stub = RouterFault(record, is_exclusive=registered.is_exclusive)
            monkeypatch.setitem(injector_module.FAULTS, kind, stub)
        injector = FaultInjector(StubCluster())
        tasks = []
        for fault in faults:
            tasks.append(asyncio.create_task(injector.inject(fault)))
            # The first pause runs the injector, which starts a task for each target; the second runs these.
            await asyncio.sleep(0)
            await asyncio.sleep(0)
        recorded.release.set()
        await asyncio.gather(*tasks)
        return recorded.injected

    return lambda *faults: asyncio.run(run(*faults))


def fault(kind, *targets):
    """Return a fault of the routers and worker slots with these numbers."""
    return Fault(kind, 0.0, 1.0, routers=list(targets), workers=list(targets), intensity=0.5)


def test_each_kind_of_fault_is_registered():
    assert set(FAULTS) == set(FaultKind)


def test_kinds_are_registered_with_the_expected_exclusion():
    shared = {
        kind for kind, each in FAULTS.items() if isinstance(each, RouterFault) and not each.is_exclusive
    }
    on_clients = {kind for kind, each in FAULTS.items() if isinstance(each, ClientFault)}

    assert shared == {FaultKind.CLOCK_STEP, FaultKind.CALLS_FAIL, FaultKind.ENDPOINT_LOG_SILENT}
    assert on_clients == {FaultKind.BURST, FaultKind.BAD_CLIENTS, *LOAD_KINDS, *FLOOD_KINDS}
    assert sum(isinstance(each, WorkerFault) for each in FAULTS.values()) == 6


def test_failing_calls_are_fields_of_the_control():
    assert set(CALL_FAILURES) <= set(ShimControl.__dataclass_fields__)


def test_fault_hits_all_its_targets(inject):
    injected = inject(fault(EXCLUSIVE, 0, 2))

    assert injected == [(EXCLUSIVE, "router 0"), (EXCLUSIVE, "router 2")]


@pytest.mark.parametrize(
    ("first", "second", "name"),
    [(EXCLUSIVE, OTHER_EXCLUSIVE, "router"), (ON_WORKERS, OTHER_ON_WORKERS, "worker")],
)
def test_second_exclusive_fault_skips_targets_of_the_first(inject, first, second, name):
    injected = inject(fault(first, 0, 1), fault(second, 1, 2))

    assert injected == [(first, f"{name} 0"), (first, f"{name} 1"), (second, f"{name} 2")]


def test_target_is_free_again_after_a_fault(monkeypatch):
    injected = []

    async def record(_cluster, target, fault):
        injected.append((fault.kind, target))

    async def run():
        monkeypatch.setitem(injector_module.FAULTS, EXCLUSIVE, RouterFault(record))
        injector = FaultInjector(StubCluster())
        await injector.inject(fault(EXCLUSIVE, 1))
        await injector.inject(fault(EXCLUSIVE, 1))

    asyncio.run(run())

    assert injected == [(EXCLUSIVE, "router 1")] * 2


@pytest.mark.parametrize(
    ("kinds", "targets"),
    [
        pytest.param([EXCLUSIVE, SHARED], ["router 1", "router 1"], id="shared during exclusive"),
        pytest.param([SHARED, SHARED], ["router 1", "router 1"], id="shared during shared"),
        pytest.param([SHARED, EXCLUSIVE], ["router 1", "router 1"], id="exclusive during shared"),
        pytest.param([EXCLUSIVE, ON_WORKERS], ["router 1", "worker 1"], id="router and worker"),
        pytest.param([EXCLUSIVE, ON_CLIENTS], ["router 1", "clients"], id="router and clients"),
    ],
)
def test_faults_that_do_not_exclude_each_other_are_both_injected(inject, kinds, targets):
    injected = inject(*(fault(kind, 1) for kind in kinds))

    assert injected == list(zip(kinds, targets, strict=True))
