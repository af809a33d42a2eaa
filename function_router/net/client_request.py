"""Parses and checks the fields of a client's request."""

import re
from collections.abc import Mapping

import msgspec

from function_router.decisions.settings import RequestClass
from function_router.decisions.types import RetrySafety
from function_router.net.codecs.thrift import Handle, MalformedMessageError

# Names of the request's fields on the wire.
FIELD_CLASS = "op"
FIELD_REQUEST_ID = "call"
FIELD_TIMEOUT_MS = "ttl"
FIELD_TENANT = "org"
FIELD_IDEMPOTENCY_KEY = "dedupe"
FIELD_FUNCTION = "row"
FIELD_PROPERTIES = "props"

# Names within the field of the function's properties, which reads `name:value;name:value`.
PROPERTY_MEMORY_MB = "memory_mb"
PROPERTY_CONCURRENCY = "lanes"
PROPERTY_START_MS = "load_ms"

TIMEOUT_TOLERANCE = 1.1  # a client's timeout is that of its class at most; the rest allows for rounding
MAX_CONCURRENCY = 4_096  # requests that one instance may run at once
DEFAULT_CONCURRENCY = "1"
MAX_TENANT_CHARS = 128

_HEX_16_DIGITS = re.compile(r"[0-9a-fA-F]{16}\Z")
_IDEMPOTENCY_KEY = re.compile(r"[0-9A-Za-z_.:-]{1,128}\Z")
_NUMBER = re.compile(r"[0-9]{1,12}(\.[0-9]{1,9})?\Z")


class ParsedRequest(msgspec.Struct, frozen=True):
    """The checked fields of a client's request.

    Attributes:
        request_id: the client's id of the request, eight bytes.
        class_name: name of the request class.
        tenant: name of the tenant; empty where none was given and none is required.
        function: name of the function, 16 hexadecimal digits.
        timeout_ms: how long the client waits for the answer.
        body: what the function is to be run on.
        idempotency_key: names the request to workers that drop repeats; empty where there is none.
        concurrency: requests that one instance of the function may run at once.
        memory_mb: memory that one instance takes; None where the client does not say.
        expected_start_ms: how long an instance takes to start; None where the client does not say.
    """

    request_id: bytes
    class_name: str
    tenant: str
    function: str
    timeout_ms: float
    body: bytes
    idempotency_key: str
    concurrency: int
    memory_mb: float | None
    expected_start_ms: float | None


def parse_client_request(
    message: Handle, classes: Mapping[str, RequestClass], tenants: frozenset[str] = frozenset()
) -> ParsedRequest:
    """Parse and check the fields of a request.

    Args:
        message: the client's message.
        classes: the request classes by name.
        tenants: names of the tenants that may send requests; where it is empty, any tenant or none may.

    Raises:
        MalformedMessageError: where a field is missing or has a value that can't be passed to a worker.
    """
    fields = message.fields
    request_class = _parse_class(fields, classes)
    if tenants and fields.get(FIELD_TENANT) not in tenants:
        reason = f"{FIELD_TENANT}: no such tenant"
        raise MalformedMessageError(reason)
    request_id = _parse_hex_digits(fields, FIELD_REQUEST_ID)
    function = _parse_hex_digits(fields, FIELD_FUNCTION)
    idempotency_key = _parse_idempotency_key(fields, request_class)
    timeout_ms = _parse_timeout(fields, request_class)
    properties = _parse_properties(fields)
    return ParsedRequest(
        request_id=bytes.fromhex(request_id),
        class_name=request_class.name,
        tenant=fields.get(FIELD_TENANT, "")[:MAX_TENANT_CHARS],
        function=function,
        timeout_ms=timeout_ms,
        body=message.body,
        idempotency_key=idempotency_key,
        concurrency=_parse_concurrency(properties),
        memory_mb=_parse_optional_number(properties, PROPERTY_MEMORY_MB),
        expected_start_ms=_parse_optional_number(properties, PROPERTY_START_MS),
    )


def _parse_class(fields: dict[str, str], classes: Mapping[str, RequestClass]) -> RequestClass:
    request_class = classes.get(fields.get(FIELD_CLASS, ""))
    if request_class is None:
        reason = f"{FIELD_CLASS}: no such class"
        raise MalformedMessageError(reason)
    return request_class


def _parse_hex_digits(fields: dict[str, str], name: str) -> str:
    text = fields.get(name, "")
    if not _HEX_16_DIGITS.match(text):
        reason = f"{name}: not 16 hex digits"
        raise MalformedMessageError(reason)
    return text


def _parse_idempotency_key(fields: dict[str, str], request_class: RequestClass) -> str:
    key = fields.get(FIELD_IDEMPOTENCY_KEY, "")
    is_required = request_class.retry_safety is RetrySafety.IDEMPOTENCY_KEY
    if (key or is_required) and not _IDEMPOTENCY_KEY.match(key):
        reason = f"{FIELD_IDEMPOTENCY_KEY}: missing, or not a key"
        raise MalformedMessageError(reason)
    return key


def _parse_timeout(fields: dict[str, str], request_class: RequestClass) -> float:
    timeout_ms = _parse_optional_number(fields, FIELD_TIMEOUT_MS)
    if not timeout_ms or timeout_ms > TIMEOUT_TOLERANCE * request_class.timeout_ms:
        reason = f"{FIELD_TIMEOUT_MS}: missing, or not a time to wait"
        raise MalformedMessageError(reason)
    return timeout_ms


def _parse_properties(fields: dict[str, str]) -> dict[str, str]:
    """The function's properties by name; those that this router does not know are kept, too."""
    pairs = (pair.partition(":") for pair in fields.get(FIELD_PROPERTIES, "").split(";") if pair)
    return {name: value for name, _, value in pairs}


def _parse_concurrency(properties: dict[str, str]) -> int:
    concurrency = _parse_number(
        properties.get(PROPERTY_CONCURRENCY, DEFAULT_CONCURRENCY), PROPERTY_CONCURRENCY
    )
    if not 1 <= concurrency <= MAX_CONCURRENCY:
        reason = f"{PROPERTY_CONCURRENCY}: out of range"
        raise MalformedMessageError(reason)
    return int(concurrency)


def _parse_optional_number(texts: dict[str, str], name: str) -> float | None:
    text = texts.get(name)
    return None if text is None else _parse_number(text, name)


def _parse_number(text: str, name: str) -> float:
    if not _NUMBER.match(text):
        reason = f"{name}: not a number"
        raise MalformedMessageError(reason)
    return float(text)
