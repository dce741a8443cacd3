"""Shared fixtures: a deployment of processes with injectable faults."""

import asyncio
import contextlib
import dataclasses
import json
import time

import pytest_asyncio

from lagoonrun_config import declarations
from lagoonrun_core import types
from lagoonrun_standins import deployment, fleet, http_client, traffic

HOUSE = types.OrganisationId("house")
RIVAL = types.OrganisationId("rival")
NORTH_1 = types.EntryVmId("north-1")
NORTH_2 = types.EntryVmId("north-2")
SOUTH_1 = types.EntryVmId("south-1")
ENTRY_VMS = (
    deployment.EntryVm(id=NORTH_1, domain=types.FailureDomain("north")),
    deployment.EntryVm(id=NORTH_2, domain=types.FailureDomain("north")),
    deployment.EntryVm(id=SOUTH_1, domain=types.FailureDomain("south")),
)
PORTALS = ("portal-1", "portal-2")
WRITERS = ("writer-1", "writer-2", "writer-3")
WARNING = "/warnings/spill"
LOOKUP = "/lookups/page"
WAIT_SECONDS = 15.0
"""Timeout of every wait; a test that exceeds it fails."""

_POLL_SECONDS = 0.02
_PROFILE = """
[profiles.{name}]
tier = {tier}
target_seconds = 0.5
limit_seconds = {limit}
idempotent = {idempotent}
"""
_SERVICE = """
[services.{name}]
kind = "plain"
pool = "portal"
profile = "{profile}"
path_prefix = "/{name}"
"""
_CHAT = """
[services.catalogue]
kind = "model"
pool = "writers"
profile = "answer"
models = ["catalogue-1"]
"""
_UPSTREAM = """
[[pools.{pool}.upstreams]]
id = "{id}"
domain = "{domain}"
address = "127.0.0.1"
port = {port}
slots = 8
resumes = {resumes}
"""
_PROFILES = (
    ("lookup", 1, 20.0, "true"),
    ("answer", 2, 20.0, "true"),
    ("warning", 1, 20.0, "false"),
    ("hurry", 3, 1.0, "true"),
)
_UPSTREAMS = (
    ("portal", "portal-1", "north", False),
    ("portal", "portal-2", "south", False),
    ("writers", "writer-1", "north", True),
    ("writers", "writer-2", "south", True),
    # The only engine of its domain that cannot resume another's stream.
    ("writers", "writer-3", "north", False),
)


def declared_text() -> str:
    """Return the declarations of the deployment as TOML."""
    parts = [
        _PROFILE.format(name=name, tier=tier, limit=limit, idempotent=repeats)
        for name, tier, limit, repeats in _PROFILES
    ]
    parts += [
        _SERVICE.format(name="lookups", profile="lookup"),
        _SERVICE.format(name="hurried", profile="hurry"),
        _SERVICE.format(name="warnings", profile="warning"),
        _CHAT,
    ]
    parts += [
        f'[organisations.{name}]\nkey_digests = ["{digit * 64}"]\n'
        for name, digit in ((HOUSE, "a"), (RIVAL, "b"))
    ]
    parts += ["[pools.portal]\n", "[pools.writers]\n"]
    for number, (pool, upstream, domain, resumes) in enumerate(_UPSTREAMS):
        parts.append(
            _UPSTREAM.format(
                pool=pool,
                id=upstream,
                domain=domain,
                port=1000 + number,
                resumes=str(resumes).lower(),
            )
        )
    return "".join(parts)


def parse(text: str):
    """Parse valid declarations into a draft."""
    draft = declarations.parse_declarations(
        [declarations.DeclarationFile(name="test", text=text)]
    )
    assert not isinstance(draft, declarations.InvalidDeclarations), draft.faults
    return draft


def chat(*, tokens: int, streamed: bool = True, content: str = "Which?"):
    """Return the body of a chat completion request."""
    return json.dumps(
        {
            "model": "catalogue-1",
            "messages": [{"role": "user", "content": content}],
            "stream": streamed,
            "metadata": {"answer_tokens": tokens},
        }
    ).encode()


