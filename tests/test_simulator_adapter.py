"""Tests of `function_router.simulator_adapter`, also as a process with pipes, and of the message codec."""

import json
import os
import subprocess
import sys
from pathlib import Path
from typing import get_args

import pytest

from function_router.decisions import actions, events
from function_router.decisions.types import Outcome, StartKind, WorkerState
from function_router.simulator_adapter import SimulatorAdapter

ROOT = Path(__file__).parent.parent
EXIT_TIMEOUT_S = 30
CONFIG = {
    "classes": [{"name": "score", "effect": "idempotent", "give_up": 2500.0, "promise": 1000.0}],
    "bounds": {"max_attempts": 6, "cancel": True, "unheard_of": 1},
    "family_info": {"may_order": True, "idle_life": 9000.0, "not_loaded": "miss"},
    "weight_source": "nominal",
    "unknown": {"deep": [1]},
}


def batch(now_ms, *router_messages):
    """Encode a batch from pairs of a router id and the messages for that router."""
    ends = [{"who": router_id, "inbox": messages} for router_id, messages in router_messages]
    return json.dumps({"wall": now_ms, "ends": ends})


def router_start(workers=(11, 12, 13)):
    """Build the messages that start a router with these workers."""
    entries = [
        {"worker": worker, "state": 1, "up_since": None, "stripe": 0, "units": 1} for worker in workers
    ]
    return [
        {"ATTACH": {"init_seed": 5, "config": CONFIG}},
        {"TARGETS": {"kind": 2, "serial": 1, "entries": entries, "extra": None}},
    ]


def request(request_id, function="fn:a", **more):
    """Build the message of a client's request."""
    body = {"tid": request_id, "service": "score", "fn": function, "time_budget": 2000.0, **more}
    return {"NEW_REQUEST": body}


def run_adapter(*lines, hash_seed="0", status=0):
    """Pass lines to an adapter process; return its replies and its standard error."""
    environment = {**os.environ, "PYTHONHASHSEED": hash_seed, "PYTHONPATH": str(ROOT)}
    process = subprocess.run(
        [sys.executable, "-m", "function_router.simulator_adapter"],
        input="".join(line + "\n" for line in lines),
        capture_output=True,
        check=False,
        text=True,
        env=environment,
        cwd=ROOT,
        timeout=EXIT_TIMEOUT_S,
    )
    assert process.returncode == status, process.stderr
    return [json.loads(line) for line in process.stdout.splitlines()], process.stderr


def traffic_batches(*router_ids):
    """Encode batches in which each router receives the same requests, which are for several functions."""
    lines = [batch(100.0, *((router_id, router_start()) for router_id in router_ids))]
    for number in range(30):
        function = f"fn:{number % 7}"
        messages = [request(f"t/{number}", function, load_ms=None, per_copy=2)]
        if number % 3 == 2:
            messages.append({"DEADLINE_HIT": {"handle": 0}})
        if number > 20:
            report = {"worker": 12, "fn": function, "ending": "GOOD", "how_many": 2, "took": 9.0}
            messages.append({"RESIDENT": report})
        lines.append(batch(110.0 + 20 * number, *((router_id, messages) for router_id in router_ids)))
    return lines


def messages_of(replies, router_id):
    """Return the messages of one router from each reply that has any of them."""
    return [end["steps"] for reply in replies for end in reply["ends"] if end["who"] == router_id]


def test_empty_batch_has_an_empty_reply_and_the_end_of_the_input_is_no_error():
    replies, _ = run_adapter(batch(1.0))

    assert replies == [{"ends": []}]


def test_request_is_sent_after_a_probe_and_not_sent_again_after_its_answer():
    lines = [batch(100.0, (3, [*router_start(), request("t/x")]))]

    first_messages = messages_of(run_adapter(*lines)[0], 3)[0]
    probes = [message["MOUNT"] for message in first_messages if "MOUNT" in message]

    assert probes
    assert all(probe["how_many"] == 0 and probe["fn"] == "fn:a" for probe in probes)

    worker_id = probes[0]["worker"]
    report = {"worker": worker_id, "fn": "fn:a", "ending": "GOOD", "how_many": 1, "took": 1.0}
    lines.append(batch(101.0, (3, [{"RESIDENT": report}])))

    second_messages = messages_of(run_adapter(*lines)[0], 3)[1]

    assert {"ATTEMPT": {"tid": "t/x", "worker": worker_id}} in second_messages

    ended = {"tid": "t/x", "ending": "GOOD", "took": 5.0, "ended": True, "try": 0, **report}
    lines.append(batch(106.0, (3, [{"RESOLVED": {**ended, "remark": None, "health_info": None}}])))

    later_messages = messages_of(run_adapter(*lines)[0], 3)[2:]

    assert not [messages for messages in later_messages if any("ATTEMPT" in message for message in messages)]


