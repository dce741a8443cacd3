"""Answers are stored for a limited time, and in a limited number."""

import pytest

from lagoonrun_router import recent_answers

NOW = 100.0
LATER = NOW + recent_answers.ANSWERED_SECONDS


@pytest.fixture
def answers():
    return recent_answers.RecentAnswers()


def test_answer_counts_for_a_limited_time(answers):
    answers.record("one", now=NOW)
    assert answers.has("one", now=LATER - 1.0)
    assert not answers.has("one", now=LATER)
    assert not answers.has("two", now=NOW)


def test_newer_answer_counts_longer(answers):
    answers.record("one", now=NOW)
    answers.record("one", now=LATER)
    assert answers.has("one", now=LATER + 1.0)


def test_oldest_answers_are_evicted(answers):
    for number in range(3000):
        answers.record(f"r-{number}", now=NOW)
        answers.record("often", now=NOW)
    assert not answers.has("r-0", now=NOW)
    assert answers.has("r-2999", now=NOW)
    assert answers.has("often", now=NOW)
