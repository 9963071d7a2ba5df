"""Routing decisions of one director, without I/O: time, randomness and events are passed in.

Hundreds of directors decide without communicating with each other. Much of this package therefore
keeps them from acting at the same moment, and bounds the load that all of them together cause.
"""
