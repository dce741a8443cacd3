"""Entry VM program of a soak, which reaches upstreams over its own links.

All entry VMs read the same addresses of upstreams from the store. In this
program connections to them lead to the links of one entry VM, so that a fault
can cut one entry VM from upstreams that the others reach.
"""

import asyncio
import sys
from typing import Any

from lagoonrun_soak import planted
from lagoonrun_users_platform import main


def redirect_connections(*, host_prefix: str, link_prefix: str) -> None:
    """Replace the prefix of each host that is connected to."""
    loop_class = asyncio.SelectorEventLoop
    original = loop_class.create_connection

    async def create_connection(
        self: asyncio.SelectorEventLoop,
        protocol_factory: Any,
        host: str | None = None,
        port: int | None = None,
        **options: Any,
    ) -> Any:
        if host is not None and host.startswith(host_prefix):
            host = link_prefix + host.removeprefix(host_prefix)
        return await original(self, protocol_factory, host, port, **options)

    loop_class.create_connection = create_connection


def _run() -> int:
    _, host_prefix, link_prefix, defect = sys.argv
    redirect_connections(host_prefix=host_prefix, link_prefix=link_prefix)
    if defect:
        planted.plant(planted.PlantedDefect(defect))
    return main.run()


if __name__ == "__main__":
    sys.exit(_run())
