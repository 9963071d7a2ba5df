"""Stand-ins on loopback for the systems that a director talks to.

These are caches, parents, the origin, the event stream and clients, written from the forms of the
protocol. Their capacities and delays are invented, and so is everything measured with them.
"""
