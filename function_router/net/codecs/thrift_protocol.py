"""Constants, messages and errors of the Thrift service that clients call.

The wire format is Thrift's framed transport with the strict binary protocol, as described in
https://github.com/apache/thrift/blob/master/doc/specs/thrift-binary-protocol.md.
"""

from msgspec import Struct

from function_router.errors import FunctionRouterError

# The first word of a message contains the version and, in its lowest byte, the message type.
VERSION = 0x80010000
VERSION_MASK = 0xFFFF0000
MESSAGE_TYPE_MASK = 0xFF

# Message types.
CALL = 1
REPLY = 2
EXCEPTION = 3
ONEWAY = 4

# Field types.
STOP = 0  # the end of a struct
BOOL = 2
BYTE = 3
DOUBLE = 4
I16 = 6
I32 = 8
I64 = 10
STRING = 11
STRUCT = 12
MAP = 13
SET = 14
LIST = 15

# Kinds of application exceptions, as Thrift defines them.
UNKNOWN_METHOD = 1
INVALID_MESSAGE_TYPE = 2
PROTOCOL_ERROR = 7

# The methods of the service, and the field ids of their arguments and results.
METHOD_HANDLE = "handle"
METHOD_WITHDRAW = "withdraw"
METHOD_STATUS = "status"
HANDLE_FIELDS_ID = 1
HANDLE_BODY_ID = 2
WITHDRAW_SEQID_ID = 1
RESULT_SUCCESS_ID = 0
RESULT_THROTTLED_ID = 1
RESULT_BROKEN_ID = 2
REPLY_BODY_ID = 1
REPLY_FIELDS_ID = 2
REPLY_OK_ID = 3
ERROR_FIELDS_ID = 1  # the map of fields in an exception that the service declares
APPLICATION_EXCEPTION_TEXT_ID = 1
APPLICATION_EXCEPTION_KIND_ID = 2
FIELD_RETRY_AFTER_MS = "pushback"  # field of the "throttled" exception: milliseconds as decimal text


class MalformedMessageError(FunctionRouterError, ValueError):
    """A frame that is not a valid message, or a message that the service does not support.

    Attributes:
        seqid: Sequence number of the message; None if it cannot be read.
        kind: Kind of the application exception that answers the message.
        method: Name of the called method; "handle" for a malformed header or an oversized frame.
    """

    def __init__(self, text: str, seqid: int | None = None, kind: int = PROTOCOL_ERROR) -> None:
        super().__init__(text)
        self.seqid = seqid
        self.kind = kind
        self.method = METHOD_HANDLE


class TruncatedMessageError(MalformedMessageError):
    """A message that ends before its header does."""


class Handle(Struct, frozen=True):
    """A request to run a function, whose fields have not been validated yet."""

    seqid: int
    fields: dict[str, str]
    body: bytes


class Withdraw(Struct, frozen=True):
    """The cancellation of a request by its client.

    Attributes:
        seqid: Sequence number of the cancelled request.
    """

    seqid: int


class Status(Struct, frozen=True):
    """A status request, which asks whether the router is ready."""

    seqid: int


Message = Handle | Withdraw | Status
"""A message that a client sends."""

MessageOrError = Message | MalformedMessageError
"""The content of a frame: a message, or the error of a malformed one."""
