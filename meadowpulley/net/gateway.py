"""The gateway: its phases, the dispatch of events to the policy, and the execution of actions."""

from __future__ import annotations

import signal
import time
from collections import deque
from collections.abc import Callable
from dataclasses import replace
from enum import Enum
from typing import TYPE_CHECKING, Any, TypeAlias, TypeVar, cast

from structlog.typing import FilteringBoundLogger

from meadowpulley.interface import (
    LOG_EVENT_TYPES,
    Cancel,
    CloseIdleConnections,
    ConfigurationReloaded,
    Fail,
    FetchEndpoints,
    LogEvent,
    Outcome,
    Probe,
    Reject,
    ReloadOutcome,
    Request,
    Send,
    SendGossip,
    SetTimer,
    Settings,
    Timer,
    Vote,
    Watch,
)
from meadowpulley.interface.log_wording import log_fields
from meadowpulley.net.attempts import AttemptRunner
from meadowpulley.net.client_listener import ClientListener
from meadowpulley.net.config import Config, ConfigError, reload_config
from meadowpulley.net.counters import Counters
from meadowpulley.net.deadlines import Deadlines, now_ms
from meadowpulley.net.discovery_client import DiscoveryClient
from meadowpulley.net.errors import NetError
from meadowpulley.net.extension import Extension
from meadowpulley.net.gossip import GossipTransport
from meadowpulley.net.instance_pools import InstancePools
from meadowpulley.net.log import UNEXPECTED_EXCEPTION_EVENT
from meadowpulley.net.memory_budget import BYTES_PER_MB, MemoryBudget, budget_bytes
from meadowpulley.net.reactor_interface import GatewayReactor, StreamReactor
from meadowpulley.net.request_admission import RequestAdmission
from meadowpulley.net.request_table import RequestTable
from meadowpulley.net.rollout_client import RolloutClient
from meadowpulley.policy import RolloutPolicy

if TYPE_CHECKING:
    from types import FrameType

    from meadowpulley.net.capture import Capture

RESERVED_SOCKETS = 32  # sockets for the process itself, the platform, discovery and closing connections
# The fraction of the unreserved sockets that client connections may use; the other 0.42 is for connections to
# instances. Client connections with a request take a third of all sockets, and the rest of this fraction is
# for idle client connections: of 1024 sockets, 575 are for clients, 341 for those with a request and 234 for
# idle ones.
CLIENT_SOCKET_FRACTION = 0.58
DRAIN_ACCEPT_MS = 700.0  # new connections are accepted for this long after SIGTERM, since some still arrive
TIMER_RETRY_MS = 1000.0  # delay until a timer event is repeated after the policy raised an exception

# The argument is Any: each handler takes its own action type, which a dict's type can't express.
ActionHandler: TypeAlias = Callable[[Any], None]
ActionT = TypeVar("ActionT")


class ActionHandlerExistsError(NetError):
    """A second handler was registered for an action type."""

    def __init__(self, action_type: type) -> None:
        super().__init__(
            f"{action_type.__name__} is carried out already: register one handler for each action type"
        )
        self.action_type = action_type


class GatewayPhase(Enum):
    """The phases of a gateway, in order. A gateway stopped while STARTING goes directly to STOPPED."""

    STARTING = "starting"
    READY = "ready"
    DRAINING = "draining"
    STOPPED = "stopped"


