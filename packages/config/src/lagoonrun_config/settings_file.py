"""Reads the settings of a process from TOML; reports all faults at once."""

import pathlib
import tomllib
from collections.abc import Sequence

from lagoonrun_config import faults, settings
from lagoonrun_core import errors, types

_MIN_INNER_KEY_BYTES = 16
_MAX_DRAIN_SECONDS = 86_400.0
_MAX_RETENTION_SECONDS = 30 * 86_400.0
_MAX_WEIGHT_BYTES = 1e15
_MAX_EXPLAIN_CAPACITY = 1_000_000
_MAX_PLATFORM_CALLS = 10_000.0


class SettingsError(errors.LagoonrunError):
    """The settings file is invalid or can't be read.

    Parameters
    ----------
    path
        Path of the file.
    found
        All faults, in the order in which the keys are read.
    """

    def __init__(self, *, path: str, found: Sequence[faults.Fault]) -> None:
        self.faults = tuple(found)
        super().__init__(
            step=errors.Step.SETTINGS,
            peer=path,
            detail="\n".join(str(fault) for fault in self.faults),
        )


def load_settings(path: str | pathlib.Path) -> settings.Settings:
    """Return the checked settings of the file at `path`.

    Raises
    ------
    SettingsError
        With all faults of the file.
    """
    name = str(path)
    table = _read_table(pathlib.Path(path), name)
    found: list[faults.Fault] = []
    reader = faults.TableReader(table=table, path="", source=name, faults=found)
    result = _read_settings(reader)
    reader.finish()
    if found:
        raise SettingsError(path=name, found=found)
    return result


def _read_table(path: pathlib.Path, name: str) -> dict[str, object]:
    try:
        return tomllib.loads(path.read_text(encoding="utf-8"))
    except OSError as error:
        detail, valid = str(error), "a file that can be read"
    except (tomllib.TOMLDecodeError, UnicodeDecodeError) as error:
        detail, valid = str(error), "TOML in UTF-8"
    fault = faults.Fault(key="(file)", value=detail, valid=valid, source=name)
    raise SettingsError(path=name, found=[fault])


def _read_settings(reader: faults.TableReader) -> settings.Settings:
    order_timeout_seconds = reader.number(
        "order_timeout_seconds", default=10.0, minimum=0.1, maximum=3600.0
    )
    return settings.Settings(
        entry_vm=types.EntryVmId(reader.name("entry_vm")),
        domain=types.FailureDomain(reader.name("domain")),
        caller=_read_address(reader, "caller"),
        admin=_read_address(reader, "admin"),
        peer=_read_address(reader, "peer"),
        platform=_read_addresses(reader, "platform", required=True),
        seeds=_read_addresses(reader, "seeds", required=False),
        inner_key=reader.secret(
            "inner_key", minimum_bytes=_MIN_INNER_KEY_BYTES
        ),
        admin_token_digest=_read_token_digest(reader),
        drain_timeout_seconds=reader.number(
            "drain_timeout_seconds",
            default=600.0,
            minimum=0.0,
            maximum=_MAX_DRAIN_SECONDS,
        ),
        readiness_grace_seconds=reader.number(
            "readiness_grace_seconds",
            default=2.0,
            minimum=0.0,
            maximum=_MAX_DRAIN_SECONDS,
        ),
        explain_capacity=reader.integer(
            "explain_capacity",
            default=10_000,
            minimum=1,
            maximum=_MAX_EXPLAIN_CAPACITY,
        ),
        claim_retention_seconds=reader.number(
            "claim_retention_seconds",
            default=86_400.0,
            minimum=3600.0,
            maximum=_MAX_RETENTION_SECONDS,
        ),
        weight_bytes_per_second=reader.number(
            "weight_bytes_per_second",
            default=1e9,
            minimum=1.0,
            maximum=_MAX_WEIGHT_BYTES,
        ),
        order_timeout_seconds=order_timeout_seconds,
        order_lease_seconds=reader.number(
            "order_lease_seconds",
            default=max(30.0, 2 * order_timeout_seconds),
            # With less, the rest of a lease never exceeds the order timeout
            # by enough to send an order to an upstream that does not check
            # fencing numbers.
            minimum=2 * order_timeout_seconds,
            maximum=_MAX_DRAIN_SECONDS,
        ),
        experiment=_read_experiment(reader),
        platform_calls_per_second=reader.number(
            "platform_calls_per_second",
            default=100.0,
            minimum=0.1,
            maximum=_MAX_PLATFORM_CALLS,
        ),
    )


def _read_experiment(parent: faults.TableReader) -> settings.Experiment:
    reader = parent.subtable("experiment")
    experiment = settings.Experiment(
        policy=reader.choice(
            "policy",
            settings.ExperimentPolicy,
            default=settings.ExperimentPolicy.DISPATCHER,
        ),
        switched_off=reader.texts("switched_off"),
        switched_on=reader.texts("switched_on"),
    )
    reader.finish()
    return experiment


def _read_address(reader: faults.TableReader, key: str) -> settings.Address:
    host, port = reader.address(key, lowest_port=0)
    return settings.Address(host=host, port=port)


def _read_addresses(
    reader: faults.TableReader, key: str, *, required: bool
) -> tuple[settings.Address, ...]:
    written = reader.texts(key, required=required)
    if required and reader.has(key) and not written:
        reader.add_fault(key, [], "at least one 'IP:PORT'")
    addresses = []
    for text in written:
        host, port = reader.split_address(key, text, lowest_port=1)
        addresses.append(settings.Address(host=host, port=port))
    return tuple(addresses)


def _read_token_digest(reader: faults.TableReader) -> str:
    text = reader.text("admin_token_digest", default="")
    if text:
        reader.digest("admin_token_digest", text)
    return text
