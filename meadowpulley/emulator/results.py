"""What came of a run: by class, by server, by gateway, and second by second."""

from __future__ import annotations

from collections import Counter
from dataclasses import asdict, dataclass, field
from typing import TYPE_CHECKING, Any

from hdrh.histogram import HdrHistogram

from meadowpulley.fleet import Fleet

if TYPE_CHECKING:
    from meadowpulley.emulator.clients import Ask

LONGEST_US = 600_000_000


def new_histogram() -> HdrHistogram:
    """Latencies in microseconds, three digits, up to ten minutes."""
    return HdrHistogram(1, LONGEST_US, 3)


@dataclass(slots=True)
class ClassResult:
    """One class of requests: counts of asks (a client's retries belong to its first try), and their worth."""

    name: str
    asked: int = 0
    in_aim: int = 0
    late: int = 0
    refused: int = 0
    failed: int = 0
    retries: int = 0
    unanswered: int = 0
    worth_asked: float = 0.0
    worth_got: float = 0.0
    latency: HdrHistogram = field(default_factory=new_histogram)

    @property
    def served(self) -> int:
        return self.in_aim + self.late

    @property
    def worth_share(self) -> float:
        return self.worth_got / self.worth_asked if self.worth_asked else 1.0

    def latency_ms(self, percentile: float) -> float:
        """Of served asks, from the client's first sending; 0 when none was served."""
        if not self.latency.get_total_count():
            return 0.0
        return float(self.latency.get_value_at_percentile(percentile)) / 1000

    def table(self) -> dict[str, Any]:
        return {
            "class": self.name,
            "asked": self.asked,
            "in_aim": self.in_aim,
            "late": self.late,
            "refused": self.refused,
            "failed": self.failed,
            "retries": self.retries,
            "unanswered": self.unanswered,
            "worth_share": round(self.worth_share, 6),
            "p50_ms": self.latency_ms(50),
            "p90_ms": self.latency_ms(90),
            "p99_ms": self.latency_ms(99),
        }


@dataclass(slots=True)
class ServerResult:
    """One start of one server. `busy` is the share of its core time that was in use while it was up."""

    server: int
    site: str
    kind: str
    build: int
    up_ms: float
    busy: float
    served: int
    turned_away: int
    most_waiting: int
    fell: bool


@dataclass(slots=True)
class GatewayResult:
    gateway: int
    site: str
    requests: int
    attempts: int
    busy: float
    most_open: int  # instance connections
    most_held: int  # requests


@dataclass(slots=True)
class Second:
    """One second of the run, by when the client first asked (asks) and when it ended (the rest)."""

    asked: int = 0
    in_aim: int = 0
    late: int = 0
    refused: int = 0
    failed: int = 0
    worth_asked: float = 0.0
    worth_got: float = 0.0
    busy: float = 0.0  # of all servers that were up
    stage: int = 0
    phase: str = ""
    build: int = 0
    sent: list[int] = field(default_factory=list)  # attempts, by the site of the server they went to


class Result:
    """Fills while a run goes on. Times are milliseconds; worth is as the fleet's classes have it. Asks that
    began before `from_ms` count in no class, only by the second."""

    def __init__(self, fleet: Fleet, from_ms: float = 0.0) -> None:
        self.fleet, self.from_ms = fleet, from_ms
        self.classes = [ClassResult(c.name) for c in fleet.classes]
        self._uncounted = ClassResult("")
        self.seconds: list[Second] = []
        self.servers: list[ServerResult] = []
        self.gateways: list[GatewayResult] = []
        self.events: list[tuple[float, str]] = []
        self.breaches: list[str] = []
        self.broken: Counter[str] = Counter()
        self.lasted_ms = 0.0
        self.used_ms = self.there_ms = 0.0  # core time in the measured span

    def second(self, at: float) -> Second:
        n = int(at // 1000)
        while len(self.seconds) <= n:
            self.seconds.append(Second())
        return self.seconds[n]

    # What clients tell

    def _class(self, ask: Ask) -> ClassResult:
        return self.classes[ask.cls] if ask.first_at >= self.from_ms else self._uncounted

    def asked(self, ask: Ask) -> None:
        c, worth = self._class(ask), self.fleet.classes[ask.cls].worth
        c.asked += 1
        c.worth_asked += worth
        second = self.second(ask.first_at)
        second.asked += 1
        second.worth_asked += worth

    def retried(self, ask: Ask) -> None:
        self._class(ask).retries += 1

    def unanswered(self, ask: Ask) -> None:
        self._class(ask).unanswered += 1

    def refused_or_failed(self, ask: Ask, refused: bool) -> None:
        c, second = self._class(ask), self.second(ask.first_at)
        c.refused += refused
        c.failed += not refused
        second.refused += refused
        second.failed += not refused

    def ended(self, ask: Ask, took_ms: float | None) -> None:
        if took_ms is None:
            return
        cls, c, second = self.fleet.classes[ask.cls], self._class(ask), self.second(ask.first_at)
        c.latency.record_value(max(int(took_ms * 1000), 1))
        in_aim = took_ms <= cls.aim_ms
        got = cls.worth if in_aim else cls.worth * cls.late_worth
        c.in_aim += in_aim
        c.late += not in_aim
        c.worth_got += got
        second.in_aim += in_aim
        second.late += not in_aim
        second.worth_got += got

    # What gateways tell

    def sent(self, at: float, site: int) -> None:
        """An attempt begins, at a server of this site."""
        counts = self.second(at).sent
        if not counts:
            counts.extend([0] * len(self.fleet.sites))
        counts[site] += 1

    # What it comes to

    @property
    def asks(self) -> int:
        return sum(c.asked for c in self.classes)

    @property
    def worth_share(self) -> float:
        asked = sum(c.worth_asked for c in self.classes)
        return sum(c.worth_got for c in self.classes) / asked if asked else 1.0

    @property
    def busy(self) -> float:
        """Utilisation of all cores in the measured span; 0 where none was."""
        return self.used_ms / self.there_ms if self.there_ms > 0 else 0.0

    def busy_by(self, what: str) -> dict[str, float]:
        """Mean utilisation by `site` or `kind`, weighed by the time that servers were up and their cores."""
        total: Counter[str] = Counter()
        used: Counter[str] = Counter()
        for s in self.servers:
            name, cores = getattr(s, what), self.fleet.kind(s.kind).cores
            total[name] += s.up_ms * cores  # type: ignore[assignment]
            used[name] += s.up_ms * cores * s.busy  # type: ignore[assignment]
        return {name: used[name] / total[name] if total[name] else 0.0 for name in sorted(total)}

    def table(self) -> dict[str, Any]:
        """All of it as plain values, the same for the same run."""
        return {
            "fleet": self.fleet.name,
            "lasted_ms": self.lasted_ms,
            "worth_share": round(self.worth_share, 6),
            "classes": [c.table() for c in self.classes],
            "busy_by_site": {k: round(v, 6) for k, v in self.busy_by("site").items()},
            "busy_by_kind": {k: round(v, 6) for k, v in self.busy_by("kind").items()},
            "servers": [asdict(s) for s in self.servers],
            "gateways": [asdict(g) for g in self.gateways],
            "seconds": [asdict(s) for s in self.seconds],
            "events": [{"at_ms": at, "what": what} for at, what in self.events],
            "rules_broken": dict(sorted(self.broken.items())),
            "breaches": self.breaches,
        }
