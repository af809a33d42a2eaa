"""A handler, a socket and a peer for tests of the router's end of a TCP connection."""


class RecordingHandler:
    """A connection handler that records its notifications."""

    def __init__(self):
        self.is_connected = False
        self.data = b""
        self.close_reasons = []

    def on_connected(self):
        """Record that the connection is established."""
        self.is_connected = True

    def on_data(self, data):
        """Record received bytes."""
        self.data += data

    def on_flushed(self):
        """Ignore the end of the turn's write."""

    def on_write_delayed(self):
        """Ignore the notification of a delayed write."""

    def on_closed(self, reason):
        """Record the reason for the close of the connection."""
        self.close_reasons.append(reason)


class TransientErrorSocket:
    """A socket whose first reads and writes fail, once with each of the given errors."""

    def __init__(self, sock, *error_numbers):
        self.remaining_errors = {name: list(error_numbers) for name in ("recv", "recvmsg", "sendmsg")}
        self._sock = sock

    def __getattr__(self, name):
        return getattr(self._sock, name)

    def recv(self, *arguments):
        """Peek or read, after all errors have been raised."""
        self._fail("recv")
        return self._sock.recv(*arguments)

    def recvmsg(self, *arguments):
        """Read, after all errors have been raised."""
        self._fail("recvmsg")
        return self._sock.recvmsg(*arguments)

    def sendmsg(self, *arguments):
        """Write, after all errors have been raised."""
        self._fail("sendmsg")
        return self._sock.sendmsg(*arguments)

    def _fail(self, name):
        if self.remaining_errors[name]:
            raise OSError(self.remaining_errors[name].pop(), name)


class Peer:
    """The other end of a connection. Unlike `FakePeerConnection`, it raises an exception on a reset."""

    def __init__(self, sock):
        self.sock = sock
        self.data = bytearray()
        self.has_received_eof = False

    def receive(self):
        """Read all available bytes."""
        try:
            while not self.has_received_eof:
                data = self.sock.recv(1024 * 1024)
                self.data += data
                self.has_received_eof = not data
        except BlockingIOError:
            pass
