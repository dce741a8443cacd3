"""Whether a run that shows no progress is moved to another upstream.

Silence proves neither that an upstream is dead nor that another attempt would
be faster, so it ends no run by itself. Pure functions; docs/design/silence.md
has the reasons.
"""

import dataclasses
import enum

ASK_AGAIN_SECONDS = 0.1
"""Time after which the question is asked again for a run that was kept. Callers
leave a stream after two seconds without an event at the earliest."""

_RECENT_FRACTION = 0.5
"""Part of the allowed silence in which another upstream must have been heard.
Upstreams that fall silent together differ by one pause between two events, a
third of the allowed silence at most."""

_URGENT_FACTOR = 1.5
"""Silence, as a multiple of the allowed one, from which a run also goes to an
upstream that has no free slot, or from which nothing is awaited while the others
are silent. Processes that stand still together often go on sooner; a run that
waits for a dead one has to move before its caller leaves, after two seconds at
the earliest."""

_SLOTS_PER_MOVE = 8
"""Slots of an upstream for each run that this entry VM moves there before it has
answered the one before. A moved run has its prompt prefilled again; its first
event shows that the upstream bears it."""


class Verdict(enum.Enum):
    """Whether a silent run is moved, or why it is kept."""

    MOVE = "move"
    NO_ATTEMPT = "no-attempt"
    """No further upstream may be sent the request."""

    NO_BUDGET = "no-budget"
    """The retry budget of the pool is spent."""

    NO_TARGET = "no-target"
    """No other upstream may continue it, or none that could has room."""

    NONE_HEARD = "none-heard"
    """All other upstreams that could continue it are silent too."""

    TARGETS_BUSY = "targets-busy"
    """The heard ones have no free slot, or have not answered the runs that were
    moved there."""


class Fitness(enum.Enum):
    """Whether a run may be moved to an upstream."""

    HEARD = "heard"
    """It was heard lately and has a free slot."""

    UNTRIED = "untried"
    """Nothing is awaited from it, so that its silence says nothing."""

    FULL = "full"
    """It was heard lately and has no free slot."""

    BUSY = "busy"
    """It has not answered the runs that were moved there."""

    SILENT = "silent"
    """An answer is awaited, and it was not heard lately."""


@dataclasses.dataclass(frozen=True, kw_only=True)
class Target:
    """An upstream that may continue a run.

    Parameters
    ----------
    heard_seconds
        Time since it was last heard on any connection; infinite if never.
    slots
        Requests that it runs at once.
    running
        Requests that are known to run there.
    awaited
        Runs of this entry VM there.
    moving
        Those of them that were moved there and have no event or answer yet.
    """

    heard_seconds: float
    slots: int
    running: int = 0
    awaited: int = 0
    moving: int = 0


def fitness_of(
    target: Target, *, allowed_seconds: float, entry_vm_count: int
) -> Fitness:
    """Return whether a run with an allowed silence may be moved to `target`.

    Parameters
    ----------
    entry_vm_count
        Entry VMs that may move runs there at the same moment.
    """
    recent = target.heard_seconds < _RECENT_FRACTION * allowed_seconds
    if not recent:
        return Fitness.SILENT if target.awaited else Fitness.UNTRIED
    free = target.slots - target.running
    share = min(free // entry_vm_count, target.slots // _SLOTS_PER_MOVE)
    if target.moving >= max(1, share):
        return Fitness.BUSY
    return Fitness.HEARD if free > 0 else Fitness.FULL


def wanted(
    fitnesses: frozenset[Fitness], *, silent_allowances: float
) -> tuple[Fitness, ...]:
    """Return which upstreams a silent run may be moved to, the best first.

    Parameters
    ----------
    fitnesses
        Those of the other upstreams that may continue it.
    silent_allowances
        For how long it was silent, as a multiple of the allowed silence.
    """
    order: tuple[Fitness, ...] = (Fitness.HEARD,)
    if silent_allowances >= _URGENT_FACTOR:
        order = (Fitness.HEARD, Fitness.UNTRIED, Fitness.FULL)
    elif Fitness.SILENT not in fitnesses:
        order = (Fitness.HEARD, Fitness.UNTRIED)
    return tuple(one for one in order if one in fitnesses)


def verdict_on(
    fitnesses: frozenset[Fitness],
    *,
    silent_allowances: float,
    may_repeat: bool,
    budget_left: float,
) -> Verdict:
    """Return whether a run that is silent beyond what is allowed is moved.

    Parameters
    ----------
    fitnesses, silent_allowances
        As of `wanted`.
    may_repeat
        Whether its request may be sent to a further upstream.
    budget_left
        Retries that the pool may still be sent now.
    """
    if not may_repeat:
        return Verdict.NO_ATTEMPT
    if budget_left < 1.0:
        return Verdict.NO_BUDGET
    if not fitnesses:
        return Verdict.NO_TARGET
    if not wanted(fitnesses, silent_allowances=silent_allowances):
        if fitnesses.isdisjoint((Fitness.BUSY, Fitness.FULL)):
            return Verdict.NONE_HEARD
        return Verdict.TARGETS_BUSY
    return Verdict.MOVE
