Feature: Quotas and lending between tenants
  Each tenant has a quota of what all gateways admit together. What owners leave idle is lent to others in
  grants that expire, and returns soon after its owner does. The sum is never exceeded.

  Background:
    Given a fleet of 4 gateways that admit 60 requests a second, with grants of 2 s
    And tenant 'shop' with a quota of 50%
    And tenant 'bank' with a quota of 50%

  Scenario: Demand within the quotas is served
    When tenant 'shop' demands 20 a second from 0 s to 15 s
    And tenant 'bank' demands 20 a second from 0 s to 15 s
    Then 'shop' is served at least 17 a second between 4 s and 14 s
    And 'bank' is served at least 17 a second between 4 s and 14 s
    And no rule is broken

  Scenario: What an owner leaves idle is lent
    When tenant 'shop' demands 90 a second from 0 s to 18 s
    And tenant 'bank' demands 4 a second from 0 s to 18 s
    Then 'shop' is served at least 42 a second between 6 s and 17 s
    And 'bank' is served at least 2.7 a second between 6 s and 17 s
    And rejected requests are answered at once
    And no rule is broken

  Scenario: An owner that returns has its quota back within a grant's term
    When tenant 'shop' demands 90 a second from 0 s to 20 s
    And tenant 'bank' demands 40 a second from 10 s to 20 s
    Then 'shop' is served at least 42 a second between 5 s and 10 s
    And 'bank' is served at least 24 a second between 12.5 s and 19 s
    And 'shop' is served at most 36 a second between 12.5 s and 19 s
    And no rule is broken

  Scenario: Two tenants that demand too much get half each
    When tenant 'shop' demands 90 a second from 0 s to 15 s
    And tenant 'bank' demands 90 a second from 0 s to 15 s
    Then 'shop' is served at least 23 a second between 5 s and 14 s
    And 'bank' is served at least 23 a second between 5 s and 14 s
    And all gateways admit at most 61 a second between 5 s and 14 s
    And no rule is broken

  Scenario: A tenant that demands everything does not starve the other
    When tenant 'shop' demands 250 a second from 0 s to 14 s
    And tenant 'bank' demands 20 a second from 0 s to 14 s
    Then 'bank' is served at least 16 a second between 5 s and 13 s
    And no rule is broken

  Scenario Outline: The sum holds whatever happens to a gateway
    When tenant 'shop' demands 70 a second from 0 s to 20 s
    And tenant 'bank' demands 70 a second from 0 s to 20 s
    And <fault>
    Then all gateways admit at most 61 a second between 5 s and 19 s
    And 'bank' is served at least <least> a second between 5 s and 19 s
    And no rule is broken

    Examples:
      | fault                                                               | least |
      | gateway 1 is killed at 8 s                                          | 18    |
      | gateway 1 stands still from 8 s to 12 s                             | 18    |
      | gateway 1 stands still from 8 s to 9 s                              | 20    |
      | gateway 1 is told at 8 s to stop within 1 s                         | 18    |
      | the ledger is cut off for gateway 1 from 8 s to 14 s                | 16    |
      | the ledger is silent for gateway 1 from 8 s to 14 s                 | 16    |
      | the ledger is cut off from 8 s to 11 s                              | 12    |
      | the ledger is full from 8 s to 11 s                                 | 12    |
      | the ledger is gone from 8 s to 11 s                                 | 12    |
      | the ledger is slow from 8 s to 14 s                                 | 18    |
      | 2 gateways are killed at 8 s                                        | 15    |

  Scenario: A crashed gateway's grant is lent again once it has expired
    When tenant 'shop' demands 90 a second from 0 s to 22 s
    And tenant 'bank' demands 4 a second from 0 s to 22 s
    And 2 gateways are killed at 8 s
    Then 'shop' is served at least 40 a second between 14 s and 21 s
    And no rule is broken

  Scenario: A gateway that restarts under its name is granted nothing twice
    Given gateways that run on one machine
    When tenant 'shop' demands 90 a second from 0 s to 20 s
    And tenant 'bank' demands 90 a second from 0 s to 20 s
    And gateway 1 is killed at 8 s
    And gateway 1 is started again at 8.2 s
    Then all gateways admit at most 61 a second between 5 s and 19 s
    And gateway 1 answers requests again after 10 s
    And no rule is broken

  Scenario: An owner that comes and goes costs the others little
    When tenant 'shop' demands 90 a second from 0 s to 24 s
    And tenant 'bank' demands 30 a second from 6 s to 9 s
    And tenant 'bank' demands 30 a second from 12 s to 15 s
    And tenant 'bank' demands 30 a second from 18 s to 21 s
    Then 'shop' is served at least 32 a second between 6 s and 23 s
    And 'bank' is served at least 18 a second between 13 s and 15 s
    And no rule is broken

  Scenario: Quotas changed in a running fleet hold at every gateway
    When tenant 'shop' demands 90 a second from 0 s to 22 s
    And tenant 'bank' demands 90 a second from 0 s to 22 s
    And the quota of 'shop' is 20% and that of 'bank' 80% from 9 s
    Then 'shop' is served at least 23 a second between 4 s and 9 s
    And 'shop' is served at most 18 a second between 14 s and 21 s
    And 'bank' is served at least 40 a second between 14 s and 21 s
    And no rule is broken

  Scenario: Tenants borrow by their weights what another leaves idle
    Given a fleet of 4 gateways that admit 80 requests a second, with grants of 2 s
    And tenant 'shop' with a quota of 10%
    And tenant 'bank' with a quota of 10%
    And tenant 'post' with a quota of 80%
    And tenant 'bank' borrows with a weight of 3
    When tenant 'shop' demands 120 a second from 0 s to 16 s
    And tenant 'bank' demands 120 a second from 0 s to 16 s
    Then 'shop' is served at least 16 a second between 6 s and 15 s
    And 'shop' is served at most 30 a second between 6 s and 15 s
    And 'bank' is served at least 45 a second between 6 s and 15 s
    And no rule is broken
