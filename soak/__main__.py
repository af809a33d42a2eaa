"""The command line of the soak test: ``python -m soak --seeds 5``."""

import asyncio
import shutil
import sys
import tempfile
import time
from pathlib import Path
from typing import Annotated

import msgspec
import typer

from soak.judge import Judge, Verdict
from soak.plan import FaultKind, Plan, draw_plan
from soak.run import Run


def _play(plan: Plan, folder: Path, *, uses_shim: bool) -> Verdict:
    if folder.exists():
        shutil.rmtree(folder)
    folder.mkdir(parents=True)
    (folder / "plan.json").write_bytes(msgspec.json.format(msgspec.json.encode(plan)))
    record = asyncio.run(Run(plan, folder, uses_shim=uses_shim).play())
    return Judge(record).judge()


def _report(plan: Plan, verdict: Verdict, took_s: float) -> None:
    kinds = sorted({fault.kind for fault in plan.faults})
    figures = ", ".join(f"{name} {count}" for name, count in sorted(verdict.figures.items()) if count)
    outcome = "broken" if verdict.violations else "kept"
    typer.echo(f"seed {plan.seed}: {outcome} in {took_s:.0f} s; {', '.join(kinds) or 'no faults'}; {figures}")
    for rule, count in verdict.violations.items():
        typer.echo(f"  {count} x {rule}")
        for example in verdict.examples[rule]:
            typer.echo(f"    {example}")
    sys.stdout.flush()


def main(
    seed: Annotated[int, typer.Option(help="The first seed.")] = 1,
    seeds: Annotated[int, typer.Option(help="How many seeds to play, one after the other.")] = 1,
    seconds: Annotated[float, typer.Option(help="Length of the traffic of a run.")] = 20.0,
    routers: Annotated[int, typer.Option(help="Router processes.")] = 16,
    workers: Annotated[int, typer.Option(help="Worker processes.")] = 12,
    rate: Annotated[float, typer.Option(help="Requests a second, of all clients together.")] = 250.0,
    fault: Annotated[
        list[FaultKind] | None, typer.Option(help="Only these kinds; without it, all of them.")
    ] = None,
    no_faults: Annotated[bool, typer.Option("--no-faults", help="A calm run.")] = False,
    no_shim: Annotated[bool, typer.Option("--no-shim", help="Leave system calls and clocks alone.")] = False,
    keep: Annotated[Path | None, typer.Option(help="Keep records and logs in this folder.")] = None,
) -> None:
    """Play runs of real processes on loopback, judge each, and exit with 1 if any broke a rule."""
    kinds = [] if no_faults else (fault or list(FaultKind))
    folder = keep or Path(tempfile.mkdtemp(prefix="soak-"))
    broken = 0
    for number in range(seed, seed + seeds):
        plan = draw_plan(
            number,
            routers,
            workers,
            duration_s=seconds,
            requests_per_s=rate,
            kinds=kinds,
        )
        started = time.monotonic()
        verdict = _play(plan, folder / f"seed-{number}", uses_shim=not no_shim)
        _report(plan, verdict, time.monotonic() - started)
        broken += bool(verdict.violations)
    if not keep:
        shutil.rmtree(folder)
    typer.echo(f"{seeds - broken} of {seeds} runs kept all rules")
    raise typer.Exit(code=bool(broken))


if __name__ == "__main__":
    typer.run(main)
