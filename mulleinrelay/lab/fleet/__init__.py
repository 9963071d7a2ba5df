"""Fleet lab: hundreds of real director processes on one machine, with injected faults.

Stand-ins replace the clients, caches, parents, origin and event stream. The audit counts
violations, such as lost requests, from the records of these stand-ins and of the lab, never from
what the directors report. The lab is not used in production.
"""
