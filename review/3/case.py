"""Restarts in an outage of the change log, as a release begins: do drained workers get new work?"""

import asyncio
import random
import signal
import sys
import time
from pathlib import Path

from review.common import site
from review.common.load import MAX_LAG_S, SLACK_S, Load
from review.common.runner import BROKEN, HELD, NOT_RUN, TROUBLE, main

ROUTERS, WORKERS, DRAINED = 60, 12, 4
KILLED_SHARE = 0.7  # of the routers; the page names seven in ten
OUTAGE_S = 8.0  # the page's length of an outage
AFTER_BREAK_S = 4.0  # an event counts as notified at this time of an outage, at the latest
KILLED_AFTER_S = 4.2  # from the break to the kill
DOWN_S = 0.5  # a restart takes 0.2 to 1.5 s
DRAIN_GRACE_S = 1.0 + 0.05  # of the settings, and 50 ms on sockets
RATE = 420.0
WARM_S = 5.0


class Case:
    """The deployment, and what happens to it."""

    def __init__(self, folder: Path, record: site.Record) -> None:
        self.record = record
        self.log = site.ChangeLog()
        router_settings = site.settings(ROUTERS)
        self.workers = [site.WorkerProcess(folder, f"s-{number:08x}") for number in range(WORKERS)]
        self.routers = [
            site.Router(folder, f"n{number}", self.log, router_settings) for number in range(ROUTERS)
        ]
        functions = [f"{random.getrandbits(64):016x}" for _ in range(24)]
        self.load = Load(self.routers, functions, RATE, self.record)
        self.drained_at: dict[str, float] = {}
        self.has_started = asyncio.Event()

    async def start(self) -> bool:
        """Start all processes; return whether they are ready."""
        await self.log.up()
        for worker in self.workers:
            worker.start()
        await asyncio.gather(*(worker.wait_listening() for worker in self.workers))
        self.log.publish(*(worker.member() for worker in self.workers), complete=True)
        return await self.start_routers(self.routers)

    async def start_routers(self, routers: list[site.Router]) -> bool:
        """Start routers at the same time; clients use each once it is ready."""
        await asyncio.gather(*(asyncio.to_thread(router.start) for router in routers))
        self.record(f"{len(routers)} routers started, with {len(self.log.events)} events")
        self.has_started.set()
        return all(await asyncio.gather(*(self._use(router) for router in routers)))

    async def _use(self, router: site.Router) -> bool:
        is_ready = await router.wait_ready()
        if is_ready:
            self.record(f"{router.name} ready")
            self.load.open_to.add(router.name)
        return is_ready

    async def disturb(self) -> None:
        """Let the log fail, kill and restart routers, and start the release."""
        broken_at = time.monotonic()
        killed = self.routers[: int(KILLED_SHARE * ROUTERS)]
        restart = None
        if TROUBLE:
            await self.log.down()
            self.record("change log down")
            await asyncio.sleep(KILLED_AFTER_S)
            for router in killed:
                self.load.open_to.discard(router.name)
                router.kill()
            self.record(f"{len(killed)} routers killed")
            await asyncio.sleep(DOWN_S)
            self.has_started.clear()
            restart = asyncio.create_task(self.start_routers(killed))
            await self.has_started.wait()
        else:
            await asyncio.sleep(KILLED_AFTER_S + DOWN_S)
        self.drain(broken_at)
        await asyncio.sleep(broken_at + OUTAGE_S - time.monotonic())
        if restart is not None:
            await restart
            await self.log.up()
            self.record("change log up")

    def drain(self, broken_at: float) -> None:
        """Begin the release: the first workers drain, which the change log has at once."""
        for worker in self.workers[:DRAINED]:
            worker.signal(signal.SIGUSR1)
            published_at = self.log.publish(worker.member("terminating"))
            at = max(published_at, broken_at + AFTER_BREAK_S) if TROUBLE else published_at
            self.drained_at[worker.name] = at
            self.record(f"{worker.name} drains, event {len(self.log.events)}", published_at)

    def violations(self) -> int:
        """Count and record the new work that reached a drained worker too late."""
        count = 0
        for worker in self.workers:
            drained_at = self.drained_at.get(worker.name, float("inf"))
            for seen in worker.seen():
                is_new_work = seen["event"] == "attempt" or int(seen.get("slots_up", 0)) > 0
                late_s = seen["at"] - drained_at
                text = f"{worker.name} got {seen['event']} {seen.get('id', '')}"
                if is_new_work and late_s > DRAIN_GRACE_S + SLACK_S:
                    count += 1
                    text += f": BROKEN, {late_s:.3f} s after the drain counts as notified"
                self.record(text, seen["at"])
        return count

    def stop(self) -> None:
        """End all processes."""
        for process in [*self.routers, *self.workers]:
            process.kill()

    async def run(self) -> int:
        """Run the case and return its exit status."""
        if not await self.start():
            self.record("a process is not ready")
            return NOT_RUN
        traffic = asyncio.create_task(self.load.run(WARM_S + OUTAGE_S + 1.0))
        await asyncio.sleep(WARM_S)
        await self.disturb()
        await traffic
        await self.load.finish()
        self.load.write_record()
        broken = self.violations()
        self.record(f"served: {sum(sent.fate == 'served' for sent in self.load.requests)}")
        self.record(f"new work to drained workers after the grace: {broken}")
        if broken:
            return BROKEN
        return NOT_RUN if self.load.max_lag_s > MAX_LAG_S else HELD


if __name__ == "__main__":
    sys.exit(main(Path(__file__).parent / "record.txt", Case))
