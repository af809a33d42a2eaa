"""Clients: the listener, their connections, and the translation between Thrift and calls."""

import errno
import math
import re
import socket
from typing import Any

from function_router.config import Address
from function_router.decisions.settings import RequestClass
from function_router.decisions.types import RetrySafety
from function_router.net.close_reason import CloseReason, reason_of_os_error
from function_router.net.codecs import thrift
from function_router.net.connection import Connection, enable_receive_timestamps
from function_router.net.event_loop import READ, EventLoop
from function_router.net.log import RateLimitedLog
from function_router.net.request_table import (
    ClientRequest,
    Failed,
    FinalAnswer,
    Rejected,
    RequestTable,
    Served,
)
from function_router.net.timer_wheel import monotonic_ms

MAX_PENDING_REQUESTS = 32  # requests open on one connection
BACKLOG = 1024
MAX_ACCEPTS_PER_TURN = 64  # in a turn, and never more than half of all, so that a first request can be read
ACCEPT_PAUSE_MS = 50.0  # where the system has no descriptor left
IDLE_MS = 30_000.0  # clients close after 4 s; one that asked and is still here holds its connection for good
# A peer is owed an answer or a close within 3 s of connecting; what a client sends comes within a round trip.
MESSAGE_TIMEOUT_MS = 2_300.0  # for a first message, and for the rest of one that has begun
PIECE_MS = 700.0  # and as long as it keeps coming: so long after its last piece, with SPEAK_MS 3 s
PIECES_SURE = 3  # of so many, the next may take SPEAK_MS: one that stops short sends less
MAX_PIECES_MS = 30_000.0  # but no longer than this in all
SKIP_MS = 6_000.0  # for the rest of an oversized one, which was refused when its head came
YOUNG_MS = 250.0  # a connection that said nothing yet may be about to: others give way first
TTL_ROOM = 1.1  # a client waits for its class's time at the most; room for rounding
STOP_READING_BYTES = 64 * 1024  # bytes that wait for a client which does not read: it is not read either
MAX_UNREAD_BYTES = 1024 * 1024  # and with these it is dropped
MAX_TOTAL_UNREAD_BYTES = 32 * 1024 * 1024  # of all clients together: part of the memory limit
MAX_CONCURRENCY = 4_096

_HEX16 = re.compile(r"[0-9a-fA-F]{16}\Z")
_TOKEN = re.compile(r"[0-9A-Za-z_.:-]{1,128}\Z")
_NUMBER = re.compile(r"[0-9]{1,12}(\.[0-9]{1,9})?\Z")


def _number(text: str | None, name: str) -> float | None:
    if text is None:
        return None
    if not _NUMBER.match(text):
        raise thrift.MalformedMessageError(f"{name}: not a number")
    return float(text)


