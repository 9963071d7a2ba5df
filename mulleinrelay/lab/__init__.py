"""A lab on loopback: stand-ins, directors as processes, load, and faults by a scenario.

Nothing of it serves.
"""
