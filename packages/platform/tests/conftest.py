"""Fixtures: the platform's stand-in and the adapter that calls it."""

import dataclasses
import random

import pytest

from lagoonrun_core import clock as clock_module
from lagoonrun_platform import etcd_gateway
from lagoonrun_standins import platform_store


@dataclasses.dataclass(frozen=True, kw_only=True)
class Address:
    """Listening address of a gateway."""

    host: str
    port: int


@pytest.fixture
def clock():
    return clock_module.ManualClock()


@pytest.fixture
async def platform(clock):
    stand_in = platform_store.PlatformStore(clock=clock)
    await stand_in.start()
    yield stand_in
    await stand_in.close()


@pytest.fixture
async def make_gateway(clock):
    opened = []

    def make(*stand_ins, **options):
        gateway = etcd_gateway.EtcdGateway(
            addresses=[
                Address(host=one.host, port=one.port) for one in stand_ins
            ],
            clock=clock,
            rng=random.Random(1),
            **options,
        )
        opened.append(gateway)
        return gateway

    yield make
    for gateway in opened:
        await gateway.close()


@pytest.fixture
async def gateway(make_gateway, platform):
    return make_gateway(platform)
