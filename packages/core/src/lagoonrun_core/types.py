"""Ids and small typing aliases shared by every package.

All durations are `float` seconds and carry a `_seconds` suffix; all instants
are readings of a `Clock` in seconds.
"""

from typing import NewType

RequestId = NewType("RequestId", str)
"""Identifies one arrival at one entry VM; passed on to the upstream."""

RequestDigest = NewType("RequestDigest", str)
"""The same for all requests of one caller with the same path and body."""

UNKNOWN_REQUEST = RequestDigest("")

AttemptId = NewType("AttemptId", int)
"""Numbers the permit attempts of one request, from 1."""

OrganisationId = NewType("OrganisationId", str)
ServiceName = NewType("ServiceName", str)
ProfileName = NewType("ProfileName", str)
"""Names a profile, and thereby the class of the requests that carry it."""

PoolName = NewType("PoolName", str)
UpstreamId = NewType("UpstreamId", str)

UpstreamStart = NewType("UpstreamStart", int)
"""Orders the starts of an upstream under one id; a later one is larger."""

UNKNOWN_UPSTREAM_START = UpstreamStart(0)
"""Of an upstream that does not say when it started."""

EntryVmId = NewType("EntryVmId", str)
NO_ENTRY_VM = EntryVmId("")
FailureDomain = NewType("FailureDomain", str)
UNKNOWN_DOMAIN = FailureDomain("")

LoadReporter = EntryVmId | FailureDomain
"""Who tells of work: an entry VM of its own, or one for a whole domain."""
DutyName = NewType("DutyName", str)
"""Names what one entry VM at a time does for all others."""

Region = NewType("Region", str)
"""Failure domains that are near each other; empty for the unnamed one."""

ShardId = NewType("ShardId", str)
"""`pool@domain/index`: at most 32 runners of one pool in one domain."""

Tier = NewType("Tier", int)
"""Priority of a profile: 1 is the highest, 6 the lowest."""

Revision = NewType("Revision", int)
"""Number of an accepted configuration; grows by one with each change."""

NO_REVISION = Revision(0)

ChangeId = NewType("ChangeId", str)
Incarnation = NewType("Incarnation", int)
FencingNumber = NewType("FencingNumber", int)
PrefixHash = NewType("PrefixHash", int)
"""Hash of a prompt's prefix, salted with its organisation; 0 means none."""

HIGHEST_TIER = Tier(1)
LOWEST_TIER = Tier(6)
