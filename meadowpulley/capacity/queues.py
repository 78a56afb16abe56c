"""Queues whose theory is exact or nearly so. Rates and times use one unit of time throughout."""

from __future__ import annotations

import math


def erlang_b(servers: int, offered: float) -> float:
    """Return the blocking probability of M/G/c/c (Erlang 1917), by its stable recursion."""
    blocked = 1.0
    for index in range(1, servers + 1):
        blocked = offered * blocked / (index + offered * blocked)
    return blocked


def erlang_c(servers: int, offered: float) -> float:
    """Return the probability of waiting in M/M/c (Erlang 1917); 1 at and beyond saturation."""
    if offered >= servers:
        return 1.0
    blocked = erlang_b(servers, offered)
    return blocked / (1 - offered / servers * (1 - blocked))


def mmc_response(servers: int, per_s: float, service: float) -> float:
    """Return the mean response time in M/M/c; infinity beyond saturation.

    It is also the mean of M/M/c with shared processors, by the birth and death of its states, and there,
    being insensitive to the distribution of work (Kelly 1979; Cohen 1979), of M/G/c.
    """
    offered = per_s * service
    if offered >= servers:
        return math.inf
    return service + erlang_c(servers, offered) * service / (servers - offered)


def overflow_probability(servers: int, per_s: float, service: float, more_than: int) -> float:
    """Return the share of time that M/M/c (or M/G/c with shared processors) holds more than so many
    requests.
    """
    offered = per_s * service
    if offered >= servers:
        return 1.0
    if more_than < servers:
        # P(N > k) = P(N >= c) + P(k < N < c): sum the terms below c by their recursion.
        term = 1.0
        terms = [1.0]
        for index in range(1, servers):
            term *= offered / index
            terms.append(term)
        top = terms[-1] * offered / servers / (1 - offered / servers)
        return (sum(terms[more_than + 1 :]) + top) / (sum(terms) + top)
    return erlang_c(servers, offered) * (offered / servers) ** (more_than + 1 - servers)


def upper_bound(mean: float, arrivals: float) -> float:
    """Return mean plus 4 standard deviations of a count with a Poisson spread."""
    return mean + 4 * math.sqrt(max(arrivals, 0.0))
