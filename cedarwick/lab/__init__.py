"""The laboratory: everything that a sender talks to, on loopback; load, audit and reports.

Terms that its modules use:

- day: one run of a scenario, from its first arrival to the audit; its times count from its begin.
- partner: the owner of destinations, whose endpoints receive calls; platform: the endpoint list and `/status`.
- fault: something that is done on purpose to an endpoint, a sender, a link or a client while the day runs.
- life: one process of a sender, from its start to its end; a sender may have several in a day.
- thing: what a client wants delivered; each time it submits it, there is a message with an id of its own.
- mark: an idempotency key. Turn: an order key. Outer limit: a deadline.
"""
