"""Decodes messages of clients: splits the byte stream into frames and parses each frame."""

import struct
from collections.abc import Callable
from typing import NamedTuple

from msgspec import Struct

from function_router.net.codecs.thrift_arguments import ArgumentReader, Arguments
from function_router.net.codecs.thrift_protocol import (
    CALL,
    HANDLE_BODY_ID,
    HANDLE_FIELDS_ID,
    I32,
    INVALID_MESSAGE_TYPE,
    MESSAGE_TYPE_MASK,
    METHOD_HANDLE,
    METHOD_STATUS,
    METHOD_WITHDRAW,
    ONEWAY,
    STOP,
    UNKNOWN_METHOD,
    VERSION,
    VERSION_MASK,
    WITHDRAW_SEQID_ID,
    Handle,
    MalformedMessageError,
    Message,
    MessageOrError,
    Status,
    TruncatedMessageError,
    Withdraw,
)

# Maximum size of a frame; a body of 16 KiB with its fields is much smaller.
MAX_FRAME_BYTES = 48 * 1024
# Number of bytes at the start of an oversized frame from which its header, with the sequence number, is read.
MAX_HEADER_BYTES = 256
# Maximum size of a request's body, the input of the function.
MAX_BODY_BYTES = 16 * 1024
# Maximum length of a method name; those of the service have at most 8 bytes.
MAX_METHOD_NAME_BYTES = 64
# Minimum size of a message: the version, the length of the method name, and the sequence number.
MIN_MESSAGE_BYTES = 12
# Frame sizes are signed 32-bit integers. Bytes that state a size of at least this limit are not Thrift.
FRAME_SIZE_LIMIT = 2**31

_U32 = struct.Struct(">I")
_I32 = struct.Struct(">i")
_METHOD_START = _U32.size + _I32.size  # the method name follows the version and the length of the name


def _header_starts(method: str) -> tuple[bytes, ...]:
    """Return how a call of a method and a one-way message to it begin, up to the sequence number."""
    name = method.encode("ascii")
    return tuple(
        _U32.pack(VERSION | message_type) + _I32.pack(len(name)) + name for message_type in (CALL, ONEWAY)
    )


_HANDLE_STARTS = _header_starts(METHOD_HANDLE)
_WITHDRAW_STARTS = _header_starts(METHOD_WITHDRAW)
_HANDLE_SEQID_START = len(_HANDLE_STARTS[0])
# The arguments of a cancellation: a field with the sequence number, and the end of the struct.
_WITHDRAW_ARGUMENTS = struct.Struct(">bhib")
_WITHDRAW_ARGUMENTS_START = len(_WITHDRAW_STARTS[0]) + _I32.size
_WITHDRAW_BYTES = _WITHDRAW_ARGUMENTS_START + _WITHDRAW_ARGUMENTS.size


class Frame(Struct, frozen=True):
    """A frame that has been received and is not parsed yet.

    Attributes:
        payload: The message; empty for a frame of an invalid size.
        error: The error of a frame of an invalid size.
    """

    payload: bytes
    error: MalformedMessageError | None = None

    def parse(self) -> MessageOrError:
        """Return the message, or the error of a malformed one."""
        return self.error or parse_message(self.payload)

    def requested_seqid(self) -> int | None:
        """Return the sequence number of a request without parsing the rest; None for other messages."""
        if not self.payload.startswith(_HANDLE_STARTS):
            return None
        if len(self.payload) < _HANDLE_SEQID_START + _I32.size:
            return None
        seqid: int
        (seqid,) = _I32.unpack_from(self.payload, _HANDLE_SEQID_START)
        return seqid

    def withdrawn_seqid(self) -> int | None:
        """Return the sequence number that a cancellation withdraws; None for other messages.

        The result is also None for a cancellation in an unusual encoding, which only `parse` recognizes.
        """
        if len(self.payload) != _WITHDRAW_BYTES or not self.payload.startswith(_WITHDRAW_STARTS):
            return None
        field_type, field_id, seqid, stop = _WITHDRAW_ARGUMENTS.unpack_from(
            self.payload, _WITHDRAW_ARGUMENTS_START
        )
        is_usual = (field_type, field_id, stop) == (I32, WITHDRAW_SEQID_ID, STOP)
        return int(seqid) if is_usual else None


