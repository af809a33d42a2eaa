"""Encodes the answers to clients as framed Thrift messages."""

import struct

from function_router.net.codecs.thrift_protocol import (
    APPLICATION_EXCEPTION_KIND_ID,
    APPLICATION_EXCEPTION_TEXT_ID,
    BOOL,
    ERROR_FIELDS_ID,
    EXCEPTION,
    FIELD_RETRY_AFTER_MS,
    I32,
    MAP,
    METHOD_HANDLE,
    REPLY,
    REPLY_BODY_ID,
    REPLY_FIELDS_ID,
    REPLY_OK_ID,
    RESULT_BROKEN_ID,
    RESULT_SUCCESS_ID,
    RESULT_THROTTLED_ID,
    STOP,
    STRING,
    STRUCT,
    VERSION,
    MalformedMessageError,
)

_U32 = struct.Struct(">I")
_I32 = struct.Struct(">i")
_FIELD_HEADER = struct.Struct(">bh")  # field type, field id
_MAP_HEADER = struct.Struct(">bbi")  # key type, value type, number of entries
_STOP_BYTE = bytes((STOP,))


def encode_string(data: bytes) -> bytes:
    """Encode a string value: its length and its bytes."""
    return _U32.pack(len(data)) + data


def encode_string_map(entries: dict[str, str]) -> bytes:
    """Encode a map value with string keys and string values."""
    pairs = b"".join(
        encode_string(key.encode()) + encode_string(value.encode()) for key, value in entries.items()
    )
    return _MAP_HEADER.pack(STRING, STRING, len(entries)) + pairs


def encode_frame(message_type: int, method: bytes, seqid: int, payload: bytes) -> bytes:
    """Encode a framed message; the payload is a struct with its stop byte."""
    message = _U32.pack(VERSION | message_type) + encode_string(method) + _I32.pack(seqid) + payload
    return _U32.pack(len(message)) + message


def _encode_result(method: bytes, seqid: int, field_id: int, content: bytes) -> bytes:
    """Encode a reply whose result struct has one field, a struct with the given content."""
    payload = _FIELD_HEADER.pack(STRUCT, field_id) + content + _STOP_BYTE + _STOP_BYTE
    return encode_frame(REPLY, method, seqid, payload)


def encode_reply(method: str, seqid: int, body: bytes, *, is_ok: bool) -> bytes:
    """Encode the answer to a served request or a status request; its map of fields is empty."""
    content = _FIELD_HEADER.pack(STRING, REPLY_BODY_ID) + encode_string(body)
    content += _FIELD_HEADER.pack(MAP, REPLY_FIELDS_ID) + encode_string_map({})
    content += _FIELD_HEADER.pack(BOOL, REPLY_OK_ID) + bytes((is_ok,))
    return _encode_result(method.encode(), seqid, RESULT_SUCCESS_ID, content)


def _encode_declared_exception(field_id: int, seqid: int, fields: dict[str, str]) -> bytes:
    content = _FIELD_HEADER.pack(MAP, ERROR_FIELDS_ID) + encode_string_map(fields)
    return _encode_result(METHOD_HANDLE.encode(), seqid, field_id, content)


def encode_throttled(seqid: int, retry_after_ms: int) -> bytes:
    """Encode the answer to a rejected request, which the client may retry after `retry_after_ms`."""
    return _encode_declared_exception(RESULT_THROTTLED_ID, seqid, {FIELD_RETRY_AFTER_MS: str(retry_after_ms)})


def encode_broken(seqid: int) -> bytes:
    """Encode the answer to a failed request."""
    return _encode_declared_exception(RESULT_BROKEN_ID, seqid, {})


def encode_application_exception(error: MalformedMessageError) -> bytes:
    """Encode the answer to a malformed message with a sequence number.

    A malformed one-way message is answered too, so that its sender learns of the error.
    """
    content = _FIELD_HEADER.pack(STRING, APPLICATION_EXCEPTION_TEXT_ID) + encode_string(str(error).encode())
    content += _FIELD_HEADER.pack(I32, APPLICATION_EXCEPTION_KIND_ID) + _I32.pack(error.kind)
    method = error.method.encode("ascii", "replace")
    return encode_frame(EXCEPTION, method, error.seqid or 0, content + _STOP_BYTE)
