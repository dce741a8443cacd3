"""`make demo`: a small deployment that serves, explains, drains and stops.

Then shows adaptive pools (`demo_load`).

Exits with 0 if every result was as expected; else prints the differences and
exits with 1.
"""

import asyncio
import json
import sys

from lagoonrun_cli import main
from lagoonrun_config import declarations
from lagoonrun_core import outcomes, types
from lagoonrun_standins import demo_load, deployment, fleet, http_client

_NORTH = types.FailureDomain("north")
_SOUTH = types.FailureDomain("south")
_ENTRY_VMS = (
    deployment.EntryVm(id=types.EntryVmId("entry-1"), domain=_NORTH),
    deployment.EntryVm(id=types.EntryVmId("entry-2"), domain=_NORTH),
    deployment.EntryVm(id=types.EntryVmId("entry-3"), domain=_SOUTH),
)
_STOP_TIMEOUT_SECONDS = 30.0

_DECLARATIONS = """
[profiles.lookup]
tier = 1
target_seconds = 0.5
limit_seconds = 2.0

[profiles.answer]
tier = 2
target_kind = "first-token"
target_seconds = 2.0
limit_seconds = 20.0

[profiles.warning]
tier = 1
target_seconds = 2.0
limit_seconds = 10.0
idempotent = false

[organisations.maison-carthage]
key_digests = ["%(digest_a)s"]
weight = 2.0

[organisations.maison-zaghouan]
key_digests = ["%(digest_b)s"]

[services.catalogue]
kind = "model"
pool = "writers"
profile = "answer"
models = ["catalogue-1"]

[services.lookups]
kind = "plain"
pool = "portal"
profile = "lookup"
path_prefix = "/portal/lookups"

[services.warnings]
kind = "plain"
pool = "portal"
profile = "warning"
path_prefix = "/portal/warnings"

[pools.writers]
[[pools.writers.upstreams]]
id = "writer-1"
domain = "north"
address = "127.0.0.1"
port = 1001
slots = 8
resumes = true

[[pools.writers.upstreams]]
id = "writer-2"
domain = "south"
address = "127.0.0.1"
port = 1002
slots = 8
resumes = true

[pools.portal]
[[pools.portal.upstreams]]
id = "portal-1"
domain = "north"
address = "127.0.0.1"
port = 1003
slots = 8

[[pools.portal.upstreams]]
id = "portal-2"
domain = "south"
address = "127.0.0.1"
port = 1004
slots = 8
"""


