"""Tests of `turn_times`: the parts of a turn, its description, and the longest turn."""

import pytest

from function_router.net import turn_times
from function_router.net.turn_times import TurnPart, TurnTimes


@pytest.fixture
def clock(monkeypatch):
    """A clock that only the test advances: a list with the time in milliseconds."""
    now_ms = [1000.0]
    monkeypatch.setattr(turn_times, "monotonic_ms", lambda: now_ms[0])
    return now_ms


def run_turn(times, clock, decisions_ms):
    """Run a turn with two parts, and return its times."""
    times.start_turn()
    clock[0] += 2.0
    times.end_part(TurnPart.READ, 7)
    clock[0] += decisions_ms
    times.end_part(TurnPart.DECISIONS, 64)
    return times.end_turn()


def test_description_names_the_longest_part_first(clock):
    turn = run_turn(TurnTimes(), clock, decisions_ms=90.0)

    assert turn.describe() == "92 ms: decisions 90 ms for 64; read 2 ms for 7"


def test_parts_of_less_than_a_millisecond_are_left_out(clock):
    turn = run_turn(TurnTimes(), clock, decisions_ms=0.4)

    assert turn.describe() == "2 ms: read 2 ms for 7"


def test_longest_turn_is_kept_until_it_is_taken(clock):
    times = TurnTimes()
    for decisions_ms in (5.0, 90.0, 10.0):
        run_turn(times, clock, decisions_ms)

    longest = times.take_longest()

    assert longest.took_ms == 92.0
    assert times.take_longest() is None
