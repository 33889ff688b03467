"""Properties that hold for whatever comes in, with the inputs drawn by hypothesis.

strategies   how inputs are drawn
sockets      bytes of clients and endpoints, over real connections to a proxy
bodies       two attempts of one request that share its body
documents    JSON to control nodes: from a call to its second version, removal, restart and catch-up
frames       frames from peers, and bytes to their port
files        damaged files of a data folder
"""
