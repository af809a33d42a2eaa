"""Clients that violate the protocol, to which a router must respond within 3 s.

A rejection, an error and a closed connection count as responses.
"""

import asyncio
import random
import struct
import time

from function_router.net.codecs import thrift
from soak import site
from soak.records import BadClientSeen, Recorder
from soak.thrift_messages import END_OF_STRUCT, encode_cancel, encode_request

RESPONSE_TIMEOUT_S = 4.0  # longer than a router may take, so that the record shows how late a response is
NOISE_BYTES = 300
CANCEL_COUNT = 300
MAX_SIZE = 2**31 - 1  # maximum length that the header of a frame can state
NEGATIVE_SIZE = b"\xff\xff\xff\xf0"
VALID_FIELDS = {
    "op": "view",
    "ttl": "1000",
    "org": site.TENANTS[0],
    "row": "00000000000000aa",
    "props": "memory_mb:128;lanes:1",
}


def _encode_request(**changes: str) -> bytes:
    fields = VALID_FIELDS | {"call": f"{random.getrandbits(64):016x}"} | changes
    return encode_request(1, fields, b"")


def _make_messages(rng: random.Random) -> dict[str, bytes]:
    """Return what each kind of bad client sends."""
    valid = _encode_request()
    invalid_class = _encode_request(op="nothing")
    return {
        "silent": b"",
        "noise": rng.randbytes(NOISE_BYTES),
        "http": b"GET / HTTP/1.1\r\n\r\n",
        "negative length": NEGATIVE_SIZE + valid,
        "huge length": struct.pack(">I", MAX_SIZE) + valid[4:],
        "half a request": valid[: len(valid) // 2],
        "unknown class": invalid_class,
        "unknown tenant": _encode_request(org="nobody"),
        "no id": _encode_request(call="x"),
        "time out of range": _encode_request(ttl="99999999999"),
        "concurrency out of range": _encode_request(props="lanes:999999"),
        "unknown method": thrift.encode_frame(thrift.CALL, b"nothing", 1, END_OF_STRUCT),
        # Cancellations get no answer, so an invalid request follows them, which gets one.
        "cancellations": b"".join(encode_cancel(number) for number in range(CANCEL_COUNT)) + invalid_class,
    }


async def run_bad_client(router: int, port: int, recorder: Recorder, rng: random.Random) -> None:
    """Connect and send a message; record whether the router answers or closes the connection in time."""
    kind, message = rng.choice(list(_make_messages(rng).items()))
    try:
        reader, writer = await asyncio.open_connection("127.0.0.1", port)
    except OSError:
        return  # the router is down
    connected_at = time.monotonic()
    is_settled = True
    try:
        writer.write(message)
        await asyncio.wait_for(reader.read(1), RESPONSE_TIMEOUT_S)
    except TimeoutError:
        is_settled = False
    except OSError:
        pass  # a reset counts as a close
    now = time.monotonic()
    recorder.add(BadClientSeen(router, kind, now, now - connected_at, is_settled=is_settled))
    writer.close()
