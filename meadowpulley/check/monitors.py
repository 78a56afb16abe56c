"""The books of one gateway: the rules checker over its trace, and what the trace does not show."""

from __future__ import annotations

import math
from collections import Counter
from collections.abc import Iterator

from meadowpulley.check.properties import Broken
from meadowpulley.interface import Effect, ServerEntry, Settings
from meadowpulley.rules import Checker, Figures, Record

COLD_MARGIN = 0.5  # of a request: rounding of a part is no breach


class Books:
    """Feed it records and what attempts do; `broken` tells what did not hold since it was last emptied."""

    def __init__(self, number: int, settings: Settings) -> None:
        self.number, self.settings = number, settings
        self.checker = Checker(Figures.of(settings))
        self.broken: list[Broken] = []
        self.cold: dict[tuple[int, int], int] = {}  # server and slot: attempts there
        self.executed: Counter[int] = Counter()  # unsafe requests: attempts that ran, or may have

    def see(self, record: Record) -> None:
        self.checker.see(record)
        if self.checker.breaches:
            self.broken += [Broken(b.rule, b.at, b.gateway, b.text) for b in self.checker.breaches]
            self.checker.breaches = []

    def fail(self, name: str, at: float, text: str) -> None:
        self.broken.append(Broken(name, at, self.number, text))

    # Attempts

    def ran(self, at: float, request: int, cls: int) -> None:
        if self.settings.classes[cls].effect is Effect.NON_IDEMPOTENT:
            self.executed[request] += 1
            if self.executed[request] > 1:
                self.fail("executed", at, f"request {request} ran at {self.executed[request]} servers")

    def sent(
        self, at: float, server: int, entry: ServerEntry | None, copies: bool, tries: int, late: bool
    ) -> None:
        """An attempt goes out; `copies`: others of its request are out, `tries`: how many went
        before, `late`: its client has stopped waiting."""
        limits = self.settings.limits
        if tries >= limits.max_attempts:
            self.fail("attempts", at, f"attempt {tries + 1}, of {limits.max_attempts} at most")
        if copies and not limits.hedging:
            self.fail("attempts", at, "a second copy, which the settings bar")
        if late:
            self.fail("attempts", at, "an attempt begins when the client has stopped waiting")
        if entry is not None:
            self._cold(at, server, entry)

    def _cold(self, at: float, server: int, entry: ServerEntry) -> None:
        """A quarter of the span: the whole fleet's requests shared out evenly, times multiple and the warmth
        at its end, never less than a gateway's part of one request; and one more by chance."""
        rules, slot_ms = self.settings.rules, self.settings.rules.overload_window_ms / 4
        age = at - entry.started_ms
        if not entry.started_ms or age >= rules.slow_start_ms:
            return
        slot = int(at / slot_ms)
        key = server, slot
        self.cold = {k: n for k, n in self.cold.items() if k[1] == slot}
        self.cold[key] = self.cold.get(key, 0) + 1
        warmth = min(
            rules.slow_start_initial_fraction
            + (1 - rules.slow_start_initial_fraction)
            * (age + rules.overload_window_ms)
            / rules.slow_start_ms,
            1.0,
        )
        books = self.checker._gateways[self.number]
        taken = sum(len(times) for times in books.taken.values())
        part = rules.overload_multiple * warmth * taken / max(len(books.servers), 1)
        most = math.floor(max(part, 1.0) + COLD_MARGIN) + 1
        if self.cold[key] > most:
            self.fail(
                "cold", at, f"{self.cold[key]} attempts at cold server {server} in a slot, {most} borne"
            )

    # Exposure over all gateways

    def exposed(self, now: float) -> tuple[int, float]:
        """Attempts at trial builds in the window that ends now, and how many could be allowed at most: each
        was, by the requests of the window that ended with it, so by those of the last two windows."""
        books, figures = self.checker._gateways[self.number], self.checker.figures
        newest = books.news[-1] if books.news else None
        if newest is None or newest.phase == "released":
            return 0, math.inf
        since = now - figures.window_ms
        sent = sum(sum(at > since for at in q) for q in books.sent.values())
        taken = sum(sum(at > since - figures.window_ms for at in t) for t in books.taken.values())
        cap = max([n.cap for n in books.news if n.phase == "trial"], default=figures.first_cap)
        groups = len(self.settings.classes) if figures.per_class else 1
        builds = len({build for build, _ in books.sent}) or 1
        return sent, builds * (figures.free * groups + max(cap, figures.first_cap) * taken)

    # Moments that matter

    def edges(self, name: str) -> Iterator[float]:
        """When something that the rules speak of comes to its edge: `drain`, `grace`, `window`, `memory`."""
        books, figures = self.checker._gateways[self.number], self.checker.figures
        if name == "drain":
            yield from (k.told + figures.drain_grace_ms for k in books.servers.values() if k.state != "ready")
        elif name == "grace":
            yield from (n.at + figures.drain_grace_ms for n in books.news[-1:])
        elif name == "window":
            yield from (q[0] + figures.window_ms for q in books.sent.values() if q)
        elif name == "memory":
            for held in books.held.values():
                window = self.settings.classes[held.taken.cls].deduplication_window_ms
                yield from (t.at + window for t in held.tries if window)
