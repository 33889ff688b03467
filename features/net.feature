Feature: Whatever comes in, it costs nobody else anything
  Properties over drawn inputs (hypothesis), the same ones in each run; more by hand: NET_EXAMPLES=2000 features/run.py
  features/net.feature. Each time: an answer or a closed connection, all accounts back to zero, the next ordinary request
  served, no process ended, what was acknowledged still there.

  Scenario: Any bytes that a client sends to open traffic
    Then the property "client bytes to open traffic" holds for 150 examples

  Scenario: Any bytes that a client sends to the API of a proxy
    Then the property "client bytes to the API" holds for 150 examples

  Scenario: Any bytes that an endpoint answers
    Then the property "endpoint bytes" holds for 150 examples

  Scenario: Any course of two attempts that share a body
    Then the property "bodies of two attempts" holds for 40 examples

  Scenario: Any JSON that an operator sends, then a second version, a removal, a restart and a catch-up
    Then the property "operators' JSON" holds for 120 examples

  Scenario: Any JSON that endpoints, applications and clients of the API send
    Then the property "callers' JSON" holds for 250 examples

  Scenario: Any JSON with a call of the platform
    Then the property "the platform's JSON" holds for 250 examples

  Scenario: Any bytes to the port of frames
    Then the property "bytes to the port of frames" holds for 100 examples

  Scenario: Any frame from a peer
    Then the property "frames" holds for 250 examples

  Scenario: Any file with a spoilt checksum or tail
    Then the property "spoilt files" holds for 150 examples
