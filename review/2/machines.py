"""Stand-ins of the platform for this case: the store, engines and one machine's process.

They follow PROTOCOL.md and DEPLOY.md and share no code with the project.
"""
import asyncio
import base64
import ctypes
import json
import os
import pathlib
import random
import re
import signal
import subprocess
import time
import urllib.parse

ROOT = pathlib.Path(__file__).resolve().parent.parent.parent
BOUNDS = {"lease-ms": 3000, "grace-s": 8, "drain-ms": 2500, "version-ms": 8000, "config-apply-ms": 2500,
          "fencing-required": True, "retry-budget-ratio": 0.2, "retry-budget-slack": 58, "budget-window-s": 10,
          "stable-ms": 3000}
HEARTBEAT_S = 1.2
READ_ERRORS = (OSError, asyncio.IncompleteReadError, asyncio.LimitOverrunError, ValueError)
PR_SET_PDEATHSIG = 1
LIBC = ctypes.CDLL(None)


async def read_message(reader):
    """First line, headers and body of a message that has a length."""
    lines = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1").split("\r\n")
    headers = {name.strip().lower(): value.strip() for name, _, value in (line.partition(":") for line in lines[1:]) if name}
    return lines[0], headers, await reader.readexactly(int(headers.get("content-length", "0")))


def message(first_line, headers, body=b""):
    lines = [first_line, *(f"{name}: {value}" for name, value in headers.items()), f"Content-Length: {len(body)}"]
    return ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1") + body


class Record:
    """What was sent, answered and run, with the time since the start."""

    def __init__(self, path):
        self.begun = time.monotonic()
        self.out = open(path, "w", encoding="utf-8")

    def write(self, text):
        self.out.write(f"{time.monotonic() - self.begun:8.3f} {text}\n")
        self.out.flush()


class Store:
    """The platform's store: rows-get, rows-feed and rows-tx."""

    def __init__(self):
        self.rows, self.version, self.changed = {}, 0, asyncio.Event()

    async def start(self, address):
        self.server = await asyncio.start_server(self.serve, *address)

    def put(self, table, key, document):
        value = None if document is None else base64.b64encode(json.dumps(document).encode()).decode()
        self.write([(table, key, value)])

    def renew(self, table, key, document):
        """A heartbeat: an entry of which no more than `sequence` differs does not change."""
        value, version = self.rows.get((table, key), (None, 0))
        if value is None:
            self.put(table, key, document)
            return
        self.version += 1
        self.rows[(table, key)] = (base64.b64encode(json.dumps(document).encode()).decode(), version)

    def write(self, entries):
        self.version += 1
        for table, key, value in entries:
            self.rows[(table, key)] = (value, self.version)
        changed, self.changed = self.changed, asyncio.Event()
        changed.set()

    async def serve(self, reader, writer):
        try:
            while True:
                line, _, body = await read_message(reader)
                status, document = await self.perform(line.split(" ")[1], body)
                document = {**document, "ver": self.version, "now-ms": int(time.monotonic() * 1000)}
                await asyncio.sleep(0.004)
                writer.write(message(f"HTTP/1.1 {status} X", {"Content-Type": "application/json"}, json.dumps(document).encode()))
                await writer.drain()
        except READ_ERRORS:
            pass  # The machine has closed the connection.
        finally:
            writer.close()

    async def perform(self, target, body):
        url = urllib.parse.urlsplit(target)
        query = dict(urllib.parse.parse_qsl(url.query, keep_blank_values=True))
        if url.path == "/-/rows-get":
            keys = sorted(key for (table, key), (value, _) in self.rows.items()
                          if table == query["table"] and value is not None and key >= query.get("from", ""))
            return 200, {"rows": [self.describe(query["table"], key) for key in keys], "truncated": False}
        if url.path == "/-/rows-feed":
            end = time.monotonic() + min(int(query["wait-ms"]), 30_000) / 1000
            while True:
                changed = self.changed
                keys = sorted((version, key) for (table, key), (_, version) in self.rows.items()
                              if table == query["table"] and version > int(query["after"]))
                left = end - time.monotonic()
                if keys or left <= 0:
                    return 200, {"rows": [self.describe(query["table"], key) for _, key in keys]}
                try:
                    await asyncio.wait_for(changed.wait(), left)
                except asyncio.TimeoutError:
                    pass  # The next round answers without rows.
        if url.path == "/-/rows-tx":
            call = json.loads(body)
            current = [self.describe(entry["table"], entry["key"]) for entry in call.get("expected", [])]
            if [0 if row.get("deleted") else row["ver"] for row in current] != [entry["ver"] for entry in call.get("expected", [])]:
                return 412, {"rows": current}
            entries = [(entry["table"], entry["key"], entry["value"]) for entry in call.get("set-keys", [])]
            entries += [(entry["table"], entry["key"], None) for entry in call.get("remove", [])]
            if any(table in ("op", "servers") for table, _, _ in entries):
                return 403, {}
            self.write(entries)
            return 200, {}
        return 404, {}

    def describe(self, table, key):
        value, version = self.rows.get((table, key), (None, 0))
        row = {"table": table, "part": "", "key": key, "ver": version}
        return {**row, "deleted": True} if value is None else {**row, "value": value}


