"""All names of the wire protocol: environment variables, headers, paths, JSON fields and values.

To support another protocol, replace this module.
"""

from __future__ import annotations

from meadowpulley.interface import Phase, Result, ServerState, Verdict

# Environment variables of the gateway.
ENV_NAME = "PROXY_NAME"
ENV_LISTEN = "PROXY_LISTEN"
ENV_DISCOVERY = "PROXY_DISCOVERY"
ENV_CONFIG = "PROXY_CONFIG"

# Header names, in lower case both when parsed and when written, and some of their values. SERVICE_HOST and
# DISCOVERY_HOST are the Host headers of requests to instances and to discovery.
REQUEST_ID_HEADER = "x-txn"
ENTITY_KEY_HEADER = "x-entity"
TENANT_HEADER = "x-org"
REMAINING_TIME_HEADER = "x-remaining"
RESEND_HEADER = "x-resent"
WORK_ESTIMATE_HEADER = "x-estimate"
LOAD_REPORT_HEADER = "x-pressure"
REJECTED_HEADER = "x-turned-away"
REJECTED_VALUE = "1"
MICROSECONDS_UNIT = "u"  # suffix of a remaining time that is given in microseconds
SERVICE_HOST = "app.svc"
DISCOVERY_HOST = "discovery"

# Paths, and the query parameters of calls for the endpoint list.
READINESS_PATH = "/health/ready"
LIVENESS_PATH = "/health/live"
ENDPOINTS_PATH = "/registry/instances"
AFTER_PARAMETER = "after"
WAIT_PARAMETER = "wait_ms"

# JSON fields of the endpoint list and of its endpoints.
LIST_VERSION = "index"
LIST_IS_SNAPSHOT = "snapshot"
LIST_ENDPOINTS = "endpoints"
ENDPOINT_NAME = "name"
ENDPOINT_ADDRESS = "address"
ENDPOINT_ZONE = "zone"
ENDPOINT_KIND = "type"
ENDPOINT_CELL = "group"
ENDPOINT_STATE = "status"
ENDPOINT_WEIGHT = "weight"
ENDPOINT_STARTED = "since_ms"
ENDPOINT_BUILD = "revision_no"
ENDPOINT_STATES = {
    "in_service": ServerState.READY,
    "terminating": ServerState.DRAINING,
    "terminated": ServerState.REMOVED,
}

# Methods and notifications of the platform, and their JSON fields.
FOLLOW_METHOD = "follow"
VOTE_METHOD = "castBallot"
ROLLOUT_NOTIFICATION = "ROLLOUT"
STATISTICS_NOTIFICATION = "SAMPLE"
INCORRECT_RESPONSE_NOTIFICATION = "DISPUTE"
HEARTBEAT_NOTIFICATION = "ping"
MESSAGE_BUILD = "release"
ROLLOUT_STAGE = "tranche"
ROLLOUT_PHASE = "mode"
ROLLOUT_CAP = "exposure"
MESSAGE_AGE = "old_ms"
VOTE_VERDICT = "ruling"
REQUEST_CLASS = "product"
STATISTICS_ATTEMPTS = "seen"
STATISTICS_FAILURES = "broken"
STATISTICS_MEAN_MS = "took_ms"
INCORRECT_RESPONSE_SERVER = "unit"
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
