"""Addresses, request classes and declarations of a soak's deployment."""

import dataclasses
import hashlib
import os
from collections.abc import Iterable

from lagoonrun_config import model
from lagoonrun_core import types
from lagoonrun_router import declarations, retry_budget, settings, upstreams

CALLER_PORT = 8227
READINESS_PORT = 8220
PEER_PORT = 7340
STORE_PORT = 8223
UPSTREAM_PORT = 9000

STOP_SECONDS = 8.0
"""Time from the stop signal until an entry VM is killed."""

HOST = "soak.test"
PLAIN = types.PoolName("portal")
ENGINES = types.PoolName("readers")
ORGANISATION = types.OrganisationId("house")
BURSTING_ORGANISATION = types.OrganisationId("guild")
"""Organisation whose callers send many times their usual in a burst."""

THIRD_ORGANISATION = types.OrganisationId("annex")
STABLE_KEY = "key-stable"
KEYS_BY_OTHER_ORGANISATION = {
    BURSTING_ORGANISATION: "key-guild",
    THIRD_ORGANISATION: "key-annex",
}
"""The only key of each organisation other than `ORGANISATION`, in every
revision."""

DOMAINS = (types.FailureDomain("north"), types.FailureDomain("south"))

EVENTS = 8
"""Number of events in a stream: enough that faults occur while it is sent."""

ENGINE_SLOTS = 6

_UPSTREAM_LINK_GROUP = 3
_FIRST_VM_GROUP = 10
"""Third octets of the links to upstreams: of all entry VMs, and of the first
one."""


@dataclasses.dataclass(frozen=True, kw_only=True)
class RequestKind:
    """A class of requests with its route."""

    route: declarations.Route
    prompt_tokens: int = 0

    @property
    def name(self) -> str:
        """Name of the route and of the class."""
        return self.route.name

    @property
    def runs_once(self) -> bool:
        """Whether a request must run at most once."""
        return not (self.route.profile.idempotent or self.route.resumable)

    @property
    def streamed(self) -> bool:
        """Whether the response is a stream of events."""
        return self.route.answer_kind is declarations.AnswerKind.EVENTS


def _route(
    name: str,
    *,
    tier: int,
    pool: types.PoolName = PLAIN,
    idempotent: bool = False,
    streamed: bool = False,
    resumable: bool = False,
) -> declarations.Route:
    return declarations.Route(
        name=name,
        host=HOST,
        path_prefix=f"/{name}/",
        profile=model.Profile(
            name=types.ProfileName(name),
            tier=types.Tier(tier),
            target_seconds=0.5,
            limit_seconds=5.0 if streamed else 2.0,
            idempotent=idempotent,
            maximum_attempts=2,
            target_kind=model.TargetKind.FIRST_TOKEN
            if streamed
            else model.TargetKind.TOTAL,
        ),
        destinations=(declarations.Destination(pool=pool),),
        answer_kind=declarations.AnswerKind.EVENTS
        if streamed
        else declarations.AnswerKind.WHOLE,
        resumable=resumable,
        longest_pause_seconds=0.5 if streamed else None,
    )


LOOKUP = RequestKind(route=_route("lookup", tier=1))
CHECK = RequestKind(route=_route("check", tier=2, idempotent=True))
ASK = RequestKind(
    route=_route("ask", tier=1, pool=ENGINES, streamed=True),
    prompt_tokens=1000,
)
SUMMARY = RequestKind(
    route=_route(
        "summary", tier=3, pool=ENGINES, streamed=True, resumable=True
    ),
    prompt_tokens=6000,
)
ENGINE_KINDS = (ASK, SUMMARY)

INSTRUCTIONS_PART = "a1"
"""Id of the first part of all prompts."""

_MANUAL_PARTS = ("b0", "b1", "b2", "b3")
_CRASHING_PART_PREFIX = "dead"


def manual_part(caller: str) -> str:
    """Return the id of the second part of a caller's prompts."""
    return _MANUAL_PARTS[sum(caller.encode()) % len(_MANUAL_PARTS)]


def crashing_part(number: int) -> str:
    """Return the id of a part that crashes upstreams."""
    return f"{_CRASHING_PART_PREFIX}{number:04x}"


def has_crashing_part(parts: Iterable[str]) -> bool:
    """Return whether upstreams crash on a prompt."""
    return any(one.startswith(_CRASHING_PART_PREFIX) for one in parts)


KINDS_BY_NAME = {kind.name: kind for kind in (LOOKUP, CHECK, ASK, SUMMARY)}


def added_key(revision: int) -> str:
    """Return the key that a revision of the declarations adds."""
    return f"key-of-{revision}"


def keys_at(revision: int) -> tuple[str, ...]:
    """Return all keys of a revision: each adds one and removes none."""
    return (
        STABLE_KEY,
        *(added_key(number) for number in range(1, revision + 1)),
    )


