"""Tests of the Thrift codec: decoding messages of clients and encoding answers."""

import struct

import pytest
from helpers.client_messages import REQUEST_FIELDS, decode_answer, encode_request
from helpers.readers import feed_in_chunks

from function_router.net.codecs import thrift


def frame(message):
    return struct.pack(">I", len(message)) + message


def parse_in_chunks(data, chunk_size):
    """Split data that arrives in chunks of this size into frames, and parse each of them."""
    return [received.parse() for received in feed_in_chunks(thrift.FrameReader(), data, chunk_size)]


def header(name=b"handle", seqid=7, kind=thrift.CALL, version=thrift.VERSION):
    return struct.pack(">Ii", version | kind, len(name)) + name + struct.pack(">i", seqid)


@pytest.mark.parametrize("chunk_size", [1, 3, 7, 64, 10_000])
def test_messages_are_parsed_from_chunks_of_any_size(chunk_size):
    body = b"\0\xff" * 10
    unknown_list = struct.pack(">bhbi", thrift.LIST, 9, thrift.I32, 2) + b"\0" * 8
    plain = encode_request(1, REQUEST_FIELDS, body)
    with_unknown_list = frame(plain[4:-1] + unknown_list + b"\0")
    withdraw = frame(header(b"withdraw", 3, thrift.ONEWAY) + struct.pack(">bhib", thrift.I32, 1, 1, 0))
    status = frame(header(b"status", 4) + struct.pack(">bhbb", thrift.BOOL, 1, 1, 0))

    messages = parse_in_chunks(plain + with_unknown_list + withdraw + status, chunk_size)

    handle = thrift.Handle(1, REQUEST_FIELDS, body)
    assert messages == [handle, handle, thrift.Withdraw(1), thrift.Status(4)]


NEGATIVE_STRING = struct.pack(">bhi", thrift.STRING, 2, -5)
ENDLESS_MAP = struct.pack(">bhbbi", thrift.MAP, 1, thrift.STRING, thrift.STRING, 2**31 - 1)
NESTED_STRUCTS = struct.pack(">bh", thrift.STRUCT, 5) * 100
ENDLESS_NAME = struct.pack(">Ii", thrift.VERSION | thrift.CALL, 2**30) + b"x" * 20
NOT_UTF_8 = encode_request(7, REQUEST_FIELDS)[4:].replace(b"view", b"\xff\xfe\xfd\xfc")


@pytest.mark.parametrize("in_single_bytes", [True, False], ids=["single bytes", "at once"])
@pytest.mark.parametrize(
    ("data", "seqid"),
    [
        pytest.param(b"GET / HTTP/1.1\r\n\r\n", None, id="no thrift at all"),
        pytest.param(b"\xff\xff\xff\xff" + b"x" * 300, None, id="negative frame length"),
        pytest.param(frame(header(version=0x80020000)), None, id="another version"),
        pytest.param(frame(header()[:10]), None, id="truncated header"),
        pytest.param(frame(b""), None, id="empty frame"),
        pytest.param(frame(ENDLESS_NAME), None, id="endless method name"),
        pytest.param(frame(header(b"explode") + b"\0"), 7, id="unknown method"),
        pytest.param(frame(header(kind=thrift.REPLY) + b"\0"), 7, id="reply"),
        pytest.param(frame(header()), 7, id="no arguments"),
        pytest.param(frame(header() + b"\0"), 7, id="no fields"),
        pytest.param(frame(header() + NEGATIVE_STRING), 7, id="negative string length"),
        pytest.param(frame(header() + ENDLESS_MAP), 7, id="endless map"),
        pytest.param(frame(header() + NESTED_STRUCTS), 7, id="nested too deep"),
        pytest.param(frame(header() + b"\x63\0\1\0"), 7, id="unknown field type"),
        pytest.param(frame(encode_request(7, REQUEST_FIELDS)[4:] + b"x"), 7, id="trailing bytes"),
        pytest.param(frame(NOT_UTF_8), 7, id="not UTF-8"),
        pytest.param(encode_request(7, REQUEST_FIELDS, b"x" * (16 * 1024 + 1)), 7, id="body too large"),
        pytest.param(encode_request(7, REQUEST_FIELDS, b"x" * 200_000), 7, id="frame too large"),
    ],
)
def test_malformed_frame_has_its_sequence_number_where_it_can_be_read(data, seqid, in_single_bytes):
    chunk_size = 1 if in_single_bytes else len(data)

    messages = parse_in_chunks(data, chunk_size)

    assert isinstance(messages[0], thrift.MalformedMessageError)
    assert messages[0].seqid == seqid


def test_oversized_frame_is_skipped_without_being_buffered():
    reader = thrift.FrameReader()
    oversized = encode_request(7, REQUEST_FIELDS, b"x" * 3_000_000)

    messages = []
    for start in range(0, len(oversized), 65536):
        messages += [frame.parse() for frame in reader.feed(oversized[start : start + 65536])]
        assert len(reader._buffer) < thrift.MAX_FRAME_BYTES
    messages += [frame.parse() for frame in reader.feed(encode_request(8, REQUEST_FIELDS))]

    assert [message.seqid for message in messages] == [7, 8]
    assert isinstance(messages[1], thrift.Handle)


@pytest.mark.parametrize(
    ("data", "expected"),
    [
        pytest.param(
            thrift.encode_reply(thrift.METHOD_HANDLE, 5, b"\0b", is_ok=True),
            (5, "answer", {1: b"\0b", 2: {}, 3: True}),
            id="reply",
        ),
        pytest.param(
            thrift.encode_throttled(-1, retry_after_ms=9),
            (-1, "throttled", {1: {"pushback": b"9"}}),
            id="throttled",
        ),
        pytest.param(thrift.encode_broken(6), (6, "broken", {1: {}}), id="broken"),
    ],
)
def test_encoded_answer_round_trips(data, expected):
    answer = decode_answer(data[4:])

    assert answer == expected


@pytest.mark.parametrize("method", [b"handle", b"status", b"withdraw", b"explode"])
def test_application_exception_names_the_method_that_was_called(method):
    [malformed] = thrift.FrameReader().feed(frame(header(method, kind=thrift.CALL) + b"\x63\0\1\0"))

    answer = thrift.encode_application_exception(malformed.parse())

    assert thrift.parse_header(answer[4:])[:3] == (thrift.EXCEPTION, method.decode(), 7)