class FrameReader:
    """Splits a byte stream into frames; buffers at most one incomplete frame."""

    __slots__ = ("_buffer", "_bytes_to_skip", "_is_broken")

    def __init__(self) -> None:
        self._buffer = bytearray()
        self._is_broken = False  # whether the connection must be closed
        self._bytes_to_skip = 0  # bytes of an oversized frame that are still to be discarded

    @property
    def has_partial_frame(self) -> bool:
        """Whether a frame has been received in part."""
        return bool(self._buffer or self._bytes_to_skip)

    @property
    def buffered_bytes(self) -> int:
        """The size of the incomplete frame."""
        return len(self._buffer)

    @property
    def missing_bytes(self) -> int:
        """How many bytes of the incomplete frame have not been received, at least; 0 if there is none."""
        if not self._buffer:
            return 0
        size = self._frame_size(0)
        frame_bytes = _U32.size + (MIN_MESSAGE_BYTES if size is None else size)
        return max(0, frame_bytes - len(self._buffer))

    @property
    def is_skipping(self) -> bool:
        """Whether the rest of an oversized frame, which is discarded, has not been received yet."""
        return self._bytes_to_skip > 0

    def feed(self, data: bytes) -> list[Frame]:
        """Add received bytes; return the frames that they complete, in order.

        A frame of an invalid size is returned as an error. After one without a sequence number, the
        connection must be closed, and all further bytes are discarded.
        """
        self._buffer += b"" if self._is_broken else data
        found: list[Frame] = []
        start = self._skip_oversized_frame(0)
        while not self._is_broken and (size := self._frame_size(start)) is not None:
            payload_start = start + _U32.size
            payload_end = payload_start + size
            if MIN_MESSAGE_BYTES <= size <= MAX_FRAME_BYTES:
                if payload_end > len(self._buffer):
                    break
                found.append(Frame(bytes(self._buffer[payload_start:payload_end])))
                start = payload_end
            elif error := self._size_error(payload_start, size):
                found.append(Frame(b"", error))
                self._is_broken = error.seqid is None
                self._bytes_to_skip = size
                start = payload_start + self._skip_oversized_frame(payload_start)
            else:
                break
        del self._buffer[:start]
        return found

    def _frame_size(self, start: int) -> int | None:
        """Return the size of the frame that begins at a position; None until that size has been received."""
        if start + _U32.size > len(self._buffer):
            return None
        size: int
        (size,) = _U32.unpack_from(self._buffer, start)
        return size

    def _skip_oversized_frame(self, start: int) -> int:
        """Skip the bytes of an oversized frame from a position on; return the number of skipped bytes."""
        skipped = min(self._bytes_to_skip, len(self._buffer) - start)
        self._bytes_to_skip -= skipped
        return skipped

    def _size_error(self, start: int, size: int) -> MalformedMessageError | None:
        """Return the error of a frame of an invalid size.

        For an oversized frame, this is None until enough of its header has been received.
        """
        if size < MIN_MESSAGE_BYTES:
            reason = "the message is cut short"
            return TruncatedMessageError(reason)
        error = MalformedMessageError(f"a frame of {size} bytes")
        if size >= FRAME_SIZE_LIMIT:
            return error
        try:
            error.seqid = parse_header(bytes(self._buffer[start : start + MAX_HEADER_BYTES])).seqid
        except TruncatedMessageError:
            return None
        except MalformedMessageError:
            return error
        return error


class MessageHeader(NamedTuple):
    """The header of a message, and the position of the arguments behind it."""

    message_type: int
    method: str
    seqid: int
    arguments_start: int


def parse_header(data: bytes) -> MessageHeader:
    """Parse the header of a message.

    Raises:
        TruncatedMessageError: The data ends before the header does.
        MalformedMessageError: The data is not a header of the strict binary protocol.
    """
    try:
        return _parse_header(data)
    except struct.error:
        reason = "the message is cut short"
        raise TruncatedMessageError(reason) from None


def _parse_header(data: bytes) -> MessageHeader:
    (version,) = _U32.unpack_from(data, 0)
    if version & VERSION_MASK != VERSION:
        reason = "not the strict binary protocol"
        raise MalformedMessageError(reason)
    (method_length,) = _I32.unpack_from(data, _U32.size)
    if not 0 <= method_length <= MAX_METHOD_NAME_BYTES:
        reason = "the name has no sensible length"
        raise MalformedMessageError(reason)
    method_end = _METHOD_START + method_length
    method = data[_METHOD_START:method_end].decode("ascii", "replace")
    (seqid,) = _I32.unpack_from(data, method_end)
    return MessageHeader(version & MESSAGE_TYPE_MASK, method, seqid, method_end + _I32.size)


def parse_message(data: bytes) -> MessageOrError:
    """Parse the payload of one frame; return an error if it is not a valid message."""
    try:
        header = parse_header(data)
    except MalformedMessageError as error:
        return error
    try:
        return _parse_call(header, data)
    except MalformedMessageError as error:
        malformed = error
    except (struct.error, UnicodeDecodeError, IndexError):
        malformed = MalformedMessageError("the arguments can't be read")
    malformed.seqid = header.seqid
    malformed.method = header.method
    return malformed


def _parse_call(header: MessageHeader, data: bytes) -> Message:
    parse_arguments = _METHODS.get(header.method)
    if parse_arguments is None:
        reason = "no such method"
        raise MalformedMessageError(reason, kind=UNKNOWN_METHOD)
    if header.message_type not in (CALL, ONEWAY):
        reason = "not a call"
        raise MalformedMessageError(reason, kind=INVALID_MESSAGE_TYPE)
    return parse_arguments(header.seqid, ArgumentReader(data, header.arguments_start).read())


def _parse_handle(seqid: int, arguments: Arguments) -> Handle:
    entries = arguments.map(HANDLE_FIELDS_ID)
    if entries is None:
        reason = "no fields"
        raise MalformedMessageError(reason)
    body = arguments.string(HANDLE_BODY_ID) or b""
    if len(body) > MAX_BODY_BYTES:
        reason = "the body is too large"
        raise MalformedMessageError(reason)
    fields = {key.decode(): value.decode() for key, value in entries.items() if isinstance(value, bytes)}
    return Handle(seqid, fields, body)


def _parse_withdraw(_seqid: int, arguments: Arguments) -> Withdraw:
    target_seqid = arguments.i32(WITHDRAW_SEQID_ID)
    if target_seqid is None:
        reason = "no sequence number to withdraw"
        raise MalformedMessageError(reason)
    return Withdraw(target_seqid)


def _parse_status(seqid: int, _arguments: Arguments) -> Status:
    return Status(seqid)


_METHODS: dict[str, Callable[[int, Arguments], Message]] = {
    METHOD_HANDLE: _parse_handle,
    METHOD_WITHDRAW: _parse_withdraw,
    METHOD_STATUS: _parse_status,
}
