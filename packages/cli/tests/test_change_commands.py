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
    """Bring the declarations into force and give a file to edit."""
    assert (await operator.run("apply", str(declared))).code == ExitCode.DONE
    ran = await operator.run("get")
    declared.write_text(ran.out)
    return declared


async def test_validate_counts_entries(operator, declared):
    ran = await operator.run("validate", str(declared), "--json")
    assert (ran.code, ran.json()["upstreams"]) == (ExitCode.DONE, 2)


async def test_validate_shows_every_fault(operator, declared):
    edited(declared, "tier = 1", "tier = 9")
    edited(declared, 'profile = "lookup"', 'profile = "lookups"')
    ran = await operator.run("validate", str(declared), "--json")
    assert ran.code == ExitCode.REFUSED
    keys = [fault["key"] for fault in ran.json()["faults"]]
    assert keys == ["profiles.lookup.tier", "services.lookups.profile"]


async def test_get_reads_back_as_what_is_in_force(operator, in_force):
    ran = await operator.run("diff", str(in_force))
    assert (ran.code, ran.out) == (
        ExitCode.DONE,
        "no difference against revision 1, which is in force\n",
    )


async def test_diff_names_entry_field_and_both_values(operator, in_force):
    edited(in_force, "target_seconds = 60.0", "target_seconds = 90.0")
    ran = await operator.run("diff", str(in_force), "--json")
    assert ran.code == ExitCode.DIFFERENT
    assert ran.json()["differences"] == [
        {
            "entry": "profile:digest",
            "change": "changed",
            "field": "target_seconds",
            "before": "60.0",
            "after": "90.0",
        }
    ]


async def test_apply_moves_the_base_line(operator, in_force):
    edited(in_force, "target_seconds = 60.0", "target_seconds = 90.0")
    ran = await operator.run("apply", str(in_force), "--json")
    assert (ran.code, ran.json()["revision"]) == (ExitCode.DONE, 2)
    assert "# lagoonrun-base: 2\n" in in_force.read_text()
    assert (await operator.run("diff", str(in_force))).code == ExitCode.DONE


async def test_apply_without_base_is_refused(operator, declared, in_force):
    """An operator applies an old file from a checkout without a base.

    With the newest revision as a silent base, the file's old values would
    undo what others changed since. The command must ask for the base.
    """
    declared.write_text(in_force.read_text().split("\n", 1)[1])
    ran = await operator.run("apply", str(declared))
    assert ran.code == ExitCode.USAGE
    assert "--base=in-force" in ran.err


async def test_forgotten_file_removes_nothing(operator, in_force):
    """An operator applies one of several files.

    The whole set is what the named files hold, so that services and
    upstreams in the other files would vanish and traffic with them.
    """
    text = in_force.read_text()
    in_force.write_text(text[: text.index("[organisations")])
    ran = await operator.run("apply", str(in_force), "--json")
    assert ran.code == ExitCode.REFUSED
    assert "service:lookups" in ran.json()["removed"]
    ran = await operator.run("apply", str(in_force), "--allow_removals")
    assert ran.code == ExitCode.DONE


async def test_changes_of_different_profiles_merge(operator, in_force):
    """Two operators edit different profiles from the same revision.

    Both are accepted; the second file then lacks the first change, so that
    its base must stay: moved on, its next apply would undo the other's.
    """
    other = in_force.with_name("other.toml")
    other.write_text(in_force.read_text())
    edited(in_force, "target_seconds = 60.0", "target_seconds = 90.0")
    edited(other, "limit_seconds = 2.0", "limit_seconds = 3.0")
    assert (await operator.run("apply", str(in_force))).code == ExitCode.DONE
    ran = await operator.run("apply", str(other))
    assert ran.code == ExitCode.DONE
    assert "# lagoonrun-base: 1\n" in other.read_text()
    text = (await operator.run("get")).out
    assert "target_seconds = 90.0" in text
    assert "limit_seconds = 3.0" in text


async def test_same_profile_clashes(operator, in_force):
    other = in_force.with_name("other.toml")
    other.write_text(in_force.read_text())
    edited(in_force, "target_seconds = 60.0", "target_seconds = 90.0")
    edited(other, "target_seconds = 60.0", "target_seconds = 30.0")
    await operator.run("apply", str(in_force))
    for command in ("diff", "apply"):
        ran = await operator.run(command, str(other), "--json")
        assert ran.code == ExitCode.CLASH
        assert ran.json()["clashing"] == ["profile:digest"]
        assert ran.json()["next_command"].startswith("lagoonrun get")


async def test_lost_reply_is_settled_by_reading_back(
    operator, platform, in_force
):
    """The write takes effect and its reply is lost on the way.

    The operator must not be told that it failed: the head is read again
    and names the change, so it is accepted, once.
    """
    edited(in_force, "target_seconds = 60.0", "target_seconds = 90.0")
    platform.control({"lose_replies": 1})
    ran = await operator.run("apply", str(in_force), "--json")
    assert (ran.code, ran.json()["revision"]) == (ExitCode.DONE, 2)


@pytest.mark.parametrize("outage", ["close", "hang"])
async def test_platform_outage_is_unavailable(
    operator, platform, declared, outage
):
    platform.control({"outage": outage})
    ran = await operator.run("apply", str(declared))
    assert ran.code == ExitCode.UNAVAILABLE
    assert "nothing was changed" in ran.out


async def test_rollback_makes_a_new_revision(operator, in_force):
    edited(in_force, "target_seconds = 60.0", "target_seconds = 90.0")
    await operator.run("apply", str(in_force))
    ran = await operator.run("rollback", "1", "--json")
    assert (ran.code, ran.json()["revision"]) == (ExitCode.DONE, 3)
    history = (await operator.run("history", "--json")).json()["changes"]
    assert [one["revision"] for one in history] == [1, 2, 3]
    assert {one["operator"] for one in history} == {"amel"}


async def test_settled_change_is_never_accepted_later(operator, in_force):
    ran = await operator.run("settle", "feed", "--base=1")
    assert ran.code == ExitCode.CANCELLED
    edited(in_force, "target_seconds = 60.0", "target_seconds = 90.0")
    ran = await operator.run("apply", str(in_force), "--change_id=feed")
    assert ran.code == ExitCode.REFUSED


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
    ran = await operator.run(*arguments)
    assert ran.code == code
    assert "Traceback" not in ran.err


async def test_unknown_outcome_names_the_command_that_settles_it(
    operator, platform, in_force
):
    """The platform goes down just after the head was written.

    No reply comes and nothing can be read back: the change may or may not
    be in force. The operator is told so, and `settle` finds out later.
    """
    edited(in_force, "target_seconds = 60.0", "target_seconds = 90.0")
    tell_watches = platform.state.on_change

    def cut_after_head(*change):
        tell_watches(*change)
        if "config/head" in repr(change):
            platform.control({"outage": "close"})

    platform.state.on_change = cut_after_head
    ran = await operator.run("apply", str(in_force), "--json")
    assert ran.code == ExitCode.UNKNOWN
    settle = ran.json()["next_command"].removeprefix("lagoonrun ").split()
    platform.control({"outage": "none"})
    ran = await operator.run(*settle, "--json")
    assert (ran.code, ran.json()["revision"]) == (ExitCode.DONE, 2)
