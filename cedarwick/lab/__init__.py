"""The laboratory: partners, platform and clients on loopback as a test environment for senders, with load and audit.

Terms that its modules use:

- day: one run of a scenario, from the first arrival to the audit; its times count from its begin.
- partner: the owner of destinations, whose endpoints receive calls; platform: the endpoint list and `/status`.
- fault: a deliberate disturbance of an endpoint, a sender, a link or a client while the day runs.
- life: one process of a sender, from its start to its end; a sender may have several in a day.
- thing: what a client wants delivered; every submission of it is a message with an id of its own.
- in keys of files: `mark`, an idempotency key; `turn`, an order key; `outer`, a deadline.
"""
