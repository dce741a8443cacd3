"""Upstreams that crash on certain requests, each replaced by a new one.

For tests of entry VMs over loopback; the store is in memory.
"""

import asyncio
import enum
import itertools

from lagoonrun_http import messages
from lagoonrun_standins.router_upstream import answer_whole, marked
from lagoonrun_standins.router_world import wait_for

POOL_SIZE = 5


class CrashMoment(enum.Enum):
    """How much of an answer an upstream sends before it crashes."""

    BEFORE_ANY_BYTE = "before any byte"
    AFTER_THE_HEAD = "after the head"
    AFTER_AN_EVENT = "after an event"


class CrashingPool:
    """Upstreams that crash on some requests, each replaced by a new one.

    Parameters
    ----------
    worlds
        The entry VMs.
    size
        Number of upstreams.
    crashes_on
        Returns whether a request, given its head and body, crashes an upstream.
    answer
        Answers all other requests, given the exchange and the body.

    Attributes
    ----------
    crashed
        Ids of the crashed upstreams.
    repaired
        Whether new ones run all requests without a crash.
    moment
        How much of an answer they send before they crash.
    back_at_once
        Whether a crashed upstream listens again at once, under a new id.
    keeps_id
        Whether it then has its id, and the next start number.
    versions
        Software versions of the upstreams, in turn.
    """

    def __init__(self, worlds, *, size, crashes_on, answer=None):
        self._world, *_ = self._worlds = worlds
        self._size = size
        self._crashes_on = crashes_on
        self._answer = answer
        self._numbers = itertools.count(1)
        self._started_by_id = {}
        self._closing = []
        self.crashed = []
        self.repaired = False
        self.moment = CrashMoment.BEFORE_ANY_BYTE
        self.back_at_once = False
        self.keeps_id = False
        self.versions = ("v1",)
        self._ids_by_port = {}

    def running(self, body):
        """Return the number of requests with a body at running upstreams."""
        return sum(
            one.bodies.count(body) for one in self._started_by_id.values()
        )

    @property
    def newest_id(self):
        """Id of the upstream that started last."""
        return next(reversed(self._ids_by_port.values()))

    @property
    def living(self):
        """Ids of the upstreams that have not crashed."""
        return set(self._started_by_id)

    async def start(self):
        """Start all of the pool."""
        for _ in range(self._size):
            await self.start_one()

    async def start_one(self, **changes):
        """Start an upstream; `changes` name fields of its registration."""
        id = f"u-{next(self._numbers)}"

        async def answer(exchange):
            upstream = self._started_by_id[id]
            body = upstream.bodies[-1]
            if exchange.head.headers.get("Expected") != self._id_at(upstream):
                await exchange.respond(
                    status=421, headers=marked(exchange, Not_Run="1"), body=b""
                )
            elif self._crashes_on(exchange.head, body) and not self.repaired:
                await self._begin(exchange)
                if self.back_at_once:
                    await self._restart(upstream, exchange)
                else:
                    await self.crash(id)
            elif self._answer is not None:
                await self._answer(exchange, body)
            else:
                await answer_whole(exchange)

        self._started_by_id[id] = await self._world.make_upstream(answer, id)
        version = self.versions[len(self._ids_by_port) % len(self.versions)]
        self._ids_by_port[self._started_by_id[id].port] = id
        await self._world.register(
            self._started_by_id[id], **{"version": version, **changes}
        )
        for world in self._worlds:
            await wait_for(lambda world=world: world.knows(id))
        return id

    def _id_at(self, upstream):
        """Return the id of the process that listens at an upstream's port."""
        return self._ids_by_port[upstream.port]

    async def _restart(self, upstream, exchange):
        """Crash, and listen at once as another process."""
        before = self._id_at(upstream)
        self.crashed.append(before)
        if self.keeps_id:
            exchange.abort()
            await self._world.register_at(
                before, upstream.port, start=len(self.crashed)
            )
            return
        after = f"u-{next(self._numbers)}"
        del self._ids_by_port[upstream.port]
        self._ids_by_port[upstream.port] = after
        exchange.abort()
        await self._world.remove(
            f"{self._world.layout.upstreams_prefix}{before}"
        )
        await self._world.register_at(after, upstream.port)

    async def _begin(self, exchange):
        """Send what the upstream sends before it crashes."""
        if self.moment is CrashMoment.BEFORE_ANY_BYTE:
            return
        headers = marked(exchange, Content_Type="text/event-stream")
        await exchange.start(messages.ResponseHead(status=200, headers=headers))
        if self.moment is CrashMoment.AFTER_AN_EVENT:
            await exchange.send(b"id: 1\ndata: x\n\n")

    async def crash(self, id):
        """Close an upstream at once, without removing it from the store."""
        self.crashed.append(id)
        # Not awaited: the listener waits for this handler.
        closing = asyncio.create_task(self._started_by_id[id].close())
        await asyncio.sleep(0)
        self._world.closing.append(closing)
        self._closing.append(closing)

    async def replace_crashed(self):
        """Start an upstream with a new id for each crashed one."""
        for id in self.crashed:
            if self._started_by_id.pop(id, None) is not None:
                key = f"{self._world.layout.upstreams_prefix}{id}"
                await self._world.remove(key)
                await self.start_one()
        # Their connections are reset once they have stopped.
        await asyncio.gather(*self._closing)
        self._closing.clear()


async def start_fleet(
    world_of,
    route,
    *,
    crashes_on,
    answer=None,
    domains=("north",) * 3,
    versions=("v1",),
):
    """Return entry VMs that know each other, and a pool of upstreams.

    Parameters
    ----------
    crashes_on, answer
        See `CrashingPool`.
    domains
        Failure domain of each entry VM.
    versions
        Software versions of the upstreams, in turn.
    """
    worlds = [
        await world_of(name=f"vm-{number}", domain=domain)
        for number, domain in enumerate(domains)
    ]
    await worlds[0].declare(route, revision=2)
    pool = CrashingPool(
        worlds, size=POOL_SIZE, crashes_on=crashes_on, answer=answer
    )
    pool.versions = versions
    await pool.start()
    for world in worlds:
        neighbours = domains.count(world.settings.domain) - 1
        await world.ready()
        await wait_for(
            lambda world=world, neighbours=neighbours: (
                world.router.peer_count >= neighbours
            )
        )
    return worlds, pool
