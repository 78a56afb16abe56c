"""Every name of the protocol in one place: variables, headers, paths, fields and words.

Another protocol can be put in front of the gateway by another page like this one.
"""

from __future__ import annotations

from meadowpulley.interface import Phase, Result, ServerState, Verdict

# What the gateway is told at its start.
ENV_NAME = "PROXY_NAME"
ENV_LISTEN = "PROXY_LISTEN"
ENV_DISCOVERY = "PROXY_DISCOVERY"
ENV_CONFIG = "PROXY_CONFIG"

# Headers, in lower case as the parser keeps them, and as they are written.
REQUEST_ID_HEADER = "x-txn"
ENTITY_KEY_HEADER = "x-entity"
TENANT_HEADER = "x-org"
REMAINING_TIME_HEADER = "x-remaining"
RESEND_HEADER = "x-resent"
WORK_ESTIMATE_HEADER = "x-estimate"
LOAD_REPORT_HEADER = "x-pressure"
REJECTED_HEADER = "x-turned-away"
SERVICE_HOST = "app.svc"

# Paths.
READINESS_PATH = "/health/ready"
LIVENESS_PATH = "/health/live"
ENDPOINTS_PATH = "/registry/instances"
AFTER_PARAMETER, WAIT_PARAMETER = "after", "wait_ms"

# A list of instances.
LIST_VERSION, LIST_IS_SNAPSHOT, LIST_ENDPOINTS = "index", "snapshot", "endpoints"
ENDPOINT_NAME, ENDPOINT_ADDRESS, ENDPOINT_ZONE, ENDPOINT_KIND, ENDPOINT_CELL = (
    "name",
    "address",
    "zone",
    "type",
    "group",
)
ENDPOINT_STATE, ENDPOINT_WEIGHT, ENDPOINT_STARTED, ENDPOINT_BUILD = (
    "status",
    "weight",
    "since_ms",
    "revision_no",
)
ENDPOINT_STATES = {
    "in_service": ServerState.READY,
    "terminating": ServerState.DRAINING,
    "terminated": ServerState.REMOVED,
}

# The platform.
FOLLOW_METHOD, VOTE_METHOD = "follow", "castBallot"
ROLLOUT_NOTIFICATION, STATISTICS_NOTIFICATION, INCORRECT_RESPONSE_NOTIFICATION, HEARTBEAT_NOTIFICATION = (
    "ROLLOUT",
    "SAMPLE",
    "DISPUTE",
    "ping",
)
MESSAGE_BUILD, ROLLOUT_STAGE, ROLLOUT_PHASE, ROLLOUT_CAP, MESSAGE_AGE = (
    "release",
    "tranche",
    "mode",
    "exposure",
    "old_ms",
)
VOTE_VERDICT, REQUEST_CLASS = "ruling", "product"
STATISTICS_ATTEMPTS, STATISTICS_FAILURES, STATISTICS_MEAN_MS, INCORRECT_RESPONSE_SERVER = (
    "seen",
    "broken",
    "took_ms",
    "unit",
)
ROLLOUT_PHASES = {
    "canary": Phase.TRIAL,
    "reverting": Phase.ROLLING_BACK,
    "stable": Phase.RELEASED,
    "reverted": Phase.ROLLED_BACK,
}
VOTE_VERDICTS = {Verdict.NONE: "none", Verdict.ADVANCE: "on", Verdict.HOLD: "hold", Verdict.ROLL_BACK: "back"}
VOTE_ERRORS = {
    "limit": Result.REJECTED,
    "moot": Result.NOT_SENT,
    "error": Result.ERROR,
    "malformed": Result.ERROR,
}
