"""The decision module, driven by events."""

from decision_harness import DecisionHarness, of
from msgspec import structs

from function_router.decisions.actions import (
    EnsureInstances,
    FailRequest,
    LogMessage,
    RejectRequest,
    SendRequest,
)
from function_router.decisions.events import Endpoint, EndpointsChanged, RequestCancelled, TimerFired
from function_router.decisions.router import MAX_FUNCTIONS
from function_router.decisions.state import Function
from function_router.decisions.types import Outcome, StartKind, WorkerState

# --- the ordinary path ---------------------------------------------------------------------


def test_unknown_function_is_asked_after_then_loaded_once():
    d = DecisionHarness()
    asks = of(d.ask("r1"), EnsureInstances)
    assert asks and all(ask.instances == 0 for ask in asks)
    loads = of(d.answer_asks(asks), EnsureInstances)
    assert [load.instances for load in loads] == [1]
    assert not of(d.sweep(280), EnsureInstances)
    assert [s.worker_id for s in of(d.count(loads[0].worker_id, 1), SendRequest)] == [loads[0].worker_id]


def test_a_copy_found_by_asking_spares_the_load():
    d = DecisionHarness()
    asks = of(d.ask("r1"), EnsureInstances)
    actions = d.answer_asks(asks, {asks[2].worker_id: 1})
    assert [send.worker_id for send in of(actions, SendRequest)] == [asks[2].worker_id]
    assert not of(actions, EnsureInstances) or all(
        load.instances == 0 for load in of(actions, EnsureInstances)
    )


def test_unanswered_questions_hold_a_load_up_for_a_moment_only():
    d = DecisionHarness()
    d.ask("r1")
    assert [hold.instances for hold in of(d.sweep(40), EnsureInstances)] == [1]


def test_race_is_won_by_the_lane():
    d = DecisionHarness()
    home = d.warm()
    [first] = of(d.ask("r1"), SendRequest)
    race = of(d.ask("r2"), EnsureInstances)
    assert first.worker_id == home and [load.instances for load in race] == [1]
    d.now += 50
    assert [s.request_id for s in of(d.end(first), SendRequest)] == ["r2"]


def test_race_is_won_by_the_load():
    d = DecisionHarness()
    home = d.warm()
    d.ask("r1")
    [load] = of(d.ask("r2"), EnsureInstances)
    d.now += 300
    [send] = of(d.count(load.worker_id, 1), SendRequest)
    assert send.request_id == "r2" and send.worker_id == load.worker_id != home


def test_lanes_of_pending_loads_count_against_the_need():
    d = DecisionHarness()
    d.warm(lanes=2)
    d.ask("r1", lanes=2)
    d.ask("r2", lanes=2)
    loads = of(d.ask("r3", lanes=2), EnsureInstances)
    assert len(loads) == 1
    assert not of(d.ask("r4", lanes=2), EnsureInstances)
    assert len(of(d.ask("r5", lanes=2), EnsureInstances)) == 1


def test_switch_goes_off_when_a_raced_load_idles_longer_than_a_run_and_on_when_waits_exceed_a_load():
    d = DecisionHarness()
    home = d.warm(load_ms=200)
    [first] = of(d.ask("r1"), SendRequest)
    [load] = of(d.ask("r2"), EnsureInstances)
    d.end(first)
    d.now += 20
    d.count(load.worker_id, 1)
    d.now += 150  # the raced copy idles for longer than the run of 100 ms
    worker = d.router.workers[load.worker_id]
    worker.endpoint = structs.replace(worker.endpoint, state=WorkerState.DRAINING)  # and is out of reach
    actions = d.ask("r3")
    assert not [hold for hold in of(actions, EnsureInstances) if hold.instances]
    waited = d.now
    held = [h for h in of(d.sweep(waited + 190), EnsureInstances) if h.instances]
    assert not held  # Tp is 200 ms
    d.count(home, 1)  # a sign of life
    assert [h for h in of(d.sweep(waited + 260), EnsureInstances) if h.instances]


def test_ever_new_functions_are_forgotten_but_not_those_in_use():
    d = DecisionHarness()
    d.warm("kept")
    [send] = of(d.ask("r1", "kept"), SendRequest)
    d.ask("r2", "held")
    for n in range(3 * MAX_FUNCTIONS):
        d.now += 0.01
        for action in of(d.ask(f"n{n}", f"f{n}"), EnsureInstances):
            d.count(action.worker_id, 0, action.function, Outcome.QUEUE_FULL)
        d.feed(RequestCancelled(f"n{n}"))
    assert len(d.router.functions) <= MAX_FUNCTIONS and {"kept", "held"} <= d.router.functions.keys()
    d.end(send)


