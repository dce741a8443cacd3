"""Changing the configuration from the command line."""

import pathlib

import pytest

from lagoonrun_cli import exit_codes

ExitCode = exit_codes.ExitCode


def edited(path: pathlib.Path, before: str, after: str) -> pathlib.Path:
    text = path.read_text()
    assert before in text
    path.write_text(text.replace(before, after))
    return path


@pytest.fixture
async def in_force(operator, declared):
    """Apply the declarations and return a file of them to edit."""
    assert (await operator.run("apply", str(declared))).code == ExitCode.DONE
    result = await operator.run("get")
    declared.write_text(result.out)
    return declared


async def test_validate_counts_entries(operator, declared):
    result = await operator.run("validate", str(declared), "--json")
    assert (result.code, result.json()["upstreams"]) == (ExitCode.DONE, 2)


async def test_validate_shows_every_fault(operator, declared):
    edited(declared, "tier = 1", "tier = 9")
    edited(declared, 'profile = "lookup"', 'profile = "lookups"')
    result = await operator.run("validate", str(declared), "--json")
    assert result.code == ExitCode.REFUSED
    keys = [fault["key"] for fault in result.json()["faults"]]
    assert keys == ["profiles.lookup.tier", "services.lookups.profile"]


async def test_get_has_no_difference_against_the_revision_in_force(
    operator, in_force
):
    result = await operator.run("diff", str(in_force))
    assert (result.code, result.out) == (
        ExitCode.DONE,
        "no difference against revision 1, which is in force\n",
    )


async def test_diff_names_entry_field_and_both_values(operator, in_force):
    edited(in_force, "target_seconds = 60.0", "target_seconds = 90.0")
    result = await operator.run("diff", str(in_force), "--json")
    assert result.code == ExitCode.DIFFERENT
    assert result.json()["differences"] == [
        {
            "entry": "profile:digest",
            "change": "changed",
            "field": "target_seconds",
            "before": "60.0",
            "after": "90.0",
        }
    ]


async def test_apply_updates_the_base_line(operator, in_force):
    edited(in_force, "target_seconds = 60.0", "target_seconds = 90.0")
    result = await operator.run("apply", str(in_force), "--json")
    assert (result.code, result.json()["revision"]) == (ExitCode.DONE, 2)
    assert "# lagoonrun-base: 2\n" in in_force.read_text()
    assert (await operator.run("diff", str(in_force))).code == ExitCode.DONE


async def test_apply_without_base_is_refused(operator, declared, in_force):
    """An operator applies an old file that has no base line.

    If the newest revision were used as its base, the file's old values would
    undo what others changed since. The command must ask for the base.
    """
    declared.write_text(in_force.read_text().split("\n", 1)[1])
    result = await operator.run("apply", str(declared))
    assert result.code == ExitCode.USAGE
    assert "--base=in-force" in result.err


async def test_omitted_file_removes_nothing(operator, in_force):
    """An operator applies only one of several files.

    The named files are the whole configuration, so that the services and
    upstreams of the other files would be removed.
    """
    text = in_force.read_text()
    in_force.write_text(text[: text.index("[organisations")])
    result = await operator.run("apply", str(in_force), "--json")
    assert result.code == ExitCode.REFUSED
    assert "service:lookups" in result.json()["removed"]
    result = await operator.run("apply", str(in_force), "--allow_removals")
    assert result.code == ExitCode.DONE


async def test_changes_of_different_profiles_merge(operator, in_force):
    """Two operators edit different profiles from the same revision.

    Both are accepted. The second file lacks the first change, so that its base
    must not change: otherwise its next apply would undo the other's change.
    """
    other = in_force.with_name("other.toml")
    other.write_text(in_force.read_text())
    edited(in_force, "target_seconds = 60.0", "target_seconds = 90.0")
    edited(other, "limit_seconds = 2.0", "limit_seconds = 3.0")
    assert (await operator.run("apply", str(in_force))).code == ExitCode.DONE
    result = await operator.run("apply", str(other))
    assert result.code == ExitCode.DONE
    assert "# lagoonrun-base: 1\n" in other.read_text()
    text = (await operator.run("get")).out
    assert "target_seconds = 90.0" in text
    assert "limit_seconds = 3.0" in text


