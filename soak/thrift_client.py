"""One client connection to a router: requests, cancellations and answers, over asyncio."""

import asyncio
import struct
import time
from dataclasses import dataclass

from function_router.net.codecs import thrift
from function_router.net.codecs.thrift_protocol import (
    HANDLE_BODY_ID,
    HANDLE_FIELDS_ID,
    METHOD_HANDLE,
    METHOD_STATUS,
    METHOD_WITHDRAW,
    RESULT_BROKEN_ID,
    RESULT_SUCCESS_ID,
    RESULT_THROTTLED_ID,
    WITHDRAW_SEQID_ID,
)
from soak.errors import SoakTestError
from soak.records import AnswerKind

READ_BYTES = 65_536
STATUS_SEQID = 1
STATUS_ARGUMENT_ID = 1
STATUS_TIMEOUT_S = 1.0
END_OF_STRUCT = b"\0"
ANSWER_KINDS = {
    RESULT_SUCCESS_ID: AnswerKind.SERVED,
    RESULT_THROTTLED_ID: AnswerKind.THROTTLED,
    RESULT_BROKEN_ID: AnswerKind.BROKEN,
}
_SIZE = struct.Struct(">I")
_FIELD = struct.Struct(">bh")


@dataclass(frozen=True, slots=True)
class ClientAnswer:
    """An answer at a monotonic time in seconds; `body` is empty unless a worker served it."""

    kind: AnswerKind
    at: float
    body: bytes = b""


class ConnectionEndedError(SoakTestError):
    """The connection ended, at `at` (monotonic seconds), before the answer came."""

    def __init__(self, cause: str) -> None:
        super().__init__(cause)
        self.cause = cause
        self.at = time.monotonic()


def encode_request(seqid: int, fields: dict[str, str], body: bytes) -> bytes:
    """The frame of a request."""
    arguments = _FIELD.pack(thrift.MAP, HANDLE_FIELDS_ID) + thrift.encode_string_map(fields)
    arguments += _FIELD.pack(thrift.STRING, HANDLE_BODY_ID) + thrift.encode_string(body) + END_OF_STRUCT
    return thrift.encode_frame(thrift.CALL, METHOD_HANDLE.encode(), seqid, arguments)


def encode_cancel(seqid: int) -> bytes:
    """The frame that cancels a request."""
    arguments = struct.pack(">bhi", thrift.I32, WITHDRAW_SEQID_ID, seqid) + END_OF_STRUCT
    return thrift.encode_frame(thrift.ONEWAY, METHOD_WITHDRAW.encode(), seqid, arguments)


def encode_status(seqid: int) -> bytes:
    """The frame that asks whether a router is ready."""
    arguments = struct.pack(">bhb", thrift.BOOL, STATUS_ARGUMENT_ID, True) + END_OF_STRUCT
    return thrift.encode_frame(thrift.CALL, METHOD_STATUS.encode(), seqid, arguments)


def decode_answer(message: bytes) -> tuple[int, ClientAnswer]:
    """The sequence number and the answer in a message without its size."""
    head = thrift.parse_head(message)
    now = time.monotonic()
    if head.message_type == thrift.EXCEPTION:
        return head.seqid, ClientAnswer(AnswerKind.EXCEPTION, now)
    _, result_id = _FIELD.unpack_from(message, head.arguments_start)
    body = b""
    if result_id == RESULT_SUCCESS_ID:
        start = head.arguments_start + 2 * _FIELD.size  # after the result's field, its first one is the body
        (length,) = _SIZE.unpack_from(message, start)
        body = message[start + _SIZE.size : start + _SIZE.size + length]
    return head.seqid, ClientAnswer(ANSWER_KINDS[result_id], now, body)


class ThriftConnection:
    """A connection with any number of pending requests; whoever opens it closes it.

    Attributes:
        pending: the futures of answers that have not come, by sequence number.
        surplus_answers: how many answers came to numbers without a pending request.
        end_cause: set once the connection has ended.
        last_used: when it last sent something, in monotonic seconds.
    """

    def __init__(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.pending: dict[int, asyncio.Future[ClientAnswer]] = {}
        self.surplus_answers = 0
        self.end_cause: str | None = None
        self.last_used = time.monotonic()
        self._next_seqid = 1
        self._reader = reader
        self._writer = writer
        self._task = asyncio.create_task(self._receive())

    @classmethod
    async def open(cls, port: int) -> "ThriftConnection":
        """Connect to a router on loopback; raises OSError."""
        return cls(*await asyncio.open_connection("127.0.0.1", port))

    def take_seqid(self) -> int:
        """The next sequence number."""
        self._next_seqid += 1
        return self._next_seqid - 1

    def send(self, data: bytes) -> None:
        """Send bytes."""
        self.last_used = time.monotonic()
        self._writer.write(data)

    def expect_answer(self, seqid: int) -> asyncio.Future[ClientAnswer]:
        """A future for the answer; it fails with ConnectionEndedError."""
        future: asyncio.Future[ClientAnswer] = asyncio.get_running_loop().create_future()
        future.add_done_callback(_retrieve_exception)
        if self.end_cause is not None:
            future.set_exception(ConnectionEndedError(self.end_cause))
        else:
            self.pending[seqid] = future
        return future

    def close(self) -> None:
        """Close the connection."""
        self._task.cancel()
        self._writer.close()
        self._end("closed by the client")

    async def _receive(self) -> None:
        buffer = bytearray()
        try:
            while data := await self._reader.read(READ_BYTES):
                buffer += data
                self._take_answers(buffer)
        except OSError as error:
            self._end(type(error).__name__)
        else:
            self._end("end of stream")
        self._writer.close()

    def _take_answers(self, buffer: bytearray) -> None:
        """Remove complete messages from the buffer, and resolve the futures of their requests."""
        while len(buffer) >= _SIZE.size:
            (size,) = _SIZE.unpack_from(buffer)
            if len(buffer) < _SIZE.size + size:
                return
            seqid, answer = decode_answer(bytes(buffer[_SIZE.size : _SIZE.size + size]))
            del buffer[: _SIZE.size + size]
            future = self.pending.pop(seqid, None)
            if future is None:
                self.surplus_answers += 1
            elif not future.done():
                future.set_result(answer)

    def _end(self, cause: str) -> None:
        if self.end_cause is None:
            self.end_cause = cause
            for future in self.pending.values():
                if not future.done():
                    future.set_exception(ConnectionEndedError(cause))
            self.pending.clear()


def _retrieve_exception(future: asyncio.Future[ClientAnswer]) -> None:
    """Mark a failure as retrieved: asyncio would log it if nobody awaits the answer any more."""
    if not future.cancelled():
        future.exception()


async def is_router_ready(port: int) -> bool:
    """Whether a router on loopback answers that it is ready."""
    try:
        connection = await ThriftConnection.open(port)
    except OSError:
        return False
    try:
        answer = connection.expect_answer(STATUS_SEQID)
        connection.send(encode_status(STATUS_SEQID))
        return (await asyncio.wait_for(answer, STATUS_TIMEOUT_S)).kind is AnswerKind.SERVED
    except Exception:  # noqa: BLE001 - not ready yet, whatever the reason
        return False
    finally:
        connection.close()
