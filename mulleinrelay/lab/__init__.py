"""A lab that runs directors as processes on loopback, with stand-ins, load and injected faults.

A scenario file defines the run. A director that serves clients imports none of these modules.
"""
