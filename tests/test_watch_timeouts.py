"""A watch without a response is reopened before the changes that it missed count as notified."""

from __future__ import annotations

import pytest

from meadowpulley.interface import (
    EndpointUpdate,
    EndpointUpdateKind,
)
from tests.discovery_harness import NOTIFIED_AFTER_SILENCE_MS, NOTIFIED_AFTER_WAIT_MS, DiscoveryHarness
from tests.driver import Driver, server_entry, settings


@pytest.mark.parametrize("must_poll", [True, False], ids=["polled", "pushed"])
@pytest.mark.parametrize("answers", [0, 1, 2])
def test_a_watch_without_a_response_is_reopened_before_missed_updates_count_as_notified(
    must_poll: bool, answers: int
) -> None:
    """Guard against reopening a watch without a response too late.

    A watch of 10 s was given up 4 s after the end of its wait, and retried up to 5 s later, with the
    jitter that is meant for calls that fail at all gateways at once. But changes count as notified 2 s
    after the wait, so for seconds a gateway of a full-size fleet sent requests to servers that discovery
    had reported as draining.
    """
    harness = DiscoveryHarness(must_poll)
    harness.silent_from = answers
    if must_poll:
        harness.dispatch(EndpointUpdate(EndpointUpdateKind.CACHED, 0, (server_entry(1),)))
    else:
        harness.discovery.start()
    for _ in range(500):  # until discovery has received the call that it does not answer
        if len(harness.calls_received) <= answers:
            harness.run(50.0)
    since, wait_ms = harness.calls_received[answers]
    harness.silent_from = float("inf")
    harness.version += 1  # a change that the unanswered call never reports
    harness.run(wait_ms + 8_000.0)
    notified_by = max(since + NOTIFIED_AFTER_SILENCE_MS, since + wait_ms + NOTIFIED_AFTER_WAIT_MS)
    update_times = [at for at, version in harness.updates if at > since and version == harness.version]
    assert update_times, (since, wait_ms, update_times)
    assert update_times[0] <= notified_by, (since, wait_ms, update_times)
    assert not harness.failures


@pytest.mark.parametrize("must_poll", [True, False], ids=["polled", "pushed"])
@pytest.mark.parametrize("step", ["moved", "outage"])
def test_the_first_watch_after_sighup_or_an_outage_is_reopened_if_it_gets_no_response(
    must_poll: bool, step: str
) -> None:
    harness = DiscoveryHarness(must_poll)
    harness.dispatch(EndpointUpdate(EndpointUpdateKind.CACHED, 0, (server_entry(1),)))
    if not must_poll:
        harness.discovery.start()
    while len(harness.calls_received) < 2:  # until the list has arrived and the watch is open
        harness.run(50.0)
    harness.silent_from = 1
    if step == "moved":
        harness.discovery.address_changed()
    else:
        harness.down_until = harness.now + 5_000.0
    while len(harness.calls_received) < 3:
        harness.run(10.0)
    since, wait_ms = harness.calls_received[2]
    harness.silent_from = float("inf")
    harness.version += 1
    harness.run(wait_ms + 8_000.0)
    update_times = [at for at, version in harness.updates if at > since and version == harness.version]
    assert update_times
    assert update_times[0] <= since + NOTIFIED_AFTER_SILENCE_MS
    assert not harness.failures


def test_retries_after_a_failure_common_to_all_gateways_are_jittered() -> None:
    """Only a watch without a response is retried at once: each gateway detects it at a different time."""

    def backoff_ms(kind: EndpointUpdateKind, seed: int) -> float:
        driver = Driver(settings(must_poll=True, gateway_count=200), seed=seed)
        driver.update_endpoints([server_entry(1)])
        driver.update_endpoints([], kind)
        return driver.policy.endpoint_list.poll_at - driver.now

    assert {backoff_ms(EndpointUpdateKind.TIMED_OUT, seed) for seed in range(5)} == {0.0}
    assert max(backoff_ms(EndpointUpdateKind.FAILED, seed) for seed in range(20)) > 1_000.0
