"""A state of the shared-state model: gateways, ledger, servers, and what is on its way between them."""

from __future__ import annotations

from typing import NamedTuple, Self

from meadowpulley.ledger import Incarnation, MemoryStore
from meadowpulley.model_checking.errors import UnknownNameError
from meadowpulley.model_checking.graph import FormWriter, fingerprint_of
from meadowpulley.model_checking.model import ModelSettings
from meadowpulley.model_checking.shared_state_model.configurations import CONFIGURATIONS
from meadowpulley.model_checking.shared_state_model.gateway import SimulatedGateway
from meadowpulley.model_checking.shared_state_model.gateway_state import FORM_RULES, RANDOM
from meadowpulley.model_checking.shared_state_model.invariant_monitor import InvariantMonitor
from meadowpulley.takeover.records import RECORD_PREFIX, decode_request_record

START_MS = 100_000.0


class Attempt(NamedTuple):
    """One that has reached its server, and has not run."""

    gateway: int
    incarnation: Incarnation
    request: int
    attempt: int
    request_id: str
    request_class: int
    server: int
    is_delayed: bool  # it waits at the server until it is let go


class State:
    """The model between steps. Copies share gateways until one of them steps."""

    def __init__(self, settings: ModelSettings) -> None:
        if settings.configuration not in CONFIGURATIONS:
            raise UnknownNameError("scene", settings.configuration, CONFIGURATIONS)
        self.settings = settings
        self.configuration = CONFIGURATIONS[settings.configuration]
        self.now = START_MS
        self.requests_left = tuple(range(settings.requests))  # requests still to come
        self.client_sends: tuple[tuple[int, int], ...] = ()  # request and gateway, of every ask
        self.faults = settings.faults
        self.time_advances = settings.time_advances
        self.finished = False
        self.messages: list[tuple[str, str, str]] = []
        self.own_gateways = {0, 1}  # gateways that no other copy of this model shares
        self.monitor = InvariantMonitor()
        self.violations = self.monitor.violations
        self.store = MemoryStore()
        self.arrived_attempts: tuple[Attempt, ...] = ()
        self.gateways = [SimulatedGateway(n, self.configuration) for n in range(2)]
        RANDOM.begin(())
        for gateway in self.gateways:
            gateway.start(self)
        self._settle_initially()

    def _settle_initially(self) -> None:
        """Both have renewed their leases and know of each other."""

    def record_message(self, sender: str, receiver: str, text: str) -> None:
        """Record what one party says to another."""
        self.messages.append((sender, receiver, text))

    def open_work(self) -> list[str]:
        """Written requests without their end."""
        open_requests = []
        for key, record in self.store.records.items():
            if key.startswith(RECORD_PREFIX) and not decode_request_record(record.value).is_final:
                open_requests.append(key[len(RECORD_PREFIX) :])
        return open_requests

    def has_ended(self, request_id: str) -> bool:
        """Whether the ledger has the end of that request."""
        record = self.store.records.get(RECORD_PREFIX + request_id)
        return record is not None and decode_request_record(record.value).is_final

    # Copies and forms

    def copy(self) -> Self:
        """Return a copy that shares gateways until one of them steps."""
        duplicate = type(self).__new__(type(self))
        duplicate.__dict__.update(self.__dict__)
        duplicate.gateways = list(self.gateways)
        duplicate.messages = []
        duplicate.own_gateways = set()
        duplicate.monitor = self.monitor.copy()
        duplicate.store = self.store.copy()
        duplicate.violations = duplicate.monitor.violations
        return duplicate

    def _environment_form(self) -> tuple[object, ...]:
        writer = FormWriter(FORM_RULES)
        return (
            self.now,
            self.requests_left,
            self.client_sends,
            self.faults,
            self.time_advances,
            self.finished,
            writer.write(self.arrived_attempts),
            writer.write(self.store),
            self.monitor.form(),
        )

    def form(self) -> object:
        """Return the complete state in canonical form."""
        return self._environment_form(), tuple(gateway.form() for gateway in self.gateways)

    def fingerprint(self) -> int:
        """Return 64 bits of the canonical form."""
        return fingerprint_of(
            (self._environment_form(), tuple(gateway.fingerprint() for gateway in self.gateways))
        )