def test_actions_do_not_depend_on_the_hash_seed():
    first, _ = run_adapter(*traffic_batches(0), hash_seed="1")
    second, _ = run_adapter(*traffic_batches(0), hash_seed="2")

    assert first == second
    assert sum(len(messages) for messages in messages_of(first, 0)) > 30


def test_actions_do_not_depend_on_other_routers_in_the_process():
    alone, _ = run_adapter(*traffic_batches(1))
    shared, _ = run_adapter(*traffic_batches(0, 1, 2))

    assert messages_of(alone, 1) == messages_of(shared, 1)


def test_unusual_but_valid_messages_cause_no_exception():
    unusual = [
        {"TARGETS": {"kind": 3, "serial": 0, "entries": None}},
        {"TARGETS": {"kind": 1, "serial": 2, "entries": []}},
        {"HANGUP": {"tid": "t/none"}},
        {"RESOLVED": {"tid": "t/none", "ending": "CXL", "try": 4, "worker": 11, "ended": True}},
        {"RESIDENT": {"worker": 99, "fn": "fn:never", "ending": "GOOD", "how_many": 1}},
        {"PING_RESULT": {"worker": 99, "ending": "LATE"}},
        {"DEADLINE_HIT": {"handle": 9}},
        {"MEMO": {"author": 1, "contents": "00"}},
        {"NOVELTY": {"x": 1}},
        request("t/late", time_budget=0.0),
    ]

    replies, errors = run_adapter(
        batch(5.0, (0, [*router_start(), *unusual])),
        batch(6.0, (0, [])),
        batch(7.0, (9, unusual[2:3])),
    )

    assert not errors
    assert not any("EXCEPTION" in message for messages in messages_of(replies, 0) for message in messages)
    assert {"SAY_NO": {"tid": "t/late", "hold_off": 0.0}} in messages_of(replies, 0)[0]


def test_restarted_router_has_no_state_of_the_one_before():
    replies, _ = run_adapter(
        batch(1.0, (0, [*router_start(), request("t/a")])),
        batch(2.0, (0, [{"POWER_OFF": {}}, *router_start(), request("t/b")])),
        batch(2500.0, (0, [{"DEADLINE_HIT": {"handle": 0}}])),
    )

    assert not any("t/a" in json.dumps(messages) for messages in messages_of(replies, 0)[1:])


@pytest.mark.parametrize(
    ("line", "word"),
    [
        ("{", "JSON"),
        ("[]", "wall"),
        ('{"wall":1}', "ends"),
        ('{"wall":1,"ends":[{"who":1}]}', "inbox"),
        ('{"wall":1,"ends":[{"who":1,"inbox":[{"NEW_REQUEST":{}}]}]}', "NEW_REQUEST"),
        ('{"wall":1,"ends":[{"who":1,"inbox":[7]}]}', "event"),
    ],
)
def test_invalid_batch_ends_the_adapter_with_status_2_and_one_line(line, word):
    _, errors = run_adapter(line, status=2)

    assert word in errors
    assert len(errors.splitlines()) == 1


def test_exception_in_the_decision_module_is_reported_with_type_and_line():
    faulty = {"NEW_REQUEST": {"tid": "t/x", "service": "score", "fn": "fn:a", "time_budget": "soon"}}

    replies, _ = run_adapter(batch(1.0, (0, [*router_start(), faulty])))

    [[message]] = messages_of(replies, 0)
    assert "TypeError" in message["EXCEPTION"]["body_text"]
    assert "line" in message["EXCEPTION"]["body_text"]


class RecordingRouter:
    """A fake of the decision module that records events and returns the same actions each time."""

    def __init__(self, *actions):
        self.actions = actions
        self.events = []

    def handle(self, _now_ms, events):
        """Record the events and return the actions."""
        self.events += events
        return list(self.actions)


def adapter_with(router):
    """Create an adapter that hosts this router under the id 3."""
    adapter = SimulatorAdapter()
    adapter.routers[3] = router
    return adapter


# An action of each type, and the message to which it is encoded.
ENCODED_ACTIONS = [
    (actions.SendRequest("t/x", 11), {"ATTEMPT": {"tid": "t/x", "worker": 11}}),
    (actions.CancelAttempt("t/x", 2), {"STOP_ATTEMPT": {"tid": "t/x", "try": 2}}),
    (actions.RejectRequest("t/x", 250.0), {"SAY_NO": {"tid": "t/x", "hold_off": 250.0}}),
    (actions.FailRequest("t/x"), {"ERROR": {"tid": "t/x"}}),
    (actions.EnsureInstances(12, "fn:a", 3), {"MOUNT": {"worker": 12, "fn": "fn:a", "how_many": 3}}),
    (actions.CheckHealth(12, "fn:a"), {"POLL": {"worker": 12}}),
    (actions.NoteWithheld("t/x", 12), {"LOG": {"body_text": "t/x withheld from 12"}}),
    (actions.SetTimer(40.0, 7), {"NOTIFY_ME": {"sleep_for": 40.0, "handle": 7}}),
    (actions.LogMessage("two workers"), {"LOG": {"body_text": "two workers"}}),
]

