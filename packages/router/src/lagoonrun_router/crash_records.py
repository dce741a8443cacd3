"""Records of requests that ran at an upstream when it crashed."""

import dataclasses

from lagoonrun_core import types
from lagoonrun_router import running_requests

Suspect = types.RequestDigest | types.PromptPartDigest
"""What may crash upstreams: a request as a whole, or a part of a prompt."""

Charge = tuple[Suspect, running_requests.UpstreamInstance]
"""A crash that counts against a suspect."""

_SEPARATOR = "+"

_MAX_NAMED_PARTS = 4
"""Maximum number of parts in the id of a block, which is part of a store key."""


@dataclasses.dataclass(frozen=True, kw_only=True)
class CrashRecord:
    """A request that ran at an upstream when it crashed.

    Parameters
    ----------
    instance
        Instance of the upstream.
    route
        Route of the request, for operators.
    seen_at
        Monotonic time of the crash, as known here.
    silent
        Whether the caller had received nothing of the answer.
    void
        Whether the request was answered or unblocked since.
    parts
        Parts of its prompt that other requests may share.
    version
        Software version of the upstream.
    ran_seconds
        Time from the write of the request to the crash.
    """

    request: types.RequestDigest
    instance: running_requests.UpstreamInstance
    route: str
    seen_at: float
    silent: bool = True
    void: bool = False
    parts: tuple[types.PromptPartDigest, ...] = ()
    version: str = ""
    ran_seconds: float = 0.0

    @property
    def begun_at(self) -> float:
        """Monotonic time at which the request was written."""
        return self.seen_at - self.ran_seconds

    @property
    def suspects(self) -> tuple[Suspect, ...]:
        """The request and the parts of its prompt, each once."""
        return tuple(dict.fromkeys((self.request, *self.parts)))


@dataclasses.dataclass(frozen=True, kw_only=True)
class Block:
    """Requests that are not sent to any upstream.

    Parameters
    ----------
    request
        The only request that is blocked; None for all that have `parts`.
    parts
        Parts of a prompt; a request is blocked if it has all of them.
    records
        One of the blocked requests for each upstream instance that they
        crashed, the newest last.
    until
        Monotonic time from which they may be sent again.
    """

    records: tuple[CrashRecord, ...]
    until: float
    request: types.RequestDigest | None = None
    parts: frozenset[types.PromptPartDigest] = frozenset()

    @property
    def id(self) -> types.BlockId:
        """The digest of the request, or those of the parts."""
        if self.request is not None:
            return types.BlockId(self.request)
        named = sorted(self.parts)[:_MAX_NAMED_PARTS]
        return types.BlockId(_SEPARATOR.join(named))

    @property
    def suspects(self) -> frozenset[Suspect]:
        """The request, or the parts."""
        if self.request is not None:
            return frozenset({self.request})
        return self.parts

    @property
    def route(self) -> str:
        """Route of the newest crash, for operators."""
        return self.records[-1].route

    @property
    def crashes(self) -> tuple[running_requests.UpstreamInstance, ...]:
        """Upstream instances that crashed, the newest last."""
        return tuple(one.instance for one in self.records)
