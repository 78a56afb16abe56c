"""Tests of gossip: evidence from the digests of many gateways, and ejections by their reports."""

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

GOSSIP_LIMITS = replace(LIMITS, gossip=True)
GATEWAYS = 40
VALID = encode(make_digest(7, 1, 42, ((SAFE, 5, 1, 9, 0),), ((3, SAFE),)))


@pytest.mark.parametrize(
    "data",
    [
        b"",
        b"\x00",
        VALID[:-1],
        VALID + b"\x00",
        b"\x01" + VALID[1:],
        VALID[:13] + b"\xff" + VALID[14:],
        b"x" * 400,
    ],
    ids=["empty", "one byte", "truncated", "extra byte", "other version", "wrong count", "too long"],
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


def gateway_with_trial(gateway_index: int, gateway_count: int = GATEWAYS) -> Driver:
    """Return a gateway that knows 20 servers of build 41 and 10 of build 42, which is on trial."""
    driver = Driver(
        replace(settings(limits=GOSSIP_LIMITS, gateway_count=gateway_count), gateway_index=gateway_index),
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
    """Return the highest evidence against build 42 after 1.5 s, when all digests are evaluated."""
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
    fleet: list[Driver], loss: float, failure_rate: float, seconds: float, copies: int = 1
) -> list[Vote]:
    """Run a fleet and return the votes of its gateways.

    Each gateway gets two requests a second; those sent to build 42 fail with the probability `failure_rate`.
    Every other gateway receives `copies` copies of a digest, or loses it with the probability `loss`.
    """
    rng, votes_cast = Random(5), []
    for _ in range(int(seconds * 20)):
        for driver in fleet:
            driver.now += 50.0
            actions = driver.fire_timer()
            if rng.random() < 0.1:
                for send in sends(driver.request(SAFE)):
                    failed = send.server >= 100 and rng.random() < failure_rate
                    actions += driver.finish(send, Result.ERROR if failed else Result.OK, 80.0, final=True)
            votes_cast += votes(actions)
            for act in actions:
                if isinstance(act, SendGossip):
                    assert act.peer is None and len(act.data) <= MAX_BYTES
                    for other in fleet:
                        if other is not driver and rng.random() >= loss:
                            for _ in range(copies):
                                other.handle(GossipReceived(driver.policy.settings.gateway_index, act.data))
    return votes_cast


def rollback_votes(votes_cast: list[Vote]) -> int:
    return sum(vote.verdict is Verdict.ROLL_BACK and vote.build == 42 for vote in votes_cast)


def test_forty_gateways_together_detect_a_bad_build_that_none_detects_alone() -> None:
    # A build that failed one request in eight was released in 10 s: each gateway had seen just one failure.
    assert not rollback_votes(
        run_fleet([gateway_with_trial(n) for n in range(GATEWAYS)], loss=1.0, failure_rate=0.125, seconds=6.0)
    )
    assert rollback_votes(
        run_fleet([gateway_with_trial(n) for n in range(GATEWAYS)], loss=0.0, failure_rate=0.125, seconds=6.0)
    )


def test_a_bad_build_is_detected_although_half_of_the_digests_are_lost() -> None:
    assert rollback_votes(
        run_fleet([gateway_with_trial(n) for n in range(GATEWAYS)], loss=0.5, failure_rate=0.125, seconds=6.0)
    )


def gossip_from_all(
    driver: Driver, sequence: int, row: tuple[int, ...], failed: tuple[int, ...] = (), copies: int = 1
) -> None:
    """Deliver the same digest on build 42 from every other gateway, `copies` times each."""
    for sender in range(1, GATEWAYS):
        digest = make_digest(sender, sequence, 42, (row,), [(n, SAFE) for n in failed])
        for _ in range(copies):
            driver.handle(GossipReceived(sender, encode(digest)))


def test_a_repeated_digest_counts_once() -> None:
    results = []
    for copies in (1, 3):
        driver = gateway_with_trial(0)
        gossip_from_all(driver, 1, (SAFE, 4, 2, 20, 0), (100, 101), copies)
        results.append((strongest_evidence(driver), driver.policy.gossip.rejected_digests))
    assert results[0][0] == results[1][0] > 0 and [count for _, count in results] == [0, 2 * (GATEWAYS - 1)]


FAILING_ROW = (SAFE, 0, 50, 50, 0)


@pytest.mark.parametrize(
    ("sender", "build", "row", "counts"),
    [
        (3, 42, FAILING_ROW, True),
        (3, 41, FAILING_ROW, False),
        (3, 77, FAILING_ROW, False),
        (0, 42, FAILING_ROW, False),
        (3, 42, (200, *FAILING_ROW[1:]), False),
        (3, 42, (SAFE, 0, 50, 0, 0), False),
        # Both builds fail often. Errors arrive at once, but successes at servers in slow start arrive late.
        (3, 42, (SAFE, 20, 50, 40, 10), False),
    ],
    ids=["newest", "earlier", "unknown build", "own digest", "unknown class", "no baseline", "both fail"],
)
def test_only_valid_comparable_counts_are_evidence_against_the_newest_build(
    sender: int, build: int, row: tuple[int, int, int, int, int], counts: bool
) -> None:
    driver = gateway_with_trial(0)
    driver.handle(
        GossipReceived(sender, encode(make_digest(9, 1, build, (row,), ((100, SAFE), (9999, SAFE)))))
    )
    assert (strongest_evidence(driver) > 0) == counts


def test_one_faulty_server_does_not_condemn_its_build_however_many_gateways_report_it() -> None:
    driver = gateway_with_trial(0)
    gossip_from_all(driver, 1, (SAFE, 4, 1, 20, 0), (100,))
    assert (
        strongest_evidence(driver) > driver.policy.required_evidence
        and evidence_ratio(
            driver.policy.build_evidence[42].pooled_failures, 10, False, driver.policy.required_evidence
        )
        < 1.0
    )


def test_a_fault_that_begins_on_all_servers_at_once_is_not_attributed_to_the_newest_build() -> None:
    # Requests that fail at any server began to arrive, and the baseline's usual failure rate still came from
    # the seconds before. A good build was rolled back, and then the next one too.
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
    """Return build 42's evidence ratio after a second's digest; failures are spread over its servers."""
    failed = tuple((100 + n % 10, SAFE) for n in range(row[1]))
    driver.handle(GossipReceived(1, encode(make_digest(7, second, 42, ((SAFE, *row),), failed))))
    strongest_evidence(driver)
    return float(
        evidence_ratio(
            driver.policy.build_evidence[42].pooled_failures, 10, False, driver.policy.required_evidence
        )
    )


def test_bursts_of_errors_on_all_servers_are_not_attributed_to_the_newest_build() -> None:
    # For half a second of every 2.5 s, each server of both builds failed a tenth of its requests. The digests
    # of hundreds of gateways that arrive together cover about five different seconds. So the baseline's worst
    # failure rate of these counts; that of the same second was too low, as successes were reported late.
    driver = gateway_with_trial(0, 200)
    rows = ((50, 12, 181, 19), (66, 4, 185, 5), (124, 11, 240, 3), (133, 19, 175, 17), (142, 17, 93, 4))
    assert max(evidence_after_second(driver, n, row) for n, row in enumerate(rows, 1)) < 0.5
    assert (
        evidence_after_second(driver, 9, (60, 40, 100, 9)) > 1.0
    )  # a far higher failure rate is still attributed to it


def test_errors_after_the_baseline_has_gone_are_not_compared_with_its_last_good_responses() -> None:
    # A good build was rolled back 4 s after its release: its baseline had gone, so that the next burst of
    # errors on all servers hit that build alone.
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
    # Eight of 208 gateways saw most errors of a burst, and rolled back a good build after its release.
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
    ids=["bad build", "paused servers and slow start", "all servers"],
)
def test_a_build_whose_requests_time_out_is_rolled_back(
    timeouts: int, baseline_timeouts: int, found: bool
) -> None:
    # A build that did only a sixth of the work under load was released, and the fleet then served a tenth of
    # its requests. No gateway had the 20 requests that it needs for a verdict of its own.
    driver = gateway_with_trial(0, 200)
    for sequence in range(1, 4):
        rows = ((SAFE, 90, 0, 240, 0), (TIMEOUT_CLASS, timeouts, 0, baseline_timeouts, 0))
        driver.handle(GossipReceived(1, encode(make_digest(7, sequence, 42, rows))))
        strongest_evidence(driver)
    assert (driver.policy.rollback_build == 42) == found


