"""Limits that apply to the whole fleet, divided into quota units that directors own and lend.

A lease is a loan of some units for a limited time. `lease_ledger.py` and `quota_exchange.py` decide
on leases without I/O. `lease_messages.py` is the wire format of the lease messages, which are sent
in the datagrams of membership.
"""
