"""A server fails orders that it has begun with 503, and does not say that it has not run them."""
import asyncio
import pathlib
import random
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent))

import rig as rigs  # noqa: E402
import servers  # noqa: E402
import wire  # noqa: E402

PROMISES = (408, 421, 429, 503)
DEADLINE_MS = 3000
# Orders come as often as the sheet of the site says.
ORDERS, INTERVAL_S = 340, 1 / 56
# Part of the requests that a grey server fails.
FAILED_SHARE = 0.4


class Server(servers.Server):
    """Records an order, and then fails some of them where it cannot go on."""

    def __init__(self, rig, number, service, zone, is_grey, ran):
        super().__init__(rig, number, service, zone, slots=6)
        self.is_grey, self.ran, self.rng = is_grey, ran, random.Random(number)

    async def answer(self, line, headers, body, writer):
        request_id = headers.get("x-request-id")
        is_own = headers.get("x-expect-instance", self.id) == self.id
        if is_own and request_id and self.is_grey and self.rng.random() < FAILED_SHARE:
            self.ran.append((request_id, body))
            self.rig.record(f"{self.id} runs {request_id} and fails it with 503, without X-Not-Executed")
            await asyncio.sleep(servers.WORK_S)
            writer.write(wire.message("HTTP/1.1 503 Service Unavailable", self.head(headers), b"no connection to the ledger"))
            return
        if is_own and request_id:
            self.ran.append((request_id, body))
        await super().answer(line, headers, body, writer)


async def attempt(rig, request_id, body):
    reader, writer = await asyncio.open_connection(*rig.relays[0].address("front"))
    try:
        rig.record(f"client sends {request_id}")
        writer.write(wire.message(f"POST /order/{body.decode()} HTTP/1.1", {
            "Host": rigs.HOST, "X-Request-Id": request_id, "X-Request-Deadline-Ms": DEADLINE_MS,
            "Authorization": f"Token {rigs.KEY}"}, body))
        line, headers = await asyncio.wait_for(wire.read_head(reader), DEADLINE_MS / 1000)
        await wire.read_body(reader, headers)
        status = int(line.split(" ")[1])
    except (*wire.READ_ERRORS, asyncio.TimeoutError) as failure:
        status = type(failure).__name__
    finally:
        writer.close()
    rig.record(f"client gets {status} for {request_id}")
    return status


async def order(rig, number, answers):
    """An order and its one retry, which PROTOCOL.md allows only after a promise."""
    body = f"estate-{number}".encode()
    for tries in range(2):
        request_id = f"order-{number}-{tries}"
        answers[request_id] = await attempt(rig, request_id, body)
        if answers[request_id] not in PROMISES:
            return
        await asyncio.sleep(0.1)


async def play(rig):
    ran, answers = [], {}
    await rig.start_store()
    for number in range(3):
        server = Server(rig, number, "desk", "muscat-a", rigs.TROUBLE and number == 0, ran)
        await server.start()
        rig.servers.append(server)
    rig.store.put("op", "config", rigs.configuration(
        1, [rigs.route("order", "non_idempotent", "desk")],
        [{"name": "desk", "health-path": "/health", "max-conns": 400, "protocol": "h1", "tls": False}]))
    await rig.start_relays(1)
    orders = []
    for number in range(ORDERS):
        orders.append(asyncio.ensure_future(order(rig, number, answers)))
        await asyncio.sleep(INTERVAL_S)
    await asyncio.gather(*orders)
    ids = {request_id for request_id, _ in ran}
    untrue = sorted(request_id for request_id, status in answers.items() if status in PROMISES and request_id in ids)
    bodies = [body for _, body in ran]
    doubled = sorted({body.decode() for body in bodies if bodies.count(body) > 1})
    rig.record(f"orders that ran and were answered with a promise that they had not: {len(untrue)}: {untrue}")
    rig.record(f"orders that were recorded twice since their client trusted the promise: {doubled}")
    return bool(untrue)


rigs.main(play)
