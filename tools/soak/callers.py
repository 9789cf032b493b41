"""Callers with kept connections whose requests arrive as the idle time-out of the instance expires."""
import asyncio
import json
import time

import checks
import engines
import faults
import wire

HOST = "one.example"
METHODS = {"idem": "GET", "open": "GET", "some": "GET", "more": "GET", "once": "POST", "gen": "POST", "res": "POST"}
ANSWERS = (200, 401, 408, 421, 429, 502, 503, 504)
# Wait for an answer beyond a request's deadline, in seconds; longer than any series of pauses.
PATIENCE_S = 12.0
# Tries after the first one of a stream that broke off, and the least time that must be left for one, in seconds.
TAKE_UPS = 3
LEAST_LEFT_S = 0.2
CONNECT_S = 5.0
# Pauses after which some callers give a stream up and take it up elsewhere, in seconds.
SHORT_PATIENCE_S = (0.08, 0.4)
# Longest time between the tries of callers that name their whole deadline with each, in seconds.
FRESH_BACKOFF_S = 1.5
DIRECTORY_PORT = 8603
# Tries of a request of callers that ask the directory.
DIRECTORY_TRIES = 3
# Callers whose request ends each engine that runs it.
DEADLY = 2


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
            request.group = "home"
            try:
                self.rested_since = None
                goes_on = await self.exchange(request, data, reader, writer)
            finally:
                self.finish(request)
            if request.route == "res" and request.outcome in ("cut", "gave_up"):
                if request.outcome == "gave_up" and self.rng.random() < 0.5:
                    writer.close()  # Else the first try goes on beside the others.
                await self.take_up(request)
            if not goes_on:
                return
            if self.rng.random() < 0.02:
                return
            await asyncio.sleep(self.draw_idle())
            # A refusal may have asked for a pause, which the connection has rested too.
            idle = time.monotonic() - self.rested_since
            if self.run.closing:
                return

    def finish(self, request):
        if request.outcome != "running":
            if len(request.plan) == 3:
                request.stream.add(request)
            self.run.checks.ended(request)

    async def take_up(self, first):
        """Goes on with a stream that broke off behind an event, at any instance."""
        is_fresh = "fresh-deadlines" in self.run.kinds and self.rng.random() < 0.5
        for _ in range(TAKE_UPS):
            if is_fresh:
                first.deadline_at = time.monotonic() + int(first.headers["X-Request-Deadline-Ms"]) / 1000
            left = first.deadline_at - time.monotonic()
            if left < LEAST_LEFT_S or not 0 < first.stream.last() < int(first.plan[1]) or self.run.closing:
                return
            home = self.rng.choice(self.run.instances)
            link = home.link if self.rng.random() < self.run.link_share else None
            try:
                connecting = asyncio.open_connection(*(link.listen if link else home.front))
                reader, writer = await asyncio.wait_for(connecting, 1)
            except (OSError, asyncio.TimeoutError):
                await asyncio.sleep(self.rng.uniform(0.05, 0.3))
                continue
            self.run.checks.counts["take_ups"] += 1
            request, data = self.make_again(first, home, link.name if link else None)
            try:
                await self.exchange(request, data, reader, writer)
            finally:
                self.finish(request)
                writer.close()
            if request.status not in (None, 200, 502, 504, *checks.PROMISES):
                return
            await asyncio.sleep(self.rng.uniform(0, FRESH_BACKOFF_S if is_fresh else 0.1))

    def make_again(self, first, home, link):
        """The request that takes a stream up: another id, and where the stream began and is."""
        left = first.deadline_at - time.monotonic()
        request = checks.Request(self.next_id(), first.route, home, link, time.monotonic(), 1, 0.0,
                                 min(left, *faults.ROUTE_TIMEOUTS_S))
        request.plan, request.body, request.path, request.key = first.plan, first.body, first.path, first.key
        request.stream, request.resumes, request.first = first.stream, first.stream.first_id, first.stream.last() + 1
        request.withdrawn_at, request.key_answers = self.run.keys.withdrawn.get(first.key), home.key_answers
        request.headers = {**first.headers, "X-Request-Id": request.id,
                           "X-Request-Deadline-Ms": max(1, int(left * 1000)), "Resumes": request.resumes, "Last-Event-Id": first.stream.last()}
        return request, self.bytes_of(request)

    def bytes_of(self, request):
        in_chunks = bool(request.body) and self.rng.random() < 0.3
        line = f"{METHODS[request.route]} {request.path} HTTP/1.1"
        return wire.message(line, request.headers, request.body, in_chunks)

    def next_id(self):
        self.sent += 1
        return f"{self.run.seed:x}c{self.number:x}n{self.sent:x}-{self.rng.getrandbits(32):08x}"

    def make(self, link, opened, number, idle):
        routes = ("idem", "idem", "once", "once", "gen", "res", "open")
        if "configurations" in self.run.kinds:
            routes = (*routes, "some")
        if self.run.more or self.run.dropped:
            routes = (*routes, *["more"] * 3)
        has_versions = "versions" in self.run.kinds
        route = self.rng.choice((*routes, *["res"] * 8) if has_versions else routes)
        added = None
        if route == "more":
            among = self.run.more if self.rng.random() < 0.8 and self.run.more else self.run.dropped or self.run.more
            added = self.rng.choice(list(among))
        request_id = self.next_id()
        deadline = self.rng.randint(1000, 3000)
        # The instance may use another configuration than the newest.
        timeout = min(deadline / 1000, *faults.ROUTE_TIMEOUTS_S)
        request = checks.Request(request_id, route, self.home, link, opened, number, idle, timeout)
        delay = int(self.rng.choice((0, 2, 10, 60)) * self.rng.random())
        if route in ("gen", "res"):
            events, gaps = ((5, 40), (10, 30, 60)) if has_versions else ((1, 12), (0, 5, 30))
            plan = f"{delay},{self.rng.randint(*events)},{self.rng.choice(gaps)}"
        else:
            plan = f"{delay},{self.rng.choice((20, 400, 9000))}"
        request.plan = plan.split(",")
        if route == "res" and "early-take-ups" in self.run.kinds and self.rng.random() < 0.3:
            request.patience = self.rng.uniform(*SHORT_PATIENCE_S)
        request.idle_limit = self.run.idle_limit_since(request.sent_at - idle)
        request.key = key = self.run.keys.draw(self.rng)
        # Any key is good enough for the public route.
        request.withdrawn_at = None if route == "open" else self.run.keys.withdrawn.get(key)
        request.key_answers = self.home.key_answers
        request.deadline_at, request.path = request.sent_at + deadline / 1000, f"/{added or route}/{request_id}"
        request.added = added
        request.body = body = b"" if METHODS[route] == "GET" else b"q" * self.rng.choice((1, 200, 5000))
        request.headers = headers = {
                   "Host": HOST, "X-Request-Id": request_id, "X-Request-Deadline-Ms": deadline,
                   "Authorization": f"Token {key}", "X-Soak": plan,
                   "X-Soak-Sum": wire.digest(body.decode())}
        if route in ("gen", "res"):
            headers.update({"X-Model": engines.MODEL, "X-Token-Usage": "300,40",
                            "X-Prompt-Prefix": f"{self.rng.randrange(20):x}:200,{request_id[-8:]}:100"})
        return request, self.bytes_of(request)

    async def exchange(self, request, data, reader, writer):
        """Sends a request and judges its answer; True when the connection serves another one."""
        request.sent_at = time.monotonic()
        self.run.checks.under_way[request.id] = request
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
            request.end("gave_up" if request.patience and request.status == 200 else "hung")
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
        self.run.checks.passed_on(request)
        if request.status == 200:
            await self.read_success(request, headers, reader)
        else:
            await wire.read_body(reader, headers)
        request.end("answered")
        self.rested_since = time.monotonic()
        self.judge(request, headers)
        if request.status in checks.PROMISES:
            await asyncio.sleep(min(float(headers.get("retry-after", "0")), 1) + self.rng.uniform(0.02, 0.3))
        return headers.get("connection", "").lower() != "close" and not wire.ends_with_close(headers)

    def judge(self, request, headers):
        if request.route == "more":
            self.run.checks.judge_route(request)
        if request.status not in ANSWERS and (request.route not in ("some", "more") or request.status != 404):
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
            numbers = range(request.first, int(request.plan[1]) + 1)
            expected = engines.masked(b"".join(engines.event(request.id, number) for number in numbers))
        request.seen = seen = b""
        pieces = wire.read_pieces(reader, headers)
        while (piece := await asyncio.wait_for(anext(pieces, None), request.patience)) is not None:
            request.seen += piece
            seen = request.seen if len(request.plan) == 2 else engines.masked(request.seen)
            if not expected.startswith(seen):
                break
        if wire.ends_with_close(headers):
            request.is_short = len(seen) < len(expected) and expected.startswith(seen)
        if seen != expected and not request.is_short:
            self.run.checks.order_finding("MIXED", f"{request}: {seen[-120:]!r} of {len(expected)} bytes", request)


