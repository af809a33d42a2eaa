"""What the stand-ins for the router's peers share: loopback sockets on port 0, read without waiting.

The peers are driven from the test's own thread: `receive` takes what has come, without waiting for more.
"""

import socket

RECEIVE_BYTES = 65536


class FakePeerConnection:
    """One connection to the router and all bytes that came on it."""

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
            pass
        except OSError:
            self.is_closed = True

    def close(self):
        """Close the connection."""
        self.sock.close()
        self.is_closed = True


class FakeListener:
    """A peer that listens; its connections are in the order in which they were accepted."""

    def __init__(self, port=0):
        self.listener = socket.create_server(("127.0.0.1", port))
        self.listener.setblocking(False)
        self.connections = []
        self.address = self.listener.getsockname()
        self.host_port = f"127.0.0.1:{self.address[1]}"

    def receive(self):
        """Accept connections and receive all that has come on each."""
        try:
            while True:
                self.connections.append(FakePeerConnection(self.listener.accept()[0]))
        except OSError:
            pass
        for connection in self.connections:
            connection.receive()

    def close(self):
        """Close the listener and its connections."""
        for connection in self.connections:
            connection.sock.close()
        self.listener.close()