def call_from(
    message: thrift.Handle, classes: dict[str, RequestClass], tenants: frozenset[str] = frozenset()
) -> dict[str, Any]:
    """What a call's fields say; raises Malformed for what no scorer could be passed."""
    fields = message.fields
    spec, token = classes.get(fields.get("op", "")), fields.get("dedupe", "")
    if spec is None:
        raise thrift.MalformedMessageError("op: no such class")
    if tenants and fields.get("org") not in tenants:
        raise thrift.MalformedMessageError("org: no such tenant")
    for name in ("call", "row"):
        if not _HEX16.match(fields.get(name, "")):
            raise thrift.MalformedMessageError(f"{name}: not 16 hex digits")
    if (token or spec.retry_safety is RetrySafety.IDEMPOTENCY_KEY) and not _TOKEN.match(token):
        raise thrift.MalformedMessageError("dedupe: missing, or not a key")
    budget = _number(fields.get("ttl"), "ttl")
    if not budget or budget > TTL_ROOM * spec.timeout_ms:
        raise thrift.MalformedMessageError("ttl: missing, or not a time to wait")
    parts = (part.partition(":") for part in fields.get("props", "").split(";") if part)
    props = {name: value for name, _, value in parts}
    lanes = _number(props.get("lanes", "1"), "lanes")
    if not 1 <= lanes <= MAX_CONCURRENCY:
        raise thrift.MalformedMessageError("lanes: out of range")
    return {
        "id": bytes.fromhex(fields["call"]),
        "class_name": spec.name,
        "tenant": fields.get("org", "")[:128],
        "function": fields["row"],
        "timeout_ms": budget,
        "body": message.body,
        "idempotency_key": token,
        "concurrency": int(lanes),
        "memory_mb": _number(props.get("memory_mb"), "memory_mb"),
        "start_ms": _number(props.get("load_ms"), "load_ms"),
    }


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
        before = self._reader.waits
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
                self._write(thrift.answer("status", item.seqid, b"", {}, self.listener.is_ready))

    def _malformed(self, error: thrift.MalformedMessageError) -> None:
        self.listener.log(f"client: {error}", "clients")
        # An exception under an open request's number would be that request's answer.
        if error.seqid is None or error.seqid in self.pending:
            self._finish(CloseReason.PROTOCOL_ERROR)
        else:
            self._write(thrift.application_exception(error.seqid, str(error), error.kind))

    def _finish(self, end: CloseReason) -> None:
        """End the connection; what is open on it is failed, so that each request has its answer."""
        for seqid, key in list(self.pending.items()):
            self.listener.table.cancel_request(key)
            self._reply(seqid, Failed())
        self.connection.close_after_flush(end)

    def silent_since(self, at_ms: float) -> bool:
        return not self.spoke and not self._reader.waits and self.connection.last_used_ms < at_ms

    def end_overdue(self) -> None:
        if self.spoke or self._reader.waits:
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
        return not self.connection.is_finishing and (self._reader.waits or bool(self.connection.peek()))

    def overdue(self, now_ms: float) -> bool:
        """Guards descriptors against peers that say nothing, or half a message."""
        if self.pending or (self.spoke and not self._reader.waits):
            return False
        if self._reader.skips:
            return now_ms - self._since_ms > SKIP_MS
        pause_ms = PIECE_MS if self._pieces < PIECES_SURE else MESSAGE_TIMEOUT_MS
        comes = self._reader.waits and now_ms - self.connection.last_received_ms <= pause_ms
        return now_ms - self._since_ms > (MAX_PIECES_MS if comes else MESSAGE_TIMEOUT_MS)

    def giving_way(self) -> tuple[bool, bool, float]:
        """The least of all clients with nothing open gives way first: finished with, then nothing half read,
        then idle for longest."""
        return not self.connection.is_finishing, self._reader.waits, self.connection.last_used_ms

    def _handle(self, message: thrift.Handle) -> None:
        seqid = message.seqid
        try:
            if seqid in self.pending:
                raise thrift.MalformedMessageError("a second request under an open number")
            if len(self.pending) >= MAX_PENDING_REQUESTS:
                raise thrift.MalformedMessageError("too many open requests")
            fields = call_from(message, self.listener.classes, self.listener.tenants)
            if self.listener.table.is_pending(fields["id"]):  # each request brings a new one, a retry too
                raise thrift.MalformedMessageError("call: the id of an open request")
        except thrift.MalformedMessageError as error:
            error.seqid = seqid
            self._malformed(error)
            return
        if self.connection.is_closed:  # the look at who has that id found the end of this very client
            return
        fields["timeout_ms"] = max(0.0, fields["timeout_ms"] - self.connection.receive_delay_ms)
        reply, age_ms = (lambda outcome: self._reply(seqid, outcome)), self.connection.receive_delay_ms
        call = ClientRequest(reply=reply, age_ms=age_ms, is_client_connected=self._waits, **fields)
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
            self._write(thrift.answer("handle", seqid, outcome.body, {}, True))
        elif isinstance(outcome, Rejected):
            wait = math.ceil(max(0.0, outcome.retry_after_ms))
            self._write(thrift.throttled(seqid, {"pushback": str(wait)}))
        elif isinstance(outcome, Failed):
            self._write(thrift.broken(seqid, {}))

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


