"""Results of a run: by class, by server, by gateway and by second."""

from __future__ import annotations

from collections import Counter, defaultdict
from dataclasses import dataclass, field
from typing import Any

from hdrh.histogram import HdrHistogram
from msgspec import Struct, field as json_field, to_builtins

from meadowpulley.emulator.client_calls import ClientCall
from meadowpulley.fleet import Fleet

MAX_LATENCY_US = 600_000_000


def new_histogram() -> HdrHistogram:
    """Return a histogram for latencies in microseconds, three digits, up to ten minutes."""
    return HdrHistogram(1, MAX_LATENCY_US, 3)


@dataclass(slots=True)
class ClassResult:
    """Counts of one class of calls and their weight; a client's retries belong to their call."""

    name: str
    calls: int = 0
    within_objective: int = 0
    late: int = 0
    rejected: int = 0
    failed: int = 0
    retries: int = 0
    unanswered: int = 0
    weight_offered: float = 0.0
    weight_served: float = 0.0
    latency: HdrHistogram = field(default_factory=new_histogram)

    @property
    def served(self) -> int:
        """Calls that were served, within their objective or late."""
        return self.within_objective + self.late

    @property
    def served_weight_share(self) -> float:
        """Share of the offered priority weight that was served; 1 where none was offered."""
        return self.weight_served / self.weight_offered if self.weight_offered else 1.0

    def latency_ms(self, percentile: float) -> float:
        """Return a percentile of the latency of served calls, in milliseconds from the first request.

        It is 0 where no call was served.
        """
        if not self.latency.get_total_count():
            return 0.0
        return float(self.latency.get_value_at_percentile(percentile)) / 1000

    def table(self) -> dict[str, Any]:
        """Return the figures as plain values with the keys of the JSON output."""
        return {
            "class": self.name,
            "asked": self.calls,
            "in_aim": self.within_objective,
            "late": self.late,
            "refused": self.rejected,
            "failed": self.failed,
            "retries": self.retries,
            "unanswered": self.unanswered,
            "worth_share": round(self.served_weight_share, 6),
            "p50_ms": self.latency_ms(50),
            "p90_ms": self.latency_ms(90),
            "p99_ms": self.latency_ms(99),
        }


class ServerResult(Struct):
    """One start of one server. `utilisation` is the share of its core time in use while it was up."""

    server: int
    site: str
    kind: str
    build: int
    up_ms: float
    utilisation: float = json_field(name="busy")
    served: int
    rejected: int = json_field(name="turned_away")
    max_queued: int = json_field(name="most_waiting")
    overloaded: bool = json_field(name="fell")


class GatewayResult(Struct):
    """Figures of one gateway over a run."""

    gateway: int
    site: str
    requests: int
    attempts: int
    utilisation: float = json_field(name="busy")
    max_open_connections: int = json_field(name="most_open")  # connections to servers
    max_in_flight: int = json_field(name="most_held")  # requests


class SecondResult(Struct):
    """One second of a run, by the first request of a call and, for attempts, by their sending."""

    calls: int = json_field(default=0, name="asked")
    within_objective: int = json_field(default=0, name="in_aim")
    late: int = 0
    rejected: int = json_field(default=0, name="refused")
    failed: int = 0
    weight_offered: float = json_field(default=0.0, name="worth_asked")
    weight_served: float = json_field(default=0.0, name="worth_got")
    utilisation: float = json_field(default=0.0, name="busy")  # of all servers that were running
    stage: int = 0
    phase: str = ""
    build: int = 0
    attempts_by_site: list[int] = json_field(default_factory=list, name="sent")  # by the site of their server


