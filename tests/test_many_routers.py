"""Many front ends: what each does alone has to add up."""

import sys
from collections import Counter

from decision_harness import DecisionHarness, of

from function_router.decisions.actions import EnsureInstances, RejectRequest, SendRequest
from function_router.decisions.events import Endpoint, EndpointsChanged
from function_router.decisions.router import FAR_FACTOR, Router
from function_router.decisions.state import Function
from function_router.decisions.types import Outcome
from function_router.hashing import hash64

SOLD = {"t": 100.0}


def fleet(size, **settings):
    """Front ends that differ in their seeds only."""
    return [
        DecisionHarness(
            workers=20, seed=seed * 7919 + 5, router_count=size, tenant_quotas_rps=SOLD, **settings
        )
        for seed in range(size)
    ]


def standing(drive, actions):
    """Carry out questions and orders where copies of everything stand; the sends that follow."""
    sends = of(actions, SendRequest)
    for hold in of(actions, EnsureInstances):
        sends += standing(drive, drive.count(hold.worker_id, 1, hold.function))
    return sends


def test_a_hot_function_is_spread_by_front_ends_that_see_a_part_each():
    drives = fleet(100)
    homes = Counter()
    for turn in range(5):
        for drive in drives:
            drive.now += 1000.0
            for send in standing(drive, drive.ask(f"r{turn}", lanes=2, tenant="t")):
                homes[send.worker_id] += turn == 4
                drive.now += 100.0
                drive.end(send, crowd=3)
    assert sum(homes.values()) == 100 and len(homes) >= 10
    assert homes.most_common(1)[0][1] <= 30


def test_functions_that_meet_on_one_worker_move_on_past_its_share_of_the_sends():
    [drive, *_] = fleet(40)
    router = drive.router
    for name in (f"f{n}" for n in range(400)):  # those whose first worker is the same
        router.functions[name] = Function(name, "safe", 2, None, hash64(name))
    first = router._hash_order(router.functions["f0"])[0]
    meeting = [fn.name for fn in router.functions.values() if router._hash_order(fn)[0] is first]
    router.functions.clear()
    homes = Counter()
    for turn in range(60):
        drive.now += 100.0
        for send in standing(drive, drive.ask(f"r{turn}", meeting[turn % 5], lanes=2, tenant="t")):
            homes[send.worker_id] += 1
            drive.end(send)
    assert len(meeting) >= 5 and sum(homes.values()) >= 60
    assert homes[first.id] <= 60 / 20 * FAR_FACTOR + 2


def test_the_switch_goes_off_at_te_here_too():
    [drive, *_] = fleet(40)
    fn = Function("f", "safe", 2, None, hash64("f"))
    drive.router.run_times.add(0.0, 100.0)
    fn.idle_ms = 150.0  # longer than a run
    assert not drive.router._speculates(fn)


def test_who_knows_no_copy_asks_the_fit_worker_that_all_ask_first():
    [drive, *_] = fleet(40)
    for turn in range(40):  # so many that the function spreads
        drive.now += 100.0
        for send in standing(drive, drive.ask(f"r{turn}", "hot", lanes=2, tenant="t")):
            drive.end(send)
    fn = drive.router.functions["hot"]
    fn.pools.clear()
    fn.known_workers = None
    first = next(filter(drive.router._is_fit, drive.router._hash_order(fn)))
    asks = of(drive.ask("next", "hot", lanes=2, tenant="t"), EnsureInstances)
    assert fn.width > 1 and [ask.worker_id for ask in asks] == [first.id]


def test_nobody_is_asked_while_a_fit_worker_is_believed_warm_and_others_renew_its_copy():
    [drive, *_] = fleet(40, keep_alive_ms=8_000.0)
    homes = {standing(drive, drive.ask("first", lanes=2, tenant="t"))[0].worker_id}
    drive.end(next(action for _, action in drive.log if isinstance(action, SendRequest)))
    drive.now += 20_000.0  # longer than an idle copy lives, but other front ends call it
    actions = drive.ask("second", lanes=2, tenant="t")
    assert not of(actions, EnsureInstances) and {send.worker_id for send in of(actions, SendRequest)} == homes


def test_a_worker_past_its_share_by_chance_is_passed_over_but_brings_no_question():
    [drive, *_] = fleet(40)
    [send] = standing(drive, drive.ask("first", lanes=2, tenant="t"))
    drive.end(send)
    router, worker = drive.router, drive.router.workers[send.worker_id]
    asked = []
    for count in (4.5, 8.0):
        worker.sends.reset(drive.now, count)
        router.sends.reset(drive.now, 60.0)  # a share of three
        assert not router._is_fit(worker)
        asked.append(bool(of(drive.ask(f"r{count}", lanes=2, tenant="t"), EnsureInstances)))
    assert asked == [False, True]


