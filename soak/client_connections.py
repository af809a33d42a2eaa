"""The clients' connections to the routers, which are reused, left open without use, or closed when idle."""

import random
import time

from soak.thrift_client import ThriftConnection

MAX_PENDING_REQUESTS = 32  # per connection; one at the limit gets no more requests
MAX_IDLE_S = 4.0  # from the last use of a connection until the client closes it
REUSABLE_SHARE = 0.5  # share of connections opened with `is_new` that are reused; the others stay unused


class ClientConnections:
    """Opens and reuses connections; owns all of them except private ones, which the caller closes."""

    def __init__(self, rng: random.Random, min_per_router: int) -> None:
        """Start without connections.

        `acquire` opens one for each request to a router until `min_per_router` reusable ones are open to it.
        """
        self._rng = rng
        self._min_per_router = min_per_router
        self._reusable: dict[int, list[ThriftConnection]] = {}  # by port
        self._never_reused: list[ThriftConnection] = []

    async def acquire(
        self, port: int, *, is_new: bool, is_private: bool, may_connect: bool = True
    ) -> ThriftConnection:
        """Return a connection for one request.

        Args:
            port: The port of the router.
            is_new: Whether to open a connection even if an open one could be reused.
            is_private: Whether to open a connection that no other request shares.
            may_connect: Whether a connection may be opened; if not, an open one with fewer than
                `MAX_PENDING_REQUESTS` pending requests is returned.

        Raises:
            OSError: The router does not accept a connection, or none may be opened and no open one can take
                another request.
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
