"""Shared fixtures: a small deployment within the test process."""

import dataclasses
import hashlib

import pytest

from lagoonrun_config import declarations, settings
from lagoonrun_core import types
from lagoonrun_daemon import daemon as daemons
from lagoonrun_standins import (
    deployment,
    engine,
    fleet,
    http_client,
    plain_service,
    platform_store,
)

INNER_KEY = b"k" * 32
ORGANISATION = types.OrganisationId("house")
_LOOPBACK = "127.0.0.1"

DECLARATIONS = """
[profiles.lookup]
tier = 1
target_seconds = 5.0
limit_seconds = 20.0

[profiles.answer]
tier = 2
target_kind = "first-token"
target_seconds = 5.0
limit_seconds = 20.0

[profiles.warning]
tier = 1
target_seconds = 5.0
limit_seconds = 20.0
idempotent = false

[profiles.brief]
tier = 1
target_seconds = 0.2
limit_seconds = 0.3
idempotent = false

[organisations.house]
key_digests = ["{house}"]

[organisations.rival]
key_digests = ["{rival}"]

[services.catalogue]
kind = "model"
pool = "writers"
profile = "answer"
models = ["catalogue-1"]

[services.lookups]
kind = "plain"
pool = "portal"
profile = "lookup"
path_prefix = "/lookups"

[services.warnings]
kind = "plain"
pool = "portal"
profile = "warning"
path_prefix = "/warnings"

[services.brief]
kind = "plain"
pool = "portal"
profile = "brief"
path_prefix = "/brief"

[services.private]
kind = "plain"
pool = "portal"
profile = "lookup"
path_prefix = "/private"
organisations = ["rival"]

[pools.writers]
[[pools.writers.upstreams]]
id = "writer-1"
domain = "north"
address = "127.0.0.1"
port = {writer_port}
slots = 8
resumes = true

[pools.portal]
[[pools.portal.upstreams]]
id = "portal-1"
domain = "north"
address = "127.0.0.1"
port = {portal_port}
slots = 8
"""


def key_digest(organisation: str) -> str:
    key = deployment.organisation_key(types.OrganisationId(organisation))
    return hashlib.sha256(key.encode()).hexdigest()


@dataclasses.dataclass(kw_only=True)
class SmallDeployment:
    """One entry VM that serves one engine and one plain service."""

    platform: platform_store.PlatformStore
    writer: engine.Engine
    portal: plain_service.PlainService
    daemon: daemons.Daemon

    async def ask(
        self,
        path: str,
        *,
        organisation: str = ORGANISATION,
        method: str = "POST",
        body: bytes = b"",
        headers: tuple[tuple[str, str], ...] = (),
    ) -> http_client.Answer:
        """Send a request as a caller."""
        key = deployment.organisation_key(types.OrganisationId(organisation))
        return await http_client.fetch(
            _LOOPBACK,
            self.daemon.caller_server.port,
            method,
            path,
            body=body,
            headers=[("Authorization", f"Bearer {key}"), *headers],
        )

    async def ask_admin(self, path: str) -> http_client.Answer:
        """Send a request as an operator."""
        port = self.daemon.admin_server.port
        return await http_client.fetch(_LOOPBACK, port, "GET", path)


def make_settings(
    *,
    platform_port: int,
    experiment: settings.Experiment | None = None,
) -> settings.Settings:
    any_port = settings.Address(host=_LOOPBACK, port=0)
    return settings.Settings(
        entry_vm=types.EntryVmId("entry-1"),
        domain=types.FailureDomain("north"),
        caller=any_port,
        admin=any_port,
        peer=fleet.free_peer_address(),
        platform=(settings.Address(host=_LOOPBACK, port=platform_port),),
        inner_key=INNER_KEY,
        readiness_grace_seconds=0.0,
        experiment=experiment or settings.Experiment(),
    )


def declare(*, writer_port: int, portal_port: int):
    text = DECLARATIONS.format(
        house=key_digest("house"),
        rival=key_digest("rival"),
        writer_port=writer_port,
        portal_port=portal_port,
    )
    draft = declarations.parse_declarations(
        [declarations.DeclarationFile(name="test", text=text)]
    )
    assert not isinstance(draft, declarations.InvalidDeclarations), draft.faults
    return draft


@pytest.fixture
def experiment_settings():
    """Return the production defaults; tests may override them."""
    return settings.Experiment()


@pytest.fixture
async def small_deployment(experiment_settings):
    platform = platform_store.PlatformStore()
    writer = engine.Engine(resumes=True)
    portal = plain_service.PlainService()
    for part in (platform, writer, portal):
        await part.start()
    await deployment.apply_declarations(
        declare(writer_port=writer.port, portal_port=portal.port),
        platform=settings.Address(host=_LOOPBACK, port=platform.port),
    )
    daemon = daemons.Daemon(
        configured=make_settings(
            platform_port=platform.port, experiment=experiment_settings
        )
    )
    await daemon.start()
    await daemon.wait_ready()
    yield SmallDeployment(
        platform=platform, writer=writer, portal=portal, daemon=daemon
    )
    await daemon.close()
    for part in (portal, writer, platform):
        await part.close()
