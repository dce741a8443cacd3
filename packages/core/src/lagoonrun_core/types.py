"""Ids and type aliases shared by all packages.

Durations are `float` seconds and have the suffix `_seconds`; points in time are
values of a `Clock` in seconds.
"""

from typing import NewType

RequestId = NewType("RequestId", str)
"""Id of a request as received by one entry VM; forwarded to the upstream."""

NO_REQUEST = RequestId("")

RequestDigest = NewType("RequestDigest", str)
"""Digest shared by all requests of one caller with the same path and body."""

UNKNOWN_REQUEST = RequestDigest("")

PromptPartDigest = NewType("PromptPartDigest", str)
"""Digest of a part of a prompt in one pool and for one model."""

BlockId = NewType("BlockId", str)
"""Digest of a blocked request, or those of blocked parts of prompts."""

AttemptId = NewType("AttemptId", int)
"""Number of a permit attempt of one request, from 1."""

OrganisationId = NewType("OrganisationId", str)
ServiceName = NewType("ServiceName", str)
ProfileName = NewType("ProfileName", str)
"""Name of a profile, which is also the class of the requests that use it."""

PoolName = NewType("PoolName", str)
NO_POOL = PoolName("")
UpstreamId = NewType("UpstreamId", str)

UpstreamStart = NewType("UpstreamStart", int)
"""Start number of an upstream; increases with each start under one id."""

UNKNOWN_UPSTREAM_START = UpstreamStart(0)
"""Start number of an upstream that does not report one."""

UpstreamVersion = NewType("UpstreamVersion", str)
"""Version of an upstream's software; comparable within one pool only."""

UNKNOWN_UPSTREAM_VERSION = UpstreamVersion("")

EntryVmId = NewType("EntryVmId", str)
NO_ENTRY_VM = EntryVmId("")
FailureDomain = NewType("FailureDomain", str)
UNKNOWN_DOMAIN = FailureDomain("")

LoadReporter = EntryVmId | FailureDomain
"""Source of a load report: an entry VM, or a failure domain as a whole."""

DutyName = NewType("DutyName", str)
"""Name of a duty: a task that one entry VM at a time performs for all."""

Region = NewType("Region", str)
"""Group of failure domains near each other; empty for the unnamed region."""

ShardId = NewType("ShardId", str)
"""`pool@domain/index`: at most 32 runners of one pool in one domain."""

Tier = NewType("Tier", int)
"""Priority of a profile: 1 is the highest, 6 the lowest."""

Revision = NewType("Revision", int)
"""Number of an accepted configuration; increases by one with each change."""

NO_REVISION = Revision(0)

ChangeId = NewType("ChangeId", str)
Incarnation = NewType("Incarnation", int)
FencingNumber = NewType("FencingNumber", int)
PrefixHash = NewType("PrefixHash", int)
"""Hash of a prompt's prefix, salted with its organisation; 0 means none."""

HIGHEST_TIER = Tier(1)
LOWEST_TIER = Tier(6)
