"""Applying a step of the policy model."""

from __future__ import annotations

from collections.abc import Callable, Mapping, Sequence
from dataclasses import replace
from typing import ClassVar

from meadowpulley.interface import (
    EndpointUpdate,
    EndpointUpdateKind,
    GossipReceived,
    Phase,
    Result,
    RolloutUpdate,
    ServerEntry,
    ServerState,
    Verdict,
    Vote,
)
from meadowpulley.model_checking.model import Step
from meadowpulley.model_checking.policy_model.canonical_form import RANDOM
from meadowpulley.model_checking.policy_model.descriptions import OUTCOME_TEXTS, rollout_text, step_text
from meadowpulley.model_checking.policy_model.enabled_steps import EnabledSteps
from meadowpulley.model_checking.policy_model.gateway import SimulatedGateway
from meadowpulley.model_checking.properties import Violation
from meadowpulley.rules import KeyAnswered

MAX_TIMER_ROUNDS = 10_000  # within one advance of time: more is a timer that is set again and again
RESULTS_BY_NAME = {
    "ok": Result.OK,
    "error": Result.ERROR,
    "reset": Result.RESET,
    "full": Result.REJECTED,
    "connect_failed": Result.CONNECT_FAILED,
}


class PolicyModel(EnabledSteps):
    """The complete model: `HANDLERS` has the method of each step."""

    def apply(self, step: Step) -> tuple[Sequence[int], Sequence[int]]:
        """Make a step happen; return what the policy drew and among how many."""
        RANDOM.begin(step.draws)
        self.messages = []
        self.HANDLERS[step.action](self, *step.arguments)
        self._collect_violations()
        return RANDOM.chosen, RANDOM.option_counts

    def _spend_fault(self) -> None:
        self.faults -= 1

    def _drain_server(self, server: int) -> None:
        self._spend_fault()
        entries = tuple(
            replace(entry, state=ServerState.DRAINING) if entry.server == server else entry
            for entry in self.server_lists[-1]
        )
        self._publish_server_list(entries)

    def _remove_server(self, server: int) -> None:
        self._spend_fault()
        self._publish_server_list(tuple(entry for entry in self.server_lists[-1] if entry.server != server))

    def _restart_server(self, server: int, build: int) -> None:
        self._spend_fault()
        other_entries = [entry for entry in self.server_lists[-1] if entry.server != server]
        returned = self._entry(server, build, self.now)
        self._publish_server_list(tuple(sorted([*other_entries, returned], key=lambda entry: entry.server)))

    def _publish_server_list(self, entries: tuple[ServerEntry, ...]) -> None:
        self.server_lists = (*self.server_lists, entries)

    def _move_rollout(self, phase: Phase, stage: int, cap: float, build: int = 0) -> None:
        update = RolloutUpdate(build or self.rollout_history[-1].build, stage, phase, cap, 0.0)
        self.rollout_history = (*self.rollout_history, update)
        for index, gateway in enumerate(self.gateways):
            duplicate = self.gateways[index] = gateway.copy()
            duplicate.rollout_updates_due = (*gateway.rollout_updates_due, update)

    def _start_next_stage(self) -> None:
        self._spend_fault()
        self._advance_rollout()

    def _advance_rollout(self) -> None:
        rollout = self.rollout_history[-1]
        caps = self.configuration.rollout.caps
        if rollout.stage + 1 < len(caps):
            self._move_rollout(Phase.TRIAL, rollout.stage + 1, caps[rollout.stage + 1])
        else:
            self._move_rollout(Phase.RELEASED, rollout.stage, 1.0)

    def _start_rollback(self) -> None:
        self._spend_fault()
        self._move_rollout(Phase.ROLLING_BACK, self.rollout_history[-1].stage, 0.0)

    def _finish_rollback(self) -> None:
        self._spend_fault()
        self._move_rollout(Phase.ROLLED_BACK, self.rollout_history[-1].stage, 0.0)

    def _count_vote(self, gateway_index: int, index: int, reply_arrives: bool = True) -> None:
        gateway = self.gateways[gateway_index] = self.gateways[gateway_index].copy()
        vote, sent_at = gateway.votes[index]
        gateway.votes = (*gateway.votes[:index], *gateway.votes[index + 1 :])
        rollout = self.rollout_history[-1]
        in_trial = vote.build == rollout.build and rollout.phase is Phase.TRIAL
        if in_trial and vote.stage == rollout.stage and vote.verdict is Verdict.ADVANCE:
            self._advance_rollout()
        elif in_trial and vote.verdict is Verdict.ROLL_BACK:
            self._move_rollout(Phase.ROLLING_BACK, rollout.stage, 0.0)
        gateway = self.gateways[gateway_index] = self.gateways[gateway_index].copy()
        if reply_arrives:
            reply = replace(self.rollout_history[-1], result=Result.OK, is_vote_reply=True)
            gateway.rollout_updates_due = (*gateway.rollout_updates_due, reply)
        else:
            self._lose_vote_reply(gateway, vote, sent_at)

    def _lose_vote_reply(self, gateway: SimulatedGateway, vote: Vote, sent_at: float) -> None:
        timed_out = RolloutUpdate(vote.build, vote.stage, Phase.TRIAL, 0.0, 0.0, Result.TIMEOUT, True)
        due_at = max(sent_at + self.configuration.rollout.call_timeout_ms, self.now)
        gateway.vote_replies_due = [*gateway.vote_replies_due, (due_at, timed_out)]

    def _lose_vote(self, gateway_index: int, index: int, outcome: str) -> None:
        self._spend_fault()
        if outcome == "counted":
            self._count_vote(gateway_index, index, reply_arrives=False)
            return
        gateway = self.gateways[gateway_index] = self.gateways[gateway_index].copy()
        vote, sent_at = gateway.votes[index]
        gateway.votes = (*gateway.votes[:index], *gateway.votes[index + 1 :])
        self._lose_vote_reply(gateway, vote, sent_at)

    def _deliver_datagram(self, gateway_index: int, index: int, repeat: bool = False) -> None:
        gateway = self.gateways[gateway_index] = self.gateways[gateway_index].copy()
        action = gateway.datagrams[index]
        if not repeat:
            gateway.datagrams = (*gateway.datagrams[:index], *gateway.datagrams[index + 1 :])
        for peer_index in range(len(self.gateways)):
            if peer_index != gateway_index and action.peer in (None, peer_index):
                peer = self.gateways[peer_index] = self.gateways[peer_index].copy()
                peer.dispatch(self, GossipReceived(gateway_index, action.data))

    def _duplicate_datagram(self, gateway_index: int, index: int) -> None:
        self._spend_fault()
        self._deliver_datagram(gateway_index, index, repeat=True)

    def _lose_datagram(self, gateway_index: int, index: int) -> None:
        self._spend_fault()
        gateway = self.gateways[gateway_index] = self.gateways[gateway_index].copy()
        gateway.datagrams = (*gateway.datagrams[:index], *gateway.datagrams[index + 1 :])

    def _receive_request(self, gateway_index: int, request_index: int) -> None:
        self.requests_left = tuple(index for index in self.requests_left if index != request_index)
        self.record_message("clients", f"gateway {gateway_index}", "asks")
        self._stepping_gateway(gateway_index).receive_request(
            self, request_index % len(self.configuration.kinds)
        )

    def _finish_attempt(self, gateway_index: int, request: int, attempt: int, result_name: str) -> None:
        if result_name != "ok":
            self._spend_fault()
        gateway = self._stepping_gateway(gateway_index)
        self.record_message(
            f"server {gateway.pending_requests[request].outstanding_attempts[attempt].server}",
            f"gateway {gateway_index}",
            OUTCOME_TEXTS[result_name],
        )
        gateway.finish_attempt(self, request, attempt, RESULTS_BY_NAME[result_name])

    def _send_keyed_response(self, gateway_index: int, request: int, attempt: int) -> None:
        gateway = self._stepping_gateway(gateway_index)
        pending = gateway.pending_requests[request]
        attempt_out = pending.outstanding_attempts[attempt]
        attempt_out.response_sent = True
        key = self.configuration.kinds[pending.kind][1]
        gateway.monitor.observe(KeyAnswered(self.now, gateway_index, key, attempt_out.build))

    def _send_late_response(self, gateway_index: int, index: int) -> None:
        gateway = self._stepping_gateway(gateway_index)
        key, build = gateway.abandoned_keys[index]
        gateway.abandoned_keys = (*gateway.abandoned_keys[:index], *gateway.abandoned_keys[index + 1 :])
        gateway.monitor.observe(KeyAnswered(self.now, gateway_index, key, build))

    def _disconnect_client(self, gateway_index: int, request: int) -> None:
        self._spend_fault()
        self.record_message("clients", f"gateway {gateway_index}", f"leaves request {request}")
        self._stepping_gateway(gateway_index).client_disconnects(self, request)

    def _receive_endpoint_list(self, gateway_index: int, version: int) -> None:
        self.record_message("discovery", f"gateway {gateway_index}", f"list {version}")
        self._stepping_gateway(gateway_index).receive_list(self, version, EndpointUpdateKind.INCREMENTAL)

    def _receive_full_endpoint_list(self, gateway_index: int) -> None:
        self.record_message("discovery", f"gateway {gateway_index}", "the whole list")
        self._stepping_gateway(gateway_index).receive_list(
            self, len(self.server_lists) - 1, EndpointUpdateKind.FULL
        )

    def _fail_endpoint_poll(self, gateway_index: int) -> None:
        self._spend_fault()
        gateway = self._stepping_gateway(gateway_index)
        gateway.list_retry_owed = self.configuration.must_poll
        gateway.dispatch(self, EndpointUpdate(EndpointUpdateKind.FAILED, max(gateway.known_list, 0)))

    def _receive_rollout_update(self, gateway_index: int, index: int) -> None:
        gateway = self._stepping_gateway(gateway_index)
        update = gateway.rollout_updates_due[index]
        gateway.rollout_updates_due = (
            *gateway.rollout_updates_due[:index],
            *gateway.rollout_updates_due[index + 1 :],
        )
        self.record_message("platform", f"gateway {gateway_index}", rollout_text(update))
        gateway.receive_rollout_update(self, update)

    def _lose_rollout_update(self, gateway_index: int, index: int) -> None:
        self._spend_fault()
        gateway = self._stepping_gateway(gateway_index)
        gateway.rollout_updates_due = (
            *gateway.rollout_updates_due[:index],
            *gateway.rollout_updates_due[index + 1 :],
        )

    def _restart_gateway(self, gateway_index: int, version: int) -> None:
        self._spend_fault()
        killed = self.gateways[gateway_index]  # its monitor ends with it: it owes nothing any more
        gateway = self.gateways[gateway_index] = SimulatedGateway(
            gateway_index, killed.settings, killed.make_policy
        )
        self.last_to_step = gateway_index
        gateway.start(self, version, self.rollout_history[-1])

    def _advance_time(self, edge: str, place: str) -> None:
        self.time_advances -= 1
        target = next(
            stop_at
            for stop_at, edge_name, stop_place in self._time_stops()
            if edge_name == edge and stop_place == place
        )
        self.gateways = [gateway.copy() for gateway in self.gateways]
        for _ in range(MAX_TIMER_ROUNDS):
            due_at = min(gateway.next_due() for gateway in self.gateways)
            if due_at > target:
                break
            self.now = max(due_at, self.now)
            for gateway in self.gateways:
                if gateway.next_due() <= self.now:
                    gateway.run_due(self)
        else:
            self.violations.append(
                Violation("timers", self.now, -1, "a timer is set again and again for the same moment")
            )
        self.now = target
        self.last_to_step = -1

    # From the encoded step name, which stored counterexamples keep, to the method that carries it out.
    HANDLERS: ClassVar[Mapping[str, Callable[..., None]]] = {
        "drain": _drain_server,
        "gone": _remove_server,
        "return": _restart_server,
        "stage": _start_next_stage,
        "call_back": _start_rollback,
        "withdraw": _finish_rollback,
        "count": _count_vote,
        "lose_vote": _lose_vote,
        "datagram": _deliver_datagram,
        "repeat_datagram": _duplicate_datagram,
        "lose_datagram": _lose_datagram,
        "ask": _receive_request,
        "outcome": _finish_attempt,
        "answered": _send_keyed_response,
        "late": _send_late_response,
        "leave": _disconnect_client,
        "list": _receive_endpoint_list,
        "whole_list": _receive_full_endpoint_list,
        "list_failed": _fail_endpoint_poll,
        "news": _receive_rollout_update,
        "lose_news": _lose_rollout_update,
        "kill": _restart_gateway,
        "wait": _advance_time,
    }

    # For people

    def describe(self, step: Step) -> str:
        """Return a step in words, before it is applied."""
        return step_text(self, step)
