"""What the processes of a run observe, as JSON lines; times are seconds of the machine's monotonic clock."""

from collections.abc import Iterator
from enum import StrEnum
from pathlib import Path
from typing import IO

import msgspec
from msgspec import Struct


class AnswerKind(StrEnum):
    """The kinds of answers to a request."""

    SERVED = "served"  # the response of a worker
    THROTTLED = "throttled"  # a rejection: the client may try again later
    BROKEN = "broken"  # an error: the request may have run
    EXCEPTION = "exception"  # an application exception of Thrift
    SURPLUS = "surplus"  # not a kind of its own: any answer to a request that was already answered


class RequestSent(Struct, tag=True, frozen=True):
    """A client has written the last byte of a request to an accepted connection."""

    request_id: str
    router: int
    class_name: str
    at: float
    timeout_s: float


class RequestAnswered(Struct, tag=True, frozen=True):
    """A client got an answer; `is_genuine` is False if its body is not the one that a worker sent."""

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
    """The proxy has received an attempt for a worker slot; `at` is the time of its last byte."""

    router: int
    worker: int
    request_id: str
    first_byte_at: float
    at: float
    timeout_ms: float
    class_name: str


class WorkerAnswerSeen(Struct, tag=True, frozen=True):
    """A worker has answered an attempt; `code` is the code of its frame."""

    router: int
    worker: int
    request_id: str
    at: float
    code: int


class StartOrderSeen(Struct, tag=True, frozen=True):
    """The proxy has received a start order, or a probe if `instances` is 0; `at` is its last byte's time."""

    router: int
    worker: int
    first_byte_at: float
    at: float
    instances: int


class BadClientSeen(Struct, tag=True, frozen=True):
    """How a client that violated the protocol ended."""

    router: int
    kind: str
    at: float
    took_s: float
    is_settled: bool  # with a rejection, an error or a close


RequestRecord = RequestSent | RequestAnswered | ClientGone | ConnectionLost | AttemptSeen | WorkerAnswerSeen
Record = RequestRecord | StartOrderSeen | BadClientSeen
_ENCODER = msgspec.json.Encoder()
_DECODER = msgspec.json.Decoder(Record)


class Recorder:
    """Appends records to a file; its creator closes it."""

    def __init__(self, path: Path) -> None:
        self._file: IO[bytes] = path.open("ab")

    def add(self, record: Record) -> None:
        """Write a record."""
        self._file.write(_ENCODER.encode(record) + b"\n")

    def close(self) -> None:
        """Flush and close the file."""
        self._file.close()


def read_records(path: Path) -> Iterator[Record]:
    """The records of a file; an incomplete last line is left out."""
    for line in path.read_bytes().split(b"\n")[:-1]:
        yield _DECODER.decode(line)
