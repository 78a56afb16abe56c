"""The placement stage: it labels requests with their arm and counts them, before the rollout policy.

It passes every event to the next stage, except its own timer and commits, and sends nothing to servers. It
writes these records to the ledger: the definition (the first gateway does), the counters and bins of its own
incarnation, that an arm has ended, and that the experiment is over. The last two are created once, and the
gateway that creates one decides for all. One live gateway, the evaluator, applies the guard to the counters
of all gateways and receives their changes (`watched_prefixes`). A gateway that is cut off from the ledger
applies the guard to the counters that it knows, and writes to the ledger later.
"""

from __future__ import annotations

import math
from typing import TypeAlias

from meadowpulley.interface import (
    Action,
    ClientDisconnected,
    Event,
    ExperimentArmEnded,
    ExperimentArmHarmful,
    ExperimentFinished,
    ExperimentVersionConflict,
    Fail,
    Outcome,
    Phase,
    Reject,
    Request,
    Result,
    RolloutUpdate,
    SetTimer,
    Settings,
    Timer,
)
from meadowpulley.ledger.lease_manager import Stage
from meadowpulley.ledger.model import (
    Commit,
    CommitCompleted,
    Fenced,
    Incarnation,
    LeaseExpired,
    LedgerChanged,
    LedgerRecovered,
    LedgerUnavailable,
    Record,
    ScanCompleted,
)
from meadowpulley.placement.counter_records import RequestEnding, decode_counters
from meadowpulley.placement.definition import (
    Experiment,
    decode_definition,
    encode_definition,
    validate_experiment,
)
from meadowpulley.placement.fleet_view import FleetView
from meadowpulley.placement.guard import harm_reason
from meadowpulley.placement.merged_counters import MergedCounters
from meadowpulley.placement.metrics import BASELINE_ARM
from meadowpulley.placement.origins import OriginLookup
from meadowpulley.placement.record_names import (
    COUNTERS,
    DEFINITION,
    ENDED_ARMS,
    FINISHED,
    SEGMENTS,
    ended_arm_name,
    segment_name,
)
from meadowpulley.placement.record_writer import OWNER, RecordWriter, WriteObstacle
from meadowpulley.placement.request_tracker import RequestTracker
from meadowpulley.placement.time_bins import BINS_PER_SEGMENT, decode_segment, encode_segment

TIMER_TOKEN = 4
CHECK_INTERVAL_MS = 2000.0  # between two checks, each of which writes the counters and may apply the guard
MAX_BLOCKS = 512  # time blocks after which a switchback ends, as the counters' record has an entry for each
MS_PER_SECOND = 1000

StageEvent: TypeAlias = (
    Event
    | CommitCompleted
    | ScanCompleted
    | LedgerChanged
    | LeaseExpired
    | LedgerUnavailable
    | LedgerRecovered
    | Fenced
)
StageAction: TypeAlias = Action | Commit


