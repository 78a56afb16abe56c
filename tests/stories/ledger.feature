Feature: What gateways share
  Each start of a gateway is a life of its own with a lease. Whatever must happen once is claimed in the ledger,
  and exactly one life has it. Who was stopped or cut off finds out before it acts.

  Background:
    Given a fleet of 4 gateways that share a ledger, with leases of 2 s
    And 20 requests a second for 14 s

  Scenario: Of all that claim a thing at one moment, one has it
    When all gateways claim 'the night shift' at 5 s
    Then exactly one gateway has 'the night shift'

  Scenario: On a quiet day nobody's life is ended
    Then no gateway's life is ended
    And every request is served

  Scenario: A lost gateway's life is ended by one of the others, and its name is free
    When gateway 2 is killed at 4 s
    And gateway 2 is started again at 4.5 s
    And gateway 2 claims 'the night shift' at 12 s
    Then gateway 2's first life is ended by another within 3 s of 4 s
    And gateway 2 has begun 2 lives
    And gateway 2 has 'the night shift'

  Scenario: On one machine a killed gateway starts again at once
    Given gateways that run on one machine
    When gateway 2 is killed at 4 s
    And gateway 2 is started again at 4.2 s
    Then gateway 2 answers requests again after 4.3 s
    And gateway 2 takes no request between 4 s and 4.2 s
    And gateway 2 has begun 2 lives
    And gateway 2's first life is ended by another within 1 s of 4 s

  Scenario: A gateway that stood still for less than its lease goes on as if nothing had been
    When gateway 1 stands still from 4 s to 5 s
    And gateway 1 claims 'the night shift' at 8 s
    Then no gateway's life is ended
    And gateway 1 has 'the night shift'

  Scenario: A gateway that stood still for too long finds its life ended before it acts
    When gateway 1 stands still from 4 s to 9 s
    And gateway 1 claims 'the night shift' at 9 s
    Then gateway 1's first life is ended by another within 3 s of 4 s
    And gateway 1 is told that its life was ended, before it claims anything more
    And nobody has 'the night shift'

  Scenario: One that sleeps between its claim and the answer still has what it won, once
    When gateway 1 claims 'the night shift' at 4 s
    And gateway 1 stands still for 5 s after 3.9 s when the ledger's answer has come back, and nobody has looked at it
    And gateway 2 claims 'the night shift' at 7 s
    Then exactly one gateway has 'the night shift'

  Scenario: One that wakes may not act on its lease until it is renewed
    When gateway 1 stands still from 4 s to 5.5 s
    Then gateway 1 may act on its lease at 4.5 s
    And gateway 1 may not act on its lease at 5.5 s
    And gateway 1 may act on its lease at 6.5 s

  Scenario: One that is cut off may not act on its lease long before others count it free
    When the ledger is cut off for gateway 1 from 4 s to 9 s
    Then gateway 1 may act on its lease at 4.5 s
    And gateway 1 may not act on its lease at 5.5 s
    And gateway 1's first life is ended by another within 3 s of 4 s

  Scenario: A claim whose answer is lost may have been won
    When the ledger is silent for gateway 1 from 4 s to 5 s
    And gateway 1 claims 'the night shift' at 4.2 s
    And gateway 2 claims 'the night shift' at 6 s
    Then gateway 1 does not know whether it has 'the night shift'
    And the ledger says that gateway 1 has 'the night shift'
    And gateway 2 does not have 'the night shift'

  Scenario: A claim that never arrived is nobody's
    When the ledger is cut off for gateway 1 from 4 s to 5 s
    And gateway 1 claims 'the night shift' at 4.2 s
    Then gateway 1 does not know whether it has 'the night shift'
    And nobody has 'the night shift'

  Scenario Outline: A claim is lost or won, never twice, wherever its gateway is killed
    When gateway 1 claims 'the night shift' at 4 s
    And gateway 1 is killed after 3.9 s when <moment>
    And gateway 2 claims 'the night shift' at 8 s
    Then the ledger says that gateway <owner> has 'the night shift'
    And at least 90% of the requests are served
    And no rule is broken

    Examples:
      | moment                                                                      | owner |
      | a group of steps is about to leave for the ledger                           | 2     |
      | the ledger has carried a group out, and its answer has not come back        | 1     |
      | the ledger's answer has come back, and nobody has looked at it              | 1     |

  Scenario Outline: With the ledger in trouble, clients are served as ever
    When the ledger is <trouble> from 4 s to 9 s
    And gateway 1 claims 'the night shift' at 6 s
    And gateway 2 claims 'the day shift' at 11 s
    Then every request is served
    And gateway 1 is told that the ledger is lost, and later that it is back
    And gateway 2 has 'the day shift'
    And nobody has 'the night shift'
    And no gateway's life is ended
    And no rule is broken

    Examples:
      | trouble    |
      | full       |
      | read-only  |
      | gone       |
      | cut off    |

  Scenario: A slow ledger is only slow
    When the ledger is slow from 4 s to 9 s
    And gateway 1 claims 'the night shift' at 6 s
    Then every request is served
    And gateway 1 is never told that the ledger is lost
    And gateway 1 has 'the night shift'
    And no gateway's life is ended

  Scenario: Seven of ten gateways are lost at once, and the others notice them all
    Given a fleet of 10 gateways that share a ledger, with leases of 2 s
    When 7 gateways are killed at 4 s
    Then all lost lives are ended within 6 s of 4 s
    And no rule is broken

  Scenario Outline: What a gateway asks of the ledger does not grow with the fleet
    Given a fleet of <count> gateways that share a ledger, with leases of 2 s
    Then each gateway asks the ledger at most 24 times a second
    And no gateway's life is ended

    Examples:
      | count |
      | 4     |
      | 24    |
