"""What may happen next in the policy model, and the moments at which time may stop."""

from __future__ import annotations

import math
from collections.abc import Iterator

from meadowpulley.interface import Phase, ServerState
from meadowpulley.model_checking.model import Step
from meadowpulley.model_checking.policy_model.configurations import (
    BASELINE_BUILD,
    EDGE_MARGIN_MS,
    RULES,
    TRIAL_BUILD,
    WELL_PAST_EDGE_MS,
)
from meadowpulley.model_checking.policy_model.gateway import SimulatedGateway
from meadowpulley.model_checking.policy_model.state import State


class EnabledSteps(State):
    """The steps that are possible in a state."""

    # Steps

    def enabled_steps(self) -> list[Step]:
        """Return the steps that may happen next, in a fixed order."""
        steps: list[Step] = []
        if not self.settings.ordered_gateways or self.last_to_step < 0:
            steps += self._environment_steps()
        for gateway in self.gateways:
            if not self.settings.ordered_gateways or gateway.number >= self.last_to_step:
                steps += self._gateway_steps(gateway)
        if self.time_advances > 0:
            steps += [Step("wait", (name, place)) for _, name, place in self._time_stops()]
        return steps

    def _fault_allowed(self, fault: str) -> bool:
        return self.faults > 0 and fault in self.configuration.faults

    def _environment_steps(self) -> Iterator[Step]:
        """Steps of servers and the platform; gateways are notified later."""
        latest_list, rollout = self.server_lists[-1], self.rollout_history[-1]
        for entry in latest_list:
            if self._fault_allowed("drain") and entry.state is ServerState.READY:
                yield Step("drain", (entry.server,))
            if self._fault_allowed("gone"):
                yield Step("gone", (entry.server,))
        if self._fault_allowed("restart"):  # under the same id, with the same build, and cold
            yield from (Step("return", (e.server, e.build)) for e in latest_list)
        if self._fault_allowed("return"):
            listed = {e.server for e in latest_list}
            for server in sorted({e.server for e in self.server_lists[0]} - listed):
                yield from (Step("return", (server, build)) for build in (BASELINE_BUILD, TRIAL_BUILD))
            for entry in latest_list:
                if (
                    entry.build == BASELINE_BUILD
                    and entry.state is ServerState.READY
                    and not self.configuration.starts_in_slow_start
                ):
                    yield Step("return", (entry.server, max(rollout.build, TRIAL_BUILD)))
        if self._fault_allowed("stage") and rollout.phase is Phase.TRIAL:
            yield Step("stage")
        if self._fault_allowed("call_back") and rollout.phase is Phase.TRIAL:
            yield Step("call_back")
        if self._fault_allowed("withdraw") and rollout.phase is Phase.ROLLING_BACK:
            yield Step("withdraw")
        for gateway in self.gateways:
            for index, (_, sent_at) in enumerate(gateway.votes):
                if sent_at < self.now:
                    yield Step("count", (gateway.number, index))
                    if self._fault_allowed("lose_vote"):
                        yield Step("lose_vote", (gateway.number, index, "counted"))
                        yield Step("lose_vote", (gateway.number, index, "uncounted"))
            for index in range(len(gateway.datagrams)):
                yield Step("datagram", (gateway.number, index))
                if self._fault_allowed("lose_datagram"):
                    yield Step("lose_datagram", (gateway.number, index))
                if self._fault_allowed("repeat_datagram"):
                    yield Step("repeat_datagram", (gateway.number, index))

    def _gateway_steps(self, gateway: SimulatedGateway) -> Iterator[Step]:
        """What may come to one gateway."""
        gateway_index = gateway.number
        kinds: set[tuple[int, int]] = set()
        for index in self.requests_left:
            kind = self.configuration.kinds[index % len(self.configuration.kinds)]
            if kind not in kinds:
                kinds.add(kind)
                yield Step("ask", (gateway_index, index))
        for request, pending in gateway.pending_requests.items():
            for attempt, attempt_out in pending.outstanding_attempts.items():
                yield Step("outcome", (gateway_index, request, attempt, "ok"))
                for result in ("error", "reset", "full", "connect_failed"):
                    possible = not attempt_out.response_sent or result == "reset"
                    if possible and self._fault_allowed(result):
                        yield Step("outcome", (gateway_index, request, attempt, result))
                key = self.configuration.kinds[pending.kind % len(self.configuration.kinds)][1]
                if key and not attempt_out.response_sent and self._binds_key(attempt_out.build):
                    yield Step("answered", (gateway_index, request, attempt))
            if not pending.answered and self._fault_allowed("leave"):
                yield Step("leave", (gateway_index, request))
        for index, (_, build) in enumerate(gateway.abandoned_keys):
            if self._binds_key(build):
                yield Step("late", (gateway_index, index))
        latest_version = len(self.server_lists) - 1
        for version in range(gateway.known_list + 1, latest_version + 1):
            yield Step("list", (gateway_index, version))
        if gateway.known_list < latest_version and "list_failed" in self.configuration.faults:
            yield Step("whole_list", (gateway_index,))
        if gateway.list_requested and gateway.known_list == latest_version:
            yield Step("list", (gateway_index, latest_version))
        if self._fault_allowed("list_failed"):
            yield Step("list_failed", (gateway_index,))
        for index in range(len(gateway.rollout_updates_due)):
            yield Step("news", (gateway_index, index))
            if self._fault_allowed("lose_news"):
                yield Step("lose_news", (gateway_index, index))
        if self._fault_allowed("kill"):
            for version in sorted({0, max(gateway.known_list, 0)}):
                yield Step("kill", (gateway_index, version))

    def _binds_key(self, build: int) -> bool:
        """Whether it matters when this build answers a key."""
        return self.configuration.rollout.monotonic_keys and build > BASELINE_BUILD

    # Moments at which time may stop

    def _time_stops(self) -> list[tuple[float, str, str]]:
        stops: dict[float, tuple[float, str, str]] = {}
        last_edge = self.now
        for edge_name in self.configuration.edges:
            edges = [e for e in self._edge_times(edge_name) if e > self.now]
            if not edges:
                continue
            edge = min(edges)
            last_edge = max(last_edge, max(edges))
            places = [(edge, "at")]
            if edge_name not in ("timer", "cold"):
                places = [(edge - EDGE_MARGIN_MS, "before"), *places, (edge + EDGE_MARGIN_MS, "after")]
            if edge_name == "window":  # what counts generously has let go by then
                places.append((edge + WELL_PAST_EDGE_MS, "later"))
            for stop_at, place in places:
                if stop_at > self.now and stop_at not in stops:
                    stops[stop_at] = (stop_at, edge_name, place)
        end = max([last_edge, *(h.last_due() for h in self.gateways)]) + EDGE_MARGIN_MS
        if end not in stops and end > self.now + EDGE_MARGIN_MS:
            stops[end] = (end, "end", "after")
        return sorted(stops.values())

    def _edge_times(self, edge_name: str) -> Iterator[float]:
        for gateway in self.gateways:
            if edge_name == "deadline":
                yield from (a.deadline_ms for a in gateway.pending_requests.values())
            elif edge_name == "timer":
                yield from gateway.timers[:1]
            else:
                yield from gateway.monitor.time_edges(edge_name)
        if edge_name == "cold":
            slot = RULES.overload_window_ms / 4
            warming = [e for e in self.server_lists[-1] if self.now < e.started_ms + RULES.slow_start_ms]
            if warming:
                yield (math.floor(self.now / slot) + 1) * slot
