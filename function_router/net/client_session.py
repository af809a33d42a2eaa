"""The Thrift session with one client: handles its messages, and answers its pending requests."""

import math
from typing import Protocol

from function_router.decisions.settings import RequestClass
from function_router.net.client_request import (
    ClientRequest,
    Failed,
    FinalAnswer,
    Invocation,
    Rejected,
    Served,
)
from function_router.net.close_reason import CloseReason
from function_router.net.codecs import thrift
from function_router.net.connection import Connection
from function_router.net.invariants import Invariant
from function_router.net.memory_budget import MemoryAccount, MemoryBudget
from function_router.net.request_parser import FIELD_REQUEST_ID, InvalidFieldError, parse_invocation
from function_router.net.request_table import RequestTable
from function_router.net.telemetry import Telemetry

# Source of the log lines about clients, which share a separate rate limit.
LOG_SOURCE = "clients"
# Maximum number of pending requests of one client.
MAX_PENDING_REQUESTS = 32


class ClientService(Protocol):
    """The state that the sessions of all clients share.

    Attributes:
        table: Admits the requests.
        telemetry: The log, the counters and the run-time checks.
        memory: The memory that clients can fill.
        classes: The request classes by name.
        tenants: Names of the tenants that may send requests; empty if any tenant may.
        is_ready: Whether the router is ready, which is the answer to status requests.
    """

    table: RequestTable
    telemetry: Telemetry
    memory: MemoryBudget
    classes: dict[str, RequestClass]
    tenants: frozenset[str]
    is_ready: bool


class ClientSession:
    """Handles the messages of one client, and answers each of its requests once.

    Attributes:
        pending: The request-table key of each pending request, by sequence number.
    """

    __slots__ = ("_connection", "_memory", "_service", "pending")

    def __init__(self, service: ClientService, connection: Connection) -> None:
        """Create a session without requests, which writes answers to `connection`."""
        self.pending: dict[int, str] = {}
        self._service = service
        self._connection = connection
        self._memory = MemoryAccount(service.memory.requests)

    def on_message(self, message: thrift.MessageOrError, age_ms: float) -> None:
        """Handle a message that arrived `age_ms` before this turn, or the error of a malformed message."""
        match message:
            case thrift.Handle():
                self._on_handle(message, age_ms)
            case thrift.Withdraw():
                self.withdraw(message.seqid)
            case thrift.Status():
                self._on_status(message)
            case thrift.MalformedMessageError():
                self._on_malformed_message(message)

    def withdraw(self, seqid: int) -> None:
        """Cancel a pending request whose client no longer waits; do nothing if it is not pending."""
        key = self.pending.pop(seqid, None)
        if key is not None:
            self._service.table.cancel_request(key)

    def fail_pending_and_close(self, reason: CloseReason) -> None:
        """Answer the pending requests with a failure, and close once all answers are written."""
        for seqid, key in list(self.pending.items()):
            self._service.table.cancel_request(key)
            self._reply(seqid, Failed())
        self._connection.close_after_flush(reason)

    def cancel_pending(self) -> None:
        """Cancel the pending requests without an answer, as the client has disconnected."""
        keys = list(self.pending.values())
        self.pending = {}
        for key in keys:
            self._service.table.cancel_request(key)

    # --- messages -----------------------------------------------------------------------------

    def _on_handle(self, message: thrift.Handle, age_ms: float) -> None:
        try:
            invocation = self._parse(message)
        except thrift.MalformedMessageError as error:
            error.seqid = message.seqid
            self._on_malformed_message(error)
            return
        # Parsing checks whether the request id is already pending, which may detect that the client of that
        # request has disconnected and close its connection. That client can be this one.
        if self._connection.is_closed:
            return
        seqid = message.seqid
        client_request = ClientRequest(
            invocation,
            age_ms,
            lambda answer: self._reply(seqid, answer),
            self._is_client_connected,
            self._memory,
        )
        admitted = self._service.table.admit(client_request)
        if isinstance(admitted, Rejected):
            self._connection.write(encode_answer(seqid, admitted))
        else:
            self.pending[seqid] = admitted

    def _parse(self, message: thrift.Handle) -> Invocation:
        """Parse a request, and check it against the pending requests.

        Raises:
            MalformedMessageError: The request is invalid, conflicts with a pending one, exceeds the limit, or
                has the id of one that may have run.
        """
        if message.seqid in self.pending:
            reason = "a second request under an open number"
            raise thrift.MalformedMessageError(reason)
        if len(self.pending) >= MAX_PENDING_REQUESTS:
            reason = "too many open requests"
            raise thrift.MalformedMessageError(reason)
        invocation = parse_invocation(message, self._service.classes, self._service.tenants)
        # Clients use a new id for each request, including retries.
        if self._service.table.is_pending(invocation.request_id):
            raise InvalidFieldError(FIELD_REQUEST_ID, "the id of an open request")
        if not self._service.table.may_run(invocation):
            raise InvalidFieldError(FIELD_REQUEST_ID, "the id of a request that may have run")
        return invocation

    def _on_status(self, message: thrift.Status) -> None:
        is_ready = self._service.is_ready
        self._connection.write(thrift.encode_reply(thrift.METHOD_STATUS, message.seqid, b"", is_ok=is_ready))

    def _on_malformed_message(self, error: thrift.MalformedMessageError) -> None:
        """Answer a malformed message with an exception, or close the connection if that is ambiguous.

        A client cannot match an exception without a sequence number to a message, and would take one with the
        sequence number of a pending request for the answer to that request.
        """
        self._service.telemetry.log(f"malformed message from a client: {error}", LOG_SOURCE)
        if error.seqid is None or error.seqid in self.pending:
            self.fail_pending_and_close(CloseReason.PROTOCOL_ERROR)
        else:
            self._connection.write(thrift.encode_application_exception(error))

    # --- answers ------------------------------------------------------------------------------

    def _is_client_connected(self) -> bool:
        """Return whether the client is still connected; close the connection if its disconnect is unread."""
        if self._connection.has_peer_closed():
            self._connection.close(CloseReason.CLOSED_BY_PEER)
        return not self._connection.is_closed

    def _reply(self, seqid: int, answer: FinalAnswer) -> None:
        """Answer a pending request, and remove it."""
        if self.pending.pop(seqid, None) is None:
            detail = f"second answer for sequence number {seqid}"
            self._service.telemetry.invariants.record(Invariant.ONE_ANSWER, detail)
            return
        self._connection.write(encode_answer(seqid, answer))


def encode_answer(seqid: int, answer: FinalAnswer) -> bytes:
    """Encode the answer to the request with this sequence number."""
    match answer:
        case Served():
            return thrift.encode_reply(thrift.METHOD_HANDLE, seqid, answer.body, is_ok=True)
        case Rejected():
            return thrift.encode_throttled(seqid, math.ceil(max(0.0, answer.retry_after_ms)))
        case Failed():
            return thrift.encode_broken(seqid)
