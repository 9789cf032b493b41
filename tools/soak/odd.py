"""Entries that another writer leaves among those of the engines, and what listens at their address."""
import asyncio
import json

import wire

# Largest value of a row, in bytes.
ROW_BYTES = 65_536
# Deeper than any row of the platform's store has room for.
LARGE_DEPTH = 60_000
WRONG_NUMBERS = {
    "slots": (10**40, -1, 1.5e300, 0.5, "8", None),
    "born": (10**30, -5, 1.5, "1", [1]),
    "cold-remaining-ms": (1e300, 10**40, -1, "0"),
    "sequence": (10**40, -1, 0.5, {}),
}
WRONG_TEXTS = {
    "service": (7, None, ["plain"], "nobody"),
    "state": ("asleep", 1, None, []),
    "zone": (1, None, {}),
    "version": (["v1"], {"v": 1}, 7),
    "address": (7, None, "", "nowhere", ":8080"),
}
WRONG_PORTS = ("0", "65536", "8080abc", "8080 ", "-1", "", "99999999999999999999")
UNREADABLE = (b"", b"{", b"\xff\xfe\x00", b"\x00", b"null", b"[]", b'"ready"', b"7", b"[" * 60_000)


def nested(depth):
    return b"[" * depth + b"]" * depth


def with_deep(row, place, depth=None):
    """The row with a nested value at the place; by default as deep as a row has room for."""
    text = json.dumps({**row, **place}).encode()
    return text.replace(b'"DEEP"', nested(depth or (ROW_BYTES - len(text)) // 2))


def odd_rows(sound):
    """All kinds of odd entries made from a sound one, as name and bytes."""
    # What is odd about a deep one may be unknown to the reader, so nothing but its state keeps requests away.
    drained = {**sound, "state": "draining"}
    for name, place in (("unknown field", {"more": "DEEP"}), ("models", {"models": "DEEP"}),
                        ("element of models", {"models": ["DEEP"]}),
                        ("field of models", {"models": [{"name": "model-1", "adapters": "DEEP", "version": 1}]})):
        yield f"deep {name}", with_deep(drained, place)
        yield f"large {name}", with_deep(drained, place, LARGE_DEPTH)
    for field, values in {**WRONG_NUMBERS, **WRONG_TEXTS}.items():
        for value in values:
            yield f"{field} {value!r:.20}", json.dumps({**sound, field: value}).encode()
    host = sound["address"].split(":")[0]
    for port in WRONG_PORTS:
        yield f"port {port!r}", json.dumps({**sound, "address": f"{host}:{port}"}).encode()
    for field in ("service", "address", "zone", "slots", "state"):
        yield f"no {field}", json.dumps({key: value for key, value in sound.items() if key != field}).encode()
    text = json.dumps(sound).encode()
    yield "half", text[:len(text) // 2]
    yield "zone in no text", text.replace(b"zone-a", b"zone-\xc3\x28")
    for number, value in enumerate(UNREADABLE):
        yield f"unreadable {number}", value


def draw(rng, sound):
    rows = list(odd_rows(sound))
    deep = [row for row in rows if row[0].startswith(("deep", "large"))]
    return rng.choice(deep if rng.random() < 0.2 else rows)


class Trap:
    """Listens where odd entries point to; a caller's request that comes here is a finding."""

    def __init__(self, listen, run):
        self.listen, self.run = listen, run
        self.address = "%s:%d" % listen

    async def start(self):
        self.server = await asyncio.start_server(self.serve, *self.listen)

    async def serve(self, reader, writer):
        try:
            while True:
                line, headers = await wire.read_head(reader)
                await wire.read_body(reader, headers)
                self.take(line, headers)
                head = {"X-Request-Id": headers.get("x-request-id", ""), "X-Not-Executed": "1"}
                writer.write(wire.message("HTTP/1.1 503 Nobody", head))
        except wire.READ_ERRORS:
            pass  # The other side has gone.
        finally:
            writer.close()

    def take(self, line, headers):
        target = line.split(" ")[1]
        if not target.startswith("/-/") and target != "/health":
            expected = headers.get("x-expect-instance")
            self.run.checks.finding("ODD", f"an odd entry got a request: {line}, expected {expected}",
                                    headers.get("x-request-id"))
