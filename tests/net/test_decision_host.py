"""Tests of `decision_host`: performing the actions of the decision module, and its exceptions."""

from typing import get_args
from unittest import mock

import pytest
from helpers.sockets import wait_readable

from function_router.decisions import actions
from function_router.decisions.events import TimerFired
from function_router.net.decision_host import RECOVERY_TIMER_MS, RECOVERY_TIMER_TOKEN
from function_router.net.event_loop import READ
from function_router.net.request_table import RequestTable
from function_router.net.timer_wheel import TimerWheel

# One of each action that the request table performs, and the method that performs it.
TABLE_ACTIONS = [
    (actions.SendRequest("r1", 11), "send"),
    (actions.CancelAttempt("r1", 0), "cancel_attempt"),
    (actions.RejectRequest("r1", 250.0), "reject"),
    (actions.FailRequest("r1"), "fail"),
    (actions.EnsureInstances(11, "fn:a", 1), "ensure_instances"),
    (actions.CheckHealth(11, "fn:a"), "check_health"),
    (actions.NoteWithheld("r1", 11), "note_withheld"),
]


def handle_with_actions(harness, *decided):
    """Run a turn of the event loop in which the decision module returns these actions."""
    process = harness.router_process
    with mock.patch.object(process.router, "handle", return_value=list(decided)):
        process.loop.submit(TimerFired(1))
        process.loop.run_once(0)


def events_of(handle):
    """Return all events with which a mock of `Router.handle` was called."""
    return [event for call in handle.call_args_list for event in call.args[1]]


# --- actions


def test_each_action_has_a_case_in_this_file():
    handled_by_the_loop_or_log = {actions.SetTimer, actions.LogMessage}

    tested = {type(action) for action, _ in TABLE_ACTIONS} | handled_by_the_loop_or_log

    assert tested == set(get_args(actions.Action))


@pytest.mark.parametrize(("action", "method"), TABLE_ACTIONS, ids=lambda value: str(value)[:16])
def test_action_is_carried_out_by_the_request_table(harness, action, method):
    with mock.patch.object(RequestTable, method) as carry_out:
        handle_with_actions(harness, action)

    carry_out.assert_called_once_with(action)


def test_timer_event_is_submitted_after_its_delay(harness):
    process = harness.router_process

    handle_with_actions(harness, actions.SetTimer(delay_ms=1.0, token=7))
    with mock.patch.object(process.router, "handle", return_value=[]) as handle:
        harness.run_until(lambda: TimerFired(7) in events_of(handle), "the timer fires")

    assert events_of(handle).count(TimerFired(7)) == 1


def test_log_message_is_logged(harness):
    handle_with_actions(harness, actions.LogMessage("two workers"))

    assert harness.log_lines.count("two workers") == 1


# --- exceptions


def test_exception_in_an_action_does_not_affect_other_actions(harness):
    with mock.patch.object(RequestTable, "send", side_effect=OSError):
        handle_with_actions(harness, actions.SendRequest("r1", 11), actions.LogMessage("after"))
    harness.round_trip(harness.connect_client())

    assert harness.log_lines.count("after") == 1
    assert any("unhandled exception" in line for line in harness.log_lines)


def test_recovery_timer_replaces_a_timer_lost_to_an_exception(harness):
    process = harness.router_process

    with (
        mock.patch.object(process.router, "handle", side_effect=KeyError),
        mock.patch.object(TimerWheel, "call_later") as call_later,
    ):
        process.loop.submit(TimerFired(1))
        process.loop.run_once(0)
    [fire] = [call.args[1] for call in call_later.call_args_list if call.args[0] == RECOVERY_TIMER_MS]
    with mock.patch.object(process.router, "handle", return_value=[]) as handle:
        fire()
        process.loop.run_once(0)

    assert TimerFired(RECOVERY_TIMER_TOKEN) in events_of(handle)
    assert any("unhandled exception in the decision module" in line for line in harness.log_lines)


def test_actions_decided_before_an_exception_are_carried_out(harness, worker, client):
    process = harness.router_process
    client.send_request()
    harness.run_until(lambda: worker.requests, "the first request runs")
    worker.answer(worker.requests[0])
    harness.run_until(lambda: 1 in client.answer_kinds(), "the first request is answered")
    process.router._handlers[TimerFired] = mock.Mock(side_effect=KeyError)

    client.send_request(call="ee" * 8)
    [client_connection] = process.listener.connections
    assert wait_readable(client_connection.connection._sock)
    client_connection.connection._on_ready(READ)
    process.loop.input.run_turn()
    process.loop.submit(TimerFired(1))  # in the same batch as the request, and after it
    harness.run_until(lambda: len(worker.requests) == 2, "the second request runs")

    assert any("the decision module" in line for line in harness.log_lines)
