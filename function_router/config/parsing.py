"""Parses and checks single values and whole sections; an error names the key and the allowed range."""

import ipaddress
from typing import TypeVar

import msgspec

from function_router.config.errors import ConfigurationError
from function_router.config.schema import SEED_KEY, WHOLE_FILE_KEY
from function_router.config.types import Address

MAX_PORT = 65_535
HEXADECIMAL_BASE = 16

# Values are quoted in error messages up to these lengths, so that a message stays one short line.
MAX_QUOTED_ADDRESS_LENGTH = 60
MAX_QUOTED_SEED_LENGTH = 40

# What msgspec puts between the text of an error and the path of the value.
MSGSPEC_PATH_SEPARATOR = " - at `$"

SchemaT = TypeVar("SchemaT")


def parse_section(data: object, schema: type[SchemaT], parent_key: str = "") -> SchemaT:
    """Convert decoded JSON to its schema.

    Args:
        data: the decoded JSON.
        schema: the struct of `config.schema` for it.
        parent_key: the key at which the data is found; empty for the whole file.

    Raises:
        ConfigurationError: A value has the wrong type or is out of range; the key is its path.
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
    """The same JSON without keys whose value is null: such a key has its default, like an absent one."""
    if isinstance(value, dict):
        return {key: _without_nulls(item) for key, item in value.items() if item is not None}
    if isinstance(value, list):
        return [_without_nulls(item) for item in value]
    return value


def parse_address(text: str, key: str) -> Address:
    """Parse `host:port` with a numeric IP address. Names are rejected, as deployments have no DNS.

    Raises:
        ConfigurationError: The text, the value of `key`, is not such an address.
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
    """Parse the seed: a number, or a string of hexadecimal digits.

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
