"""Runs a case: a temporary folder, a limit of time, an exit status, and the end of all processes."""

import asyncio
import os
import signal
import sys
import tempfile
import traceback
from collections.abc import Callable
from pathlib import Path
from typing import Protocol

from review.common import site

HELD, BROKEN, NOT_RUN = 0, 1, 2
LIMIT_S = 110.0
TROUBLE = os.environ.get("TROUBLE", "1") != "0"


class Case(Protocol):
    """A deployment, and what happens to it."""

    async def run(self) -> int:
        """Run the case and return its exit status."""

    def stop(self) -> None:
        """End all processes that the case started."""


def _end(*_: object) -> None:
    sys.exit(NOT_RUN)


def main(record_path: Path, create: Callable[[Path, site.Record], Case]) -> int:
    """Create a case in a temporary folder, run it, and return its exit status."""
    signal.signal(signal.SIGTERM, _end)
    record = site.Record(record_path)
    with tempfile.TemporaryDirectory() as folder:
        case = create(Path(folder), record)
        try:
            status = asyncio.run(asyncio.wait_for(case.run(), LIMIT_S))
        except (OSError, ValueError):
            record(f"couldn't run: {traceback.format_exc()}")
            status = NOT_RUN
        finally:
            case.stop()
            record(f"trouble {'on' if TROUBLE else 'off'}")
            record.close()
    return status
