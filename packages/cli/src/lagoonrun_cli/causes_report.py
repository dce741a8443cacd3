"""Tables of the counted causes of missing and late responses."""

import collections
import dataclasses

from lagoonrun_cli import exit_codes, log_causes, reports

_ATTRIBUTE_BY_TITLE = {
    "by class": "profile",
    "by failure domain": "domain",
    "by moment": "moment",
}
_LISTED_GROUPS = 10
"""Organisations and upstreams that are listed; a fleet has thousands."""


def report(counts: log_causes.Count) -> reports.Report:
    """Return the report of the causes counted in captured log lines."""
    causes = counts.by_cause()
    organisations = counts.largest_organisations(limit=_LISTED_GROUPS)
    # Lines of versions that logged no organisation form no table of their own.
    by_organisation = (
        counts.largest_by("organisation", limit=_LISTED_GROUPS)
        if organisations
        else {}
    )
    by_upstream = counts.largest_by("upstream", limit=_LISTED_GROUPS)
    return reports.Report(
        code=exit_codes.ExitCode.DONE,
        fields={
            "requests": counts.requests,
            "not_in_time": counts.not_in_time,
            "reread_tokens": counts.reread_tokens,
            "causes": {one.value: causes[one] for one in causes},
            "causes_by_organisation": _numbers(by_organisation),
            "causes_by_upstream": _numbers(by_upstream),
            "organisations": {
                id: dataclasses.asdict(requests)
                for id, requests in organisations.items()
            },
        },
        sections=(
            reports.Text(
                text=f"{counts.not_in_time} of {counts.requests} requests had no "
                f"answer in time; {counts.reread_tokens} tokens of shared "
                "parts were read again"
            ),
            _by_cause(causes, counts.not_in_time),
            *(
                _by_group(title, counts.by(attribute))
                for title, attribute in _ATTRIBUTE_BY_TITLE.items()
            ),
            _by_group("by upstream", by_upstream),
            *(
                (
                    _by_group("by organisation", by_organisation),
                    _of_organisations(organisations),
                )
                if organisations
                else ()
            ),
        ),
    )


def _numbers(
    grouped: dict[str, collections.Counter[log_causes.Cause]],
) -> dict[str, dict[str, int]]:
    """Return the counts of causes by group as JSON values."""
    return {
        key: {cause.value: requests for cause, requests in causes.items()}
        for key, causes in grouped.items()
    }


def _of_organisations(
    organisations: dict[str, log_causes.OrganisationRequests],
) -> reports.Table:
    return reports.Table(
        title="requests of organisations",
        columns=(
            "organisation",
            "requests",
            "not in time",
            "refused",
            "over-share",
        ),
        rows=tuple(
            (
                id,
                str(one.requests),
                str(one.not_in_time),
                str(one.refused),
                str(one.over_share),
            )
            for id, one in organisations.items()
        ),
    )


def _by_cause(
    causes: collections.Counter[log_causes.Cause], not_in_time: int
) -> reports.Table:
    return reports.Table(
        title="by cause",
        columns=("cause", "requests", "share"),
        rows=tuple(
            (cause.value, str(requests), f"{requests / not_in_time:.2f}")
            for cause, requests in causes.most_common()
        ),
    )


def _by_group(
    title: str, grouped: dict[str, collections.Counter[log_causes.Cause]]
) -> reports.Table:
    return reports.Table(
        title=title,
        columns=("group", "cause", "requests"),
        rows=tuple(
            (key, cause.value, str(requests))
            for key, causes in grouped.items()
            for cause, requests in causes.most_common()
        ),
    )
