"""Callers with kept connections whose requests arrive as the idle time-out of the instance expires."""
import asyncio
import time

import checks
import engines
import faults
import wire

HOST = "one.example"
METHODS = {"idem": "GET", "open": "GET", "some": "GET", "once": "POST", "gen": "POST", "res": "POST"}
ANSWERS = (200, 401, 408, 421, 429, 502, 503, 504)
# Wait for an answer beyond a request's deadline, in seconds; longer than any series of pauses.
PATIENCE_S = 12.0
CONNECT_S = 5.0


class Caller:
    """One caller; opens a connection, sends requests on it until it ends, and opens the next one."""

    def __init__(self, number, home, run):
        self.number, self.home, self.run = number, home, run
        self.rng = run.rng(f"caller-{number}")
        self.sent = 0

    async def live(self):
        await asyncio.sleep(self.rng.uniform(0, 1))
        while not self.run.closing:
            link = self.home.link if self.rng.random() < self.run.link_share else None
            target = link.listen if link else self.home.front
            try:
                connecting = asyncio.open_connection(*target)
                reader, writer = await asyncio.wait_for(connecting, CONNECT_S)
            except (OSError, asyncio.TimeoutError):
                await asyncio.sleep(self.rng.uniform(0.1, 0.5))
                continue
            try:
                await self.use(reader, writer, link.name if link else None)
            finally:
                wire.reset(writer.transport) if self.rng.random() < 0.1 else writer.close()

    def draw_idle(self):
        """Idle time before the next request, mostly around the time-out in force, in seconds."""
        limit, lot = self.run.idle_timeout, self.rng.random()
        if lot < 0.45:
            return max(0, limit + self.rng.uniform(-0.04, 0.04))
        if lot < 0.75:
            return limit * self.rng.uniform(0.4, 1.3)
        return self.rng.expovariate(1 / 0.2)

    async def use(self, reader, writer, link):
        opened, idle, number = time.monotonic(), 0.0, 0
        while True:
            number += 1
            request, data = self.make(link, opened, number, idle)
            try:
                if not await self.exchange(request, data, reader, writer):
                    return
            finally:
                if request.outcome != "running":
                    self.run.checks.ended(request)
            if self.rng.random() < 0.02:
                return
            idle = self.draw_idle()
            await asyncio.sleep(idle)
            if self.run.closing:
                return

    def make(self, link, opened, number, idle):
        self.sent += 1
        routes = ("idem", "idem", "once", "once", "gen", "res", "open")
        route = self.rng.choice((*routes, "some") if "configurations" in self.run.kinds else routes)
        request_id = f"{self.run.seed:x}c{self.number:x}n{self.sent:x}-{self.rng.getrandbits(32):08x}"
        deadline = self.rng.randint(1000, 3000)
        # The instance may use another configuration than the newest.
        timeout = min(deadline / 1000, *faults.ROUTE_TIMEOUTS_S)
        request = checks.Request(request_id, route, self.home, link, opened, number, idle, timeout)
        delay = int(self.rng.choice((0, 2, 10, 60)) * self.rng.random())
        if route in ("gen", "res"):
            plan = f"{delay},{self.rng.randint(1, 12)},{self.rng.choice((0, 5, 30))}"
        else:
            plan = f"{delay},{self.rng.choice((20, 400, 9000))}"
        request.plan = plan.split(",")
        request.idle_limit = self.run.idle_limit_since(request.sent_at - idle)
        request.key = key = self.run.keys.draw(self.rng)
        # Any key is good enough for the public route.
        request.withdrawn_at = None if route == "open" else self.run.keys.withdrawn.get(key)
        request.key_answers = self.home.key_answers
        body = b"" if METHODS[route] == "GET" else b"q" * self.rng.choice((1, 200, 5000))
        headers = {"Host": HOST, "X-Request-Id": request_id, "X-Request-Deadline-Ms": deadline,
                   "Authorization": f"Token {key}", "X-Soak": plan,
                   "X-Soak-Sum": wire.digest(body.decode())}
        if route in ("gen", "res"):
            headers.update({"X-Model": engines.MODEL, "X-Token-Usage": "300,40",
                            "X-Prompt-Prefix": f"{self.rng.randrange(20):x}:200,{request_id[-8:]}:100"})
        in_chunks = bool(body) and self.rng.random() < 0.3
        return request, wire.message(f"{METHODS[route]} /{route}/{request_id} HTTP/1.1", headers, body, in_chunks)

    async def exchange(self, request, data, reader, writer):
        """Sends a request and judges its answer; True when the connection serves another one."""
        request.sent_at = time.monotonic()
        try:
            if len(data) > 100 and self.rng.random() < 0.1:
                middle = self.rng.randrange(1, len(data))
                writer.write(data[:middle])
                await asyncio.sleep(self.rng.uniform(0, 0.05))
                data = data[middle:]
            writer.write(data)
            if self.rng.random() < 0.01:
                await asyncio.sleep(self.rng.uniform(0, 0.3))
                request.end("abandoned")
                return False
            answer = self.read_answer(request, reader)
            return await asyncio.wait_for(answer, request.timeout + PATIENCE_S + self.run.lag)
        except asyncio.TimeoutError:
            request.end("hung")
        except asyncio.IncompleteReadError as failure:
            request.end("cut" if failure.partial or request.status is not None else "closed")
        except (OSError, asyncio.LimitOverrunError, ValueError) as failure:
            request.end("cut" if request.status is not None else "closed")
            if isinstance(failure, ValueError):
                self.run.checks.finding("MIXED", f"{request}: unreadable answer: {failure}", request.id)
        return False

    async def read_answer(self, request, reader):
        while True:
            line, headers = await wire.read_head(reader)
            request.status = int(line.split(" ")[1])
            if request.status != 100:
                break
        if request.status == 200:
            await self.read_success(request, headers, reader)
        else:
            await wire.read_body(reader, headers)
        request.end("answered")
        self.judge(request, headers)
        if request.status in checks.PROMISES:
            await asyncio.sleep(min(float(headers.get("retry-after", "0")), 1) + self.rng.uniform(0.02, 0.3))
        return headers.get("connection", "").lower() != "close" and not wire.ends_with_close(headers)

    def judge(self, request, headers):
        if request.status not in ANSWERS and (request.route, request.status) != ("some", 404):
            self.run.checks.finding("STATUS", f"{request}: unexpected status", request.id)
        if request.route != "open" and request.status in (200, 401):
            self.run.checks.judge_key(request, self.run.keys)
        # A request that the instance could not read has no id to name.
        if request.status != 408 and headers.get("x-request-id") != request.id:
            self.run.checks.finding("MIXED", f"{request}: answer names {headers.get('x-request-id')}", request.id)

    async def read_success(self, request, headers, reader):
        if headers.get("x-response-seal") != wire.digest("seal", request.id):
            self.run.checks.finding("MIXED", f"{request}: the seal is not its own", request.id)
        if len(request.plan) == 2:
            expected = engines.plain_body(request.id, int(request.plan[1]))
        else:
            expected = b"".join(engines.event(request.id, number) for number in range(1, int(request.plan[1]) + 1))
        if wire.ends_with_close(headers):
            seen = await reader.read()
            request.is_short = len(seen) < len(expected) and expected.startswith(seen)
        elif "content-length" in headers:
            seen = await wire.read_body(reader, headers)
        else:
            seen = b""
            while piece := await wire.read_chunk(reader):
                seen += piece
                if not expected.startswith(seen):
                    break
        if seen != expected and not request.is_short:
            self.run.checks.finding("MIXED", f"{request}: {seen[-120:]!r} of {len(expected)} bytes", request.id)
