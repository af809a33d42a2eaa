"""Parses and validates single values and whole sections. Errors name the key and the allowed range."""

import ipaddress
from typing import TypeVar

import msgspec

from function_router.config.errors import ConfigurationError
from function_router.config.schema import SEED_KEY, WHOLE_FILE_KEY
from function_router.config.types import Address

MAX_PORT = 65_535
HEXADECIMAL_BASE = 16

# Maximum length of a value quoted in an error message, so that the message stays one short line.
MAX_QUOTED_ADDRESS_LENGTH = 60
MAX_QUOTED_SEED_LENGTH = 40

# msgspec puts this separator between the message of a validation error and the path of the value.
MSGSPEC_PATH_SEPARATOR = " - at `$"

SchemaT = TypeVar("SchemaT")


def parse_section(data: object, schema: type[SchemaT], parent_key: str = "") -> SchemaT:
    """Convert decoded JSON to a struct.

    Args:
        data: The decoded JSON.
        schema: The class of the struct, from `config.schema`.
        parent_key: The key of the data in the file; empty for the whole file.

    Raises:
        ConfigurationError: A value has the wrong type or is out of range. The key of the error is the path of
            the value.
    """
    try:
        return msgspec.convert(_without_nulls(data), schema)
    except msgspec.ValidationError as error:
        problem, _, path = str(error).partition(MSGSPEC_PATH_SEPARATOR)
        key = (parent_key + path.rstrip("`")).lstrip(".")
        raise ConfigurationError(key or WHOLE_FILE_KEY, problem) from None
    except RecursionError:
        raise ConfigurationError(parent_key or WHOLE_FILE_KEY, "nested too deeply") from None


def _without_nulls(value: object) -> object:
    """Return a copy without the keys whose value is null: they take their defaults, like absent keys."""
    if isinstance(value, dict):
        return {key: _without_nulls(item) for key, item in value.items() if item is not None}
    if isinstance(value, list):
        return [_without_nulls(item) for item in value]
    return value


def parse_address(text: str, key: str) -> Address:
    """Parse `host:port` with a numeric IP address. Host names are rejected, as deployments have no DNS.

    Args:
        text: The address.
        key: The key that has this value, for error messages.

    Raises:
        ConfigurationError: The text is not such an address.
    """
    host, _, port_text = text.rpartition(":")
    host = host.strip("[]")
    try:
        ipaddress.ip_address(host)
        port = int(port_text)
    except ValueError:
        problem = f"expected a numeric IP address and a port, got {text[:MAX_QUOTED_ADDRESS_LENGTH]!r}"
        raise ConfigurationError(key, problem) from None
    if not 0 <= port <= MAX_PORT:
        raise ConfigurationError(key, f"expected a port from 0 to {MAX_PORT}, got {port}")
    return host, port


def parse_seed(seed: str | int) -> int:
    """Parse a seed, which is a number or a string of hexadecimal digits.

    Raises:
        ConfigurationError: The string is not a hexadecimal number.
    """
    if isinstance(seed, int):
        return seed
    try:
        return int(seed, HEXADECIMAL_BASE)
    except ValueError:
        problem = f"expected a hexadecimal number, got {seed[:MAX_QUOTED_SEED_LENGTH]!r}"
        raise ConfigurationError(SEED_KEY, problem) from None
