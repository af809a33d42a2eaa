"""Decodes the arguments of a Thrift message."""

import struct

from function_router.net.codecs.thrift_protocol import (
    BOOL,
    BYTE,
    DOUBLE,
    I16,
    I32,
    I64,
    LIST,
    MAP,
    SET,
    STOP,
    STRING,
    STRUCT,
    MalformedMessageError,
)

# Maximum nesting depth of the values in a field that is skipped.
MAX_NESTING_DEPTH = 16
# Maximum number of entries of a map; the map of fields that the service uses has fewer than ten.
MAX_MAP_ENTRIES = 64

# Sizes in bytes of the fixed-size types that no method of the service uses.
SKIPPED_TYPE_SIZES = {BOOL: 1, BYTE: 1, DOUBLE: 8, I16: 2, I64: 8}
# Size of a field id in bytes.
FIELD_ID_SIZE = 2
# Minimum size of a list item: the smallest value of any type takes one byte.
MIN_LIST_ITEM_SIZE = 1
# Minimum size of a map entry, which is a key and a value.
MIN_MAP_ENTRY_SIZE = 2

_I16 = struct.Struct(">h")
_I32 = struct.Struct(">i")

Value = bytes | int | dict[bytes, "Value"] | None
"""A value of a type that the service uses; None for a skipped value of another type."""


class Arguments:
    """The fields of an argument struct by type and field id; for a repeated field, its last value."""

    __slots__ = ("_values",)

    def __init__(self, values: dict[tuple[int, int], Value]) -> None:
        self._values = values

    def string(self, field_id: int) -> bytes | None:
        """Return the string with a field id; None if there is none."""
        value = self._values.get((STRING, field_id))
        return value if isinstance(value, bytes) else None

    def i32(self, field_id: int) -> int | None:
        """Return the 32-bit integer with a field id; None if there is none."""
        value = self._values.get((I32, field_id))
        return value if isinstance(value, int) else None

    def map(self, field_id: int) -> dict[bytes, Value] | None:
        """Return the entries with string keys of the map with a field id; None if there is no such map."""
        value = self._values.get((MAP, field_id))
        return value if isinstance(value, dict) else None


class ArgumentReader:
    """Decodes one argument struct; fields that the service does not use are validated and skipped.

    Besides `MalformedMessageError`, its methods raise `struct.error` or `IndexError` on truncated data.
    """

    __slots__ = ("_data", "_position")

    def __init__(self, data: bytes, position: int) -> None:
        self._data = data
        self._position = position

    def read(self) -> Arguments:
        """Read the struct, which must extend to the end of the data."""
        values: dict[tuple[int, int], Value] = {}
        while (field_type := self._read_byte()) != STOP:
            (field_id,) = _I16.unpack_from(self._data, self._position)
            self._position += FIELD_ID_SIZE
            values[field_type, field_id] = self._read_value(field_type, depth=0)
        if self._position != len(self._data):
            reason = "bytes follow the arguments"
            raise MalformedMessageError(reason)
        return Arguments(values)

    def _read_value(self, field_type: int, depth: int) -> Value:
        if depth > MAX_NESTING_DEPTH:
            reason = "values nested too deep"
            raise MalformedMessageError(reason)
        if field_type == STRING:
            return self._read_string()
        if field_type == I32:
            return self._read_i32()
        if field_type == MAP:
            return self._read_map(depth)
        self._skip_value(field_type, depth)
        return None

    def _read_byte(self) -> int:
        byte = self._data[self._position]
        self._position += 1
        return byte

    def _read_i32(self) -> int:
        value: int
        (value,) = _I32.unpack_from(self._data, self._position)
        self._position += _I32.size
        return value

    def _read_count(self, min_item_size: int) -> int:
        """Read a number of items.

        A number that does not fit into the rest of the frame is rejected before any item is read.
        """
        count = self._read_i32()
        if not 0 <= count <= (len(self._data) - self._position) // min_item_size:
            reason = "a length that the frame can't hold"
            raise MalformedMessageError(reason)
        return count

    def _read_string(self) -> bytes:
        length = self._read_count(min_item_size=1)
        start = self._position
        self._position += length
        return self._data[start : self._position]

    def _read_map(self, depth: int) -> dict[bytes, Value]:
        """Read a map; entries whose key is not a string are omitted."""
        key_type = self._read_byte()
        value_type = self._read_byte()
        count = self._read_count(MIN_MAP_ENTRY_SIZE)
        if count > MAX_MAP_ENTRIES:
            reason = "too many fields"
            raise MalformedMessageError(reason)
        entries: dict[bytes, Value] = {}
        for _ in range(count):
            key = self._read_value(key_type, depth + 1)
            value = self._read_value(value_type, depth + 1)
            if isinstance(key, bytes):
                entries[key] = value
        return entries

    def _skip_value(self, field_type: int, depth: int) -> None:
        if field_type in SKIPPED_TYPE_SIZES:
            self._skip_bytes(SKIPPED_TYPE_SIZES[field_type])
        elif field_type in (LIST, SET):
            self._skip_list(depth)
        elif field_type == STRUCT:
            self._skip_struct(depth)
        else:
            reason = "an unknown type of field"
            raise MalformedMessageError(reason)

    def _skip_bytes(self, count: int) -> None:
        self._position += count
        if self._position > len(self._data):
            raise IndexError

    def _skip_list(self, depth: int) -> None:
        item_type = self._read_byte()
        for _ in range(self._read_count(MIN_LIST_ITEM_SIZE)):
            self._read_value(item_type, depth + 1)

    def _skip_struct(self, depth: int) -> None:
        while (field_type := self._read_byte()) != STOP:
            self._position += FIELD_ID_SIZE
            self._read_value(field_type, depth + 1)
