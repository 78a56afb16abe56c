"""Label requests with their arm, and track and count each of them until it ends.

A request counts at the incarnation that accepted it first. An incarnation that adopts it records its end on
behalf of the first one, with the arm that it had there.
"""

from __future__ import annotations

from dataclasses import dataclass, replace

from meadowpulley.interface import Request, Settings
from meadowpulley.ledger.model import Incarnation
from meadowpulley.placement.arm_counters import ArmCounters
from meadowpulley.placement.assignment import NO_ARM, Assignment
from meadowpulley.placement.counter_records import AdoptedCompletion, OpenRequest, RequestEnding
from meadowpulley.placement.definition import Experiment, arm_labels
from meadowpulley.placement.origins import LocalOrigins, OriginLookup, RequestOrigin
from meadowpulley.placement.time_bins import BinRecorder

NO_GROUP = 0  # group of requests in no arm
# `Request.arm` of a request whose server the rollout policy itself chooses: one in no arm, or an adopted
# request whose arm has ended.
UNLABELLED = 0


@dataclass(slots=True, eq=False)
class TrackedRequest:
    """A request of the experiment's classes that has not ended."""

    accepted_ms: float  # on this gateway's clock
    arm: int
    class_index: int  # in the order of the experiment's classes
    group: int
    number: int  # the request's number at the incarnation that accepted it first
    bin_number: int | None  # None if the request is in no time bin
    origin: RequestOrigin | None = None  # set for adopted requests only


