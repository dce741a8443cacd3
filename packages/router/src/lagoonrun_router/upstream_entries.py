"""The upstreams' entries in the store, which other writers may overwrite."""

import dataclasses
import logging
from collections.abc import Mapping

from lagoonrun_core import clock as clocks
from lagoonrun_core import events, logs, types
from lagoonrun_router import declarations, dialect, format_error, upstreams


@dataclasses.dataclass(frozen=True, kw_only=True)
class _DecodedEntry:
    """The last value of an entry; decoding one takes longer than all else."""

    value: bytes
    registration: upstreams.Registration | None


class UpstreamEntries:
    """Decodes entries of upstreams and applies them to the directory.

    An entry that cannot be decoded, or that names a pool which the declarations in
    force don't have, was not written by an upstream: it makes its upstream unusable
    until a valid entry replaces it, and says nothing else about it. An upstream may
    also register before its pool is declared; its entry is read again then.

    Parameters
    ----------
    layout
        Keys and value formats of the store.
    directory
        Receives the registrations of upstreams.
    clock
        Source of time.
    """

    def __init__(
        self,
        *,
        layout: dialect.StoreLayout,
        directory: upstreams.UpstreamDirectory,
        clock: clocks.Clock,
    ) -> None:
        self._layout = layout
        self._directory = directory
        self._clock = clock
        self._pools: frozenset[types.PoolName] | None = None
        self._unknown_pool_keys: set[str] = set()
        self._decoded_by_key: dict[str, _DecodedEntry] = {}

    def prepare(self, key: str, value: bytes) -> None:
        """Decode an entry that is about to be applied."""
        self._decode(key, value)

    def apply(self, key: str, value: bytes) -> bool:
        """Apply an entry that was just written; return whether it can be read."""
        registration = self._valid(key, value)
        if registration is None:
            self._directory.mark_unreadable(self._upstream_of(key))
            return key in self._unknown_pool_keys
        self._directory.apply_entry(
            registration, rewritten=True, now=self._clock.monotonic()
        )
        return True

    def apply_removal(self, key: str) -> None:
        """Apply the removal of an entry."""
        self._unknown_pool_keys.discard(key)
        self._decoded_by_key.pop(key, None)
        self._directory.apply_removal(
            self._upstream_of(key), now=self._clock.monotonic()
        )

    def apply_listing(
        self,
        value_by_key: Mapping[str, bytes],
        *,
        before: Mapping[str, bytes],
        restored: bool,
    ) -> None:
        """Apply a listing of all entries of upstreams.

        Parameters
        ----------
        before
            The entries that were known.
        restored
            Whether the store was restored from a backup since: entries that
            differ may be older than those that were known.
        """
        self._unknown_pool_keys &= value_by_key.keys()
        for key in self._decoded_by_key.keys() - value_by_key.keys():
            del self._decoded_by_key[key]
        registrations = []
        unreadable = []
        rewritten = set()
        for key, value in value_by_key.items():
            registration = self._valid(key, value)
            if registration is None:
                unreadable.append(self._upstream_of(key))
                continue
            registrations.append(registration)
            if not restored and before.get(key, value) != value:
                rewritten.add(registration.id)
        self._directory.apply_listing(
            registrations,
            unreadable=unreadable,
            rewritten=rewritten,
            now=self._clock.monotonic(),
        )

    def apply_declarations(
        self,
        declared: declarations.Declarations,
        value_by_key: Mapping[str, bytes],
    ) -> bool:
        """Apply the pools that are declared; return whether upstreams joined.

        Parameters
        ----------
        value_by_key
            All entries; those with a pool that is declared only now are read
            again.
        """
        pools = frozenset(declared.pools_by_name).union(
            destination.pool
            for route in declared.routes
            for destination in route.destinations
        )
        if pools == self._pools:
            return False
        self._pools = pools
        keys, self._unknown_pool_keys = self._unknown_pool_keys, set()
        applied = [
            self.apply(key, value_by_key[key])
            for key in sorted(keys & value_by_key.keys())
        ]
        return any(applied)

    def _is_foreign(self, registration: upstreams.Registration) -> bool:
        if self._pools is None or registration.pool in self._pools:
            return False
        # The pool of a known upstream may have been taken out of them.
        return self._directory.pool_of(registration.id) != registration.pool

    def _upstream_of(self, key: str) -> types.UpstreamId:
        return types.UpstreamId(key.removeprefix(self._layout.upstreams_prefix))

    def _valid(self, key: str, value: bytes) -> upstreams.Registration | None:
        """Return the upstream in an entry; None if the entry is not valid."""
        self._unknown_pool_keys.discard(key)
        registration = self._decode(key, value)
        if registration is None or not self._is_foreign(registration):
            return registration
        self._unknown_pool_keys.add(key)
        _log_rejected(key, f"pool {registration.pool!r} is not declared")
        return None

    def _decode(self, key: str, value: bytes) -> upstreams.Registration | None:
        """Return the upstream in an entry; None if it can't be read."""
        decoded = self._decoded_by_key.get(key)
        if decoded is not None and decoded.value == value:
            return decoded.registration
        registration = None
        try:
            registration = self._layout.decode_upstream(key, value)
        except format_error.FormatError as error:
            _log_rejected(key, error.detail)
        except Exception as error:
            # An entry may be written by anybody; one that the parser does not
            # expect must not hide the entries of the other upstreams.
            _log_rejected(key, repr(error))
        self._decoded_by_key[key] = _DecodedEntry(
            value=value, registration=registration
        )
        return registration


def _log_rejected(key: str, reason: str) -> None:
    logs.emit(
        events.LogEvent.UPSTREAM_ENTRY_REJECTED,
        level=logging.ERROR,
        key=key,
        reason=reason,
    )
