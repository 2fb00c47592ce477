"""The sender on sockets: client listener, dispatcher, attempts, endpoint list and notices, as gevent greenlets.

Names that end in `_US` and times of `Clock` are microseconds; names that end in `_S` are seconds.
"""
