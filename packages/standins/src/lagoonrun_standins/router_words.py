"""Minimal dialect and store layout of a platform, for tests of the router."""

import dataclasses
import json

from lagoonrun_core import errors
from lagoonrun_router import (
    call,
    format_error,
    load_report,
    upstream_notice,
    upstreams,
)


class PlainDialect:
    """Minimal dialect with one header per attribute."""

    def read_attributes(self, head):
        """Read the call's attributes from the request headers."""
        id = head.headers.get("X-Request-Id")
        if not id:
            raise format_error.FormatError(
                step=errors.Step.CALLER_READ, detail="no id"
            )
        patience = head.headers.get("Patience")
        key = head.headers.get("Authorization")
        prompt = _prompt_of(head.headers.get("Prompt"))
        return call.CallAttributes(
            request_id=id,
            host=head.headers.get("Host") or "",
            key=key.removeprefix("Bearer ") if key else None,
            patience_seconds=float(patience) if patience else None,
            prompt_tokens=int(
                head.headers.get("Tokens") or sum(one.tokens for one in prompt)
            ),
            resumes_after=head.headers.get("Resume-After") or "",
            resumes_request=head.headers.get("Resumed-Request") or "",
            prompt=prompt,
            model=head.headers.get("Model") or "",
        )

    def upstream_head(
        self, call, *, upstream, remaining_seconds, resume_after, urgency
    ):
        """Add the upstream, the remaining time and the resume position."""
        headers = call.head.headers.without(("Authorization", "Resume-After"))
        headers = headers.with_added("Expected", upstream.id)
        headers = headers.with_added("Left", f"{remaining_seconds:.3f}")
        if resume_after:
            headers = headers.with_added("Resume-After", resume_after)
        return dataclasses.replace(call.head, headers=headers)

    def says_not_run(self, head):
        """Return whether the answer has the header `Not-Run`."""
        return "Not-Run" in head.headers

    def is_misdirected(self, head):
        """Return whether the status is 421."""
        return head.status == 421

    def names_version(self, head):
        """Return whether the request has the header `Expected-Version`."""
        return "Expected-Version" in head.headers

    def is_genuine(self, head):
        """Return whether the answer has the header `Mark`."""
        return "Mark" in head.headers

    def read_notice(self, head):
        """Return the upstream's rate limit, leaving state, back-off and load."""
        limit = head.headers.get("Limit")
        rest = head.headers.get("Retry-After") if head.status == 503 else None
        brittle = head.headers.get("Brittle")
        return upstream_notice.UpstreamNotice(
            requests_per_second=float(limit) if limit else None,
            leaving="Leaving" in head.headers,
            rest_seconds=float(rest) if rest else None,
            load=_load_of(head.headers.get("Load")),
            refusals_per_second=float(brittle) if brittle else None,
            refused=head.status == 503 and self.says_not_run(head),
        )


def _prompt_of(text):
    """Return the parts of the prompt in `id,id,...`, ten tokens each."""
    return tuple(
        call.PromptPart(id=id, tokens=10)
        for id in (text or "").split(",")
        if id
    )


def _load_of(text):
    """Return the load in `running,waiting,slots[,slowness in percent]`."""
    if not text:
        return None
    running, waiting, slots, *slowness = (int(one) for one in text.split(","))
    return load_report.LoadReport(
        running=running,
        waiting=waiting,
        slots=slots,
        slowness=slowness[0] / 100 if slowness else None,
    )


class PlainLayout:
    """Layout of a store whose values are revision numbers and JSON.

    The test puts the declarations of a revision in `declared_by_revision`.
    """

    declarations_key = "declared"
    upstreams_prefix = "upstreams/"
    entry_vms_prefix = "entry-vms/"
    blocked_requests_prefix = "blocked-requests/"
    overrides_prefix = "overrides/"

    def __init__(self):
        self.declared_by_revision = {}

    def decode_declarations(self, value):
        """Return the test's declarations for the revision number `value`."""
        try:
            return self.declared_by_revision[int(value)]
        except (ValueError, KeyError) as error:
            raise format_error.FormatError(
                step=errors.Step.CONFIGURATION, detail=repr(value)
            ) from error

    def decode_upstream(self, key, value):
        """Return the registration that `value` has as JSON."""
        try:
            return upstreams.Registration(**json.loads(value))
        except (ValueError, TypeError) as error:
            raise format_error.FormatError(
                step=errors.Step.CONFIGURATION, detail=repr(value)
            ) from error
