"""Cuts between some instances and the engines, in the links before these; and the judgement of RECOVER."""
import asyncio
import collections
import contextlib
import os
import socket
import struct
import time

# Callers' first tries count from this long after a cut's begin, in seconds.
STABLE_S = 3.0
# First tries at instances that were cut off may fail: some, and one in so many of all.
FAILED, FAILED_PART = 10, 50
# Part of the idle time-out for which a connection is certain to serve another request.
USABLE_PART_OF_IDLE = 0.8
# Wait until connections that are new are looked up together, in seconds.
LOOK_UP_S = 0.02
HOWS = ("hang", "hang", "reset", "refuse", "up", "down")
EXTENTS = ("some", "some", "zone", "most")
# Directions in which a cut holds what is sent back.
HELD = {"hang": ("up", "down"), "up": ("up",), "down": ("down",), "reset": ("up", "down"), "refuse": ("up", "down")}


class Cut:
    """One partition of instances from the engines of all services or of one."""

    def __init__(self, instances, how, service=None, spares_old=False):
        self.names = frozenset(instance.name for instance in instances)
        self.instances, self.how, self.service, self.spares_old = instances, how, service, spares_old
        self.begin, self.end = time.monotonic(), None
        # By group of callers, second and whether the instance was cut off: first tries and how many were served.
        self.tries = collections.defaultdict(lambda: [0, 0])

    def __str__(self):
        old = ", old connections live on" if self.spares_old else ""
        return f"cut at {self.begin:.3f} of {sorted(self.names)} from {self.service or 'all'}: {self.how}{old}"

    def take(self, request, served):
        entry = self.tries[request.group, int(request.sent_at - self.begin), request.instance.name in self.names]
        entry[0] += 1
        entry[1] += served

    def total(self, group, is_cut, since=STABLE_S):
        found = [entry for (of, second, at_cut), entry in self.tries.items()
                 if of == group and at_cut == is_cut and second >= since]
        return sum(tries for tries, _ in found), sum(served for _, served in found)

    def groups(self):
        return sorted({group for group, _, _ in self.tries})


def breaks_recover(cut, others):
    """Whether of pairs of first tries and served ones too few were served at the instances that were cut off."""
    failed, tries = cut[0] - cut[1], cut[0] + others[0]
    return failed > FAILED + tries / FAILED_PART and 3 * cut[1] * others[0] < 2 * others[1] * cut[0]


