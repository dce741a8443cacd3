"""Tests of declared placements in a running entry VM."""

import asyncio
import dataclasses
import random

import pytest

from lagoonrun_config import configuration_store, model
from lagoonrun_config import draft as draft_module
from lagoonrun_core import types

WRITER = types.UpstreamId("writer-1")


@pytest.fixture
def place(small_deployment):
    """Return a function that declares one model on the engine."""

    async def apply(**upstream_options):
        configuration = small_deployment.daemon.fleet.configuration
        draft = draft_module.draft_of(configuration)
        upstreams = dict(draft.upstreams_by_id)
        upstreams[WRITER] = dataclasses.replace(
            upstreams[WRITER], **upstream_options
        )
        placement = model.Placement(
            pool=types.PoolName("writers"),
            domain=types.FailureDomain("north"),
            model="catalogue-1",
            version="7",
            count=1,
        )
        store = configuration_store.ConfigurationStore(
            store=small_deployment.daemon.store, rng=random.Random(0)
        )
        await store.apply(
            dataclasses.replace(
                draft, upstreams_by_id=upstreams, placements=(placement,)
            ),
            base=configuration.revision,
            change_id=types.ChangeId("placement"),
            operator="test",
        )

    return apply


async def test_a_declared_model_is_loaded(small_deployment, place):
    await place(checks_fencing=True)
    orders = small_deployment.writer.orders
    async with asyncio.timeout(20):
        while not orders.applied:
            await small_deployment.ask_admin("/readyz")
    assert orders.version_by_model == {"catalogue-1": "7"}
    status = (await small_deployment.ask_admin("/status")).json()
    assert status["orderer_fencing"] == orders.fencing_seen
