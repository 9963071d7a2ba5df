"""Two labs that run directors as processes on loopback, with stand-ins, load and injected faults.

The lab of tenants (`runner.py`) runs a few directors that can have cells. The fleet lab (`fleet/`)
runs hundreds of directors, with faults between processes. A scenario file defines a run of either.
A director in production imports none of these modules.
"""
