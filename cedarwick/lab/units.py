"""Units of time in the laboratory, whose times are whole microseconds."""

MS = 1000  # microseconds in a millisecond
SECOND = 1_000_000  # microseconds in a second
