"""What gateways tell each other: the bytes, and what forty of them learn together that none learns alone."""

from __future__ import annotations

from dataclasses import replace
from random import Random

import pytest
from hypothesis import given, strategies as st

from meadowpulley.balance import LOST
from meadowpulley.digests import MOST_BYTES, MOST_CLASSES, MOST_COUNT, MOST_FAILED, Digest, decode, encode
from meadowpulley.interface import (
    EndpointUpdateKind,
    GossipReceived,
    Phase,
    Result,
    SendGossip,
    ServerState,
    SetTimer,
    Verdict,
    Vote,
)
from tests.driver import LIMITS, SAFE, UNSAFE, Driver, entry, sends, settings, votes

PEERS = replace(LIMITS, gossip=True)
MANY = 40
BYTES = st.integers(0, MOST_COUNT)


@given(
    st.integers(0, 2**32 - 1),
    st.integers(0, 2**32 - 1),
    st.integers(0, 2**32 - 1),
    st.lists(st.tuples(BYTES, BYTES, BYTES, BYTES, BYTES), max_size=MOST_CLASSES),
    st.lists(st.tuples(st.integers(0, 65535), BYTES), max_size=MOST_FAILED),
)
def test_a_digest_comes_back_as_it_was_told(
    life: int, number: int, build: int, classes: list[tuple[int, ...]], failed: list[tuple[int, int]]
) -> None:
    told = Digest(life, number, build, tuple(classes), tuple(failed))  # type: ignore[arg-type]
    assert len(encode(told)) <= MOST_BYTES
    assert decode(encode(told)) == told


def test_what_does_not_fit_is_left_out() -> None:
    # A build or a class too large for its field raised, and the event that the digest came of was lost.
    classes, failed = ((300, 1, 1, 1, 1), *((0, 999, 0, 0, 0),) * 20), ((1, 300), *((70_000, 0),) * 500)
    told = decode(encode(Digest(1, 2**32 + 2, 2**32 + 3, classes, failed)))
    assert told is not None and told.classes[0][1] == MOST_COUNT and len(told.failed) == MOST_FAILED
    assert told.failed[0] == (70_000 % 65536, 0) and (told.number, told.build) == (2, 3)


def test_a_customer_of_many_classes_is_told_of_the_last_ones_and_of_what_is_lost_too() -> None:
    # Only eight were told, the first by number: LOST stands behind them all, and never came to the others.
    classes = tuple((cls, 1, 2, 3, 4) for cls in (*range(12), LOST))
    told = decode(encode(Digest(1, 1, 42, classes, ((3, 11),) * MOST_FAILED)))
    assert told is not None and told.classes == classes


WHOLE = encode(Digest(7, 1, 42, ((SAFE, 5, 1, 9, 0),), ((3, SAFE),)))


@pytest.mark.parametrize(
    "data",
    [
        b"",
        b"\x00",
        WHOLE[:-1],
        WHOLE + b"\x00",
        b"\x01" + WHOLE[1:],
        WHOLE[:13] + b"\xff" + WHOLE[14:],
        b"x" * 400,
    ],
    ids=["empty", "a byte", "cut short", "longer", "another version", "counts that do not fit", "too long"],
)
def test_bytes_that_are_no_digest_are_counted_and_change_nothing(data: bytes) -> None:
    assert decode(data) is None
    d = trial_of(0)
    d.give(GossipReceived(3, data))
    assert d.b.peers.strays == 1 and not d.b.peers.told_by and not evidence(d)


def trial_of(me: int, balancers: int = MANY) -> Driver:
    """A gateway of many that knows 20 servers of build 41 and 10 of build 42, on trial."""
    d = Driver(replace(settings(limits=PEERS, balancers=balancers), gateway_index=me), seed=me)
    d.listed(entry(n) for n in range(20))
    d.tick()
    for n in range(40):
        d.now += 50.0
        for send in sends(d.ask(SAFE if n % 2 else UNSAFE)):
            d.end(send)
    d.news(42, 1, 0.5)
    d.listed((entry(100 + n, 42, d.now - 5000.0) for n in range(10)), EndpointUpdateKind.INCREMENTAL)
    return d


