"""Schedules of faults, drawn from the seed: processes, links, engines, store and configuration."""
import asyncio
import base64
import contextlib
import math
import signal
import time

import checks
import engines
import fleet_faults
import odd

IDLE_TIMEOUTS_S = (0.3, 0.45, 0.7, 1.0, 1.5, 2.0)
ROUTE_TIMEOUTS_S = (1.5, 2.0, 3.0)
# Routes that configurations move between services; "some" comes and goes, too.
MOVED_ROUTES = ("idem", "open", "once", "some")
# Limits that no caller exceeds.
LIMITS = {"max-header-bytes": (4096, 16384, 65536), "max-body-bytes": (6000, 20_000, 1_000_000),
          "header-timeout-ms": (1000, 3000, 8000)}
# Operators and engines have written what the store lost within this time of its return, in seconds.
REWRITE_S = 2.0
# Rows of silent engines are removed within this time of the store's return, in seconds.
LAPSE_S = 3.6
HEARTBEAT_S = 1.2
# A process handles signals this long after its start, in seconds.
START_S = 1.0
# Connections that went silent for good are in use for at most so long, in seconds.
MUTE_S = 8.0
# Routes that a large configuration adds, and limits that engines name, in requests a second.
MORE_ROUTES = (50, 400, 1400)
LIMITS_PER_S = (1.5, 3.1, 6.5, 20.0)


class Keys:
    """Callers' keys: some hold for good, others are added and withdrawn again."""

    def __init__(self):
        self.lasting = ["lasting-1", "lasting-2"]
        self.passing = {"passing-0": time.monotonic()}
        self.withdrawn = {}
        self.issued = 1

    def rotate(self):
        """Withdraws the oldest passing key and issues another; counts from the store's next write."""
        oldest = next(iter(self.passing))
        del self.passing[oldest]
        self.withdrawn[oldest] = time.monotonic()
        self.passing[f"passing-{self.issued}"] = time.monotonic()
        self.issued += 1

    def draw(self, rng):
        """A key that holds for good, one that may be withdrawn later, or one that no instance may accept."""
        lot = rng.random()
        old = [key for key, at in self.withdrawn.items() if time.monotonic() - at > checks.REVOKE_S]
        if old and lot < 0.1:
            return rng.choice(old[-8:])
        return rng.choice(list(self.passing)) if lot > 0.7 else rng.choice(self.lasting)


def configuration(run, version):
    """The operator's document op/config."""
    route_ms = int(run.route_timeout * 1000)
    common = {"host": "one.example", "timeout-ms": route_ms, "target-latency-ms": 800, "priority": 1}
    services = {name: run.services.get(name, "plain") for name in MOVED_ROUTES}
    kinds = {"idem": ("idempotent", services["idem"], 2), "open": ("idempotent", services["open"], 2),
             "once": ("non_idempotent", services["once"], 2), "gen": ("stream", "gen", 1), "res": ("stream", "gen", 2),
             "some": ("idempotent", services["some"], 2)}
    if "some" not in run.services:
        del kinds["some"]
    kinds |= {name: ("idempotent", "plain", 2) for name in run.more}
    routes = [{**common, "name": name, "prefix": f"/{name}/", "kind": kind, "service": service,
               "max-attempts": attempts, "public": name == "open", "sticky": kind == "stream",
               "resumable": name == "res", "gap-aim-ms": 200}
              for name, (kind, service, attempts) in kinds.items()]
    traits = {"slots": 64, "kv-capacity-tokens": 1_000_000, "kv-token-bytes": 1000, "link-mbps": 100_000.0,
              "max-inflight": 12, "models": [{"name": "model-1"}]}
    plain = {"name": "plain", "health-path": "/health", "max-conns": 2000, "protocol": "h1", "tls": False}
    limits = {"max-header-bytes": 16384, "max-body-bytes": 1_000_000, "header-timeout-ms": 3000, **run.limits,
              "idle-timeout-ms": int(run.idle_timeout * 1000)}
    tenant = {"name": "tenant-1", "api-keys": [*run.keys.lasting, *run.keys.passing], "priority": 1,
              "unit": "tokens", "plain-tokens": 100, "isolated": False, "rate-per-s": 0, "burst": 0}
    return {"version": version, "routes": routes, "limits": limits, "tenants": [tenant],
            "services": [plain, {**plain, "name": "spare"}, {**plain, "name": "gen", "engine": traits}]}


