"""Reasons that logs and responses give for a failed upstream exchange."""

from lagoonrun_core import outcomes
from lagoonrun_http import upstream_messages

_Stage = upstream_messages.FailureStage

REASONS_BY_STAGE = {
    _Stage.CONNECT: outcomes.Reason.UPSTREAM_CONNECT,
    _Stage.WRITE: outcomes.Reason.UPSTREAM_CLOSED,
    _Stage.READ_HEAD: outcomes.Reason.UPSTREAM_CLOSED,
    _Stage.READ_BODY: outcomes.Reason.UPSTREAM_CLOSED,
    _Stage.MISMATCH: outcomes.Reason.UPSTREAM_MISMATCH,
    _Stage.PROTOCOL: outcomes.Reason.UPSTREAM_PROTOCOL,
    _Stage.TIMEOUT: outcomes.Reason.UPSTREAM_TIMEOUT,
}