def test_workers_long_gone_and_functions_not_called_are_forgotten():
    d = DecisionHarness()
    _, home = d.warm("g"), d.warm()
    [send] = of(d.ask("r1"), SendRequest)
    d.feed(EndpointsChanged([Endpoint(home, WorkerState.REMOVED)], is_complete=False))
    for _ in range(2):
        for _ in range(100):
            d.now += 1000
            d.feed(TimerFired(0))
        known = home in d.router.workers
        assert known is bool(d.router.attempts)  # as long as an attempt is out there
        if known:
            d.end(send, Outcome.RESET)
    assert "g" not in d.router.functions and len(d.router.workers) == 3
    assert not [fn for fn in d.router.functions.values() if home in fn.pools]


def test_same_home_at_all_front_ends():
    assert DecisionHarness().warm() == DecisionHarness().warm()


def test_miss_takes_the_belief_away_and_loads_again():
    d = DecisionHarness()
    home = d.warm()
    [send] = of(d.ask("r1"), SendRequest)
    actions = d.end(send, Outcome.NOT_LOADED, closed=False)
    assert send.worker_id == home and not of(actions, SendRequest)
    assert [
        hold.instances for hold in of(actions + d.sweep(d.now + 40), EnsureInstances) if hold.instances
    ] == [1]


def test_belief_ends_with_an_unused_keep_alive():
    d = DecisionHarness(keep_alive_ms=5000.0)
    d.warm()
    d.now += 5001
    assert len(of(d.ask("r1"), EnsureInstances)) > 1  # a survey, not a question to the old home


def test_bound_moves_requests_on():
    d = DecisionHarness(workers=4)
    home = d.warm(lanes=16)
    other = next(n for n in (1, 2, 3, 4) if n != home)
    d.count(other, 1)
    sends = [of(d.ask(f"r{n}", lanes=16), SendRequest)[0].worker_id for n in range(6)]
    assert sends[0] == home and other in sends


# --- rule 1: one final answer --------------------------------------------------------------


def test_held_request_gets_its_final_answer_before_the_client_leaves():
    d = DecisionHarness(workers=0)
    d.ask("r1", budget=500.0)
    d.sweep(600)
    finals = [(now, a) for now, a in d.log if isinstance(a, RejectRequest | FailRequest)]
    assert [a.request_id for _, a in finals] == ["r1"] and 400 <= finals[0][0] <= 480


def test_what_is_late_and_was_never_sent_is_given_up_before_half_its_time_with_advice():
    d = DecisionHarness(workers=0, max_retry_after_ms=900.0)
    d.ask("r1", budget=2500.0)
    d.sweep(2500)
    [(at, refusal)] = [(now, a) for now, a in d.log if isinstance(a, RejectRequest | FailRequest)]
    assert 600 < at < 1250 and refusal == RejectRequest("r1", 900.0)


def test_what_may_still_be_on_time_is_held_beyond_half_its_time():
    d = DecisionHarness(workers=0)
    d.ask("r1", budget=700.0)
    assert not of(d.sweep(560), RejectRequest) and of(d.sweep(700), RejectRequest)


def test_no_time_left_is_answered_at_once():
    d = DecisionHarness()
    actions = d.ask("r1", budget=0.0)
    assert [a.request_id for a in of(actions, RejectRequest)] == ["r1"] and not of(actions, SendRequest)


def test_nothing_follows_a_final_answer():
    d = DecisionHarness()
    d.warm()
    [send] = of(d.ask("r1"), SendRequest)
    d.feed(RequestCancelled("r1"))
    later = d.end(send, Outcome.CANCELLED, closed=True) + d.sweep(d.now + 3000)
    assert not of(later, SendRequest) and not of(later, RejectRequest) and not of(later, FailRequest)


# --- rule 2: no effect twice ---------------------------------------------------------------


def test_unsafe_request_is_not_repeated_nor_refused_once_it_may_have_run():
    d = DecisionHarness()
    d.warm(spec="unsafe")
    [send] = of(d.ask("r1", spec="unsafe", budget=4000.0), SendRequest)
    actions = d.end(send, Outcome.ERROR, closed=False)
    assert not of(actions, SendRequest) and not of(actions, RejectRequest)
    assert [a.request_id for a in of(actions, FailRequest)] == ["r1"]


