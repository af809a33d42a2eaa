"""Clients: the listener, their connections, and the translation between Thrift and calls."""

import math
import socket
from typing import TYPE_CHECKING

from function_router.net.client_request import parse_client_request
from function_router.net.clock import monotonic_ms
from function_router.net.close_reason import CloseReason
from function_router.net.codecs import thrift
from function_router.net.connection import Connection
from function_router.net.request_table import (
    ClientRequest,
    Failed,
    FinalAnswer,
    Rejected,
    Served,
)

MAX_PENDING_REQUESTS = 32  # requests open on one connection
# A peer is owed an answer or a close within 3 s of connecting; what a client sends comes within a round trip.
MESSAGE_TIMEOUT_MS = 2_300.0  # for a first message, and for the rest of one that has begun
PIECE_MS = 700.0  # and as long as it keeps coming: so long after its last piece, with SPEAK_MS 3 s
PIECES_SURE = 3  # of so many, the next may take SPEAK_MS: one that stops short sends less
MAX_PIECES_MS = 30_000.0  # but no longer than this in all
SKIP_MS = 6_000.0  # for the rest of an oversized one, which was refused when its head came
STOP_READING_BYTES = 64 * 1024  # bytes that wait for a client which does not read: it is not read either
MAX_UNREAD_BYTES = 1024 * 1024  # and with these it is dropped
MAX_TOTAL_UNREAD_BYTES = 32 * 1024 * 1024  # of all clients together: part of the memory limit


if TYPE_CHECKING:
    from function_router.net.client_listener import ClientListener