class EmulationResult:
    """Collects the result of a run. Times are milliseconds; weights are the fleet's priority weights.

    Calls that started before `from_ms` count in no class, only by the second.
    """

    def __init__(self, fleet: Fleet, from_ms: float = 0.0) -> None:
        self.fleet = fleet
        self.from_ms = from_ms
        self.classes = [ClassResult(c.name) for c in fleet.classes]
        self._uncounted = ClassResult("")
        self.seconds: list[SecondResult] = []
        self.servers: list[ServerResult] = []
        self.gateways: list[GatewayResult] = []
        self.events: list[tuple[float, str]] = []
        self.violations: list[str] = []
        self.violation_counts: Counter[str] = Counter()
        self.elapsed_ms = 0.0
        self.used_core_ms = self.available_core_ms = 0.0  # core time within the measured span

    def second(self, at: float) -> SecondResult:
        """Return the figures of the second that contains a time in milliseconds."""
        index = int(at // 1000)
        while len(self.seconds) <= index:
            self.seconds.append(SecondResult())
        return self.seconds[index]

    # Calls

    def _class_result(self, call: ClientCall) -> ClassResult:
        return self.classes[call.class_index] if call.first_sent_at >= self.from_ms else self._uncounted

    def record_call(self, call: ClientCall) -> None:
        """Count a new call."""
        class_result = self._class_result(call)
        weight = self.fleet.classes[call.class_index].priority_weight
        class_result.calls += 1
        class_result.weight_offered += weight
        second = self.second(call.first_sent_at)
        second.calls += 1
        second.weight_offered += weight

    def record_retry(self, call: ClientCall) -> None:
        """Count a client's retry."""
        self._class_result(call).retries += 1

    def record_unanswered(self, call: ClientCall) -> None:
        """Count a request without a response before its deadline."""
        self._class_result(call).unanswered += 1

    def record_rejection_or_failure(self, call: ClientCall, rejected: bool) -> None:
        """Count a call that ended as rejected or failed."""
        class_result = self._class_result(call)
        second = self.second(call.first_sent_at)
        class_result.rejected += rejected
        class_result.failed += not rejected
        second.rejected += rejected
        second.failed += not rejected

    def record_end(self, call: ClientCall, took_ms: float | None) -> None:
        """Count a served call and its latency; None is a call that ended without a response."""
        if took_ms is None:
            return
        request_class = self.fleet.classes[call.class_index]
        class_result = self._class_result(call)
        second = self.second(call.first_sent_at)
        class_result.latency.record_value(max(int(took_ms * 1000), 1))
        within_objective = took_ms <= request_class.latency_objective_ms
        weight = (
            request_class.priority_weight
            if within_objective
            else request_class.priority_weight * request_class.late_weight_share
        )
        class_result.within_objective += within_objective
        class_result.late += not within_objective
        class_result.weight_served += weight
        second.within_objective += within_objective
        second.late += not within_objective
        second.weight_served += weight

    # Attempts

    def record_attempt(self, at: float, site: int) -> None:
        """Count an attempt by the site of its server."""
        counts = self.second(at).attempts_by_site
        if not counts:
            counts.extend([0] * len(self.fleet.sites))
        counts[site] += 1

    def record_stage(self, since: float, build: int, stage: int, phase: str) -> None:
        """Note the state of the rollout for all seconds from a time in milliseconds on."""
        for second in self.seconds[max(int(since // 1000), 0) :]:
            second.build = build
            second.stage = stage
            second.phase = phase

    # Totals

    @property
    def calls(self) -> int:
        """Calls of all classes."""
        return sum(c.calls for c in self.classes)

    @property
    def served_weight_share(self) -> float:
        """Share of the offered priority weight that was served, over all classes."""
        offered = sum(c.weight_offered for c in self.classes)
        return sum(c.weight_served for c in self.classes) / offered if offered else 1.0

    @property
    def utilisation(self) -> float:
        """Utilisation of all cores in the measured span; 0 where none was measured."""
        return self.used_core_ms / self.available_core_ms if self.available_core_ms > 0 else 0.0

    def utilisation_by(self, dimension: str) -> dict[str, float]:
        """Return the mean utilisation by `site` or `kind`, weighted by core time."""
        available: defaultdict[str, float] = defaultdict(float)
        used: defaultdict[str, float] = defaultdict(float)
        for server in self.servers:
            name = getattr(server, dimension)
            cores = self.fleet.kind(server.kind).cores
            available[name] += server.up_ms * cores
            used[name] += server.up_ms * cores * server.utilisation
        return {name: used[name] / available[name] if available[name] else 0.0 for name in sorted(available)}

    def table(self) -> dict[str, Any]:
        """Return all figures as plain values with the keys of the JSON output."""
        return {
            "fleet": self.fleet.name,
            "lasted_ms": self.elapsed_ms,
            "worth_share": round(self.served_weight_share, 6),
            "classes": [c.table() for c in self.classes],
            "busy_by_site": {k: round(v, 6) for k, v in self.utilisation_by("site").items()},
            "busy_by_kind": {k: round(v, 6) for k, v in self.utilisation_by("kind").items()},
            "servers": [to_builtins(s) for s in self.servers],
            "gateways": [to_builtins(g) for g in self.gateways],
            "seconds": [to_builtins(s) for s in self.seconds],
            "events": [{"at_ms": at, "what": text} for at, text in self.events],
            "rules_broken": dict(sorted(self.violation_counts.items())),
            "breaches": self.violations,
        }
