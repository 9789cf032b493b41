"""Runs relays of the deploy file on loopback, beside small stand-ins of the platform, servers and clients."""
import asyncio
import ctypes
import json
import os
import pathlib
import random
import re
import shutil
import signal
import subprocess
import sys
import tempfile
import time
import tomllib

ROOT = pathlib.Path(__file__).resolve().parent.parent
sys.path.insert(0, str(ROOT / "tools" / "soak"))

import store  # noqa: E402  The soak's stand-in of the platform's store.
import wire  # noqa: E402

HOST = "jepu9.example"
KEY = "wu3fexd9dnn2ctnfzs98"
PR_SET_PDEATHSIG = 1
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
LIBC = ctypes.CDLL(None)

# Bounds and limits of the small deployments in the users' site files.
BOUNDS = {"seed-lag-s": 3, "reuse-after-s": 2, "stable-ms": 3000, "ack-ms": 4000, "catch-up-s": 4, "drain-ms": 2500,
          "grace-s": 8, "loss-slack-ms": 200, "config-apply-ms": 2500, "downgrade-slack-ms": 250, "outer-ms": 5000,
          "revoke-fail-closed": False, "revoke-ms": 5000, "retry-budget-ratio": 0.2, "budget-window-s": 10,
          "retry-budget-slack": 58, "quota-window-s": 8, "quota-overage": 0.1, "quota-slack": 190000,
          "recovery-s": 12, "transit-ms": 200, "reuse-window-s": 10, "fencing-required": True, "lease-ms": 3000,
          "thaw-slack-ms": 300, "version-ms": 8000, "version-all-ms": 11000, "ttl_max_s": 5}
LIMITS = {"cpu-share": 0.25, "cores": 1, "memory-mb": 260, "max-fds": 4100, "link-mbps": 1000.0, "disk-mb": 0}
CALLER_LIMITS = {"max-header-bytes": 16384, "max-body-bytes": 4194304, "header-timeout-ms": 3000,
                 "idle-timeout-ms": 15000}


class CannotRun(Exception):
    """The case could not be played."""


def die_with_parent():
    LIBC.prctl(PR_SET_PDEATHSIG, signal.SIGKILL)


def lookup(settings, path):
    value = settings
    for name in path.split("."):
        value = value[name]
    return value


def render(template, settings):
    """Fills in a settings template as DEPLOY.md says; sections are not needed here."""
    def fill(match):
        path, _, form = match.group(1).partition("|")
        value = lookup(settings, path)
        if form == "json" or isinstance(value, dict):
            return json.dumps(value)
        if isinstance(value, list):
            return ",".join(str(one) for one in value)
        return {True: "true", False: "false"}.get(value, str(value)) if isinstance(value, bool) else str(value)
    return re.sub(r"\{\{([^}]+)\}\}", fill, template)


class Relay:
    """One machine with the role of the deploy file."""

    def __init__(self, rig, number, zone, bounds):
        self.rig, self.number, self.zone = rig, number, zone
        self.name = f"front-{zone}-{number}"
        self.ip = f"{rig.network}.{100 + number}"
        self.bounds = bounds
        self.process, self.started_at = None, 0.0
        self.log = rig.folder / f"{self.name}.log"

    def address(self, name):
        return self.ip, {"front": 8606, "ready": 8605, "control": 8608, "directory": 8603}[name]

    def settings(self):
        listen = {name: "%s:%d" % self.address(name) for name in ("front", "ready", "control", "directory")}
        return {"node-name": self.name, "region": self.rig.zones[self.zone], "zone": self.zone, "ip": self.ip,
                "zones": self.rig.zones, "listen": listen, "internal-ports": [7600, 7615], "bounds": self.bounds,
                "limits": LIMITS, "provider": {"address": "%s:%d" % self.rig.store_address(self)}}

    def start(self):
        deploy = tomllib.loads((ROOT / "deploy" / "system.toml").read_text())
        role = deploy["roles"]["relay"]
        file = self.rig.folder / f"{self.name}.flags"
        file.write_text(render((ROOT / role["template"]).read_text(), self.settings()))
        command = role["run"].replace("/etc/tarragontrail/settings.toml", str(file)).split(" ")
        if not (ROOT / command[0]).exists():
            raise CannotRun(f"{command[0]} is not built")
        self.started_at = time.monotonic()
        with open(self.log, "ab") as log:
            self.process = subprocess.Popen(command, cwd=ROOT, stdin=subprocess.DEVNULL, stdout=log, stderr=log,
                                            preexec_fn=die_with_parent)

    def is_up(self):
        return self.process is not None and self.process.poll() is None

    def signal(self, number):
        if self.is_up():
            self.process.send_signal(number)

    def kill(self):
        self.signal(signal.SIGKILL)
        self.process.wait()

    def memory_mb(self):
        for line in pathlib.Path(f"/proc/{self.process.pid}/status").read_text().splitlines():
            if line.startswith("VmRSS:"):
                return int(line.split()[1]) / 1024
        return 0.0


