"""Case 10: a few clients that withdraw hundreds of requests at once make a router answer others too late."""

import asyncio
import contextlib
import random
import time
from collections import Counter
from pathlib import Path

from review.parts.case import LagMeter, Record, has_trouble, run_case
from review.parts.deployment import Deployment, RouterProcess, make_settings
from soak.thrift_messages import encode_cancel, encode_request

ROUTERS = 2
WORKERS = 12
RPS = 70.0  # of the usual clients, at each router
WARM_UP_S = 8.0
BAD_CLIENTS = 20  # at one of the routers, once
BAD_REQUESTS = 900  # of each: "hundreds of requests withdrawn at once"
AFTER_S = 8.0
WAIT_S = 5.0
FUNCTIONS = [f"{0xEE00 + number:016x}" for number in range(24)]
READ = "extract-read"
GIVE_UP_S = 2.5
MIN_TTL_SHARE = 0.1  # "frequently just a portion of the class's deadline, and less on later tries"
MAX_LATE_S = 0.5 + 0.05
MAX_LAG_S = 0.25
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


async def send_requests(router: RouterProcess, seconds: float, draw: random.Random) -> None:
    """Send the requests of usual clients at random times."""
    end = next_at = time.monotonic()
    end += seconds
    while next_at < end:
        next_at += draw.expovariate(RPS)
        await asyncio.sleep(max(0.0, next_at - time.monotonic()))
        ttl_s = GIVE_UP_S * draw.uniform(MIN_TTL_SHARE, 1.0)
        await router.clients.send(READ, draw.choice(FUNCTIONS), ttl_s, "north", b"body")


async def send_all(deployment: Deployment, seconds: float, draw: random.Random) -> None:
    """Send the requests of usual clients to all routers."""
    draws = [random.Random(draw.random()) for _ in deployment.routers]
    await asyncio.gather(
        *(send_requests(router, seconds, own) for router, own in zip(deployment.routers, draws, strict=True))
    )


def encode_withdrawn_requests(draw: random.Random) -> bytes:
    """Encode the requests of a bad client, each withdrawn at once."""
    data = bytearray()
    for number in range(1, BAD_REQUESTS + 1):
        fields = {
            "op": READ,
            "call": f"{draw.getrandbits(64):016x}",
            "ttl": str(int(1000 * GIVE_UP_S)),
            "org": "north",
            "row": draw.choice(FUNCTIONS),
            "props": "memory_mb:256;lanes:2",
        }
        data += encode_request(number, fields, b"body") + encode_cancel(number)
    return bytes(data)


async def send_and_read(port: int, data: bytes) -> None:
    """Send all at once, and read what is answered."""
    reader, writer = await asyncio.open_connection("127.0.0.1", port)
    writer.write(data)
    with contextlib.suppress(OSError, TimeoutError):
        while await asyncio.wait_for(reader.read(65536), 10.0):
            pass
    writer.close()


async def play(deployment: Deployment, record: Record) -> None:
    """Send the usual traffic; once, bad clients withdraw their requests."""
    for number in range(WORKERS):
        await deployment.add_worker({"loaded": FUNCTIONS}).start(cell=1 + number // 4)
    for _ in range(ROUTERS):
        router = deployment.add_router(make_settings(CLASSES, TENANTS, ROUTERS))
        router.log.add([worker.member for worker in deployment.workers])
        await router.start()
    draw = random.Random(10)
    withdrawn = [encode_withdrawn_requests(draw) for _ in range(BAD_CLIENTS)]
    lag = LagMeter()
    await send_all(deployment, WARM_UP_S, draw)
    bad: list[asyncio.Task[None]] = []
    if has_trouble():
        record(f"{BAD_CLIENTS} clients withdraw {BAD_REQUESTS} requests each at n0")
        port = deployment.routers[0].port
        bad = [asyncio.create_task(send_and_read(port, data)) for data in withdrawn]
    await send_all(deployment, AFTER_S, draw)
    await asyncio.sleep(WAIT_S)
    await asyncio.gather(*bad)
    lag.stop()
    record(f"this process was late by {lag.max_s * 1000:.0f} ms at most")
    if lag.max_s > MAX_LAG_S:
        record.could_not_run(f"the clients ran {lag.max_s:.2f} s late")
    for router in deployment.routers:
        late_s = []
        for sent in router.clients.sent:
            late = (sent.answered_at or time.time()) - sent.at - sent.ttl_s
            late_s.append(late)
            if late > MAX_LATE_S:
                request = f"{router.name}: {sent.call} ttl {sent.ttl_s:.2f} s"
                record.violation(f"{request}: {sent.answer or 'no answer'}, {late:.2f} s after its time")
        answers = Counter(sent.answer or "none" for sent in router.clients.sent)
        record(f"{router.name}: {len(late_s)} requests of usual clients, answers {dict(answers)}")
        latest = [f"{late:.2f}" for late in sorted(late_s)[-4:]]
        record(f"{router.name}: latest, seconds after their time: {latest}")


if __name__ == "__main__":
    run_case(Path(__file__).parent, play)