def test_a_silent_worker_is_passed_over_before_it_is_asked():
    [drive, *_] = fleet(40)
    router = drive.router
    for _ in range(5):
        router.run_times.add(0.0, 200.0)
    [send] = standing(drive, drive.ask("long", tenant="t"))
    worker = router.workers[send.worker_id]
    worker.sends.reset(drive.now)
    signs, fit = [], []
    for ms in (540, 200, 1000):  # three runs, and eight
        signs.append([h for h in of(drive.sweep(drive.now + ms), EnsureInstances) if not h.instances])
        fit.append(router._is_fit(worker))
    assert fit == [True, False, False]
    assert [bool(asked) for asked in signs] == [False, False, True]


def test_a_load_that_takes_its_time_is_no_silence():
    [drive, *_] = fleet(40)
    loads = of(drive.answer_asks(drive.ask("r", tenant="t", load_ms=800.0)), EnsureInstances)
    assert [load.instances for load in loads] == [1]
    assert not of(drive.sweep(drive.now + 900), EnsureInstances)


def test_the_limit_in_flight_shrinks_with_the_workers_that_live():
    [drive, *_] = fleet(40)
    router = drive.router
    router._refresh_limits()
    whole = router.max_in_flight
    for worker in router.ready[:10]:
        router._hold_unresponsive(worker)
    router._refresh_limits()
    assert router.many_routers and router.max_in_flight == whole / 2


def test_a_call_that_is_late_and_out_nowhere_is_given_up_before_its_deadline():
    [drive, *_] = fleet(40)
    [send] = standing(drive, drive.ask("r", tenant="t", budget=2500.0))
    for worker in drive.router.ready:  # nobody else can take it
        worker.max_in_flight = 0.0
    drive.end(send, Outcome.ERROR, closed=False)
    drive.sweep(2500.0)
    [given_up] = [now for now, action in drive.log if isinstance(action, RejectRequest)]
    assert given_up <= 1300.0


def test_a_rare_function_keeps_one_home_at_all_front_ends():
    homes = {standing(drive, drive.ask("r", lanes=2, tenant="t"))[0].worker_id for drive in fleet(50)}
    assert len(homes) == 1


def test_front_ends_keep_a_cold_workers_budget_together():
    drives = fleet(
        100, slow_start_ms=10_000.0, slow_start_initial=0.2, overload_window_ms=1000.0, overload_multiple=2.0
    )
    sent = []
    for drive in drives:
        drive.now = 20_000.0
        drive.feed(EndpointsChanged([Endpoint(n, started_at_ms=20_000.0) for n in range(1, 21)], False))
        for n in range(10):
            drive.now += 100.0
            sent += [(drive.now, s.worker_id) for s in standing(drive, drive.ask(f"r{n}", tenant="t"))]
    # 100 front ends with one or two requests a second each: some 100 a worker and second at the most
    most = Counter(worker for _, worker in sent).most_common(1)[0][1]
    rate = 100 * 10 / 20  # requests a worker can be held to do in the second, by what arrives
    assert 0 < most <= 2.0 * 0.28 * rate


def test_neither_a_burst_nor_a_fleet_half_gone_raises_a_cold_workers_budget():
    rules = {
        "slow_start_ms": 10_000.0,
        "slow_start_initial": 0.2,
        "overload_window_ms": 3000.0,
        "overload_multiple": 4.0,
    }
    for burst, left in ((6, 20), (2, 5)):  # calls a second at each, of 1 sold; workers left, cold
        drives, sent = fleet(100, **rules), []
        for drive in drives:
            for n in range(10):
                drive.now += 2000.0
                for send in standing(drive, drive.ask(f"a{n}", f"f{n}", tenant="t")):
                    drive.end(send)
            cold = [Endpoint(n, started_at_ms=drive.now) for n in range(1, left + 1)]
            drive.feed(EndpointsChanged(cold, is_complete=True))
            for n in range(3 * burst):
                drive.now += 1000.0 / burst
                for send in standing(drive, drive.ask(f"r{n}", f"f{n % 10}", tenant="t")):
                    sent.append(send.worker_id)
                    drive.end(send)
        allowed = 4.0 * (0.2 + 0.8 * 0.3) * 3.0 * 100 / 20  # by the end, at the rate sold
        assert 0 < Counter(sent).most_common(1)[0][1] <= allowed + 2 * allowed**0.5 + 2


def test_front_ends_that_restart_keep_a_cold_workers_budget_together():
    rules = {
        "slow_start_ms": 10_000.0,
        "slow_start_initial": 0.2,
        "overload_window_ms": 3000.0,
        "overload_multiple": 4.0,
    }
    for size in (30, 100):
        drives, sent = fleet(size, **rules), []
        for number, drive in enumerate(drives):
            for n in range(10):
                drive.now += 1000.0
                for send in standing(drive, drive.ask(f"a{n}", f"f{n}", tenant="t")):
                    drive.end(send)
            started = [Endpoint(n, started_at_ms=drive.now) for n in range(1, 21)]
            cold = EndpointsChanged(started, is_complete=True)
            drive.feed(cold)
            for n in range(9):
                if n == 4 and number % 2:  # half of them lose what they knew of their own sends
                    drive.router = Router(drive.router.settings, number * 31 + 7)
                    drive.feed(cold)
                drive.now += 3000.0 / 9
                for send in standing(drive, drive.ask(f"r{n}", f"f{n % 10}", tenant="t")):
                    sent.append(send.worker_id)
                    again = standing(drive, drive.end(send, Outcome.ERROR, closed=False))
                    sent += [second.worker_id for second in again]  # second attempts count too
        allowed = 4.0 * (0.2 + 0.8 * 0.3) * 3.0 * size * 3 / 20  # by the end, at the rate that came
        assert 0 < Counter(sent).most_common(1)[0][1] <= allowed + 2 * allowed**0.5 + 2