# Messages that are events, and the events to which they are decoded.
DECODED_EVENTS = [
    (
        {"TARGETS": {"kind": 1, "entries": [{"worker": 11, "state": 2, "hall": "b", "up_since": 0}]}},
        events.EndpointsChanged([events.Endpoint(11, WorkerState.DRAINING, zone="b")], is_complete=True),
    ),
    (
        {"TARGETS": {"kind": 2, "entries": [{"worker": 11, "family_type": "gen-a", "stripe": 3}]}},
        events.EndpointsChanged([events.Endpoint(11, machine_kind="gen-a", cell=3)], is_complete=True),
    ),
    (
        {"TARGETS": {"kind": 0, "entries": [{"worker": 11, "units": 1.5, "up_since": 60.0}]}},
        events.EndpointsChanged([events.Endpoint(11, size=1.5, started_at_ms=60.0)], is_complete=False),
    ),
    (
        {
            "NEW_REQUEST": {
                "tid": "t/x",
                "fn": "fn:a",
                "service": "score",
                "billing": "acme",
                "time_budget": 240.0,
                "per_copy": 2,
                "mem_mb": 384,
                "load_ms": 90.0,
                "hint": 12.0,
                "bitmap": 5,
            }
        },
        events.RequestArrived(
            "t/x",
            "fn:a",
            "score",
            "acme",
            240.0,
            concurrency=2,
            memory_mb=384,
            expected_start_ms=90.0,
            expected_run_ms=12.0,
        ),
    ),
    (
        {"NEW_REQUEST": {"tid": "t/x", "hint": 12.0, "bitmap": 4, "billing": 0}},
        events.RequestArrived("t/x", "", "", "", 0.0),
    ),
    ({"HANGUP": {"tid": "t/x"}}, events.RequestCancelled("t/x")),
    (
        {
            "RESOLVED": {
                "tid": "t/x",
                "try": 1,
                "worker": 11,
                "ending": "GOOD",
                "took": 18.5,
                "ended": True,
                "remark": 8 * 5 + 2,
                "health_info": {"x0": 0.5},
            }
        },
        events.AttemptEnded(
            "t/x",
            1,
            11,
            Outcome.OK,
            18.5,
            is_answered=True,
            start_kind=StartKind.COLD_START,
            in_flight=5,
            load_report={"x0": 0.5},
        ),
    ),
    (
        {"RESOLVED": {"tid": "t/x", "ending": "RST"}},
        events.AttemptEnded("t/x", 0, 0, Outcome.RESET, 0.0, is_answered=False),
    ),
    (
        {"RESIDENT": {"worker": 11, "fn": "fn:a", "ending": "LATE", "how_many": 2, "took": 9.0}},
        events.InstancesReported(11, "fn:a", Outcome.TIMEOUT, 2, 9.0),
    ),
    ({"DEADLINE_HIT": {"handle": 7}}, events.TimerFired(7)),
]


@pytest.mark.parametrize(("action", "message"), ENCODED_ACTIONS)
def test_action_is_encoded_as_its_message(action, message):
    adapter = adapter_with(RecordingRouter(action))

    reply = adapter.answer(batch(1.0, (3, [{"DEADLINE_HIT": {"handle": 0}}])))

    assert json.loads(reply) == {"ends": [{"who": 3, "steps": [message]}]}


def test_each_action_has_a_case_above():
    assert {type(action) for action, _ in ENCODED_ACTIONS} == set(get_args(actions.Action))


@pytest.mark.parametrize(("message", "event"), DECODED_EVENTS)
def test_message_is_decoded_as_its_event(message, event):
    router = RecordingRouter()

    adapter_with(router).answer(batch(1.0, (3, [message])))

    assert router.events == [event]


def test_each_event_but_those_of_the_network_has_a_case_above():
    events_of_the_network = {
        events.DrainStarted,
        events.EndpointListConfirmed,
        events.EndpointListInterrupted,
        events.HealthChecked,
    }

    assert {type(event) for _, event in DECODED_EVENTS} == set(get_args(events.Event)) - events_of_the_network


def test_unavailable_endpoint_list_causes_no_event():
    router = RecordingRouter()

    adapter_with(router).answer(batch(1.0, (3, [{"TARGETS": {"kind": 3, "entries": None}}])))

    assert router.events == []
