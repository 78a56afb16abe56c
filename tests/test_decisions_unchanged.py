"""Decisions are bit for bit what they were when the hashes were recorded.

A rewrite that is meant to change how the code reads, and not what it does, must leave everything that
gateways send where it was: each request, attempt, response, vote, datagram and ledger entry, at the same time
and with the same draws of chance. Each run here is played again and compared with its recorded hash. A hash
changes only in a commit that says which rule changed and why; `python -m tests.decisions.recording` prints
new ones.
"""

from __future__ import annotations

import json
from dataclasses import replace

import pytest

from meadowpulley.interface import Action, Event, SetTimer
from meadowpulley.policy import RolloutPolicy
from tests.decisions.days import DAYS, Day
from tests.decisions.recording import (
    HASHES,
    RANDOM_SEEDS,
    record_adapter_day,
    record_emulated_day,
    record_random_events,
)

RECORDED: dict[str, str] = json.loads(HASHES.read_text())
MIN_ACTIONS = 1000  # a run with fewer decided too little to tell anything


def day_name(day: Day) -> str:
    return day.name


@pytest.mark.parametrize("day", DAYS, ids=day_name)
def test_emulated_day_sends_what_was_recorded(day: Day) -> None:
    recorder = record_emulated_day(day)
    assert recorder.action_count > MIN_ACTIONS
    assert recorder.hexdigest == RECORDED[day.name]


@pytest.mark.parametrize("day", DAYS, ids=day_name)
def test_simulator_adapter_replies_what_was_recorded(day: Day) -> None:
    assert record_adapter_day(day).hexdigest == RECORDED[f"{day.name}-wire"]


@pytest.mark.parametrize("seed", RANDOM_SEEDS)
def test_random_events_are_decided_as_recorded(seed: int) -> None:
    recorder = record_random_events(seed)
    assert recorder.action_count > MIN_ACTIONS
    assert recorder.hexdigest == RECORDED[f"random-{seed:02}"]


def test_every_recorded_hash_is_compared() -> None:
    played = {day.name for day in DAYS} | {f"{day.name}-wire" for day in DAYS}
    assert set(RECORDED) == played | {f"random-{seed:02}" for seed in RANDOM_SEEDS}


class EagerPolicy(RolloutPolicy):
    """A policy that leaves out the first hundredth of a second of each pause before its timer."""

    def handle(self, now: float, event: Event) -> list[Action]:
        return [
            replace(action, delay_ms=action.delay_ms - 10.0) if isinstance(action, SetTimer) else action
            for action in super().handle(now, event)
        ]


def test_a_changed_decision_changes_the_hash() -> None:
    day = DAYS[0]
    recorder = record_emulated_day(day, EagerPolicy)
    assert recorder.hexdigest != RECORDED[day.name]
