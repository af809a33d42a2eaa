"""The interface through which a connection notifies its owner."""

from typing import Protocol

from function_router.net.close_reason import CloseReason


class ConnectionHandler(Protocol):
    """The owner of a connection, which is notified of its events."""

    def on_connected(self) -> None:
        """Handle the establishment of the connection; not called for an accepted one."""

    def on_data(self, data: bytes, /) -> None:
        """Handle received bytes. An exception closes the connection with PROTOCOL_ERROR."""

    def on_flushed(self) -> None:
        """Handle the end of a flush, after which `pending_bytes` may still be queued."""

    def on_write_delayed(self) -> None:
        """Handle a delay: queued writes are about to be sent later than intended.

        A write of which nothing has been sent yet may be cancelled or replaced.
        """

    def on_closed(self, reason: CloseReason, /) -> None:
        """Handle the close of the connection. This is the last call, and happens once."""


class _ClosedConnectionHandler:
    """Ignores all events."""

    def on_connected(self) -> None: ...

    def on_data(self, data: bytes) -> None: ...

    def on_flushed(self) -> None: ...

    def on_write_delayed(self) -> None: ...

    def on_closed(self, reason: CloseReason) -> None: ...


CLOSED_CONNECTION_HANDLER: ConnectionHandler = _ClosedConnectionHandler()
"""The handler that replaces the handler of each closed connection.

A handler and its connection refer to each other. Without the replacement, both would stay in memory until a
full garbage collection, which becomes rare in a long-running process.
"""
