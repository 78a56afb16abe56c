Feature: Servers that fail
  A booking that may have run is never sent again, a cold server is not pushed over, and the rest are served.

  Scenario Outline: Some servers fail, and clients see little of it
    Given a fleet of 3 gateways
    And 60 requests a second for 12 s
    When 25% of the servers <fail> from 4 s to 8 s
    Then at least <served>% of the requests are served
    And every request that a gateway kept has one answer
    And no rule is broken

    Examples:
      | fail                     | served |
      | crash                    | 93     |
      | vanish                   | 93     |
      | hang                     | 93     |
      | answer with errors       | 93     |
      | are three times slower   | 97     |

  Scenario: Bookings whose answers are lost are not tried again
    Given a fleet of 3 gateways
    And 40 bookings a second for 10 s, and nothing else
    And clients that never try again
    When 100% of the servers lose their answers from 4 s to 6 s
    Then at most 85% of the requests are served
    And no rule is broken

  Scenario: Servers that come back cold are given no more than they can do
    Given a fleet of 3 gateways
    And 110 requests a second for 14 s
    When 60% of the servers crash from 4 s to 6 s
    Then no server is pushed over
    And no rule is broken

  Scenario: A site that is cut off serves its own clients
    Given a fleet of 4 gateways
    And 50 requests a second for 12 s
    When kingston is cut off from the other site from 4 s to 8 s
    Then at least 93% of the requests are served
    And no rule is broken
