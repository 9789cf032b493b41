"""Stand-in for the platform's store: rows-get, rows-feed and rows-tx over tables op, servers, fleet."""
import asyncio
import base64
import json
import time
import urllib.parse

import wire

PAGE_ROWS = 500


class Store:
    """Rows under one counter of versions; `fault` names how answers go wrong at present."""

    def __init__(self, rng):
        self.rng = rng
        self.rows = {}
        self.version = 0
        self.history_from = 0
        self.fault = None
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

    def write(self, table, key, value):
        self.rows[(table, key)] = (value, self.version)
        changed, self.changed = self.changed, asyncio.Event()
        changed.set()

    def remove(self, table, key):
        if self.rows.get((table, key), (None, 0))[0] is not None:
            self.put_raw(table, key, None)

    def discard_history(self):
        """Later calls for older changes get 410."""
        self.history_from = self.version

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
        if self.fault == "down":
            status, document = 503, {}
        else:
            if self.fault == "slow":
                await asyncio.sleep(self.rng.uniform(0.1, 1.2))
            status, document = await self.perform(method, target, body)
        if self.fault == "lose" and self.rng.random() < 0.6:
            wire.reset(writer.transport)
            return False
        text = json.dumps(document).encode()
        writer.write(wire.message(f"HTTP/1.1 {status} X", {"Content-Type": "application/json"}, text))
        await writer.drain()
        return True

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
            if after < self.history_from:
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