class Engine:
    """A plain engine that crashes when it begins to run a request that crashes engines."""

    def __init__(self, number, address, zone, store, record, slots=6, back_after_s=3.0):
        self.number, self.address, self.zone, self.store, self.record = number, address, zone, store, record
        self.slots, self.back_after_s = slots, back_after_s
        self.starts, self.server, self.connections, self.running = 0, None, set(), 0
        self.rng = random.Random(number)
        self.on_crash = lambda engine, request_id: None

    async def start(self):
        self.starts += 1
        self.id = f"i-e{self.number}-{self.starts}"
        self.born, self.sequence = int(time.time() * 1000), 0
        self.server = await asyncio.start_server(self.serve, *self.address)
        self.record.write(f"engine {self.id} starts at {self.address[0]}:{self.address[1]}")
        asyncio.ensure_future(self.beat(self.id))

    async def beat(self, own_id):
        while self.server is not None and self.id == own_id:
            self.sequence += 1
            self.store.renew("servers", own_id, {
                "service": "orders", "address": "%s:%d" % self.address, "zone": self.zone, "version": "v1",
                "slots": self.slots, "state": "ready", "cold-remaining-ms": 0, "sequence": self.sequence, "born": self.born})
            await asyncio.sleep(HEARTBEAT_S)
        # The entry of a server that is silent expires after three heartbeats.
        await asyncio.sleep(2 * HEARTBEAT_S)
        self.store.put("servers", own_id, None)

    def crash(self):
        self.server.close()
        self.server = None
        for transport in list(self.connections):
            transport.abort()
        asyncio.get_running_loop().call_later(self.back_after_s, lambda: asyncio.ensure_future(self.start()))

    async def serve(self, reader, writer):
        self.connections.add(writer.transport)
        try:
            while True:
                line, headers, body = await read_message(reader)
                await self.answer(line, headers, body, writer)
                await writer.drain()
        except READ_ERRORS:
            pass  # The machine has closed the connection, or the engine has crashed.
        finally:
            self.connections.discard(writer.transport)
            writer.close()

    async def answer(self, line, headers, body, writer):
        path, request_id = line.split(" ")[1], headers.get("x-request-id", "")
        own = self.id
        if path == "/health" or path.startswith("/-/"):
            text = json.dumps({"busy": False, "sequence": 0, "models": [], "born": self.born}).encode()
            writer.write(message("HTTP/1.1 200 OK", {"X-Instance-Id": own}, text))
            return
        head = {"X-Request-Id": request_id, "X-Instance-Id": own}
        if headers.get("x-expect-instance", own) != own:
            writer.write(message("HTTP/1.1 421 Misdirected", {**head, "X-Not-Executed": 1}))
            return
        if self.running >= self.slots + 24:
            writer.write(message("HTTP/1.1 503 Full", {**head, "X-Not-Executed": 1}))
            return
        self.running += 1
        try:
            if body == b"deadly":
                await asyncio.sleep(0.03)
                if self.id == own and self.server is not None:
                    self.record.write(f"engine {own} runs the deadly request {request_id} and crashes; {self.running - 1} others run there")
                    self.on_crash(self, request_id)
                    self.crash()
                return
            await asyncio.sleep(self.rng.uniform(0.03, 0.22))
            writer.write(message("HTTP/1.1 200 OK", {**head, "X-Response-Seal": "s-" + request_id}, b"done " + request_id.encode()))
        finally:
            self.running -= 1


