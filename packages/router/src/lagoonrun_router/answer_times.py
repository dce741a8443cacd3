"""When upstreams last answered a request or a prompt part completely."""

import collections
import dataclasses

from lagoonrun_router import crash_records

ALL_VERSIONS = "*"
"""Version of an answer that counts for each version: an operator's lift."""


@dataclasses.dataclass(frozen=True, kw_only=True)
class Answer:
    """A complete answer to a request, or to one with a prompt part.

    Parameters
    ----------
    version
        Software version of the upstream; `ALL_VERSIONS` after an operator has
        lifted a block.
    begun_at
        Monotonic time at which the run began. It was harmless then, and shows
        nothing about upstreams that crashed later.
    """

    suspect: crash_records.Suspect
    version: str
    begun_at: float


class AnswerTimes:
    """The newest answer by suspect and version.

    Parameters
    ----------
    maximum
        Maximum number of suspects; those answered longest ago are evicted.
    """

    def __init__(self, *, maximum: int) -> None:
        self._maximum = maximum
        self._begun_at_by_version: collections.OrderedDict[
            crash_records.Suspect, dict[str, float]
        ] = collections.OrderedDict()
        self._recorded_at: dict[crash_records.Suspect, float] = {}

    def begun_at(
        self, suspect: crash_records.Suspect, version: str | None = None
    ) -> float:
        """Return when the last answered run began; minus infinity for none.

        Parameters
        ----------
        version
            None for any version of an upstream.
        """
        by_version = self._begun_at_by_version.get(suspect)
        if not by_version:
            return float("-inf")
        if version is not None:
            return max(
                by_version.get(version, float("-inf")),
                by_version.get(ALL_VERSIONS, float("-inf")),
            )
        return max(
            (at for one, at in by_version.items() if one != ALL_VERSIONS),
            default=float("-inf"),
        )

    def answers(self, *, since: float) -> tuple[Answer, ...]:
        """Return the answers to suspects that were recorded since then."""
        return tuple(
            Answer(suspect=suspect, version=version, begun_at=at)
            for suspect, recorded_at in self._recorded_at.items()
            if recorded_at >= since
            for version, at in self._begun_at_by_version[suspect].items()
        )

    def record(self, answer: Answer, *, now: float) -> bool:
        """Record an answer; return whether it is newer than the known ones."""
        by_version = self._begun_at_by_version.setdefault(answer.suspect, {})
        self._begun_at_by_version.move_to_end(answer.suspect)
        while len(self._begun_at_by_version) > self._maximum:
            evicted, _ = self._begun_at_by_version.popitem(last=False)
            self._recorded_at.pop(evicted, None)
        if answer.begun_at <= by_version.get(answer.version, float("-inf")):
            return False
        by_version[answer.version] = answer.begun_at
        self._recorded_at[answer.suspect] = now
        return True
