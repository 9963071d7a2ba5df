"""Who else of the fleet is there: small datagrams between directors. `view.py` and `detector.py`
decide and are pure; `messages.py` is the wire; `talk.py` and `commands.py` do I/O.
"""
