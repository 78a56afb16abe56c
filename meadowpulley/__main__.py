"""Run one gateway until a signal ends it: `python -m meadowpulley`.

Exit codes: 0 after SIGTERM or SIGINT, 2 if the configuration cannot be used (one line on standard error).
"""

from __future__ import annotations

import gc
import os
import signal
import sys
from collections.abc import Callable
from functools import partial

if __name__ == "__main__":
    signal.signal(signal.SIGHUP, signal.SIG_IGN)  # nothing has been read yet that could be read again
    # The log's library imports this one, if it is installed, to colour terminals. Beside the tools it would
    # be found, and cost the gateway 3 MB for nothing. None makes the import fail.
    sys.modules.setdefault("rich", None)  # type: ignore[arg-type]  # typeshed knows modules alone

from twisted.internet import error, main

from meadowpulley.net.config import Config, ConfigError, read_config
from meadowpulley.net.gateway import Gateway
from meadowpulley.net.log import open_log
from meadowpulley.net.process_start import process_age_ms
from meadowpulley.net.reactor import MonotonicReactor

EXIT_SUCCESS = 0
EXIT_UNUSABLE_CONFIG = 2
HANDLED_SIGNALS = (signal.SIGTERM, signal.SIGINT, signal.SIGUSR1, signal.SIGHUP)
LEDGER_DEPENDENT_PREFIXES = ("MEADOWPULLEY_TAKEOVER", "MEADOWPULLEY_LENDING_", "MEADOWPULLEY_PLACEMENT")
LISTEN_DELAY_S = 0.001
GC_THRESHOLDS = (2_000, 5, 5)  # requests and connections end in cycles; what exists after the start is frozen


def create_gateway(config: Config) -> tuple[Gateway, MonotonicReactor]:
    """Create a gateway and install the reactor that it runs on."""
    reactor = MonotonicReactor()
    main.installReactor(reactor)  # type: ignore[no-untyped-call]  # Twisted's has no types
    gateway = Gateway(config, reactor, open_log(gateway=config.name))
    gateway.discovery.current_list.process_started_at = gateway.deadlines.now() - process_age_ms()
    reactor.on_poll = gateway.deadlines.record_poll
    return gateway, reactor


def handle_signals(gateway: Gateway, reactor: MonotonicReactor, early_signals: list[int]) -> None:
    """Hand signals to the gateway from now on, first those that came while it was created."""
    # A signal that comes just before the reactor waits for events would otherwise wait as long as it does.
    signal.set_wakeup_fd(reactor.waker.o, warn_on_full_buffer=False)
    for number in HANDLED_SIGNALS:
        signal.signal(number, gateway.on_signal)
    for early_signal in early_signals:
        gateway.on_signal(early_signal, None)


def start_observers(gateway: Gateway, reactor: MonotonicReactor) -> None:
    """Start what the environment asks for: a capture, metrics of intervals, a trace of requests.

    Their modules are imported only then. Raises ConfigError.
    """
    start_capture(gateway, reactor)
    if os.environ.get("MEADOWPULLEY_SECONDS"):
        from meadowpulley.net.interval_metrics import IntervalMetrics

        IntervalMetrics(gateway)
    if traced_ids := os.environ.get("MEADOWPULLEY_STORY"):
        from meadowpulley.net.request_tracing import RequestTracer

        RequestTracer(gateway, traced_ids)


def start_capture(gateway: Gateway, reactor: MonotonicReactor) -> None:
    """Capture arrivals if the environment names a file for them. Raises ConfigError."""
    if not os.environ.get("MEADOWPULLEY_CAPTURE"):
        return
    from meadowpulley.net.capture import FLUSH_INTERVAL_MS, CaptureError, open_capture

    config = gateway.config
    run_in_thread = partial(_run_in_thread, reactor)
    try:
        capture = open_capture(os.environ, config.settings, config.name, gateway.deadlines.now, run_in_thread)
    except CaptureError as error:
        raise ConfigError(f"capture: {error}") from None
    if capture is not None:
        gateway.start_capture(capture, FLUSH_INTERVAL_MS)


