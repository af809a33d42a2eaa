"""Signals as something to read: they wake the event loop, and their handlers run in one of its turns."""

import signal
import socket
from collections.abc import Callable, Mapping

from function_router.net.transient_errors import is_transient

# Bytes to read at once; each signal writes one.
MAX_SIGNALS_PER_READ = 64


class SignalWakeup:
    """Receives signals on a socket pair, which it owns, and calls their handlers once that is read.

    Python writes the number of each signal to the pair. A signal that was blocked and arrived during start-up
    is received as soon as it is unblocked here.

    Attributes:
        sock: Readable while signals wait to be handled.
    """

    def __init__(self, handlers: Mapping[int, Callable[[], None]]) -> None:
        """Receive signals from now on; the handlers are given by signal number."""
        self._handlers = handlers
        self.sock, self._write_end = socket.socketpair()
        self.sock.setblocking(False)
        self._write_end.setblocking(False)
        signal.set_wakeup_fd(self._write_end.fileno(), warn_on_full_buffer=False)
        for number in handlers:
            signal.signal(number, lambda *_: None)
        signal.pthread_sigmask(signal.SIG_UNBLOCK, handlers)

    def on_readable(self, _mask: int) -> None:
        """Call the handlers of the signals that have arrived, in their order."""
        for number in self._read_signal_numbers():
            handler = self._handlers.get(number)
            if handler:
                handler()

    def _read_signal_numbers(self) -> bytes:
        """The numbers of the signals that have arrived; none where the read fails for a moment."""
        try:
            return self.sock.recv(MAX_SIGNALS_PER_READ)
        except OSError as error:
            if not is_transient(error):
                raise
            return b""

    def close(self) -> None:
        """Receive no more signals."""
        signal.set_wakeup_fd(-1)
        self.sock.close()
        self._write_end.close()
