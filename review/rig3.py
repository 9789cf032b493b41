"""What the scripts of the third review share: a store, engines, relay processes and a record.

The store is the one of tools/soak, which follows the pages. Everything listens on loopback addresses.
"""
import asyncio
import ctypes
import json
import logging
import os
import pathlib
import random
import re
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time

ROOT = pathlib.Path(__file__).resolve().parent.parent
sys.path.insert(0, str(ROOT / "tools" / "soak"))
import store as soak_store  # noqa: E402
import wire  # noqa: E402

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
HELD, BROKEN, NOT_RUN = 0, 1, 2
# Exit code of run.py for a rule that held.
FIRST_CODE = 10
HOST = "jepu9.example"
KEY = "wu3fexd9dnn2ctnfzs98"
MODEL = "daka510000"
SEAL = "3e1b.07.5a2.600.0.c9f2a4d1"
# The figures of the settings and of the configuration are those of `fleetbench wire` for odalaigh-tyres.
LIMITS = {"max-header-bytes": 16384, "max-body-bytes": 4194304, "header-timeout-ms": 3000, "idle-timeout-ms": 15000}
BOUNDS = {"fencing": "true", "lease": 3000, "grace_seconds": 8, "drain": 2500, "weights_limit": 8000,
          "apply_limit": 2500, "link_mbps": 1000.0, "retry_ratio": 0.2, "retry_slack": 54,
          "retry_window_seconds": 10, "memory_mb": 110, "descriptors": 4100}
REGIONS = {"zone-a": "leinster", "zone-b": "leinster", "zone-c": "connacht"}
LIBC = ctypes.CDLL(None)


class CannotRun(Exception):
    """The case could not be set up."""


def die_with_parent():
    LIBC.prctl(1, signal.SIGKILL)


def free_address(number, ports):
    """Loopback address on which all of these ports are free."""
    for _ in range(200):
        address = f"127.{random.randrange(20, 250)}.{random.randrange(1, 250)}.{number + 1}"
        sockets = []
        try:
            for port in ports:
                each = socket.socket()
                sockets.append(each)
                each.bind((address, port))
            return address
        except OSError:
            continue
        finally:
            for each in sockets:
                each.close()
    raise CannotRun("no free loopback address")


class Record:
    def __init__(self, folder):
        self.begun = time.monotonic()
        self.file = open(pathlib.Path(folder) / "record.txt", "w", encoding="utf-8")

    def write(self, text):
        self.file.write(f"{time.monotonic() - self.begun:8.3f} {text}\n")
        self.file.flush()

    def say(self, text):
        self.write(text)
        print(text, flush=True)


class Relay:
    """One relay process, started by the command of the deploy file."""

    PORTS = (8603, 8605, 8606, 7600, 7601, 7615)

    def __init__(self, number, rig):
        self.name, self.rig = f"front-{number}", rig
        self.zone = sorted(REGIONS)[number % 3]
        self.address = free_address(number, self.PORTS)
        self.front = (self.address, 8606)
        self.process = None

    def start(self):
        flags = {"name": self.name, "region": REGIONS[self.zone], "failure_domain": self.zone,
                 "regions": json.dumps(REGIONS), "address": self.address, "caller_listen": f"{self.address}:8606",
                 "ready_listen": f"{self.address}:8605", "directory_listen": f"{self.address}:8603",
                 "internal_ports": "7600,7615", "store": "%s:%d" % self.rig.store_at, **BOUNDS}
        settings = self.rig.folder / f"{self.name}.settings"
        settings.write_text("".join(f"--{name}={value}\n" for name, value in flags.items()))
        deploy = (ROOT / "deploy" / "system.toml").read_text()
        words = re.search(r'^run = "(.*)"$', deploy, re.M).group(1).split()
        words = [word.replace("/etc/tarragontrail/settings.toml", str(settings)) for word in words]
        environment = {name: os.environ[name] for name in ("PATH", "HOME", "LANG") if name in os.environ}
        environment["TARRAGONTRAIL_BOOT"] = str(settings)
        self.log_path = self.rig.folder / f"{self.name}.log"
        with open(self.log_path, "ab") as log:
            self.process = subprocess.Popen(words, cwd=ROOT, env=environment, stdin=subprocess.DEVNULL, stdout=log,
                                            stderr=log, preexec_fn=die_with_parent)
        self.rig.record.write(f"started {self.name} pid {self.process.pid} at {self.address}")

    def is_running(self):
        return self.process.poll() is None

    def signal(self, number):
        if self.is_running():
            self.rig.record.write(f"signal {signal.Signals(number).name} to {self.name}")
            self.process.send_signal(number)

    def resident_mb(self):
        try:
            text = pathlib.Path(f"/proc/{self.process.pid}/status").read_text()
        except OSError:
            return 0.0
        found = re.search(r"^VmRSS:\s+(\d+) kB", text, re.M)
        return int(found.group(1)) * 1024 / 1e6 if found else 0.0

    def unread_mb(self):
        """Bytes that have been received on the machine's connections and not yet read."""
        own = "".join(f"{int(part):02X}" for part in reversed(self.address.split(".")))
        unread = 0
        for line in pathlib.Path("/proc/net/tcp").read_text().splitlines()[1:]:
            fields = line.split()
            if fields[1].startswith(own) and fields[3] != "0A":
                unread += int(fields[4].split(":")[1], 16)
        return unread / 1e6

    def log_lines(self, event):
        text = self.log_path.read_text(errors="replace")
        return [line for line in text.splitlines() if f" event={event} " in line]

    async def ready(self):
        try:
            reader, writer = await asyncio.open_connection(self.address, 8605)
            writer.write(b"GET /-/ready HTTP/1.1\r\nHost: x\r\nContent-Length: 0\r\n\r\n")
            line, _ = await asyncio.wait_for(wire.read_head(reader), 1)
            writer.close()
            return " 200 " in line + " "
        except (*wire.READ_ERRORS, asyncio.TimeoutError):
            return False


