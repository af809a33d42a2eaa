"""Records of what the processes of a run observe, stored as JSON lines.

All times are seconds of the machine's monotonic clock, which the processes share.
"""

from collections.abc import Iterator
from enum import StrEnum
from pathlib import Path
from typing import IO

import msgspec
from msgspec import Struct


class AnswerKind(StrEnum):
    """The kinds of answers to a request."""

    SERVED = "served"  # the response of a worker
    THROTTLED = "throttled"  # a rejection; the client may retry later
    BROKEN = "broken"  # an error; the request may have run
    EXCEPTION = "exception"  # an application exception of Thrift
    SURPLUS = "surplus"  # one or more answers for which no request was pending on the connection


class RequestSent(Struct, tag=True, frozen=True):
    """A client wrote the last byte of a request to an established connection."""

    request_id: str
    router: int
    class_name: str
    at: float
    timeout_s: float


class RequestAnswered(Struct, tag=True, frozen=True):
    """A client received an answer; `is_genuine` is False if its body differs from what a worker sends."""

    request_id: str
    at: float
    kind: AnswerKind
    is_genuine: bool = True


class ClientGone(Struct, tag=True, frozen=True):
    """A client cancelled a request or closed its connection, so that the router need not answer."""

    request_id: str
    at: float


class ConnectionLost(Struct, tag=True, frozen=True):
    """A connection ended before the answer to a request; `is_retried` is True if the client retries it."""

    request_id: str
    at: float
    cause: str
    is_retried: bool


class AttemptSeen(Struct, tag=True, frozen=True):
    """The proxy received an attempt for a worker slot; `at` is the time of its last byte."""

    router: int
    worker: int
    request_id: str
    first_byte_at: float
    at: float
    timeout_ms: float
    class_name: str


class WorkerAnswerSeen(Struct, tag=True, frozen=True):
    """A worker answered an attempt; `code` is the code of its frame."""

    router: int
    worker: int
    request_id: str
    at: float
    code: int


class StartOrderSeen(Struct, tag=True, frozen=True):
    """The proxy received a start order, or a probe if `instances` is 0; `at` is the time of its last byte."""

    router: int
    worker: int
    first_byte_at: float
    at: float
    instances: int


class BadClientSeen(Struct, tag=True, frozen=True):
    """The router's reaction to a client that violated the protocol, or the lack of one."""

    router: int
    kind: str
    at: float
    took_s: float
    is_settled: bool  # whether the router rejected the client, sent an error, or closed the connection


class FloodSent(Struct, tag=True, frozen=True):
    """A client of a flood wrote some requests to a router."""

    router: int
    at: float
    count: int


RequestRecord = RequestSent | RequestAnswered | ClientGone | ConnectionLost | AttemptSeen | WorkerAnswerSeen
Record = RequestRecord | StartOrderSeen | BadClientSeen | FloodSent
_ENCODER = msgspec.json.Encoder()
_DECODER = msgspec.json.Decoder(Record)


class Recorder:
    """Appends records to a file. The creator of the recorder closes it."""

    def __init__(self, path: Path) -> None:
        self._file: IO[bytes] = path.open("ab")

    def add(self, record: Record) -> None:
        """Append a record."""
        self._file.write(_ENCODER.encode(record) + b"\n")

    def close(self) -> None:
        """Flush and close the file."""
        self._file.close()


def read_records(path: Path) -> Iterator[Record]:
    """Yield the records of a file; skip an incomplete last line."""
    for line in path.read_bytes().split(b"\n")[:-1]:
        yield _DECODER.decode(line)
