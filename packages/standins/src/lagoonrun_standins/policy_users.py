"""Both users' current deployments, scaled down in time, for `bench_policy`.

An engine step takes 10 ms or more and an engine has 8 slots, so that one
machine can run hundreds of requests per second. The limits of the classes are
scaled by the same factor: about twice the service time of their longest answers
on an idle engine. An answer that can never meet its limit is wasted under every
policy, so it would not help to compare them.
"""

import dataclasses
import hashlib
from collections.abc import Mapping, Sequence

from lagoonrun_config import declarations, model
from lagoonrun_core import types
from lagoonrun_standins import deployment, traffic

SLOTS = 8

BURST_START_SECONDS = 4.0
BURST_END_SECONDS = 10.0

_ORGANISATION_WEIGHTS = (8.0, 6.0, 5.0, 1.0, 1.0, 1.0, 1.0, 1.0, 1.0, 1.0)
"""Relative shares of the ten organisations in the arrivals: 3 are large."""


@dataclasses.dataclass(frozen=True, kw_only=True)
class User:
    """One user's deployment and traffic.

    Parameters
    ----------
    runners_by_pool
        Failure domain of each runner, by pool.
    entry_vm_domains
        Failure domain of each entry VM.
    pool_by_class
        Pool that serves a class; each class has a service of its own.
    tier_by_class
        Tier of each class; 1 is the highest.
    non_idempotent_classes
        Classes that are not idempotent.
    straggler, crashing, silent
        Runners that get a fault: one slows down, one crashes, and one omits
        its load reports.
    frozen_pool
        Pool whose first shard's dispatcher is frozen.
    """

    name: str
    step_seconds: float
    runners_by_pool: Mapping[str, Sequence[str]]
    entry_vm_domains: Sequence[str]
    classes: Sequence[traffic.TrafficClass]
    pool_by_class: Mapping[str, str]
    tier_by_class: Mapping[str, int]
    non_idempotent_classes: frozenset[str] = frozenset()
    straggler: str
    crashing: str
    silent: str
    frozen_pool: str

    @property
    def entry_vms(self) -> tuple[deployment.EntryVm, ...]:
        """Return the entry VMs to start."""
        return tuple(
            deployment.EntryVm(
                id=types.EntryVmId(f"entry-{number}"),
                domain=types.FailureDomain(domain),
            )
            for number, domain in enumerate(self.entry_vm_domains, start=1)
        )

    @property
    def callers(self) -> tuple[traffic.Caller, ...]:
        """Return the ten organisations, 3 of them large."""
        return tuple(
            traffic.Caller(
                organisation=f"house-{number}",
                key=deployment.organisation_key(
                    types.OrganisationId(f"house-{number}")
                ),
                weight=weight,
            )
            for number, weight in enumerate(_ORGANISATION_WEIGHTS)
        )

    def declare(self) -> declarations.draft_module.Draft:
        """Return the declarations, with placeholder addresses."""
        text = "".join(
            [
                *(self._profile(c) + self._service(c) for c in self.classes),
                *(_organisation(c.organisation) for c in self.callers),
                *(
                    _runner(pool, number, domain, port=1000 * index + number)
                    for index, (pool, domains) in enumerate(
                        self.runners_by_pool.items(), start=1
                    )
                    for number, domain in enumerate(domains, start=1)
                ),
            ]
        )
        draft = declarations.parse_declarations(
            [declarations.DeclarationFile(name=self.name, text=text)]
        )
        if isinstance(draft, declarations.InvalidDeclarations):
            raise ValueError("\n".join(str(fault) for fault in draft.faults))
        return draft

    def _profile(self, declared: traffic.TrafficClass) -> str:
        idempotent = declared.name not in self.non_idempotent_classes
        return (
            f"[profiles.{declared.name}]\n"
            f"tier = {self.tier_by_class[declared.name]}\n"
            f'target_kind = "{declared.target_kind.value}"\n'
            f"target_seconds = {declared.target_seconds}\n"
            f"limit_seconds = {declared.limit_seconds}\n"
            f"idempotent = {str(idempotent).lower()}\n"
        )

    def _service(self, declared: traffic.TrafficClass) -> str:
        return (
            f"[services.{declared.name}]\n"
            'kind = "model"\n'
            f'pool = "{self.pool_by_class[declared.name]}"\n'
            f'profile = "{declared.name}"\n'
            f'models = ["{declared.target}"]\n'
        )


def _organisation(name: str) -> str:
    digest = hashlib.sha256(name.encode()).hexdigest()
    return f'[organisations.{name}]\nkey_digests = ["{digest}"]\n'


def _runner(pool: str, number: int, domain: str, *, port: int) -> str:
    return (
        f"[[pools.{pool}.upstreams]]\n"
        f'id = "{pool}-{number}"\n'
        f'domain = "{domain}"\n'
        'address = "127.0.0.1"\n'
        f"port = {port}\n"
        f"slots = {SLOTS}\n"
        "resumes = true\n"
    )


def _burst(factor: float) -> tuple[traffic.Burst, ...]:
    return (
        traffic.Burst(
            start_seconds=BURST_START_SECONDS,
            end_seconds=BURST_END_SECONDS,
            factor=factor,
        ),
    )


