"""Pauses between the calls of a watch, on a virtual clock."""

from __future__ import annotations

import pytest

from tests.discovery_harness import READY_ENTRY, ManualDiscoveryHarness, list_body


@pytest.mark.parametrize("body", [list_body(41), list_body(40, READY_ENTRY)], ids=["unchanged", "older"])
def test_a_discovery_that_answers_at_once_is_not_called_without_a_pause(body: bytes) -> None:
    harness = ManualDiscoveryHarness()
    harness.discovery.start()
    harness.next_call().respond(list_body(41, READY_ENTRY, is_snapshot=True))
    answered_at: list[float] = []
    pauses_ms: list[float] = []
    until = harness.now + 1_000.0
    while harness.now < until:
        if len(harness.calls) > len(answered_at) + 1:
            pauses_ms += [harness.now - answered_at[-1]] if answered_at else []
            answered_at.append(harness.now)
            harness.calls[-1].respond(body)
        harness.run(10.0)
    assert len(answered_at) <= 30
    # The next call of a watch is due 200 ms after an answer, of which this process may be held up for 150 ms.
    # The harness reads calls every 10 ms.
    assert max(pauses_ms) <= 50.0 + 2 * 10.0