def _run_in_thread(
    reactor: MonotonicReactor, task: Callable[[], None], on_done: Callable[[bool], None]
) -> None:
    """Run a task in a thread, then call `on_done(failed)` in the reactor's thread."""

    def run_task() -> None:
        """Run the task; an OSError is its failure."""
        failed = False
        try:
            task()
        except OSError:
            failed = True
        reactor.callFromThread(on_done, failed)

    reactor.callInThread(run_task)


def start_ledger_stages(gateway: Gateway, reactor: MonotonicReactor) -> Callable[[], None]:
    """Start the stages that share state by way of a ledger, if the environment names one.

    Their modules are imported only then. Returns what to call at the end. Raises ConfigError.
    """
    if not os.environ.get("MEADOWPULLEY_LEDGER"):
        _reject_ledger_variables()
        return lambda: None
    try:
        from meadowpulley import stage_pipeline
        from meadowpulley.ledger import LedgerUnusableError
    except ImportError as cause:
        raise ConfigError(
            f"MEADOWPULLEY_LEDGER: not in this build ({cause}): use that of `deploy/compile.py --joint`, with"
            " requirements-ledger.txt installed, or leave it out"
        ) from None

    try:
        pipeline = stage_pipeline.start_pipeline(gateway, os.environ, gateway.config.seed, reactor)
    except LedgerUnusableError as error:
        raise ConfigError(str(error)) from None

    def close() -> None:
        """Shut the stages down, then stop the ledger's thread."""
        pipeline.shut_down()
        pipeline.close()

    return close


def _reject_ledger_variables() -> None:
    """Raise ConfigError for a variable that needs a ledger; one that is set and empty is off."""
    for variable in sorted(os.environ):
        if variable.startswith(LEDGER_DEPENDENT_PREFIXES) and os.environ[variable]:
            raise ConfigError(f"{variable}: needs a ledger: set MEADOWPULLEY_LEDGER too, or leave it out")


def prepare(gateway: Gateway, reactor: MonotonicReactor, close_ledger: Callable[[], None]) -> None:
    """Start all of the gateway but its listening socket. Raises CannotListenError."""
    try:
        # Before the first outgoing connection, which may be given the port.
        reactor.reserve(*gateway.config.listen)
        gateway.prepare()
    except error.CannotListenError:
        close_ledger()  # else the gateway's name stays taken for as long as a lease lasts
        raise
    gc.collect()
    gc.freeze()
    gc.set_threshold(*GC_THRESHOLDS)


def serve(gateway: Gateway, reactor: MonotonicReactor, close_ledger: Callable[[], None]) -> None:
    """Listen, and return once the gateway has stopped. Raises CannotListenError."""
    listen_errors: list[error.CannotListenError] = []

    def listen() -> None:
        """Listen, or keep the error and end the loop."""
        try:
            gateway.listen()
        except error.CannotListenError as cause:
            listen_errors.append(cause)
            reactor.stop()

    # In a turn of the reactor, after all that a start costs: clients may know the address already, and what
    # came during the start was read a third of a second late, with its deadline counted from then.
    reactor.callLater(LISTEN_DELAY_S, listen)
    reactor.run(installSignalHandlers=False)
    close_ledger()
    for number in HANDLED_SIGNALS:  # the interpreter's end would restore their default effect
        signal.signal(number, signal.SIG_IGN)
    if listen_errors:
        raise listen_errors[0]


def run() -> int:
    """Run one gateway until a signal ends it, and return the exit code."""
    early_signals: list[int] = []  # those that come after the configuration was read ask for another reading
    signal.signal(signal.SIGHUP, lambda number, _: early_signals.append(number))
    try:
        config = read_config()
        gateway, reactor = create_gateway(config)
        handle_signals(gateway, reactor, early_signals)
        start_observers(gateway, reactor)
        close_ledger = start_ledger_stages(gateway, reactor)
        prepare(gateway, reactor, close_ledger)
        serve(gateway, reactor, close_ledger)
    except (ConfigError, error.CannotListenError) as cause:
        print(f"meadowpulley: {cause}", file=sys.stderr)
        return EXIT_UNUSABLE_CONFIG
    if gateway.capture is not None:
        gateway.capture.close()
    gateway.log_counters()
    return EXIT_SUCCESS


if __name__ == "__main__":
    sys.exit(run())
