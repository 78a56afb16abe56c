"""One gateway of the policy model: a real policy, whose actions are carried out as a gateway does it."""

from __future__ import annotations

import math
from dataclasses import replace
from random import Random
from typing import Literal, cast

from meadowpulley.interface import (
    Action,
    Cancel,
    ClientDisconnected,
    EndpointUpdate,
    EndpointUpdateKind,
    EndpointWatchOpened,
    Event,
    Fail,
    FetchEndpoints,
    Outcome as AttemptOutcome,
    Phase,
    Reject,
    Request,
    Result,
    RolloutUpdate,
    Send,
    SendGossip,
    ServerState,
    SetTimer,
    Timer,
    Vote,
    Watch,
)
from meadowpulley.model_checking.choices import ChoiceScriptError
from meadowpulley.model_checking.policy_model.canonical_form import (
    RANDOM,
)
from meadowpulley.model_checking.policy_model.configurations import CLASSES
from meadowpulley.model_checking.policy_model.gateway_state import (
    Environment,
    GatewayState,
    OutstandingAttempt,
    PendingRequest,
)
from meadowpulley.policy import TIMER_TOKEN
from meadowpulley.rules import (
    AttemptEnded,
    AttemptSent,
    EndpointListed,
    GatewayStarted,
    KeyAnswered,
    RequestAbandoned,
    RequestReceived,
    ResponseSent,
    RolloutUpdated,
)

# The words of the trace, which the rules' checker reads.
PHASE_WORDS: dict[Phase, Literal["trial", "going_back", "released", "withdrawn"]] = {
    Phase.TRIAL: "trial",
    Phase.ROLLING_BACK: "going_back",
    Phase.RELEASED: "released",
    Phase.ROLLED_BACK: "withdrawn",
}
SERVER_STATE_WORDS: dict[ServerState, Literal["ready", "draining", "gone"]] = {
    ServerState.REMOVED: "gone",
    ServerState.DRAINING: "draining",
    ServerState.READY: "ready",
}
ClientAnswer = Literal["served", "refused", "failed"]
NEVER_EXECUTED = (Result.REJECTED, Result.CONNECT_FAILED, Result.NOT_SENT)


