"""Commands that query or control a running entry VM."""

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
    result = await system.operator.run("apply", str(declared), "--json")
    assert result.code == ExitCode.DONE
    assert result.json()["in_force"]["revision_by_entry_vm"] == {"entry-1": 2}
    assert system.daemon.fleet.configuration.revision == 2


async def test_apply_reports_a_pending_rollout(system, declared):
    """The entry VM has lost the platform while the operator applies a change.

    The change is accepted but not yet in force there, which is neither a
    success nor a failure: it has its own exit code.
    """
    await system.daemon.follower.close()
    text = (await system.operator.run("get")).out
    declared.write_text(text.replace("= 60.0", "= 90.0"))
    result = await system.operator.run(
        "apply", str(declared), "--wait_seconds=0", "--json"
    )
    assert result.code == ExitCode.PENDING
    assert result.json()["revision"] == 2
    assert result.json()["next_command"] == "lagoonrun status --watch"


async def test_drained_upstream_gets_no_new_work(system):
    """An operator drains an upstream, and ends the drain later.

    After the command each request goes to the other upstream; after the end of
    the drain the scheduler that had it as leaving must use it again.
    """
    await system.look_up()
    result = await system.operator.run("drain", "portal-1")
    assert result.code == ExitCode.DONE
    used = {await upstream_of(system) for _ in range(4)}
    assert used == {"portal-2"}
    await system.operator.run("drain", "portal-2")
    assert (await system.look_up()).status == 503
    result = await system.operator.run("drain", "portal-1", "--end")
    assert result.code == ExitCode.DONE
    assert await upstream_of(system) == "portal-1"


async def upstream_of(system) -> str:
    response = await system.look_up()
    assert response.status == 200
    request_id = response.head.headers["lagoonrun-request-id"]
    found = system.daemon.explanations.find(request_id)
    return found.ending.upstream


