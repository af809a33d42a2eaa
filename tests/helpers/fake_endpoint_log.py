"""A stand-in for the server of the endpoint log."""

import json

from helpers.fake_peer import FakeListener


class FakeEndpointLog(FakeListener):
    """An endpoint log that sends the lines that the test gives it."""

    def requests(self):
        """The words of the request on each connection that has one, such as `["since", "1"]`."""
        return [bytes(connection.data).decode().split() for connection in self.connections if connection.data]

    def send_line(self, line, connection_index=-1):
        """Send a line on a connection; by default, on the last one.

        Args:
            line: The line as bytes, or the object that it holds as JSON.
            connection_index: The connection, in the order in which they were accepted.
        """
        data = line if isinstance(line, bytes) else json.dumps(line).encode()
        self.connections[connection_index].sock.sendall(data + b"\n")
