"""The routing decisions of a director, pure: time, randomness and events are passed in.

Hundreds of directors decide without talking to each other. Much of this package keeps them from
acting in step and bounds what all of them together send.
"""
