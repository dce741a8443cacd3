"""Answers are stored by suspect and version, in a limited number."""

import pytest

from lagoonrun_router import answer_times

NOW = 100.0


@pytest.fixture
def answers():
    return answer_times.AnswerTimes(maximum=2048)


def record(answers, suspect, *, begun_at=NOW, version="v1"):
    answer = answer_times.Answer(
        suspect=suspect, version=version, begun_at=begun_at
    )
    return answers.record(answer, now=begun_at + 1.0)


def test_newest_answer_of_a_version_counts(answers):
    assert record(answers, "one")
    assert not record(answers, "one", begun_at=NOW - 1.0)
    assert record(answers, "one", begun_at=NOW + 1.0)
    assert answers.begun_at("one", "v1") == NOW + 1.0
    assert answers.begun_at("one", "v2") == float("-inf")
    assert answers.begun_at("two") == float("-inf")


def test_lift_counts_for_each_version_and_is_no_answer(answers):
    record(answers, "one", version=answer_times.ALL_VERSIONS)
    assert answers.begun_at("one", "v1") == NOW
    assert answers.begun_at("one") == float("-inf")


def test_recent_answers_are_returned(answers):
    record(answers, "one")
    record(answers, "two", begun_at=NOW + 10.0)
    assert [one.suspect for one in answers.answers(since=NOW + 5.0)] == ["two"]


def test_oldest_answers_are_evicted(answers):
    for number in range(3000):
        record(answers, f"r-{number}")
        record(answers, "often")
    assert answers.begun_at("r-0") == float("-inf")
    assert answers.begun_at("r-2999") == NOW
    assert answers.begun_at("often") == NOW
    assert len(answers.answers(since=0.0)) == 2048
