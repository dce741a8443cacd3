"""Child processes: start, freeze, resume, stop and cleanup."""

import asyncio
import dataclasses
import pathlib

import pytest

from lagoonrun_config import settings, settings_file
from lagoonrun_core import types
from lagoonrun_standins import fleet as fleet_lib
from lagoonrun_standins import http_client, managed_process


@pytest.fixture
async def fleet(tmp_path):
    fleet = fleet_lib.Fleet(directory=tmp_path)
    await fleet.start()
    yield fleet
    await fleet.close()


async def answers(process, path="/control", **options):
    address = process.address()
    return await http_client.fetch_json(
        address.host, address.port, path, **options
    )


async def test_all_stand_ins_start_and_stop(fleet):
    engine, service, platform = await asyncio.gather(
        fleet.start_engine("e1", models="a,b", resumes=True, slots=4),
        fleet.start_plain_service("p1", service_seconds=0.5),
        fleet.start_platform_store(),
    )

    assert (await answers(engine, "/state"))["models"] == ["a", "b"]
    assert (await answers(service))["service_seconds"] == 0.5
    assert (await answers(platform))["outage"] == "none"
    assert await engine.terminate(timeout_seconds=10) == 0
    await service.kill()
    assert not service.is_running
    again = await fleet.start_plain_service("p1")
    assert again.pid != service.pid


async def test_frozen_process_keeps_its_port_and_resumes(fleet):
    """A paused VM accepts connections, but answers no request.

    After it resumes, it answers as before the pause.
    """
    service = await fleet.start_plain_service("p1")
    service.freeze()

    with pytest.raises(TimeoutError):
        await answers(service, timeout_seconds=0.05)
    service.resume()

    assert (await answers(service))["leaving"] is False


async def test_close_stops_a_frozen_process(tmp_path):
    fleet = fleet_lib.Fleet(directory=tmp_path)
    await fleet.start()
    service = await fleet.start_plain_service("p1")
    service.freeze()

    await fleet.close()

    assert not service.is_running


async def test_stand_in_stops_when_its_parent_is_gone(fleet):
    """The stand-ins of a killed test run must not keep running.

    When the parent dies, its end of the child's standard input closes.
    """
    service = await fleet.start_plain_service("p1")

    service._process.stdin.close()

    assert await service.wait(timeout_seconds=10) == 0


async def test_process_that_does_not_start_shows_its_log(fleet):
    with pytest.raises(managed_process.ProcessError, match="no_such_flag"):
        await fleet.start_engine("e1", no_such_flag=1)


async def test_signal_to_an_ended_process_is_an_error(fleet):
    service = await fleet.start_plain_service("p1")
    await service.kill()

    with pytest.raises(managed_process.ProcessError, match="SIGSTOP"):
        service.freeze()


def test_ready_line_of_a_daemon():
    line = "READY caller=127.0.0.1:1 admin=127.0.0.1:2 peer=127.0.0.1:3\n"

    ready = managed_process.Ready.parse(line)

    assert {n: a.port for n, a in ready.address_by_name.items()} == {
        "caller": 1,
        "admin": 2,
        "peer": 3,
    }


def test_settings_round_trip_through_toml(tmp_path: pathlib.Path):
    address = settings.Address(host="127.0.0.1", port=0)
    seed = fleet_lib.free_peer_address()
    configured = settings.Settings(
        entry_vm=types.EntryVmId("vm-1"),
        domain=types.FailureDomain("west"),
        caller=address,
        admin=address,
        peer=fleet_lib.free_peer_address(),
        platform=(seed,),
        seeds=(seed,),
        inner_key=b"0123456789abcdef",
        admin_token_digest="ab" * 32,
        drain_timeout_seconds=3.0,
        explain_capacity=7,
        claim_retention_seconds=7200.0,
        weight_bytes_per_second=5.0,
        order_timeout_seconds=2.0,
        order_lease_seconds=7.0,
        experiment=settings.Experiment(
            policy=settings.ExperimentPolicy.NAIVE,
            switched_off=("affinity",),
            switched_on=("cutting",),
        ),
        readiness_grace_seconds=0.25,
        platform_calls_per_second=5.0,
    )
    defaults = [
        field.name
        for field in dataclasses.fields(configured)
        if getattr(configured, field.name) == field.default
    ]
    path = tmp_path / "vm-1.toml"

    path.write_text(fleet_lib.settings_toml(configured))

    assert defaults == [], "give each setting another value than its default"
    assert settings_file.load_settings(path) == configured