def test_unsafe_request_is_repeated_after_proof():
    d = DecisionHarness()
    home = d.warm(spec="unsafe")
    other = next(n for n in (1, 2, 3, 4) if n != home)
    d.count(other, 1)
    [send] = of(d.ask("r1", spec="unsafe", budget=4000.0), SendRequest)
    assert send.request_id in [
        a.request_id for a in of(d.end(send, Outcome.QUEUE_FULL, closed=False), SendRequest)
    ]


def keyed_retry(after):
    d = DecisionHarness(workers=4, zones=("a", "b"))
    d.ask("r1", spec="keyed", budget=4000.0)
    for worker in (1, 2, 3, 4):
        d.count(worker, 1)
    send = next(action for _, action in reversed(d.log) if isinstance(action, SendRequest))
    d.sweep(d.now + after)
    for worker in (1, 2, 3, 4):
        d.count(worker, 1)
    return send, d.end(send, Outcome.ERROR, closed=False), d


def test_keyed_repeat_stays_in_its_group():
    send, actions, _ = keyed_retry(after=100)
    [again] = of(actions, SendRequest)
    assert again.worker_id != send.worker_id and again.worker_id % 2 == send.worker_id % 2


def test_keyed_repeat_ends_with_the_window():
    _, actions, d = keyed_retry(after=2410)
    actions += d.sweep(4000)
    assert (
        not of(actions, SendRequest) and not of(actions, RejectRequest) and len(of(actions, FailRequest)) == 1
    )


# --- rule 3: drains ------------------------------------------------------------------------


def test_nothing_new_to_a_draining_or_gone_worker():
    for state in (WorkerState.DRAINING, WorkerState.REMOVED):
        d = DecisionHarness()
        home = d.warm()
        d.feed(EndpointsChanged([Endpoint(home, state)], is_complete=False))
        actions = d.ask("r1")
        actions += d.answer_asks(actions)
        actions += d.sweep(d.now + 100)
        assert not [a for a in of(actions, SendRequest) if a.worker_id == home]
        assert not [a for a in of(actions, EnsureInstances) if a.worker_id == home and a.instances]
        assert [a for a in of(actions, EnsureInstances) if a.instances]


# --- rule 4: cold workers ------------------------------------------------------------------


def test_cold_worker_gets_no_more_than_its_budget_in_any_window():
    d = DecisionHarness(
        workers=1,
        slow_start_ms=10_000.0,
        slow_start_initial=0.2,
        overload_window_ms=1000.0,
        overload_multiple=2.0,
    )
    d.now = 20_000.0
    d.feed(EndpointsChanged([Endpoint(1, started_at_ms=20_000.0)], is_complete=False))
    d.ask("r")
    d.now += 1
    for send in of(d.count(1, 16), SendRequest):
        d.end(send)
    for n in range(200):
        d.now += 10
        for send in of(d.ask(f"r{n}"), SendRequest):
            d.now += 1
            d.end(send)
            d.count(1, 16)
    times = [now for now, action in d.log if isinstance(action, SendRequest)]
    most = max(sum(start <= t < start + 1000 for t in times) for start in times)
    # about 90 requests a second arrive at the one worker; it can take 2 x (0.2 to 0.4) of that
    assert 1 <= most <= 60


def test_restart_takes_beliefs_away():
    d = DecisionHarness()
    home = d.warm()
    d.feed(EndpointsChanged([Endpoint(home, started_at_ms=d.now)], is_complete=False))
    assert not of(d.ask("r1"), SendRequest)


# --- rule 5: loads are rationed ------------------------------------------------------------


def test_a_call_sent_to_a_restarted_worker_before_it_was_told_renews_no_belief():
    d = DecisionHarness()
    home = d.warm()
    d.now += 100.0
    started = d.now
    d.now += 100.0
    [send] = of(
        d.ask("r"), SendRequest
    )  # the roster is late: it still counts on the copy of the process before
    d.end(send, Outcome.RESET, closed=False)
    d.feed(EndpointsChanged([Endpoint(home, started_at_ms=started)], is_complete=False))
    worker, fn = d.router.workers[home], d.router.functions["f"]
    assert d.router._instances(fn.pools[home], worker) == 0


