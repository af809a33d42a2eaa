"""The messages of the endpoint log; each is a line of JSON with an event or an announcement."""

import msgspec
from msgspec import Struct

SEQUENCE_FIELD = "seq"
ENDPOINTS_FIELD = "fleet"
IS_COMPLETE_FIELD = "complete"
MEMBERS_FIELD = "members"


class SequenceAnnouncement(Struct, frozen=True):
    """An announcement of the sequence number of the last event in the log, which is also the heartbeat.

    The line has only the number, or an object with the number and no endpoint list.
    """

    sequence: int


class EndpointEvent(Struct, frozen=True):
    """An event of the endpoint log; its endpoint list is validated only when the event is applied."""

    sequence: int
    has_endpoints: bool  # an initial event without endpoints only has a sequence number
    endpoints: object = None  # the endpoint list as decoded from JSON

    @classmethod
    def from_json(cls, decoded: object) -> "EndpointEvent | None":
        """Return the event in decoded JSON; None if the JSON is not an event."""
        if not isinstance(decoded, dict):
            return None
        sequence = _sequence_number(decoded.get(SEQUENCE_FIELD))
        if sequence is None:
            return None
        return cls(sequence, ENDPOINTS_FIELD in decoded, decoded.get(ENDPOINTS_FIELD))

    @property
    def is_snapshot(self) -> bool:
        """Whether the event has the complete list, which replaces all earlier events."""
        endpoints = self.endpoints
        if not isinstance(endpoints, dict):
            return False
        return endpoints.get(IS_COMPLETE_FIELD) is True and bool(endpoints.get(MEMBERS_FIELD))


def parse_line(line: bytes) -> SequenceAnnouncement | EndpointEvent | None:
    """Return the message on a line; None if the line is invalid."""
    try:
        decoded: object = msgspec.json.decode(line)
    except (msgspec.DecodeError, RecursionError):
        return None
    announced = _sequence_number(decoded)
    if announced is not None:
        return SequenceAnnouncement(announced)
    event = EndpointEvent.from_json(decoded)
    if event is not None and not event.has_endpoints:
        return SequenceAnnouncement(event.sequence)
    return event


def _sequence_number(value: object) -> int | None:
    if isinstance(value, int) and not isinstance(value, bool) and value >= 0:
        return value
    return None
