"""Counts of observations for the report.

A run without traffic also keeps all rules, so the report has to show how much was observed.
"""

from collections import Counter
from collections.abc import Sequence

from soak.history import RequestHistory, RunHistory
from soak.records import AnswerKind
from soak.run_record import EndpointLogOutage

SLOW_TURN_TEXT = "slow turn"  # part of the log line about a slow event loop iteration


def count_figures(history: RunHistory) -> Counter[str]:
    """Count requests, answers, router incarnations and slow turns; the keys are texts of the report."""
    figures: Counter[str] = Counter()
    for request in history.requests:
        _count_request(request, figures)
        _count_served(request, history.record.endpoint_log_outages, figures)
    incarnations = history.record.router_incarnations
    figures["router incarnations"] = len(incarnations)
    figures["ended by SIGKILL after SIGTERM"] = sum(each.forced_kill_at is not None for each in incarnations)
    peaks_mb = [each.peak_memory_mb for each in incarnations if each.peak_memory_mb is not None]
    figures["peak MB of a router"] = round(max(peaks_mb, default=0.0))
    figures["limit MB"] = history.record.plan.memory_mb
    figures["bad clients"] = len(history.bad_clients)
    for router in range(history.record.plan.router_count):
        figures["slow turns"] += sum(SLOW_TURN_TEXT in line for line in history.log_lines(router))
    return figures


def _count_request(request: RequestHistory, figures: Counter[str]) -> None:
    figures["requests"] += 1
    figures["attempts"] += len(request.attempts)
    figures["sent again after a close"] += sum(lost.is_retried for lost in request.lost_connections)
    if request.client_gone:
        figures["clients that left"] += 1
    elif request.answers:
        figures[f"answered {request.answers[0].kind}"] += 1


def _count_served(
    request: RequestHistory, outages: Sequence[EndpointLogOutage], figures: Counter[str]
) -> None:
    """Count sent and served requests in and outside of outages, without those that clients abandoned."""
    if request.client_gone or not outages:
        return
    is_in_outage = any(outage.began_at <= request.sent[0].at < outage.ended_at for outage in outages)
    when = "in outages" if is_in_outage else "otherwise"
    figures[f"sent {when}"] += 1
    if request.answers:
        figures[f"served {when}"] += request.answers[0].kind is AnswerKind.SERVED
