"""A harness for tests that drive a placement stage on a shared ledger in memory."""

from __future__ import annotations

from typing import Any

from meadowpulley.cli.demo import demo_fleet
from meadowpulley.fleet import gateway_settings
from meadowpulley.interface import LOG_EVENT_TYPES, Outcome, Request, Result, Timer
from meadowpulley.interface.log_wording import log_text
from meadowpulley.ledger import Commit, CommitCompleted, Incarnation, LedgerChanged, MemoryStore
from meadowpulley.placement import Arm, EndCondition, Experiment, PlacementStage, RequestOrigin, read_summary
from meadowpulley.placement.stage import TIMER_TOKEN

SETTINGS = gateway_settings(demo_fleet(), 0)
LEASE_TERM_MS = 1000.0
ARMS = (Arm("now", "own", 0.5), Arm("other", "least", 0.5))
OTHER_LABEL = 1  # `Request.arm` of arm "other"; that of arm "now" has no placement


class RecordingStage:
    """A stage that records all events, and returns the actions that a test sets for the next one."""

    def __init__(self) -> None:
        self.events: list[Any] = []
        self.next_actions: list[Any] = []

    def handle(self, now: float, event: Any) -> list[Any]:
        self.events.append(event)
        actions = self.next_actions
        self.next_actions = []
        return actions


class StubOrigins:
    """A lookup of origins: this incarnation and the request's id, unless `known` has another one.

    Departures are those that a test sets.
    """

    def __init__(self, incarnation: Incarnation, known: dict[int, RequestOrigin]) -> None:
        self.incarnation = incarnation
        self.known = known
        self.departures: dict[int, Any] = {}

    def origin_of(self, request: int) -> RequestOrigin | None:
        return self.known.get(request, RequestOrigin(str(self.incarnation), request, 0.0))

    def departure(self, request: int) -> Any:
        return self.departures.get(request, "gone")


class StageHarness:
    """A stage on a shared ledger in memory; a test may disconnect it from the ledger or kill it."""

    def __init__(
        self, store: MemoryStore, name: str, origins: dict[int, RequestOrigin] | None = None, **more: Any
    ):
        self.store = store
        self.disconnected = False
        self.inner = RecordingStage()
        self.incarnation = store.register(name, LEASE_TERM_MS)
        fields: dict[str, Any] = {"arms": ARMS, "end": EndCondition(requests=10**6), "carry_ms": 500.0} | more
        experiment = Experiment(1, "try", **fields)
        self.origins = StubOrigins(self.incarnation, origins or {})
        self.stage = PlacementStage(self.inner, experiment, SETTINGS, self.incarnation, origins=self.origins)
        self.log_lines: list[str] = []
        self.seen_version = 0

    def deliver(self, now: float, event: Any) -> list[Any]:
        actions = self.stage.handle(now, event)
        for action in actions:
            if isinstance(action, Commit) and not self.disconnected:
                results = self.store.commit(self.incarnation, action.transactions)
                self.deliver(now, CommitCompleted(action.ticket, tuple(results), action.owner))
            elif isinstance(action, LOG_EVENT_TYPES):
                self.log_lines.append(log_text(action))
        return actions

    def observe_ledger(self, now: float) -> None:
        changes = self.store.changes(self.seen_version)
        self.seen_version = changes.version
        self.deliver(now, LedgerChanged(changes))

    def check(self, now: float) -> None:
        self.deliver(now, Timer(TIMER_TOKEN))

    def accept(self, now: float, number: int, **more: Any) -> Request:
        self.deliver(now, Request(number, 0, 0, 0, now + 2000.0, **more))
        labelled: Request = self.inner.events[-1]
        return labelled

    def serve(self, now: float, number: int) -> None:
        self.deliver(now, Outcome(number, 0, 1, Result.OK, 10.0, True))

    def kill(self) -> None:
        self.store.dead_incarnations.add(self.incarnation)

    def summary(self, over: bool = True) -> Any:
        store = self.store
        dead = store.dead_incarnations if over else set()
        members = [member for member in store.members() if member.incarnation not in dead]
        return read_summary(self.stage.experiment, SETTINGS.classes, store.scan("placement/"), members)


def started(name: str = "a", store: MemoryStore | None = None, **more: Any) -> StageHarness:
    gateway = StageHarness(store or MemoryStore(), name, **more)
    gateway.observe_ledger(0.0)
    return gateway


def serve_slow_arm(gateway: StageHarness, now: float, number: int, until: int) -> None:
    for request in range(number, until):
        gateway.deliver(now, Request(request, 0, 0, 0, now + 2000.0))
        is_slow = gateway.inner.events[-1].arm == OTHER_LABEL
        gateway.serve(now + (80.0 if is_slow else 20.0) + request % 7, request)
