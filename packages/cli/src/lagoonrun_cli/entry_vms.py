"""Status of all entry VMs, discovered through some known addresses."""

import asyncio
import dataclasses
from collections.abc import Sequence
from typing import Any

from lagoonrun_cli import admin_client, errors, exit_codes
from lagoonrun_config import settings
from lagoonrun_core import errors as core_errors

MAX_QUERIED = 64
"""Maximum number of concurrent requests to entry VMs, and of entry VMs that
are polled repeatedly."""

_STATUS_PATH = "/status"
_OWN_STATUS_PATH = "/status?scope=own"
_ALIVE = "alive"
_DEAD = "dead"


@dataclasses.dataclass(frozen=True, kw_only=True)
class EntryVmStatus:
    """Status of one entry VM, from itself or from others' membership.

    Parameters
    ----------
    name
        Its id; its address if the id is unknown.
    address
        Admin address; None if unknown.
    status
        Its own response at `/status`; None if it gave none.
    gossip
        Record of it in another entry VM's membership; None if there is none.
    failure
        Why it gave no response; empty if it gave one.
    """

    name: str
    address: settings.Address | None
    status: dict[str, Any] | None = None
    gossip: dict[str, Any] | None = None
    failure: str = ""

    @property
    def revision(self) -> int:
        """Revision in force, from its own status or else from gossip."""
        known = self.status or self.gossip or {}
        return int(known.get("revision", 0))

    @property
    def state(self) -> str:
        """Membership state from gossip; without one, whether it responded."""
        if self.gossip is not None:
            return str(self.gossip.get("state", ""))
        return _ALIVE if self.status is not None else "unreachable"

    @property
    def is_alive(self) -> bool:
        """Whether it responded, or the membership has it as alive."""
        return self.status is not None or self.state == _ALIVE


class EntryVms:
    """Queries entry VMs, and discovers the others from their membership.

    Parameters
    ----------
    addresses
        Known admin addresses.
    client
        Client that sends the requests.
    """

    def __init__(
        self,
        *,
        addresses: Sequence[settings.Address],
        client: admin_client.AdminClient,
    ) -> None:
        self._addresses = tuple(addresses)
        self._client = client

    async def statuses(
        self, *, max_queried: int | None = None
    ) -> list[EntryVmStatus]:
        """Return the status of each known entry VM, ordered by name.

        Parameters
        ----------
        max_queried
            If more entry VMs are discovered, none of those is queried and
            their status is taken from gossip; None for no maximum.

        Raises
        ------
        errors.CommandError
            If none of them responds.
        """
        first = await self._query_all(self._addresses, _STATUS_PATH)
        gossip_by_name = _merge_gossip(first)
        responded = _names_of(first)
        discovered = {
            name: address
            for name, member in gossip_by_name.items()
            if name not in responded
            and (address := _admin_address(member)) is not None
            and address not in self._addresses
        }
        if max_queried is not None and len(discovered) > max_queried:
            discovered = {}
        second = await self._query_all(
            tuple(discovered.values()), _OWN_STATUS_PATH
        )
        found = _collect(first | second, gossip_by_name)
        if not any(one.status for one in found):
            raise _no_response_error(first)
        return found

    async def query_each(
        self, path: str
    ) -> dict[str, admin_client.AdminResponse | admin_client.AdminFailure]:
        """Return the response of each entry VM to `path`, by its name.

        Entry VMs that are dead according to gossip are not queried.
        """
        found = await self.statuses(max_queried=0)
        known = [one for one in found if one.address and one.state != _DEAD]
        responses = await self._query_all(
            tuple(one.address for one in known if one.address), path
        )
        return {
            one.name: responses[one.address]
            for one in known
            if one.address is not None
        }

    async def _query_all(
        self, addresses: Sequence[settings.Address], path: str
    ) -> dict[
        settings.Address, admin_client.AdminResponse | admin_client.AdminFailure
    ]:
        slots = asyncio.Semaphore(MAX_QUERIED)

        async def query(
            address: settings.Address,
        ) -> admin_client.AdminResponse | admin_client.AdminFailure:
            async with slots:
                return await self._client.get(address, path)

        responses = await asyncio.gather(*map(query, addresses))
        return dict(zip(addresses, responses, strict=True))


_Responses = dict[
    settings.Address, admin_client.AdminResponse | admin_client.AdminFailure
]


def _is_status(
    response: admin_client.AdminResponse | admin_client.AdminFailure,
) -> bool:
    return (
        isinstance(response, admin_client.AdminResponse)
        and response.status == 200
        and isinstance(response.value, dict)
    )


def _names_of(responses: _Responses) -> set[str]:
    return {
        str(response.value["entry_vm"])
        for response in responses.values()
        if _is_status(response)
    }


def _merge_gossip(responses: _Responses) -> dict[str, dict[str, Any]]:
    """Return each member's newest record, by incarnation and revision."""
    merged: dict[str, dict[str, Any]] = {}
    for response in responses.values():
        if not _is_status(response):
            continue
        for member in response.value.get("members", ()):
            known = merged.get(member["entry_vm"])
            if known is None or _recency_key(member) > _recency_key(known):
                merged[member["entry_vm"]] = member
    return merged


def _recency_key(member: dict[str, Any]) -> tuple[int, int]:
    return (int(member["incarnation"]), int(member["revision"]))


def _admin_address(member: dict[str, Any]) -> settings.Address | None:
    # A process whose admin port is chosen by the system does not publish it.
    if not member.get("admin_port"):
        return None
    return settings.Address(
        host=member["peer_host"], port=int(member["admin_port"])
    )


def _collect(
    responses: _Responses, gossip_by_name: dict[str, dict[str, Any]]
) -> list[EntryVmStatus]:
    found: dict[str, EntryVmStatus] = {}
    failure_by_address: dict[settings.Address, str] = {}
    for address, response in responses.items():
        if _is_status(response):
            name = str(response.value["entry_vm"])
            found[name] = EntryVmStatus(
                name=name,
                address=address,
                status=response.value,
                gossip=gossip_by_name.get(name),
            )
        else:
            failure_by_address[address] = _failure(response)
    for name, member in gossip_by_name.items():
        if name in found:
            continue
        address = _admin_address(member)
        found[name] = EntryVmStatus(
            name=name,
            address=address,
            gossip=member,
            failure=failure_by_address.pop(address, "not asked")
            if address
            else "admin address not known",
        )
    for address, failure in failure_by_address.items():
        found[str(address)] = EntryVmStatus(
            name=str(address), address=address, failure=failure
        )
    return [found[name] for name in sorted(found)]


def _failure(
    response: admin_client.AdminResponse | admin_client.AdminFailure,
) -> str:
    if isinstance(response, admin_client.AdminFailure):
        return f"{response.step.value}: {response.detail}"
    return f"status {response.status}"


def _no_response_error(responses: _Responses) -> errors.CommandError:
    if not responses:
        return errors.usage_error(
            "no entry VM is known; valid: --entry_vms=IP:PORT of an admin "
            "address, or entry_vms = ['IP:PORT'] in the settings file"
        )
    details = "; ".join(
        f"{address}: {_failure(response)}"
        for address, response in responses.items()
    )
    return errors.CommandError(
        code=exit_codes.ExitCode.UNAVAILABLE,
        step=core_errors.Step.PEER_CONNECT,
        detail=f"no entry VM answers: {details}",
    )
