"""Watches a socket on the event loop for the operations that its connection waits for, which may be none."""

import socket
from collections.abc import Callable

from function_router.net.event_loop import EventLoop

# How long after the event loop could not watch a socket it tries again.
RETRY_MS = 50.0


class SocketWatch:
    """Registers a socket while its connection waits for any operation; a selector accepts no empty mask."""

    __slots__ = ("_loop", "_mask", "_on_ready", "_on_resumed", "_sock", "_wanted_mask")

    def __init__(
        self,
        loop: EventLoop,
        sock: socket.socket,
        mask: int,
        on_ready: Callable[[int], None],
        on_resumed: Callable[[], None],
    ) -> None:
        """Watch a socket for the operations in `mask`.

        Args:
            loop: The event loop.
            sock: The socket, which its connection owns.
            mask: The operations.
            on_ready: Called with the operations that the socket is ready for.
            on_resumed: Called when the socket is watched again after a time in which it was not.

        Raises:
            OSError: The event loop cannot watch the socket.
        """
        self._loop = loop
        self._sock = sock
        self._on_ready = on_ready
        self._on_resumed = on_resumed
        self._mask = mask  # 0 while the socket is not registered
        self._wanted_mask = mask
        loop.register(sock, mask, on_ready)

    def set_mask(self, mask: int) -> None:
        """Watch the socket for these operations from now on, or from as soon as the loop can."""
        self._wanted_mask = mask
        if mask == self._mask:
            return
        if not mask:
            self._loop.unregister(self._sock)
            self._mask = 0
        elif self._mask:
            self._loop.modify(self._sock, mask, self._on_ready)
            self._mask = mask
        else:
            self._resume()

    def _resume(self) -> None:
        """Register the socket; if the selector cannot watch it now, try again later."""
        if self._mask or not self._wanted_mask:
            return
        try:
            self._loop.register(self._sock, self._wanted_mask, self._on_ready)
        except OSError:
            self._loop.timers.call_later(RETRY_MS, self._resume)
            return
        self._mask = self._wanted_mask
        self._on_resumed()

    def close(self) -> None:
        """Stop watching the socket; must be called before the socket is closed."""
        self.set_mask(0)
        self._on_ready = _ignore  # no reference to the connection, which is thus freed at once


def _ignore(_mask: int) -> None:
    """Do nothing; a closed socket is not watched any more."""
