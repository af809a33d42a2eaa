"""The public interface of the codec of the Thrift service that clients call.

`thrift_protocol` defines the constants, messages and errors, `thrift_reader` decodes messages and
`thrift_writer` encodes answers.
"""

from function_router.net.codecs.thrift_protocol import (
    BOOL,
    CALL,
    EXCEPTION,
    I32,
    LIST,
    MAP,
    METHOD_HANDLE,
    METHOD_STATUS,
    ONEWAY,
    REPLY,
    STRING,
    STRUCT,
    VERSION,
    Handle,
    MalformedMessageError,
    Message,
    MessageOrError,
    Status,
    Withdraw,
)
from function_router.net.codecs.thrift_reader import (
    MAX_BODY_BYTES,
    MAX_FRAME_BYTES,
    Frame,
    FrameReader,
    parse_header,
)
from function_router.net.codecs.thrift_writer import (
    encode_application_exception,
    encode_broken,
    encode_frame,
    encode_reply,
    encode_string,
    encode_string_map,
    encode_throttled,
)

__all__ = [
    "BOOL",
    "CALL",
    "EXCEPTION",
    "I32",
    "LIST",
    "MAP",
    "MAX_BODY_BYTES",
    "MAX_FRAME_BYTES",
    "METHOD_HANDLE",
    "METHOD_STATUS",
    "ONEWAY",
    "REPLY",
    "STRING",
    "STRUCT",
    "VERSION",
    "Frame",
    "FrameReader",
    "Handle",
    "MalformedMessageError",
    "Message",
    "MessageOrError",
    "Status",
    "Withdraw",
    "encode_application_exception",
    "encode_broken",
    "encode_frame",
    "encode_reply",
    "encode_string",
    "encode_string_map",
    "encode_throttled",
    "parse_header",
]
