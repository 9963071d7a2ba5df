"""Membership of the fleet: the directors find out with UDP datagrams which of them are alive.

`swim.py`, `failure_detector.py`, `state_sync.py`, `member_table.py` and `broadcast_queue.py`
implement the protocol without I/O. `messages.py` defines the wire format. `service.py` owns the
socket and the thread. `status.py` builds the records for operators, and `commands.py` shows them.
"""
