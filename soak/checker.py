"""Checks a run against all rules, using the records of the clients, the proxy and the cluster.

All times are of the machine's monotonic clock, which the processes share. Rules on times allow a slack, which
is a constant of the rule's module, and most add `MEASUREMENT_SLACK_S` for the delay of the observers.
"""

from soak.figures import count_figures
from soak.history import RunHistory
from soak.request_rules import check_request, check_unrecorded_request
from soak.router_rules import check_routers
from soak.rules import CheckResult
from soak.run_record import RunRecord
from soak.worker_rules import check_workers


def check_run(record: RunRecord) -> CheckResult:
    """Check all rules, using the records and logs in the folder of the run."""
    history = RunHistory(record)
    check_result = CheckResult(figures=count_figures(history))
    for request in history.requests:
        check_result.add(check_request(request, record))
    for request in history.unrecorded_requests:
        check_result.add(check_unrecorded_request(request))
    check_result.add(check_workers(history))
    check_result.add(check_routers(history))
    return check_result
