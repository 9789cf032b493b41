"""An engine leaves after the table store was silent for a while; TROUBLE=0: the store was never silent."""
import asyncio
import collections
import pathlib
import sys
import time

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))
import rig3 as rig_of  # noqa: E402
import wire  # noqa: E402

SILENT_S = 4.5
STABLE_S = 3.0
DRAIN_S = 2.5
# What the network takes at most here, in seconds.
ON_ITS_WAY_S = 0.2
PER_SECOND = 40
MACHINES = 3


def make_silent(store):
    """The store answers no call that is open while it is silent, then or later; others are answered."""
    answer = store.answer
    silence = {"begins": None, "ends": None}

    async def answer_or_not(line, body, writer):
        begun = time.monotonic()
        if silence["begins"] and begun < silence["ends"]:
            await asyncio.sleep(3600)
        # The answer is written by the store's own code, unless the silence begins before.
        call = asyncio.ensure_future(answer(line, body, writer))
        while not call.done():
            await asyncio.wait({call}, timeout=0.05)
            if not call.done() and silence["begins"] and begun < silence["begins"] <= time.monotonic():
                call.cancel()
                await asyncio.sleep(3600)
        return call.result()

    store.answer = answer_or_not
    return silence


async def request(rig, relay, number, counts):
    request_id = f"{number:08x}"
    outcome = "no connection"
    try:
        reader, writer = await asyncio.wait_for(asyncio.open_connection(*relay.front), 1)
        try:
            method, path = ("POST", "/booking/van") if number % 3 else ("GET", "/jobs/status")
            line, headers = rig_of.request_head(method, path, request_id, 1200)
            rig.sent[request_id] = (time.monotonic(), relay.name)
            writer.write(wire.message(line, headers, b"q" * (600 if method == "POST" else 0)))
            answer, headers = await asyncio.wait_for(wire.read_head(reader), 1.5)
            await asyncio.wait_for(wire.read_body(reader, headers), 1.5)
            outcome = answer.split(" ")[1]
        finally:
            writer.close()
    except (*wire.READ_ERRORS, asyncio.TimeoutError) as failure:
        outcome = f"failed: {type(failure).__name__}"
    counts[outcome] += 1
    rig.record.write(f"{request_id} to {relay.name}: {outcome}")


async def traffic(rig, ends, counts):
    tasks, number = [], 1
    while time.monotonic() < ends:
        tasks.append(asyncio.create_task(request(rig, rig.relays[number % MACHINES], number, counts)))
        number += 1
        await asyncio.sleep(1 / PER_SECOND)
    await asyncio.wait(tasks)


async def play(rig):
    rig.sent = {}
    engines = [rig_of.Engine(number, "booking-desk", rig, slots=6) for number in range(4)]
    joining = engines[-1]
    config = {"routes": [rig_of.route("r-booking", "/booking/", "non_idempotent", "booking-desk"),
                         rig_of.route("r-jobs", "/jobs/", "idempotent", "booking-desk", **{"max-attempts": 2})],
              "services": rig_of.services([], ["booking-desk"]), "tenants": [rig_of.tenant()]}
    silence = make_silent(rig.store)
    await rig.begin(MACHINES, config, engines[:-1])
    rig.engines.append(joining)
    counts = collections.Counter()
    begun = time.monotonic()
    calls = asyncio.create_task(traffic(rig, begun + 18, counts))
    # Another engine comes a while before.
    await asyncio.sleep(1)
    await joining.start()
    await asyncio.sleep(2)
    if rig_of.TROUBLE:
        silence["begins"], silence["ends"] = time.monotonic(), time.monotonic() + SILENT_S
        rig.record.say(f"the store is silent for {SILENT_S} s")
    await asyncio.sleep(SILENT_S + STABLE_S + 0.5)
    leaving = engines[0]
    leaving.state = "draining"
    leaving.register()
    acknowledged = time.monotonic()
    rig.record.say(f"{leaving.id} is draining, as the store has acknowledged")
    await calls
    late = [each for each in leaving.arrivals
            if each["at"] > acknowledged + DRAIN_S + ON_ITS_WAY_S
            and rig.sent[each["id"]][0] > acknowledged + DRAIN_S]
    for each in late:
        rig.record.write(f"{each['id']} reached {leaving.id} {each['at'] - acknowledged:.3f} s after that, "
                         f"sent by {rig.sent[each['id']][1]}")
    for outcome, count in sorted(counts.items()):
        rig.record.say(f"answered {outcome}: {count}")
    rig.record.say(f"requests that reached it later than {DRAIN_S} s after that: {len(late)}")
    return rig_of.BROKEN if late else rig_of.HELD


rig_of.run_case(FOLDER, play)
