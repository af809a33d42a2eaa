"""Case 6: a burst within the stated rates makes a router answer requests seconds after their time."""

import asyncio
import random
import time
from collections import Counter
from pathlib import Path

from review.parts.case import LagMeter, Record, has_trouble, run_case
from review.parts.clients import Sent
from review.parts.deployment import Deployment, RouterProcess, make_settings

ROUTERS = 2
WORKERS = 12
SLOTS = 8
WORK_MS = 70.0
USUAL_RPS = 400.0  # of each router
BURST_FACTOR = 2.35  # the page: 1.4 to 2.4 times the usual, for 2.3 to 8.1 s; 940 requests/s of at most 950
WARM_UP_S = 10.0
BURST_S = 8.0
AFTER_S = 4.0
WAIT_S = 9.0  # for the last answers
FUNCTIONS = [f"{0xAA00 + number:016x}" for number in range(12)]
WEIGHTS = [0.6] + [0.4 / 11] * 11  # a handful of functions draw a large part of all calls
READ_SHARE = 0.71
READ, FILING = "extract-read", "change-filing"
GIVE_UP_S = {READ: 2.5, FILING: 3.0}
MAX_LATE_S = 0.5 + 0.05  # "up to half a second after its time it only earns nothing", and 50 ms on sockets
MAX_LAG_S = 0.25  # of this process; above it, the run proves nothing

CLASSES = [
    {
        "name": READ,
        "effect": "idempotent",
        "group": "all",
        "promise": 500.0,
        "give_up": 1000 * GIVE_UP_S[READ],
        "dedup_window": 5000.0,
        "late_share": 0.1,
        "worth": 1.0,
        "stream": False,
    },
    {
        "name": FILING,
        "effect": "deduplicated",
        "group": "all",
        "promise": 500.0,
        "give_up": 1000 * GIVE_UP_S[FILING],
        "dedup_window": 3000.0,
        "late_share": 0.3,
        "worth": 2.0,
        "stream": False,
    },
]
# The quotas of all tenants together are 0.8 of what the workers can do.
CAPACITY_RPS = WORKERS * SLOTS * 1000 / WORK_MS
TENANTS = [{"name": name, "quota_rps": 0.4 * CAPACITY_RPS, "share": 0.5} for name in ("north", "south")]


async def send_requests(router: RouterProcess, rps: float, seconds: float, draw: random.Random) -> None:
    """Send requests at random times."""
    end = next_at = time.monotonic()
    end += seconds
    while next_at < end:
        next_at += draw.expovariate(rps)
        await asyncio.sleep(max(0.0, next_at - time.monotonic()))
        kind = READ if draw.random() < READ_SHARE else FILING
        function = draw.choices(FUNCTIONS, WEIGHTS)[0]
        ttl_s = GIVE_UP_S[kind] * draw.uniform(0.5, 1.0)
        await router.clients.send(kind, function, ttl_s, draw.choice(("north", "south")), b"x" * 200)


async def send_all(deployment: Deployment, rps: float, seconds: float, draw: random.Random) -> None:
    """Send requests to all routers."""
    draws = [random.Random(draw.random()) for _ in deployment.routers]
    await asyncio.gather(
        *(
            send_requests(router, rps, seconds, own)
            for router, own in zip(deployment.routers, draws, strict=True)
        )
    )


def judge(name: str, sent: list[Sent], record: Record) -> None:
    """Record how late the answers of a router were, and each one that the rule counts as lost."""
    late_s = sorted((each.answered_at or time.time()) - each.at - each.ttl_s for each in sent)
    answers = Counter(each.answer or "no answer" for each in sent)
    record(f"{name}: {len(sent)} requests, answers {dict(answers)}")
    record(
        f"{name}: latest answers, seconds after the request's time: {[f'{late:.2f}' for late in late_s[-5:]]}"
    )
    for each, late in ((each, (each.answered_at or time.time()) - each.at - each.ttl_s) for each in sent):
        if late > MAX_LATE_S or not each.answer:
            request = f"{name}: {each.call} {each.kind} ttl {each.ttl_s:.2f} s"
            record.violation(f"{request}: {each.answer or 'no answer'}, {late:.2f} s after its time")


async def play(deployment: Deployment, record: Record) -> None:
    """Send the usual traffic, a burst and the usual traffic again."""
    settings = make_settings(CLASSES, TENANTS, ROUTERS)
    for number in range(WORKERS):
        worker = deployment.add_worker({"slots": SLOTS, "work_ms": WORK_MS})
        await worker.start(zone=f"hall-{'ab'[number % 2]}", cell=1 + number % 4)
    for _ in range(ROUTERS):
        router = deployment.add_router(settings)
        router.log.add([worker.member for worker in deployment.workers])
        await router.start()
    lag = LagMeter()
    draw = random.Random(6)
    await send_all(deployment, USUAL_RPS, WARM_UP_S, draw)
    rps = USUAL_RPS * (BURST_FACTOR if has_trouble() else 1.0)
    record(f"{rps:.0f} requests/s to each router for {BURST_S:.0f} s")
    await send_all(deployment, rps, BURST_S, draw)
    record(f"{USUAL_RPS:.0f} requests/s to each router for {AFTER_S:.0f} s")
    await send_all(deployment, USUAL_RPS, AFTER_S, draw)
    await asyncio.sleep(WAIT_S)
    lag.stop()
    record(f"this process was late by {lag.max_s * 1000:.0f} ms at most")
    if lag.max_s > MAX_LAG_S:
        record.could_not_run(f"the clients ran {lag.max_s:.2f} s late")
    for router in deployment.routers:
        judge(router.name, router.clients.sent, record)
        unconnected = router.clients.unconnected
        record(f"{router.name}: {unconnected} requests without a connection")
    runs = sum(event["event"] == "served" for worker in deployment.workers for event in worker.events())
    record(f"workers: {runs} requests run to their end")


if __name__ == "__main__":
    run_case(Path(__file__).parent, play)
