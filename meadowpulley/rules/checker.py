"""Trace checker: reads a trace record by record and reports every violation of the five rules.

The rules are the users': responses, effects, drains, cold servers, and exposure with monotonic keys. The
checker knows nothing of how a gateway decides; it derives its state from the trace alone.
"""

from __future__ import annotations

import math
from bisect import bisect_right
from collections import Counter, defaultdict

from meadowpulley.interface import DeduplicationScope, Effect
from meadowpulley.rules.observations import (
    GatewayState,
    KnownServer,
    ObservedAttempt,
    OpenRequest,
    group_member,
)
from meadowpulley.rules.parameters import RuleParameters
from meadowpulley.rules.shared_state import SharedStateChecker
from meadowpulley.rules.trace import (
    AdoptionStarted,
    AttemptEnded,
    AttemptSent,
    ClientDetached,
    EndpointListed,
    GatewayCrashed,
    GatewayPaused,
    GatewayResumed,
    GatewayStarted,
    InstanceOverloaded,
    KeyAnswered,
    Record,
    RequestAbandoned,
    RequestReceived,
    ResponseSent,
    RolloutUpdated,
)
from meadowpulley.rules.violations import RuleName, Violation

MAX_VIOLATIONS = 1000  # violations kept in full; the rest are only counted


