"""Authenticate callers and resolve requests to services and profiles."""

import dataclasses
import hashlib
import hmac
import json
from typing import Any

import xxhash

from lagoonrun_config import model
from lagoonrun_core import errors, types

CHAT_PATH = "/v1/chat/completions"
_PREFIX_BYTES = 1024
_BEARER = "bearer "


@dataclasses.dataclass(frozen=True, kw_only=True)
class Rejection:
    """Why a request is invalid, as reported to its caller.

    Parameters
    ----------
    status
        HTTP status of the response.
    field
        Invalid header, path or body field.
    message
        Why it is invalid.
    valid
        What would be valid; never names resources of other organisations.
    """

    status: int
    step: errors.Step
    field: str
    message: str
    valid: str


@dataclasses.dataclass(frozen=True, kw_only=True)
class Resolved:
    """A request resolved by one configuration.

    Parameters
    ----------
    prefix_hash
        Hash of the organisation and the start of the messages; 0 for a plain
        service.
    model
        Model that the upstream must have loaded; empty if no placement of
        the service's pool names it.
    """

    organisation: types.OrganisationId
    service: model.Service
    profile: model.Profile
    streamed: bool
    prefix_hash: types.PrefixHash
    model: str = ""


class Resolver:
    """Resolve requests by an index of one configuration.

    Parameters
    ----------
    configuration
        The revision in force; each revision has its own resolver.
    """

    def __init__(self, *, configuration: model.Configuration) -> None:
        self.configuration = configuration
        self._organisations_by_digest = {
            digest: organisation
            for organisation in configuration.organisations_by_id.values()
            for digest in organisation.key_digests
        }
        self._services_by_model = {
            name: service
            for service in configuration.services_by_name.values()
            for name in service.models
        }
        self._placed_models = frozenset(
            (placement.pool, placement.model)
            for placement in configuration.placements
        )
        plain = [
            service
            for service in configuration.services_by_name.values()
            if service.path_prefix
        ]
        # Longest prefix first, because the first match is used.
        self._plain_services = sorted(
            plain, key=lambda service: -len(service.path_prefix)
        )

    def authenticate(
        self, authorization: str | None
    ) -> model.Organisation | Rejection:
        """Return the organisation whose key is in `authorization`."""
        if authorization and authorization.lower().startswith(_BEARER):
            key = authorization[len(_BEARER) :].strip()
            digest = hashlib.sha256(key.encode()).hexdigest()
            organisation = self._organisations_by_digest.get(digest)
            if organisation and _holds_digest(organisation, digest):
                return organisation
        return Rejection(
            status=401,
            step=errors.Step.AUTHENTICATE,
            field="Authorization",
            message="the bearer key is missing or unknown",
            valid="Authorization: Bearer KEY with a key of an organisation",
        )

    def resolve(
        self,
        *,
        organisation: model.Organisation,
        target: str,
        body: bytes,
    ) -> Resolved | Rejection:
        """Return the service and profile of a request."""
        path = target.partition("?")[0]
        if _has_dot_segment(path):
            # An upstream might resolve `..` to the path of another service.
            return Rejection(
                status=400,
                step=errors.Step.RESOLVE_SERVICE,
                field="path",
                message="the path has a dot segment",
                valid="a path without '.' and '..' segments",
            )
        if path == CHAT_PATH:
            return self._resolve_chat(organisation, body)
        for service in self._plain_services:
            if _is_below(path, service.path_prefix):
                if not _may_use(organisation, service):
                    break
                return self._admit(organisation, service, streamed=False)
        return Rejection(
            status=404,
            step=errors.Step.RESOLVE_SERVICE,
            field="path",
            message=f"no service of yours is reached under {path!r}",
            valid=f"{CHAT_PATH} or the path of a plain service",
        )

    def _resolve_chat(
        self, organisation: model.Organisation, body: bytes
    ) -> Resolved | Rejection:
        try:
            parsed: Any = json.loads(body)
        except (ValueError, RecursionError):
            return _bad_body("body", "the body is no JSON", "a JSON object")
        if not isinstance(parsed, dict):
            return _bad_body("body", "the body is no object", "a JSON object")
        name = parsed.get("model")
        if not isinstance(name, str):
            return _bad_body("model", "the model is missing", "a model's name")
        if not isinstance(parsed.get("messages"), list):
            return _bad_body("messages", "no list of messages", "a list")
        streamed = parsed.get("stream", False)
        if not isinstance(streamed, bool):
            return _bad_body("stream", "no boolean", "true or false")
        service = self._services_by_model.get(name)
        if service is None or not _may_use(organisation, service):
            return _unknown_service(name)
        return self._admit(
            organisation,
            service,
            streamed=streamed,
            prefix_hash=_hash_prefix(organisation.id, body),
            model=name,
        )

    def _admit(
        self,
        organisation: model.Organisation,
        service: model.Service,
        *,
        streamed: bool,
        prefix_hash: types.PrefixHash = types.PrefixHash(0),
        model: str = "",
    ) -> Resolved:
        placed = (service.pool, model) in self._placed_models
        return Resolved(
            organisation=organisation.id,
            service=service,
            profile=self.configuration.profiles_by_name[service.profile],
            streamed=streamed,
            prefix_hash=prefix_hash,
            model=model if placed else "",
        )


def _holds_digest(organisation: model.Organisation, digest: str) -> bool:
    matches = [
        hmac.compare_digest(digest, known) for known in organisation.key_digests
    ]
    return any(matches)


def _may_use(organisation: model.Organisation, service: model.Service) -> bool:
    """Return whether the service is declared for the organisation.

    If not, the response is the same as for a service that does not exist, so
    that an organisation cannot discover the services of others.
    """
    return not service.organisations or organisation.id in service.organisations


def _has_dot_segment(path: str) -> bool:
    plain = path.lower().replace("%2e", ".").replace("%2f", "/")
    segments = plain.replace("\\", "/").split("/")
    return "." in segments or ".." in segments


def _is_below(path: str, prefix: str) -> bool:
    return path == prefix or path.startswith(prefix.rstrip("/") + "/")


def _hash_prefix(
    organisation: types.OrganisationId, body: bytes
) -> types.PrefixHash:
    start = max(body.find(b'"messages"'), 0)
    digest = xxhash.xxh3_64(organisation.encode())
    digest.update(body[start : start + _PREFIX_BYTES])
    return types.PrefixHash(digest.intdigest())


def _bad_body(field: str, message: str, valid: str) -> Rejection:
    return Rejection(
        status=400,
        step=errors.Step.CALLER_READ,
        field=field,
        message=message,
        valid=valid,
    )


def _unknown_service(name: str) -> Rejection:
    return Rejection(
        status=404,
        step=errors.Step.RESOLVE_SERVICE,
        field="model",
        message=f"no service of yours answers for {name!r}",
        valid="a model or path that a service declares for you",
    )
