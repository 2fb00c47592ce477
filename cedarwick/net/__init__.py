"""The network side of the sender: client listener, dispatcher, attempts, endpoint list and notices, on gevent.

Names that end in `_US` and times of `Clock` are in microseconds; names that end in `_S` are in seconds.
"""