class TraceChecker:
    """Checks a trace: call `observe` with each record in order, then `finish`."""

    def __init__(self, parameters: RuleParameters) -> None:
        self.parameters = parameters
        self.violations: list[Violation] = []
        self.counts: Counter[str] = Counter()
        self.record_count = 0
        self._gateways: dict[int, GatewayState] = defaultdict(GatewayState)
        self._shared_state = SharedStateChecker(parameters.shared, self._report)
        self._attempts_by_id: dict[str, list[ObservedAttempt]] = {}  # by request id, of all gateways
        self._handlers = {
            GatewayStarted: self._gateway_started,
            GatewayCrashed: self._gateway_crashed,
            RequestReceived: self._request_received,
            AttemptSent: self._attempt_sent,
            AttemptEnded: self._attempt_ended,
            ResponseSent: self._response_sent,
            RequestAbandoned: self._request_abandoned,
            EndpointListed: self._endpoint_listed,
            RolloutUpdated: self._rollout_updated,
            KeyAnswered: self._key_answered,
            InstanceOverloaded: self._instance_overloaded,
            GatewayPaused: self._gateway_paused,
            GatewayResumed: self._gateway_resumed,
            ClientDetached: self._client_detached,
            AdoptionStarted: self._adoption_started,
        }

    @property
    def holds(self) -> bool:
        """Whether no rule was violated so far."""
        return not self.counts

    def observe(self, record: Record) -> None:
        """Check one record."""
        self.record_count += 1
        handler = self._handlers.get(type(record))
        if handler is not None:
            handler(record)  # type: ignore[operator]
        self._shared_state.observe(record)

    def finish(self, at: float) -> None:
        """End the trace: requests past their deadline without a response are violations."""
        self._shared_state.finish(at)
        for gateway_number, gateway in self._gateways.items():
            for number, request in list(gateway.open_requests.items()):
                deadline = self._response_deadline(request)
                if at > deadline and not request.excused and deadline < gateway.paused_at:
                    self._report("answers", deadline, gateway_number, f"request {number} got no final answer")

    def _report(self, rule: RuleName, at: float, gateway: int, text: str) -> None:
        self.counts[rule] += 1
        if len(self.violations) < MAX_VIOLATIONS:
            self.violations.append(Violation(rule, at, gateway, text))

    # One final response

    def _gateway_started(self, record: GatewayStarted) -> None:
        self._gateways[record.gateway] = GatewayState()

    def _gateway_crashed(self, record: GatewayCrashed) -> None:
        self._gateways.pop(record.gateway, None)

    def _adoption_started(self, record: AdoptionStarted) -> None:
        """Track a request that was taken over: it adds no exposure and its client is elsewhere."""
        received = RequestReceived(
            record.at,
            record.gateway,
            record.request,
            record.class_index,
            record.key,
            record.deadline,
            record.request_id,
        )
        self._gateways[record.gateway].open_requests[record.request] = OpenRequest(
            received, self._attempts_by_id.setdefault(record.request_id, []), excused=True
        )

    def _client_detached(self, record: ClientDetached) -> None:
        request = self._gateways[record.gateway].open_requests.get(record.request)
        if request is not None:
            request.excused = True

    def _gateway_paused(self, record: GatewayPaused) -> None:
        self._gateways[record.gateway].paused_at = record.at

    def _gateway_resumed(self, record: GatewayResumed) -> None:
        gateway = self._gateways[record.gateway]
        for request in gateway.open_requests.values():
            if gateway.paused_at < self._response_deadline(request) < record.at:
                request.excused = True
        gateway.paused_at = math.inf

    def _response_deadline(self, request: OpenRequest) -> float:
        return request.received.deadline + self.parameters.answer_slack_ms + self.parameters.slack_ms

    def _request_received(self, record: RequestReceived) -> None:
        gateway = self._gateways[record.gateway]
        if record.request in gateway.open_requests or record.request in gateway.finished:
            self._report("answers", record.at, record.gateway, f"request {record.request} was taken twice")
            return
        gateway.open_requests[record.request] = OpenRequest(
            record, self._attempts_by_id.setdefault(record.request_id, []) if record.request_id else []
        )
        gateway.received_at[self._exposure_class(record.class_index)].append(record.at)
        if len(gateway.received_at[self._exposure_class(record.class_index)]) > 200_000:
            del gateway.received_at[self._exposure_class(record.class_index)][:100_000]

    def _finish_request(self, gateway: GatewayState, number: int, at: float) -> OpenRequest | None:
        request = gateway.open_requests.pop(number, None)
        if request is not None:
            gateway.finished.add(number)
            gateway.finished_order.append((at, number))
            memory_ms = 120_000.0
            while gateway.finished_order and gateway.finished_order[0][0] < at - memory_ms:
                gateway.finished.discard(gateway.finished_order.popleft()[1])
        return request

    def _response_sent(self, record: ResponseSent) -> None:
        gateway = self._gateways[record.gateway]
        request = self._finish_request(gateway, record.request, record.at)
        if request is None:
            problem = (
                "a second answer" if record.request in gateway.finished else "an answer that nobody asked for"
            )
            self._report("answers", record.at, record.gateway, f"request {record.request} got {problem}")
            return
        late_ms = record.at - self._response_deadline(request)
        if late_ms > 1e-6 and not request.excused:
            self._report(
                "answers",
                record.at,
                record.gateway,
                f"request {record.request} was answered {late_ms:.1f} ms late",
            )
        if record.response == "refused" and self._possible_executions(record.gateway, request):
            rules = self.parameters.classes[request.received.class_index]
            idempotent_everywhere = (
                rules.effect is Effect.IDEMPOTENT_WITH_KEY and rules.group is DeduplicationScope.ALL
            )
            if rules.effect is not Effect.IDEMPOTENT and not idempotent_everywhere:
                self._report(
                    "effects",
                    record.at,
                    record.gateway,
                    f"request {record.request} may have run and was refused",
                )

    def _request_abandoned(self, record: RequestAbandoned) -> None:
        request = self._finish_request(self._gateways[record.gateway], record.request, record.at)
        if request is not None and not self._shared_state.recorded(
            record.gateway, request.received.request_id
        ):
            for attempt in (
                request.own_attempts.values()
            ):  # the client's next request counts as another one, even at this gateway
                attempt.gateway = -1

    # Effects

    def _attempt_ended(self, record: AttemptEnded) -> None:
        request = self._gateways[record.gateway].open_requests.get(record.request)
        attempt = request.own_attempts.get(record.attempt) if request is not None else None
        if attempt is not None and not record.executed:
            attempt.may_have_executed = False

    def _attempt_sent(self, record: AttemptSent) -> None:
        gateway = self._gateways[record.gateway]
        request = gateway.open_requests.get(record.request)
        if request is None:
            finished = record.request in gateway.finished
            problem = "after its final answer" if finished else "that the gateway never took"
            self._report("answers", record.at, record.gateway, f"request {record.request} was sent {problem}")
            return
        known = gateway.servers.get(record.server)
        self._check_retry(record, request, known)
        self._check_drain(record, known)
        self._check_exposure(record, gateway, request)
        cell, site = (known.cell, known.site) if known else (0, 0)
        attempt = request.own_attempts[record.attempt] = ObservedAttempt(
            record.server, record.build, record.at, True, cell, site, record.gateway
        )
        request.attempts.append(attempt)

    def _possible_executions(self, gateway: int, request: OpenRequest) -> list[ObservedAttempt]:
        """Return attempts that may have executed, here or at gateways that recorded the request."""
        return [
            t
            for t in request.attempts
            if t.may_have_executed
            and (t.gateway == gateway or self._shared_state.recorded(t.gateway, request.received.request_id))
        ]

    def _check_retry(self, record: AttemptSent, request: OpenRequest, known: KnownServer | None) -> None:
        rules = self.parameters.classes[request.received.class_index]
        if rules.effect is Effect.IDEMPOTENT:
            return
        for earlier in self._possible_executions(record.gateway, request):
            if rules.effect is Effect.NON_IDEMPOTENT:
                self._report(
                    "effects",
                    record.at,
                    record.gateway,
                    f"request {record.request} may have run and was sent again",
                )
                return
            same_group = known is not None and group_member(rules.group, earlier) == group_member(
                rules.group, known
            )
            if not same_group or record.at - earlier.sent_at > rules.window_ms:
                self._report(
                    "effects",
                    record.at,
                    record.gateway,
                    f"keyed request {record.request} left those that know it",
                )
                return

    # Drains and cold servers

    def _endpoint_listed(self, record: EndpointListed) -> None:
        servers = self._gateways[record.gateway].servers
        known = servers.get(record.server)
        if record.state == "ready":
            servers[record.server] = KnownServer("ready", record.build, math.inf, record.cell, record.site)
        elif known is not None:
            known.removed_at = min(known.removed_at, record.at)
            known.state = record.state
        else:
            servers[record.server] = KnownServer(
                record.state, record.build, record.at, record.cell, record.site
            )

    def _check_drain(self, record: AttemptSent, known: KnownServer | None) -> None:
        if known is None:
            self._report(
                "drains",
                record.at,
                record.gateway,
                f"request {record.request} went to server {record.server}, never listed",
            )
        elif record.at > known.removed_at + self.parameters.drain_grace_ms + self.parameters.slack_ms:
            since_ms = record.at - known.removed_at
            text = (
                f"request {record.request} went to server {record.server}, "
                f"listed as {known.state} {since_ms:.0f} ms before"
            )
            self._report("drains", record.at, record.gateway, text)

    def _instance_overloaded(self, record: InstanceOverloaded) -> None:
        self._report("cold", record.at, -1, f"cold server {record.server} was pushed over")

    # Exposure

    def _exposure_class(self, class_index: int) -> int:
        return class_index if self.parameters.per_class else -1

    def _rollout_updated(self, record: RolloutUpdated) -> None:
        gateway = self._gateways[record.gateway]
        gateway.rollout_updates.append(record)
        if record.phase in ("going_back", "withdrawn"):
            gateway.keys_by_build.pop(
                record.build, None
            )  # the build was rolled back: its keys may go anywhere
        oldest = record.at - self.parameters.drain_grace_ms - self.parameters.window_ms
        while len(gateway.rollout_updates) > 2 and gateway.rollout_updates[1].at < oldest:
            gateway.rollout_updates.pop(0)

    def _key_answered(self, record: KeyAnswered) -> None:
        gateway = self._gateways[record.gateway]
        newest = gateway.rollout_updates[-1] if gateway.rollout_updates else None
        rolled_back = (
            newest is not None
            and newest.build == record.build
            and newest.phase
            in (
                "going_back",
                "withdrawn",
            )
        )
        if record.key and not rolled_back:
            gateway.keys_by_build[record.build][record.key] = 1

    def _binding_caps(self, gateway: GatewayState, build: int, at: float) -> list[tuple[float, int]]:
        """Return the caps and stages that may still apply; a lower cap binds after the drain grace."""
        since = at - self.parameters.drain_grace_ms - self.parameters.slack_ms
        caps: list[tuple[float, int]] = []
        for index, update in enumerate(gateway.rollout_updates):
            until = (
                gateway.rollout_updates[index + 1].at
                if index + 1 < len(gateway.rollout_updates)
                else math.inf
            )
            if until < since:
                continue
            if update.build == build:
                caps.append((update.cap, update.stage))
            elif update.build < build:
                caps.append((self.parameters.first_cap, 0))
        return caps

    def _check_exposure(self, record: AttemptSent, gateway: GatewayState, request: OpenRequest) -> None:
        if self.parameters.one_way and request.received.key:
            self._check_monotonic_key(record, gateway, request.received.key)
        newest = gateway.rollout_updates[-1] if gateway.rollout_updates else None
        on_trial = (
            newest is None
            or record.build > newest.build
            or (record.build == newest.build and newest.phase != "released")
        )
        if not on_trial:
            return
        caps = self._binding_caps(gateway, record.build, record.at) or [(self.parameters.first_cap, 0)]
        self._check_cap(record, gateway, request, max(cap for cap, _ in caps))
        idempotent = self.parameters.classes[request.received.class_index].effect is Effect.IDEMPOTENT
        if not idempotent and max(stage for _, stage in caps) < self.parameters.guarded_stages:
            text = f"request {record.request} has an effect, in a guarded stage"
            self._report("exposure", record.at, record.gateway, text)

    def _check_monotonic_key(self, record: AttemptSent, gateway: GatewayState, key: int) -> None:
        """Check that a key which a build answered goes to no older one, unless it is rolled back."""
        for build in [b for b in gateway.keys_by_build if b > record.build]:
            if key in gateway.keys_by_build[build] and not self._rolled_back(gateway, build):
                text = (
                    f"request {record.request}: build {build} answered its key, "
                    f"and it went to build {record.build}"
                )
                self._report("one-way", record.at, record.gateway, text)
                break

    def _check_cap(
        self, record: AttemptSent, gateway: GatewayState, request: OpenRequest, cap: float
    ) -> None:
        """Check the attempts at a build on trial against its cap, over the exposure window."""
        exposure_class = self._exposure_class(request.received.class_index)
        start = record.at - self.parameters.window_ms
        sent = gateway.trial_attempts[record.build, exposure_class]
        sent.append(record.at)
        while sent and sent[0] <= start:
            sent.popleft()
        times = gateway.received_at[exposure_class]
        received = len(times) - bisect_right(times, start)
        share = cap + self.parameters.extra_share
        allowed = self.parameters.free_attempts + self.parameters.extra_attempts + share * received
        if len(sent) > allowed + 1e-6:
            text = (
                f"{len(sent)} attempts at build {record.build}, {allowed:.1f} allowed for {received} requests"
            )
            self._report("exposure", record.at, record.gateway, text)

    def _rolled_back(self, gateway: GatewayState, build: int) -> bool:
        return any(
            n.build == build and n.phase in ("going_back", "withdrawn") for n in gateway.rollout_updates
        )