class PlacementStage:
    """Runs an experiment at one gateway; it handles events before the stage `inner`.

    `clock_offset_ms` is added to this gateway's clock to get the time that gateways share (Unix time in ms);
    `origins` looks up requests that other incarnations had before or may have later.

    Raises `ExperimentError` for a definition that contradicts itself or names a class that the settings lack.
    """

    def __init__(
        self,
        inner: Stage,
        experiment: Experiment,
        settings: Settings,
        incarnation: Incarnation,
        clock_offset_ms: float = 0.0,
        origins: OriginLookup | None = None,
    ) -> None:
        names = [request_class.name for request_class in settings.classes]
        validate_experiment(experiment, f"experiment '{experiment.name}'", names)
        self.inner = inner
        self.experiment = experiment
        self.incarnation = incarnation
        self.clock_offset_ms = clock_offset_ms
        self.tracker = RequestTracker(experiment, settings, incarnation, clock_offset_ms, origins)
        self.writer = RecordWriter(experiment, str(incarnation), self._emit)
        self.fleet = FleetView(incarnation, self.tracker.assignment)
        self.ended_arms: dict[int, str] = {}  # the reason, by arm
        self.finished = False
        self.definition_conflict = False  # another version runs under this name
        self.rolling_back = False
        self.next_check_at = -math.inf
        self._actions: list[StageAction] = []

    @property
    def origins(self) -> OriginLookup:
        """The lookup of requests that other incarnations had before or may have later."""
        return self.tracker.origins

    @origins.setter
    def origins(self, origins: OriginLookup) -> None:
        """Set the lookup of requests' origins."""
        self.tracker.origins = origins

    def handle(self, now: float, event: StageEvent) -> list[StageAction]:
        """Process an event at `now` (ms); return the actions of this stage and of the next ones."""
        self._actions = []
        if isinstance(event, CommitCompleted) and event.owner == OWNER:
            self._on_committed(event)
            return self._actions
        if isinstance(event, Timer) and event.token == TIMER_TOKEN:
            self._check(now)
            return self._actions
        if self.next_check_at == -math.inf:
            self._schedule_check(now)
        self._observe(event)
        if isinstance(event, Request):
            self._actions += self.inner.handle(now, self._label(now, event))
        else:
            self._actions += self.inner.handle(now, event)
        self._count_endings(now, event)
        return self._actions

    def shut_down(self, now: float) -> list[StageAction]:
        """Return the commits of the latest counters and bins, for a graceful shutdown."""
        self._actions = []
        self._write_counters(now)
        return self._actions

    def _emit(self, action: StageAction) -> None:
        self._actions.append(action)

    # Requests

    @property
    def assignment_paused(self) -> bool:
        """Whether new requests are in no arm at present."""
        return self.finished or self.rolling_back or not self.writer.knows_ended_arms

    def _label(self, now: float, request: Request) -> Request:
        return self.tracker.label(now, request, self.assignment_paused)

    def _count_endings(self, now: float, event: StageEvent) -> None:
        """Count the requests that ended with the event or with the actions that followed from it."""
        if isinstance(event, Outcome) and event.request_complete:
            served = event.result is Result.OK
            ending = RequestEnding.SERVED if served else RequestEnding.FAILED
            self.tracker.end(now, event.request, ending)
        elif isinstance(event, ClientDisconnected):
            self.tracker.disconnect(now, event.request)
        for action in self._actions:
            if isinstance(action, Reject):
                self.tracker.end(now, action.request, RequestEnding.REJECTED)
            elif isinstance(action, Fail):
                self.tracker.end(now, action.request, RequestEnding.FAILED)

    # Observed events

    def _observe(self, event: StageEvent) -> None:
        if isinstance(event, RolloutUpdate) and event.result is Result.OK:
            self.rolling_back = event.phase is Phase.ROLLING_BACK
        elif isinstance(event, LedgerChanged):
            self.writer.on_ledger_read()
            self.fleet.observe_members(event.changes.members)
            for record in event.changes.records:
                self._observe_record(record)
        elif isinstance(event, LeaseExpired):
            self.fleet.observe_members(event.members)
        elif isinstance(event, LedgerUnavailable):
            self.writer.on_ledger_unavailable()
        elif isinstance(event, LedgerRecovered):
            self.writer.on_ledger_recovered()
        elif isinstance(event, Fenced):
            self.writer.on_fenced()

    @property
    def is_evaluator(self) -> bool:
        """Whether this gateway is the one that evaluates the counters of all gateways."""
        return self.fleet.is_evaluator

    def watched_prefixes(self) -> tuple[str, ...]:
        """Return the key prefixes of the ledger records whose changes this stage needs now."""
        key = self.experiment.record_key
        own_prefixes = (self.experiment.definition_key, key(ENDED_ARMS), key(FINISHED))
        return (*own_prefixes, key(COUNTERS), key(SEGMENTS)) if self.is_evaluator else own_prefixes

    def _observe_record(self, record: Record) -> None:
        key = self.experiment.record_key
        if record.key == self.experiment.definition_key:
            self._observe_definition(record)
        elif record.key == key(FINISHED):
            self.writer.recorded.add(FINISHED)
            self._finish()
        elif record.key.startswith(key(ENDED_ARMS)):
            arm = int(record.key.rpartition("/")[2])
            self.writer.recorded.add(ended_arm_name(arm))
            self._end_arm(arm, record.value.decode(errors="replace"))
        elif record.key.startswith(key(SEGMENTS)):
            segment = decode_segment(record.value)
            if segment is not None:
                self.fleet.bin_totals.add(segment)
        elif record.key.startswith(key(COUNTERS)) and record.writer != self.incarnation:
            counters = decode_counters(record.value)
            if counters is not None:
                self.fleet.other_records[counters.incarnation] = counters

    def _observe_definition(self, record: Record) -> None:
        self.writer.recorded.add(DEFINITION)
        running = decode_definition(record.value)
        own_digest = self.experiment.digest
        if running is None or running.digest == own_digest or self.definition_conflict:
            return
        self.definition_conflict = True
        self._emit(ExperimentVersionConflict(self.experiment.name, own_digest, running.digest))

    def _finish(self) -> None:
        if not self.finished:
            self.finished = True
            self._emit(ExperimentFinished(self.experiment.name))

    def _end_arm(self, arm: int, reason: str) -> None:
        if arm in self.ended_arms:
            return
        self.ended_arms[arm] = reason
        self.tracker.end_arm(arm)
        self._emit(ExperimentArmEnded(self.experiment.name, self.experiment.arms[arm].name))
        if len(self.ended_arms) == len(self._compared_arms):  # nothing is left to compare
            self._finish()

    def _on_committed(self, event: CommitCompleted) -> None:
        existing = self.writer.on_committed(event)
        if existing is not None:
            self._observe_record(existing)

    # Evaluation

    def merged_counters(self) -> MergedCounters:
        """Return the merged counters of all incarnations that this gateway knows, without quantiles."""
        return self.fleet.merge(self.tracker)

    @property
    def _compared_arms(self) -> range:
        """The indices of all arms except the baseline."""
        return range(BASELINE_ARM + 1, len(self.experiment.arms))

    def _schedule_check(self, now: float) -> None:
        self.next_check_at = now + CHECK_INTERVAL_MS
        self._emit(SetTimer(CHECK_INTERVAL_MS, TIMER_TOKEN))

    def _check(self, now: float) -> None:
        self._schedule_check(now)
        self.writer.write_once(DEFINITION, encode_definition(self.experiment))
        merged = self.merged_counters()
        self._apply_guard(merged)
        self._check_end_condition(now, merged)
        if self.finished:
            self.writer.write_once(FINISHED)
        for arm, reason in self.ended_arms.items():
            self.writer.write_once(ended_arm_name(arm), reason.encode())
        self._write_counters(now)

    def _apply_guard(self, merged: MergedCounters) -> None:
        """End an arm that does harm: at this gateway at once, at the others once the ledger has a record.

        A gateway that is neither the evaluator nor cut off from the ledger does not apply the guard, because
        the false alarms of many gateways would add up.
        """
        is_cut_off = WriteObstacle.LEDGER_UNAVAILABLE in self.writer.obstacles
        if not self.is_evaluator and not is_cut_off:
            return
        for arm in self._compared_arms:
            if self.finished or arm in self.ended_arms:
                continue
            reason = harm_reason(self.experiment, merged, arm)
            if reason:
                self._emit(ExperimentArmHarmful(self.experiment.name, reason))
                self._end_arm(arm, reason)

    def _check_end_condition(self, now: float, merged: MergedCounters) -> None:
        end = self.experiment.end
        shared_time_ms = now + self.clock_offset_ms
        past_end = end.at is not None and shared_time_ms >= end.at.timestamp() * MS_PER_SECOND
        enough_requests = end.requests is not None and merged.requests >= end.requests
        max_blocks = MAX_BLOCKS * len(self.tracker.class_indices)
        if past_end or enough_requests or len(self.tracker.counters.blocks) >= max_blocks:
            self._finish()

    # Records of this incarnation

    def _write_counters(self, now: float) -> None:
        self._write_bins(now)
        self.writer.write_counters(self.tracker.counters.encode_next_revision())

    def _write_bins(self, now: float) -> None:
        """Write the next segments of bins; each is retried until the ledger has it.

        This gateway's totals include a segment at once, before it is written.
        """
        recorder = self.tracker.bin_recorder
        if recorder.bins:
            recorder.advance(now + self.clock_offset_ms)
        while (segment := recorder.next_segment()) is not None:
            index = recorder.discarded_bins // BINS_PER_SEGMENT
            self.fleet.bin_totals.add(segment)
            self.writer.add_segment(segment_name(str(self.incarnation), index), encode_segment(segment))
            recorder.discard_segment()
        self.writer.write_segments()
