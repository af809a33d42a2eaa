"""Tests of `endpoint_list_status`, and of the lines of the endpoint log that confirm the list."""

from unittest import mock

import pytest
from helpers.configuration import endpoint_event

from function_router.net import endpoint_log_client

GRACE_MS = 300.0


@pytest.fixture
def harness(start_router, worker):
    """A router whose endpoint list has never been confirmed, and whose lease on the list is short."""
    return start_router(worker, settings={"invariants": {"drain_grace": GRACE_MS}}, is_list_confirmed=False)


def is_current(harness):
    process = harness.router_process
    return process.router.is_endpoint_list_current(process.loop.clock.now_ms())


def wait_until_stale(harness):
    harness.run_until(lambda: not is_current(harness), "the list is out of date")


def confirm(harness):
    harness.endpoint_log.send_line({"seq": 1})
    harness.run_until(lambda: is_current(harness), "the list is current")


def lines_on_the_list(harness):
    return [line for line in harness.log_lines if line.startswith("endpoint list")]


# --- lines that confirm the list


@pytest.mark.parametrize("heartbeat", [b"1", b'{"seq":1}'])
def test_heartbeat_with_the_last_number_confirms_the_list(harness, heartbeat):
    wait_until_stale(harness)

    harness.endpoint_log.send_line(heartbeat)

    harness.run_until(lambda: is_current(harness), "the list is current")


@pytest.mark.parametrize(
    "line",
    [
        pytest.param(b"0", id="old number"),
        pytest.param(b"9", id="number ahead"),
        pytest.param(b"{", id="invalid"),
        pytest.param(b"", id="empty"),
    ],
)
def test_other_line_does_not_confirm_the_list(harness, line):
    wait_until_stale(harness)

    harness.endpoint_log.send_line(line)
    harness.round_trip(harness.connect_client())

    assert not is_current(harness)


UNREADABLE_EVENT = b'{"seq":2,"fleet":5}'


def skip_unreadable_event(harness):
    """Have the log send an unreadable event, repeat it on request, and then announce its number.

    The first copy of the event leads to a second request to the log. The second copy, on the connection of
    that request, is skipped and leads to no other request.
    """
    harness.endpoint_log.send_line(UNREADABLE_EVENT)
    harness.run_until(lambda: len(harness.endpoint_log.requests()) == 2, "the log is requested again")
    harness.endpoint_log.send_line(UNREADABLE_EVENT)
    harness.endpoint_log.send_line(b"2")
    harness.run_until(
        lambda: any("skipped events" in line for line in harness.log_lines), "the event is skipped"
    )
    harness.round_trip(harness.connect_client())
    assert len(harness.endpoint_log.requests()) == 2


def test_list_is_not_confirmed_after_an_unreadable_event_was_skipped(harness):
    wait_until_stale(harness)

    skip_unreadable_event(harness)

    assert not is_current(harness)


def test_complete_list_replaces_an_unreadable_event(harness, worker):
    wait_until_stale(harness)
    skip_unreadable_event(harness)

    harness.endpoint_log.send_line(endpoint_event(3, worker.record(), complete=True))
    harness.endpoint_log.send_line(b"3")

    harness.run_until(lambda: is_current(harness), "the list is current")


def test_invalid_line_that_is_not_an_event_does_not_prevent_a_confirmation(harness):
    wait_until_stale(harness)
    harness.endpoint_log.send_line(b"noise")
    harness.run_until(lambda: len(harness.endpoint_log.requests()) == 2, "the log is requested again")

    harness.endpoint_log.send_line(b"noise")
    harness.endpoint_log.send_line(b"1")

    harness.run_until(lambda: is_current(harness), "the list is current")


def test_event_does_not_confirm_the_list_but_the_heartbeat_after_it_does(harness):
    wait_until_stale(harness)
    harness.endpoint_log.send_line(endpoint_event(2))
    watch = harness.router_process.endpoint_watch
    harness.run_until(lambda: watch.last_sequence == 2, "the event is applied")
    assert not is_current(harness)

    harness.endpoint_log.send_line(b"2")

    harness.run_until(lambda: is_current(harness), "the list is current")


def test_heartbeat_of_a_delayed_log_does_not_confirm_the_list(harness):
    wait_until_stale(harness)

    with mock.patch.object(endpoint_log_client, "MAX_FIRST_LINE_DELAY_MS", -1_000.0):
        harness.endpoint_log.send_line(b"1")
        client = harness.router_process.endpoint_watch.client
        harness.run_until(lambda: client.is_delayed, "the log counts as delayed")
        harness.round_trip(harness.connect_client())

    assert not is_current(harness)


def test_delayed_log_is_requested_again_later(harness):
    client = harness.router_process.endpoint_watch.client
    with mock.patch.object(endpoint_log_client, "MAX_FIRST_LINE_DELAY_MS", -1_000.0):
        harness.endpoint_log.send_line(b"1")
        harness.run_until(lambda: client.is_delayed, "the log counts as delayed")

    with mock.patch.object(endpoint_log_client, "DELAYED_LOG_RETRY_MS", 0.0):
        harness.run_until(lambda: len(harness.endpoint_log.requests()) == 2, "the log is requested again")
    assert not client.is_delayed


def test_confirmation_counts_as_of_the_poll_before_it(harness):
    """A process that was suspended may read a heartbeat that arrived long before."""
    loop = harness.router_process.loop
    harness.round_trip(harness.connect_client())
    previous_poll_ms = loop.previous_poll_ms

    with mock.patch.object(type(loop), "submit") as submit:
        loop.previous_poll_ms -= 5_000.0
        harness.router_process.endpoint_list_status.on_confirmed()

    [confirmed] = submit.call_args.args
    assert abs(confirmed.as_of_ms - loop.clock.from_monotonic_ms(previous_poll_ms - 5_000.0)) < 1.0


# --- log lines


def test_stale_list_is_logged_once_and_so_is_its_recovery(harness):
    confirm(harness)
    harness.endpoint_log.connections[-1].sock.close()
    harness.endpoint_log.close()
    wait_until_stale(harness)
    harness.run_until(lambda: lines_on_the_list(harness), "the stale list is logged")
    status = harness.router_process.endpoint_list_status
    status.check()

    status.on_confirmed()
    harness.run_until(lambda: len(lines_on_the_list(harness)) > 1, "the recovery is logged")

    stale_line, current_line = lines_on_the_list(harness)
    assert stale_line.startswith("endpoint list is out of date: last confirmed ")
    assert stale_line.endswith(" ms ago, at event 1")
    assert current_line == "endpoint list is current again, at event 1"
