"""The client side of a request: sending it, and its answer, cancellation or lost connection."""

import asyncio
import random
import time
from collections.abc import Sequence
from dataclasses import dataclass
from enum import Enum, auto

from msgspec import Struct

from function_router.decisions.types import RetrySafety
from soak import site
from soak.client_connections import ClientConnections
from soak.records import AnswerKind, ClientGone, ConnectionLost, Recorder, RequestAnswered, RequestSent
from soak.thrift_client import ConnectionEndedError, ThriftConnection
from soak.thrift_messages import ClientAnswer, encode_cancel, encode_request
from soak.worker import served_body

NEW_CONNECTION_SHARE = 0.1  # share of requests that get a new connection though they could reuse one
CANCEL_SHARE = 0.05  # share of requests that are cancelled unless the answer arrives earlier
CLOSE_SHARE = 0.03  # share of requests whose connection is closed unless the answer arrives earlier
MIN_TIMEOUT_SHARE = 0.5  # minimum timeout, as a share of the site's longest timeout

# A client abandons a request after a share of its timeout: the square of a random number up to this. Squaring
# makes most clients abandon their requests early.
MAX_ABANDON_ROOT = 0.5

# If a connection ends this soon after a request was sent on it, the router may have closed it as idle without
# reading the request, so the client retries the request once. It does so only if no other request was pending
# on the connection, as a connection with pending requests is not idle for the router.
CLOSE_RACE_S = 0.05

ANSWER_GRACE_S = 1.0  # how long clients wait for an answer after the timeout or a cancellation
MAX_BODY_BYTES = 2_000


class Abandonment(Enum):
    """How a client abandons a request before the answer."""

    NONE = auto()  # waits for the answer
    CANCEL = auto()  # sends a cancellation
    CLOSE = auto()  # closes the connection


class GeneratedRequest(Struct, frozen=True):
    """A request with randomly drawn parameters."""

    request_id: str
    class_name: str
    timeout_ms: int
    tenant: str
    function: str

    @property
    def timeout_s(self) -> float:
        """The timeout in seconds."""
        return self.timeout_ms / 1000

    @property
    def fields(self) -> dict[str, str]:
        """The fields of the request's message, by their names on the wire."""
        fields = {
            "op": self.class_name,
            "call": self.request_id,
            "ttl": str(self.timeout_ms),
            "org": self.tenant,
            "row": self.function,
            "props": f"memory_mb:128;lanes:{site.WORKER_CONCURRENCY}",
        }
        if site.RETRY_SAFETY_BY_CLASS[self.class_name] is RetrySafety.IDEMPOTENCY_KEY:
            fields["dedupe"] = self.request_id * 2
        return fields


def draw_request(rng: random.Random, functions: list[str], weights: list[float]) -> GeneratedRequest:
    """Draw a random request; `weights` are the relative frequencies of the functions."""
    class_name = rng.choices(list(site.CLASS_SHARES), list(site.CLASS_SHARES.values()))[0]
    timeout_ms = int(site.MAX_TIMEOUT_MS * rng.uniform(MIN_TIMEOUT_SHARE, 1.0))
    return GeneratedRequest(
        request_id=f"{rng.getrandbits(64):016x}",
        class_name=class_name,
        timeout_ms=timeout_ms,
        tenant=rng.choice(site.TENANTS),
        function=rng.choices(functions, weights)[0],
    )


class Target(Struct, frozen=True):
    """The router that a request is sent to."""

    router: int
    port: int
    may_connect: bool = True  # if False, the request can only use an open connection


@dataclass(frozen=True, slots=True)
class SentRequest:
    """A request that was sent on a connection.

    Attributes:
        request: The request.
        connection: The connection on which it was sent.
        seqid: Its sequence number on the connection.
        answer: The future of its answer, which may fail with ConnectionEndedError.
        sent_at: When it was sent, in monotonic seconds.
        was_only_pending: Whether no other request was pending on the connection when it was sent.
    """

    request: GeneratedRequest
    connection: ThriftConnection
    seqid: int
    answer: asyncio.Future[ClientAnswer]
    sent_at: float
    was_only_pending: bool


