"""What a connection notifies its owner of."""

from typing import Protocol

from function_router.net.close_reason import CloseReason


class ConnectionHandler(Protocol):
    """The owner of a connection, which is notified of what happens on it."""

    def on_connected(self) -> None:
        """The connection is established; not called for an accepted one."""

    def on_data(self, data: bytes, /) -> None:
        """Bytes were received. An exception closes the connection with PROTOCOL_ERROR."""

    def on_flushed(self) -> None:
        """The write at the end of a turn is done; `pending_bytes` may be left."""

    def on_write_delayed(self) -> None:
        """What is queued is about to be written, but later than intended.

        It may be cancelled, or replaced where nothing of it was written.
        """

    def on_closed(self, reason: CloseReason, /) -> None:
        """The connection is closed. Called once, and last."""


class _ClosedConnectionHandler:
    """Ignores whatever it is notified of."""

    def on_connected(self) -> None: ...

    def on_data(self, data: bytes) -> None: ...

    def on_flushed(self) -> None: ...

    def on_write_delayed(self) -> None: ...

    def on_closed(self, reason: CloseReason) -> None: ...


CLOSED_CONNECTION_HANDLER: ConnectionHandler = _ClosedConnectionHandler()
"""Replaces the handler of a connection that is closed.

A handler and its connection refer to each other: without this, both would stay in memory until a full garbage
collection, and those become rare in a process that runs for long.
"""
