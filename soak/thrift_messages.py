"""Encodes the Thrift messages of a client, and decodes the answers, without I/O."""

import struct
from dataclasses import dataclass

from function_router.net.codecs import thrift
from function_router.net.codecs.thrift_protocol import (
    HANDLE_BODY_ID,
    HANDLE_FIELDS_ID,
    METHOD_HANDLE,
    METHOD_STATUS,
    METHOD_WITHDRAW,
    RESULT_BROKEN_ID,
    RESULT_SUCCESS_ID,
    RESULT_THROTTLED_ID,
    WITHDRAW_SEQID_ID,
)
from soak.records import AnswerKind

STATUS_ARGUMENT_ID = 1
END_OF_STRUCT = b"\0"
ANSWER_KINDS = {
    RESULT_SUCCESS_ID: AnswerKind.SERVED,
    RESULT_THROTTLED_ID: AnswerKind.THROTTLED,
    RESULT_BROKEN_ID: AnswerKind.BROKEN,
}
_SIZE = struct.Struct(">I")
_FIELD = struct.Struct(">bh")


@dataclass(frozen=True, slots=True)
class ClientAnswer:
    """An answer that arrived at `at` in monotonic seconds; `body` is empty unless the request was served."""

    kind: AnswerKind
    at: float
    body: bytes = b""


def encode_request(seqid: int, fields: dict[str, str], body: bytes) -> bytes:
    """Encode the frame of a request."""
    arguments = _FIELD.pack(thrift.MAP, HANDLE_FIELDS_ID) + thrift.encode_string_map(fields)
    arguments += _FIELD.pack(thrift.STRING, HANDLE_BODY_ID) + thrift.encode_string(body) + END_OF_STRUCT
    return thrift.encode_frame(thrift.CALL, METHOD_HANDLE.encode(), seqid, arguments)


def encode_cancel(seqid: int) -> bytes:
    """Encode the frame that cancels a request."""
    arguments = struct.pack(">bhi", thrift.I32, WITHDRAW_SEQID_ID, seqid) + END_OF_STRUCT
    return thrift.encode_frame(thrift.ONEWAY, METHOD_WITHDRAW.encode(), seqid, arguments)


def encode_status(seqid: int) -> bytes:
    """Encode the frame that asks whether a router is ready."""
    arguments = struct.pack(">bhb", thrift.BOOL, STATUS_ARGUMENT_ID, True) + END_OF_STRUCT
    return thrift.encode_frame(thrift.CALL, METHOD_STATUS.encode(), seqid, arguments)


def decode_answer(message: bytes, at: float) -> tuple[int, ClientAnswer]:
    """Decode a message without its size prefix, received at `at`; return its sequence number and answer."""
    head = thrift.parse_header(message)
    if head.message_type == thrift.EXCEPTION:
        return head.seqid, ClientAnswer(AnswerKind.EXCEPTION, at)
    _, result_id = _FIELD.unpack_from(message, head.arguments_start)
    body = b""
    if result_id == RESULT_SUCCESS_ID:
        # The message continues with the header of the result field, then that of its first field, the body.
        start = head.arguments_start + 2 * _FIELD.size
        (length,) = _SIZE.unpack_from(message, start)
        body = message[start + _SIZE.size : start + _SIZE.size + length]
    return head.seqid, ClientAnswer(ANSWER_KINDS[result_id], at, body)
