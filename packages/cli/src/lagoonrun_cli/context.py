"""Context of every command: settings, console and access to the system."""

import asyncio
import contextlib
import dataclasses
import random
import secrets
from collections.abc import AsyncIterator, Awaitable, Callable

from lagoonrun_cli import console as consoles
from lagoonrun_cli import errors, operator_settings
from lagoonrun_config import configuration_store
from lagoonrun_core import clock as clocks
from lagoonrun_core import types
from lagoonrun_platform import etcd_gateway

_CHANGE_ID_BYTES = 8
_FIRST_DELAY_SECONDS = 0.05
_CALL_TIMEOUT_SECONDS = 3.0

Sleep = Callable[[float], Awaitable[None]]


@dataclasses.dataclass(frozen=True, kw_only=True)
class Context:
    """Objects that all commands use.

    Parameters
    ----------
    sleep
        Waits between two polls of the entry VMs.
    first_delay_seconds
        Retry delay after the first failed call to the platform.
    call_timeout_seconds
        Time limit of one call to the platform.
    """

    settings: operator_settings.OperatorSettings
    console: consoles.Console
    clock: clocks.Clock = dataclasses.field(default_factory=clocks.SystemClock)
    rng: random.Random = dataclasses.field(default_factory=random.SystemRandom)
    sleep: Sleep = asyncio.sleep
    first_delay_seconds: float = _FIRST_DELAY_SECONDS
    call_timeout_seconds: float = _CALL_TIMEOUT_SECONDS

    @contextlib.asynccontextmanager
    async def open_store(
        self,
    ) -> AsyncIterator[configuration_store.ConfigurationStore]:
        """Yield the platform's configuration store.

        Raises
        ------
        errors.CommandError
            If the settings have no address of the platform.
        """
        if not self.settings.platform:
            raise errors.usage_error(
                "no address of the platform; valid: --platform=IP:PORT, or "
                "platform = ['IP:PORT'] in the settings file"
            )
        gateway = etcd_gateway.EtcdGateway(
            addresses=self.settings.platform,
            clock=self.clock,
            rng=self.rng,
            call_timeout_seconds=self.call_timeout_seconds,
        )
        try:
            yield configuration_store.ConfigurationStore(
                store=gateway,
                rng=self.rng,
                first_delay_seconds=self.first_delay_seconds,
            )
        finally:
            await gateway.close()


def new_change_id() -> types.ChangeId:
    """Return a random id for one change."""
    return types.ChangeId(secrets.token_hex(_CHANGE_ID_BYTES))
