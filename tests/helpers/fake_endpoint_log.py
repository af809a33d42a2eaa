"""A fake server of the endpoint log."""

import json

from helpers.fake_peer import FakeListener


class FakeEndpointLog(FakeListener):
    """An endpoint log that sends only the lines that the test passes to it."""

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
