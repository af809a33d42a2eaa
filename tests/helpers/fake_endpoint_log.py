"""A fake server of the endpoint log."""

import json

from helpers.fake_peer import FakeListener


class FakeEndpointLog(FakeListener):
    """An endpoint log that confirms the first request, and then sends only the lines of the test.

    Attributes:
        confirms_first_request: Whether the log answers its first request with the number in it. This confirms
            the endpoint list of a router that has just started.
    """

    def __init__(self, port=0, *, confirms_first_request=True):
        """Listen on a loopback port; with port 0, the system chooses one."""
        super().__init__(port)
        self.confirms_first_request = confirms_first_request

    def receive(self):
        """Accept all pending connections, read all available bytes, and confirm the first request."""
        super().receive()
        if self.confirms_first_request and (requests := self.requests()):
            self.confirms_first_request = False
            self.send_line(requests[0][1].encode())

    def requests(self):
        """Return the words of each received request, such as `["since", "1"]`, in connection order."""
        return [bytes(connection.data).decode().split() for connection in self.connections if connection.data]

    def send_line(self, line, connection_index=-1):
        """Send a line on a connection, by default on the one that was accepted last.

        Args:
            line: The line as bytes, or an object to be encoded as JSON.
            connection_index: The index of the connection in `connections`.
        """
        data = line if isinstance(line, bytes) else json.dumps(line).encode()
        self.connections[connection_index].sock.sendall(data + b"\n")
