"""A state of the connection model: one real gateway on a scripted reactor, its clients, its instances."""

from __future__ import annotations

import json
import math
import sys
from collections.abc import Mapping
from dataclasses import replace
from typing import Any, Self
from urllib.parse import parse_qs, urlsplit

from meadowpulley.interface import (
    Action,
    Event,
    Outcome,
    Rollout,
    Settings,
)
from meadowpulley.model_checking.connection_model.configurations import (
    CLASSES,
    CONFIGURATIONS,
    DISCOVERY,
    INSTANCES,
    LIMITS,
    RULES,
    Configuration,
)
from meadowpulley.model_checking.connection_model.peers import (
    BUILD,
    AcceptBacklog,
    Client,
    DiscoveryConnection,
    DiscoveryRegistry,
    InstanceConnection,
)
from meadowpulley.model_checking.errors import ModelCheckingError, UnknownNameError
from meadowpulley.model_checking.graph import Copier, FormRules, FormWriter, fingerprint_of
from meadowpulley.model_checking.model import ModelSettings
from meadowpulley.model_checking.policy_model.canonical_form import UNCHANGING_POLICY_FIELDS
from meadowpulley.model_checking.properties import Violation
from meadowpulley.model_checking.scripted_reactor import PendingConnection, ScriptedReactor
from meadowpulley.net import protocol
from meadowpulley.net.config import Config, ConfigError, parse_address
from meadowpulley.net.gateway import RESERVED_SOCKETS, Gateway
from meadowpulley.net.http1 import Message, response_bytes
from meadowpulley.net.log import UNEXPECTED_EXCEPTION_EVENT
from meadowpulley.policy import RolloutPolicy

IGNORED_FIELDS = {
    "Gateway": frozenset({"config", "log", "_load_config", "counters", "_actions", "capture"}),
    "ObservedPolicy": UNCHANGING_POLICY_FIELDS,
    "InFlightRequest": frozenset({"request_class"}),
    "Deadlines": frozenset(
        {"_last_sequence", "_cancelled", "_reactor_call", "_reactor_call_at", "_report_failure", "polled_at"}
    ),
    "ConnectionModel": frozenset({"settings", "configuration", "violations", "messages", "log"}),
    "ScriptedReactor": frozenset({"delayed_calls"}),
    "ScriptedTransport": frozenset({"last_sent_at"}),
    "DiscoveryClient": frozenset({"decoder"}),
}


def _write_message(writer: FormWriter, message: Message) -> tuple[object, ...]:
    """Write a message by value: it says nothing which parsers share the one that stands for none."""
    head = (message.method, message.target, message.status)
    return ("message", *head, writer.write(message.headers), message.body)


FORM_RULES = FormRules(
    IGNORED_FIELDS,
    {
        ("Deadlines", "_heap"): lambda writer, heap: tuple(
            [
                (at, writer.write(deadline.callback))
                for at, _, deadline in sorted(heap, key=lambda entry: entry[:2])
                if deadline.callback is not None
            ]
        ),
        ("Deadlines", "now"): lambda writer, _: None,
    },
    {
        "RingBuffer": lambda writer, ring: ("ring", ring.max_bytes, ring.peek(len(ring))),
        "Message": _write_message,
        "Failure": lambda writer, failure: ("failure", failure.type.__name__),
    },
)
_COPIER = Copier()


class ObservedPolicy(RolloutPolicy):
    """The real policy; each attempt's outcomes are counted on their way in."""

    def __init__(self, settings: Settings, seed: int) -> None:
        super().__init__(settings, seed)
        self.finished_attempts: set[tuple[int, int]] = set()
        self.duplicate_outcomes: list[tuple[int, int]] = []

    def handle(self, now: float, event: Event) -> list[Action]:
        """Count the outcomes of each attempt, then decide."""
        if isinstance(event, Outcome):
            if (event.request, event.attempt) in self.finished_attempts:
                self.duplicate_outcomes.append((event.request, event.attempt))
            self.finished_attempts.add((event.request, event.attempt))
        return super().handle(now, event)


