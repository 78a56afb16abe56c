"""Bugs planted in what the gateways share: the ledger and its keeper, takeover, lending (world C)."""

from __future__ import annotations

from meadowpulley.check.mutate import Mutant

MEMORY, KEEPER = "meadowpulley.ledger.memory", "meadowpulley.ledger.keeper"
HANDS, ADOPT = "meadowpulley.takeover.hands", "meadowpulley.takeover.adopt"
ORPHANS, MIRROR = "meadowpulley.takeover.orphans", "meadowpulley.takeover.mirror"
ANSWERS, STAGE = "meadowpulley.takeover.answers", "meadowpulley.takeover.stage"
ALLOCATOR, SEAT = "meadowpulley.lending.allocator", "meadowpulley.lending.seat"


def _s(
    name: str,
    why: str,
    by: str,
    scene: str,
    module: str,
    *pieces: tuple[str, str],
    requests: int = 1,
    troubles: int = 1,
    waits: int = 3,
) -> Mutant:
    caught = tuple(by.split())
    return Mutant(name, why, module, pieces, caught, scene, "shared", troubles, requests, 2, 2, waits)


SHARED = (
    # The ledger and its keeper
    _s(
        "sealed-commits",
        "a life that is over goes on writing",
        "sealed",
        "lives",
        MEMORY,
        (
            "if member is None or member.life != by or member.sealed:",
            "if member is None or member.life != by:",
        ),
    ),
    _s(
        "replaces-any",
        "a record is replaced whatever its version",
        "one-answer one-adopter",
        "answers",
        MEMORY,
        (
            "wanted = 0 if isinstance(write, Create) else write.version",
            "wanted = 0 if isinstance(write, Create) or found is None else found.version",
        ),
    ),
    _s(
        "creates-over",
        "a record is created over another",
        "one-answer one-adopter executed",
        "clients",
        MEMORY,
        (
            "wanted = 0 if isinstance(write, Create) else write.version",
            "wanted = found.version if isinstance(write, Create) and found else getattr(write, 'version', 0)",
        ),
    ),
    _s(
        "seals-the-renewed",
        "a life that has renewed since is sealed",
        "sealed lease",
        "answers",
        MEMORY,
        ("if not lives or member.renewal != write.renewal:", "if not lives:"),
    ),
    _s(
        "lease-from-answer",
        "the own lease counts from the answer to a renewal",
        "lease",
        "answers",
        KEEPER,
        ("max(self._acts_until, began + ", "max(self._acts_until, now + "),
    ),
    _s(
        "suspects-early",
        "others count a lease free while it holds",
        "lease",
        "answers",
        KEEPER,
        (
            "began >= seen.since + seen.member.term_ms * (1.0 + self.terms.drift)",
            "began >= seen.since + seen.member.term_ms * 0.5",
        ),
    ),
    _s(
        "renewals-unseen",
        "renewals of others are not counted",
        "lease sealed",
        "lives",
        KEEPER,
        ("seen.since, seen.suspect = now, False", "seen.suspect = False"),
        waits=4,
    ),
    # Rights and answers
    _s(
        "right-not-awaited",
        "an attempt goes out while its right is asked for",
        "executed lease effects",
        "lives",
        HANDS,
        (
            "        hand.waiting[n] = Wait(send, self.turn.now + self.terms.right_ms)\n"
            "        self._due(hand.waiting[n].until_ms, hand)\n",
            "        hand.out.add(len(hand.passed))\n        hand.passed.append(n)\n"
            "        self.turn.acts.append(send)\n",
        ),
    ),
    _s(
        "lease-unchecked",
        "a right won goes out though the lease has run out",
        "lease",
        "answers",
        HANDS,
        ("now >= until or not self.may_act(now):", "now >= until:"),
    ),
    _s(
        "told-unrecorded",
        "the client is told before its answer is recorded",
        "one-answer",
        "lives",
        HANDS,
        (
            "            self._due(hand.hold_until, hand)\n",
            "            self._due(hand.hold_until, hand)\n            self._say(hand)\n",
        ),
        waits=4,
    ),
    _s(
        "served-is-failed",
        "an ask for a recorded answer is answered as failed",
        "one-answer",
        "clients",
        ANSWERS,
        ("self.end(turn, name, State.SERVED, answer)", "self.end(turn, name, State.SERVED, None)"),
    ),
    _s(
        "open-is-ended",
        "an ask for work in hand takes it as failed",
        "one-answer",
        "clients",
        HANDS,
        (
            "self.asks.look(self.turn, hand.name, work.state, found.version)",
            "self.asks.end(self.turn, hand.name, State.FAILED, None)",
        ),
    ),
    _s(
        "id-started-again",
        "an id that is known is started once more",
        "one-adopter executed one-answer",
        "clients",
        HANDS,
        (
            "elif work.state is State.REFUSED and not work.rights and hand.final is None:",
            "elif hand.final is None:",
        ),
    ),
    _s(
        "sealed-silent",
        "a sealed life answers none of its clients",
        "answers",
        "lives",
        HANDS,
        (
            "                self._tell(hand, i.Fail(hand.request.request))\n                self._withdraw",
            "                self._withdraw",
        ),
    ),
    # Taking over
    # The decisions refuse it too, so that they are not told either of what may have run.
    _s(
        "unsafe-adopted",
        "unsafe work whose right was won is begun anew",
        "executed effects",
        "lives",
        "meadowpulley.takeover",
        ("    if work.rights and cls.effect is i.Effect.UNSAFE:\n        return State.FAILED\n", ""),
        ("tries=work.tries, tried=adopt.tried(claim.seen),", "tries=work.tries,"),
        waits=4,
    ),
    _s(
        "refused-though-run",
        "unsafe work whose right was won is refused",
        "effects",
        "lives",
        ADOPT,
        (
            "    if work.rights and cls.effect is i.Effect.UNSAFE:\n        return State.FAILED\n",
            "    if work.rights and cls.effect is i.Effect.UNSAFE:\n        return State.REFUSED\n",
        ),
        waits=4,
    ),
    _s(
        "takes-from-the-living",
        "work of a suspected life is taken before that is sealed",
        "one-adopter",
        "lives",
        MIRROR,
        ("ended = self.member(member)", "ended = [*self.member(member), member.life]"),
    ),
    _s(
        "death-missed",
        "the end of a life is passed over",
        "work-ends",
        "lives",
        MIRROR,
        ("        ended = [life] if member.sealed else []\n", "        ended: list[Life] = []\n"),
    ),
    _s(
        "rights-forgotten",
        "a claim forgets which attempts may have run",
        "effects",
        "keyed",
        ORPHANS,
        ("            rights=claim.rights,\n", "            rights=(),\n"),
    ),
    _s(
        "lives-uncounted",
        "a claim does not count",
        "one-adopter",
        "lives",
        ORPHANS,
        ("lives=work.lives + 1,", "lives=work.lives,"),
    ),
    _s(
        "claim-not-ended",
        "work that ends by a claim is left as it was",
        "work-ends timers",
        "lives",
        ORPHANS,
        ("            state=claim.verdict,\n", ""),
    ),
    # Lending
    _s(
        "floors-lent-too",
        "floors are lent as well",
        "lent",
        "lent",
        ALLOCATOR,
        ("pool = self.plan.usable - self.floors(now)", "pool = self.plan.usable"),
    ),
    _s(
        "free-early",
        "a grant counts as free before its holder's term is over",
        "lent",
        "stands",
        ALLOCATOR,
        ("return granted.seen_at + self.plan.others", "return granted.seen_at + 0.3 * self.plan.others"),
        waits=4,
    ),
    _s(
        "held-forgotten",
        "what a gateway went by before counts no more once it is granted less",
        "lent",
        "lent",
        ALLOCATOR,
        ("            max(total, used),\n", "            total,\n"),
        requests=2,
        waits=4,
    ),
    _s(
        "goes-by-any",
        "a lesser grant counts before its gateway goes by it",
        "lent",
        "lent",
        ALLOCATOR,
        ("return ask.life == grant.life and ask.seen >= grant.turn", "return ask.life == grant.life"),
        requests=2,
        waits=3,
    ),
    _s(
        "grant-from-hearing",
        "a grant counts from the moment it is heard of",
        "lent",
        "stands",
        SEAT,
        (
            "self.holder.take(now, grant, began + plan.own(grant.term_ms))",
            "self.holder.take(now, grant, now + 2 * plan.own(grant.term_ms))",
        ),
        waits=4,
    ),
)