def evidence(d: Driver) -> float:
    """The most that what all gateways saw speaks against build 42, once the second is over."""
    for _ in range(30):
        d.now += 50.0
        d.tick()
    return max([x for sums in d.b.builds[42].pooled.sums.values() for x in sums.values()], default=0.0)


def play(fleet: list[Driver], lost: float, fails: float, seconds: float, told: int = 1) -> list[Vote]:
    """Each gateway takes two requests a second; those at build 42 fail by `fails`. Digests reach every other
    gateway `told` times, or not, by `lost`."""
    rng, cast = Random(5), []
    for _ in range(int(seconds * 20)):
        for d in fleet:
            d.now += 50.0
            acts = d.tick()
            if rng.random() < 0.1:
                for send in sends(d.ask(SAFE)):
                    bad = send.server >= 100 and rng.random() < fails
                    acts += d.end(send, Result.ERROR if bad else Result.OK, 80.0, over=True)
            cast += votes(acts)
            for act in acts:
                if isinstance(act, SendGossip):
                    assert act.peer is None and len(act.data) <= MOST_BYTES
                    for other in fleet:
                        if other is not d and rng.random() >= lost:
                            for _ in range(told):
                                other.give(GossipReceived(d.b.s.gateway_index, act.data))
    return cast


def backs(cast: list[Vote]) -> int:
    return sum(v.verdict is Verdict.ROLL_BACK and v.build == 42 for v in cast)


def test_forty_gateways_find_together_a_build_that_none_finds_alone() -> None:
    # A build that failed one request in eight was released in ten seconds: each gateway had seen one failure.
    assert not backs(play([trial_of(n) for n in range(MANY)], lost=1.0, fails=0.125, seconds=6.0))
    assert backs(play([trial_of(n) for n in range(MANY)], lost=0.0, fails=0.125, seconds=6.0))


def test_half_of_the_digests_lost_does_little_harm() -> None:
    assert backs(play([trial_of(n) for n in range(MANY)], lost=0.5, fails=0.125, seconds=6.0))


def tell_all(
    d: Driver, number: int, row: tuple[int, ...], failed: tuple[int, ...] = (), times: int = 1
) -> None:
    """Every other gateway tells the same of build 42, `times` times over."""
    for sender in range(1, MANY):
        told = Digest(sender, number, 42, (row,), tuple((n, SAFE) for n in failed))  # type: ignore[arg-type]
        for _ in range(times):
            d.give(GossipReceived(sender, encode(told)))


def test_what_is_told_again_counts_once() -> None:
    found = []
    for times in (1, 3):
        d = trial_of(0)
        tell_all(d, 1, (SAFE, 4, 2, 20, 0), (100, 101), times)
        found.append((evidence(d), d.b.peers.strays))
    assert found[0][0] == found[1][0] > 0 and [strays for _, strays in found] == [0, 2 * (MANY - 1)]


BAD = (SAFE, 0, 50, 50, 0)


@pytest.mark.parametrize(
    ("sender", "build", "row", "counts"),
    [
        (3, 42, BAD, True),
        (3, 41, BAD, False),
        (3, 77, BAD, False),
        (0, 42, BAD, False),
        (3, 42, (200, *BAD[1:]), False),
        (3, 42, (SAFE, 0, 50, 0, 0), False),
        # Errors of what fails everywhere come at once, good answers of a cold new build's machines late.
        (3, 42, (SAFE, 20, 50, 40, 10), False),
    ],
    ids=["it", "earlier build", "unknown build", "from itself", "unknown class", "no earlier", "much fails"],
)
def test_what_counts_against_the_newest_build(
    sender: int, build: int, row: tuple[int, int, int, int, int], counts: bool
) -> None:
    d = trial_of(0)
    d.give(GossipReceived(sender, encode(Digest(9, 1, build, (row,), ((100, SAFE), (9999, SAFE))))))
    assert (evidence(d) > 0) == counts


def test_one_broken_server_is_not_its_build_however_many_tell_of_it() -> None:
    d = trial_of(0)
    tell_all(d, 1, (SAFE, 4, 1, 20, 0), (100,))
    assert evidence(d) > d.b.needed and d.b.builds[42].pooled.proof(10, False, d.b.needed) < 1.0


