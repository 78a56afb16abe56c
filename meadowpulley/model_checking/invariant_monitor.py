"""The invariants of one gateway: the rules checked over its trace, and what the trace does not show."""

from __future__ import annotations

import math
from collections import Counter
from collections.abc import Iterator

from meadowpulley.interface import Effect, ServerEntry, Settings
from meadowpulley.model_checking.properties import Violation
from meadowpulley.rules import Record, RuleParameters, TraceChecker

SLOW_START_MARGIN = 0.5  # of a request: rounding of a part is no breach


class InvariantMonitor:
    """Feed it records and what attempts do; `violations` lists what failed since it was last emptied."""

    def __init__(self, number: int, settings: Settings) -> None:
        self.number, self.settings = number, settings
        self.checker = TraceChecker(RuleParameters.from_settings(settings))
        self.violations: list[Violation] = []
        self.slow_start_attempts: dict[tuple[int, int], int] = {}  # server and slot: attempts there
        self.executions: Counter[int] = Counter()  # unsafe requests: attempts that ran, or may have

    def observe(self, record: Record) -> None:
        """Check the rules on a record of the trace."""
        self.checker.observe(record)
        if self.checker.violations:
            self.violations += [Violation(b.rule, b.at, b.gateway, b.text) for b in self.checker.violations]
            self.checker.violations = []

    def report(self, property_name: str, now: float, text: str) -> None:
        """Report that a property does not hold."""
        self.violations.append(Violation(property_name, now, self.number, text))

    # Attempts

    def attempt_executed(self, now: float, request: int, request_class: int) -> None:
        """Note that an attempt ran at its server, or may have."""
        if self.settings.classes[request_class].effect is Effect.NON_IDEMPOTENT:
            self.executions[request] += 1
            if self.executions[request] > 1:
                self.report("executed", now, f"request {request} ran at {self.executions[request]} servers")

    def attempt_sent(
        self,
        now: float,
        server: int,
        entry: ServerEntry | None,
        hedged: bool,
        prior_attempts: int,
        past_deadline: bool,
    ) -> None:
        """Check an attempt as it is sent. `hedged`: others of its request are outstanding, `prior_attempts`:
        how many were sent before, `past_deadline`: its client has stopped waiting."""
        limits = self.settings.limits
        if prior_attempts >= limits.max_attempts:
            self.report("attempts", now, f"attempt {prior_attempts + 1}, of {limits.max_attempts} at most")
        if hedged and not limits.hedging:
            self.report("attempts", now, "a second copy, which the settings bar")
        if past_deadline:
            self.report("attempts", now, "an attempt begins when the client has stopped waiting")
        if entry is not None:
            self._check_slow_start(now, server, entry)

    def _check_slow_start(self, now: float, server: int, entry: ServerEntry) -> None:
        """A quarter of the span: the fleet's requests divided evenly, times the multiple and the slow-start
        fraction at its end, never less than a gateway's part of one request; and one more by chance."""
        rules, slot_ms = self.settings.rules, self.settings.rules.overload_window_ms / 4
        age_ms = now - entry.started_ms
        if not entry.started_ms or age_ms >= rules.slow_start_ms:
            return
        slot = int(now / slot_ms)
        key = server, slot
        self.slow_start_attempts = {k: n for k, n in self.slow_start_attempts.items() if k[1] == slot}
        self.slow_start_attempts[key] = self.slow_start_attempts.get(key, 0) + 1
        slow_start_fraction = min(
            rules.slow_start_initial_fraction
            + (1 - rules.slow_start_initial_fraction)
            * (age_ms + rules.overload_window_ms)
            / rules.slow_start_ms,
            1.0,
        )
        gateway_record = self.checker._gateways[self.number]
        request_count = sum(len(times) for times in gateway_record.received_at.values())
        quota = (
            rules.overload_multiple
            * slow_start_fraction
            * request_count
            / max(len(gateway_record.servers), 1)
        )
        limit = math.floor(max(quota, 1.0) + SLOW_START_MARGIN) + 1
        if self.slow_start_attempts[key] > limit:
            self.report(
                "cold",
                now,
                f"{self.slow_start_attempts[key]} attempts at cold server {server} in a slot, {limit} borne",
            )

    # Exposure over all gateways

    def trial_exposure(self, now: float) -> tuple[int, float]:
        """Attempts at trial builds in the window that ends now, and how many could be allowed at most: each
        was, by the requests of the window that ended with it, so by those of the last two windows."""
        gateway_record, figures = self.checker._gateways[self.number], self.checker.parameters
        latest = gateway_record.rollout_updates[-1] if gateway_record.rollout_updates else None
        if latest is None or latest.phase == "released":
            return 0, math.inf
        window_start = now - figures.window_ms
        sent_count = sum(sum(at > window_start for at in q) for q in gateway_record.trial_attempts.values())
        request_count = sum(
            sum(at > window_start - figures.window_ms for at in t)
            for t in gateway_record.received_at.values()
        )
        exposure_cap = max(
            [n.cap for n in gateway_record.rollout_updates if n.phase == "trial"], default=figures.first_cap
        )
        groups = len(self.settings.classes) if figures.per_class else 1
        builds = len({build for build, _ in gateway_record.trial_attempts}) or 1
        return sent_count, builds * (
            figures.free_attempts * groups + max(exposure_cap, figures.first_cap) * request_count
        )

    # Moments that matter

    def time_edges(self, edge: str) -> Iterator[float]:
        """When something that the rules speak of comes to its edge: `drain`, `grace`, `window`, `memory`."""
        gateway_record, figures = self.checker._gateways[self.number], self.checker.parameters
        if edge == "drain":
            yield from (
                k.removed_at + figures.drain_grace_ms
                for k in gateway_record.servers.values()
                if k.state != "ready"
            )
        elif edge == "grace":
            yield from (n.at + figures.drain_grace_ms for n in gateway_record.rollout_updates[-1:])
        elif edge == "window":
            yield from (q[0] + figures.window_ms for q in gateway_record.trial_attempts.values() if q)
        elif edge == "memory":
            for in_flight in gateway_record.open_requests.values():
                window = self.settings.classes[in_flight.received.class_index].deduplication_window_ms
                yield from (t.sent_at + window for t in in_flight.attempts if window)
