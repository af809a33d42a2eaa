"""Tests of `endpoint_log_lateness`: the log lines about late heartbeats."""

import pytest

from function_router.decisions.list_lease import HEARTBEAT_INTERVAL_MS
from function_router.net.endpoint_log_lateness import MIN_IN_TIME_MS, MIN_LATENESS_MS, EndpointLogLateness
from function_router.net.heartbeat_timeline import HeartbeatTimeline


class LateLog:
    """A timeline whose heartbeats arrive with a given lateness, and the lines that are logged about it."""

    def __init__(self):
        self.timeline = HeartbeatTimeline(0.0)
        self.lines = []
        self.withheld = 0
        self._lateness = EndpointLogLateness(lambda: self.withheld, self.lines.append)
        self._sent_ms = 0.0

    def send(self, *lateness_ms):
        """Send heartbeats that are late by these times."""
        for late_ms in lateness_ms:
            arrived_ms = self._sent_ms + late_ms
            self.timeline.record_heartbeat(arrived_ms)
            self._lateness.record_heartbeat(self.timeline, arrived_ms)
            self._sent_ms += HEARTBEAT_INTERVAL_MS


@pytest.fixture
def log():
    """A log whose first heartbeat is in time."""
    late_log = LateLog()
    late_log.send(0.0)
    return late_log


def test_lateness_is_logged_once_with_its_evidence(log):
    log.send(0.0, 400.0, 800.0, 1_200.0)

    assert log.lines == [
        "endpoint log is late: heartbeat 3 arrived 2400 ms after the request and may be 400 ms old"
    ]


def test_end_of_the_lateness_is_logged_with_its_extent(log):
    log.send(400.0, 800.0)
    log.withheld = 7
    log.send(*[0.0] * 6)

    [_, line] = log.lines
    assert line == (
        "endpoint log is in time again: was late for 4600 ms, by up to 800 ms; 7 requests withheld"
    )


def test_lateness_that_goes_up_and_down_is_logged_once(log):
    for _ in range(20):
        log.send(MIN_LATENESS_MS + 1.0, 0.0)

    assert len(log.lines) == 1
    log.send(*[0.0] * (round(MIN_IN_TIME_MS / HEARTBEAT_INTERVAL_MS) + 1))
    assert len(log.lines) == 2


def test_deviations_of_the_heartbeats_are_not_logged(log):
    log.send(20.0, 0.0, 50.0, MIN_LATENESS_MS - 1.0)

    assert log.lines == []
