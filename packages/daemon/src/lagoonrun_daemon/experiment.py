"""Which order of service the settings of an experiment ask for."""

import dataclasses

from lagoonrun_config import settings
from lagoonrun_policy import features


class UnknownSwitchError(ValueError):
    """An experiment names a part of the order of service that is unknown."""


def switches_of(experiment: settings.Experiment) -> features.Features:
    """Return the parts of the order of service that are in use.

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
