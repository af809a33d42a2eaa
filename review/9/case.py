"""Case 9: routers send new work to drained workers, as the path of the change log has become slow."""

import asyncio
import random
import time
from collections import Counter
from pathlib import Path

from review.parts.case import Record, has_trouble, run_case
from review.parts.deployment import Deployment, RouterProcess, WorkerProcess, make_settings

ROUTERS = 2
WORKERS = 12
DRAINED = 3
RPS = 70.0  # of each router
WARM_UP_S = 6.0
DELAY_S = 3.6  # the page: the list runs 2.5 to 8.8 s further behind, for 10 to 29 s
GROWTH_S = 0.4  # by which the delay grows in a second, so that a line comes each 1.4 s instead of each second
STEP_S = 0.1
SLOW_S = 5.0  # for which the delay stays
GRACE_S = 1.0 + 0.05 + 0.05  # the settings, 50 ms on sockets, and 50 ms for the observers
FUNCTIONS = [f"{0xDD00 + number:016x}" for number in range(10)]
READ = "extract-read"
GIVE_UP_S = 2.5
CLASSES = [
    {
        "name": READ,
        "effect": "idempotent",
        "group": "all",
        "promise": 500.0,
        "give_up": 1000 * GIVE_UP_S,
        "dedup_window": 5000.0,
        "late_share": 0.1,
        "worth": 1.0,
        "stream": False,
    },
]
TENANTS = [{"name": "north", "quota_rps": 300.0, "share": 1.0}]


async def send_requests(router: RouterProcess, stop: asyncio.Event, draw: random.Random) -> None:
    """Send requests at random times."""
    next_at = time.monotonic()
    while not stop.is_set():
        next_at += draw.expovariate(RPS)
        await asyncio.sleep(max(0.0, next_at - time.monotonic()))
        await router.clients.send(READ, draw.choice(FUNCTIONS), GIVE_UP_S, "north", b"body")


async def change_delay(deployment: Deployment, to_s: float) -> None:
    """Let the delay of all logs grow or shrink evenly."""
    delay_s = deployment.routers[0].log.delay_s
    steps = round(abs(to_s - delay_s) / (GROWTH_S * STEP_S))
    for step in range(1, steps + 1):
        for router in deployment.routers:
            router.log.delay_s = delay_s + (to_s - delay_s) * step / steps
        await asyncio.sleep(STEP_S)


def judge(worker: WorkerProcess, drained_at: float, record: Record) -> None:
    """Record the new work that arrived later than the grace after the drain was in the log."""
    late = [
        event
        for event in worker.events()
        if event["event"] in ("attempt", "order") and event["at"] > drained_at + GRACE_S
    ]
    kinds = dict(Counter(event["event"] for event in late))
    record(f"{worker.name}: {kinds} later than {GRACE_S:.2f} s after the drain was in the log")
    for event in late:
        after_s = event["at"] - drained_at
        record.violation(f"{worker.name}: {event['event']} {after_s:.2f} s after the drain was in the log")


async def play(deployment: Deployment, record: Record) -> None:
    """Let the lines of the logs come later and later, then drain workers."""
    for number in range(WORKERS):
        await deployment.add_worker({"loaded": FUNCTIONS}).start(cell=1 + number // 4)
    for _ in range(ROUTERS):
        router = deployment.add_router(make_settings(CLASSES, TENANTS, ROUTERS))
        router.log.add([worker.member for worker in deployment.workers])
        await router.start()
    stop = asyncio.Event()
    draw = random.Random(9)
    clients = [
        asyncio.create_task(send_requests(router, stop, random.Random(draw.random())))
        for router in deployment.routers
    ]
    await asyncio.sleep(WARM_UP_S)
    delay_s = DELAY_S if has_trouble() else 0.0
    await change_delay(deployment, delay_s)
    record(f"the lines of the logs are {delay_s} s late")
    busiest = sorted(deployment.workers, key=lambda worker: -len(worker.events()))[:DRAINED]
    drained_at = time.time()
    for worker in busiest:
        worker.command("drain")
        for router in deployment.routers:
            router.log.add([{**worker.member, "phase": "terminating"}])
    record(f"{[worker.name for worker in busiest]} drain, and the logs have it")
    await asyncio.sleep(SLOW_S)
    await change_delay(deployment, 0.0)
    stop.set()
    await asyncio.gather(*clients)
    await asyncio.sleep(3.0)
    for router in deployment.routers:
        record(
            f"{router.name}: answers {dict(Counter(sent.answer or 'none' for sent in router.clients.sent))}"
        )
        for line in (deployment.folder / f"{router.name}.log").read_text().splitlines():
            if "endpoint l" in line:
                record(line)
    for worker in busiest:
        judge(worker, drained_at, record)


if __name__ == "__main__":
    run_case(Path(__file__).parent, play)
