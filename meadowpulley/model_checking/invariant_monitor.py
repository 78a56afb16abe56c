"""The invariants of one gateway: the rules checked over its trace, and what the trace does not show."""

from __future__ import annotations

import math
from collections import Counter
from collections.abc import Iterable, Iterator
from itertools import chain

from meadowpulley.interface import Effect, ServerEntry, Settings
from meadowpulley.model_checking.properties import Violation
from meadowpulley.rules import Record, RuleParameters, TraceChecker

SLOTS_PER_OVERLOAD_WINDOW = 4  # slots of which attempts at a server in slow start are counted
SLOW_START_MARGIN = 0.5  # of a request: rounding of a part is no breach


def _count_after(start: float, series: Iterable[Iterable[float]]) -> int:
    return sum(at > start for at in chain.from_iterable(series))


class InvariantMonitor:
    """Feed it records and what attempts do; `violations` lists what failed since it was last emptied."""

    def __init__(self, number: int, settings: Settings) -> None:
        self.number = number
        self.settings = settings
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
        rules = self.settings.rules
        age_ms = now - entry.started_ms
        if not entry.started_ms or age_ms >= rules.slow_start_ms:
            return
        attempts = self._count_slow_start_attempt(now, server)
        limit = self._slow_start_limit(age_ms)
        if attempts > limit:
            self.report("cold", now, f"{attempts} attempts at cold server {server} in a slot, {limit} borne")

    def _count_slow_start_attempt(self, now: float, server: int) -> int:
        """Return how many attempts the server has got in this slot, with this one; forget earlier slots."""
        slot = int(now / (self.settings.rules.overload_window_ms / SLOTS_PER_OVERLOAD_WINDOW))
        key = server, slot
        self.slow_start_attempts = {
            known_key: count for known_key, count in self.slow_start_attempts.items() if known_key[1] == slot
        }
        self.slow_start_attempts[key] = self.slow_start_attempts.get(key, 0) + 1
        return self.slow_start_attempts[key]

    def _slow_start_limit(self, age_ms: float) -> int:
        """Return how many attempts a server of that age may get in a slot."""
        rules = self.settings.rules
        initial_fraction = rules.slow_start_initial_fraction
        age_at_slot_end = age_ms + rules.overload_window_ms
        fraction = min(initial_fraction + (1 - initial_fraction) * age_at_slot_end / rules.slow_start_ms, 1.0)
        gateway_record = self.checker._gateways[self.number]
        request_count = sum(len(times) for times in gateway_record.received_at.values())
        server_count = max(len(gateway_record.servers), 1)
        quota = rules.overload_multiple * fraction * request_count / server_count
        return math.floor(max(quota, 1.0) + SLOW_START_MARGIN) + 1

    # Exposure over all gateways

    def trial_exposure(self, now: float) -> tuple[int, float]:
        """Attempts at trial builds in the window that ends now, and how many could be allowed at most: each
        was, by the requests of the window that ended with it, so by those of the last two windows."""
        gateway_record = self.checker._gateways[self.number]
        figures = self.checker.parameters
        latest = gateway_record.rollout_updates[-1] if gateway_record.rollout_updates else None
        if latest is None or latest.phase == "released":
            return 0, math.inf
        window_start = now - figures.window_ms
        sent_count = _count_after(window_start, gateway_record.trial_attempts.values())
        request_count = _count_after(window_start - figures.window_ms, gateway_record.received_at.values())
        exposure_cap = max(
            [update.cap for update in gateway_record.rollout_updates if update.phase == "trial"],
            default=figures.first_cap,
        )
        groups = len(self.settings.classes) if figures.per_class else 1
        builds = len({build for build, _ in gateway_record.trial_attempts}) or 1
        return sent_count, builds * (
            figures.free_attempts * groups + max(exposure_cap, figures.first_cap) * request_count
        )

    # Moments that matter

    def time_edges(self, edge: str) -> Iterator[float]:
        """When something that the rules speak of comes to its edge: `drain`, `grace`, `window`, `memory`."""
        gateway_record = self.checker._gateways[self.number]
        figures = self.checker.parameters
        if edge == "drain":
            yield from (
                server.removed_at + figures.drain_grace_ms
                for server in gateway_record.servers.values()
                if server.state != "ready"
            )
        elif edge == "grace":
            yield from (update.at + figures.drain_grace_ms for update in gateway_record.rollout_updates[-1:])
        elif edge == "window":
            yield from (
                sent_at[0] + figures.window_ms
                for sent_at in gateway_record.trial_attempts.values()
                if sent_at
            )
        elif edge == "memory":
            for in_flight in gateway_record.open_requests.values():
                window = self.settings.classes[in_flight.received.class_index].deduplication_window_ms
                yield from (attempt.sent_at + window for attempt in in_flight.attempts if window)