def test_a_trouble_that_begins_everywhere_at_once_is_not_the_new_builds() -> None:
    # Requests that fail at any server came all at once. What was usual for the earlier build was still that
    # of the seconds before: a good build was sent back, and the next one too.
    d = trial_of(0)
    for second in range(1, 6):
        bad = int(second > 2)
        tell_all(d, second, (SAFE, 10, bad, 30, 3 * bad), tuple(range(100, 110)) * bad)
        evidence(d)
        assert d.b.builds[42].pooled.proof(10, False, d.b.needed) < 0.5


def second_of(d: Driver, second: int, row: tuple[int, int, int, int]) -> float:
    """How far build 42 is proven after what all told in a second: failures spread over its servers."""
    failed = tuple((100 + n % 10, SAFE) for n in range(row[1]))
    d.give(GossipReceived(1, encode(Digest(7, second, 42, ((SAFE, *row),), failed))))
    evidence(d)
    return float(d.b.builds[42].pooled.proof(10, False, d.b.needed))


def test_errors_that_come_and_go_everywhere_are_not_the_new_builds() -> None:
    # For half a second of every two and a half each server of either build failed a tenth. Hundreds' digests
    # are about five seconds, not all about the same ones: the earlier build's worst of these counts, not the
    # share in the same second, which was lower by the good answers told late.
    d = trial_of(0, 200)
    told = ((50, 12, 181, 19), (66, 4, 185, 5), (124, 11, 240, 3), (133, 19, 175, 17), (142, 17, 93, 4))
    assert max(second_of(d, n, row) for n, row in enumerate(told, 1)) < 0.5
    assert second_of(d, 9, (60, 40, 100, 9)) > 1.0  # but what fails far more than that still is


def test_errors_after_the_earlier_build_has_gone_are_not_held_against_its_last_good_answers() -> None:
    # A good build was taken off four seconds after its release: the next of such errors met nobody but it.
    d = trial_of(0, 200)
    d.news(42, 2, 1.0, Phase.RELEASED)
    d.listed((entry(n, state=ServerState.DRAINING) for n in range(20)), EndpointUpdateKind.INCREMENTAL)
    assert second_of(d, 1, (178, 24, 137, 0)) == 0.0


@pytest.mark.parametrize(("bursts", "goes"), [(9, False), (0, True)])
def test_own_failures_count_against_what_the_earlier_build_failed_elsewhere(bursts: int, goes: bool) -> None:
    # Of 208 gateways the eight that met most of such a burst sent a good build back after its release.
    d = trial_of(0, 200)
    for n in range(1, 6):
        second_of(d, n, (0, 0, 100, bursts))
    d.news(42, 2, 1.0, Phase.RELEASED)
    d.listed((entry(n, state=ServerState.DRAINING) for n in range(20)), EndpointUpdateKind.INCREMENTAL)
    for n in range(30):
        d.now += 50.0
        for send in sends(d.ask(SAFE)):
            d.end(send, Result.ERROR if n % 3 == 0 else Result.OK, 80.0, over=True)
    evidence(d)
    assert (d.b.back_for == 42) == goes


@pytest.mark.parametrize(
    ("lost", "old_lost", "found"),
    [(75, 20, True), (30, 10, False), (75, 80, False)],
    ids=["the build", "paused and cold machines", "all machines"],
)
def test_a_build_whose_requests_time_out_goes_back(lost: int, old_lost: int, found: bool) -> None:
    # A build that did a sixth of the work once it was loaded was released, and the fleet served a tenth: no
    # gateway had the twenty requests that its own judgement takes.
    d = trial_of(0, 200)
    for number in range(1, 4):
        rows = ((SAFE, 90, 0, 240, 0), (LOST, lost, 0, old_lost, 0))
        d.give(GossipReceived(1, encode(Digest(7, number, 42, rows))))
        evidence(d)
    assert (d.b.back_for == 42) == found


def test_time_outs_are_told_by_build_and_accuse_no_server() -> None:
    d = trial_of(0, 2)
    told = []
    for _ in range(40):
        for send in sends(d.ask(SAFE)):
            d.end(send, Result.TIMEOUT, 4000.0, over=True)
        d.now += 100.0
        told += [decode(a.data) for a in d.tick() if isinstance(a, SendGossip)]
    rows = [row for one in told if one for row in one.classes if row[0] == LOST]
    assert sum(row[1] + row[3] for row in rows) > 20 and not any(one.failed for one in told if one)


