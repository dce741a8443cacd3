"""Finding entry VMs, against a fake of their admin addresses."""

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
    """Answers for entry VMs 1 to `count`, but for the silent ones."""

    def __init__(self, *, count: int, silent: tuple[int, ...] = ()) -> None:
        self.members = [member(number + 1) for number in range(count)]
        self._silent = {f"10.0.0.{number}" for number in silent}
        self.asked: list[str] = []

    async def get(self, address, path):
        """Answer as an entry VM does."""
        self.asked.append(f"{address.host}{path}")
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
        return admin_client.AdminAnswer(status=200, value=own)


def asking(fake: FakeAdmin) -> entry_vms.EntryVms:
    return entry_vms.EntryVms(addresses=[SEED], client=fake)


async def test_others_are_learnt_and_asked_for_their_own():
    fake = FakeAdmin(count=3)
    found = await asking(fake).statuses()
    assert [one.name for one in found] == ["entry-1", "entry-2", "entry-3"]
    assert all(one.status for one in found)
    assert sorted(fake.asked) == [
        "10.0.0.1/status",
        "10.0.0.2/status?scope=own",
        "10.0.0.3/status?scope=own",
    ]


async def test_gossip_speaks_for_a_silent_one():
    found = await asking(FakeAdmin(count=2, silent=(2,))).statuses()
    silent = found[1]
    assert (silent.status, silent.revision, silent.is_alive) == (None, 1, True)
    assert silent.failure == "peer-connect: refused"


async def test_large_fleet_is_told_by_gossip():
    """An operator applies a change in a fleet of 200 entry VMs.

    Asking each of them four times a second would cost the fleet more than
    the change itself; gossip knows every revision.
    """
    fake = FakeAdmin(count=200)
    found = await asking(fake).statuses(most_asked=64)
    assert len(found) == 200
    assert fake.asked == ["10.0.0.1/status"]
    assert {one.revision for one in found} == {1}


async def test_each_is_asked_once_and_the_dead_are_not():
    fake = FakeAdmin(count=3)
    fake.members[2] = member(3, state="dead")
    answers = await asking(fake).ask_each("/explain/7")
    assert set(answers) == {"entry-1", "entry-2"}
    assert fake.asked.count("10.0.0.2/explain/7") == 1
    assert len(fake.asked) == 3


async def test_no_answer_at_all_names_the_addresses():
    with pytest.raises(errors.CommandError, match=r"10\.0\.0\.1:8081"):
        await asking(FakeAdmin(count=1, silent=(1,))).statuses()
