"""What callers and engines saw, compared with what the relay promises; findings with their traces."""
import asyncio
import collections
import re
import subprocess
import time

import engines
import weights

# Faults this long before a request's end may explain it, in seconds.
SOUND_S = 3.0
# Answers that promise that the request has not run and never will.
PROMISES = (408, 421, 429, 503)
# A withdrawn key works no longer than this, in seconds.
REVOKE_S = 5.0
# A configuration is in force within this time of its writing and of the last fault, in seconds: the time after
# which an instance counts as in touch again, which exceeds that for a new configuration.
APPLY_S = 3.0
# An instance that was stopped and continued serves again within this time, in seconds.
RETURN_S = 5.0
MEMORY_LIMIT_MB = 110
# Time after a request's end at which all of its arrivals at engines are known, in seconds.
SETTLE_S = 4.0
# Part of the idle time-out for which a connection is certain to serve another request.
USABLE_PART_OF_IDLE = 0.8
# With at least this idle limit, in seconds, a request sent in its usable part is read in time on a busy machine, too.
SURE_LIMIT_S = 1.0
# Streams of a run that may go on at an engine that has just begun again under its id with another version.
SAME_ID_STREAMS = 2
# Streams that must have been taken up for a judgement of their share.
LEAST_TAKE_UPS = 12
# An engine that leaves may get requests for this long after an instance learned of it, in seconds.
DRAIN_S = 2.5
# Requests that were on their way when an engine asked an instance to wait come within this time, in seconds.
WAIT_SLACK_S = 0.5
MOST_IN_WAIT = 2
# What the instances that an engine has told a limit may send it in a window: so many times the limit, and some more.
LIMIT_WINDOW_S, LIMIT_FACTOR, LIMIT_MORE = 4.0, 1.5, 5
# A limit holds from so long after it was first named, in seconds, for instances that were told so long ago.
LIMIT_FROM_S, LIMIT_TOLD_S = 3.0, 0.5
# A request that has ended so many engines reaches at most so many more, from some time after the last of these.
DEADLY_ENDS, DEADLY_MORE = 3, 3
# With these kinds the end of an engine's process never passes for the end of an answer, whatever else is wrong.
ENDS_OF_PROCESSES = {"exits", "late-listeners", "address-reuse"}
LOG_FAULTS = ("event=event_failed", "event=task_failed", "event=invariant_violated")
TRACES_PER_KIND = 10


class FaultLog:
    """Intervals of all faults, by target: an instance, an engine, a link or the store."""

    def __init__(self):
        self.by_target = collections.defaultdict(list)

    def begin(self, target, kind):
        entry = [kind, time.monotonic(), None]
        self.by_target[target].append(entry)
        return entry

    def end(self, entry):
        entry[2] = time.monotonic()

    def during(self, targets, begin, end):
        """Faults on any of the targets between two moments."""
        found = []
        for target in targets:
            for kind, first, last in reversed(self.by_target.get(target, ())):
                if first <= end and (last is None or last >= begin):
                    found.append(f"{target}:{kind}@{first:.3f}-{'' if last is None else f'{last:.3f}'}")
                if len(found) > 40 or first < begin - 60:
                    break
        return found


    def last_end(self, targets):
        """End of the last fault on any of the targets; now while one lasts."""
        return max((time.monotonic() if entry[2] is None else entry[2]
                    for target in targets for entry in self.by_target.get(target, ())), default=0.0)

    def seconds(self, target, begin, end):
        """Time between two moments for which there were faults on the target."""
        total = 0.0
        for _, first, last in reversed(self.by_target.get(target, ())):
            total += max(0.0, min(end, end if last is None else last) - max(begin, first))
            if first < begin - 60:
                break
        return total


class Stream:
    """What a caller has of one stream, over all of its tries."""

    def __init__(self):
        # Id of the attempt that brought its first event, and when that was sent.
        self.first_id, self.begun_at = None, None
        self.events = []
        self.is_judged = self.is_order_judged = False

    def add(self, request):
        request.events = engines.events_in(request.seen)
        if request.events and self.first_id is None:
            self.first_id, self.begun_at = request.id, request.sent_at
        self.events += request.events

    def last(self):
        return self.events[-1][0] if self.events else 0

    def versions(self):
        return sorted({version for _, version in self.events})