def test_what_was_sent_to_a_worker_is_not_kept_once_it_is_warm():
    [drive, *_] = fleet(40, slow_start_ms=1000.0)
    drive.feed(EndpointsChanged([Endpoint(n, started_at_ms=1.0) for n in range(1, 21)], is_complete=False))
    for n in range(50):
        drive.now += 2000.0
        for send in standing(drive, drive.ask(f"r{n}", tenant="t")):
            drive.end(send)
    assert not any(worker.slow_start_sends for worker in drive.router.ready)


def test_a_worker_that_is_full_is_passed_over_for_a_while():
    drive = fleet(100)[0]
    [send] = standing(drive, drive.ask("first", tenant="t"))
    home = send.worker_id
    drive.end(send)
    drive.now += 60_000.0  # so rare that one worker is enough
    [send] = standing(drive, drive.ask("full", tenant="t"))
    assert send.worker_id == home
    again = standing(drive, drive.end(send, Outcome.QUEUE_FULL, closed=False))
    again += standing(drive, drive.sweep(drive.now + 200))
    assert [(a.request_id, a.worker_id != home) for a in again] == [("full", True)]
    drive.end(again[0], attempt=1)
    drive.now += 700.0
    sends = standing(drive, drive.ask("next", tenant="t"))
    sends += standing(drive, drive.sweep(drive.now + 200))
    assert sends and sends[0].worker_id != home


def overdue(spec, budget):
    d = DecisionHarness(workers=4, zones=("a", "b"), router_count=100)
    d.ask("r1", spec=spec, budget=budget)
    for worker in (1, 2, 3, 4):
        d.count(worker, 1)
    [send] = [action for _, action in d.log if isinstance(action, SendRequest)]
    for _ in range(50):  # the worker goes on answering all else
        d.sweep(d.now + 40)
        d.count(send.worker_id, 1)
    sends = [(now, action) for now, action in d.log if isinstance(action, SendRequest)]
    return send, sends


def test_a_lost_answer_of_a_talking_worker_brings_a_second_attempt_in_time():
    send, sends = overdue("safe", 2500.0)
    assert len(sends) > 1 and sends[1][0] <= 700.0
    assert len({action.worker_id for _, action in sends}) == len(sends)


def test_a_second_attempt_for_a_keyed_request_stays_in_its_group():
    send, sends = overdue("keyed", 4000.0)
    assert len(sends) == 2 and sends[1][1].worker_id % 2 == send.worker_id % 2


def test_no_second_attempt_for_an_unsafe_request():
    _, sends = overdue("unsafe", 4000.0)
    assert len(sends) == 1


def test_second_attempts_are_few_when_all_is_slow():
    d = DecisionHarness(workers=8, router_count=100)
    for n in range(100):
        d.ask(f"r{n}", fn=f"f{n}")
        for worker in range(1, 9):
            d.count(worker, 1, f"f{n}")
    for _ in range(20):
        d.sweep(d.now + 40)
    sends = Counter(action.request_id for _, action in d.log if isinstance(action, SendRequest))
    assert len(sends) == 100 and sum(count > 1 for count in sends.values()) <= 13


def test_attempts_out_past_the_promise_leave_the_own_limit():
    drive = fleet(100)[0]
    limit = drive.router.max_in_flight
    for n in range(12):
        standing(drive, drive.ask(f"r{n}", fn=f"f{n}", tenant="t"))
    held = len(drive.router.in_flight)
    assert held <= limit + 1 < 12
    drive.sweep(drive.now + 1200)
    assert not any(drive.now - a.sent_ms > 1100 for a in drive.router.in_flight)


def steps(workers):
    """Calls made while a front end serves and sweeps, once it knows the workers and the function."""
    d = DecisionHarness(workers=workers, router_count=100, tenant_quotas_rps={"t": 5.0 * workers})
    count = 0

    def watch(frame, event, arg):
        nonlocal count
        count += event in ("call", "c_call")

    def serve(n):
        d.now += 500.0
        for send in standing(d, d.ask(f"r{n}", lanes=2, tenant="t")):
            d.now += 100.0
            d.end(send)
        d.sweep(d.now + 200)

    serve(0)
    d.router.refreshed_ms = d.now + 1e9  # the sums over the fleet are taken once a second, not by event
    sys.setprofile(watch)
    for n in range(1, 20):
        serve(n)
    sys.setprofile(None)
    return count


def test_an_event_costs_about_the_same_in_a_fleet_ten_times_as_large():
    small, large = steps(100), steps(1000)
    assert large < 1.5 * small
