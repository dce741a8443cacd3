"""Selection of a failure domain's relay, over real sockets."""

import asyncio

import pytest

from lagoonrun_standins.router_world import wait_for

SETTLE_SECONDS = 1.5
"""Time in which each has sent its state to the others."""


@pytest.mark.parametrize("cores", [1.0, 1.074, 0.516, 2.149])
async def test_exactly_one_of_equal_entry_vms_is_the_relay(world_of, cores):
    """Guards against entry VMs that each consider themselves the largest."""
    worlds = [
        await world_of(name=f"vm-{number}", processor_cores=cores)
        for number in range(3)
    ]
    await worlds[0].declare()
    for world in worlds:
        await wait_for(lambda w=world: w.router.peer_count == 2)
    # Sizes are in the records in the store and later in each state.
    await asyncio.sleep(SETTLE_SECONDS)
    relays = [world.settings.entry_vm for world in worlds if is_relay(world)]
    assert len(relays) == 1


def is_relay(world):
    """Return whether an entry VM is the relay of its failure domain."""
    return world.router.exchange.is_relay()
