"""A lab on loopback: stand-ins, directors as processes, load and faults by a script; nothing of it
serves.
"""