class Machine:
    """A process of the deploy file's role, with the settings of a small deployment."""

    def __init__(self, name, address, zone, zones, store, folder):
        self.name, self.address, self.process = name, address, None
        fields = {"node-name": name, "region": zones[zone], "zone": zone, "zones|json": json.dumps(zones), "ip": address,
                  "listen.front": f"{address}:8606", "listen.ready": f"{address}:8605", "listen.directory": f"{address}:8603",
                  "internal-ports": "7600,7615", "provider.address": "%s:%d" % store, "limits.link-mbps": "1000.0"}
        fields.update({f"bounds.{bound}": json.dumps(value) for bound, value in BOUNDS.items()})
        template = (ROOT / "deploy/relay.flags").read_text()
        self.settings = folder / f"{name}.settings"
        self.settings.write_text(re.sub(r"\{\{([^}]*)\}\}", lambda found: str(fields[found.group(1)]), template))
        self.log = folder / f"{name}.log"

    def start(self):
        deploy = (ROOT / "deploy/system.toml").read_text()
        command = re.search(r'^run = "(.*)"$', deploy, re.M).group(1).split()
        command = [str(self.settings).join(word.split("/etc/tarragontrail/settings.toml")) for word in command]
        with open(self.log, "ab") as log:
            self.process = subprocess.Popen(command, cwd=ROOT, stdin=subprocess.DEVNULL, stdout=log, stderr=log,
                                            env={"PATH": os.environ["PATH"], "TARRAGONTRAIL_BOOT": str(self.settings)},
                                            preexec_fn=lambda: LIBC.prctl(PR_SET_PDEATHSIG, signal.SIGKILL))
        self.started = time.monotonic()

    def kill(self):
        if self.process is not None and self.process.poll() is None:
            self.process.kill()
            self.process.wait()

    async def is_ready(self):
        try:
            reader, writer = await asyncio.open_connection(self.address, 8605)
            writer.write(message("GET /-/ready HTTP/1.1", {"Host": "ready"}))
            line, _, _ = await asyncio.wait_for(read_message(reader), 1)
            writer.close()
            return line.split(" ")[1] == "200"
        except (*READ_ERRORS, asyncio.TimeoutError):
            return False

    async def until_ready(self, limit_s):
        end = time.monotonic() + limit_s
        while not await self.is_ready():
            if time.monotonic() > end:
                raise RuntimeError(f"{self.name} is not ready")
            await asyncio.sleep(0.1)


async def request(machine, headers, body, patience_s):
    """One client attempt on a new connection: its status, or why it has none."""
    writer = None
    try:
        reader, writer = await asyncio.open_connection(machine.address, 8606)
        writer.write(message("POST /orders/new HTTP/1.1", headers, body))
        line, answer, _ = await asyncio.wait_for(read_message(reader), patience_s)
        return line.split(" ")[1], answer
    except (*READ_ERRORS, asyncio.TimeoutError) as failure:
        return type(failure).__name__, {}
    finally:
        if writer is not None:
            writer.close()
