"""A client connection to a router, with pending requests and their answers, over asyncio."""

import asyncio
import struct
import time

from soak.errors import SoakTestError
from soak.records import AnswerKind
from soak.thrift_messages import ClientAnswer, decode_answer, encode_status

READ_BYTES = 65_536
STATUS_SEQID = 1
STATUS_TIMEOUT_S = 1.0
_SIZE = struct.Struct(">I")


class ConnectionEndedError(SoakTestError):
    """The connection ended, at `at` in monotonic seconds, before the answer arrived."""

    def __init__(self, cause: str) -> None:
        super().__init__(cause)
        self.cause = cause
        self.at = time.monotonic()


class ThriftConnection:
    """A connection with any number of pending requests, which is closed by its opener.

    Attributes:
        pending: The futures of outstanding answers, by sequence number.
        surplus_answers: The number of answers whose sequence number had no pending request.
        end_cause: The reason why the connection ended, or None while it is open.
        last_used: When data was last sent, in monotonic seconds.
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
        """Connect to a router on loopback; raise OSError if that fails."""
        return cls(*await asyncio.open_connection("127.0.0.1", port))

    def next_seqid(self) -> int:
        """Return an unused sequence number."""
        self._next_seqid += 1
        return self._next_seqid - 1

    def send(self, data: bytes) -> None:
        """Send bytes on the connection."""
        self.last_used = time.monotonic()
        self._writer.write(data)

    def expect_answer(self, seqid: int) -> asyncio.Future[ClientAnswer]:
        """Return a future for the answer, which fails with ConnectionEndedError if the connection ends."""
        future: asyncio.Future[ClientAnswer] = asyncio.get_running_loop().create_future()
        future.add_done_callback(_retrieve_exception)
        if self.end_cause is not None:
            future.set_exception(ConnectionEndedError(self.end_cause))
        else:
            self.pending[seqid] = future
        return future

    def close(self) -> None:
        """Close the connection, and fail all pending requests."""
        self._task.cancel()
        self._writer.close()
        self._end("closed by the client")

    async def _receive(self) -> None:
        buffer = bytearray()
        try:
            while data := await self._reader.read(READ_BYTES):
                buffer += data
                self._consume_answers(buffer)
        except OSError as error:
            self._end(type(error).__name__)
        else:
            self._end("end of stream")
        self._writer.close()

    def _consume_answers(self, buffer: bytearray) -> None:
        """Remove complete messages from the buffer, and set the results of their requests' futures."""
        while len(buffer) >= _SIZE.size:
            (size,) = _SIZE.unpack_from(buffer)
            if len(buffer) < _SIZE.size + size:
                return
            seqid, answer = decode_answer(bytes(buffer[_SIZE.size : _SIZE.size + size]), time.monotonic())
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
    """Mark an exception as retrieved, as asyncio would log it if nothing awaits the answer any more."""
    if not future.cancelled():
        future.exception()


async def is_router_ready(port: int) -> bool:
    """Return whether a router on loopback answers a status request, whatever status it reports."""
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