class ErrorLog:
    """Stands in for the log and keeps the errors."""

    def __init__(self) -> None:
        self.errors: list[str] = []

    def info(self, event: str, **_: Any) -> None:
        """Ignore an event that is no error."""

    warning = info

    def error(self, event: str, exc_info: bool = False, **fields: Any) -> None:
        """Keep the text of an exception that the gateway has caught."""
        if event == UNEXPECTED_EXCEPTION_EVENT:
            error_type, value, _ = sys.exc_info()
            self.errors.append(f"{fields.get('where')}: {error_type.__name__ if error_type else ''}: {value}")


def _initial_config(configuration: Configuration, registry: DiscoveryRegistry) -> Config:
    """Return the gateway's configuration, with a released build and the endpoint list that it has cached."""
    rollout_update = {
        protocol.MESSAGE_BUILD: BUILD,
        protocol.ROLLOUT_STAGE: 0,
        protocol.ROLLOUT_PHASE: "stable",
        protocol.ROLLOUT_CAP: 1.0,
        protocol.MESSAGE_AGE: 60_000,
    }
    settings = Settings(
        gateway_index=0,
        gateway_count=1,
        zone=0,
        zones=("a",),
        tick_ms=5.0,
        classes=CLASSES,
        tenants=(),
        # Where discovery is silent nothing ever drains, and the lease on the list is not what is explored.
        rules=RULES if configuration.serves_lists else replace(RULES, drain_grace_ms=0.0),
        limits=LIMITS,
        rollout=Rollout(caps=(1.0,), stage_shares=(1.0,), exposure_window_ms=300.0, exposure_allowance=4.0),
    )
    return Config(
        name="g0",
        listen=("127.0.0.1", 9000),
        discovery=DISCOVERY,
        platform=None,
        seed=7,
        max_sockets=RESERVED_SOCKETS + configuration.descriptors,
        settings=settings,
        initial_rollout=rollout_update,
        cached_endpoints=registry.endpoint_list(None),
    )


