"""What the processes of a run observe, as JSON lines; times are seconds of the machine's monotonic clock."""

from collections.abc import Iterator
from enum import StrEnum
from pathlib import Path
from typing import IO

import msgspec
from msgspec import Struct


class AnswerKind(StrEnum):
    """What a router answers a request with."""

    SERVED = "served"  # the response of a worker
    THROTTLED = "throttled"  # a rejection: nothing has run
    BROKEN = "broken"  # an error: it may have run
    EXCEPTION = "exception"  # an application exception of Thrift
    SURPLUS = "surplus"  # an answer to a request that has one already


class RequestSent(Struct, tag=True, frozen=True):
    """A client has written the last byte of a request to an accepted connection."""

    request_id: str
    router: int
    class_name: str
    at: float
    timeout_s: float


class RequestAnswered(Struct, tag=True, frozen=True):
    """An answer has come; `is_genuine` is False for a served body that no worker made."""

    request_id: str
    at: float
    kind: AnswerKind
    is_genuine: bool = True


class ClientGone(Struct, tag=True, frozen=True):
    """A client has cancelled a request or closed its connection, so that no answer is owed."""

    request_id: str
    at: float


class ConnectionLost(Struct, tag=True, frozen=True):
    """The connection of a request ended without its answer; `is_retried` where the client sent it again."""

    request_id: str
    at: float
    cause: str
    is_retried: bool


class AttemptSeen(Struct, tag=True, frozen=True):
    """A request has arrived whole, at `at`, at the proxy in front of a worker slot."""

    router: int
    worker: int
    request_id: str
    first_byte_at: float
    at: float
    timeout_ms: float
    class_name: str


class WorkerAnswerSeen(Struct, tag=True, frozen=True):
    """A worker has answered an attempt; `code` is that of the frame."""

    router: int
    worker: int
    request_id: str
    at: float
    code: int


class StartOrderSeen(Struct, tag=True, frozen=True):
    """A start order, or with 0 instances a probe, has arrived whole, at `at`, at the proxy."""

    router: int
    worker: int
    first_byte_at: float
    at: float
    instances: int


class BadClientSeen(Struct, tag=True, frozen=True):
    """What became of a client that does not keep to the protocol."""

    router: int
    kind: str
    at: float
    took_s: float
    is_settled: bool  # it got a rejection, an error or a close


RequestRecord = RequestSent | RequestAnswered | ClientGone | ConnectionLost | AttemptSeen | WorkerAnswerSeen
Record = RequestRecord | StartOrderSeen | BadClientSeen
_ENCODER = msgspec.json.Encoder()
_DECODER = msgspec.json.Decoder(Record)


class Recorder:
    """Appends records to a file; whoever makes it closes it."""

    def __init__(self, path: Path) -> None:
        self._file: IO[bytes] = path.open("ab")

    def add(self, record: Record) -> None:
        """Write a record."""
        self._file.write(_ENCODER.encode(record) + b"\n")

    def close(self) -> None:
        """Write out what is buffered."""
        self._file.close()


def read_records(path: Path) -> Iterator[Record]:
    """The records of a file; an incomplete last line is left out."""
    for line in path.read_bytes().split(b"\n")[:-1]:
        yield _DECODER.decode(line)
