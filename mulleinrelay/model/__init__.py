"""A discrete-event simulation of a fleet of directors and nodes.

It combines the real router, the simulated nodes of the stand-ins, and the scenarios and audit of
the fleet lab. It reaches fleet sizes that are out of reach for one process per director.
"""
