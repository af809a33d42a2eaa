"""Short runs of the soak test with real processes, which have to communicate, exit, and keep all rules."""

import re
import subprocess
import sys
from pathlib import Path

import pytest

ROOT = Path(__file__).parents[2]
TIMEOUT_S = 120
SEEDS = (1, 2)  # their plans together contain most kinds of faults
SMALL_RUN_OPTIONS = ["--routers", "2", "--workers", "2", "--seconds", "3", "--rate", "40", "--no-shim"]


def test_small_run_without_faults_serves_and_keeps_all_rules(tmp_path):
    command = [sys.executable, "-m", "soak", *SMALL_RUN_OPTIONS, "--no-faults", "--keep", str(tmp_path)]

    run = subprocess.run(command, cwd=ROOT, capture_output=True, text=True, timeout=TIMEOUT_S, check=False)

    assert run.returncode == 0, run.stdout + run.stderr
    assert int(re.search(r"answered served (\d+)", run.stdout)[1]) > 50
    assert (tmp_path / "seed-1" / "plan.json").exists()


@pytest.mark.parametrize("seed", SEEDS)
def test_run_with_drawn_faults_keeps_all_rules(seed):
    command = [sys.executable, "-m", "soak", "--seed", str(seed), "--seconds", "15", "--routers", "8"]

    run = subprocess.run(command, cwd=ROOT, capture_output=True, text=True, timeout=TIMEOUT_S, check=False)

    assert run.returncode == 0, run.stdout + run.stderr
