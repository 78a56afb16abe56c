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

HANDLED_SIGNALS = (signal.SIGTERM, signal.SIGINT, signal.SIGUSR1, signal.SIGHUP)
LEDGER_DEPENDENT_PREFIXES = (
    "MEADOWPULLEY_TAKEOVER",
    "MEADOWPULLEY_LENDING_",
    "MEADOWPULLEY_PLACEMENT",
)  # how they begin
LISTEN_DELAY_S = 0.001
GC_THRESHOLDS = (2_000, 5, 5)  # requests and connections end in cycles; what the start leaves is frozen


class MonotonicReactor(EPollReactor):  # type: ignore[misc,unused-ignore]
    """Its timers follow the clock that the gateway follows, which never jumps."""

    on_poll: Callable[[], None] = staticmethod(lambda: None)  # called when a turn's input is known

    def __init__(self) -> None:
        self.reserved_sockets: dict[tuple[str, int], socket.socket] = {}
        super().__init__()  # type: ignore[no-untyped-call]

    def seconds(self) -> float:
        return time.monotonic()

    def doPoll(self, timeout: float | None) -> None:  # noqa: N802 (Twisted's name)
        """As the reactor's own, less the log context that it sets up around every event: nothing here logs
        by way of it, and it cost a tenth of a request."""
        timeout_s = -1.0 if timeout is None else timeout
        events = self._poller.poll(timeout_s, len(self._selectables))
        self.on_poll()
        for fd, event in events:
            selectable = self._selectables.get(fd)
            if selectable is not None:
                self._doReadOrWrite(selectable, fd, event)  # type: ignore[no-untyped-call]

    doIteration = doPoll  # noqa: N815

    def reserve(self, host: str, port: int) -> None:
        """Binds an address that is listened on later: until then no connection outwards, its own or another
        process's, is given that port, and whoever comes is refused. Raises CannotListenError."""
        reserved = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        reserved.setblocking(False)
        reserved.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        try:
            reserved.bind((host, port))
        except OSError as cause:
            reserved.close()
            raise error.CannotListenError(host, port, cause) from None  # type: ignore[no-untyped-call]
        self.reserved_sockets[host, port] = reserved

    def listenTCP(  # noqa: N802 (Twisted's name)
        self, port: int, factory: Any, backlog: int = 50, interface: str = ""
    ) -> Any:
        reserved = self.reserved_sockets.pop((interface, port), None)
        if reserved is None:
            return super().listenTCP(port, factory, backlog, interface)  # type: ignore[no-untyped-call]
        try:
            reserved.listen(backlog)
            return self.adoptStreamPort(reserved.fileno(), reserved.family, factory)  # type: ignore[no-untyped-call]
        except OSError as cause:
            raise error.CannotListenError(interface, port, cause) from None  # type: ignore[no-untyped-call]
        finally:
            reserved.close()


def start_capture(gateway: Gateway, reactor: MonotonicReactor) -> None:
    """Only where a file is named in the environment: nothing of it is imported else."""
    if not os.environ.get("MEADOWPULLEY_CAPTURE"):
        return
    from meadowpulley.net.capture import FLUSH_INTERVAL_MS, open_capture

    def run_in_thread(task: Callable[[], None], on_done: Callable[[bool], None]) -> None:
        def run() -> None:
            failed = False
            try:
                task()
            except OSError:
                failed = True
            reactor.callFromThread(on_done, failed)

        reactor.callInThread(run)

    config = gateway.config
    capture = open_capture(os.environ, config.settings, config.name, gateway.deadlines.now, run_in_thread)
    if capture is not None:
        gateway.start_capture(capture, FLUSH_INTERVAL_MS)


