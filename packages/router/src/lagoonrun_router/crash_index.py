"""Crash records by what they are held against: requests and prompt parts."""

from collections.abc import Iterator, Mapping

from lagoonrun_core import types
from lagoonrun_router import crash_records, running_requests

Records = dict[types.RequestDigest, crash_records.CrashRecord]
"""Records of one crash by request."""

RecordsByInstance = dict[running_requests.UpstreamInstance, Records]


class CrashIndex:
    """The records of each suspect, by crash and request."""

    def __init__(self) -> None:
        self._by_suspect: dict[crash_records.Suspect, RecordsByInstance] = {}

    def __iter__(self) -> Iterator[crash_records.Suspect]:
        """Iterate over the suspects."""
        return iter(self._by_suspect)

    def __contains__(self, suspect: crash_records.Suspect) -> bool:
        """Return whether a suspect has records."""
        return suspect in self._by_suspect

    def records_of(
        self, suspect: crash_records.Suspect
    ) -> Mapping[running_requests.UpstreamInstance, Records]:
        """Return the records of a suspect by crash."""
        return self._by_suspect.get(suspect, {})

    def put(self, record: crash_records.CrashRecord) -> None:
        """Add a record, or replace that of the same request and crash."""
        for suspect in record.suspects:
            by_instance = self._by_suspect.setdefault(suspect, {})
            by_instance.setdefault(record.instance, {})[record.request] = record

    def drop(self, record: crash_records.CrashRecord) -> None:
        """Drop a record."""
        for suspect in record.suspects:
            by_instance = self._by_suspect[suspect]
            del by_instance[record.instance][record.request]
            if not by_instance[record.instance]:
                del by_instance[record.instance]
            if not by_instance:
                del self._by_suspect[suspect]
