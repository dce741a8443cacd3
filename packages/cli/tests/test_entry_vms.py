"""Discovery of entry VMs, against a fake of their admin addresses."""

import pytest

from lagoonrun_cli import admin_client, entry_vms, errors
from lagoonrun_config import settings
from lagoonrun_core import errors as core_errors

SEED = settings.Address(host="10.0.0.1", port=8081)


def member(number: int, *, revision: int = 1, state: str = "alive") -> dict:
    return {
        "entry_vm": f"entry-{number}",
        "domain": "north",
        "incarnation": 1,
        "state": state,
        "peer_host": f"10.0.0.{number}",
        "peer_port": 8082,
        "admin_port": 8081,
        "revision": revision,
    }


class FakeAdmin:
    """Responds for entry VMs 1 to `count`, except the silent ones."""

    def __init__(self, *, count: int, silent: tuple[int, ...] = ()) -> None:
        self.members = [member(number + 1) for number in range(count)]
        self._silent = {f"10.0.0.{number}" for number in silent}
        self.queried: list[str] = []

    async def get(self, address, path):
        """Return the response of the entry VM."""
        self.queried.append(f"{address.host}{path}")
        if address.host in self._silent:
            return admin_client.AdminFailure(
                step=core_errors.Step.PEER_CONNECT,
                peer=str(address),
                detail="refused",
            )
        number = address.host.rpartition(".")[-1]
        own = {"entry_vm": f"entry-{number}", "revision": 1}
        if path == "/status":
            own["members"] = self.members
        return admin_client.AdminResponse(status=200, value=own)


def make_entry_vms(fake: FakeAdmin) -> entry_vms.EntryVms:
    return entry_vms.EntryVms(addresses=[SEED], client=fake)


async def test_discovered_entry_vms_are_queried_for_their_own_status():
    fake = FakeAdmin(count=3)
    found = await make_entry_vms(fake).statuses()
    assert [one.name for one in found] == ["entry-1", "entry-2", "entry-3"]
    assert all(one.status for one in found)
    assert sorted(fake.queried) == [
        "10.0.0.1/status",
        "10.0.0.2/status?scope=own",
        "10.0.0.3/status?scope=own",
    ]


async def test_status_of_a_silent_entry_vm_comes_from_gossip():
    found = await make_entry_vms(FakeAdmin(count=2, silent=(2,))).statuses()
    silent = found[1]
    assert (silent.status, silent.revision, silent.is_alive) == (None, 1, True)
    assert silent.failure == "peer-connect: refused"


async def test_status_of_a_large_fleet_comes_from_gossip():
    """An operator applies a change in a fleet of 200 entry VMs.

    Querying each of them four times a second would cost the fleet more than
    the change itself; gossip has every revision.
    """
    fake = FakeAdmin(count=200)
    found = await make_entry_vms(fake).statuses(max_queried=64)
    assert len(found) == 200
    assert fake.queried == ["10.0.0.1/status"]
    assert {one.revision for one in found} == {1}


async def test_each_entry_vm_is_queried_once_except_dead_ones():
    fake = FakeAdmin(count=3)
    fake.members[2] = member(3, state="dead")
    responses = await make_entry_vms(fake).query_each("/explain/7")
    assert set(responses) == {"entry-1", "entry-2"}
    assert fake.queried.count("10.0.0.2/explain/7") == 1
    assert len(fake.queried) == 3


async def test_error_without_any_response_names_the_addresses():
    with pytest.raises(errors.CommandError, match=r"10\.0\.0\.1:8081"):
        await make_entry_vms(FakeAdmin(count=1, silent=(1,))).statuses()
