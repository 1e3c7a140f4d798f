Feature: Changes are released to the readers of a feed together

  Background:
    Given a feed with one value

  # Guards against a batch that is encoded for each reader, because readers that wait while values change read at
  # positions of their own.
  Scenario: Readers that wait while values change get the same batches
    When values change every 5 ms for 1000 ms, while 8 readers that pause between 10 and 80 ms follow the feed
    Then each reader has all values, and at most 40 different batches were read

  # Guards against a change that is held back although nothing else changes.
  Scenario: A change after a quiet time is released at once
    When a value changes 300 ms after the last one while a reader waits
    Then the reader gets it within 150 ms

  # Guards against a change that a reader does not get while its key changes again and again.
  Scenario: A reader gets the current value of a key that changes all the time
    When one value changes every 5 ms for 1000 ms, while a reader that pauses 250 ms follows the feed
    Then each read returned the value
