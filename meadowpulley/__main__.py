"""Runs one real gateway until it is told to stop."""

from __future__ import annotations

import gc
import os
import signal
import socket
import sys
import time
from collections.abc import Callable
from typing import Any

if __name__ == "__main__":
    signal.signal(signal.SIGHUP, signal.SIG_IGN)  # there is nothing to read again yet
    # The log's library looks for this one, to colour terminals. Where the tools are installed beside it the
    # gateway would find it, and carry 3 MB more for nothing.
    sys.modules.setdefault("rich", None)  # type: ignore[arg-type]

from twisted.internet import error, main
from twisted.internet.epollreactor import EPollReactor

from meadowpulley.net.config import ConfigError, read_config
from meadowpulley.net.gateway import Gateway
from meadowpulley.net.log import open_log

SIGNALS = (signal.SIGTERM, signal.SIGINT, signal.SIGUSR1, signal.SIGHUP)
ON_A_LEDGER = ("MEADOWPULLEY_TAKEOVER", "MEADOWPULLEY_LENDING_", "MEADOWPULLEY_PLACEMENT")  # how they begin
FIRST_TURN_S = 0.001
GC_THRESHOLDS = (2_000, 5, 5)  # requests and connections end in cycles; what the start leaves is frozen


class MonotonicReactor(EPollReactor):  # type: ignore[misc,unused-ignore]
    """Its timers follow the clock that the gateway follows, which never jumps."""

    turned: Callable[[], None] = staticmethod(lambda: None)  # called when a turn's input is known

    def __init__(self) -> None:
        self.held: dict[tuple[str, int], socket.socket] = {}
        super().__init__()  # type: ignore[no-untyped-call]

    def seconds(self) -> float:
        return time.monotonic()

    def doPoll(self, timeout: float | None) -> None:  # noqa: N802 (Twisted's name)
        """As the reactor's own, less the log context that it sets up around every event: nothing here logs
        by way of it, and it cost a tenth of a request."""
        wait = -1.0 if timeout is None else timeout
        events = self._poller.poll(wait, len(self._selectables))
        self.turned()
        for fd, event in events:
            selectable = self._selectables.get(fd)
            if selectable is not None:
                self._doReadOrWrite(selectable, fd, event)  # type: ignore[no-untyped-call]

    doIteration = doPoll  # noqa: N815

    def hold(self, host: str, port: int) -> None:
        """Binds an address that is listened on later: until then no connection outwards, its own or another
        process's, is given that port, and whoever comes is refused. Raises CannotListenError."""
        held = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        held.setblocking(False)
        held.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        try:
            held.bind((host, port))
        except OSError as bad:
            held.close()
            raise error.CannotListenError(host, port, bad) from None  # type: ignore[no-untyped-call]
        self.held[host, port] = held

    def listenTCP(  # noqa: N802 (Twisted's name)
        self, port: int, factory: Any, backlog: int = 50, interface: str = ""
    ) -> Any:
        held = self.held.pop((interface, port), None)
        if held is None:
            return super().listenTCP(port, factory, backlog, interface)  # type: ignore[no-untyped-call]
        try:
            held.listen(backlog)
            return self.adoptStreamPort(held.fileno(), held.family, factory)  # type: ignore[no-untyped-call]
        except OSError as bad:
            raise error.CannotListenError(interface, port, bad) from None  # type: ignore[no-untyped-call]
        finally:
            held.close()


def start_capture(gateway: Gateway, reactor: MonotonicReactor) -> None:
    """Only where a file is named in the environment: nothing of it is imported else."""
    if not os.environ.get("MEADOWPULLEY_CAPTURE"):
        return
    from meadowpulley.net.capture import FLUSH_MS, open_capture

    def run_aside(work: Callable[[], None], done: Callable[[bool], None]) -> None:
        def run() -> None:
            failed = False
            try:
                work()
            except OSError:
                failed = True
            reactor.callFromThread(done, failed)

        reactor.callInThread(run)

    config = gateway.config
    capture = open_capture(os.environ, config.settings, config.name, gateway.deadlines.now, run_aside)
    if capture is not None:
        gateway.tap(capture, FLUSH_MS)


