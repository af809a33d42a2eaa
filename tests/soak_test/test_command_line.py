"""Tests of the soak test's command line: the plans that it runs, its report, and its exit status."""

import pytest
import typer
from typer.testing import CliRunner

from soak import __main__ as command_line
from soak.plan import FaultKind
from soak.rules import CheckResult, Rule, Violation


class FakeRuns:
    """Fakes runs: records their arguments, and reports violations for the seeds in `broken_seeds`."""

    def __init__(self):
        self.plans = []
        self.folders = []
        self.uses_shim = []
        self.broken_seeds = set()

    def run(self, plan, folder, *, uses_shim):
        """Record the arguments of a run, and return a result."""
        folder.path.mkdir(parents=True)
        self.plans.append(plan)
        self.folders.append(folder.path)
        self.uses_shim.append(uses_shim)
        check_result = CheckResult()
        check_result.figures["requests"] = 7
        if plan.seed in self.broken_seeds:
            check_result.add([Violation(Rule.LOST, f"example {number}") for number in range(5)])
        return check_result


@pytest.fixture
def runs(monkeypatch):
    """Make the command line use FakeRuns instead of real runs, and return it."""
    fake_runs = FakeRuns()
    monkeypatch.setattr(command_line, "_run", fake_runs.run)
    return fake_runs


@pytest.fixture
def invoke():
    """Return a function that invokes the command line with arguments."""
    app = typer.Typer()
    app.command()(command_line.main)
    return lambda *arguments: CliRunner().invoke(app, arguments)


def kinds_of(plan):
    return {fault.kind for fault in plan.faults_and_loads}


def test_requested_number_of_seeds_is_run_from_the_first(invoke, runs):
    result = invoke("--seed", "5", "--seeds", "3")

    assert [plan.seed for plan in runs.plans] == [5, 6, 7]
    assert result.exit_code == 0
    assert "3 of 3 runs kept all rules" in result.output


def test_fault_option_restricts_the_kinds(invoke, runs):
    invoke("--fault", "router-pause", "--fault", "calls-fail", "--seconds", "60")

    assert kinds_of(runs.plans[0]) == {FaultKind.ROUTER_PAUSE, FaultKind.CALLS_FAIL}


def test_all_kinds_are_drawn_without_a_fault_option(invoke, runs):
    invoke("--seconds", "600")

    assert kinds_of(runs.plans[0]) == set(FaultKind)


def test_no_faults_option_draws_none(invoke, runs):
    invoke("--no-faults")

    assert runs.plans[0].faults_and_loads == []


@pytest.mark.parametrize(("arguments", "uses_shim"), [([], True), (["--no-shim"], False)])
def test_routers_run_with_the_shim_by_default(invoke, runs, arguments, uses_shim):
    invoke(*arguments)

    assert runs.uses_shim == [uses_shim]


def test_broken_rule_is_reported_with_examples_and_exits_with_1(invoke, runs):
    runs.broken_seeds = {2}

    result = invoke("--seeds", "2")

    assert result.exit_code == 1
    assert "seed 1: kept" in result.output
    assert "seed 2: broken" in result.output
    assert f"  5 x {Rule.LOST}" in result.output
    assert result.output.count("example") == 3
    assert "1 of 2 runs kept all rules" in result.output


def test_records_are_removed_without_the_keep_option(invoke, runs, tmp_path):
    invoke()
    invoke("--keep", str(tmp_path))

    assert [folder.exists() for folder in runs.folders] == [False, True]
    assert runs.folders[1] == tmp_path / "seed-1"
