"""Outcomes of changes to the configuration and of queries of it."""

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
        Revision that the change created; that in force if the change is
        empty.
    names
        Names of the changed entries.
    """

    revision: types.Revision
    names: tuple[str, ...] = ()


@dataclasses.dataclass(frozen=True, kw_only=True)
class ChangeConflict:
    """The same entries were changed since the base; nothing was applied.

    Parameters
    ----------
    names
        Names of the entries that both changed.
    revision
        Revision in force, to edit again.
    changes
        Changes accepted since the base.
    """

    names: tuple[draft_module.EntryName, ...]
    revision: types.Revision
    changes: tuple[head.Change, ...]


@dataclasses.dataclass(frozen=True, kw_only=True)
class Refused:
    """The change, or its merge with other changes, is invalid."""

    faults: tuple[faults.Fault, ...]


@dataclasses.dataclass(frozen=True, kw_only=True)
class Unknown:
    """A write was sent and its result could not be read.

    The change may be in force, or come into force if the write arrives late.
    `ConfigurationStore.settle` determines its final outcome.
    """

    change_id: types.ChangeId
    base: types.Revision
    detail: str


@dataclasses.dataclass(frozen=True, kw_only=True)
class Unavailable:
    """The store could not be reached; the change will not be applied."""

    detail: str


@dataclasses.dataclass(frozen=True, kw_only=True)
class Cancelled:
    """The change was not applied and never will be: its id is cancelled."""

    change_id: types.ChangeId
    revision: types.Revision


@dataclasses.dataclass(frozen=True, kw_only=True)
class NoSuchRevision:
    """The head does not hold the revision (any more)."""

    wanted: types.Revision
    kept: tuple[types.Revision, ...]


@dataclasses.dataclass(frozen=True, kw_only=True)
class History:
    """The most recent accepted changes, oldest first."""

    changes: tuple[head.Change, ...]


ApplyOutcome = Accepted | ChangeConflict | Refused | Unknown | Unavailable
SettleOutcome = Accepted | Cancelled | Unknown
GetOutcome = model.Configuration | NoSuchRevision | Unavailable
RollbackOutcome = ApplyOutcome | NoSuchRevision
