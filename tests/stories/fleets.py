"""Fleets of the stories, small enough that a story of half a minute runs in well under a second."""

from __future__ import annotations

from meadowpulley.fleet import Fleet, parse_fleet

FLEET = """
version = 1
name = "stories"
sites = [{ name = "hobart" }, { name = "kingston" }]
kinds = [{ name = "std", cores = 2, slots = 12, queue = 30, cold_from = 0.5, cold_ms = 3000 }]
servers = [{ site = "hobart", kind = "std", count = 4 }, { site = "kingston", kind = "std", count = 4 }]
gateways = [{ site = "hobart", count = %(hobart)d }, { site = "kingston", count = %(kingston)d }]
keys = { count = 400, memory_ms = 4000, gain = 0.2 }
clients = { retries = %(retries)d }
rollout = { boot_ms = [600, 1200], soak_ms = 1500, drain_ms = 2000 }

[[classes]]
name = "look-up"
share = 0.5
work_ms = 60
aim_ms = 800
deadline_ms = 2500
worth = 3

[[classes]]
name = "booking"
share = 0.25
work_ms = 60
aim_ms = 800
deadline_ms = 2500
worth = 9
effect = "unsafe"

[[classes]]
name = "transfer"
share = 0.25
work_ms = 60
aim_ms = 800
deadline_ms = 2500
worth = 6
effect = "keyed"
window_ms = 4000
"""


def small_fleet(gateways: int, retries: int = 1) -> Fleet:
    """Return two sites with eight servers and a number of gateways, at least two."""
    figures = {"hobart": (gateways + 1) // 2, "kingston": gateways // 2, "retries": retries}
    return parse_fleet((FLEET % figures).encode(), "stories.toml")
