"""Delivers signals through a socket, which wakes the event loop; their handlers run in one of its turns."""

import signal
import socket
from collections.abc import Callable, Mapping

from function_router.net.transient_errors import is_transient

# Maximum number of signals read at once; each signal is one byte.
MAX_SIGNALS_PER_READ = 64


class SignalWakeup:
    """Receives signals on a socket pair that it owns, and calls their handlers when the pair is read.

    Python writes the number of each signal to the socket pair. Signals that are blocked during startup are
    unblocked here, and are received then if they are pending.

    Attributes:
        sock: The read end, which is readable while signals wait to be handled.
    """

    def __init__(self, handlers: Mapping[int, Callable[[], None]]) -> None:
        """Start to receive signals; `handlers` are given by signal number."""
        self._handlers = handlers
        self.sock, self._write_end = socket.socketpair()
        self.sock.setblocking(False)
        self._write_end.setblocking(False)
        signal.set_wakeup_fd(self._write_end.fileno(), warn_on_full_buffer=False)
        for number in handlers:
            signal.signal(number, lambda *_: None)
        signal.pthread_sigmask(signal.SIG_UNBLOCK, handlers)

    def on_readable(self, _mask: int) -> None:
        """Call the handlers of the signals that have arrived, in order of arrival."""
        for number in self._read_signal_numbers():
            handler = self._handlers.get(number)
            if handler:
                handler()

    def _read_signal_numbers(self) -> bytes:
        """Return the numbers of the signals that have arrived; none after a transient error."""
        try:
            return self.sock.recv(MAX_SIGNALS_PER_READ)
        except OSError as error:
            if not is_transient(error):
                raise
            return b""

    def close(self) -> None:
        """Stop receiving signals."""
        signal.set_wakeup_fd(-1)
        self.sock.close()
        self._write_end.close()
