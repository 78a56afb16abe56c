"""A state of the policy model: gateways, endpoint lists, the rollout's history, what is still to come."""

from __future__ import annotations

from collections.abc import Callable
from typing import Self

from meadowpulley.interface import RolloutUpdate, ServerEntry, ServerState, Settings
from meadowpulley.model_checking.errors import UnknownNameError
from meadowpulley.model_checking.graph import fingerprint_of
from meadowpulley.model_checking.model import ModelSettings
from meadowpulley.model_checking.policy_model.canonical_form import RANDOM
from meadowpulley.model_checking.policy_model.configurations import (
    BASELINE_BUILD,
    CONFIGURATIONS,
    TRIAL_BUILD,
)
from meadowpulley.model_checking.policy_model.gateway import SimulatedGateway
from meadowpulley.model_checking.properties import Violation
from meadowpulley.policy import RolloutPolicy

START_MS = 100_000.0  # all began long ago: servers are warm, windows empty
EXPOSURE_ROUNDING = 1e-6  # attempts: limits are sums of fractions


class State:
    """The model between steps. Copies share gateways until one of them steps."""

    def __init__(
        self, settings: ModelSettings, make_policy: Callable[[Settings, int], RolloutPolicy] = RolloutPolicy
    ) -> None:
        if settings.configuration not in CONFIGURATIONS:
            raise UnknownNameError("scene", settings.configuration, CONFIGURATIONS)
        self.settings = settings
        self.configuration = CONFIGURATIONS[settings.configuration]
        self.now = START_MS
        self.last_to_step = -1  # the gateway that stepped last in this moment; -1: none did
        self.requests_left = tuple(range(settings.requests))  # requests still to come
        self.faults = settings.faults
        self.time_advances = settings.time_advances
        self.violations: list[Violation] = []
        self.messages: list[tuple[str, str, str]] = []
        count = max(settings.servers, 1)
        builds = [self.configuration.builds[n % len(self.configuration.builds)] for n in range(count)]
        if TRIAL_BUILD in builds and BASELINE_BUILD not in builds:
            builds[0] = BASELINE_BUILD
        started_ms = START_MS if self.configuration.starts_in_slow_start else 1.0
        initial_list = tuple(self._entry(n + 1, build, started_ms) for n, build in enumerate(builds))
        self.server_lists: tuple[tuple[ServerEntry, ...], ...] = (initial_list,)
        self.rollout_history: tuple[RolloutUpdate, ...] = (self.configuration.rollout_update,)
        self.gateways = [
            SimulatedGateway(n, self.configuration.settings(n, settings.gateways), make_policy)
            for n in range(settings.gateways)
        ]
        RANDOM.begin(())
        for gateway in self.gateways:
            gateway.start(self, 0, self.configuration.rollout_update)
        self._collect_violations()

    @staticmethod
    def _entry(server: int, build: int, started_ms: float) -> ServerEntry:
        return ServerEntry(server, 0, 0, ServerState.READY, build, started_ms, 0, 1.0)

    def entry_at(self, version: int, server: int) -> ServerEntry | None:
        """Return the entry of a server in a version of the list, or None."""
        if version < 0:
            return None
        return next((entry for entry in self.server_lists[version] if entry.server == server), None)

    def record_message(self, sender: str, receiver: str, text: str) -> None:
        """Record what one party says to another."""
        self.messages.append((sender, receiver, text))

    def _stepping_gateway(self, gateway_index: int) -> SimulatedGateway:
        """Return a gateway that steps now; other copies of the model keep theirs."""
        gateway = self.gateways[gateway_index] = self.gateways[gateway_index].copy()
        self.last_to_step = gateway_index
        return gateway

    def _collect_violations(self) -> None:
        for gateway in self.gateways:
            if gateway.monitor.violations:
                self.violations += gateway.monitor.violations
                gateway.monitor.violations = []
        exposures = [gateway.monitor.trial_exposure(self.now) for gateway in self.gateways]
        sent = sum(sent_by_one for sent_by_one, _ in exposures)
        limit = sum(limit_of_one for _, limit_of_one in exposures)
        if sent > limit + EXPOSURE_ROUNDING:
            text = f"{sent} attempts of all gateways at the trial build, {limit:.1f} allowed"
            self.violations.append(Violation("exposure-sum", self.now, -1, text))

    # Copies and forms

    def copy(self) -> Self:
        """Return a copy that shares gateways until one of them steps."""
        duplicate = type(self).__new__(type(self))
        duplicate.__dict__.update(self.__dict__)
        duplicate.gateways = list(self.gateways)
        duplicate.violations = list(self.violations)
        duplicate.messages = []
        return duplicate

    def form(self) -> object:
        """Return the complete state in canonical form."""
        server_numbers = self._canonical_server_numbers() if self.settings.symmetry else {}
        gateways = [(self._may_step(h), h.form(server_numbers)) for h in self.gateways]
        if self.settings.symmetry:
            gateways.sort(key=repr)
        return (*self._environment_form(server_numbers), tuple(gateways))

    def fingerprint(self) -> int:
        """Return 64 bits of the canonical form."""
        server_numbers = self._canonical_server_numbers() if self.settings.symmetry else {}
        gateways = [(self._may_step(h), h.fingerprint(server_numbers)) for h in self.gateways]
        if self.settings.symmetry:
            gateways.sort()
        return fingerprint_of((*self._environment_form(server_numbers), tuple(gateways)))

    def _may_step(self, gateway: SimulatedGateway) -> bool:
        return not self.settings.ordered_gateways or gateway.number >= self.last_to_step

    @staticmethod
    def _list_form(entries: tuple[ServerEntry, ...], server_numbers: dict[int, int]) -> tuple[object, ...]:
        return tuple(
            sorted(
                (
                    server_numbers.get(entry.server, entry.server),
                    int(entry.state),
                    entry.build,
                    entry.started_ms,
                )
                for entry in entries
            )
        )

    def _environment_form(self, server_numbers: dict[int, int]) -> tuple[object, ...]:
        server_lists = tuple(self._list_form(entries, server_numbers) for entries in self.server_lists)
        kinds = tuple(
            sorted(self.configuration.kinds[n % len(self.configuration.kinds)] for n in self.requests_left)
        )
        environment_may_step = not self.settings.ordered_gateways or self.last_to_step < 0
        rollout = tuple(
            (update.build, update.stage, int(update.phase), update.cap) for update in self.rollout_history
        )
        return self.now, environment_may_step, kinds, self.faults, self.time_advances, server_lists, rollout

    def _canonical_server_numbers(self) -> dict[int, int]:
        """Servers by what is known and recorded of them, not by their numbers."""
        server_ids = [entry.server for entry in self.server_lists[0]]
        by_gateway = [gateway.server_fingerprints(server_ids) for gateway in self.gateways]
        orderings = []
        for position, server_id in enumerate(server_ids):
            known, listed = self._history_of(server_id)
            fingerprints = sorted(one_gateway[position] for one_gateway in by_gateway)
            orderings.append((known, listed, fingerprints, server_id))
        orderings.sort()
        return {number: place for place, (*_, number) in enumerate(orderings)}

    def _history_of(self, server: int) -> tuple[list[tuple[int, int, float]], list[bool]]:
        """Return the entries of a server in all lists, and in which lists it stands."""
        entries = [self.entry_at(version, server) for version in range(len(self.server_lists))]
        known = [(int(entry.state), entry.build, entry.started_ms) for entry in entries if entry is not None]
        return known, [entry is not None for entry in entries]
