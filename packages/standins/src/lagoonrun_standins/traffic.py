"""Generates seeded arrivals of requests by class and organisation."""

import dataclasses
import json
import random
from collections.abc import Sequence

from lagoonrun_config import model

_CHAT_PATH = "/v1/chat/completions"
_FILLER = "gauge reading "


@dataclasses.dataclass(frozen=True, kw_only=True)
class Burst:
    """An interval in which the arrival rate of a class is multiplied."""

    start_seconds: float
    end_seconds: float
    factor: float


@dataclasses.dataclass(frozen=True, kw_only=True)
class Caller:
    """An organisation that sends requests.

    Parameters
    ----------
    key
        Bearer token.
    weight
        Share of the arrivals, relative to the other callers.
    """

    organisation: str
    key: str
    weight: float = 1.0


@dataclasses.dataclass(frozen=True, kw_only=True)
class TrafficClass:
    """Requests of one class.

    Parameters
    ----------
    target
        Model name, or the path of a plain service, which starts with a slash.
    rate
        Arrivals per second outside bursts.
    target_seconds, limit_seconds, target_kind
        Criteria of attainment and goodput, as in the profile of the class.
    median_tokens, tokens_sigma
        Lognormal distribution of answer lengths; unknown to the router.
    longest_tokens
        Maximum length of an answer.
    prompt_bytes
        Length of a prompt, without the id of its arrival.
    prefix_groups
        Number of distinct prompt prefixes per organisation.
    streams
        Whether answers are streamed.
    sends_keys
        Whether requests carry an Idempotency-Key.
    patience_seconds
        Time after which a caller disconnects; 0 for twice the limit.
    """

    name: str
    target: str
    rate: float
    target_seconds: float
    limit_seconds: float
    target_kind: model.TargetKind = model.TargetKind.TOTAL
    bursts: tuple[Burst, ...] = ()
    median_tokens: float = 40.0
    tokens_sigma: float = 0.8
    longest_tokens: int = 600
    prompt_bytes: int = 1536
    prefix_groups: int = 4
    streams: bool = True
    sends_keys: bool = False
    patience_seconds: float = 0.0

    @property
    def is_plain(self) -> bool:
        """Whether the target is a plain service."""
        return self.target.startswith("/")

    @property
    def patience(self) -> float:
        """Return the time after which a caller disconnects, in seconds."""
        return self.patience_seconds or 2 * self.limit_seconds

    def rate_at(self, seconds: float) -> float:
        """Return the arrivals per second at `seconds` from the start."""
        rate = self.rate
        for burst in self.bursts:
            if burst.start_seconds <= seconds < burst.end_seconds:
                rate *= burst.factor
        return rate

    @property
    def highest_rate(self) -> float:
        """Return an upper bound of `rate_at`."""
        rate = self.rate
        for burst in self.bursts:
            rate *= max(1.0, burst.factor)
        return rate


@dataclasses.dataclass(frozen=True, kw_only=True)
class Arrival:
    """One request and the time to send it at.

    Parameters
    ----------
    at_seconds
        Intended send time, from the start of the run.
    id
        Unique within the run; sent as Idempotency-Key and in the prompt.
    answer_tokens
        Length of the whole answer; 0 for a plain service.
    """

    at_seconds: float
    id: str
    traffic_class: TrafficClass
    caller: Caller
    path: str
    messages: tuple[dict[str, str], ...]
    body: bytes
    answer_tokens: int


def arrivals(
    classes: Sequence[TrafficClass],
    callers: Sequence[Caller],
    *,
    duration_seconds: float,
    seed: int,
) -> list[Arrival]:
    """Return the arrivals of all classes, sorted by time.

    Each class has a random number generator of its own, so that changing one
    class does not change the arrivals of the others.
    """
    found = []
    for traffic_class in classes:
        rng = random.Random(f"{seed}:{traffic_class.name}")
        times = _times(traffic_class, duration_seconds, rng)
        for number, at_seconds in enumerate(times):
            (caller,) = rng.choices(
                callers, weights=[c.weight for c in callers]
            )
            arrival_id = f"{seed}-{traffic_class.name}-{number}"
            found.append(
                _arrival(arrival_id, at_seconds, traffic_class, caller, rng)
            )
    return sorted(found, key=lambda arrival: arrival.at_seconds)


def _times(
    traffic_class: TrafficClass, duration_seconds: float, rng: random.Random
) -> list[float]:
    max_rate = traffic_class.highest_rate
    times: list[float] = []
    if max_rate <= 0:
        return times
    seconds = rng.expovariate(max_rate)
    while seconds < duration_seconds:
        if rng.random() * max_rate < traffic_class.rate_at(seconds):
            times.append(seconds)
        seconds += rng.expovariate(max_rate)
    return times


def _arrival(
    arrival_id: str,
    at_seconds: float,
    traffic_class: TrafficClass,
    caller: Caller,
    rng: random.Random,
) -> Arrival:
    group = rng.randrange(max(1, traffic_class.prefix_groups))
    prefix = f"{caller.organisation}/{traffic_class.name}/{group} "
    filler_length = max(0, traffic_class.prompt_bytes - len(prefix))
    filler = (_FILLER * (filler_length // len(_FILLER) + 1))[:filler_length]
    content = f"{prefix}{filler} {arrival_id}"
    length = traffic_class.median_tokens * rng.lognormvariate(
        0.0, traffic_class.tokens_sigma
    )
    tokens = max(1, min(traffic_class.longest_tokens, round(length)))
    messages = ({"role": "user", "content": content},)
    request = {
        "model": traffic_class.target,
        "messages": messages,
        "stream": traffic_class.streams,
        "metadata": {"answer_tokens": tokens},
    }
    is_plain = traffic_class.is_plain
    return Arrival(
        at_seconds=at_seconds,
        id=arrival_id,
        traffic_class=traffic_class,
        caller=caller,
        path=traffic_class.target if is_plain else _CHAT_PATH,
        messages=messages,
        body=content.encode() if is_plain else json.dumps(request).encode(),
        answer_tokens=0 if is_plain else tokens,
    )