def callers() -> list[traffic.Caller]:
    """Return callers of the two organisations."""
    return [
        traffic.Caller(organisation=name, key=deployment.organisation_key(name))
        for name in (HOUSE, RIVAL)
    ]


def chat_class(
    name: str, *, rate: float, streams: bool, tokens: float = 20.0
) -> traffic.TrafficClass:
    """Return a traffic class of chat completions."""
    return traffic.TrafficClass(
        name=name,
        target="catalogue-1",
        rate=rate,
        target_seconds=5.0,
        limit_seconds=20.0,
        median_tokens=tokens,
        prompt_bytes=256,
        streams=streams,
    )


def entry_addresses(trial: "Trial"):
    """Return the caller addresses of all entry VMs."""
    return [trial.process(vm.id).address("caller") for vm in ENTRY_VMS]


def reported(answer: http_client.Answer) -> tuple[int, str | None]:
    """Return the status and the outcome header of a response."""
    return answer.status, answer.head.headers.get("lagoonrun-outcome")


async def until(condition, *, seconds: float = WAIT_SECONDS):
    """Poll `condition` until it is truthy, and return its value."""
    give_up_at = time.monotonic() + seconds
    while True:
        value = await condition()
        if value:
            return value
        assert time.monotonic() < give_up_at, f"{condition} stays {value!r}"
        await asyncio.sleep(_POLL_SECONDS)


@dataclasses.dataclass(kw_only=True)
class Trial:
    """A deployment with helpers to inject faults and inspect its state."""

    deployment: deployment.Deployment

    def process(self, name: str):
        """Return the process of an entry VM or stand-in."""
        return self.deployment.process(name)

    async def ask(self, entry_vm, path, *, organisation=HOUSE, **options):
        """Send a request as a caller."""
        return await self.deployment.ask(
            entry_vm, path, organisation=organisation, **options
        )

    async def warn(self, entry_vm, key: str | None = None, **options):
        """Send a request that must run at most once."""
        headers = [("Idempotency-Key", key)] if key else []
        return await self.ask(
            entry_vm, WARNING, body=b'{"dam": 3}', headers=headers, **options
        )

    async def control(self, name: str, **fields):
        """Set faults of a stand-in."""
        process = self.process(name)
        return await http_client.fetch_json(
            process.host, process.port, "/control", fields
        )

    async def clear(self, name: str, **fields):
        """Reset faults of a stand-in that may drop the control call."""
        while True:
            with contextlib.suppress(ConnectionError):
                return await self.control(name, **fields)

    async def counters(self, name: str):
        """Return the totals of a stand-in."""
        process = self.process(name)
        return await http_client.fetch_json(
            process.host, process.port, "/control/counters"
        )

    async def total(self, counter: str, names=PORTALS) -> int:
        """Return a counter summed over upstreams."""
        found = [await self.counters(name) for name in names]
        return sum(counters[counter] for counters in found)

    async def runs(self, kind: str, names=(*PORTALS, *WRITERS)):
        """Return the runs by `by_request_id` or `by_idempotency_key`."""
        counts: dict[str, int] = {}
        for name in names:
            process = self.process(name)
            found = await http_client.fetch_json(
                process.host, process.port, "/control/runs"
            )
            for key, count in found[kind].items():
                counts[key] = counts.get(key, 0) + count
        return counts

    async def runs_of_key(self, key: str) -> int:
        """Return how often upstreams ran requests with a key."""
        return (await self.runs("by_idempotency_key")).get(key, 0)

    async def status(self, entry_vm):
        """Return the admin status of an entry VM."""
        answer = await self.deployment.ask_admin(entry_vm, "/status")
        return answer.json()

    async def held(self) -> dict[str, int]:
        """Return the running and waiting counts above zero of all shards."""
        held = {}
        for vm in ENTRY_VMS:
            for shard in (await self.status(vm.id))["shards"]:
                for kind in ("running", "waiting"):
                    if shard[kind]:
                        held[f"{vm.id} {shard['shard']} {kind}"] = shard[kind]
        return held

    async def wait_nothing_held(self) -> None:
        """Wait until no scheduler holds a permit or a request."""

        async def nothing_held():
            return not await self.held()

        await until(nothing_held)

    async def platform_calls(self, kind: str) -> int:
        """Return how many calls of a kind the platform has received."""
        counters = await self.counters("platform")
        return counters["calls_by_kind"].get(kind, 0)

    async def wait_calls(self, kind: str, above: int) -> None:
        """Wait until the platform has received more calls of a kind."""

        async def more():
            return await self.platform_calls(kind) > above

        await until(more)

    async def dispatcher_of(self, pool: str, domain: str = "north") -> str:
        """Return the dispatcher of the only shard of a pool in a domain."""
        shard = f"{pool}@{domain}/0"
        shards = (await self.status(NORTH_1))["shards"]
        return next(s["dispatcher"] for s in shards if s["shard"] == shard)

    async def restart_lost(self) -> None:
        """Replace each lost entry VM by a new process."""
        lost = [vm for vm in ENTRY_VMS if not self.process(vm.id).is_running]
        async with asyncio.timeout(WAIT_SECONDS):
            for vm in lost:
                await self.deployment.start_entry_vm(vm)
            for vm in lost:
                await self.deployment.wait_ready(vm.id)
            await self.deployment.wait_members(len(ENTRY_VMS))