class Request:
    """One attempt of a caller and how it ended."""

    def __init__(self, request_id, route, instance, link, opened_at, number, idle, timeout):
        self.id, self.route, self.instance, self.link = request_id, route, instance, link
        self.opened_at, self.number, self.idle, self.timeout = opened_at, number, idle, timeout
        self.sent_at = time.monotonic()
        self.ended_at = None
        self.status = None
        self.outcome = "running"
        self.key = None
        self.withdrawn_at = None
        self.key_answers = {}
        self.idle_limit = 0.0
        # Of a stream: what came in this attempt, its first event and the attempt that began what it takes up.
        self.stream, self.seen, self.events, self.first, self.resumes = Stream(), b"", [], 1, None
        self.had_choice = False
        # Pause of the answer's body after which the caller gives up, in seconds.
        self.patience = None
        # The route among those that configurations add and drop.
        self.path, self.added = "", None
        # Which callers a first try is counted with; None for later tries.
        self.group = None
        # An ordinary close ended the answer before its last byte; only an engine's close allows that.
        self.is_short = False

    def end(self, outcome):
        self.outcome, self.ended_at = outcome, time.monotonic()

    def __str__(self):
        return (f"{self.id} {self.route} at {self.instance.name} via {self.link or 'direct'}: {self.outcome} "
                f"{self.status or ''} age={self.sent_at - self.opened_at:.3f}s idle={self.idle:.3f}s "
                f"request={self.number} of its connection sent={self.sent_at:.3f} "
                f"ended={'no' if self.ended_at is None else f'{self.ended_at:.3f}'}")