class _Demo:
    """Sends requests, prints the answers and collects the differences."""

    def __init__(self, *, running: deployment.Deployment) -> None:
        self._running = running
        self.differences: list[str] = []

    async def run(self) -> None:
        """Send all requests of the demo, explain one and drain an upstream."""
        house_a = types.OrganisationId("maison-carthage")
        house_b = types.OrganisationId("maison-zaghouan")
        await self._chat("entry-1", house_a, streamed=True)
        await self._chat("entry-2", house_b, streamed=False)
        last = await self._chat("entry-3", house_b, streamed=True)
        await self._plain("entry-2", house_a, "/portal/lookups/page/7")
        await self._plain("entry-3", house_b, "/portal/lookups/page/8")
        await self._send_duplicate_warning(house_a)
        await self._send_unknown_key()
        await self._explain(last)
        await self._drain_upstream()

    async def _chat(
        self,
        entry_vm: str,
        organisation: types.OrganisationId,
        *,
        streamed: bool,
    ) -> str:
        body = {
            "model": "catalogue-1",
            "messages": [{"role": "user", "content": "Which volumes?"}],
            "stream": streamed,
            "max_tokens": 12,
        }
        answer = await self._running.ask(
            types.EntryVmId(entry_vm),
            "/v1/chat/completions",
            organisation=organisation,
            body=json.dumps(body).encode(),
            headers=[("Content-Type", "application/json")],
        )
        kind = "streamed chat" if streamed else "chat"
        self._print(f"{kind} of {organisation} by {entry_vm}", answer)
        self._check(answer.status == 200, f"{kind}: {answer.status}")
        if streamed:
            done = answer.body.rstrip().endswith(b"data: [DONE]")
            self._check(done, f"{kind}: no [DONE]")
        return answer.head.headers.get("lagoonrun-request-id", "")

    async def _plain(
        self, entry_vm: str, organisation: types.OrganisationId, path: str
    ) -> None:
        answer = await self._running.ask(
            types.EntryVmId(entry_vm),
            path,
            organisation=organisation,
            method="GET",
        )
        self._print(f"GET {path} of {organisation} by {entry_vm}", answer)
        self._check_outcome(answer, 200, outcomes.Outcome.COMPLETE)

    async def _send_duplicate_warning(
        self, organisation: types.OrganisationId
    ) -> None:
        """Send one warning to two entry VMs with the same idempotency key."""
        for entry_vm, status in (("entry-1", 200), ("entry-3", 409)):
            answer = await self._running.ask(
                types.EntryVmId(entry_vm),
                "/portal/warnings/spill",
                organisation=organisation,
                body=b'{"dam": 3}',
                headers=[("Idempotency-Key", "spill-3")],
            )
            self._print(f"warning with one key by {entry_vm}", answer)
            self._check(answer.status == status, f"warning: {answer.status}")

    async def _send_unknown_key(self) -> None:
        answer = await self._running.ask(
            types.EntryVmId("entry-1"),
            "/portal/lookups/page/7",
            organisation=types.OrganisationId("nobody"),
            method="GET",
        )
        self._print("a stranger's lookup", answer)
        self._check_outcome(answer, 401, outcomes.Outcome.NOT_RUN)

    async def _explain(self, request_id: str) -> None:
        """Run `lagoonrun explain` for a request, as an operator would."""
        await self._command("explain", request_id, "--check")

    async def _drain_upstream(self) -> None:
        """Drain an upstream, check that requests are served, end the drain."""
        await self._command("drain", "portal-1")
        await self._plain(
            "entry-1",
            types.OrganisationId("maison-carthage"),
            "/portal/lookups/page/9",
        )
        await self._command("status")
        await self._command("drain", "portal-1", "--end")

    async def _command(self, *words: str) -> None:
        """Run `lagoonrun` in this process, as it would run in a shell."""
        print(f"$ lagoonrun {' '.join(words)}", flush=True)
        addresses = [
            str(self._running.process(entry_vm.id).address("admin"))
            for entry_vm in _ENTRY_VMS
        ]
        code = await main.execute(
            [
                *words,
                f"--platform={self._running.platform.address()}",
                f"--entry_vms={','.join(addresses)}",
                "--operator=demo",
            ],
            out=sys.stdout,
            err=sys.stdout,
        )
        self._check(code == 0, f"lagoonrun {words[0]} ended with {code}")

    def _print(self, label: str, answer: http_client.Answer) -> None:
        headers = answer.head.headers
        outcome = headers.get("lagoonrun-outcome", "in stream")
        text = answer.body.decode(errors="replace").strip()
        print(f"{label}: {answer.status}, outcome {outcome}")
        print(f"    {text[-120:]!r}")

    def _check_outcome(
        self,
        answer: http_client.Answer,
        status: int,
        outcome: outcomes.Outcome,
    ) -> None:
        received = answer.head.headers.get("lagoonrun-outcome")
        self._check(answer.status == status, f"status {answer.status}")
        self._check(received == outcome.value, f"outcome {received}")

    def _check(self, condition: bool, difference: str) -> None:
        if not condition:
            self.differences.append(difference)


def _declared() -> (
    declarations.InvalidDeclarations | declarations.draft_module.Draft
):
    text = _DECLARATIONS % {"digest_a": "a" * 64, "digest_b": "b" * 64}
    return declarations.parse_declarations(
        [declarations.DeclarationFile(name="demo", text=text)]
    )


async def _run() -> int:
    declared = _declared()
    if isinstance(declared, declarations.InvalidDeclarations):
        print(*declared.faults, sep="\n", file=sys.stderr)
        return 1
    processes = fleet.Fleet()
    await processes.start()
    running = deployment.Deployment(
        fleet=processes, declared=declared, entry_vms=_ENTRY_VMS
    )
    demo = _Demo(running=running)
    try:
        await running.start()
        await demo.run()
        for entry_vm in _ENTRY_VMS:
            process = running.process(entry_vm.id)
            code = await process.terminate(
                timeout_seconds=_STOP_TIMEOUT_SECONDS
            )
            print(f"{entry_vm.id} stopped with exit code {code}")
            if code != 0:
                demo.differences.append(f"{entry_vm.id} exited with {code}")
    finally:
        await processes.close()
    print(f"logs are in {processes.directory}")
    demo.differences += await demo_load.run()
    for difference in demo.differences:
        print(f"DIFFERS: {difference}", file=sys.stderr)
    return 1 if demo.differences else 0


if __name__ == "__main__":
    sys.exit(asyncio.run(_run()))
