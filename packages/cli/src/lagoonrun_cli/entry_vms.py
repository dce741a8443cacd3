"""All entry VMs of the system, found through those that are known."""

import asyncio
import dataclasses
from collections.abc import Sequence
from typing import Any

from lagoonrun_cli import admin_client, errors, exit_codes
from lagoonrun_config import settings
from lagoonrun_core import errors as core_errors

MOST_ASKED = 64
"""Entry VMs that are asked at once, and most that are asked again and again."""

_STATUS_PATH = "/status"
_OWN_STATUS_PATH = "/status?scope=own"
_ALIVE = "alive"
_DEAD = "dead"


@dataclasses.dataclass(frozen=True, kw_only=True)
class EntryVmStatus:
    """What one entry VM says of itself, or what others say of it.

    Parameters
    ----------
    name
        Its id; its address where nobody has told its id.
    address
        Admin address; None where it is not known.
    status
        Its own answer at `/status`; None where it gave none.
    gossip
        What another entry VM's membership says of it; None for nothing.
    failure
        Why there is no answer of its own; empty where there is one.
    """

    name: str
    address: settings.Address | None
    status: dict[str, Any] | None = None
    gossip: dict[str, Any] | None = None
    failure: str = ""

    @property
    def revision(self) -> int:
        """Revision in force, by its own word or else by gossip."""
        known = self.status or self.gossip or {}
        return int(known.get("revision", 0))

    @property
    def state(self) -> str:
        """State in the membership, as others see it."""
        if self.gossip is not None:
            return str(self.gossip.get("state", ""))
        return _ALIVE if self.status is not None else "unreachable"

    @property
    def is_alive(self) -> bool:
        """Whether it serves, as far as anyone knows."""
        return self.status is not None or self.state == _ALIVE


class EntryVms:
    """Asks entry VMs, and learns of the others from their membership.

    Parameters
    ----------
    addresses
        Admin addresses to begin with.
    client
        Makes the requests.
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
        self, *, most_asked: int | None = None
    ) -> list[EntryVmStatus]:
        """Return one entry for each entry VM that is known, by name.

        Parameters
        ----------
        most_asked
            Where more are learnt of, none of those is asked and gossip
            speaks for them; None to ask any number.

        Raises
        ------
        errors.CommandError
            If none of them answers.
        """
        first = await self._ask_all(self._addresses, _STATUS_PATH)
        gossip_by_name = _merge_gossip(first)
        answered = _names_of(first)
        learnt = {
            name: address
            for name, member in gossip_by_name.items()
            if name not in answered
            and (address := _admin_address(member)) is not None
            and address not in self._addresses
        }
        if most_asked is not None and len(learnt) > most_asked:
            learnt = {}
        second = await self._ask_all(tuple(learnt.values()), _OWN_STATUS_PATH)
        found = _collect(first | second, gossip_by_name)
        if not any(one.status for one in found):
            raise _none_answers(first)
        return found

    async def ask_each(
        self, path: str
    ) -> dict[str, admin_client.AdminAnswer | admin_client.AdminFailure]:
        """Return the answer of each entry VM to `path`, by its name.

        Those that gossip knows as dead are not asked.
        """
        found = await self.statuses(most_asked=0)
        known = [one for one in found if one.address and one.state != _DEAD]
        answers = await self._ask_all(
            tuple(one.address for one in known if one.address), path
        )
        return {
            one.name: answers[one.address]
            for one in known
            if one.address is not None
        }

    async def _ask_all(
        self, addresses: Sequence[settings.Address], path: str
    ) -> dict[
        settings.Address, admin_client.AdminAnswer | admin_client.AdminFailure
    ]:
        room = asyncio.Semaphore(MOST_ASKED)

        async def ask(
            address: settings.Address,
        ) -> admin_client.AdminAnswer | admin_client.AdminFailure:
            async with room:
                return await self._client.get(address, path)

        answers = await asyncio.gather(*map(ask, addresses))
        return dict(zip(addresses, answers, strict=True))


_Answers = dict[
    settings.Address, admin_client.AdminAnswer | admin_client.AdminFailure
]


def _is_status(
    answer: admin_client.AdminAnswer | admin_client.AdminFailure,
) -> bool:
    return (
        isinstance(answer, admin_client.AdminAnswer)
        and answer.status == 200
        and isinstance(answer.value, dict)
    )


def _names_of(answers: _Answers) -> set[str]:
    return {
        str(answer.value["entry_vm"])
        for answer in answers.values()
        if _is_status(answer)
    }


def _merge_gossip(answers: _Answers) -> dict[str, dict[str, Any]]:
    """Return the newest record of each member, by the highest incarnation."""
    merged: dict[str, dict[str, Any]] = {}
    for answer in answers.values():
        if not _is_status(answer):
            continue
        for member in answer.value.get("members", ()):
            known = merged.get(member["entry_vm"])
            if known is None or _age_key(member) > _age_key(known):
                merged[member["entry_vm"]] = member
    return merged


def _age_key(member: dict[str, Any]) -> tuple[int, int]:
    return (int(member["incarnation"]), int(member["revision"]))


def _admin_address(member: dict[str, Any]) -> settings.Address | None:
    # A process that lets the system choose its admin port cannot tell it.
    if not member.get("admin_port"):
        return None
    return settings.Address(
        host=member["peer_host"], port=int(member["admin_port"])
    )


def _collect(
    answers: _Answers, gossip_by_name: dict[str, dict[str, Any]]
) -> list[EntryVmStatus]:
    found: dict[str, EntryVmStatus] = {}
    failure_by_address: dict[settings.Address, str] = {}
    for address, answer in answers.items():
        if _is_status(answer):
            name = str(answer.value["entry_vm"])
            found[name] = EntryVmStatus(
                name=name,
                address=address,
                status=answer.value,
                gossip=gossip_by_name.get(name),
            )
        else:
            failure_by_address[address] = _failure(answer)
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
    answer: admin_client.AdminAnswer | admin_client.AdminFailure,
) -> str:
    if isinstance(answer, admin_client.AdminFailure):
        return f"{answer.step.value}: {answer.detail}"
    return f"status {answer.status}"


def _none_answers(answers: _Answers) -> errors.CommandError:
    if not answers:
        return errors.usage_error(
            "no entry VM is known; valid: --entry_vms=IP:PORT of an admin "
            "address, or entry_vms = ['IP:PORT'] in the settings file"
        )
    details = "; ".join(
        f"{address}: {_failure(answer)}" for address, answer in answers.items()
    )
    return errors.CommandError(
        code=exit_codes.ExitCode.UNAVAILABLE,
        step=core_errors.Step.PEER_CONNECT,
        detail=f"no entry VM answers: {details}",
    )
