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

SLOTS_PER_OVERLOAD_WINDOW = 4  # time stops at the end of each while a server is in slow start


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
        yield from self._server_steps()
        yield from self._platform_steps()
        for gateway in self.gateways:
            yield from self._vote_steps(gateway)
            yield from self._datagram_steps(gateway)

    def _server_steps(self) -> Iterator[Step]:
        latest_list = self.server_lists[-1]
        for entry in latest_list:
            if self._fault_allowed("drain") and entry.state is ServerState.READY:
                yield Step("drain", (entry.server,))
            if self._fault_allowed("gone"):
                yield Step("gone", (entry.server,))
        if self._fault_allowed("restart"):  # under the same id, with the same build, and cold
            yield from (Step("return", (entry.server, entry.build)) for entry in latest_list)
        if self._fault_allowed("return"):
            initial_servers = {entry.server for entry in self.server_lists[0]}
            listed_servers = {entry.server for entry in latest_list}
            for server in sorted(initial_servers - listed_servers):
                yield from (Step("return", (server, build)) for build in (BASELINE_BUILD, TRIAL_BUILD))
            for entry in latest_list:
                if (
                    entry.build == BASELINE_BUILD
                    and entry.state is ServerState.READY
                    and not self.configuration.starts_in_slow_start
                ):
                    yield Step("return", (entry.server, max(self.rollout_history[-1].build, TRIAL_BUILD)))

    def _platform_steps(self) -> Iterator[Step]:
        rollout = self.rollout_history[-1]
        if self._fault_allowed("stage") and rollout.phase is Phase.TRIAL:
            yield Step("stage")
        if self._fault_allowed("call_back") and rollout.phase is Phase.TRIAL:
            yield Step("call_back")
        if self._fault_allowed("withdraw") and rollout.phase is Phase.ROLLING_BACK:
            yield Step("withdraw")

    def _vote_steps(self, gateway: SimulatedGateway) -> Iterator[Step]:
        for index, (_, sent_at) in enumerate(gateway.votes):
            if sent_at < self.now:
                yield Step("count", (gateway.number, index))
                if self._fault_allowed("lose_vote"):
                    yield Step("lose_vote", (gateway.number, index, "counted"))
                    yield Step("lose_vote", (gateway.number, index, "uncounted"))

    def _datagram_steps(self, gateway: SimulatedGateway) -> Iterator[Step]:
        for index in range(len(gateway.datagrams)):
            yield Step("datagram", (gateway.number, index))
            if self._fault_allowed("lose_datagram"):
                yield Step("lose_datagram", (gateway.number, index))
            if self._fault_allowed("repeat_datagram"):
                yield Step("repeat_datagram", (gateway.number, index))

    def _gateway_steps(self, gateway: SimulatedGateway) -> Iterator[Step]:
        """What may come to one gateway."""
        yield from self._request_steps(gateway.number)
        yield from self._attempt_steps(gateway)
        yield from self._list_steps(gateway)
        yield from self._rollout_update_steps(gateway)
        if self._fault_allowed("kill"):
            for version in sorted({0, max(gateway.known_list, 0)}):
                yield Step("kill", (gateway.number, version))

    def _request_steps(self, gateway_index: int) -> Iterator[Step]:
        kinds: set[tuple[int, int]] = set()
        for index in self.requests_left:
            kind = self.configuration.kinds[index % len(self.configuration.kinds)]
            if kind not in kinds:
                kinds.add(kind)
                yield Step("ask", (gateway_index, index))

    def _attempt_steps(self, gateway: SimulatedGateway) -> Iterator[Step]:
        gateway_index = gateway.number
        for request, pending in gateway.pending_requests.items():
            for attempt, attempt_out in pending.outstanding_attempts.items():
                yield Step("outcome", (gateway_index, request, attempt, "ok"))
                for result in ("error", "reset", "full", "connect_failed"):
                    possible = not attempt_out.response_sent or result == "reset"
                    if possible and self._fault_allowed(result):
                        yield Step("outcome", (gateway_index, request, attempt, result))
                _, key = self.configuration.kinds[pending.kind % len(self.configuration.kinds)]
                if key and not attempt_out.response_sent and self._binds_key(attempt_out.build):
                    yield Step("answered", (gateway_index, request, attempt))
            if not pending.answered and self._fault_allowed("leave"):
                yield Step("leave", (gateway_index, request))
        for index, (_, build) in enumerate(gateway.abandoned_keys):
            if self._binds_key(build):
                yield Step("late", (gateway_index, index))

    def _list_steps(self, gateway: SimulatedGateway) -> Iterator[Step]:
        gateway_index = gateway.number
        latest_version = len(self.server_lists) - 1
        for version in range(gateway.known_list + 1, latest_version + 1):
            yield Step("list", (gateway_index, version))
        if gateway.known_list < latest_version and "list_failed" in self.configuration.faults:
            yield Step("whole_list", (gateway_index,))
        if gateway.list_requested and gateway.known_list == latest_version:
            yield Step("list", (gateway_index, latest_version))
        if self._fault_allowed("list_failed"):
            yield Step("list_failed", (gateway_index,))

    def _rollout_update_steps(self, gateway: SimulatedGateway) -> Iterator[Step]:
        for index in range(len(gateway.rollout_updates_due)):
            yield Step("news", (gateway.number, index))
            if self._fault_allowed("lose_news"):
                yield Step("lose_news", (gateway.number, index))

    def _binds_key(self, build: int) -> bool:
        """Whether it matters when this build answers a key."""
        return self.configuration.rollout.monotonic_keys and build > BASELINE_BUILD

    # Moments at which time may stop

    def _time_stops(self) -> list[tuple[float, str, str]]:
        stops: dict[float, tuple[float, str, str]] = {}
        last_edge = self.now
        for edge_name in self.configuration.edges:
            edges = [edge for edge in self._edge_times(edge_name) if edge > self.now]
            if not edges:
                continue
            last_edge = max(last_edge, max(edges))
            for stop_at, place in self._places_around(min(edges), edge_name):
                if stop_at > self.now and stop_at not in stops:
                    stops[stop_at] = (stop_at, edge_name, place)
        end = max([last_edge, *(gateway.last_due() for gateway in self.gateways)]) + EDGE_MARGIN_MS
        if end not in stops and end > self.now + EDGE_MARGIN_MS:
            stops[end] = (end, "end", "after")
        return sorted(stops.values())

    @staticmethod
    def _places_around(edge: float, edge_name: str) -> list[tuple[float, str]]:
        places = [(edge, "at")]
        if edge_name not in ("timer", "cold"):
            places = [(edge - EDGE_MARGIN_MS, "before"), *places, (edge + EDGE_MARGIN_MS, "after")]
        if edge_name == "window":  # what counts generously has let go by then
            places.append((edge + WELL_PAST_EDGE_MS, "later"))
        return places

    def _edge_times(self, edge_name: str) -> Iterator[float]:
        for gateway in self.gateways:
            if edge_name == "deadline":
                yield from (pending.deadline_ms for pending in gateway.pending_requests.values())
            elif edge_name == "timer":
                yield from gateway.timers[:1]
            else:
                yield from gateway.monitor.time_edges(edge_name)
        if edge_name == "cold":
            slot_ms = RULES.overload_window_ms / SLOTS_PER_OVERLOAD_WINDOW
            if any(self.now < entry.started_ms + RULES.slow_start_ms for entry in self.server_lists[-1]):
                yield (math.floor(self.now / slot_ms) + 1) * slot_ms
