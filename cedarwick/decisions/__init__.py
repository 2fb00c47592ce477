"""All delivery decisions: the policy, its interface and its records; no I/O, clock or protocol.

Times and durations are whole microseconds, rates calls a second. The dispatcher (`cedarwick.net`) and the laboratory
(`cedarwick.lab`) call it.
"""
