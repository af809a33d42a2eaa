"""The two wire formats of the protocol page: Thrift for clients, and binary frames for workers."""

import struct
import zlib
from dataclasses import dataclass

RUN, CANCEL, CHECK, REPORT, LOAD, UNLOAD = 1, 2, 3, 4, 5, 7
OK, MISS, FULL, ERROR, OVER, READY, DRAINING = 0, 2, 3, 4, 5, 6, 7
FROM_ROUTER, FROM_WORKER = 128, 129

SERVED, REFUSED, FAILED, EXCEPTION = "served", "refused", "failed", "exception"

_HEAD = struct.Struct(">BBHI8s")
_CHECK = struct.Struct(">I")
_VERSION = 0x80010000
_CALL, _EXCEPTION, _ONEWAY = 1, 3, 4
_BOOL, _I32, _STRING, _STRUCT, _MAP = 2, 8, 11, 12, 13
_RESULTS = {0: SERVED, 1: REFUSED, 2: FAILED}


@dataclass(frozen=True, slots=True)
class Frame:
    """A frame between a router and a worker."""

    code: int
    exchange: bytes
    fields: dict[str, str]
    body: bytes


def frame(code: int, exchange: bytes, fields: str = "", body: bytes = b"", mark: int = FROM_WORKER) -> bytes:
    """Encode a frame."""
    content = fields.encode() + body
    head = _HEAD.pack(mark, code, len(fields.encode()), len(body), exchange)
    return head + content + _CHECK.pack(zlib.crc32(content))


def take_frame(buffer: bytearray) -> Frame | None:
    """Remove the first complete frame of a router from a buffer; raise ValueError for an invalid one."""
    if len(buffer) < _HEAD.size:
        return None
    mark, code, fields_size, body_size, exchange = _HEAD.unpack_from(buffer)
    end = _HEAD.size + fields_size + body_size
    if len(buffer) < end + _CHECK.size:
        return None
    content = bytes(buffer[_HEAD.size : end])
    if mark != FROM_ROUTER or zlib.crc32(content) != _CHECK.unpack_from(buffer, end)[0]:
        reason = "not a frame of a router"
        raise ValueError(reason)
    del buffer[: end + _CHECK.size]
    pairs = (item.partition("=") for item in content[:fields_size].decode().split(",") if item)
    return Frame(code, exchange, {name: value for name, _, value in pairs}, content[fields_size:])


def _string(data: bytes) -> bytes:
    return struct.pack(">i", len(data)) + data


def _message(kind: int, method: bytes, seqid: int, arguments: bytes) -> bytes:
    message = struct.pack(">I", _VERSION | kind) + _string(method) + struct.pack(">i", seqid) + arguments
    return _string(message + b"\0")


def request(seqid: int, fields: dict[str, str], body: bytes) -> bytes:
    """Encode a call of `handle`."""
    pairs = b"".join(_string(name.encode()) + _string(value.encode()) for name, value in fields.items())
    arguments = struct.pack(">bhbbi", _MAP, 1, _STRING, _STRING, len(fields)) + pairs
    return _message(_CALL, b"handle", seqid, arguments + struct.pack(">bh", _STRING, 2) + _string(body))


def withdraw(seqid: int, withdrawn: int) -> bytes:
    """Encode a one-way call of `withdraw`."""
    return _message(_ONEWAY, b"withdraw", seqid, struct.pack(">bhi", _I32, 1, withdrawn))


def status(seqid: int) -> bytes:
    """Encode a call of `status`."""
    return _message(_CALL, b"status", seqid, struct.pack(">bhb", _BOOL, 1, 1))


@dataclass(frozen=True, slots=True)
class Answer:
    """An answer of a router; `good` is the third field of an `Answer` struct."""

    seqid: int
    kind: str
    body: bytes = b""
    good: bool = False


def take_answer(buffer: bytearray) -> Answer | None:
    """Remove the first complete answer from a buffer."""
    if len(buffer) < _CHECK.size:
        return None
    (size,) = struct.unpack_from(">i", buffer)
    if len(buffer) < _CHECK.size + size:
        return None
    message = bytes(buffer[_CHECK.size : _CHECK.size + size])
    del buffer[: _CHECK.size + size]
    (version, name_size) = struct.unpack_from(">Ii", message)
    position = 8 + name_size
    (seqid,) = struct.unpack_from(">i", message, position)
    if version & 0xFF == _EXCEPTION:
        return Answer(seqid, EXCEPTION)
    _, result = struct.unpack_from(">bh", message, position + 4)
    if _RESULTS[result] != SERVED:
        return Answer(seqid, _RESULTS[result])
    (body_size,) = struct.unpack_from(">i", message, position + 10)
    start = position + 14
    return Answer(seqid, SERVED, message[start : start + body_size], good=message[-3] == 1)
