"""Limits of the whole fleet, as quota units that directors own, lend and get back.

`lease_ledger.py` and `quota_exchange.py` decide and are pure; `lease_messages.py` is the wire
format of what they exchange, which travels in the datagrams of membership.
"""
