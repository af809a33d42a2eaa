"""Tests of circuit breakers: which failures open them, and which requests pass while they are open."""

from dataclasses import dataclass

import pytest
from helpers.decision_harness import DecisionHarness, actions_of

from function_router.decisions.actions import Action, LogMessage, SendRequest
from function_router.decisions.types import Outcome


@dataclass
class DelayedAnswers:
    """Requests whose answers are delayed, at a worker that replies to everything else."""

    harness: DecisionHarness
    worker_id: int
    sends: list[SendRequest]
    actions: list[Action]  # actions during the wait for the answers


def delay_answers(count):
    harness = DecisionHarness()
    warm_worker = harness.warm_up(concurrency=count)
    actions = []
    for number in range(1, count + 1):
        actions += harness.request(f"r{number}", concurrency=count)
    sends = actions_of(actions, SendRequest)
    assert [send.worker_id for send in sends] == [warm_worker] * count

    sent_ms = harness.now_ms
    actions_during_delay = []
    while harness.now_ms < sent_ms + 900:
        actions = harness.run_timer_until(harness.now_ms + 20)
        actions_during_delay += actions + harness.answer_probes(actions, {warm_worker: 1})
    return DelayedAnswers(harness, warm_worker, sends, actions_during_delay)


@pytest.fixture
def delayed_answers():
    return delay_answers(2)


def test_overdue_answers_open_the_breaker_of_their_class_only(delayed_answers):
    harness = delayed_answers.harness
    worker = harness.worker(delayed_answers.worker_id)

    actions = harness.answer_probes(harness.request("r3", concurrency=2), {worker.id: 1})

    assert not [
        message for message in actions_of(delayed_answers.actions, LogMessage) if "silent" in message.text
    ]
    assert worker.id not in [send.worker_id for send in actions_of(actions, SendRequest)]
    assert not harness.fleet.health.is_usable(worker, "idempotent", harness.now_ms)
    assert harness.fleet.health.is_usable(worker, "at-most-once", harness.now_ms)


def test_open_breaker_lets_one_trial_request_through(delayed_answers):
    harness = delayed_answers.harness
    worker = harness.worker(delayed_answers.worker_id)
    function = harness.function("f")
    harness.answer_probes(harness.request("r3", concurrency=2), {worker.id: 1})
    for send in delayed_answers.sends:
        harness.end_attempt(send, Outcome.CANCELLED, is_answered=True)
    harness.now_ms += 2000

    trials = actions_of(harness.report_instances(worker.id, 1), SendRequest)
    assert [(trial.request_id, trial.worker_id) for trial in trials] == [("r3", worker.id)]
    assert not harness.fleet.health.is_usable(worker, function.class_name, harness.now_ms)

    actions = harness.request("r4", concurrency=2)
    assert not actions_of(actions, SendRequest)


@pytest.mark.parametrize("count", [2, 3])
def test_late_answers_close_the_breaker(count):
    delayed_answers = delay_answers(count)
    harness = delayed_answers.harness
    assert harness.worker(delayed_answers.worker_id).breakers

    for send in delayed_answers.sends:
        harness.end_attempt(send)

    assert not harness.worker(delayed_answers.worker_id).breakers


@pytest.mark.parametrize("was_served", [True, False])
def test_errors_open_the_breaker_unless_the_function_was_never_served(was_served):
    harness = DecisionHarness()
    warm_worker = harness.warm_up(concurrency=4, class_name="at-most-once")
    worker = harness.worker(warm_worker)
    function = harness.function("f")
    if not was_served:
        function.run_times.clear()
    actions = harness.request("r1", class_name="at-most-once", concurrency=4)
    actions += harness.request("r2", class_name="at-most-once", concurrency=4)
    sends = actions_of(actions, SendRequest)

    for send in sends:
        harness.end_attempt(send, Outcome.ERROR, is_answered=False)

    assert len(sends) == 2
    is_usable = harness.fleet.health.is_usable(worker, function.class_name, harness.now_ms)
    assert is_usable is not was_served


def test_breaker_is_that_of_the_requests_class_and_not_of_the_functions_first_class():
    harness = DecisionHarness(workers=1)
    warm_worker = harness.warm_up(concurrency=4, class_name="at-most-once")
    actions = harness.request("r1", class_name="idempotent", concurrency=4)
    actions += harness.request("r2", class_name="idempotent", concurrency=4)
    sends = actions_of(actions, SendRequest)

    for send in sends:
        harness.end_attempt(send, Outcome.ERROR, is_answered=True)

    assert len(sends) == 2
    assert list(harness.worker(warm_worker).breakers) == ["idempotent"]


def test_success_counts_for_the_class_of_the_attempt_and_not_for_the_functions_newest_class():
    harness = DecisionHarness(workers=1)
    warm_worker = harness.warm_up(concurrency=4)
    actions = harness.request("r1", concurrency=4) + harness.request("r2", concurrency=4)
    failed, succeeded = actions_of(actions, SendRequest)
    harness.end_attempt(failed, Outcome.ERROR, is_answered=True)
    harness.request("r3", class_name="at-most-once", concurrency=4)
    breakers = harness.worker(warm_worker).breakers
    assert list(breakers) == ["idempotent"]

    harness.end_attempt(succeeded)

    assert not breakers
