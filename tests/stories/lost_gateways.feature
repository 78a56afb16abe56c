Feature: Gateways that are lost, stopped or paused
  Gateways that share no state: the requests in flight of a lost gateway are lost with it, and no others.

  Background:
    Given a fleet of 4 gateways
    And 60 requests a second for 10 s

  Scenario: One gateway is killed, and the others carry on
    When gateway 1 is killed at 4 s
    Then at least 95% of the requests are served
    And gateway 1 takes no request between 4 s and 11 s
    And every request that a gateway kept has one answer
    And no rule is broken

  Scenario: Requests in flight are lost with their gateway where clients never retry
    Given clients that never try again
    When gateway 1 is killed at 4 s
    Then some requests are lost
    And at least 90% of the requests are served
    And no rule is broken

  Scenario: A gateway that is started again serves again
    When gateway 2 is killed at 3 s
    And gateway 2 is started again at 5 s
    Then gateway 2 takes no request between 3 s and 5 s
    And gateway 2 answers requests again after 5 s
    And no rule is broken

  Scenario: A graceful shutdown loses nothing
    When gateway 3 is told at 4 s to stop within 3 s
    Then every request is served
    And gateway 3 takes no request between 4.1 s and 11 s
    And no rule is broken

  Scenario: A rolling restart loses next to nothing
    Given 60 requests a second for 14 s
    When each gateway in turn is restarted every 2 s with 1.5 s of notice
    Then at least 99.5% of the requests are served
    And gateway 4 answers requests again after 10 s
    And no rule is broken

  Scenario Outline: A gateway is killed at any step of its work
    When gateway 1 is killed after 3 s when <moment>
    Then at least 95% of the requests are served
    And gateway 1 takes no request between 4 s and 11 s
    And every request that a gateway kept has one answer
    And no rule is broken

    Examples:
      | moment                                                           |
      | a request has come whole, and the decisions are not told yet     |
      | an attempt is decided, and none of its bytes has gone out        |
      | an attempt has gone out                                          |
      | the end of an attempt has come, and nobody has looked at it      |
      | a final answer is decided, and none of its bytes has gone out    |
      | a final answer has gone out                                      |

  Scenario Outline: A gateway is paused at any step of its work, and goes on when it resumes
    When gateway 1 stands still for 4 s after 3 s when <moment>
    Then at least 93% of the requests are served
    And gateway 1 answers requests again after 8 s
    And no rule is broken

    Examples:
      | moment                                                           |
      | a request has come whole, and the decisions are not told yet     |
      | an attempt is decided, and none of its bytes has gone out        |
      | the end of an attempt has come, and nobody has looked at it      |
      | a final answer is decided, and none of its bytes has gone out    |