def draw(rng, instances, zone_of):
    extent = rng.choice(EXTENTS)
    if extent == "zone":
        zone = zone_of(rng.choice(instances))
        chosen = [instance for instance in instances if zone_of(instance) == zone]
    else:
        most = max(1, len(instances) * 3 // 4)
        few = max(1, len(instances) // 3)
        chosen = rng.sample(instances, rng.randint(1, few) if extent == "some" else most)
    service = rng.choice(("gen", "plain")) if rng.random() < 0.2 else None
    return Cut(chosen, rng.choice(HOWS), service, rng.random() < 0.25)


def sockets_of(pids):
    """Inodes of the open sockets of processes."""
    found = set()
    for pid in pids:
        for number in os.listdir(f"/proc/{pid}/fd") if os.path.exists(f"/proc/{pid}/fd") else ():
            with contextlib.suppress(OSError):  # Closed meanwhile.
                found.add(os.readlink(f"/proc/{pid}/fd/{number}"))
    return found


class SocketTable:
    """Asks the kernel for the inode of a socket by its ends; /proc/net/tcp lists those of the whole machine."""

    # Netlink head, family and protocol with all states, ports, addresses, any interface and cookie.
    REQUEST = struct.Struct("=IHHII BBBBI 2s2s 4s12x 4s12x III")
    BY_FAMILY, IS_REQUEST, NO_COOKIE, INODE_AT = 20, 1, 0xFFFFFFFF, 84

    def __init__(self):
        self.socket = socket.socket(socket.AF_NETLINK, socket.SOCK_RAW, 4)
        self.socket.settimeout(1)

    def inode(self, own, peer):
        ports = [end[1].to_bytes(2, "big") for end in (own, peer)]
        hosts = [socket.inet_aton(end[0]) for end in (own, peer)]
        self.socket.send(self.REQUEST.pack(self.REQUEST.size, self.BY_FAMILY, self.IS_REQUEST, 0, 0, socket.AF_INET,
                                           socket.IPPROTO_TCP, 0, 0, self.NO_COOKIE, *ports, *hosts, 0,
                                           self.NO_COOKIE, self.NO_COOKIE))
        answer = self.socket.recv(4096)
        if struct.unpack_from("=H", answer, 4)[0] != self.BY_FAMILY:
            return None  # It is closed.
        return struct.unpack_from("=I", answer, self.INODE_AT)[0]


class Cuts:
    """Makes cuts, tells links which connections they hold, and counts first tries."""

    def __init__(self, run):
        self.run = run
        self.all, self.current = [], None
        self.unknown, self.table = [], SocketTable()
        self.look_up = None

    async def live(self, rng):
        run, instances = self.run, self.run.instances
        cut = None
        while True:
            await asyncio.sleep(rng.uniform(1.5, 4) * run.calm)
            # The same instances are cut off again soon after the path heals.
            again = cut is not None and rng.random() < 0.3
            drawn = draw(rng, instances, lambda instance: instance.place)
            cut = Cut(cut.instances, cut.how, cut.service, cut.spares_old) if again else drawn
            length = rng.uniform(0.5, STABLE_S) if rng.random() < 0.15 else rng.uniform(7, 12)
            await self.hold(cut, length)

    async def hold(self, cut, seconds):
        checks = self.run.checks
        cut.begin = time.monotonic()
        entries = [checks.faults.begin(f"cut:{name}", cut.how) for name in cut.names]
        checks.counts["fault_cut"] += 1
        self.run.schedule.note(f"{cut}")
        self.all.append(cut)
        self.current = cut
        for link in self.links(cut):
            for pipe in list(link.pipes) if not cut.spares_old else ():
                if pipe.direction == "up":
                    self.opened(pipe)
        await asyncio.sleep(seconds)
        self.current, cut.end = None, time.monotonic()
        self.run.schedule.note(f"healed: {cut}")
        for entry in entries:
            checks.faults.end(entry)
        for link in self.links(cut):
            for pipe in list(link.pipes):
                self.open_again(pipe)

    @staticmethod
    def open_again(pipe):
        # The side that the instance opened may be closed, with bytes still held.
        for side in (pipe, pipe.other):
            if side is not None:
                side.cut, side.resets = None, False
                side.flush()

    def links(self, cut):
        return [engine.link for engine in self.run.engines if cut.service in (None, engine.service)]

    def opened(self, pipe):
        """A connection to an engine: held until it is known whose it is."""
        if self.current is None or pipe.link not in self.links(self.current):
            return
        pipe.cut = HELD["hang"]
        self.unknown.append(pipe)
        if self.look_up is None:
            self.look_up = self.run.spawn(self.find_holders())

    async def find_holders(self):
        await asyncio.sleep(LOOK_UP_S)
        self.look_up = None
        pipes, self.unknown = self.unknown, []
        cut = self.current
        if cut is None:
            return  # It has healed, which opened them.
        own = sockets_of([instance.process.pid for instance in cut.instances])
        for pipe in pipes:
            if pipe.transport is None or pipe.transport.is_closing():
                continue
            inode = self.table.inode(pipe.transport.get_extra_info("peername"), pipe.transport.get_extra_info("sockname"))
            # Its opener is unknown where it is closed already, and no answer can reach it.
            if inode and f"socket:[{inode}]" not in own:
                self.open_again(pipe)
                continue
            pipe.cut, pipe.resets = HELD[cut.how], cut.how == "reset"
            # With "reset", a connection that is idle ends with its first bytes.
            if cut.how == "refuse" or pipe.resets and (pipe.waiting or pipe.other and pipe.other.waiting):
                pipe.reset()
                continue
            for side in (pipe, pipe.other):
                if side is not None:
                    side.flush()

    def take(self, request):
        """Counts a first try that any instance in touch could serve."""
        cut = next((one for one in reversed(self.all) if one.begin <= request.sent_at), None)
        if cut is None or request.group is None or request.outcome == "abandoned" or request.status in (401, 404):
            return
        if cut.end is not None and request.sent_at > cut.end:
            return
        if cut.service is not None and cut.service != ("gen" if request.route in ("gen", "res") else "plain"):
            return
        if request.number > 1 and request.idle > request.idle_limit * USABLE_PART_OF_IDLE:
            return  # Its connection may have been closed meanwhile.
        name, begin = request.instance.name, request.sent_at - STABLE_S
        targets = [name, "store", f"link:store:{name}", *([request.link] if request.link else [])]
        if request.instance.started_at > begin or self.run.checks.faults.during(targets, begin, request.ended_at):
            return
        cut.take(request, request.outcome == "answered" and request.status == 200)

    def judge(self):
        """Reports each cut; writes what was served second by second."""
        with open(self.run.folder / "recover.csv", "w") as out:
            out.write("cut,service,how,callers,second,cut_served,cut_tries,others_served,others_tries\n")
            for number, cut in enumerate(self.all):
                for group in cut.groups():
                    self.judge_cut(cut, group)
                    for second in sorted({second for of, second, _ in cut.tries if of == group}):
                        at_cut, others = (cut.tries.get((group, second, is_cut), (0, 0)) for is_cut in (True, False))
                        out.write(f"{number},{cut.service or 'all'},{cut.how},{group},{second},"
                                  f"{at_cut[1]},{at_cut[0]},{others[1]},{others[0]}\n")

    def judge_cut(self, cut, group):
        at_cut, others = cut.total(group, True), cut.total(group, False)
        if not breaks_recover(at_cut, others):
            return
        # The users' rule speaks of instances that reach no engine at all.
        kind = "RECOVER" if cut.service is None else "RECOVER_SERVICE"
        self.run.checks.finding(kind, f"{cut}: callers by {group}: {at_cut[1]} of {at_cut[0]} first tries served there, "
                                      f"{others[1]} of {others[0]} at the others")

    def summary(self):
        words = []
        for group in sorted({group for cut in self.all for group in cut.groups()}):
            for name, is_cut in (("cut", True), ("others", False)):
                totals = [cut.total(group, is_cut) for cut in self.all if cut.service is None]
                tries, served = (sum(column) for column in zip(*totals)) if totals else (0, 0)
                words.append(f"first_{group}_{name}={served}/{tries}")
        return " ".join(words)
