"""Parses and validates the fields of a client's request from a Thrift message."""

import re
from collections.abc import Mapping

from function_router.decisions.settings import RequestClass
from function_router.decisions.types import RetrySafety
from function_router.net.client_request import Invocation
from function_router.net.codecs.thrift import Handle, MalformedMessageError

# Names of a request's fields on the wire.
FIELD_CLASS = "op"
FIELD_REQUEST_ID = "call"
FIELD_TIMEOUT_MS = "ttl"
FIELD_TENANT = "org"
FIELD_IDEMPOTENCY_KEY = "dedupe"
FIELD_FUNCTION = "row"
FIELD_PROPERTIES = "props"

# Names of the function's properties in the field FIELD_PROPERTIES, whose format is `name:value;name:value`.
PROPERTY_MEMORY_MB = "memory_mb"
PROPERTY_CONCURRENCY = "lanes"
PROPERTY_START_MS = "load_ms"

# A client's timeout is at most that of its request class; this factor on the limit allows for rounding.
TIMEOUT_TOLERANCE = 1.1
# Maximum number of requests that one instance may run at once.
MAX_CONCURRENCY = 4_096
# Value of PROPERTY_CONCURRENCY if the client does not specify it.
DEFAULT_CONCURRENCY = "1"
# Maximum length of a tenant's name; longer names are truncated.
MAX_TENANT_CHARS = 128

_HEX_16_DIGITS = re.compile(r"[0-9a-fA-F]{16}\Z")
_IDEMPOTENCY_KEY = re.compile(r"[0-9A-Za-z_.:-]{1,128}\Z")
_NUMBER = re.compile(r"[0-9]{1,12}(\.[0-9]{1,9})?\Z")


class InvalidFieldError(MalformedMessageError):
    """A field of a request is missing, malformed or out of range, or the router does not accept its value.

    Examples of the latter are an unknown tenant and the id of a pending request.
    """

    def __init__(self, name: str, problem: str) -> None:
        super().__init__(f"{name}: {problem}")


def parse_invocation(
    message: Handle, classes: Mapping[str, RequestClass], tenants: frozenset[str] = frozenset()
) -> Invocation:
    """Parse and validate the fields of a request.

    Args:
        message: The client's message.
        classes: The request classes by name.
        tenants: Names of the tenants that may send requests; if empty, the field is optional and unchecked.

    Raises:
        InvalidFieldError: A field is missing, malformed or out of range, or names an unknown class or tenant.
    """
    fields = message.fields
    request_class = _parse_class(fields, classes)
    properties = _parse_properties(fields)
    # The order of the arguments is the order of validation: the answer to the client names the first invalid
    # field.
    return Invocation(
        class_name=request_class.name,
        tenant=_parse_tenant(fields, tenants),
        request_id=bytes.fromhex(_parse_hex_digits(fields, FIELD_REQUEST_ID)),
        function=_parse_hex_digits(fields, FIELD_FUNCTION),
        idempotency_key=_parse_idempotency_key(fields, request_class),
        timeout_ms=_parse_timeout(fields, request_class),
        body=message.body,
        concurrency=_parse_concurrency(properties),
        memory_mb=_parse_optional_number(properties, PROPERTY_MEMORY_MB),
        expected_start_ms=_parse_optional_number(properties, PROPERTY_START_MS),
    )


def _parse_class(fields: dict[str, str], classes: Mapping[str, RequestClass]) -> RequestClass:
    request_class = classes.get(fields.get(FIELD_CLASS, ""))
    if request_class is None:
        raise InvalidFieldError(FIELD_CLASS, "no such class")
    return request_class


def _parse_tenant(fields: dict[str, str], tenants: frozenset[str]) -> str:
    tenant = fields.get(FIELD_TENANT)
    if tenants and tenant not in tenants:
        raise InvalidFieldError(FIELD_TENANT, "no such tenant")
    return (tenant or "")[:MAX_TENANT_CHARS]


def _parse_hex_digits(fields: dict[str, str], name: str) -> str:
    text = fields.get(name, "")
    if not _HEX_16_DIGITS.match(text):
        raise InvalidFieldError(name, "not 16 hex digits")
    return text


def _parse_idempotency_key(fields: dict[str, str], request_class: RequestClass) -> str:
    key = fields.get(FIELD_IDEMPOTENCY_KEY, "")
    is_required = request_class.retry_safety is RetrySafety.IDEMPOTENCY_KEY
    if (key or is_required) and not _IDEMPOTENCY_KEY.match(key):
        raise InvalidFieldError(FIELD_IDEMPOTENCY_KEY, "missing, or not a key")
    return key


def _parse_timeout(fields: dict[str, str], request_class: RequestClass) -> float:
    timeout_ms = _parse_optional_number(fields, FIELD_TIMEOUT_MS)
    if not timeout_ms or timeout_ms > TIMEOUT_TOLERANCE * request_class.timeout_ms:
        raise InvalidFieldError(FIELD_TIMEOUT_MS, "missing, or not a time to wait")
    return timeout_ms


def _parse_properties(fields: dict[str, str]) -> dict[str, str]:
    """Return the function's properties by name, including unknown ones."""
    pairs = (pair.partition(":") for pair in fields.get(FIELD_PROPERTIES, "").split(";") if pair)
    return {name: value for name, _, value in pairs}


def _parse_concurrency(properties: dict[str, str]) -> int:
    concurrency = _parse_number(
        properties.get(PROPERTY_CONCURRENCY, DEFAULT_CONCURRENCY), PROPERTY_CONCURRENCY
    )
    if not 1 <= concurrency <= MAX_CONCURRENCY:
        raise InvalidFieldError(PROPERTY_CONCURRENCY, "out of range")
    return int(concurrency)


def _parse_optional_number(texts: dict[str, str], name: str) -> float | None:
    text = texts.get(name)
    return None if text is None else _parse_number(text, name)


def _parse_number(text: str, name: str) -> float:
    if not _NUMBER.match(text):
        raise InvalidFieldError(name, "not a number")
    return float(text)