class Checks:
    """Collects arrivals and ends, counts them and reports what breaks a promise."""

    def __init__(self, run):
        self.run = run
        self.faults = FaultLog()
        self.arrivals = collections.defaultdict(list)
        self.counts = collections.Counter(order=0)
        self.findings = collections.Counter()
        self.watched = set()
        self.unread = {}
        # Requests by id, until they are settled; they tell engines which instance sends.
        self.under_way = {}
        # By instance and start of an engine: since when it knows that the engine leaves, and the waits asked of it.
        self.known_leaving, self.waits = {}, {}
        # By start of an engine: when it told an instance a limit, and what arrived since from which.
        self.told_limit, self.limited = {}, collections.defaultdict(collections.deque)
        # By path of a deadly request: the times at which it ended an engine, and its late arrivals.
        self.deadly_ends, self.deadly_late = collections.defaultdict(list), collections.Counter()
        # Time and holder of the last orders to all engines together.
        self.orders = collections.deque(maxlen=400)
        # By instance and start: routes that the process has served.
        self.served_routes = {}

    def finding(self, kind, text, request_id=None):
        self.findings[kind] += 1
        if self.findings[kind] > TRACES_PER_KIND:
            return
        lines = [f"FINDING {kind} seed={self.run.seed} logs={self.run.folder} t={time.monotonic():.3f}",
                 f"  {text}"]
        if request_id:
            lines += [f"  {line}" for line in self.trace(request_id)]
        with open(self.run.folder / "findings.txt", "a") as out:
            out.write("\n".join(lines) + "\n")
        print("\n".join(lines), flush=True)

    def note(self, text):
        """Keeps what the schedule did, and what is only counted, beside the logs."""
        with open(self.run.folder / "schedule.txt", "a") as out:
            out.write(f"{time.monotonic():.3f} {text}\n")

    def order_finding(self, kind, text, request):
        """A finding about an answer's events or end; those of streams count together as `order`."""
        self.counts["order"] += len(request.plan) == 3
        self.finding(kind, text, request.id)

    def trace(self, request_id):
        logs = [str(path) for path in self.run.folder.glob("*.log")]
        found = subprocess.run(["grep", "-h", request_id, *logs], capture_output=True, text=True, check=False)
        return sorted(found.stdout.splitlines())[:40] + [f"engine {one}" for one in self.arrivals[request_id]]

    def arrived(self, arrival):
        self.arrivals[arrival.id].append(arrival)
        self.counts["arrivals"] += 1
        request = self.under_way.get(arrival.id)
        if request is not None:
            self.judge_leaving(request, arrival)
            self.judge_wait(request, arrival)
            self.judge_limit(request, arrival)
            self.judge_deadly(request, arrival)

    def forget(self, request_id):
        self.under_way.pop(request_id, None)
        self.arrivals.pop(request_id, None)

    def passed_on(self, request):
        """An answer has come through an instance: if its engine said that it leaves, the instance knows."""
        for one in self.arrivals.get(request.id, ())[-1:]:
            if one.said_leaving and one.answered_at is not None and request.status == 200:
                self.known_leaving.setdefault((request.instance.name, one.start), time.monotonic())
            if one.limit is not None and one.answered_at is not None and request.status == 200:
                self.told_limit.setdefault((request.instance.name, one.start), time.monotonic())

    def judge_leaving(self, request, arrival):
        known = self.known_leaving.get((request.instance.name, arrival.start))
        if known is None or request.instance.started_at > known or request.sent_at < known + DRAIN_S:
            return
        self.finding("LEAVING", f"{request}: {arrival} had said through it at {known:.3f} that it leaves", request.id)

    def judge_limit(self, request, arrival):
        """What an engine gets in a window from the instances that it has told its limit."""
        seen, limit, named = self.limited[arrival.start], arrival.limit, arrival.limit_since
        if limit is None:
            seen.clear()
            for key in [key for key in self.told_limit if key[1] == arrival.start]:
                del self.told_limit[key]
            return
        told = self.told_limit.get((request.instance.name, arrival.start))
        since = max(request.instance.started_at, arrival.at - LIMIT_WINDOW_S - LIMIT_FROM_S)
        if told is None or told > arrival.at - LIMIT_TOLD_S or request.instance.started_at > named:
            return
        if self.faults.during([request.instance.name, f"link:{arrival.engine}"], since, arrival.at):
            return
        seen.append(arrival.at)
        while seen[0] < max(arrival.at - LIMIT_WINDOW_S, named + LIMIT_FROM_S):
            seen.popleft()
            if not seen:
                return
        self.counts["limited_arrivals"] += 1
        if len(seen) > limit * LIMIT_WINDOW_S * LIMIT_FACTOR + LIMIT_MORE:
            self.finding("LIMIT", f"{request}: number {len(seen)} in {LIMIT_WINDOW_S} s at {arrival}, which named "
                                  f"{limit} a second at {named:.3f}", request.id)
            seen.clear()

    def judge_turns(self, engine, taken, order):
        """Holders in touch give one engine no orders in turn within a lease."""
        now = time.monotonic()
        self.counts["orders"] += 1
        for to, orders in (("one engine", taken), ("any engine", self.orders)):
            orders.append((now, order["holder"]))
            turn = weights.find_turn(orders, now)
            if turn is not None and self.were_in_touch({holder for at, holder in orders if at >= turn[0]}, turn[0]):
                self.counts[f"turns_at_{to.replace(' ', '_')}"] += 1
                if orders is taken:
                    self.finding("TURNS", f"{engine.name}, fence {order['fence']}: "
                                          f"{[(round(at, 3), holder) for at, holder in orders if at >= turn[0]]}")

    def were_in_touch(self, names, begin):
        """Whether nothing was wrong with instances, nor between them and the store, since some time before."""
        begin -= weights.STABLE_S
        started = [instance.started_at for instance in self.run.instances if instance.name in names]
        targets = ["store", *names, *(f"link:store:{name}" for name in names)]
        return max(started) <= begin and not self.faults.during(targets, begin, time.monotonic())

    def crashed_by(self, arrival):
        request = self.under_way.get(arrival.id)
        if request is not None:
            self.deadly_ends[request.path].append(time.monotonic())

    def judge_deadly(self, request, arrival):
        ends = self.deadly_ends[request.path]
        if request.route != "deadly" or len(ends) < DEADLY_ENDS:
            return
        third = ends[DEADLY_ENDS - 1]
        disturbed = self.faults.during([request.instance.name], arrival.at - SOUND_S, arrival.at)
        if arrival.at < third + SOUND_S or request.instance.started_at > arrival.at - SOUND_S or disturbed:
            return
        self.deadly_late[request.path] += 1
        self.counts["deadly_late"] += 1
        if self.deadly_late[request.path] == DEADLY_MORE + 1:
            self.finding("DEADLY", f"{request}: reaches {arrival} after it ended {len(ends)} engines, the third at "
                                   f"{third:.3f}", request.id)

    def judge_route(self, request):
        """Routes are added and dropped once; an added one is served, a dropped one is not."""
        added, dropped = self.run.more.get(request.added), self.run.dropped.get(request.added)
        served = self.served_routes.setdefault((request.instance.name, request.instance.started_at), {})
        if request.status == 404 and dropped is None:
            before = served.get(request.added)
            if before is not None and request.sent_at > before:
                self.finding("BACK", f"{request}: {request.added} was served at {before:.3f}", request.id)
            elif self.undisturbed_seconds(request, added) >= APPLY_S:
                self.finding("CONFIG", f"{request}: 404 for {request.added}, written at {added:.3f}", request.id)
            else:
                self.counts["route_not_in_force_yet"] += 1
        if request.status == 200:
            served.setdefault(request.added, time.monotonic())
            self.counts["more_served"] += 1
            if dropped is not None and self.undisturbed_seconds(request, dropped) >= APPLY_S:
                self.finding("CONFIG", f"{request}: {request.added} was dropped at {dropped:.3f}", request.id)

    def judge_service(self, request, arrivals):
        """A route that moved sends to no service that only an older configuration names."""
        history = self.run.service_history.get(request.route, ())
        old = [at for at, _ in history if at <= request.sent_at - APPLY_S]
        if not old:
            return
        since = max(old)
        allowed = {service for at, service in history if at >= since}
        for one in arrivals:
            if one.service not in allowed and self.undisturbed_seconds(request, since) >= APPLY_S:
                self.finding("CONFIG", f"{request}: sent to {one}, of {one.service}; allowed since "
                                       f"{since:.3f}: {sorted(allowed)}", request.id)

    def asked_to_wait(self, arrival, seconds):
        request = self.under_way.get(arrival.id)
        if request is not None:
            now = time.monotonic()
            # An answer with a shorter time does not take back what another asked for.
            _, until, _ = self.waits.get((request.instance.name, arrival.start), (0.0, 0.0, 0))
            if now > until:
                self.counts["waits_asked"] += 1
                self.waits[(request.instance.name, arrival.start)] = (now, now + seconds, 0)

    def judge_wait(self, request, arrival):
        key = (request.instance.name, arrival.start)
        asked, until, count = self.waits.get(key, (0.0, 0.0, 0))
        if not asked + WAIT_SLACK_S <= arrival.at <= until or request.instance.started_at > asked:
            return
        if self.faults.during([request.instance.name, f"link:{arrival.engine}"], asked - WAIT_SLACK_S, arrival.at):
            return
        self.waits[key] = (asked, until, count + 1)
        if count + 1 == MOST_IN_WAIT + 1:
            self.finding("WAIT", f"{request}: the third at {arrival}, which asked it at {asked:.3f} to wait until "
                                 f"{until:.3f}", request.id)

    def ended(self, request):
        """Judges a request once everything about it is known."""
        self.counts["requests"] += 1
        self.judge_order(request)
        self.judge_versions(request)
        if self.run.cuts is not None:
            self.run.cuts.take(request)
        # An instance has a choice where two engines of the version that began the stream serve.
        first = request.stream.events[0][1] if request.stream.events else None
        request.had_choice = request.resumes is not None and self.serving(first, request) > 1
        self.counts[f"status_{request.status}" if request.outcome == "answered" else request.outcome] += 1
        asyncio.get_running_loop().call_later(SETTLE_S, self.settle, request)

    def settle(self, request):
        arrivals = self.arrivals.get(request.id, [])
        executed = [one for one in arrivals if one.state != "not_executed"]
        self.judge_service(request, arrivals)
        if request.outcome == "closed":
            self.settle_closed(request, arrivals)
        elif request.outcome == "cut":
            self.settle_cut(request, executed)
        elif request.outcome == "hung":
            self.settle_hung(request)
        if request.route == "res":
            self.count_beginning(request)
        if request.is_short:
            self.settle_short(request, executed)
        if request.status in PROMISES and executed:
            self.finding("PROMISE", f"{request}: promised not to have run", request.id)
        if request.status == 502:
            self.counts["502_after_repeat"] += any(one.after_repeat for one in arrivals)
            self.counts["502_silent"] += any(one.was_silent for one in arrivals)
        most = 2 if request.route in ("idem", "res", "open", "some", "more") else 1
        if len(executed) > most:
            self.finding("TWICE", f"{request}: ran {len(executed)} times", request.id)
        if request.withdrawn_at is not None and request.status == 200:
            self.settle_withdrawn(request)
        self.arrivals.pop(request.id, None)
        self.under_way.pop(request.id, None)

    def judge_order(self, request):
        """Over all tries of a stream each event comes once, in order, and none is missing."""
        stream, numbers = request.stream, [number for number, _ in request.stream.events]
        if numbers != list(range(1, len(numbers) + 1)) and not stream.is_order_judged:
            stream.is_order_judged = True
            self.order_finding("ORDER", f"{request}: events {numbers}, began as {stream.first_id}", request)

    def judge_versions(self, request):
        """A stream goes on only at the software version that began it."""
        versions = request.stream.versions()
        if len(versions) < 2 or request.stream.is_judged:
            return
        request.stream.is_judged = True
        # Nothing tells at once that an engine has begun again under its id with another version.
        if any(one.since_other_version < APPLY_S for one in self.arrivals[request.id]):
            self.counts["versions_same_id"] += 1
            self.note(f"versions_same_id number={self.counts['versions_same_id']} request={request.id} "
                      f"began_as={request.stream.first_id} instance={request.instance.name} "
                      f"versions={','.join(versions)} engines={[str(one) for one in self.arrivals[request.id]]}")
            if self.counts["versions_same_id"] <= SAME_ID_STREAMS:
                return
        where = "over its tries" if request.resumes else "in one answer"
        self.order_finding("VERSIONS", f"{request}: events of {versions} {where}, began as "
                                       f"{request.stream.first_id}, sent at {request.stream.begun_at:.3f}; "
                                       f"{request.stream.events}", request)

    def serving(self, version, request):
        """Engines of a software version that have been sound since some time before the request."""
        ready = [one.name for one in self.run.engines if one.service == "gen" and one.version == version
                 and one.server is not None and not one.leaving and one.fault is None]
        begin = request.sent_at - SOUND_S
        return sum(not self.faults.during([name, f"link:{name}"], begin, request.ended_at) for name in ready)

    def count_beginning(self, request):
        """Counts new streams that begin and taken up ones that go on, at instances in touch."""
        name, begin = request.instance.name, request.sent_at - SOUND_S
        targets = [name, f"cut:{name}", f"link:store:{name}", "store", *([request.link] if request.link else [])]
        if request.instance.started_at > begin or self.faults.during(targets, begin, request.ended_at):
            return
        if request.outcome == "abandoned" or request.status == 401 or request.resumes and not request.had_choice:
            return
        if request.outcome == "closed" and request.number > 1 and not self.arrivals.get(request.id):
            return  # Its connection was idle for too long.
        kind = "taken_up" if request.resumes else "new"
        self.counts[f"streams_{kind}"] += 1
        self.counts[f"streams_{kind}_began"] += bool(request.events)

    def share(self, kind):
        return self.counts[f"streams_{kind}_began"] / max(1, self.counts[f"streams_{kind}"])

    def judge_shares(self):
        """Of streams that are taken up where that can go well, at least half as many go on as new ones begin."""
        if self.counts["streams_taken_up"] >= LEAST_TAKE_UPS and self.share("taken_up") < self.share("new") / 2:
            self.finding("RESUMED", f"{self.share('taken_up'):.2f} of {self.counts['streams_taken_up']} streams went on, "
                                    f"{self.share('new'):.2f} of {self.counts['streams_new']} new ones began")

    def break_causes(self, request, arrivals):
        """What explains a broken connection other than a fault of the instance."""
        causes = []
        if request.instance.was_killed(request.sent_at - 0.1, request.ended_at + 0.1):
            causes.append("kill")
        begin = request.sent_at - SOUND_S
        if request.link:
            causes += self.faults.during([request.link], begin, request.ended_at)
        cuts = self.faults.during([f"cut:{request.instance.name}"], begin, request.ended_at)
        return causes, cuts + self.engine_faults(arrivals, begin, request.ended_at)

    def engine_faults(self, arrivals, begin, end):
        targets = [target for one in arrivals for target in (one.engine, f"link:{one.engine}")]
        return self.faults.during(targets, begin, end)

    def settle_closed(self, request, arrivals):
        if not arrivals:
            self.counts["closed_unread_kept" if request.number > 1 else "closed_unread_first"] += 1
            self.settle_unread(request)
        causes, engine_faults = self.break_causes(request, arrivals)
        if not arrivals:
            if not causes:
                self.unread[request.id] = request
            return
        if causes:
            self.counts["closed_excused"] += 1
            return
        own = self.faults.during([request.instance.name], request.sent_at - SOUND_S, request.ended_at)
        kind = "LOST_UNSOUND" if engine_faults else "LOST"
        self.finding(kind, f"{request}; faults there: {own} engines: {engine_faults}", request.id)

    def settle_unread(self, request):
        """Callers reuse connections that have been idle for up to four fifths of the limit.

        Counted only where the limit is short: a busy machine alone can hold a request back for the rest of it.
        """
        if request.number == 1 or request.idle > request.idle_limit * USABLE_PART_OF_IDLE:
            return
        targets = [request.instance.name, *([request.link] if request.link else [])]
        if not self.faults.during(targets, request.sent_at - request.idle - SOUND_S, request.ended_at):
            self.counts["closed_early"] += 1
            left = request.idle_limit * (1 - USABLE_PART_OF_IDLE)
            if request.idle_limit >= SURE_LIMIT_S and left > 2 * self.run.lag:
                self.finding("UNANSWERED", f"{request}: closed within {request.idle_limit} s idle", request.id)

    def check_unread(self, lines):
        """A request that no engine saw and whose connection was closed was not read by the instance either."""
        for line in lines:
            found = re.search(r" event=ended request=(\S+) ", line)
            request = self.unread.pop(found[1], None) if found else None
            if request is not None:
                self.finding("UNANSWERED", f"{request}: read and not answered", request.id)

    def settle_short(self, request, executed):
        """An ordinary close passes on that of an engine; not a reset, nor the end of a crashed process."""
        self.counts["short"] += 1
        # The last run is the one whose end ended the answer.
        if executed and executed[-1].proves_ordinary_close():
            return
        crashed = any(one.state == "crashed" for one in executed)
        targets = [request.instance.name, *(f"link:{one.engine}" for one in executed)]
        may_excuse = crashed and not self.run.kinds & ENDS_OF_PROCESSES
        if may_excuse and self.faults.during(targets, request.sent_at - SOUND_S, request.ended_at):
            # A stopped instance, or one behind a broken link, finds the engine's successor at its address.
            self.counts["short_excused"] += 1
            return
        self.order_finding("MIXED", f"{request}: a close that no engine made ended it early", request)

    def settle_cut(self, request, executed):
        causes, engine_faults = self.break_causes(request, executed)
        was_late = request.ended_at - request.sent_at > request.timeout - 0.25
        if causes or engine_faults or was_late:
            self.counts["cut_excused"] += 1
            return
        own = self.faults.during([request.instance.name], request.sent_at - SOUND_S, request.ended_at)
        self.finding("CUT", f"{request}; faults there: {own}", request.id)

    def settle_hung(self, request):
        targets = [request.instance.name, *([request.link] if request.link else [])]
        if self.faults.during(targets, request.ended_at - 8, request.ended_at):
            self.counts["hung_excused"] += 1
            return
        self.finding("HUNG", f"{request}", request.id)

    def settle_withdrawn(self, request):
        if self.undisturbed_seconds(request, request.withdrawn_at) < REVOKE_S:
            self.counts["withdrawn_excused"] += 1
            return
        self.finding("KEY", f"{request}: its key was withdrawn at {request.withdrawn_at:.3f}", request.id)

    def undisturbed_seconds(self, request, since):
        """Time for which the instance could learn of a change and act on it before the request was sent."""
        name = request.instance.name
        targets = ["store", f"link:store:{name}"]
        since = max(since, request.instance.started_at, self.faults.last_end(targets))
        return request.sent_at - since - self.faults.seconds(name, since, request.sent_at)

    def judge_key(self, request, keys):
        """Keys are issued and withdrawn once; what a process has seen of that it does not forget."""
        was_accepted = request.status == 200
        is_withdrawn = request.key in keys.withdrawn
        before, at = request.key_answers.get(request.key, (None, 0.0))
        # An answer to a request that was sent before the other answer came says nothing about order.
        has_order = request.sent_at > at
        if (before == "accepted" and not was_accepted and not is_withdrawn
                or before == "withdrawn" and was_accepted) and has_order:
            self.finding("BACK", f"{request}: {request.key} was {before} at {at:.3f}", request.id)
            return
        # A process that has not seen the key in force refuses it before its time, too.
        knows_withdrawal = before is not None or request.withdrawn_at is not None
        if was_accepted or is_withdrawn and knows_withdrawal:
            request.key_answers[request.key] = ("accepted" if was_accepted else "withdrawn", time.monotonic())
        if was_accepted or is_withdrawn:
            return
        if request.key in keys.lasting:
            self.finding("KEY", f"{request}: 401 for a key in force", request.id)
            return
        issued = keys.passing[request.key]
        if self.undisturbed_seconds(request, issued) < APPLY_S:
            self.counts["not_in_force_yet"] += 1
            return
        self.finding("CONFIG", f"{request}: 401 for {request.key}, written at {issued:.3f}", request.id)

    async def watch_return(self, instance):
        """A continued instance answers a new connection; holds later faults on it when it does not at once."""
        if instance in self.watched:
            return
        self.watched.add(instance)
        try:
            process, begin = instance.process, instance.continued_at
            while True:
                if instance.paused or instance.draining or instance.process is not process:
                    return
                if process.poll() is not None:
                    return
                if await self.serves(instance):
                    self.counts["returns"] += 1
                    return
                begin = max(begin, instance.continued_at)
                passed = time.monotonic() - begin
                instance.held_for_check = passed > 0.5
                if passed > RETURN_S + self.run.lag:
                    evidence = await asyncio.to_thread(instance.keep_evidence)
                    self.finding("NO_RETURN", f"{instance.name} does not answer {passed:.1f} s after SIGCONT; "
                                              f"see {evidence}")
                    return
                await asyncio.sleep(0.1)
        finally:
            instance.held_for_check = False
            self.watched.discard(instance)

    async def serves(self, instance):
        """Whether the instance answers a request that needs no engine, on a new connection."""
        try:
            reader, writer = await asyncio.wait_for(asyncio.open_connection(*instance.front), 1)
        except (OSError, asyncio.TimeoutError):
            return False
        try:
            writer.write(b"GET /nowhere HTTP/1.1\r\nHost: none.example\r\nX-Request-Id: probe\r\n\r\n")
            return (await asyncio.wait_for(reader.read(12), 1)).startswith(b"HTTP/1.1 ")
        except (OSError, asyncio.TimeoutError):
            return False
        finally:
            writer.close()

    async def watch_processes(self):
        """Memory, unexpected ends and fault lines of all instances."""
        while True:
            await asyncio.sleep(1)
            for instance in self.run.instances:
                self.look_at(instance)

    def look_at(self, instance):
        used = instance.memory_mb()
        self.counts["memory_mb"] = max(self.counts["memory_mb"], int(used))
        if used > MEMORY_LIMIT_MB:
            self.finding("MEMORY", f"{instance.name} uses {used:.0f} MB")
        code = instance.process.poll()
        if code is not None and not instance.draining and not instance.killed:
            self.finding("ENDED", f"{instance.name} ended by itself with {code}")
        for line in instance.new_log_lines():
            if any(fault in line for fault in LOG_FAULTS):
                self.finding("LOG", f"{instance.name}: {line}")
