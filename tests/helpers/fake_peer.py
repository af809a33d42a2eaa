"""What the stand-ins for the router's peers share: loopback sockets that are read without waiting.

The peers run in the test's own thread: `receive` takes what has come, without waiting for more.
"""

import socket

LOOPBACK = "127.0.0.1"
RECEIVE_BYTES = 65536


class FakePeerConnection:
    """One connection to the router.

    Attributes:
        sock: The socket, for tests that write bytes of their own.
        data: All bytes that have come, but for those that a subclass or a listener has consumed.
        is_closed: Whether the router or the test has closed it.
    """

    def __init__(self, sock):
        self.sock = sock
        self.data = bytearray()
        self.is_closed = False
        sock.setblocking(False)

    def receive(self):
        """Receive all that has come."""
        try:
            while not self.is_closed:
                data = self.sock.recv(RECEIVE_BYTES)
                self.data += data
                self.is_closed = not data
        except BlockingIOError:
            pass  # all that has come is read
        except OSError:
            self.is_closed = True

    def close(self):
        """Close the connection."""
        self.sock.close()
        self.is_closed = True


class FakeListener:
    """A peer that the router connects to.

    Attributes:
        address: The host and port that it listens on.
        host_port: The same as the endpoint list and the configuration write it.
        connections: All connections of the router, in the order in which they were accepted.
    """

    def __init__(self, port=0):
        """Listen on this port of loopback, or on one that the system chooses."""
        self.listener = socket.create_server((LOOPBACK, port))
        self.listener.setblocking(False)
        self.connections = []
        self.address = self.listener.getsockname()
        self.host_port = f"{LOOPBACK}:{self.address[1]}"

    def receive(self):
        """Accept connections and receive all that has come on each."""
        self._accept_all()
        for connection in self.connections:
            connection.receive()

    def _accept_all(self):
        try:
            while True:
                sock, _ = self.listener.accept()
                self.connections.append(FakePeerConnection(sock))
        except OSError:
            pass  # nobody else connects, or the listener is closed

    def close(self):
        """Close the listener and its connections."""
        for connection in self.connections:
            connection.sock.close()
        self.listener.close()