class Rig:
    """The deployment: a store, relays, and what the case adds; ends what it started."""

    def __init__(self, zones=None):
        self.folder = pathlib.Path(tempfile.mkdtemp(prefix="tarragontrail-case-"))
        self.zones = zones or {"muscat-a": "muscat"}
        self.store = store.Store(random.Random(1))
        self.relays, self.servers, self.network = [], [], None
        self.begun = time.monotonic()
        self.record_path = pathlib.Path(os.environ.get("RECORD", "record.txt"))
        self.record_path.write_text("")
        self.tasks = set()

    def now(self):
        return time.monotonic() - self.begun

    def record(self, text):
        with open(self.record_path, "a", encoding="utf-8") as out:
            out.write(f"{self.now():8.3f} {text}\n")

    def spawn(self, coroutine):
        task = asyncio.ensure_future(coroutine)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)
        return task

    async def start_store(self):
        first = random.randrange(110 * 256)
        for number in range(first, first + 50):
            self.network = f"127.{16 + number // 256 % 110}.{number % 256}"
            try:
                await self.store.start(f"{self.network}.1", 8601)
                return
            except OSError:
                continue  # Another run has it.
        raise CannotRun("no free network of loopback addresses")

    def store_address(self, relay):
        return f"{self.network}.1", 8601

    async def start_relays(self, count, bounds=None, patience=20.0):
        zones = list(self.zones)
        bounds = {**BOUNDS, **(bounds or {})}
        for number in range(count):
            relay = Relay(self, number, zones[number % len(zones)], bounds)
            self.relays.append(relay)
            relay.start()
        for relay in self.relays:
            await self.until_ready(relay, patience)

    async def until_ready(self, relay, patience=20.0):
        end = time.monotonic() + patience
        while not await self.is_ready(relay):
            if time.monotonic() > end:
                raise CannotRun(f"{relay.name} does not become ready")
            await asyncio.sleep(0.1)

    async def is_ready(self, relay):
        try:
            status, _, _ = await asyncio.wait_for(get(relay.address("ready"), "/-/ready"), 1.0)
        except (*wire.READ_ERRORS, asyncio.TimeoutError):
            return False
        return status == 200

    def close(self):
        for relay in self.relays:
            if relay.is_up():
                relay.process.kill()
                relay.process.wait()
        for task in list(self.tasks):
            task.cancel()
        if "KEEP_LOGS" in os.environ:
            self.record(f"logs of the relays are in {self.folder}")
        else:
            shutil.rmtree(self.folder, ignore_errors=True)


async def get(address, target, headers=None):
    """One call on a connection of its own: status, headers and body."""
    reader, writer = await asyncio.open_connection(*address)
    try:
        writer.write(wire.message(f"GET {target} HTTP/1.1", {"Host": HOST, "Connection": "close", **(headers or {})}))
        line, answer = await wire.read_head(reader)
        return int(line.split(" ")[1]), answer, await wire.read_body(reader, answer)
    finally:
        writer.close()


def route(name, kind, service, prefix=None, **more):
    return {"name": name, "host": HOST, "prefix": prefix or f"/{name}/", "kind": kind, "timeout-ms": 3000,
            "target-latency-ms": 200, "priority": 2, "service": service, "max-attempts": 2, "public": False,
            "sticky": False, "resumable": False, **more}


def configuration(version, routes, services, tenants=None, limits=None):
    tenants = tenants or [{"name": "sese880", "api-keys": [KEY], "priority": 1, "unit": "tokens", "plain-tokens": 200,
                           "isolated": False, "rate-per-s": 0, "burst": 0}]
    return {"version": version, "routes": routes, "services": services, "limits": {**CALLER_LIMITS, **(limits or {})},
            "tenants": tenants}


def main(play):
    """Runs a case; its exit code is 1 when the rule was broken, 0 when it held, 2 when it could not run."""
    rig = Rig(**getattr(play, "options", {}))

    async def run():
        asyncio.get_running_loop().set_exception_handler(lambda loop, context: None)
        try:
            is_broken = await asyncio.wait_for(play(rig), 112)
            text, code = ("broken", 1) if is_broken else ("kept", 0)
            text = f"the rule was {text}"
        except (CannotRun, asyncio.TimeoutError, OSError) as failure:
            text, code = f"the case could not run: {failure!r}", 2
        finally:
            rig.close()
        rig.record(text)
        print(text, flush=True)
        # Tasks of clients and servers may still wait for each other.
        os._exit(code)

    asyncio.run(run())
