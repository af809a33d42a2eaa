"""The clients from which reading has paused until memory for their input is free again."""

import itertools
from typing import Protocol

from function_router.net.client_messages import ClientMessages
from function_router.net.timer_wheel import Timer, TimerWheel

# Interval at which paused clients are checked. It adds to the latency of a request that waits for memory.
RESUME_INTERVAL_MS = 20.0
# Maximum number of clients that are examined at each of these times, in turn: whether they have disconnected,
# and whether the rest of their message has arrived.
MAX_EXAMINED = 256
# Maximum number of clients whose messages are completed at each of these times though the memory is used up.
# Without them, incomplete messages could use it up, and none of them would ever be completed.
MAX_COMPLETED = 4


class PausedClient(Protocol):
    """A client that resumes itself if it may.

    Attributes:
        messages: Splits the client's input into messages.
    """

    messages: ClientMessages

    def close_if_disconnected(self) -> None:
        """Close the connection if the client has disconnected."""

    def can_complete_message(self) -> bool:
        """Return whether the rest of the message has arrived and can be read at once."""

    def complete_message(self) -> None:
        """Read on until the message that is received in part is complete."""

    def update_reading(self) -> None:
        """Resume reading, and leave the paused clients, if the client's share of the memory allows that."""


class PausedClients:
    """Lets paused clients check regularly whether they may be read again.

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
        for client in list(self._clients):
            client.update_reading()
        examined = self._take_turn()
        for client in examined:
            client.close_if_disconnected()
        self._complete_some([client for client in examined if client in self._clients])
        self._set_timer()

    def _take_turn(self) -> list[PausedClient]:
        """Return the next clients to examine; those that were examined longest ago come first."""
        examined = list(itertools.islice(self._clients, MAX_EXAMINED))
        for client in examined:
            del self._clients[client]
            self._clients[client] = None
        return examined

    def _complete_some(self, clients: list[PausedClient]) -> None:
        """Let some clients whose messages have arrived in full complete them, those with least left first."""
        completed = 0
        for client in sorted(clients, key=lambda client: client.messages.missing_bytes):
            if completed >= MAX_COMPLETED:
                return
            if client.can_complete_message():
                completed += 1
                client.complete_message()