class Schedule:
    """Runs all kinds of faults side by side until cancelled."""

    def __init__(self, run):
        self.run = run
        self.log = run.checks.faults
        self.version = 1
        self.newest_software = 1
        self.newest_weights = 1
        # Held by what takes the store down.
        self.store_turn = asyncio.Lock()
        self.fleet = fleet_faults.FleetFaults(self)

    def loops(self):
        """Coroutines of the schedule, one for each thing that fails by itself."""
        run = self.run
        for instance in run.instances if "cuts" not in run.kinds or "process" in run.kinds else ():
            yield self.trouble_instance(instance, run.rng(f"fault-{instance.name}"))
        for engine in run.engines:
            yield self.trouble_engine(engine, run.rng(f"fault-{engine.name}"))
        for link in run.links:
            yield self.trouble_link(link, run.rng(f"fault-{link.name}"))
        yield self.renew_rows()
        yield self.trouble_store(run.rng("fault-store"))
        yield self.change_configuration(run.rng("configuration"))
        yield self.name_limits(run.rng("limits"))
        if run.cuts is not None:
            yield run.cuts.live(run.rng("cuts"))
        if "weights" in run.kinds:
            yield self.lose_some(run.rng("lose-some"))
        if "versions" in run.kinds:
            yield self.release_software(run.rng("releases"))
            yield self.kill_all(run.rng("kill-all"))
        yield self.end_processes(run.rng("ends"))
        yield self.silence_engines(run.rng("silence"))
        yield self.write_odd_rows(run.rng("odd-rows"))
        yield from self.fleet.loops()

    async def trouble_instance(self, instance, rng):
        # Streams are taken up after kills, and pauses hide whether they could have gone on.
        has_kills = bool(self.run.kinds & {"versions", "weights"})
        shares, slower = ((10, 1, 1, 4, 16, 4), 2) if has_kills else ((50, 16, 16, 6, 4, 8), 1)
        while True:
            await asyncio.sleep(rng.uniform(0.2, 3.0) * self.run.calm * slower)
            kind = rng.choices(("pause", "series", "throttle", "hup", "kill", "term"), shares)[0]
            while instance.held_for_check:
                await asyncio.sleep(0.1)
            if "process" not in self.run.kinds and kind in ("hup", "kill", "term"):
                kind = "pause"
            async with instance.turn:
                entry = self.log.begin(instance.name, kind)
                self.run.checks.counts[f"fault_{kind}"] += 1
                try:
                    await getattr(self, kind)(instance, rng)
                finally:
                    self.log.end(entry)

    async def kill_all(self, rng):
        """All instances lose what they hold in memory at once."""
        while True:
            await asyncio.sleep(rng.uniform(8, 16) * self.run.calm)
            async with contextlib.AsyncExitStack() as turns:
                for instance in self.run.instances:
                    await turns.enter_async_context(instance.turn)
                entries = [self.log.begin(instance.name, "kill all") for instance in self.run.instances]
                self.run.checks.counts["fault_kill_all"] += 1
                for instance in self.run.instances:
                    instance.kill()
                await asyncio.sleep(rng.uniform(0, 0.5))
                for instance, entry in zip(self.run.instances, entries):
                    instance.start()
                    self.log.end(entry)

    async def release_software(self, rng):
        """Engines of the next software version start beside those of older ones, which drain or just end."""
        while True:
            await asyncio.sleep(rng.uniform(2, 5) * self.run.calm)
            self.newest_software += 1
            fleet = [engine for engine in self.run.engines if engine.service == "gen"]
            rng.shuffle(fleet)
            self.run.checks.counts["releases"] += 1
            for number in range(0, rng.randint(len(fleet) // 3, len(fleet)), 2):
                await asyncio.gather(*(self.replace(engine, rng) for engine in fleet[number:number + 2]))

    async def replace(self, engine, rng):
        async with engine.turn:
            entry = self.log.begin(engine.name, "release")
            if rng.random() < 0.7:
                engine.leaving = True
                engine.register()
                await asyncio.sleep(rng.uniform(2.5, 4))
            same_id = rng.random() < 0.3
            if not same_id or rng.random() < 0.7:
                engine.unregister()
            await engine.crash(with_reset=rng.random() < 0.5)
            await asyncio.sleep(rng.uniform(0, 1))
            engine.unregister() if not same_id else None
            self.note(f"{engine.name} starts as v{self.newest_software}{' under its id' if same_id else ''}")
            await engine.start(same_id, f"v{self.newest_software}")
            self.log.end(entry)

    async def pause(self, instance, rng):
        if rng.random() < 0.04:
            # Long enough that the others count the instance as gone.
            await self.stop_for(instance, rng.uniform(6, 10))
            return
        # Short and long pauses alike: equally many in each factor of two.
        await self.stop_for(instance, math.exp(rng.uniform(math.log(0.05), math.log(3.0))))

    async def stop_for(self, instance, seconds):
        instance.pause()
        try:
            await asyncio.sleep(seconds)
        finally:
            instance.resume()
        self.run.spawn(self.run.checks.watch_return(instance))

    async def series(self, instance, rng):
        for _ in range(rng.randint(3, 8)):
            await self.stop_for(instance, rng.uniform(0.05, 0.6))
            await asyncio.sleep(rng.uniform(0.005, 0.2))

    async def throttle(self, instance, rng):
        share = rng.uniform(0.04, 0.3)
        for _ in range(rng.randint(10, 30)):
            await self.stop_for(instance, 0.1 * (1 - share))
            await asyncio.sleep(0.1 * share)

    async def hup(self, instance, rng):
        # A signal before a process handles it ends it.
        await asyncio.sleep(max(0, instance.started_at + START_S + self.run.lag - time.monotonic()))
        instance.signal(signal.SIGHUP)

    async def kill(self, instance, rng):
        instance.kill()
        await asyncio.sleep(rng.uniform(0, 1.5))
        instance.start()

    async def term(self, instance, rng):
        pausing = self.run.spawn(self.pause_while_draining(instance, rng))
        code = await instance.stop_gently()
        pausing.cancel()
        if code is None:
            self.run.checks.finding("GRACE", f"{instance.name} did not end within its grace period")
            instance.kill()
        self.run.checks.counts[f"exit_{code}"] += 1
        await asyncio.sleep(rng.uniform(0, 0.5))
        instance.start()

    async def pause_while_draining(self, instance, rng):
        while rng.random() < 0.7:
            await asyncio.sleep(rng.uniform(0.1, 1.5))
            instance.pause()
            await asyncio.sleep(rng.uniform(0.05, 0.4))
            instance.resume()

    async def trouble_engine(self, engine, rng):
        if "engines" not in self.run.kinds:
            return
        while True:
            await asyncio.sleep(rng.uniform(4, 14) * self.run.calm)
            kinds = ["stall", "reset", "late", "refuse", "truncate", "extra", "crash", "leave"]
            if "odd-answers" in self.run.kinds:
                kinds += ["disown", "odd-head"] * 3
            kind = rng.choice(kinds)
            async with engine.turn:
                await self.break_engine(engine, kind, rng)

    async def break_engine(self, engine, kind, rng):
        entry = self.log.begin(engine.name, kind)
        self.run.checks.counts[f"fault_engine_{kind}"] += 1
        if kind == "crash":
            await engine.crash(with_reset=rng.random() < 0.5)
            gone = rng.random() < 0.5
            await asyncio.sleep(rng.uniform(0.3, 3))
            if gone:
                engine.unregister()
                await asyncio.sleep(rng.uniform(0.1, 1))
            same_id = rng.random() < 0.2
            if not same_id:
                engine.unregister()
            has_other = "versions" in self.run.kinds and rng.random() < 0.3
            await engine.start(same_id, f"v{self.newest_software}" if has_other else None)
        elif kind == "leave":
            if "leaving" in self.run.kinds:
                # Its answers say so before its row does, or where its row never does.
                engine.says_leaving = True
                await asyncio.sleep(rng.uniform(0, 4))
            engine.leaving = "leaving" not in self.run.kinds or rng.random() < 0.6
            engine.register()
            await asyncio.sleep(rng.uniform(2.5, 4))
            engine.unregister()
            await engine.crash()
            await engine.start()
        else:
            engine.fault = kind
            await asyncio.sleep(rng.uniform(0.3, 2.5))
            engine.fault = None
        self.log.end(entry)

    async def name_limits(self, rng):
        """Engines in need name a limit in their answers for a while; it may change meanwhile."""
        while "limits" in self.run.kinds:
            await asyncio.sleep(rng.uniform(0.5, 2))
            engine = rng.choice(self.run.engines)
            if engine.limit is None:
                self.run.spawn(self.limit_engine(engine, rng))

    async def limit_engine(self, engine, rng):
        self.run.checks.counts["limits_named"] += 1
        start = engine.starts
        engine.limit, engine.limit_since = rng.choice(LIMITS_PER_S), time.monotonic()
        await asyncio.sleep(rng.uniform(5, 12))
        if engine.starts == start:
            engine.limit = None

    async def end_engine(self, engine, rng):
        """The process ends, at times to start again within a moment, under its id or another one."""
        if engine.turn.locked() or engine.server is None:
            return
        async with engine.turn:
            entry = self.log.begin(engine.name, "end")
            self.run.checks.counts["engine_ends"] += 1
            await engine.crash(with_reset=rng.random() < 0.5)
            at_once, same_id = rng.random() < 0.4, rng.random() < 0.4
            old = engine.id
            await asyncio.sleep(rng.uniform(0, 0.05) if at_once else rng.uniform(0.5, 3))
            await engine.start(same_id)
            self.log.end(entry)
            if not same_id:
                await asyncio.sleep(rng.uniform(0.5, LAPSE_S))
                self.run.store.remove("servers", old)

    async def end_processes(self, rng):
        """Engines end while answers run; their connections are closed and not reset."""
        ways = [way for way in ("exits", "late-listeners", "address-reuse") if way in self.run.kinds]
        while ways:
            await asyncio.sleep(rng.uniform(0.2, 1) * self.run.calm)
            engine = rng.choice(self.run.engines)
            if not engine.turn.locked():
                self.run.spawn(self.end_process(engine, rng.choice(ways), rng))

    async def end_process(self, engine, way, rng):
        async with engine.turn:
            entry = self.log.begin(engine.name, way)
            self.run.checks.counts[f"engine_{way.replace('-', '_')}"] += 1
            old, same_id, version, down = engine.id, False, None, rng.uniform(0, 1)
            if way == "exits":
                engine.leaving = True
                engine.register()
                await asyncio.sleep(rng.uniform(0.2, 3))
            elif way == "late-listeners":
                same_id, down = rng.random() < 0.5, rng.choice((0, rng.uniform(0, 0.05), rng.uniform(0.5, 2)))
            else:
                down = rng.choice((rng.uniform(0, 0.02), down))
                version = f"v{rng.randint(max(1, self.newest_software - 2), self.newest_software)}"
            listens_s = rng.uniform(0, 0.05) if way == "late-listeners" else 0
            await engine.crash(False, listens_s)
            self.note(f"{engine.name} {old} {way}, listened {listens_s:.3f} s longer, down for {down:.3f} s")
            await asyncio.sleep(down)
            await engine.start(same_id, version)
            self.note(f"{engine.name} starts as {engine.id} {engine.version}")
            self.log.end(entry)
        if not same_id:
            await self.remove_later(old, rng.uniform(0, LAPSE_S))

    async def lose_some(self, rng):
        """Up to half of the instances are lost at once, and operators name weights beside it."""
        while True:
            await asyncio.sleep(rng.uniform(4, 8))
            lost = rng.sample(self.run.instances, rng.randint(1, len(self.run.instances) // 2))
            # All that hold several take them in one order, or they would wait for each other.
            lost.sort(key=self.run.instances.index)
            self.run.checks.counts["fault_lose_some"] += 1
            self.run.spawn(self.lose(lost, rng.uniform(1, 3)))
            for _ in range(3):
                await asyncio.sleep(rng.uniform(0.2, 0.9))
                self.newest_weights += 1
                self.run.checks.counts["weights_named"] += 1
                self.write_weights()

    async def lose(self, instances, seconds):
        async with contextlib.AsyncExitStack() as turns:
            for instance in instances:
                await turns.enter_async_context(instance.turn)
            entries = [self.log.begin(instance.name, "lost") for instance in instances]
            for instance in instances:
                # A process that stands still falls silent as a machine without power does.
                instance.pause()
            await asyncio.sleep(seconds)
            for instance, entry in zip(instances, entries):
                instance.kill()
                instance.start()
                self.log.end(entry)
            # A signal before a process handles it ends it.
            await asyncio.sleep(START_S)

    async def silence_engines(self, rng):
        """A sound engine sends nothing for about a second; that is no fault and excuses nothing."""
        while "silent" in self.run.kinds:
            await asyncio.sleep(rng.uniform(0.5, 4) * self.run.calm)
            self.run.checks.counts["engine_silences"] += 1
            rng.choice(self.run.engines).silent_until = time.monotonic() + rng.uniform(0.7, 1.2)

    async def write_odd_rows(self, rng):
        """Another writer's entries, under ids of their own or that of an engine, which puts it right."""
        while "odd-rows" in self.run.kinds:
            await asyncio.sleep(rng.uniform(0.1, 1) * self.run.calm)
            engine = rng.choice(self.run.engines)
            sound = {**engine.describe(), "address": self.run.trap.address}
            name, value = odd.draw(rng, sound)
            is_over_engine = engine.server is not None and rng.random() < 0.3
            key = engine.id if is_over_engine else f"odd-{rng.randrange(8)}"
            engine.row_is_odd = engine.row_is_odd or is_over_engine
            self.run.checks.counts["odd_rows"] += 1
            self.note(f"odd row {key}: {name}")
            self.run.store.put_raw("servers", key, base64.b64encode(value).decode())
            if not is_over_engine and rng.random() < 0.6:
                self.run.spawn(self.remove_later(key, rng.uniform(0.2, LAPSE_S)))

    async def remove_later(self, key, seconds):
        await asyncio.sleep(seconds)
        self.run.store.remove("servers", key)

    def note(self, text):
        """Keeps what the schedule did beside the logs."""
        self.run.checks.note(text)

    async def trouble_link(self, link, rng):
        if "links" not in self.run.kinds:
            return
        while True:
            await asyncio.sleep(rng.uniform(4, 20) * self.run.calm)
            # Connections of callers that are silent for good would only show their own patience.
            is_muted = "mute" in self.run.kinds and not link.name.startswith("link:r") and rng.random() < 0.4
            kind = "mute" if is_muted else rng.choice(("delay", "silence", "cut", "reset", "refuse"))
            async with link.turn:
                entry = self.log.begin(link.name, kind)
                self.run.checks.counts["fault_link"] += 1
                await link.apply(kind, rng)
                if kind == "mute":
                    await asyncio.sleep(MUTE_S)
                else:
                    await asyncio.sleep(0 if kind == "reset" else rng.uniform(0.1, 2.5))
                await link.clear()
                self.log.end(entry)

    async def trouble_store(self, rng):
        kinds = ["down", "slow", "lose", "reset", "history"] if "store" in self.run.kinds else []
        if "large" in self.run.kinds:
            kinds += ["cut", "narrow", "narrow"]
        if "returns" in self.run.kinds:
            kinds += ["return", "return", "return"]
        store = self.run.store
        while kinds:
            await asyncio.sleep(rng.uniform(5, 16) * self.run.calm)
            kind = rng.choice(kinds)
            async with self.store_turn:
                entry = self.log.begin("store", kind)
                self.run.checks.counts["fault_store"] += 1
                if kind == "return":
                    await self.return_from_copies(store, rng)
                elif kind == "reset":
                    store.reset_connections()
                elif kind == "history":
                    store.discard_history()
                else:
                    store.fault = kind
                    await asyncio.sleep(rng.uniform(0.5, 5))
                    store.fault = None
                self.log.end(entry)

    async def renew_rows(self):
        while True:
            for engine in self.run.engines:
                engine.renew_row()
                await asyncio.sleep(HEARTBEAT_S / len(self.run.engines))

    async def return_from_copies(self, store, rng):
        """The store is away and comes back older, at times again before all has been written again."""
        for _ in range(rng.choice((1, 1, 1, 2, 3))):
            self.run.checks.counts["store_returns"] += 1
            if rng.random() < 0.7:
                store.reset_connections()
            store.fault = "down"
            await asyncio.sleep(rng.choice((0.0, rng.uniform(0, 0.4), rng.uniform(0, 2.5))))
            store.come_back(rng.uniform(0.3, 10))
            store.fault = None
            rewriting = self.run.spawn(self.write_again(rng))
            await asyncio.sleep(rng.uniform(0, 2 * REWRITE_S))
        await rewriting

    async def write_again(self, rng):
        """What operators and engines do once the store is back."""
        await asyncio.sleep(rng.uniform(0, REWRITE_S / 2))
        self.write_configuration()
        self.write_weights()
        for engine in self.run.engines:
            await asyncio.sleep(rng.uniform(0, REWRITE_S / 2 / len(self.run.engines)))
            if engine.server is not None:
                engine.register()
        self.run.spawn(self.remove_lapsed_rows())

    async def remove_lapsed_rows(self):
        store = self.run.store
        await asyncio.sleep(LAPSE_S - REWRITE_S)
        present = {engine.id for engine in self.run.engines if engine.server is not None}
        for table, key in list(store.rows):
            if table == "servers" and key not in present:
                store.remove(table, key)

    def write_weights(self):
        self.run.store.put("op", f"version/{engines.MODEL}", {"model": engines.MODEL, "version": self.newest_weights})

    def draw_more_routes(self, rng):
        """A configuration adds many routes, or drops most of those that others added."""
        run, now = self.run, time.monotonic()
        if len(run.more) > 1500 or rng.random() < 0.3:
            kept = set(rng.sample(sorted(run.more), len(run.more) // 4))
            run.dropped |= {name: now for name in run.more if name not in kept}
            run.more = {name: at for name, at in run.more.items() if name in kept}
            return
        first = len(run.more) + len(run.dropped)
        run.more |= {f"more-{first + number}": now for number in range(rng.choice(MORE_ROUTES))}

    def write_configuration(self):
        self.note_services()
        self.run.store.put("op", "config", configuration(self.run, self.version))

    def note_services(self):
        for name in MOVED_ROUTES:
            self.run.service_history.setdefault(name, []).append(
                (time.monotonic(), self.run.services.get(name, "plain")))

    def draw_configuration(self, rng):
        """Moves routes and limits; a process reads its settings again meanwhile."""
        run = self.run
        run.services = {name: rng.choice(("plain", "plain", "spare")) for name in MOVED_ROUTES
                        if name != "some" or rng.random() < 0.6}
        run.limits = {name: rng.choice(values) for name, values in LIMITS.items()}
        if "process" in run.kinds and rng.random() < 0.3:
            instance = rng.choice(run.instances)
            # A signal before the process handles it ends it.
            if not instance.draining and not instance.killed and time.monotonic() - instance.started_at > 1:
                instance.signal(signal.SIGHUP)

    async def change_configuration(self, rng):
        left_of_series = 0
        moves = "configurations" in self.run.kinds
        # With long limits alone a connection that is closed early can be told from a late machine.
        idle_times = IDLE_TIMEOUTS_S[3 if moves and rng.random() < 0.5 else 0:]
        while True:
            if left_of_series == 0 and rng.random() < (0.6 if moves else 0.2):
                left_of_series = rng.randint(5, 25)
            if left_of_series > 0:
                left_of_series -= 1
                await asyncio.sleep(rng.uniform(0.05, 0.4))
            else:
                await asyncio.sleep(rng.uniform(2, 8) * self.run.calm)
            self.version += rng.randint(1, 4)
            if rng.random() < 0.6:
                self.run.idle_timeout = rng.choice(idle_times)
                self.run.idle_limits.append((time.monotonic(), self.run.idle_timeout))
            if rng.random() < 0.4:
                self.run.route_timeout = rng.choice(ROUTE_TIMEOUTS_S)
            if rng.random() < 0.4:
                self.run.keys.rotate()
            if moves:
                self.draw_configuration(rng)
            if "large" in self.run.kinds and rng.random() < 0.5:
                self.draw_more_routes(rng)
            self.write_configuration()