class ClientListener:
    """Owns the listener and the client connections, within a share of the descriptors."""

    def __init__(
        self,
        loop: EventLoop,
        address: Address,
        table: RequestTable,
        classes: dict[str, RequestClass],
        tenants: frozenset[str],
        most: int,
        log: RateLimitedLog,
    ) -> None:
        self.loop, self.table, self.log = loop, table, log
        self.classes, self.tenants = classes, tenants
        self.is_ready = False
        self.connections: dict[ClientConnection, None] = {}
        self._most = most
        family = socket.AF_INET6 if ":" in address[0] else socket.AF_INET
        self._listener: socket.socket | None = socket.socket(family, socket.SOCK_STREAM)
        self._listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        enable_receive_timestamps(self._listener)
        self._listener.bind(address)
        self._listener.listen(BACKLOG)
        self._listener.setblocking(False)
        self.address: Address = self._listener.getsockname()[:2]
        self._paused = False
        loop.register(self._listener, READ, self._accept)

    def _accept(self, _mask: int) -> None:
        for _ in range(min(MAX_ACCEPTS_PER_TURN, max(1, self._most // 2))):
            if self._listener is None or (len(self.connections) >= self._most and not self._make_room()):
                self._pause()
                return
            try:
                sock, _ = self._listener.accept()
            except BlockingIOError:
                return
            except OSError as error:
                if reason_of_os_error(error) is CloseReason.NO_FILE_DESCRIPTOR:
                    self._pause()
                    return
                if error.errno in (errno.ECONNABORTED, errno.EINTR):
                    continue
                self.log(f"accept: {error}")
                self._pause()
                return
            client = ClientConnection(self, sock)
            self.connections[client] = None

    def _make_room(self) -> bool:
        """Close what has nothing open: all that should have spoken by now, else one that is finished with,
        else the one that has been idle for longest. What has something unread is about to ask."""
        idle = [
            client
            for client in self.connections
            if not client.pending and not client.connection.pending_bytes
        ]
        since = monotonic_ms() - YOUNG_MS
        silent = [client for client in idle if client.silent_since(since)]
        closed = [client for client in silent if client.close_unheard()]
        while idle and not closed:
            last = min(idle, key=ClientConnection.giving_way)
            idle.remove(last)
            closed = [last] if last.close_unheard() else []
        return bool(closed)

    def _pause(self) -> None:
        """Leave new connections to the system's queue for a moment, rather than spin on them."""
        if self._listener is not None and not self._paused:
            self._paused = True
            self.loop.unregister(self._listener)
            self.loop.timers.call_later(ACCEPT_PAUSE_MS, self._resume)

    def _resume(self) -> None:
        self._paused = False
        if self._listener is not None:
            self.loop.register(self._listener, READ, self._accept)

    def unread_bytes(self) -> int:
        return sum(client.connection.pending_bytes for client in self.connections)

    def has_unwritten(self) -> bool:
        return any(client.connection.pending_bytes for client in self.connections)

    def has_arriving(self) -> bool:
        """Whether anything of a client lies unread, also on connections that were yet to be accepted."""
        if not self._paused:
            self._accept(READ)
        return self._paused or any(client.has_arriving() for client in self.connections)

    def ended(self, client: ClientConnection) -> None:
        self.connections.pop(client, None)

    def check_timeouts(self) -> None:
        now = monotonic_ms()
        for client in list(self.connections):
            idle = not client.pending and now - client.connection.last_used_ms > IDLE_MS
            if idle:
                client.close_unheard()  # but not on a request that has come and is yet to be read
            elif client.overdue(now):
                client.end_overdue()

    def close(self) -> None:
        if self._listener is not None:
            if not self._paused:
                self.loop.unregister(self._listener)
            self._listener.close()
            self._listener = None
        for client in list(self.connections):
            client.connection.close(CloseReason.SHUTDOWN)
