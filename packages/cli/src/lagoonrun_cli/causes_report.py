"""Tables of the counted causes of missing and late responses."""

import collections

from lagoonrun_cli import exit_codes, log_causes, reports

_ATTRIBUTE_BY_TITLE = {
    "by class": "profile",
    "by failure domain": "domain",
    "by moment": "moment",
}


def report(counts: log_causes.Count) -> reports.Report:
    """Return the report of the causes counted in captured log lines."""
    causes = counts.by_cause()
    return reports.Report(
        code=exit_codes.ExitCode.DONE,
        fields={
            "requests": counts.requests,
            "not_in_time": counts.not_in_time,
            "reread_tokens": counts.reread_tokens,
            "causes": {one.value: causes[one] for one in causes},
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
