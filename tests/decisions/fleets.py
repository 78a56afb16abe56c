"""Three small fleets, each shaped like one kind of deployment, and the settings of what their gateways share.

`zones`: three sites, unequal gateways, gossip, two copies of a request allowed, keys bound to builds.
`orders`: polled discovery, in-place rollouts by a share of votes, idempotency keys with a window, no gossip.
`pushed`: one site, pushed endpoint lists, many gateways, guarded stages, exposure counted per class.
"""

from __future__ import annotations

from meadowpulley.emulator.ledger import LedgerModel
from meadowpulley.emulator.shared_state import SharedState, StageContext
from meadowpulley.fleet import parse_fleet
from meadowpulley.interface import Settings
from meadowpulley.ledger import Stage
from meadowpulley.lending import Quota, QuotaPlan
from meadowpulley.placement import parse_experiment
from meadowpulley.placement.definition import Experiment, build_placements
from meadowpulley.placement.stage import PlacementStage
from meadowpulley.policy import RolloutPolicy
from meadowpulley.takeover import TakeoverSettings
from meadowpulley.takeover.settings import JournalScope

ZONES = """
version = 1
name = "zones"
sites = [{ name = "hobart", load = 1.5 }, { name = "glenorchy" }, { name = "kingston" }]
keys = { count = 900, memory_ms = 4000, gain = 0.3 }
clients = { retries = 1 }
network = { peer_loss = 0.1 }
rollout.boot_ms = [800, 2500]
rollout.stages = [0.03, 0.12, 0.4, 1.0]
rollout.caps = [0.051, 0.2, 0.68, 1.0]
rollout.soak_ms = 2000

[[kinds]]
name = "std"
cores = 2
slots = 12
queue = 20
thrash = 0.05
cold_from = 0.4
cold_ms = 4000
connect_work_ms = 0.5

[[kinds]]
name = "fast"
cores = 2
speed = 1.6
slots = 12
queue = 20
cold_from = 0.5
cold_ms = 3000

[[servers]]
site = "hobart"
kind = "fast"
count = 4
[[servers]]
site = "glenorchy"
kind = "std"
count = 4
[[servers]]
site = "kingston"
kind = "std"
count = 4

[[classes]]
name = "address-check"
share = 0.6
work_ms = 110
work = "lognormal"
spread = 0.8
aim_ms = 1000
deadline_ms = 3000
worth = 3
[[classes]]
name = "zone-change"
share = 0.4
work_ms = 110
aim_ms = 800
deadline_ms = 2000
worth = 9
late_worth = 0.2
effect = "unsafe"

[[gateways]]
site = "hobart"
count = 1
request_ms = 0.5
[[gateways]]
site = "glenorchy"
count = 1
request_ms = 0.5
[[gateways]]
site = "kingston"
count = 1
request_ms = 0.5
"""

ORDERS = """
version = 1
name = "orders"
sites = [{ name = "invermay" }, { name = "mowbray" }]
kinds = [{ name = "small", cores = 2, slots = 8, queue = 16, cold_from = 0.5, cold_ms = 2500 }]
servers = [{ site = "invermay", kind = "small", count = 7 }, { site = "mowbray", kind = "small", count = 6 }]
gateways = [{ site = "invermay", count = 2 }, { site = "mowbray", count = 2 }]
clients = { retries = 2, backoff_ms = 200 }
keys = { count = 300, skew = 0.9 }

[[classes]]
name = "menu-price"
share = 0.4
work_ms = 120
aim_ms = 1500
deadline_ms = 5000
worth = 3
[[classes]]
name = "place-order"
share = 0.35
work_ms = 90
aim_ms = 1000
deadline_ms = 2500
worth = 3
effect = "keyed"
window_ms = 2500
[[classes]]
name = "send-kitchen"
share = 0.25
work_ms = 90
aim_ms = 1000
deadline_ms = 2500
worth = 2
effect = "unsafe"

[rollout]
stages = [0.1, 0.35, 1.0]
caps = [0.13, 0.45, 1.0]
gate = "share"
style = "in_place"
soak_ms = 2000
on_votes = 2
back_votes = 1
vote_life_ms = 4000
boot_ms = [600, 1500]
one_way = false

[rules]
max_attempts = 5
second_copies = false
peers = false
"""

