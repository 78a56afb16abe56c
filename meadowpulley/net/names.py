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
ID = "x-txn"
KEY = "x-entity"
TENANT = "x-org"
REMAINING = "x-remaining"
REPEAT = "x-resent"
HINT = "x-estimate"
LOAD = "x-pressure"
NOT_RUN = "x-turned-away"
SERVICE = "app.svc"

# Paths.
READY = "/health/ready"
HEALTH = "/health/live"
LIST = "/registry/instances"
AFTER, WAIT = "after", "wait_ms"

# A list of instances.
VERSION, WHOLE, ENTRIES = "index", "snapshot", "endpoints"
NAME, ADDRESS, ZONE, KIND, CELL = "name", "address", "zone", "type", "group"
STATE, WEIGHT, STARTED, BUILD = "status", "weight", "since_ms", "revision_no"
STATES = {
    "in_service": ServerState.READY,
    "terminating": ServerState.DRAINING,
    "terminated": ServerState.REMOVED,
}

# The platform.
FOLLOW, VOTE = "follow", "castBallot"
NEWS, TALLY, WRONG, ALIVE = "ROLLOUT", "SAMPLE", "DISPUTE", "ping"
NEWS_BUILD, NEWS_STAGE, NEWS_PHASE, NEWS_CAP, NEWS_AGE = "release", "tranche", "mode", "exposure", "old_ms"
VERDICT, CLASS = "ruling", "product"
TALLY_MANY, TALLY_FAILED, TALLY_MEAN, WRONG_SERVER = "seen", "broken", "took_ms", "unit"
PHASES = {
    "canary": Phase.TRIAL,
    "reverting": Phase.ROLLING_BACK,
    "stable": Phase.RELEASED,
    "reverted": Phase.ROLLED_BACK,
}
VERDICTS = {Verdict.NONE: "none", Verdict.ADVANCE: "on", Verdict.HOLD: "hold", Verdict.ROLL_BACK: "back"}
CALL_ERRORS = {
    "limit": Result.REJECTED,
    "moot": Result.NOT_SENT,
    "error": Result.ERROR,
    "malformed": Result.ERROR,
}
