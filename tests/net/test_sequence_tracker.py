"""Tests of `sequence_tracker`."""

import pytest

from function_router.net.sequence_tracker import InvalidLineResponse, SequenceTracker, SyncState


@pytest.fixture
def tracker():
    """A tracker at sequence number 5."""
    return SequenceTracker(5)


@pytest.mark.parametrize(("sequence", "is_applied"), [(4, True), (5, True), (6, False)])
def test_events_up_to_the_last_sequence_are_applied(tracker, sequence, is_applied):
    assert tracker.is_applied(sequence) is is_applied


@pytest.mark.parametrize(("sequence", "has_gap"), [(6, False), (7, True)])
def test_only_the_next_sequence_has_no_gap_before_it(tracker, sequence, has_gap):
    assert tracker.has_gap_before(sequence) is has_gap


@pytest.mark.parametrize(("sequence", "last_sequence"), [(3, 5), (9, 9)])
def test_advance_never_goes_back(tracker, sequence, last_sequence):
    tracker.advance_to(sequence)

    assert tracker.last_sequence == last_sequence


def test_invalid_line_is_requested_again_once_and_then_skipped(tracker):
    responses = [tracker.record_invalid_line() for _ in range(3)]

    assert responses == [
        InvalidLineResponse.REQUEST_AGAIN,
        InvalidLineResponse.SKIP,
        InvalidLineResponse.REQUEST_AGAIN,
    ]


def test_invalid_line_after_an_applied_event_is_requested_again(tracker):
    tracker.record_invalid_line()

    tracker.record_applied(6, is_after_gap=False)

    assert not tracker.awaits_repeat
    assert tracker.record_invalid_line() is InvalidLineResponse.REQUEST_AGAIN


def test_skipped_event_is_still_applied_if_it_arrives_late(tracker):
    tracker.skip_through(8, is_last_applied=True)

    assert tracker.position == 8
    assert not tracker.is_applied(7)
    assert not tracker.has_gap_before(9)


def test_announced_position_clears_skips_beyond_it(tracker):
    tracker.skip_through(8, is_last_applied=True)
    tracker.record_invalid_line()

    announcement = tracker.record_announcement(7, may_repeat_request=False)

    assert announcement is SyncState.EVENT_SKIPPED
    assert tracker.position == 7
    assert not tracker.awaits_repeat


def test_missing_events_are_requested_once_until_a_repeat_is_due(tracker):
    first = tracker.record_announcement(7, may_repeat_request=False)
    early = tracker.record_announcement(7, may_repeat_request=False)
    repeated = tracker.record_announcement(7, may_repeat_request=True)

    assert first is SyncState.EVENTS_MISSING
    assert early is SyncState.EVENTS_STILL_MISSING
    assert repeated is SyncState.EVENTS_MISSING


def test_requests_may_be_repeated_after_a_reset(tracker):
    tracker.record_announcement(7, may_repeat_request=False)
    tracker.record_invalid_line()

    tracker.reset_requests()

    assert tracker.record_announcement(7, may_repeat_request=False) is SyncState.EVENTS_MISSING
    assert tracker.record_invalid_line() is InvalidLineResponse.REQUEST_AGAIN


def test_snapshot_beyond_the_announced_sequence_is_revoked(tracker):
    tracker.record_applied(99, is_after_gap=True)

    announcement = tracker.record_announcement(6, may_repeat_request=False)

    assert announcement is SyncState.SNAPSHOT_REVOKED
    assert tracker.last_sequence == 5
    assert tracker.position == 5


def test_snapshot_confirmed_by_an_announcement_is_kept(tracker):
    tracker.record_applied(99, is_after_gap=True)

    confirmed = tracker.record_announcement(99, may_repeat_request=False)
    later = tracker.record_announcement(6, may_repeat_request=False)

    assert confirmed is SyncState.CAUGHT_UP
    assert later is SyncState.LOG_IS_BEHIND
    assert tracker.last_sequence == 99


def announce(tracker, sequence):
    return tracker.record_announcement(sequence, may_repeat_request=False)


def test_list_is_incomplete_after_an_unreadable_event_until_a_snapshot_is_applied(tracker):
    tracker.skip_through(6, is_last_applied=False)
    assert announce(tracker, 6) is SyncState.EVENT_SKIPPED
    tracker.record_applied(7)
    assert announce(tracker, 7) is SyncState.EVENT_SKIPPED

    tracker.record_applied(8, is_snapshot=True)

    assert announce(tracker, 8) is SyncState.CAUGHT_UP


@pytest.mark.parametrize(
    ("late_sequences", "state"),
    [
        ([], SyncState.EVENT_SKIPPED),
        ([6], SyncState.EVENT_SKIPPED),
        ([7], SyncState.EVENT_SKIPPED),
        ([6, 7], SyncState.CAUGHT_UP),
    ],
)
def test_list_is_incomplete_after_a_skipped_gap_until_all_its_events_arrive(tracker, late_sequences, state):
    # Guards against a lease on a list that lacks a drain because the log has left out its event twice.
    tracker.skip_through(8, is_last_applied=True)

    for sequence in late_sequences:
        tracker.record_applied(sequence)

    assert announce(tracker, 8) is state


def test_unreadable_event_that_can_be_read_later_completes_the_list(tracker):
    tracker.skip_through(6, is_last_applied=False)

    tracker.record_applied(6)

    assert announce(tracker, 6) is SyncState.CAUGHT_UP


def test_unreadable_line_beyond_the_end_of_the_log_was_no_event(tracker):
    tracker.skip_through(6, is_last_applied=False)

    assert announce(tracker, 5) is SyncState.CAUGHT_UP
    tracker.record_applied(6)
    assert announce(tracker, 6) is SyncState.CAUGHT_UP
