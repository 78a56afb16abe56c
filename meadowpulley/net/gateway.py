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

from meadowpulley.balance import Balancer
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
from meadowpulley.net.attempts import Attempts
from meadowpulley.net.clients import Clients
from meadowpulley.net.config import Config, ConfigError, reread_config
from meadowpulley.net.control import Platform
from meadowpulley.net.counters import Counters
from meadowpulley.net.deadlines import Deadlines, now_ms
from meadowpulley.net.discovery import Discovery
from meadowpulley.net.hook import Hook
from meadowpulley.net.instances import Instances
from meadowpulley.net.intake import Intake
from meadowpulley.net.peers import Peers
from meadowpulley.net.requests import Requests

if TYPE_CHECKING:
    from meadowpulley.net.capture import Capture

KEPT_BACK = 32  # descriptors for the program itself, the platform, discovery and connections just ending
CLIENT_PART = 0.58  # of the others: clients hold a third of all for requests, and the rest of it says nothing
ACCEPT_ON_MS = 700.0  # after SIGTERM, while connections still come
TIMER_AGAIN_MS = 1000.0  # a timer on which the decisions failed comes again


class Phase(Enum):
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
        make: Callable[[Settings, int], Any] = Balancer,
        reread: Callable[[], Config] = reread_config,
        clock: Callable[[], float] = now_ms,
    ) -> None:
        self.config, self.reactor, self.log, self._reread = config, reactor, log, reread
        self.phase = Phase.STARTING
        self.counters = Counters()
        self.deadlines = Deadlines(reactor, self.failed, clock)
        self._events: deque[Any] = deque()
        self._telling = False
        self._accepting = True
        self.balancer = self._decisions = make(config.settings, config.seed)  # stages before it may be put in
        free = config.sockets - KEPT_BACK
        clients = int(free * CLIENT_PART)
        instances = free - clients
        # A request is owed its answer on a client's connection, or outlives it on an instance's.
        self.requests = Requests(self, clients + instances)
        self.intake = Intake(self, self.requests)
        self.clients = Clients(self, self.intake, self.requests, clients)
        self.instances = Instances(self, instances)
        self.attempts = Attempts(self, self.instances, self.requests)
        self.discovery = Discovery(self, self.instances, time.time() * 1000.0 - self.deadlines.now())
        self.platform = Platform(self, lambda name: self.discovery.entries.numbers.get(name))
        self.peers = Peers(self)
        self.capture: Capture | None = None  # of what clients ask, where one is wanted
        self.hook: Hook | None = None  # a part beside the intake, where one is wanted
        self._actions: dict[type, Callable[[Any], None]] = {
            Send: self.attempts.send,
            Cancel: self.attempts.cancel,
            Reject: self.requests.refuse,
            Fail: self.requests.fail,
            Probe: self.attempts.probe,
            Vote: self.platform.vote,
            SetTimer: self._set_timer,
            Watch: lambda action: self.discovery.watch(action.on),
            FetchEndpoints: lambda _: self.discovery.fetch(),
            SendGossip: self.peers.tell,
            CloseIdleConnections: lambda action: self.instances.close_idle(action.server),
            LogLine: lambda action: self.log.info("decision", line=action.text),
        }

    # Phases

    @property
    def ready(self) -> bool:
        return self.phase is Phase.READY

    @property
    def stopping(self) -> bool:
        return self.phase is Phase.STOPPED

    def prepare(self) -> None:
        """All that a start takes from what the configuration holds, but for listening."""
        for doubt in self.config.doubts:
            self.log.warning("configuration doubtful", what=doubt)
        self.discovery.start()
        self.instances.warm()
        self.platform.start()
        self.peers.start()

    def listen(self) -> None:
        """Ready, even with discovery and the platform out of reach. Called in a turn of the reactor: whatever
        waits to be accepted counts as taken, and must not wait for the rest of a start."""
        if self.phase is not Phase.STARTING:  # told to end before it was ready
            return
        self.clients.listen()
        self.phase = Phase.READY
        host, port = self.config.listen
        self.log.info("ready", listen=f"{host}:{port}", clients=self.clients.links.size)

    def drain(self) -> None:
        if self.phase is Phase.STARTING:  # nobody was let in: nothing is owed, and nothing is taken any more
            self._stop()
        if self.phase is not Phase.READY:
            return
        self.phase = Phase.DRAINING
        self.log.info("draining", requests=len(self.requests.table), connections=len(self.clients.links))
        if self.hook is not None:
            try:
                self.hook.draining()
            except Exception:
                self.failed("hook")
        self.clients.drain()
        self.deadlines.after(ACCEPT_ON_MS, self._stop_accepting)

    def _stop_accepting(self) -> None:
        self._accepting = False
        self.clients.stop_listening()
        self.settled()

    def settled(self) -> None:
        """Asked whenever a connection ends: the last one of a draining gateway ends the gateway, unless a
        request without one is still owed an answer."""
        if self.phase is not Phase.DRAINING or self._accepting:
            return
        if not len(self.clients.links) and not self.requests.ids:
            self._stop()

    def _stop(self) -> None:
        self.phase = Phase.STOPPED
        self.discovery.stop()
        self.platform.stop()
        self.peers.stop()
        self.log.info("stopped")
        self.reactor.callLater(0, self.reactor.stop)

    def reload(self) -> None:
        """The configuration was replaced: where discovery and the platform are now. Nothing else of it is
        taken over, and what is known, owed and under way stays as it is. Before it is ready too: the file was
        read before all that a start asks for, and discovery may be gone from where it said."""
        if self.stopping:
            return
        try:
            fresh = self._reread()
        except ConfigError as bad:
            self.counters.add("reload.refused")
            self.log.error("reload refused", why=str(bad))
            return
        before = self.config
        self.config = replace(before, discovery=fresh.discovery, platform=fresh.platform)
        self.counters.add("reload.done")
        self.log.info("reloaded", discovery=fresh.discovery, platform=fresh.platform)
        if fresh.discovery != before.discovery:
            self.discovery.moved()
        if fresh.platform != before.platform:
            self.platform.moved()

    def tap(self, capture: Capture, every_ms: float) -> None:
        """From now on what clients ask is captured."""
        self.capture = capture

        def flush() -> None:
            capture.flush()
            if not self.stopping:
                self.deadlines.after(every_ms, flush)

        self.deadlines.after(every_ms, flush)

    def print_counters(self) -> None:
        if self.capture is not None:
            self.log.info("capture", written=self.capture.written, dropped=self.capture.dropped)
        strays = self._decisions.peers.strays
        told = {"peers.dropped": strays} if strays else {}
        self.log.info("counters", phase=self.phase.value, **self.counters.all(), **told)

    def on_signal(self, number: int, _: Any) -> None:
        """Signals only wake the reactor: what they ask for runs in its turn."""
        if number == signal.SIGUSR1:
            self.reactor.callFromThread(self.print_counters)
        elif number == signal.SIGHUP:
            self.reactor.callFromThread(self.reload)
        else:
            self.reactor.callFromThread(self.drain)

    # Between sockets and decisions

    def failed(self, where: str) -> None:
        """Called while an exception is handled: it is logged and counted, and ends nothing."""
        self.counters.add(f"fault.{where}")
        self.log.error("fault", where=where, exc_info=True)

    def carry_out(self, kind: type, function: Callable[[Any], None]) -> None:
        """From now on actions of a type that stages before the decisions bring along are carried out so.
        Raises ValueError for a type that is carried out already."""
        if kind in self._actions:
            raise ValueError(f"{kind.__name__} is carried out already")
        self._actions[kind] = function

    def tell(self, event: object) -> None:
        """Hands an event, of whatever type the stages before the decisions know, to them and carries out what
        they decide; one at a time, in order."""
        self._events.append(event)
        if self._telling:
            return
        self._telling = True
        try:
            while self._events:
                self._handle(self._events.popleft())
        finally:
            self._telling = False

    def _handle(self, event: Any) -> None:
        try:
            actions = self.balancer.handle(self.deadlines.now(), event)
        except Exception:
            self.failed("decisions")
            if isinstance(event, Request | Outcome):
                self.requests.broke(event.request)
            elif isinstance(event, Timer):
                self.deadlines.after(TIMER_AGAIN_MS, lambda: self.tell(event))
            return
        for action in actions:
            try:
                self._actions[type(action)](action)
            except Exception:
                self.failed("action")

    def _set_timer(self, action: SetTimer) -> None:
        self.deadlines.after(action.delay_ms, lambda: self.tell(Timer(action.token)))
