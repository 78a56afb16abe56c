"""The capacity planner: what breaks first, how many servers a goal needs, what losing a site or a spike does.

Reading order: `queues` (theory, with its sources and ranges), `demand` (what a load asks of a fleet),
`breaks` (every resource, with the load at which it breaks), `predict` (predictions with intervals: theory
where it is exact, the emulator where it is not), `needs`, `site`, `spike` (the three questions), `verify` (a
prediction beside what was measured). All of it is pure but for the processes that run emulations.
"""

from meadowpulley.capacity.breaks import Break, what_breaks
from meadowpulley.capacity.demand import Demand, demand_of
from meadowpulley.capacity.needs import Goal, Needs, how_many
from meadowpulley.capacity.predict import Plan, Prediction, make_plan
from meadowpulley.capacity.site import SiteLoss, lose_site
from meadowpulley.capacity.spike import Spike, SpikeResult, play_spike

__all__ = [
    "Break",
    "Demand",
    "Goal",
    "Needs",
    "Plan",
    "Prediction",
    "SiteLoss",
    "Spike",
    "SpikeResult",
    "demand_of",
    "how_many",
    "lose_site",
    "make_plan",
    "play_spike",
    "what_breaks",
]
