"""The books of world C: what ran at servers, what clients were told, who wrote what into the ledger."""

from __future__ import annotations

from collections.abc import Mapping

from meadowpulley.check.properties import Broken
from meadowpulley.check.shared.scenes import CLASSES, UNSAFE
from meadowpulley.ledger import (
    Commit,
    Done,
    How,
    Life,
    MemoryStore,
    Record,
    Seal,
)
from meadowpulley.takeover.model import WORK, State, Work, decode_work


class Books:
    """Of all gateways together, by the clients' ids. `broken` is emptied by whoever reads it."""

    def __init__(self) -> None:
        self.ran: dict[str, int] = {}  # how often at servers
        self.may_run: dict[str, int] = {}  # attempts whose bytes went out, and that may run yet
        self.told: dict[str, tuple[str, ...]] = {}  # the answers that clients got, each once
        self.left: set[str] = set()  # whose client was told that it was refused
        self.unwritten: set[str] = set()  # safe ones asked of a life that knew of its end: served unwritten
        self.broken: list[Broken] = []

    def copy(self) -> Books:
        new = Books()
        new.ran, new.may_run, new.told = dict(self.ran), dict(self.may_run), dict(self.told)
        new.left, new.unwritten = set(self.left), set(self.unwritten)
        return new

    def form(self) -> tuple[object, ...]:
        tables = (self.ran, self.may_run, self.told)
        return (
            *(tuple(sorted(t.items())) for t in tables),
            tuple(sorted(self.left)),
            tuple(sorted(self.unwritten)),
        )

    def fail(self, name: str, at: float, gateway: int, text: str) -> None:
        self.broken.append(Broken(name, at, gateway, text))

    # Effects

    def out(self, name: str) -> None:
        self.may_run[name] = self.may_run.get(name, 0) + 1

    def over(self, name: str) -> None:
        """An attempt that will not run any more."""
        self.may_run[name] -= 1

    def run(self, at: float, name: str, cls: int) -> None:
        self.over(name)
        self.ran[name] = self.ran.get(name, 0) + 1
        if cls == UNSAFE and self.ran[name] > 1:
            self.fail("executed", at, -1, f"request {name} ran {self.ran[name]} times")
        if name in self.left and cls != 0:
            self.fail("effects", at, -1, f"request {name} was refused, and ran after that")

    # Answers

    def answer(self, at: float, gateway: int, name: str, cls: int, text: str) -> None:
        """A client is told: `refused`, `failed`, or the body it was served."""
        if text == "refused":
            if cls != 0 and (self.ran.get(name, 0) or self.may_run.get(name, 0)):
                self.fail("effects", at, gateway, f"request {name} may have run, and is refused")
            self.left.add(name)
            return
        self.left.discard(name)
        known = self.told.get(name, ())
        if text not in known:
            self.told[name] = (*known, text)
            if known and name not in self.unwritten:
                self.fail("one-answer", at, gateway, f"request {name} was answered {known[0]}, now {text}")

    # The ledger

    def commit(self, at: float, gateway: int, store: MemoryStore, by: Life, commit: Commit) -> list[Done]:
        """Carries a commit out, and looks at what it did."""
        member = store.lives.get(by.name)
        over = member is None or member.life != by or member.sealed
        before, version = dict(store.records), store.version
        lives = dict(store.lives)
        done = store.commit(by, commit.steps)
        for step, one in zip(commit.steps, done, strict=True):
            for write in step.writes if one.how is How.WON else ():
                if isinstance(write, Seal) and lives[write.life.name].renewal != write.renewal:
                    self.fail("sealed", at, gateway, f"life {write.life} had renewed, and is sealed")
        if over and (store.version != version or any(d.how is How.WON for d in done)):
            self.fail("sealed", at, gateway, f"life {by} was over, and its commit changed the ledger")
        for key, record in store.records.items():
            if key.startswith(WORK) and before.get(key) != record:
                self._work(at, gateway, lives, before.get(key), record)
        return done

    def _work(
        self, at: float, gateway: int, lives: Mapping[str, object], old: Record | None, new: Record
    ) -> None:
        """Taken over by one at a time, and an end stays what it was."""
        if old is None:
            return
        was, now = decode_work(old.value), decode_work(new.value)
        name = new.key[len(WORK) :]
        if was.state is State.REFUSED and not was.rights and now.lives == 1:
            return  # it never ran, and is asked anew
        if was.state in (State.SERVED, State.FAILED) and (old.by != new.by or not now.ended):
            self.fail("one-answer", at, gateway, f"work {name} had ended {was.state.value}, and is rewritten")
        if old.by != new.by and was.state is State.OPEN:
            member = lives.get(old.by.name)
            life = getattr(member, "life", None)
            if life == old.by and not getattr(member, "sealed", True):
                text = f"work {name} of {old.by}, which lives, is taken by {new.by}"
                self.fail("one-adopter", at, gateway, text)
        if old.by != new.by and not was.ended and now.lives != was.lives + 1:
            self.fail("one-adopter", at, gateway, f"work {name}: {was.lives} lives had it, now {now.lives}")
        if (now.lives < was.lives and not (old.by == new.by and now.state is State.FREE)) or len(
            now.rights
        ) < self._binding(was, now):
            self.fail("effects", at, gateway, f"work {name}: attempts that may have run are forgotten")

    @staticmethod
    def _binding(was: Work, now: Work) -> int:
        """Rights of an earlier life stay: only its own may a life take back, once its outcome is known."""
        cls = next((c for c in CLASSES if c.name == now.cls), None)
        return len(was.rights) if cls is not None and was.lives < now.lives and not now.ended else 0
