"""Checks a run by the operator's rules, from what clients, proxy and cluster have recorded.

All times are of the machine's monotonic clock, which the processes share. Each rule allows the slack that the
operator's pages give it, and `MEASURING_SLACK_S` for the time that the observers themselves take.
"""

from soak.figures import count_figures
from soak.history import RunHistory
from soak.request_rules import check_request
from soak.router_rules import check_routers
from soak.rules import Verdict
from soak.run_record import RunRecord
from soak.worker_rules import check_workers


def check_run(record: RunRecord) -> Verdict:
    """Check all rules; reads the records and logs in the folder of the run."""
    history = RunHistory(record)
    verdict = Verdict(figures=count_figures(history))
    for request in history.requests:
        verdict.add(check_request(request, record.router_incarnations))
    verdict.add(check_workers(history))
    verdict.add(check_routers(history))
    return verdict
