"""Stand-ins for engines: plain answers and streams of events, with the faults engines have."""
import asyncio
import hashlib
import json
import re
import time

import weights
import wire

KEEP_ALIVE_S = 6
MODEL = "model-1"
EVENT_STREAM = "text/event-stream"
# Version of the software that engines start with.
FIRST_VERSION = "v1"
EVENT = re.compile(rb"id: (\d+)\ndata: \S+ \d+ (v\d+)\n\n")
# Statuses that promise that a request has not run, for an engine that says so of none.
PROMISES = ("408 Late", "421 Misdirected", "429 Many", "503 Full")
# Heads that are no answer, or can be read in more than one way: status and further lines.
ODD_HEADS = (("000 X", ""), ("099 X", ""), ("600 X", ""), ("200 X", " X-More: y\r\n"), ("200 X", "X-More : y\r\n"),
             ("200 X", "X\0More: y\r\n"), ("200 X", "X-First: x\r\n\tContent-Length: 1\r\n"),
             ("200 X", "Transfer-Encoding: gzip\r\n"), ("200 X", "Content-Length: 1\r\nContent-Length: 2\r\n"),
             ("200 X", "Connection: X-Response-Seal\r\n"))
# How an answer says where it ends; with "close" only its connection does.
FRAMINGS = ("length", "chunks", "close")


