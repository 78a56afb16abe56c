"""A response with a latency of 0 ms must not keep later requests from being sent.

A response has a latency of 0 ms if the clock did not advance while the request ran. If it is the first
response of a machine kind, the typical latency of that kind is 0, and the capacity of all other kinds
relative to it is 0 too. The next request still has to be sent.
"""

from __future__ import annotations

from tests.driver import Driver, sends, server_entry


def test_a_request_is_sent_after_a_first_response_within_0_ms() -> None:
    driver = Driver()
    driver.update_endpoints([server_entry(1, kind=0), server_entry(2, kind=1)])
    for _ in range(8):  # enough for both machine kinds to respond
        first = sends(driver.request())[0]
        driver.finish(first, elapsed_ms=0.0 if first.server == 1 else 100.0)
    assert sends(driver.request())


def test_other_kinds_are_compared_without_the_one_that_has_no_latency() -> None:
    driver = Driver()
    driver.update_endpoints([server_entry(number, kind=number) for number in (1, 2, 3)])
    state = driver.policy
    state.kind_latency_ms.update({1: 0.0, 2: 100.0, 3: 200.0})
    assert [state.relative_capacity(state.servers[number]) for number in (1, 2, 3)] == [1.0, 1.0, 0.5]
