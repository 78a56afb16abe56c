"""Indices of metrics: each sum is kept for all classes of an experiment together and for each class."""

from __future__ import annotations

ALL_CLASSES_METRIC = 0
BASELINE_ARM = 0  # the first arm of an experiment, with which all others are compared


def class_metric(class_index: int) -> int:
    """Return the index of one class's metric; classes are numbered in the experiment's order."""
    return class_index + 1


def metrics_of(class_index: int) -> tuple[int, int]:
    """Return the metrics that include a class: that of all classes and its own."""
    return ALL_CLASSES_METRIC, class_index + 1