def plain_body(request_id, size):
    """Body that an engine gives to a request; callers check it."""
    stem = hashlib.blake2s(request_id.encode()).hexdigest()
    return (request_id + ":" + stem * (size // len(stem) + 1))[:max(size, len(request_id))].encode()


def event(request_id, number, version=FIRST_VERSION):
    """Event of a stream; names its request so that a mix-up shows, and the software version that wrote it."""
    return f"id: {number}\ndata: {request_id} {number} {version}\n\n".encode()


def masked(data):
    """Events, whole or in part, without what tells software versions apart."""
    return re.sub(rb"(?<= v)\d+", b"", data)


def events_in(data):
    """Number and software version of each whole event."""
    return [(int(number), version.decode()) for number, version in EVENT.findall(data)]


class Arrival:
    """A request that an engine has read whole."""

    def __init__(self, engine, request_id, headers):
        self.engine, self.id = engine.name, request_id
        self.at = time.monotonic()
        self.state = "running"
        self.answered_at = None
        self.framing = None
        # How the answer's connection ended: None while it goes on or when its frame is whole.
        self.end = None
        self.resumed = "last-event-id" in headers
        # Whether a refusal was written twice on its connection before.
        self.after_repeat = False
        self.was_silent = False
        self.version = engine.version
        # The start of the engine; what was learned of one is not true of another.
        self.start = (engine.name, engine.starts)
        self.said_leaving, self.limit, self.limit_since = engine.says_leaving, engine.limit, engine.limit_since
        self.service = engine.service
        # Time since the engine began again under its id with another software version, in seconds.
        self.since_other_version = self.at - engine.other_version_at

    def proves_ordinary_close(self):
        """Whether the close of the connection is all that ended the answer, and looks like its end."""
        return self.framing == "close" and self.end == "closed"

    def __str__(self):
        return f"{self.engine} {self.version} at {self.at:.3f} {self.state} framing={self.framing} end={self.end}"


class Engine:
    """One engine; `fault` names how it goes wrong at present."""

    def __init__(self, number, service, listen, shown, run):
        self.name = f"e{number}"
        self.service, self.listen, self.shown, self.run = service, listen, shown, run
        self.rng = run.rng(self.name)
        self.zone = "zone-" + "abc"[number // 2 % 3] if run.cuts is not None else "zone-a"
        self.starts = self.reports = 0
        self.id = None
        self.fault = None
        self.server = None
        self.link = None
        self.connections = set()
        self.running = set()
        self.leaving = False
        # An engine that writes refusals twice, and more of them.
        self.repeats = "repeats" in run.kinds and number % 3 == 0
        self.silent_until = 0.0
        self.row_is_odd = False
        # Whether it has closed its connections and still listens, and whether it writes a few bytes at a time.
        self.ending, self.drips = False, "drips" in run.kinds and number % 3 == 1
        # Whether its answers say that it leaves, and until when it asks an instance to send it nothing.
        self.says_leaving = False
        # Requests a second that it takes from all instances together, and when it first said so.
        self.limit, self.limit_since = None, 0.0
        self.version, self.other_version_at = FIRST_VERSION, 0.0
        self.weights = weights.Weights(self, run)
        # Held by what starts or breaks it.
        self.turn = asyncio.Lock()

    async def start(self, same_id=False, version=None):
        self.starts += 1
        if version is not None and version != self.version:
            self.version = version
            self.other_version_at = time.monotonic() if same_id else 0.0
        self.weights.forget()
        if self.id is None or not same_id:
            self.id = f"i-{self.name}-{self.starts}"
            self.weights.version = self.run.schedule.newest_weights
        self.born, self.reports = int(time.time() * 1000), 0
        self.leaving = self.says_leaving = False
        self.limit = None
        self.server = await asyncio.start_server(self.serve, *self.listen, backlog=1024)
        if self.link is not None:
            await self.link.set_target_down(False)
        self.register()

    def register(self):
        self.row_is_odd = False
        self.run.store.put("servers", self.id, self.describe())

    def renew_row(self):
        """What an engine writes at each heartbeat."""
        if self.server is None or self.run.store.fault == "down" or self.run.store.is_silent():
            return
        if self.row_is_odd:
            self.register()
        else:
            self.run.store.renew("servers", self.id, self.describe())

    def describe(self):
        self.reports += 1
        row = {"service": self.service, "address": "%s:%d" % self.shown, "zone": self.zone, "version": self.version,
               "slots": 64, "state": "draining" if self.leaving else "ready", "cold-remaining-ms": 0,
               "sequence": self.reports, "born": self.born}
        if self.service == "gen":
            row.update(stage="prefill_decode", models=[{"name": MODEL, "version": self.weights.version, "adapters": []}])
        return row

    async def until_heard(self, arrival=None):
        """Waits while the engine is silent: it is sound, accepts and reads, and sends nothing."""
        while (left := self.silent_until - time.monotonic()) > 0:
            if arrival is not None:
                arrival.was_silent = True
            await asyncio.sleep(left)

    async def crash(self, with_reset=True, listens_s=0.0):
        """Refuses connections from now on; all open ones are reset, or closed as a process's end does.

        With `listens_s` they end first, and it listens for so much longer, in seconds; what connects meanwhile is reset.
        """
        if listens_s > 0:
            self.ending = True
            self.end_connections(with_reset)
            await asyncio.sleep(listens_s)
        if self.server is not None:
            self.server.close()
            self.server = None
        await self.link.set_target_down(True)
        self.end_connections(with_reset or listens_s > 0)
        self.ending = False

    def end_connections(self, with_reset):
        for arrival in self.running:
            arrival.state = arrival.end = "crashed"
        for transport in list(self.connections):
            wire.reset(transport) if with_reset else transport.close()

    def unregister(self):
        self.run.store.remove("servers", self.id)

    async def serve(self, reader, writer):
        self.connections.add(writer.transport)
        try:
            keep, repeats = True, []
            while self.ending:
                await asyncio.sleep(0.001)
            if self.server is None:
                # It was accepted in the moment in which the process ended.
                return wire.reset(writer.transport)
            while keep:
                line, headers = await asyncio.wait_for(wire.read_head(reader), KEEP_ALIVE_S)
                body = await wire.read_body(reader, headers)
                keep = await self.answer(line, headers, body, writer, repeats)
                await writer.drain()
        except (*wire.READ_ERRORS, asyncio.TimeoutError):
            pass  # The other side has gone, or is idle for long.
        finally:
            self.connections.discard(writer.transport)
            writer.close()

    async def answer(self, line, headers, body, writer, repeats):
        """Answers one request; False when the connection ends. `repeats` are refusals written twice on it."""
        await self.until_heard()
        target = line.split(" ")[1]
        if "authorization" in headers:
            self.run.checks.finding("KEY_SHOWN", f"{self.name} got Authorization with {line}")
        if target.startswith("/-/") or target == "/health":
            return self.answer_platform(target, headers, body, writer)
        request_id = headers.get("x-request-id", "")
        arrival = Arrival(self, request_id, headers)
        arrival.after_repeat = bool(repeats)
        self.run.checks.arrived(arrival)
        if repeats and (late := repeats[-1]) is not None:
            writer.write(late)
            repeats[-1] = None
        if headers.get("x-expect-instance", self.id) != self.id:
            return self.decline(arrival, "421 Misdirected", writer, {"X-Instance-Id": self.id}, repeats)
        if headers.get("x-expect-version", str(self.weights.version)) != str(self.weights.version):
            return self.decline(arrival, "421 Misdirected", writer, {}, repeats)
        fault = self.fault
        if fault == "refuse" or self.rng.random() < (0.05 if self.repeats else 0.003):
            return self.decline(arrival, "503 Full", writer, {}, repeats)
        if wire.digest(body.decode("latin-1")) != headers.get("x-soak-sum"):
            self.run.checks.finding("MIXED", f"{self.name} got another body for {request_id}", request_id)
        if fault == "reset" and self.rng.random() < 0.7:
            arrival.state = "reset"
            wire.reset(writer.transport)
            return False
        while self.fault == "stall":
            await asyncio.sleep(0.05)
        if fault == "late":
            await asyncio.sleep(self.rng.uniform(0.5, 4))
        if "x-deadly" in headers:
            return await self.die_of(arrival, writer)
        plan = headers["x-soak"].split(",")
        self.running.add(arrival)
        try:
            await asyncio.sleep(int(plan[0]) / 1000)
            if fault in ("disown", "odd-head") and self.rng.random() < 0.7:
                return self.fail_run(arrival, writer, fault)
            return await self.answer_run(arrival, plan, headers, writer, fault == "truncate", fault == "extra")
        finally:
            self.running.discard(arrival)

    def fail_run(self, arrival, writer, fault):
        """Answers a request that has run with a status of one that has not, or with what is no answer."""
        arrival.state, arrival.framing = "failed", self.rng.choice(FRAMINGS)
        self.run.checks.counts[f"answers_{fault}"] += 1
        body = b"not the body"
        status, lines = (self.rng.choice(PROMISES), "") if fault == "disown" else self.rng.choice(ODD_HEADS)
        frame = {"length": f"Content-Length: {len(body)}\r\n", "chunks": "Transfer-Encoding: chunked\r\n", "close": ""}
        seal = wire.digest("seal", arrival.id)
        writer.write(f"HTTP/1.1 {status}\r\nX-Request-Id: {arrival.id}\r\nX-Response-Seal: {seal}\r\n"
                     f"{lines}{frame[arrival.framing]}\r\n".encode("latin-1"))
        writer.write(wire.chunk(body) + wire.chunk(b"") if arrival.framing == "chunks" else body)
        return False

    async def die_of(self, arrival, writer):
        """Ends as processes do: at once or behind a head, with closed or reset connections; and starts again."""
        arrival.state = "crashed"
        self.run.checks.crashed_by(arrival)
        if self.rng.random() < 0.3:
            arrival.framing = "length"
            writer.write(self.answer_head(arrival, False, 400, False))
            await writer.drain()
        self.run.spawn(self.run.schedule.end_engine(self, self.rng))
        return False

    async def answer_run(self, arrival, plan, headers, writer, is_cut, has_extra):
        """Sends the answer of a request that runs, or the first part of it; False when the connection ends."""
        is_stream = len(plan) == 3
        if is_stream:
            first = int(headers.get("last-event-id", "0")) + 1
            pieces = [event(arrival.id, number, arrival.version) for number in range(first, int(plan[1]) + 1)]
        else:
            pieces = [plain_body(arrival.id, int(plan[1]))]
        gap = int(plan[2]) / 1000 if is_stream else 0
        await self.until_heard(arrival)
        arrival.framing = self.rng.choices(FRAMINGS, (40, 40, 20))[0]
        keep = not self.leaving and arrival.framing != "close" and self.rng.random() > 0.01
        writer.write(self.answer_head(arrival, is_stream, sum(map(len, pieces)), keep))
        # An answer is also cut where it looks whole: between two events, or right behind its head.
        cut_at = self.rng.randint(0, len(pieces)) if is_cut else None
        for number, data in enumerate(pieces):
            if number == cut_at:
                if self.rng.random() < 0.5:
                    writer.write(self.framed(arrival, data[:len(data) // 2]))
                break
            await self.until_heard(arrival)
            if arrival.state == "crashed":
                return False
            await self.send(arrival, data, writer)
            if arrival.answered_at is None:
                arrival.answered_at = time.monotonic()
            await asyncio.sleep(gap)
        if arrival.state == "crashed":
            return False
        if cut_at is not None:
            return await self.cut(arrival, writer)
        if arrival.framing == "chunks":
            writer.write(wire.chunk(b""))
        if has_extra and keep:
            writer.write(wire.message("HTTP/1.1 200 OK", {"X-Request-Id": "stray"}, plain_body("stray", 40)))
        arrival.state, arrival.answered_at = "answered", arrival.answered_at or time.monotonic()
        if arrival.framing == "close":
            arrival.end = "closed"
        return keep

    async def send(self, arrival, data, writer):
        """Writes a piece of an answer, at some engines and times a few bytes at a time."""
        data = self.framed(arrival, data)
        size = len(data)
        if self.drips and self.rng.random() < 0.3:
            size = max(self.rng.choice((1, 3, 16)), len(data) // 64)
        for begin in range(0, len(data), max(1, size)):
            writer.write(data[begin:begin + size])
            await writer.drain()
            if size < len(data):
                await asyncio.sleep(0.0005)
            if arrival.state == "crashed":
                return

    async def cut(self, arrival, writer):
        """Ends a connection before the answer on it is whole."""
        await writer.drain()
        if arrival.state == "crashed":
            return False
        arrival.state = "truncated"
        arrival.end = self.rng.choice(("closed", "reset"))
        if arrival.end == "reset":
            wire.reset(writer.transport)
        return False

    def answer_head(self, arrival, is_stream, size, keep):
        head = {"X-Request-Id": arrival.id, "X-Response-Seal": wire.digest("seal", arrival.id),
                "Keep-Alive": f"timeout={KEEP_ALIVE_S}"}
        if not keep:
            head["Connection"] = "close"
        head.update(self.notices())
        if is_stream:
            head.update({"Content-Type": EVENT_STREAM, "X-Weight-Versions": self.weights.version})
        if arrival.framing == "length":
            head["Content-Length"] = size
        elif arrival.framing == "chunks":
            head["Transfer-Encoding"] = "chunked"
        return wire.head("HTTP/1.1 200 OK", head)

    def notices(self):
        """What the engine says of itself in all of its answers."""
        said = {}
        if self.says_leaving:
            said["Server-Leaving"] = 1
        if self.limit is not None:
            said["Server-Limit"] = self.limit
        return said

    @staticmethod
    def framed(arrival, data):
        return wire.chunk(data) if arrival.framing == "chunks" and data else data

    def decline(self, arrival, status, writer, more, repeats):
        arrival.state = "not_executed"
        head = {"X-Request-Id": arrival.id, "X-Not-Executed": "1", **more, **self.notices()}
        if status.startswith("503") and "leaving" in self.run.kinds and self.rng.random() < 0.6:
            seconds = head["Retry-After"] = self.rng.choice((1, 2, 3))
            self.run.checks.asked_to_wait(arrival, seconds)
        refusal = wire.message(f"HTTP/1.1 {status}", head)
        writer.write(refusal)
        if self.repeats and self.rng.random() < 0.8:
            self.repeat(refusal, writer, repeats)
        return True

    def repeat(self, refusal, writer, repeats):
        """Writes a refusal once more: at once, up to 50 ms later, or before the next answer."""
        self.run.checks.counts["refusals_repeated"] += 1
        when = self.rng.choice(("now", "soon", "next"))
        repeats.append(refusal if when == "next" else None)
        if when == "now":
            writer.write(refusal)
        elif when == "soon":
            asyncio.get_running_loop().call_later(self.rng.uniform(0, 0.05), writer.write, refusal)

    def answer_platform(self, target, headers, body, writer):
        document, status = {}, 200
        if target.startswith("/-/report"):
            held = self.weights
            document = {"stage": "prefill_decode", "models": [{"name": MODEL, "version": held.version, "adapters": []}],
                        "busy": held.is_busy, "sequence": held.orders, "born": self.born, "queued": 0, "active": 0,
                        "kv-used": 0, "kv-total": 1_000_000, "handles": 0}
        if headers.get("x-expect-instance", self.id) != self.id:
            status = 421
        elif target.startswith("/-/order"):
            status = self.weights.take(json.loads(body))
        head = {"Content-Type": "application/json", "X-Instance-Id": self.id, **self.notices()}
        writer.write(wire.message(f"HTTP/1.1 {status} X", head, json.dumps(document).encode()))
        return True
