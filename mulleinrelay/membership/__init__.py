"""Membership of the fleet: which directors are alive, found out by small datagrams between them.

`swim.py`, `failure_detector.py`, `state_sync.py`, `member_table.py` and `broadcast_queue.py` decide
and are pure; `messages.py` is the wire format; `service.py` owns the socket and the thread;
`status.py` builds what is written for operators and `commands.py` shows it.
"""