async def test_drain_survives_a_restart(system, platform):
    """All entry VMs are replaced while an upstream is drained.

    The new ones have no state and receive no earlier command: they must get
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
    result = await system.operator.run("status", "--json")
    (entry_vm,) = result.json()["entry_vms"]
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


async def test_own_status_omits_fields_that_grow_with_the_fleet(system):
    await system.look_up()
    client = admin_client.AdminClient(token=system.operator.admin_token)
    address = settings.Address(
        host="127.0.0.1", port=system.daemon.admin_server.port
    )
    response = await client.get(address, "/status?scope=own")
    assert response.value["shards"][0]["dispatched_here"]
    assert {"members", "upstreams"} & response.value.keys() == set()


async def test_status_is_written_as_tables(system):
    await system.look_up()
    result = await system.operator.run("status")
    assert "portal@north/0\tentry-1\t2\t0\t0\n" in result.out
    assert "lookup\t1\t1\t1.000\t0\t0\n" in result.out


async def test_watch_repeats_the_status(system):
    result = await system.operator.run(
        "status", "--watch", "--count=2", "--interval_seconds=0.1"
    )
    assert result.out.count("entry VMs\n") == 2


async def test_status_names_a_silent_entry_vm(system):
    system.operator.entry_vm_ports.append(1)
    result = await system.operator.run("status", "--json")
    silent = result.json()["entry_vms"][0]
    assert (silent["entry_vm"], silent["status"]) == ("127.0.0.1:1", None)
    assert "peer-connect" in silent["failure"]


@pytest.mark.parametrize("command", [["status"], ["explain", "abc"]])
async def test_wrong_token_is_reported_but_not_printed(system, command):
    system.operator.admin_token = "wrong-token"
    result = await system.operator.run(*command)
    assert result.code == ExitCode.UNAVAILABLE
    assert "admin token" in result.err
    assert "wrong-token" not in result.err + result.out


async def test_explanation_follows_from_its_inputs(system):
    response = await system.look_up()
    request_id = response.head.headers["lagoonrun-request-id"]
    result = await system.operator.run(
        "explain", request_id, "--check", "--json"
    )
    assert result.code == ExitCode.DONE
    (check,) = result.json()["checks"]
    assert check["agrees"]
    result = await system.operator.run("explain", request_id)
    assert "of house: complete, by portal-" in result.out
    assert " by entry-1 for portal@north/0\tentry-1\n" in result.out


@pytest.mark.parametrize("command", [["status"], ["history"], ["get"]])
async def test_no_secret_is_printed(system, secrets, command):
    await system.look_up()
    result = await system.operator.run(*command, "--json")
    shown = result.out + result.err
    assert [secret for secret in secrets if secret in shown] == []


async def test_explanation_of_a_refusal_names_reason_and_candidates(system):
    for portal in ("portal-1", "portal-2"):
        await system.operator.run("drain", portal)
    response = await system.look_up()
    request_id = response.head.headers["lagoonrun-request-id"]
    result = await system.operator.run("explain", request_id, "--check")
    assert result.code == ExitCode.DONE
    assert "of house: not-run, no-upstream, come back in" in result.out
    assert "no-upstream by entry-1 for portal@north/0" in result.out
    assert result.out.count("\tleaving\t") == 2
    assert "follows from its recorded inputs" in result.out


async def test_platform_calls_are_counted(system):
    metrics = system.daemon.metrics.render().decode()
    assert 'lagoonrun_platform_calls_total{kind="range"}' in metrics
    assert "lagoonrun_platform_reachable 1.0" in metrics


async def test_request_is_explained_by_both_entry_vms(system, platform):
    """One entry VM receives a request and another dispatches its shard.

    Each has a part of the explanation. The command discovers the second one by
    gossip, although the operator named only the first, and shows both parts.
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
        await wait_joined(system.daemon, other)
        shard = next(iter(other.fleet.shards_by_id))
        ingress = (
            other if other.fleet.owner_of(shard) == "entry-1" else system.daemon
        )
        response = await system.look_up(through=ingress)
        request_id = response.head.headers["lagoonrun-request-id"]
        result = await system.operator.run("explain", request_id, "--json")
        found = result.json()["explanations"]
        assert {one["entry_vm"] for one in found} == {"entry-1", "entry-2"}
        assert sum(len(one["decisions"]) for one in found) == 1
        result = await system.operator.run("drain", "portal-1", "--json")
        assert result.json()["in_force"]["revision_by_entry_vm"] == {
            "entry-1": 2,
            "entry-2": 2,
        }
    finally:
        await other.close()


async def wait_joined(*entry_vms):
    """Wait until each entry VM has all others in its membership."""
    async with asyncio.timeout(10):
        while True:
            known = [len(one.members.eligible_in("north")) for one in entry_vms]
            if min(known) == len(entry_vms):
                return
            await asyncio.sleep(0)


async def test_check_reports_a_decision_that_does_not_follow(system):
    response = await system.look_up()
    request_id = response.head.headers["lagoonrun-request-id"]
    found = system.daemon.explanations.find(request_id)
    record = json.loads(decision.record_to_json(found.decisions[0]))
    record["upstream"] = "portal-9"
    found.decisions[0] = decision.record_from_json(json.dumps(record))
    result = await system.operator.run("explain", request_id, "--check")
    assert result.code == ExitCode.DIFFERENT
    assert "DOES NOT FOLLOW" in result.out


async def test_unknown_request_is_not_found(system):
    result = await system.operator.run("explain", "no/such request")
    assert result.code == ExitCode.NOT_FOUND


async def test_number_of_explanations_is_limited():
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
    result = await system.operator.run("profile", "set", *arguments)
    assert result.code == code
    assert said in result.out + result.err


async def test_unknown_upstream_cannot_be_drained(system):
    result = await system.operator.run("drain", "portal-9")
    assert result.code == ExitCode.NOT_FOUND
    assert "portal-1, portal-2" in result.err