class Engine:
    """Sound engine of one service; `handle(request, reader, writer)` may replace how it answers a request."""

    def __init__(self, number, service, rig, slots=32, models=()):
        self.number, self.service, self.rig, self.slots, self.models = number, service, rig, slots, models
        self.id = f"i-{service}-{number}"
        self.starts = 0
        self.zone = sorted(REGIONS)[number % 3]
        self.port = 8080
        self.address = free_address(100 + number, (self.port,))
        self.version, self.software = 1, "v1"
        self.handle, self.connections, self.arrivals = None, set(), []
        self.server, self.beat, self.state = None, None, "ready"
        self.orders = 0

    async def start(self):
        self.starts += 1
        self.born, self.reports = int(time.time() * 1000), 0
        self.server = await asyncio.start_server(self.serve, self.address, self.port, backlog=1024, limit=1 << 20)
        self.register()
        self.beat = asyncio.create_task(self.keep_beating())

    def document(self):
        self.reports += 1
        document = {"service": self.service, "address": f"{self.address}:{self.port}", "zone": self.zone,
                    "version": self.software, "slots": self.slots, "state": self.state, "cold-remaining-ms": 0,
                    "sequence": self.reports, "born": self.born}
        if self.models:
            document["stage"] = "prefill_decode"
            document["models"] = self.model_list()
        return document

    def model_list(self):
        return [{"name": name, "version": self.version, "adapters": []} for name in self.models]

    def register(self):
        self.rig.store.put("servers", self.id, self.document())

    async def keep_beating(self):
        while True:
            await asyncio.sleep(1.2)
            self.rig.store.renew("servers", self.id, self.document())

    async def stop(self):
        if self.beat:
            self.beat.cancel()
        if self.server:
            self.server.close()
        for each in list(self.connections):
            each.abort()

    async def serve(self, reader, writer):
        self.connections.add(writer.transport)
        try:
            while True:
                line, headers = await wire.read_head(reader)
                method, target, _ = line.split(" ", 2)
                body = await wire.read_body(reader, headers)
                if target.startswith("/-/"):
                    self.answer_platform(target, headers, body, writer)
                    continue
                expected = headers.get("x-expect-instance", self.id)
                if expected != self.id:
                    writer.write(wire.message("HTTP/1.1 421 Misdirected", {
                        "X-Request-Id": headers.get("x-request-id", ""), "X-Instance-Id": self.id,
                        "X-Not-Executed": "1"}))
                    continue
                request = {"method": method, "target": target, "headers": headers, "body": body,
                           "id": headers.get("x-request-id", ""), "at": time.monotonic()}
                self.arrivals.append(request)
                if not await (self.handle or self.answer)(request, reader, writer):
                    return
        except (*wire.READ_ERRORS, ConnectionError):
            pass
        finally:
            self.connections.discard(writer.transport)
            writer.close()

    def head(self, request, **more):
        return {"X-Request-Id": request["id"], "X-Response-Seal": SEAL, **more}

    async def answer(self, request, _reader, writer):
        """The whole body at once; none for HEAD, as in every HTTP server."""
        body = f"body of {request['id']}".encode()
        message = wire.message("HTTP/1.1 200 OK", self.head(request), body)
        writer.write(message[:-len(body)] if request["method"] == "HEAD" else message)
        await writer.drain()
        return True

    def answer_platform(self, target, headers, body, writer):
        status, document = 200, {}
        if target.startswith("/-/report"):
            document = {"stage": "prefill_decode", "models": self.model_list(), "busy": False, "born": self.born,
                        "sequence": self.orders, "queued": 0, "active": 0, "kv-used": 0, "kv-total": 130652,
                        "handles": 0, "state": self.state}
        elif target.startswith("/-/kv-events"):
            document = {"boot-epoch": self.born, "next": 0, "lost": False, "events": []}
        elif target.startswith("/-/order"):
            status, self.orders = 202, self.orders + 1
            self.version = json.loads(body).get("version", self.version)
        if headers.get("x-expect-instance", self.id) != self.id:
            status = 421
        writer.write(wire.message(f"HTTP/1.1 {status} X", {"Content-Type": "application/json",
                                                          "X-Instance-Id": self.id}, json.dumps(document).encode()))


