"""What forty gateways learn from each other that none learns alone."""

from __future__ import annotations

from dataclasses import replace
from random import Random

import pytest

from meadowpulley.gossip.outcome_digest import (
    MAX_BYTES,
    TIMEOUT_CLASS,
    decode,
    encode,
)
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
from meadowpulley.policy.failure_evidence import evidence_ratio
from meadowpulley.state import OutcomeCounts
from tests.digests import make_digest
from tests.driver import LIMITS, SAFE, UNSAFE, Driver, sends, server_entry, settings, votes

PEERS = replace(LIMITS, gossip=True)
MANY = 40
WHOLE = encode(make_digest(7, 1, 42, ((SAFE, 5, 1, 9, 0),), ((3, SAFE),)))


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
def test_malformed_digests_are_counted_and_change_nothing(data: bytes) -> None:
    assert decode(data) is None
    driver = gateway_with_trial(0)
    driver.handle(GossipReceived(3, data))
    assert (
        driver.policy.gossip.rejected_digests == 1
        and not driver.policy.gossip.last_digest_by_sender
        and not strongest_evidence(driver)
    )


def gateway_with_trial(gateway_index: int, gateway_count: int = MANY) -> Driver:
    """A gateway of many that knows 20 servers of build 41 and 10 of build 42, on trial."""
    driver = Driver(
        replace(settings(limits=PEERS, gateway_count=gateway_count), gateway_index=gateway_index),
        seed=gateway_index,
    )
    driver.update_endpoints(server_entry(n) for n in range(20))
    driver.fire_timer()
    for n in range(40):
        driver.now += 50.0
        for send in sends(driver.request(SAFE if n % 2 else UNSAFE)):
            driver.finish(send)
    driver.update_rollout(42, 1, 0.5)
    driver.update_endpoints(
        (server_entry(100 + n, 42, driver.now - 5000.0) for n in range(10)), EndpointUpdateKind.INCREMENTAL
    )
    return driver


def strongest_evidence(driver: Driver) -> float:
    """The most that what all gateways saw speaks against build 42, once the second is over."""
    for _ in range(30):
        driver.now += 50.0
        driver.fire_timer()
    return max(
        [
            x
            for sums in driver.policy.build_evidence[42].pooled_failures.log_odds.values()
            for x in sums.values()
        ],
        default=0.0,
    )


def run_fleet(
    fleet: list[Driver], timeouts: float, failure_rate: float, seconds: float, digest: int = 1
) -> list[Vote]:
    """Each gateway takes two requests a second; those at build 42 fail by `fails`. Digests reach every other
    gateway `told` times, or not, by `lost`."""
    rng, votes_cast = Random(5), []
    for _ in range(int(seconds * 20)):
        for driver in fleet:
            driver.now += 50.0
            actions = driver.fire_timer()
            if rng.random() < 0.1:
                for send in sends(driver.request(SAFE)):
                    bad = send.server >= 100 and rng.random() < failure_rate
                    actions += driver.finish(send, Result.ERROR if bad else Result.OK, 80.0, final=True)
            votes_cast += votes(actions)
            for act in actions:
                if isinstance(act, SendGossip):
                    assert act.peer is None and len(act.data) <= MAX_BYTES
                    for other in fleet:
                        if other is not driver and rng.random() >= timeouts:
                            for _ in range(digest):
                                other.handle(GossipReceived(driver.policy.settings.gateway_index, act.data))
    return votes_cast


def rollback_votes(votes_cast: list[Vote]) -> int:
    return sum(v.verdict is Verdict.ROLL_BACK and v.build == 42 for v in votes_cast)


def test_forty_gateways_find_together_a_bad_build_that_none_finds_alone() -> None:
    # A build that failed one request in eight was released in ten seconds: each gateway had seen one failure.
    assert not rollback_votes(
        run_fleet([gateway_with_trial(n) for n in range(MANY)], timeouts=1.0, failure_rate=0.125, seconds=6.0)
    )
    assert rollback_votes(
        run_fleet([gateway_with_trial(n) for n in range(MANY)], timeouts=0.0, failure_rate=0.125, seconds=6.0)
    )


