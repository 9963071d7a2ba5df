"""Stand-ins on loopback for what a director talks to: caches, parents, origin, event stream and
clients. Written from the forms of the protocol; their capacities and delays are made up, and so is
what they measure.
"""