# Capacity of a pool in tokens per second: runners x 8 slots / step. The portal
# pool has 2,400 and the transcription pool 4,000; the bursts raise the demand
# on each to three times its capacity.
CONSORTIUM = User(
    name="consortium",
    step_seconds=0.010,
    runners_by_pool={
        "transcription": (
            "tunis-a",
            "tunis-a",
            "tunis-b",
            "tunis-b",
            "tunis-c",
        ),
        "portal": ("tunis-a", "tunis-b", "tunis-c"),
    },
    entry_vm_domains=(
        "tunis-a",
        "tunis-a",
        "tunis-a",
        "tunis-b",
        "tunis-b",
        "tunis-b",
        "tunis-c",
        "tunis-c",
    ),
    classes=(
        traffic.TrafficClass(
            name="lookup",
            target="lookup",
            rate=60.0,
            target_seconds=0.3,
            limit_seconds=1.5,
            median_tokens=3.0,
            tokens_sigma=0.3,
            longest_tokens=8,
            prompt_bytes=128,
        ),
        traffic.TrafficClass(
            name="catalogue",
            target="catalogue",
            rate=34.0,
            target_seconds=1.0,
            limit_seconds=4.0,
            target_kind=model.TargetKind.FIRST_TOKEN,
            median_tokens=30.0,
            longest_tokens=200,
            bursts=_burst(5.0),
        ),
        traffic.TrafficClass(
            name="transcription",
            target="transcription",
            rate=18.0,
            target_seconds=5.0,
            limit_seconds=5.0,
            median_tokens=80.0,
            longest_tokens=250,
            bursts=_burst(5.6),
        ),
        traffic.TrafficClass(
            name="summary",
            target="summary",
            rate=3.6,
            target_seconds=8.0,
            limit_seconds=8.0,
            median_tokens=160.0,
            longest_tokens=400,
            prompt_bytes=4096,
        ),
    ),
    pool_by_class={
        "lookup": "portal",
        "catalogue": "portal",
        "transcription": "transcription",
        "summary": "transcription",
    },
    tier_by_class={
        "lookup": 1,
        "catalogue": 2,
        "transcription": 3,
        "summary": 4,
    },
    straggler="transcription-2",
    crashing="transcription-3",
    silent="portal-2",
    frozen_pool="transcription",
)

# The gauge pool has 2,667 tokens per second and the report pool 6,000.
TRUST = User(
    name="trust",
    step_seconds=0.012,
    runners_by_pool={
        "report": (
            "viti-1",
            "viti-1",
            "viti-1",
            "viti-2",
            "viti-2",
            "viti-3",
            "viti-3",
            "viti-4",
            "viti-4",
        ),
        "gauge": ("viti-1", "viti-2", "viti-3", "viti-4"),
    },
    entry_vm_domains=(
        "viti-1",
        "viti-1",
        "viti-2",
        "viti-2",
        "viti-3",
        "viti-3",
        "viti-4",
        "viti-4",
    ),
    classes=(
        traffic.TrafficClass(
            name="acknowledgement",
            target="acknowledgement",
            rate=40.0,
            target_seconds=0.3,
            limit_seconds=1.5,
            median_tokens=3.0,
            tokens_sigma=0.3,
            longest_tokens=8,
            prompt_bytes=128,
        ),
        traffic.TrafficClass(
            name="check-in",
            target="check-in",
            rate=50.0,
            target_seconds=1.0,
            limit_seconds=3.0,
            median_tokens=12.0,
            tokens_sigma=0.5,
            prompt_bytes=256,
            bursts=_burst(8.0),
        ),
        traffic.TrafficClass(
            name="warning",
            target="warning",
            rate=3.0,
            target_seconds=4.0,
            limit_seconds=8.0,
            median_tokens=60.0,
            longest_tokens=250,
            sends_keys=True,
        ),
        traffic.TrafficClass(
            name="question",
            target="question",
            rate=12.0,
            target_seconds=1.5,
            limit_seconds=6.0,
            target_kind=model.TargetKind.FIRST_TOKEN,
            median_tokens=60.0,
            longest_tokens=250,
            prompt_bytes=4096,
            bursts=_burst(5.0),
        ),
        traffic.TrafficClass(
            name="digest",
            target="digest",
            rate=16.0,
            target_seconds=6.0,
            limit_seconds=6.0,
            median_tokens=100.0,
            longest_tokens=250,
            prompt_bytes=4096,
            bursts=_burst(5.0),
        ),
    ),
    pool_by_class={
        "acknowledgement": "gauge",
        "check-in": "gauge",
        "warning": "report",
        "question": "report",
        "digest": "report",
    },
    tier_by_class={
        "acknowledgement": 1,
        "check-in": 2,
        "warning": 2,
        "question": 3,
        "digest": 5,
    },
    non_idempotent_classes=frozenset({"warning"}),
    straggler="report-2",
    crashing="report-4",
    silent="gauge-2",
    frozen_pool="report",
)

USERS_BY_NAME = {user.name: user for user in (CONSORTIUM, TRUST)}
