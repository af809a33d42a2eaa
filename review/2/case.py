"""Workers of other cells take over addresses in an outage of the change log: does a request run twice?"""

import asyncio
import random
import signal
import sys
import time
from collections import defaultdict
from pathlib import Path
from typing import Any

from review.common import site
from review.common.load import MAX_LAG_S, Load
from review.common.runner import BROKEN, HELD, NOT_RUN, TROUBLE, main

ROUTERS, WORKERS, CELLS, FUNCTIONS = 2, 8, 4, 3
RATE = 200.0
WARM_S = 6.0
OUTAGE_S = 8.0  # the page's length of an outage
DRAIN_AFTER_S, GONE_AFTER_S, TAKEN_AFTER_S = 0.2, 1.2, 1.3  # from the break of the log
OPTIONS = ("run_s=0.15",)
BAD = ("error_share=0.4",)  # of one of eight workers


class Case:
    """The deployment, and what happens to it."""

    def __init__(self, folder: Path, record: site.Record) -> None:
        self.record = record
        self.log = site.ChangeLog()
        router_settings = site.settings(ROUTERS, quota_rps=RATE / 4)
        router_settings["classes"][1]["group"] = "cell"
        self.folder = folder
        self.workers = [site.WorkerProcess(folder, f"s-{each:08x}", *OPTIONS) for each in range(WORKERS)]
        for number, worker in enumerate(self.workers):
            worker.cell = 1 + number % CELLS
        self.old: list[site.WorkerProcess] = []
        self.new: list[site.WorkerProcess] = []
        self.routers = [
            site.Router(folder, f"n{number}", self.log, router_settings) for number in range(ROUTERS)
        ]
        functions = [f"{random.getrandbits(64):016x}" for _ in range(FUNCTIONS)]
        self.load = Load(self.routers, functions, RATE, record, shares=(0.3, 0.7, 0.0))

    def choose_replaced(self) -> None:
        """Choose the busiest worker of each cell; the successor of the busiest of all is bad."""
        busy = {worker: sum(seen["event"] == "run" for seen in worker.seen()) for worker in self.workers}
        self.workers.sort(key=busy.__getitem__, reverse=True)
        self.old = [next(each for each in self.workers if each.cell == cell + 1) for cell in range(CELLS)]
        self.old.sort(key=busy.__getitem__, reverse=True)
        for number, old in enumerate(self.old):
            bad = BAD if number < WORKERS // 8 else ()
            new = site.WorkerProcess(self.folder, f"s-{WORKERS + number:08x}", *OPTIONS, *bad)
            new.port = old.port
            new.cell = 1 + old.cell % CELLS
            self.new.append(new)

    async def start(self) -> bool:
        """Start all processes; return whether they are ready."""
        await self.log.up()
        for worker in self.workers:
            worker.start()
        await asyncio.gather(*(worker.wait_listening() for worker in self.workers))
        self.log.publish(*(worker.member() for worker in self.workers), complete=True)
        for router in self.routers:
            router.start()
            self.load.open_to.add(router.name)
        return all(await asyncio.gather(*(router.wait_ready() for router in self.routers)))

    async def replace(self) -> None:
        """Replace workers by those of other cells at their addresses; the log is down, but has all events."""
        self.choose_replaced()
        start = time.monotonic()
        if TROUBLE:
            await self.log.down()
            self.record("change log down")
        await asyncio.sleep(DRAIN_AFTER_S)
        for old in self.old:
            old.signal(signal.SIGUSR1)
            self.log.publish(old.member("terminating"))
            self.record(f"{old.name} of cell {old.cell} drains")
        await asyncio.sleep(start + GONE_AFTER_S - time.monotonic())
        for old in self.old:
            old.kill()
            self.log.publish(old.member("terminated"))
            self.record(f"{old.name} has ended")
        await asyncio.sleep(start + TAKEN_AFTER_S - time.monotonic())
        for new in self.new:
            new.start()
        await asyncio.gather(*(new.wait_listening() for new in self.new))
        for new in self.new:
            new.up_since_ms = int(time.time() * 1000)
            self.log.publish(new.member())
            self.record(f"{new.name} of cell {new.cell} listens at the address of an old one")
        await asyncio.sleep(start + OUTAGE_S - time.monotonic())
        if TROUBLE:
            await self.log.up()
            self.record("change log up")

    def violations(self) -> int:
        """Count and record the keyed requests that were sent to another cell after they had run in one."""
        events: dict[str, list[tuple[float, str, site.WorkerProcess]]] = defaultdict(list)
        for worker in [*self.workers, *self.new]:
            for seen in worker.seen():
                if seen["event"] in ("attempt", "run", "ran", "error"):
                    events[seen["id"]].append((seen["at"], seen["event"], worker))
                    self.record(f"{worker.name} {seen['event']} {seen['id']}", seen["at"])
        keyed = [sent for sent in self.load.requests if sent.class_name == "change-filing"]
        return sum(self._is_broken(sent.call, sorted(events[sent.call], key=_time)) for sent in keyed)

    def _is_broken(self, call: str, events: list[tuple[float, str, site.WorkerProcess]]) -> bool:
        runs = [(at, worker) for at, event, worker in events if event == "run"]
        if len({worker.cell for _, worker in runs}) <= 1:
            return False
        text = ", then ".join(f"at {worker.name} of cell {worker.cell}" for _, worker in runs)
        self.record(f"BROKEN: {call} ran {text}", runs[0][0])
        return True

    def stop(self) -> None:
        """End all processes."""
        for process in [*self.routers, *self.workers, *self.new]:
            process.kill()

    async def run(self) -> int:
        """Run the case and return its exit status."""
        if not await self.start():
            self.record("a process is not ready")
            return NOT_RUN
        traffic = asyncio.create_task(self.load.run(WARM_S + OUTAGE_S + 2.0))
        await asyncio.sleep(WARM_S)
        await self.replace()
        await traffic
        await self.load.finish()
        self.load.write_record()
        broken = self.violations()
        self.record(f"keyed requests that ran in two cells: {broken}")
        if broken:
            return BROKEN
        return NOT_RUN if self.load.max_lag_s > MAX_LAG_S else HELD


def _time(event: tuple[float, Any, Any]) -> float:
    return event[0]


if __name__ == "__main__":
    sys.exit(main(Path(__file__).parent / "record.txt", Case))
