"""Tests of `request_parser`: valid and invalid fields of a request."""

import pytest
from helpers.client_messages import FUNCTION, REQUEST_FIELDS

from function_router.config import parse_settings
from function_router.net.codecs import thrift
from function_router.net.request_parser import InvalidFieldError, parse_invocation


@pytest.fixture(scope="module")
def classes():
    settings = {
        "classes": [
            {"name": "view", "effect": "idempotent"},
            {"name": "save", "effect": "deduplicated"},
        ]
    }
    return parse_settings(settings).classes


def test_fields_are_parsed_to_their_types(classes):
    properties = "memory_mb:512;lanes:2;load_ms:640.5;unheard:x"
    message = thrift.Handle(1, REQUEST_FIELDS | {"props": properties}, b"b")

    parsed = parse_invocation(message, classes)

    assert (parsed.concurrency, parsed.memory_mb, parsed.expected_start_ms) == (2, 512.0, 640.5)
    assert (parsed.request_id.hex(), parsed.function) == (REQUEST_FIELDS["call"], FUNCTION)
    assert parsed.timeout_ms == 1500.0


@pytest.mark.parametrize(
    "changes",
    [
        {"op": "nothing"},
        {"call": "xyz"},
        {"call": "9b1f03aa5c7e2d4"},
        {"row": FUNCTION + ",kind=x"},
        {"row": ""},
        {"ttl": "0"},
        {"ttl": "-5"},
        {"ttl": "nan"},
        {"ttl": "1e9"},
        {"ttl": ""},
        {"ttl": "9" * 12},
        {"op": "save"},
        {"op": "save", "dedupe": "a,b=c"},
        {"dedupe": "x" * 200},
        {"props": "lanes:-1"},
        {"props": "lanes:999999"},
        {"props": "memory_mb:inf"},
        {"row": "७" * 16},
    ],
    ids=str,
)
def test_request_with_an_invalid_field_is_malformed(classes, changes):
    message = thrift.Handle(1, REQUEST_FIELDS | changes, b"")

    with pytest.raises(InvalidFieldError):
        parse_invocation(message, classes)
