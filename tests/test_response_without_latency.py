"""A clock that stands still for a moment gives a response a latency of 0 ms.

Where this is the first response of its kind of server, the kind's typical latency is 0, and the capacity of
all other kinds relative to it is 0 too. The next request has to be sent all the same.
"""

from __future__ import annotations

from tests.driver import Driver, sends, server_entry


def test_a_request_is_sent_after_a_first_response_within_0_ms() -> None:
    driver = Driver()
    driver.update_endpoints([server_entry(1, kind=0), server_entry(2, kind=1)])
    for _ in range(8):  # until both kinds have responded
        first = sends(driver.request())[0]
        driver.finish(first, elapsed_ms=0.0 if first.server == 1 else 100.0)
    assert sends(driver.request())