class Balancer:
    """Load balancer that sends each request to a ready entry VM.

    It polls readiness periodically, so it detects changes with a delay. If an
    entry VM refuses the connection, the next one is tried.
    """

    def __init__(self, *, trial: Trial) -> None:
        self._trial = trial
        self._ready: list[types.EntryVmId] = [vm.id for vm in ENTRY_VMS]
        self._turn = 0
        self._task: asyncio.Task[None] | None = None

    async def start(self) -> None:
        """Start polling readiness."""
        self._task = asyncio.create_task(self._probe_forever())

    async def close(self) -> None:
        """Stop polling."""
        if self._task:
            self._task.cancel()
            await asyncio.gather(self._task, return_exceptions=True)

    async def ask(self, path: str, **options) -> http_client.Answer:
        """Send a request as a caller to the next ready entry VM."""
        for _ in range(len(ENTRY_VMS) * 2):
            self._turn += 1
            vm = self._ready[self._turn % len(self._ready)]
            with contextlib.suppress(ConnectionRefusedError):
                return await self._trial.ask(vm, path, **options)
        raise AssertionError("no entry VM accepts connections")

    async def _probe_forever(self) -> None:
        while True:
            ready = [vm.id for vm in ENTRY_VMS if await self._is_ready(vm.id)]
            self._ready = ready or self._ready
            await asyncio.sleep(_POLL_SECONDS)

    async def _is_ready(self, entry_vm: types.EntryVmId) -> bool:
        try:
            answer = await self._trial.deployment.ask_admin(entry_vm, "/readyz")
        except (OSError, fleet.managed_process.ProcessError):
            return False
        return answer.status == 200


@pytest_asyncio.fixture(scope="module", loop_scope="module")
async def shared_trial():
    """Start a deployment that the tests of a module share."""
    processes = fleet.Fleet(stop_timeout_seconds=3.0)
    await processes.start()
    running = deployment.Deployment(
        fleet=processes,
        declared=parse(declared_text()),
        entry_vms=ENTRY_VMS,
        engine_flags={"models": "catalogue-1"},
    )
    try:
        await running.start()
        yield Trial(deployment=running)
    finally:
        await processes.close()


@pytest_asyncio.fixture(loop_scope="module")
async def trial(shared_trial):
    """Provide the deployment to a test and clear its faults afterwards."""
    yield shared_trial
    await shared_trial.control(
        "platform", outage="none", delay_seconds=0.0, lose_replies=0
    )
    for name in PORTALS:
        await shared_trial.control(name, service_seconds=0.0, frozen=False)
    for vm in ENTRY_VMS:
        with contextlib.suppress(Exception):
            shared_trial.process(vm.id).resume()
    await shared_trial.restart_lost()