def test_a_call_that_found_no_copy_takes_the_belief_in_several_away():
    for crowd, counted, left in ((0, False, 1), (1, False, 1), (2, False, 3), (None, False, 3), (0, True, 3)):
        d = DecisionHarness()
        home = d.warm(lanes=2)
        d.count(home, 3)
        d.now += 1.0
        [send] = of(d.ask("r", lanes=2), SendRequest)
        if counted:  # after it was sent: newer than what its answer tells
            d.now += 1.0
            d.count(home, 3)
        d.end(send, warmth=StartKind.COLD_START, crowd=crowd)
        assert d.router.functions["f"].pools[home].count == left


def test_ration_of_loads_at_its_edge():
    d = DecisionHarness(start_window_ms=5000.0, free_starts=2.0, starts_per_request=0.2)
    for n in range(9):
        d.answer_asks(d.ask(f"r{n}", fn=f"f{n}"))
    loads = [a for _, a in d.log if isinstance(a, EnsureInstances) and a.instances]
    assert len(loads) == 3  # 2 + 0.2 x 9
    d.answer_asks(d.ask("r9", fn="f9"))
    d.sweep(40)
    assert len([a for _, a in d.log if isinstance(a, EnsureInstances) and a.instances]) == 4


# --- around it -----------------------------------------------------------------------------


def test_calls_that_were_taken_back_allow_no_loads():
    d = DecisionHarness(workers=8, start_window_ms=5000.0, free_starts=2.0, starts_per_request=0.3)
    for n in range(200):
        d.ask(f"gone{n}", fn="gone")
    d.feed(*(RequestCancelled(f"gone{n}") for n in range(200)))
    d.now += 100.0
    before = len(d.log)
    for n in range(10):
        d.ask(f"r{n}", fn=f"f{n}")
        d.sweep(d.now + 60)
    loads = [
        action for _, action in d.log[before:] if isinstance(action, EnsureInstances) and action.instances
    ]
    assert 0 < len(loads) <= 2 + 0.3 * 10


def test_each_call_is_counted_by_its_own_lanes_not_by_the_first_callers():
    d = DecisionHarness()
    home = d.warm(lanes=4)
    [one] = of(d.ask("one", lanes=1), SendRequest)
    assert one.worker_id == home
    assert not of(d.ask("two", lanes=1), SendRequest)  # a copy that runs one at a time is taken
    assert [send.worker_id for send in of(d.ask("three", lanes=4), SendRequest)] == [
        home
    ]  # one of four is not


def test_a_class_rests_at_a_worker_by_its_own_answers_not_by_those_of_the_functions_first_class():
    d = DecisionHarness(workers=1)
    home = d.warm(lanes=4, spec="unsafe")
    sends = of(d.ask("r1", spec="safe", lanes=4) + d.ask("r2", spec="safe", lanes=4), SendRequest)
    for send in sends:
        d.end(send, Outcome.ERROR, closed=True)
    assert len(sends) == 2 and list(d.router.workers[home].breakers) == ["safe"]


def test_silent_worker_is_asked_then_left_and_its_requests_go_elsewhere():
    d = DecisionHarness()
    home = d.warm()
    d.ask("r1")
    actions = d.sweep(d.now + 360)
    assert (home, 0) in [(a.worker_id, a.instances) for a in of(actions, EnsureInstances)]
    actions = d.sweep(d.now + 100)
    assert [a for a in of(actions, LogMessage) if "silent" in a.text]
    actions += d.answer_asks(actions)
    d.sweep(d.now + 60)
    load = next(a for _, a in reversed(d.log) if isinstance(a, EnsureInstances) and a.instances)
    assert load.worker_id != home
    assert [send.request_id for send in of(d.count(load.worker_id, 1), SendRequest)] == ["r1"]


def test_a_reset_asks_for_a_sign_and_only_its_absence_makes_the_worker_suspect():
    for answered in (True, False):
        d = DecisionHarness()
        home = d.warm()
        [send] = of(d.ask("r1"), SendRequest)
        signs = of(d.end(send, Outcome.RESET), EnsureInstances)
        assert (home, 0) in [(sign.worker_id, sign.instances) for sign in signs]
        if answered:
            d.count(home, 1)
        d.sweep(d.now + 200)
        assert (d.router.workers[home].unresponsive_since_ms is None) is answered
        assert [send.worker_id for send in of(d.ask("r2"), SendRequest)] == [home] * answered


def lose_two():
    """Two calls whose answers don't come while their worker gives every other sign of life."""
    d = DecisionHarness()
    home = d.warm(lanes=2)
    lost = of(d.ask("r1", lanes=2) + d.ask("r2", lanes=2), SendRequest)
    assert [send.worker_id for send in lost] == [home] * 2
    since, done = d.now, []
    while d.now < since + 900:
        actions = d.sweep(d.now + 20)
        done += actions + d.answer_asks(actions, {home: 1})
    return d, home, lost, done


