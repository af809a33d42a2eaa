"""Tests of the soak test's Thrift messages against the codec of the router."""

import pytest

from function_router.net.codecs import thrift
from soak.records import AnswerKind
from soak.thrift_messages import decode_answer, encode_cancel, encode_request, encode_status

SIZE_BYTES = 4  # length of the size prefix of a message
FIELDS = {"op": "view", "call": "ab" * 8}


@pytest.fixture
def read():
    """Return a function that decodes a frame with the router's codec."""
    return lambda data: [frame.parse() for frame in thrift.FrameReader().feed(data)]


@pytest.mark.parametrize(
    ("frame", "message"),
    [
        (encode_request(7, FIELDS, b"body"), thrift.Handle(7, FIELDS, b"body")),
        (encode_cancel(7), thrift.Withdraw(7)),
        (encode_status(7), thrift.Status(7)),
    ],
    ids=["request", "cancellation", "status"],
)
def test_router_reads_what_a_client_writes(read, frame, message):
    assert list(read(frame)) == [message]


@pytest.mark.parametrize(
    ("frame", "kind", "body"),
    [
        (thrift.encode_reply("handle", 7, b"body", is_ok=True), AnswerKind.SERVED, b"body"),
        (thrift.encode_throttled(7, 250), AnswerKind.THROTTLED, b""),
        (thrift.encode_broken(7), AnswerKind.BROKEN, b""),
        (
            thrift.encode_application_exception(thrift.MalformedMessageError("what", seqid=7)),
            AnswerKind.EXCEPTION,
            b"",
        ),
    ],
    ids=["served", "throttled", "broken", "exception"],
)
def test_client_reads_what_a_router_answers(frame, kind, body):
    seqid, answer = decode_answer(frame[SIZE_BYTES:], at=100.0)

    assert seqid == 7
    assert (answer.kind, answer.body, answer.at) == (kind, body, 100.0)
