"""Thrift messages between a client and the router: encodes requests, decodes answers.

Frames, strings and type numbers are those of the router's codec. Field numbers and names of methods are
spelled out here, so that a wrong one in the codec fails a test.
"""

import struct
from enum import StrEnum
from typing import Any, NamedTuple

from function_router.net.codecs import thrift

FUNCTION = "7f3a9c21e0b4d655"
REQUEST_FIELDS = {"op": "view", "call": "9b1f03aa5c7e2d41", "ttl": "1500", "org": "acme", "row": FUNCTION}

FRAME_LENGTH_BYTES = 4
FIELD_HEADER = ">bh"  # type, field number
FIELD_HEADER_BYTES = 3
MAP_HEADER_BYTES = 6  # type of the keys, type of the values, number of entries
STRUCT_END = b"\0"


class AnswerKind(StrEnum):
    """What the router answers: a result, one of the two declared exceptions, or an application exception."""

    ANSWER = "answer"
    THROTTLED = "throttled"
    BROKEN = "broken"
    EXCEPTION = "exception"


ANSWER_KINDS_BY_FIELD = {0: AnswerKind.ANSWER, 1: AnswerKind.THROTTLED, 2: AnswerKind.BROKEN}


class Answer(NamedTuple):
    """An answer to a client.

    Attributes:
        seqid: The sequence number of the message that it answers.
        kind: Which kind of answer it is.
        content: Its fields by number; of an application exception, its bytes.
    """

    seqid: int
    kind: AnswerKind
    content: Any


def encode_request(seqid, fields, body=b""):
    """The frame of a client's request with these fields."""
    arguments = struct.pack(FIELD_HEADER, thrift.MAP, 1) + thrift.encode_string_map(fields)
    arguments += struct.pack(FIELD_HEADER, thrift.STRING, 2) + thrift.encode_string(body)
    return thrift.encode_frame(thrift.CALL, b"handle", seqid, arguments + STRUCT_END)


def encode_cancellation(cancelled_seqid, seqid):
    """The frame of the one-way message that takes back the request with the first sequence number."""
    arguments = struct.pack(FIELD_HEADER + "i", thrift.I32, 1, cancelled_seqid) + STRUCT_END
    return thrift.encode_frame(thrift.ONEWAY, b"withdraw", seqid, arguments)


def encode_status_request(seqid):
    """The frame of a request for the router's status."""
    arguments = struct.pack(FIELD_HEADER + "b", thrift.BOOL, 1, 1) + STRUCT_END
    return thrift.encode_frame(thrift.CALL, b"status", seqid, arguments)


def decode_answer(message):
    """The answer in a message, which is a frame without its length."""
    message_type, _, seqid, offset = thrift.parse_header(message)
    if message_type == thrift.EXCEPTION:
        return Answer(seqid, AnswerKind.EXCEPTION, message[offset:])
    _, field_number = struct.unpack_from(FIELD_HEADER, message, offset)
    content, _ = _read_struct(message, offset + FIELD_HEADER_BYTES)
    return Answer(seqid, ANSWER_KINDS_BY_FIELD[field_number], content)


def _read_struct(data, offset):
    """The fields of a struct by their numbers, and the offset behind it."""
    fields = {}
    while data[offset]:
        value_type, number = struct.unpack_from(FIELD_HEADER, data, offset)
        fields[number], offset = _read_value(data, offset + FIELD_HEADER_BYTES, value_type)
    return fields, offset + 1


def _read_value(data, offset, value_type):
    """A bool, a map of strings or a string, and the offset behind it."""
    if value_type == thrift.BOOL:
        return bool(data[offset]), offset + 1
    if value_type == thrift.MAP:
        return _read_string_map(data, offset)
    return _read_string(data, offset)


def _read_string(data, offset):
    """A string as bytes, and the offset behind it."""
    [length] = struct.unpack_from(">i", data, offset)
    start = offset + 4
    end = start + length
    return data[start:end], end


def _read_string_map(data, offset):
    """A map of strings, and the offset behind it."""
    entries = {}
    [count] = struct.unpack_from(">i", data, offset + 2)
    offset += MAP_HEADER_BYTES
    for _ in range(count):
        key, offset = _read_string(data, offset)
        entries[key.decode()], offset = _read_string(data, offset)
    return entries, offset