class RequestClient:
    """Sends requests, and records the result of each."""

    def __init__(self, connections: ClientConnections, recorder: Recorder, rng: random.Random) -> None:
        self._connections = connections
        self._recorder = recorder
        self._rng = rng

    async def send(self, request: GeneratedRequest, target: Target, *, is_retry: bool = False) -> bool:
        """Send a request and wait until it is over.

        Returns:
            Whether the client should retry it, as its connection ended right after it was sent.
        """
        abandonment = self._draw_abandonment()
        if abandonment is Abandonment.CLOSE and not target.may_connect:
            abandonment = Abandonment.NONE  # closing needs a private connection, which may not be opened
        closes_connection = abandonment is Abandonment.CLOSE
        is_new = is_retry or self._rng.random() < NEW_CONNECTION_SHARE
        try:
            connection = await self._connections.acquire(
                target.port, is_new=is_new, is_private=closes_connection, may_connect=target.may_connect
            )
        except OSError:
            return False  # never sent
        sent = self._write_request(request, target.router, connection)
        try:
            await self._await_completion(sent, abandonment)
        except ConnectionEndedError as error:
            return self._record_lost_connection(sent, error, is_retry=is_retry)
        finally:
            connection.pending.pop(sent.seqid, None)
            if closes_connection:
                connection.close()
        self._record_surplus(sent)
        return False

    async def send_together(
        self, requests: Sequence[GeneratedRequest], target: Target, max_per_connection: int
    ) -> None:
        """Send requests at once on new connections, and wait until all of them are over."""
        parts = [
            requests[start : start + max_per_connection]
            for start in range(0, len(requests), max_per_connection)
        ]
        try:
            connections = [await ThriftConnection.open(target.port) for _ in parts]
        except OSError:
            return  # never sent
        sent = [
            self._write_request(request, target.router, connection)
            for connection, part in zip(connections, parts, strict=True)
            for request in part
        ]
        await asyncio.gather(*(self._await_burst_answer(each) for each in sent))
        for connection in connections:
            connection.close()

    async def _await_burst_answer(self, sent: SentRequest) -> None:
        """Wait for the answer to a request that shares its connection with others of a burst."""
        try:
            await self._await_answer(sent)
        except ConnectionEndedError as error:
            self._record_lost_connection(sent, error, is_retry=True)
        sent.connection.pending.pop(sent.seqid, None)
        self._record_surplus(sent)

    def _record_lost_connection(
        self, sent: SentRequest, error: ConnectionEndedError, *, is_retry: bool
    ) -> bool:
        """Record that a connection ended before the answer; return whether the client should retry."""
        should_retry = sent.was_only_pending and error.at - sent.sent_at <= CLOSE_RACE_S and not is_retry
        self._recorder.add(
            ConnectionLost(sent.request.request_id, error.at, error.cause, is_retried=should_retry)
        )
        return should_retry

    def _draw_abandonment(self) -> Abandonment:
        if self._rng.random() < CLOSE_SHARE:
            return Abandonment.CLOSE
        return Abandonment.CANCEL if self._rng.random() < CANCEL_SHARE else Abandonment.NONE

    def _write_request(
        self, request: GeneratedRequest, router: int, connection: ThriftConnection
    ) -> SentRequest:
        """Send a request on a connection, and record that it was sent."""
        seqid = connection.next_seqid()
        answer = connection.expect_answer(seqid)
        was_only_pending = len(connection.pending) == 1
        body = self._rng.randbytes(self._rng.randrange(MAX_BODY_BYTES))
        connection.send(encode_request(seqid, request.fields, body))
        sent_at = time.monotonic()
        self._recorder.add(
            RequestSent(request.request_id, router, request.class_name, sent_at, request.timeout_s)
        )
        return SentRequest(request, connection, seqid, answer, sent_at, was_only_pending=was_only_pending)

    async def _await_completion(self, sent: SentRequest, abandonment: Abandonment) -> None:
        """Wait for the answer, or abandon the request after a share of its timeout."""
        if abandonment is not Abandonment.NONE:
            abandon_after_s = sent.request.timeout_s * self._rng.uniform(0.0, MAX_ABANDON_ROOT) ** 2
            done, _ = await asyncio.wait([sent.answer], timeout=abandon_after_s)
            if not done:
                await self._abandon(sent, abandonment)
                return
        await self._await_answer(sent)

    async def _await_answer(self, sent: SentRequest) -> None:
        request = sent.request
        try:
            answer = await asyncio.wait_for(sent.answer, request.timeout_s + ANSWER_GRACE_S)
        except TimeoutError:
            return
        expected_body = served_body(bytes.fromhex(request.request_id))
        is_genuine = answer.kind is not AnswerKind.SERVED or answer.body == expected_body
        self._recorder.add(RequestAnswered(request.request_id, answer.at, answer.kind, is_genuine=is_genuine))

    async def _abandon(self, sent: SentRequest, abandonment: Abandonment) -> None:
        if abandonment is Abandonment.CLOSE:
            sent.connection.pending.pop(sent.seqid, None)
            sent.connection.close()
        else:
            sent.connection.send(encode_cancel(sent.seqid))
        self._recorder.add(ClientGone(sent.request.request_id, time.monotonic()))
        if abandonment is Abandonment.CANCEL:
            # Wait for an answer that was sent before the cancellation arrived: it does not count as surplus.
            await asyncio.wait([sent.answer], timeout=ANSWER_GRACE_S)

    def _record_surplus(self, sent: SentRequest) -> None:
        """Record the connection's surplus answers, if any, as one record of this request.

        A surplus answer has a sequence number without a pending request, so its own request is unknown.
        """
        if sent.connection.surplus_answers:
            request_id = sent.request.request_id
            self._recorder.add(RequestAnswered(request_id, time.monotonic(), AnswerKind.SURPLUS))
            sent.connection.surplus_answers = 0
