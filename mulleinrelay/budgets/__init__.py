"""Limits that several directors share, divided into quota units that the directors own and lend.

A limit is shared by the directors of the whole fleet or of one location.

A lease is a loan of some units for a limited time. `lease_ledger.py` and `quota_exchange.py` decide
on leases without I/O. `lease_messages.py` is the wire format of the lease messages, which are sent
in the datagrams of membership.
"""
