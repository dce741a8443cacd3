"""Table of waiting and running requests, by permit and by ingress."""

import collections
import dataclasses

from lagoonrun_core import types
from lagoonrun_policy import class_state, fair_queue, messages

_MAX_ENDED_KEYS = 4096
_GONE_GRACE_SECONDS = 3.0
_SILENCE_SECONDS = 60.0


@dataclasses.dataclass(eq=False, kw_only=True, slots=True)
class RunningPermit:
    """A granted request that holds a slot.

    Parameters
    ----------
    charged
        Tokens charged to the organisation so far.
    floor
        Whether the grant was made on the class's floor.
    missed_digests
        Consecutive digests of its ingress that did not list it.
    grant
        The grant sent to the ingress; None if registered from a digest.
    """

    key: messages.PermitKey
    ingress: types.EntryVmId
    state: class_state.ClassState | None
    organisation: types.OrganisationId
    upstream: types.UpstreamId
    granted_at: float
    charged: float = 0.0
    tokens: int = 0
    progressed_at: float = 0.0
    floor: bool = False
    cut: bool = False
    missed_digests: int = 0
    grant: messages.Grant | None = None


@dataclasses.dataclass(eq=False, kw_only=True, slots=True)
class QueuedPermit:
    """A waiting request and the class in whose queue it is."""

    waiting: fair_queue.WaitingRequest
    state: class_state.ClassState
    missed_digests: int = 0


class PermitTable:
    """Permits of one shard.

    Ended keys are remembered for a while: a late message must not register
    an ended permit again, since its slot would never be freed.
    """

    def __init__(self) -> None:
        self.queued_by_key: dict[messages.PermitKey, QueuedPermit] = {}
        self.running_by_key: dict[messages.PermitKey, RunningPermit] = {}
        self._keys_by_ingress: dict[
            types.EntryVmId, set[messages.PermitKey]
        ] = {}
        self._last_contact: dict[types.EntryVmId, float] = {}
        self._gone_at: dict[types.EntryVmId, float] = {}
        self._ended: collections.OrderedDict[messages.PermitKey, None] = (
            collections.OrderedDict()
        )

    def add_queued(self, key: messages.PermitKey, queued: QueuedPermit) -> None:
        """Add a waiting request."""
        self.queued_by_key[key] = queued
        self._key_set(queued.waiting.request.ingress).add(key)

    def remove_queued(self, key: messages.PermitKey) -> QueuedPermit | None:
        """Remove and return a waiting request; None if there is none."""
        queued = self.queued_by_key.pop(key, None)
        if queued is not None:
            self._drop_key(queued.waiting.request.ingress, key)
        return queued

    def add_running(self, running: RunningPermit) -> None:
        """Add a granted request."""
        self.running_by_key[running.key] = running
        self._key_set(running.ingress).add(running.key)

    def remove_running(self, key: messages.PermitKey) -> RunningPermit | None:
        """Remove and return a granted request; None if there is none."""
        running = self.running_by_key.pop(key, None)
        if running is not None:
            self._drop_key(running.ingress, key)
        return running

    def record_ended(self, key: messages.PermitKey) -> None:
        """Record that the permit has ended."""
        self._ended[key] = None
        if len(self._ended) > _MAX_ENDED_KEYS:
            self._ended.popitem(last=False)

    def has_ended(self, key: messages.PermitKey) -> bool:
        """Return whether the permit is known to have ended."""
        return key in self._ended

    def record_contact(self, ingress: types.EntryVmId, now: float) -> None:
        """Record that a message of an ingress was received."""
        self._last_contact[ingress] = now

    def record_gone(self, ingress: types.EntryVmId, now: float) -> None:
        """Record that an ingress was declared dead."""
        self._last_contact.pop(ingress, None)
        self._gone_at[ingress] = now

    def may_register(self, ingress: types.EntryVmId, now: float) -> bool:
        """Return whether an ingress's digest may register running requests.

        A digest in transit when its sender died would occupy slots that
        nothing frees. A sender that is alive sends another.
        """
        gone_at = self._gone_at.get(ingress)
        if gone_at is None:
            return True
        if now - gone_at < _GONE_GRACE_SECONDS:
            return False
        del self._gone_at[ingress]
        return True

    def silent_ingresses(self, now: float) -> list[types.EntryVmId]:
        """Return ingresses that hold permits but have sent nothing lately.

        A request may be granted just after its ingress was declared dead;
        no other event would free that slot.
        """
        return [
            ingress
            for ingress in self._keys_by_ingress
            if now - self._last_contact.setdefault(ingress, now)
            > _SILENCE_SECONDS
        ]

    def keys_of(self, ingress: types.EntryVmId) -> list[messages.PermitKey]:
        """Return the keys of all permits of an ingress, sorted."""
        keys = self._keys_by_ingress.get(ingress, set())
        return sorted(keys, key=lambda k: (k.request_id, k.attempt_id))

    def _key_set(self, ingress: types.EntryVmId) -> set[messages.PermitKey]:
        return self._keys_by_ingress.setdefault(ingress, set())

    def _drop_key(
        self, ingress: types.EntryVmId, key: messages.PermitKey
    ) -> None:
        keys = self._keys_by_ingress.get(ingress)
        if keys is None:
            return
        keys.discard(key)
        if not keys:
            del self._keys_by_ingress[ingress]
