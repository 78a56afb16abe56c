Feature: Builds come in by stages, whatever else fails

  Background:
    Given a fleet of 3 gateways
    And 70 requests a second for 26 s

  Scenario: A good build is released, and the servers of the old one drain
    When good build 2 is offered at 2 s
    Then build 2 is released
    And no attempt goes to a server of build 1 after 24 s
    And at least 99% of the requests are served
    And no rule is broken

  Scenario Outline: A bad build is sent back before it has done much harm
    When <build> is offered at 2 s
    Then build 2 is withdrawn
    And build 2 never gets more than <most>% of the attempts
    And no rule is broken

    Examples:
      | build                                        | most |
      | build 2 that fails 40% of what it is sent    | 8    |
      | build 2 that fails 100% of what it is sent   | 5    |
      | build 2 that is 6 times slower               | 15   |

  Scenario Outline: The cap is held and drains are kept while a release meets a fault
    When good build 2 is offered at 2 s
    And <fault>
    Then no rule is broken
    And at least <served>% of the requests are served

    Examples:
      | fault                                                        | served |
      | gateway 1 is killed at 5 s                                   | 95     |
      | gateway 1 stands still from 4 s to 9 s                       | 93     |
      | discovery is out of reach from 4 s to 12 s                   | 95     |
      | lists come 4 s late from 3 s to 14 s                         | 95     |
      | the platform is out of reach from 4 s to 9 s                 | 95     |
      | datagrams between gateways are lost from 2 s to 20 s         | 95     |
      | 25% of the servers crash from 5 s to 8 s                     | 90     |

  Scenario: A gateway that stood still while a build went back sends it nothing more
    When build 2 that fails 60% of what it is sent is offered at 2 s
    And gateway 1 stands still from 5 s to 12 s
    Then build 2 is withdrawn
    And gateway 1 answers requests again after 13 s
    And no rule is broken