def route(name, prefix, kind, service, **more):
    return {"name": name, "host": HOST, "prefix": prefix, "kind": kind, "timeout-ms": 6000, "target-latency-ms": 600,
            "priority": 1, "service": service, "max-attempts": 1, "public": False, "sticky": kind == "stream",
            "resumable": False, "gap-aim-ms": 200, **more}


def services(names_with_models, names):
    with_models = [{"name": name, "health-path": "/health", "max-conns": 230, "protocol": "h1", "tls": False,
                    "engine": {"slots": 32, "kv-capacity-tokens": 130652, "kv-token-bytes": 131072,
                               "link-mbps": 370000.0, "moves": True, "backups": True, "stride": 7,
                               "max-inflight": 12, "pin-ms": 4000.0, "hold-ms": 2000.0, "handle_s": 5.0,
                               "models": [{"name": MODEL}]}} for name in names_with_models]
    plain = [{"name": name, "health-path": "/health", "max-conns": 100, "protocol": "h1", "tls": False}
             for name in names]
    return with_models + plain


def tenant(name="sese880", keys=(KEY,), **more):
    return {"name": name, "api-keys": list(keys), "priority": 1, "unit": "tokens", "plain-tokens": 200,
            "isolated": False, "rate-per-s": 153632, "burst": 153632, **more}


class Rig:
    def __init__(self, folder):
        self.case = pathlib.Path(folder)
        self.record = Record(folder)
        self.folder = pathlib.Path(tempfile.mkdtemp(prefix="review3-"))
        self.relays, self.engines, self.tasks = [], [], []
        self.store = soak_store.Store(random.Random(1))
        self.version = 0

    async def begin(self, relays, config, engines):
        if not (ROOT / "target" / "tarragontrail-relay").exists():
            raise CannotRun("the build of the deploy file is missing")
        address = free_address(200, (8601,))
        self.store_at = (address, 8601)
        await self.store.start(*self.store_at)
        self.configure(config)
        self.store.put("op", f"version/{MODEL}", {"model": MODEL, "version": 1})
        self.engines = engines
        for engine in engines:
            await engine.start()
        self.relays = [Relay(number, self) for number in range(relays)]
        for relay in self.relays:
            relay.start()
        await self.until_ready()

    def configure(self, config):
        self.version += 3
        self.store.put("op", "config", {"version": self.version, "limits": LIMITS, **config})
        self.record.write(f"configuration {self.version} acknowledged")

    async def until_ready(self, patience=15):
        end = time.monotonic() + patience
        for relay in self.relays:
            while not await relay.ready():
                if time.monotonic() > end or not relay.is_running():
                    raise CannotRun(f"{relay.name} did not become ready")
                await asyncio.sleep(0.1)
        # In touch, and past the time in which the instances find each other.
        await asyncio.sleep(4)

    async def end(self):
        for relay in self.relays:
            if relay.process is not None and relay.is_running():
                relay.process.kill()
                relay.process.wait()
        for engine in self.engines:
            await engine.stop()
        shutil.rmtree(self.folder, ignore_errors=True)


def request_head(method, path, request_id, deadline_ms=3000, key=KEY, **more):
    headers = {"Host": HOST, "X-Request-Id": request_id, "X-Request-Deadline-Ms": deadline_ms}
    if key:
        headers["Authorization"] = f"Token {key}"
    headers.update({name.replace("_", "-"): value for name, value in more.items()})
    return f"{method} {path} HTTP/1.1", headers


def run_case(folder, play, seconds=110):
    """Runs `play(rig)`, which returns HELD or BROKEN, and exits with a code for its result."""

    # Writes to connections that the other side has closed are no finding.
    logging.getLogger("asyncio").setLevel(logging.ERROR)

    async def whole():
        # Connections that are open at the end are cancelled, which is no finding.
        asyncio.get_running_loop().set_exception_handler(lambda _loop, _context: None)
        rig = Rig(folder)
        rig.record.write(f"TROUBLE={int(TROUBLE)}")
        try:
            return await asyncio.wait_for(play(rig), seconds)
        except Exception as failure:  # What is not a judgement of the rule must not look like one.
            rig.record.say(f"the case could not run: {failure!r}")
            return NOT_RUN
        finally:
            await rig.end()

    result = asyncio.run(whole())
    print({HELD: "the rule held", BROKEN: "the rule was broken", NOT_RUN: "not run"}[result])
    # run.sh takes any other code, as that of a failure of Python itself, for a case that could not run.
    sys.exit(FIRST_CODE + result)
