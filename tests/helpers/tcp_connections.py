"""What tests of the router's side of a TCP connection need: its handler, its socket and its peer."""


class RecordingHandler:
    """The handler of a connection, which keeps what it is notified of."""

    def __init__(self):
        self.is_connected = False
        self.data = b""
        self.close_reasons = []

    def on_connected(self):
        """The connection is established."""
        self.is_connected = True

    def on_data(self, data):
        """Bytes were received."""
        self.data += data

    def on_flushed(self):
        """The turn's write is done."""

    def on_write_delayed(self):
        """The peer takes bytes again."""

    def on_closed(self, reason):
        """The connection is closed."""
        self.close_reasons.append(reason)


class TransientErrorSocket:
    """A socket whose reads and writes fail at first, once with each of some errors."""

    def __init__(self, sock, *error_numbers):
        self.remaining_errors = {name: list(error_numbers) for name in ("recv", "recvmsg", "sendmsg")}
        self._sock = sock

    def __getattr__(self, name):
        return getattr(self._sock, name)

    def recv(self, *arguments):
        """Peek or read, once all failures have been."""
        self._fail("recv")
        return self._sock.recv(*arguments)

    def recvmsg(self, *arguments):
        """Read, once all failures have been."""
        self._fail("recvmsg")
        return self._sock.recvmsg(*arguments)

    def sendmsg(self, *arguments):
        """Write, once all failures have been."""
        self._fail("sendmsg")
        return self._sock.sendmsg(*arguments)

    def _fail(self, name):
        if self.remaining_errors[name]:
            raise OSError(self.remaining_errors[name].pop(), name)


class Peer:
    """The other end of a connection; unlike `FakePeerConnection`, it takes a reset for an error."""

    def __init__(self, sock):
        self.sock = sock
        self.data = bytearray()
        self.has_received_eof = False

    def receive(self):
        """Receive all that has come."""
        try:
            while not self.has_received_eof:
                data = self.sock.recv(1024 * 1024)
                self.data += data
                self.has_received_eof = not data
        except BlockingIOError:
            pass
