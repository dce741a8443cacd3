"""Parses operators' TOML declarations; reports all faults at once.

Several files form one draft. Its tables are `[profiles.NAME]`,
`[organisations.ID]`, `[services.NAME]`, `[pools.NAME]` with
`[[pools.NAME.upstreams]]`, `[[placements]]` and `[domains.NAME]`.
"""

import dataclasses
import tomllib
from collections.abc import Mapping, Sequence

from lagoonrun_config import checks, faults, model
from lagoonrun_config import draft as draft_module
from lagoonrun_core import types

_MAX_SECONDS = 86_400.0
_MAX_COUNT = 100_000
_MAX_WEIGHT = 1_000.0
_MAX_ATTEMPTS = 10
_MAX_SLOTS = 4096
_MAX_PORT = 65535
_MAX_WEIGHT_BYTES = 10**15


@dataclasses.dataclass(frozen=True, kw_only=True)
class DeclarationFile:
    """A file of declarations: its text, and its name for error messages."""

    name: str
    text: str


@dataclasses.dataclass(frozen=True, kw_only=True)
class InvalidDeclarations:
    """Declarations that can't be used, with all their faults."""

    faults: tuple[faults.Fault, ...]


def parse_declarations(
    files: Sequence[DeclarationFile],
) -> draft_module.Draft | InvalidDeclarations:
    """Return the checked draft that the files declare together.

    Parameters
    ----------
    files
        In any order; each entry may be in one of them only.
    """
    collector = _Collector()
    for file in files:
        collector.read(file)
    draft = collector.draft()
    found = list(collector.faults)
    # An unreadable value was replaced by a placeholder, so further faults at
    # its key would be misleading.
    unreadable_keys = {fault.key for fault in found}
    for fault in checks.check_draft(draft):
        if fault.key not in unreadable_keys:
            source = collector.source_of(fault.key)
            found.append(dataclasses.replace(fault, source=source))
    if found:
        return InvalidDeclarations(faults=tuple(found))
    return draft


