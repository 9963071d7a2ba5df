"""Stand-ins for the systems that a director communicates with, all on loopback.

They stand in for caches, parents, the origin, the event stream and clients, and are written from
the description of the protocol. Their capacities and delays are invented, so any figure that is
measured with them applies only to the stand-ins.
"""
