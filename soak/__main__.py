"""The command line of the soak test, for example ``python -m soak --seeds 5``."""

import asyncio
import shutil
import sys
import tempfile
import time
from pathlib import Path
from typing import Annotated

import msgspec
import typer

from soak.checker import check_run
from soak.plan import FaultKind, Plan, draw_plan
from soak.rules import CheckResult
from soak.run import run_plan
from soak.run_folder import RunFolder

SeedOption = Annotated[int, typer.Option(help="Seed of the first run.")]
SeedsOption = Annotated[
    int, typer.Option(help="Number of runs, one after the other, with consecutive seeds.")
]
SecondsOption = Annotated[float, typer.Option(help="Duration of the traffic of a run in seconds.")]
RoutersOption = Annotated[int, typer.Option(help="Number of router processes.")]
WorkersOption = Annotated[int, typer.Option(help="Number of worker processes.")]
RateOption = Annotated[float, typer.Option(help="Requests per second of all clients together.")]
FaultOption = Annotated[
    list[FaultKind] | None, typer.Option(help="Kind of faults to inject; may be repeated. Default: all.")
]
NoFaultsOption = Annotated[bool, typer.Option("--no-faults", help="Inject no faults.")]
NoShimOption = Annotated[
    bool, typer.Option("--no-shim", help="Make no system calls fail, and step no clocks.")
]
LogOutageOption = Annotated[
    float, typer.Option(help="Seconds that an outage of all endpoint logs lasts; 0: 4 to 12, by the seed.")
]
MemoryOption = Annotated[int, typer.Option(help="Memory limit of a router in MiB; 0: by the seed.")]
SocketsOption = Annotated[int, typer.Option(help="Descriptor limit of a router; 0: by the seed.")]
KeepOption = Annotated[
    Path | None,
    typer.Option(help="Folder in which to keep records and logs; its seed-N of an earlier run is replaced."),
]


def _run(plan: Plan, folder: RunFolder, *, uses_shim: bool) -> CheckResult:
    """Delete what an earlier run left in the folder, run a plan there, and check the run."""
    if folder.path.exists():
        shutil.rmtree(folder.path)
    folder.path.mkdir(parents=True)
    folder.plan.write_bytes(msgspec.json.format(msgspec.json.encode(plan)))
    record = asyncio.run(run_plan(plan, folder, uses_shim=uses_shim))
    return check_run(record)


def _report(plan: Plan, check_result: CheckResult, took_s: float) -> None:
    kinds = sorted({fault.kind for fault in plan.faults_and_loads})
    figures = ", ".join(f"{name} {count}" for name, count in sorted(check_result.figures.items()) if count)
    outcome = "broken" if check_result.violations else "kept"
    typer.echo(f"seed {plan.seed}: {outcome} in {took_s:.0f} s; {', '.join(kinds) or 'no faults'}; {figures}")
    for rule, count in check_result.violations.items():
        typer.echo(f"  {count} x {rule}")
        for example in check_result.examples[rule]:
            typer.echo(f"    {example}")
    sys.stdout.flush()


def _run_and_report(plan: Plan, folder: Path, *, uses_shim: bool) -> bool:
    """Run a plan in a subfolder and print the result of its check; return whether it kept all rules."""
    started = time.monotonic()
    check_result = _run(plan, RunFolder(folder / f"seed-{plan.seed}"), uses_shim=uses_shim)
    _report(plan, check_result, time.monotonic() - started)
    return not check_result.violations


def _with_options(plan: Plan, log_outage_s: float, memory_mb: int, max_sockets: int) -> Plan:
    """Return a plan with the duration and the limits that the options set; 0 leaves a limit as drawn."""
    return msgspec.structs.replace(
        plan,
        log_outage_s=log_outage_s,
        memory_mb=memory_mb or plan.memory_mb,
        max_sockets=max_sockets or plan.max_sockets,
    )


def main(
    seed: SeedOption = 1,
    seeds: SeedsOption = 1,
    seconds: SecondsOption = 20.0,
    routers: RoutersOption = 16,
    workers: WorkersOption = 12,
    rate: RateOption = 250.0,
    fault: FaultOption = None,
    no_faults: NoFaultsOption = False,
    no_shim: NoShimOption = False,
    log_outage: LogOutageOption = 0.0,
    memory_mb: MemoryOption = 0,
    sockets: SocketsOption = 0,
    keep: KeepOption = None,
) -> None:
    """Run router processes on loopback under faults, and check each run; exit with 1 if any broke a rule."""
    kinds = [] if no_faults else (fault or list(FaultKind))
    plans = [
        draw_plan(number, routers, workers, duration_s=seconds, requests_per_s=rate, kinds=kinds)
        for number in range(seed, seed + seeds)
    ]
    plans = [_with_options(plan, log_outage, memory_mb, sockets) for plan in plans]
    folder = keep or Path(tempfile.mkdtemp(prefix="soak-"))
    kept = sum(_run_and_report(plan, folder, uses_shim=not no_shim) for plan in plans)
    if not keep:
        shutil.rmtree(folder)
    typer.echo(f"{kept} of {seeds} runs kept all rules")
    raise typer.Exit(code=int(kept < seeds))


if __name__ == "__main__":
    typer.run(main)
