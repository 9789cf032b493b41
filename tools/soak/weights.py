"""Weights of engines, the orders that replace them, and the judgement of who gives these orders."""
import asyncio
import collections

# Two orders of one holder to an engine with one of another between them come no closer, in seconds.
LEASE_S = 3.0
# Time after a fault at which an instance counts as in touch again, in seconds.
STABLE_S = 3.0
LOAD_S = (0.2, 0.8)


class Weights:
    """What one engine has loaded, and its part of the protocol of orders."""

    def __init__(self, engine, run, version=1):
        self.engine, self.run = engine, run
        self.version = version
        self.forget()

    def forget(self):
        """A restart clears the count of orders and the fencing token; the weights stay."""
        self.orders, self.fence, self.is_busy = 0, 0, False
        self.taken = collections.deque(maxlen=64)

    def take(self, order):
        """Status of the answer to an order."""
        if order["fence"] < self.fence:
            return 412
        self.fence = order["fence"]
        self.run.checks.judge_turns(self.engine, self.taken, order)
        if order["version"] <= self.version:
            return 200
        if self.is_busy or order.get("expected", self.orders) != self.orders:
            return 409
        self.orders, self.is_busy = self.orders + 1, True
        self.run.spawn(self.load(order["version"], self.engine.starts))
        return 202

    async def load(self, version, start):
        await asyncio.sleep(self.engine.rng.uniform(*LOAD_S))
        if self.engine.starts != start or self.engine.server is None:
            return
        self.version, self.is_busy = version, False
        self.run.checks.counts["weights_loaded"] += 1
        self.engine.register()


def find_turn(taken, at):
    """The oldest and the newest of another holder's order between them within a lease, or nothing.

    `taken` are pairs of time and holder, oldest first; the last one is the order that came at `at`.
    """
    newest = taken[-1][1]
    has_other = False
    for when, holder in reversed(list(taken)[:-1]):
        if at - when >= LEASE_S:
            return None
        if holder != newest:
            has_other = True
        elif has_other:
            return when, holder
    return None
