"""What the steps of several features share. For tests only.

A module of its own for each kind of thing that a scenario starts or calls:

Single state machines, in virtual time
  machine_host           one machine: its clock, its effects, its data folder
  control_node           a control node with one other voter that answers it
  voter_host             a control node whose other voters the scenario plays
  leading_control_node   a leader without other voters, with proxies
  following_proxy        a proxy that follows b, with a lease and a pool of two endpoints
  open_traffic_proxy     a proxy for open traffic, whose endpoints a scenario scripts
  lookup_directory       a directory that serves lookups from a state that the scenario defines
  credit_pool            a pool's credit ledger, and proxies that request credit from it
  operation_cases        each operation of a leader, and an event before a late copy of its request
  stored_items           a control node on a real data folder, and items with unusual contents
  item_store             the state of configuration items, and changes in a short notation
  voter_history          a voter alone with its data folder, and what it remembers
  folder_model           a data folder of which a loss of power may leave any part

Simulated deployments, in virtual time
  small_world            the small deployment with traffic
  voting_world           a small deployment whose voters leave or are lost
  random_core_faults     random faults of control nodes, and what must never come of them
  open_core              the small deployment of open traffic, and its conditions
  late_calls             control nodes whose calls come late, and callers whose orders must stand
  first_start            the same first start under several seeds
  simulated_platform     the adapter before a simulated cluster
  platform_calls         calls that operators and applications of the platform make

Properties over drawn inputs
  net                    whatever clients, endpoints, callers, peers and disks bring (net/__init__.py)

Real sockets and processes, on loopback
  reactor_thread         the reactor on a thread of its own
  slow_reader            a client that reads a response in two steps
  raw_client             a client that sends just the bytes that a scenario wants
  raw_server             a server that does
  http_calls             calls over HTTP and raw bytes, each on a connection of its own
  scripted_endpoints     a proxy between raw clients and endpoints that do as a script says
  endpoint_actions       what such an endpoint may do with a request
  open_traffic_ingress   the server for open traffic
  fleet_under_load       a small fleet of processes, with endpoints and callers
  endpoint               an endpoint that misbehaves as it is told
  deployment             processes of the adapter, with an operator
  deployment_client      clients and the operator of the deployment of platform_chain.feature
  soak                   real processes under disturbances that overlap (a package)
  local_process          free ports for a process, and a bound on its time
  metrics_text           metrics as a collector reads them
  command_line           zinctrailctl as operators run it

Documents
  frame_samples          one frame of each form that a simulated fleet sends, as features/data keeps them
  folder_sample          the data folder of a control node, as features/data keeps it
  platform_documents     the platform's documents: configuration, heartbeats, settings
  repository             paths of this repository, and the adapter's modules

The platform's protocol (PROTOCOL.md) is written out here a second time, by hand,
so that the adapter is tested against the page and not against itself.
"""