def start_joint(gateway: Gateway, reactor: MonotonicReactor) -> Callable[[], None]:
    """Only where the environment names a ledger: nothing of it is imported else. What comes back is called at
    the end. Raises RefusedError or ConfigError, one line."""
    if not os.environ.get("MEADOWPULLEY_LEDGER"):
        for name in sorted(os.environ):  # one that is set and empty is off
            if name.startswith(ON_A_LEDGER) and os.environ[name]:
                raise ConfigError(f"{name}: rests on a ledger: set MEADOWPULLEY_LEDGER too, or leave it out")
        return lambda: None
    try:
        from meadowpulley import joint
    except ImportError as bad:
        raise ConfigError(
            f"MEADOWPULLEY_LEDGER: not in this build ({bad}): use that of `deploy/compile.py --joint`, with"
            " requirements-ledger.txt installed, or leave it out"
        ) from None

    client = joint.start(gateway, os.environ, gateway.config.seed, reactor)

    def close() -> None:
        client.leave()
        client.close()

    return close


def run() -> int:
    early: list[int] = []  # one that comes after the reading asks for another
    signal.signal(signal.SIGHUP, lambda number, _: early.append(number))
    try:
        config = read_config()
    except ConfigError as bad:
        print(f"meadowpulley: {bad}", file=sys.stderr)
        return 2
    reactor = MonotonicReactor()
    main.installReactor(reactor)  # type: ignore[no-untyped-call]
    log = open_log(gateway=config.name)
    gateway = Gateway(config, reactor, log)
    reactor.turned = gateway.deadlines.turn
    # A signal between the last look for one and the wait for events would otherwise sleep as long as they do.
    signal.set_wakeup_fd(reactor.waker.o, warn_on_full_buffer=False)
    for number in SIGNALS:
        signal.signal(number, gateway.on_signal)
    for asked in early:
        gateway.on_signal(asked, None)
    try:
        start_capture(gateway, reactor)
    except (OSError, ValueError) as bad:
        print(f"meadowpulley: capture: {bad}", file=sys.stderr)
        return 2
    if os.environ.get("MEADOWPULLEY_SECONDS"):
        from meadowpulley.net.seconds import Seconds

        Seconds(gateway)
    if wanted := os.environ.get("MEADOWPULLEY_STORY"):
        from meadowpulley.net.story import Story

        Story(gateway, wanted)
    try:
        close = start_joint(gateway, reactor)
    except Exception as bad:  # RefusedError's module is imported only where the parts are on
        if not isinstance(bad, ConfigError) and type(bad).__name__ != "RefusedError":
            raise
        print(f"meadowpulley: {bad}", file=sys.stderr)
        return 2
    try:
        reactor.hold(*config.listen)  # before the first connection outwards, which might leave from it
        gateway.prepare()
    except error.CannotListenError as bad:
        close()  # or the name stays taken for as long as a lease lasts
        print(f"meadowpulley: {bad}", file=sys.stderr)
        return 2
    gc.collect()
    gc.freeze()
    gc.set_threshold(*GC_THRESHOLDS)
    failures: list[error.CannotListenError] = []

    def listen() -> None:
        try:
            gateway.listen()
        except error.CannotListenError as bad:
            failures.append(bad)
            reactor.stop()

    # Once all that a start costs is over and the reactor has turned: clients may know the address, and what
    # came while it still started was read a third of a second late, its deadline counted from then.
    reactor.callLater(FIRST_TURN_S, listen)
    reactor.run(installSignalHandlers=False)
    close()
    for number in SIGNALS:  # the interpreter's end would give them back their usual effect
        signal.signal(number, signal.SIG_IGN)
    if failures:
        print(f"meadowpulley: {failures[0]}", file=sys.stderr)
        return 2
    if gateway.capture is not None:
        gateway.capture.close()
    gateway.print_counters()
    return 0


if __name__ == "__main__":
    sys.exit(run())
