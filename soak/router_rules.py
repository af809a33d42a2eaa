"""Rules on router processes: start and exit, clients that violate the protocol, and log lines."""

from collections.abc import Iterator

from soak.history import RunHistory
from soak.records import BadClientSeen
from soak.rules import MEASUREMENT_SLACK_S, Rule, Violation
from soak.run_record import RouterIncarnation

MAX_START_S = 10.0  # from the start of a process until it is ready
MAX_BAD_CLIENT_S = 3.0  # from a bad client's connect to its rejection, error or close
# Texts in the log lines of routers that report an error.
ERROR_TEXTS = ("invariant violated", "unhandled exception", "Traceback")


def check_routers(history: RunHistory) -> Iterator[Violation]:
    """Check the rules on router processes; bad clients of a killed router are not checked."""
    incarnations = history.record.router_incarnations
    for incarnation in incarnations:
        yield from _check_incarnation(incarnation, history.record.plan.memory_mb)
    killed_routers = {each.router for each in incarnations if each.killed_at is not None}
    for seen in history.bad_clients:
        if seen.router not in killed_routers:
            yield from _check_bad_client(seen)
    for router in range(history.record.plan.router_count):
        for line in history.log_lines(router):
            if any(text in line for text in ERROR_TEXTS):
                yield Violation(Rule.LOGGED_ERROR, line)


def _check_incarnation(incarnation: RouterIncarnation, memory_mb: int) -> Iterator[Violation]:
    """Check that a router is ready in time, stays within its memory, and exits only on a signal.

    After SIGTERM it has to exit with code 0.
    """
    name = f"router {incarnation.router}, started at {incarnation.started_at:.1f}"
    was_requested = incarnation.sigterm_at is not None or incarnation.killed_at is not None
    if incarnation.exited_at is not None and (not was_requested or _has_failed(incarnation)):
        yield Violation(Rule.CRASH, f"{name}: exit code {incarnation.exit_code}")
    elif incarnation.ready_at is None or incarnation.ready_at - incarnation.started_at > MAX_START_S:
        yield Violation(Rule.NOT_READY, name)
    peak_mb = incarnation.peak_memory_mb
    if peak_mb is not None and peak_mb > memory_mb:
        yield Violation(Rule.MEMORY, f"{name}: {peak_mb:.0f} of {memory_mb} MB")


def _has_failed(incarnation: RouterIncarnation) -> bool:
    was_killed = incarnation.killed_at is not None or incarnation.forced_kill_at is not None
    return not was_killed and incarnation.exit_code != 0


def _check_bad_client(seen: BadClientSeen) -> Iterator[Violation]:
    if seen.took_s > MAX_BAD_CLIENT_S + MEASUREMENT_SLACK_S or not seen.is_settled:
        yield Violation(Rule.BAD_CLIENT, f"{seen.kind} at router {seen.router}: {seen.took_s:.2f} s")
