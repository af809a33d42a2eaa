"""The clients from which reading has paused until memory for their input is free again."""

import itertools
from typing import Protocol

from function_router.net.timer_wheel import Timer, TimerWheel

# Interval at which paused clients are checked. It adds to the latency of a request that waits for memory.
RESUME_INTERVAL_MS = 20.0
# Maximum number of clients that are examined at each of these times whether they have disconnected.
MAX_EXAMINED = 128


class PausedClient(Protocol):
    """A client that resumes itself if it may."""

    def close_if_disconnected(self) -> None:
        """Close the connection, and leave the paused clients, if the client has disconnected."""

    def update_reading(self) -> None:
        """Resume reading, and leave the paused clients, if the client's share of the memory allows that."""


class PausedClients:
    """Lets paused clients check regularly whether they may be read again, the one that paused first first.

    A client's own events don't do that, as nothing is read from it. For the same reason a disconnect, which
    frees the memory of the client's requests, is not noticed otherwise.
    """

    __slots__ = ("_clients", "_timer", "_timers")

    def __init__(self, timers: TimerWheel) -> None:
        """Start without clients."""
        self._clients: dict[PausedClient, None] = {}  # an ordered set
        self._timer: Timer | None = None
        self._timers = timers

    def __contains__(self, client: PausedClient) -> bool:
        return client in self._clients

    def add(self, client: PausedClient) -> None:
        """Add a client; do nothing if it is paused already."""
        self._clients[client] = None
        self._set_timer()

    def discard(self, client: PausedClient) -> None:
        """Remove a client that is read again, or has gone."""
        self._clients.pop(client, None)

    def _set_timer(self) -> None:
        if self._timer is None and self._clients:
            self._timer = self._timers.call_later(RESUME_INTERVAL_MS, self._check)

    def _check(self) -> None:
        self._timer = None
        for client in list(itertools.islice(self._clients, MAX_EXAMINED)):
            self._clients.pop(client)
            self._clients[client] = None
            client.close_if_disconnected()
        for client in list(self._clients):
            client.update_reading()
        self._set_timer()
