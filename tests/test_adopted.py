"""Requests adopted from a lost gateway: retries, final responses, exposure and retry budget."""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import replace

import pytest

from meadowpulley.interface import (
    Action,
    Cancel,
    ClientDisconnected,
    DeduplicationScope,
    Fail,
    Limits,
    PriorAttempt,
    Reject,
    Request,
    Result,
    Rollout,
    Send,
    ServerState,
    SetTimer,
)
from meadowpulley.policy.endpoint_lease import STALL_ALLOWANCE_MS
from tests.driver import CLASSES, LIMITS, ROLLOUT, SAFE, UNSAFE, Driver, sends, server_entry, settings

KEYED, ZONE_KEYED, CELL_KEYED = 2, 3, 4
EXTENDED_CLASSES = (
    *CLASSES,
    replace(CLASSES[KEYED], deduplication_scope=DeduplicationScope.ZONE),
    replace(CLASSES[KEYED], deduplication_scope=DeduplicationScope.CELL),
)
MAX_ATTEMPTS = LIMITS.max_attempts
WINDOW_MS = CLASSES[KEYED].deduplication_window_ms
PRIOR_IN_CELL = PriorAttempt(server=77, build=41, zone=0, cell=0, sent_ms=9_900.0)
PRIOR_IN_OTHER_ZONE = replace(PRIOR_IN_CELL, zone=1, cell=1)
PRIOR_EXPIRED = replace(PRIOR_IN_CELL, sent_ms=10_000.0 - WINDOW_MS)


def gateway(count: int = 4, rollout: Rollout = ROLLOUT, limits: Limits = LIMITS) -> Driver:
    driver = Driver(settings(classes=EXTENDED_CLASSES, rollout=rollout, limits=limits))
    driver.now = 10_000.0
    driver.update_endpoints(server_entry(n) for n in range(count))
    return driver


def adopt(
    driver: Driver,
    class_index: int,
    prior_attempts: Sequence[PriorAttempt] = (),
    attempt_count: int = 0,
    key: int = 0,
) -> list[Action]:
    driver.last_request += 1
    attempt_count = max(attempt_count, len(prior_attempts))
    return driver.handle(
        Request(
            driver.last_request,
            class_index,
            0,
            key,
            driver.now + 2000.0,
            adopted=True,
            prior_attempt_count=attempt_count,
            prior_attempts=tuple(prior_attempts),
        )
    )


def first_decision(driver: Driver, actions: list[Action]) -> tuple[str, float]:
    """Return the first decision on a request, and how many ms it took."""
    began = driver.now
    while driver.now <= began + 2000.0:
        for a in actions:
            if isinstance(a, Send | Reject | Fail):
                return type(a).__name__, driver.now - began
        driver.now += 50.0
        actions = driver.fire_timer()
    return "nothing", driver.now - began


@pytest.mark.parametrize(
    ("class_index", "prior_attempts", "attempt_count", "decision", "at_once"),
    [
        (SAFE, [], 0, "Send", True),
        (SAFE, [PRIOR_IN_CELL], 1, "Send", True),
        (SAFE, [PRIOR_IN_CELL, PRIOR_EXPIRED], MAX_ATTEMPTS - 1, "Send", True),
        (SAFE, [PRIOR_IN_CELL], MAX_ATTEMPTS, "Reject", True),
        (UNSAFE, [], 0, "Send", True),
        (UNSAFE, [], 2, "Send", True),  # neither of the two prior attempts was executed
        (UNSAFE, [], MAX_ATTEMPTS, "Reject", True),
        (UNSAFE, [PRIOR_IN_CELL], 1, "Fail", True),
        (UNSAFE, [PRIOR_EXPIRED], 1, "Fail", True),
        (KEYED, [PRIOR_IN_CELL], 1, "Send", True),
        (KEYED, [PRIOR_IN_OTHER_ZONE], 1, "Send", True),
        (KEYED, [PRIOR_EXPIRED], 1, "Fail", False),
        (KEYED, [PRIOR_IN_CELL, PRIOR_EXPIRED], 2, "Fail", False),
        # Fails, because a client whose request is rejected might retry it after the deduplication window.
        (KEYED, [PRIOR_IN_CELL], MAX_ATTEMPTS, "Fail", True),
        (ZONE_KEYED, [PRIOR_IN_CELL], 1, "Send", True),
        (ZONE_KEYED, [PRIOR_IN_OTHER_ZONE], 1, "Fail", False),
        (ZONE_KEYED, [PRIOR_EXPIRED], 1, "Fail", False),
        (CELL_KEYED, [PRIOR_IN_CELL], 1, "Send", True),
        (CELL_KEYED, [replace(PRIOR_IN_CELL, cell=1)], 1, "Fail", False),
        (CELL_KEYED, [PRIOR_IN_CELL, PRIOR_IN_OTHER_ZONE], 2, "Fail", False),
    ],
)
def test_decision_on_an_adopted_request(
    class_index: int, prior_attempts: list[PriorAttempt], attempt_count: int, decision: str, at_once: bool
) -> None:
    driver = gateway()
    found, elapsed_ms = first_decision(driver, adopt(driver, class_index, prior_attempts, attempt_count))
    assert (found, elapsed_ms == 0.0) == (decision, at_once)
    assert elapsed_ms <= 250.0 and (found == "Send") == bool(driver.policy.in_flight)