class _Collector:
    """Collects the entries and faults of several files."""

    def __init__(self) -> None:
        self.faults: list[faults.Fault] = []
        self._entries: dict[draft_module.EntryName, draft_module.Entry] = {}
        self._placements: list[model.Placement] = []
        self._source_by_path: dict[str, str] = {}

    def draft(self) -> draft_module.Draft:
        """Return the draft, including placeholder values."""
        draft = draft_module.from_entries(self._entries)
        placements = sorted(
            self._placements,
            key=lambda one: draft_module.placement_name(one).name,
        )
        return dataclasses.replace(draft, placements=tuple(placements))

    def source_of(self, key: str) -> str:
        """Return the file that declares `key`; empty if unknown."""
        parts = key.split(".")
        for length in range(len(parts), 1, -1):
            source = self._source_by_path.get(".".join(parts[:length]))
            if source is not None:
                return source
        return ""

    def read(self, file: DeclarationFile) -> None:
        """Parse one file."""
        try:
            table = tomllib.loads(file.text)
        except tomllib.TOMLDecodeError as error:
            self.faults.append(
                faults.Fault(
                    key="(file)",
                    value=str(error),
                    valid="TOML",
                    source=file.name,
                )
            )
            return
        root = self._reader(table, "", file.name)
        for name, one in self._named(root, "profiles", file.name):
            self._add(draft_module.EntryKind.PROFILE, _profile(name, one))
        for name, one in self._named(root, "organisations", file.name):
            self._add(
                draft_module.EntryKind.ORGANISATION, _organisation(name, one)
            )
        for name, one in self._named(root, "services", file.name):
            self._add(draft_module.EntryKind.SERVICE, _service(name, one))
        for name, one in self._named(root, "domains", file.name):
            self._add(draft_module.EntryKind.DOMAIN, _domain(name, one))
        for name, one in self._named(root, "pools", file.name):
            self._read_pool(types.PoolName(name), one, file.name)
        for index, raw in enumerate(root.tables("placements")):
            reader = self._reader(raw, f"placements[{index}]", file.name)
            placement = _placement(reader)
            reader.finish()
            self._placements.append(placement)
            name = draft_module.placement_name(placement).name
            self._source_by_path[f"placements.{name}"] = file.name
        root.finish()

    def _reader(
        self, table: Mapping[str, object], path: str, source: str
    ) -> faults.TableReader:
        return faults.TableReader(
            table=table, path=path, source=source, faults=self.faults
        )

    def _named(self, root: faults.TableReader, section: str, source: str):
        """Yield each valid name and a reader; check that all keys were read."""
        for name, raw in root.table(section).items():
            path = f"{section}.{name}"
            if not faults.is_name(name):
                root.add_fault(section, name, faults.NAME_RULE)
                continue
            if not isinstance(raw, Mapping):
                root.add_fault(path, raw, "a table")
                continue
            self._register_path(path, source)
            reader = self._reader(raw, path, source)
            yield name, reader
            reader.finish()

    def _register_path(self, path: str, source: str) -> None:
        first = self._source_by_path.setdefault(path, source)
        if first != source:
            self.faults.append(
                faults.Fault(
                    key=path,
                    value="(declared twice)",
                    valid=f"one declaration; the other is in {first}",
                    source=source,
                )
            )

    def _add(
        self, kind: draft_module.EntryKind, entry: draft_module.Entry
    ) -> None:
        name = getattr(entry, "name", None) or entry.id
        key = draft_module.EntryName(kind=kind, name=name)
        self._entries[key] = entry

    def _read_pool(
        self, pool: types.PoolName, reader: faults.TableReader, source: str
    ) -> None:
        defaults = _upstream_defaults(reader)
        raw_upstreams = reader.tables("upstreams")
        if not raw_upstreams:
            reader.add_redacted_fault(
                "upstreams", "(none)", "at least one upstream"
            )
        for index, raw in enumerate(raw_upstreams):
            written = raw.get("id")
            label = written if isinstance(written, str) else f"[{index}]"
            path = f"pools.{pool}.upstreams.{label}"
            inner = self._reader(raw, path, source)
            upstream = _upstream(pool, inner, defaults)
            inner.finish()
            self._add_upstream(upstream, path, source)

    def _add_upstream(
        self, upstream: model.Upstream, path: str, source: str
    ) -> None:
        name = draft_module.EntryName(
            kind=draft_module.EntryKind.UPSTREAM, name=upstream.id
        )
        other = self._entries.get(name)
        if other is not None and upstream.id:
            self.faults.append(
                faults.Fault(
                    key=f"{path}.id",
                    value=faults.format_value(upstream.id),
                    valid=f"an id that pool {other.pool!r} does not have",
                    source=source,
                )
            )
        self._source_by_path[path] = source
        self._entries[name] = upstream


@dataclasses.dataclass(frozen=True, kw_only=True)
class _UpstreamDefaults:
    """Values of a pool that apply to upstreams without their own."""

    port: int | None
    slots: int
    resumes: bool
    cancels: bool
    checks_fencing: bool


def _profile(name: str, reader: faults.TableReader) -> model.Profile:
    idempotent = reader.boolean("idempotent", default=True)
    # A profile that is not idempotent has no retries by default; the checks
    # reject explicit ones.
    return model.Profile(
        name=types.ProfileName(name),
        tier=types.Tier(
            reader.integer(
                "tier",
                minimum=types.HIGHEST_TIER,
                maximum=types.LOWEST_TIER,
            )
        ),
        target_kind=reader.choice(
            "target_kind", model.TargetKind, default=model.TargetKind.TOTAL
        ),
        target_seconds=_seconds(reader, "target_seconds"),
        limit_seconds=_seconds(reader, "limit_seconds"),
        idempotent=idempotent,
        floor_share=reader.number(
            "floor_share",
            default=0.02,
            minimum=0.0,
            maximum=checks.MAXIMUM_FLOOR_SHARE,
        ),
        queue_capacity=reader.integer(
            "queue_capacity", default=1024, minimum=1, maximum=_MAX_COUNT
        ),
        retry_ratio=reader.number(
            "retry_ratio",
            default=0.1 if idempotent else 0.0,
            minimum=0.0,
            maximum=1.0,
        ),
        maximum_attempts=reader.integer(
            "maximum_attempts",
            default=3 if idempotent else 1,
            minimum=1,
            maximum=_MAX_ATTEMPTS,
        ),
    )