class RequestTracker:
    """Labels and counts one incarnation's requests.

    `clock_offset_ms` is added to this gateway's clock to get the time that gateways share (Unix time in ms).
    """

    def __init__(
        self,
        experiment: Experiment,
        settings: Settings,
        incarnation: Incarnation,
        clock_offset_ms: float,
        origins: OriginLookup | None,
    ) -> None:
        names = [request_class.name for request_class in settings.classes]
        class_names = experiment.classes or tuple(names)
        self.experiment = experiment
        self.incarnation = str(incarnation)
        self.clock_offset_ms = clock_offset_ms
        self.origins = origins or LocalOrigins()
        self.class_indices = {names.index(name): index for index, name in enumerate(class_names)}
        self.deadlines_ms = {
            index: settings.classes[setting].deadline_ms for setting, index in self.class_indices.items()
        }
        self.assignment = Assignment(experiment)
        self.labels = arm_labels(experiment)
        self.counters = ArmCounters(self.incarnation)
        self.bin_recorder = BinRecorder(self.incarnation, 1 + len(class_names), experiment.carry_ms)
        self.tracked: dict[int, TrackedRequest] = {}
        self.ended_arms: set[int] = set()

    # Accepted requests

    def end_arm(self, arm: int) -> None:
        """Assign no more requests to an arm."""
        self.ended_arms.add(arm)
        self.bin_recorder.end_arm(arm)

    def label(self, now: float, request: Request, paused: bool) -> Request:
        """Return the request with its arm's label, and track it if it is of the experiment's classes.

        While assignment is `paused`, new requests are in no arm; nor are new requests of ended arms.
        """
        class_index = self.class_indices.get(request.class_index)
        if class_index is None:
            return request
        origin = self.origins.origin_of(request.request)
        if not request.adopted:
            # No other incarnation can adopt a request without an origin: its number is below 0, as it need
            # not rise.
            number = origin.number if origin is not None else -1 - request.request
            return self._label_own(now, request, class_index, number, paused)
        if origin is None:
            # The incarnation that counts this request is unknown; its record still lists the request as open.
            return request
        return self._label_adopted(request, class_index, origin)

    def _label_own(
        self, now: float, request: Request, class_index: int, number: int, paused: bool
    ) -> Request:
        unit = self.assignment.unit(request, self.incarnation, number, now + self.clock_offset_ms)
        arm = self.assignment.arm(unit)
        if paused or arm == NO_ARM or arm in self.ended_arms:
            self._track_unassigned(now, request, class_index, number, paused)
            return request
        group = self.assignment.group(unit)
        self.counters.record_accepted(OpenRequest(number, arm, class_index, group))
        bin_number = self._record_in_bin(now, arm, class_index, group)
        self.tracked[request.request] = TrackedRequest(now, arm, class_index, group, number, bin_number)
        return replace(request, arm=self.labels[arm])

    def _track_unassigned(
        self, now: float, request: Request, class_index: int, number: int, paused: bool
    ) -> None:
        if paused:
            self.counters.record.withheld += 1
        else:
            self.counters.record.unassigned += 1
        self.counters.note_number(number)
        bin_number = self._record_in_bin(now, NO_ARM, class_index, NO_GROUP)
        self.tracked[request.request] = TrackedRequest(now, NO_ARM, class_index, NO_GROUP, number, bin_number)

    def _label_adopted(self, request: Request, class_index: int, origin: RequestOrigin) -> Request:
        shared_time_ms = origin.accepted_ms + self.clock_offset_ms
        unit = self.assignment.unit(request, origin.incarnation, origin.number, shared_time_ms)
        has_label = request.arm in self.labels
        arm = self.labels.index(request.arm) if has_label else self.assignment.arm(unit)
        if arm == NO_ARM:
            return request
        group = self.assignment.group(unit)
        self.tracked[request.request] = TrackedRequest(
            origin.accepted_ms, arm, class_index, group, origin.number, bin_number=None, origin=origin
        )
        return replace(request, arm=UNLABELLED if arm in self.ended_arms else self.labels[arm])

    def _record_in_bin(self, now: float, arm: int, class_index: int, group: int) -> int | None:
        if self.experiment.unit == "time" or self.bin_recorder.is_full:
            return None
        return self.bin_recorder.record_accepted(now + self.clock_offset_ms, arm, class_index, group)

    # Ended requests

    def end(self, now: float, request: int, ending: RequestEnding) -> None:
        """Count the end of a request, if it is tracked."""
        tracked = self.tracked.pop(request, None)
        if tracked is None:
            return
        cost_ms = self.deadlines_ms[tracked.class_index]
        if ending is RequestEnding.SERVED:
            cost_ms = min(max(now - tracked.accepted_ms, 0.0), cost_ms)
        if tracked.origin is not None:
            self._record_adopted(tracked, tracked.origin, ending, cost_ms)
            return
        self._end_in_bin(now, tracked, cost_ms)
        if tracked.arm == NO_ARM:
            return
        self.counters.record_ended(tracked.number, ending, cost_ms)
        shared_time_ms = tracked.accepted_ms + self.clock_offset_ms
        if self.experiment.unit == "time" and self._is_settled(shared_time_ms):
            block = self.assignment.block_index(shared_time_ms)
            self.counters.record_in_block(block, tracked.arm, tracked.class_index, cost_ms)

    def _record_adopted(
        self, tracked: TrackedRequest, origin: RequestOrigin, ending: RequestEnding, cost_ms: float
    ) -> None:
        completion = AdoptedCompletion(
            incarnation=origin.incarnation,
            number=origin.number,
            arm=tracked.arm,
            class_index=tracked.class_index,
            group=tracked.group,
            ending=ending,
            cost_ms=cost_ms,
        )
        self.counters.record.adopted_completions.append(completion)

    def _end_in_bin(self, now: float, tracked: TrackedRequest, cost_ms: float) -> None:
        if tracked.bin_number is not None:
            ended_at = now + self.clock_offset_ms
            self.bin_recorder.record_ended(ended_at, tracked.bin_number, tracked.class_index, cost_ms)

    def _is_settled(self, shared_time_ms: float) -> bool:
        return shared_time_ms % self.experiment.block_ms >= self.experiment.settle_ms

    def disconnect(self, now: float, request: int) -> None:
        """Stop tracking a request that the rollout policy no longer has.

        If its client left, it is counted as disconnected. If another gateway adopted it, it stays open in the
        counters. If it repeated a request that was already known, it is no longer listed as open, and no end
        is counted.
        """
        departure = self.origins.departure(request)
        tracked = self.tracked.get(request)
        if departure == "gone" or tracked is None:
            self.end(now, request, RequestEnding.DISCONNECTED)
            return
        # A request that moved stays open in the counters until the gateway that adopted it records its end.
        del self.tracked[request]
        self._end_in_bin(now, tracked, now - tracked.accepted_ms)
        if departure == "known":
            self.counters.open_requests.pop(tracked.number, None)
