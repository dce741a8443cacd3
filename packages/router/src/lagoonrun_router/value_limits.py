"""How long the values of the store's keys may be."""

from lagoonrun_router import dialect

_MAX_ENTRY_BYTES = 16 * 1024
"""Longest entry that an upstream, an entry VM or an operator writes, several
times over: a block of 64 prompt parts has 5 KiB, other entries some 400 bytes.
Each entry VM keeps all of them."""

_MAX_DECLARATIONS_BYTES = 16 * 1024 * 1024


class ValueLimits:
    """`ValueLimit` of what the router reads; other keys are not read.

    Parameters
    ----------
    layout
        Keys of the store.
    """

    def __init__(self, *, layout: dialect.StoreLayout) -> None:
        self._declarations_key = layout.declarations_key
        self._prefixes = (
            layout.upstreams_prefix,
            layout.entry_vms_prefix,
            layout.blocked_requests_prefix,
            layout.overrides_prefix,
        )

    def __call__(self, key: str) -> int:
        """Return the longest value of a key that is read, in bytes."""
        if key == self._declarations_key:
            return _MAX_DECLARATIONS_BYTES
        return _MAX_ENTRY_BYTES if key.startswith(self._prefixes) else 0