class State:
    """One gateway, its clients and its instances."""

    def __init__(self, settings: ModelSettings) -> None:
        if settings.configuration not in CONFIGURATIONS:
            raise UnknownNameError("scene", settings.configuration, CONFIGURATIONS)
        self.settings = settings
        self.configuration = CONFIGURATIONS[settings.configuration]
        self.faults = settings.faults
        self.time_advances = settings.time_advances
        self.violations: list[Violation] = []
        self.messages: list[tuple[str, str, str]] = []
        self.log = ErrorLog()
        self.reactor = ScriptedReactor(AcceptBacklog)
        instances = INSTANCES[: max(min(settings.servers, len(INSTANCES)), 1)]
        self.registry = DiscoveryRegistry(instances)
        self.initial_config = _initial_config(self.configuration, self.registry)
        self.reload_file: Config | None = self.initial_config  # what a reload finds; None: no usable file
        self.discovery_moved = False
        self.stop_requested = False
        self.list_fetched = False
        self.stop_requested_at = math.inf
        # When the gateway learned that an instance drains or is gone.
        self.notified_at: dict[tuple[str, int], float] = {}
        self.notified_version = self.registry.version
        self.discovery_connections: list[DiscoveryConnection] = []
        # Requests that had no attempt yet when their client closed its connection.
        self.undispatched_requests: frozenset[str] = frozenset()
        self.finished = False
        self.clients = self._make_clients()
        self.instance_connections: list[InstanceConnection] = []
        self._start_gateway()

    def _make_clients(self) -> list[Client]:
        scripts = self.configuration.scripts
        return [Client(n, scripts[n % len(scripts)]) for n in range(self.settings.requests)]

    def _start_gateway(self) -> None:
        """Start the gateway; of the connections to instances that it opens ahead the first comes up."""
        log: Any = self.log
        self.gateway = Gateway(
            self.initial_config, self.reactor, log, ObservedPolicy, self._reload_config, self._now
        )
        self.gateway.prepare()
        if not self.configuration.starts_unready:
            self.gateway.listen()
        for index, pending in enumerate(list(self._pending_instance_connections())):
            if index == 0:
                self._accept_instance_connection(pending)
            else:
                pending.refuse()
        self.reactor.run_due()
        self._accept_discovery_connections()
        for index in range(len(self.discovery_connections)):  # the first watch asks for what is new at once
            self._prepare_list_response(index)
            self._deliver_list_response(index)

    def _now(self) -> float:
        return self.reactor.now

    @property
    def now(self) -> float:
        """The time of the reactor in milliseconds."""
        return self.reactor.now

    def _reload_config(self) -> Config:
        if self.reload_file is None:
            raise ConfigError("no file that can be used")
        return self.reload_file

    def _pending_instance_connections(self) -> list[PendingConnection]:
        return [pending for pending in self.reactor.pending_connections if pending.address in INSTANCES]

    def _accept_instance_connection(self, pending: PendingConnection) -> None:
        transport = pending.accept()
        self.instance_connections.append(InstanceConnection(transport))

    def _accept_discovery_connections(self) -> None:
        """Connections to discovery come up at once, where it answers."""
        if not self.configuration.serves_lists:
            return
        for pending in list(self.reactor.pending_connections):
            if pending.address in INSTANCES:
                continue
            self.discovery_connections.append(DiscoveryConnection(pending.accept()))

    def _prepare_list_response(self, index: int) -> None:
        """Discovery writes its answer to a call: what it holds at this moment."""
        request = self.discovery_connections[index].pending_call()
        if request is None:
            raise ModelCheckingError(f"connection {index} to discovery has no call that waits for an answer")
        after_version = parse_qs(urlsplit(request.target).query).get(protocol.AFTER_PARAMETER)
        self.discovery_connections[index].prepared_response = self.registry.endpoint_list(
            int(after_version[0]) if after_version else None
        )

    def _deliver_list_response(self, index: int) -> None:
        """Deliver the response; what a newer one said stays known."""
        connection = self.discovery_connections[index]
        endpoint_list = connection.prepared_response
        if endpoint_list is None:
            raise ModelCheckingError(f"connection {index} to discovery has no answer on its way")
        connection.prepared_response = None
        connection.response_count += 1
        if endpoint_list[protocol.LIST_VERSION] >= self.notified_version:
            self.notified_version = endpoint_list[protocol.LIST_VERSION]
            self._note_notified_states(endpoint_list)
        connection.transport.receive(
            response_bytes(200, {"content-type": "application/json"}, json.dumps(endpoint_list).encode())
        )
        self.reactor.run_due()
        self._accept_discovery_connections()

    def _note_notified_states(self, endpoint_list: Mapping[str, Any]) -> None:
        """Note since when the gateway has known of each instance that it is not in service."""
        listed_states = {
            parse_address(entry[protocol.ENDPOINT_ADDRESS]): entry[protocol.ENDPOINT_STATE]
            for entry in endpoint_list[protocol.LIST_ENDPOINTS]
        }
        unlisted_state = "terminated" if endpoint_list[protocol.LIST_IS_SNAPSHOT] else ""
        for address in self.registry.addresses:
            state = listed_states.get(address, unlisted_state)
            if state == "in_service":
                self.notified_at.pop(address, None)
            elif state:
                self.notified_at.setdefault(address, self.now)

    def _report_violation(self, property_name: str, text: str) -> None:
        self.violations.append(Violation(property_name, self.reactor.now, 0, text))

    # States

    def copy(self) -> Self:
        """Return an independent copy."""
        duplicate: Self = _COPIER.copy(self)
        return duplicate

    def form(self) -> object:
        """Return the state in canonical form."""
        writer = FormWriter(FORM_RULES)
        return writer.write(self.reactor), [
            writer.write(value)
            for value in (
                self.gateway,
                self.clients,
                self.instance_connections,
                self.faults,
                self.time_advances,
                self.finished,
                self.registry,
                self.discovery_connections,
                self.discovery_moved,
                self.stop_requested,
                self.list_fetched,
                self.notified_at,
                self.notified_version,
                self.undispatched_requests,
                self.stop_requested_at,
            )
        ]

    def fingerprint(self) -> int:
        """Return 64 bits of the canonical form."""
        return fingerprint_of(self.form())
