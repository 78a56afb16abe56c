"""The capacity planner: what breaks first, how many servers a goal needs, what losing a site or a spike does.

Reading order: `queues` (theory, with its sources and ranges), `demand` (what a load asks of a fleet),
`breaks` (every resource, with the load at which it breaks), `predict` (predictions with intervals: theory
where it is exact, the emulator where it is not), `needs`, `site`, `spike` (the three questions), `verify` (a
prediction beside what was measured). All of it is pure but for the processes that run emulations.
"""

from meadowpulley.capacity.bottlenecks import Bottleneck, find_bottlenecks
from meadowpulley.capacity.demand import Demand, measure_demand
from meadowpulley.capacity.predict import CapacityPlan, Prediction, make_plan
from meadowpulley.capacity.site_loss import SiteLoss, predict_site_loss
from meadowpulley.capacity.sizing import Goal, SizingResult, size_fleet
from meadowpulley.capacity.spike import Spike, SpikeResult, predict_spike

__all__ = [
    "Bottleneck",
    "CapacityPlan",
    "Demand",
    "Goal",
    "Prediction",
    "SiteLoss",
    "SizingResult",
    "Spike",
    "SpikeResult",
    "find_bottlenecks",
    "make_plan",
    "measure_demand",
    "predict_site_loss",
    "predict_spike",
    "size_fleet",
]
