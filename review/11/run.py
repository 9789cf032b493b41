"""All machines lose power and only one of each region comes back; TROUBLE=0: all seven come back."""
import asyncio
import collections
import pathlib
import signal
import sys
import time

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))
import rig3 as rig_of  # noqa: E402
import wire  # noqa: E402

MACHINES = 7
# One machine of each region.
SURVIVORS = (0, 2)
RECOVERY_S = 12
BEFORE_S, JUDGED_S = 6, 6
PER_SECOND = 40


async def request(rig, relay, number, path, method, phase, counts):
    """One client attempt on a new connection; counts it as served or not."""
    request_id = f"{number:08x}"
    outcome = "no connection"
    try:
        reader, writer = await asyncio.wait_for(asyncio.open_connection(*relay.front), 1)
        try:
            line, headers = rig_of.request_head(method, path, request_id, 1200)
            writer.write(wire.message(line, headers, b"q" * (600 if method == "POST" else 0)))
            answer, headers = await asyncio.wait_for(wire.read_head(reader), 1.2)
            body = await asyncio.wait_for(wire.read_body(reader, headers), 1.2)
            outcome = answer.split(" ")[1]
            if outcome == "200" and body != f"body of {request_id}".encode():
                outcome = "200 with another body"
        finally:
            writer.close()
    except (*wire.READ_ERRORS, asyncio.TimeoutError) as failure:
        outcome = f"failed: {type(failure).__name__}"
    rig.record.write(f"{request_id} {method} {path} to {relay.name} ({phase}): {outcome}")
    counts[(phase, outcome)] += 1


async def traffic(rig, relays, seconds, phase, counts, first):
    """PER_SECOND requests a second, spread over the machines; the next free number."""
    tasks, number = [], first
    begun = time.monotonic()
    while time.monotonic() < begun + seconds:
        method, path = ("POST", "/booking/van") if number % 3 else ("GET", "/jobs/status")
        relay = relays[number % len(relays)]
        tasks.append(asyncio.create_task(request(rig, relay, number, path, method, phase, counts)))
        number += 1
        await asyncio.sleep(1 / PER_SECOND)
    await asyncio.wait(tasks)
    return number


def share_served(counts, phase):
    sent = sum(count for (of, _), count in counts.items() if of == phase)
    return counts[(phase, "200")] / max(sent, 1)


async def play(rig):
    engines = [rig_of.Engine(number, "booking-desk", rig, slots=6) for number in range(3)]
    config = {"routes": [rig_of.route("r-booking", "/booking/", "non_idempotent", "booking-desk"),
                         rig_of.route("r-jobs", "/jobs/", "idempotent", "booking-desk", **{"max-attempts": 2})],
              "services": rig_of.services([], ["booking-desk"]), "tenants": [rig_of.tenant()]}
    await rig.begin(MACHINES, config, engines)
    counts = collections.Counter()
    number = await traffic(rig, rig.relays, BEFORE_S, "before", counts, 1)
    for relay in rig.relays:
        relay.signal(signal.SIGKILL)
    for relay in rig.relays:
        relay.process.wait()
    await asyncio.sleep(1)
    back = [rig.relays[index] for index in SURVIVORS] if rig_of.TROUBLE else rig.relays
    for relay in back:
        relay.start()
    rig.record.say(f"{len(back)} of {MACHINES} machines are back")
    back_at = time.monotonic()
    number = await traffic(rig, back, RECOVERY_S, "recovering", counts, number)
    await asyncio.sleep(max(0.0, back_at + RECOVERY_S - time.monotonic()))
    await traffic(rig, back, JUDGED_S, "after", counts, number)
    rig.record.write(f"run by the engines: {sum(len(engine.arrivals) for engine in engines)}")
    for (phase, outcome), count in sorted(counts.items()):
        rig.record.say(f"{phase}: {outcome}: {count}")
    before, after = share_served(counts, "before"), share_served(counts, "after")
    rig.record.say(f"served before: {before:.2f}, later than {RECOVERY_S} s after the machines were back: {after:.2f}")
    if before < 0.25:
        raise rig_of.CannotRun("too little was served before")
    return rig_of.BROKEN if after < 0.25 else rig_of.HELD


rig_of.run_case(FOLDER, play)
