"""Orderers that freeze beyond their lease or stop.

The tests share a deployment; the test that stops an entry VM must be last.
"""

import dataclasses
import random

import pytest
import pytest_asyncio

from lagoonrun_config import model
from lagoonrun_core import clock, types
from lagoonrun_orders import tenure
from lagoonrun_platform import etcd_gateway
from lagoonrun_standins import deployment, fleet, http_client

from .conftest import NORTH_1, NORTH_2, parse, until

pytestmark = pytest.mark.asyncio(loop_scope="module")

NORTH = types.FailureDomain("north")
ENGINES = (types.UpstreamId("checking"), types.UpstreamId("trusting"))
LEASE_SECONDS = 2.0
ORDER_SECONDS = 0.5
_TEXT = """
[profiles.answer]
tier = 2
target_seconds = 5.0
limit_seconds = 20.0

[services.catalogue]
kind = "model"
pool = "writers"
profile = "answer"
models = ["m1"]

[organisations.house]
key_digests = ["{digest}"]

[pools.writers]
[[pools.writers.upstreams]]
id = "checking"
domain = "north"
address = "127.0.0.1"
port = 1001
checks_fencing = true
[[pools.writers.upstreams]]
id = "trusting"
domain = "north"
address = "127.0.0.1"
port = 1002

[[placements]]
pool = "writers"
domain = "north"
model = "m1"
count = 2
"""


def _shorten(configured):
    return dataclasses.replace(
        configured,
        order_lease_seconds=LEASE_SECONDS,
        order_timeout_seconds=ORDER_SECONDS,
    )


class _Orders:
    """A deployment with helpers to change and inspect its placement."""

    def __init__(self, running):
        self.running = running
        self._revision = types.Revision(1)
        self._store = etcd_gateway.EtcdGateway(
            addresses=[running.platform.address()],
            clock=clock.SystemClock(),
            rng=random.Random(0),
        )

    async def want(self, name):
        """Declare another model on both engines."""
        placement = model.Placement(
            pool=types.PoolName("writers"), domain=NORTH, model=name, count=2
        )
        self._revision = await deployment.apply_declarations(
            dataclasses.replace(self.running.declared, placements=(placement,)),
            platform=self.running.platform.address(),
            base=self._revision,
        )

    async def wait_loaded(self, name):
        async def loaded():
            states = [await self.ask(one, "/state") for one in ENGINES]
            return all(one["models"] == [name] for one in states)

        await until(loaded)

    async def holder(self):
        """Return the entry VM that is the domain's orderer."""
        key = tenure.holder_key(tenure.duty_of_domain(NORTH))
        found = (await self._store.get(key)).found
        return tenure.decode(found.value).entry_vm if found else None

    async def wait_holder_other_than(self, entry_vm):
        async def other():
            return await self.holder() not in (None, entry_vm)

        await until(other)

    async def ask(self, name, path):
        process = self.running.process(name)
        return await http_client.fetch_json(process.host, process.port, path)

    async def check_fencing_numbers(self):
        """Assert that fencing numbers increased at every engine."""
        for name in ENGINES:
            counters = await self.ask(name, "/control/counters")
            applied = counters["fencing_applied"]
            assert applied == sorted(applied)
            assert len(set(applied)) > 1


@pytest_asyncio.fixture(scope="module", loop_scope="module")
async def orders():
    processes = fleet.Fleet(stop_timeout_seconds=3.0)
    await processes.start()
    running = deployment.Deployment(
        fleet=processes,
        declared=parse(_TEXT.format(digest="a" * 64)),
        entry_vms=[
            deployment.EntryVm(id=vm, domain=NORTH) for vm in (NORTH_1, NORTH_2)
        ],
        engine_flags={"load_seconds": 0.1},
        adjust_settings=_shorten,
    )
    try:
        await running.start()
        made = _Orders(running)
        await made.wait_loaded("m1")
        yield made
    finally:
        for vm in (NORTH_1, NORTH_2):
            if running.process(vm).is_running:
                running.process(vm).resume()
        await processes.close()


async def test_a_frozen_orderer_does_not_order_on_waking(orders):
    """An orderer resumes after a freeze and must not repeat old orders.

    It freezes in the middle of a change, its lease expires, and the other one
    completes the change. When the first one resumes, it must not load a model
    that has been replaced.
    """
    first = await orders.holder()
    await orders.want("m2")

    async def begun():
        states = [await orders.ask(one, "/state") for one in ENGINES]
        return any("m2" in one["models"] for one in states)

    await until(begun)
    orders.running.process(first).freeze()
    await orders.wait_holder_other_than(first)
    await orders.wait_loaded("m2")
    orders.running.process(first).resume()
    await orders.want("m3")
    await orders.wait_loaded("m3")
    assert await orders.holder() != first
    await orders.check_fencing_numbers()


async def test_a_stopping_orderer_hands_over_at_once(orders):
    """A stop must not leave a domain without an orderer until its lease ends.

    A rolling replacement would repeat that gap for each orderer.
    """
    first = await orders.holder()
    orders.running.process(first).request_stop()
    await orders.wait_holder_other_than(first)
    await orders.want("m4")
    await orders.wait_loaded("m4")
    await orders.check_fencing_numbers()
