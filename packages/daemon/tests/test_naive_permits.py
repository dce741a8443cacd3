"""Tests of experiments: scheduling features and the naive policy."""

import dataclasses
import json

import pytest

from lagoonrun_config import settings
from lagoonrun_daemon import experiment
from lagoonrun_policy import features

CHAT = {
    "model": "catalogue-1",
    "messages": [{"role": "user", "content": "Which volumes?"}],
    "stream": True,
    "max_tokens": 5,
}


def test_switches_are_changed_one_by_one():
    """Features that are not named keep their defaults."""
    found = experiment.switches_of(
        settings.Experiment(
            switched_off=("affinity",), switched_on=("cutting",)
        )
    )
    expected = dataclasses.replace(
        features.Features(), affinity=False, cutting=True
    )
    assert found == expected


def test_an_unknown_switch_is_named():
    """A misspelt name must not go unnoticed, with no effect on the run."""
    with pytest.raises(experiment.UnknownSwitchError, match="afinity"):
        experiment.switches_of(settings.Experiment(switched_off=("afinity",)))


@pytest.mark.parametrize(
    "experiment_settings",
    [settings.Experiment(policy=settings.ExperimentPolicy.NAIVE)],
)
async def test_a_naive_entry_vm_serves_without_a_dispatcher(small_deployment):
    """No shard is dispatched, but the response is still complete."""
    answer = await small_deployment.ask(
        "/v1/chat/completions", body=json.dumps(CHAT).encode()
    )
    assert answer.status == 200
    assert answer.body.rstrip().endswith(b"data: [DONE]")
    assert not small_deployment.daemon.dispatcher.owned_shards
