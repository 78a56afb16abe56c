"""Capacity planner: bottlenecks, the servers that a goal needs, the loss of a site, and spikes.

Reading order: `queues` (queueing theory with sources), `demand` (what a load needs), `bottlenecks` (each
resource and the load at which it is exhausted), `predict` (predictions with intervals: theory where exact,
else the emulator), `sizing`, `site_loss`, `spike` (the three questions), `verify` (predictions beside
measurements). All is pure except the processes that run emulations.
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
