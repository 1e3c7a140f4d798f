Feature: Day experiment

    Scenario: The same seed yields the same schedule and another seed a different one
        Then the schedules of seed 3 are equal and differ from that of seed 4

    Scenario: A short day on the processes of the product violates no invariant
        When a day of 8 s runs with seed 1
        Then every change succeeded and no process exited unexpectedly
        And the checker found no violation
        And the report has latencies of both classes, headroom, drain time, outcomes and a chart of the requests

    # Guards against a day that passes although it violates an invariant.
    Scenario Outline: A violated invariant is found and fails the run
        When a day in which <description> is checked
        Then the checker found <count> of <kind>

        Examples:
            | description                                       | kind             | count |
            | nothing is wrong                                  | overCap          | 0     |
            | 3 requests pass a cap of 2 in one second          | overCap          | 1     |
            | a key runs twice                                  | ranTwice         | 1     |
            | a request runs that was reported as not run       | notRunButRan     | 1     |
            | a caller gets the response to another request     | foreignAnswer    | 1     |
            | a caller gets half of a response                  | shortAnswer      | 1     |
            | a request starts 2001 ms after its server drained | workAfterLeaving | 1     |
