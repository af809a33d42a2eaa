"""Base classes of the fake peers: loopback sockets that are read without blocking.

Fake peers run in the thread of the test. `receive` reads the available bytes and does not wait for more.
"""

import socket

LOOPBACK = "127.0.0.1"
RECEIVE_BYTES = 65536


class FakePeerConnection:
    """One connection to the router.

    Attributes:
        sock: The socket, for tests that write raw bytes.
        data: The received bytes that no subclass or listener has consumed yet.
        is_closed: Whether the router or the test has closed the connection.
    """

    def __init__(self, sock):
        self.sock = sock
        self.data = bytearray()
        self.is_closed = False
        sock.setblocking(False)

    def receive(self):
        """Read all available bytes."""
        try:
            while not self.is_closed:
                data = self.sock.recv(RECEIVE_BYTES)
                self.data += data
                self.is_closed = not data
        except BlockingIOError:
            pass  # no more bytes are available
        except OSError:
            self.is_closed = True

    def close(self):
        """Close the connection."""
        self.sock.close()
        self.is_closed = True


class FakeListener:
    """A peer to which the router connects.

    Attributes:
        address: The host and port of the listener.
        host_port: The address in the notation of the endpoint list and the configuration.
        connections: All accepted connections of the router, in the order of acceptance.
    """

    def __init__(self, port=0):
        """Listen on a loopback port; with port 0, the system chooses one."""
        self.listener = socket.create_server((LOOPBACK, port))
        self.listener.setblocking(False)
        self.connections = []
        self.address = self.listener.getsockname()
        self.host_port = f"{LOOPBACK}:{self.address[1]}"

    def receive(self):
        """Accept all pending connections, and read all available bytes on each connection."""
        self._accept_all()
        for connection in self.connections:
            connection.receive()

    def _accept_all(self):
        try:
            while True:
                sock, _ = self.listener.accept()
                self.connections.append(FakePeerConnection(sock))
        except OSError:
            pass  # no more pending connections, or the listener is closed

    def close(self):
        """Close the listener and all connections."""
        for connection in self.connections:
            connection.sock.close()
        self.listener.close()
