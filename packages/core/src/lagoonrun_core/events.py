"""Numbered log events; docs/log-events.md describes each of them.

Numbers are never reused. The hundreds are areas: 1xx process,
2xx request and routing decisions, 3xx shards and permits, 4xx upstreams,
5xx configuration, 6xx membership, 7xx platform, 8xx orders, 9xx admin.
"""

import enum


class LogEvent(enum.Enum):
    """One kind of log line: its number and its name."""

    PROCESS_STARTED = (100, "process-started")
    PROCESS_READY = (101, "process-ready")
    PROCESS_STOPPING = (102, "process-stopping")
    PROCESS_STOPPED = (103, "process-stopped")
    TASK_FAILED = (104, "task-failed")
    SETTINGS_RELOADED = (105, "settings-reloaded")
    READINESS_CHANGED = (106, "readiness-changed")
    LOG_LINES_LEFT_OUT = (107, "log-lines-left-out")
    SETTINGS_REJECTED = (108, "settings-rejected")
    EVENT_LOOP_STALLED = (109, "event-loop-stalled")

    REQUEST_ENDED = (200, "request-ended")
    REQUEST_REJECTED = (201, "request-rejected")
    REQUEST_ROUTED = (202, "request-routed")
    REQUEST_REFUSED = (203, "request-refused")
    REQUEST_RETRIED = (204, "request-retried")
    REQUEST_RESUMED = (205, "request-resumed")
    REQUEST_CUT = (206, "request-cut")
    CLAIM_DECIDED = (207, "claim-decided")
    FALLBACK_ROUTED = (208, "fallback-routed")
    REQUEST_BLOCKED = (209, "request-blocked")
    REQUEST_UNBLOCKED = (210, "request-unblocked")
    PLACE_DECIDED = (211, "place-decided")
    PLACE_UNANSWERED = (212, "place-unanswered")
    STREAM_TAKEN_UP = (213, "stream-taken-up")

    SHARD_OWNED = (300, "shard-owned")
    SHARD_RELEASED = (301, "shard-released")
    PERMIT_HANDOVER = (302, "permit-handover")
    PERMIT_RETURNED = (303, "permit-returned")

    UPSTREAM_EJECTED = (400, "upstream-ejected")
    UPSTREAM_RESTORED = (401, "upstream-restored")
    UPSTREAM_LEAVING = (402, "upstream-leaving")
    UPSTREAM_MISMATCH = (403, "upstream-mismatch")
    UPSTREAM_STATE_CHANGED = (404, "upstream-state-changed")
    UPSTREAM_ATTEMPT_LOST = (405, "upstream-attempt-lost")
    UPSTREAM_ENTRY_REJECTED = (406, "upstream-entry-rejected")
    UPSTREAM_RESTARTED = (407, "upstream-restarted")
    UPSTREAM_CRASHED = (408, "upstream-crashed")
    UPSTREAM_LIMITED = (409, "upstream-limited")
    UPSTREAM_NOTICE_REJECTED = (410, "upstream-notice-rejected")
    UPSTREAM_RESTS = (411, "upstream-rests")
    UPSTREAM_LINK_CHANGED = (412, "upstream-link-changed")
    UPSTREAM_BRITTLE = (413, "upstream-brittle")
    CRASH_SUSPECTS = (414, "crash-suspects")
    SILENT_RUN_KEPT = (415, "silent-run-kept")

    CONFIGURATION_IN_FORCE = (500, "configuration-in-force")
    CONFIGURATION_REJECTED = (501, "configuration-rejected")
    OVERRIDE_CHANGED = (502, "override-changed")

    MEMBER_STATE_CHANGED = (600, "member-state-changed")
    PEER_FRAME_REJECTED = (601, "peer-frame-rejected")
    PEER_GAINED = (602, "peer-gained")
    PEER_LOST = (603, "peer-lost")
    RELAY_CHANGED = (604, "relay-changed")
    FORWARDED_CONNECTION_ENDED = (605, "forwarded-connection-ended")

    PLATFORM_UNREACHABLE = (700, "platform-unreachable")
    PLATFORM_REACHABLE = (701, "platform-reachable")
    STORE_DUTY_CHANGED = (702, "store-duty-changed")
    STORE_ERA_CHANGED = (703, "store-era-changed")
    STORE_CALL_NOT_SENT = (704, "store-call-not-sent")
    STORE_ITEM_REJECTED = (705, "store-item-rejected")

    ORDERER_ELECTED = (800, "orderer-elected")
    ORDERER_LOST = (801, "orderer-lost")
    ORDER_DECIDED = (802, "order-decided")
    ORDER_ENDED = (803, "order-ended")
    USAGE_SETTLED = (804, "usage-settled")
    USAGE_REPORTED = (805, "usage-reported")
    USAGE_RECORD_REJECTED = (806, "usage-record-rejected")
    RUNNERS_ORDERED = (807, "runners-ordered")

    def __init__(self, number: int, label: str) -> None:
        self.number = number
        self.label = label
