"""Membership of the fleet: the directors find out with UDP datagrams which of them are alive.

A fleet is all directors whose membership files have the same fleet name and the same key.

`swim.py`, `failure_detector.py`, `state_sync.py`, `member_table.py` and `broadcast_queue.py`
implement the protocol without I/O. `messages.py` defines the wire format, and `datagrams.py` builds
outgoing datagrams. `service.py` owns the socket and the thread, and writes the records for
operators. `status.py` builds the content of the records, and `commands.py` shows them. `config.py`
reads the membership file.
"""
