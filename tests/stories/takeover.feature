Feature: Work in hand survives the loss of its gateway
  Each request is written down before its first attempt, each attempt's right to go out is won before its first
  byte, and the answer is recorded before it is told. When the gateway is lost, one other takes the work over.

  Background:
    Given a fleet of 4 gateways that take over, with leases of 0.8 s
    And requests of 150 ms of work and a deadline of 5 s
    And 45 requests a second for 10 s

  Scenario: On a quiet day everything is written, and nothing is taken over
    Then nothing is taken over
    And every written request has its end
    And every request is served
    And no rule is broken

  Scenario: A gateway is killed, and its clients are served by the others
    When gateway 1 is killed at 4 s
    Then work of gateway 1 is taken over
    And every written request has its end
    And no booking runs twice
    And at least 98% of the requests are served
    And no rule is broken

  Scenario: A whole machine vanishes, and only the lease tells
    Given gateways that may stand on many machines
    When gateway 1 is killed at 4 s
    Then work of gateway 1 is taken over
    And work is taken over within 2 s of 4 s
    And every written request has its end
    And no booking runs twice
    And no rule is broken

  Scenario Outline: Killed at any step, no booking runs twice and all that is written ends
    Given gateways that may stand on many machines
    When gateway 1 is killed after 4 s when <moment>
    Then every written request has its end
    And no booking runs twice
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

  Scenario Outline: Asleep for longer than its lease at any step, it harms nobody when it wakes
    When gateway 1 stands still for 3 s after 4 s when <moment>
    Then every written request has its end
    And no booking runs twice
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

  Scenario: Whoever takes over is killed too, and a third one ends the work
    When gateway 1 is killed at 4 s
    And whoever takes work over from gateway 1 is killed as it begins
    Then every written request has its end
    And no booking runs twice
    And no rule is broken

  Scenario: Gateways are lost one after the other
    When 3 gateways are killed one after the other, 1.2 s apart, from 3 s
    Then work of gateway 1 is taken over
    And every written request has its end
    And no booking runs twice
    And no rule is broken

  Scenario: Seven in ten gateways are killed at once, and the others are not flattened
    Given a fleet of 10 gateways that take over, with leases of 0.8 s
    And at most 6 requests taken over in hand at each gateway
    When 7 gateways are killed at 4 s
    Then no gateway ever has more than 6 requests taken over in hand
    And every written request has its end
    And no booking runs twice
    And at least 90% of the requests are served
    And no rule is broken

  Scenario: A planned stop hands its work over without waiting for a lease
    Given requests of 900 ms of work and a deadline of 8 s
    And 9 requests a second for 10 s
    When gateway 1 is told at 4 s to stop within 0.5 s
    Then every written request has its end
    And no booking runs twice
    And at least 97% of the requests are served
    And no rule is broken

  Scenario: Clients that lose patience with one that stands still get their answer elsewhere, once
    Given clients that ask another gateway after 0.6 s of silence
    When gateway 1 stands still from 4 s to 7 s
    Then whoever asks twice gets the same answer
    And at least 5 clients ask again and are served
    And no booking runs twice
    And no rule is broken

  Scenario: Asking again while the work is in hand starts it no second time
    Given requests of 500 ms of work and a deadline of 6 s
    And 15 bookings a second for 10 s, and nothing else
    And clients that ask another gateway after 0.3 s of silence
    Then whoever asks twice gets the same answer
    And at least 20 clients ask again and are served
    And no booking runs twice
    And no rule is broken

  Scenario: Only what may not simply be repeated is written down
    Given only what may not simply be repeated is written down
    When gateway 1 is killed at 4 s
    Then all bookings are written down, and no look-ups
    And every written request has its end
    And no booking runs twice
    And no rule is broken

  Scenario Outline: With the ledger in trouble, clients are served, and nothing runs twice
    When the ledger is <trouble> from 4 s to 6 s
    Then at least <served>% of the requests are served
    And no booking runs twice
    And no rule is broken

    Examples:
      | trouble    | served |
      | full       | 80     |
      | gone       | 80     |
      | cut off    | 80     |
      | silent     | 80     |
      | slow       | 80     |

  Scenario: One gateway is cut off from the ledger, and the others end its work
    When the ledger is cut off for gateway 1 from 4 s to 8 s
    Then every written request has its end
    And no booking runs twice
    And at least 90% of the requests are served
    And no rule is broken

  Scenario: A build on trial gets no more than its cap while work is taken over
    Given 60 requests a second for 14 s
    When good build 2 is offered at 2 s
    And gateway 1 is killed at 5 s
    Then work taken over earns no allowance on build 2
    And no key goes back to an earlier build
    And every written request has its end
    And no rule is broken

  Scenario: Drains are kept by whoever takes over
    Given 60 requests a second for 22 s
    When good build 2 is offered at 2 s
    And gateway 1 is killed at 15 s
    Then work of gateway 1 is taken over
    And no booking runs twice
    And no rule is broken

  Scenario: Servers that come back cold are spared by whoever takes over
    Given 70 requests a second for 12 s
    When 50% of the servers crash from 4 s to 5 s
    And gateway 1 is killed at 5.2 s
    Then no server is pushed over
    And no booking runs twice
    And every written request has its end
    And no rule is broken
