"""Commands that ask or steer a running entry VM."""

import asyncio
import json

import pytest

from lagoonrun_cli import admin_client, exit_codes
from lagoonrun_config import settings
from lagoonrun_daemon import daemon as daemons
from lagoonrun_daemon import explanations
from lagoonrun_policy import decision
from lagoonrun_standins import fleet

ExitCode = exit_codes.ExitCode


async def test_apply_waits_until_it_is_in_force(system, declared):
    text = (await system.operator.run("get")).out
    declared.write_text(text.replace("= 60.0", "= 90.0"))
    ran = await system.operator.run("apply", str(declared), "--json")
    assert ran.code == ExitCode.DONE
    assert ran.json()["in_force"]["revision_by_entry_vm"] == {"entry-1": 2}
    assert system.daemon.fleet.configuration.revision == 2


async def test_apply_says_what_is_pending(system, declared):
    """The entry VM is cut off while the operator applies.

    The change is accepted for good but not in force there yet: neither a
    success nor a failure, so it has an exit code of its own.
    """
    await system.daemon.follower.close()
    text = (await system.operator.run("get")).out
    declared.write_text(text.replace("= 60.0", "= 90.0"))
    ran = await system.operator.run(
        "apply", str(declared), "--wait_seconds=0", "--json"
    )
    assert ran.code == ExitCode.PENDING
    assert ran.json()["revision"] == 2
    assert ran.json()["next_command"] == "lagoonrun status --watch"


async def test_drained_upstream_gets_no_new_work(system):
    """An operator drains an upstream, and ends the drain later.

    Once the command is through, each request goes elsewhere; after the end
    of the drain the scheduler that knew it as leaving uses it again.
    """
    await system.look_up()
    ran = await system.operator.run("drain", "portal-1")
    assert ran.code == ExitCode.DONE
    used = {await upstream_of(system) for _ in range(4)}
    assert used == {"portal-2"}
    await system.operator.run("drain", "portal-2")
    assert (await system.look_up()).status == 503
    ran = await system.operator.run("drain", "portal-1", "--end")
    assert ran.code == ExitCode.DONE
    assert await upstream_of(system) == "portal-1"


async def upstream_of(system) -> str:
    answer = await system.look_up()
    assert answer.status == 200
    request_id = answer.head.headers["lagoonrun-request-id"]
    found = system.daemon.explanations.find(request_id)
    return found.ending.upstream


async def test_drain_survives_a_restart(system, platform):
    """All entry VMs are replaced while an upstream is drained.

    The new ones keep nothing and hear of no old order: they must learn of
    the drain from the configuration before they route.
    """
    await system.operator.run("drain", "portal-1")
    await system.daemon.close()
    replacement = daemons.Daemon(
        configured=system.make_settings(platform_port=platform.port)
    )
    await replacement.start()
    await replacement.wait_ready()
    assert replacement.fleet.leaving_upstreams() == {"portal-1"}
    await replacement.close()


async def test_status_shows_the_whole_system(system):
    await system.look_up()
    ran = await system.operator.run("status", "--json")
    (entry_vm,) = ran.json()["entry_vms"]
    status = entry_vm["status"]
    (shard,) = status["shards"]
    assert (shard["dispatcher"], shard["dispatched_here"]) == ("entry-1", True)
    assert [one["upstream"] for one in shard["runners"]] == [
        "portal-1",
        "portal-2",
    ]
    (requests,) = status["requests"]
    assert (requests["profile"], requests["within_target"]) == ("lookup", 1)
    assert status["platform_reachable"]


async def test_own_status_leaves_out_what_grows_with_the_fleet(system):
    await system.look_up()
    client = admin_client.AdminClient(token=system.operator.admin_token)
    address = settings.Address(
        host="127.0.0.1", port=system.daemon.admin_server.port
    )
    answer = await client.get(address, "/status?scope=own")
    assert answer.value["shards"][0]["dispatched_here"]
    assert {"members", "upstreams"} & answer.value.keys() == set()


async def test_status_is_written_as_tables(system):
    await system.look_up()
    ran = await system.operator.run("status")
    assert "portal@north/0\tentry-1\t2\t0\t0\n" in ran.out
    assert "lookup\t1\t1\t1.000\t0\t0\n" in ran.out


async def test_watch_shows_it_again(system):
    ran = await system.operator.run(
        "status", "--watch", "--count=2", "--interval_seconds=0.1"
    )
    assert ran.out.count("entry VMs\n") == 2


async def test_status_says_which_entry_vm_is_silent(system):
    system.operator.entry_vm_ports.append(1)
    ran = await system.operator.run("status", "--json")
    silent = ran.json()["entry_vms"][0]
    assert (silent["entry_vm"], silent["status"]) == ("127.0.0.1:1", None)
    assert "peer-connect" in silent["failure"]


@pytest.mark.parametrize("command", [["status"], ["explain", "abc"]])
async def test_wrong_token_is_told_and_not_shown(system, command):
    system.operator.admin_token = "wrong-token"
    ran = await system.operator.run(*command)
    assert ran.code == ExitCode.UNAVAILABLE
    assert "admin token" in ran.err
    assert "wrong-token" not in ran.err + ran.out