async def test_changes_of_the_same_profile_conflict(operator, in_force):
    other = in_force.with_name("other.toml")
    other.write_text(in_force.read_text())
    edited(in_force, "target_seconds = 60.0", "target_seconds = 90.0")
    edited(other, "target_seconds = 60.0", "target_seconds = 30.0")
    await operator.run("apply", str(in_force))
    for command in ("diff", "apply"):
        result = await operator.run(command, str(other), "--json")
        assert result.code == ExitCode.CLASH
        assert result.json()["clashing"] == ["profile:digest"]
        assert result.json()["next_command"].startswith("lagoonrun get")


async def test_lost_reply_is_resolved_by_reading_back(
    operator, platform, in_force
):
    """The write takes effect, but its reply is lost.

    The command must not report a failure: the head is read again and names
    the change, so it is accepted, once.
    """
    edited(in_force, "target_seconds = 60.0", "target_seconds = 90.0")
    platform.control({"lose_replies": 1})
    result = await operator.run("apply", str(in_force), "--json")
    assert (result.code, result.json()["revision"]) == (ExitCode.DONE, 2)


@pytest.mark.parametrize("outage", ["close", "hang"])
async def test_platform_outage_is_unavailable(
    operator, platform, declared, outage
):
    platform.control({"outage": outage})
    result = await operator.run("apply", str(declared))
    assert result.code == ExitCode.UNAVAILABLE
    assert "nothing was changed" in result.out


async def test_rollback_makes_a_new_revision(operator, in_force):
    edited(in_force, "target_seconds = 60.0", "target_seconds = 90.0")
    await operator.run("apply", str(in_force))
    result = await operator.run("rollback", "1", "--json")
    assert (result.code, result.json()["revision"]) == (ExitCode.DONE, 3)
    history = (await operator.run("history", "--json")).json()["changes"]
    assert [one["revision"] for one in history] == [1, 2, 3]
    assert {one["operator"] for one in history} == {"amel"}


async def test_settled_change_is_never_accepted_later(operator, in_force):
    result = await operator.run("settle", "feed", "--base=1")
    assert result.code == ExitCode.CANCELLED
    edited(in_force, "target_seconds = 60.0", "target_seconds = 90.0")
    result = await operator.run("apply", str(in_force), "--change_id=feed")
    assert result.code == ExitCode.REFUSED


@pytest.mark.parametrize(
    ("arguments", "code"),
    [
        (["--help"], ExitCode.DONE),
        (["apply", "--help"], ExitCode.DONE),
        (["aply"], ExitCode.USAGE),
        (["apply"], ExitCode.USAGE),
        (["apply", "missing.toml"], ExitCode.USAGE),
        (["history", "--no_such_flag"], ExitCode.USAGE),
        (["get", "seven"], ExitCode.USAGE),
        (["get", "7"], ExitCode.NOT_FOUND),
        (["rollback", "7"], ExitCode.NOT_FOUND),
        (["settle", "feed"], ExitCode.USAGE),
        (["history", "--settings=missing.toml"], ExitCode.USAGE),
        (["keys"], ExitCode.DONE),
    ],
)
async def test_exit_code(operator, in_force, arguments, code):
    result = await operator.run(*arguments)
    assert result.code == code
    assert "Traceback" not in result.err


async def test_unknown_outcome_names_the_command_that_settles_it(
    operator, platform, in_force
):
    """The platform fails just after the head was written.

    No reply arrives and nothing can be read back: the change may or may not
    be in force. The command reports that, and `settle` finds out later.
    """
    edited(in_force, "target_seconds = 60.0", "target_seconds = 90.0")
    tell_watches = platform.state.on_change

    def cut_after_head(*change):
        tell_watches(*change)
        if "config/head" in repr(change):
            platform.control({"outage": "close"})

    platform.state.on_change = cut_after_head
    result = await operator.run("apply", str(in_force), "--json")
    assert result.code == ExitCode.UNKNOWN
    settle = result.json()["next_command"].removeprefix("lagoonrun ").split()
    platform.control({"outage": "none"})
    result = await operator.run(*settle, "--json")
    assert (result.code, result.json()["revision"]) == (ExitCode.DONE, 2)
