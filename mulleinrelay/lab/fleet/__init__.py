"""A fleet on one machine: hundreds of directors as real processes, stand-ins before and behind
them, faults between them, and an audit that counts from the other side. Nothing of it serves.
"""