def test_timeouts_are_reported_by_build_and_not_by_server() -> None:
    driver = gateway_with_trial(0, 2)
    digests = []
    for _ in range(40):
        for send in sends(driver.request(SAFE)):
            driver.finish(send, Result.TIMEOUT, 4000.0, final=True)
        driver.now += 100.0
        digests += [decode(action.data) for action in driver.fire_timer() if isinstance(action, SendGossip)]
    rows = [row for digest in digests if digest for row in digest.classes if row[0] == TIMEOUT_CLASS]
    assert sum(row[1] + row[3] for row in rows) > 20 and not any(found.failures for found in digests if found)


def test_digests_received_while_idle_are_evaluated_in_time() -> None:
    # Without requests no timer was set: digests that arrived were evaluated minutes later, with a request.
    driver = gateway_with_trial(0)
    driver.now += 60_000.0
    driver.fire_timer()
    driver.policy.evaluate_at = driver.policy.endpoint_list.poll_at = driver.policy.timer_at = float("inf")
    digest = encode(make_digest(1, 1, 42, ((SAFE, 1, 0, 1, 0),)))
    delays = [act.delay_ms for act in driver.handle(GossipReceived(1, digest)) if isinstance(act, SetTimer)]
    assert delays and delays[0] <= 1000.0


