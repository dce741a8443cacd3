"""Write counted causes as tables."""

import collections

from lagoonrun_cli import exit_codes, log_causes, reports

_ATTRIBUTE_BY_TITLE = {
    "by class": "profile",
    "by failure domain": "domain",
    "by moment": "moment",
}


def report(counted: log_causes.Count) -> reports.Report:
    """Return the report of the causes in captured lines."""
    causes = counted.by_cause()
    return reports.Report(
        code=exit_codes.ExitCode.DONE,
        fields={
            "requests": counted.requests,
            "not_in_time": counted.lost,
            "reread_tokens": counted.reread_tokens,
            "causes": {one.value: causes[one] for one in causes},
        },
        sections=(
            reports.Text(
                text=f"{counted.lost} of {counted.requests} requests had no "
                f"answer in time; {counted.reread_tokens} tokens of shared "
                "parts were read again"
            ),
            _by_cause(causes, counted.lost),
            *(
                _by_group(title, counted.by(attribute))
                for title, attribute in _ATTRIBUTE_BY_TITLE.items()
            ),
        ),
    )


def _by_cause(
    causes: collections.Counter[log_causes.Cause], lost: int
) -> reports.Table:
    return reports.Table(
        title="by cause",
        columns=("cause", "requests", "share"),
        rows=tuple(
            (cause.value, str(requests), f"{requests / lost:.2f}")
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