def test_what_is_heard_while_idle_is_looked_at_in_time() -> None:
    # Without requests there was no timer: what others had told minutes ago counted with the next request.
    d = trial_of(0)
    d.now += 60_000.0
    d.tick()
    d.b.judge_at = d.b.ask_again_at = d.b.timer_at = float("inf")
    told = encode(Digest(1, 1, 42, ((SAFE, 1, 0, 1, 0),)))
    timers = [a.delay_ms for a in d.give(GossipReceived(1, told)) if isinstance(a, SetTimer)]
    assert timers and timers[0] <= 1000.0


def test_the_lives_that_are_remembered_are_bounded() -> None:
    d = trial_of(0)
    for life in range(1000):
        d.give(GossipReceived(1, encode(Digest(life, 1, 42))))
    assert len(d.b.peers.told_by) <= 4 * MANY


def test_where_gateways_may_not_speak_nothing_is_told() -> None:
    d = Driver(settings(balancers=MANY))
    d.listed(entry(n) for n in range(4))
    d.news(42, 1, 0.5)
    d.listed([entry(100, 42)], EndpointUpdateKind.INCREMENTAL)
    told = []
    for _ in range(60):
        d.now += 100.0
        for send in sends(d.ask(SAFE)):
            told += d.end(send)
        told += d.tick()
    assert not [a for a in told if isinstance(a, SendGossip)]


def accuse(d: Driver, server: int, by: range, number: int = 1) -> None:
    for sender in by:
        d.give(GossipReceived(sender, encode(Digest(sender, number, 0, (), ((server, SAFE),) * 4))))
    d.now += 1000.0
    d.tick()


def asked_of(d: Driver, server: int, requests: int = 60) -> int:
    return sum(
        send.server == server for _ in range(requests) for send in sends(d.ask(SAFE)) if not d.end(send)
    )


def test_a_failing_server_rests_before_each_gateway_has_met_it() -> None:
    # Forty gateways each lost requests to the same failing server until it had failed three of their own.
    d = trial_of(0)
    accuse(d, 7, range(1, 9))
    assert d.b.servers[7].rest_until > d.now and not asked_of(d, 7)
    assert all(s.rest_until <= d.now for n, s in d.b.servers.items() if n != 7)


def test_one_gateways_word_or_a_trouble_of_all_servers_rests_nobody() -> None:
    d = trial_of(0)
    for number in range(1, 9):
        accuse(d, 7, range(1, 2), number)
    everywhere = trial_of(0)
    for sender in range(1, MANY):
        failed = tuple((n, SAFE) for n in (*range(20), 100, 101))
        everywhere.give(GossipReceived(sender, encode(Digest(sender, 1, 0, (), failed))))
    everywhere.now += 1000.0
    everywhere.tick()
    for one in (d, everywhere):
        assert all(s.rest_until <= one.now for s in one.b.servers.values())


def test_machines_that_fail_elsewhere_too_excuse_a_build() -> None:
    # Six of the new build's servers were among the fleet's broken ones: a good build was sent back.
    for old_failed, goes in ((0, True), (3, False)):
        d = trial_of(0)
        for second in range(1, 5):
            tell_all(d, second, (SAFE, 4, 2, 30, old_failed), tuple(range(100, 106)))
            evidence(d)
        assert (d.b.back_for == 42) == goes


def test_own_failures_count_with_those_of_others_whatever_the_servers_number() -> None:
    # Servers have numbers of 32 bits and are told by 16: a gateway's own digest, unshortened, accused nobody.
    number = 7 + 3 * 65536
    d = Driver(settings(limits=PEERS, balancers=2))
    d.listed([entry(number), *(entry(n) for n in range(20, 40))])
    d.tick()
    d.b.peers.untold.extend([(SAFE, 41, number, 1, 0)] * 9)
    d.give(GossipReceived(1, encode(Digest(1, 1, 41, (), ((number, SAFE),) * 2))))
    d.now += 1000.0
    d.tick()
    assert d.b.servers[number].rest_until > d.now
