Feature: What must always hold
  The promises of the brief, seen from outside a running site.

  Scenario: A caller gets the whole answer to its own request
    Given a site with 2 upstreams
    When a caller looks up "boiler-7"
    Then the answer is 200 and names "boiler-7"

  Scenario: A lookup survives an upstream that loses its answer
    Given a site with 2 upstreams
    When a caller looks up "boiler-7" and the first upstream loses the answer
    Then the answer is 200 and names "boiler-7"

  Scenario: A dispatch whose answer is lost is not sent again
    Given a site with 2 upstreams
    When a caller books dispatch "d-1" and the upstream loses the answer
    Then the answer is 502 with outcome "unknown"
    And "d-1" ran 1 time

  Scenario: A dispatch that was shed everywhere did not run
    Given a site with 2 upstreams
    When a caller books dispatch "d-2" and every upstream sheds it
    Then the answer is 503 with outcome "not-run"
    And "d-2" ran 0 times

  Scenario: A dispatch sent twice with one key runs once
    Given a site with 2 upstreams
    When a caller books dispatch "d-3"
    And a caller books dispatch "d-3"
    Then the answer is 200 and names "dispatch"
    And "d-3" ran 1 time

  Scenario: A leaving upstream receives no new work
    Given a site with 2 upstreams
    When upstream "stock-1" leaves
    And 20 callers look something up
    Then upstream "stock-1" served nothing more

  Scenario: Callers are told when nothing can serve them
    Given a site with 0 upstreams
    When a caller looks up "boiler-7"
    Then the answer is 503 with outcome "not-run"

  Scenario: A table that is not valid changes nothing
    Given a site with 2 upstreams
    When an operator applies a routes table to a missing pool
    Then the change is refused and names the row
    And a caller still gets answers
