"""Which entry VM of a failure domain relays, over real sockets."""

import asyncio

import pytest

from lagoonrun_standins.router_world import wait_for

SETTLE_SECONDS = 1.5
"""Time in which each has told the others its state."""


@pytest.mark.parametrize("cores", [1.0, 1.074, 0.516, 2.149])
async def test_one_of_equal_entry_vms_relays(world_of, cores):
    """Guards against entry VMs that each take themselves for the largest."""
    worlds = [
        await world_of(name=f"vm-{number}", processor_cores=cores)
        for number in range(3)
    ]
    await worlds[0].declare()
    for world in worlds:
        await wait_for(lambda w=world: w.router.peer_count == 2)
    # Sizes come with the records in the store and then with each state.
    await asyncio.sleep(SETTLE_SECONDS)
    leading = [world.settings.entry_vm for world in worlds if relays(world)]
    assert len(leading) == 1


def relays(world):
    """Return whether an entry VM is the relay of its failure domain."""
    return world.router.exchange.is_relay()