PUSHED = """
version = 1
name = "pushed"
sites = [{ name = "burnie" }]
servers = [{ site = "burnie", kind = "host", count = 8 }]
gateways = [{ site = "burnie", count = 5 }]
clients = { retries = 2, backoff_ms = 50 }
keys = { count = 200 }
discovery = { must_ask = false }

[[kinds]]
name = "host"
cores = 4
slots = 10
queue = 10
cold_from = 0.38
cold_ms = 3000
cancels_waiting = true

[[classes]]
name = "order"
share = 0.7
work_ms = 120
work = "lognormal"
spread = 1.5
aim_ms = 700
deadline_ms = 2000
worth = 4
effect = "keyed"
window_ms = 1200
[[classes]]
name = "status"
share = 0.3
work_ms = 60
aim_ms = 400
deadline_ms = 1500

[rollout]
stages = [0.05, 0.2, 0.5, 1.0]
caps = [0.06, 0.24, 0.6, 1.0]
gate = "timer"
stage_time_ms = 2500
hold_votes = 1
back_votes = 1
boot_ms = [600, 1500]
exposure_window_ms = 2000
per_class = true
guarded_stages = 1

[rules]
drain_grace_ms = 500
fall_multiple = 3
fall_ms = 3000
max_attempts = 4
second_copies = false
peers = false
"""

FLEETS = {
    "zones": parse_fleet(ZONES.encode(), "zones.toml"),
    "orders": parse_fleet(ORDERS.encode(), "orders.toml"),
    "pushed": parse_fleet(PUSHED.encode(), "pushed.toml"),
}

EXPERIMENT = b"""
version = 1
name = "fewest-first"
unit = "key"
carry_ms = 1500.0
arms = [{ name = "now", policy = "own", part = 0.5 }, { name = "fewest", policy = "least", part = 0.5 }]
end = { requests = 100000 }
guard = { worse = 0.1, alpha = 0.05 }
"""

LEDGER = LedgerModel(lease_ms=900.0)
TENANTS = ("coastline", "emu-bay", "wynyard")
QUOTAS = QuotaPlan(1, 60.0, 5, (Quota(TENANTS[0], 0.5), Quota(TENANTS[1], 0.3), Quota(TENANTS[2], 0.2, 2.0)))


def placement_experiment() -> Experiment:
    """Return an experiment with two arms: the policy's own placement, and the fewest requests in flight."""
    return parse_experiment(EXPERIMENT, "experiment.toml")


def policy_with_placements(settings: Settings, seed: int) -> RolloutPolicy:
    """Return a policy that places the requests of the experiment's arms as these say."""
    return RolloutPolicy(settings, seed, build_placements(placement_experiment(), seed))


def placement_stage(context: StageContext) -> Stage:
    """Return the stage that draws an arm for each request."""
    return PlacementStage(context.inner, placement_experiment(), context.settings, context.incarnation)


SHARED_STATES = {
    "takeover": SharedState(
        LEDGER, TakeoverSettings(journal_scope=JournalScope.ALL), client_failover_ms=900.0
    ),
    "lending": SharedState(LEDGER, lending=QUOTAS, tenants=TENANTS),
    "placement": SharedState(LEDGER, inner_stages=(placement_stage,), prefixes=("placement/",)),
    "all": SharedState(
        LEDGER,
        TakeoverSettings(journal_scope=JournalScope.ALL),
        QUOTAS,
        inner_stages=(placement_stage,),
        prefixes=("placement/",),
        tenants=TENANTS,
        client_failover_ms=900.0,
    ),
}