def test_half_of_the_digests_lost_does_little_harm() -> None:
    assert rollback_votes(
        run_fleet([gateway_with_trial(n) for n in range(MANY)], timeouts=0.5, failure_rate=0.125, seconds=6.0)
    )


def gossip_from_all(
    driver: Driver, sequence: int, row: tuple[int, ...], failed: tuple[int, ...] = (), times: int = 1
) -> None:
    """Every other gateway tells the same of build 42, `times` times over."""
    for sender in range(1, MANY):
        digest = make_digest(sender, sequence, 42, (row,), [(n, SAFE) for n in failed])
        for _ in range(times):
            driver.handle(GossipReceived(sender, encode(digest)))


def test_a_repeated_digest_counts_once() -> None:
    found = []
    for times in (1, 3):
        driver = gateway_with_trial(0)
        gossip_from_all(driver, 1, (SAFE, 4, 2, 20, 0), (100, 101), times)
        found.append((strongest_evidence(driver), driver.policy.gossip.rejected_digests))
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
    driver = gateway_with_trial(0)
    driver.handle(
        GossipReceived(sender, encode(make_digest(9, 1, build, (row,), ((100, SAFE), (9999, SAFE)))))
    )
    assert (strongest_evidence(driver) > 0) == counts


def test_one_faulty_server_is_not_its_build_however_many_report_it() -> None:
    driver = gateway_with_trial(0)
    gossip_from_all(driver, 1, (SAFE, 4, 1, 20, 0), (100,))
    assert (
        strongest_evidence(driver) > driver.policy.required_evidence
        and evidence_ratio(
            driver.policy.build_evidence[42].pooled_failures, 10, False, driver.policy.required_evidence
        )
        < 1.0
    )


def test_a_fault_that_begins_everywhere_at_once_is_not_the_newest_builds() -> None:
    # Requests that fail at any server came all at once. What was usual for the earlier build was still that
    # of the seconds before: a good build was sent back, and the next one too.
    driver = gateway_with_trial(0)
    for second in range(1, 6):
        bad = int(second > 2)
        gossip_from_all(driver, second, (SAFE, 10, bad, 30, 3 * bad), tuple(range(100, 110)) * bad)
        strongest_evidence(driver)
        assert (
            evidence_ratio(
                driver.policy.build_evidence[42].pooled_failures, 10, False, driver.policy.required_evidence
            )
            < 0.5
        )


def evidence_after_second(driver: Driver, second: int, row: tuple[int, int, int, int]) -> float:
    """How far build 42 is proven after what all told in a second: failures spread over its servers."""
    failed = tuple((100 + n % 10, SAFE) for n in range(row[1]))
    driver.handle(GossipReceived(1, encode(make_digest(7, second, 42, ((SAFE, *row),), failed))))
    strongest_evidence(driver)
    return float(
        evidence_ratio(
            driver.policy.build_evidence[42].pooled_failures, 10, False, driver.policy.required_evidence
        )
    )


def test_errors_that_come_and_go_everywhere_are_not_the_newest_builds() -> None:
    # For half a second of every two and a half each server of either build failed a tenth. Hundreds' digests
    # are about five seconds, not all about the same ones: the earlier build's worst of these counts, not the
    # share in the same second, which was lower by the good answers told late.
    driver = gateway_with_trial(0, 200)
    digest = ((50, 12, 181, 19), (66, 4, 185, 5), (124, 11, 240, 3), (133, 19, 175, 17), (142, 17, 93, 4))
    assert max(evidence_after_second(driver, n, row) for n, row in enumerate(digest, 1)) < 0.5
    assert (
        evidence_after_second(driver, 9, (60, 40, 100, 9)) > 1.0
    )  # but what fails far more than that still is