class Gateway:
    """One gateway: its components, its phases and its event loop.

    `pipeline` is the outermost stage around the policy; further stages may be wrapped around it before the
    start. `extension` and `capture` are None unless they are set after construction.
    """

    def __init__(
        self,
        config: Config,
        reactor: StreamReactor,
        log: FilteringBoundLogger,
        create_policy: Callable[[Settings, int], RolloutPolicy] = RolloutPolicy,
        load_config: Callable[[], Config] = reload_config,
        clock: Callable[[], float] = now_ms,
    ) -> None:
        self.config = config
        # Only gossip needs datagrams, so a reactor without datagram support suffices while gossip is off.
        self.reactor = cast(GatewayReactor, reactor)
        self.log = log
        self._load_config = load_config
        self.phase = GatewayPhase.STARTING
        self.counters = Counters()
        self.deadlines = Deadlines(reactor, self.log_fault, clock)
        self._pending_events: deque[object] = deque()
        self._dispatching = False
        self._accepting = True
        self._policy = create_policy(config.settings, config.seed)
        self.pipeline: Any = self._policy  # Any, since each stage adds its own event and action types
        self.memory_budget = MemoryBudget(int(config.memory_mb * BYTES_PER_MB))
        available = config.max_sockets - RESERVED_SOCKETS
        client_sockets = int(available * CLIENT_SOCKET_FRACTION)
        instance_sockets = available - client_sockets
        self._max_connections = available
        # Each request holds a client connection, or an instance connection after its client has disconnected,
        # which limits the number of requests.
        self.requests = RequestTable(self, client_sockets + instance_sockets)
        self.admission = RequestAdmission(self, self.requests)
        self.clients = ClientListener(self, self.admission, self.requests, client_sockets)
        self.memory_budget.shed_load = self.clients.load_shedder.shed
        self.instances = InstancePools(self, instance_sockets)
        self.attempts = AttemptRunner(self, self.instances, self.requests)
        self.discovery = DiscoveryClient(self, self.instances, time.time() * 1000.0 - self.deadlines.now())
        self.rollout_client = RolloutClient(self, lambda name: self.discovery.decoder.server_ids.get(name))
        self.gossip = GossipTransport(self)
        self.capture: Capture | None = None
        self.extension: Extension | None = None
        self._actions = self._action_handlers()

    def _action_handlers(self) -> dict[type, ActionHandler]:
        return {
            Send: self.attempts.send,
            Cancel: self.attempts.cancel,
            Reject: self.requests.reject,
            Fail: self.requests.fail,
            Probe: self.attempts.probe,
            Vote: self.rollout_client.cast_vote,
            SetTimer: self._set_timer,
            Watch: lambda action: self.discovery.watch(action.enabled),
            FetchEndpoints: lambda _: self.discovery.fetch(),
            SendGossip: self.gossip.send,
            CloseIdleConnections: lambda action: self.instances.close_idle(action.server),
            **dict.fromkeys(LOG_EVENT_TYPES, self._log_event),
        }

    def _log_event(self, event: LogEvent) -> None:
        self.log.info(event.event_name, **log_fields(event))

    # Phases of the gateway

    @property
    def ready(self) -> bool:
        """Whether the gateway listens for clients and is not draining."""
        return self.phase is GatewayPhase.READY

    @property
    def stopping(self) -> bool:
        """Whether the gateway has stopped."""
        return self.phase is GatewayPhase.STOPPED

    def prepare(self) -> None:
        """Start the clients of discovery and the platform, connections to instances, and gossip.

        The warnings of the configuration are logged first. Clients are accepted only after `listen`.
        """
        for warning in self.config.warnings:
            self.log.warning("configuration_warning", what=warning)
        self.discovery.start()
        self.instances.preconnect()
        self.rollout_client.start()
        self.gossip.start()

    def listen(self) -> None:
        """Start listening and become ready, even while discovery and the platform are unreachable.

        Call it in a turn of the reactor: connections in the backlog count as accepted, and must not wait for
        the rest of the startup.
        """
        if self.phase is not GatewayPhase.STARTING:  # the gateway was stopped before it was ready
            return
        self.memory_budget.limit_bytes = budget_bytes(self.config.memory_mb, self._max_connections)
        self.clients.listen()
        self.phase = GatewayPhase.READY
        host, port = self.config.listen
        self.log.info(
            "ready",
            listen=f"{host}:{port}",
            clients=self.clients.connections.size,
            memory_budget_bytes=self.memory_budget.limit_bytes,
        )

    def drain(self) -> None:
        """Begin a graceful shutdown: answer all accepted requests, then stop."""
        if self.phase is GatewayPhase.STARTING:  # no connection was accepted, and none will be
            self._stop()
        if self.phase is not GatewayPhase.READY:
            return
        self.phase = GatewayPhase.DRAINING
        self.log.info(
            "draining", requests=len(self.requests.slots), connections=len(self.clients.connections)
        )
        if self.extension is not None:
            try:
                self.extension.on_draining()
            except Exception:  # noqa: BLE001  # a failing extension must not keep the gateway from draining
                self.log_fault("extension")
        self.clients.drain()
        self.deadlines.after(DRAIN_ACCEPT_MS, self._stop_accepting)

    def _stop_accepting(self) -> None:
        self._accepting = False
        self.clients.stop_listening()
        self.stop_if_drained()

    def stop_if_drained(self) -> None:
        """Stop a draining gateway once it has no client connections and no unanswered requests."""
        if self.phase is not GatewayPhase.DRAINING or self._accepting:
            return
        if not len(self.clients.connections) and not self.requests.open_ids:
            self._stop()

    def _stop(self) -> None:
        self.phase = GatewayPhase.STOPPED
        self.discovery.stop()
        self.rollout_client.stop()
        self.gossip.stop()
        self.log.info("stopped")
        self.reactor.callLater(0, self.reactor.stop)

    def reload(self, requested_at: float) -> None:
        """Read the configuration again and apply the addresses of discovery and the platform.

        Nothing else changes: known endpoints and requests in flight are kept. This also works before the
        gateway is ready, since discovery may have moved after the file was read. `requested_at` is the time
        of the signal on the gateway's clock in milliseconds; the policy is told of every signal, as discovery
        may have moved even if the file is not usable.
        """
        if self.stopping:
            return
        try:
            new_config = self._load_config()
        except ConfigError as error:
            self.counters.add("reload.rejected")
            self.log.error("reload_rejected", why=str(error))
            self.dispatch(ConfigurationReloaded(requested_at, ReloadOutcome.REFUSED))
            return
        old_config = self.config
        self.config = replace(old_config, discovery=new_config.discovery, platform=new_config.platform)
        self.counters.add("reload.done")
        self.log.info("reloaded", discovery=new_config.discovery, platform=new_config.platform)
        has_moved = new_config.discovery != old_config.discovery
        outcome = ReloadOutcome.MOVED if has_moved else ReloadOutcome.UNCHANGED
        self.dispatch(ConfigurationReloaded(requested_at, outcome))
        if has_moved:
            self.discovery.address_changed()
        if new_config.platform != old_config.platform:
            self.rollout_client.address_changed()

    def start_capture(self, capture: Capture, interval_ms: float) -> None:
        """Record arriving requests from now on, and flush the capture every `interval_ms` milliseconds."""
        self.capture = capture

        def flush() -> None:
            """Flush now, and again after the interval."""
            capture.flush()
            if not self.stopping:
                self.deadlines.after(interval_ms, flush)

        self.deadlines.after(interval_ms, flush)

    def log_counters(self) -> None:
        """Log all counters; called on SIGUSR1 and when the program ends."""
        if self.capture is not None:
            self.log.info("load_capture_summary", written=self.capture.written, dropped=self.capture.dropped)
        dropped = self._policy.gossip.rejected_digests
        extra = {"peers.dropped": dropped} if dropped else {}
        extra |= {f"send_refused.{name}": count for name, count in self._policy.send_refusals.items()}
        extra |= {f"memory.{use.value}": size for use, size in self.memory_budget.used_by.items()}
        extra |= {
            "memory.limit": self.memory_budget.limit_bytes,
            "memory.peak": self.memory_budget.peak_bytes,
        }
        extra |= {f"sent_by.{name}": count for name, count in self._policy.sends_by_lease_basis.items()}
        self.log.info("counters", phase=self.phase.value, **self.counters.snapshot(), **extra)

    def on_signal(self, number: int, _: FrameType | None) -> None:
        """Handle a signal by scheduling its action for a turn of the reactor."""
        if number == signal.SIGUSR1:
            self.reactor.callFromThread(self.log_counters)
        elif number == signal.SIGHUP:
            self.reactor.callFromThread(self.reload, self.deadlines.now())
        else:
            self.reactor.callFromThread(self.drain)

    # Dispatch of events and execution of actions

    def log_fault(self, where: str) -> None:
        """Log and count the exception being handled. `where` names the component."""
        self.counters.add(f"fault.{where}")
        self.log.error(UNEXPECTED_EXCEPTION_EVENT, where=where, exc_info=True)

    def register_action(self, action_type: type[ActionT], handler: Callable[[ActionT], None]) -> None:
        """Register the handler of an action type that a stage of the pipeline adds.

        Raises:
            ActionHandlerExistsError: the type has a handler already.
        """
        if action_type in self._actions:
            raise ActionHandlerExistsError(action_type)
        self._actions[action_type] = handler

    def dispatch(self, event: object) -> None:
        """Pass an event to the pipeline and execute the resulting actions; one event at a time, in order.

        The event may be of any type that a stage of the pipeline handles.
        """
        self._pending_events.append(event)
        if self._dispatching:
            return
        self._dispatching = True
        try:
            while self._pending_events:
                self._handle(self._pending_events.popleft())
        finally:
            self._dispatching = False

    def _handle(self, event: object) -> None:
        try:
            actions = self.pipeline.handle(self.deadlines.now(), event)
        except Exception:  # noqa: BLE001  # an exception in a decision may fail one request, but not the others or the process
            self.log_fault("policy")
            self._recover_from_failed_decision(event)
            return
        for action in actions:
            try:
                self._actions[type(action)](action)
            except Exception:  # noqa: BLE001  # execute the later actions: they may belong to other requests
                self.log_fault("action")

    def _recover_from_failed_decision(self, event: object) -> None:
        """Answer the request whose event made the policy raise, or repeat a timer event later."""
        if isinstance(event, Request | Outcome):
            self.requests.decision_failed(event.request)
        elif isinstance(event, Timer):
            self.deadlines.after(TIMER_RETRY_MS, lambda: self.dispatch(event))

    def _set_timer(self, action: SetTimer) -> None:
        self.deadlines.after(action.delay_ms, lambda: self.dispatch(Timer(action.token)))
