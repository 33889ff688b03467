"""The roles of members, as named in frames, in the replicated state and in the HTTP interface."""

# Stores the complete state; may vote and lead.
CONTROL_NODE = 'core'
# Tells clients which proxies to use, and owns credit ledgers.
DIRECTORY = 'dir'
# Carries requests.
PROXY = 'prox'
