"""Stand-ins for engines: plain answers and streams of events, with the faults engines have."""
import asyncio
import hashlib
import json
import time

import wire

KEEP_ALIVE_S = 6
MODEL = "model-1"
EVENT_STREAM = "text/event-stream"


def plain_body(request_id, size):
    """Body that an engine gives to a request; callers check it."""
    stem = hashlib.blake2s(request_id.encode()).hexdigest()
    return (request_id + ":" + stem * (size // len(stem) + 1))[:max(size, len(request_id))].encode()


def event(request_id, number):
    """Event of a stream; names its request so that a mix-up shows."""
    return f"id: {number}\ndata: {request_id} {number}\n\n".encode()


class Arrival:
    """A request that an engine has read whole."""

    def __init__(self, engine, request_id, headers):
        self.engine, self.id = engine, request_id
        self.at = time.monotonic()
        self.state = "running"
        self.answered_at = None
        self.resumed = "last-event-id" in headers

    def __str__(self):
        return f"{self.engine} at {self.at:.3f} {self.state}"


class Engine:
    """One engine; `fault` names how it goes wrong at present."""

    def __init__(self, number, service, listen, shown, run):
        self.name = f"e{number}"
        self.service, self.listen, self.shown, self.run = service, listen, shown, run
        self.rng = run.rng(self.name)
        self.starts = 0
        self.id = None
        self.fault = None
        self.server = None
        self.connections = set()
        self.leaving = False

    async def start(self, same_id=False):
        self.starts += 1
        if self.id is None or not same_id:
            self.id = f"i-{self.name}-{self.starts}"
        self.born = int(time.time() * 1000)
        self.leaving = False
        self.server = await asyncio.start_server(self.serve, *self.listen, backlog=1024)
        self.register()

    def register(self):
        row = {"service": self.service, "address": "%s:%d" % self.shown, "zone": "zone-a", "version": "v1",
               "slots": 64, "state": "draining" if self.leaving else "ready", "cold-remaining-ms": 0,
               "sequence": self.starts, "born": self.born}
        if self.service == "gen":
            row.update(stage="prefill_decode", models=[{"name": MODEL, "version": 1, "adapters": []}])
        self.run.store.put("servers", self.id, row)

    def crash(self):
        """Refuses connections from now on; all open ones are reset."""
        if self.server is not None:
            self.server.close()
            self.server = None
        for transport in list(self.connections):
            wire.reset(transport)

    def unregister(self):
        self.run.store.remove("servers", self.id)

    async def serve(self, reader, writer):
        self.connections.add(writer.transport)
        try:
            keep = True
            while keep:
                line, headers = await asyncio.wait_for(wire.read_head(reader), KEEP_ALIVE_S)
                body = await wire.read_body(reader, headers)
                keep = await self.answer(line, headers, body, writer)
                await writer.drain()
        except (*wire.READ_ERRORS, asyncio.TimeoutError):
            pass  # The other side has gone, or is idle for long.
        finally:
            self.connections.discard(writer.transport)
            writer.close()

    async def answer(self, line, headers, body, writer):
        """Answers one request; False when the connection ends."""
        target = line.split(" ")[1]
        if "authorization" in headers:
            self.run.checks.finding("KEY_SHOWN", f"{self.name} got Authorization with {line}")
        if target.startswith("/-/") or target == "/health":
            return self.answer_platform(target, writer)
        request_id = headers.get("x-request-id", "")
        arrival = Arrival(self.name, request_id, headers)
        self.run.checks.arrived(arrival)
        if headers.get("x-expect-instance", self.id) != self.id:
            return self.decline(arrival, "421 Misdirected", writer, {"X-Instance-Id": self.id})
        fault = self.fault
        if fault == "refuse" or self.rng.random() < 0.003:
            return self.decline(arrival, "503 Full", writer, {})
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
        plan = headers["x-soak"].split(",")
        await asyncio.sleep(int(plan[0]) / 1000)
        keep = not self.leaving and self.rng.random() > 0.01
        head = {"X-Request-Id": request_id, "X-Response-Seal": wire.digest("seal", request_id),
                "Keep-Alive": f"timeout={KEEP_ALIVE_S}"}
        if not keep:
            head["Connection"] = "close"
        if len(plan) == 2:
            done = await self.answer_plain(arrival, int(plan[1]), head, writer, fault)
        else:
            first = int(headers.get("last-event-id", "0")) + 1
            done = await self.answer_stream(arrival, plan, first, head, writer, fault)
        return keep and done

    def decline(self, arrival, status, writer, more):
        arrival.state = "not_executed"
        head = {"X-Request-Id": arrival.id, "X-Not-Executed": "1", **more}
        writer.write(wire.message(f"HTTP/1.1 {status}", head))
        return True

    def answer_platform(self, target, writer):
        document = {}
        if target.startswith("/-/report"):
            document = {"stage": "prefill_decode", "models": [{"name": MODEL, "version": 1, "adapters": []}],
                        "busy": False, "sequence": 0, "queued": 0, "active": 0, "kv-used": 0,
                        "kv-total": 1_000_000, "handles": 0}
        head = {"Content-Type": "application/json", "X-Instance-Id": self.id}
        writer.write(wire.message("HTTP/1.1 200 OK", head, json.dumps(document).encode()))
        return True

    async def answer_plain(self, arrival, size, head, writer, fault):
        body = plain_body(arrival.id, size)
        answer = wire.message("HTTP/1.1 200 OK", head, body)
        if fault == "truncate" and self.rng.random() < 0.5:
            writer.write(answer[:self.rng.randrange(len(answer))])
            await writer.drain()
            arrival.state = "truncated"
            return False
        writer.write(answer)
        if fault == "extra" and self.rng.random() < 0.5:
            stray = plain_body("stray", 40)
            writer.write(wire.message("HTTP/1.1 200 OK", {**head, "X-Request-Id": "stray"}, stray))
        arrival.state, arrival.answered_at = "answered", time.monotonic()
        return True

    async def answer_stream(self, arrival, plan, first, head, writer, fault):
        count, gap = int(plan[1]), int(plan[2]) / 1000
        lines = [f"{name}: {value}" for name, value in head.items()]
        lines += [f"Content-Type: {EVENT_STREAM}", "Transfer-Encoding: chunked", "X-Weight-Versions: 1"]
        writer.write(("HTTP/1.1 200 OK\r\n" + "\r\n".join(lines) + "\r\n\r\n").encode())
        cut_at = self.rng.randint(first, count) if fault == "truncate" and first <= count else None
        for number in range(first, count + 1):
            data = event(arrival.id, number)
            if number == cut_at:
                writer.write(wire.chunk(data[:len(data) // 2]))
                await writer.drain()
                arrival.state = "truncated"
                return False
            writer.write(wire.chunk(data))
            await writer.drain()
            if arrival.answered_at is None:
                arrival.answered_at = time.monotonic()
            await asyncio.sleep(gap)
        writer.write(wire.chunk(b""))
        arrival.state = "answered"
        return True
