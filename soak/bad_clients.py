"""Clients that do not keep to the protocol: each is owed a rejection, an error or a close within 3 s."""

import asyncio
import random
import struct
import time

from function_router.net.codecs import thrift
from soak import site
from soak.records import BadClientSeen, Recorder
from soak.thrift_client import encode_cancel, encode_request

PATIENCE_S = 4.0
GOOD_FIELDS = {
    "op": "view",
    "ttl": "1000",
    "org": site.TENANTS[0],
    "row": "00000000000000aa",
    "props": "memory_mb:128;lanes:1",
}


def _request(seqid: int = 1, **changes: str) -> bytes:
    fields = GOOD_FIELDS | {"call": f"{random.getrandbits(64):016x}"} | changes
    return encode_request(seqid, fields, b"")


def _messages(rng: random.Random) -> dict[str, bytes]:
    """What each kind of bad client sends."""
    good = _request()
    return {
        "silent": b"",
        "noise": rng.randbytes(300),
        "http": b"GET / HTTP/1.1\r\n\r\n",
        "negative length": b"\xff\xff\xff\xf0" + good,
        "huge length": struct.pack(">I", 2**31 - 1) + good[4:],
        "half a request": good[: len(good) // 2],
        "unknown class": _request(op="nothing"),
        "unknown tenant": _request(org="nobody"),
        "no id": _request(call="x"),
        "time out of range": _request(ttl="99999999999"),
        "concurrency out of range": _request(props="lanes:999999"),
        "unknown method": thrift.encode_frame(thrift.CALL, b"nothing", 1, b"\0"),
        "cancellations": b"".join(encode_cancel(number) for number in range(300)) + _request(op="nothing"),
    }


async def run_bad_client(router: int, port: int, recorder: Recorder, rng: random.Random) -> None:
    """Connect, send, and record whether anything came back in time."""
    kind, message = rng.choice(list(_messages(rng).items()))
    try:
        reader, writer = await asyncio.open_connection("127.0.0.1", port)
    except OSError:
        return
    connected_at = time.monotonic()
    is_settled = True
    try:
        writer.write(message)
        await asyncio.wait_for(reader.read(1), PATIENCE_S)
    except TimeoutError:
        is_settled = False
    except OSError:
        pass
    now = time.monotonic()
    recorder.add(BadClientSeen(router, kind, now, now - connected_at, is_settled))
    writer.close()
