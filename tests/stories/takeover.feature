Feature: Requests in flight survive the loss of their gateway
  Each request is journaled before its first attempt, each attempt is granted before it is sent, and the response
  is recorded before it is delivered. When the gateway is lost, one other gateway adopts its requests.

  Background:
    Given a fleet of 4 gateways that take over, with leases of 0.8 s
    And requests of 150 ms of work and a deadline of 5 s
    And 45 requests a second for 10 s

  Scenario: Without faults every request is journaled, and none is adopted
    Then no request is adopted
    And every journaled request is finished
    And every request is served
    And no rule is broken

  Scenario: A gateway is killed, and its clients are served by the others
    When gateway 1 is killed at 4 s
    Then requests of gateway 1 are adopted
    And every journaled request is finished
    And no booking is executed twice
    And at least 98% of the requests are served
    And no rule is broken

  Scenario: A whole machine crashes, and only its lease expires
    Given gateways that may stand on many machines
    When gateway 1 is killed at 4 s
    Then requests of gateway 1 are adopted
    And requests are adopted within 2 s of 4 s
    And every journaled request is finished
    And no booking is executed twice
    And no rule is broken

  Scenario Outline: Killed at any step, no booking is executed twice and every journaled request is finished
    Given gateways that may stand on many machines
    When gateway 1 is killed after 4 s when <moment>
    Then every journaled request is finished
    And no booking is executed twice
    And at least 97% of the requests are served
    And no rule is broken

    Examples:
      | moment                                                                      |
      | a request has come whole, and the decisions are not told yet                |
      | a group of steps is about to leave for the ledger                           |
      | the ledger has carried a group out, and its answer has not come back        |
      | the ledger's answer has come back, and nobody has looked at it              |
      | an attempt is decided, and none of its bytes has gone out                   |
      | an attempt has gone out                                                     |
      | the end of an attempt has come, and nobody has looked at it                 |
      | a final answer is decided, and none of its bytes has gone out               |
      | a final answer has gone out                                                 |

  Scenario Outline: Paused for longer than its lease at any step, it harms nobody when it resumes
    When gateway 1 stands still for 3 s after 4 s when <moment>
    Then every journaled request is finished
    And no booking is executed twice
    And at least 85% of the requests are served
    And no rule is broken

    Examples:
      | moment                                                                      |
      | a request has come whole, and the decisions are not told yet                |
      | a group of steps is about to leave for the ledger                           |
      | the ledger has carried a group out, and its answer has not come back        |
      | the ledger's answer has come back, and nobody has looked at it              |
      | an attempt is decided, and none of its bytes has gone out                   |
      | an attempt has gone out                                                     |
      | the end of an attempt has come, and nobody has looked at it                 |
      | a final answer is decided, and none of its bytes has gone out               |

  Scenario: The adopter is killed too, and a third gateway finishes the requests
    When gateway 1 is killed at 4 s
    And whoever adopts requests of gateway 1 is killed as it begins
    Then every journaled request is finished
    And no booking is executed twice
    And no rule is broken

  Scenario: Gateways are lost one after the other
    When 3 gateways are killed one after the other, 1.2 s apart, from 3 s
    Then requests of gateway 1 are adopted
    And every journaled request is finished
    And no booking is executed twice
    And no rule is broken

  Scenario: Seven in ten gateways are killed at once, and the others are not overloaded
    Given a fleet of 10 gateways that take over, with leases of 0.8 s
    And at most 6 adopted requests in flight at each gateway
    When 7 gateways are killed at 4 s
    Then no gateway ever has more than 6 adopted requests in flight
    And every journaled request is finished
    And no booking is executed twice
    And at least 90% of the requests are served
    And no rule is broken

  Scenario: A graceful shutdown releases its requests without waiting for a lease
    Given requests of 900 ms of work and a deadline of 8 s
    And 9 requests a second for 10 s
    When gateway 1 is told at 4 s to stop within 0.5 s
    Then every journaled request is finished
    And no booking is executed twice
    And at least 97% of the requests are served
    And no rule is broken

  Scenario: Clients of a paused gateway get their response elsewhere, once
    Given clients that retry at another gateway after 0.6 s without a response
    When gateway 1 stands still from 4 s to 7 s
    Then every retry gets the same response
    And at least 5 clients retry and are served
    And no booking is executed twice
    And no rule is broken

  Scenario: A retry while the request is in flight does not execute it again
    Given requests of 500 ms of work and a deadline of 6 s
    And 15 bookings a second for 10 s, and nothing else
    And clients that retry at another gateway after 0.3 s without a response
    Then every retry gets the same response
    And at least 20 clients retry and are served
    And no booking is executed twice
    And no rule is broken

  Scenario: Only requests that are not idempotent are journaled
    Given only requests that are not idempotent are journaled
    When gateway 1 is killed at 4 s
    Then all bookings are journaled, and no look-ups
    And every journaled request is finished
    And no booking is executed twice
    And no rule is broken

  Scenario Outline: With a faulty ledger, clients are served, and nothing is executed twice
    When the ledger is <trouble> from 4 s to 6 s
    Then at least <served>% of the requests are served
    And no booking is executed twice
    And no rule is broken

    Examples:
      | trouble    | served |
      | full       | 80     |
      | gone       | 80     |
      | cut off    | 80     |
      | silent     | 80     |
      | slow       | 80     |

  Scenario: One gateway is cut off from the ledger, and the others finish its requests
    When the ledger is cut off for gateway 1 from 4 s to 8 s
    Then every journaled request is finished
    And no booking is executed twice
    And at least 90% of the requests are served
    And no rule is broken

  Scenario: A build on trial gets no more than its cap while requests are adopted
    Given 60 requests a second for 14 s
    When good build 2 is offered at 2 s
    And gateway 1 is killed at 5 s
    Then adopted requests earn no allowance on build 2
    And no key goes back to an earlier build
    And every journaled request is finished
    And no rule is broken

  Scenario: Draining servers are spared by adopters
    Given 60 requests a second for 22 s
    When good build 2 is offered at 2 s
    And gateway 1 is killed at 15 s
    Then requests of gateway 1 are adopted
    And no booking is executed twice
    And no rule is broken

  Scenario: Servers in slow start are spared by adopters
    Given 70 requests a second for 12 s
    When 50% of the servers crash from 4 s to 5 s
    And gateway 1 is killed at 5.2 s
    Then no server is pushed over
    And no booking is executed twice
    And every journaled request is finished
    And no rule is broken
