"""Tests of `input_scheduler`: the limit of a turn, and the order in which sources are served."""

import pytest

from function_router.net.input_scheduler import (
    MAX_MESSAGES_PER_TURN,
    MAX_TURNS_BEHIND_NEW,
    QUANTUM,
    InputScheduler,
)


class FakeSource:
    """A source with numbered messages, which records in a common log when one is handled."""

    def __init__(self, name, count, handled):
        self.name = name
        self.left = count
        self._handled = handled

    def has_input(self):
        """Return whether messages are left."""
        return self.left > 0

    def handle_input(self, max_messages):
        """Handle messages."""
        count = min(max_messages, self.left)
        self.left -= count
        self._handled += [self.name] * count
        return count


class FailingSource(FakeSource):
    """A source that raises an exception whenever it is served."""

    def handle_input(self, _max_messages):
        """Fail."""
        raise KeyError(self.name)


@pytest.fixture
def errors():
    return []


@pytest.fixture
def scheduler(errors):
    return InputScheduler(errors.append)


@pytest.fixture
def handled():
    """The names of the sources whose messages were handled, in order."""
    return []


def test_turn_handles_a_limited_number_of_messages_and_keeps_the_rest(scheduler, handled):
    bulk = FakeSource("bulk", 3 * MAX_MESSAGES_PER_TURN, handled)
    scheduler.add(bulk)

    counts = [scheduler.run_turn() for _ in range(4)]

    assert counts == [MAX_MESSAGES_PER_TURN] * 3 + [0]
    assert not scheduler.has_input()


def test_new_source_is_served_before_those_that_had_their_share(scheduler, handled):
    for number in range(100):
        scheduler.add(FakeSource(f"bulk {number}", 1000, handled))
    while len(set(handled)) < 100:
        scheduler.run_turn()
    handled.clear()

    scheduler.add(FakeSource("new", 1, handled))
    scheduler.run_turn()

    assert handled[0] == "new"


def test_each_source_with_input_is_served_once_a_round(scheduler, handled):
    names = [f"bulk {number}" for number in range(100)]
    for name in names:
        scheduler.add(FakeSource(name, 1000, handled))

    while len(handled) < 3 * QUANTUM * len(names):
        scheduler.run_turn()

    assert {handled[: 3 * QUANTUM * len(names)].count(name) for name in names} == {3 * QUANTUM}


def test_source_that_gets_input_again_and_again_does_not_overtake_the_others(scheduler, handled):
    trickling = FakeSource("trickling", 1, handled)
    for number in range(100):
        scheduler.add(FakeSource(f"bulk {number}", 1000, handled))
    while len(set(handled)) < 100:
        scheduler.run_turn()
    scheduler.add(trickling)
    scheduler.run_turn()
    handled.clear()

    trickling.left = 1
    scheduler.add(trickling)
    scheduler.run_turn()

    assert "trickling" not in handled


def test_removed_source_is_not_served(scheduler, handled):
    removed = FakeSource("removed", 1, handled)
    scheduler.add(removed)

    scheduler.discard(removed)

    assert (scheduler.run_turn(), scheduler.has_input(), handled) == (0, False, [])


def test_exception_in_a_source_does_not_affect_the_others(scheduler, handled, errors):
    failing = FailingSource("failing", 1, handled)
    scheduler.add(failing)
    scheduler.add(FakeSource("other", 1, handled))

    scheduler.run_turn()

    assert handled == ["other"]
    assert set(errors) == {"an input source"}


# Guards against clients that open and close connections at full speed, each of which was new and went first.
def test_source_that_was_served_before_has_its_turn_beside_ever_new_ones(scheduler, handled):
    usual = FakeSource("usual", 1, handled)
    scheduler.add(usual)
    scheduler.run_turn()
    usual.left = 4

    turns = 0
    while usual.left and turns < 100:
        for number in range(MAX_MESSAGES_PER_TURN):
            scheduler.add(FakeSource(f"new {turns} {number}", 32, handled))
        scheduler.add(usual)
        scheduler.run_turn()
        turns += 1

    assert turns <= 2 * (MAX_TURNS_BEHIND_NEW + 1)  # two messages each time
