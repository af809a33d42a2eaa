"""The frame of a case: starts it, bounds its time, writes its record and sets the exit status."""

import asyncio
import os
import sys
import time
import traceback
from collections.abc import Awaitable, Callable
from pathlib import Path

from review.parts.deployment import EXIT_BROKEN, EXIT_COULD_NOT_RUN, EXIT_HELD, Deployment

MAX_DURATION_S = 112.0


class Record:
    """The lines of `record.txt`, and the violations of the rule among them."""

    def __init__(self) -> None:
        self.lines: list[str] = []
        self.violations: list[str] = []
        self.reason_not_run = ""
        self._started_at = time.time()

    def __call__(self, text: str) -> None:
        """Add a line with the time since the start."""
        self.lines.append(f"{time.time() - self._started_at:8.3f} {text}")

    def violation(self, text: str) -> None:
        """Add a violation of the rule."""
        self.violations.append(text)

    def could_not_run(self, reason: str) -> None:
        """State that the run proves nothing."""
        self.reason_not_run = self.reason_not_run or reason

    def status(self) -> int:
        """Return the exit status."""
        if self.reason_not_run:
            return EXIT_COULD_NOT_RUN
        return EXIT_BROKEN if self.violations else EXIT_HELD

    def write(self, path: Path) -> None:
        """Write the file; the first lines are the result."""
        result = {EXIT_HELD: "held", EXIT_BROKEN: "broken", EXIT_COULD_NOT_RUN: "could not run"}[
            self.status()
        ]
        head = [f"result: {result} {self.reason_not_run}".rstrip(), f"violations: {len(self.violations)}"]
        path.write_text("\n".join([*head, *self.violations[:20], "", *self.lines]) + "\n")


def has_trouble() -> bool:
    """Return whether the disruption is part of this run."""
    return os.environ.get("TROUBLE", "1") != "0"


def run_case(folder: Path, play: Callable[[Deployment, Record], Awaitable[None]]) -> None:
    """Play a case in a new deployment, and exit with its status."""
    record = Record()
    record(f"trouble: {has_trouble()}")
    asyncio.run(_play(play, record))
    record.write(folder / "record.txt")
    print("\n".join((folder / "record.txt").read_text().splitlines()[:6]))
    sys.exit(record.status())


async def _play(play: Callable[[Deployment, Record], Awaitable[None]], record: Record) -> None:
    deployment = Deployment()
    try:
        await asyncio.wait_for(play(deployment, record), MAX_DURATION_S)
    except Exception as error:  # noqa: BLE001 - whatever fails, the case could not run
        record(traceback.format_exc())
        record.could_not_run(f"{type(error).__name__}: {error}")
    finally:
        await deployment.end()


class LagMeter:
    """Measures how late this process runs, as its own lateness must not count against the router."""

    INTERVAL_S = 0.02

    def __init__(self) -> None:
        self.max_s = 0.0
        self._task = asyncio.create_task(self._measure())

    async def _measure(self) -> None:
        while True:
            at = time.monotonic()
            await asyncio.sleep(self.INTERVAL_S)
            self.max_s = max(self.max_s, time.monotonic() - at - self.INTERVAL_S)

    def stop(self) -> None:
        """End the measurement."""
        self._task.cancel()
