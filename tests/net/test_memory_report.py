"""Tests of `memory_report`: the periodic line, and the lines about shares that fill up."""

import re

import pytest

from function_router.config import MemoryPlan
from function_router.net import process_memory
from function_router.net.memory_budget import MemoryBudget
from function_router.net.memory_report import MemoryReport


@pytest.fixture
def budget():
    return MemoryBudget(MemoryPlan.for_limits(64, 1024), max_clients=400, max_worker_connections=400)


@pytest.fixture
def report(budget, log_lines):
    return MemoryReport(budget, lambda: "functions 3 of 9", log_lines.append)


def test_usage_names_the_largest_stores_the_budget_and_the_function_table(budget, report, log_lines):
    budget.client_input.add(3_000_000, 0)
    budget.requests.add(1_000_000, 0)
    budget.requests.add(-1_000_000, 0)

    report.log_usage()

    line = log_lines[-1]
    assert re.match(r"memory: resident [\d.]+ of 64 MB; counted 2\.9 of [\d.]+ MB; peaks: ", line)
    assert line.index("client input 2.9 of") < line.index("requests 1.0 of") < line.index("functions 3 of 9")


def test_peaks_are_those_since_the_last_line(budget, report, log_lines):
    budget.requests.add(1_000_000, 0)
    budget.requests.add(-1_000_000, 0)

    report.log_usage()
    report.log_usage()

    assert ["requests" in line for line in log_lines] == [True, False]


def test_share_that_fills_up_is_logged_once_at_each_threshold(budget, report, log_lines):
    capacity = budget.worker_input.capacity_bytes
    for fraction in (0.2, 0.6, 0.55, 0.6, 0.95, 0.1, 0.6):
        budget.worker_input.add(int(capacity * fraction) - budget.worker_input.used_bytes, 0)
        budget.worker_input.restart_peak()
        report.check_shares()

    assert [int(re.search(r"(\d+) % full: worker input", line)[1]) for line in log_lines] == [50, 90, 50]


def test_resident_memory_is_unknown_if_the_system_does_not_tell_it(report, log_lines, monkeypatch, tmp_path):
    monkeypatch.setattr(process_memory, "STATM", tmp_path / "absent")

    report.log_usage()

    assert "resident unknown of 64 MB" in log_lines[-1]