class SimulatedGateway(GatewayState):
    """One gateway: a real policy, which gets one event at a time and whose actions are carried out."""

    def start(self, environment: Environment, version: int, update: RolloutUpdate) -> None:
        """Start with a list and a state of the rollout, perhaps old ones."""
        self.policy = self.make_policy(self.settings, 0)
        self.policy.rng = cast(Random, RANDOM)
        self.monitor.observe(GatewayStarted(environment.now, self.number))
        self.receive_list(environment, version, EndpointUpdateKind.CACHED)
        if not environment.configuration.must_poll:  # discovery delivers each change, or a failure
            self.dispatch(environment, EndpointWatchOpened(math.inf, environment.now))
        self.receive_rollout_update(environment, update)
        self.policy.retry_budget = environment.configuration.retry_budget

    # Events in, actions out

    def dispatch(self, environment: Environment, event: Event) -> None:
        """Give an event to the policy, carry its actions out, then check what must hold between events."""
        self._events.append(event)
        if len(self._events) > 1:
            return
        while self._events:
            try:
                actions = self.policy.handle(environment.now, self._events[0])
            except ChoiceScriptError:
                raise
            except Exception as error:  # any that leaves the policy is a find: it would end a request or more
                self.monitor.report("fault", environment.now, f"{type(error).__name__}: {error}")
                self._events.clear()
                return
            for action in actions:
                self._carry_out(environment, action)
            self._events.popleft()
        self._check_invariants(environment)

    def _carry_out(self, environment: Environment, action: Action) -> None:
        if isinstance(action, Send):
            self._send_attempt(environment, action)
        elif isinstance(action, Reject | Fail):
            self._answer_client(
                environment, action.request, "refused" if isinstance(action, Reject) else "failed"
            )
        elif isinstance(action, Cancel):
            pending = self.pending_requests.get(action.request)
            if pending is not None and action.attempt in pending.outstanding_attempts:
                self.finish_attempt(environment, action.request, action.attempt, Result.CANCELLED)
        elif isinstance(action, SetTimer):
            due_at = environment.now + max(action.delay_ms, 0.0)
            if due_at not in self.timers:
                self.timers.append(due_at)
                self.timers.sort()
        elif isinstance(action, Vote):
            self.votes = (*self.votes, (action, environment.now))
            environment.record_message(
                f"gateway {self.number}", "platform", f"votes {action.verdict.name.lower()}"
            )
        elif isinstance(action, Watch | FetchEndpoints):
            self.list_requested = True
            self.list_retry_owed = False
        elif isinstance(action, SendGossip):
            self.datagrams = (*self.datagrams, action)

    def _check_invariants(self, environment: Environment) -> None:
        """What must hold between events."""
        unanswered = [
            r for r, a in self.pending_requests.items() if not a.answered and not a.outstanding_attempts
        ]
        if unanswered and not self.timers:
            self.monitor.report(
                "timers", environment.now, f"request {unanswered[0]} waits and no timer is set"
            )
        if self.list_retry_owed and not self.timers:
            self.monitor.report(
                "timers", environment.now, "a list call has failed, and nothing will ask again"
            )
        if all(a.answered and not a.outstanding_attempts for a in self.pending_requests.values()):
            policy = self.policy
            busy_servers = [s.id for s in policy.servers.values() if s.outstanding]
            has_waiting = policy.waiting and not self.timers  # one that left is forgotten at the next tick
            if policy.in_flight or has_waiting or policy.attempts or busy_servers:
                text = f"{len(policy.in_flight)} requests, {len(policy.waiting)} waiting, "
                text += f"{len(policy.attempts)} attempts"
                self.monitor.report(
                    "leftovers", environment.now, f"all is over, and it holds {text}; busy {busy_servers}"
                )

    # Requests and attempts

    def receive_request(self, environment: Environment, kind: int) -> None:
        """Receive a request of a kind of the configuration from a client."""
        request_class, key = environment.configuration.kinds[kind]
        self.last_request += 1
        deadline_ms = environment.now + CLASSES[request_class].deadline_ms
        self.pending_requests[self.last_request] = PendingRequest(kind, deadline_ms)
        self.monitor.observe(
            RequestReceived(environment.now, self.number, self.last_request, request_class, key, deadline_ms)
        )
        self.dispatch(environment, Request(self.last_request, request_class, 0, key, deadline_ms))

    def _send_attempt(self, environment: Environment, action: Send) -> None:
        pending = self.pending_requests.get(action.request)
        entry = environment.entry_at(self.known_list, action.server)
        build = entry.build if entry is not None else -1
        prior_attempts = pending.attempt_count if pending is not None else 0
        self.monitor.observe(
            AttemptSent(environment.now, self.number, action.request, prior_attempts, action.server, build)
        )
        hedged = pending is not None and bool(pending.outstanding_attempts)
        past_deadline = pending is not None and environment.now >= pending.deadline_ms
        self.monitor.attempt_sent(
            environment.now, action.server, entry, hedged, prior_attempts, past_deadline
        )
        environment.record_message(
            f"gateway {self.number}", f"server {action.server}", f"request {action.request}"
        )
        if pending is None or pending.answered:
            return
        pending.attempt_count += 1
        pending.outstanding_attempts[prior_attempts] = OutstandingAttempt(
            action.server, build, environment.now
        )

    def _answer_client(self, environment: Environment, request: int, answer: ClientAnswer) -> None:
        pending = self.pending_requests.get(request)
        self.monitor.observe(ResponseSent(environment.now, self.number, request, answer))
        environment.record_message(f"gateway {self.number}", "clients", f"request {request} {answer}")
        if pending is not None and not pending.answered:
            pending.answered = True
            self._forget_if_done(request)

    def _forget_if_done(self, request: int) -> None:
        pending = self.pending_requests.get(request)
        if pending is not None and pending.answered and not pending.outstanding_attempts:
            del self.pending_requests[request]

    def finish_attempt(self, environment: Environment, request: int, attempt: int, result: Result) -> None:
        """The one outcome of an attempt."""
        pending = self.pending_requests[request]
        attempt_out = pending.outstanding_attempts.pop(attempt)
        request_class, key = environment.configuration.kinds[pending.kind]
        executed = result not in NEVER_EXECUTED
        if result is Result.OK and not attempt_out.response_sent and key:
            self.monitor.observe(KeyAnswered(environment.now, self.number, key, attempt_out.build))
        if executed:
            self.monitor.attempt_executed(environment.now, request, request_class)
        if result not in (Result.OK, Result.ERROR) and executed and key and not attempt_out.response_sent:
            self.abandoned_keys = tuple(sorted({*self.abandoned_keys, (key, attempt_out.build)}))
        if result is Result.OK and not pending.answered:
            self._answer_client(environment, request, "served")
        answered = pending.answered
        self.monitor.observe(AttemptEnded(environment.now, self.number, request, attempt, executed))
        self._forget_if_done(request)
        elapsed_ms = environment.now - attempt_out.sent_at
        self.dispatch(
            environment, AttemptOutcome(request, attempt, attempt_out.server, result, elapsed_ms, answered)
        )

    def client_disconnects(self, environment: Environment, request: int) -> None:
        """End a request whose client has left."""
        self.monitor.observe(RequestAbandoned(environment.now, self.number, request))
        self.pending_requests[request].answered = True
        self._forget_if_done(request)
        self.dispatch(environment, ClientDisconnected(request))

    # The endpoint list and updates of rollouts

    def receive_list(self, environment: Environment, version: int, kind: EndpointUpdateKind) -> None:
        """Receive a version of discovery's list."""
        known_entries = (
            environment.server_lists[self.known_list]
            if self.known_list >= 0 and kind is not EndpointUpdateKind.CACHED
            else ()
        )
        entries = environment.server_lists[version]
        listed = {e.server for e in entries}
        self.known_list = version
        self.list_requested = False
        self.list_retry_owed = False
        removed_entries = [e for e in known_entries if e.server not in listed]
        for entry in removed_entries:
            self.monitor.observe(EndpointListed(environment.now, self.number, entry.server, "gone", 0))
        for entry in entries:
            state = SERVER_STATE_WORDS[entry.state]
            self.monitor.observe(
                EndpointListed(environment.now, self.number, entry.server, state, entry.build)
            )
        if kind is EndpointUpdateKind.INCREMENTAL:
            changed = [e for e in entries if e not in known_entries]
            removals = [replace(e, state=ServerState.REMOVED) for e in removed_entries]
            entries = (*changed, *removals)
        self.dispatch(environment, EndpointUpdate(kind, version, entries))

    def receive_rollout_update(self, environment: Environment, update: RolloutUpdate) -> None:
        """Receive the state of a rollout from the platform."""
        if update.result is Result.OK:
            phase = PHASE_WORDS[update.phase]
            self.monitor.observe(
                RolloutUpdated(environment.now, self.number, update.build, update.stage, phase, update.cap)
            )
        self.dispatch(environment, update)

    # Time

    def next_due(self) -> float:
        """Return when something is due next; infinity where nothing is."""
        due_times = [*self.timers[:1], *(at for at, _ in self.vote_replies_due)]
        slack_ms = self.settings.rules.response_slack_ms
        for pending in self.pending_requests.values():
            if pending.outstanding_attempts:
                due_times.append(pending.deadline_ms)
            if not pending.answered:
                due_times.append(pending.deadline_ms + slack_ms)
        return min(due_times, default=math.inf)

    def last_due(self) -> float:
        """By when all that is owed is over; 0 where nothing is."""
        slack_ms = self.settings.rules.response_slack_ms
        unanswered = [a.deadline_ms + slack_ms for a in self.pending_requests.values()]
        return max([*unanswered, *(at for at, _ in self.vote_replies_due), *self.timers[:1]], default=0.0)

    def run_due(self, environment: Environment) -> None:
        """What is due now: attempts end at their request's deadline, then timers, then what is overdue."""
        now = environment.now
        slack_ms = self.settings.rules.response_slack_ms
        for request, pending in list(self.pending_requests.items()):
            if pending.outstanding_attempts and pending.deadline_ms <= now:
                for attempt in list(pending.outstanding_attempts):
                    if request in self.pending_requests and attempt in pending.outstanding_attempts:
                        self.finish_attempt(environment, request, attempt, Result.TIMEOUT)
        for due_at, update in [a for a in self.vote_replies_due if a[0] <= now]:
            self.vote_replies_due.remove((due_at, update))
            self.dispatch(environment, update)
        if self.timers and self.timers[0] <= now:
            self.timers.pop(0)
            self.dispatch(environment, Timer(TIMER_TOKEN))
        for request, pending in list(self.pending_requests.items()):
            if not pending.answered and pending.deadline_ms + slack_ms <= now and not self.timer_is_due(now):
                self.monitor.report("answers", now, f"request {request} got no answer by its deadline")
                pending.answered = True
                self._forget_if_done(request)

    def timer_is_due(self, now: float) -> bool:
        """Tell whether a timer is due."""
        return bool(self.timers) and self.timers[0] <= now
