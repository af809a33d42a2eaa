"""Fakes of what a router talks to: workers, the endpoint log and clients, and a clock.

The peers use loopback sockets on port 0 and are driven from the test's own thread: `receive` takes what
has come, without waiting for more.
"""

import json
import selectors
import socket
import struct
from typing import Any, NamedTuple

from function_router.net.codecs import thrift, worker_frames
from function_router.net.endpoint_registry import worker_id_of

PATIENCE_S = 20.0
RECEIVE_BYTES = 65536
FUNCTION = "7f3a9c21e0b4d655"
REQUEST_FIELDS = {"op": "view", "call": "9b1f03aa5c7e2d41", "ttl": "1500", "org": "acme", "row": FUNCTION}
ANSWER_KINDS = ("answer", "throttled", "broken")  # by the number of the field that a reply has
STRUCT_END = b"\0"


class FakeMonotonicClock:
    """A clock that the test sets or advances."""

    def __init__(self, now_ms=0.0):
        self.now_ms = now_ms

    def read_ms(self):
        """The time now."""
        return self.now_ms

    def advance(self, elapsed_ms):
        """Let time pass."""
        self.now_ms += elapsed_ms


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


class ReceivedFrame(NamedTuple):
    """A frame and the connection on which it came."""

    connection: FakePeerConnection
    frame: worker_frames.Frame


class FakeWorker(FakeListener):
    """A worker that reports `instances` to each start order or probe, and leaves requests to the test.

    It leaves start orders and probes to the test too where `instances` is None.
    """

    def __init__(self, name="s-1", instances=1):
        super().__init__()
        self.name = name
        self.worker_id = worker_id_of(name)
        self.instances = instances
        self.frames = []
        self._readers = {}  # by connection

    def receive(self):
        """Receive all that has come, and answer start orders and probes."""
        super().receive()
        for connection in self.connections:
            if connection not in self._readers:
                self._readers[connection] = worker_frames.FrameReader(worker_frames.FROM_ROUTER)
            data = bytes(connection.data)
            connection.data.clear()
            for frame in self._readers[connection].feed(data):
                self._on_frame(ReceivedFrame(connection, frame))

    def _on_frame(self, received):
        self.frames.append(received)
        if received.frame.code == worker_frames.ENSURE_INSTANCES and self.instances is not None:
            self.answer(received, fields=f"slots_up={self.instances}")

    def answer(self, received, code=0, fields="res=reused", body=b""):
        """Answer a frame on its connection."""
        exchange_id = received.frame.exchange_id
        data = worker_frames.encode(code, exchange_id, fields, body, worker_frames.FROM_WORKER)
        received.connection.sock.sendall(data)

    def received(self, code):
        """The frames with this code, in the order in which they came."""
        return [received for received in self.frames if received.frame.code == code]

    @property
    def requests(self):
        """The requests that it got."""
        return self.received(worker_frames.RUN)

    def record(self, phase="in_service", **fields):
        """Its record in an endpoint list."""
        return {"id": self.name, "host_port": self.host_port, "phase": phase, "size": 4, **fields}


class FakeEndpointLog(FakeListener):
    """An endpoint log that sends the lines that the test gives it."""

    def requests(self):
        """The words of the request on each connection that has one."""
        return [bytes(connection.data).decode().split() for connection in self.connections if connection.data]

    def send_line(self, line, connection_index=-1):
        """Send a line, given as bytes or as the object that it holds as JSON."""
        data = line if isinstance(line, bytes) else json.dumps(line).encode()
        self.connections[connection_index].sock.sendall(data + b"\n")


class Answer(NamedTuple):
    """An answer to a client: its sequence number, its kind as in ANSWER_KINDS, and its fields by number."""

    seqid: int
    kind: str
    content: Any


