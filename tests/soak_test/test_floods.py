"""Soak runs in which clients flood a router with a small memory limit. The other clients must not notice."""

import subprocess
import sys
from itertools import chain
from pathlib import Path

from soak.plan import FLOOD_KINDS

ROOT = Path(__file__).parents[2]
TIMEOUT_S = 90
OPTIONS = {
    "--seed": 1,
    "--routers": 1,
    "--workers": 8,
    "--seconds": 14,
    "--rate": 60,
    "--memory-mb": 32,
    "--sockets": 1024,
}


# Guards against a router that passes its memory limit, answers late, or runs an id twice beside such clients.
def test_router_withstands_each_flood():
    runs = {
        kind: subprocess.Popen(
            [sys.executable, "-m", "soak", "--no-shim", "--fault", kind, *map(str, chain(*OPTIONS.items()))],
            cwd=ROOT,
            stdout=subprocess.PIPE,
            stderr=subprocess.STDOUT,
            text=True,
        )
        for kind in FLOOD_KINDS
    }

    reports = {kind: run.communicate(timeout=TIMEOUT_S)[0] for kind, run in runs.items()}

    failed = {kind: reports[kind] for kind, run in runs.items() if run.returncode != 0}
    assert failed == {}, "\n".join(failed.values())
