#!/usr/bin/env python3
"""Tests that the soak's checks tell a fault of the relay from what a fault of the surroundings explains."""
import asyncio
import collections
import contextlib
import functools
import json
import os
import pathlib
import random
import tempfile
import time
import types
import unittest

import callers
import checks
import cuts
import engines
import faults
import fleet_faults
import odd
import proxy
import store
import weights
import wire


class ChecksTest(unittest.TestCase):
    def setUp(self):
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.run_under_test = types.SimpleNamespace(seed=1, folder=pathlib.Path(folder.name), lag=0.0,
                                                    service_history={}, more={}, dropped={}, kinds=set(),
                                                    cuts=None)
        self.checks = self.run_under_test.checks = checks.Checks(self.run_under_test)
        self.run_under_test.engines = []
        self.instance = types.SimpleNamespace(name="r00", started_at=0.0, was_killed=lambda begin, end: False)

    def request(self, outcome, route="once", status=None, link=None):
        made = checks.Request("x-1", route, self.instance, link, time.monotonic(), 2, 0.7, 2.0)
        made.status = status
        made.plan = ["0", "20"]
        made.end(outcome)
        return made

    def arrive(self, state, count=1):
        for _ in range(count):
            self.checks.arrived(self.arrival("x-1", state))

    def arrival(self, request_id, state="answered", version="v1", other_version_at=0.0):
        engine = types.SimpleNamespace(name="e0", version=version, other_version_at=other_version_at, starts=1,
                                       says_leaving=False, limit=self.limit, limit_since=self.limit_since,
                                       service="plain")
        arrival = engines.Arrival(engine, request_id, {})
        arrival.state = state
        return arrival

    limit, limit_since = None, 0.0

    def send(self, request_id, route="idem"):
        made = checks.Request(request_id, route, self.instance, None, time.monotonic(), 1, 0.0, 2.0)
        made.path = "/idem/x"
        self.checks.under_way[request_id] = made
        return made

    def test_limit_holds_for_all_instances_that_were_told(self):
        self.limit, self.limit_since = 2.0, time.monotonic() - 10
        first = self.arrival("x-0")
        self.checks.told_limit[("r00", first.start)] = time.monotonic() - 5
        for number, expected in ((16, {}), (3, {"LIMIT": 1})):
            for one in range(number):
                self.send(f"x-{one}")
                self.checks.arrived(self.arrival(f"x-{one}"))
            self.assertEqual(dict(self.checks.findings), expected)

    def test_instance_that_was_not_told_the_limit_is_not_judged(self):
        self.limit, self.limit_since = 2.0, time.monotonic() - 10
        for one in range(40):
            self.send(f"x-{one}")
            self.checks.arrived(self.arrival(f"x-{one}"))
        self.assertEqual(dict(self.checks.findings), {})

    def test_deadly_request_reaches_few_engines_after_its_third_end(self):
        now = time.monotonic()
        self.checks.deadly_ends["/idem/x"] = [now - 30, now - 20, now - 10]
        for one in range(4):
            self.assertEqual(dict(self.checks.findings), {})
            self.send(f"x-{one}", "deadly")
            self.checks.arrived(self.arrival(f"x-{one}"))
        self.assertEqual(dict(self.checks.findings), {"DEADLY": 1})

    def test_holders_in_touch_give_no_orders_in_turn(self):
        engine = types.SimpleNamespace(name="e0")
        self.run_under_test.instances = [types.SimpleNamespace(name=name, started_at=0.0) for name in ("r00", "r01")]
        now = time.monotonic()
        for gap, fault, found in ((1.0, None, {"TURNS": 1}), (4.0, None, {}), (1.0, "r01", {})):
            self.checks.findings.clear()
            self.checks.orders.clear()
            if fault:
                self.checks.faults.end(self.checks.faults.begin(fault, "pause"))
            taken = collections.deque([(now - gap, "r00"), (now - gap / 2, "r01")])
            self.checks.judge_turns(engine, taken, {"holder": "r00", "fence": 3})
            self.assertEqual(dict(self.checks.findings), found)

    def test_holder_that_follows_another_one_takes_no_turn(self):
        self.assertIsNone(weights.find_turn([(1.0, "a"), (2.0, "a"), (2.1, "b"), (2.2, "b")], 2.2))
        self.assertIsNotNone(weights.find_turn([(1.0, "a"), (2.1, "b"), (2.2, "c"), (2.3, "a")], 2.3))

    def test_engine_takes_no_lower_fence_and_one_order_at_a_time(self):
        spawned = []
        run = types.SimpleNamespace(checks=self.checks, spawn=lambda work: spawned.append(work.close()))
        self.run_under_test.instances = []
        held = weights.Weights(types.SimpleNamespace(name="e0", starts=1), run)
        answers = [held.take({"holder": "r00", "fence": fence, "version": version, "expected": expected})
                   for fence, version, expected in ((5, 2, 1), (5, 2, 0), (6, 3, 1), (4, 3, 1), (6, 1, 1))]
        self.assertEqual(answers, [409, 202, 409, 412, 200])
        self.assertEqual(len(spawned), 1)

    def test_added_route_is_served_and_a_dropped_one_is_not(self):
        now = time.monotonic()
        self.run_under_test.more, self.run_under_test.dropped = {"a": now - 9, "b": now}, {"c": now - 9, "d": now}
        for added, status, kind in (("a", 404, 1), ("b", 404, 0), ("c", 200, 1), ("d", 200, 0), ("a", 200, 0),
                                    ("a", 404, 1), ("c", 404, 0)):
            self.checks.findings.clear()
            request = self.send("x-1", "more")
            request.added, request.status = added, status
            self.checks.judge_route(request)
            self.assertEqual(sum(self.checks.findings.values()), kind, (added, status))

    def test_moved_route_sends_to_no_service_of_an_older_configuration(self):
        now = time.monotonic()
        self.run_under_test.service_history = {"idem": [(now - 20, "plain"), (now - 9, "spare")], "some": [(now - 20, "plain"), (now, "spare")]}
        for route, kind in (("idem", {"CONFIG": 1}), ("some", {})):
            self.checks.findings.clear()
            self.checks.judge_service(self.send("x-1", route), [self.arrival("x-1")])
            self.assertEqual(dict(self.checks.findings), kind)

    def found(self, request):
        self.checks.findings.clear()
        self.checks.settle(request)
        return dict(self.checks.findings)

    def test_closed_connection_of_an_arrived_request_is_lost(self):
        self.arrive("answered")
        self.assertEqual(self.found(self.request("closed")), {"LOST": 1})

    def test_stop_of_the_instance_does_not_excuse_a_lost_request(self):
        self.checks.faults.end(self.checks.faults.begin("r00", "pause"))
        self.arrive("answered")
        self.assertEqual(self.found(self.request("closed")), {"LOST": 1})

    def test_fault_of_the_engine_is_named_with_a_lost_request(self):
        self.checks.faults.begin("link:e0", "reset")
        self.arrive("running")
        self.assertEqual(self.found(self.request("closed")), {"LOST_UNSOUND": 1})

    def test_unread_request_may_be_closed_and_counts_when_early(self):
        self.assertEqual(self.found(self.request("closed")), {})
        early = self.request("closed")
        early.idle, early.idle_limit = 0.3, 0.7
        self.assertEqual(self.found(early), {})
        self.assertEqual(self.checks.counts["closed_early"], 1)
        self.checks.faults.begin("r00", "pause")
        early.end("closed")
        self.found(early)
        self.assertEqual(self.checks.counts["closed_early"], 1)

    def test_connection_closed_within_its_idle_time_is_a_finding_where_the_machine_cannot_be_late(self):
        early = self.request("closed")
        early.idle, early.idle_limit = 1.0, 1.5
        self.assertEqual(self.found(early), {"UNANSWERED": 1})
        # Idle for longer than four fifths, the first request, and a stop of the instance.
        early.idle = 1.25
        self.assertEqual(self.found(early), {})
        early.idle, early.number = 1.0, 1
        self.assertEqual(self.found(early), {})
        early.number = 2
        self.run_under_test.lag = 0.3
        self.assertEqual(self.found(early), {})
        self.run_under_test.lag = 0.0
        self.checks.faults.begin("r00", "pause")
        early.end("closed")
        self.assertEqual(self.found(early), {})

    def test_silent_engine_is_sound(self):
        self.arrive("answered")
        self.checks.arrivals["x-1"][0].was_silent = True
        self.assertEqual(self.found(self.request("closed")), {"LOST": 1})
        self.arrive("answered")
        self.checks.arrivals["x-1"][0].was_silent = True
        self.assertEqual(self.found(self.request("cut", "gen", 200)), {"CUT": 1})

    def test_502_from_connections_with_repeated_refusals_are_counted(self):
        for after_repeat, count in ((False, 0), (True, 1)):
            self.arrive("running")
            self.checks.arrivals["x-1"][0].after_repeat = after_repeat
            self.assertEqual(self.found(self.request("answered", status=502)), {})
            self.assertEqual(self.checks.counts["502_after_repeat"], count)

    def test_request_for_an_odd_entry_is_a_finding_and_a_probe_is_not(self):
        trap = odd.Trap(("127.0.0.1", 8080), self.run_under_test)
        for target in ("/-/report", "/health"):
            trap.take(f"GET {target} HTTP/1.1", {})
        self.assertEqual(self.checks.findings, {})
        trap.take("GET /idem/x HTTP/1.1", {"x-request-id": "x-1"})
        self.assertEqual(self.checks.findings, {"ODD": 1})

    def test_odd_entries_fit_a_row_and_are_odd(self):
        sound = {"service": "gen", "address": "127.15.0.1:8080", "zone": "zone-a", "version": "v1", "slots": 64,
                 "state": "ready", "cold-remaining-ms": 0, "sequence": 1, "born": 1}
        rows = dict(odd.odd_rows(sound))
        self.assertGreater(len(rows), 50)
        for name, value in rows.items():
            if name.startswith("large"):
                self.assertEqual(value.count(b"]"), value.count(b"["))
                self.assertGreaterEqual(value.count(b"["), odd.LARGE_DEPTH)
                continue
            self.assertLessEqual(len(value), odd.ROW_BYTES, name)
            if name.startswith("deep"):
                self.assertGreater(len(value), odd.ROW_BYTES - 500)
                self.assertEqual(value.count(b"["), value.count(b"]"))
                continue
            try:
                self.assertNotEqual(json.loads(value), sound, name)
            except (ValueError, RecursionError):
                pass  # Unreadable ones are odd, too.
        self.assertIn(odd.draw(random.Random(1), sound), rows.items())

    def engine(self, **more):
        run = types.SimpleNamespace(rng=lambda name: random.Random(1), kinds={"repeats"}, checks=self.checks,
                                    store=store.Store(None), cuts=None)
        made = engines.Engine(0, "plain", ("127.15.0.1", 8080), ("127.15.0.2", 8080), run)
        made.id, made.born, made.server = "i-e0-1", 1, object()
        vars(made).update(more)
        return made

    def test_engine_puts_an_odd_entry_under_its_id_right_at_its_heartbeat(self):
        engine = self.engine()
        engine.register()
        engine.run.store.put_raw("servers", engine.id, "e30=")
        engine.row_is_odd = True
        before = engine.run.store.rows[("servers", engine.id)]
        engine.renew_row()
        after = engine.run.store.rows[("servers", engine.id)]
        self.assertNotEqual(before[0], after[0])
        self.assertGreater(after[1], before[1])
        self.assertFalse(engine.row_is_odd)

    def test_refusal_is_written_again_before_the_next_answer(self):
        engine = self.engine()
        engine.rng = types.SimpleNamespace(random=lambda: 0.0, choice=lambda kinds: "next", choices=random.choices)
        written, repeats = [], []
        writer = types.SimpleNamespace(write=written.append)

        async def play(request_id):
            headers = {"x-request-id": request_id, "x-soak": "0,20", "x-soak-sum": wire.digest("")}
            return await engine.answer(f"GET /idem/{request_id} HTTP/1.1", headers, b"", writer, repeats)
        self.assertTrue(asyncio.run(play("x-1")))
        self.assertEqual(len(written), 1)
        asyncio.run(play("x-2"))
        self.assertEqual(written[1], written[0])
        self.assertIn(b"x-2", written[2])
        self.assertTrue(self.checks.arrivals["x-2"][0].after_repeat)

    def test_request_that_only_the_instance_has_read_is_answered(self):
        self.assertEqual(self.found(self.request("closed")), {})
        self.checks.check_unread(["process=r00 event=ended request=x-2 status=0", "event=routed request=x-1 "])
        self.assertEqual(self.checks.findings, {})
        self.checks.check_unread(["process=r00 event=ended request=x-1 status=503"])
        self.assertEqual(self.checks.findings, {"UNANSWERED": 1})

    def test_kill_and_broken_link_excuse_a_lost_request(self):
        self.arrive("answered")
        self.checks.faults.end(self.checks.faults.begin("link:r00", "reset"))
        self.assertEqual(self.found(self.request("closed", link="link:r00")), {})
        self.arrive("answered")
        self.instance.was_killed = lambda begin, end: True
        self.assertEqual(self.found(self.request("closed")), {})

    def test_broken_stream_of_a_sound_engine_is_a_finding(self):
        self.arrive("answered")
        self.assertEqual(self.found(self.request("cut", "gen", 200)), {"CUT": 1})
        self.checks.faults.begin("e0", "truncate")
        self.arrive("truncated")
        self.assertEqual(self.found(self.request("cut", "gen", 200)), {})

    def test_promise_not_to_have_run_holds(self):
        for status in checks.PROMISES:
            self.arrive("running")
            self.assertEqual(self.found(self.request("answered", status=status)), {"PROMISE": 1})
            self.arrive("not_executed")
            self.assertEqual(self.found(self.request("answered", status=status)), {})
        self.arrive("running")
        self.assertEqual(self.found(self.request("answered", status=502)), {})

    def test_request_runs_as_often_as_its_route_allows(self):
        for route, most in (("once", 1), ("gen", 1), ("idem", 2), ("res", 2)):
            self.arrive("answered", most)
            self.arrive("not_executed", 2)
            self.assertEqual(self.found(self.request("answered", route, 200)), {})
            self.arrive("reset", most + 1)
            self.assertEqual(self.found(self.request("answered", route, 502)), {"TWICE": 1})

    def test_withdrawn_key_is_refused_where_nothing_disturbs(self):
        request = self.request("answered", "idem", 200)
        request.withdrawn_at = time.monotonic() - 6
        self.assertEqual(self.found(request), {"KEY": 1})
        self.checks.faults.end(self.checks.faults.begin("store", "down"))
        request.end("answered")
        self.assertEqual(self.found(request), {})

    def test_silence_is_a_finding_unless_the_instance_was_stopped(self):
        self.assertEqual(self.found(self.request("hung")), {"HUNG": 1})
        self.checks.faults.begin("r00", "pause")
        self.assertEqual(self.found(self.request("hung")), {})

    def test_withdrawn_key_is_drawn_only_after_its_time(self):
        keys = faults.Keys()
        keys.rotate()
        generator = types.SimpleNamespace(random=lambda: 0.0, choice=lambda items: items[0])
        self.assertNotIn(keys.draw(generator), keys.withdrawn)
        keys.withdrawn = {key: at - checks.REVOKE_S - 1 for key, at in keys.withdrawn.items()}
        self.assertIn(keys.draw(generator), keys.withdrawn)

    def judged(self, keys, key, *statuses, gap=1e-6, withdrawn_at=None):
        """Findings about requests with one key, one after the other, at one process."""
        self.checks.findings.clear()
        answers = {}
        for status in statuses:
            request = self.request("answered", "idem", status)
            request.key, request.key_answers = key, answers
            request.withdrawn_at = withdrawn_at
            request.sent_at = time.monotonic() + gap
            self.checks.judge_key(request, keys)
        return dict(self.checks.findings)

    def test_process_neither_forgets_a_key_nor_takes_a_withdrawn_one_again(self):
        keys = faults.Keys()
        self.assertEqual(self.judged(keys, "passing-0", 401, 200, 200), {})
        self.assertEqual(self.judged(keys, "passing-0", 200, 401), {"BACK": 1})
        self.assertEqual(self.judged(keys, "passing-0", 200, 401, gap=-1), {})
        keys.rotate()
        self.assertEqual(self.judged(keys, "passing-0", 200, 401, 401), {})
        self.assertEqual(self.judged(keys, "passing-0", 200, 401, 200), {"BACK": 1})
        self.assertEqual(self.judged(keys, "passing-0", 401, 200, withdrawn_at=1.0), {"BACK": 1})
        # The process may not have seen the key in force by then.
        self.assertEqual(self.judged(keys, "passing-0", 401, 200), {})
        # Neither the store nor the instance's own stop excuses it.
        self.checks.faults.begin("store", "return")
        self.assertEqual(self.judged(keys, "passing-0", 200, 401, 200), {"BACK": 1})

    def test_key_is_in_force_in_time_where_nothing_disturbs(self):
        keys = faults.Keys()
        self.assertEqual(self.judged(keys, "lasting-1", 401), {"KEY": 1})
        self.assertEqual(self.judged(keys, "passing-0", 401), {})
        keys.passing["passing-0"] -= checks.APPLY_S + 1
        self.assertEqual(self.judged(keys, "passing-0", 401), {"CONFIG": 1})
        # A stop of the instance adds its time to the bound, no more.
        stop = self.checks.faults.begin("r00", "pause")
        self.checks.faults.end(stop)
        stop[1:] = [time.monotonic() - 2.0, time.monotonic() - 1.9]
        self.assertEqual(self.judged(keys, "passing-0", 401), {"CONFIG": 1})
        stop[2] += 1.5
        self.assertEqual(self.judged(keys, "passing-0", 401), {})
        self.checks.faults.end(self.checks.faults.begin("store", "return"))
        self.assertEqual(self.judged(keys, "passing-0", 401), {})

    def test_link_that_opens_for_two_reasons_at_once_listens_once(self):
        async def play():
            link = proxy.Link("link:e0", ("127.15.0.1", 8080), ("127.15.0.2", 8080))
            await link.set_target_down(True)
            await asyncio.gather(link.set_target_down(False), link.clear())
            self.assertIsNotNone(link.server)
            link.stop_listening()
        asyncio.run(play())

    def test_first_tries_at_cut_off_instances_are_served_two_thirds_as_often(self):
        for at_cut, others, broken in (((603, 6), (771, 759), True), ((168, 38), (1218, 1201), True),
                                       ((300, 200), (300, 300), False), ((300, 199), (300, 300), True),
                                       ((300, 100), (300, 150), False), ((300, 99), (300, 150), True),
                                       ((20, 0), (480, 480), False), ((21, 0), (479, 479), True),
                                       ((0, 0), (500, 500), False), ((500, 0), (0, 0), False)):
            self.assertEqual(cuts.breaks_recover(at_cut, others), broken, (at_cut, others))

    def start_cut(self, service=None, ago=5.0):
        away = types.SimpleNamespace(name="r01", started_at=0.0)
        made = cuts.Cuts(self.run_under_test)
        self.addCleanup(made.table.socket.close)
        made.all = [cuts.Cut([away], "hang", service)]
        made.all[0].begin -= ago
        return made, away

    def first_try(self, instance, status=503, **more):
        made = self.request("answered", status=status)
        made.instance, made.group, made.number = instance, "directory", 1
        vars(made).update(more)
        return made

    def test_cut_counts_first_tries_at_instances_in_touch(self):
        made, away = self.start_cut()
        for more in ({}, {"group": None}, {"status": 401}, {"status": 404}, {"outcome": "abandoned"},
                     {"number": 2, "idle": 0.9, "idle_limit": 1.0}, {"sent_at": time.monotonic() - 9}):
            made.take(self.first_try(away, **more))
        made.take(self.first_try(away, None, outcome="closed", number=2, idle=0.5, idle_limit=1.0))
        made.take(self.first_try(self.instance, 200))
        self.checks.faults.begin("r00", "pause")
        made.take(self.first_try(self.instance, 503))
        self.assertEqual([made.all[0].total("directory", is_cut) for is_cut in (True, False)], [(2, 0), (1, 1)])

    def test_first_seconds_and_other_services_do_not_count(self):
        made, away = self.start_cut("gen", 2.5)
        made.take(self.first_try(away, 503))
        made.take(self.first_try(away, 503, route="gen"))
        self.assertEqual(list(made.all[0].tries.values()), [[1, 0]])
        self.assertEqual(made.all[0].total("directory", True), (0, 0))

    def test_cut_is_judged_by_callers_and_by_service(self):
        for service, status, found in ((None, 503, {"RECOVER": 1}), ("plain", 503, {"RECOVER_SERVICE": 1}), (None, 200, {})):
            self.checks.findings.clear()
            made, away = self.start_cut(service)
            for group, count in (("directory", 30), ("home", 10)):
                for _ in range(count):
                    made.take(self.first_try(away, status, group=group))
                    made.take(self.first_try(self.instance, 200, group=group))
            made.judge()
            self.assertEqual(dict(self.checks.findings), found)
            lines = (self.run_under_test.folder / "recover.csv").read_text().splitlines()
            served = count if status == 200 else 0
            self.assertEqual(lines[2], f"0,{service or 'all'},hang,home,5,{served},10,10,10")

    def test_cut_holds_resets_and_lets_through_by_process(self):
        async def play(number, how, pid, answer, spares_old=False, healed=False):
            async def echo(reader, writer):
                writer.write(await reader.read(9))
                writer.close()
            network = f"127.15.{1 + os.getpid() % 250}"
            listen, target = (f"{network}.{1 + number}", 8080), (f"{network}.{101 + number}", 8080)
            engine = await asyncio.start_server(echo, *target)
            link = proxy.Link("link:e0", listen, target)
            run = types.SimpleNamespace(checks=self.checks, spawn=asyncio.ensure_future,
                                        engines=[types.SimpleNamespace(link=link, service="plain")],
                                        schedule=types.SimpleNamespace(note=lambda text: None))
            link.cuts = made = cuts.Cuts(run)
            self.addCleanup(made.table.socket.close)
            await link.start()
            instance = types.SimpleNamespace(name="r00", process=types.SimpleNamespace(pid=pid))
            old = await asyncio.open_connection(*link.listen)
            holding = run.spawn(made.hold(cuts.Cut([instance], how, None, spares_old), 0.6))
            await asyncio.sleep(0.02)
            new = await asyncio.open_connection(*link.listen)
            for reader, writer in (old, new):
                writer.write(b"question")
            if healed:
                await holding
            answers = []
            for reader, writer in (old, new):
                with contextlib.suppress(ConnectionError):
                    try:
                        answers.append(await asyncio.wait_for(reader.read(9), 0.2))
                    except asyncio.TimeoutError:
                        answers.append(None)
                    continue
                answers.append("reset")
            self.assertEqual(answers, answer, (how, pid, spares_old, healed))
            await holding
            for _, writer in (old, new):
                writer.close()
            link.stop_listening()
            engine.close()
        own, other, whole = os.getpid(), os.getppid(), b"question"
        plays = [(how, own, [whole, whole], False, True) for how in ("hang", "up", "down")]
        for how, found in (("hang", None), ("up", None), ("down", None), ("reset", "reset"), ("refuse", "reset")):
            plays += [(how, own, [found, found]), (how, own, [whole, found], True), (how, other, [whole, whole])]

        async def play_all():
            await asyncio.gather(*(play(number, *one) for number, one in enumerate(plays)))
        asyncio.run(play_all())

    def test_returned_store_gives_versions_out_again(self):
        async def play():
            kept = store.Store(None)
            kept.put("op", "a", 1)
            await asyncio.sleep(0.05)
            kept.put("op", "a", 2)
            kept.put("op", "b", 1)
            newest = kept.version
            kept.come_back(0.03)
            kept.put("op", "c", 1)
            answer = await kept.follow({"table": "op", "after": str(newest), "wait-ms": "0"})
            rows = kept.read_rows({"table": "op"})[1]
            return answer[0], [(row["key"], row["ver"]) for row in rows["rows"]], kept.era
        self.assertEqual(asyncio.run(play()), (410, [("a", 1), ("c", 2)], 2))

    async def ask_store(self, port, wait_s=0.3):
        """Status of a store's answer to a call on a new connection; nothing while it is silent."""
        reader, writer = await asyncio.open_connection("127.15.0.4", port)
        try:
            writer.write(wire.message("GET /-/rows-get?table=op HTTP/1.1", {"Host": "store"}))
            line, _ = await asyncio.wait_for(wire.read_head(reader), wait_s)
            return line.split(" ")[1]
        except asyncio.TimeoutError:
            return None
        except OSError:
            return "reset"
        finally:
            writer.close()

    def test_store_turns_the_instances_of_some_links_away(self):
        async def play():
            kept = store.Store(None)
            await kept.start("127.15.0.3", 8601)
            links = [proxy.Link(f"link:store:r{number:02d}", ("127.15.0.4", 8700 + number), ("127.15.0.3", 8601))
                     for number in range(2)]
            for link in links:
                await link.start()
            self.run_under_test.store = kept
            schedule = types.SimpleNamespace(run=self.run_under_test, log=self.checks.faults)
            away = fleet_faults.FleetFaults(schedule)
            for how, answer in (("503", "503"), ("reset", "reset"), ("silence", None)):
                task = asyncio.ensure_future(away.turn_away(links[0], how, 0.6))
                await asyncio.sleep(0.05)
                found = [await self.ask_store(8700), await self.ask_store(8701)]
                self.assertEqual(found, [answer, "200"], how)
                now = time.monotonic()
                self.assertTrue(self.checks.faults.during(["link:store:r00"], now, now))
                self.assertFalse(self.checks.faults.during(["link:store:r01"], now, now))
                await task
                self.assertEqual(await self.ask_store(8700), "200", how)
            for link in links:
                link.stop_listening()
                link.reset_all()
            kept.server.close()
        asyncio.run(play())

    def test_silent_store_answers_nothing_and_keeps_connections(self):
        async def play():
            kept = store.Store(None)
            await kept.start("127.15.0.4", 8601)
            for performs in (True, False):
                kept.silence(0.4, performs)
                reader, writer = await asyncio.open_connection("127.15.0.4", 8601)
                call = json.dumps({"expected": [], "set-keys": [{"table": "fleet", "key": f"{performs}", "value": ""}],
                                   "remove": []}).encode()
                writer.write(wire.message("POST /-/rows-tx HTTP/1.1", {}, call))
                await asyncio.sleep(0.2)
                self.assertEqual(("fleet", f"{performs}") in kept.rows, performs)
                self.assertFalse(reader.at_eof())
                self.assertIsNone(await self.ask_store(8601, 0.05))
                line, _ = await asyncio.wait_for(wire.read_head(reader), 1)
                self.assertEqual(line.split(" ")[1], "200")
                self.assertIn(("fleet", f"{performs}"), kept.rows)
                writer.close()
            self.assertEqual(await self.ask_store(8601), "200")
            kept.server.close()
        asyncio.run(play())

    def test_several_instances_start_together_in_the_moment_of_the_return(self):
        did = []
        kept = types.SimpleNamespace(era=2, fault=None, reset_connections=lambda: None,
                                     come_back=lambda lost_s: did.append(("back", time.monotonic())))
        self.run_under_test.store = kept
        made = [types.SimpleNamespace(name=f"r{number:02d}", kill=lambda: did.append(("kill", time.monotonic())),
                                      start=lambda: did.append(("start", time.monotonic()))) for number in range(3)]
        schedule = types.SimpleNamespace(run=self.run_under_test, log=self.checks.faults, note=self.checks.note)
        asyncio.run(fleet_faults.FleetFaults(schedule).kill_and_start(made, (0.1, 2.0), 0.2))
        self.assertEqual([what for what, _ in did], ["kill"] * 3 + ["back"] + ["start"] * 3)
        self.assertLess(did[-1][1] - did[3][1], fleet_faults.START_AFTER_RETURN_S + 0.3)
        self.assertLess(did[-1][1] - did[4][1], 0.1)
        self.assertIsNone(kept.fault)

    def test_kinds_of_the_fleet_run_only_when_they_are_named(self):
        run = types.SimpleNamespace(kinds={"store", "versions"}, rng=random.Random)
        schedule = types.SimpleNamespace(run=run, log=None)
        self.assertEqual(list(fleet_faults.FleetFaults(schedule).loops()), [])
        run.kinds.add("many-starts")
        loops = list(fleet_faults.FleetFaults(schedule).loops())
        self.assertEqual(len(loops), 1)
        loops[0].close()

    def read(self, request, headers, body):
        async def read():
            reader = asyncio.StreamReader()
            reader.feed_data(body)
            reader.feed_eof()
            caller = types.SimpleNamespace(run=self.run_under_test)
            await callers.Caller.read_success(caller, request, headers, reader)
        self.checks.findings.clear()
        asyncio.run(read())
        return dict(self.checks.findings)

    def test_answer_of_another_request_is_mixed(self):
        request = self.request("answered", status=200)
        own = {"x-response-seal": wire.digest("seal", "x-1"), "content-length": "20"}
        body = engines.plain_body("x-1", 20)
        self.assertEqual(self.read(request, own, body), {})
        self.assertEqual(self.read(request, own, engines.plain_body("x-2", 20)), {"MIXED": 1})
        self.assertEqual(self.read(request, {**own, "x-response-seal": "other"}, body), {"MIXED": 1})

    def test_short_answer_needs_an_ordinary_close_of_its_engine(self):
        for framing, end, state, found in (("close", "closed", "truncated", {}), ("close", "reset", "truncated", {"MIXED": 1}),
                                           ("close", "crashed", "crashed", {"MIXED": 1}), ("length", "closed", "truncated", {"MIXED": 1}),
                                           ("close", None, "running", {"MIXED": 1})):
            self.arrive(state)
            self.checks.arrivals["x-1"][0].framing, self.checks.arrivals["x-1"][0].end = framing, end
            short = self.request("answered", "gen", 200)
            short.is_short = True
            self.assertEqual(self.found(short), found, (framing, end))

    def test_pause_excuses_a_crash_that_passed_for_an_end(self):
        self.checks.faults.end(self.checks.faults.begin("r00", "pause"))
        self.arrive("crashed")
        short = self.request("answered", "gen", 200)
        short.is_short = True
        self.assertEqual(self.found(short), {})

    def test_nothing_excuses_an_end_of_a_process_that_passed_for_an_end_where_processes_really_end(self):
        self.run_under_test.kinds = {"exits"}
        self.checks.faults.end(self.checks.faults.begin("r00", "pause"))
        self.arrive("crashed")
        short = self.request("answered", "gen", 200)
        short.is_short = True
        self.assertEqual(self.found(short), {"MIXED": 1})

    def test_last_run_tells_what_ended_an_answer(self):
        for states, found in ((("truncated", "crashed"), {"MIXED": 1}), (("crashed", "truncated"), {})):
            for state in states:
                self.arrive(state)
                last = self.checks.arrivals["x-1"][-1]
                last.framing, last.end = "close", "closed" if state == "truncated" else "crashed"
            short = self.request("answered", "idem", 200)
            short.is_short = True
            self.assertEqual(self.found(short), found)

    def test_streams_alone_count_for_order(self):
        for plan, count in ((["0", "20"], 0), (["0", "3", "0"], 1)):
            self.arrive("crashed")
            short = self.request("answered", "gen", 200)
            short.is_short, short.plan = True, plan
            self.assertEqual(self.found(short), {"MIXED": 1})
            self.assertEqual(self.checks.counts["order"], count)

    def test_answer_that_its_connection_ends_may_be_short_but_not_another(self):
        request = self.request("answered", status=200)
        own = {"x-response-seal": wire.digest("seal", "x-1")}
        body = engines.plain_body("x-1", 20)
        self.assertEqual(self.read(request, own, body), {})
        self.assertFalse(request.is_short)
        self.assertEqual(self.read(request, own, body[:7]), {})
        self.assertTrue(request.is_short)
        request.is_short = False
        for wrong in (body + b"x", b"x" + body[:7]):
            self.assertEqual(self.read(request, own, wrong), {"MIXED": 1})

    def attempt(self, number, events, first=None, status=200, outcome="cut", instance=None):
        """One attempt of a stream, with its events as number and software version, settled at once."""
        made = checks.Request(f"x-{number}", "res", instance or self.instance, None, time.monotonic(), 1, 0.0, 2.0)
        made.plan, made.status = ["0", "9", "0"], status
        if first is not None:
            made.stream, made.resumes, made.first = first.stream, first.stream.first_id, first.stream.last() + 1
        made.seen = b"".join(engines.event(made.id, *one) for one in events)
        made.end(outcome)
        made.stream.add(made)
        made.had_choice = True
        return made

    def test_half_an_event_is_none(self):
        whole = engines.event("x-1", 1, "v12")
        self.assertEqual(engines.events_in(whole + engines.event("x-1", 2, "v1")[:-1]), [(1, "v12")])
        for size in range(len(whole)):
            expected = engines.masked(engines.event("x-1", 1, "v9"))
            self.assertTrue(expected.startswith(engines.masked(whole[:size])), size)

    def test_stream_goes_on_only_at_the_software_version_that_began_it(self):
        first = self.attempt(1, [(1, "v1"), (2, "v1")])
        second = self.attempt(2, [(3, "v1")], first)
        self.checks.judge_versions(second)
        self.assertEqual(self.checks.findings, {})
        self.assertEqual((second.resumes, second.first), ("x-1", 3))
        third = self.attempt(3, [(4, "v2")], second)
        self.assertEqual(third.resumes, "x-1")
        self.checks.judge_versions(third)
        self.assertEqual(self.checks.findings, {"VERSIONS": 1})
        # Each stream counts once; one answer may hold the join, too.
        self.checks.judge_versions(self.attempt(4, [(5, "v1")], third))
        self.checks.judge_versions(self.attempt(5, [(1, "v1"), (2, "v2")]))
        self.assertEqual(self.checks.findings, {"VERSIONS": 2})

    def test_events_of_a_stream_come_once_and_in_order_over_all_tries(self):
        for second, found in (([3, 4], {}), ([2, 3], {"ORDER": 1}), ([4], {"ORDER": 1}), ([4, 3], {"ORDER": 1})):
            self.checks.findings.clear()
            first = self.attempt(1, [(1, "v1"), (2, "v1")])
            self.checks.judge_order(first)
            again = self.attempt(2, [(number, "v1") for number in second], first)
            self.checks.judge_order(again)
            # Each stream counts once.
            self.checks.judge_order(self.attempt(3, [(9, "v1")], again)) if found else None
            self.assertEqual(dict(self.checks.findings), found, second)
        self.assertEqual(self.checks.counts["order"], 3)

    def test_two_streams_may_go_on_at_an_engine_that_has_just_begun_again_under_its_id(self):
        for number in range(1, 5):
            joined = self.attempt(number, [(1, "v1"), (2, "v2")])
            self.checks.arrived(self.arrival(joined.id, version="v2", other_version_at=time.monotonic() - 1))
            self.checks.judge_versions(joined)
            self.assertEqual(self.checks.findings["VERSIONS"], max(0, number - checks.SAME_ID_STREAMS))
            # Each is named, also where it is only counted.
            lines = (self.run_under_test.folder / "schedule.txt").read_text().splitlines()
            self.assertEqual(len(lines), number)
            self.assertIn(f"versions_same_id number={number} request=x-{number} began_as=x-{number}", lines[-1])
        late = self.attempt(9, [(1, "v1"), (2, "v2")])
        self.checks.arrived(self.arrival(late.id, version="v2", other_version_at=time.monotonic() - checks.APPLY_S - 1))
        self.checks.findings.clear()
        self.checks.counts.clear()
        self.checks.judge_versions(late)
        self.assertEqual(self.checks.findings, {"VERSIONS": 1})

    def test_id_of_the_first_event_names_a_stream(self):
        empty = self.attempt(1, [])
        self.assertIsNone(empty.stream.first_id)
        self.assertEqual(self.attempt(2, [(1, "v1")], empty).stream.first_id, "x-2")

    def counted(self, new, new_began, taken_up, taken_up_began):
        self.checks.findings.clear()
        self.checks.counts.clear()
        for number in range(new):
            self.checks.count_beginning(self.attempt(number, [(1, "v1")] if number < new_began else []))
        first = self.attempt(0, [(1, "v1")])
        for number in range(taken_up):
            first.stream = checks.Stream()
            first.stream.add(first)
            self.checks.count_beginning(self.attempt(number, [(2, "v1")] if number < taken_up_began else [], first))
        self.checks.judge_shares()
        return dict(self.checks.findings)

    def test_streams_that_are_taken_up_go_on_at_least_half_as_often_as_new_ones_begin(self):
        self.assertEqual(self.counted(20, 20, 12, 6), {})
        self.assertEqual(self.counted(20, 20, 12, 5), {"RESUMED": 1})
        self.assertEqual(self.counted(20, 10, 12, 3), {})
        self.assertEqual(self.counted(20, 10, 12, 2), {"RESUMED": 1})
        self.assertEqual(self.counted(20, 20, 11, 0), {})

    def test_share_counts_instances_in_touch_and_a_choice_of_engines(self):
        first = self.attempt(1, [(1, "v1")])
        alone = self.attempt(2, [], first)
        alone.had_choice = False
        refused = self.attempt(3, [], first, status=401, outcome="answered")
        started = types.SimpleNamespace(name="r01", started_at=time.monotonic() - 1)
        for one in (alone, refused, self.attempt(4, [], first, instance=started)):
            self.checks.count_beginning(one)
        for target in ("r00", "store", "link:store:r00"):
            entry = self.checks.faults.begin(target, "down")
            self.checks.count_beginning(self.attempt(5, [], first))
            del self.checks.faults.by_target[target][:]
        self.assertEqual(self.checks.counts["streams_taken_up"], 0)
        self.checks.count_beginning(self.attempt(6, [], first))
        self.assertEqual(self.checks.counts["streams_taken_up"], 1)

    def test_engines_that_serve_a_version_are_sound_for_some_time(self):
        def engine(name, version="v1", leaving=False, fault=None, server=True):
            return types.SimpleNamespace(name=name, service="gen", version=version, leaving=leaving, fault=fault,
                                         server=server or None)
        self.run_under_test.engines = [engine("e0"), engine("e1"), engine("e2", "v2"), engine("e3", leaving=True),
                                       engine("e4", fault="stall"), engine("e5", server=False)]
        request = self.attempt(1, [(1, "v1")])
        self.assertEqual(self.checks.serving("v1", request), 2)
        self.checks.faults.end(self.checks.faults.begin("e1", "release"))
        request.end("cut")
        self.assertEqual(self.checks.serving("v1", request), 1)

    def test_stream_that_broke_off_is_taken_up_with_its_own_body_and_another_id(self):
        run = types.SimpleNamespace(seed=1, keys=faults.Keys(), rng=lambda name: random.Random(1))
        home = types.SimpleNamespace(name="r01", key_answers={})
        caller = callers.Caller(1, self.instance, run)
        first = self.attempt(1, [(1, "v1"), (2, "v1")])
        first.body, first.path, first.key, first.deadline_at = b"qq", "/res/x-1", "lasting-1", time.monotonic() + 2
        first.headers = {"X-Request-Id": "x-1", "X-Request-Deadline-Ms": 3000, "Authorization": "Token lasting-1"}
        request, data = caller.make_again(first, home, None)
        self.assertEqual((request.resumes, request.first, request.instance), ("x-1", 3, home))
        self.assertTrue(data.startswith(b"POST /res/x-1 HTTP/1.1\r\n"))
        for line in (f"X-Request-Id: {request.id}", "Last-Event-Id: 2", "Resumes: x-1",
                     "Authorization: Token lasting-1"):
            self.assertIn(f"\r\n{line}\r\n".encode(), data)
        self.assertNotEqual(request.id, "x-1")
        self.assertLessEqual(int(request.headers["X-Request-Deadline-Ms"]), 2000)

    def test_caller_gives_a_stream_up_on_a_pause_and_keeps_what_came(self):
        request = self.request("cut", "res", 200)
        request.plan, request.patience, request.id = ["0", "3", "0"], 0.01, "x-1"
        head = {"X-Response-Seal": wire.digest("seal", "x-1"), "X-Request-Id": "x-1", "Transfer-Encoding": "chunked"}

        async def play():
            reader = asyncio.StreamReader()
            reader.feed_data(wire.head("HTTP/1.1 200 OK", head) + wire.chunk(engines.event("x-1", 1)))
            caller = callers.Caller(1, self.instance, types.SimpleNamespace(checks=self.checks, lag=0.0, seed=1,
                                                                            rng=lambda name: random.Random(1)))
            return await caller.exchange(request, b"", reader, types.SimpleNamespace(write=lambda data: None))
        self.assertFalse(asyncio.run(play()))
        self.assertEqual((request.outcome, engines.events_in(request.seen)), ("gave_up", [(1, "v1")]))

    def test_some_callers_name_their_whole_deadline_with_each_try(self):
        first, named = self.attempt(1, [(1, "v1")]), []
        first.headers = {"X-Request-Id": "x-1", "X-Request-Deadline-Ms": 3000}
        first.body, first.path, first.key, first.deadline_at = b"", "/res/x-1", "lasting-1", time.monotonic() + 1
        run = types.SimpleNamespace(seed=1, keys=faults.Keys(), rng=lambda name: random.Random(1), closing=False,
                                    link_share=0, kinds={"fresh-deadlines"}, checks=self.checks)
        caller = callers.Caller(1, self.instance, run)
        caller.rng = types.SimpleNamespace(random=lambda: 0.1, choice=lambda some: some[0], uniform=lambda low, high: 0.01,
                                           getrandbits=lambda bits: 0)

        async def exchange(request, data, reader, writer):
            named.append(int(request.headers["X-Request-Deadline-Ms"]))
            request.end("cut")

        async def play():
            server = await asyncio.start_server(lambda reader, writer: writer.close(), "127.15.0.3", 0)
            run.instances = [types.SimpleNamespace(front=server.sockets[0].getsockname(), name="r01", key_answers={}, link=None)]
            caller.exchange, caller.finish = exchange, lambda request: None
            await caller.take_up(first)
            server.close()
        asyncio.run(play())
        self.assertEqual(len(named), callers.TAKE_UPS)
        self.assertGreater(min(named), 2000)

    def test_engine_ends_its_connections_before_it_stops_to_listen(self):
        async def play():
            engine = self.engine(link=types.SimpleNamespace(set_target_down=lambda down: asyncio.sleep(0)))
            engine.listen = ("127.15.0.4", 8080)
            engine.server = await asyncio.start_server(engine.serve, *engine.listen)
            old, _ = await asyncio.open_connection(*engine.listen)
            await asyncio.sleep(0.01)
            ending = asyncio.ensure_future(engine.crash(False, 0.05))
            self.assertEqual(await old.read(), b"")
            late, writer = await asyncio.open_connection(*engine.listen)
            writer.write(b"GET /health HTTP/1.1\r\n\r\n")
            with self.assertRaises(ConnectionResetError):
                await late.read()
            await ending
            with self.assertRaises(ConnectionRefusedError):
                await asyncio.open_connection(*engine.listen)
        asyncio.run(play())

    def test_engine_that_writes_a_few_bytes_at_a_time_writes_them_all_until_its_end(self):
        engine, arrival, written = self.engine(drips=True), self.arrival("x-1"), []
        engine.rng = types.SimpleNamespace(random=lambda: 0.0, choice=lambda sizes: sizes[0])
        writer = types.SimpleNamespace(write=written.append, drain=lambda: asyncio.sleep(0))
        arrival.framing, data = "chunks", engines.event("x-1", 1)
        asyncio.run(engine.send(arrival, data, writer))
        self.assertEqual((b"".join(written), max(map(len, written))), (wire.chunk(data), 1))
        arrival.state = "crashed"
        asyncio.run(engine.send(arrival, data, writer))
        self.assertEqual(len(written), len(wire.chunk(data)) + 1)

    def sent(self, number):
        """A request that an instance sends to an engine, with its arrival there."""
        request = self.request("answered", "idem", 200)
        request.id = f"x-{number}"
        self.checks.under_way[request.id] = request
        arrival = self.arrival(request.id)
        arrival.answered_at = time.monotonic()
        return request, arrival

    def test_engine_that_leaves_gets_no_request_after_its_time_from_an_instance_that_knows(self):
        request, arrival = self.sent(1)
        arrival.said_leaving = True
        self.checks.arrived(arrival)
        self.checks.passed_on(request)
        key = ("r00", arrival.start)
        self.assertIn(key, self.checks.known_leaving)
        self.checks.arrived(self.sent(2)[1])
        self.assertEqual(self.checks.findings, {})
        self.checks.known_leaving[key] -= checks.DRAIN_S + 0.1
        self.checks.arrived(self.sent(3)[1])
        self.assertEqual(self.checks.findings, {"LEAVING": 1})
        # Another start of the engine, and a process that started since, know nothing of it.
        other = self.sent(4)[1]
        other.start = ("e0", 2)
        self.checks.arrived(other)
        self.instance.started_at = time.monotonic() - 0.1
        self.checks.arrived(self.sent(5)[1])
        self.assertEqual(self.checks.findings, {"LEAVING": 1})

    def waited(self, *ages, seconds=2, prepare=lambda: None):
        """Findings about requests that arrive that long after their engine asked the instance to wait."""
        self.checks.findings.clear()
        self.checks.waits.clear()
        request, asking = self.sent(0)
        self.checks.asked_to_wait(asking, seconds)
        prepare()
        for number, age in enumerate(ages, 1):
            arrival = self.sent(number)[1]
            arrival.at += age
            self.checks.arrived(arrival)
        return dict(self.checks.findings)

    def test_engine_that_asked_to_wait_gets_at_most_two_requests_meanwhile(self):
        self.assertEqual(self.waited(0.6, 1.0), {})
        self.assertEqual(self.waited(0.6, 1.0, 1.9), {"WAIT": 1})
        self.assertEqual(self.waited(0.1, 0.2, 0.3, 0.4, 0.6, 1.0, 2.1, 2.2), {})
        self.assertEqual(self.waited(0.6, 1.0, 1.9, seconds=1), {})

    def test_stop_cut_and_restart_excuse_requests_while_an_engine_waits(self):
        for target in ("r00", "link:e0"):
            begin = functools.partial(self.checks.faults.begin, target, "pause")
            self.assertEqual(self.waited(0.6, 1.0, 1.9, prepare=begin), {})
            self.checks.faults.by_target.clear()

        def restart():
            self.instance.started_at = time.monotonic() + 0.1
        self.assertEqual(self.waited(0.6, 1.0, 1.9, prepare=restart), {})

    def test_events_before_a_break_are_kept(self):
        request = self.request("cut", "res", 200)
        request.plan = ["0", "3", "0"]
        own = {"x-response-seal": wire.digest("seal", "x-1"), "transfer-encoding": "chunked"}
        with self.assertRaises(asyncio.IncompleteReadError):
            self.read(request, own, wire.chunk(engines.event("x-1", 1)) + b"22\r\nid")
        request.stream.add(request)
        self.assertEqual(request.stream.events, [(1, "v1")])
        own = {"x-response-seal": wire.digest("seal", "x-1"), "content-length": "500"}
        with self.assertRaises(asyncio.IncompleteReadError):
            self.read(request, own, engines.event("x-1", 1) + engines.event("x-1", 2)[:5])
        self.assertEqual(engines.events_in(request.seen), [(1, "v1")])

    def test_finding_about_a_running_request_can_be_written(self):
        running = checks.Request("x-1", "once", self.instance, None, time.monotonic(), 2, 0.7, 2.0)
        self.assertIn("ended=no", str(running))

    def test_stream_is_complete_and_in_order(self):
        request = self.request("answered", "gen", 200)
        request.plan = ["0", "3", "0"]
        own = {"x-response-seal": wire.digest("seal", "x-1"), "transfer-encoding": "chunked"}

        def body(*numbers):
            return b"".join(wire.chunk(engines.event("x-1", number)) for number in numbers) + wire.chunk(b"")
        self.assertEqual(self.read(request, own, body(1, 2, 3)), {})
        for numbers in ((1, 2), (1, 3, 2), (1, 2, 2, 3), (1, 2, 3, 4), (2, 3), ()):
            self.assertEqual(self.read(request, own, body(*numbers)), {"MIXED": 1}, numbers)


if __name__ == "__main__":
    unittest.main(buffer=True)
