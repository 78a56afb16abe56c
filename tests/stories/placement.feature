Feature: Placement policies compared on live traffic
  An experiment splits requests between placement policies. The rules hold under every policy, each request is
  counted once however gateways crash, and a harmful arm is ended for the whole fleet.

  Scenario Outline: The rules hold under every policy
    Given a fleet of 3 gateways that compare the default policy with <policy>
    And 60 requests a second for 14 s
    When good build 2 is offered at 2 s
    And 25% of the servers crash from 5 s to 8 s
    Then no rule is broken
    And at least 90% of the requests are served
    And both arms get about half of the requests

    Examples:
      | policy            |
      | random of two     |
      | least outstanding |
      | round robin       |
      | measured speed    |
      | zone first        |
      | key               |

  Scenario: Without faults each request is counted once
    Given a fleet of 4 gateways that compare the default policy with random of two
    And 60 requests a second for 12 s
    Then each request is counted exactly once
    And both arms get about half of the requests
    And the guard ends no arm

  Scenario: A gateway crashes, and what it had written is counted once
    Given a fleet of 4 gateways that compare the default policy with random of two
    And 60 requests a second for 14 s
    When gateway 1 is killed at 7 s
    Then no request is counted twice, and only gateway 1's last 2.5 s are missing
    And no rule is broken

  Scenario: A gateway that restarts counts as another incarnation
    Given a fleet of 4 gateways that compare the default policy with least outstanding
    And gateways that run on one machine
    And 60 requests a second for 14 s
    When gateway 1 is killed at 7 s
    And gateway 1 is started again at 7.5 s
    Then gateway 1 answers requests again after 8 s
    And no request is counted twice, and only gateway 1's last 2.5 s are missing

  Scenario: A key keeps its arm at every gateway and after every restart
    Given a fleet of 4 gateways that compare round robin with least outstanding, by key
    And gateways that run on one machine
    And 60 requests a second for 14 s
    When gateway 1 is killed at 7 s
    And gateway 1 is started again at 7.5 s
    Then each key is served by one arm only, at every gateway

  Scenario: A gateway with another version logs it, and its counts are kept apart
    Given a fleet of 4 gateways that compare the default policy with random of two
    And another version of that experiment at the last gateway
    And 40 requests a second for 10 s
    Then gateway 4 logs that its version is not the fleet's
    And the counts of the two versions are kept apart

  Scenario: Without the ledger the experiment goes on, and its counts come later
    Given a fleet of 4 gateways that compare the default policy with random of two
    And 60 requests a second for 14 s
    When the ledger is cut off from 5 s to 9 s
    Then each request is counted exactly once
    And every request is served
    And no rule is broken

  Scenario: A build is rolled back while an experiment runs
    Given a fleet of 3 gateways that compare the default policy with random of two
    And 70 requests a second for 20 s
    When build 2 that fails 60% of what it is sent is offered at 3 s
    Then build 2 is withdrawn
    And each request is counted exactly once
    And no rule is broken