def start_ledger_stages(gateway: Gateway, reactor: MonotonicReactor) -> Callable[[], None]:
    """Only where the environment names a ledger: nothing of it is imported else. What comes back is called at
    the end. Raises LedgerUnusableError or ConfigError, one line."""
    if not os.environ.get("MEADOWPULLEY_LEDGER"):
        for variable in sorted(os.environ):  # one that is set and empty is off
            if variable.startswith(LEDGER_DEPENDENT_PREFIXES) and os.environ[variable]:
                raise ConfigError(
                    f"{variable}: rests on a ledger: set MEADOWPULLEY_LEDGER too, or leave it out"
                )
        return lambda: None
    try:
        from meadowpulley import stage_pipeline
    except ImportError as cause:
        raise ConfigError(
            f"MEADOWPULLEY_LEDGER: not in this build ({cause}): use that of `deploy/compile.py --joint`, with"
            " requirements-ledger.txt installed, or leave it out"
        ) from None

    client = stage_pipeline.start_pipeline(gateway, os.environ, gateway.config.seed, reactor)

    def close() -> None:
        client.shut_down()
        client.close()

    return close


def run() -> int:
    early_signals: list[int] = []  # one that comes after the reading asks for another
    signal.signal(signal.SIGHUP, lambda number, _: early_signals.append(number))
    try:
        config = read_config()
    except ConfigError as cause:
        print(f"meadowpulley: {cause}", file=sys.stderr)
        return 2
    reactor = MonotonicReactor()
    main.installReactor(reactor)  # type: ignore[no-untyped-call]
    log = open_log(gateway=config.name)
    gateway = Gateway(config, reactor, log)
    reactor.on_poll = gateway.deadlines.record_poll
    # A signal between the last look for one and the wait for events would otherwise sleep as long as they do.
    signal.set_wakeup_fd(reactor.waker.o, warn_on_full_buffer=False)
    for number in HANDLED_SIGNALS:
        signal.signal(number, gateway.on_signal)
    for signal_number in early_signals:
        gateway.on_signal(signal_number, None)
    try:
        start_capture(gateway, reactor)
    except (OSError, ValueError) as cause:
        print(f"meadowpulley: capture: {cause}", file=sys.stderr)
        return 2
    if os.environ.get("MEADOWPULLEY_SECONDS"):
        from meadowpulley.net.interval_metrics import IntervalMetrics

        IntervalMetrics(gateway)
    if traced_ids := os.environ.get("MEADOWPULLEY_STORY"):
        from meadowpulley.net.request_tracing import RequestTracer

        RequestTracer(gateway, traced_ids)
    try:
        close_ledger = start_ledger_stages(gateway, reactor)
    except Exception as cause:  # LedgerUnusableError's module is imported only where the parts are on
        if not isinstance(cause, ConfigError) and type(cause).__name__ != "LedgerUnusableError":
            raise
        print(f"meadowpulley: {cause}", file=sys.stderr)
        return 2
    try:
        reactor.reserve(*config.listen)  # before the first connection outwards, which might leave from it
        gateway.prepare()
    except error.CannotListenError as cause:
        close_ledger()  # or the name stays taken for as long as a lease lasts
        print(f"meadowpulley: {cause}", file=sys.stderr)
        return 2
    gc.collect()
    gc.freeze()
    gc.set_threshold(*GC_THRESHOLDS)
    listen_errors: list[error.CannotListenError] = []

    def listen() -> None:
        try:
            gateway.listen()
        except error.CannotListenError as cause:
            listen_errors.append(cause)
            reactor.stop()

    # Once all that a start costs is over and the reactor has turned: clients may know the address, and what
    # came while it still started was read a third of a second late, its deadline counted from then.
    reactor.callLater(LISTEN_DELAY_S, listen)
    reactor.run(installSignalHandlers=False)
    close_ledger()
    for number in HANDLED_SIGNALS:  # the interpreter's end would give them back their usual effect
        signal.signal(number, signal.SIG_IGN)
    if listen_errors:
        print(f"meadowpulley: {listen_errors[0]}", file=sys.stderr)
        return 2
    if gateway.capture is not None:
        gateway.capture.close()
    gateway.log_counters()
    return 0


if __name__ == "__main__":
    sys.exit(run())
