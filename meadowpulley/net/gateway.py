"""One gateway: its phases, and the one place where events reach the decisions and actions leave them."""

from __future__ import annotations

import signal
import time
from collections import deque
from collections.abc import Callable
from dataclasses import replace
from enum import Enum
from typing import TYPE_CHECKING, Any

from structlog.typing import FilteringBoundLogger

from meadowpulley.interface import (
    Cancel,
    CloseIdleConnections,
    Fail,
    FetchEndpoints,
    LogLine,
    Outcome,
    Probe,
    Reject,
    Request,
    Send,
    SendGossip,
    SetTimer,
    Settings,
    Timer,
    Vote,
    Watch,
)
from meadowpulley.net.attempts import AttemptRunner
from meadowpulley.net.client_listener import ClientListener
from meadowpulley.net.config import Config, ConfigError, reload_config
from meadowpulley.net.counters import Counters
from meadowpulley.net.deadlines import Deadlines, now_ms
from meadowpulley.net.discovery_client import DiscoveryClient
from meadowpulley.net.extension import Extension
from meadowpulley.net.gossip import GossipTransport
from meadowpulley.net.instance_pools import InstancePools
from meadowpulley.net.request_admission import RequestAdmission
from meadowpulley.net.request_table import RequestTable
from meadowpulley.net.rollout_client import RolloutClient
from meadowpulley.policy import RolloutPolicy

if TYPE_CHECKING:
    from meadowpulley.net.capture import Capture

RESERVED_SOCKETS = (
    32  # descriptors for the program itself, the platform, discovery and connections just ending
)
CLIENT_SOCKET_FRACTION = (
    0.58  # of the others: clients hold a third of all for requests, and the rest of it says nothing
)
DRAIN_ACCEPT_MS = 700.0  # after SIGTERM, while connections still come
TIMER_RETRY_MS = 1000.0  # a timer on which the decisions failed comes again


class GatewayPhase(Enum):
    STARTING = "starting"
    READY = "ready"
    DRAINING = "draining"
    STOPPED = "stopped"


