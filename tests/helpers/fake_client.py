"""A fake client."""

import socket
import struct

from helpers.client_messages import (
    FRAME_LENGTH_BYTES,
    REQUEST_FIELDS,
    decode_answer,
    encode_cancellation,
    encode_request,
    encode_status_request,
)
from helpers.fake_peer import FakePeerConnection

CANCELLATION_SEQID = 99  # the same for all cancellations, as they have no answers


class FakeClient(FakePeerConnection):
    """A client whose requests have the sequence numbers 1, 2, ... unless the test specifies one.

    Attributes:
        answers: All received answers, in order.
        last_frame: The complete frame of the last request, including a part that is not sent yet.
    """

    def __init__(self, address):
        super().__init__(socket.create_connection(address))
        self.answers = []
        self.last_frame = b""
        self._last_seqid = 0
        self._unsent = b""

    def receive(self):
        """Read all available bytes, and decode the complete answers."""
        super().receive()
        while (frame_size := self._complete_frame_size()) is not None:
            self.answers.append(decode_answer(bytes(self.data[FRAME_LENGTH_BYTES:frame_size])))
            del self.data[:frame_size]

    def _complete_frame_size(self):
        """Return the size of the first frame with its length field; None if the frame is not complete yet."""
        if len(self.data) < FRAME_LENGTH_BYTES:
            return None
        [message_size] = struct.unpack_from(">I", self.data)
        frame_size = FRAME_LENGTH_BYTES + message_size
        return frame_size if len(self.data) >= frame_size else None

    def send_request(self, class_name="view", body=b"", seqid=None, unsent_size=0, **fields):
        """Send a request without its last `unsent_size` bytes; return its sequence number."""
        self._last_seqid = seqid or self._last_seqid + 1
        defaults = {"op": class_name, "call": f"{self._last_seqid:016x}", "ttl": "8000"}
        if class_name == "save":
            defaults["dedupe"] = "5c0f"
        self.last_frame = encode_request(self._last_seqid, REQUEST_FIELDS | defaults | fields, body)
        sent_size = len(self.last_frame) - unsent_size
        self._unsent = self.last_frame[sent_size:]
        self.sock.sendall(self.last_frame[:sent_size])
        return self._last_seqid

    def send_unsent(self, max_bytes=None):
        """Send the unsent bytes of the last request, or only the next `max_bytes` of them."""
        size = len(self._unsent) if max_bytes is None else max_bytes
        self.sock.sendall(self._unsent[:size])
        self._unsent = self._unsent[size:]

    def cancel(self, seqid):
        """Send the cancellation of a request."""
        self.sock.sendall(encode_cancellation(seqid, CANCELLATION_SEQID))

    def send_cancelled_request(self, seqid, **fields):
        """Send a request and its cancellation in one write, so that they arrive together."""
        request = encode_request(seqid, REQUEST_FIELDS | fields)
        self.sock.sendall(request + encode_cancellation(seqid, CANCELLATION_SEQID))

    def request_status(self, seqid=500):
        """Send a status request, which the router answers immediately."""
        self.sock.sendall(encode_status_request(seqid))

    def answer_kinds(self):
        """Return the kinds of the received answers by sequence number."""
        return {answer.seqid: answer.kind for answer in self.answers}