async def test_explanation_follows_from_its_inputs(system):
    answer = await system.look_up()
    request_id = answer.head.headers["lagoonrun-request-id"]
    ran = await system.operator.run("explain", request_id, "--check", "--json")
    assert ran.code == ExitCode.DONE
    (check,) = ran.json()["checks"]
    assert check["agrees"]
    ran = await system.operator.run("explain", request_id)
    assert "of house: complete, by portal-" in ran.out
    assert " by entry-1 for portal@north/0\tentry-1\n" in ran.out


@pytest.mark.parametrize("command", [["status"], ["history"], ["get"]])
async def test_no_secret_is_shown(system, secrets, command):
    await system.look_up()
    ran = await system.operator.run(*command, "--json")
    shown = ran.out + ran.err
    assert [secret for secret in secrets if secret in shown] == []


async def test_explanation_of_a_refusal_names_reason_and_candidates(system):
    for portal in ("portal-1", "portal-2"):
        await system.operator.run("drain", portal)
    answer = await system.look_up()
    request_id = answer.head.headers["lagoonrun-request-id"]
    ran = await system.operator.run("explain", request_id, "--check")
    assert ran.code == ExitCode.DONE
    assert "of house: not-run, no-upstream, come back in" in ran.out
    assert "no-upstream by entry-1 for portal@north/0" in ran.out
    assert ran.out.count("\tleaving\t") == 2
    assert "follows from its recorded inputs" in ran.out


async def test_platform_calls_are_counted(system):
    metrics = system.daemon.metrics.render().decode()
    assert 'lagoonrun_platform_calls_total{kind="range"}' in metrics
    assert "lagoonrun_platform_reachable 1.0" in metrics


async def test_request_is_explained_by_both_entry_vms(system, platform):
    """One entry VM takes a request and another dispatches its shard.

    Each knows a part: the command finds the second one by gossip, although
    the operator named only the first, and shows both parts as one.
    """
    other = daemons.Daemon(
        configured=system.make_settings(
            entry_vm="entry-2",
            platform_port=platform.port,
            admin=fleet.free_peer_address(),
            seeds=(system.daemon.settings.peer,),
        )
    )
    await other.start()
    await other.wait_ready()
    try:
        await joined(system.daemon, other)
        shard = next(iter(other.fleet.shards_by_id))
        ingress = (
            other if other.fleet.owner_of(shard) == "entry-1" else system.daemon
        )
        answer = await system.look_up(through=ingress)
        request_id = answer.head.headers["lagoonrun-request-id"]
        ran = await system.operator.run("explain", request_id, "--json")
        found = ran.json()["explanations"]
        assert {one["entry_vm"] for one in found} == {"entry-1", "entry-2"}
        assert sum(len(one["decisions"]) for one in found) == 1
        ran = await system.operator.run("drain", "portal-1", "--json")
        assert ran.json()["in_force"]["revision_by_entry_vm"] == {
            "entry-1": 2,
            "entry-2": 2,
        }
    finally:
        await other.close()


async def joined(*entry_vms):
    """Wait until each entry VM knows each other one."""
    async with asyncio.timeout(10):
        while True:
            known = [len(one.members.eligible_in("north")) for one in entry_vms]
            if min(known) == len(entry_vms):
                return
            await asyncio.sleep(0)


async def test_check_names_a_decision_that_does_not_follow(system):
    answer = await system.look_up()
    request_id = answer.head.headers["lagoonrun-request-id"]
    found = system.daemon.explanations.find(request_id)
    record = json.loads(decision.record_to_json(found.decisions[0]))
    record["upstream"] = "portal-9"
    found.decisions[0] = decision.record_from_json(json.dumps(record))
    ran = await system.operator.run("explain", request_id, "--check")
    assert ran.code == ExitCode.DIFFERENT
    assert "DOES NOT FOLLOW" in ran.out


async def test_unknown_request_is_not_found(system):
    ran = await system.operator.run("explain", "no/such request")
    assert ran.code == ExitCode.NOT_FOUND


async def test_explanation_memory_is_bounded():
    ring = explanations.ExplanationRing(capacity=2)
    step = explanations.Happening(at_seconds=0.0, what="sent")
    for number in range(5):
        ring.add_happening(f"request-{number}", "house", step)
    assert len(ring) == 2


@pytest.mark.parametrize(
    ("arguments", "code", "said"),
    [
        (["lookup", "target_seconds=0.75"], ExitCode.DONE, "profile:lookup"),
        (["lookup", "target_kind=first-token"], ExitCode.DONE, "accepted"),
        (["lookup", "tier=7"], ExitCode.REFUSED, "profiles.lookup.tier"),
        (["lookup", "colour=red"], ExitCode.REFUSED, "colour"),
        (["lookups", "tier=1"], ExitCode.NOT_FOUND, "digest, lookup"),
        (["lookup", "tier"], ExitCode.USAGE, "KEY=VALUE"),
    ],
)
async def test_profile_set(system, arguments, code, said):
    ran = await system.operator.run("profile", "set", *arguments)
    assert ran.code == code
    assert said in ran.out + ran.err


async def test_unknown_upstream_cannot_be_drained(system):
    ran = await system.operator.run("drain", "portal-9")
    assert ran.code == ExitCode.NOT_FOUND
    assert "portal-1, portal-2" in ran.err