class Gateway:
    def __init__(
        self,
        config: Config,
        reactor: Any,
        log: FilteringBoundLogger,
        create_policy: Callable[[Settings, int], Any] = RolloutPolicy,
        load_config: Callable[[], Config] = reload_config,
        clock: Callable[[], float] = now_ms,
    ) -> None:
        self.config, self.reactor, self.log, self._load_config = config, reactor, log, load_config
        self.phase = GatewayPhase.STARTING
        self.counters = Counters()
        self.deadlines = Deadlines(reactor, self.log_fault, clock)
        self._pending_events: deque[Any] = deque()
        self._dispatching = False
        self._accepting = True
        self.pipeline = self._policy = create_policy(
            config.settings, config.seed
        )  # stages before it may be put in
        available = config.max_sockets - RESERVED_SOCKETS
        client_sockets = int(available * CLIENT_SOCKET_FRACTION)
        instance_sockets = available - client_sockets
        # A request is owed its answer on a client's connection, or outlives it on an instance's.
        self.requests = RequestTable(self, client_sockets + instance_sockets)
        self.admission = RequestAdmission(self, self.requests)
        self.clients = ClientListener(self, self.admission, self.requests, client_sockets)
        self.instances = InstancePools(self, instance_sockets)
        self.attempts = AttemptRunner(self, self.instances, self.requests)
        self.discovery = DiscoveryClient(self, self.instances, time.time() * 1000.0 - self.deadlines.now())
        self.rollout_client = RolloutClient(self, lambda name: self.discovery.decoder.server_ids.get(name))
        self.gossip = GossipTransport(self)
        self.capture: Capture | None = None  # of what clients ask, where one is wanted
        self.extension: Extension | None = None  # a part beside the intake, where one is wanted
        self._actions: dict[type, Callable[[Any], None]] = {
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
            LogLine: lambda action: self.log.info("decision", line=action.text),
        }

    # Phases

    @property
    def ready(self) -> bool:
        return self.phase is GatewayPhase.READY

    @property
    def stopping(self) -> bool:
        return self.phase is GatewayPhase.STOPPED

    def prepare(self) -> None:
        """All that a start takes from what the configuration holds, but for listening."""
        for warning in self.config.warnings:
            self.log.warning("configuration doubtful", what=warning)
        self.discovery.start()
        self.instances.preconnect()
        self.rollout_client.start()
        self.gossip.start()

    def listen(self) -> None:
        """Ready, even with discovery and the platform out of reach. Called in a turn of the reactor: whatever
        waits to be accepted counts as taken, and must not wait for the rest of a start."""
        if self.phase is not GatewayPhase.STARTING:  # told to end before it was ready
            return
        self.clients.listen()
        self.phase = GatewayPhase.READY
        host, port = self.config.listen
        self.log.info("ready", listen=f"{host}:{port}", clients=self.clients.connections.size)

    def drain(self) -> None:
        if (
            self.phase is GatewayPhase.STARTING
        ):  # nobody was let in: nothing is owed, and nothing is taken any more
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
            except Exception:
                self.log_fault("hook")
        self.clients.drain()
        self.deadlines.after(DRAIN_ACCEPT_MS, self._stop_accepting)

    def _stop_accepting(self) -> None:
        self._accepting = False
        self.clients.stop_listening()
        self.stop_if_drained()

    def stop_if_drained(self) -> None:
        """Asked whenever a connection ends: the last one of a draining gateway ends the gateway, unless a
        request without one is still owed an answer."""
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

    def reload(self) -> None:
        """The configuration was replaced: where discovery and the platform are now. Nothing else of it is
        taken over, and what is known, owed and under way stays as it is. Before it is ready too: the file was
        read before all that a start asks for, and discovery may be gone from where it said."""
        if self.stopping:
            return
        try:
            new_config = self._load_config()
        except ConfigError as error:
            self.counters.add("reload.refused")
            self.log.error("reload refused", why=str(error))
            return
        old_config = self.config
        self.config = replace(old_config, discovery=new_config.discovery, platform=new_config.platform)
        self.counters.add("reload.done")
        self.log.info("reloaded", discovery=new_config.discovery, platform=new_config.platform)
        if new_config.discovery != old_config.discovery:
            self.discovery.address_changed()
        if new_config.platform != old_config.platform:
            self.rollout_client.address_changed()

    def start_capture(self, capture: Capture, interval_ms: float) -> None:
        """From now on what clients ask is captured."""
        self.capture = capture

        def flush() -> None:
            capture.flush()
            if not self.stopping:
                self.deadlines.after(interval_ms, flush)

        self.deadlines.after(interval_ms, flush)

    def log_counters(self) -> None:
        if self.capture is not None:
            self.log.info("capture", written=self.capture.written, dropped=self.capture.dropped)
        dropped = self._policy.gossip.rejected_digests
        extra = {"peers.dropped": dropped} if dropped else {}
        self.log.info("counters", phase=self.phase.value, **self.counters.snapshot(), **extra)

    def on_signal(self, number: int, _: Any) -> None:
        """Signals only wake the reactor: what they ask for runs in its turn."""
        if number == signal.SIGUSR1:
            self.reactor.callFromThread(self.log_counters)
        elif number == signal.SIGHUP:
            self.reactor.callFromThread(self.reload)
        else:
            self.reactor.callFromThread(self.drain)

    # Between sockets and decisions

    def log_fault(self, where: str) -> None:
        """Called while an exception is handled: it is logged and counted, and ends nothing."""
        self.counters.add(f"fault.{where}")
        self.log.error("fault", where=where, exc_info=True)

    def register_action(self, action_type: type, handler: Callable[[Any], None]) -> None:
        """From now on actions of a type that stages before the decisions bring along are carried out so.
        Raises ValueError for a type that is carried out already."""
        if action_type in self._actions:
            raise ValueError(f"{action_type.__name__} is carried out already")
        self._actions[action_type] = handler

    def dispatch(self, event: object) -> None:
        """Hands an event, of whatever type the stages before the decisions know, to them and carries out what
        they decide; one at a time, in order."""
        self._pending_events.append(event)
        if self._dispatching:
            return
        self._dispatching = True
        try:
            while self._pending_events:
                self._handle(self._pending_events.popleft())
        finally:
            self._dispatching = False

    def _handle(self, event: Any) -> None:
        try:
            actions = self.pipeline.handle(self.deadlines.now(), event)
        except Exception:
            self.log_fault("decisions")
            if isinstance(event, Request | Outcome):
                self.requests.decision_failed(event.request)
            elif isinstance(event, Timer):
                self.deadlines.after(TIMER_RETRY_MS, lambda: self.dispatch(event))
            return
        for action in actions:
            try:
                self._actions[type(action)](action)
            except Exception:
                self.log_fault("action")

    def _set_timer(self, action: SetTimer) -> None:
        self.deadlines.after(action.delay_ms, lambda: self.dispatch(Timer(action.token)))
