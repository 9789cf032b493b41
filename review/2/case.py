"""A request that crashes engines comes again and again, beside ordinary orders; all machines are killed once."""
import asyncio
import os
import pathlib
import random
import sys
import tempfile
import time

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE))
from machines import BOUNDS, Engine, Machine, Record, Store, request  # noqa: E402

ZONES = {"muscat-a": "muscat", "muscat-b": "muscat"}
STABLE_S = BOUNDS["stable-ms"] / 1000
MOST_RETRIES = 3
LENGTH_S = 85
ORDERS_PER_S = 56
KEY = "wu3fexd9dnn2ctnfzs98"
CONFIG = {
    "version": 7,
    "routes": [{"name": "r-orders", "host": "jepu9.example", "prefix": "/orders/", "kind": "non_idempotent", "timeout-ms": 3000,
                "target-latency-ms": 200, "priority": 2, "service": "orders", "max-attempts": 1, "public": False}],
    "services": [{"name": "orders", "health-path": "/health", "max-conns": 110}],
    "limits": {"max-header-bytes": 16384, "max-body-bytes": 4194304, "header-timeout-ms": 3000, "idle-timeout-ms": 15000},
    "tenants": [{"name": "sese880", "api-keys": [KEY], "priority": 1, "rate-per-s": 0, "burst": 0}]}


class Case:
    def __init__(self, trouble, folder):
        self.trouble, self.folder = trouble, folder
        self.record = Record(HERE / "record.txt")
        self.rng = random.Random(5)
        self.sent, self.answered = 0, 0
        self.sender = {}   # Machine that each deadly attempt was sent to, and when.
        self.crashes = []  # Time, machine and whether it was in touch when it passed the request on.
        self.pause_until = 0.0

    async def start(self):
        network = f"127.{self.rng.randrange(20, 120)}.{os.getpid() % 250}"
        self.store = Store()
        await self.store.start((f"{network}.1", 8601))
        self.store.put("op", "config", CONFIG)
        self.engines = [Engine(n, (f"{network}.{50 + n}", 8080), ("muscat-a", "muscat-b")[n % 2], self.store, self.record) for n in range(5)]
        for engine in self.engines:
            engine.on_crash = self.on_crash
            await engine.start()
        self.machines = [Machine(f"front-{zone}-{n}", f"{network}.{100 + i}", zone, ZONES, (f"{network}.1", 8601), self.folder)
                         for i, (zone, n) in enumerate((zone, n) for zone in ZONES for n in (1, 2))]
        for machine in self.machines:
            machine.start()
        for machine in self.machines:
            await machine.until_ready(20)

    def on_crash(self, engine, request_id):
        machine, sent_at = self.sender[request_id]
        in_touch = sent_at - machine.started >= STABLE_S
        self.crashes.append((time.monotonic(), machine.name, in_touch))
        self.record.write(f"  sent by {machine.name}, {'in touch' if in_touch else 'not in touch'}; crash {len(self.crashes)}")

    async def orders(self):
        """Ordinary orders, each of its own, sent once."""
        async def one(number):
            machine = self.rng.choice(self.machines)
            headers = {"Host": "jepu9.example", "Authorization": f"Token {KEY}", "X-Request-Id": f"order-{number}", "X-Request-Deadline-Ms": 3000}
            status, _ = await request(machine, headers, f"order {number}".encode(), 3.5)
            self.answered += status == "200"
        while True:
            self.sent += 1
            asyncio.ensure_future(one(self.sent))
            await asyncio.sleep(1 / ORDERS_PER_S)

    async def deadly(self):
        """The same request again, at any machine, about once a second."""
        number = 0
        while True:
            await asyncio.sleep(1.0)
            if time.monotonic() < self.pause_until:
                continue
            number += 1
            machine = self.rng.choice(self.machines)
            request_id = f"deadly-{number}"
            self.sender[request_id] = (machine, time.monotonic())
            headers = {"Host": "jepu9.example", "Authorization": f"Token {KEY}", "X-Request-Id": request_id, "X-Request-Deadline-Ms": 3000}
            status, _ = await request(machine, headers, b"deadly", 3.5)
            self.record.write(f"{request_id} to {machine.name}: {status}")

    async def kill_all(self):
        """Once the fourth crash is known, all processes are killed, and start again after a short delay."""
        while len(self.crashes) < 4:
            await asyncio.sleep(0.1)
        await asyncio.sleep(2)
        for machine in self.machines:
            machine.kill()
        self.record.write("all processes are killed")
        await asyncio.sleep(0.5)
        for machine in self.machines:
            machine.start()
        self.pause_until = time.monotonic() + STABLE_S + 0.5
        self.record.write("all processes are started")

    async def play(self):
        await self.start()
        self.record.write("all machines are ready")
        await asyncio.sleep(STABLE_S + 0.5)
        work = [asyncio.ensure_future(self.orders()), asyncio.ensure_future(self.deadly())]
        if self.trouble:
            work.append(asyncio.ensure_future(self.kill_all()))
        await asyncio.sleep(LENGTH_S)
        for each in work:
            each.cancel()
        for each in work:
            if each.done() and not each.cancelled() and each.exception() is not None:
                raise each.exception()
        return self.judge()

    def judge(self):
        self.record.write(f"{self.sent} ordinary orders sent, {self.answered} answered with success")
        if len(self.crashes) < 3 or self.answered < self.sent / 2 or (self.trouble and len(self.crashes) < 4):
            self.record.write("the case could not run")
            return 2
        third = self.crashes[2][0]
        late = [crash for crash in self.crashes[3:] if crash[0] > third + STABLE_S and crash[2]]
        self.record.write(f"{len(self.crashes)} crashes; {len(late)} retries reached engines over {STABLE_S} s after the third, by machines in touch; {MOST_RETRIES} are allowed")
        self.record.write("BROKEN: BUDGET" if len(late) > MOST_RETRIES else "held: BUDGET")
        return 1 if len(late) > MOST_RETRIES else 0


async def main():
    with tempfile.TemporaryDirectory() as folder:
        case = Case(os.environ.get("TROUBLE", "1") != "0", pathlib.Path(folder))
        try:
            return await case.play()
        except Exception as failure:  # Whatever it is, the case could not run.
            case.record.write(f"the case could not run: {failure!r}")
            return 2
        finally:
            for machine in getattr(case, "machines", []):
                machine.kill()
            if keep := os.environ.get("KEEP_LOGS"):
                for log in pathlib.Path(folder).glob("*.log"):
                    pathlib.Path(keep, log.name).write_bytes(log.read_bytes())


result = asyncio.run(main())
sys.stdout.flush()
os._exit(result)
