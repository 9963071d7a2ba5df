"""A fleet in simulated time.

It joins the router itself, the stand-ins' nodes, and the fleet lab's scenarios and audit, at sizes
that processes don't reach.
"""
