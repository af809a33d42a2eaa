"""The pending requests, with their limits, and the requests that have finished recently."""

from enum import Enum, auto
from itertools import islice

from function_router.net.client_request import ClientRequest
from function_router.net.pending_request import PendingRequest

# A step of a function is recorded in the traces of at most this many of its requests, the oldest ones.
MAX_TRACED_REQUESTS = 32


class RejectReason(Enum):
    """The limit that does not allow one more pending request."""

    TABLE_FULL = auto()  # as many requests are pending as the settings allow
    MEMORY_FULL = auto()  # the requests of the client, or of all clients, take too much memory


class PendingRequests:
    """The requests that have no final answer yet.

    Attributes:
        by_key: The requests by key, oldest first.
    """

    __slots__ = ("_by_function", "_keys_by_client_request_id", "_max_requests", "by_key")

    def __init__(self, max_requests: int) -> None:
        self.by_key: dict[str, PendingRequest] = {}
        self._max_requests = max_requests
        self._keys_by_client_request_id: dict[bytes, str] = {}
        self._by_function: dict[str, dict[str, PendingRequest]] = {}  # by function and key, oldest first

    def reason_to_reject(self, client_request: ClientRequest) -> RejectReason | None:
        """Return which limit does not allow one more request of this client; None if all allow it."""
        if len(self.by_key) >= self._max_requests:
            return RejectReason.TABLE_FULL
        if not client_request.memory.allows(client_request.size_bytes):
            return RejectReason.MEMORY_FULL
        return None

    def add(self, request: PendingRequest) -> None:
        """Add a request; no other pending request may have its key or the id that its client gave it."""
        invocation = request.invocation
        self.by_key[request.key] = request
        request.client_request.memory.charge(request.client_request.size_bytes)
        self._keys_by_client_request_id[invocation.request_id] = request.key
        self._by_function.setdefault(invocation.function, {})[request.key] = request

    def remove(self, key: str) -> PendingRequest | None:
        """Remove and return a request; None if it is not pending."""
        request = self.by_key.pop(key, None)
        if request:
            invocation = request.invocation
            request.client_request.memory.charge(-request.client_request.size_bytes)
            self._keys_by_client_request_id.pop(invocation.request_id, None)
            of_function = self._by_function[invocation.function]
            del of_function[key]
            if not of_function:
                del self._by_function[invocation.function]
        return request

    def find_by_client_request_id(self, client_request_id: bytes) -> PendingRequest | None:
        """Return the request to which its client gave this id; None if there is none."""
        key = self._keys_by_client_request_id.get(client_request_id)
        return None if key is None else self.by_key[key]

    def has_requests(self, function: str) -> bool:
        """Return whether requests for a function are pending."""
        return function in self._by_function

    def has_waiting_client(self, function: str) -> bool:
        """Return whether any client still waits for a function.

        Requests whose clients are found to have disconnected are removed.
        """
        of_function = list(self._by_function.get(function, {}).values())
        return any(request.client_request.is_client_connected() for request in of_function)

    def add_trace_step(self, function: str, text: str) -> None:
        """Record a step, such as a start order, in the traces of the oldest requests for a function."""
        of_function = self._by_function.get(function, {})
        for request in islice(of_function.values(), MAX_TRACED_REQUESTS):
            request.add_trace_step(text)


class RecentlyFinishedRequests:
    """The requests that have finished since the previous batch of events began.

    The decision module may still send attempts of them, as it has not been notified yet that they finished.
    """

    __slots__ = ("_in_batch", "_in_previous_batch")

    def __init__(self) -> None:
        self._in_batch: dict[str, PendingRequest] = {}
        self._in_previous_batch: dict[str, PendingRequest] = {}

    def begin_batch(self) -> None:
        """Start a batch of events: drop the requests that finished before the previous batch."""
        self._in_previous_batch = self._in_batch
        self._in_batch = {}

    def add(self, request: PendingRequest) -> None:
        """Add a request that has just finished."""
        self._in_batch[request.key] = request

    def get(self, key: str) -> PendingRequest | None:
        """Return the request with a key; None if it is pending or finished earlier."""
        return self._in_batch.get(key) or self._in_previous_batch.get(key)
