"""One client connection to a router: requests, cancellations and answers, over asyncio."""

import asyncio
import struct
import time
from dataclasses import dataclass

from function_router.net.codecs import thrift

READ_BYTES = 65_536
WITHDRAW_METHOD = b"withdraw"
ANSWER_KINDS = ("served", "throttled", "broken")  # by the number of the field that a reply has
EXCEPTION_KIND = "exception"
_SIZE = struct.Struct(">I")
_FIELD = struct.Struct(">bh")


@dataclass(frozen=True)
class ClientAnswer:
    """An answer; `body` is that of one that was served."""

    kind: str
    at: float
    body: bytes = b""


class ConnectionEndedError(Exception):
    """The connection ended before the answer came."""

    def __init__(self, cause: str) -> None:
        super().__init__(cause)
        self.cause = cause
        self.at = time.monotonic()


def encode_request(seqid: int, fields: dict[str, str], body: bytes) -> bytes:
    """The frame of a request."""
    arguments = _FIELD.pack(thrift.MAP, 1) + thrift.encode_string_map(fields)
    arguments += _FIELD.pack(thrift.STRING, 2) + thrift.encode_string(body) + b"\0"
    return thrift.encode_frame(thrift.CALL, b"handle", seqid, arguments)


def encode_cancel(seqid: int) -> bytes:
    """The frame that cancels a request."""
    arguments = struct.pack(">bhi", thrift.I32, 1, seqid) + b"\0"
    return thrift.encode_frame(thrift.ONEWAY, WITHDRAW_METHOD, seqid, arguments)


def encode_status(seqid: int) -> bytes:
    """The frame that asks whether a router is ready."""
    return thrift.encode_frame(thrift.CALL, b"status", seqid, struct.pack(">bhb", thrift.BOOL, 1, 1) + b"\0")


def decode_answer(message: bytes) -> tuple[int, ClientAnswer]:
    """The sequence number and the answer in a message without its size."""
    head = thrift.parse_head(message)
    now = time.monotonic()
    if head.message_type == thrift.EXCEPTION:
        return head.seqid, ClientAnswer(EXCEPTION_KIND, now)
    _, number = _FIELD.unpack_from(message, head.arguments_start)
    body = b""
    if number == 0:
        start = head.arguments_start + 2 * _FIELD.size
        (length,) = _SIZE.unpack_from(message, start)
        body = message[start + _SIZE.size : start + _SIZE.size + length]
    return head.seqid, ClientAnswer(ANSWER_KINDS[number], now, body)


class ThriftConnection:
    """A connection with any number of open requests; `end_cause` is set once it has ended."""

    def __init__(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.pending: dict[int, asyncio.Future[ClientAnswer]] = {}
        self.surplus_answers = 0  # to numbers without an open request
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

    def send(self, data: bytes) -> bool:
        """Write bytes; whether all of them went into the socket at once."""
        self.last_used = time.monotonic()
        self._writer.write(data)
        return self._writer.transport.get_write_buffer_size() == 0

    def expect_answer(self, seqid: int) -> "asyncio.Future[ClientAnswer]":
        """A future for the answer; it fails with ConnectionEndedError."""
        future: asyncio.Future[ClientAnswer] = asyncio.get_running_loop().create_future()
        future.add_done_callback(lambda done: done.cancelled() or done.exception())  # it may be of no use
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
