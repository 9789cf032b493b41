"""Stand-in for the platform's store: rows-get, rows-feed and rows-tx over tables op, servers, fleet."""
import asyncio
import base64
import collections
import json
import time
import urllib.parse

import wire

PAGE_ROWS = 500
# The store can come back from a copy that is at most this old, in seconds.
COPIES_S = 12
# Bytes a second of a store behind a narrow link, and of an answer that is cut, at most.
NARROW_BYTES_S = 400_000
CUT_BYTES = 200_000


class Store:
    """Rows under one counter of versions; `fault` names how answers go wrong at present."""

    def __init__(self, rng):
        self.rng = rng
        self.rows = {}
        self.version = 0
        self.history_from = 0
        self.era = 1
        self.copies = collections.deque([(time.monotonic(), {}, 0)])
        self.fault = None
        # Links to instances that get 503.
        self.turned_away = set()
        # Until when it answers nothing, and whether it carries out meanwhile what it is sent.
        self.silent_until, self.performs = 0.0, True
        self.changed = asyncio.Event()
        self.connections = set()
        self.calls = 0

    async def start(self, address, port):
        self.server = await asyncio.start_server(self.serve, address, port, backlog=512)

    def put(self, table, key, document):
        """The operator's or an engine's write: a document as JSON."""
        self.put_raw(table, key, base64.b64encode(json.dumps(document).encode()).decode())

    def put_raw(self, table, key, value):
        self.version += 1
        self.write(table, key, value)

    def renew(self, table, key, document):
        """A transaction that replaces a row by one like it: it counts, and is no change."""
        self.version += 1
        if (table, key) in self.rows:
            value = base64.b64encode(json.dumps(document).encode()).decode()
            self.rows[(table, key)] = (value, self.rows[(table, key)][1])

    def write(self, table, key, value):
        self.rows[(table, key)] = (value, self.version)
        self.copies.append((time.monotonic(), dict(self.rows), self.version))
        while self.copies[1][0] < time.monotonic() - COPIES_S:
            self.copies.popleft()
        self.wake()

    def wake(self):
        """Calls that wait for changes look again."""
        changed, self.changed = self.changed, asyncio.Event()
        changed.set()

    def come_back(self, lost_s):
        """Loses what was written in the last seconds; versions go back and are given out again."""
        moment = time.monotonic() - lost_s
        while len(self.copies) > 1 and self.copies[-1][0] > moment:
            self.copies.pop()
        _, rows, self.version = self.copies[-1]
        self.rows = dict(rows)
        self.history_from = min(self.history_from, self.version)
        self.era += 1
        self.wake()

    def remove(self, table, key):
        if self.rows.get((table, key), (None, 0))[0] is not None:
            self.put_raw(table, key, None)

    def discard_history(self):
        """Later calls for older changes get 410."""
        self.history_from = self.version

    def silence(self, seconds, performs):
        self.silent_until, self.performs = time.monotonic() + seconds, performs

    def is_silent(self):
        return time.monotonic() < self.silent_until

    async def until_heard(self):
        while self.is_silent():
            await asyncio.sleep(self.silent_until - time.monotonic())

    def turns_away(self, writer):
        address = writer.get_extra_info("peername") if self.turned_away else None
        return any(link.holds(address) for link in self.turned_away)

    def reset_connections(self):
        for transport in list(self.connections):
            wire.reset(transport)

    async def serve(self, reader, writer):
        self.connections.add(writer.transport)
        try:
            while True:
                line, headers = await wire.read_head(reader)
                body = await wire.read_body(reader, headers)
                self.calls += 1
                if not await self.answer(line, body, writer):
                    return
        except wire.READ_ERRORS:
            pass  # The caller has gone.
        finally:
            self.connections.discard(writer.transport)
            writer.close()

    async def answer(self, line, body, writer):
        """Answers one call; False when the connection ends."""
        method, target, _ = line.split(" ", 2)
        if not self.performs:
            await self.until_heard()
        if self.fault == "down" or self.turns_away(writer):
            status, document = 503, {}
        else:
            if self.fault == "slow":
                await asyncio.sleep(self.rng.uniform(0.1, 1.2))
            status, document = await self.perform(method, target, body)
            # A call that waited for changes does not get them past the refusal.
            if method == "GET" and self.turns_away(writer):
                status, document = 503, {}
        await self.until_heard()
        if self.fault == "lose" and self.rng.random() < 0.6:
            wire.reset(writer.transport)
            return False
        text = json.dumps(document).encode()
        head = {"Content-Type": "application/json", "Store-Era": self.era}
        message = wire.message(f"HTTP/1.1 {status} X", head, text)
        if self.fault == "cut" and self.rng.random() < 0.6:
            writer.write(message[:self.rng.randrange(min(len(message), CUT_BYTES))])
            await writer.drain()
            wire.reset(writer.transport)
            return False
        if self.fault == "narrow":
            await self.write_slowly(message, writer)
        else:
            writer.write(message)
        await writer.drain()
        return True

    async def write_slowly(self, message, writer):
        piece = NARROW_BYTES_S // 20
        for begin in range(0, len(message), piece):
            writer.write(message[begin:begin + piece])
            await writer.drain()
            await asyncio.sleep(0.05)

    async def perform(self, method, target, body):
        url = urllib.parse.urlsplit(target)
        query = dict(urllib.parse.parse_qsl(url.query, keep_blank_values=True))
        if url.path == "/-/rows-get":
            return self.read_rows(query)
        if url.path == "/-/rows-feed":
            return await self.follow(query)
        if url.path == "/-/rows-tx" and method == "POST":
            return self.transact(json.loads(body))
        return 404, {}

    def stamp(self, document):
        return {**document, "ver": self.version, "now-ms": int(time.monotonic() * 1000)}

    def describe(self, table, key):
        value, version = self.rows.get((table, key), (None, 0))
        row = {"table": table, "part": "", "key": key, "ver": version}
        return {**row, "deleted": True} if value is None else {**row, "value": value}

    def read_rows(self, query):
        first, table = query.get("from", ""), query["table"]
        keys = sorted(key for (of, key), (value, _) in self.rows.items()
                      if of == table and value is not None and key >= first)
        rows = [self.describe(table, key) for key in keys[:PAGE_ROWS]]
        return 200, self.stamp({"rows": rows, "truncated": len(keys) > PAGE_ROWS})

    async def follow(self, query):
        table, after = query["table"], int(query["after"])
        end = time.monotonic() + min(int(query["wait-ms"]), 30_000) / 1000
        while True:
            if not self.history_from <= after <= self.version:
                return 410, self.stamp({})
            keys = [(version, key) for (of, key), (_, version) in self.rows.items()
                    if of == table and version > after]
            left = end - time.monotonic()
            if keys or left <= 0:
                return 200, self.stamp({"rows": [self.describe(table, key) for _, key in sorted(keys)]})
            try:
                await asyncio.wait_for(self.changed.wait(), left)
            except asyncio.TimeoutError:
                pass  # The answer without rows says so.

    def transact(self, call):
        entries = [*call["set-keys"], *call["remove"]]
        if any(entry["table"] in ("op", "servers") for entry in entries):
            return 403, {}
        current = [self.describe(entry["table"], entry["key"]) for entry in call["expected"]]
        live = [0 if row.get("deleted") else row["ver"] for row in current]
        if live != [entry["ver"] for entry in call["expected"]]:
            return 412, self.stamp({"rows": current})
        self.version += 1
        for entry in entries:
            self.write(entry["table"], entry["key"], entry.get("value"))
        return 200, self.stamp({})
