Feature: Guarantees to callers, upstreams and operators
  Checked through the HTTP interfaces of a running instance.

  Scenario: A caller gets the response to its own request
    Given a site with 2 upstreams
    When a caller looks up "boiler-7"
    Then the answer is 200 and names "boiler-7"

  Scenario: A lookup is retried when its response is lost
    Given a site with 2 upstreams
    When a caller looks up "boiler-7" and the first attempt is reset after it ran
    Then the answer is 200 and names "boiler-7"

  Scenario: A dispatch is not retried when its response is lost
    Given a site with 2 upstreams
    When a caller books dispatch "d-1" and the attempt is reset after it ran
    Then the answer is 502 with outcome "unknown"
    And "d-1" ran 1 time

  Scenario: A dispatch that every upstream sheds does not run
    Given a site with 2 upstreams
    When a caller books dispatch "d-2" and every upstream sheds it
    Then the answer is 503 with outcome "not-run"
    And "d-2" ran 0 times

  Scenario: A dispatch sent twice with the same key runs once
    Given a site with 2 upstreams
    When a caller books dispatch "d-3"
    And a caller books dispatch "d-3"
    Then the answer is 200 and names "dispatch"
    And "d-3" ran 1 time

  Scenario: An upstream that has left receives no new requests
    Given a site with 2 upstreams
    When upstream "stock-1" leaves
    And callers send 20 lookups
    Then upstream "stock-1" served no further requests

  Scenario: A request without an upstream is refused as not run
    Given a site with 0 upstreams
    When a caller looks up "boiler-7"
    Then the answer is 503 with outcome "not-run"

  Scenario: An invalid table is refused and changes nothing
    Given a site with 2 upstreams
    When an operator applies a routes table to a missing pool
    Then the change is refused with an error that names the row
    And lookups are still answered
