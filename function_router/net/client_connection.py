"""One client connection: reads the client's messages and writes its answers."""

import math
import socket
from typing import TYPE_CHECKING

from function_router.net.client_request import FIELD_REQUEST_ID, ParsedRequest, parse_client_request
from function_router.net.clock import monotonic_ms
from function_router.net.close_reason import CloseReason
from function_router.net.codecs import thrift
from function_router.net.connection import Connection
from function_router.net.invariants import Invariant
from function_router.net.pending_request import ClientRequest, Failed, FinalAnswer, Rejected, Served
from function_router.net.sockets import MAY_HOLD_DATA

if TYPE_CHECKING:
    from function_router.net.client_listener import ClientListener

# The client ended the connection, or does not read its answers: nobody is owed one.
CLOSED_BY_CLIENT = (CloseReason.CLOSED_BY_PEER, CloseReason.RESET_BY_PEER, CloseReason.WRITE_BUFFER_FULL)

LOG_SOURCE = "clients"  # all clients share one allowance of log lines

MAX_PENDING_REQUESTS = 32  # on one connection

# A client is owed an answer or a close within 3 s of connecting; what it sends comes within a round trip.

# For the first message, and for the rest of one that has begun.
MESSAGE_TIMEOUT_MS = 2_300.0
# From one chunk of a message to the next; with the message timeout it makes up the 3 s.
CHUNK_TIMEOUT_MS = 700.0
# A message that has come in so many chunks may take the message timeout until the next one: clients that
# stop halfway send fewer.
MIN_STEADY_CHUNKS = 3
# For a whole message, however steadily its chunks come.
MAX_MESSAGE_MS = 30_000.0
# For the rest of an oversized message, which was answered with an exception when its head came.
SKIP_TIMEOUT_MS = 6_000.0

# Messages that one read brings, and that can't have waited for longer, count as equally old.
HELD_UP_MS = 100.0

# A client with more bytes of unread answers is not read from.
STOP_READING_BYTES = 64 * 1024
# A client with more bytes of unread answers is disconnected.
MAX_UNREAD_BYTES = 1024 * 1024
# Where all clients together have more, those that are not read from are disconnected: memory is limited.
MAX_TOTAL_UNREAD_BYTES = 32 * 1024 * 1024


