Feature: Operator policies choose within bounds, and never stop a request

  Scenario Outline: A policy is checked with the configuration
    When a pool has the policy <policy>
    Then the configuration is <verdict>
    Examples:
      | policy                                                                                                  | verdict                 |
      | function choose(r, e) return 1 end                                                                      | accepted                |
      | function choose(r, e) return #e end                                                                     | accepted                |
      | function choose(r, e) local b=1 for i,x in ipairs(e) do if x.use<e[b].use then b=i end end return b end | accepted                |
      | function choose(r, e) return 0 end                                                                      | refused: chose 0        |
      | function choose(r, e) return 9 end                                                                      | refused: chose 9        |
      | function choose(r, e) return "x" end                                                                    | refused: chose          |
      | function choose(r, e) while true do end end                                                             | refused: over its bound |
      | while true do end                                                                                       | refused: over its bound |
      | function choose(r, e) local t={} while true do t[#t+1]=t end end                                        | refused: no usable      |
      | function choose(r, e) local s="x" while true do s=s..s end end                                          | refused: no usable      |
      | function choose(r, e) return os.time() end                                                              | refused: no usable      |
      | function choose(r, e) return io.open("/etc/passwd") end                                                 | refused: no usable      |
      | function choose(r, e) return require("os") end                                                          | refused: no usable      |
      | function choose(r, e) return load("return 1")() end                                                     | refused: no usable      |
      | function choose(r, e) return ("x"):rep(1000000000) end                                                  | refused: no usable      |
      | function choose(r, e) return pcall(1) end                                                               | refused: no usable      |
      | function choose(r, e) return python.eval("1") end                                                       | refused: no usable      |
      | function pick(r, e) return 1 end                                                                        | refused: no function    |
      | function choose(                                                                                        | refused: no usable      |

  Scenario: A policy in force decides, and a failing one falls back with a logged fault
    Given a small world with traffic
    When the pool catalog gets a policy that prefers region r2
    Then the share of catalog's requests that run in r2 is at least 1.5 times what it was
    When the pool catalog gets a policy that fails on each request
    Then requests run on with the built-in choice, and the error is logged

  Scenario Outline: A policy that returns <value> is refused by name
    # Guards against an exception that is no error of the policy.
    Then the policy "return <value>" chooses nothing, with an error of the policy
    Examples:
      | value |
      | 0/0   |
      | 1/0   |
      | -1/0  |
      | 1.5   |
