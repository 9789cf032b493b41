"""Loopback TCP link that delays, holds, cuts one way, refuses or resets connections."""
import asyncio
import collections

import wire


class Link:
    """Passes connections on from `listen` to `target`; faults act on all of its connections."""

    def __init__(self, name, listen, target):
        self.name, self.listen, self.target = name, listen, target
        self.delay = 0.0
        self.held = set()
        self.cut = set()
        self.pipes = set()
        # Told of connections that come, where cuts are made between one instance and engines.
        self.cuts = None
        self.server = None
        self.target_down = False
        # Whether each connection is reset when bytes come.
        self.resets = False
        # Held by what breaks it for a while.
        self.turn = asyncio.Lock()
        # A fault that ends and an engine that starts open the link at the same time.
        self.opening = asyncio.Lock()

    async def set_target_down(self, down):
        """Refuses connections while nothing listens at the target."""
        self.target_down = down
        if down:
            self.stop_listening()
        else:
            await self.start()

    async def start(self):
        loop = asyncio.get_running_loop()
        async with self.opening:
            if self.server is None:
                self.server = await loop.create_server(lambda: Pipe(self, "up"), *self.listen, backlog=512)

    def stop_listening(self):
        if self.server is not None:
            self.server.close()
            self.server = None

    def reset_all(self):
        for pipe in list(self.pipes):
            pipe.reset()

    def holds(self, address):
        """Whether one of its connections reaches its target from this address."""
        return any(pipe.direction == "down" and pipe.transport is not None
                   and pipe.transport.get_extra_info("sockname") == address for pipe in self.pipes)

    async def apply(self, fault, rng):
        """Starts a fault; `clear` ends it."""
        if fault == "delay":
            self.delay = rng.uniform(0.02, 0.6)
        elif fault == "silence":
            self.held = {"up", "down"}
        elif fault == "cut":
            self.cut = {rng.choice(("up", "down"))}
        elif fault == "mute":
            for pipe in self.pipes:
                pipe.is_mute = True
        elif fault == "reset":
            self.reset_all()
        elif fault == "refuse":
            self.stop_listening()
            self.reset_all()

    async def clear(self):
        self.delay = 0.0
        self.held = set()
        self.cut = set()
        for pipe in list(self.pipes):
            # Bytes are missing from its stream, so nothing sound can follow on it.
            if pipe.damaged or (pipe.other is not None and pipe.other.damaged):
                pipe.reset()
            else:
                pipe.flush()
        if not self.target_down:
            await self.start()


class Pipe(asyncio.Protocol):
    """One side of a connection through a link: what it receives goes to the other side."""

    def __init__(self, link, direction, other=None):
        self.link, self.direction, self.other = link, direction, other
        self.transport = None
        self.waiting = collections.deque()
        self.damaged = False
        # Nothing comes through any more, in either direction; new connections work.
        self.is_mute = False
        self.due = 0.0
        # Of the side that an instance opened: directions held by a cut, and whether bytes reset it.
        self.cut, self.resets = None, False

    def connection_made(self, transport):
        self.transport = transport
        self.link.pipes.add(self)
        if self.other is None:
            if self.link.cuts is not None:
                self.link.cuts.opened(self)
            asyncio.ensure_future(self.connect())
        else:
            self.other.other = self
            self.other.flush()

    async def connect(self):
        loop = asyncio.get_running_loop()
        try:
            await loop.create_connection(lambda: Pipe(self.link, "down", self), *self.link.target)
        except OSError:
            self.reset()

    def data_received(self, data):
        self.take(data)

    def eof_received(self):
        self.take(None)
        return True

    def is_cut_off(self):
        opener = self if self.direction == "up" else self.other
        return opener.cut is not None and self.direction in opener.cut

    def take(self, data):
        if self.link.resets or self.is_cut_off() and (self if self.direction == "up" else self.other).resets:
            self.reset()
            return
        if self.direction in self.link.cut:
            self.damaged = True
        if self.damaged or self.is_mute:
            return
        loop = asyncio.get_running_loop()
        self.due = max(self.due, loop.time() + self.link.delay)
        self.waiting.append((self.due, data))
        if self.link.delay > 0:
            loop.call_later(self.link.delay + 0.001, self.flush)
        else:
            self.flush()

    def flush(self):
        if self.other is None or self.other.transport is None or self.direction in self.link.held or self.is_cut_off():
            return
        now = asyncio.get_running_loop().time()
        target = self.other.transport
        while self.waiting:
            due, data = self.waiting[0]
            if due > now:
                asyncio.get_running_loop().call_later(due - now + 0.001, self.flush)
                return
            self.waiting.popleft()
            if target.is_closing():
                continue
            if data is not None:
                target.write(data)
                continue
            # Neither side closes half of a connection and goes on.
            target.close()
            if self.transport is not None:
                self.transport.close()

    def connection_lost(self, error):
        self.link.pipes.discard(self)
        self.transport = None
        if self.other is None or self.other.transport is None:
            return
        if error is not None:
            self.other.reset()
        elif not self.waiting:
            self.other.transport.close()

    def reset(self):
        if self.transport is not None:
            wire.reset(self.transport)
        if self.other is not None and self.other.transport is not None:
            wire.reset(self.other.transport)
