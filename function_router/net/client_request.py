"""A client's request and its answer, independent of the protocol that the client uses.

Another client protocol can be put in front of the same request table: it makes a `ClientRequest` of each
message, and encodes the `FinalAnswer` that `reply` is called with.
"""

from collections.abc import Callable
from typing import ClassVar

from msgspec import Struct


class Served(Struct, frozen=True):
    """A worker ran the request."""

    body: bytes
    name: ClassVar[str] = "served"


class Rejected(Struct, frozen=True):
    """The request was not served, and the client may safely send it again.

    Attributes:
        retry_after_ms: How long the client should wait before that; 0 where there is no advice.
    """

    retry_after_ms: float
    name: ClassVar[str] = "rejected"


class Failed(Struct, frozen=True):
    """The request may or may not have run, so that a retry may run it twice."""

    name: ClassVar[str] = "failed"


FinalAnswer = Served | Rejected | Failed
"""The one answer that a client gets."""


class Invocation(Struct, frozen=True):
    """What a client asks for: to have a function run.

    Attributes:
        request_id: The client's own id of the request, eight bytes; unique among pending requests.
        class_name: Name of the request class.
        tenant: Name of the tenant; empty where none was given and none is required.
        function: Name of the function, 16 hexadecimal digits.
        timeout_ms: How long the client waits for the answer.
        body: What the function is to be run on.
        idempotency_key: Names the request to workers that drop repeats; empty where there is none.
        concurrency: Requests that one instance of the function may run at once.
        memory_mb: Memory that one instance takes; None where the client does not say.
        expected_start_ms: How long an instance takes to start; None where the client does not say.
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
    """An invocation that has been read, and how to answer it.

    Attributes:
        invocation: What the client asks for.
        age_ms: How long the last bytes of the request were unread.
        reply: Sends the answer to the client; to be called once.
        is_client_connected: Whether the client still waits. A client that has disconnected may be found by
            this call, which then closes its connection.
    """

    invocation: Invocation
    age_ms: float
    reply: Callable[[FinalAnswer], None]
    is_client_connected: Callable[[], bool]

    @property
    def timeout_ms(self) -> float:
        """How much longer the client waits for the answer, from when the request was read."""
        return max(0.0, self.invocation.timeout_ms - self.age_ms)