def keys_by_organisation_at(
    revision: int,
) -> dict[types.OrganisationId, tuple[str, ...]]:
    """Return all keys of a revision by organisation."""
    others = {id: (key,) for id, key in KEYS_BY_OTHER_ORGANISATION.items()}
    return {ORGANISATION: keys_at(revision), **others}


def declarations_at(revision: int) -> declarations.Declarations:
    """Return the declarations of a revision."""
    return declarations.Declarations(
        revision=types.Revision(revision),
        routes=tuple(kind.route for kind in KINDS_BY_NAME.values()),
        pools_by_name={
            PLAIN: declarations.Pool(name=PLAIN, maximum_connections=200),
            ENGINES: declarations.Pool(
                name=ENGINES,
                maximum_connections=200,
                engine=declarations.Engine(
                    slots=ENGINE_SLOTS, cache_tokens=100_000
                ),
            ),
        },
        organisations_by_id={
            id: declarations.RankedOrganisation(
                id=id,
                key_digests=tuple(
                    hashlib.sha256(key.encode()).hexdigest() for key in keys
                ),
            )
            for id, keys in keys_by_organisation_at(revision).items()
        },
        caller_limits=declarations.CallerLimits(
            header_bytes=16_384,
            body_bytes=100_000,
            header_read_seconds=3.0,
            idle_seconds=15.0,
        ),
    )


@dataclasses.dataclass(frozen=True, kw_only=True)
class Network:
    """Loopback addresses of one soak, so that several can run concurrently.

    Parameters
    ----------
    octet
        Second octet of all addresses.
    """

    octet: int

    @classmethod
    def of_process(cls) -> "Network":
        """Return the network of this process."""
        return cls(octet=20 + os.getpid() % 200)

    def _address(self, group: int, index: int, port: int) -> settings.Address:
        return settings.Address(
            host=f"127.{self.octet}.{group}.{index + 1}", port=port
        )

    @property
    def store(self) -> settings.Address:
        """Address at which the store listens, behind the links."""
        return self._address(1, 0, STORE_PORT)

    def store_link(self, vm: int) -> settings.Address:
        """Return the address at which one entry VM reaches the store.

        The host is the same for all entry VMs, as on the platform: it tells
        them that they belong to one fleet.
        """
        return self._address(2, 0, STORE_PORT + vm)

    def upstream_link(self, index: int) -> settings.Address:
        """Return the address at which entry VMs reach an upstream."""
        return self._address(_UPSTREAM_LINK_GROUP, index, UPSTREAM_PORT)

    def upstream_link_of(self, vm: int, index: int) -> settings.Address:
        """Return the address of the link from one entry VM to an upstream."""
        return self._address(_FIRST_VM_GROUP + vm, index, UPSTREAM_PORT)

    def link_prefixes_of(self, vm: int) -> tuple[str, str]:
        """Return the prefixes of the two addresses above.

        The first is that of the hosts that entry VMs read from the store, the
        second that of the hosts that one entry VM connects to instead.
        """
        return (
            f"127.{self.octet}.{_UPSTREAM_LINK_GROUP}.",
            f"127.{self.octet}.{_FIRST_VM_GROUP + vm}.",
        )

    def upstream(self, index: int) -> settings.Address:
        """Return the address at which an upstream listens, behind its link."""
        return self._address(4, index, UPSTREAM_PORT)

    def peer(self, vm: int) -> settings.Address:
        """Return the address at which an entry VM receives from its peers."""
        return self._address(0, vm, PEER_PORT)

    def settings_of(self, vm: int, *, vms: int) -> settings.RouterSettings:
        """Return the settings of one entry VM of a fleet."""
        return settings.RouterSettings(
            entry_vm=types.EntryVmId(f"vm-{vm}"),
            domain=DOMAINS[vm % len(DOMAINS)],
            caller=self._address(0, vm, CALLER_PORT),
            readiness=self._address(0, vm, READINESS_PORT),
            peer=self.peer(vm),
            metrics=None,
            seeds=tuple(self.peer(seed) for seed in range(min(vms, 3))),
            store=self.store_link(vm),
            stop_seconds=STOP_SECONDS,
            retry_allowance=retry_budget.Allowance(
                ratio=0.2, window_seconds=10.0, fixed=50.0
            ),
            reuse_seconds=10.0,
        )

    def registration(
        self,
        index: int,
        pool: types.PoolName,
        version: types.UpstreamVersion,
    ) -> upstreams.Registration:
        """Return the registration of the upstream with an index."""
        link = self.upstream_link(index)
        return upstreams.Registration(
            id=types.UpstreamId(f"u-{index}"),
            pool=pool,
            domain=DOMAINS[index % len(DOMAINS)],
            host=link.host,
            port=link.port,
            slots=ENGINE_SLOTS if pool == ENGINES else 16,
            version=version,
        )
