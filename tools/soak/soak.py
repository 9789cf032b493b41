#!/usr/bin/env python3
"""Randomized fault soak of tarragontrail-relay on real processes over loopback.

Starts relay processes, stand-ins for the platform's store and engines, and callers with kept connections;
stops, throttles, ends and restarts processes, breaks links, engines and the store, and changes the
configuration meanwhile. Exits with 1 on a finding; the last line counts what happened.
"""
import argparse
import asyncio
import os
import pathlib
import random
import signal
import sys
import tempfile
import time

import callers
import checks
import cuts
import engines
import faults
import instances
import odd
import proxy
import store

ROOT = pathlib.Path(__file__).resolve().parent.parent.parent
STORE_PORT = 8601
GRACE_S = 8
START_S = 20
# Callers that ask the directory, for each instance.
DIRECTORY_CALLERS = 8
# Time for which an instance may still use an older configuration, in seconds.
CONFIGURATION_S = 15
ALL_KINDS = "process,links,engines,store,returns,repeats,silent,configurations"
# Kinds that run only when they are named.
OTHER_KINDS = "odd-rows,versions,leaving,large,limits,deadly,weights,regions,mute,real-ends,cuts,\
store-parts,silent-store,many-starts,fast-releases,odd-answers"
# What "real-ends" stands for; each of them may be named alone.
REAL_ENDS = {"exits", "late-listeners", "address-reuse", "drips", "fresh-deadlines", "early-take-ups"}
# Networks of loopback addresses that runs side by side choose from: 127.16.0 to 127.126.255.
NETWORKS = 110 * 256


class Run:
    """One run: its processes, stand-ins, links and callers."""

    def __init__(self, options):
        self.options, self.seed = options, options.seed
        self.binary = pathlib.Path(options.build).resolve() / "tarragontrail-relay"
        self.folder = pathlib.Path(options.logs or tempfile.mkdtemp(prefix=f"soak-{options.seed}-"))
        self.folder.mkdir(parents=True, exist_ok=True)
        self.kinds = set(options.kinds.split(","))
        if "versions" in self.kinds:
            self.kinds |= {"process", "engines", "store"}
        if "real-ends" in self.kinds:
            self.kinds |= REAL_ENDS
        self.calm, self.link_share, self.grace = options.calm, options.link_share, GRACE_S
        self.idle_timeout, self.route_timeout, self.lag = 1.0, 2.0, 0.0
        # Region of each zone.
        places = "ab" if "regions" in self.kinds else "a"
        self.regions = {f"zone-{place}": f"region-{place}" for place in places}
        self.cuts = None
        if "cuts" in self.kinds:
            self.regions = {"zone-a": "region-a", "zone-b": "region-a", "zone-c": "region-b"}
            self.cuts = cuts.Cuts(self)
        self.closing = False
        # The newest configuration's services of routes that move, and its limits.
        self.services, self.limits = {}, {}
        # Services that configurations named for each route that moves, and routes that they added or dropped, with times.
        self.service_history, self.more, self.dropped = {}, {}, {}
        self.idle_limits = [(time.monotonic(), self.idle_timeout)]
        self.tasks = set()
        self.keys = faults.Keys()
        self.checks = checks.Checks(self)
        self.schedule = faults.Schedule(self)
        self.store = store.Store(self.rng("store"))
        self.instances, self.engines, self.links = [], [], []

    def rng(self, name):
        """Source of random numbers of one part; depends on the seed and the part alone."""
        return random.Random(f"{self.seed}/{name}")

    def spawn(self, coroutine):
        task = asyncio.ensure_future(coroutine)
        self.tasks.add(task)
        task.add_done_callback(self.on_task_done)
        return task

    def on_task_done(self, task):
        self.tasks.discard(task)
        if not task.cancelled() and task.exception() is not None:
            self.checks.finding("SOAK", f"a task of the soak failed: {task.exception()!r}")

    def idle_limit_since(self, moment):
        """Smallest idle time-out that an instance may have used since then, in seconds."""
        known = [limit for at, limit in self.idle_limits if at > moment - CONFIGURATION_S]
        return min([*known, self.idle_limits[max(0, len(self.idle_limits) - len(known) - 1)][1]])

    async def start_store(self):
        """Claims a network of loopback addresses that no other run uses, by listening in it."""
        first = random.Random(f"{self.seed}/{os.getpid()}").randrange(NETWORKS)
        for number in range(first, first + 50):
            self.network = f"127.{16 + number // 256 % 110}.{number % 256}"
            try:
                await self.store.start(f"{self.network}.1", STORE_PORT)
                return
            except OSError:
                continue  # Another run has it.
        raise RuntimeError("no free network of loopback addresses")

    async def add_link(self, name, listen, target):
        link = proxy.Link(name, listen, target)
        await link.start()
        self.links.append(link)
        return link

    async def start(self):
        await self.start_store()
        self.schedule.write_configuration()
        self.schedule.write_weights()
        for number in range(self.options.engines):
            own = (f"{self.network}.{10 + number}", 8080)
            shown = (f"{self.network}.{50 + number}", 8080)
            moved = "configurations" in self.kinds and number % 6 == 4
            is_gen = number % 4 if "versions" in self.kinds else number % 2
            service = "gen" if is_gen else "spare" if moved else "plain"
            engine = engines.Engine(number, service, own, shown, self)
            engine.link = await self.add_link(f"link:{engine.name}", shown, own)
            engine.link.cuts = self.cuts
            await engine.start()
            self.engines.append(engine)
        self.trap = odd.Trap((f"{self.network}.9", 8080), self)
        await self.trap.start()
        for number in range(self.options.instances):
            away = (f"{self.network}.2", 8700 + number)
            instance = instances.Instance(number, f"{self.network}.{100 + number}", away, self)
            await self.add_link(f"link:store:{instance.name}", away, (f"{self.network}.1", STORE_PORT))
            shown = (f"{self.network}.{170 + number}", 8606)
            instance.link = await self.add_link(f"link:{instance.name}", shown, instance.front)
            self.instances.append(instance)
            instance.start()
        end = time.monotonic() + START_S
        for instance in self.instances:
            while not await self.checks.serves(instance):
                if time.monotonic() > end:
                    raise RuntimeError(f"{instance.name} does not serve; see {instance.log_path}")
                await asyncio.sleep(0.1)
        await asyncio.sleep(1)

    async def measure_lag(self):
        """Follows how late this program itself is, which widens its bounds."""
        while True:
            before = time.monotonic()
            await asyncio.sleep(0.1)
            late = time.monotonic() - before - 0.1
            self.lag = max(late, self.lag * 0.98)
            self.checks.counts["lag_ms"] = max(self.checks.counts["lag_ms"], int(late * 1000))

    async def work(self):
        await self.start()
        self.spawn(self.measure_lag())
        self.spawn(self.checks.watch_processes())
        number = 0
        for instance in self.instances:
            for _ in range(self.options.callers):
                self.spawn(callers.Caller(number, instance, self).live())
                number += 1
        if self.cuts is not None:
            for _ in range(DIRECTORY_CALLERS * len(self.instances)):
                self.spawn(callers.DirectoryCaller(number, self.rng(f"place-{number}").choice(self.instances), self).live())
                number += 1
        if "deadly" in self.kinds:
            for one in range(callers.DEADLY):
                self.spawn(callers.DeadlyCaller(number + one, self.instances[0], self).live())
        troubles = [self.spawn(loop) for loop in self.schedule.loops()]
        await asyncio.sleep(self.options.seconds)
        for trouble in troubles:
            trouble.cancel()
        # What is under way ends, and its arrivals are known.
        self.closing = True
        await asyncio.sleep(self.route_timeout + checks.SETTLE_S + 1)

    def end_processes(self):
        for instance in self.instances:
            if instance.process is not None and instance.process.poll() is None:
                instance.kill()

    def summary(self):
        found = sum(self.checks.findings.values())
        kinds = " ".join(f"{kind}={count}" for kind, count in sorted(self.checks.findings.items()))
        counts = " ".join(f"{name}={count}" for name, count in sorted(self.checks.counts.items()))
        shares = " ".join(f"share_{kind}={self.checks.share(kind):.2f}" for kind in ("new", "taken_up")
                          if self.checks.counts[f"streams_{kind}"])
        first = self.cuts.summary() if self.cuts is not None else ""
        return f"soak seed={self.seed} findings={found} {kinds} {counts} {shares} {first} logs={self.folder}"