class DirectoryCaller(Caller):
    """Asks the directory where to connect; sends on while earlier requests are under way, and tries again elsewhere."""

    def __init__(self, number, near, run):
        super().__init__(number, near, run)
        self.place = near.place
        self.known, self.until = [], 0.0
        # A quarter keep an answer three times as long.
        self.patience = 3 if number % 4 == 0 else 1
        # Open connections with nothing under way: instance, reader, writer and time of the last use.
        self.idle = []

    async def live(self):
        await asyncio.sleep(self.rng.uniform(0, 1))
        while not self.run.closing:
            if time.monotonic() > self.until:
                await self.resolve()
            self.run.spawn(self.ask())
            await asyncio.sleep(self.rng.uniform(0.4, 1.2))
        for _, _, writer, _ in self.idle:
            writer.close()

    async def resolve(self):
        """Asks an instance of its zone; keeps the former answer where it gets none."""
        asked = self.rng.choice([instance for instance in self.run.instances if instance.place == self.place])
        region = self.run.regions[f"zone-{self.place}"]
        target = f"/-/resolve?name={HOST}&region={region}&zone=zone-{self.place}"
        try:
            document = await asyncio.wait_for(self.read_directory(asked, target), 1)
        except (*wire.READ_ERRORS, asyncio.TimeoutError):
            return
        by_address = {"%s:%d" % instance.front: instance for instance in self.run.instances}
        known = [by_address[address] for address in document.get("addresses", ())]
        if known:
            self.known, self.until = known, time.monotonic() + document["ttl-s"] * self.patience

    async def read_directory(self, asked, target):
        reader, writer = await asyncio.open_connection(asked.address, DIRECTORY_PORT)
        try:
            writer.write(wire.message(f"GET {target} HTTP/1.1", {"Host": "directory"}))
            _, headers = await wire.read_head(reader)
            return json.loads(await wire.read_body(reader, headers))
        finally:
            writer.close()

    async def ask(self):
        """One request and its tries, each at another of the addresses."""
        failed = set()
        while len(failed) < DIRECTORY_TRIES and not self.run.closing:
            left = [instance for instance in self.known if instance not in failed]
            if not left:
                return
            connection = await self.connect(left)
            if connection is None or await self.attempt(connection, not failed):
                return
            failed.add(connection[0])

    async def connect(self, among):
        """An idle connection to one of the instances, or a new one."""
        now = time.monotonic()
        while self.idle:
            home, reader, writer, used_at = self.idle.pop()
            if home in among and now - used_at < self.run.idle_limit_since(used_at) / 2:
                return home, reader, writer, now - used_at
            writer.close()
        home = self.rng.choice(among)
        try:
            return home, *await asyncio.wait_for(asyncio.open_connection(*home.front), 1), None
        except (OSError, asyncio.TimeoutError):
            return None

    async def attempt(self, connection, is_first):
        """One try; True unless another instance may serve the request."""
        home, reader, writer, idle = connection
        self.home = home
        request, data = self.make(None, time.monotonic(), 1 if idle is None else 2, idle or 0.0)
        request.group = "directory" if is_first else None
        goes_on = False
        try:
            goes_on = await self.exchange(request, data, reader, writer)
        finally:
            self.finish(request)
            if goes_on and not self.run.closing and self.rng.random() < 0.7:
                self.idle.append((home, reader, writer, time.monotonic()))
            else:
                writer.close()
        return request.outcome == "abandoned" or request.status in (200, 401, 404)


