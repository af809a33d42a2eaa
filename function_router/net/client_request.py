"""A client's request and its answer, independent of the client protocol.

To support another client protocol, convert each of its messages to a `ClientRequest`, admit that to the
request table, and encode the `FinalAnswer` with which `reply` is called.
"""

from collections.abc import Callable
from typing import ClassVar

from msgspec import Struct

from function_router.net.memory_budget import MemoryAccount

# Memory of a pending request in all parts of the router, with its trace and without its body.
REQUEST_BYTES = 4 * 1024


class Served(Struct, frozen=True):
    """A worker has run the request."""

    body: bytes
    name: ClassVar[str] = "served"


class Rejected(Struct, frozen=True):
    """The request was not served, and the client can safely retry it.

    Attributes:
        retry_after_ms: How long the client should wait before it retries; 0 without such advice.
    """

    retry_after_ms: float
    name: ClassVar[str] = "rejected"


class Failed(Struct, frozen=True):
    """The request may or may not have run, so a retry may run it twice."""

    name: ClassVar[str] = "failed"


FinalAnswer = Served | Rejected | Failed
"""The one answer that a client gets to a request."""


class Invocation(Struct, frozen=True):
    """The call of a function that a client requests.

    Attributes:
        request_id: The id that the client gave the request, eight bytes; unique among pending requests.
        class_name: Name of the request class.
        tenant: Name of the tenant; empty if none was given and none is required.
        function: Name of the function, 16 hexadecimal digits.
        timeout_ms: How long the client waits for the answer.
        body: The input of the function.
        idempotency_key: The key by which workers deduplicate the request; empty without one.
        concurrency: Maximum number of requests that one instance of the function runs at once.
        memory_mb: Memory that one instance needs; None if the client does not specify it.
        expected_start_ms: How long an instance takes to start; None if the client does not specify it.
    """

    request_id: bytes
    class_name: str
    tenant: str
    function: str
    timeout_ms: float
    body: bytes
    idempotency_key: str
    concurrency: int
    memory_mb: float | None
    expected_start_ms: float | None


class ClientRequest(Struct, frozen=True):
    """An invocation that was received, and the callbacks to its client.

    Attributes:
        invocation: The function call that the client requests.
        age_ms: How long ago the last bytes of the request arrived when it was admitted.
        reply: Sends the answer to the client; must be called only once.
        is_client_connected: Returns whether the client still waits. If this call detects that the client has
            disconnected, it closes the connection.
        memory: The memory that the client uses for its pending requests.
    """

    invocation: Invocation
    age_ms: float
    reply: Callable[[FinalAnswer], None]
    is_client_connected: Callable[[], bool]
    memory: MemoryAccount

    @property
    def size_bytes(self) -> int:
        """The memory that the pending request takes, about: an attempt's frame is a copy of the body."""
        return REQUEST_BYTES + 2 * len(self.invocation.body)

    @property
    def timeout_ms(self) -> float:
        """How long the client still waits for the answer after the request was admitted."""
        return max(0.0, self.invocation.timeout_ms - self.age_ms)
