"""A stand-in for a client, and the frames of its requests and answers."""

import socket
import struct
from typing import Any, NamedTuple

from function_router.net.codecs import thrift
from helpers.fake_peer import FakePeerConnection

FUNCTION = "7f3a9c21e0b4d655"
REQUEST_FIELDS = {"op": "view", "call": "9b1f03aa5c7e2d41", "ttl": "1500", "org": "acme", "row": FUNCTION}
ANSWER_KINDS = ("answer", "throttled", "broken")  # by the number of the field that a reply has
STRUCT_END = b"\0"


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
