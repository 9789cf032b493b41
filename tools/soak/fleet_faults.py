"""Faults that part instances from each other in what they know: of the store, of releases and of starts."""
import asyncio
import contextlib
import time

# The store turns instances away, or is silent, for so long, in seconds.
AWAY_S = (1.0, 6.0)
# Instances start within this time of the store's return, in seconds.
START_AFTER_RETURN_S = 0.3
# Releases of a series follow each other within this time, in seconds.
RELEASE_GAP_S = (0.5, 2.0)


class FleetFaults:
    """Each kind runs only when it is named, from a source of random numbers of its own."""

    def __init__(self, schedule):
        self.schedule, self.run, self.log = schedule, schedule.run, schedule.log

    def loops(self):
        run = self.run
        each = {"store-parts": self.turn_parts_away, "silent-store": self.silence_store, "many-starts": self.start_many,
                "fast-releases": self.release_fast}
        for kind, loop in each.items():
            if kind in run.kinds:
                yield loop(run.rng(kind))

    async def turn_parts_away(self, rng):
        """The store serves some instances and turns the others away, each in one way."""
        links = [link for link in self.run.links if link.name.startswith("link:store:")]
        while True:
            await asyncio.sleep(rng.uniform(1, 5) * self.run.calm)
            chosen = rng.sample(links, rng.randint(1, max(1, len(links) - 1)))
            how, seconds = rng.choice(("503", "reset", "silence")), rng.uniform(*AWAY_S)
            self.run.checks.counts["fault_store_parts"] += 1
            self.schedule.note(f"store: {how} for {sorted(link.name for link in chosen)} for {seconds:.3f} s")
            await asyncio.gather(*(self.turn_away(link, how, seconds) for link in chosen))

    async def turn_away(self, link, how, seconds):
        async with link.turn:
            entry = self.log.begin(link.name, f"store {how}")
            if how == "503":
                self.run.store.turned_away.add(link)
            elif how == "reset":
                link.resets = True
                link.reset_all()
            else:
                link.held = {"up", "down"}
            await asyncio.sleep(seconds)
            self.run.store.turned_away.discard(link)
            link.resets = False
            await link.clear()
            self.log.end(entry)

    async def silence_store(self, rng):
        """The store reads and answers nothing; what it was sent meanwhile it carries out, at once or at the end."""
        while True:
            await asyncio.sleep(rng.uniform(3, 9) * self.run.calm)
            when, seconds = rng.choice(("at once", "at the end")), rng.uniform(*AWAY_S)
            entry = self.log.begin("store", "silent")
            self.run.checks.counts["fault_store_silent"] += 1
            self.schedule.note(f"store: silent for {seconds:.3f} s, carries out what it is sent {when}")
            self.run.store.silence(seconds, performs=when == "at once")
            await asyncio.sleep(seconds)
            self.log.end(entry)

    async def start_many(self, rng):
        """Several instances are killed and start together, at times in the moment of the store's return."""
        instances = self.run.instances
        while len(instances) > 1:
            await asyncio.sleep(rng.uniform(2, 7) * self.run.calm)
            count = rng.randint(min(2, len(instances) - 1), len(instances) - 1)
            chosen = set(rng.sample(range(len(instances)), count))
            at_return = "returns" in self.run.kinds and rng.random() < 0.5
            down, lost, later = rng.uniform(0, 1.0), rng.uniform(0.3, 10), rng.uniform(0, START_AFTER_RETURN_S)
            async with contextlib.AsyncExitStack() as turns:
                if at_return:
                    await turns.enter_async_context(self.schedule.store_turn)
                # In the order of all that hold several.
                hit = [instance for number, instance in enumerate(instances) if number in chosen]
                for instance in hit:
                    await turns.enter_async_context(instance.turn)
                await self.kill_and_start(hit, (down, lost) if at_return else None, later)
            if at_return:
                self.run.spawn(self.schedule.write_again(self.run.rng(f"written-again-{self.run.store.era}")))

    async def kill_and_start(self, instances, store_return, later):
        self.run.checks.counts["fault_many_starts"] += 1
        entries = [self.log.begin(instance.name, "many starts") for instance in instances]
        for instance in instances:
            instance.kill()
        if store_return is not None:
            down, lost = store_return
            entries.append(self.log.begin("store", "return"))
            self.run.checks.counts["store_returns"] += 1
            self.run.store.reset_connections()
            self.run.store.fault = "down"
            await asyncio.sleep(down)
            self.run.store.come_back(lost)
            self.run.store.fault = None
            self.schedule.note(f"store: back from a copy of {lost:.3f} s before, era {self.run.store.era}")
        await asyncio.sleep(later)
        for instance in instances:
            instance.start()
        self.schedule.note(f"started together: {[instance.name for instance in instances]}")
        for entry in entries:
            self.log.end(entry)

    async def release_fast(self, rng):
        """Series of releases of engine software, and of weights that operators name, closer than one takes to settle."""
        fleet = [engine for engine in self.run.engines if engine.service == "gen"]
        draws = {engine.name: self.run.rng(f"fast-releases-{engine.name}") for engine in fleet}
        while True:
            await asyncio.sleep(rng.uniform(1, 4) * self.run.calm)
            for _ in range(rng.randint(3, 8)):
                await asyncio.sleep(rng.uniform(*RELEASE_GAP_S))
                what = rng.choice(("software", "software", "weights", "both"))
                chosen = rng.sample(fleet, min(len(fleet), rng.choice((1, 1, 2))))
                if what != "software":
                    self.schedule.newest_weights += 1
                    self.run.checks.counts["weights_named"] += 1
                    self.schedule.write_weights()
                if what != "weights":
                    self.schedule.newest_software += 1
                    self.run.checks.counts["releases"] += 1
                    for engine in chosen:
                        self.run.spawn(self.schedule.replace(engine, draws[engine.name]))
                self.schedule.note(f"fast release of {what}: software v{self.schedule.newest_software}, "
                                   f"weights {self.schedule.newest_weights}")
