"""Metrics: each figure of an experiment is kept for all its classes together, and for each class."""

from __future__ import annotations

ALL_CLASSES_METRIC = 0
BASELINE_ARM = 0  # the first arm of an experiment, with which all others are compared


def class_metric(class_index: int) -> int:
    """Return the metric of one class; classes are in the experiment's order."""
    return class_index + 1


def metrics_of(class_index: int) -> tuple[int, int]:
    """Return the metrics that a request of a class counts in."""
    return ALL_CLASSES_METRIC, class_index + 1
