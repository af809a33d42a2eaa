"""Clients that withdraw hundreds of requests at once, which must not delay the answers to others."""

import asyncio
import contextlib
import random
from collections.abc import Sequence

from soak import site
from soak.thrift_messages import encode_cancel, encode_request

BULK_REQUESTS = 800  # of each client
READ_BYTES = 65_536
READ_TIMEOUT_S = 2.0  # without an answer, after which a client closes its connection


def encode_withdrawn_requests(functions: Sequence[str], rng: random.Random) -> bytes:
    """Encode requests that are each followed by their cancellation."""
    data = bytearray()
    for seqid in range(1, BULK_REQUESTS + 1):
        fields = {
            "op": "view",
            "call": f"{rng.getrandbits(64):016x}",
            "ttl": str(int(site.MAX_TIMEOUT_MS)),
            "org": site.TENANTS[0],
            "row": rng.choice(functions),
            "props": f"memory_mb:128;lanes:{site.WORKER_CONCURRENCY}",
        }
        data += encode_request(seqid, fields, b"") + encode_cancel(seqid)
    return bytes(data)


async def run_bulk_client(port: int, data: bytes) -> None:
    """Send encoded requests with their cancellations at once, and read what is answered."""
    try:
        reader, writer = await asyncio.open_connection("127.0.0.1", port)
    except OSError:
        return  # the router is down
    writer.write(data)
    with contextlib.suppress(OSError, TimeoutError):
        while await asyncio.wait_for(reader.read(READ_BYTES), READ_TIMEOUT_S):
            pass
    writer.close()
