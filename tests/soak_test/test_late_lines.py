"""Tests of the soak test's late lines: the courses of their lateness, and the writer that delays them."""

import asyncio
import math
import time

import pytest

from soak.late_lines import LatenessCourse, LatenessShape, LateWriter
from soak.plan import Fault, FaultKind

BEGAN_AT = 100.0
ENDS_AT = 110.0
MAX_S = 3.0
LATENESS_S = 0.1


def course(shape):
    return LatenessCourse(shape, BEGAN_AT, ENDS_AT, MAX_S)


@pytest.mark.parametrize("shape", LatenessShape)
def test_lateness_is_limited_in_time_and_extent(shape):
    lateness_s = [
        course(shape).lateness_s(at, connected_at)
        for at in (BEGAN_AT + 0.5 * step for step in range(20))
        for connected_at in (BEGAN_AT - 1.0, at)
    ]

    assert 0.0 < max(lateness_s) <= MAX_S
    assert min(lateness_s) >= 0.0
    assert course(shape).lateness_s(BEGAN_AT - 0.1, 0.0) == 0.0
    assert course(shape).lateness_s(ENDS_AT, ENDS_AT) == 0.0


@pytest.mark.parametrize(
    ("shape", "lateness_s"),
    [
        (LatenessShape.RISING, [0.4, 1.2, 2.0, 0.8]),
        (LatenessShape.STEPS, [0.9, 1.8, 2.7, 3.0]),
        (LatenessShape.JUMP, [3.0, 3.0, 3.0, 3.0]),
        (LatenessShape.UP_AND_DOWN, [1.0, 0.0, 2.0, 2.0]),
    ],
)
def test_lateness_follows_the_shape(shape, lateness_s):
    times = [BEGAN_AT + elapsed_s for elapsed_s in (1.0, 3.0, 5.0, 8.0)]

    assert [course(shape).lateness_s(at, 0.0) for at in times] == pytest.approx(lateness_s)


@pytest.mark.parametrize(
    ("shape", "connected_at"),
    [
        (LatenessShape.OPEN_CONNECTIONS, BEGAN_AT - 1.0),
        (LatenessShape.NEW_CONNECTIONS, BEGAN_AT + 1.0),
    ],
)
def test_course_of_some_connections_leaves_the_others_in_time(shape, connected_at):
    at = BEGAN_AT + 2.0
    other = 2 * BEGAN_AT - connected_at

    assert course(shape).lateness_s(at, connected_at) == MAX_S
    assert course(shape).lateness_s(at, other) == 0.0


def test_fault_selects_shape_and_extent_by_its_intensity():
    def course_of(intensity):
        fault = Fault(FaultKind.ENDPOINT_LOGS_LATE, 0.0, 2.0, [0], [0], intensity)
        return LatenessCourse.of_fault(fault)

    courses = [course_of((number + 0.5) / len(LatenessShape)) for number in range(len(LatenessShape))]

    assert [each.shape for each in courses] == list(LatenessShape)
    assert [each.ends_at - each.began_at for each in courses] == pytest.approx([10.0] * len(courses))
    assert courses[0].max_s == pytest.approx(4.65)


class RecordingWriter:
    """A writer that records when each line was written."""

    def __init__(self):
        self.lines = []

    def is_closing(self):
        """Return that the connection is open."""
        return False

    def write(self, line):
        """Record a line."""
        self.lines.append((line, time.monotonic()))


def always_late():
    return LatenessCourse(LatenessShape.JUMP, 0.0, math.inf, LATENESS_S)


def test_lines_arrive_late_and_in_order():
    async def scenario():
        courses = [always_late()]
        writer = RecordingWriter()
        late_writer = LateWriter(writer, lambda: courses[0])
        written_at = time.monotonic()
        late_writer.write(b"late")
        courses[0] = None
        late_writer.write(b"behind it")
        await asyncio.sleep(2 * LATENESS_S)
        late_writer.write(b"in time")
        return written_at, writer.lines

    written_at, lines = asyncio.run(scenario())

    assert [line for line, _ in lines] == [b"late", b"behind it", b"in time"]
    assert lines[0][1] - written_at >= LATENESS_S


def test_line_does_not_overtake_one_that_is_overdue():
    # Guards against a soak test whose own delay changes the order of events.
    async def scenario():
        courses = [always_late()]
        writer = RecordingWriter()
        late_writer = LateWriter(writer, lambda: courses[0])
        late_writer.write(b"late")
        courses[0] = None
        time.sleep(2 * LATENESS_S)  # the process is suspended
        late_writer.write(b"in time")
        await asyncio.sleep(LATENESS_S)
        return [line for line, _ in writer.lines]

    assert asyncio.run(scenario()) == [b"late", b"in time"]