def test_the_remembered_incarnations_are_bounded() -> None:
    driver = gateway_with_trial(0)
    for incarnation in range(1000):
        driver.handle(GossipReceived(1, encode(make_digest(incarnation, 1, 42))))
    assert len(driver.policy.gossip.last_digest_by_sender) <= 4 * GATEWAYS


def test_without_gossip_no_digest_is_sent() -> None:
    driver = Driver(settings(gateway_count=GATEWAYS))
    driver.update_endpoints(server_entry(n) for n in range(4))
    driver.update_rollout(42, 1, 0.5)
    driver.update_endpoints([server_entry(100, 42)], EndpointUpdateKind.INCREMENTAL)
    actions = []
    for _ in range(60):
        driver.now += 100.0
        for send in sends(driver.request(SAFE)):
            actions += driver.finish(send)
        actions += driver.fire_timer()
    assert not [action for action in actions if isinstance(action, SendGossip)]


def report_failures(driver: Driver, server: int, senders: range, sequence: int = 1) -> None:
    for sender in senders:
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


def test_a_server_is_ejected_for_failures_that_other_gateways_report() -> None:
    # Each of 40 gateways lost requests to the same failing server until it had failed three of its own.
    driver = gateway_with_trial(0)
    report_failures(driver, 7, range(1, 9))
    assert driver.policy.servers[7].ejected_until > driver.now and not requests_sent_to(driver, 7)
    assert all(other.ejected_until <= driver.now for n, other in driver.policy.servers.items() if n != 7)


def test_reports_of_one_gateway_or_a_fault_of_all_servers_eject_no_server() -> None:
    driver = gateway_with_trial(0)
    for sequence in range(1, 9):
        report_failures(driver, 7, range(1, 2), sequence)
    everywhere = gateway_with_trial(0)
    for sender in range(1, GATEWAYS):
        failed = tuple((n, SAFE) for n in (*range(20), 100, 101))
        everywhere.handle(GossipReceived(sender, encode(make_digest(sender, 1, 0, (), failed))))
    everywhere.now += 1000.0
    everywhere.fire_timer()
    for gateway in (driver, everywhere):
        assert all(server.ejected_until <= gateway.now for server in gateway.policy.servers.values())


def test_a_build_is_not_rolled_back_where_servers_of_its_baseline_are_faulty_too() -> None:
    # A good build was rolled back because six of its servers were among the fleet's faulty ones.
    for baseline_failed, rolls_back in ((0, True), (3, False)):
        driver = gateway_with_trial(0)
        for second in range(1, 5):
            gossip_from_all(driver, second, (SAFE, 4, 2, 30, baseline_failed), tuple(range(100, 106)))
            strongest_evidence(driver)
        assert (driver.policy.rollback_build == 42) == rolls_back


def test_own_failures_count_with_reported_ones_whatever_the_server_number() -> None:
    # Server numbers have 32 bits, of which digests carry 16. A gateway's own digest held the full numbers, so
    # its own failures did not count together with those that others reported.
    server = 7 + 3 * 65536
    driver = Driver(settings(limits=GOSSIP_LIMITS, gateway_count=2))
    driver.update_endpoints([server_entry(server), *(server_entry(n) for n in range(20, 40))])
    driver.fire_timer()
    driver.policy.gossip.unpublished.extend([OutcomeCounts(SAFE, 41, server, 1, 0)] * 9)
    driver.handle(GossipReceived(1, encode(make_digest(1, 1, 41, (), ((server, SAFE),) * 2))))
    driver.now += 1000.0
    driver.fire_timer()
    assert driver.policy.servers[server].ejected_until > driver.now