def test_a_class_whose_answers_a_worker_loses_rests_there_and_is_then_tried_by_one_call():
    d, home, lost, done = lose_two()
    assert not [action for action in of(done, LogMessage) if "silent" in action.text]
    assert home not in [
        send.worker_id for send in of(d.answer_asks(d.ask("r3", lanes=2), {home: 1}), SendRequest)
    ]
    router, fn, worker = d.router, d.router.functions["f"], d.router.workers[home]
    assert router._is_usable(worker, Function("g", "unsafe", 1, None, 0))  # another class goes on there
    for send in lost:
        d.end(send, Outcome.CANCELLED, closed=True)
    d.now += 2000
    assert [(send.request_id, send.worker_id) for send in of(d.count(home, 1), SendRequest)] == [("r3", home)]
    assert not router._is_usable(worker, fn.class_name)
    assert not of(d.ask("r4", lanes=2), SendRequest)


def test_errors_rest_a_class_too_but_not_those_of_a_function_that_was_never_served():
    for served in (True, False):
        d = DecisionHarness()
        home = d.warm(lanes=4, spec="unsafe")
        worker, fn = d.router.workers[home], d.router.functions["f"]
        if not served:
            fn.run_times.clear()
        sends = of(d.ask("r1", spec="unsafe", lanes=4) + d.ask("r2", spec="unsafe", lanes=4), SendRequest)
        for send in sends:
            d.end(send, Outcome.ERROR, closed=False)
        assert len(sends) == 2 and d.router._is_usable(worker, fn.class_name) is not served


def test_answers_that_come_after_all_take_their_losses_back():
    d, home, lost, _ = lose_two()
    for send in lost:
        d.end(send)
    assert not d.router.workers[home].breakers


def test_silent_worker_that_answers_is_used_again():
    d = DecisionHarness()
    home = d.warm()
    d.ask("r1")
    d.sweep(d.now + 1000)
    assert [a for a in of(d.count(home, 1), LogMessage) if "again" in a.text]
    assert d.router.workers[home].unresponsive_since_ms is None


def test_suspicion_never_takes_most_of_the_fleet():
    d = DecisionHarness(workers=2)
    for n in (1, 2):
        d.router._hold_unresponsive(d.router.workers[n])
    assert [hold for hold in of(d.ask("r1"), EnsureInstances)]


def test_over_share_requests_wait_behind_those_within():
    d = DecisionHarness(tenant_quotas_rps={"big": 1.0, "small": 100.0})
    d.warm()
    [first] = of(d.ask("r1", tenant="small"), SendRequest)
    d.ask("b1", tenant="big")
    d.ask("b2", tenant="big")
    d.ask("s1", tenant="small")
    order = []
    send = first
    for _ in range(3):
        sends = of(d.end(send), SendRequest)
        if not sends:
            break
        [send] = sends
        order.append(send.request_id)
    assert order.index("s1") < (order.index("b2") if "b2" in order else 9)


def test_slow_loads_lower_the_number_under_way_and_timely_ones_raise_it():
    d = DecisionHarness()
    start = d.router.start_order_limit.value
    loads = of(d.answer_asks(d.ask("r1", load_ms=100.0)), EnsureInstances)
    d.now += 1000
    d.count(loads[0].worker_id, 1)
    low = d.router.start_order_limit.value
    loads = of(d.answer_asks(d.ask("r2", fn="g")), EnsureInstances)
    d.now += 200
    d.count(loads[0].worker_id, 1, "g")
    assert low < start and d.router.start_order_limit.value > low


def test_a_try_with_little_time_is_answered_before_the_next_sweep():
    d = DecisionHarness(workers=0)
    d.ask("r1", budget=2500.0)  # its arrival starts the sweeps
    d.now += 1
    assert [a.request_id for a in of(d.ask("r2", budget=25.0), RejectRequest)] == ["r2"]


def test_workers_that_leave_do_not_raise_the_limit_of_the_others():
    d = DecisionHarness(workers=4, tenant_quotas_rps={"t": 40.0})
    before = d.router.workers[1].max_in_flight
    d.feed(EndpointsChanged([Endpoint(n, WorkerState.REMOVED) for n in (2, 3, 4)], is_complete=False))
    d.sweep(40)
    assert d.router.workers[1].max_in_flight == before < 20
