Feature: Entry selection

  Scenario: The longest matching prefix determines the availability zone after any sequence of changes
    Then random tables give the same result as a linear search of all blocks after each of several updates

  Scenario: A block that several availability zones declare belongs to the first zone by name
    Given a table in which "zone-b" and then "zone-a" declare the block 10.0.0.0/8
    Then the address 10.1.2.3 belongs to "zone-a"
    When "zone-a" no longer declares the block
    Then the address 10.1.2.3 belongs to "zone-b"

  Scenario: A large update does not block lookups
    When 130 availability zones with 200 blocks each are applied and each clock reading takes 1 millisecond
    Then the update read the clock at least 130 times and never ran for more than 20 milliseconds without yielding

  Scenario: Callers get the entries of their own availability zone first, then those of their region
    Given entries in two availability zones of region "muntenia" and one of "moldova"
    When a caller at 10.1.0.9 looks up "stoc"
    Then the availability zones in the response are "muntenia-1, muntenia-1, muntenia-1, muntenia-2, moldova-1"

  Scenario: A caller outside all blocks gets the order of the availability zone of the responding entry
    Given entries in two availability zones of region "muntenia" and one of "moldova"
    When a caller at 192.0.2.1 looks up "stoc"
    Then the availability zones in the response are "moldova-1, muntenia-1, muntenia-1, muntenia-1, muntenia-2"

  Scenario: Callers spread over the entries of an availability zone and keep their entry when another entry leaves
    Given entries in two availability zones of region "muntenia" and one of "moldova"
    Then none of the 3 entries of "muntenia-1" is first for more than 0.38 of 9000 callers
    When entry "muntenia-1-a" is leaving
    Then only callers of "muntenia-1-a" changed their entry, and neither of the others is first for more than 0.55

  Scenario: A draining availability zone loses its callers in proportion to the drain
    Given entries in two availability zones of region "muntenia" and one of "moldova"
    When "muntenia-1" is drained by 0.5
    Then a share between 0.4 and 0.6 of the callers left "muntenia-1", including all that leave at a drain by 0.25
    When "muntenia-1" is drained by 1
    Then a share between 1 and 1 of the callers left "muntenia-1", including all that leave at a drain by 0.25

  Scenario: Drained entries are returned when there are no others
    Given entries in two availability zones of region "muntenia" and one of "moldova"
    When every availability zone is drained
    And a caller at 10.1.0.9 looks up "stoc"
    Then the availability zones in the response are "muntenia-1, muntenia-1, muntenia-1, muntenia-2, moldova-1"

  Scenario: An entry without a view lease marks its responses as stale and shortens the time to live
    Given entries in two availability zones of region "muntenia" and one of "moldova"
    When the view lease has ended
    And a caller at 10.1.0.9 looks up "stoc"
    Then the response is stale and has a time to live of 1 second

  Scenario Outline: The lookup route returns the expected status
    Given entries in two availability zones of region "muntenia" and one of "moldova"
    Then "<request>" gets the status <status>

    Examples:
      | request                                             | status |
      | GET /v1/lookup?service=stoc&address=10.1.0.9        | 200    |
      | GET /v1/lookup?service=stoc&address=2001:db8::1     | 200    |
      | GET /v1/lookup?service=stoc&availabilityZone=moldova-1 | 200 |
      | GET /v1/lookup?service=stoc                         | 200    |
      | GET /v1/lookup?service=other&address=10.1.0.9       | 404    |
      | GET /v1/lookup?service=stoc&address=10.1.0          | 400    |
      | GET /v1/lookup?service=stoc&availabilityZone=other  | 400    |
      | GET /v1/lookup?address=10.1.0.9                     | 400    |
      | POST /v1/lookup?service=stoc&address=10.1.0.9       | 405    |
