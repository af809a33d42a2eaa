"""The clients' connections to all routers: reused ones, idle ones, and abandoned ones."""

import random
import time

from soak.thrift_client import ThriftConnection

MAX_PENDING_REQUESTS = 32  # on a connection, which then gets no more
MAX_IDLE_S = 4.0  # until the client closes the connection
REUSABLE_SHARE = 0.5  # of extra connections; the others stay open, but are never used again


class ClientConnections:
    """Opens and reuses connections; it owns all of them except private ones, which the caller closes."""

    def __init__(self, rng: random.Random, min_per_router: int) -> None:
        """Open connections until there are `min_per_router` to each router that gets requests."""
        self._rng = rng
        self._min_per_router = min_per_router
        self._reusable: dict[int, list[ThriftConnection]] = {}  # by port
        self._never_reused: list[ThriftConnection] = []

    async def acquire(
        self, port: int, *, is_new: bool, is_private: bool, may_connect: bool = True
    ) -> ThriftConnection:
        """Return a connection for one request.

        Args:
            port: of the router.
            is_new: open one, also where another could be used again.
            is_private: open one that no other request shares.
            may_connect: whether to open one at all.

        Raises:
            OSError: The router does not accept a connection, or none is open where none may be opened.
        """
        self._close_idle(port)
        reusable = self._reusable.setdefault(port, [])
        usable = [each for each in reusable if len(each.pending) < MAX_PENDING_REQUESTS]
        has_enough = len(reusable) >= self._min_per_router
        if usable and not (may_connect and (is_new or is_private or not has_enough)):
            return self._rng.choice(usable)
        if not may_connect:
            raise ConnectionRefusedError
        connection = await ThriftConnection.open(port)
        if not is_private:
            is_reusable = not is_new or self._rng.random() < REUSABLE_SHARE
            (reusable if is_reusable else self._never_reused).append(connection)
        return connection

    def close(self) -> None:
        """Close all connections."""
        for connection in self._never_reused:
            connection.close()
        for reusable in self._reusable.values():
            for connection in reusable:
                connection.close()

    def _close_idle(self, port: int) -> None:
        now = time.monotonic()
        for connection in list(self._reusable.get(port, ())):
            is_idle = not connection.pending and now - connection.last_used > MAX_IDLE_S
            if connection.end_cause is not None or is_idle:
                self._reusable[port].remove(connection)
                connection.close()
