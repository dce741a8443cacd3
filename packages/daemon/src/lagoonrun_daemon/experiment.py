"""Scheduling features selected by the settings of an experiment."""

import dataclasses

from lagoonrun_config import settings
from lagoonrun_policy import features


class UnknownSwitchError(ValueError):
    """An experiment names an unknown scheduling feature."""


def switches_of(experiment: settings.Experiment) -> features.Features:
    """Return the scheduling features that the experiment enables.

    Raises
    ------
    UnknownSwitchError
        If a name is not one of `Features`.
    """
    valid = [field.name for field in dataclasses.fields(features.Features)]
    named = {name: False for name in experiment.switched_off}
    named |= {name: True for name in experiment.switched_on}
    unknown = sorted(named.keys() - set(valid))
    if unknown:
        raise UnknownSwitchError(
            f"experiment: unknown switches {unknown}; valid: {valid}"
        )
    return dataclasses.replace(features.Features(), **named)