def _seconds(reader: faults.TableReader, key: str) -> float:
    return reader.number(
        key, minimum=0.0, maximum=_MAX_SECONDS, above_minimum=True
    )


def _organisation(name: str, reader: faults.TableReader) -> model.Organisation:
    digests = reader.texts("key_digests", required=True)
    for digest in digests:
        reader.digest("key_digests", digest)
    return model.Organisation(
        id=types.OrganisationId(name),
        key_digests=digests,
        weight=reader.number(
            "weight",
            default=1.0,
            minimum=0.0,
            maximum=_MAX_WEIGHT,
            above_minimum=True,
        ),
    )


def _service(name: str, reader: faults.TableReader) -> model.Service:
    organisations = reader.names("organisations")
    return model.Service(
        name=types.ServiceName(name),
        kind=reader.choice("kind", model.ServiceKind, default=None),
        pool=types.PoolName(reader.name("pool")),
        profile=types.ProfileName(reader.name("profile")),
        models=reader.texts("models"),
        path_prefix=reader.text("path_prefix", default=""),
        organisations=tuple(map(types.OrganisationId, organisations)),
    )


def _upstream_defaults(reader: faults.TableReader) -> _UpstreamDefaults:
    port = None
    if reader.has("port"):
        port = reader.integer("port", minimum=1, maximum=_MAX_PORT)
    return _UpstreamDefaults(
        port=port,
        slots=reader.integer(
            "slots", default=16, minimum=1, maximum=_MAX_SLOTS
        ),
        resumes=reader.boolean("resumes", default=False),
        cancels=reader.boolean("cancels", default=True),
        checks_fencing=reader.boolean("checks_fencing", default=False),
    )


def _upstream(
    pool: types.PoolName,
    reader: faults.TableReader,
    defaults: _UpstreamDefaults,
) -> model.Upstream:
    return model.Upstream(
        id=types.UpstreamId(reader.name("id")),
        pool=pool,
        domain=types.FailureDomain(reader.name("domain")),
        address=reader.ip_address("address"),
        port=reader.integer(
            "port", default=defaults.port, minimum=1, maximum=_MAX_PORT
        ),
        slots=reader.integer(
            "slots", default=defaults.slots, minimum=1, maximum=_MAX_SLOTS
        ),
        resumes=reader.boolean("resumes", default=defaults.resumes),
        cancels=reader.boolean("cancels", default=defaults.cancels),
        checks_fencing=reader.boolean(
            "checks_fencing", default=defaults.checks_fencing
        ),
        draining=reader.boolean("draining", default=False),
    )


def _domain(name: str, reader: faults.TableReader) -> model.Domain:
    return model.Domain(
        name=types.FailureDomain(name),
        region=types.Region(reader.name("region", default=model.NO_REGION)),
    )


def _placement(reader: faults.TableReader) -> model.Placement:
    return model.Placement(
        pool=types.PoolName(reader.name("pool")),
        domain=types.FailureDomain(reader.name("domain")),
        model=reader.text("model"),
        role=reader.name("role", default="serve"),
        count=reader.integer("count", minimum=0, maximum=_MAX_COUNT),
        weight_bytes=reader.integer(
            "weight_bytes", default=0, minimum=0, maximum=_MAX_WEIGHT_BYTES
        ),
        version=reader.text("version", default=""),
    )
