"""A sound server of a service without models."""
import asyncio
import time

import wire

BODY = b"x" * 800
WORK_S = 0.03
KEEP_ALIVE_S = 20


class Server:
    """Runs each request once and answers it with the id and a seal; says in the store that it is ready."""

    def __init__(self, rig, number, service, zone, slots=64):
        self.rig, self.id, self.service, self.zone, self.slots = rig, f"i-{number:08x}", service, zone, slots
        self.address = (f"{rig.network}.{10 + number}", 8080)
        self.sequence, self.born = 0, int(time.time() * 1000)

    async def start(self):
        self.listener = await asyncio.start_server(self.serve, *self.address, backlog=2048)
        self.register()

    def describe(self):
        self.sequence += 1
        return {"service": self.service, "address": "%s:%d" % self.address, "zone": self.zone, "version": "v1",
                "slots": self.slots, "state": "ready", "cold-remaining-ms": 0, "sequence": self.sequence,
                "born": self.born}

    def register(self):
        self.rig.store.put("servers", self.id, self.describe())

    async def serve(self, reader, writer):
        try:
            while True:
                line, headers = await wire.read_head(reader)
                body = await wire.read_body(reader, headers)
                await self.answer(line, headers, body, writer)
        except wire.READ_ERRORS:
            pass  # The relay has gone.
        finally:
            writer.close()

    def head(self, headers):
        return {"X-Request-Id": headers.get("x-request-id", ""), "X-Response-Seal": f"seal.{self.id}",
                "X-Instance-Id": self.id, "Keep-Alive": f"timeout={KEEP_ALIVE_S}"}

    async def answer(self, line, headers, body, writer):
        if headers.get("x-expect-instance", self.id) != self.id:
            writer.write(wire.message("HTTP/1.1 421 Misdirected Request", self.head(headers)))
            return
        if "x-request-id" not in headers:
            writer.write(wire.message("HTTP/1.1 400 Bad Request", {"X-Not-Executed": "1", "X-Instance-Id": self.id}))
            return
        self.rig.record(f"{self.id} runs {headers['x-request-id']}")
        await asyncio.sleep(WORK_S)
        writer.write(wire.message("HTTP/1.1 200 OK", self.head(headers), BODY))
        await writer.drain()
