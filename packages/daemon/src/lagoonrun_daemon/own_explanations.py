"""Explanations of an organisation's own requests, on the caller address.

An organisation can only read explanations of its own requests, without details
that reveal others: no queue, candidates or upstream. A query for a request of
another organisation gets the same response as for an unknown request.
"""

import json
from typing import Any

from lagoonrun_core import errors, outcomes, types
from lagoonrun_daemon import explanations
from lagoonrun_http import errors as http_errors
from lagoonrun_http import messages as http_messages
from lagoonrun_http import server as http_server

PATH = "/lagoonrun/explain/"


class OwnExplanations:
    """Serve `GET /lagoonrun/explain/REQUEST_ID`.

    Parameters
    ----------
    ring
        Explanations of recent requests at this entry VM.
    """

    def __init__(self, *, ring: explanations.ExplanationRing) -> None:
        self._ring = ring

    def matches(self, target: str) -> bool:
        """Return whether a request's target is the explain endpoint."""
        return target.startswith(PATH)

    async def answer(
        self,
        exchange: http_server.Exchange,
        organisation: types.OrganisationId,
    ) -> None:
        """Respond to an authenticated caller."""
        await exchange.read_body()
        asked = exchange.head.target.removeprefix(PATH).partition("?")[0]
        found = self._ring.find(types.RequestId(asked))
        own = found is not None and found.organisation == organisation
        if not own:
            # Same response for foreign and unknown requests, so that it does
            # not reveal which ids exist.
            await _respond(exchange, 404, _unknown_body(asked))
            return
        await _respond(exchange, 200, json.dumps(_shown(found)).encode())


async def _respond(
    exchange: http_server.Exchange, status: int, body: bytes
) -> None:
    headers = http_messages.Headers(
        pairs=[("Content-Type", "application/json")]
    )
    await exchange.respond(status=status, headers=headers, body=body)


def _unknown_body(asked: str) -> bytes:
    return http_errors.error_body(
        step=errors.Step.EXPLAIN,
        field="path",
        message=f"no request {asked!r} of yours is known here",
        valid="the Lagoonrun-Request-Id of a recent request, at the entry VM "
        "that answered it",
    )


def _shown(found: explanations.Explanation) -> dict[str, Any]:
    return {
        "request_id": found.request_id,
        "ending": _ending(found.ending),
        "happenings": [
            {"at_seconds": one.at_seconds, "what": one.what}
            for one in found.happenings
        ],
        "decisions": [
            {
                "verdict": one.verdict,
                "reason": one.reason.value,
                "profile": one.profile,
                "tier": one.tier,
                "waited_seconds": one.waited_seconds,
                "remaining_seconds": one.remaining_seconds,
                "expected_service_seconds": one.expected_service_seconds,
                "retry_after_seconds": one.retry_after_seconds,
                "revision": one.revision,
            }
            for one in found.decisions
        ],
    }


def _ending(ending: outcomes.Ending | None) -> dict[str, Any] | None:
    if ending is None:
        return None
    return {
        "outcome": ending.outcome.value,
        "reason": ending.reason.value,
        "retry_after_seconds": ending.retry_after_seconds,
    }
