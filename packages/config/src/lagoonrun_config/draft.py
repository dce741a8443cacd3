"""Content of a configuration before it is accepted and has a revision."""

import dataclasses
import enum
from collections.abc import Iterator, Mapping

from lagoonrun_config import model
from lagoonrun_core import types


class EntryKind(enum.Enum):
    """Kind of an entry, the unit in which changes are merged."""

    PROFILE = "profile"
    ORGANISATION = "organisation"
    SERVICE = "service"
    UPSTREAM = "upstream"
    PLACEMENT = "placement"
    DOMAIN = "domain"


Entry = (
    model.Profile
    | model.Organisation
    | model.Service
    | model.Upstream
    | model.Placement
    | model.Domain
)


@dataclasses.dataclass(frozen=True, kw_only=True)
class EntryName:
    """Identifies one entry of a draft."""

    kind: EntryKind
    name: str

    def __str__(self) -> str:
        """Return `kind:name`."""
        return f"{self.kind.value}:{self.name}"


@dataclasses.dataclass(frozen=True, kw_only=True)
class Draft:
    """Content of a configuration without revision and digest."""

    profiles_by_name: Mapping[types.ProfileName, model.Profile]
    organisations_by_id: Mapping[types.OrganisationId, model.Organisation]
    services_by_name: Mapping[types.ServiceName, model.Service]
    upstreams_by_id: Mapping[types.UpstreamId, model.Upstream]
    placements: tuple[model.Placement, ...] = ()
    domains_by_name: Mapping[types.FailureDomain, model.Domain] = (
        dataclasses.field(default_factory=dict)
    )

    def entries_by_name(self) -> dict[EntryName, Entry]:
        """Return all entries by their names."""
        return dict(self._entries())

    def _entries(self) -> Iterator[tuple[EntryName, Entry]]:
        by_kind: dict[EntryKind, Mapping[str, Entry]] = {
            EntryKind.PROFILE: self.profiles_by_name,
            EntryKind.ORGANISATION: self.organisations_by_id,
            EntryKind.SERVICE: self.services_by_name,
            EntryKind.UPSTREAM: self.upstreams_by_id,
            EntryKind.DOMAIN: self.domains_by_name,
        }
        for kind, entries in by_kind.items():
            for name, entry in entries.items():
                yield EntryName(kind=kind, name=name), entry
        for placement in self.placements:
            yield placement_name(placement), placement


EMPTY_DRAFT = Draft(
    profiles_by_name={},
    organisations_by_id={},
    services_by_name={},
    upstreams_by_id={},
)


def placement_name(placement: model.Placement) -> EntryName:
    """Return the name of a placement: pool, domain, model and role."""
    parts = (
        placement.pool,
        placement.domain,
        placement.model,
        placement.role,
    )
    return EntryName(kind=EntryKind.PLACEMENT, name="/".join(parts))


def from_entries(entries_by_name: Mapping[EntryName, Entry]) -> Draft:
    """Return the draft with these entries.

    Placements are sorted by name, so that drafts with the same entries are
    equal.
    """

    def of_kind(kind: EntryKind) -> dict:
        return {
            name.name: entry
            for name, entry in entries_by_name.items()
            if name.kind is kind
        }

    placements = of_kind(EntryKind.PLACEMENT)
    return Draft(
        profiles_by_name=of_kind(EntryKind.PROFILE),
        organisations_by_id=of_kind(EntryKind.ORGANISATION),
        services_by_name=of_kind(EntryKind.SERVICE),
        upstreams_by_id=of_kind(EntryKind.UPSTREAM),
        placements=tuple(placements[name] for name in sorted(placements)),
        domains_by_name=of_kind(EntryKind.DOMAIN),
    )


def configuration_of(
    draft: Draft, *, revision: types.Revision, digest: str
) -> model.Configuration:
    """Return the configuration of an accepted draft."""
    return model.Configuration(
        revision=revision,
        digest=digest,
        profiles_by_name=draft.profiles_by_name,
        organisations_by_id=draft.organisations_by_id,
        services_by_name=draft.services_by_name,
        upstreams_by_id=draft.upstreams_by_id,
        placements=draft.placements,
        domains_by_name=draft.domains_by_name,
    )


def draft_of(configuration: model.Configuration) -> Draft:
    """Return the content of an accepted configuration."""
    return Draft(
        profiles_by_name=configuration.profiles_by_name,
        organisations_by_id=configuration.organisations_by_id,
        services_by_name=configuration.services_by_name,
        upstreams_by_id=configuration.upstreams_by_id,
        placements=configuration.placements,
        domains_by_name=configuration.domains_by_name,
    )
