Feature: What gateways share
  Each start of a gateway is an incarnation of its own with a lease. Whatever must happen once is claimed in the
  ledger, and exactly one incarnation has it. A gateway that was stopped or cut off finds out before it acts.

  Background:
    Given a fleet of 4 gateways that share a ledger, with leases of 2 s
    And 20 requests a second for 14 s

  Scenario: Exactly one of several concurrent claims succeeds
    When all gateways claim 'the night shift' at 5 s
    Then exactly one gateway has 'the night shift'

  Scenario: On a quiet day no gateway is fenced
    Then no gateway is fenced
    And every request is served

  Scenario: A lost gateway is fenced by one of the others, and its name is free
    When gateway 2 is killed at 4 s
    And gateway 2 is started again at 4.5 s
    And gateway 2 claims 'the night shift' at 12 s
    Then gateway 2's first incarnation is fenced within 3 s of 4 s
    And gateway 2 has had 2 incarnations
    And gateway 2 has 'the night shift'

  Scenario: On one machine a killed gateway starts again at once
    Given gateways that run on one machine
    When gateway 2 is killed at 4 s
    And gateway 2 is started again at 4.2 s
    Then gateway 2 answers requests again after 4.3 s
    And gateway 2 takes no request between 4 s and 4.2 s
    And gateway 2 has had 2 incarnations
    And gateway 2's first incarnation is fenced within 1 s of 4 s

  Scenario: A gateway that is paused for less than its lease goes on unchanged
    When gateway 1 stands still from 4 s to 5 s
    And gateway 1 claims 'the night shift' at 8 s
    Then no gateway is fenced
    And gateway 1 has 'the night shift'

  Scenario: A gateway that is paused for too long is fenced before it acts
    When gateway 1 stands still from 4 s to 9 s
    And gateway 1 claims 'the night shift' at 9 s
    Then gateway 1's first incarnation is fenced within 3 s of 4 s
    And gateway 1 is notified that it was fenced, before it claims anything more
    And nobody has 'the night shift'

  Scenario: A claim whose gateway is paused before its answer is still granted once
    When gateway 1 claims 'the night shift' at 4 s
    And gateway 1 stands still for 5 s after 3.9 s when the ledger's answer has come back, and nobody has looked at it
    And gateway 2 claims 'the night shift' at 7 s
    Then exactly one gateway has 'the night shift'

  Scenario: A resumed gateway does not hold its lease until it has renewed it
    When gateway 1 stands still from 4 s to 5.5 s
    Then gateway 1 holds its lease at 4.5 s
    And gateway 1 does not hold its lease at 5.5 s
    And gateway 1 holds its lease at 6.5 s

  Scenario: A gateway that is cut off gives up its lease long before others count it as expired
    When the ledger is cut off for gateway 1 from 4 s to 9 s
    Then gateway 1 holds its lease at 4.5 s
    And gateway 1 does not hold its lease at 5.5 s
    And gateway 1's first incarnation is fenced within 3 s of 4 s

  Scenario: A claim whose answer is lost may have been granted
    When the ledger is silent for gateway 1 from 4 s to 5 s
    And gateway 1 claims 'the night shift' at 4.2 s
    And gateway 2 claims 'the night shift' at 6 s
    Then gateway 1 does not know whether it has 'the night shift'
    And the ledger says that gateway 1 has 'the night shift'
    And gateway 2 does not have 'the night shift'

  Scenario: A claim that never arrived is not granted
    When the ledger is cut off for gateway 1 from 4 s to 5 s
    And gateway 1 claims 'the night shift' at 4.2 s
    Then gateway 1 does not know whether it has 'the night shift'
    And nobody has 'the night shift'

  Scenario Outline: A claim is granted at most once, wherever its gateway is killed
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

  Scenario Outline: During a fault of the ledger clients are served as always
    When the ledger is <fault> from 4 s to 9 s
    And gateway 1 claims 'the night shift' at 6 s
    And gateway 2 claims 'the day shift' at 11 s
    Then every request is served
    And gateway 1 is notified that the ledger is unavailable, and later that it has recovered
    And gateway 2 has 'the day shift'
    And nobody has 'the night shift'
    And no gateway is fenced
    And no rule is broken

    Examples:
      | fault      |
      | full       |
      | read-only  |
      | gone       |
      | cut off    |

  Scenario: A slow ledger stays available
    When the ledger is slow from 4 s to 9 s
    And gateway 1 claims 'the night shift' at 6 s
    Then every request is served
    And gateway 1 is never notified that the ledger is unavailable
    And gateway 1 has 'the night shift'
    And no gateway is fenced

  Scenario: Seven of ten gateways are lost at once, and all of them are fenced
    Given a fleet of 10 gateways that share a ledger, with leases of 2 s
    When 7 gateways are killed at 4 s
    Then all lost incarnations are fenced within 6 s of 4 s
    And no rule is broken

  Scenario Outline: The ledger requests of a gateway do not grow with the fleet
    Given a fleet of <count> gateways that share a ledger, with leases of 2 s
    Then each gateway asks the ledger at most 24 times a second
    And no gateway is fenced

    Examples:
      | count |
      | 4     |
      | 24    |