class ClientConnection:
    """One client connection and its pending requests.

    Attributes:
        listener: the owner, which is notified when the connection closes.
        pending: keys in the request table, by sequence number.
        connection: the TCP connection.
        has_received_message: whether a complete message, valid or not, has come.
    """

    __slots__ = (
        "__weakref__",
        "_chunk_count",
        "_message_age_ms",
        "_reader",
        "_waiting_since_ms",
        "connection",
        "has_received_message",
        "listener",
        "pending",
    )

    def __init__(self, listener: "ClientListener", sock: socket.socket, connected_since_ms: float) -> None:
        self.listener = listener
        self.pending: dict[int, str] = {}
        self.connection = Connection.accepted(listener.loop, sock, self, connected_since_ms)
        self._reader = thrift.FrameReader()
        self.has_received_message = False
        self._message_age_ms = 0.0  # of the message that is being handled
        self._chunk_count = 0  # reads since the last one that completed a message
        self._waiting_since_ms = monotonic_ms()  # it connected, or the incomplete message began

    # --- from the connection ------------------------------------------------------------------

    def on_connected(self) -> None:
        """Do nothing: an accepted connection is connected from the start."""

    def on_data(self, data: bytes) -> None:
        """Handle the messages that these bytes complete."""
        had_partial_frame = self._reader.has_partial_frame
        messages = self._reader.feed(data)
        if messages or (self.has_received_message and not had_partial_frame):
            self._waiting_since_ms = monotonic_ms()
        if messages:
            self.has_received_message = True
            self._chunk_count = 1
        else:
            self._chunk_count += 1
        for number, message in enumerate(messages, 1):
            if self.connection.is_closed or self.connection.is_finishing:
                return
            is_last = number == len(messages) and not self._reader.has_partial_frame
            self._message_age_ms = self._age_ms(is_last=is_last)
            self._on_message(message)

    def _age_ms(self, *, is_last: bool) -> float:
        """How long a message of the last read had waited: exact for one whose last byte is that of the read.

        Those before it may be older, which matters after the process was held up: they are taken for as old
        as they can be.
        """
        max_age_ms = self.connection.reader.max_receive_delay_ms
        if is_last or max_age_ms <= HELD_UP_MS:
            return self.connection.reader.receive_delay_ms
        return max_age_ms

    def on_flushed(self) -> None:
        """Stop reading from a client that does not read, and disconnect it once too much is unread.

        While it has pending requests it is read from all the same, as it may withdraw them or disconnect.
        """
        unread_bytes = self.connection.pending_bytes
        self.connection.set_reading(enabled=unread_bytes < STOP_READING_BYTES or bool(self.pending))
        if unread_bytes > MAX_UNREAD_BYTES or (
            unread_bytes > STOP_READING_BYTES and self.listener.unread_bytes() > MAX_TOTAL_UNREAD_BYTES
        ):
            self.connection.close(CloseReason.WRITE_BUFFER_FULL)

    def on_write_delayed(self) -> None:
        """Do nothing: the connection itself goes on writing."""

    def on_closed(self, reason: CloseReason) -> None:
        """Cancel the pending requests; nobody waits for their answers."""
        if self.pending and reason not in CLOSED_BY_CLIENT:
            detail = f"{reason.name} with {len(self.pending)} requests pending"
            self.listener.telemetry.invariants.record(Invariant.CLOSED_WITH_ANSWERS, detail)
        keys = list(self.pending.values())
        self.pending = {}
        for key in keys:
            self.listener.table.cancel_request(key)
        self.listener.on_client_closed(self, reason)

    # --- timeouts and limits, as the listener checks them ---------------------------------------

    def is_silent_since(self, time_ms: float) -> bool:
        """Whether it has sent no byte yet and connected before this time."""
        return (
            not self.has_received_message
            and not self._reader.has_partial_frame
            and self.connection.last_used_ms < time_ms
        )

    def is_overdue(self, now_ms: float) -> bool:
        """Whether its first message, or the rest of one that has begun, has taken too long.

        Without this limit, clients that send nothing or half a message would use up the file descriptors.
        """
        has_partial_frame = self._reader.has_partial_frame
        if self.pending or (self.has_received_message and not has_partial_frame):
            return False
        waited_ms = now_ms - self._waiting_since_ms
        if self._reader.is_skipping:
            return waited_ms > SKIP_TIMEOUT_MS
        chunk_timeout_ms = CHUNK_TIMEOUT_MS if self._chunk_count < MIN_STEADY_CHUNKS else MESSAGE_TIMEOUT_MS
        keeps_sending = has_partial_frame and now_ms - self.connection.last_received_ms <= chunk_timeout_ms
        return waited_ms > (MAX_MESSAGE_MS if keeps_sending else MESSAGE_TIMEOUT_MS)

    def close_overdue(self) -> None:
        """Close a connection whose message has taken too long."""
        if self.has_received_message or self._reader.has_partial_frame:
            self._finish(CloseReason.READ_TIMEOUT)
        else:
            self.close_unless_data_arrived()

    def close_unless_data_arrived(self) -> bool:
        """Close it, unless something of it has arrived and is yet to be read; whether it was closed."""
        if self.connection.peek() in MAY_HOLD_DATA and not self.connection.is_finishing:
            return False
        self.connection.close(CloseReason.IDLE if self.has_received_message else CloseReason.READ_TIMEOUT)
        return True

    def has_arriving(self) -> bool:
        """Whether something that it sent is unread, or is a part of an incomplete message."""
        return not self.connection.is_finishing and (
            self._reader.has_partial_frame or self.connection.peek() in MAY_HOLD_DATA
        )

    def eviction_order(self) -> tuple[bool, bool, float]:
        """Sort key of connections without pending requests: the first one is closed first to make room.

        First come those that are being closed already, then those without an incomplete message, then those
        that have been idle for longest.
        """
        return (
            not self.connection.is_finishing,
            self._reader.has_partial_frame,
            self.connection.last_used_ms,
        )

    # --- messages -------------------------------------------------------------------------------

    def _on_message(self, message: thrift.Message | thrift.MalformedMessageError) -> None:
        if isinstance(message, thrift.MalformedMessageError):
            self._on_malformed_message(message)
        elif isinstance(message, thrift.Handle):
            self._on_handle(message)
        elif isinstance(message, thrift.Withdraw):
            self._on_withdraw(message)
        else:
            is_ready = self.listener.is_ready
            self._write(thrift.encode_reply(thrift.METHOD_STATUS, message.seqid, b"", is_ok=is_ready))

    def _on_malformed_message(self, error: thrift.MalformedMessageError) -> None:
        self.listener.telemetry.log(f"client: {error}", LOG_SOURCE)
        # Under the sequence number of a pending request the exception would pass for that request's answer.
        if error.seqid is None or error.seqid in self.pending:
            self._finish(CloseReason.PROTOCOL_ERROR)
        else:
            self._write(thrift.encode_application_exception(error))

    def _on_withdraw(self, message: thrift.Withdraw) -> None:
        key = self.pending.pop(message.seqid, None)
        if key is not None:
            self.listener.table.cancel_request(key)

    def _on_handle(self, message: thrift.Handle) -> None:
        try:
            parsed = self._parse_request(message)
        except thrift.MalformedMessageError as error:
            error.seqid = message.seqid
            self._on_malformed_message(error)
            return
        # The check for another request of the same id may have found that this very client is gone.
        if self.connection.is_closed:
            return
        admitted = self.listener.table.admit(self._client_request(message.seqid, parsed))
        if isinstance(admitted, Rejected):
            self._write_answer(message.seqid, admitted)
        else:
            self.pending[message.seqid] = admitted

    def _parse_request(self, message: thrift.Handle) -> ParsedRequest:
        """Parse a request and check it against the pending ones.

        Raises:
            MalformedMessageError: where the request can't be admitted as it stands.
        """
        if message.seqid in self.pending:
            reason = "a second request under an open number"
            raise thrift.MalformedMessageError(reason)
        if len(self.pending) >= MAX_PENDING_REQUESTS:
            reason = "too many open requests"
            raise thrift.MalformedMessageError(reason)
        parsed = parse_client_request(message, self.listener.classes, self.listener.tenants)
        # Clients take a new id for each request, also for one that they send again.
        if self.listener.table.is_pending(parsed.request_id):
            reason = f"{FIELD_REQUEST_ID}: the id of an open request"
            raise thrift.MalformedMessageError(reason)
        return parsed

    def _client_request(self, seqid: int, parsed: ParsedRequest) -> ClientRequest:
        age_ms = self._message_age_ms
        return ClientRequest(
            id=parsed.request_id,
            class_name=parsed.class_name,
            tenant=parsed.tenant,
            function=parsed.function,
            timeout_ms=max(0.0, parsed.timeout_ms - age_ms),
            body=parsed.body,
            idempotency_key=parsed.idempotency_key,
            concurrency=parsed.concurrency,
            memory_mb=parsed.memory_mb,
            expected_start_ms=parsed.expected_start_ms,
            reply=lambda answer: self._reply(seqid, answer),
            age_ms=age_ms,
            is_client_connected=self._is_client_connected,
        )

    # --- answers --------------------------------------------------------------------------------

    def _is_client_connected(self) -> bool:
        """Whether the client still waits; its disconnect may have arrived and not have been read yet."""
        if self.connection.has_peer_closed():
            self.connection.close(CloseReason.CLOSED_BY_PEER)
        return not self.connection.is_closed

    def _reply(self, seqid: int, answer: FinalAnswer) -> None:
        if self.pending.pop(seqid, None) is None:
            detail = f"a second one under number {seqid}"
            self.listener.telemetry.invariants.record(Invariant.ONE_ANSWER, detail)
            return
        self._write_answer(seqid, answer)

    def _write_answer(self, seqid: int, answer: FinalAnswer) -> None:
        if isinstance(answer, Served):
            self._write(thrift.encode_reply(thrift.METHOD_HANDLE, seqid, answer.body, is_ok=True))
        elif isinstance(answer, Rejected):
            retry_after_ms = math.ceil(max(0.0, answer.retry_after_ms))
            self._write(thrift.encode_throttled(seqid, retry_after_ms))
        elif isinstance(answer, Failed):
            self._write(thrift.encode_broken(seqid))

    def _write(self, data: bytes) -> None:
        self.connection.write(data)

    def _finish(self, reason: CloseReason) -> None:
        """Fail the pending requests, so that each has its answer, and close once all is written."""
        for seqid, key in list(self.pending.items()):
            self.listener.table.cancel_request(key)
            self._reply(seqid, Failed())
        self.connection.close_after_flush(reason)
