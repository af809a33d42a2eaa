"""Wire formats: bytes to messages and back, without sockets, time or decisions."""
