"""Tests of `endpoint_messages`."""

import pytest

from function_router.net.endpoint_messages import EndpointEvent, SequenceAnnouncement, parse_line


@pytest.mark.parametrize("line", [b"41", b'{"seq":41}'])
def test_number_without_endpoints_is_an_announcement(line):
    assert parse_line(line) == SequenceAnnouncement(41)


@pytest.mark.parametrize(
    ("line", "event"),
    [
        (b'{"seq":2,"fleet":null}', EndpointEvent(2, has_endpoints=True)),
        (b'{"seq":2,"fleet":5,"more":1}', EndpointEvent(2, has_endpoints=True, endpoints=5)),
    ],
    ids=["null", "endpoints are not checked"],
)
def test_object_with_a_sequence_number_and_endpoints_is_an_event(line, event):
    assert parse_line(line) == event


@pytest.mark.parametrize(
    "line",
    [
        b"",
        b"{",
        b"\xff\xfe",
        b'"text"',
        b"true",
        b"-1",
        b"1.5",
        b"[1]",
        b"{}",
        b'{"seq":"x"}',
        b'{"seq":true}',
    ],
    ids=repr,
)
def test_other_line_is_invalid(line):
    assert parse_line(line) is None


def test_line_that_is_nested_too_deeply_is_invalid():
    assert parse_line(b"[" * 100_000) is None


@pytest.mark.parametrize(
    ("endpoints", "is_snapshot"),
    [
        ({"complete": True, "members": [{}]}, True),
        ({"complete": True, "members": []}, False),
        ({"complete": 1, "members": [{}]}, False),
        ({"complete": False, "members": [{}]}, False),
        ({"members": [{}]}, False),
        (None, False),
    ],
)
def test_only_a_complete_list_with_members_is_a_snapshot(endpoints, is_snapshot):
    event = EndpointEvent(2, has_endpoints=True, endpoints=endpoints)

    assert event.is_snapshot is is_snapshot
