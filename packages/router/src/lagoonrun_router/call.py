"""One request of a caller, with all that routing decisions use."""

import dataclasses
from collections.abc import Mapping

from lagoonrun_core import types
from lagoonrun_http import messages as http_messages
from lagoonrun_router import declarations, stream_origin


@dataclasses.dataclass(frozen=True, kw_only=True)
class PromptPart:
    """A sequence of tokens at a fixed position in a prompt.

    Parameters
    ----------
    id
        The same for all prompts that have this part after the same prefix.
    """

    id: str
    tokens: int


@dataclasses.dataclass(frozen=True, kw_only=True)
class CallAttributes:
    """What a caller states about its request.

    Parameters
    ----------
    key
        Bearer key; None if none was sent.
    patience_seconds
        How long the caller waits after it sent the request; None if unstated.
    prompt
        Parts of the prompt in order; the last one is not shared with other
        requests.
    prompt_tokens
        Number of tokens of the whole prompt; 0 for plain services.
    resumes_after
        Id of the event after which a broken stream is to be resumed; empty for
        a stream from its beginning.
    resumes_request
        Earlier request of the caller that brought the first event of the stream
        to be resumed; empty if unstated.
    model
        Name of the model that is to answer; empty if unstated.
    """

    request_id: types.RequestId
    host: str
    key: str | None = None
    patience_seconds: float | None = None
    prompt: tuple[PromptPart, ...] = ()
    prompt_tokens: int = 0
    resumes_after: str = ""
    resumes_request: types.RequestId = types.NO_REQUEST
    model: str = ""


@dataclasses.dataclass(frozen=True, kw_only=True)
class Call:
    """A request that is being served.

    Parameters
    ----------
    urgency
        Position in the order of service, 0 for the most urgent: by the tier of
        the class, then by that of the organisation.
    last_urgency
        Position after all requests of the pool.
    pool_tiers
        Tiers of all classes of the pool.
    tightest_pause_seconds
        Smallest `longest_pause_seconds` of any class of the pool; None if no
        class has one.
    arrived_at
        Reading of the clock when the request head was complete.
    limit_at
        Reading of the clock at which the caller gets a final answer, whatever
        the state of the request.
    revision
        Revision of the declarations by which the request was resolved.
    digest
        The same for each repetition of the request by its caller.
    parts
        Digests of the parts of its prompt that other requests may share.
    tier_targets
        Smallest target in seconds of each tier of the pool.
    found_origin
        Where the stream began that this request takes up; None for a stream
        from its beginning and for other requests.
    """

    attributes: CallAttributes
    head: http_messages.RequestHead
    body: bytes
    route: declarations.Route
    pool: declarations.Pool
    organisation: declarations.RankedOrganisation | None
    urgency: int
    last_urgency: int
    pool_tiers: tuple[types.Tier, ...]
    tightest_pause_seconds: float | None
    arrived_at: float
    limit_at: float
    revision: types.Revision
    digest: types.RequestDigest = types.UNKNOWN_REQUEST
    parts: tuple[types.PromptPartDigest, ...] = ()
    tier_targets: Mapping[types.Tier, float] = dataclasses.field(
        default_factory=dict
    )
    found_origin: stream_origin.FoundOrigin | None = None

    @property
    def request_id(self) -> types.RequestId:
        """Id of the request, chosen by the caller."""
        return self.attributes.request_id

    @property
    def tier(self) -> types.Tier:
        """Tier of the request's class."""
        return self.route.profile.tier

    @property
    def idempotent(self) -> bool:
        """Whether the request may run more than once."""
        return self.route.profile.idempotent

    @property
    def patience_seconds(self) -> float:
        """Longest wait for the first event of a stream, or for the answer."""
        limit_seconds = self.limit_at - self.arrived_at
        if self.route.patience_seconds is None:
            return limit_seconds
        return min(limit_seconds, self.route.patience_seconds)

    @property
    def streamed(self) -> bool:
        """Whether the answer is a stream of events."""
        return self.route.answer_kind is declarations.AnswerKind.EVENTS

    @property
    def shared_tokens(self) -> int:
        """Number of tokens in the parts that other requests may share."""
        return sum(part.tokens for part in self.attributes.prompt[:-1])

    @property
    def affinity_part(self) -> PromptPart | None:
        """The part by which requests are routed to the same upstream.

        The largest shared part, because its prefill is the most expensive.
        """
        shared = self.attributes.prompt[:-1]
        if not shared:
            return None
        return max(shared, key=lambda part: part.tokens)