class DeadlyCaller(Caller):
    """Sends one request again and again, at any instance, that ends each engine that runs it."""

    async def live(self):
        path, key = f"/idem/deadly-{self.number}", self.run.keys.lasting[0]
        while not self.run.closing:
            await asyncio.sleep(self.rng.uniform(0.2, 1.5))
            home = self.rng.choice(self.run.instances)
            try:
                reader, writer = await asyncio.wait_for(asyncio.open_connection(*home.front), 1)
            except (OSError, asyncio.TimeoutError):
                continue
            request = checks.Request(self.next_id(), "deadly", home, None, time.monotonic(), 1, 0.0, 2.0)
            request.path, request.key, request.plan = path, key, ["0", "20"]
            headers = {"Host": HOST, "X-Request-Id": request.id, "X-Request-Deadline-Ms": 2000,
                       "Authorization": f"Token {key}", "X-Soak": "0,20", "X-Deadly": 1, "X-Soak-Sum": wire.digest("")}
            self.run.checks.under_way[request.id] = request
            writer.write(wire.message(f"GET {path} HTTP/1.1", headers))
            try:
                await asyncio.wait_for(wire.read_head(reader), 2 + PATIENCE_S)
            except (*wire.READ_ERRORS, asyncio.TimeoutError):
                pass  # What became of it is judged by the engines that it ends.
            writer.close()
            asyncio.get_running_loop().call_later(checks.SETTLE_S, self.run.checks.forget, request.id)
