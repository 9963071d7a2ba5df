"""Limits over a fleet as rights that are held, lent and given back. `ledger.py` and `exchange.py`
decide and are pure; what they say travels with the membership's datagrams.
"""
