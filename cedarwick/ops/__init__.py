"""Operations: the management server and its calls, and the hand-over from a process to its replacement."""
