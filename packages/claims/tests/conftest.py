"""Shared fixtures: an in-memory store and claims of several entry VMs."""

import asyncio
import itertools
import random

import pytest
import pytest_asyncio

from lagoonrun_claims import claims as claims_module
from lagoonrun_core import clock as clock_module
from lagoonrun_core import types
from lagoonrun_platform import memory_store


@pytest.fixture
def clock():
    return clock_module.ManualClock()


@pytest.fixture
def store(clock):
    return memory_store.MemoryStore(clock=clock)


@pytest_asyncio.fixture
async def make_claims(store, clock):
    """Return a function that starts `Claims` for another entry VM."""
    started = []
    numbers = itertools.count(1)

    async def yield_once(_seconds):
        await asyncio.sleep(0)

    async def make(**options):
        number = next(numbers)
        claims = claims_module.Claims(
            store=store,
            entry_vm=types.EntryVmId(f"vm-{number}"),
            clock=clock,
            random=random.Random(number),
            flush_seconds=0.2,
            linger_seconds=0.0,
            sleep=yield_once,
            **options,
        )
        await claims.start()
        started.append(claims)
        return claims

    yield make
    for claims in started:
        await claims.close()


@pytest.fixture
def arrive():
    """Return a function that claims a key for a new request."""
    numbers = itertools.count(1)

    async def claim(claims, key="k", body="b", organisation="house", **options):
        options.setdefault("deadline_seconds", 60.0)
        return await claims.claim(
            organisation=types.OrganisationId(organisation),
            key=key,
            request_id=types.RequestId(f"r-{next(numbers)}"),
            body_digest=body,
            **options,
        )

    return claim