def test_errors_after_the_baseline_has_gone_are_not_compared_with_its_last_good_responses() -> None:
    # A good build was taken off four seconds after its release: the next of such errors met nobody but it.
    driver = gateway_with_trial(0, 200)
    driver.update_rollout(42, 2, 1.0, Phase.RELEASED)
    driver.update_endpoints(
        (server_entry(n, state=ServerState.DRAINING) for n in range(20)), EndpointUpdateKind.INCREMENTAL
    )
    assert evidence_after_second(driver, 1, (178, 24, 137, 0)) == 0.0


@pytest.mark.parametrize(("bursts", "rolls_back"), [(9, False), (0, True)])
def test_own_failures_are_compared_with_the_baselines_failures_elsewhere(
    bursts: int, rolls_back: bool
) -> None:
    # Of 208 gateways the eight that met most of such a burst sent a good build back after its release.
    driver = gateway_with_trial(0, 200)
    for n in range(1, 6):
        evidence_after_second(driver, n, (0, 0, 100, bursts))
    driver.update_rollout(42, 2, 1.0, Phase.RELEASED)
    driver.update_endpoints(
        (server_entry(n, state=ServerState.DRAINING) for n in range(20)), EndpointUpdateKind.INCREMENTAL
    )
    for n in range(30):
        driver.now += 50.0
        for send in sends(driver.request(SAFE)):
            driver.finish(send, Result.ERROR if n % 3 == 0 else Result.OK, 80.0, final=True)
    strongest_evidence(driver)
    assert (driver.policy.rollback_build == 42) == rolls_back


@pytest.mark.parametrize(
    ("timeouts", "baseline_timeouts", "found"),
    [(75, 20, True), (30, 10, False), (75, 80, False)],
    ids=["the build", "paused and cold machines", "all machines"],
)
def test_a_build_whose_requests_time_out_is_rolled_back(
    timeouts: int, baseline_timeouts: int, found: bool
) -> None:
    # A build that did a sixth of the work once it was loaded was released, and the fleet served a tenth: no
    # gateway had the twenty requests that its own judgement takes.
    driver = gateway_with_trial(0, 200)
    for sequence in range(1, 4):
        rows = ((SAFE, 90, 0, 240, 0), (TIMEOUT_CLASS, timeouts, 0, baseline_timeouts, 0))
        driver.handle(GossipReceived(1, encode(make_digest(7, sequence, 42, rows))))
        strongest_evidence(driver)
    assert (driver.policy.rollback_build == 42) == found


def test_timeouts_are_reported_by_build_and_not_by_server() -> None:
    driver = gateway_with_trial(0, 2)
    digest = []
    for _ in range(40):
        for send in sends(driver.request(SAFE)):
            driver.finish(send, Result.TIMEOUT, 4000.0, final=True)
        driver.now += 100.0
        digest += [decode(a.data) for a in driver.fire_timer() if isinstance(a, SendGossip)]
    rows = [row for one in digest if one for row in one.classes if row[0] == TIMEOUT_CLASS]
    assert sum(row[1] + row[3] for row in rows) > 20 and not any(one.failures for one in digest if one)


def test_digests_received_while_idle_are_evaluated_in_time() -> None:
    # Without requests there was no timer: what others had told minutes ago counted with the next request.
    driver = gateway_with_trial(0)
    driver.now += 60_000.0
    driver.fire_timer()
    driver.policy.evaluate_at = driver.policy.endpoint_list.poll_at = driver.policy.timer_at = float("inf")
    digest = encode(make_digest(1, 1, 42, ((SAFE, 1, 0, 1, 0),)))
    timers = [a.delay_ms for a in driver.handle(GossipReceived(1, digest)) if isinstance(a, SetTimer)]
    assert timers and timers[0] <= 1000.0


