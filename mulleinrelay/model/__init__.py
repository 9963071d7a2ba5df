"""A fleet in simulated time: the very decision module, the stand-ins' physics and the fleet lab's
scenarios and audit, at sizes that processes don't reach.
"""
