"""A discrete-event simulation of a fleet of directors and nodes.

The simulation combines the real router, the simulated nodes of the stand-ins (caches, parents and
origin), and the scenarios and audit of the fleet lab. It runs in one process, so its fleets can be
larger than those of the fleet lab, which starts one process per director.
"""