def test_the_remembered_incarnations_are_bounded() -> None:
    driver = gateway_with_trial(0)
    for incarnation in range(1000):
        driver.handle(GossipReceived(1, encode(make_digest(incarnation, 1, 42))))
    assert len(driver.policy.gossip.last_digest_by_sender) <= 4 * MANY


def test_without_gossip_no_digest_is_sent() -> None:
    driver = Driver(settings(gateway_count=MANY))
    driver.update_endpoints(server_entry(n) for n in range(4))
    driver.update_rollout(42, 1, 0.5)
    driver.update_endpoints([server_entry(100, 42)], EndpointUpdateKind.INCREMENTAL)
    digest = []
    for _ in range(60):
        driver.now += 100.0
        for send in sends(driver.request(SAFE)):
            digest += driver.finish(send)
        digest += driver.fire_timer()
    assert not [a for a in digest if isinstance(a, SendGossip)]


def report_failures(driver: Driver, server: int, by: range, sequence: int = 1) -> None:
    for sender in by:
        driver.handle(
            GossipReceived(sender, encode(make_digest(sender, sequence, 0, (), ((server, SAFE),) * 4)))
        )
    driver.now += 1000.0
    driver.fire_timer()


def requests_sent_to(driver: Driver, server: int, requests: int = 60) -> int:
    return sum(
        send.server == server
        for _ in range(requests)
        for send in sends(driver.request(SAFE))
        if not driver.finish(send)
    )


def test_a_failing_server_is_ejected_before_each_gateway_has_met_it() -> None:
    # Forty gateways each lost requests to the same failing server until it had failed three of their own.
    driver = gateway_with_trial(0)
    report_failures(driver, 7, range(1, 9))
    assert driver.policy.servers[7].ejected_until > driver.now and not requests_sent_to(driver, 7)
    assert all(s.ejected_until <= driver.now for n, s in driver.policy.servers.items() if n != 7)


def test_one_gateways_report_or_a_fault_of_all_servers_ejects_none() -> None:
    driver = gateway_with_trial(0)
    for sequence in range(1, 9):
        report_failures(driver, 7, range(1, 2), sequence)
    everywhere = gateway_with_trial(0)
    for sender in range(1, MANY):
        failed = tuple((n, SAFE) for n in (*range(20), 100, 101))
        everywhere.handle(GossipReceived(sender, encode(make_digest(sender, 1, 0, (), failed))))
    everywhere.now += 1000.0
    everywhere.fire_timer()
    for one in (driver, everywhere):
        assert all(s.ejected_until <= one.now for s in one.policy.servers.values())


def test_faulty_servers_of_the_baseline_excuse_a_build() -> None:
    # Six of the new build's servers were among the fleet's broken ones: a good build was sent back.
    for baseline_failed, rolls_back in ((0, True), (3, False)):
        driver = gateway_with_trial(0)
        for second in range(1, 5):
            gossip_from_all(driver, second, (SAFE, 4, 2, 30, baseline_failed), tuple(range(100, 106)))
            strongest_evidence(driver)
        assert (driver.policy.rollback_build == 42) == rolls_back


def test_own_failures_count_with_reported_ones_whatever_the_server_number() -> None:
    # Servers have numbers of 32 bits and are told by 16: a gateway's own digest, unshortened, accused nobody.
    sequence = 7 + 3 * 65536
    driver = Driver(settings(limits=PEERS, gateway_count=2))
    driver.update_endpoints([server_entry(sequence), *(server_entry(n) for n in range(20, 40))])
    driver.fire_timer()
    driver.policy.gossip.unpublished.extend([OutcomeCounts(SAFE, 41, sequence, 1, 0)] * 9)
    driver.handle(GossipReceived(1, encode(make_digest(1, 1, 41, (), ((sequence, SAFE),) * 2))))
    driver.now += 1000.0
    driver.fire_timer()
    assert driver.policy.servers[sequence].ejected_until > driver.now