class FakeClient(FakePeerConnection):
    """A client that counts its requests up from sequence number 1."""

    def __init__(self, address):
        super().__init__(socket.create_connection(address))
        self.answers = []
        self.last_frame = b""
        self._last_seqid = 0
        self._withheld = b""

    def receive(self):
        """Receive all that has come, and decode the answers that are complete."""
        super().receive()
        while (size := self._answer_size()) is not None:
            self.answers.append(decode_answer(bytes(self.data[4 : 4 + size])))
            del self.data[: 4 + size]

    def _answer_size(self):
        """The size of the first answer, or None where it is not complete yet."""
        if len(self.data) < 4:
            return None
        [size] = struct.unpack_from(">I", self.data)
        return size if len(self.data) >= 4 + size else None

    def send_request(self, class_name="view", body=b"", seqid=None, withhold=0, **fields):
        """Send a request, but for its last `withhold` bytes; return its sequence number."""
        self._last_seqid = seqid or self._last_seqid + 1
        defaults = {"op": class_name, "call": f"{self._last_seqid:016x}", "ttl": "8000"}
        if class_name == "save":
            defaults["dedupe"] = "5c0f"
        self.last_frame = encode_request(self._last_seqid, REQUEST_FIELDS | defaults | fields, body)
        sent_size = len(self.last_frame) - withhold
        self._withheld = self.last_frame[sent_size:]
        self.sock.sendall(self.last_frame[:sent_size])
        return self._last_seqid

    def send_withheld(self, max_bytes=None):
        """Send what was withheld of the last request, or the next bytes of it."""
        size = len(self._withheld) if max_bytes is None else max_bytes
        self.sock.sendall(self._withheld[:size])
        self._withheld = self._withheld[size:]

    def cancel(self, seqid):
        """Withdraw the request with this sequence number."""
        arguments = struct.pack(">bhi", thrift.I32, 1, seqid) + STRUCT_END
        self.sock.sendall(thrift.encode_frame(thrift.ONEWAY, b"withdraw", 99, arguments))

    def request_status(self, seqid=500):
        """Ask for the router's status, which it answers at once."""
        arguments = struct.pack(">bhb", thrift.BOOL, 1, 1) + STRUCT_END
        self.sock.sendall(thrift.encode_frame(thrift.CALL, b"status", seqid, arguments))

    def answer_kinds(self):
        """The kind of the answer to each sequence number."""
        return {answer.seqid: answer.kind for answer in self.answers}


def encode_request(seqid, fields, body=b""):
    """The frame of a client's request with these fields."""
    arguments = struct.pack(">bh", thrift.MAP, 1) + thrift.encode_string_map(fields)
    arguments += struct.pack(">bh", thrift.STRING, 2) + thrift.encode_string(body) + STRUCT_END
    return thrift.encode_frame(thrift.CALL, b"handle", seqid, arguments)


def decode_answer(message):
    """The answer in a message, which is a frame without its length."""
    kind, _, seqid, offset = thrift.parse_head(message)
    if kind == thrift.EXCEPTION:
        return Answer(seqid, "exception", message[offset:])
    _, number = struct.unpack_from(">bh", message, offset)
    content, _ = _read_struct(message, offset + 3)
    return Answer(seqid, ANSWER_KINDS[number], content)


def _read_struct(data, offset):
    """The fields of a struct by their numbers, and the offset behind it."""
    fields = {}
    while data[offset]:
        kind, number = struct.unpack_from(">bh", data, offset)
        fields[number], offset = _read_value(data, offset + 3, kind)
    return fields, offset + 1


def _read_value(data, offset, kind):
    """A bool, a map of strings or a string, and the offset behind it."""
    if kind == thrift.BOOL:
        return bool(data[offset]), offset + 1
    if kind == thrift.MAP:
        return _read_string_map(data, offset)
    [length] = struct.unpack_from(">i", data, offset)
    end = offset + 4 + length
    return data[offset + 4 : end], end


def _read_string_map(data, offset):
    """A map of strings, and the offset behind it."""
    pairs = {}
    [count] = struct.unpack_from(">i", data, offset + 2)
    offset += 6
    for _ in range(count):
        name, offset = _read_value(data, offset, thrift.STRING)
        pairs[name.decode()], offset = _read_value(data, offset, thrift.STRING)
    return pairs, offset


def feed_in_chunks(reader, data, size):
    """All messages that a reader finds in data which comes in chunks of a size."""
    messages = []
    for start in range(0, len(data), size):
        messages += reader.feed(data[start : start + size])
    return messages


def wait_readable(sock, timeout_s=PATIENCE_S):
    """Wait until a socket has something to read; whether it has."""
    with selectors.DefaultSelector() as selector:
        selector.register(sock, selectors.EVENT_READ)
        return bool(selector.select(timeout_s))
