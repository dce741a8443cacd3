"""What became of a change of the configuration, as tagged outcomes."""

import dataclasses

from lagoonrun_config import draft as draft_module
from lagoonrun_config import faults, head, model
from lagoonrun_core import types


@dataclasses.dataclass(frozen=True, kw_only=True)
class Accepted:
    """The change is part of the accepted configuration.

    Parameters
    ----------
    revision
        Revision that the change made; an empty change names the one that
        is in force already.
    names
        Entries that it changed.
    """

    revision: types.Revision
    names: tuple[str, ...] = ()


@dataclasses.dataclass(frozen=True, kw_only=True)
class ChangeConflict:
    """Others changed the same entries since the base; nothing was applied.

    Parameters
    ----------
    names
        Entries that both sides changed.
    revision
        Revision to start again from.
    changes
        What was accepted since the base.
    """

    names: tuple[draft_module.EntryName, ...]
    revision: types.Revision
    changes: tuple[head.Change, ...]


@dataclasses.dataclass(frozen=True, kw_only=True)
class Refused:
    """The change, or its merge with others' changes, is not valid."""

    faults: tuple[faults.Fault, ...]


@dataclasses.dataclass(frozen=True, kw_only=True)
class Unknown:
    """A write was sent and nothing could be read back.

    The change may be in force, or come into force when the write arrives
    late. `ConfigurationStore.settle` decides it.
    """

    change_id: types.ChangeId
    base: types.Revision
    detail: str


@dataclasses.dataclass(frozen=True, kw_only=True)
class Unavailable:
    """The store was not reached; nothing was or will be applied."""

    detail: str


@dataclasses.dataclass(frozen=True, kw_only=True)
class Cancelled:
    """The change was not applied and never will be."""

    change_id: types.ChangeId
    revision: types.Revision


@dataclasses.dataclass(frozen=True, kw_only=True)
class NoSuchRevision:
    """The revision is not kept (any more)."""

    wanted: types.Revision
    kept: tuple[types.Revision, ...]


@dataclasses.dataclass(frozen=True, kw_only=True)
class History:
    """The last accepted changes, oldest first."""

    changes: tuple[head.Change, ...]


ApplyOutcome = Accepted | ChangeConflict | Refused | Unknown | Unavailable
SettleOutcome = Accepted | Cancelled | Unknown
GetOutcome = model.Configuration | NoSuchRevision | Unavailable
RollbackOutcome = ApplyOutcome | NoSuchRevision
