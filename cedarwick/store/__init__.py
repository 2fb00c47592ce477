"""The durable message store: a journal of append-only segment files, compacted in small steps while the sender runs."""