@pytest.mark.parametrize(
    ("class_index", "prior_attempts", "answer"),
    [
        (SAFE, [PRIOR_IN_CELL], Reject),
        (UNSAFE, [], Reject),
        (UNSAFE, [PRIOR_IN_CELL], Fail),
        (KEYED, [PRIOR_IN_CELL], Fail),
    ],
)
def test_at_the_concurrency_limit_a_request_is_rejected_only_if_a_client_retry_is_harmless(
    class_index: int, prior_attempts: list[PriorAttempt], answer: type[Action]
) -> None:
    driver = gateway()
    driver.policy.concurrency_limit = -1.0
    assert [type(a) for a in adopt(driver, class_index, prior_attempts) if not isinstance(a, SetTimer)] == [
        answer
    ]


def test_attempts_are_numbered_from_0_and_count_with_the_prior_ones() -> None:
    driver = gateway()
    driver.policy.retry_budget = 10.0
    pending_sends = sends(adopt(driver, SAFE, [PRIOR_IN_CELL], MAX_ATTEMPTS - 2))
    numbers, answers = [], list[Action]()
    while pending_sends:
        numbers += [n for _, n in driver.policy.attempts]
        answers = driver.finish(pending_sends[0], Result.ERROR)
        pending_sends = sends(answers)
    assert numbers == [0, 1] and Reject(1, 500.0) in answers


def test_after_an_attempt_that_was_not_executed_the_prior_one_still_prevents_retries() -> None:
    driver = gateway()
    sent_ms = driver.now - WINDOW_MS + STALL_ALLOWANCE_MS + 100.0
    [send] = sends(adopt(driver, KEYED, [replace(PRIOR_IN_CELL, sent_ms=sent_ms)]))
    driver.now += 120.0  # by now the server has forgotten the key of the prior attempt
    assert Fail(1) in driver.finish(send, Result.CONNECT_FAILED)


def test_servers_of_prior_attempts_are_chosen_last() -> None:
    for seed in range(20):
        driver = gateway(3)
        driver.policy.rng.seed(seed)
        [send] = sends(
            adopt(driver, SAFE, [replace(PRIOR_IN_CELL, server=0), replace(PRIOR_IN_CELL, server=2)])
        )
        assert send.server == 1


def test_only_own_attempts_are_cancelled() -> None:
    driver = gateway()
    [send] = sends(adopt(driver, SAFE, [PRIOR_IN_CELL]))
    assert [a for a in driver.handle(ClientDisconnected(send.request)) if isinstance(a, Cancel)] == [
        Cancel(1, 0)
    ]


@pytest.mark.parametrize("adopted", [False, True])
def test_adopted_requests_do_not_count_for_exposure_request_rate_and_retry_budget(adopted: bool) -> None:
    driver = gateway()
    driver.update_endpoints(
        [*(server_entry(n) for n in range(4)), server_entry(10, 42, 1.0), server_entry(11, 42, 1.0)]
    )
    driver.update_rollout(42, 1, 0.5)
    driver.policy.retry_budget = 0.0
    trial_sends = 0
    for _ in range(60):
        driver.now += 10.0
        for send in sends(adopt(driver, SAFE) if adopted else driver.request(SAFE)):
            trial_sends += send.server >= 10
            driver.finish(send)
    assert (trial_sends <= ROLLOUT.exposure_allowance) is adopted
    assert (driver.policy.request_rate.value(driver.now) == 0.0) is adopted and (
        driver.policy.retry_budget == 0.0
    ) is adopted


def test_a_key_stays_with_the_trial_build_that_may_have_answered_it() -> None:
    rollout = replace(ROLLOUT, monotonic_keys=True)
    for prior_attempts, oldest_build in ((replace(PRIOR_IN_CELL, build=42), 42), (PRIOR_IN_CELL, 41)):
        builds = set()
        for seed in range(30):
            driver = gateway(rollout=rollout)
            driver.policy.rng.seed(seed)
            driver.update_endpoints(
                [*(server_entry(n) for n in range(4)), server_entry(10, 42, 1.0), server_entry(11, 42, 1.0)]
            )
            driver.update_rollout(42, 1, 0.5)
            for send in (
                *sends(adopt(driver, SAFE, [prior_attempts], key=5)),
                *sends(driver.request(SAFE, key=5)),
            ):
                builds.add(driver.policy.servers[send.server].build)
        assert min(builds) == oldest_build and max(builds) == 42
    draining_trial = gateway(rollout=rollout)
    draining_trial.update_endpoints(
        [*(server_entry(n) for n in range(4)), server_entry(10, 42, 1.0, state=ServerState.DRAINING)]
    )
    draining_trial.update_rollout(42, 1, 0.5)
    assert (
        first_decision(
            draining_trial,
            adopt(draining_trial, SAFE, [replace(PRIOR_IN_CELL, build=42)], key=5),
        )[0]
        == "Reject"
    )