class ClientConnection:
    """One client connection and the requests open on it, by sequence number."""

    def __init__(self, listener: "ClientListener", sock: socket.socket) -> None:
        self.listener = listener
        self.pending: dict[int, str] = {}
        self.connection = Connection.accepted(listener.loop, sock, self)
        self._reader = thrift.FrameReader()
        self.spoke = False  # a whole message has come
        self._pieces = 0  # that have come of the one that is not whole yet
        self._since_ms = monotonic_ms()  # it connected, or the message that is not whole yet began

    def on_connected(self) -> None:
        pass

    def on_data(self, data: bytes) -> None:
        before = self._reader.has_partial_frame
        items = self._reader.feed(data)
        if items or not before:
            self._since_ms = monotonic_ms() if items or self.spoke else self._since_ms
        self.spoke = self.spoke or bool(items)
        self._pieces = 1 if items else self._pieces + 1
        for item in items:
            if self.connection.is_closed or self.connection.is_finishing:
                return
            if isinstance(item, thrift.MalformedMessageError):
                self._malformed(item)
            elif isinstance(item, thrift.Handle):
                self._handle(item)
            elif isinstance(item, thrift.Withdraw):
                if (key := self.pending.pop(item.seqid, None)) is not None:
                    self.listener.table.cancel_request(key)
            else:
                self._write(
                    thrift.encode_reply(thrift.METHOD_STATUS, item.seqid, b"", is_ok=self.listener.is_ready)
                )

    def _malformed(self, error: thrift.MalformedMessageError) -> None:
        self.listener.log(f"client: {error}", "clients")
        # An exception under an open request's number would be that request's answer.
        if error.seqid is None or error.seqid in self.pending:
            self._finish(CloseReason.PROTOCOL_ERROR)
        else:
            self._write(thrift.encode_application_exception(error.seqid, str(error), error.kind))

    def _finish(self, end: CloseReason) -> None:
        """End the connection; what is open on it is failed, so that each request has its answer."""
        for seqid, key in list(self.pending.items()):
            self.listener.table.cancel_request(key)
            self._reply(seqid, Failed())
        self.connection.close_after_flush(end)

    def silent_since(self, at_ms: float) -> bool:
        return not self.spoke and not self._reader.has_partial_frame and self.connection.last_used_ms < at_ms

    def end_overdue(self) -> None:
        if self.spoke or self._reader.has_partial_frame:
            self._finish(CloseReason.READ_TIMEOUT)
        else:
            self.close_unheard()

    def close_unheard(self) -> bool:
        """Close it, but for one whose request is just arriving."""
        if self.connection.peek() and not self.connection.is_finishing:
            return False
        self.connection.close(CloseReason.IDLE if self.spoke else CloseReason.READ_TIMEOUT)
        return True

    def has_arriving(self) -> bool:
        """Whether something it sent is unread or half read."""
        return not self.connection.is_finishing and (
            self._reader.has_partial_frame or bool(self.connection.peek())
        )

    def overdue(self, now_ms: float) -> bool:
        """Guards descriptors against peers that say nothing, or half a message."""
        if self.pending or (self.spoke and not self._reader.has_partial_frame):
            return False
        if self._reader.is_skipping:
            return now_ms - self._since_ms > SKIP_MS
        pause_ms = PIECE_MS if self._pieces < PIECES_SURE else MESSAGE_TIMEOUT_MS
        comes = self._reader.has_partial_frame and now_ms - self.connection.last_received_ms <= pause_ms
        return now_ms - self._since_ms > (MAX_PIECES_MS if comes else MESSAGE_TIMEOUT_MS)

    def giving_way(self) -> tuple[bool, bool, float]:
        """The least of all clients with nothing open gives way first: finished with, then nothing half read,
        then idle for longest."""
        return not self.connection.is_finishing, self._reader.has_partial_frame, self.connection.last_used_ms

    def _handle(self, message: thrift.Handle) -> None:
        seqid = message.seqid
        try:
            if seqid in self.pending:
                raise thrift.MalformedMessageError("a second request under an open number")
            if len(self.pending) >= MAX_PENDING_REQUESTS:
                raise thrift.MalformedMessageError("too many open requests")
            parsed = parse_client_request(message, self.listener.classes, self.listener.tenants)
            if self.listener.table.is_pending(
                parsed.request_id
            ):  # each request brings a new one, a retry too
                raise thrift.MalformedMessageError("call: the id of an open request")
        except thrift.MalformedMessageError as error:
            error.seqid = seqid
            self._malformed(error)
            return
        if self.connection.is_closed:  # the look at who has that id found the end of this very client
            return
        receive_delay_ms = self.connection.receive_delay_ms
        call = ClientRequest(
            id=parsed.request_id,
            class_name=parsed.class_name,
            tenant=parsed.tenant,
            function=parsed.function,
            timeout_ms=max(0.0, parsed.timeout_ms - receive_delay_ms),
            body=parsed.body,
            idempotency_key=parsed.idempotency_key,
            concurrency=parsed.concurrency,
            memory_mb=parsed.memory_mb,
            start_ms=parsed.start_ms,
            reply=lambda outcome: self._reply(seqid, outcome),
            age_ms=receive_delay_ms,
            is_client_connected=self._waits,
        )
        if (key := self.listener.table.admit(call)) is not None:
            self.pending[seqid] = key

    def _waits(self) -> bool:
        """Whether the client is still there. Guards what nobody waits for: its end may be unread yet."""
        if self.connection.has_peer_closed():
            self.connection.close(CloseReason.CLOSED_BY_PEER)
        return not self.connection.is_closed

    def _reply(self, seqid: int, outcome: FinalAnswer) -> None:
        self.pending.pop(seqid, None)
        if isinstance(outcome, Served):
            self._write(thrift.encode_reply(thrift.METHOD_HANDLE, seqid, outcome.body, is_ok=True))
        elif isinstance(outcome, Rejected):
            wait = math.ceil(max(0.0, outcome.retry_after_ms))
            self._write(thrift.encode_throttled(seqid, wait))
        elif isinstance(outcome, Failed):
            self._write(thrift.encode_broken(seqid))

    def _write(self, data: bytes) -> None:
        self.connection.write(data)

    def on_flushed(self) -> None:
        """After the connection's own write of this turn: what is left is what the client does not read.
        While something of it is open it is read all the same, as it may withdraw that or end."""
        left = self.connection.pending_bytes
        self.connection.set_reading(left < STOP_READING_BYTES or bool(self.pending))
        if left > MAX_UNREAD_BYTES or (
            left > STOP_READING_BYTES and self.listener.unread_bytes() > MAX_TOTAL_UNREAD_BYTES
        ):
            self.connection.close(CloseReason.WRITE_BUFFER_FULL)

    def on_writable(self) -> None:
        pass

    def on_closed(self, end: CloseReason) -> None:
        keys, self.pending = list(self.pending.values()), {}
        for key in keys:
            self.listener.table.cancel_request(key)
        self.listener.ended(self)
