"""Thrift messages of a client: encodes requests and decodes answers.

The functions for frames and strings and the type numbers come from the router's codec. Field numbers and
method names are repeated here, so that a test fails if the codec has a wrong one.
"""

import struct
from enum import StrEnum
from typing import Any, NamedTuple

from function_router.net.codecs import thrift

FUNCTION = "7f3a9c21e0b4d655"
REQUEST_FIELDS = {"op": "view", "call": "9b1f03aa5c7e2d41", "ttl": "1500", "org": "acme", "row": FUNCTION}

FRAME_LENGTH_BYTES = 4
FIELD_HEADER = ">bh"  # type and number of the field
FIELD_HEADER_BYTES = 3
MAP_HEADER_BYTES = 6  # type of the keys, type of the values and number of entries
STRUCT_END = b"\0"


class AnswerKind(StrEnum):
    """The kind of an answer: a result, one of the two declared exceptions, or an application exception."""

    ANSWER = "answer"
    THROTTLED = "throttled"
    BROKEN = "broken"
    EXCEPTION = "exception"


ANSWER_KINDS_BY_FIELD = {0: AnswerKind.ANSWER, 1: AnswerKind.THROTTLED, 2: AnswerKind.BROKEN}


class Answer(NamedTuple):
    """An answer to a client.

    Attributes:
        seqid: The sequence number of the answered message.
        kind: The kind of the answer.
        content: The fields of the answer by number, or the undecoded bytes of an application exception.
    """

    seqid: int
    kind: AnswerKind
    content: Any


def encode_request(seqid, fields, body=b""):
    """Encode a request as a frame."""
    arguments = struct.pack(FIELD_HEADER, thrift.MAP, 1) + thrift.encode_string_map(fields)
    arguments += struct.pack(FIELD_HEADER, thrift.STRING, 2) + thrift.encode_string(body)
    return thrift.encode_frame(thrift.CALL, b"handle", seqid, arguments + STRUCT_END)


def encode_cancellation(cancelled_seqid, seqid):
    """Encode the one-way message that cancels the request with the sequence number `cancelled_seqid`."""
    arguments = struct.pack(FIELD_HEADER + "i", thrift.I32, 1, cancelled_seqid) + STRUCT_END
    return thrift.encode_frame(thrift.ONEWAY, b"withdraw", seqid, arguments)


def encode_status_request(seqid):
    """Encode a status request as a frame."""
    arguments = struct.pack(FIELD_HEADER + "b", thrift.BOOL, 1, 1) + STRUCT_END
    return thrift.encode_frame(thrift.CALL, b"status", seqid, arguments)


def decode_answer(message):
    """Decode an answer from a message, which is a frame without its length."""
    message_type, _, seqid, offset = thrift.parse_header(message)
    if message_type == thrift.EXCEPTION:
        return Answer(seqid, AnswerKind.EXCEPTION, message[offset:])
    _, field_number = struct.unpack_from(FIELD_HEADER, message, offset)
    content, _ = _read_struct(message, offset + FIELD_HEADER_BYTES)
    return Answer(seqid, ANSWER_KINDS_BY_FIELD[field_number], content)


def _read_struct(data, offset):
    """Read a struct; return its fields by number and the offset of its end."""
    fields = {}
    while data[offset]:
        value_type, number = struct.unpack_from(FIELD_HEADER, data, offset)
        fields[number], offset = _read_value(data, offset + FIELD_HEADER_BYTES, value_type)
    return fields, offset + 1


def _read_value(data, offset, value_type):
    """Read a bool, a map of strings or a string; return the value and the offset of its end."""
    if value_type == thrift.BOOL:
        return bool(data[offset]), offset + 1
    if value_type == thrift.MAP:
        return _read_string_map(data, offset)
    return _read_string(data, offset)


def _read_string(data, offset):
    """Read a string; return its bytes and the offset of its end."""
    [length] = struct.unpack_from(">i", data, offset)
    start = offset + 4
    end = start + length
    return data[start:end], end


def _read_string_map(data, offset):
    """Read a map of strings; return the map and the offset of its end."""
    entries = {}
    [count] = struct.unpack_from(">i", data, offset + 2)
    offset += MAP_HEADER_BYTES
    for _ in range(count):
        key, offset = _read_string(data, offset)
        entries[key.decode()], offset = _read_string(data, offset)
    return entries, offset
