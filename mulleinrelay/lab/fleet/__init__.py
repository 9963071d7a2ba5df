"""A fleet on one machine: hundreds of directors as real processes, with faults between them.

Stand-ins take the place of everything around the directors, and an audit counts from the other
side. Nothing of it serves.
"""
