"""Routing decisions of one director, without I/O: time, randomness and events are passed in.

Hundreds of directors make these decisions without consulting each other. Much of this package
therefore keeps the directors from acting at the same moment, and bounds the load that all of them
together cause.
"""
