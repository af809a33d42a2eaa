"""The codec of the binary frames between routers and workers, without I/O.

A frame consists of a header (direction, code, length of the fields, length of the body, exchange id), the
fields as `name=value,name=value`, the body, and a CRC-32 checksum of fields and body. Numbers are big-endian.
"""

import struct
import zlib

from msgspec import Struct

from function_router.errors import FunctionRouterError

# The direction of a frame, in its first byte: whether a router or a worker sends it.
FROM_ROUTER = 128
FROM_WORKER = 129

# The code of a router's frame, in its second byte: the operation that the worker is to perform.
RUN = 1
CANCEL = 2
CHECK_HEALTH = 3
ENSURE_INSTANCES = 5

# The code of a worker's frame, in its second byte: the result of the exchange.
OK = 0
NOT_LOADED = 2
QUEUE_FULL = 3
ERROR = 4
EXPIRED = 5
READY = 6
DRAINING = 7

# Names of the fields.
CLASS_FIELD = "kind"
FUNCTION_FIELD = "obj"
TIMEOUT_MS_FIELD = "ms"
IDEMPOTENCY_KEY_FIELD = "token"
INSTANCES_FIELD = "slots_up"
IN_FLIGHT_FIELD = "company"
START_KIND_FIELD = "res"

# Values of START_KIND_FIELD: how the worker obtained an instance for the request.
REUSED = "reused"
STARTED = "init"
JOINED_START = "shared_init"
START_FAILED = "init_error"

# Maximum size of a body, far above that of any body that may be passed to a client; a frame that states a
# larger one is invalid.
MAX_BODY_BYTES = 256 * 1024

_HEADER = struct.Struct(">BBHI8s")
_CHECKSUM = struct.Struct(">I")


class FrameError(FunctionRouterError):
    """Bytes that are not a valid frame; the rest of the stream cannot be parsed."""


class Frame(Struct, frozen=True):
    """One decoded frame.

    Attributes:
        code: The operation that the worker is to perform, or the result of the exchange.
        exchange_id: Id of the exchange that the frame opens, cancels or answers; eight bytes.
        fields: The fields by name.
        body: The body; may be empty.
    """

    code: int
    exchange_id: bytes
    fields: dict[str, str]
    body: bytes


def encode(
    code: int, exchange_id: bytes, fields: str = "", body: bytes = b"", direction: int = FROM_ROUTER
) -> bytes:
    """Encode a frame; `fields` must be joined as `name=value,name=value` already."""
    field_bytes = fields.encode()
    checksum = zlib.crc32(body, zlib.crc32(field_bytes))
    header = _HEADER.pack(direction, code, len(field_bytes), len(body), exchange_id)
    return header + field_bytes + body + _CHECKSUM.pack(checksum)


def parse_fields(data: bytes) -> dict[str, str]:
    """Decode the fields by name; an element without a name or without `=` is ignored."""
    parts = (part.partition("=") for part in data.decode("utf-8", "replace").split(",") if part)
    return {name: value for name, separator, value in parts if separator and name}


def encode_run(
    exchange_id: bytes, class_name: str, function: str, timeout_ms: float, idempotency_key: str, body: bytes
) -> bytes:
    """Encode the frame that has a worker run a request; an empty idempotency key is omitted."""
    fields = (
        f"{CLASS_FIELD}={class_name},{FUNCTION_FIELD}={function},{TIMEOUT_MS_FIELD}={max(1, int(timeout_ms))}"
    )
    if idempotency_key:
        fields = f"{fields},{IDEMPOTENCY_KEY_FIELD}={idempotency_key}"
    return encode(RUN, exchange_id, fields, body)


def encode_cancel(exchange_id: bytes) -> bytes:
    """Encode the frame that cancels a request; the worker does not answer it."""
    return encode(CANCEL, exchange_id)


def encode_ensure_instances(exchange_id: bytes, function: str, instances: int) -> bytes:
    """Encode an order to start instances of a function until the worker has `instances` of them.

    With 0 instances, the frame is a probe: the worker starts none. The answer to either states how many
    instances of the function the worker has.
    """
    return encode(ENSURE_INSTANCES, exchange_id, f"{FUNCTION_FIELD}={function},{INSTANCES_FIELD}={instances}")


def encode_check_health(exchange_id: bytes) -> bytes:
    """Encode the frame that asks a worker whether it is ready or draining."""
    return encode(CHECK_HEALTH, exchange_id)


class FrameReader:
    """Splits the byte stream of one connection into frames; buffers at most one incomplete frame.

    Attributes:
        error: The error of the first invalid frame; None until there is one.
    """

    __slots__ = ("_buffer", "_direction", "error")

    def __init__(self, direction: int = FROM_WORKER) -> None:
        """Create a reader of frames with this direction."""
        self.error: FrameError | None = None
        self._buffer = bytearray()
        self._direction = direction

    @property
    def has_partial_frame(self) -> bool:
        """Whether the last frame is incomplete."""
        return bool(self._buffer)

    @property
    def buffered_bytes(self) -> int:
        """The size of the incomplete frame."""
        return len(self._buffer)

    def feed(self, data: bytes) -> list[Frame]:
        """Add received bytes; return the frames that they complete, up to the first invalid one."""
        self._buffer += data
        frames: list[Frame] = []
        start = 0
        while len(self._buffer) - start >= _HEADER.size:
            header = _HEADER.unpack_from(self._buffer, start)
            direction, code, fields_length, body_length, exchange_id = header
            if direction != self._direction or body_length > MAX_BODY_BYTES:
                self.error = FrameError(f"direction byte {direction}, body of {body_length} bytes")
                break
            end = start + _HEADER.size + fields_length + body_length
            if len(self._buffer) < end + _CHECKSUM.size:
                break
            content = bytes(self._buffer[start + _HEADER.size : end])
            if zlib.crc32(content) != _CHECKSUM.unpack_from(self._buffer, end)[0]:
                self.error = FrameError("checksum mismatch")
                break
            fields = parse_fields(content[:fields_length])
            frames.append(Frame(code, exchange_id, fields, content[fields_length:]))
            start = end + _CHECKSUM.size
        del self._buffer[:start]
        return frames
