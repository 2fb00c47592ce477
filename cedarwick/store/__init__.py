"""What lasts: a journal in segments, compacted in small steps while messages flow."""