def read_options(arguments):
    parser = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--seconds", type=float, default=60, help="time with faults")
    parser.add_argument("--instances", type=int, default=3, help="relay processes, at most 60")
    parser.add_argument("--callers", type=int, default=100, help="kept connections of each instance")
    parser.add_argument("--engines", type=int, default=6, help="engines, at most 40")
    parser.add_argument("--calm", type=float, default=1.0, help="factor on the times between faults")
    parser.add_argument("--link-share", type=float, default=0.3, help="part of the callers behind a faulty link")
    parser.add_argument("--kinds", default=ALL_KINDS,
                        help=f"faults beside pauses: {ALL_KINDS}; only when named: {OTHER_KINDS}")
    parser.add_argument("--build", default=str(ROOT / "build"), help="folder of the built program")
    parser.add_argument("--logs", help="folder of this run's logs; a new one by default")
    options = parser.parse_args(arguments)
    if not 1 <= options.instances <= 60 or not 2 <= options.engines <= 40:
        parser.error("1 to 60 instances and 2 to 40 engines")
    return options


async def run_soak(run):
    task = asyncio.current_task()
    for number in (signal.SIGINT, signal.SIGTERM, signal.SIGHUP):
        asyncio.get_running_loop().add_signal_handler(number, task.cancel)
    try:
        await run.work()
    finally:
        run.end_processes()
        # The stand-ins' connections end with the loop, which is no news.
        asyncio.get_running_loop().set_exception_handler(lambda loop, context: None)
        # Their restarts would start processes that nobody ends. A task whose wait ends in the same moment
        # misses the call to end, so it is repeated.
        while run.tasks:
            for one in list(run.tasks):
                one.cancel()
            await asyncio.wait(run.tasks, timeout=0.2)
        run.end_processes()


def main():
    run = Run(read_options(sys.argv[1:]))
    print(f"soak: seed {run.seed}, logs in {run.folder}", flush=True)
    try:
        asyncio.run(run_soak(run))
    except (Exception, asyncio.CancelledError) as failure:
        run.checks.finding("SOAK", f"the run broke off: {failure!r}")
    for instance in run.instances:
        for line in instance.new_log_lines():
            if any(fault in line for fault in checks.LOG_FAULTS):
                run.checks.finding("LOG", f"{instance.name}: {line}")
        with open(instance.log_path, encoding="utf-8", errors="replace") as log:
            run.checks.check_unread(log)
    run.checks.judge_shares()
    if run.cuts is not None:
        run.cuts.judge()
    print(run.summary())
    return 1 if run.checks.findings else 0


if __name__ == "__main__":
    sys.exit(main())
