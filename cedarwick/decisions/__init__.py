"""The delivery policy with its interface and data structures; it does no I/O and reads no clock.

Times and durations are whole microseconds, rates are calls per second. The dispatcher (`cedarwick.net`), the adapter
(`cedarwick.adapter`) and the laboratory (`cedarwick.lab`) call it.
"""
